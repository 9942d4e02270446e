//! Load balancer: chooses the target of a call.
//!
//! The node's own observations (calls in flight, latency, failed connections, and the level in the
//! last answer) take precedence over the health that a target reports. Two candidates are drawn at
//! random and the better one gets the call. See [choice](../../docs/design/choice.md).

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64;

use crate::admission::{Level, Rank};
use crate::ids::{InstanceId, Name};
use crate::limit::smoothed;
use crate::suspects::Fingerprint;
use crate::time::Moment;

/// Maximum number of targets of one service per node; bounds memory and time.
const TARGETS_MAX: usize = 64;
/// Time for which a target's level is valid if no answer refreshes it.
const LEVEL_LIFETIME: Duration = Duration::from_millis(500);
/// Round-trip time to another availability zone.
const REMOTE_COST: Duration = Duration::from_millis(2);
/// Time to open a new connection.
const CONNECT_COST: Duration = Duration::from_millis(1);
/// Cost of a target whose state is uncertain: its last connection failed, or it reports itself
/// unhealthy and has not answered yet. The next call to it is a probe.
const PROBE_COST: Duration = Duration::from_millis(6);
/// First backoff of a target after a failed connection; doubles with each further failure.
const BACKOFF_MIN: Duration = Duration::from_millis(200);
/// Maximum backoff of a target.
const BACKOFF_MAX: Duration = Duration::from_secs(5);
/// Time for which a reported load is valid; it is outdated if the target has not answered since.
const LOAD_LIFETIME: Duration = Duration::from_millis(1_000);
/// Load below which a target of the own availability zone is chosen without a comparison.
const LOCAL_LOAD_MAX: f64 = 0.7;
/// Load from which a target counts as full. A target that fails its calls reports a load above
/// this.
const FULL_LOAD: f64 = 1.0;
/// Number of further targets that are drawn when the better of the first two is full. A few draws
/// usually find free capacity if there is some; searching all targets would direct every caller to
/// the single target with free capacity.
const EXTRA_DRAWS: u32 = 3;
/// Load that is added to a target in another availability zone in a comparison.
const REMOTE_LOAD: f64 = 0.2;
/// Number of calls assumed to run in parallel at a target that has not answered since it was added
/// or since its last failure.
const COLD_CALLS: u32 = 1;
/// Latency assumed until a target has answered.
const COLD_LATENCY: Duration = Duration::from_millis(10);

/// Properties that a target announced.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TargetInfo {
    /// Instance that the target belongs to.
    pub instance: InstanceId,
    /// Availability zone of the instance.
    pub zone: Name,
    /// Number of requests that the target runs at once.
    pub slots: u32,
    /// Maximum number of connections that the target accepts.
    pub connections: u32,
}

/// Target chosen for a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Choice {
    /// Instance that gets the call.
    pub instance: InstanceId,
    /// Whether the call needs a new connection, because no open one is free.
    pub new_connection: bool,
}

/// Result of a call, as observed by the node that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Observation {
    /// The target ran the call.
    Done {
        /// Time from the send to the complete answer.
        latency: Duration,
        /// Level in the answer.
        level: Level,
    },
    /// The node beside the target refused the call.
    Refused {
        /// Level in the answer.
        level: Level,
    },
    /// No connection could be opened, or an open one stopped responding.
    Unreachable,
    /// The call was given up for a reason that is unrelated to the target.
    GivenUp,
}

/// Load balancer of one node for the targets of one service.
///
/// Holds at most 64 targets. If there are more, targets of the node's own availability zone replace
/// those of other zones.
#[derive(Debug)]
pub struct Balancer {
    zone: Name,
    /// Targets of the own availability zone first.
    targets: Vec<Target>,
    /// Smoothed over all targets: the number of calls in flight reveals a slow target sooner than
    /// its latency does.
    latency: Duration,
}

#[derive(Debug)]
struct Target {
    info: TargetInfo,
    local: bool,
    draining: bool,
    /// Health that the target reports.
    healthy: bool,
    in_flight: u32,
    /// Number of open connections, in use or idle.
    open: u32,
    /// Number of calls assumed to run in parallel; grows with each answer up to the announced
    /// slots.
    call_limit: u32,
    answered: bool,
    level: Level,
    level_at: Moment,
    backoff: Duration,
    backoff_until: Moment,
    report: Option<LoadReport>,
}

/// Load of a target as reported by the node beside it.
#[derive(Debug, Clone, Copy)]
struct LoadReport {
    /// Running and waiting calls of all nodes, as a fraction of the target's limit.
    load: f64,
    at: Moment,
    /// Own calls in flight at the time; later calls are not included in the load.
    in_flight: u32,
}

