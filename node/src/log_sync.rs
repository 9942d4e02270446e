//! Tasks that read the platform's log streams, append to them, and pull state from peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use poplar_core::{ContractRecord, ContractState, LogBatch, LogEntry, Offset, ReadAction};
use poplar_kernel::{Clock, Registry, RegistryError};
use poplar_wire::MemberRecord;
use slog::{Logger, info, warn};
use tokio::sync::mpsc;

use crate::contracts::Contracts;
use crate::directory::Directory;
use crate::links::Links;
use crate::log_client::{LogClient, LogError, ReadBatch};
use crate::members::Members;

/// Path at which a peer returns its contract state.
pub(crate) const CONTRACTS_PATH: &str = "/contracts";
/// Path at which peers exchange their member records.
pub(crate) const MEMBERS_PATH: &str = "/members";
/// Stream of contract records.
const CONTRACTS_STREAM: &str = "contracts";
/// Stream of member records.
const MEMBERS_STREAM: &str = "members";
/// Time for which the log may hold a read of the members' stream until a record comes.
const MEMBERS_READ_WAIT: Duration = Duration::from_secs(5);
/// Shortest delay before a failed request to the log is retried, before jitter.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(100);
/// Longest delay before a failed request to the log is retried, before jitter.
const RETRY_DELAY_MAX: Duration = Duration::from_secs(2);

/// State that the tasks share.
#[derive(Clone)]
pub(crate) struct LogSync {
    clock: Clock,
    log_client: LogClient,
    peers: Vec<SocketAddr>,
    contracts: Arc<Contracts>,
    directory: Arc<Directory>,
    links: Arc<Links>,
    members: Arc<Members>,
    logger: Logger,
}

impl LogSync {
    /// Finds the services it needs in `registry`; `peers` are the addresses from the settings.
    pub(crate) fn new(
        clock: Clock,
        log_client: LogClient,
        peers: Vec<SocketAddr>,
        registry: &Registry,
        logger: Logger,
    ) -> Result<Self, RegistryError> {
        Ok(Self {
            clock,
            log_client,
            peers,
            contracts: registry.find("contracts")?,
            directory: registry.find("directory")?,
            links: registry.find("links")?,
            members: registry.find("members")?,
            logger,
        })
    }

    /// Performs the actions that the reader of contracts asks for; never returns.
    pub(crate) async fn sync_contracts(self) {
        loop {
            match self.contracts.poll(&self.directory.serving_instances()) {
                ReadAction::Read { from, wait } => self.read_contracts(from, wait).await,
                ReadAction::Append(record) => self.append_contract(&record).await,
                ReadAction::Pull => self.pull_contracts().await,
                ReadAction::Wait(until) => {
                    tokio::time::sleep_until(self.clock.instant(until).into()).await;
                }
            }
        }
    }

    /// Pulls contracts from the nodes that reported a later revision, until `hints` is closed.
    pub(crate) async fn pull_hinted(self, mut hints: mpsc::Receiver<String>) {
        while let Some(address) = hints.recv().await {
            if let Ok(peer) = address.parse() {
                self.pull_from(peer).await;
            }
        }
    }

    /// Reads the members' stream; never returns.
    ///
    /// After each failed read it exchanges member records with a peer instead.
    pub(crate) async fn sync_members(self) {
        let mut next = Offset::default();
        let mut pause = RETRY_DELAY_MIN;
        loop {
            match self.log_client.read(MEMBERS_STREAM, next, MEMBERS_READ_WAIT).await {
                Ok(batch) => {
                    pause = RETRY_DELAY_MIN;
                    next = self.apply_batch(next, batch);
                }
                Err(error) => {
                    warn!(self.logger, "log: read failed"; "stream" => MEMBERS_STREAM, "error" => %error);
                    self.exchange_members().await;
                    pause = back_off(pause).await;
                }
            }
        }
    }

