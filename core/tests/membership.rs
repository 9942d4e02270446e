//! Membership under kills, cuts, freezes and drains, on a fake clock.

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

fn settled(count: usize, seed: u64) -> Group {
    let mut group = Group::new(count, seed, |_| 0);
    let joined = group.wait(second(30), |g| g.all_alive() && g.all_agree());
    assert!(joined.is_some(), "seed {seed}: {count} members did not find each other");
    group.pass(second(5));
    group
}

#[test]
fn ten_killed_at_once_are_known_everywhere_and_no_other_is_lost() {
    for seed in SEEDS {
        let mut group = settled(100, seed);
        (20..30).for_each(|idx| group.kill(idx));
        let lost = |g: &Group, about| g.all_hold(about, |_| true, |_, v| v == MemberVerdict::Lost);
        let noticed = group.wait(second(15), |g| (20..30).all(|about| lost(g, about)));
        assert!(noticed.is_some(), "seed {seed}");
        assert_eq!(group.count(MemberVerdict::Lost, |_| true), 0, "seed {seed}: false loss");
        group.pass(second(5));
        assert_eq!(group.count(MemberVerdict::Suspect, |_| true), 0, "seed {seed}");
        assert!(group.all_agree(), "seed {seed}");
    }
}

#[test]
fn a_zone_cut_off_and_healed_is_whole_again_and_neither_side_doubts_itself() {
    for seed in SEEDS {
        let mut group = settled(60, seed);
        let inside = |idx: usize| idx % ZONES == 1;
        group.cut(1, true);
        let lost = |g: &Group, about: usize| {
            let other = |idx: usize| inside(idx) != inside(about);
            g.all_hold(about, other, |_, verdict| verdict == MemberVerdict::Lost)
        };
        let apart = group.wait(second(20), |g| (0..60).all(|about| lost(g, about)));
        assert!(apart.is_some(), "seed {seed}: the sides still count on each other");
        assert_eq!(group.count(MemberVerdict::Lost, inside), 0);
        assert_eq!(group.count(MemberVerdict::Lost, |idx| !inside(idx)), 0);
        group.cut(1, false);
        for _ in 0..100 {
            group.pass(Duration::from_millis(100));
            let own = group.count(MemberVerdict::Lost, inside);
            let other = group.count(MemberVerdict::Lost, |idx| !inside(idx));
            assert_eq!(own + other, 0, "seed {seed}: a side took its own members for lost");
        }
        let healed = group.wait(second(20), |g| g.all_alive() && g.all_agree());
        assert!(healed.is_some(), "seed {seed}: the cut did not heal");
    }
}

#[test]
fn a_frozen_member_that_wakes_is_alive_again_and_blames_no_other() {
    for seed in SEEDS {
        let mut group = settled(60, seed);
        group.freeze(7);
        group.pass(second(30));
        assert!(group.all_hold(7, |_| true, |_, v| v == MemberVerdict::Lost), "seed {seed}");
        group.thaw(7);
        for _ in 0..50 {
            group.pass(Duration::from_millis(100));
            let blamed = group.count(MemberVerdict::Suspect, |idx| idx != 7);
            assert_eq!(blamed, 0, "seed {seed}: the woken member blamed others");
        }
        assert!(group.wait(second(10), Group::all_alive).is_some(), "seed {seed}");
    }
}

#[test]
fn draining_and_leaving_are_known_everywhere_within_three_seconds() {
    for seed in SEEDS {
        let mut group = settled(300, seed);
        for state in [MemberState::Draining, MemberState::Left] {
            (0..3).for_each(|idx| group.set_state(idx, state));
            // A member that left is told nothing more.
            let told = |idx: usize| idx >= 3 || state != MemberState::Left;
            let known = |g: &Group| (0..3).all(|about| g.all_hold(about, told, |s, _| s == state));
            assert!(group.wait(second(3), known).is_some(), "seed {seed}: {state:?}");
        }
    }
}

