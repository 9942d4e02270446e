//! Membership under kills, partitions, freezes and drains, on a simulated clock.

#[path = "../../bench/src/group.rs"]
#[allow(dead_code, unreachable_pub)]
mod group;

use std::time::Duration;

use group::{Group, ZONES};
use poplar_core::{
    Change, Follower, Incarnation, MemberRecord, MemberState, MemberVerdict, Membership, Message,
    Moment, SampleRequest, VerdictReport,
};

const SEEDS: [u64; 3] = [11, 12, 13];

fn second(n: u64) -> Duration {
    Duration::from_secs(n)
}

/// Group whose members all know each other and agree.
fn converged_group(count: usize, seed: u64) -> Group {
    let mut group = Group::new(count, seed, |_| 0);
    let joined = group.advance_until(second(30), |g| g.all_alive() && g.all_agree());
    assert!(joined.is_some(), "seed {seed}: {count} members did not find each other");
    group.advance(second(5));
    group
}

#[test]
fn ten_members_killed_at_once_are_lost_in_all_views_and_no_other_is() {
    for seed in SEEDS {
        let mut group = converged_group(100, seed);
        (20..30).for_each(|idx| group.kill(idx));
        let lost = |g: &Group, about| {
            g.all_views_satisfy(about, |_| true, |_, v| v == MemberVerdict::Lost)
        };
        let noticed = group.advance_until(second(15), |g| (20..30).all(|about| lost(g, about)));
        assert!(noticed.is_some(), "seed {seed}");
        assert_eq!(
            group.count_verdicts(MemberVerdict::Lost, |_| true),
            0,
            "seed {seed}: false loss"
        );
        group.advance(second(5));
        assert_eq!(group.count_verdicts(MemberVerdict::Suspect, |_| true), 0, "seed {seed}");
        assert!(group.all_agree(), "seed {seed}");
    }
}

#[test]
fn zone_partition_heals_and_neither_side_marks_its_own_members_as_lost() {
    for seed in SEEDS {
        let mut group = converged_group(60, seed);
        let inside = |idx: usize| idx % ZONES == 1;
        group.set_partitioned(1, true);
        let lost = |g: &Group, about: usize| {
            let other = |idx: usize| inside(idx) != inside(about);
            g.all_views_satisfy(about, other, |_, verdict| verdict == MemberVerdict::Lost)
        };
        let apart = group.advance_until(second(20), |g| (0..60).all(|about| lost(g, about)));
        assert!(
            apart.is_some(),
            "seed {seed}: some views still hold members of the other side as not lost"
        );
        assert_eq!(group.count_verdicts(MemberVerdict::Lost, inside), 0);
        assert_eq!(group.count_verdicts(MemberVerdict::Lost, |idx| !inside(idx)), 0);
        group.set_partitioned(1, false);
        for _ in 0..100 {
            group.advance(Duration::from_millis(100));
            let inside_lost = group.count_verdicts(MemberVerdict::Lost, inside);
            let outside_lost = group.count_verdicts(MemberVerdict::Lost, |idx| !inside(idx));
            assert_eq!(
                inside_lost + outside_lost,
                0,
                "seed {seed}: a side marked its own members as lost"
            );
        }
        let healed = group.advance_until(second(20), |g| g.all_alive() && g.all_agree());
        assert!(healed.is_some(), "seed {seed}: the views did not converge after the partition");
    }
}

#[test]
fn frozen_member_that_thaws_is_alive_again_and_suspects_no_other() {
    for seed in SEEDS {
        let mut group = converged_group(60, seed);
        group.freeze(7);
        group.advance(second(30));
        assert!(
            group.all_views_satisfy(7, |_| true, |_, v| v == MemberVerdict::Lost),
            "seed {seed}"
        );
        group.thaw(7);
        for _ in 0..50 {
            group.advance(Duration::from_millis(100));
            let suspects = group.count_verdicts(MemberVerdict::Suspect, |idx| idx != 7);
            assert_eq!(suspects, 0, "seed {seed}: the thawed member suspects others");
        }
        assert!(group.advance_until(second(10), Group::all_alive).is_some(), "seed {seed}");
    }
}

#[test]
fn draining_and_leaving_reach_all_views_within_three_seconds() {
    for seed in SEEDS {
        let mut group = converged_group(300, seed);
        for state in [MemberState::Draining, MemberState::Left] {
            (0..3).for_each(|idx| group.set_state(idx, state));
            // A member that left gets no more messages.
            let updated = |idx: usize| idx >= 3 || state != MemberState::Left;
            let known = |g: &Group| {
                (0..3).all(|about| g.all_views_satisfy(about, updated, |s, _| s == state))
            };
            assert!(group.advance_until(second(3), known).is_some(), "seed {seed}: {state:?}");
        }
    }
}

#[test]
fn message_loss_never_marks_a_live_member_as_lost() {
    let mut group = converged_group(30, 11);
    group.set_loss(5);
    for _ in 0..600 {
        group.advance(Duration::from_millis(500));
        assert_eq!(group.count_verdicts(MemberVerdict::Lost, |_| true), 0);
    }
}

