//! Clients that nobody controls send large heads and the begin of large bodies, and go on slowly.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::crowd::Crowd;
use crate::http::call;
use crate::machine::{Limits, Machine, Work};
use crate::pipelined_stop::CONFIG;
use crate::record::Record;
use crate::store::Store;

/// Limits of a machine on the platform's pages.
const LIMITS: Limits = Limits { memory_mb: 160, max_fds: 4_100 };
/// Clients in the crowd: fewer than the descriptors of the machine.
const CROWD: usize = 3_700;
/// Bytes of the head and of the begin of the body, below the operator's limits.
const HEAD_BYTES: usize = 15 << 10;
const BODY_BYTES: usize = 16 << 10;
/// Time for which the crowd is there.
const CROWD_TIME: Duration = Duration::from_secs(10);
/// Interval at which the platform compares the memory of the program with its limit.
const MEMORY_INTERVAL: Duration = Duration::from_millis(20);
const WORK: Work = Work { time: Duration::from_millis(20), long_bytes: 0 };

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let store = Store::start();
    store.append("keyed.op", "config", CONFIG);
    let start = |ip: &str, name: &str, service: &str| {
        Machine::start(&store, ip, name, service, LIMITS, WORK, record.began())
    };
    let net = std::process::id() % 250 + 1;
    let shop = start(&format!("127.{net}.9.1"), "shop-1", "shop")?;
    let mut entry = start(&format!("127.{net}.9.2"), "entry-1", "other")?;
    entry.wait_until_serving("/read/probe")?;
    let (resident, peak) = entry.memory_kb();
    record.line(&format!("the deployment serves; resident {resident} kB, peak {peak} kB"));
    let stop = Arc::new(AtomicBool::new(false));
    let to = entry.outbound;
    let head = "POST /read/a HTTP/1.1\r\nhost: shop.example\r\nx-request-id: crowd\r\n\
                x-deadline-ms: 5000\r\ncontent-length: 60000000\r\nx-long: ";
    let fill = "x".repeat(HEAD_BYTES - head.len());
    let input = format!("{head}{fill}\r\n\r\n{}", "b".repeat(BODY_BYTES));
    let mut crowd = Crowd::new(to, CROWD, input.into_bytes());
    let opened = crowd.opened();
    let crowd = thread::spawn({
        let stop = Arc::clone(&stop);
        move || -> Result<(), String> {
            let end = Instant::now() + CROWD_TIME;
            while trouble && Instant::now() < end && !stop.load(Ordering::Relaxed) {
                crowd.fill(end)?;
                crowd.check();
                thread::sleep(Duration::from_millis(50));
            }
            Ok(())
        }
    });
    let end = Instant::now() + CROWD_TIME;
    let (mut exceeded, mut number, mut served) = (false, 0, 0);
    let mut next = Instant::now();
    while Instant::now() < end && !exceeded {
        thread::sleep(MEMORY_INTERVAL);
        let (resident, peak) = entry.memory_kb();
        if resident > LIMITS.memory_mb << 10 {
            let opened = opened.load(Ordering::Relaxed);
            record.line(&format!(
                "resident {resident} kB, peak {peak} kB: above memory_mb, with {opened} connections"
            ));
            record.line("the platform kills the program, as it does above the limit");
            entry.signal("-KILL");
            exceeded = true;
        }
        if Instant::now() > next {
            next = Instant::now() + Duration::from_millis(500);
            let fields = format!("x-request-id: o{number}\r\nx-deadline-ms: 3000\r\n");
            number += 1;
            let answer = call(to, Duration::from_millis(200), "GET", "/read/a", &fields, b"");
            served += usize::from(answer.is_some_and(|answer| answer.status == 200));
        }
    }
    let ended = !exceeded && entry.has_ended();
    stop.store(true, Ordering::Relaxed);
    let peak = entry.memory_kb().1;
    crowd.join().map_err(|_| "the crowd panicked")??;
    shop.record_runs(record);
    let opened = opened.load(Ordering::Relaxed);
    record.line(&format!("the crowd opened {opened} connections; peak at the end {peak} kB"));
    record.line(&format!("ordinary requests: {number} sent, {served} served"));
    if ended {
        record.line("the program ended by itself");
    }
    Ok(if exceeded || ended { Verdict::Broken } else { Verdict::Held })
}