#[test]
fn messages_of_a_group_under_loss_never_make_a_live_member_lost() {
    let mut group = settled(30, 11);
    group.lose(5);
    for _ in 0..600 {
        group.pass(Duration::from_millis(500));
        assert_eq!(group.count(MemberVerdict::Lost, |_| true), 0);
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
fn reports_of_an_older_incarnation_or_another_service_change_nothing() {
    let now = Moment::from_millis(1);
    let mut own = Membership::new(now, member("a", 1, 1), 0);
    own.seed(now, [member("b", 5, 2)]);
    let before = own.digest();
    own.seed(
        now,
        [
            member("b", 4, 9),
            member("b", 5, 1),
            MemberRecord { service: "archives".into(), ..member("c", 1, 1) },
            MemberRecord { address: "x".repeat(65), ..member("d", 1, 1) },
        ],
    );
    own.announce(now, member("b", 9, 9));
    assert_eq!(own.digest(), before);
    own.seed(now, [member("b", 6, 1)]);
    assert_ne!(own.digest(), before);
    own.verify().expect("consistent");
}

#[test]
fn a_suspicion_counts_as_a_change_and_a_newer_incarnation_of_the_own_instance_is_told() {
    let now = Moment::from_millis(1);
    let mut own = Membership::new(now, member("a", 5, 1), 0);
    own.seed(now, [member("b", 1, 1)]);
    let (changes, digest) = (own.changes(), own.digest());
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
    own.receive(now, &from, push(suspect));
    assert!(own.changes() > changes && own.digest() == digest);
    assert_eq!(own.newer_incarnation(), None);
    own.receive(now, &from, push(newer));
    assert_eq!(own.newer_incarnation(), Some(Incarnation(6)));
    own.announce(now, member("a", 7, 1));
    assert_eq!(own.newer_incarnation(), None);
}

#[test]
fn garbage_and_floods_leave_the_view_consistent_and_bounded() {
    let now = Moment::from_millis(1);
    let mut own = Membership::new(now, member("a", 1, 1), 0);
    own.seed(now, (0..5_000).map(|n| member(&format!("x{n}"), 1, 1)));
    assert_eq!(own.entries().count(), 2_048);
    let from = member("x1", 1, 1).peer();
    for buckets in [vec![], vec![1; 3], vec![7; 999]] {
        let out = own.receive(now, &from, Message::Compare { buckets });
        assert!(out.len() <= 3);
    }
    own.receive(now, &from, Message::Page { bucket: 255, entries: Vec::new(), answer: true });
    own.verify().expect("consistent");
}

#[test]
fn a_follower_gets_a_stable_sample_near_first_and_learns_what_changed() {
    let now = Moment::from_millis(1);
    let mut serving = Membership::new(now, member("a", 1, 1), 0);
    let zone = |n: u64| if n.is_multiple_of(4) { "rennes" } else { "brest" };
    let record = |n: u64| MemberRecord { zone: zone(n).into(), ..member(&format!("x{n}"), 1, 1) };
    serving.seed(now, (0..100).map(record));
    let seeds = vec![member("a", 1, 1).peer()];
    let mut follower =
        Follower::new(now, "listings".into(), "rennes".into(), &"caller".into(), seeds);
    let ask = follower.next_request(now, 3).expect("due at once");
    assert_eq!(follower.next_request(now, 3), None, "one question at a time");
    let sample = serving.sample(now, &ask.request);
    follower.on_sample(now, sample);
    let near = follower.members().iter().filter(|m| m.zone.as_str() == "rennes").count();
    assert_eq!((follower.members().len(), near), (24, 12));
    let later = now + second(2);
    let ask = follower.next_request(later, 4).expect("due again");
    assert_eq!(serving.sample(later, &ask.request).members, None, "nothing new");
    let leaver = follower.members()[0].clone();
    let drained = MemberRecord { sequence: 2, state: MemberState::Draining, ..leaver.clone() };
    serving.seed(later, [drained]);
    let sample = serving.sample(later, &ask.request);
    follower.on_sample(later, sample);
    assert_eq!(follower.members().len(), 24);
    assert!(!follower.members().iter().any(|m| m.instance == leaver.instance));
}

#[test]
fn a_member_with_many_followers_slows_them_down() {
    let mut now = Moment::from_millis(1);
    let mut serving = Membership::new(now, member("a", 1, 1), 0);
    let ask =
        SampleRequest { service: "listings".into(), zone: "rennes".into(), key: 1, digest: 0 };
    let mut again = Duration::ZERO;
    for _ in 0..1_000 {
        now = now + Duration::from_millis(2);
        again = serving.sample(now, &ask).again;
    }
    assert!(again >= second(60), "{again:?}");
}
