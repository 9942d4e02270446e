//! Choice of the target that gets a call.
//!
//! Own observation goes before what a target says of itself: calls in flight, latency, failed
//! connections and the level that came with the last answer. Two candidates are drawn and the
//! better one gets the call. See [choice](../../docs/design/choice.md).

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::admission::{Level, Rank};
use crate::ids::{InstanceId, Name};
use crate::limit::smoothed;
use crate::suspects::Fingerprint;
use crate::time::Moment;

/// Largest number of targets of one service that one node follows; bounds memory and time.
const TARGETS_MAX: usize = 64;
/// Time for which a level counts that no answer has renewed.
const LEVEL_LIFETIME: Duration = Duration::from_millis(500);
/// Way there and back to another availability zone.
const REMOTE_COST: Duration = Duration::from_millis(2);
/// Cost of a new connection.
const CONNECT_COST: Duration = Duration::from_millis(1);
/// Cost of a probe, which a target needs before it is trusted again.
const PROBE_COST: Duration = Duration::from_millis(6);
/// First time for which a target is left alone after a failed connection.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Longest such time.
const BACKOFF_MAX: Duration = Duration::from_secs(5);
/// Time for which a reported load counts; without answers nothing is known of a target.
const LOAD_LIFETIME: Duration = Duration::from_millis(1_000);
/// Load up to which a target of the own availability zone is taken without a comparison.
const LOCAL_LOAD_MAX: f64 = 0.7;
/// Load from which a target counts as full; one that fails what it gets is told as more than that.
const FULL_LOAD: f64 = 1.0;
/// Further targets that are looked at when the two that were drawn are full. A few find room where
/// there is some; looking at all would send every caller to the one target that has it.
const EXTRA_DRAWS: u32 = 3;
/// Load that the way to another availability zone counts for in a comparison.
const REMOTE_LOAD: f64 = 0.2;
/// Calls that may be in flight to a target that has not answered yet.
const COLD_CALLS: u32 = 1;
/// Latency assumed until a target has answered.
const COLD_LATENCY: Duration = Duration::from_millis(10);

/// What a target announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetInfo {
    /// Instance.
    pub instance: InstanceId,
    /// Availability zone.
    pub zone: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Connections that it takes.
    pub connections: u32,
}

/// Target that was chosen.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Instance that gets the call.
    pub instance: InstanceId,
    /// Whether no open connection to it is free, so that the call needs a new one.
    pub new_connection: bool,
}

/// What came of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The target ran the call.
    Done {
        /// Time from the send to the whole answer.
        latency: Duration,
        /// Level that came with the answer.
        level: Level,
    },
    /// The node beside the target refused the call.
    Refused {
        /// Level that came with the answer.
        level: Level,
    },
    /// No connection came about, or one went silent.
    Unreachable,
    /// The call was given up for a reason that says nothing of the target.
    GivenUp,
}

/// Targets of one service as one node sees them.
///
/// Holds at most 64 targets; those of the node's own availability zone come first, and displace
/// others when there are more.
#[derive(Debug)]
pub struct Balancer {
    zone: Name,
    /// Near ones first.
    targets: Vec<Target>,
    /// Smoothed over all targets: a slow one shows by the calls that stay in flight, and sooner.
    latency: Duration,
}

#[derive(Debug)]
struct Target {
    info: TargetInfo,
    local: bool,
    draining: bool,
    healthy: bool,
    in_flight: u32,
    /// Open connections, in use or not.
    open: u32,
    /// Calls that may be in flight while the target warms up.
    call_limit: u32,
    answered: bool,
    level: Level,
    level_at: Moment,
    backoff: Duration,
    backoff_until: Moment,
    report: Option<LoadReport>,
}

/// Load of a target by the word of the node beside it.
#[derive(Debug, Clone, Copy)]
struct LoadReport {
    /// Calls that run or wait there, whoever sent them, in parts of its limit.
    load: f64,
    at: Moment,
    /// Own calls in flight at the time; more of them are not in the load yet.
    in_flight: u32,
}

impl Balancer {
    /// Chooser without targets, for a node in `zone`.
    pub fn new(zone: Name) -> Self {
        Self { zone, targets: Vec::new(), latency: COLD_LATENCY }
    }

    /// Takes in a target that announced itself; one that is known starts cold again.
    pub fn add_target(&mut self, info: TargetInfo) {
        self.remove_target(&info.instance);
        let local = info.zone == self.zone;
        if self.targets.len() >= TARGETS_MAX {
            let remote = self.targets.iter().rposition(|target| !target.local);
            match remote.filter(|_| local) {
                Some(idx) => drop(self.targets.remove(idx)),
                None => return,
            }
        }
        let place = if local { self.local_count() } else { self.targets.len() };
        self.targets.insert(place, Target::new(info, local));
    }

    /// Gives no further call to a target that is leaving.
    pub fn drain(&mut self, instance: &InstanceId) {
        if let Some(target) = self.find(instance) {
            target.draining = true;
        }
    }

    /// Drops a target that has left or is lost.
    pub fn remove_target(&mut self, instance: &InstanceId) {
        self.targets.retain(|target| target.info.instance != *instance);
    }

