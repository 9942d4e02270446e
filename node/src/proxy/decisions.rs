//! Log of the decisions on requests: one line for each, with a rate limit.
//!
//! The number of lines per second is limited, with a separate limit for refused and failed
//! requests, as these are the ones that operators investigate. Omitted lines are counted in a log
//! line and in a metric.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use poplar_core::{Fingerprint, Level, Moment, Name, Outcome, PathLevel};
use poplar_kernel::Clock;
use prometheus_client::metrics::counter::Counter;
use slog::{Logger, info, warn};

use crate::proxy::frame::TargetResponse;

/// Largest number of lines per second about refused or failed requests; enough to find examples of
/// each cause in any second.
const FAULT_LINES: u32 = 100;
/// Largest number of lines per second about served requests.
const SERVED_LINES: u32 = 10;
/// Time window over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Decision on a request, with the data that it was based on.
#[derive(Debug)]
pub(crate) struct Decision {
    /// Identifier that the caller assigned to the request.
    pub(crate) request: Bytes,
    /// Route that the request matched.
    pub(crate) route: Name,
    /// Workspace of the caller; none if it is not known here.
    pub(crate) workspace: Option<Name>,
    /// Hash that identifies the request when it is sent again under another identifier; none if
    /// the request was refused before it was computed.
    pub(crate) fingerprint: Option<Fingerprint>,
    /// Where the decision was made: `entry`, or `target` for the node beside the target.
    pub(crate) place: &'static str,
    /// Revision of the rules that applied to the request.
    pub(crate) revision: u64,
    /// Instances that were tried, in order, separated by spaces.
    pub(crate) tried: String,
    /// Highest admission level that the request meets as the entry node knows it, or the level of
    /// the target at its node.
    pub(crate) path_level: PathLevel,
    /// Fraction of the route's requests that this node admits.
    pub(crate) passing: f64,
    /// Time from the arrival of the request to the decision.
    pub(crate) took: Duration,
}

/// Rate-limited log of decisions.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    clock: Clock,
    logger: Logger,
    window: Mutex<Window>,
    dropped: Counter,
}

#[derive(Debug, Default)]
struct Window {
    opened: Moment,
    faults: u32,
    served: u32,
    dropped: u64,
}

impl DecisionLog {
    pub(crate) fn new(clock: Clock, logger: Logger) -> Self {
        Self { clock, logger, window: Mutex::default(), dropped: Counter::default() }
    }

    /// Counter of omitted lines, for registration with the metrics.
    pub(crate) fn dropped(&self) -> Counter {
        self.dropped.clone()
    }

    /// Writes the line for one decision, unless the limit of the current window is reached.
    pub(crate) fn write(
        &self,
        outcome: &Outcome<TargetResponse>,
        describe: impl FnOnce() -> Decision,
    ) {
        let failed = match outcome {
            Outcome::Done(response) => response.is_failure(),
            Outcome::NotRun { .. } | Outcome::Unknown { .. } => true,
        };
        if self.reserve_line(failed) {
            self.write_line(outcome, &describe());
        }
    }

    fn reserve_line(&self, failed: bool) -> bool {
        let now = self.clock.now();
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(window.opened) >= WINDOW {
            if window.dropped > 0 {
                warn!(self.logger, "request: log lines dropped by the rate limit";
                    "lines" => window.dropped);
            }
            *window = Window { opened: now, ..Window::default() };
        }
        let (count, limit) = if failed {
            (&mut window.faults, FAULT_LINES)
        } else {
            (&mut window.served, SERVED_LINES)
        };
        if *count < limit {
            *count += 1;
            return true;
        }
        window.dropped += 1;
        self.dropped.inc();
        false
    }

    fn write_line(&self, outcome: &Outcome<TargetResponse>, decision: &Decision) {
        let (result, reason, status) = match outcome {
            Outcome::Done(response) => ("answered", "", response.status),
            Outcome::NotRun { kind, .. } => ("not run", kind.label(), 0),
            Outcome::Unknown { kind } => ("unknown", kind.label(), 0),
        };
        let retry_after = match outcome {
            Outcome::NotRun { retry_after, .. } => Some(*retry_after),
            Outcome::Done(_) | Outcome::Unknown { .. } => None,
        };
        let path_level = &decision.path_level;
        let overloaded = path_level.service.as_ref().filter(|_| path_level.level > Level::OPEN);
        let overloaded = overloaded.map(|service| service.as_str());
        let id = String::from_utf8_lossy(&decision.request);
        // Served requests are logged without their fingerprint, which is derived from their
        // content.
        let fingerprint = matches!(outcome, Outcome::Unknown { .. } | Outcome::NotRun { .. })
            .then(|| decision.fingerprint.map(|fingerprint| fingerprint.to_string()))
            .flatten();
        info!(self.logger, "request: {result}"; "id" => %id, "route" => %decision.route,
            "workspace" => decision.workspace.as_ref().map(Name::as_str),
            "print" => fingerprint, "place" => decision.place,
            "reason" => reason, "status" => status, "revision" => decision.revision,
            "tried" => &decision.tried, "level" => u32::from(path_level.level.rank()),
            "short" => overloaded,
            "passing" => decision.passing,
            "level_age_ms" => path_level.age.map(|age| age.as_millis() as u64),
            "retry_after_ms" => retry_after.map(|time| time.as_millis() as u64),
            "took_ms" => decision.took.as_millis() as u64);
    }
}
