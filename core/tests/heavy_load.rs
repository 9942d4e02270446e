//! Policies under heavy load. Each test simulates one load pattern or failure.

use std::collections::VecDeque;
use std::time::Duration;

use poplar_core::{
    Balancer, CallResult, Importance, ImportanceMix, ImportanceMixSum, ImportanceScale, InstanceId,
    Level, LevelMap, LevelSource, LoadController, Moment, Name, Observation, Occupancy, Rank,
    RelayedLevel, RequestId, ResendBound, ResendBudget, ResendCause, RouteBreaker,
    RouteDependencies, RouteOrigins, RunningRequests, Shortage, TargetInfo, WorkSum,
};

const RATIO: f64 = 0.2;
const BASE: f64 = 48.0;
const NODES: usize = 17;

/// Retry storm: targets refuse most requests, and each node tries to re-send every one of them. The
/// nodes together must stay within the shared bound without exchanging messages.
#[test]
fn retry_storm_stays_within_the_shared_bound_without_coordination() {
    let window = Duration::from_secs(10);
    let bound = ResendBound { ratio: RATIO, base: BASE, window };
    let service = Name::new("deep");
    let mut nodes: Vec<_> = (0..NODES).map(|_| ResendBudget::new(bound)).collect();
    let mut sends: Vec<(u64, u32, u32)> = Vec::new();
    for millis in (0..40_000).step_by(10) {
        let now = Moment::from_millis(millis);
        // After 20 s the load falls to a tenth, so that earlier requests no longer allow new
        // re-sends.
        let busy = millis < 20_000 || millis % 100 == 0;
        let (mut requests, mut resends) = (0, 0);
        for node in nodes.iter_mut().filter(|_| busy) {
            node.record_first(now, &service);
            requests += 1;
            resends += u32::from(node.try_spend(now, &service, NODES, ResendCause::Request));
            resends += u32::from(node.try_spend(now, &service, NODES, ResendCause::Shed));
        }
        sends.push((millis, requests, resends));
    }
    for (from, ..) in &sends {
        let inside = |at: u64, start: u64| at >= start && at < start + 10_000;
        let sum = |start: u64, of: fn(&(u64, u32, u32)) -> u32| -> u32 {
            sends.iter().filter(|row| inside(row.0, start)).map(of).sum()
        };
        let earlier = from.saturating_sub(10_000);
        let requests = sum(*from, |row| row.1).max(sum(earlier, |row| row.1));
        let allowed = RATIO * f64::from(requests) + BASE;
        assert!(f64::from(sum(*from, |row| row.2)) <= allowed, "window from {from} ms");
    }
}

/// Simulation of a service deep in the call graph, with the entry nodes that apply its level.
struct DeepService {
    controller: LoadController,
    /// Number of calls that wait or run.
    busy: f64,
    /// Number of calls that are due, by importance; whole ones arrive in the next step.
    due: [f64; 2],
    /// Requests that one call represents, by the importance of the call.
    mixes: [ImportanceMix; 2],
    /// Simulated time in milliseconds.
    now: u64,
    /// Admitted and offered requests of the low and of the high importance.
    counts: [(u32, u32); 2],
    /// Levels in transit to the entry nodes, one per millisecond.
    levels: Vec<Level>,
    /// Maximum number of calls that run or wait; further ones are refused.
    max_calls: f64,
}

const LOW: Importance = Importance(1);
const HIGH: Importance = Importance(2);
/// Transit time of a level to the entry nodes and of a request down a short chain, in milliseconds.
const SHORT_DELAY_MS: usize = 150;
/// The same for a long chain.
const LONG_DELAY_MS: usize = 400;
const LIMIT: u32 = 100;
const RUN_MS: u32 = 20;
/// Requests per millisecond of each importance.
const REQUESTS: u64 = 10;

impl DeepService {
    /// Service at the end of a long chain, with a queue as long as its concurrency limit.
    fn new() -> Self {
        Self::at(LONG_DELAY_MS, f64::from(2 * LIMIT))
    }

    fn at(delay: usize, max_calls: f64) -> Self {
        let controller = LoadController::new(Moment::default(), &ImportanceScale::new([LOW, HIGH]));
        let levels = vec![Level::OPEN; delay];
        let mixes = [LOW, HIGH].map(ImportanceMix::of);
        Self {
            controller,
            busy: 0.0,
            due: [0.0; 2],
            mixes,
            now: 0,
            counts: [(0, 0); 2],
            levels,
            max_calls,
        }
    }

