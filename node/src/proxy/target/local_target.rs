//! State of the target beside this node: its announcements, and the record derived from them that
//! is published to other nodes and to the store.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poplar_core::{
    Age, ConnectionBreaker, ErrorKind, Fingerprint, ImportanceScale, InstanceId, Moment, Name,
    Rate, Shedding, Stage, StatedLimit, TargetLifetime, TargetLimits, TargetRecord,
};
use poplar_kernel::{Clock, Service};
use serde_json::{Value, json};
use slog::{Logger, info, warn};
use tokio::sync::{Notify, watch};

use crate::admission::AdmissionController;
use crate::proxy::ports::NodeConfig;
use crate::proxy::state::SharedState;
use crate::proxy::state::crashes::CrashRecords;
use crate::proxy::state::roster::{Roster, is_plausible_start};
use crate::proxy::state::rules::Rules;
use crate::proxy::statement::{LimitStatement, TargetStatement};
use crate::proxy::target::client::TargetClient;
use crate::proxy::unix_time::unix_time;

/// Length of the admission queue per slot of the target. A call that gets this far mostly belongs
/// to a request that an entry node admitted, and a full queue of short calls drains well within
/// their deadlines.
const QUEUE_PER_SLOT: u32 = 4;

/// Time after the announcement of a restarted target for which answers that its previous lifetime
/// wrote may still be read. Both run on this machine, so little time suffices.
const FINAL_READ_TIME: Duration = Duration::from_millis(100);
/// Largest number of remembered instances that deregistered before they were known. A machine has
/// one target at a time and a start takes seconds, so few accumulate.
const DEPARTED_MAX: usize = 64;
/// Largest number of remembered runs without an answer; more than a target runs at once.
const UNANSWERED_MAX: usize = 512;

/// Largest number of remembered limits of targets that are not known yet. A node that starts knows
/// its target within seconds, and few others can precede it.
const REPORTED_LIMITS_MAX: usize = 8;

/// Longest time for which an acknowledgement to the target waits for the store; targets repeat the
/// request after one second.
const STORE_WAIT: Duration = Duration::from_millis(600);

/// Time after the start of the process within which a heartbeat may have been sent before the
/// start, so that it does not show that the target is not leaving.
const LATE_HEARTBEAT_MAX: Duration = Duration::from_secs(5);

/// Periodic statement of a target about itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Instance identifier of the target.
    pub instance: InstanceId,
    /// Service that it runs.
    pub service: Name,
    /// Address at which it listens.
    pub address: Name,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it serves, drains or has left.
    pub stage: Stage,
    /// Remaining time for which it is slow after its start.
    pub cold: Duration,
    /// Start time of the target and sequence number of the announcement, which order announcements.
    pub age: Age,
}

impl Announcement {
    /// Whether the announcement is of this lifetime.
    fn is(&self, lifetime: TargetLifetime) -> bool {
        TargetLifetime::of(&self.instance, self.age.born) == lifetime
    }

    /// The next announcement of the same lifetime, with another stage.
    fn with_stage(self, stage: Stage) -> Self {
        // A target may have used up the sequence numbers; announcements of equal age count, too.
        let sequence = self.age.sequence.saturating_add(1);
        Self { stage, age: Age { sequence, ..self.age }, ..self }
    }
}

/// Result of an announcement or a deregistration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// The announcement is in effect at this node.
    Accepted,
    /// A newer announcement is already known, or the instance to deregister is not the known
    /// target.
    Outdated,
    /// The announcement is not from the target beside this node: its service or address differs, or
    /// its start lies in the future.
    Foreign,
}

/// Kernel service that maintains the state of the target beside this node.
pub struct LocalTarget {
    clock: Clock,
    /// Start of the process.
    started: Moment,
    config: Arc<NodeConfig>,
    logger: Logger,
    admission: Arc<AdmissionController>,
    client: Arc<TargetClient>,
    roster: Arc<Roster>,
    rules: Arc<Rules>,
    crashes: Arc<CrashRecords>,
    state: Mutex<State>,
    /// Current lifetime of the target; it changes when the target restarts.
    lifetime: watch::Sender<Option<TargetLifetime>>,
    changed: Notify,
    /// Start time and stage in the target's record as last written to the store or read from it.
    stored: watch::Sender<Option<(u64, Stage)>>,
    /// Whether the records of all targets have been read from the store.
    store_read: watch::Receiver<bool>,
}

