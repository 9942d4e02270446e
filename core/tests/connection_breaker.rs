//! A target that resets every connection gets no requests except trials.

use poplar_core::{ConnectionBreaker, Moment};

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

#[test]
fn target_that_resets_all_connections_gets_trials_at_growing_intervals() {
    let mut breaker = ConnectionBreaker::default();
    let mut sent = 0;
    for now in (0..3_100).step_by(10) {
        if breaker.admit(at(now)) {
            breaker.record_reset();
            sent += 1;
        }
    }
    // Three resets at 0, 10 and 20 ms, then trials at 30, 230, 630, 1,430 and 3,030 ms.
    assert_eq!(sent, 3 + 5);
    assert!(breaker.admit(at(5_000)));
    breaker.record_answer();
    assert!((5_001..5_011).all(|now| breaker.admit(at(now))));
}

#[test]
fn target_that_loses_some_answers_gets_all_requests() {
    let mut breaker = ConnectionBreaker::default();
    for now in 0..3_000 {
        assert!(breaker.admit(at(now)));
        if now % 3 == 0 { breaker.record_answer() } else { breaker.record_reset() }
    }
}