    /// Simulates `seconds` of the given demand of the low and of the high importance, as multiples
    /// of the service's capacity.
    fn simulate(&mut self, seconds: u64, demand: [f64; 2]) {
        let capacity = f64::from(LIMIT / RUN_MS);
        for _ in 0..seconds * 1_000 {
            let level = self.levels[self.now as usize % self.levels.len()];
            for (idx, importance) in [LOW, HIGH].into_iter().enumerate() {
                self.mixes[idx] =
                    ImportanceMix::sampled(importance, level.pass_fraction(importance));
                for number in 0..REQUESTS {
                    let id = RequestId(u128::from(self.now * REQUESTS + number) << idx);
                    let passes = level.admits(Rank::of(importance, id));
                    self.counts[idx].0 += u32::from(passes);
                    self.counts[idx].1 += 1;
                    let calls = demand[idx] * capacity / REQUESTS as f64;
                    self.due[idx] += f64::from(u8::from(passes)) * calls;
                }
            }
            self.step();
        }
    }

    /// Simulates arrivals, runs and ends of calls for 1 ms.
    fn step(&mut self) {
        let route = Name::new("deep");
        for (due, mix) in self.due.iter_mut().zip(&self.mixes) {
            while *due >= 1.0 {
                *due -= 1.0;
                self.controller.record_arrival(&route, mix);
                self.busy = (self.busy + 1.0).min(self.max_calls);
            }
        }
        self.busy -= self.busy.min(f64::from(LIMIT)) / f64::from(RUN_MS);
        let now = Moment::from_millis(self.now);
        self.controller.record_run(now, &route, Duration::from_millis(u64::from(RUN_MS)));
        let busy = self.busy as usize;
        let running = busy.min(LIMIT as usize);
        let calls = Occupancy { running, queued: busy - running, limit: LIMIT };
        self.controller.observe(now, calls);
        let slot = self.now as usize % self.levels.len();
        self.levels[slot] = self.controller.level();
        self.now += 1;
    }

    /// Admitted fraction of the requests of each importance since the last call.
    fn passed(&mut self) -> [f64; 2] {
        let fraction = |(passed, offered): (u32, u32)| f64::from(passed) / f64::from(offered);
        let passed = self.counts.map(fraction);
        self.counts = [(0, 0); 2];
        passed
    }
}

/// Fraction of the capacity that the high importance leaves to the low one if their demand exceeds
/// the capacity.
const RESERVED_FRACTION: f64 = 0.45;

/// Fractions of the low and of the high importance that should be admitted if the service is to be
/// used up to `capacity`. Demand and capacity are multiples of the service's concurrency limit.
///
/// The high importance gets all capacity except the reserved fraction, and is admitted at least at
/// the same fraction as the low one.
fn fair([low, high]: [f64; 2], capacity: f64) -> [f64; 2] {
    let of_high =
        (capacity / (high + low)).max((1.0 - RESERVED_FRACTION) * capacity / high).min(1.0);
    let of_low = ((capacity - high * of_high) / low).min(of_high);
    [of_low, of_high]
}

/// Checks that the admitted fractions are fair for a service between 95% and 100% full. `slack`
/// allows for the random tie-breakers of the requests and for the delay of the level.
fn assert_fair(demand: [f64; 2], passed: [f64; 2], slack: f64) {
    let (min, max) = (fair(demand, 0.95), fair(demand, 1.0));
    for (idx, fraction) in passed.into_iter().enumerate() {
        let range = min[idx] - slack..max[idx] + slack;
        assert!(
            range.contains(&fraction),
            "{demand:?}: admitted {passed:?}, fraction {idx} not in {range:?}"
        );
    }
}

/// Burst of 1.7 times the capacity of a deep service by requests that enter at other services: the
/// entry nodes must refuse them, the least important first.
#[test]
fn burst_on_a_deep_service_is_refused_at_the_entries_least_important_first() {
    let mut deep = DeepService::new();
    deep.simulate(5, [0.9, 0.8]);
    deep.passed();
    deep.simulate(10, [0.9, 0.8]);
    assert_fair([0.9, 0.8], deep.passed(), 0.03);
}

