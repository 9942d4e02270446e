//! A member of a zone that knows nobody is told of a reader.

use poplar_core::{Introductions, Moment, Name};

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

#[test]
fn member_that_does_not_subscribe_is_told_within_a_second_and_not_for_ever() {
    let (one, other) = (Name::new("one"), Name::new("other"));
    let mut known = Introductions::default();
    known.set_members(at(0), [&one, &other]);
    known.on_subscribe(&other);
    let told: Vec<_> =
        (0..600).map(|step| step * 100).filter(|now| !known.due(at(*now)).is_empty()).collect();
    assert_eq!(told, [1_000, 3_000, 7_000, 15_000, 31_000]);
}

/// A change of the members starts nothing anew for those that stay.
#[test]
fn members_that_stay_are_not_told_again_as_others_come() {
    let names: Vec<_> = (0..50).map(|number| Name::new(&number.to_string())).collect();
    let mut known = Introductions::default();
    let mut told = 0;
    for (idx, name) in names.iter().enumerate() {
        let now = 100 * idx as u64;
        known.set_members(at(now), &names[..=idx]);
        known.on_subscribe(name);
        told += known.due(at(now + 50)).len();
    }
    assert_eq!(told, 0);
}
