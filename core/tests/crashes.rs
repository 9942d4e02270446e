//! A request that ends its targets is told from those that merely ran beside it.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::BTreeMap;
use std::time::Duration;

use poplar_core::{
    CrashAdmission, CrashHistory, CrashMark, CrashNews, Fingerprint, InstanceId, Moment, Name,
    SuccessReport, TargetLifetime,
};
use quickcheck::{Gen, QuickCheck};

/// Request that ends its targets.
const FATAL: Fingerprint = Fingerprint(7);
const CAPACITY: usize = 256;
/// Repeats that the operators allow once three targets have crashed.
const REPEATS_MAX: usize = 3;
/// Time after the third crash from which they are counted.
const SETTLING: u64 = 3_000;

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn life(number: u64) -> TargetLifetime {
    TargetLifetime::of(&InstanceId(Name::new("i-1")), number)
}

/// Mark as a node tells it at `now`, all in milliseconds.
fn mark(now: u64, print: Fingerprint, number: u64, began: u64, ended: u64) -> CrashMark {
    let age = |then: u64| Duration::from_millis(now - then);
    CrashMark { print, life: life(number), began: age(began), ended: age(ended) }
}

fn marks(marks: Vec<CrashMark>) -> CrashNews {
    CrashNews { marks, ..CrashNews::default() }
}

/// Request that ends each target at once, told to one node as it happens.
fn crash(known: &mut CrashHistory, now: u64, number: u64) {
    let news = known.merge(at(now), &marks(vec![mark(now, FATAL, number, now - 1, now)]));
    assert_eq!(news.marks.len(), 1);
    known.verify().unwrap();
}

fn is_refused(passage: CrashAdmission) -> bool {
    matches!(passage, CrashAdmission::Refused(_))
}

#[test]
fn request_that_ended_two_targets_runs_alone_and_after_three_it_is_refused() {
    let mut known = CrashHistory::new(CAPACITY);
    crash(&mut known, 1_000, 1);
    assert_eq!(known.admission(at(1_000), FATAL), CrashAdmission::Unrestricted);
    crash(&mut known, 1_300, 2);
    assert_eq!(known.admission(at(1_300), FATAL), CrashAdmission::Isolated);
    crash(&mut known, 1_600, 3);
    let left = Duration::from_millis(9_600);
    assert_eq!(known.admission(at(2_000), FATAL), CrashAdmission::Refused(left));
    assert_eq!(known.admission(at(11_600), FATAL), CrashAdmission::Isolated);
}

/// The repeats that trials cost stay within what the operators allow, however long the request comes.
#[test]
fn repeats_of_an_hour_after_the_third_crash_are_within_the_bound() {
    let mut known = CrashHistory::new(CAPACITY);
    let (mut crashes, mut late) = (Vec::new(), 0);
    for now in (1_000..3_600_000).step_by(300) {
        if is_refused(known.admission(at(now), FATAL)) {
            continue;
        }
        late += usize::from(crashes.get(2).is_some_and(|third| now > third + SETTLING));
        crash(&mut known, now, now);
        crashes.push(now);
    }
    assert!(late <= REPEATS_MAX && crashes.len() > 3, "{late} late of {}", crashes.len());
}

/// A rack ends at one moment, with a request in flight at each of its targets.
#[test]
fn targets_that_end_together_count_once() {
    let mut known = CrashHistory::new(CAPACITY);
    let rack = (0..16).map(|number| mark(1_000, FATAL, number, 700 + number * 10, 1_000));
    known.merge(at(1_000), &marks(rack.collect()));
    assert_eq!(
        (known.count(FATAL), known.admission(at(1_001), FATAL)),
        (1, CrashAdmission::Unrestricted)
    );
}

