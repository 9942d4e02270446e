//! A machine is stopped as planned while clients have several requests on a connection.

use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::{field, read_answer};
use crate::machine::{Limits, Machine, Work};
use crate::record::Record;
use crate::small_window;
use crate::store::Store;

/// Connections on which requests are pipelined.
const CLIENTS: usize = 8;
/// Requests on each connection, and the pause between two of them.
const REQUESTS: usize = 4;
const PAUSE: Duration = Duration::from_millis(40);
/// Time from the stop signal until the clients send; they may send until two readiness checks have
/// failed.
const AFTER_STOP: Duration = Duration::from_millis(300);
/// Bytes that a client reads at a time, and the pause between two reads: about 800 kB/s.
const READ_BYTES: usize = 16 << 10;
const READ_PAUSE: Duration = Duration::from_millis(20);
const WORK: Work = Work { time: Duration::from_millis(50), long_bytes: 100 << 10 };

/// Stream of which a client reads at a limited speed.
struct SlowReader(TcpStream);

impl Read for SlowReader {
    fn read(&mut self, buf: &mut [u8]) -> std::io::Result<usize> {
        thread::sleep(READ_PAUSE);
        let len = buf.len().min(READ_BYTES);
        self.0.read(&mut buf[..len])
    }
}

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let store = Store::start();
    store.append("keyed.op", "config", CONFIG);
    let limits = Limits { memory_mb: 260, max_fds: 4_100 };
    let start = |ip: &str, name: &str, service: &str| {
        Machine::start(&store, ip, name, service, limits, WORK, record.began())
    };
    let net = std::process::id() % 250 + 1;
    let shop = start(&format!("127.{net}.7.1"), "shop-1", "shop")?;
    let entry = start(&format!("127.{net}.7.2"), "entry-1", "other")?;
    entry.wait_until_serving("/read/probe")?;
    // Every client has a connection that it used before, as clients that keep connections do.
    let clients: Vec<TcpStream> = (0..CLIENTS)
        .map(|client| warm_connection(entry.outbound, client))
        .collect::<Result<_, _>>()?;
    record.line("the deployment serves");
    if trouble {
        entry.signal("-TERM");
        record.line("SIGTERM to entry-1");
        thread::sleep(AFTER_STOP);
    }
    let handles: Vec<_> = clients
        .into_iter()
        .enumerate()
        .map(|(client, socket)| thread::spawn(move || pipeline(client, socket)))
        .collect();
    let mut broken = 0;
    for handle in handles {
        let (lines, unanswered) = handle.join().map_err(|_| "a client panicked")?;
        lines.iter().for_each(|line| record.line(line));
        for id in unanswered {
            let runs = shop.ran(&id);
            record.line(&format!("{id}: runs {runs}, no complete answer"));
            broken += usize::from(runs > 0);
        }
    }
    shop.record_runs(record);
    record.line(&format!("requests that ran and got no complete answer: {broken}"));
    Ok(if broken > 0 { Verdict::Broken } else { Verdict::Held })
}

fn request(path: &str, id: &str) -> String {
    format!(
        "GET {path} HTTP/1.1\r\nhost: shop.example\r\nx-request-id: {id}\r\n\
         x-deadline-ms: 5000\r\n\r\n"
    )
}

fn warm_connection(to: SocketAddr, client: usize) -> Result<TcpStream, String> {
    let mut socket = small_window::connect(to).map_err(|error| error.to_string())?;
    let sent = socket.write_all(request("/read/short", &format!("warm-{client}")).as_bytes());
    sent.map_err(|error| error.to_string())?;
    let copy = socket.try_clone().map_err(|error| error.to_string())?;
    match read_answer(&mut BufReader::new(copy)) {
        Ok(Some(answer)) if answer.status == 200 => Ok(socket),
        other => Err(format!("the first request of a connection gets {other:?}")),
    }
}

/// Sends all requests of a connection, each before any answer is read, and then reads the answers
/// slowly. Returns lines for the record, and the requests without a complete answer.
fn pipeline(client: usize, mut socket: TcpStream) -> (Vec<String>, Vec<String>) {
    let ids: Vec<String> = (0..REQUESTS).map(|number| format!("c{client}-r{number}")).collect();
    let mut lines = Vec::new();
    for id in &ids {
        if let Err(error) = socket.write_all(request("/read/long", id).as_bytes()) {
            lines.push(format!("{id}: not sent: {error}"));
            break;
        }
        thread::sleep(PAUSE);
    }
    let mut reader = BufReader::with_capacity(READ_BYTES, SlowReader(socket));
    for (idx, id) in ids.iter().enumerate() {
        match read_answer(&mut reader) {
            Ok(Some(answer)) => {
                let closes = field(&answer.fields, "connection").unwrap_or("keep-alive");
                let (status, len) = (answer.status, answer.body.len());
                lines.push(format!("{id}: {status}, {len} bytes, connection {closes}"));
            }
            Ok(None) => {
                lines.push(format!("{id}: the connection ended before the answer"));
                return (lines, ids[idx..].to_vec());
            }
            Err(error) => {
                lines.push(format!("{id}: the answer is not complete: {error}"));
                return (lines, ids[idx..].to_vec());
            }
        }
    }
    (lines, Vec::new())
}

pub const CONFIG: &str = r#"{"version":"00000004","routes":{"columns":["name","host","path_prefix","kind","timeout_s","target_latency_s","priority","service","max_attempts","weighted_split"],"rows":[["read","shop.example","/read/","idempotent",5,1.5,2,"shop",2,null]]},"services":{"columns":["name","health_path","max_connections"],"rows":[["shop","/health",1000],["other","/health",1000]]},"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}"#;
