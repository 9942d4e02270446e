//! Which calls a stopping node takes.

use std::time::Duration;

use poplar_core::{Moment, StopPlan};
use quickcheck::quickcheck;

const GRACE: Duration = Duration::from_secs(6);

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn left(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Guards against calls that a stopping node takes and breaks off at its own end.
#[test]
fn call_is_taken_only_if_its_time_limit_ends_before_the_runs() {
    let plan = StopPlan::new(at(10_000), GRACE);
    assert_eq!(plan.run_end(), at(15_280));
    assert!(plan.takes_call(at(10_000), left(5_000)));
    assert!(plan.takes_call(at(10_280), left(5_000)));
    assert!(!plan.takes_call(at(10_281), left(5_000)));
    assert!(!plan.takes_call(at(10_000), left(6_000)));
}

/// Guards against a stop that takes the capacity of a target away earlier than needed: short calls
/// are still run.
#[test]
fn short_calls_are_taken_later_than_long_ones() {
    let plan = StopPlan::new(at(10_000), GRACE);
    assert!(plan.takes_call(at(12_200), left(1_500)));
    assert!(!plan.takes_call(at(12_200), left(5_000)));
}

quickcheck! {
    /// Guards against a call that is refused and, with the same time limit, taken later.
    fn refused_call_stays_refused(now: u32, limit: u32, later: u32) -> bool {
        let plan = StopPlan::new(at(0), GRACE);
        let (now, limit) = (u64::from(now % 10_000), u64::from(limit % 10_000));
        let later = now + u64::from(later % 10_000);
        let takes = |now: u64| plan.takes_call(at(now), left(limit.saturating_sub(now)));
        takes(now) || limit < later || !takes(later)
    }
}