#[derive(Debug, Default)]
struct State {
    target: Option<Announcement>,
    /// Whether the target has shown since the start of this process that it is not leaving. Until
    /// then, an earlier process may have acknowledged a leave of which no trace is left.
    confirmed: bool,
    last_announced: Moment,
    /// Time of the last announcement or answer of the current lifetime.
    last_alive: Moment,
    /// Time of the last announcement or answer of the previous lifetime.
    previous_alive: Moment,
    /// Runs that ended without an answer since `last_alive`, oldest first.
    unanswered: VecDeque<Unanswered>,
    breaker: ConnectionBreaker,
    /// Instances that deregistered before they were known.
    departed: Departed,
    /// Rate limit that the current lifetime of the target states.
    limit: StatedLimit,
    /// Whether it has stated a limit that could not be read.
    malformed_limit: bool,
    /// Limits that other nodes reported of lifetimes that are not known yet.
    reported_limits: VecDeque<(TargetLifetime, Rate)>,
}

/// Deregistered instances, each with the latest start time that the deregistration covers, in
/// milliseconds of Unix time.
#[derive(Debug, Default)]
struct Departed(VecDeque<(InstanceId, u64)>);

impl Departed {
    fn add(&mut self, instance: InstanceId, last: u64) {
        if self.0.len() >= DEPARTED_MAX {
            self.0.pop_front();
        }
        self.0.push_back((instance, last));
    }

    /// Whether the lifetime of `instance` that began at `born` has been deregistered.
    fn covers(&self, instance: &InstanceId, born: u64) -> bool {
        self.0.iter().any(|(known, last)| known == instance && born <= *last)
    }
}

/// Run that ended without an answer, at its deadline or because its caller cancelled.
#[derive(Debug)]
struct Unanswered {
    fingerprint: Fingerprint,
    began: Moment,
}

impl LocalTarget {
    pub(crate) fn new(
        clock: Clock,
        config: Arc<NodeConfig>,
        logger: Logger,
        admission: Arc<AdmissionController>,
        client: Arc<TargetClient>,
        shared: SharedState,
        store_read: watch::Receiver<bool>,
    ) -> Self {
        let SharedState { rules, roster, crashes } = shared;
        let (state, changed) = (Mutex::default(), Notify::new());
        let (lifetime, stored) = (watch::Sender::new(None), watch::Sender::new(None));
        Self {
            clock,
            started: clock.now(),
            config,
            logger,
            admission,
            client,
            roster,
            rules,
            crashes,
            state,
            lifetime,
            changed,
            stored,
            store_read,
        }
    }

    /// Applies an announcement of a target.
    ///
    /// A target that announced that it is draining or has left gets no calls again in the same
    /// lifetime, whatever it announces later.
    pub fn announce(&self, announcement: Announcement) -> AnnouncementOutcome {
        let serving = announcement.stage == Stage::Serving;
        let outcome = self.apply(announcement, true);
        let sent_since_start = self.clock.now().since(self.started) >= LATE_HEARTBEAT_MAX;
        if outcome == AnnouncementOutcome::Accepted && serving && sent_since_start {
            self.record_confirmed();
        }
        outcome
    }

    /// Records that the target has shown that it is not leaving, so that calls may be sent to it.
    pub(crate) fn record_confirmed(&self) {
        if !std::mem::replace(&mut self.lock().confirmed, true) {
            info!(self.logger, "target: known not to be leaving");
        }
    }

    /// Whether the target has shown since the start of the process that it is not leaving.
    pub(crate) fn is_confirmed(&self) -> bool {
        self.lock().confirmed
    }

    /// Current lifetime of the target, and its changes.
    pub(crate) fn lifetimes(&self) -> watch::Receiver<Option<TargetLifetime>> {
        self.lifetime.subscribe()
    }

