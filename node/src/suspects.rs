//! Requests suspected of crashing their targets: who was in flight at a crash, and who knows it.
//!
//! See [crashing requests](../../docs/design/crashing-requests.md).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poplar_core::{
    Fingerprint, InstanceId, Moment, Name, Permit, SuspectRefusal, SuspectReport, SuspicionState,
};
use poplar_kernel::{Clock, Registry, RegistryError, Service};
use serde_json::{Value, json};

use crate::directory::Directory;
use crate::links::Links;

/// Path of reports about suspects.
pub(crate) const SUSPECTS_PATH: &str = "/suspects";
/// Time for which a standing is remembered after its last change.
const RETENTION: Duration = Duration::from_secs(600);
/// Most requests remembered.
const CAPACITY: usize = 4_096;
/// Most reports in one message.
const REPORTS_MAX: usize = 256;
/// Time for which one message may be on its way.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a live target accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Service that knows the suspects of the own service.
pub(crate) struct Suspects {
    clock: Clock,
    instance: InstanceId,
    directory: Arc<Directory>,
    links: Arc<Links>,
    state: Mutex<State>,
}

struct State {
    table: poplar_core::SuspectTable,
    runs: HashMap<u64, TrackedRun>,
    last_id: u64,
}

struct TrackedRun {
    fingerprint: Fingerprint,
    permit: Permit,
}

/// Run that is in flight; ends without a word on the request if it is dropped.
pub(crate) struct RunGuard {
    suspects: Arc<Suspects>,
    id: u64,
}

/// Why a run is not let in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RunRefusal {
    /// It is refused for good.
    Convicted,
    /// It is a suspect, and another one runs here.
    Busy,
    /// It is a suspect, and this is the one target that may run it.
    Elsewhere(InstanceId),
}

impl Suspects {
    /// Service that finds what it needs in `registry`.
    pub(crate) fn new(
        clock: Clock,
        instance: InstanceId,
        registry: &Registry,
    ) -> Result<Self, RegistryError> {
        let table = poplar_core::SuspectTable::new(RETENTION, CAPACITY);
        let state = Mutex::new(State { table, runs: HashMap::new(), last_id: 0 });
        let directory = registry.find("directory")?;
        Ok(Self { clock, instance, directory, links: registry.find("links")?, state })
    }

    /// Lets a run in, unless its request is held to crash targets.
    ///
    /// A suspect that is bound to this target cannot go to another one and runs here alone.
    pub(crate) fn admit(
        self: &Arc<Self>,
        service: &Name,
        fingerprint: Fingerprint,
        bound: bool,
    ) -> Result<RunGuard, RunRefusal> {
        let now = self.clock.now();
        let suspect = self.lock().table.state(now, fingerprint) == SuspicionState::Suspect;
        if suspect && !bound {
            self.check_isolation(service, fingerprint)?;
        }
        let mut state = self.lock();
        let permit = state.table.admit(now, fingerprint).map_err(|barred| match barred {
            SuspectRefusal::Convicted => RunRefusal::Convicted,
            SuspectRefusal::Busy => RunRefusal::Busy,
        })?;
        state.last_id += 1;
        let id = state.last_id;
        state.runs.insert(id, TrackedRun { fingerprint, permit });
        Ok(RunGuard { suspects: self.clone(), id })
    }

    /// Takes in reports of another node.
    pub(crate) fn merge(&self, reports: &[SuspectReport]) {
        let now = self.clock.now();
        let reports = &reports[..reports.len().min(REPORTS_MAX)];
        self.lock().table.merge(now, reports);
    }

    fn check_isolation(&self, service: &Name, fingerprint: Fingerprint) -> Result<(), RunRefusal> {
        let members = self.directory.serving(service);
        match fingerprint.isolation_target(members.iter().map(|member| &member.instance)) {
            Some(target) if *target != self.instance => Err(RunRefusal::Elsewhere(target.clone())),
            _ => Ok(()),
        }
    }

    /// Holds every run in flight for a suspect, and tells the members of the service.
    fn record_crash(self: &Arc<Self>, service: &Name) {
        let now = self.clock.now();
        let mut state = self.lock();
        let runs: Vec<_> =
            state.runs.drain().map(|(_, run)| (run.fingerprint, run.permit)).collect();
        if runs.is_empty() {
            return;
        }
        state.table.record_crash(now, runs);
        drop(state);
        self.send_reports(service);
    }

    /// Tells every known member of the service what is held against which request.
    fn send_reports(self: &Arc<Self>, service: &Name) {
        let reports = self.lock().table.export(self.clock.now(), REPORTS_MAX);
        for member in self.directory.serving(service) {
            let Ok(peer) = member.address.parse::<SocketAddr>() else { continue };
            if member.instance == self.instance {
                continue;
            }
            let (this, reports) = (self.clone(), reports.clone());
            tokio::spawn(async move {
                let exchange = this.links.exchange(peer, SUSPECTS_PATH, &reports);
                // A member that misses the report learns of the request by its next crash.
                let _: Result<Result<(), _>, _> =
                    tokio::time::timeout(SEND_TIMEOUT, exchange).await;
            });
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunGuard {
    /// Ends a run that the target answered.
    pub(crate) fn record_success(self, service: &Name) {
        let now = self.suspects.clock.now();
        let mut state = self.suspects.lock();
        let Some(TrackedRun { fingerprint, permit }) = state.runs.remove(&self.id) else { return };
        let was_suspect = permit == Permit::Isolated;
        state.table.record_success(now, fingerprint, permit);
        drop(state);
        if was_suspect {
            self.suspects.send_reports(service);
        }
    }

    /// Ends a run whose connection broke; says whether the target crashed.
    ///
    /// A target that takes no new connection is gone, and whatever was in flight may be why.
    pub(crate) async fn on_connection_lost(self, service: &Name, target: &str) -> bool {
        let connect = tokio::net::TcpStream::connect(target);
        let alive = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
        let crashed = !matches!(alive, Ok(Ok(_)));
        if crashed {
            self.suspects.record_crash(service);
        }
        crashed
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let mut state = self.suspects.lock();
        if let Some(run) = state.runs.remove(&self.id) {
            state.table.release(run.permit);
        }
    }
}

impl Service for Suspects {
    fn name(&self) -> &'static str {
        "suspects"
    }

    fn dump(&self, now: Moment) -> Value {
        let state = self.lock();
        let reports = state.table.export(now, REPORTS_MAX);
        json!({ "in_flight": state.runs.len(), "held": reports })
    }
}
