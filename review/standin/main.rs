//! Runs one case of the review: `review-case NAME FOLDER`.
//!
//! `TROUBLE=0` leaves out the disruption. Exits with 1 if the rule was broken, with 0 if it held
//! and with 2 if the case could not run. `record.txt` in the folder holds what was sent, answered
//! and run.

mod http;
mod machine;
mod store;
mod target;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::Read as _;
use std::net::{SocketAddr, TcpStream};
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use machine::Machine;
use store::{Availability, Store};

/// Bounds of the settings.
const DRAIN: Duration = Duration::from_secs(2);
const CONFIG_APPLY: Duration = Duration::from_secs(2);
const STABILITY: Duration = Duration::from_secs(3);
const STRETCH: Duration = Duration::from_secs(5);

/// State that all cases share.
struct Case {
    store: Store,
    /// Folder for settings and logs.
    scratch: PathBuf,
    began: Instant,
    record: String,
    trouble: bool,
}

impl Case {
    fn note(&mut self, text: &str) {
        let at = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.record, "{at:8.3} {text}");
    }

    /// Sends a request and records it with its answer and the instances that ran it.
    fn send(
        &mut self,
        machines: &[Machine],
        entry: usize,
        method: &str,
        path: &str,
        id: &str,
    ) -> u16 {
        let answer = machines[entry].send(method, path, id, 3_000);
        let status = answer.as_ref().map_or(0, http::Message::status);
        let ran = ran_at(machines, id);
        self.note(&format!(
            "{}: {method} {path} {id} -> {status}, run by [{}]",
            machines[entry].name,
            ran.join(" ")
        ));
        status
    }

    /// Records a request that a client sent on its own, and the instances that ran it.
    fn note_sent(&mut self, sent: &Sent, ran: &[String]) {
        let Sent { id, at, status } = sent;
        let answer = match status {
            0 => "connection closed without an answer".to_owned(),
            status => status.to_string(),
        };
        self.note(&format!("{id} sent at {at:.3} -> {answer}, run by [{}]", ran.join(" ")));
    }

    /// Starts the machines with these zones, names and services, and waits until they serve
    /// `path`, a route of the service of the first one.
    fn start_machines(&mut self, rows: &[(usize, &str, &str)], path: &str) -> Vec<Machine> {
        let start = |(zone, name, service): &(usize, &str, &str)| {
            Machine::start(&self.scratch, self.store.open_address(), *zone, name, service)
        };
        let machines: Vec<Machine> = rows.iter().map(start).collect();
        machines.iter().for_each(Machine::wait_ready);
        let until = Instant::now() + Duration::from_secs(20);
        for machine in &machines {
            let mut number = 0;
            loop {
                let id = format!("warm-{}-{number}", machine.name);
                let answer = machine.send("GET", path, &id, 3_000);
                if answer.is_some_and(|answer| answer.status() == 200) {
                    break;
                }
                assert!(Instant::now() < until, "{} does not serve {path}", machine.name);
                number += 1;
                thread::sleep(Duration::from_millis(50));
            }
        }
        self.note("all machines serve");
        machines
    }
}

/// Instances that began to run a request.
fn ran_at(machines: &[Machine], id: &str) -> Vec<String> {
    let runs = machines.iter().flat_map(|machine| machine.target.runs());
    runs.filter(|run| run.id == id).map(|run| run.instance).collect()
}

/// Route of the operator's configuration: name, path prefix, kind and service.
type Route<'a> = (&'a str, &'a str, &'a str, &'a str);