    /// Applies an announcement; a change is published if `publishes` is set or if the instance has
    /// already been deregistered.
    fn apply(&self, announcement: Announcement, publishes: bool) -> AnnouncementOutcome {
        if announcement.service != self.config.service
            || announcement.address != self.config.target
            || !is_plausible_start(announcement.age.born, unix_time())
        {
            warn!(self.logger, "target: announcement of another target ignored";
                "instance" => %announcement.instance, "service" => %announcement.service,
                "address" => %announcement.address, "born" => announcement.age.born);
            return AnnouncementOutcome::Foreign;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        if state.target.as_ref().is_some_and(|known| known.age > announcement.age) {
            return AnnouncementOutcome::Outdated;
        }
        state.last_announced = now;
        let known = state.target.as_ref();
        let same_lifetime = known.is_some_and(|known| {
            known.age.born == announcement.age.born && known.instance == announcement.instance
        });
        let mut stage = known
            .filter(|_| same_lifetime)
            .map_or(announcement.stage, |known| known.stage.max(announcement.stage));
        let departed = stage < Stage::Left
            && state.departed.covers(&announcement.instance, announcement.age.born);
        if departed {
            stage = Stage::Left;
        }
        let same = same_lifetime
            && known.is_some_and(|known| known.stage == stage && known.slots == announcement.slots);
        let announcement = Announcement { stage, ..announcement };
        let previous = state.target.replace(announcement.clone());
        let unanswered = std::mem::take(&mut state.unanswered);
        let last_alive = std::mem::replace(&mut state.last_alive, now);
        if !same_lifetime {
            state.previous_alive = last_alive;
            state.breaker = ConnectionBreaker::default();
            state.limit = StatedLimit::default();
            state.malformed_limit = false;
        }
        drop(state);
        if !same_lifetime {
            if let Some(previous) = previous.filter(|previous| previous.stage != Stage::Left) {
                let lifetime = TargetLifetime::of(&previous.instance, previous.age.born);
                for Unanswered { fingerprint, began } in unanswered {
                    self.crashes.record_crash(fingerprint, lifetime, began, began.max(last_alive));
                }
            }
            self.lifetime.send_replace(Some(TargetLifetime::of(
                &announcement.instance,
                announcement.age.born,
            )));
            self.open_admission(&announcement);
            self.apply_reported_limits();
        }
        if !same {
            info!(self.logger, "target: changed"; "instance" => %announcement.instance,
                "stage" => ?announcement.stage, "slots" => announcement.slots,
                "born" => announcement.age.born, "sequence" => announcement.age.sequence);
            if publishes || departed {
                self.publish(&announcement);
            }
        }
        AnnouncementOutcome::Accepted
    }

    /// Marks `instance` as left. Returns `Outdated` if it is not the target known at this node, and
    /// `Foreign` if `born` lies in the future.
    ///
    /// The deregistration of an unknown instance is remembered. It applies to later announcements
    /// of lifetimes of the instance that began at `born` or earlier, or before now if `born` is not
    /// given.
    pub fn deregister(&self, instance: &InstanceId, born: Option<u64>) -> AnnouncementOutcome {
        if !is_plausible_start(born.unwrap_or_default(), unix_time()) {
            warn!(self.logger, "target: leave with a start in the future ignored";
                "instance" => %instance, "born" => born);
            return AnnouncementOutcome::Foreign;
        }
        let known = self.lock().target.clone();
        let known = known.filter(|known| {
            known.instance == *instance && born.is_none_or(|born| born == known.age.born)
        });
        let Some(known) = known else {
            let last = born.unwrap_or(unix_time().as_millis() as u64);
            self.lock().departed.add(instance.clone(), last);
            info!(self.logger, "target: unknown instance deregistered"; "instance" => %instance);
            return AnnouncementOutcome::Outdated;
        };
        self.announce(known.with_stage(Stage::Left))
    }

    /// Records what the target stated in an answer to a request that was sent at `sent` to its
    /// lifetime `lifetime`.
    pub(crate) fn record_statement(
        &self,
        lifetime: TargetLifetime,
        sent: Moment,
        statement: TargetStatement,
    ) {
        if *self.lifetime.borrow() != Some(lifetime) {
            return;
        }
        let now = self.clock.now();
        match statement.limit {
            LimitStatement::Limit(rate) => {
                self.update_limit(|limit| limit.record_answer(now, sent, rate));
            }
            LimitStatement::Malformed => {
                if !std::mem::replace(&mut self.lock().malformed_limit, true) {
                    warn!(self.logger, "target: rate limit that cannot be read ignored");
                }
            }
        }
        if statement.leaving {
            self.mark_leaving(lifetime);
        }
    }

    /// Marks the target as draining, because its lifetime `lifetime` stated in an answer that it is
    /// leaving.
    pub(crate) fn mark_leaving(&self, lifetime: TargetLifetime) {
        let known = self.lock().target.clone();
        if let Some(known) = known.filter(|known| known.is(lifetime))
            && known.stage == Stage::Serving
        {
            info!(self.logger, "target: leave stated in an answer"; "instance" => %known.instance);
            self.announce(known.with_stage(Stage::Draining));
        }
    }

    /// Takes over a rate limit that a lifetime of the target stated to another node. It has an
    /// effect only until the target has answered this node.
    pub(crate) fn adopt_limit(&self, lifetime: TargetLifetime, rate: Rate) {
        {
            let mut state = self.lock();
            if state.reported_limits.len() >= REPORTED_LIMITS_MAX {
                state.reported_limits.pop_front();
            }
            state.reported_limits.push_back((lifetime, rate));
        }
        self.apply_reported_limits();
    }

    /// Rate limit that the target states, with the target's current lifetime.
    pub(crate) fn stated_limit(&self) -> Option<(TargetLifetime, Rate)> {
        let lifetime = (*self.lifetime.borrow())?;
        Some((lifetime, self.lock().limit.rate()?))
    }

    /// Applies the limits reported of the current lifetime.
    fn apply_reported_limits(&self) {
        let Some(lifetime) = *self.lifetime.borrow() else { return };
        let now = self.clock.now();
        // The others may be of a lifetime that is announced later.
        let (current, others) = std::mem::take(&mut self.lock().reported_limits)
            .into_iter()
            .partition::<VecDeque<_>, _>(|(known, _)| *known == lifetime);
        self.lock().reported_limits.extend(others);
        for (_, rate) in current {
            self.update_limit(|limit| limit.adopt(now, rate));
        }
    }

    /// Changes the rate limit with `update` and passes it to admission.
    fn update_limit(&self, update: impl FnOnce(&mut StatedLimit)) {
        let mut state = self.lock();
        let before = state.limit.rate();
        update(&mut state.limit);
        let rate = state.limit.rate();
        if rate == before {
            return;
        }
        // Under the lock, so that concurrent changes reach admission in their order.
        self.admission.set_rate(rate);
        drop(state);
        info!(self.logger, "target: rate limit changed"; "rate" => rate.map(f64::from));
    }

    /// Error kind with which to refuse a call for `instance`, if the target cannot run it.
    pub(crate) fn refusal_kind(&self, instance: &InstanceId) -> Option<ErrorKind> {
        let state = self.lock();
        match state.target.as_ref().filter(|target| target.instance == *instance) {
            None => Some(ErrorKind::NoTarget),
            Some(target) if target.stage > Stage::Serving => Some(ErrorKind::Draining),
            Some(_) => (!state.confirmed).then_some(ErrorKind::NoTarget),
        }
    }

    /// Decides whether a request for `instance` may be sent to the target now, and returns the
    /// target's current lifetime.
    ///
    /// # Errors
    ///
    /// `NoTarget` if `instance` is not the current target, and `Connection` if the target breaks
    /// its connections and no trial request is due.
    pub(crate) fn admit_run(&self, instance: &InstanceId) -> Result<TargetLifetime, ErrorKind> {
        let now = self.clock.now();
        let mut state = self.lock();
        let target = state.target.as_ref().filter(|target| target.instance == *instance);
        let lifetime = target.map(|target| TargetLifetime::of(instance, target.age.born));
        let lifetime = lifetime.ok_or(ErrorKind::NoTarget)?;
        if state.breaker.admit(now) { Ok(lifetime) } else { Err(ErrorKind::Connection) }
    }

    /// Waits until a lifetime other than `lifetime` has been announced, and then for the time in
    /// which answers of the previous one may still arrive.
    pub(crate) async fn wait_replaced(&self, lifetime: TargetLifetime) {
        let mut lifetimes = self.lifetime.subscribe();
        // The sender is dropped only when the process is about to exit.
        let _ =
            lifetimes.wait_for(|current| current.is_some_and(|current| current != lifetime)).await;
        tokio::time::sleep(FINAL_READ_TIME).await;
    }

    /// Records that the target ran a request and answered it.
    pub(crate) fn record_answer(&self) {
        let mut state = self.lock();
        state.last_alive = self.clock.now();
        state.unanswered.clear();
        state.breaker.record_answer();
    }

    /// Records that the target answered without running the request. A restarted target that has
    /// not been announced yet may have sent the answer, so it does not prove that the current
    /// lifetime is alive.
    pub(crate) fn record_refusal(&self) {
        self.lock().breaker.record_answer();
    }

    /// Records that a run ended without an answer. It counts as a crash only if the target turns
    /// out to have restarted without a sign of life after the run.
    pub(crate) fn record_unanswered(
        &self,
        fingerprint: Fingerprint,
        lifetime: TargetLifetime,
        began: Moment,
    ) {
        let mut state = self.lock();
        if *self.lifetime.borrow() != Some(lifetime) {
            return;
        }
        if state.unanswered.len() >= UNANSWERED_MAX {
            state.unanswered.pop_front();
        }
        state.unanswered.push_back(Unanswered { fingerprint, began });
    }

    /// Records that the connection broke during a run.
    pub(crate) fn record_broken(
        &self,
        fingerprint: Fingerprint,
        lifetime: TargetLifetime,
        began: Moment,
    ) {
        let current = *self.lifetime.borrow() == Some(lifetime);
        let ended = {
            let mut state = self.lock();
            if current {
                state.breaker.record_reset();
            }
            // The end of a previous lifetime was not observed, so its last sign of life stands for
            // it.
            if current { self.clock.now() } else { began.max(state.previous_alive) }
        };
        self.crashes.record_crash(fingerprint, lifetime, began, ended);
    }

    /// Record of the target that is published to other nodes.
    pub(crate) fn record(&self) -> Option<TargetRecord> {
        let state = self.lock();
        state.target.as_ref().map(|target| self.to_record(target))
    }

    /// Applies a record of the target that an earlier process of this node published, read from the
    /// store (`stored`) or received from another node.
    ///
    /// It takes effect while the target has not announced itself. Later it is applied only if it is
    /// of the same lifetime and in a later stage, so that a known departure stays in effect
    /// whatever the target announces.
    pub(crate) fn adopt(&self, record: &TargetRecord, stored: bool) {
        let known = self.lock().target.clone();
        let age = match &known {
            None => record.age,
            Some(known) if known.instance == record.instance && known.stage < record.stage => {
                if known.age.born != record.age.born {
                    return;
                }
                known.age.max(record.age)
            }
            Some(_) => return,
        };
        let adopted = Announcement {
            instance: record.instance.clone(),
            service: record.service.clone(),
            address: record.address.clone(),
            slots: record.slots,
            stage: record.stage,
            cold: Duration::ZERO,
            age,
        };
        if stored {
            self.record_stored(record);
        }
        self.apply(adopted, !stored);
    }

    /// Records that the store holds `record`.
    pub(crate) fn record_stored(&self, record: &TargetRecord) {
        self.stored.send_replace(Some((record.age.born, record.stage)));
    }

    /// Waits up to 600 ms until the records of all targets have been read from the store, and
    /// returns whether they have.
    ///
    /// Until then, an instance that is unknown here may be one that other nodes still use.
    pub async fn wait_store_read(&self) -> bool {
        let mut read = self.store_read.clone();
        tokio::time::timeout(STORE_WAIT, read.wait_for(|read| *read)).await.is_ok()
    }

    /// Waits up to 600 ms until the store holds the last announced start and stage of the target,
    /// because a change that was acknowledged must not be lost with this process. See
    /// [platform](../../../../docs/design/platform.md).
    pub async fn wait_stored(&self) {
        let expected = self.record().map(|record| (record.age.born, record.stage));
        let mut stored = self.stored.subscribe();
        let written = stored.wait_for(|stored| *stored >= expected);
        if tokio::time::timeout(STORE_WAIT, written).await.is_err() {
            warn!(self.logger, "target: change acknowledged before the store confirmed it");
        }
    }

    /// Waits until the record has changed.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    fn publish(&self, target: &Announcement) {
        self.roster.merge(self.to_record(target));
        self.changed.notify_one();
    }

