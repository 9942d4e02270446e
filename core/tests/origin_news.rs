//! A node sends a peer only those sightings that are new to it. If it sent all of them with each
//! heartbeat, the traffic would grow with the number of nodes and the heartbeat rate.

use std::time::Duration;

use poplar_core::{Moment, Name, PeerSightings, RouteOrigins};

fn record_requests(origins: &mut RouteOrigins, now: Moment, route: &str) {
    for _ in 0..3 {
        origins.record_request(now, &Name::new(route), &Name::new("shop"));
    }
}

#[test]
fn a_sighting_is_sent_once_and_again_only_after_the_resend_interval() {
    let (mut origins, mut peer) = (RouteOrigins::default(), PeerSightings::default());
    let mut sent = 0;
    for ms in (0..20_000).step_by(300) {
        let now = Moment::from_millis(ms);
        record_requests(&mut origins, now, "read");
        let sightings = origins.export(now);
        sent += peer.select_unsent(now, &sightings).len();
    }
    assert_eq!(sent, 2, "once at first and once after ten seconds");
}

#[test]
fn a_sighting_is_not_sent_to_the_node_from_which_it_was_received() {
    let (mut origins, mut peer) = (RouteOrigins::default(), PeerSightings::default());
    let mut other = RouteOrigins::default();
    let now = Moment::from_millis(1_000);
    record_requests(&mut other, now, "read");
    let received = other.export(now);
    origins.merge(now, &received);
    peer.record_received(now, &received);
    let sightings = origins.export(now);
    assert_eq!(peer.select_unsent(now, &sightings), []);
    let later = now + Duration::from_millis(300);
    record_requests(&mut origins, later, "book");
    let sightings = origins.export(later);
    assert_eq!(peer.select_unsent(later, &sightings).len(), 1);
}