/// A popular request is in flight at every crash of another one, and ends well in between.
#[test]
fn popular_bystander_of_many_crashes_is_never_held_up() {
    let popular = Fingerprint(8);
    let mut known = CrashHistory::new(CAPACITY);
    for number in 1..100 {
        let now = number * 300;
        known.record_success(at(now - 200), popular);
        let news = marks(vec![mark(now, popular, number, now - 100, now)]);
        known.merge(at(now), &news);
        assert_eq!(
            known.admission(at(now), popular),
            CrashAdmission::Unrestricted,
            "crash {number}"
        );
        known.verify().unwrap();
    }
}

/// A popular request that meets three targets which are down, within a moment in which it is in flight
/// nowhere else, is refused by nobody: if all did, nothing could clear it.
#[test]
fn popular_bystander_of_crashes_in_a_row_goes_on_being_tried() {
    let (mut beside, mut entry) = (CrashHistory::new(CAPACITY), CrashHistory::new(CAPACITY));
    beside.record_success(at(1_000), FATAL);
    for number in 1..=5 {
        let now = 1_000 + number * 50;
        let told = marks(vec![mark(now, FATAL, number, now - 1, now)]);
        entry.merge(at(now), &told);
        entry.merge(at(now), &beside.merge(at(now), &told));
        for known in [&beside, &entry] {
            assert!(!is_refused(known.admission(at(now), FATAL)), "after {number}");
            known.verify().unwrap();
        }
    }
    assert_eq!(entry.admission(at(1_300), FATAL), CrashAdmission::Isolated);
}

/// Targets that fell silent one after the other are known to have ended only when they are back, and
/// a request that ended well meanwhile has nothing against it.
#[test]
fn marks_from_before_a_success_do_not_count_however_late_they_come() {
    let mut known = CrashHistory::new(CAPACITY);
    known.record_success(at(5_000), FATAL);
    let late =
        (0..5).map(|number| mark(7_000, FATAL, number, 1_000 + number * 500, 1_100 + number * 500));
    let news = known.merge(at(7_000), &marks(late.collect()));
    assert_eq!(known.admission(at(7_000), FATAL), CrashAdmission::Unrestricted);
    // Others, who have not seen the success, are told.
    assert!(news.marks.is_empty() && news.successes.len() == 1, "{news:?}");
}

#[test]
fn success_in_a_trial_ends_the_refusal_for_all() {
    let (mut one, mut other) = (CrashHistory::new(CAPACITY), CrashHistory::new(CAPACITY));
    for number in 1..=3 {
        crash(&mut one, number * 1_000, number);
        crash(&mut other, number * 1_000, number);
    }
    let news = one.record_success(at(14_000), FATAL);
    other.merge(at(14_002), &news);
    for known in [&one, &other] {
        assert_eq!(known.admission(at(14_010), FATAL), CrashAdmission::Unrestricted);
        known.verify().unwrap();
    }
}

/// The node that sees the third crash may hear of the others only after it; whoever has seen one keeps
/// them for processes that start later.
#[test]
fn crashes_are_kept_whatever_the_order_in_which_the_one_who_saw_the_last_hears_of_them() {
    let mut known = CrashHistory::new(CAPACITY);
    let seen = known.record_local(at(3_000), mark(3_000, FATAL, 3, 2_999, 3_000));
    assert!(!known.must_persist(&seen));
    let first = known.merge(at(3_010), &marks(vec![mark(3_010, FATAL, 1, 999, 1_000)]));
    assert!(!known.must_persist(&first));
    let second = known.merge(at(3_020), &marks(vec![mark(3_020, FATAL, 2, 1_999, 2_000)]));
    assert!(known.must_persist(&second));
    // A node that has seen none leaves it to those who have.
    let mut other = CrashHistory::new(CAPACITY);
    let news = other.merge(at(3_020), &known.export_for_peer(at(3_020)));
    assert_eq!((news.marks.len(), other.must_persist(&news)), (3, false));
}

