//! Relay in front of a node, with the bandwidth of the link of another machine.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::small_window;

/// Bytes that are passed on at a time.
const PART_BYTES: usize = 16 << 10;

/// Link that passes a limited number of bytes a second, however many connections use it.
pub struct SharedLink {
    bytes_per_s: f64,
    free_at: Mutex<Instant>,
}

impl SharedLink {
    pub fn new(mbps: f64) -> Arc<Self> {
        Arc::new(Self { bytes_per_s: mbps * 1e6 / 8.0, free_at: Mutex::new(Instant::now()) })
    }

    /// Waits until `bytes` have passed the link.
    fn pass(&self, bytes: usize) {
        let due = {
            let mut free_at = self.free_at.lock().expect("no holder panics");
            let time = Duration::from_secs_f64(bytes as f64 / self.bytes_per_s);
            *free_at = Instant::now().max(*free_at) + time;
            *free_at
        };
        thread::sleep(due.saturating_duration_since(Instant::now()));
    }
}

/// Starts a relay on `ip` to the node at `to`; what callers send passes `link`.
pub fn start(ip: &str, to: SocketAddr, link: &Arc<SharedLink>) -> Result<SocketAddr, String> {
    let listener = TcpListener::bind((ip, 0)).map_err(|error| error.to_string())?;
    let address = listener.local_addr().map_err(|error| error.to_string())?;
    let link = Arc::clone(link);
    thread::spawn(move || {
        for near in listener.incoming().flatten() {
            let link = Arc::clone(&link);
            thread::spawn(move || serve(near, to, link));
        }
    });
    Ok(address)
}

fn serve(near: TcpStream, to: SocketAddr, link: Arc<SharedLink>) {
    let Ok(far) = TcpStream::connect(to) else { return };
    // Without these options the relay is only slower, or holds more itself.
    let _ = (near.set_nodelay(true), far.set_nodelay(true), small_window::set(&near));
    let (Ok(near_copy), Ok(far_copy)) = (near.try_clone(), far.try_clone()) else { return };
    let back = thread::spawn(move || copy(far_copy, near_copy, None));
    copy(near, far, Some(link));
    let _ = back.join();
}

/// Copies bytes until either end closes.
fn copy(mut from: TcpStream, mut to: TcpStream, link: Option<Arc<SharedLink>>) {
    let mut part = vec![0; PART_BYTES];
    while let Ok(len @ 1..) = from.read(&mut part) {
        if let Some(link) = &link {
            link.pass(len);
        }
        if to.write_all(&part[..len]).is_err() {
            break;
        }
    }
    let _ = (from.shutdown(Shutdown::Both), to.shutdown(Shutdown::Both));
}