    /// Takes in what a target's health endpoint says; it counts only until the first own answer.
    pub fn set_health(&mut self, instance: &InstanceId, healthy: bool) {
        if let Some(target) = self.find(instance) {
            target.healthy = healthy;
        }
    }

    /// Takes in the load that came with an answer, in parts of the target's limit.
    ///
    /// Own calls in flight say little where many nodes share a target; see
    /// [choice](../../docs/design/choice.md).
    pub fn record_load(&mut self, now: Moment, instance: &InstanceId, load: f64) {
        if let Some(target) = self.find(instance) {
            let in_flight = target.in_flight.saturating_sub(1);
            target.report = Some(LoadReport { load, at: now, in_flight });
        }
    }

    /// Chooses a target for a call and counts the call as in flight.
    ///
    /// `random` is a uniform random number. Targets in `tried` are left out. None if no target may
    /// get a call now.
    pub fn choose(
        &mut self,
        now: Moment,
        rank: Rank,
        random: u64,
        tried: &[InstanceId],
    ) -> Option<Choice> {
        let (all, roll) = (0..self.targets.len(), random as u32);
        let local = self.draw(now, 0..self.local_count(), roll, tried, None);
        let local = local.filter(|idx| self.targets[*idx].level(now) == Level::OPEN);
        if let Some(idx) = local.filter(|idx| self.targets[*idx].has_room(now)) {
            return Some(self.assign(idx));
        }
        let first = local.or_else(|| self.draw(now, all.clone(), roll, tried, None))?;
        let roll = (random >> 32) as u32;
        let exclude = self.targets[first].weighted_load(now).map(|_| first);
        let second = self.draw(now, all, roll, tried, exclude);
        let mut best = second.map_or(first, |second| self.pick_better(now, rank, first, second));
        if self.targets[best].is_full(now) {
            best = self.find_with_room(now, roll, tried).unwrap_or(best);
        }
        if !self.targets[best].level(now).admits(rank) {
            best = self.best_of_all(now, rank, tried)?;
        }
        Some(self.assign(best))
    }

    /// Chooses the target that alone gets a request under suspicion, and counts the call as in flight.
    pub fn choose_isolated(
        &mut self,
        now: Moment,
        print: Fingerprint,
        tried: &[InstanceId],
    ) -> Option<Choice> {
        let eligible = self.targets.iter().filter(|target| target.is_eligible(now, tried));
        let chosen = print.isolation_target(eligible.map(|target| &target.info.instance))?.clone();
        let idx = self.targets.iter().position(|target| target.info.instance == chosen)?;
        Some(self.assign(idx))
    }

    /// Takes in what came of a call that [`Self::choose`] gave out.
    pub fn observe(&mut self, now: Moment, instance: &InstanceId, observed: Observation) {
        let Some(target) = self.find(instance) else { return };
        target.in_flight = target.in_flight.saturating_sub(1);
        match observed {
            Observation::Done { latency, level } => {
                target.record_level(now, level);
                target.call_limit = target.info.slots.min(target.call_limit + 1);
                self.latency = smoothed(self.latency, latency);
            }
            Observation::Refused { level } => target.record_level(now, level),
            Observation::Unreachable => target.record_failure(now),
            Observation::GivenUp => {}
        }
    }

    /// Targets that are followed, draining ones included.
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Checks the invariants and says which one is broken.
    pub fn verify(&self) -> Result<(), String> {
        if self.targets.len() > TARGETS_MAX {
            return Err(format!("{} targets are followed", self.targets.len()));
        }
        if !self.targets.is_sorted_by_key(|target| !target.local) {
            return Err("a target of another zone stands before a near one".into());
        }
        for target in &self.targets {
            if target.open > target.info.connections || target.in_flight > target.open {
                return Err(format!("{target:?} exceeds its connections"));
            }
        }
        Ok(())
    }

    /// Counts a call to a target as in flight.
    fn assign(&mut self, idx: usize) -> Choice {
        let target = &mut self.targets[idx];
        let connects = target.in_flight >= target.open;
        target.in_flight += 1;
        target.open = target.open.max(target.in_flight);
        Choice { instance: target.info.instance.clone(), new_connection: connects }
    }

    fn find(&mut self, instance: &InstanceId) -> Option<&mut Target> {
        self.targets.iter_mut().find(|target| target.info.instance == *instance)
    }

    fn local_count(&self) -> usize {
        self.targets.partition_point(|target| target.local)
    }

    /// First target of the range that may get a call, from a random place onwards.
    ///
    /// The target `besides` is left out: among few targets a second draw would often give the same
    /// one, and the call would go there however loaded it is reported to be.
    fn draw(
        &self,
        now: Moment,
        range: std::ops::Range<usize>,
        random: u32,
        tried: &[InstanceId],
        exclude: Option<usize>,
    ) -> Option<usize> {
        let exclude = exclude.filter(|idx| range.contains(idx));
        let len = range.len() - usize::from(exclude.is_some());
        let start = ((u64::from(random) * len as u64) >> 32) as usize;
        let places = (0..len).map(|step| {
            let place = range.start + (start + step) % len;
            place + usize::from(exclude.is_some_and(|idx| place >= idx))
        });
        places.into_iter().find(|idx| self.targets[*idx].is_eligible(now, tried))
    }

