//! Requests that ended the targets which ran them, as this node knows them.
//!
//! The node beside a target sees its end and tells all others at once; entries see the end of a
//! target whose node ended with it. See [crashing requests](../../../../docs/design/crashing-requests.md).

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

/// Requests that are followed at most; with 300 bytes each, little beside what calls take.
const REQUESTS_MAX: usize = 4_096;
/// Time for which a request under suspicion waits until it can run alone; a few usual runs.
const ISOLATION_WAIT: Duration = Duration::from_millis(1_000);
/// Time to come back for a caller of such a request that did not get its turn.
const ISOLATION_RETRY: Duration = Duration::from_millis(300);

/// Service that knows which requests ended targets.
pub(crate) struct CrashRecords {
    clock: Clock,
    logger: Logger,
    crashes: Mutex<CrashHistory>,
    /// Whether any request has a mark, so that no other is hashed at its entry.
    any_marked: AtomicBool,
    /// Takes what other nodes should know.
    broadcasts: mpsc::UnboundedSender<CrashBroadcast>,
    /// Told when this node has seen something that must outlive all processes.
    persistent_changed: Notify,
    isolation: Semaphore,
}

/// What others should know, and how far it goes.
#[derive(Debug)]
pub(crate) struct CrashBroadcast {
    pub(crate) news: CrashNews,
    pub(crate) locality: Locality,
}

/// Leave to run a request; the one that runs alone holds the place.
#[derive(Debug)]
pub(crate) struct CrashPermit<'a>(Option<SemaphorePermit<'a>>);

impl CrashRecords {
    pub(crate) fn new(
        clock: Clock,
        logger: Logger,
        news: mpsc::UnboundedSender<CrashBroadcast>,
    ) -> Self {
        let crashes = Mutex::new(CrashHistory::new(REQUESTS_MAX));
        let (marked, lasting) = (AtomicBool::new(false), Notify::new());
        Self {
            clock,
            logger,
            crashes,
            any_marked: marked,
            broadcasts: news,
            persistent_changed: lasting,
            isolation: Semaphore::new(1),
        }
    }

    /// How a request may run now.
    pub(crate) fn restriction(&self, print: impl FnOnce() -> Fingerprint) -> CrashAdmission {
        if !self.any_marked.load(Ordering::Acquire) {
            return CrashAdmission::Unrestricted;
        }
        self.lock().admission(self.clock.now(), print())
    }

    /// Lets a request run at the target beside this node, or says when its caller may come back.
    pub(crate) async fn acquire(&self, print: Fingerprint) -> Result<CrashPermit<'_>, Duration> {
        match self.restriction(|| print) {
            CrashAdmission::Unrestricted => return Ok(CrashPermit(None)),
            CrashAdmission::Refused(left) => return Err(left),
            CrashAdmission::Isolated => {}
        }
        match tokio::time::timeout(ISOLATION_WAIT, self.isolation.acquire()).await {
            Ok(Ok(place)) => Ok(CrashPermit(Some(place))),
            Ok(Err(_)) | Err(_) => Err(ISOLATION_RETRY),
        }
    }

    /// Checks once more that a request may run, after it has waited; the error says when its caller
    /// may come back.
    pub(crate) fn recheck(
        &self,
        print: Fingerprint,
        entrance: &CrashPermit<'_>,
    ) -> Result<(), Duration> {
        match self.restriction(|| print) {
            CrashAdmission::Unrestricted => Ok(()),
            CrashAdmission::Isolated if entrance.0.is_some() => Ok(()),
            CrashAdmission::Isolated => Err(ISOLATION_RETRY),
            CrashAdmission::Refused(left) => Err(left),
        }
    }

    /// Takes in that a target ended while it ran a request.
    pub(crate) fn record_crash(
        &self,
        print: Fingerprint,
        life: TargetLifetime,
        began: Moment,
        ended: Moment,
    ) {
        let now = self.clock.now();
        let mark = CrashMark { print, life, began: now.since(began), ended: now.since(ended) };
        let count = {
            let mut crashes = self.lock();
            let news = crashes.record_local(now, mark);
            self.broadcast(&crashes, news, Locality::CrossZone);
            crashes.count(print)
        };
        info!(self.logger, "crash: target ended under a request";
            "print" => %print, "crashes" => count);
    }

    /// Takes in that a request ended well.
    pub(crate) fn record_success(&self, print: Fingerprint) {
        let mut crashes = self.lock();
        let news = crashes.record_success(self.clock.now(), print);
        if !news.is_empty() {
            info!(self.logger, "crash: request ended well"; "print" => %print);
        }
        self.broadcast(&crashes, news, Locality::CrossZone);
    }

    /// As [`CrashRecords::record_success`], where nothing is remembered of requests without marks.
    pub(crate) fn record_success_if_marked(&self, print: impl FnOnce() -> Fingerprint) {
        if self.any_marked.load(Ordering::Acquire) {
            self.record_success(print());
        }
    }

    /// Takes in what another node, or the store, tells, and passes on what is news as far as `reach`:
    /// what has come from another availability zone is known in the others.
    pub(crate) fn merge(&self, told: &CrashNews, reach: Locality) {
        let mut crashes = self.lock();
        let news = crashes.merge(self.clock.now(), told);
        self.broadcast(&crashes, news, reach);
    }

    /// What is known of one request.
    pub(crate) fn export_request(&self, print: Fingerprint) -> CrashNews {
        self.lock().export_request(self.clock.now(), print)
    }

    /// What a new neighbour must be told.
    pub(crate) fn export_for_new_peer(&self) -> CrashNews {
        self.lock().export_for_peer(self.clock.now())
    }

    /// What must outlive all processes.
    pub(crate) fn export_persistent(&self) -> CrashNews {
        self.lock().export_refused(self.clock.now())
    }

    /// Waits until that has grown by what this node itself has seen.
    pub(crate) async fn wait_persistent_change(&self) {
        self.persistent_changed.notified().await;
    }

    /// Drops what is too old to matter.
    pub(crate) fn expire(&self) {
        let mut crashes = self.lock();
        if !crashes.is_empty() {
            crashes.expire(self.clock.now());
            self.any_marked.store(!crashes.is_clear(), Ordering::Release);
        }
    }

    fn broadcast(&self, crashes: &CrashHistory, news: CrashNews, reach: Locality) {
        if news.is_empty() {
            return;
        }
        self.any_marked.store(!crashes.is_clear(), Ordering::Release);
        if crashes.must_persist(&news) {
            warn!(self.logger, "crash: requests refused from now on";
                "requests" => news.marks.len());
            self.persistent_changed.notify_one();
        }
        // Without a receiver the process is about to end.
        let _ = self.broadcasts.send(CrashBroadcast { news, locality: reach });
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