/// Simulation of requests that each make several calls to a deep service in sequence.
struct Chains {
    controller: LoadController,
    /// Admitted requests between two calls: when the next call starts, and the calls left to make.
    thinking: Vec<(u64, u32, ImportanceMix)>,
    /// Queued calls, each with the number of calls that its request makes after it.
    queue: VecDeque<(u32, ImportanceMix)>,
    /// Running calls: when each ends, and the calls left to make after it.
    running: Vec<(u64, u32, ImportanceMix)>,
    level: Level,
    /// Simulated time in milliseconds.
    now: u64,
    /// Calls that ran, and those of them whose requests failed later.
    ran: u32,
    wasted: u32,
}

/// Number of calls that each request makes.
const CALLS: u32 = 5;
/// Time between two calls of a request, in milliseconds.
const THINK_MS: u64 = 10;
/// Maximum queue length, as a multiple of the limit.
const QUEUE_LIMITS: usize = 4;

impl Chains {
    fn new() -> Self {
        let controller = LoadController::new(Moment::default(), &ImportanceScale::new([LOW, HIGH]));
        Self {
            controller,
            thinking: Vec::new(),
            queue: VecDeque::new(),
            running: Vec::new(),
            level: Level::OPEN,
            now: 0,
            ran: 0,
            wasted: 0,
        }
    }

    /// Simulates `millis` milliseconds of the given demand, as a multiple of the service's
    /// capacity.
    fn simulate(&mut self, millis: u64, demand: f64) {
        let route = Name::new("deep");
        let mut due = 0.0;
        for _ in 0..millis {
            let now = Moment::from_millis(self.now);
            due += demand * f64::from(LIMIT) / f64::from(RUN_MS * CALLS);
            while due >= 1.0 {
                due -= 1.0;
                let tiebreak = (self.now * 40_503 + (due * 1e6) as u64) as u16;
                if self.level.admits(Rank::at(LOW, tiebreak)) {
                    let mix = ImportanceMix::sampled(LOW, self.level.pass_fraction(LOW));
                    self.thinking.push((self.now + THINK_MS, CALLS, mix));
                }
            }
            for (_, left, mix) in self.thinking.extract_if(.., |call| call.0 <= self.now) {
                self.controller.record_arrival(&route, &mix);
                if self.queue.len() < QUEUE_LIMITS * LIMIT as usize {
                    self.queue.push_back((left - 1, mix));
                } else {
                    self.wasted += CALLS - left;
                }
            }
            for (_, left, mix) in self.running.extract_if(.., |call| call.0 <= self.now) {
                self.controller.record_run(now, &route, Duration::from_millis(u64::from(RUN_MS)));
                if left > 0 {
                    self.thinking.push((self.now + THINK_MS, left, mix));
                }
            }
            while self.running.len() < LIMIT as usize
                && let Some((left, mix)) = self.queue.pop_front()
            {
                self.ran += 1;
                self.running.push((self.now + u64::from(RUN_MS), left, mix));
            }
            let (running, queued) = (self.running.len(), self.queue.len());
            self.controller.observe(now, Occupancy { running, queued, limit: LIMIT });
            // A level takes effect with the next answers.
            self.level = self.controller.level();
            self.now += 1;
        }
    }
}

/// Sudden burst of requests that make several calls each. The requests wait for every call, so that
/// the arrival rate hides how many requests there are; the backlog must drain nevertheless.
#[test]
fn backlog_of_admitted_requests_drains_under_lasting_overload() {
    let mut chains = Chains::new();
    chains.simulate(2_000, 0.6);
    chains.simulate(3_000, 2.2);
    let limits = chains.queue.len() as f64 / f64::from(LIMIT);
    assert!(limits < 1.0, "queue of {limits} limits three seconds after the start of the burst");
    (chains.ran, chains.wasted) = (0, 0);
    chains.simulate(10_000, 2.2);
    let wasted = f64::from(chains.wasted) / f64::from(chains.ran);
    assert!(wasted < 0.03, "wasted {wasted}");
    let used = f64::from(chains.ran * RUN_MS) / f64::from(LIMIT) / 10_000.0;
    assert!(used > 0.9, "only {used} of the service is used");
}

