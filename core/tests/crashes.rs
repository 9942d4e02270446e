//! A request that crashes its targets is distinguished from those that were in flight at the same
//! time.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use poplar_core::{
    CrashAdmission, CrashHistory, CrashMark, CrashNews, Fingerprint, InstanceId, Moment, Name,
    SuccessReport, TargetLifetime,
};
use quickcheck::{Gen, QuickCheck};

/// Request that crashes its targets.
const CRASHING: Fingerprint = Fingerprint(7);
const CAPACITY: usize = 256;
/// Number of further crashes that operators accept once a request has crashed three targets.
const MAX_REPEATS: usize = 3;
/// Time in milliseconds after the third crash from which further crashes are counted.
const SETTLING_MS: u64 = 3_000;

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn lifetime(number: u64) -> TargetLifetime {
    TargetLifetime::of(&InstanceId(Name::new("i-1")), number)
}

/// Mark as a node sends it at `now`; all times in milliseconds.
fn mark(now: u64, print: Fingerprint, number: u64, began: u64, ended: u64) -> CrashMark {
    let age = |then: u64| Duration::from_millis(now - then);
    CrashMark { print, life: lifetime(number), began: age(began), ended: age(ended) }
}

fn marks(marks: Vec<CrashMark>) -> CrashNews {
    CrashNews { marks, ..CrashNews::default() }
}

/// Reports a crash by [`CRASHING`] to one node at the time at which it happens.
fn crash(known: &mut CrashHistory, now: u64, number: u64) {
    let news = known.merge(at(now), &marks(vec![mark(now, CRASHING, number, now - 1, now)]));
    assert_eq!(news.marks.len(), 1);
    known.verify().unwrap();
}

fn is_refused(admission: CrashAdmission) -> bool {
    matches!(admission, CrashAdmission::Refused(_))
}

#[test]
fn request_runs_isolated_after_two_crashes_and_is_refused_after_three() {
    let mut known = CrashHistory::new(CAPACITY);
    crash(&mut known, 1_000, 1);
    assert_eq!(known.admission(at(1_000), CRASHING), CrashAdmission::Unrestricted);
    crash(&mut known, 1_300, 2);
    assert_eq!(known.admission(at(1_300), CRASHING), CrashAdmission::Isolated);
    crash(&mut known, 1_600, 3);
    let left = Duration::from_millis(9_600);
    assert_eq!(known.admission(at(2_000), CRASHING), CrashAdmission::Refused(left));
    assert_eq!(known.admission(at(11_600), CRASHING), CrashAdmission::Isolated);
}

/// Crashes by runs between refusals stay within the number that operators accept, even if the
/// request is sent continuously.
#[test]
fn crashes_in_an_hour_after_the_third_are_within_the_limit() {
    let mut known = CrashHistory::new(CAPACITY);
    let (mut crashes, mut late) = (Vec::new(), 0);
    for now in (1_000..3_600_000).step_by(300) {
        if is_refused(known.admission(at(now), CRASHING)) {
            continue;
        }
        late += usize::from(crashes.get(2).is_some_and(|third| now > third + SETTLING_MS));
        crash(&mut known, now, now);
        crashes.push(now);
    }
    assert!(
        late <= MAX_REPEATS && crashes.len() > 3,
        "{late} crashes after the settling time, {} in all",
        crashes.len()
    );
}

/// A rack fails, with the request in flight at each of its targets.
#[test]
fn targets_that_end_together_count_once() {
    let mut known = CrashHistory::new(CAPACITY);
    let rack = (0..16).map(|number| mark(1_000, CRASHING, number, 700 + number * 10, 1_000));
    known.merge(at(1_000), &marks(rack.collect()));
    assert_eq!(
        (known.count(CRASHING), known.admission(at(1_001), CRASHING)),
        (1, CrashAdmission::Unrestricted)
    );
}

