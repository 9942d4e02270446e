//! The target beside this node: what it says of itself, and the record that follows from it.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poplar_core::{
    Age, ConnectionBreaker, ErrorKind, Fingerprint, ImportanceScale, InstanceId, Moment, Name,
    Shedding, Stage, TargetLifetime, TargetLimits, TargetRecord,
};
use poplar_kernel::{Clock, Service};
use serde_json::{Value, json};
use slog::{Logger, info, warn};
use tokio::sync::{Notify, watch};

use crate::admission::AdmissionController;
use crate::proxy::ports::NodeConfig;
use crate::proxy::state::SharedState;
use crate::proxy::state::crashes::CrashRecords;
use crate::proxy::state::roster::Roster;
use crate::proxy::state::rules::Rules;
use crate::proxy::target::client::TargetClient;
use crate::proxy::unix_time::unix_time;

/// Calls that may wait per slot of the target. A call that has come this far belongs mostly to a
/// request that was let in; a full queue of short calls drains well within their time limits.
const QUEUE_PER_SLOT: u32 = 4;

/// Time after the announcement of another life of the target for which what the one before had
/// written may still be read; both are on this machine.
const FINAL_READ_TIME: Duration = Duration::from_millis(100);
/// Instances that left unknown and are remembered; one machine has one target at a time, and starts
/// take seconds.
const DEPARTED_MAX: usize = 64;
/// Runs without an answer that are remembered; more than targets run at once.
const UNANSWERED_MAX: usize = 512;

/// Time for which an acknowledgement waits for the store; targets ask again after a second.
const STORE_WAIT: Duration = Duration::from_millis(600);

/// What a target says of itself, periodically.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Announcement {
    /// Instance.
    pub instance: InstanceId,
    /// Service that it runs.
    pub service: Name,
    /// Address at which it listens.
    pub address: Name,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Stage.
    pub stage: Stage,
    /// Time for which it stays slow after its start.
    pub cold: Duration,
    /// Place of this statement in the target's life.
    pub age: Age,
}

/// What the node made of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnouncementOutcome {
    /// It is taken in; what it says is in force at this node.
    Accepted,
    /// A later statement was already known.
    Outdated,
    /// It is not from the target beside this node.
    Foreign,
}

/// Service that knows the target beside this node.
pub struct LocalTarget {
    clock: Clock,
    site: Arc<NodeConfig>,
    logger: Logger,
    gate: Arc<AdmissionController>,
    client: Arc<TargetClient>,
    roster: Arc<Roster>,
    rules: Arc<Rules>,
    crashes: Arc<CrashRecords>,
    state: Mutex<State>,
    /// Life of the target.
    life: watch::Sender<Option<TargetLifetime>>,
    changed: Notify,
    /// Start and stage of the target as the store has them.
    stored: watch::Sender<Option<(u64, Stage)>>,
    /// Whether the store's records have been read.
    store_read: watch::Receiver<bool>,
}

#[derive(Debug, Default)]
struct State {
    target: Option<Announcement>,
    last_announced: Moment,
    /// Last sign of life of the target: an announcement, or an answer.
    last_alive: Moment,
    /// The same of the life before this one.
    previous_alive: Moment,
    /// Runs without an answer since the last sign of life, the latest last.
    unanswered: VecDeque<Unanswered>,
    resets: ConnectionBreaker,
    /// Instances that left before anything was known of them.
    departed: Departed,
}

/// Instances that left, each with the latest start that this says something about, in milliseconds of
/// Unix time.
#[derive(Debug, Default)]
struct Departed(VecDeque<(InstanceId, u64)>);

impl Departed {
    fn add(&mut self, instance: InstanceId, last: u64) {
        if self.0.len() >= DEPARTED_MAX {
            self.0.pop_front();
        }
        self.0.push_back((instance, last));
    }

    /// Whether the life of `instance` that began at `born` has left.
    fn covers(&self, instance: &InstanceId, born: u64) -> bool {
        self.0.iter().any(|(known, last)| known == instance && born <= *last)
    }
}

/// Run that ended without an answer: at its deadline, or as its caller left.
#[derive(Debug)]
struct Unanswered {
    print: Fingerprint,
    began: Moment,
}

