//! Introduction of a reader to members of its zone that do not subscribe to it.

use poplar_core::{Introductions, Moment, Name};

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

#[test]
fn introductions_to_a_member_that_does_not_subscribe_start_after_a_second_and_end() {
    let (one, other) = (Name::new("one"), Name::new("other"));
    let mut introductions = Introductions::default();
    introductions.set_members(at(0), [&one, &other]);
    introductions.on_subscribe(&other);
    let introduced: Vec<_> = (0..600)
        .map(|step| step * 100)
        .filter(|now| !introductions.due(at(*now)).is_empty())
        .collect();
    assert_eq!(introduced, [1_000, 3_000, 7_000, 15_000, 31_000]);
}

/// A change of the members does not restart the schedule of those that were already known.
#[test]
fn known_members_get_no_new_introduction_when_others_join() {
    let names: Vec<_> = (0..50).map(|number| Name::new(&number.to_string())).collect();
    let mut introductions = Introductions::default();
    let mut introduced = 0;
    for (idx, name) in names.iter().enumerate() {
        let now = 100 * idx as u64;
        introductions.set_members(at(now), &names[..=idx]);
        introductions.on_subscribe(name);
        introduced += introductions.due(at(now + 50)).len();
    }
    assert_eq!(introduced, 0);
}

/// Guards against a process that starts while its machine cannot reach the store, and that no
/// reader introduces itself to because the process before it had subscribed.
#[test]
fn member_whose_subscription_ended_is_introduced_again() {
    let one = Name::new("one");
    let mut introductions = Introductions::default();
    introductions.set_members(at(0), [&one]);
    for start in [100_000, 200_000] {
        introductions.on_subscribe(&one);
        assert!(introductions.due(at(start)).is_empty());
        introductions.on_unsubscribe(at(start), &one);
        introductions.set_members(at(start + 500), [&one]);
        assert!(introductions.due(at(start + 900)).is_empty());
        assert_eq!(introductions.due(at(start + 1_000)), std::slice::from_ref(&one));
    }
}

/// A machine may be away for longer than the schedule of introductions lasts.
#[test]
fn introductions_that_reach_nobody_do_not_count() {
    let one = Name::new("one");
    let mut introductions = Introductions::default();
    introductions.set_members(at(0), [&one]);
    for now in (0..600_000).step_by(100) {
        for peer in introductions.due(at(now)) {
            introductions.on_unreachable(&peer);
        }
    }
    let introduced: Vec<_> = (600_000..900_000)
        .step_by(100)
        .filter(|now| !introductions.due(at(*now)).is_empty())
        .collect();
    assert_eq!(introduced.len(), 5);
    assert!(introduced[0] <= 616_000, "first introduction at {} ms", introduced[0]);
}