/// A popular request is in flight at every crash that another request causes, and succeeds in
/// between.
#[test]
fn popular_bystander_of_many_crashes_is_never_restricted() {
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

/// A popular request runs only at three targets, which go down in quick succession, and so does not
/// succeed in between. No node may refuse it: if all did, it could never succeed again and be
/// cleared.
#[test]
fn popular_bystander_of_consecutive_crashes_is_not_refused() {
    let (mut target_node, mut entry) = (CrashHistory::new(CAPACITY), CrashHistory::new(CAPACITY));
    target_node.record_success(at(1_000), CRASHING);
    for number in 1..=5 {
        let now = 1_000 + number * 50;
        let received = marks(vec![mark(now, CRASHING, number, now - 1, now)]);
        entry.merge(at(now), &received);
        entry.merge(at(now), &target_node.merge(at(now), &received));
        for known in [&target_node, &entry] {
            assert!(
                !is_refused(known.admission(at(now), CRASHING)),
                "refused after crash {number}"
            );
            known.verify().unwrap();
        }
    }
    assert_eq!(entry.admission(at(1_300), CRASHING), CrashAdmission::Isolated);
}

/// The ends of targets that became unresponsive one after the other are known only once the targets
/// have restarted. They don't count against a request that succeeded meanwhile.
#[test]
fn marks_from_before_a_success_do_not_count_however_late_they_arrive() {
    let mut known = CrashHistory::new(CAPACITY);
    known.record_success(at(5_000), CRASHING);
    let late = (0..5)
        .map(|number| mark(7_000, CRASHING, number, 1_000 + number * 500, 1_100 + number * 500));
    let news = known.merge(at(7_000), &marks(late.collect()));
    assert_eq!(known.admission(at(7_000), CRASHING), CrashAdmission::Unrestricted);
    // The success is passed on to nodes that don't know of it.
    assert!(news.marks.is_empty() && news.successes.len() == 1, "{news:?}");
}

#[test]
fn success_after_a_refusal_clears_the_request_at_all_nodes() {
    let (mut one, mut other) = (CrashHistory::new(CAPACITY), CrashHistory::new(CAPACITY));
    for number in 1..=3 {
        crash(&mut one, number * 1_000, number);
        crash(&mut other, number * 1_000, number);
    }
    let news = one.record_success(at(14_000), CRASHING);
    other.merge(at(14_002), &news);
    for known in [&one, &other] {
        assert_eq!(known.admission(at(14_010), CRASHING), CrashAdmission::Unrestricted);
        known.verify().unwrap();
    }
}

/// A node that observes the third crash may receive the other marks only afterwards. Every node
/// that observed one of the crashes must store them for processes that start later.
#[test]
fn marks_are_stored_in_any_order_in_which_a_node_that_observed_a_crash_receives_the_others() {
    let mut known = CrashHistory::new(CAPACITY);
    let third = known.record_local(at(3_000), mark(3_000, CRASHING, 3, 2_999, 3_000));
    assert!(!known.must_persist(&third));
    let first = known.merge(at(3_010), &marks(vec![mark(3_010, CRASHING, 1, 999, 1_000)]));
    assert!(!known.must_persist(&first));
    let second = known.merge(at(3_020), &marks(vec![mark(3_020, CRASHING, 2, 1_999, 2_000)]));
    assert!(known.must_persist(&second));
    // A node that observed none of the crashes leaves the storing to those that did.
    let mut other = CrashHistory::new(CAPACITY);
    let news = other.merge(at(3_020), &known.export_for_peer(at(3_020)));
    assert_eq!((news.marks.len(), other.must_persist(&news)), (3, false));
}

/// A new process has its own clock, on which the stored crashes happened before its start.
#[test]
fn stored_marks_count_in_a_process_that_starts_later() {
    let mut before = CrashHistory::new(CAPACITY);
    for number in 1..=3 {
        crash(&mut before, number * 100_000, number);
    }
    let stored = before.export_refused(at(300_001));
    assert_eq!(stored.marks.len(), 3);
    let mut after = CrashHistory::new(CAPACITY);
    after.merge(at(5), &stored.aged(Duration::from_millis(2_000)));
    let CrashAdmission::Refused(left) = after.admission(at(5), CRASHING) else {
        panic!("the request is not refused")
    };
    assert_eq!(left, Duration::from_millis(7_999));
}

/// News that arrives again over slower paths, or in a cycle, is passed on only once.
#[test]
fn repeated_news_over_slower_paths_is_not_passed_on() {
    let mut known = CrashHistory::new(CAPACITY);
    let received = marks(vec![mark(1_000, CRASHING, 1, 990, 1_000)]);
    assert!(!known.merge(at(1_000), &received).is_empty());
    for later in [10, 200, 900] {
        assert!(known.merge(at(1_000 + later), &received).is_empty(), "{later} ms later");
    }
    let success = SuccessReport { print: CRASHING, age: Duration::ZERO };
    let received = CrashNews { successes: vec![success], ..CrashNews::default() };
    assert!(!known.merge(at(2_000), &received).is_empty());
    for later in [10, 200, 900] {
        assert!(known.merge(at(2_000 + later), &received).is_empty(), "{later} ms later");
    }
}

/// Number of nodes that pass reports on to each other.
const NODES: usize = 6;

/// Reports to one of several nodes, each of which sends what is new to it to all others, where it
/// arrives after `delay`. Checks that each node passes on each report once at most.
fn check_circulation(delay: Duration, reports: CrashNews) {
    let began = at(100_000);
    let mut nodes: Vec<_> = (0..NODES).map(|_| CrashHistory::new(CAPACITY)).collect();
    let limit = NODES * NODES * (reports.marks.len() + reports.successes.len());
    let mut sent = 0;
    let mut queue = VecDeque::from([(began, 0, reports)]);
    while let Some((now, to, received)) = queue.pop_front() {
        let news = nodes[to].merge(now, &received);
        nodes[to].verify().unwrap();
        if news.is_empty() {
            continue;
        }
        for other in (0..NODES).filter(|other| *other != to) {
            sent += news.marks.len() + news.successes.len();
            queue.push_back((now + delay, other, news.clone()));
        }
        assert!(sent <= limit, "{sent} reports were sent, and more are to be sent at {now:?}");
    }
}

/// Guards against reports that nodes pass on to each other without end, until the messages exceed
/// their memory, because they are of more requests than a node keeps.
#[test]
fn reports_of_more_requests_than_are_kept_do_not_circulate() {
    let numbers = 0..2 * CAPACITY as u64;
    let reported = numbers.map(|number| mark(100, Fingerprint(100 + number), number % 3, 80, 90));
    check_circulation(Duration::from_millis(5), marks(reported.collect()));
}

/// As above, because they arrive late, so that they seem to be of later events.
#[test]
fn reports_that_arrive_late_do_not_circulate() {
    let reported = (0..20).map(|number| mark(100, Fingerprint(100 + number), number % 3, 80, 90));
    let successes =
        (200..220).map(|number| SuccessReport { print: Fingerprint(number), age: Duration::ZERO });
    let reports = CrashNews { marks: reported.collect(), successes: successes.collect() };
    for delay in [500, 1_500, 5_000, 20_000] {
        check_circulation(Duration::from_millis(delay), reports.clone());
    }
}

/// As above, because crashes and successes of the same requests circulate beside each other.
#[test]
fn late_reports_of_crashes_and_successes_do_not_circulate() {
    let requests = || (100..120).map(Fingerprint);
    let reported = requests().flat_map(|print| {
        (0..3).map(move |life| mark(3_000, print, life, 900 * life, 900 * life + 500))
    });
    let age = Duration::from_millis(1_600);
    let successes = requests().map(|print| SuccessReport { print, age });
    let reports = CrashNews { marks: reported.collect(), successes: successes.collect() };
    for delay in [500, 1_500, 5_000, 20_000] {
        check_circulation(Duration::from_millis(delay), reports.clone());
    }
}

/// A peer that connects shortly after a crash, such as one that starts, must count it as the others
/// do. A peer that connects later does not receive single marks, most of which belong to
/// bystanders.
#[test]
fn new_peer_receives_recent_crashes_and_requests_that_crashed_two_targets() {
    let mut known = CrashHistory::new(CAPACITY);
    crash(&mut known, 1_000, 1);
    assert_eq!(known.export_for_peer(at(1_500)).marks.len(), 1);
    assert_eq!(known.export_for_peer(at(60_000)).marks.len(), 0);
    crash(&mut known, 61_000, 2);
    assert_eq!(known.export_for_peer(at(200_000)).marks.len(), 2);
}

/// Marks of many other requests don't evict those of a refused request.
#[test]
fn refused_request_is_not_evicted_by_many_bystanders() {
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
    assert!(is_refused(known.admission(at(12_000), CRASHING)));
}

/// All nodes arrive at the same count, in whatever order they receive the news.
#[test]
fn count_does_not_depend_on_the_order_of_news() {
    fn counts_agree(seed: u64) -> bool {
        let mut draw = Gen::from_size_and_seed(64, seed);
        let mut number = |most: u64| *draw.choose(&(0..most).collect::<Vec<_>>()).unwrap();
        let now = 100_000;
        let mut events = Vec::new();
        for idx in 0..12 {
            let began = 5_000 * number(18);
            if number(5) == 0 {
                let success =
                    SuccessReport { print: CRASHING, age: Duration::from_millis(now - began) };
                events.push(CrashNews { successes: vec![success], ..CrashNews::default() });
            } else {
                let ended = began + 1 + number(4_000);
                events.push(marks(vec![mark(now, CRASHING, idx, began, ended)]));
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
            *counts.entry(known.count(CRASHING)).or_insert(0) += 1;
        }
        counts.len() == 1
    }
    QuickCheck::new()
        .tests(500)
        .rng(Gen::from_size_and_seed(32, 24))
        .quickcheck(counts_agree as fn(u64) -> bool);
}