impl Balancer {
    /// Load balancer without targets, for a node in `zone`.
    pub fn new(zone: Name) -> Self {
        Self { zone, targets: Vec::new(), latency: COLD_LATENCY }
    }

    /// Adds a target that announced itself. A known target is replaced and loses its history.
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
        let position = if local { self.local_count() } else { self.targets.len() };
        self.targets.insert(position, Target::new(info, local));
    }

    /// Marks a target as leaving; it gets no further calls.
    pub fn drain(&mut self, instance: &InstanceId) {
        if let Some(target) = self.find(instance) {
            target.draining = true;
        }
    }

    /// Removes a target that has left or failed.
    pub fn remove_target(&mut self, instance: &InstanceId) {
        self.targets.retain(|target| target.info.instance != *instance);
    }

    /// Records the result of a target's health endpoint; it is used only until the target has
    /// answered a call of this node.
    pub fn set_health(&mut self, instance: &InstanceId, healthy: bool) {
        if let Some(target) = self.find(instance) {
            target.healthy = healthy;
        }
    }

    /// Records the load in an answer, as a fraction of the target's limit.
    ///
    /// The node's own calls in flight say little about a target that many nodes share; see
    /// [choice](../../docs/design/choice.md).
    pub fn record_load(&mut self, now: Moment, instance: &InstanceId, load: f64) {
        if let Some(target) = self.find(instance) {
            let in_flight = target.in_flight.saturating_sub(1);
            target.report = Some(LoadReport { load, at: now, in_flight });
        }
    }

    /// Chooses a target for a call and counts the call as in flight.
    ///
    /// `random` is a uniformly distributed random number. Targets in `tried` are excluded. Returns
    /// `None` if no target is eligible for a call now.
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
        if let Some(idx) = local.filter(|idx| self.targets[*idx].has_capacity(now)) {
            return Some(self.assign(idx));
        }
        let first = local.or_else(|| self.draw(now, all.clone(), roll, tried, None))?;
        let roll = (random >> 32) as u32;
        let exclude = self.targets[first].weighted_load(now).map(|_| first);
        let second = self.draw(now, all, roll, tried, exclude);
        let mut best = second.map_or(first, |second| self.pick_better(now, rank, first, second));
        if self.targets[best].is_full(now) {
            best = self.find_with_capacity(now, roll, tried).unwrap_or(best);
        }
        if !self.targets[best].level(now).admits(rank) {
            best = self.best_of_all(now, rank, tried)?;
        }
        Some(self.assign(best))
    }

    /// Chooses the only target that may get a request suspected of crashing targets, and counts the
    /// call as in flight.
    pub fn choose_isolated(
        &mut self,
        now: Moment,
        fingerprint: Fingerprint,
        tried: &[InstanceId],
    ) -> Option<Choice> {
        let eligible = self.targets.iter().filter(|target| target.is_eligible(now, tried));
        let chosen =
            fingerprint.isolation_target(eligible.map(|target| &target.info.instance))?.clone();
        let idx = self.targets.iter().position(|target| target.info.instance == chosen)?;
        Some(self.assign(idx))
    }

    /// Records the result of a call for which [`Self::choose`] or [`Self::choose_isolated`] chose
    /// `instance`.
    pub fn observe(&mut self, now: Moment, instance: &InstanceId, observation: Observation) {
        let Some(target) = self.find(instance) else { return };
        target.in_flight = target.in_flight.saturating_sub(1);
        match observation {
            Observation::Done { latency, level } => {
                target.record_level(now, level);
                // At least one, because a target requests work by announcing itself.
                let slots = target.info.slots.max(1);
                target.call_limit = slots.min(target.call_limit.saturating_add(1));
                self.latency = smoothed(self.latency, latency);
            }
            Observation::Refused { level } => target.record_level(now, level),
            Observation::Unreachable => target.record_failure(now),
            Observation::GivenUp => {}
        }
    }

    /// Whether a target other than `instance` is known to have room for one more call.
    pub fn has_room_beside(&self, now: Moment, instance: &InstanceId) -> bool {
        let mut others = self.targets.iter().filter(|target| target.info.instance != *instance);
        others.any(|target| {
            target.is_eligible(now, &[])
                && target.load_with_call(now).is_some_and(|load| load < FULL_LOAD)
        })
    }

    /// Number of targets, including draining ones.
    pub fn target_count(&self) -> usize {
        self.targets.len()
    }

    /// Checks the invariants.
    ///
    /// # Errors
    ///
    /// Description of an invariant that is violated.
    pub fn verify(&self) -> Result<(), String> {
        if self.targets.len() > TARGETS_MAX {
            return Err(format!("{} targets exceed {TARGETS_MAX}", self.targets.len()));
        }
        if !self.targets.is_sorted_by_key(|target| !target.local) {
            return Err("a target of another zone precedes one of the own zone".into());
        }
        for target in &self.targets {
            if target.open > target.info.connections || target.in_flight > target.open {
                return Err(format!("{target:?} exceeds its connections"));
            }
        }
        Ok(())
    }

    /// Counts a call as in flight to the target at `idx`.
    fn assign(&mut self, idx: usize) -> Choice {
        let target = &mut self.targets[idx];
        let new_connection = target.in_flight >= target.open;
        target.in_flight += 1;
        target.open = target.open.max(target.in_flight);
        Choice { instance: target.info.instance.clone(), new_connection }
    }

    fn find(&mut self, instance: &InstanceId) -> Option<&mut Target> {
        self.targets.iter_mut().find(|target| target.info.instance == *instance)
    }

    fn local_count(&self) -> usize {
        self.targets.partition_point(|target| target.local)
    }

    /// First eligible target of the range, starting at a random position.
    ///
    /// The target `exclude` is left out: among few targets, a second draw would often return the
    /// same one, and the call would go there whatever its reported load.
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
        let indexes = (0..len).map(|step| {
            let idx = range.start + (start + step) % len;
            idx + usize::from(exclude.is_some_and(|excluded| idx >= excluded))
        });
        indexes.into_iter().find(|idx| self.targets[*idx].is_eligible(now, tried))
    }

    /// First of [`EXTRA_DRAWS`] further randomly drawn targets that is known not to be full.
    fn find_with_capacity(&self, now: Moment, roll: u32, tried: &[InstanceId]) -> Option<usize> {
        let all = 0..self.targets.len();
        let mut rolls = (1..=EXTRA_DRAWS).map(|draw| rehash(roll, draw));
        rolls.find_map(|roll| {
            let drawn = self.draw(now, all.clone(), roll, tried, None)?;
            self.targets[drawn]
                .load_with_call(now)
                .is_some_and(|load| load < FULL_LOAD)
                .then_some(drawn)
        })
    }

    /// Best of all eligible targets; used when the level of the target chosen so far refuses the
    /// call.
    fn best_of_all(&self, now: Moment, rank: Rank, tried: &[InstanceId]) -> Option<usize> {
        let eligible =
            (0..self.targets.len()).filter(|idx| self.targets[*idx].is_eligible(now, tried));
        eligible.reduce(|one, two| self.pick_better(now, rank, one, two))
    }

    fn pick_better(&self, now: Moment, rank: Rank, one: usize, two: usize) -> usize {
        let (a, b) = (&self.targets[one], &self.targets[two]);
        let (low, high) = (a.level(now), b.level(now));
        let admitted = low.admits(rank) && high.admits(rank);
        let comparable = admitted;
        if !comparable && low != high {
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

    /// Whether the target may get a call now. After a failed connection it gets none during the
    /// backoff, and then one at a time until it has answered.
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

    /// Load with one more call, as a fraction of the limit; `None` without a valid report.
    fn load_with_call(&self, now: Moment) -> Option<f64> {
        let report = self.report.filter(|report| now.since(report.at) < LOAD_LIFETIME)?;
        let unreported = self.in_flight.saturating_sub(report.in_flight) + 1;
        Some(report.load + f64::from(unreported) / f64::from(self.info.slots.max(1)))
    }

    /// Load with one more call, plus [`REMOTE_LOAD`] if the target is in another availability zone.
    fn weighted_load(&self, now: Moment) -> Option<f64> {
        let remote = if self.local { 0.0 } else { REMOTE_LOAD };
        self.load_with_call(now).map(|load| load + remote)
    }

    /// Whether the target reports that it is full or fails its calls.
    fn is_full(&self, now: Moment) -> bool {
        self.load_with_call(now).is_some_and(|load| load >= FULL_LOAD)
    }

    /// Whether the target is known to have free capacity for one more call.
    fn has_capacity(&self, now: Moment) -> bool {
        self.backoff == Duration::ZERO
            && self.weighted_load(now).is_some_and(|load| load < LOCAL_LOAD_MAX)
    }

    /// Expected duration of one more call, including the round trip to another zone, a new
    /// connection and a probe.
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
        // Calls in flight at the same time fail together and count as one failure.
        if now < self.backoff_until {
            return;
        }
        self.backoff = (self.backoff * 2).clamp(BACKOFF_MIN, BACKOFF_MAX);
        self.backoff_until = now + self.backoff;
        self.open = self.in_flight;
        self.call_limit = COLD_CALLS;
    }
}

/// Random number derived from `roll` and `draw`.
fn rehash(roll: u32, draw: u32) -> u32 {
    let seed = u64::from(roll) << 32 | u64::from(draw);
    (xxh3_64(&seed.to_le_bytes()) >> 32) as u32
}
