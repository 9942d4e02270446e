//! Stand-in for a back end: serves requests, records what it runs, and announces itself to the node
//! on its machine.

use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{self, Message, Reader};

/// Interval between two heartbeats, as `heartbeat_s` of the settings.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

#[derive(Clone)]
pub struct Target {
    pub address: SocketAddr,
    pub service: String,
    pub instance: String,
    zone: String,
    control: SocketAddr,
    born: u64,
    sequence: Arc<AtomicU64>,
    /// Whether heartbeats are sent.
    beats: Arc<AtomicBool>,
    /// Whether answers state that the target leaves.
    leaving: Arc<AtomicBool>,
    state: Arc<Mutex<State>>,
}

struct State {
    work: Duration,
    runs: Vec<Run>,
    /// Size of an answer's body; none for a short text.
    answer_bytes: Option<usize>,
}

/// Request that the target began to run.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub instance: String,
}

impl Target {
    /// Starts a target at `ip`:8301 that sends its heartbeats to `control`.
    pub fn start(ip: &str, zone: &str, service: &str, instance: &str, control: SocketAddr) -> Self {
        let address: SocketAddr = format!("{ip}:8301").parse().expect("an address");
        let listener = TcpListener::bind(address).expect("a free address");
        let born = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time").as_millis() as u64;
        let target = Self {
            address,
            service: service.to_owned(),
            instance: instance.to_owned(),
            zone: zone.to_owned(),
            control,
            born,
            sequence: Arc::default(),
            beats: Arc::new(AtomicBool::new(true)),
            leaving: Arc::default(),
            state: Arc::new(Mutex::new(State {
                work: Duration::from_millis(5),
                runs: Vec::new(),
                answer_bytes: None,
            })),
        };
        let serving = target.clone();
        thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let _ = socket.set_nodelay(true);
                let target = serving.clone();
                thread::spawn(move || target.serve(socket));
            }
        });
        let beating = target.clone();
        thread::spawn(move || {
            while beating.beats.load(Ordering::SeqCst) {
                beating.beat();
                thread::sleep(HEARTBEAT);
            }
        });
        target
    }

    /// Sets how long a run takes.
    pub fn set_work(&self, work: Duration) {
        self.lock().work = work;
    }

    /// Sets the size of the answers' bodies.
    pub fn set_answer_bytes(&self, bytes: usize) {
        self.lock().answer_bytes = Some(bytes);
    }

    /// Requests that the target began to run, in their order.
    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    /// Sends a heartbeat; returns whether it was acknowledged within a second.
    fn beat(&self) -> bool {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let body = format!(
            r#"{{"service":"{}","address":"{}","zone":"{}","version":"v1","slots":188,"state":"ready","cold_left_s":0,"sequence":{sequence},"born":{}}}"#,
            self.service, self.address, self.zone, self.born
        );
        let path = format!("/instances/{}", self.instance);
        self.tell(&http::request("PUT", &path, "control", &body))
    }

    /// Sends the leave and no heartbeats after it; returns whether it was acknowledged. From then
    /// on all answers state the leave, and the target continues to serve.
    pub fn leave(&self) -> bool {
        self.beats.store(false, Ordering::SeqCst);
        self.leaving.store(true, Ordering::SeqCst);
        let path = format!("/instances/{}", self.instance);
        let body = format!(r#"{{"born":{}}}"#, self.born);
        self.tell(&http::request("DELETE", &path, "control", &body))
    }

    fn tell(&self, request: &Message) -> bool {
        let mut request = request.clone();
        request.headers.push(("Content-Type".to_owned(), "application/json".to_owned()));
        let answer = http::call(self.control, &request, Duration::from_secs(1));
        answer.is_some_and(|answer| answer.status() / 100 == 2)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn serve(self, socket: TcpStream) {
        let Ok(mut writer) = socket.try_clone() else { return };
        let mut reader = Reader::new(socket);
        while let Some(request) = reader.read() {
            let answer = self.answer(&request);
            if http::write(&mut writer, &answer).is_err() {
                break;
            }
        }
        let _ = writer.shutdown(Shutdown::Both);
    }

    fn answer(&self, request: &Message) -> Message {
        let id = request.header("x-request-id").unwrap_or_default().to_owned();
        let echo = ("X-Request-Id".to_owned(), id.clone());
        let expected = request.header("x-expect-instance");
        if expected.is_some_and(|expected| expected != self.instance) {
            let mut answer = http::response("421 Misdirected Request", Vec::new());
            answer.headers = vec![echo, ("X-Instance-Id".to_owned(), self.instance.clone())];
            return answer;
        }
        let (work, bytes) = {
            let mut state = self.lock();
            state.runs.push(Run { id: id.clone(), instance: self.instance.clone() });
            (state.work, state.answer_bytes)
        };
        thread::sleep(work);
        let text = format!("{} ran {id}", self.service);
        let body = bytes.map_or_else(|| text.into_bytes(), |bytes| vec![b'x'; bytes]);
        let mut answer = http::response("200 OK", body);
        answer.headers =
            vec![echo, ("X-Server-Stamp".to_owned(), format!("{}.{id}", self.instance))];
        if self.leaving.load(Ordering::SeqCst) {
            answer.headers.push(("Server-Leaving".to_owned(), "1".to_owned()));
        }
        answer
    }
}
