//! Reads and appends to the stream of contracts on the platform's log.

use std::time::{Duration, Instant};

use hyper::body::Bytes;
use poplar_core::{
    AppliedRecord, ContractRecord, ContractState, InstanceId, LogBatch, LogEntry, LogReader,
    Moment, Offset, ReadAction,
};
use serde::Deserialize;
use serde_json::Value;

use crate::error::CtlError;
use crate::http::HttpClient;

/// Path of the stream of contracts on the log.
const STREAM: &str = "/streams/contracts/records";
/// Largest number of records requested in one read.
const PAGE_RECORDS: usize = 256;

/// Stream of contracts on the log at one address.
#[derive(Debug, Clone)]
pub(crate) struct ContractLog {
    http: HttpClient,
    address: String,
}

/// Record of the log with the result of applying it.
#[derive(Debug)]
pub(crate) struct AppliedEntry {
    pub(crate) entry: LogEntry,
    pub(crate) applied: AppliedRecord,
}

/// Reader of the stream of contracts that fails at the first error of the log.
#[derive(Debug)]
pub(crate) struct Reader {
    log: ContractLog,
    inner: LogReader,
    origin: Instant,
}

#[derive(Debug, Deserialize)]
struct Page {
    start: Offset,
    next: Offset,
    records: Vec<RawRecord>,
}

#[derive(Debug, Deserialize)]
struct RawRecord {
    offset: Offset,
    body: Value,
}

#[derive(Debug, Deserialize)]
struct Appended {
    #[serde(rename = "offset")]
    _offset: Offset,
}

impl ContractLog {
    pub(crate) fn new(http: HttpClient, address: &str) -> Self {
        Self { http, address: address.to_owned() }
    }

    /// Reads records from `from` on, waiting up to `wait` for the first one.
    pub(crate) async fn read(&self, from: Offset, wait: Duration) -> Result<LogBatch, CtlError> {
        let wait_ms = wait.as_millis();
        let path = format!("{STREAM}?from={from}&wait_ms={wait_ms}&limit={PAGE_RECORDS}");
        let page: Page = self.http.get(&self.address, &path, wait).await?;
        let entries = page.records.into_iter().map(|raw| LogEntry {
            offset: raw.offset,
            record: serde_json::from_value(raw.body).ok(),
        });
        Ok(LogBatch { start: page.start, end: page.next, records: entries.collect() })
    }

    /// Appends one record. After an error the record may or may not have been appended.
    pub(crate) async fn append(&self, record: &ContractRecord) -> Result<(), CtlError> {
        let body = serde_json::to_vec(record).map_err(|error| CtlError::UnexpectedAnswer {
            address: self.address.clone(),
            reason: error.to_string(),
        })?;
        let _: Appended = self.http.post(&self.address, STREAM, Bytes::from(body)).await?;
        Ok(())
    }
}

impl Reader {
    pub(crate) fn new(log: ContractLog) -> Self {
        let inner = LogReader::new(Moment::default(), InstanceId::from("operator"), Duration::MAX);
        Self { log, inner, origin: Instant::now() }
    }

    pub(crate) fn state(&self) -> &ContractState {
        self.inner.state()
    }

    /// Reads up to the current end of the stream and returns the records that were read.
    ///
    /// # Errors
    ///
    /// `Expired` if records expired and no snapshot in the log covers them.
    pub(crate) async fn catch_up(&mut self) -> Result<Vec<AppliedEntry>, CtlError> {
        let mut entries = Vec::new();
        while !self.inner.is_current() {
            if self.inner.has_gap() && self.inner.read_end().is_some() {
                return Err(CtlError::Expired { address: self.log.address.clone() });
            }
            entries.extend(self.step().await?);
        }
        Ok(entries)
    }

    /// Performs the reader's next action; at the end of the stream a read waits for the next record
    /// for a limited time.
    pub(crate) async fn step(&mut self) -> Result<Vec<AppliedEntry>, CtlError> {
        let now = self.now();
        match self.inner.poll(now, &[]) {
            ReadAction::Read { from, wait } => {
                let batch = self.log.read(from, wait).await?;
                let applied = self.inner.on_read(self.now(), 0, &batch);
                Ok(pair_with_entries(batch, applied))
            }
            ReadAction::Wait(until) => {
                tokio::time::sleep(until.since(now)).await;
                Ok(Vec::new())
            }
            // A command has no peers to pull from, and it appends no state for other readers.
            ReadAction::Pull | ReadAction::Append(_) => Ok(Vec::new()),
        }
    }

    fn now(&self) -> Moment {
        Moment::from_micros(self.origin.elapsed().as_micros() as u64)
    }
}

/// Pairs each applied record with its log entry.
fn pair_with_entries(batch: LogBatch, applied: Vec<AppliedRecord>) -> Vec<AppliedEntry> {
    let mut entries = batch.records.into_iter();
    let pairs = applied.into_iter().filter_map(|applied| {
        let entry = entries.find(|entry| entry.offset == applied.offset)?;
        Some(AppliedEntry { entry, applied })
    });
    pairs.collect()
}
