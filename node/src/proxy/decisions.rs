//! One log line for each decision on a request, within a bound that load cannot exceed.
//!
//! Lines are bounded per second, with a share of their own for refusals and failures, since those
//! are what somebody will ask about. What is left out is counted in a line and a metric.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use poplar_core::{Fingerprint, Level, Moment, Name, Outcome, PathLevel};
use poplar_kernel::Clock;
use prometheus_client::metrics::counter::Counter;
use slog::{Logger, info, warn};

use crate::proxy::frame::TargetResponse;

/// Lines a second about requests that were refused or failed; enough to find examples of each cause
/// in any second. What a line costs has not been measured.
const FAULT_LINES: u32 = 100;
/// Lines a second about requests that were served.
const SERVED_LINES: u32 = 10;
/// Time over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// What was decided on a request, and on what grounds.
#[derive(Debug)]
pub(crate) struct Decision {
    /// Identifier that the caller gave.
    pub(crate) request: Bytes,
    /// Route.
    pub(crate) route: Name,
    /// Hash by which the request is known again under another identifier.
    pub(crate) fingerprint: Fingerprint,
    /// Where the decision was made: at the entry or beside the target.
    pub(crate) place: &'static str,
    /// Revision of the rules that applied.
    pub(crate) revision: u64,
    /// Instances that were tried, in order.
    pub(crate) tried: String,
    /// Level that decided, or the one beside the target.
    pub(crate) barrier: PathLevel,
    /// Part of the route's requests that is let in here.
    pub(crate) passing: f64,
    /// Time since the request came in.
    pub(crate) took: Duration,
}

/// Writer of decision lines.
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

    /// Counter of the lines that were left out.
    pub(crate) fn dropped(&self) -> Counter {
        self.dropped.clone()
    }

    /// Writes the line of one decision, if the bound allows it.
    pub(crate) fn write(
        &self,
        outcome: &Outcome<TargetResponse>,
        describe: impl FnOnce() -> Decision,
    ) {
        let failed = match outcome {
            Outcome::Done(whole) => whole.is_failure(),
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
                warn!(self.logger, "request: lines left out"; "lines" => window.dropped);
            }
            *window = Window { opened: now, ..Window::default() };
        }
        let (count, most) = if failed {
            (&mut window.faults, FAULT_LINES)
        } else {
            (&mut window.served, SERVED_LINES)
        };
        if *count < most {
            *count += 1;
            return true;
        }
        window.dropped += 1;
        self.dropped.inc();
        false
    }

    fn write_line(&self, outcome: &Outcome<TargetResponse>, decision: &Decision) {
        let (word, reason, status) = match outcome {
            Outcome::Done(whole) => ("answered", "", whole.status),
            Outcome::NotRun { kind, .. } => ("not run", kind.label(), 0),
            Outcome::Unknown { kind } => ("unknown", kind.label(), 0),
        };
        let retry_after = match outcome {
            Outcome::NotRun { retry_after, .. } => Some(*retry_after),
            Outcome::Done(_) | Outcome::Unknown { .. } => None,
        };
        let barrier = &decision.barrier;
        let short = barrier.service.as_ref().filter(|_| barrier.level > Level::OPEN);
        let short = short.map(|service| service.as_str());
        let id = String::from_utf8_lossy(&decision.request);
        // Served requests are not traced by what they hold.
        let print = matches!(outcome, Outcome::Unknown { .. } | Outcome::NotRun { .. })
            .then(|| decision.fingerprint.to_string());
        info!(self.logger, "request: {word}"; "id" => %id, "route" => %decision.route, "print" => print,
            "place" => decision.place, "reason" => reason, "status" => status,
            "revision" => decision.revision, "tried" => &decision.tried, "level" => u32::from(barrier.level.rank()),
            "short" => short,
            "passing" => decision.passing, "level_age_ms" => barrier.age.map(|age| age.as_millis() as u64),
            "retry_after_ms" => retry_after.map(|time| time.as_millis() as u64),
            "took_ms" => decision.took.as_millis() as u64);
    }
}