/// A target that fails half of its calls quickly must not look lightly loaded: the failure rate
/// shows it, and falls again once the target works.
#[test]
fn quick_failures_do_not_look_like_free_capacity() {
    let mut controller = LoadController::new(Moment::default(), &ImportanceScale::new([LOW]));
    for number in 0..200 {
        controller.record_result(if number % 2 == 0 {
            CallResult::Failed
        } else {
            CallResult::Served
        });
    }
    assert!((0.4..0.6).contains(&controller.failure_rate()), "{}", controller.failure_rate());
    (0..300).for_each(|_| controller.record_result(CallResult::Served));
    assert!(controller.failure_rate() < 0.01, "{}", controller.failure_rate());
}

/// Requests that targets refused without running them may use more of the shared bound than
/// requests that may have run. Calls of repeated runs count against the bound.
#[test]
fn requests_that_have_not_run_are_re_sent_up_to_most_of_the_bound() {
    let window = Duration::from_secs(10);
    let bound = ResendBound { ratio: RATIO, base: 0.0, window };
    let (now, service) = (Moment::from_millis(1_000), Name::new("deep"));
    let spend = |cause, repeated: usize| {
        let mut budget = ResendBudget::new(bound);
        (0..1_000).for_each(|_| budget.record_first(now, &service));
        (0..repeated).for_each(|_| budget.record_repeat(now, &service));
        (0..1_000).filter(|_| budget.try_spend(now, &service, 1, cause)).count()
    };
    assert_eq!(spend(ResendCause::Shed, 0), 160);
    assert_eq!(spend(ResendCause::Request, 0), 100);
    assert_eq!(spend(ResendCause::Call, 0), 50);
    assert_eq!(spend(ResendCause::Shed, 150), 10);
}

/// Sudden burst: the entry nodes must refuse the excess as soon as its first calls have passed
/// through the chain, and must not refuse too much.
#[test]
fn sudden_burst_is_refused_once_its_first_calls_arrive() {
    let mut deep = DeepService::new();
    deep.simulate(3, [0.3, 0.3]);
    deep.simulate(1, [1.2, 0.8]);
    deep.passed();
    deep.simulate(1, [1.2, 0.8]);
    assert_fair([1.2, 0.8], deep.passed(), 0.06);
}

/// Loss of two thirds of the targets: the remaining capacity serves the most important requests,
/// except for the fraction that prevents the others from starving.
#[test]
fn after_loss_of_most_targets_important_requests_are_served_first() {
    let mut deep = DeepService::new();
    // A load of 0.3 on three targets is a load of 0.9 on one.
    deep.simulate(2, [0.4, 0.3]);
    deep.simulate(3, [1.2, 0.9]);
    deep.passed();
    deep.simulate(5, [1.2, 0.9]);
    assert_fair([1.2, 0.9], deep.passed(), 0.03);
}

/// Lasting overload, in most cases with a capacity that hardly suffices for the most important
/// requests alone: the others are not served more often, but at least a quarter as often as all on
/// average.
#[test]
fn no_importance_starves_under_lasting_overload() {
    for demand in [[1.2, 0.9], [2.0, 1.1], [0.5, 1.4], [3.0, 0.3]] {
        let mut deep = DeepService::new();
        deep.simulate(5, demand);
        deep.passed();
        deep.simulate(10, demand);
        let [low, high] = deep.passed();
        let all = (low * demand[0] + high * demand[1]) / (demand[0] + demand[1]);
        assert!(low > 0.25 * all, "{demand:?}: less important requests starve: {low} of {all}");
        assert!(
            high > low - 0.02,
            "{demand:?}: important requests are served less often: {low} {high}"
        );
        assert_fair(demand, [low, high], 0.03);
    }
}

/// The same burst on a service that refuses no calls itself: the level alone must keep its queue
/// short.
#[test]
fn burst_on_a_deep_service_leaves_no_long_queue() {
    let mut deep = DeepService::at(SHORT_DELAY_MS, f64::INFINITY);
    deep.simulate(3, [0.9, 0.8]);
    deep.passed();
    deep.simulate(10, [0.9, 0.8]);
    assert_fair([0.9, 0.8], deep.passed(), 0.05);
    let limits = deep.busy / f64::from(LIMIT);
    assert!(limits < 2.0, "{limits} limits wait or run");
}