impl LocalTarget {
    pub(crate) fn new(
        clock: Clock,
        site: Arc<NodeConfig>,
        logger: Logger,
        gate: Arc<AdmissionController>,
        client: Arc<TargetClient>,
        known: SharedState,
        store_read: watch::Receiver<bool>,
    ) -> Self {
        let SharedState { rules, roster, crashes } = known;
        let (state, changed) = (Mutex::default(), Notify::new());
        let (life, stored) = (watch::Sender::new(None), watch::Sender::new(None));
        Self {
            clock,
            site,
            logger,
            gate,
            client,
            roster,
            rules,
            crashes,
            state,
            life,
            changed,
            stored,
            store_read,
        }
    }

    /// Takes a statement of a target in.
    ///
    /// Once a target has said that it leaves, nothing that it says later in the same life makes
    /// it take work again.
    pub fn announce(&self, said: Announcement) -> AnnouncementOutcome {
        self.apply(said, true)
    }

    /// Takes a statement in, and publishes a change unless the store has it already.
    fn apply(&self, said: Announcement, publishes: bool) -> AnnouncementOutcome {
        if said.service != self.site.service || said.address != self.site.target {
            warn!(self.logger, "target: announcement of another target ignored";
                "instance" => %said.instance, "service" => %said.service, "address" => %said.address);
            return AnnouncementOutcome::Foreign;
        }
        let now = self.clock.now();
        let mut state = self.lock();
        if state.target.as_ref().is_some_and(|known| known.age > said.age) {
            return AnnouncementOutcome::Outdated;
        }
        state.last_announced = now;
        let known = state.target.as_ref();
        let same_life = known.is_some_and(|known| {
            known.age.born == said.age.born && known.instance == said.instance
        });
        let mut stage = known.filter(|_| same_life).map_or(said.stage, |k| k.stage.max(said.stage));
        let departed = stage < Stage::Left && state.departed.covers(&said.instance, said.age.born);
        if departed {
            stage = Stage::Left;
        }
        let same = same_life && known.is_some_and(|k| k.stage == stage && k.slots == said.slots);
        let said = Announcement { stage, ..said };
        let before = state.target.replace(said.clone());
        let unanswered = std::mem::take(&mut state.unanswered);
        let silent = std::mem::replace(&mut state.last_alive, now);
        if !same_life {
            state.previous_alive = silent;
            state.resets = ConnectionBreaker::default();
        }
        drop(state);
        if !same_life {
            if let Some(before) = before.filter(|before| before.stage != Stage::Left) {
                let life = TargetLifetime::of(&before.instance, before.age.born);
                for Unanswered { print, began } in unanswered {
                    self.crashes.record_crash(print, life, began, began.max(silent));
                }
            }
            self.life.send_replace(Some(TargetLifetime::of(&said.instance, said.age.born)));
            self.open_admission(&said);
        }
        if !same {
            info!(self.logger, "target: changed"; "instance" => %said.instance,
                "stage" => ?said.stage, "slots" => said.slots, "born" => said.age.born,
                "sequence" => said.age.sequence);
            if publishes || departed {
                self.publish(&said);
            }
        }
        AnnouncementOutcome::Accepted
    }

    /// Takes in that `instance` leaves; says whether it is the target beside this node.
    ///
    /// Of one that is not known, that is remembered until it says that it has started since.
    pub fn deregister(&self, instance: &InstanceId, born: Option<u64>) -> AnnouncementOutcome {
        let known = self.lock().target.clone();
        let known = known.filter(|known| {
            known.instance == *instance && born.is_none_or(|born| born == known.age.born)
        });
        let Some(known) = known else {
            let last = born.unwrap_or(unix_time().as_millis() as u64);
            self.lock().departed.add(instance.clone(), last);
            info!(self.logger, "target: one that is not known leaves"; "instance" => %instance);
            return AnnouncementOutcome::Outdated;
        };
        let age = Age { sequence: known.age.sequence + 1, ..known.age };
        self.announce(Announcement { stage: Stage::Left, age, ..known })
    }

    /// Identity of the target and whether it takes work.
    pub(crate) fn target(&self) -> Option<(InstanceId, Stage)> {
        self.lock().target.as_ref().map(|target| (target.instance.clone(), target.stage))
    }

    /// Life of the target that a request for `instance` is handed to now; the error says why none is.
    pub(crate) fn admit_run(&self, instance: &InstanceId) -> Result<TargetLifetime, ErrorKind> {
        let now = self.clock.now();
        let mut state = self.lock();
        let target = state.target.as_ref().filter(|target| target.instance == *instance);
        let life = target.map(|target| TargetLifetime::of(instance, target.age.born));
        let life = life.ok_or(ErrorKind::NoTarget)?;
        if state.resets.admit(now) { Ok(life) } else { Err(ErrorKind::Connection) }
    }