/// Configuration record with these routes.
fn configuration(version: u64, routes: &[Route<'_>]) -> String {
    let rows: Vec<_> = routes
        .iter()
        .map(|(name, prefix, kind, service)| {
            format!(r#"["{name}","shop.example","{prefix}","{kind}",5,1.2,0,"{service}",2,null]"#)
        })
        .collect();
    let services =
        ["shop", "stock", "other"].map(|name| format!(r#"["{name}","/health",1000,"h1",false]"#));
    format!(
        r#"{{"version":"{version:08x}","routes":{{"columns":["name","host","path_prefix","kind","timeout_s","target_latency_s","priority","service","max_attempts","weighted_split"],"rows":[{}]}},"services":{{"columns":["name","health_path","max_connections","protocol","tls"],"rows":[{}]}},"limits":{{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout_s":3,"idle_timeout_s":15}}}}"#,
        rows.join(","),
        services.join(",")
    )
}

const OPERATOR: &str = "keyed.op";
const CONFIG: &str = "config";

/// A configuration that the store acknowledges after a drill never comes into force.
fn configuration_after_drill(case: &mut Case) -> bool {
    let route = |service| ("r-a", "/a/", "idempotent", service);
    let more = |name, prefix| (name, prefix, "idempotent", "shop");
    case.store.append(OPERATOR, CONFIG, &configuration(1, &[route("shop")]));
    let rows = [
        (0, "shop-1", "shop"),
        (0, "stock-1", "stock"),
        (1, "stock-2", "stock"),
        (1, "other-1", "other"),
    ];
    let machines = case.start_machines(&rows, "/a/warm");
    // Until the nodes agree on which of them read the store.
    thread::sleep(Duration::from_secs(8));
    let copy = case.store.copy();
    case.note("the copy of the store is made");
    let second = configuration(2, &[route("shop"), more("r-b", "/b/")]);
    let third = configuration(3, &[route("shop"), more("r-b", "/b/"), more("r-c", "/c/")]);
    let fourth = configuration(4, &[route("stock"), more("r-b", "/b/"), more("r-c", "/c/")]);
    thread::sleep(Duration::from_millis(500));
    let end = case.store.append(OPERATOR, CONFIG, &second);
    case.note(&format!("operator: version 2 acknowledged, end {end}"));
    thread::sleep(Duration::from_millis(1_000));
    let end = case.store.append(OPERATOR, CONFIG, &third);
    case.note(&format!("operator: version 3 acknowledged, end {end}"));
    thread::sleep(Duration::from_millis(1_500));
    for entry in 0..machines.len() {
        let id = format!("c-{entry}");
        let status = case.send(&machines, entry, "GET", "/c/x", &id);
        assert_eq!(status, 200, "version 3 is not in force before the drill");
    }
    if case.trouble {
        case.store.set_availability(Availability::Reset);
        case.note("the store is away");
        thread::sleep(Duration::from_millis(1_000));
        case.store.come_back(copy, &[(OPERATOR, CONFIG, third), (OPERATOR, CONFIG, fourth)]);
        let end = case.store.end(OPERATOR);
        case.note(&format!(
            "the store is back from the copy; operator: version 3 written again, version 4 \
             acknowledged, end {end}"
        ));
    } else {
        thread::sleep(Duration::from_millis(1_000));
        let end = case.store.append(OPERATOR, CONFIG, &fourth);
        case.note(&format!("operator: version 4 acknowledged, end {end}"));
    }
    let acknowledged = Instant::now();
    thread::sleep(STABILITY + CONFIG_APPLY + STRETCH);
    let (mut old, mut number) = (0, 0);
    while acknowledged.elapsed() < Duration::from_secs(25) {
        for entry in 0..machines.len() {
            let id = format!("late-{number}-{entry}");
            case.send(&machines, entry, "GET", "/a/x", &id);
            old += usize::from(ran_at(&machines, &id).iter().any(|ran| ran == "i-shop-1"));
        }
        number += 1;
        thread::sleep(Duration::from_millis(500));
    }
    let gone = case.store.gone_reads();
    case.note(&format!(
        "{old} of {} requests sent 10 s and more after the acknowledgement of version 4 were run \
         by the service of version 3; reads answered with 410: {gone}",
        number * machines.len()
    ));
    old > 0
}

/// A target whose leave was acknowledged while the store was down is used again after a kill of the
/// processes of its zone.
fn leave_in_outage(case: &mut Case) -> bool {
    let routes = [("r-a", "/a/", "idempotent", "shop"), ("r-p", "/p/", "non_idempotent", "shop")];
    case.store.append(OPERATOR, CONFIG, &configuration(1, &routes));
    let rows = [
        (0, "shop-1", "shop"),
        (0, "other-1", "other"),
        (1, "shop-2", "shop"),
        (1, "other-2", "other"),
    ];
    let mut machines = case.start_machines(&rows, "/a/warm");
    // Until the nodes agree on which of them read the store.
    thread::sleep(Duration::from_secs(8));
    if case.trouble {
        case.store.set_availability(Availability::Reset);
        case.note("the store is down");
    }
    let down = Instant::now();
    thread::sleep(Duration::from_millis(300));
    let acknowledged = machines[0].target.leave();
    case.note(&format!("shop-1: DELETE, acknowledged: {acknowledged}"));
    assert!(acknowledged, "the leave is not acknowledged");
    let left = Instant::now();
    thread::sleep(Duration::from_millis(300));
    machines[..2].iter_mut().for_each(Machine::kill);
    case.note("the processes of one zone, shop-1 and other-1, are killed");
    thread::sleep(Duration::from_millis(500));
    machines[..2].iter_mut().for_each(Machine::start_process);
    case.note("they are started");
    thread::sleep(Duration::from_millis(4_500).saturating_sub(down.elapsed()));
    case.store.set_availability(Availability::Up);
    case.note("the store is up");
    thread::sleep(STABILITY + Duration::from_millis(2_500));
    count_late_runs(case, &machines, left)
}

/// Time for which the store turns a machine away.
const TURNED_AWAY: Duration = Duration::from_secs(9);

/// A process that starts while the store turns its machine away is never ready, although the store
/// serves it again later.
fn start_while_turned_away(case: &mut Case) -> bool {
    let routes = [("r-a", "/a/", "idempotent", "shop")];
    case.store.append(OPERATOR, CONFIG, &configuration(1, &routes));
    let rows = [
        (0, "shop-1", "shop"),
        (0, "shop-2", "shop"),
        (0, "stock-1", "stock"),
        (0, "stock-2", "stock"),
        (0, "other-1", "other"),
        (0, "other-2", "other"),
    ];
    let mut machines = case.start_machines(&rows, "/a/warm");
    // Until the nodes agree on which of them read the store.
    thread::sleep(Duration::from_secs(6));
    // A read waits for 8 s at most, so 9 s show who reads what. The second reader of a zone reads
    // the operator's topic only.
    case.store.take_reads();
    thread::sleep(Duration::from_secs(9));
    let reads = case.store.take_reads();
    let reads = |machine: &Machine, operator: bool| {
        let mut topics = reads.iter().filter(|(address, _)| *address == machine.store);
        topics.any(|(_, topic)| (topic == OPERATOR) == operator)
    };
    let chosen = machines.iter().position(|machine| reads(machine, true) && !reads(machine, false));
    let chosen = chosen.expect("a machine that reads the operator's topic only");
    let name = machines[chosen].name.clone();
    if case.trouble {
        case.store.refuse(Some(machines[chosen].store));
        case.note(&format!("the store turns {name} away"));
    }
    let refused = Instant::now();
    thread::sleep(Duration::from_millis(200));
    machines[chosen].kill();
    case.note(&format!("the process of {name} is killed"));
    thread::sleep(Duration::from_millis(500));
    machines[chosen].start_process();
    case.note(&format!("the process of {name} is started"));
    thread::sleep(TURNED_AWAY.saturating_sub(refused.elapsed()));
    case.store.refuse(None);
    case.note("the store serves all machines");
    let calm = Instant::now();
    thread::sleep(STABILITY);
    let (mut checks, mut misses) = (0, 0);
    while calm.elapsed() < Duration::from_secs(40) {
        for (idx, machine) in machines.iter().enumerate() {
            let ready = machine.is_ready();
            if idx == chosen {
                checks += 1;
                misses += u32::from(!ready);
            }
            let answer = if ready { "200" } else { "no 200" };
            case.note(&format!("platform: GET /readiness at {} -> {answer}", machine.name));
        }
        thread::sleep(Duration::from_secs(1));
    }
    let id = "after";
    case.send(&machines, chosen, "GET", "/a/x", id);
    case.note(&format!("{misses} of {checks} readiness checks of {name} in calm time failed"));
    // One of six machines that is never ready is more than an eighth of the time of all.
    8 * misses > 6 * checks
}

/// Sends requests for the service of a target that left at `left`, and returns whether any reached
/// that target, which is the first machine's.
fn count_late_runs(case: &mut Case, machines: &[Machine], left: Instant) -> bool {
    // Clients use the machines that answer the readiness check.
    let ready: Vec<_> = (0..machines.len()).filter(|idx| machines[*idx].is_ready()).collect();
    let names: Vec<_> = ready.iter().map(|idx| machines[*idx].name.as_str()).collect();
    case.note(&format!("ready: {}", names.join(" ")));
    let (mut late, mut sent) = (0, 0);
    for number in 0..30 {
        for entry in ready.iter().copied() {
            let id = format!("late-{number}-{entry}");
            let (method, path) = [("GET", "/a/x"), ("POST", "/p/x")][number % 2];
            assert!(left.elapsed() > DRAIN, "the request is sent before the bound");
            case.send(machines, entry, method, path, &id);
            late += usize::from(ran_at(machines, &id).iter().any(|ran| ran == "i-shop-1"));
            sent += 1;
        }
        thread::sleep(Duration::from_millis(100));
    }
    case.note(&format!("{late} of {sent} requests reached the target that had left"));
    late > 0
}

/// Memory limit of the settings, in megabytes.
const MEMORY_MB: u64 = 260;
/// Size of an upload; the configuration allows bodies of up to 64 MiB.
const UPLOAD_BYTES: usize = 10 << 20;
/// Interval between two uploads of one machine: 25 MiB/s on a link of 1,000 Mbit/s.
const UPLOAD_INTERVAL: Duration = Duration::from_millis(400);
/// Run time of an upload at a target of usual speed.
const UPLOAD_WORK: Duration = Duration::from_millis(210);
/// Factor by which a slow target is slower.
const SLOW_FACTOR: u32 = 12;
/// Time for which it is slow.
const SLOW_TIME: Duration = Duration::from_secs(9);
/// Kept connections of the clients beside the slow target.
const KEPT: usize = 10;

/// Uploads to a slow target exceed the memory of the node beside it, which loses the requests of
/// its own clients.
fn uploads_to_slow_target(case: &mut Case) -> bool {
    let routes = [("r-u", "/u/", "non_idempotent", "shop"), ("r-s", "/s/", "idempotent", "stock")];
    case.store.append(OPERATOR, CONFIG, &configuration(1, &routes));
    let rows = [
        (0, "stock-1", "stock"),
        (0, "shop-1", "shop"),
        (0, "other-1", "other"),
        (0, "other-2", "other"),
        (0, "other-3", "other"),
        (0, "other-4", "other"),
    ];
    let mut machines = case.start_machines(&rows, "/s/warm");
    thread::sleep(Duration::from_secs(4));
    machines[0].target.set_work(Duration::from_millis(200));
    machines[1].target.set_work(UPLOAD_WORK);
    let stop = Arc::new(AtomicBool::new(false));
    let kept = start_kept(case, machines[1].outbound, &stop);
    let (body, began) = (Arc::new("x".repeat(UPLOAD_BYTES)), case.began);
    let uploads: Vec<_> = machines[2..]
        .iter()
        .map(|machine| {
            let (to, stop, body, name) =
                (machine.outbound, stop.clone(), body.clone(), machine.name.clone());
            thread::spawn(move || upload(to, &name, &body, began, &stop))
        })
        .collect();
    let started = Instant::now();
    let slow_at = Duration::from_secs(4);
    let mut watch = MemoryWatch::default();
    let mut slow = false;
    while started.elapsed() < slow_at + SLOW_TIME + Duration::from_secs(3) {
        let since = started.elapsed();
        let due = case.trouble && since >= slow_at && since < slow_at + SLOW_TIME;
        if due != slow {
            slow = due;
            let factor = if slow { SLOW_FACTOR } else { 1 };
            machines[1].target.set_work(UPLOAD_WORK * factor);
            case.note(&format!("shop-1: the target works {factor} times as long"));
        }
        watch.check(case, &mut machines[1]);
    }
    stop.store(true, Ordering::SeqCst);
    let lost = lost_requests(case, &machines, kept);
    let mut statuses = BTreeMap::new();
    for sent in uploads.into_iter().flat_map(|client| client.join().expect("a client")) {
        let ran = ran_at(&machines, &sent.id);
        case.note_sent(&sent, &ran);
        *statuses.entry(sent.status).or_insert(0) += 1;
    }
    case.note(&format!("uploads by status: {statuses:?}"));
    watch.note(case, lost);
    lost > 3
}

/// Size of an answer.
const DOWNLOAD_BYTES: usize = 10 << 20;
/// Interval between two downloads: 80 MiB/s on a link of 1,000 Mbit/s.
const DOWNLOAD_INTERVAL: Duration = Duration::from_millis(125);
/// Time in which a slow client reads an answer, within its time limit of 5 s.
const SLOW_READ: Duration = Duration::from_millis(4_400);
/// Bytes that a slow client reads at a time.
const READ_BYTES: usize = 64 << 10;

/// Answers to clients that read slowly exceed the memory of their node, which loses the requests of
/// its other clients.
fn downloads_by_slow_clients(case: &mut Case) -> bool {
    let routes = [("r-d", "/d/", "idempotent", "shop"), ("r-s", "/s/", "idempotent", "stock")];
    case.store.append(OPERATOR, CONFIG, &configuration(1, &routes));
    let rows = [(0, "stock-1", "stock"), (0, "shop-1", "shop"), (0, "other-1", "other")];
    let mut machines = case.start_machines(&rows, "/s/warm");
    thread::sleep(Duration::from_secs(4));
    machines[0].target.set_work(Duration::from_millis(200));
    machines[1].target.set_answer_bytes(DOWNLOAD_BYTES);
    let stop = Arc::new(AtomicBool::new(false));
    let kept = start_kept(case, machines[2].outbound, &stop);
    let (started, mut watch) = (Instant::now(), MemoryWatch::default());
    let (mut downloads, mut count) = (Vec::new(), 0_u32);
    while started.elapsed() < Duration::from_secs(16) {
        if started.elapsed() >= DOWNLOAD_INTERVAL * count {
            let slow = case.trouble && started.elapsed() > Duration::from_secs(4);
            let (to, id, began) = (machines[2].outbound, format!("download-{count}"), case.began);
            downloads.push(thread::spawn(move || download(to, id, slow, began)));
            count += 1;
        }
        watch.check(case, &mut machines[2]);
    }
    stop.store(true, Ordering::SeqCst);
    let lost = lost_requests(case, &machines, kept);
    let mut whole = 0;
    for sent in downloads.into_iter().map(|call| call.join().expect("a client")) {
        whole += u32::from(sent.status == 200);
        let ran = ran_at(&machines, &sent.id);
        case.note_sent(&sent, &ran);
    }
    case.note(&format!("{whole} of {count} downloads were whole"));
    watch.note(case, lost);
    lost > 3
}

/// Downloads an answer, slowly if `slow`; the status is zero unless the answer was whole.
fn download(to: SocketAddr, id: String, slow: bool, began: Instant) -> Sent {
    let at = began.elapsed().as_secs_f64();
    let status = if read_download(to, &id, slow).is_some() { 200 } else { 0 };
    Sent { id, at, status }
}

/// Reads an answer evenly over [`SLOW_READ`] if `slow`; none if it is not whole.
fn read_download(to: SocketAddr, id: &str, slow: bool) -> Option<()> {
    let mut request = http::request("GET", "/d/x", "shop.example", "");
    request.headers.push(("X-Request-Id".to_owned(), id.to_owned()));
    request.headers.push(("X-Deadline-Ms".to_owned(), "5000".to_owned()));
    let mut socket = TcpStream::connect(to).ok()?;
    socket.set_read_timeout(Some(Duration::from_secs(5))).ok()?;
    http::write(&mut socket, &request).ok()?;
    let started = Instant::now();
    let (mut chunk, mut read) = (vec![0; READ_BYTES], 0);
    while read < DOWNLOAD_BYTES {
        match socket.read(&mut chunk) {
            Ok(0) | Err(_) => return None,
            Ok(len) => read += len,
        }
        if slow {
            let due = SLOW_READ.mul_f64(read as f64 / DOWNLOAD_BYTES as f64);
            thread::sleep(due.saturating_sub(started.elapsed()));
        }
    }
    Some(())
}

/// Stand-in for the platform's memory limit.
#[derive(Default)]
struct MemoryWatch {
    peak: u64,
    kills: u32,
}

impl MemoryWatch {
    /// Kills the process of a machine that exceeds its memory, and starts it again after a short
    /// delay.
    fn check(&mut self, case: &mut Case, machine: &mut Machine) {
        let memory = machine.memory_mb();
        self.peak = memory.max(self.peak);
        if memory > MEMORY_MB {
            let name = &machine.name;
            case.note(&format!("platform: {name} holds {memory} MB, its process is killed"));
            machine.kill();
            self.kills += 1;
            thread::sleep(Duration::from_millis(500));
            machine.start_process();
        }
        thread::sleep(Duration::from_millis(5));
    }

    fn note(&self, case: &mut Case, lost: usize) {
        let Self { peak, kills } = self;
        case.note(&format!(
            "most memory {peak} MB; killed {kills} times; {lost} requests of kept connections \
             that a sound target ran were closed without an answer"
        ));
    }
}

/// Starts clients that send requests on kept connections.
fn start_kept(case: &Case, to: SocketAddr, stop: &Arc<AtomicBool>) -> Vec<JoinHandle<Vec<Sent>>> {
    let began = case.began;
    let start = |number| {
        let stop = stop.clone();
        thread::spawn(move || keep_sending(to, number, began, &stop))
    };
    (0..KEPT).map(start).collect()
}

/// Records the requests of kept connections, and returns how many got no answer although a target
/// ran them, which proves that the node had passed them on.
fn lost_requests(case: &mut Case, machines: &[Machine], kept: Vec<JoinHandle<Vec<Sent>>>) -> usize {
    let mut lost = 0;
    for sent in kept.into_iter().flat_map(|client| client.join().expect("a client")) {
        let ran = ran_at(machines, &sent.id);
        lost += usize::from(sent.status == 0 && !ran.is_empty());
        case.note_sent(&sent, &ran);
    }
    lost
}

/// Request and how it ended.
struct Sent {
    id: String,
    /// Seconds since the start of the case.
    at: f64,
    /// Status of the answer; zero if the connection was closed without one.
    status: u16,
}

/// Sends requests on a kept connection, which is opened again after it ends; waits 1 s if it cannot
/// be opened.
fn keep_sending(to: SocketAddr, number: usize, began: Instant, stop: &AtomicBool) -> Vec<Sent> {
    let (mut sent, mut count) = (Vec::new(), 0);
    while !stop.load(Ordering::SeqCst) {
        let Ok(mut socket) = TcpStream::connect(to) else {
            thread::sleep(Duration::from_secs(1));
            continue;
        };
        let Ok(copy) = socket.try_clone() else { continue };
        let mut reader = http::Reader::new(copy);
        while !stop.load(Ordering::SeqCst) {
            let id = format!("kept-{number}-{count}");
            count += 1;
            let mut request = http::request("GET", "/s/x", "shop.example", "");
            request.headers.push(("X-Request-Id".to_owned(), id.clone()));
            request.headers.push(("X-Deadline-Ms".to_owned(), "5000".to_owned()));
            let at = began.elapsed().as_secs_f64();
            let written = http::write(&mut socket, &request).is_ok();
            let answer = reader.read().filter(|_| written);
            let closes = answer
                .as_ref()
                .is_none_or(|answer| answer.header("connection").is_some_and(|v| v == "close"));
            let status = answer.as_ref().map_or(0, http::Message::status);
            sent.push(Sent { id, at, status });
            if closes {
                break;
            }
        }
    }
    sent
}

/// Sends an upload every [`UPLOAD_INTERVAL`], each on a new connection; returns how they ended.
fn upload(
    to: SocketAddr,
    name: &str,
    body: &Arc<String>,
    began: Instant,
    stop: &AtomicBool,
) -> Vec<Sent> {
    let mut pending = Vec::new();
    while !stop.load(Ordering::SeqCst) {
        let (id, body) = (format!("upload-{name}-{}", pending.len()), body.clone());
        pending.push(thread::spawn(move || {
            let at = began.elapsed().as_secs_f64();
            let mut request = http::request("POST", "/u/x", "shop.example", &body);
            request.headers.push(("X-Request-Id".to_owned(), id.clone()));
            request.headers.push(("X-Deadline-Ms".to_owned(), "5000".to_owned()));
            let answer = http::call(to, &request, Duration::from_millis(6_000));
            Sent { id, at, status: answer.map_or(0, |answer| answer.status()) }
        }));
        thread::sleep(UPLOAD_INTERVAL);
    }
    pending.into_iter().map(|call| call.join().expect("a client")).collect()
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let (Some(name), Some(folder)) = (arguments.next(), arguments.next()) else {
        eprintln!("usage: review-case NAME FOLDER");
        std::process::exit(2)
    };
    let scratch = std::env::temp_dir().join(format!("review-{}", std::process::id()));
    if let Err(error) = std::fs::create_dir_all(&scratch) {
        eprintln!("no folder for settings: {error}");
        std::process::exit(2);
    }
    // Ends a case that hangs; the program's processes end with this one.
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(110));
        eprintln!("the case did not end within 110 s");
        std::process::exit(2);
    });
    let mut case = Case {
        store: Store::start(),
        scratch: scratch.clone(),
        began: Instant::now(),
        record: String::new(),
        trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
    };
    let trouble = if case.trouble { "with" } else { "without" };
    case.note(&format!("case {name}, {trouble} the disruption"));
    let run: fn(&mut Case) -> bool = match name.as_str() {
        "configuration-after-drill" => configuration_after_drill,
        "start-while-turned-away" => start_while_turned_away,
        "leave-in-outage" => leave_in_outage,
        "uploads-to-slow-target" => uploads_to_slow_target,
        "downloads-by-slow-clients" => downloads_by_slow_clients,
        other => {
            eprintln!("no case {other}");
            std::process::exit(2)
        }
    };
    // A failed step panics, so that all machines are dropped and their processes end.
    let outcome = catch_unwind(AssertUnwindSafe(|| run(&mut case)));
    let broken = outcome.as_ref().is_ok_and(|broken| *broken);
    let outcome_failed = outcome.is_err();
    let verdict = match outcome {
        Ok(true) => "the rule was broken",
        Ok(false) => "the rule held",
        Err(_) => "the case could not run",
    };
    case.note(verdict);
    let written = std::fs::write(Path::new(&folder).join("record.txt"), &case.record);
    // If this fails, the folder remains in the system's temporary directory.
    let _ = std::fs::remove_dir_all(&scratch);
    if let Err(error) = written {
        eprintln!("record.txt is not written: {error}");
        std::process::exit(2);
    }
    println!("{verdict}");
    std::process::exit(if outcome_failed { 2 } else { i32::from(broken) });
}
