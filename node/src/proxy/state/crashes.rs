//! Requests during which targets crashed, and the restrictions that follow for these requests.
//!
//! The node beside a target detects its crash and reports it to all other nodes at once. If that
//! node crashes together with its target, the entry that sent the request detects the crash. See
//! [crashing requests](../../../../docs/design/crashing-requests.md).

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poplar_core::{
    CrashAdmission, CrashHistory, CrashMark, CrashNews, Fingerprint, Moment, TargetLifetime,
};
use poplar_kernel::{Clock, Service};
use serde_json::{Value, json};
use slog::{Logger, info, warn};
use tokio::sync::{Notify, Semaphore, SemaphorePermit, mpsc};

use crate::proxy::locality::Locality;

/// Largest number of requests for which crashes are tracked. At 300 bytes each, they need little
/// memory compared to calls.
const REQUESTS_MAX: usize = 4_096;
/// Longest time for which a suspect request waits until no other suspect request runs at the
/// target; a few typical run times.
const ISOLATION_WAIT: Duration = Duration::from_millis(1_000);
/// Time after which a caller may retry a suspect request that could not run alone in time.
const ISOLATION_RETRY: Duration = Duration::from_millis(300);

/// Service that tracks which requests crashed targets.
pub(crate) struct CrashRecords {
    clock: Clock,
    logger: Logger,
    crashes: Mutex<CrashHistory>,
    /// Whether any request has a crash mark. While none has, requests are not hashed at their
    /// entry.
    any_marked: AtomicBool,
    /// Receives what must be sent to other nodes.
    broadcasts: mpsc::UnboundedSender<CrashBroadcast>,
    /// Notified when this node must write its crash record to the store, where it outlives all
    /// processes.
    persistent_changed: Notify,
    /// Held by the only suspect request that runs at the local target.
    isolation: Semaphore,
}

/// Crash marks and successes to send to other nodes, and whether they leave the zone.
#[derive(Debug)]
pub(crate) struct CrashBroadcast {
    pub(crate) news: CrashNews,
    pub(crate) locality: Locality,
}

/// Permission to run a request at the local target; the permit of a suspect request holds the
/// isolation semaphore.
#[derive(Debug)]
pub(crate) struct CrashPermit<'a>(Option<SemaphorePermit<'a>>);

impl CrashRecords {
    pub(crate) fn new(
        clock: Clock,
        logger: Logger,
        broadcasts: mpsc::UnboundedSender<CrashBroadcast>,
    ) -> Self {
        let crashes = Mutex::new(CrashHistory::new(REQUESTS_MAX));
        let (any_marked, persistent_changed) = (AtomicBool::new(false), Notify::new());
        Self {
            clock,
            logger,
            crashes,
            any_marked,
            broadcasts,
            persistent_changed,
            isolation: Semaphore::new(1),
        }
    }

    /// Restriction under which a request may run now.
    pub(crate) fn restriction(&self, fingerprint: impl FnOnce() -> Fingerprint) -> CrashAdmission {
        if !self.any_marked.load(Ordering::Acquire) {
            return CrashAdmission::Unrestricted;
        }
        self.lock().admission(self.clock.now(), fingerprint())
    }