    /// First target with room among a few that are drawn anew.
    fn find_with_room(&self, now: Moment, roll: u32, tried: &[InstanceId]) -> Option<usize> {
        let all = 0..self.targets.len();
        let mut rolls = (1..=EXTRA_DRAWS).map(|turn| rehash(roll, turn));
        rolls.find_map(|roll| {
            let drawn = self.draw(now, all.clone(), roll, tried, None)?;
            self.targets[drawn]
                .load_with_call(now)
                .is_some_and(|load| load < FULL_LOAD)
                .then_some(drawn)
        })
    }

    /// Best target of all; taken when both that were drawn would refuse the call.
    fn best_of_all(&self, now: Moment, rank: Rank, tried: &[InstanceId]) -> Option<usize> {
        let eligible =
            (0..self.targets.len()).filter(|idx| self.targets[*idx].is_eligible(now, tried));
        eligible.reduce(|one, two| self.pick_better(now, rank, one, two))
    }

    fn pick_better(&self, now: Moment, rank: Rank, one: usize, two: usize) -> usize {
        let (a, b) = (&self.targets[one], &self.targets[two]);
        let (low, high) = (a.level(now), b.level(now));
        let admitted = low.admits(rank) && high.admits(rank);
        let alike = admitted;
        if !alike && low != high {
            return if low < high { one } else { two };
        }
        if let (Some(low), Some(high)) = (a.weighted_load(now), b.weighted_load(now)) {
            return if high < low { two } else { one };
        }
        if b.cost(self.latency) < a.cost(self.latency) { two } else { one }
    }
}

impl Target {
    fn new(info: TargetInfo, local: bool) -> Self {
        Self {
            info,
            local,
            draining: false,
            healthy: true,
            in_flight: 0,
            open: 0,
            call_limit: COLD_CALLS,
            answered: false,
            level: Level::OPEN,
            level_at: Moment::default(),
            backoff: Duration::ZERO,
            backoff_until: Moment::default(),
            report: None,
        }
    }

    /// Whether a call may go there; after a failed connection one call at a time may.
    fn is_eligible(&self, now: Moment, tried: &[InstanceId]) -> bool {
        let failing = self.backoff > Duration::ZERO;
        !self.draining
            && self.in_flight < self.info.connections
            && !(failing && (now < self.backoff_until || self.in_flight > 0))
            && !tried.contains(&self.info.instance)
    }

    fn level(&self, now: Moment) -> Level {
        if now.since(self.level_at) < LEVEL_LIFETIME { self.level } else { Level::OPEN }
    }

    /// Load with one more call; none if it is not known.
    fn load_with_call(&self, now: Moment) -> Option<f64> {
        let report = self.report.filter(|report| now.since(report.at) < LOAD_LIFETIME)?;
        let unreported = self.in_flight.saturating_sub(report.in_flight) + 1;
        Some(report.load + f64::from(unreported) / f64::from(self.info.slots.max(1)))
    }

    /// Load with one more call, and what the way there counts for.
    fn weighted_load(&self, now: Moment) -> Option<f64> {
        let remote = if self.local { 0.0 } else { REMOTE_LOAD };
        self.load_with_call(now).map(|load| load + remote)
    }

    /// Whether the target is known to be full, or to fail what it gets.
    fn is_full(&self, now: Moment) -> bool {
        self.load_with_call(now).is_some_and(|load| load >= FULL_LOAD)
    }

    /// Whether the target surely has room for one more call.
    fn has_room(&self, now: Moment) -> bool {
        self.backoff == Duration::ZERO
            && self.weighted_load(now).is_some_and(|load| load < LOCAL_LOAD_MAX)
    }

    /// Expected time of one more call: its share of the slots, the way, and the connection.
    fn cost(&self, latency: Duration) -> Duration {
        let mut cost = latency * (self.in_flight + 1) / self.call_limit;
        if !self.local {
            cost += REMOTE_COST;
        }
        if self.in_flight >= self.open {
            cost += CONNECT_COST;
        }
        if self.backoff > Duration::ZERO || !(self.answered || self.healthy) {
            cost += PROBE_COST;
        }
        cost
    }

    fn record_level(&mut self, now: Moment, level: Level) {
        self.answered = true;
        self.level = level;
        self.level_at = now;
        self.backoff = Duration::ZERO;
    }

    fn record_failure(&mut self, now: Moment) {
        // Calls that were in flight together fail together and say the same.
        if now < self.backoff_until {
            return;
        }
        self.backoff = (self.backoff * 2).clamp(BACKOFF_MIN, BACKOFF_MAX);
        self.backoff_until = now + self.backoff;
        self.open = self.in_flight;
        self.call_limit = COLD_CALLS;
    }
}

/// Another random number that follows from `roll`.
fn rehash(roll: u32, turn: u32) -> u32 {
    let seed = u64::from(roll) << 32 | u64::from(turn);
    (xxh3_64(&seed.to_le_bytes()) >> 32) as u32
}
