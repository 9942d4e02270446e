//! The search itself: it visits every state and returns the shortest broken run.

use poplar_model::{Model, Property, Step, check};

/// Counter below 8 that goes up by one or two.
struct Counter {
    limit: u8,
}

impl Model for Counter {
    type State = u8;
    type Event = u8;

    fn initial(&self) -> u8 {
        0
    }

    fn steps(&self, state: &u8) -> Vec<Step<u8, u8>> {
        let steps = [1, 2].map(|event| Step { event, next: state + event });
        steps.into_iter().filter(|step| step.next <= self.limit).collect()
    }

    fn invariants(&self) -> Vec<Property<u8>> {
        vec![Property { name: "below 8", holds: |state| *state < 8 }]
    }

    fn witnesses(&self) -> Vec<Property<u8>> {
        vec![Property { name: "seven", holds: |state| *state == 7 }]
    }
}

#[test]
fn every_state_is_visited_once() {
    let report = check(&Counter { limit: 7 });
    assert!(report.is_ok());
    assert_eq!((report.states, report.depth), (8, 4));
}

#[test]
fn the_shortest_broken_run_is_returned() {
    let failure = check(&Counter { limit: 9 }).failure.unwrap();
    assert_eq!(failure.invariant, "below 8");
    assert_eq!(failure.trace.len(), 4);
}

#[test]
fn a_witness_that_no_state_shows_fails_the_check() {
    let report = check(&Counter { limit: 5 });
    assert_eq!(report.unreached, ["seven"]);
    assert!(!report.is_ok());
}
