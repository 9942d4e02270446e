//! Nodes of a zone whose readers have lost the store request newer rules from another zone.

use poplar_core::{CatchUp, Moment, Revision};

const OLD: Revision = Revision(3);
const NEW: Revision = Revision(5);

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

/// A node of another zone announces newer rules once in 900 ms; every 50 ms, a node of the own zone
/// announces the old ones. The old announcements must not reset the delay.
#[test]
fn newer_rules_are_not_forgotten_when_other_nodes_announce_old_ones() {
    let mut catch_up = CatchUp::default();
    let mut asked = None;
    for now in (0..900).step_by(50) {
        if now == 0 {
            catch_up.record_newer(at(now), OLD, NEW, "far");
        }
        catch_up.record_newer(at(now), OLD, OLD, "near");
        asked = asked.or(catch_up.next_source(at(now), OLD).map(|source| (now, source)));
    }
    assert_eq!(asked, Some((300, "far")));
}

#[test]
fn no_node_is_asked_once_the_rules_have_arrived() {
    let mut catch_up = CatchUp::default();
    catch_up.record_newer(at(0), OLD, NEW, "far");
    assert_eq!(catch_up.next_source(at(100), OLD), None);
    assert_eq!(catch_up.next_source(at(400), NEW), None);
    assert_eq!(catch_up.next_source(at(800), NEW), None);
}

#[test]
fn the_node_with_the_newest_rules_is_asked() {
    let mut catch_up = CatchUp::default();
    catch_up.record_newer(at(0), OLD, Revision(4), "newer");
    catch_up.record_newer(at(200), OLD, NEW, "newest");
    assert_eq!(catch_up.next_source(at(300), OLD), Some("newest"));
}
