//! Reads and appends to the stream of contracts on the platform's log.

use std::time::Duration;

use hyper::body::Bytes;
use poplar_core::{ContractRecord, Fold, Offset, Verdict};
use serde::Deserialize;
use serde_json::Value;

use crate::error::CtlError;
use crate::http::Http;

/// Path of the stream of contracts.
const STREAM: &str = "/streams/contracts/records";
/// Records asked for in one read.
const PAGE: usize = 256;

/// Stream of contracts on the log at one address.
#[derive(Debug, Clone)]
pub(crate) struct ContractLog {
    http: Http,
    address: String,
}

/// Record with what the fold says of it.
#[derive(Debug)]
pub(crate) struct Judged {
    pub(crate) offset: Offset,
    pub(crate) record: Option<ContractRecord>,
    pub(crate) verdict: Verdict,
}

/// Reader of the stream: the fold of what was read so far.
#[derive(Debug)]
pub(crate) struct Reader {
    log: ContractLog,
    fold: Fold,
    /// First offset to read; runs ahead of the fold where records expired.
    next: u64,
}

#[derive(Debug, Deserialize)]
struct Page {
    start: u64,
    next: u64,
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
    _offset: u64,
}

impl ContractLog {
    pub(crate) fn new(http: Http, address: &str) -> Self {
        Self { http, address: address.to_owned() }
    }

    pub(crate) fn address(&self) -> &str {
        &self.address
    }

    /// Appends one encoded record.
    pub(crate) async fn append(&self, body: Bytes) -> Result<(), CtlError> {
        let _: Appended = self.http.post(&self.address, STREAM, body).await?;
        Ok(())
    }

    async fn page(&self, from: u64, wait: Duration) -> Result<Page, CtlError> {
        let wait_ms = wait.as_millis();
        let path = format!("{STREAM}?from={from}&wait_ms={wait_ms}&limit={PAGE}");
        self.http.get(&self.address, &path, wait).await
    }
}

impl Reader {
    pub(crate) fn new(log: ContractLog) -> Self {
        Self { log, fold: Fold::new(), next: 0 }
    }

    pub(crate) fn fold(&self) -> &Fold {
        &self.fold
    }

    /// Reads to the present end of the stream and returns the records that were read.
    ///
    /// # Errors
    ///
    /// `Expired` if the oldest record kept is not covered by any snapshot.
    pub(crate) async fn catch_up(&mut self) -> Result<Vec<Judged>, CtlError> {
        let mut judged = Vec::new();
        loop {
            let page = self.read(Duration::ZERO, &mut judged).await?;
            if self.next < page.next {
                continue;
            }
            if self.fold.next().0 < page.next {
                let address = self.log.address.clone();
                return Err(CtlError::Expired { address, start: page.start });
            }
            return Ok(judged);
        }
    }

    /// Waits up to `wait` for further records.
    pub(crate) async fn follow(&mut self, wait: Duration) -> Result<Vec<Judged>, CtlError> {
        let mut judged = Vec::new();
        self.read(wait, &mut judged).await?;
        Ok(judged)
    }

    async fn read(&mut self, wait: Duration, judged: &mut Vec<Judged>) -> Result<Page, CtlError> {
        let mut page = self.log.page(self.next, wait).await?;
        self.next = self.next.max(page.start);
        for RawRecord { offset, body } in std::mem::take(&mut page.records) {
            let record = serde_json::from_value::<ContractRecord>(body).ok();
            let verdict = match &record {
                Some(record) => self.fold.apply(offset, record),
                None => self.fold.skip(offset),
            };
            self.next = offset.0.saturating_add(1);
            judged.push(Judged { offset, record, verdict });
        }
        Ok(page)
    }
}
