//! A target that breaks every connection is left alone but for trials.

use poplar_core::{ConnectionBreaker, Moment};

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

#[test]
fn target_that_breaks_all_runs_is_tried_ever_more_rarely_until_it_answers() {
    let mut resets = ConnectionBreaker::default();
    let mut handed = 0;
    for now in (0..3_100).step_by(10) {
        if resets.admit(at(now)) {
            resets.record_reset();
            handed += 1;
        }
    }
    // After three in a row at 0 to 20 ms: at 30, 230, 630, 1,430 and 3,030 ms.
    assert_eq!(handed, 3 + 5);
    assert!(resets.admit(at(5_000)));
    resets.record_answer();
    assert!((5_001..5_011).all(|now| resets.admit(at(now))));
}

#[test]
fn target_that_loses_some_answers_takes_all_its_work() {
    let mut resets = ConnectionBreaker::default();
    for now in 0..3_000 {
        assert!(resets.admit(at(now)));
        if now % 3 == 0 { resets.record_answer() } else { resets.record_reset() }
    }
}