    /// Acquires permission to run a request at the local target. A suspect request waits until no
    /// other one runs. The error is the time after which the caller may retry.
    pub(crate) async fn acquire(
        &self,
        fingerprint: Fingerprint,
    ) -> Result<CrashPermit<'_>, Duration> {
        match self.restriction(|| fingerprint) {
            CrashAdmission::Unrestricted => return Ok(CrashPermit(None)),
            CrashAdmission::Refused(left) => return Err(left),
            CrashAdmission::Isolated => {}
        }
        match tokio::time::timeout(ISOLATION_WAIT, self.isolation.acquire()).await {
            Ok(Ok(semaphore_permit)) => Ok(CrashPermit(Some(semaphore_permit))),
            Ok(Err(_)) | Err(_) => Err(ISOLATION_RETRY),
        }
    }

    /// Checks that a request that has waited since [`CrashRecords::acquire`] may still run. The
    /// error is the time after which the caller may retry.
    pub(crate) fn recheck(
        &self,
        fingerprint: Fingerprint,
        permit: &CrashPermit<'_>,
    ) -> Result<(), Duration> {
        match self.restriction(|| fingerprint) {
            CrashAdmission::Unrestricted => Ok(()),
            CrashAdmission::Isolated if permit.0.is_some() => Ok(()),
            CrashAdmission::Isolated => Err(ISOLATION_RETRY),
            CrashAdmission::Refused(left) => Err(left),
        }
    }

    /// Records that a target crashed while it ran a request, and reports it to all zones.
    pub(crate) fn record_crash(
        &self,
        fingerprint: Fingerprint,
        life: TargetLifetime,
        began: Moment,
        ended: Moment,
    ) {
        let now = self.clock.now();
        let mark = CrashMark {
            print: fingerprint,
            life,
            began: now.since(began),
            ended: now.since(ended),
        };
        let count = {
            let mut crashes = self.lock();
            let news = crashes.record_local(now, mark);
            self.broadcast(&crashes, news, Locality::CrossZone);
            crashes.count(fingerprint)
        };
        info!(self.logger, "crash: target crashed while it ran a request";
            "print" => %fingerprint, "crashes" => count);
    }

    /// Records that a request succeeded, which ends its crash marks, and reports it to all zones.
    pub(crate) fn record_success(&self, fingerprint: Fingerprint) {
        let mut crashes = self.lock();
        let news = crashes.record_success(self.clock.now(), fingerprint);
        if !news.is_empty() {
            info!(self.logger, "crash: request succeeded"; "print" => %fingerprint);
        }
        self.broadcast(&crashes, news, Locality::CrossZone);
    }

    /// As [`CrashRecords::record_success`], but neither hashes nor remembers the request while no
    /// request has a crash mark.
    pub(crate) fn record_success_if_marked(&self, fingerprint: impl FnOnce() -> Fingerprint) {
        if self.any_marked.load(Ordering::Acquire) {
            self.record_success(fingerprint());
        }
    }

    /// Merges what another node or the store reports, and forwards what was new within `locality`.
    /// What came from another zone is forwarded in this zone only, as the other zones receive it
    /// from there as well.
    pub(crate) fn merge(&self, received: &CrashNews, locality: Locality) {
        let mut crashes = self.lock();
        let news = crashes.merge(self.clock.now(), received);
        self.broadcast(&crashes, news, locality);
    }

    /// Marks and last success of one request.
    pub(crate) fn export_request(&self, fingerprint: Fingerprint) -> CrashNews {
        self.lock().export_request(self.clock.now(), fingerprint)
    }

    /// What a node needs that has just connected: the requests that are restricted, and those that
    /// crashed a target recently.
    pub(crate) fn export_for_new_peer(&self) -> CrashNews {
        self.lock().export_for_peer(self.clock.now())
    }

    /// The refused requests, which are kept in the store so that they outlive all processes.
    pub(crate) fn export_persistent(&self) -> CrashNews {
        self.lock().export_refused(self.clock.now())
    }

    /// Waits until this node must write [`CrashRecords::export_persistent`] to the store: a request
    /// is refused, and this node has seen one of its crashes itself.
    pub(crate) async fn wait_persistent_change(&self) {
        self.persistent_changed.notified().await;
    }

    /// Removes expired entries.
    pub(crate) fn expire(&self) {
        let mut crashes = self.lock();
        if !crashes.is_empty() {
            crashes.expire(self.clock.now());
            self.any_marked.store(!crashes.is_clear(), Ordering::Release);
        }
    }

    /// Queues what was new for other nodes, and requests a write to the store if it is due.
    fn broadcast(&self, crashes: &CrashHistory, news: CrashNews, locality: Locality) {
        if news.is_empty() {
            return;
        }
        self.any_marked.store(!crashes.is_clear(), Ordering::Release);
        if crashes.must_persist(&news) {
            warn!(self.logger, "crash: requests refused from now on";
                "requests" => news.marks.len());
            self.persistent_changed.notify_one();
        }
        // Without a receiver the process is about to exit.
        let _ = self.broadcasts.send(CrashBroadcast { news, locality });
    }

    fn lock(&self) -> MutexGuard<'_, CrashHistory> {
        self.crashes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Service for CrashRecords {
    fn name(&self) -> &'static str {
        "crashes"
    }

    fn dump(&self, now: Moment) -> Value {
        let crashes = self.lock();
        let refused = crashes.export_refused(now);
        json!({ "requests": crashes.len(), "refused": refused.marks })
    }
}
