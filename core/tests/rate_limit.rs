//! Load on targets that state a rate limit: more calls than it allows, at limits high, low, zero,
//! lowered and ended, and answers that overtake each other.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::VecDeque;
use std::time::Duration;

use poplar_core::{
    Admission, AdmissionVerdict, Arrival, Balancer, Importance, ImportanceMix, ImportanceScale,
    InstanceId, Level, LoadController, Moment, Name, Observation, Occupancy, Rank, Rate, Shedding,
    StatedLimit, TargetInfo, TargetLimits, Ticket,
};
use quickcheck::{QuickCheck, TestResult};

const LOW: Importance = Importance(1);
const HIGH: Importance = Importance(9);
/// Interval between ticks of the admission.
const TICK_MS: u64 = 10;
/// Span over which starts are counted, in milliseconds.
const SPAN_MS: u64 = 4_000;

fn rate(per_second: f64) -> Rate {
    Rate::try_from(per_second).unwrap()
}

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

/// A target with room for any number of calls, whose starts only the rate limit bounds.
struct Target {
    admission: Admission,
    now: u64,
    next_ticket: u64,
    queued: VecDeque<(Ticket, Importance)>,
    /// Time and importance of each call that started.
    starts: Vec<(u64, Importance)>,
    /// Importances of the calls that were refused.
    refused: Vec<Importance>,
}

impl Target {
    fn new() -> Self {
        let limits =
            TargetLimits { slots: 10_000, cold: 10_000, queue: 4_096, connections: 10_000 };
        let scale = ImportanceScale::new([LOW, HIGH]);
        let admission =
            Admission::with_shedding(Moment::default(), limits, scale, Shedding::ByQueue);
        let (starts, refused) = (Vec::new(), Vec::new());
        Self { admission, now: 0, next_ticket: 0, queued: VecDeque::new(), starts, refused }
    }

    fn set_rate(&mut self, per_second: Option<f64>) {
        self.admission.set_rate(at(self.now), per_second.map(rate));
    }

    fn arrive(&mut self, importance: Importance) {
        self.next_ticket += 1;
        let ticket = Ticket(self.next_ticket);
        let arrival = Arrival {
            ticket,
            rank: Rank::at(importance, (self.next_ticket * 7_919) as u16),
            age: Duration::ZERO,
            left: Duration::from_secs(10),
            min_latency: Duration::ZERO,
            begun: false,
        };
        match self.admission.arrive(at(self.now), arrival) {
            AdmissionVerdict::Admit => self.start(ticket, importance),
            AdmissionVerdict::Refuse(_) => self.refused.push(importance),
            AdmissionVerdict::Queue { evicted } => {
                self.queued.push_back((ticket, importance));
                evicted.into_iter().for_each(|refusal| self.refuse(refusal.ticket));
            }
        }
    }

    fn start(&mut self, ticket: Ticket, importance: Importance) {
        self.starts.push((self.now, importance));
        // The run ends at once, so that no slot is ever scarce.
        let release = self.admission.finish(at(self.now), ticket, Duration::from_millis(1));
        assert!(release.start.is_empty() || !self.queued.is_empty());
        self.release(release);
    }

    fn release(&mut self, release: poplar_core::Release) {
        release.refuse.into_iter().for_each(|refusal| self.refuse(refusal.ticket));
        for ticket in release.start {
            let idx = self.queued.iter().position(|(known, _)| *known == ticket).unwrap();
            let (_, importance) = self.queued.remove(idx).unwrap();
            self.start(ticket, importance);
        }
    }

    fn refuse(&mut self, ticket: Ticket) {
        let idx = self.queued.iter().position(|(known, _)| *known == ticket).unwrap();
        self.refused.push(self.queued.remove(idx).unwrap().1);
    }

    /// Lets the given numbers of calls a second of both importances arrive for `millis`.
    fn load(&mut self, millis: u64, low: u64, high: u64) {
        for _ in 0..millis / TICK_MS {
            for (importance, per_second) in [(LOW, low), (HIGH, high)] {
                let due = |time: u64| time * per_second / 1_000;
                for _ in due(self.now)..due(self.now + TICK_MS) {
                    self.arrive(importance);
                }
            }
            self.now += TICK_MS;
            let release = self.admission.tick(at(self.now));
            self.release(release);
            self.admission.verify().unwrap();
        }
    }