/// Recovery after a burst: the level must fall once the load falls.
#[test]
fn service_recovers_within_two_seconds_of_a_burst() {
    let mut deep = DeepService::new();
    deep.simulate(10, [0.9, 0.8]);
    deep.simulate(2, [0.3, 0.3]);
    deep.passed();
    deep.simulate(2, [0.3, 0.3]);
    let [low, high] = deep.passed();
    assert!(low > 0.99 && high > 0.99, "{low} {high}");
    assert_eq!(deep.controller.level(), Level::OPEN);
}

/// Control loop with a delay of 0.4 s: the level must converge without oscillating.
#[test]
fn level_converges_despite_its_delay() {
    let mut deep = DeepService::new();
    deep.simulate(6, [1.0, 0.4]);
    let mut passed = Vec::new();
    for _ in 0..8 {
        deep.passed();
        deep.simulate(1, [1.0, 0.4]);
        passed.push(deep.passed()[0]);
    }
    // The high importance leaves 0.55 to 0.6 of the capacity for a demand of 1.0.
    assert!(passed.iter().all(|fraction| (0.45..0.70).contains(fraction)), "{passed:?}");
}

/// An importance with little load must not slow down the level when it has to refuse or admit
/// requests of the next importance.
#[test]
fn level_moves_quickly_past_an_importance_with_little_load() {
    let mut deep = DeepService::new();
    deep.simulate(4, [0.01, 0.9]);
    deep.passed();
    deep.simulate(3, [0.01, 1.6]);
    deep.passed();
    deep.simulate(3, [0.01, 1.6]);
    assert_fair([0.01, 1.6], deep.passed(), 0.06);
    deep.simulate(2, [0.01, 0.8]);
    deep.passed();
    deep.simulate(2, [0.01, 0.8]);
    let [low, high] = deep.passed();
    assert!(low > 0.99 && high > 0.99, "not recovered within two seconds: {low} {high}");
}

/// Deep call graph: a level must be relayed unchanged over hops, although one instance at each hop
/// is idle.
#[test]
fn level_of_a_deep_service_reaches_the_entries() {
    let (service, ids) = (Name::new("s"), ["a", "b", "idle"].map(InstanceId::from));
    let now = Moment::from_millis(5_000);
    let mut level = Level::at(Rank::at(HIGH, 30_000));
    for _hop in 0..3 {
        let mut map = LevelMap::new(ImportanceScale::new([LOW, HIGH]));
        map.record(now, &service, &ids[0], level);
        map.record(now, &service, &ids[1], level);
        map.record(now, &service, &ids[2], Level::OPEN);
        level = map.median(now, &service);
    }
    assert_eq!(level, Level::at(Rank::at(HIGH, 30_000)));
}

/// The age of a relayed level counts from when the service set it. Otherwise a level that nodes
/// relay in a circle would never decay, and an older level could replace a newer one.
#[test]
fn relayed_levels_keep_their_age() {
    let (service, peer) = (Name::new("s"), InstanceId::from("a"));
    let high = Level::at(Rank::at(HIGH, 30_000));
    let relayed = RelayedLevel {
        service: service.clone(),
        source: LevelSource::of(&peer),
        level: high,
        age: 0,
    };
    let mut maps = [(); 2].map(|()| LevelMap::new(ImportanceScale::new([LOW, HIGH])));
    maps[0].record_relayed(Moment::from_millis(10_000), &relayed);
    for millis in (10_000..12_000).step_by(10) {
        let now = Moment::from_millis(millis);
        let (from, to) = if millis % 20 == 0 { (0, 1) } else { (1, 0) };
        for relayed in maps[from].export(now) {
            maps[to].record_relayed(now, &relayed);
        }
    }
    let now = Moment::from_millis(12_000);
    assert!(maps.iter().all(|map| map.median(now, &service) == Level::OPEN));
    let open = RelayedLevel { level: Level::OPEN, ..relayed.clone() };
    maps[0].record_relayed(now, &open);
    maps[0].record_relayed(now, &RelayedLevel { age: 200, ..relayed });
    assert_eq!(maps[0].median(now, &service), Level::OPEN);
}

