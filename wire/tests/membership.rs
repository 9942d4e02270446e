//! Each membership message fits into one datagram, also with names and numbers of maximal length.

use poplar_core::{Incarnation, MemberRecord, MemberState, Membership, Message, Moment, Outgoing};
use poplar_wire::encode;

/// Largest encoded membership message, in bytes.
const MAX_MESSAGE_BYTES: usize = 1_200;

fn member(n: usize) -> MemberRecord {
    let long = |prefix: &str| format!("{prefix}{n:0width$}", width = 64 - prefix.len());
    MemberRecord {
        instance: long("instance").as_str().into(),
        incarnation: Incarnation(u64::MAX - 1),
        sequence: u64::MAX - 1,
        service: "s".repeat(64).as_str().into(),
        zone: long("zone").as_str().into(),
        address: long("address"),
        slots: u32::MAX,
        state: MemberState::Draining,
        successor: Some(long("successor").as_str().into()),
    }
}

fn assert_fits_datagram(out: &[Outgoing]) {
    for outgoing in out {
        let bytes = encode(&outgoing.message).expect("membership message encodes").len();
        assert!(bytes <= MAX_MESSAGE_BYTES, "{bytes} bytes: {:?}", outgoing.message);
    }
}

#[test]
fn every_message_fits_one_datagram_with_the_longest_names() {
    let start = Moment::from_millis(1);
    let mut membership = Membership::new(start, member(0), 1);
    membership.seed(start, (1..400).map(member));
    let from = member(1).peer();
    let mut kinds = std::collections::BTreeSet::new();
    for step in 0..200_u64 {
        let now = Moment::from_millis(100 * step);
        let mut out = membership.tick(now, step);
        let compare = Message::Compare { buckets: vec![step as u32; 32] };
        out.extend(membership.receive(now, &from, compare));
        let page = Message::Page { bucket: step as u8, entries: Vec::new(), answer: true };
        out.extend(membership.receive(now, &from, page));
        assert_fits_datagram(&out);
        kinds.extend(
            out.iter().map(|o| format!("{:?}", o.message).chars().take(5).collect::<String>()),
        );
    }
    assert!(kinds.len() >= 4, "too few kinds of messages were sent: {kinds:?}");
}
