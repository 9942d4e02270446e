//! Tests of the search: it visits every state, and returns the shortest run that violates an
//! invariant.

use poplar_model::{Model, Property, Step, check};

/// Counter that is incremented by one or two up to its limit; the invariant is a value below 8.
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
fn the_shortest_failing_run_is_returned() {
    let failure = check(&Counter { limit: 9 }).failure.unwrap();
    assert_eq!(failure.invariant, "below 8");
    assert_eq!(failure.trace.len(), 4);
}

#[test]
fn an_unreached_witness_fails_the_check() {
    let report = check(&Counter { limit: 5 });
    assert_eq!(report.unreached, ["seven"]);
    assert!(!report.is_ok());
}