/// With a single target at the end of a deep call graph, nodes receive its level mostly from each
/// other. They must follow it, however many nodes still relay an earlier one.
#[test]
fn a_newer_level_replaces_relayed_older_ones() {
    const NODES: usize = 12;
    let (service, target) = (Name::new("deep"), InstanceId::from("target"));
    let mut maps: Vec<_> =
        (0..NODES).map(|_| LevelMap::new(ImportanceScale::new([LOW, HIGH]))).collect();
    let phases = [(LOW, 12_000), (HIGH, 40_000), (HIGH, 20_000), (LOW, 50_000)];
    for (phase, (importance, tiebreak)) in phases.into_iter().enumerate() {
        let level = Level::at(Rank::at(importance, tiebreak));
        let from = 10_000 + phase as u64 * 1_000;
        for millis in (from..from + 1_000).step_by(5) {
            let now = Moment::from_millis(millis);
            let source = LevelSource::of(&target);
            let relayed = RelayedLevel { service: service.clone(), source, level, age: 0 };
            maps[millis as usize / 5 % 3].record_relayed(now, &relayed);
            for sender in 0..NODES {
                let relayed = maps[sender].export(now);
                let receiver = (sender + 1 + millis as usize / 5 % (NODES - 1)) % NODES;
                relayed.iter().for_each(|relayed| maps[receiver].record_relayed(now, relayed));
            }
        }
        let now = Moment::from_millis(from + 1_000);
        let medians: Vec<_> = maps.iter().map(|map| map.median(now, &service)).collect();
        assert!(
            medians.iter().all(|median| *median == level),
            "phase {phase}: {level:?}, {medians:?}"
        );
    }
}

/// Requests that share their first service with others, but never reach the overloaded service,
/// must be admitted.
#[test]
fn requests_that_do_not_reach_the_overloaded_service_are_admitted() {
    let [direct, chained] = ["direct", "chained"].map(Name::new);
    let [first, deep] = ["first", "deep"].map(Name::new);
    let now = Moment::from_millis(1_000);
    let mut levels = LevelMap::new(ImportanceScale::new([LOW, HIGH]));
    let level = Level::at(Rank::at(HIGH, 0));
    let source = LevelSource::of(&InstanceId::from("a"));
    levels.record_relayed(now, &RelayedLevel { service: deep.clone(), source, level, age: 0 });
    let mut dependencies = RouteDependencies::default();
    dependencies.record(now, &direct, []);
    dependencies.record(now, &chained, [&deep]);
    let path_level = |route, first| dependencies.path_level(now, route, [first], &levels);
    assert_eq!(path_level(&direct, &first).level, Level::OPEN);
    assert_eq!(path_level(&chained, &first).level, level);
    assert_eq!(path_level(&chained, &first).service, Some(deep.clone()));
    assert_eq!(path_level(&direct, &deep).level, level);
}

/// A call belongs to the request whose identifier its own extends, and inherits the request's rank.
#[test]
fn calls_are_attributed_to_the_request_whose_identifier_they_extend() {
    let mut runs = RunningRequests::default();
    let [low, high] = [LOW, HIGH].map(|importance| Rank::at(importance, 7));
    runs.begin(b"aa", low, ImportanceMix::of(LOW), false);
    runs.begin(b"aa.bb", high, ImportanceMix::of(HIGH), true);
    let rank = |id: &'static [u8]| runs.parent(id).map(|(parent, run)| (parent, run.rank));
    assert_eq!(rank(b"aa.cc"), Some((&b"aa"[..], low)));
    assert_eq!(rank(b"aa.bb.cc"), Some((&b"aa.bb"[..], high)));
    assert_eq!(rank(b"aa.bb"), Some((&b"aa"[..], low)));
    assert_eq!(rank(b"aabb"), None);
    assert_eq!(rank(b"ab.cc"), None);
    let deep = Name::new("deep");
    runs.add_call(b"aa", &deep, Duration::ZERO, &WorkSum::default());
    assert!(runs.end(b"aa").contains(&deep));
    assert!(runs.end(b"aa").is_empty());
    assert_eq!(runs.mean_mix(), Some(ImportanceMix::of(HIGH)));
}

/// A call that cannot be attributed to a request gets the mean mix of the requests that its target
/// runs.
#[test]
fn calls_without_a_known_request_get_the_mean_mix() {
    let mut sum = ImportanceMixSum::default();
    assert_eq!(sum.mean_mix(), None);
    (0..3).for_each(|_| sum.begin(&ImportanceMix::of(LOW)));
    sum.begin(&ImportanceMix::of(HIGH));
    let weights: Vec<_> = sum.mean_mix().unwrap().weights().collect();
    assert_eq!(weights, [(LOW, 0.75), (HIGH, 0.25)]);
    sum.end(&ImportanceMix::of(HIGH));
    assert_eq!(sum.mean_mix(), Some(ImportanceMix::of(LOW)));
}