/// A process that starts has a clock of its own, on which the crashes lie before its start.
#[test]
fn what_was_kept_counts_in_a_process_that_starts_later() {
    let mut before = CrashHistory::new(CAPACITY);
    for number in 1..=3 {
        crash(&mut before, number * 100_000, number);
    }
    let kept = before.export_refused(at(300_001));
    assert_eq!(kept.marks.len(), 3);
    let mut after = CrashHistory::new(CAPACITY);
    after.merge(at(5), &kept.aged(Duration::from_millis(2_000)));
    let CrashAdmission::Refused(left) = after.admission(at(5), FATAL) else {
        panic!("not refused")
    };
    assert_eq!(left, Duration::from_millis(7_999));
}

/// News that come over several slow paths, in circles, are news once.
#[test]
fn news_that_come_again_over_slower_paths_are_not_passed_on() {
    let mut known = CrashHistory::new(CAPACITY);
    let told = marks(vec![mark(1_000, FATAL, 1, 990, 1_000)]);
    assert!(!known.merge(at(1_000), &told).is_empty());
    for later in [10, 200, 900] {
        assert!(known.merge(at(1_000 + later), &told).is_empty(), "{later} ms later");
    }
    let pardon = SuccessReport { print: FATAL, age: Duration::ZERO };
    let told = CrashNews { successes: vec![pardon], ..CrashNews::default() };
    assert!(!known.merge(at(2_000), &told).is_empty());
    for later in [10, 200, 900] {
        assert!(known.merge(at(2_000 + later), &told).is_empty(), "{later} ms later");
    }
}

/// A neighbour that comes just after a crash, as when processes start, counts as the others do; one that
/// comes later is spared the bystanders that never came again.
#[test]
fn new_neighbour_is_told_of_recent_crashes_and_of_requests_that_crashed_two_targets() {
    let mut known = CrashHistory::new(CAPACITY);
    crash(&mut known, 1_000, 1);
    assert_eq!(known.export_for_peer(at(1_500)).marks.len(), 1);
    assert_eq!(known.export_for_peer(at(60_000)).marks.len(), 0);
    crash(&mut known, 61_000, 2);
    assert_eq!(known.export_for_peer(at(200_000)).marks.len(), 2);
}

/// A flood of other requests does not drive out the ones that are refused.
#[test]
fn refused_request_outlives_a_flood_of_bystanders() {
    let mut known = CrashHistory::new(CAPACITY);
    for number in 1..=3 {
        crash(&mut known, number * 1_000, number);
    }
    for number in 0..10_000 {
        let now = 4_000 + number;
        let bystander = Fingerprint(100 + number);
        known.merge(at(now), &marks(vec![mark(now, bystander, 100 + number, now - 1, now)]));
        known.verify().unwrap();
    }
    assert!(is_refused(known.admission(at(12_000), FATAL)));
}

/// Whatever order news come in, all nodes count alike.
#[test]
fn order_of_news_does_not_matter() {
    fn holds(seed: u64) -> bool {
        let mut draw = Gen::from_size_and_seed(64, seed);
        let mut number = |most: u64| *draw.choose(&(0..most).collect::<Vec<_>>()).unwrap();
        let now = 100_000;
        let mut events = Vec::new();
        for idx in 0..12 {
            let began = 5_000 * number(18);
            if number(5) == 0 {
                let pardon =
                    SuccessReport { print: FATAL, age: Duration::from_millis(now - began) };
                events.push(CrashNews { successes: vec![pardon], ..CrashNews::default() });
            } else {
                let ended = began + 1 + number(4_000);
                events.push(marks(vec![mark(now, FATAL, idx, began, ended)]));
            }
        }
        let mut counts = BTreeMap::new();
        for _ in 0..4 {
            let mut known = CrashHistory::new(CAPACITY);
            for turn in (1..events.len()).rev() {
                events.swap(turn, number(turn as u64 + 1) as usize);
            }
            for news in &events {
                known.merge(at(now), news);
                known.verify().unwrap();
            }
            *counts.entry(known.count(FATAL)).or_insert(0) += 1;
        }
        counts.len() == 1
    }
    QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(32, 24))
        .quickcheck(holds as fn(u64) -> bool);
}
