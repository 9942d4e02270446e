//! Stand-in for the platform's store: an append-only log with keyed topics and long polls, as
//! PROTOCOL.md describes it, with the drill of LETTER-6.md.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Message, Reader};

#[derive(Clone)]
pub struct Store {
    shared: Arc<(Mutex<State>, Condvar)>,
}

/// Content of the store, as a copy of it holds it.
#[derive(Clone, Default)]
pub struct Content {
    topics: HashMap<String, Vec<(String, Vec<u8>)>>,
    /// Last epoch and next sequence number by topic and producer.
    producers: HashMap<(String, String), (u64, u64)>,
}

#[derive(Default)]
struct State {
    content: Content,
    /// Number of the store's return from a copy.
    era: u64,
    availability: Availability,
    /// Address whose calls are refused with 503.
    refused: Option<SocketAddr>,
    connections: Vec<TcpStream>,
    /// Reads that got 410.
    gone: usize,
    /// Addresses and topics of the reads since they were last taken.
    reads: HashSet<(SocketAddr, String)>,
}

/// How the store treats calls.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Availability {
    #[default]
    Up,
    /// Connections are closed at once.
    Reset,
}

impl Store {
    pub fn start() -> Self {
        Self { shared: Arc::default() }
    }

    /// Opens a further address of the store, so that it can tell by it which machine calls.
    pub fn open_address(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let serving = self.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = serving.clone();
                if store.lock().availability == Availability::Reset {
                    let _ = socket.shutdown(Shutdown::Both);
                    continue;
                }
                let _ = socket.set_nodelay(true);
                if let Ok(copy) = socket.try_clone() {
                    store.lock().connections.push(copy);
                }
                thread::spawn(move || store.serve(socket));
            }
        });
        address
    }

    /// Copy of the content, from which a drill may bring the store back.
    pub fn copy(&self) -> Content {
        self.lock().content.clone()
    }

    /// Changes how the store treats calls; open connections are closed unless it is up.
    pub fn set_availability(&self, availability: Availability) {
        let mut state = self.lock();
        state.availability = availability;
        if availability == Availability::Reset {
            for socket in state.connections.drain(..) {
                let _ = socket.shutdown(Shutdown::Both);
            }
        }
        drop(state);
        self.shared.1.notify_all();
    }

    /// Turns away the machine that calls the store at `address`, or none.
    pub fn refuse(&self, address: Option<SocketAddr>) {
        self.lock().refused = address;
        self.shared.1.notify_all();
    }

    /// Brings the store back from `copy`; `rewritten` are the records of the operator that it
    /// writes again and anew.
    pub fn come_back(&self, copy: Content, rewritten: &[(&str, &str, String)]) {
        let mut state = self.lock();
        state.content = copy;
        state.era += 1;
        state.availability = Availability::Up;
        for (topic, key, value) in rewritten {
            let records = state.content.topics.entry((*topic).to_owned()).or_default();
            records.push(((*key).to_owned(), value.clone().into_bytes()));
        }
        drop(state);
        self.shared.1.notify_all();
    }

    /// Writes a record as the operator does; returns the offset after it.
    pub fn append(&self, topic: &str, key: &str, value: &str) -> usize {
        let mut state = self.lock();
        let records = state.content.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.as_bytes().to_vec()));
        let end = records.len();
        drop(state);
        self.shared.1.notify_all();
        end
    }

    /// Offset after the last record of a topic.
    pub fn end(&self, topic: &str) -> usize {
        self.lock().content.topics.get(topic).map_or(0, Vec::len)
    }

    /// Addresses and topics of the calls since the last use of this method.
    pub fn take_reads(&self) -> HashSet<(SocketAddr, String)> {
        std::mem::take(&mut self.lock().reads)
    }

    /// Number of reads that were answered with 410.
    pub fn gone_reads(&self) -> usize {
        self.lock().gone
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    fn serve(self, socket: TcpStream) {
        let Ok(mut writer) = socket.try_clone() else { return };
        let called = socket.local_addr().ok();
        let mut reader = Reader::new(socket);
        while let Some(request) = reader.read() {
            let refused = {
                let mut state = self.lock();
                let topic = request.query("topic").unwrap_or_default().to_owned();
                state.reads.extend(called.map(|called| (called, topic)));
                state.refused
            };
            let reply = if refused.is_some() && refused == called {
                Some(http::response("503 Service Unavailable", Vec::new()))
            } else {
                self.handle(&request)
            };
            let Some(mut reply) = reply else { break };
            reply.headers.push(("Store-Era".to_owned(), self.lock().era.to_string()));
            if http::write(&mut writer, &reply).is_err() {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    /// Answers a call; none if the connection is to be reset.
    fn handle(&self, request: &Message) -> Option<Message> {
        match self.lock().availability {
            Availability::Up => {}
            Availability::Reset => return None,
        }
        match request.path() {
            "/log-append" => Some(self.append_call(request)),
            "/log-newest" => Some(self.newest(request)),
            "/log-read" => self.read(request),
            _ => Some(http::response("404 Not Found", Vec::new())),
        }
    }

    fn append_call(&self, request: &Message) -> Message {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        if topic == "keyed.op" || topic == "keyed.servers" {
            return http::response("403 Forbidden", Vec::new());
        }
        let number = |name| request.query(name).and_then(|text| text.parse::<u64>().ok());
        let mut state = self.lock();
        if let (Some(producer), Some(epoch), Some(sequence)) =
            (request.query("producer"), number("epoch"), number("sequence"))
        {
            let id = (topic.clone(), producer.to_owned());
            if let Some((known, next)) = state.content.producers.get(&id).copied() {
                if epoch < known {
                    return json("409 Conflict", r#"{"why":"fenced"}"#.to_owned());
                }
                if epoch == known && sequence != next {
                    let end = state.content.topics.get(&topic).map_or(0, Vec::len);
                    if sequence + 1 == next {
                        return json("200 OK", format!(r#"{{"offset":{},"end":{end}}}"#, end - 1));
                    }
                    return json("409 Conflict", format!(r#"{{"why":"seq","sequence":{next}}}"#));
                }
            }
            state.content.producers.insert(id, (epoch, sequence + 1));
        }
        let mut body = &request.body[..];
        let records = state.content.topics.entry(topic).or_default();
        let offset = records.len();
        while let Some((len, rest)) = body.split_first_chunk::<4>() {
            let (record, rest) = rest.split_at(u32::from_be_bytes(*len) as usize);
            let (key, value) = record[1..].split_at(record[0] as usize);
            records.push((String::from_utf8_lossy(key).into_owned(), value.to_vec()));
            body = rest;
        }
        let end = records.len();
        drop(state);
        self.shared.1.notify_all();
        // The store takes some milliseconds for an answer.
        thread::sleep(Duration::from_millis(4));
        json("200 OK", format!(r#"{{"offset":{offset},"end":{end}}}"#))
    }

    fn newest(&self, request: &Message) -> Message {
        let state = self.lock();
        let records = state.content.topics.get(request.query("topic").unwrap_or_default());
        let records = records.map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        let items = newest.iter().filter(|(_, (_, value))| !value.is_empty());
        let items: Vec<_> = items
            .map(|(key, (offset, value))| {
                format!(r#"{{"key":"{key}","value":"{}","offset":{offset}}}"#, base64(value))
            })
            .collect();
        let end = records.len();
        json("200 OK", format!(r#"{{"items":[{}],"has_more":false,"end":{end}}}"#, items.join(",")))
    }

    fn read(&self, request: &Message) -> Option<Message> {
        let topic = request.query("topic").unwrap_or_default().to_owned();
        let number = |name| request.query(name).and_then(|text| text.parse::<usize>().ok());
        let (from, wait) = (number("from").unwrap_or(0), number("wait_ms").unwrap_or(0));
        let until = Instant::now() + Duration::from_millis(wait as u64);
        let mut state = self.lock();
        let era = state.era;
        loop {
            if state.availability != Availability::Up || state.era != era {
                // The store went away while the read waited.
                return None;
            }
            let empty = Vec::new();
            let records = state.content.topics.get(&topic).unwrap_or(&empty);
            if from > records.len() {
                state.gone += 1;
                return Some(json("410 Gone", r#"{"first":0}"#.to_owned()));
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < records.len() || left.is_zero() {
                let mut body = (records.len() as u64).to_be_bytes().to_vec();
                body.extend(0_u64.to_be_bytes());
                for (key, value) in &records[from..] {
                    body.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key.as_bytes());
                    body.extend(value);
                }
                return Some(http::response("200 OK", body));
            }
            let waited = self.shared.1.wait_timeout(state, left);
            state = waited.unwrap_or_else(std::sync::PoisonError::into_inner).0;
        }
    }
}

fn json(status: &str, body: String) -> Message {
    let mut message = http::response(status, body.into_bytes());
    message.headers.push(("Content-Type".to_owned(), "application/json".to_owned()));
    message
}

fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for at in 0..4 {
            let digit = ALPHABET[(bits >> (18 - 6 * at) & 63) as usize] as char;
            out.push(if at <= chunk.len() { digit } else { '=' });
        }
    }
    out
}