/// Routes that are called by one or two services must be distinguished from those of outside
/// callers, also while most entry nodes refuse requests of the latter.
#[test]
fn calls_of_targets_are_distinguished_from_requests_of_callers() {
    let [one, two, all, stray] = ["one", "two", "all", "stray"].map(Name::new);
    let services = ["a", "b", "c", "d"].map(Name::new);
    let mut nodes: Vec<_> = (0..8).map(|_| RouteOrigins::default()).collect();
    for millis in (0..4_000).step_by(100) {
        let now = Moment::from_millis(millis);
        for (idx, node) in nodes.iter_mut().enumerate() {
            let service = &services[idx % services.len()];
            node.record_request(now, &all, service);
            if idx % services.len() < 2 {
                node.record_request(now, &two, service);
            }
            if idx % services.len() == 0 {
                node.record_request(now, &one, service);
            }
            if millis == 0 {
                node.record_request(now, &stray, service);
            }
        }
        // Each node sends to the one three places further, which stands for a random peer.
        for idx in 0..nodes.len() {
            let relayed = nodes[idx].export(now);
            let peer = (idx + 3) % nodes.len();
            nodes[peer].merge(now, &relayed);
        }
    }
    let now = Moment::from_millis(4_000);
    for node in &nodes {
        assert_eq!(node.is_internal(now, &one, services.len()), Some(true));
        // This happens when a revision moves a calling route to another service.
        assert_eq!(node.is_internal(now, &two, services.len()), Some(true));
        assert_eq!(node.is_internal(now, &all, services.len()), Some(false));
        assert_eq!(node.is_internal(now, &stray, services.len()), None);
    }
}

/// Overload that lasts longer than the retry time of callers: the longer it has lasted, the longer
/// the retry time must be.
#[test]
fn retry_time_grows_with_the_duration_of_a_shortage() {
    let patient = Duration::from_secs(60);
    let mut shortage = Shortage::begin(Moment::default());
    assert_eq!(shortage.retry_after(Moment::default(), 0, patient), Duration::from_millis(200));
    for millis in (0..4_000).step_by(100) {
        shortage.extend(Moment::from_millis(millis));
    }
    let after = |tiebreak| shortage.retry_after(Moment::from_millis(4_000), tiebreak, patient);
    assert_eq!(after(0), Duration::from_secs(2));
    assert_eq!(after(u16::MAX), Duration::from_secs(6));
    // A refusal long after the previous one starts a new shortage.
    shortage.extend(Moment::from_millis(9_000));
    let again = shortage.retry_after(Moment::from_millis(9_000), 0, patient);
    assert_eq!(again, Duration::from_millis(200));
}

/// Lasting overload: callers must retry early enough for an answer of full value.
#[test]
fn retry_time_is_bounded_by_the_objective() {
    let mut shortage = Shortage::begin(Moment::default());
    (0..40).for_each(|step| shortage.extend(Moment::from_millis(step * 100)));
    let objective = Duration::from_millis(1_500);
    for tiebreak in [0, u16::MAX / 2, u16::MAX] {
        let wait = shortage.retry_after(Moment::from_millis(4_000), tiebreak, objective);
        assert!(wait <= objective * 3 / 4, "{wait:?}");
    }
}

/// Three targets of one service with speeds 0.6, 1.0 and 1.4, called by a few nodes.
#[test]
fn unequal_targets_get_similar_loads_from_15_nodes() {
    assert_similar_loads(15);
}

/// The same targets, called by so many nodes that each has about one call in flight. Their own
/// calls in flight don't show the load of the targets; the reported loads do.
#[test]
fn unequal_targets_get_similar_loads_from_75_nodes() {
    assert_similar_loads(75);
}

/// The same targets with twice as many nodes.
#[test]
fn unequal_targets_get_similar_loads_from_150_nodes() {
    assert_similar_loads(150);
}

