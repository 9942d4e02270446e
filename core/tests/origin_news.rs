//! Sightings are told by differences.
//!
//! Pattern: news that are sent whole at each sign of life grow with the fleet and with the rate.

use std::time::Duration;

use poplar_core::{Moment, Name, PeerSightings, RouteOrigins};

fn seen(origins: &mut RouteOrigins, now: Moment, route: &str) {
    for _ in 0..3 {
        origins.record_request(now, &Name::new(route), &Name::new("shop"));
    }
}

#[test]
fn sighting_is_told_once_and_again_only_after_a_while() {
    let (mut origins, mut told) = (RouteOrigins::default(), PeerSightings::default());
    let mut sent = 0;
    for ms in (0..20_000).step_by(300) {
        let now = Moment::from_millis(ms);
        seen(&mut origins, now, "read");
        let sightings = origins.export(now);
        sent += told.select_unsent(now, &sightings).len();
    }
    assert_eq!(sent, 2, "once at first and once after ten seconds");
}

#[test]
fn sighting_is_not_told_to_the_node_that_told_it() {
    let (mut origins, mut told) = (RouteOrigins::default(), PeerSightings::default());
    let mut other = RouteOrigins::default();
    let now = Moment::from_millis(1_000);
    seen(&mut other, now, "read");
    let heard = other.export(now);
    origins.merge(now, &heard);
    told.record_received(now, &heard);
    let sightings = origins.export(now);
    assert_eq!(told.select_unsent(now, &sightings), []);
    let later = now + Duration::from_millis(300);
    seen(&mut origins, later, "book");
    let sightings = origins.export(later);
    assert_eq!(told.select_unsent(later, &sightings).len(), 1);
}