    fn to_record(&self, target: &Announcement) -> TargetRecord {
        TargetRecord {
            peer: self.config.record_key(),
            instance: target.instance.clone(),
            service: target.service.clone(),
            address: target.address.clone(),
            zone: self.config.zone.clone(),
            slots: target.slots,
            stage: target.stage,
            cold: target.cold,
            age: target.age,
        }
    }

    /// Opens admission for a target that has just started, and closes the idle connections to its
    /// predecessor.
    fn open_admission(&self, target: &Announcement) {
        self.client.close_idle();
        let active = self.rules.current();
        // A connection carries one request at a time, so a target needs no more of them than slots.
        let limits = TargetLimits::derive(target.slots, target.slots);
        let limits = limits.with_reserve().with_queue_per_slot(QUEUE_PER_SLOT);
        let scale = active
            .as_ref()
            .map_or_else(|| ImportanceScale::new([]), |active| active.importance_scale());
        self.admission.set_target(limits, scale, Shedding::ByQueue);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for LocalTarget {
    fn name(&self) -> &'static str {
        "target"
    }

    fn dump(&self, now: Moment) -> Value {
        let last = self.lock().last_announced;
        json!({ "record": self.record(), "heard_ms_ago": now.since(last).as_millis() as u64 })
    }
}