    /// Largest number of starts in a span that begins at `from` or later.
    fn busiest_span(&self, from: u64) -> usize {
        let times: Vec<_> =
            self.starts.iter().map(|(at, _)| *at).filter(|at| *at >= from).collect();
        let within =
            |start: u64| times.iter().filter(|at| (start..start + SPAN_MS).contains(*at)).count();
        times.iter().map(|start| within(*start)).max().unwrap_or(0)
    }

    /// Checks that starts from `from` on keep to the limit, apart from a burst of a quarter second
    /// and one call.
    fn check_rate(&self, from: u64, per_second: f64) {
        let allowed = per_second * (SPAN_MS as f64 / 1_000.0 + 0.25) + 1.0;
        let most = self.busiest_span(from);
        assert!(most as f64 <= allowed, "{most} starts in {SPAN_MS} ms, {allowed} allowed");
    }
}

#[test]
fn starts_keep_to_a_limit_under_many_times_its_load() {
    for per_second in [60.0, 15.0, 2.5, 0.8, 0.2] {
        let mut target = Target::new();
        target.load(2_000, 150, 0);
        target.set_rate(Some(per_second));
        target.load(20_000, 150, 0);
        target.check_rate(2_000, per_second);
        let started = target.starts.iter().filter(|(at, _)| *at >= 2_000).count();
        assert!(started as f64 >= 0.9 * per_second * 20.0 - 1.0, "{started} at {per_second}");
    }
}

/// Limits of any size, with any number of changes and any load.
#[test]
fn starts_keep_to_any_limits() {
    fn keeps(steps: Vec<(u16, u8)>) -> TestResult {
        let mut target = Target::new();
        let mut highest = 0.0_f64;
        for (tenths, load) in steps.iter().take(20) {
            let per_second = f64::from(tenths % 500) / 10.0;
            highest = highest.max(per_second.max(0.1));
            target.set_rate(Some(per_second));
            target.load(500, u64::from(*load), 3);
        }
        let allowed = highest * 4.25 + 1.0;
        TestResult::from_bool(target.busiest_span(0) as f64 <= allowed)
    }
    QuickCheck::new().quickcheck(keeps as fn(Vec<(u16, u8)>) -> TestResult);
}

#[test]
fn lowered_limit_holds_at_once() {
    let mut target = Target::new();
    target.set_rate(Some(80.0));
    target.load(5_000, 150, 0);
    target.set_rate(Some(2.0));
    target.load(10_000, 150, 0);
    target.check_rate(5_000, 2.0);
}

/// A limit of zero must not be kept for ever, since only an answer can end it.
#[test]
fn limit_of_zero_lets_a_call_through_now_and_then() {
    let mut target = Target::new();
    target.set_rate(Some(0.0));
    target.load(60_000, 50, 0);
    assert!((3..=7).contains(&target.starts.len()), "{} starts", target.starts.len());
}

#[test]
fn limit_that_ends_releases_what_waits() {
    let mut target = Target::new();
    target.set_rate(Some(10.0));
    target.load(3_000, 40, 0);
    target.set_rate(None);
    target.load(1_000, 40, 0);
    assert!(target.queued.is_empty());
    let started = target.starts.iter().filter(|(at, _)| *at >= 3_000).count();
    assert!(started >= 40, "{started} of 40 and those that waited");
}

/// Important calls within the limit are served however many others ask.
#[test]
fn important_calls_go_first_within_a_limit() {
    let mut target = Target::new();
    target.set_rate(Some(20.0));
    target.load(20_000, 200, 10);
    let served = target.starts.iter().filter(|(_, importance)| *importance == HIGH).count();
    assert!(served >= 190, "{served} of 200 important calls started");
    let refused = target.refused.iter().filter(|importance| **importance == HIGH).count();
    assert!(refused <= 10, "{refused} of 200 important calls refused");
}

/// Calls wait only as long as another target usually takes to have room.
#[test]
fn calls_beyond_a_limit_are_refused_soon() {
    let mut target = Target::new();
    target.set_rate(Some(20.0));
    target.load(10_000, 200, 0);
    assert!(target.queued.len() <= 5, "{} wait", target.queued.len());
}