/// Simulates 4 s of load and checks the mean load of each target over the last 3 s.
fn assert_similar_loads(callers: usize) {
    const SLOTS: u32 = 57;
    const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];
    let ids = ["slow", "usual", "fast"].map(InstanceId::from);
    let mut nodes: Vec<_> = (0..callers).map(|idx| balancer(&ids, SLOTS, idx % 3)).collect();
    let mut ends: Vec<(u64, usize, usize)> = Vec::new();
    let mut busy = [0_u32; 3];
    let mut sums = [0_u64; 3];
    let mut random = 1_u64;
    let mut draw = || {
        random = random.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1);
        random ^ (random >> 29)
    };
    // 6.5 calls of 22 ms per millisecond use 0.84 of the three targets.
    for micros in (0..4_000_000_u64).step_by(154) {
        let now = Moment::from_micros(micros);
        for (_, node, target) in ends.extract_if(.., |end| end.0 <= micros) {
            busy[target] -= 1;
            let latency = Duration::from_millis(20);
            nodes[node].observe(
                now,
                &ids[target],
                Observation::Done { latency, level: Level::OPEN },
            );
            nodes[node].record_load(now, &ids[target], f64::from(busy[target]) / f64::from(SLOTS));
        }
        let node = (draw() >> 33) as usize % nodes.len();
        let rank = Rank::at(Importance(1), 0);
        let choice = nodes[node].choose(now, rank, draw(), &[]).expect("a target is eligible");
        let target = ids.iter().position(|id| *id == choice.instance).expect("the target is known");
        busy[target] += 1;
        // Calls beyond the slots have to wait and lengthen the latency.
        let wait = f64::from(busy[target].max(SLOTS)) / f64::from(SLOTS);
        ends.push((micros + (22_000.0 / SPEEDS[target] * wait) as u64, node, target));
        if micros > 1_000_000 {
            (0..3).for_each(|idx| sums[idx] += u64::from(busy[idx]));
        }
    }
    let steps = (3_000_000 / 154) as f64;
    let loads = sums.map(|sum| sum as f64 / steps / f64::from(SLOTS));
    assert!(loads.iter().all(|load| (0.6..1.1).contains(load)), "{loads:?}");
}

/// Load balancer of a node in one of three availability zones, with a target in each.
fn balancer(ids: &[InstanceId; 3], slots: u32, zone: usize) -> Balancer {
    let zones = ["z0", "z1", "z2"].map(Name::new);
    let mut balancer = Balancer::new(zones[zone].clone());
    for (instance, zone) in ids.iter().zip(zones) {
        let instance = instance.clone();
        balancer.add_target(TargetInfo { instance, zone, slots, connections: 442 });
    }
    balancer
}

/// If a deep service refuses most calls at any load, nearly every chain of calls fails. The entry
/// node must then admit few requests, and all of them soon after they succeed again.
#[test]
fn route_whose_requests_nearly_all_fail_is_throttled_until_they_succeed() {
    let (route, mut breaker) = (Name::new("chained"), RouteBreaker::default());
    let mut count_admitted = |from: u64, completes: fn(u64) -> bool| {
        let count = (from..from + 2_000).step_by(20).filter(|millis| {
            let now = Moment::from_millis(*millis);
            let admitted = breaker.admits(now, &route, (millis * 40_503) as u16);
            if admitted {
                breaker.record(now, &route, completes(*millis));
            }
            admitted
        });
        count.count()
    };
    assert_eq!(count_admitted(0, |_| true), 100);
    // With one request in five succeeding, the route is not throttled.
    assert_eq!(count_admitted(2_000, |millis| millis % 100 == 0), 100);
    count_admitted(4_000, |_| false);
    assert!(count_admitted(6_000, |_| false) < 25);
    count_admitted(8_000, |_| true);
    assert_eq!(count_admitted(10_000, |_| true), 100);
}

/// A throttled route with one request per second must detect that its requests succeed again.
#[test]
fn throttled_route_with_little_traffic_gets_trials() {
    let (route, mut breaker) = (Name::new("rare"), RouteBreaker::default());
    (0..60).for_each(|_| breaker.record(Moment::from_millis(1_000), &route, false));
    assert!(breaker.admits(Moment::from_millis(2_000), &route, 0));
    assert!(!breaker.admits(Moment::from_millis(2_100), &route, 0));
    breaker.record(Moment::from_millis(2_200), &route, true);
    assert!(breaker.admits(Moment::from_millis(2_300), &route, 10_000));
}