    /// Waits until another life of the target has begun, and what the one before had written must
    /// have come.
    pub(crate) async fn wait_replaced(&self, life: TargetLifetime) {
        let mut lives = self.life.subscribe();
        // Without a sender the process is about to end.
        let _ = lives.wait_for(|current| current.is_some_and(|current| current != life)).await;
        tokio::time::sleep(FINAL_READ_TIME).await;
    }

    /// Takes in that the target gave an answer.
    pub(crate) fn record_answer(&self) {
        let mut state = self.lock();
        state.last_alive = self.clock.now();
        state.unanswered.clear();
        state.resets.record_answer();
    }

    /// Takes in that the target answered without running the request. Another life may have done so
    /// that is not known yet, so it is no sign of life of this one.
    pub(crate) fn record_refusal(&self) {
        self.lock().resets.record_answer();
    }

    /// Takes in that a run ended without an answer, which says something only if the target turns
    /// out to have ended.
    pub(crate) fn record_unanswered(
        &self,
        print: Fingerprint,
        life: TargetLifetime,
        began: Moment,
    ) {
        let mut state = self.lock();
        if *self.life.borrow() != Some(life) {
            return;
        }
        if state.unanswered.len() >= UNANSWERED_MAX {
            state.unanswered.pop_front();
        }
        state.unanswered.push_back(Unanswered { print, began });
    }

    /// Takes in that the connection of a run broke.
    pub(crate) fn record_broken(&self, print: Fingerprint, life: TargetLifetime, began: Moment) {
        let current = *self.life.borrow() == Some(life);
        let ended = {
            let mut state = self.lock();
            if current {
                state.resets.record_reset();
            }
            // One that fell silent has ended nobody knows when.
            if current { self.clock.now() } else { began.max(state.previous_alive) }
        };
        self.crashes.record_crash(print, life, began, ended);
    }

    /// Record of the target as the other nodes should hold it.
    pub(crate) fn record(&self) -> Option<TargetRecord> {
        let state = self.lock();
        state.target.as_ref().map(|target| self.to_record(target))
    }

    /// Takes over what the store or another node has of the target from an earlier process of this
    /// node, until the target speaks; that it leaves holds whatever it says later. `stored` says
    /// whether the store has the record.
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

    /// Takes in that the store has `record`.
    pub(crate) fn record_stored(&self, record: &TargetRecord) {
        self.stored.send_replace(Some((record.age.born, record.stage)));
    }

    /// Waits until it is known here what the store has of the target, for a limited time; says
    /// whether it is. What is said of a target before that may be about one that others still use.
    pub async fn wait_store_read(&self) -> bool {
        let mut read = self.store_read.clone();
        tokio::time::timeout(STORE_WAIT, read.wait_for(|read| *read)).await.is_ok()
    }

    /// Waits until the store has what the target last said, for a limited time: what was
    /// acknowledged must not be lost with this process. See [platform](../../../../docs/design/platform.md).
    pub async fn wait_stored(&self) {
        let said = self.record().map(|record| (record.age.born, record.stage));
        let mut recorded = self.stored.subscribe();
        let settled = recorded.wait_for(|recorded| *recorded >= said);
        if tokio::time::timeout(STORE_WAIT, settled).await.is_err() {
            warn!(self.logger, "target: acknowledged without the store");
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
            peer: self.site.record_key(),
            instance: target.instance.clone(),
            service: target.service.clone(),
            address: target.address.clone(),
            zone: self.site.zone.clone(),
            slots: target.slots,
            stage: target.stage,
            cold: target.cold,
            age: target.age,
        }
    }

    /// Opens admission for a target that has just started, and leaves its predecessor's
    /// connections.
    fn open_admission(&self, target: &Announcement) {
        self.client.close_idle();
        let held = self.rules.current();
        // A connection carries one request at a time, so no more are open than slots are used.
        let limits = TargetLimits::derive(target.slots, target.slots);
        let limits = limits.with_reserve().with_queue_per_slot(QUEUE_PER_SLOT);
        let scale =
            held.as_ref().map_or_else(|| ImportanceScale::new([]), |held| held.importance_scale());
        self.gate.set_target(limits, scale, Shedding::ByQueue);
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
        let heard = self.lock().last_announced;
        json!({ "record": self.record(), "heard_ms_ago": now.since(heard).as_millis() as u64 })
    }
}
