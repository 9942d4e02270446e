//! Tracks the requests suspected of crashing targets, and reports them to the other members.
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

/// Path of suspect reports between nodes.
pub(crate) const SUSPECTS_PATH: &str = "/suspects";
/// Time for which the suspicion state of a request is kept after its last change.
const RETENTION: Duration = Duration::from_secs(600);
/// Maximum number of requests whose state is kept.
const CAPACITY: usize = 4_096;
/// Maximum number of reports in one message.
const REPORTS_MAX: usize = 256;
/// Time within which a report must be acknowledged.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a target that is alive accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Service that holds the suspicion state of requests to the service of the local target.
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

/// Run in flight at the local target.
struct TrackedRun {
    fingerprint: Fingerprint,
    permit: Permit,
}

/// Run that is in flight; dropping it ends the run without any effect on the request's state.
pub(crate) struct RunGuard {
    suspects: Arc<Suspects>,
    id: u64,
}

/// Why a run is not admitted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum RunRefusal {
    /// The request crashed a target while it ran isolated.
    Convicted,
    /// The request is a suspect, and another suspect runs here.
    Busy,
    /// The request is a suspect, and only the named target may run it.
    Elsewhere(InstanceId),
}

impl Suspects {
    /// Finds the services it needs in `registry`.
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

    /// Admits a run, subject to what is suspected of its request.
    ///
    /// A suspect runs only at its isolation target and as the only suspect there. One that is bound
    /// to this target cannot go to another, so it may run here isolated.
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
        let permit = state.table.admit(now, fingerprint).map_err(|refusal| match refusal {
            SuspectRefusal::Convicted => RunRefusal::Convicted,
            SuspectRefusal::Busy => RunRefusal::Busy,
        })?;
        state.last_id += 1;
        let id = state.last_id;
        state.runs.insert(id, TrackedRun { fingerprint, permit });
        Ok(RunGuard { suspects: self.clone(), id })
    }

    /// Merges the reports of another node, at most [`REPORTS_MAX`] of them.
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

    /// Records a crash of the target, which makes every request in flight a suspect, or convicts
    /// it if it ran isolated, and reports to the members of the service.
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

    /// Sends at most [`REPORTS_MAX`] reports to every serving member of the service, the most
    /// severe and latest states first.
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
                // Not retried: a member that misses the report learns of the request at the
                // request's next crash.
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
    /// Ends a run that the target answered; reports it if it clears a suspect that ran isolated.
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

    /// Ends a run whose connection was lost; returns whether the target crashed.
    ///
    /// A target that accepts no new connection at the address `target` counts as crashed, and any
    /// request in flight may be the cause.
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