    /// Appends member records in order, and retries each until the log confirms it.
    pub(crate) async fn append_members(self, mut records: mpsc::UnboundedReceiver<MemberRecord>) {
        while let Some(record) = records.recv().await {
            let Ok(body) = serde_json::to_vec(&record) else { continue };
            let mut pause = RETRY_DELAY_MIN;
            while let Err(error) = self.log_client.append(MEMBERS_STREAM, body.clone().into()).await
            {
                warn!(self.logger, "log: append not confirmed"; "error" => %error);
                pause = back_off(pause).await;
            }
        }
    }

    async fn read_contracts(&self, from: Offset, wait: Duration) {
        match self.log_client.read(CONTRACTS_STREAM, from, wait).await {
            Ok(batch) => {
                for applied in self.contracts.on_read(&decode_batch(batch)) {
                    info!(self.logger, "log: contract record processed";
                        "offset" => %applied.offset, "verdict" => ?applied.verdict);
                }
            }
            Err(error) => self.record_failure(&error),
        }
    }

    async fn append_contract(&self, record: &ContractRecord) {
        let Ok(body) = serde_json::to_vec(record) else { return self.contracts.on_error() };
        match self.log_client.append(CONTRACTS_STREAM, body.into()).await {
            Ok(offset) => {
                self.contracts.on_append();
                info!(self.logger, "log: contract state appended"; "offset" => %offset);
            }
            Err(error) => self.record_failure(&error),
        }
    }

    fn record_failure(&self, error: &LogError) {
        self.contracts.on_error();
        warn!(self.logger, "log: request to the log failed"; "stream" => CONTRACTS_STREAM, "error" => %error);
    }

    async fn pull_contracts(&self) {
        if let Some(peer) = self.random_peer() {
            self.pull_from(peer).await;
        }
    }

    async fn pull_from(&self, peer: SocketAddr) {
        let pulled: Result<ContractState, _> = self.links.exchange(peer, CONTRACTS_PATH, &()).await;
        if let Ok(state) = pulled
            && self.contracts.on_peer(&state)
        {
            info!(self.logger, "log: contracts pulled"; "peer" => %peer, "next" => %state.next());
        }
    }

    /// Sends the member records known here to a random peer, and applies those that it returns.
    async fn exchange_members(&self) {
        let Some(peer) = self.random_peer() else { return };
        let known = self.directory.all_records();
        let received: Result<Vec<MemberRecord>, _> =
            self.links.exchange(peer, MEMBERS_PATH, &known).await;
        received.into_iter().flatten().for_each(|member| self.apply_member(member));
    }

    fn apply_member(&self, member: MemberRecord) {
        self.directory.apply_record(member.clone());
        self.members.seed(member);
    }

    /// Random peer among the known members and those in the settings.
    fn random_peer(&self) -> Option<SocketAddr> {
        let members =
            self.directory.all_records().into_iter().filter_map(|m| m.address.parse().ok());
        let peers: Vec<SocketAddr> = members.chain(self.peers.iter().copied()).collect();
        fastrand::choice(peers)
    }

    /// Applies the member records of a batch and returns the next offset to read.
    fn apply_batch(&self, next: Offset, batch: ReadBatch) -> Offset {
        let mut next = next.max(batch.start);
        for record in batch.records {
            next = Offset(record.offset.0.saturating_add(1));
            if let Ok(member) = serde_json::from_value(record.body) {
                self.apply_member(member);
            }
        }
        next
    }
}

/// Batch for the reader of contracts; it skips entries whose body is not a record.
fn decode_batch(batch: ReadBatch) -> LogBatch {
    let entries = batch.records.into_iter().map(|record| LogEntry {
        offset: record.offset,
        record: serde_json::from_value(record.body).ok(),
    });
    LogBatch { start: batch.start, end: batch.next, records: entries.collect() }
}

/// Sleeps for 0.5 to 1.5 times `pause`, and returns the next pause, doubled up to the maximum.
async fn back_off(pause: Duration) -> Duration {
    tokio::time::sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
    (pause * 2).min(RETRY_DELAY_MAX)
}