fn member(name: &str, incarnation: u64, sequence: u64) -> MemberRecord {
    MemberRecord {
        instance: name.into(),
        incarnation: Incarnation(incarnation),
        sequence,
        service: "listings".into(),
        zone: "rennes".into(),
        address: "127.0.0.1:1".to_owned(),
        slots: 20,
        state: MemberState::Serving,
        successor: None,
    }
}

#[test]
fn stale_foreign_or_oversized_records_change_nothing() {
    let now = Moment::from_millis(1);
    let mut membership = Membership::new(now, member("a", 1, 1), 0);
    membership.seed(now, [member("b", 5, 2)]);
    let before = membership.digest();
    membership.seed(
        now,
        [
            member("b", 4, 9),
            member("b", 5, 1),
            MemberRecord { service: "archives".into(), ..member("c", 1, 1) },
            MemberRecord { address: "x".repeat(65), ..member("d", 1, 1) },
        ],
    );
    membership.announce(now, member("b", 9, 9));
    assert_eq!(membership.digest(), before);
    membership.seed(now, [member("b", 6, 1)]);
    assert_ne!(membership.digest(), before);
    membership.verify().expect("the view is consistent");
}

#[test]
fn suspicion_counts_as_a_change_and_newer_incarnation_of_the_own_instance_is_reported() {
    let now = Moment::from_millis(1);
    let mut membership = Membership::new(now, member("a", 5, 1), 0);
    membership.seed(now, [member("b", 1, 1)]);
    let (changes, digest) = (membership.changes(), membership.digest());
    let suspect = VerdictReport {
        instance: "b".into(),
        incarnation: Incarnation(1),
        refutations: 0,
        verdict: MemberVerdict::Suspect,
    };
    let newer = VerdictReport {
        instance: "a".into(),
        incarnation: Incarnation(6),
        verdict: MemberVerdict::Alive,
        ..suspect.clone()
    };
    let from = member("b", 1, 1).peer();
    let push = |report| Message::Push { changes: vec![Change::Verdict(report)] };
    membership.receive(now, &from, push(suspect));
    assert!(membership.changes() > changes && membership.digest() == digest);
    assert_eq!(membership.newer_incarnation(), None);
    membership.receive(now, &from, push(newer));
    assert_eq!(membership.newer_incarnation(), Some(Incarnation(6)));
    membership.announce(now, member("a", 7, 1));
    assert_eq!(membership.newer_incarnation(), None);
}

#[test]
fn invalid_and_excess_input_leaves_the_view_consistent_and_bounded() {
    let now = Moment::from_millis(1);
    let mut membership = Membership::new(now, member("a", 1, 1), 0);
    membership.seed(now, (0..5_000).map(|n| member(&format!("x{n}"), 1, 1)));
    assert_eq!(membership.entries().count(), 2_048);
    let from = member("x1", 1, 1).peer();
    for buckets in [vec![], vec![1; 3], vec![7; 999]] {
        let out = membership.receive(now, &from, Message::Compare { buckets });
        assert!(out.len() <= 3);
    }
    membership.receive(
        now,
        &from,
        Message::Page { bucket: 255, entries: Vec::new(), answer: true },
    );
    membership.verify().expect("the view is consistent");
}

#[test]
fn follower_gets_half_its_sample_from_its_zone_and_only_changed_samples_later() {
    let now = Moment::from_millis(1);
    let mut serving = Membership::new(now, member("a", 1, 1), 0);
    let zone = |n: u64| if n.is_multiple_of(4) { "rennes" } else { "brest" };
    let record = |n: u64| MemberRecord { zone: zone(n).into(), ..member(&format!("x{n}"), 1, 1) };
    serving.seed(now, (0..100).map(record));
    let seeds = vec![member("a", 1, 1).peer()];
    let mut follower =
        Follower::new(now, "listings".into(), "rennes".into(), &"caller".into(), seeds);
    let outgoing = follower.next_request(now, 3).expect("the first request is due at once");
    assert_eq!(follower.next_request(now, 3), None, "one request at a time");
    let sample = serving.sample(now, &outgoing.request);
    follower.on_sample(now, sample);
    let local = follower.members().iter().filter(|m| m.zone.as_str() == "rennes").count();
    assert_eq!((follower.members().len(), local), (24, 12));
    let later = now + second(2);
    let outgoing = follower.next_request(later, 4).expect("the next request is due");
    assert_eq!(serving.sample(later, &outgoing.request).members, None, "the sample is unchanged");
    let leaver = follower.members()[0].clone();
    let drained = MemberRecord { sequence: 2, state: MemberState::Draining, ..leaver.clone() };
    serving.seed(later, [drained]);
    let sample = serving.sample(later, &outgoing.request);
    follower.on_sample(later, sample);
    assert_eq!(follower.members().len(), 24);
    assert!(!follower.members().iter().any(|m| m.instance == leaver.instance));
}

#[test]
fn member_with_many_followers_lengthens_their_request_interval() {
    let mut now = Moment::from_millis(1);
    let mut serving = Membership::new(now, member("a", 1, 1), 0);
    let request =
        SampleRequest { service: "listings".into(), zone: "rennes".into(), key: 1, digest: 0 };
    let mut interval = Duration::ZERO;
    for _ in 0..1_000 {
        now = now + Duration::from_millis(2);
        interval = serving.sample(now, &request).again;
    }
    assert!(interval >= second(60), "{interval:?}");
}