/// A target with free slots that states a limit: the level refuses what is beyond the limit, so
/// that requests are refused at their entry, the least important first.
#[test]
fn level_follows_the_limit_of_a_target_with_free_slots() {
    let route = Name::new("route");
    let mut controller = LoadController::new(Moment::default(), &ImportanceScale::new([LOW, HIGH]));
    controller.set_rate(Some(rate(20.0)));
    let mut level = Level::OPEN;
    let (mut admitted, mut due) = ([0.0, 0.0], [0.0, 0.0]);
    for now in 0..10_000_u64 {
        for (idx, (importance, per_second)) in [(LOW, 60.0), (HIGH, 10.0)].into_iter().enumerate() {
            let fraction: f64 = level.pass_fraction(importance);
            due[idx] += per_second * fraction / 1_000.0;
            if due[idx] >= 1.0 {
                due[idx] -= 1.0;
                admitted[idx] += 1.0;
                let mix = ImportanceMix::sampled(importance, fraction);
                controller.record_arrival(&route, &mix);
                controller.record_run(at(now), &route, Duration::from_millis(50));
            }
        }
        controller.observe(at(now), Occupancy { running: 1, queued: 0, limit: 100 });
        level = controller.level();
    }
    let [low, high] = admitted;
    assert!(high >= 95.0, "{high} of 100 important requests admitted");
    assert!((80.0..=130.0).contains(&low), "{low} requests admitted beside them, 100 fit");
}

/// Answers that were under way when a target stated a limit must not end it.
#[test]
fn overtaken_answers_do_not_loosen_a_limit() {
    let mut limit = StatedLimit::default();
    limit.record_answer(at(100), at(0), Some(rate(5.0)));
    limit.record_answer(at(110), at(50), None);
    limit.record_answer(at(120), at(99), Some(rate(50.0)));
    assert_eq!(limit.rate(), Some(rate(5.0)));
    limit.record_answer(at(130), at(60), Some(rate(2.0)));
    assert_eq!(limit.rate(), Some(rate(2.0)), "a stricter limit counts at once");
    limit.record_answer(at(200), at(131), Some(rate(8.0)));
    assert_eq!(limit.rate(), Some(rate(8.0)));
    limit.record_answer(at(300), at(201), None);
    assert_eq!(limit.rate(), None);
}

/// A node that starts takes the strictest limit that others report, until its target answers.
#[test]
fn reported_limit_counts_until_the_target_answers() {
    let mut limit = StatedLimit::default();
    limit.adopt(at(10), rate(9.0));
    limit.adopt(at(11), rate(4.0));
    limit.adopt(at(12), rate(7.0));
    assert_eq!(limit.rate(), Some(rate(4.0)));
    limit.record_answer(at(50), at(20), None);
    assert_eq!(limit.rate(), None);
    limit.adopt(at(60), rate(4.0));
    assert_eq!(limit.rate(), None, "an outdated report after the answer");
}

#[test]
fn numbers_that_are_no_rates_are_rejected() {
    for number in [-1.0, f64::NAN, f64::INFINITY, f64::NEG_INFINITY] {
        assert!(Rate::try_from(number).is_err(), "{number}");
    }
}

/// The level of a limited target says nothing about its service while another target has room.
#[test]
fn room_at_another_target_is_seen_beside_a_limited_one() {
    let mut balancer = Balancer::new(Name::new("z1"));
    let [limited, other] = ["i-1", "i-2"].map(InstanceId::from);
    for instance in [&limited, &other] {
        let (instance, zone) = (instance.clone(), Name::new("z1"));
        balancer.add_target(TargetInfo { instance, zone, slots: 10, connections: 100 });
    }
    assert!(!balancer.has_room_beside(at(0), &limited), "nothing is known of the other");
    balancer.record_load(at(0), &other, 0.4);
    assert!(balancer.has_room_beside(at(10), &limited));
    assert!(!balancer.has_room_beside(at(10), &other), "only a report counts as known");
    balancer.record_load(at(20), &other, 1.5);
    assert!(!balancer.has_room_beside(at(30), &limited), "the other is full");
    balancer.record_load(at(40), &other, 0.4);
    balancer.choose(at(41), Rank::at(LOW, 0), 0, std::slice::from_ref(&limited)).unwrap();
    balancer.observe(at(42), &other, Observation::Unreachable);
    assert!(!balancer.has_room_beside(at(43), &limited), "the other cannot be reached");
}
