//! Stand-in for the platform's append-only log: streams with offsets, retention and faults.
//!
//! One task serves each connection; the streams are behind one mutex, which is never held across an
//! `await`.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::http::{
    CloseConnection, HandlerResult, IncomingRequest, json_response, serve, text_response,
};

/// Largest number of records in the answer to one read.
const MAX_PAGE_RECORDS: u64 = 1_000;
/// Longest time for which a read waits for a record.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Faults of the log, as `POST /control` sets them; an absent key leaves its setting unchanged.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LogFaults {
    /// Whether every request but `POST /control` is refused with status 503.
    pub outage: Option<bool>,
    /// Delay before each request but `POST /control` is handled, in milliseconds.
    pub delay_ms: Option<u64>,
    /// Which appends take effect but are not acknowledged: the connection closes without an answer.
    pub lose_acks: Option<LoseAcks>,
    /// Number of newest records kept in each stream.
    pub retain: Option<usize>,
}

/// Which acknowledgements of appends are lost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(untagged)]
pub enum LoseAcks {
    /// All of them or none.
    All(bool),
    /// One in this many; none if zero.
    OneIn(u64),
}

/// Log stand-in that serves requests until it is stopped.
#[derive(Debug)]
pub struct LogServer {
    /// Address that the log listens on.
    pub address: SocketAddr,
    stop: watch::Sender<bool>,
    task: tokio::task::JoinHandle<()>,
}

impl LogServer {
    /// Starts a log at `listen` that keeps the newest `retain` records of each stream.
    pub async fn start(listen: &str, retain: usize) -> Result<Self, std::io::Error> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let (stop, stopped) = watch::channel(false);
        let log = Arc::new(Log::new(retain));
        let handler = move |request| handle(log.clone(), request);
        let task = tokio::spawn(serve(listener, handler, stopped));
        Ok(Self { address, stop, task })
    }

    /// Stops listening and waits until the requests in flight have finished.
    pub async fn stop(self) {
        let _ = self.stop.send(true);
        let _ = self.task.await;
    }
}

#[derive(Debug)]
struct Log {
    state: Mutex<State>,
    /// Number of appends so far; wakes the reads that wait for a record.
    appended: watch::Sender<u64>,
}

#[derive(Debug)]
struct State {
    streams: BTreeMap<String, Stream>,
    outage: bool,
    delay: Duration,
    lose_acks: LoseAcks,
    retain: usize,
    appends: u64,
}

/// Records of one stream that have not expired; the first of them is at offset `start`.
#[derive(Debug, Default)]
struct Stream {
    start: u64,
    records: VecDeque<Value>,
}

#[derive(Serialize)]
struct Record<'a> {
    offset: u64,
    body: &'a Value,
}

#[derive(Serialize)]
struct Page<'a> {
    start: u64,
    next: u64,
    records: Vec<Record<'a>>,
}

#[derive(Serialize)]
struct Appended {
    offset: u64,
}

impl Stream {
    fn next(&self) -> u64 {
        self.start + self.records.len() as u64
    }

    fn append(&mut self, body: Value, retain: usize) -> u64 {
        let offset = self.next();
        self.records.push_back(body);
        self.expire(retain);
        offset
    }

    fn expire(&mut self, retain: usize) {
        while self.records.len() > retain {
            self.records.pop_front();
            self.start += 1;
        }
    }

    fn page(&self, from: u64, limit: u64) -> Page<'_> {
        let first = from.max(self.start);
        let skipped = (first - self.start) as usize;
        let records = self.records.iter().skip(skipped).take(limit as usize);
        let records = records.zip(first..).map(|(body, offset)| Record { offset, body }).collect();
        Page { start: self.start, next: self.next(), records }
    }
}

impl Log {
    fn new(retain: usize) -> Self {
        let state = State {
            streams: BTreeMap::new(),
            outage: false,
            delay: Duration::ZERO,
            lose_acks: LoseAcks::All(false),
            retain,
            appends: 0,
        };
        Self { state: Mutex::new(state), appended: watch::Sender::new(0) }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn append(&self, stream: &str, body: &[u8]) -> HandlerResult {
        let Ok(body) = serde_json::from_slice(body) else {
            return text_response(StatusCode::BAD_REQUEST, "the record is not a JSON document");
        };
        let mut state = self.lock();
        let retain = state.retain;
        let offset = state.streams.entry(stream.to_owned()).or_default().append(body, retain);
        state.appends += 1;
        let lost = match state.lose_acks {
            LoseAcks::All(all) => all,
            LoseAcks::OneIn(count) => count > 0 && state.appends.is_multiple_of(count),
        };
        self.appended.send_replace(state.appends);
        if lost {
            Err(CloseConnection)
        } else {
            json_response(StatusCode::OK, &Appended { offset })
        }
    }

    async fn read(&self, stream: &str, request: &IncomingRequest) -> HandlerResult {
        let from = request.query_number("from").unwrap_or(0);
        let limit = request.query_number("limit").unwrap_or(MAX_PAGE_RECORDS).min(MAX_PAGE_RECORDS);
        let wait =
            Duration::from_millis(request.query_number("wait_ms").unwrap_or(0)).min(MAX_WAIT);
        let mut appended = self.appended.subscribe();
        let changed = async {
            while self.next(stream) <= from {
                if appended.changed().await.is_err() {
                    return;
                }
            }
        };
        let _ = tokio::time::timeout(wait, changed).await;
        let state = self.lock();
        if state.outage {
            return text_response(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        let empty = Stream::default();
        json_response(
            StatusCode::OK,
            &state.streams.get(stream).unwrap_or(&empty).page(from, limit),
        )
    }

    fn next(&self, stream: &str) -> u64 {
        self.lock().streams.get(stream).map_or(0, Stream::next)
    }

    fn control(&self, body: &[u8]) -> HandlerResult {
        let Ok(faults) = serde_json::from_slice::<LogFaults>(body) else {
            return text_response(
                StatusCode::BAD_REQUEST,
                "expected outage, delay_ms, lose_acks, retain",
            );
        };
        let mut guard = self.lock();
        let state = &mut *guard;
        state.outage = faults.outage.unwrap_or(state.outage);
        state.delay = faults.delay_ms.map_or(state.delay, Duration::from_millis);
        state.lose_acks = faults.lose_acks.unwrap_or(state.lose_acks);
        state.retain = faults.retain.unwrap_or(state.retain);
        let retain = state.retain;
        state.streams.values_mut().for_each(|stream| stream.expire(retain));
        text_response(StatusCode::OK, "")
    }
}

async fn handle(log: Arc<Log>, request: IncomingRequest) -> HandlerResult {
    if request.path == "/control" && request.method == Method::POST {
        return log.control(&request.body);
    }
    let (outage, delay) = {
        let state = log.lock();
        (state.outage, state.delay)
    };
    tokio::time::sleep(delay).await;
    if outage {
        return text_response(StatusCode::SERVICE_UNAVAILABLE, "outage");
    }
    let stream =
        request.path.strip_prefix("/streams/").and_then(|path| path.strip_suffix("/records"));
    match (stream, &request.method) {
        (Some(stream), &Method::POST) => log.append(stream, &request.body),
        (Some(stream), &Method::GET) => log.read(stream, &request).await,
        _ => text_response(StatusCode::NOT_FOUND, "no such path"),
    }
}
