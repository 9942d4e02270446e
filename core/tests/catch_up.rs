//! A zone whose readers are blind asks another zone for newer rules.

use poplar_core::{CatchUp, Moment, Revision};

const OLD: Revision = Revision(3);
const NEW: Revision = Revision(5);

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

/// The word of one far node once in 900 ms, and every 50 ms one of a near node that has nothing newer.
#[test]
fn word_of_newer_rules_is_not_undone_by_those_who_have_none() {
    let mut behind = CatchUp::default();
    let mut asked = None;
    for now in (0..900).step_by(50) {
        if now == 0 {
            behind.record_newer(at(now), OLD, NEW, "far");
        }
        behind.record_newer(at(now), OLD, OLD, "near");
        asked = asked.or(behind.next_source(at(now), OLD).map(|source| (now, source)));
    }
    assert_eq!(asked, Some((300, "far")));
}

#[test]
fn nobody_is_asked_once_the_rules_have_come() {
    let mut behind = CatchUp::default();
    behind.record_newer(at(0), OLD, NEW, "far");
    assert_eq!(behind.next_source(at(100), OLD), None);
    assert_eq!(behind.next_source(at(400), NEW), None);
    assert_eq!(behind.next_source(at(800), NEW), None);
}

#[test]
fn the_node_with_the_newest_rules_is_asked() {
    let mut behind = CatchUp::default();
    behind.record_newer(at(0), OLD, Revision(4), "newer");
    behind.record_newer(at(200), OLD, NEW, "newest");
    assert_eq!(behind.next_source(at(300), OLD), Some("newest"));
}
