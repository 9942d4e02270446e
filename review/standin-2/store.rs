//! Stand-in for the platform's store: keyed topics with one partition and long reads.

use std::collections::{BTreeMap, HashMap};
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{read_request, write_answer};

/// Store with the operator's configuration.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<HashMap<String, Topic>>, Condvar)>,
}

#[derive(Default)]
struct Topic {
    records: Vec<(Vec<u8>, Vec<u8>)>,
    /// Epoch and next sequence number of each producer, and the end after its last append.
    producers: HashMap<String, (u64, u64, usize)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("the store binds a port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let store = Self { address, shared: Arc::default() };
        let serving = store.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = serving.clone();
                thread::spawn(move || store.serve(socket));
            }
        });
        store
    }

    /// Appends a record to a keyed topic, as the operator does.
    pub fn append(&self, topic: &str, key: &str, value: &str) {
        let mut topics = self.shared.0.lock().expect("no holder panics");
        let topic = topics.entry(topic.to_owned()).or_default();
        topic.records.push((key.as_bytes().to_vec(), value.as_bytes().to_vec()));
        self.shared.1.notify_all();
    }

    fn serve(&self, socket: TcpStream) {
        let Ok(copy) = socket.try_clone() else { return };
        let mut reader = BufReader::new(copy);
        while let Ok(Some(req)) = read_request(&mut reader) {
            let (path, query) = req.target.split_once('?').unwrap_or((&req.target, ""));
            let query: BTreeMap<&str, &str> =
                query.split('&').filter_map(|pair| pair.split_once('=')).collect();
            let (status, body) = match path {
                "/log-append" => self.handle_append(&query, &req.body),
                "/log-newest" => self.handle_newest(&query),
                "/log-read" => self.handle_read(&query),
                _ => (404, Vec::new()),
            };
            if write_answer(&socket, status, &[("store-era", "1".to_owned())], &body).is_err() {
                return;
            }
        }
    }

    fn handle_append(&self, query: &BTreeMap<&str, &str>, body: &[u8]) -> (u16, Vec<u8>) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let (Some(epoch), Some(sequence)) = (number("epoch"), number("sequence")) else {
            return (400, Vec::new());
        };
        let len = usize::from(body[4]);
        let record = (body[5..5 + len].to_vec(), body[5 + len..].to_vec());
        let mut topics = self.shared.0.lock().expect("no holder panics");
        let topic = topics.entry(query["topic"].to_owned()).or_default();
        let end = topic.records.len();
        let known = topic.producers.get(query["producer"]).copied();
        match known {
            Some((known, ..)) if epoch < known => {
                return (409, br#"{"why":"fenced"}"#.to_vec());
            }
            Some((known, next, end)) if epoch == known && sequence + 1 == next => {
                return (200, appended(end));
            }
            Some((known, next, _)) if epoch == known && sequence != next => {
                return (409, format!(r#"{{"why":"seq","sequence":{next}}}"#).into_bytes());
            }
            _ => {}
        }
        topic.records.push(record);
        topic.producers.insert(query["producer"].to_owned(), (epoch, sequence + 1, end + 1));
        self.shared.1.notify_all();
        (200, appended(end + 1))
    }

    fn handle_newest(&self, query: &BTreeMap<&str, &str>) -> (u16, Vec<u8>) {
        let mut topics = self.shared.0.lock().expect("no holder panics");
        let topic = topics.entry(query["topic"].to_owned()).or_default();
        let newest: BTreeMap<&Vec<u8>, &Vec<u8>> =
            topic.records.iter().map(|(key, value)| (key, value)).collect();
        let items: Vec<String> = newest
            .iter()
            .map(|(key, value)| {
                let (key, value) = (String::from_utf8_lossy(key), base64(value));
                format!(r#"{{"key":"{key}","value":"{value}","offset":0}}"#)
            })
            .collect();
        let (items, end) = (items.join(","), topic.records.len());
        (200, format!(r#"{{"items":[{items}],"has_more":false,"end":{end}}}"#).into_bytes())
    }

    fn handle_read(&self, query: &BTreeMap<&str, &str>) -> (u16, Vec<u8>) {
        let number = |name: &str| query.get(name).and_then(|text| text.parse::<u64>().ok());
        let from = number("from").unwrap_or_default() as usize;
        let until = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or_default());
        let mut topics = self.shared.0.lock().expect("no holder panics");
        loop {
            let topic = topics.entry(query["topic"].to_owned()).or_default();
            if from > topic.records.len() {
                return (410, br#"{"first":0}"#.to_vec());
            }
            let left = until.saturating_duration_since(Instant::now());
            if from < topic.records.len() || left.is_zero() {
                let mut body = (topic.records.len() as u64).to_be_bytes().to_vec();
                body.extend([0; 8]);
                for (key, value) in &topic.records[from..] {
                    body.extend((1 + key.len() as u32 + value.len() as u32).to_be_bytes());
                    body.push(key.len() as u8);
                    body.extend(key);
                    body.extend(value);
                }
                return (200, body);
            }
            topics = self.shared.1.wait_timeout(topics, left).expect("no holder panics").0;
        }
    }
}

fn appended(end: usize) -> Vec<u8> {
    format!(r#"{{"offset":{},"end":{end}}}"#, end - 1).into_bytes()
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let bits = group.iter().fold(0_u32, |bits, byte| bits << 8 | u32::from(*byte))
            << (8 * (3 - group.len()));
        for idx in 0..4 {
            let digit = DIGITS[(bits >> (18 - 6 * idx) & 63) as usize];
            text.push(if idx <= group.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
