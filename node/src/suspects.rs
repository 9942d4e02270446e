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
const MEMORY: Duration = Duration::from_secs(600);
/// Most requests remembered.
const CAPACITY: usize = 4_096;
/// Most reports in one message.
const REPORTS: usize = 256;
/// Time for which one message may be on its way.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time within which a live target accepts a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Service that knows the suspects of the own service.
pub(crate) struct Suspects {
    clock: Clock,
    own: InstanceId,
    directory: Arc<Directory>,
    links: Arc<Links>,
    state: Mutex<State>,
}

struct State {
    core: poplar_core::SuspectTable,
    open: HashMap<u64, Open>,
    next: u64,
}

struct Open {
    print: Fingerprint,
    permit: Permit,
}

/// Run that is in flight; ends without a word on the request if it is dropped.
pub(crate) struct Watched {
    suspects: Arc<Suspects>,
    id: u64,
}

/// Why a run is not let in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Denied {
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
        own: InstanceId,
        registry: &Registry,
    ) -> Result<Self, RegistryError> {
        let core = poplar_core::SuspectTable::new(MEMORY, CAPACITY);
        let state = Mutex::new(State { core, open: HashMap::new(), next: 0 });
        let directory = registry.find("directory")?;
        Ok(Self { clock, own, directory, links: registry.find("links")?, state })
    }

    /// Lets a run in, unless its request is held to crash targets.
    ///
    /// A suspect that is bound to this target cannot go to another one and runs here alone.
    pub(crate) fn admit(
        self: &Arc<Self>,
        service: &Name,
        print: Fingerprint,
        bound: bool,
    ) -> Result<Watched, Denied> {
        let now = self.clock.now();
        let suspect = self.lock().core.state(now, print) == SuspicionState::Suspect;
        if suspect && !bound {
            self.check_isolation(service, print)?;
        }
        let mut state = self.lock();
        let permit = state.core.admit(now, print).map_err(|barred| match barred {
            SuspectRefusal::Convicted => Denied::Convicted,
            SuspectRefusal::Busy => Denied::Busy,
        })?;
        state.next += 1;
        let id = state.next;
        state.open.insert(id, Open { print, permit });
        Ok(Watched { suspects: self.clone(), id })
    }

    /// Takes in reports of another node.
    pub(crate) fn merge(&self, reports: &[SuspectReport]) {
        let now = self.clock.now();
        let reports = &reports[..reports.len().min(REPORTS)];
        self.lock().core.merge(now, reports);
    }

    fn check_isolation(&self, service: &Name, print: Fingerprint) -> Result<(), Denied> {
        let members = self.directory.serving(service);
        match print.isolation_target(members.iter().map(|member| &member.instance)) {
            Some(target) if *target != self.own => Err(Denied::Elsewhere(target.clone())),
            _ => Ok(()),
        }
    }

    /// Holds every run in flight for a suspect, and tells the members of the service.
    fn crashed(self: &Arc<Self>, service: &Name) {
        let now = self.clock.now();
        let mut state = self.lock();
        let runs: Vec<_> = state.open.drain().map(|(_, open)| (open.print, open.permit)).collect();
        if runs.is_empty() {
            return;
        }
        state.core.record_crash(now, runs);
        drop(state);
        self.tell(service);
    }

    /// Tells every known member of the service what is held against which request.
    fn tell(self: &Arc<Self>, service: &Name) {
        let reports = self.lock().core.export(self.clock.now(), REPORTS);
        for member in self.directory.serving(service) {
            let Ok(peer) = member.address.parse::<SocketAddr>() else { continue };
            if member.instance == self.own {
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

impl Watched {
    /// Ends a run that the target answered.
    pub(crate) fn succeeded(self, service: &Name) {
        let now = self.suspects.clock.now();
        let mut state = self.suspects.lock();
        let Some(Open { print, permit }) = state.open.remove(&self.id) else { return };
        let was_suspect = permit == Permit::Isolated;
        state.core.record_success(now, print, permit);
        drop(state);
        if was_suspect {
            self.suspects.tell(service);
        }
    }

    /// Ends a run whose connection broke; says whether the target crashed.
    ///
    /// A target that takes no new connection is gone, and whatever was in flight may be why.
    pub(crate) async fn broken(self, service: &Name, target: &str) -> bool {
        let connect = tokio::net::TcpStream::connect(target);
        let alive = tokio::time::timeout(CONNECT_TIMEOUT, connect).await;
        let crashed = !matches!(alive, Ok(Ok(_)));
        if crashed {
            self.suspects.crashed(service);
        }
        crashed
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        let mut state = self.suspects.lock();
        if let Some(open) = state.open.remove(&self.id) {
            state.core.release(open.permit);
        }
    }
}

impl Service for Suspects {
    fn name(&self) -> &'static str {
        "suspects"
    }

    fn dump(&self, now: Moment) -> Value {
        let state = self.lock();
        let reports = state.core.export(now, REPORTS);
        json!({ "in_flight": state.open.len(), "held": reports })
    }
}
