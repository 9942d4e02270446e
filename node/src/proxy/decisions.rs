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

use crate::proxy::callers::end_cause::{ClosedBy, EndCause};
use crate::proxy::frame::TargetResponse;

/// Largest number of lines per second about refused or failed requests; enough to find examples of
/// each cause in any second.
const FAULT_LINES: u32 = 100;
/// Largest number of lines per second about served requests.
const SERVED_LINES: u32 = 10;
/// Largest number of lines per second about callers' connections that ended with requests
/// unanswered, for each end that may have closed them: callers that leave in a crowd must not hide
/// the connections that this node closed.
const END_LINES: u32 = 25;
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

/// End of a caller's connection on which requests were read and not answered.
#[derive(Debug)]
pub(crate) struct ConnectionEnd {
    /// Number of the connection in this process.
    pub(crate) connection: u64,
    /// Why it ended.
    pub(crate) cause: EndCause,
    /// Identifiers of the requests that had no answer, in their order, separated by spaces.
    pub(crate) unanswered: String,
    /// Identifiers of the requests whose answer was ready and not written whole.
    pub(crate) unsent: String,
    /// Bytes that were read and belong to requests that were not begun.
    pub(crate) held: usize,
    /// Answers that were written.
    pub(crate) answered: u64,
    /// Whether the process is stopping.
    pub(crate) stopping: bool,
    /// Time since the connection was accepted.
    pub(crate) open: Duration,
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
    /// Connections that callers ended.
    left: u32,
    /// Connections that this node ended.
    closed: u32,
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
        let reserved = if failed {
            self.reserve_line(FAULT_LINES, |window| &mut window.faults)
        } else {
            self.reserve_line(SERVED_LINES, |window| &mut window.served)
        };
        if reserved {
            self.write_line(outcome, &describe());
        }
    }

    /// Writes the line for the end of a connection, unless the limit of the current window is
    /// reached.
    pub(crate) fn write_end(&self, end: &ConnectionEnd) {
        let count: fn(&mut Window) -> &mut u32 = match end.cause.by() {
            ClosedBy::Caller => |window| &mut window.left,
            ClosedBy::Node => |window| &mut window.closed,
        };
        if !self.reserve_line(END_LINES, count) {
            return;
        }
        info!(self.logger, "request: connection ended with requests unanswered";
            "connection" => end.connection, "by" => end.cause.by().label(),
            "cause" => end.cause.label(), "unanswered" => &end.unanswered,
            "unsent" => &end.unsent, "held" => end.held, "answered" => end.answered,
            "stopping" => end.stopping, "open_ms" => end.open.as_millis() as u64);
    }

    /// Reserves one of `limit` lines in the current window, counted by `count`.
    fn reserve_line(&self, limit: u32, count: impl Fn(&mut Window) -> &mut u32) -> bool {
        let now = self.clock.now();
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        if now.since(window.opened) >= WINDOW {
            if window.dropped > 0 {
                warn!(self.logger, "request: log lines dropped by the rate limit";
                    "lines" => window.dropped);
            }
            *window = Window { opened: now, ..Window::default() };
        }
        let count = count(&mut window);
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
