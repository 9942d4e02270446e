//! Crowd of clients that send requests in part and keep their connections.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

/// Threads that open connections.
const OPENERS: usize = 4;
/// Pause after each connection, so that the queue of new connections does not fill up.
const OPEN_PAUSE: Duration = Duration::from_millis(1);
/// Time for a connection to be established and to take what the client sends.
const TOO_MANY_FILES: i32 = 24;
const OPEN_TIMEOUT: Duration = Duration::from_secs(1);

/// Connections of a crowd, with what each sends.
pub struct Crowd {
    to: SocketAddr,
    input: Vec<u8>,
    open: Vec<TcpStream>,
    size: usize,
    opened: Arc<AtomicUsize>,
}

impl Crowd {
    /// Crowd of `size` clients that send `input`, which is the begin of a request.
    pub fn new(to: SocketAddr, size: usize, input: Vec<u8>) -> Self {
        Self { to, input, open: Vec::new(), size, opened: Arc::default() }
    }

    /// Counter of all connections that were opened.
    pub fn opened(&self) -> Arc<AtomicUsize> {
        Arc::clone(&self.opened)
    }

    /// Number of connections that were open when they were last checked.
    pub fn len(&self) -> usize {
        self.open.len()
    }

    /// Opens connections until the crowd has its size or `until` is reached; returns how many were
    /// opened.
    pub fn fill(&mut self, until: Instant) -> Result<usize, String> {
        let missing = self.size - self.open.len();
        let (to, input, opened) = (self.to, self.input.as_slice(), &*self.opened);
        let parts = thread::scope(|scope| {
            let handles: Vec<_> = (0..OPENERS)
                .map(|_| {
                    scope.spawn(move || open(to, input, missing.div_ceil(OPENERS), until, opened))
                })
                .collect();
            handles.into_iter().map(|handle| handle.join().expect("no opener panics")).collect()
        });
        let parts: Vec<Result<Vec<TcpStream>, String>> = parts;
        let before = self.open.len();
        for sockets in parts {
            self.open.extend(sockets?);
        }
        Ok(self.open.len() - before)
    }

    /// Drops the connections that the other end has closed or answered.
    pub fn check(&mut self) {
        let mut byte = [0; 256];
        self.open.retain_mut(|socket| match socket.read(&mut byte) {
            Ok(_) => false,
            Err(error) => error.kind() == std::io::ErrorKind::WouldBlock,
        });
    }
}

/// Opens `count` connections and sends `input` on each.
fn open(
    to: SocketAddr,
    input: &[u8],
    count: usize,
    until: Instant,
    opened: &AtomicUsize,
) -> Result<Vec<TcpStream>, String> {
    let mut sockets = Vec::new();
    for _ in 0..count {
        if Instant::now() >= until {
            break;
        }
        thread::sleep(OPEN_PAUSE);
        let mut socket = match TcpStream::connect_timeout(&to, OPEN_TIMEOUT) {
            Ok(socket) => socket,
            Err(error) if error.raw_os_error() == Some(TOO_MANY_FILES) => {
                return Err("too few file descriptors for the crowd".to_owned());
            }
            Err(_) => continue,
        };
        let _ = socket.set_write_timeout(Some(OPEN_TIMEOUT));
        // The other end may have refused the connection already.
        if socket.write_all(input).is_ok() && socket.set_nonblocking(true).is_ok() {
            sockets.push(socket);
            opened.fetch_add(1, Ordering::Relaxed);
        }
    }
    Ok(sockets)
}
