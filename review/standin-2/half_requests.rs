//! Clients that nobody controls hold connections with requests whose bodies stay incomplete, while
//! ordinary callers of the same machine open new connections.

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
const LIMITS: Limits = Limits { memory_mb: 260, max_fds: 4_100 };
/// Clients in the crowd: fewer than the descriptors of the machine.
const CROWD: usize = 3_900;
/// Ordinary callers, each of which sends a request on a new connection after each pause.
const CALLERS: usize = 8;
const CALL_PAUSE: Duration = Duration::from_millis(250);
/// Time that an ordinary caller waits for its answer.
const CALL_LIMIT: Duration = Duration::from_secs(3);
/// Time for which the crowd is there.
const CROWD_TIME: Duration = Duration::from_secs(12);
/// `stability_window_s` of the settings.
const WINDOW_MS: u128 = 3_000;
const WORK: Work = Work { time: Duration::from_millis(20), long_bytes: 0 };

pub fn run(record: &Record, trouble: bool) -> Result<Verdict, String> {
    let store = Store::start();
    store.append("keyed.op", "config", CONFIG);
    let start = |ip: &str, name: &str, service: &str| {
        Machine::start(&store, ip, name, service, LIMITS, WORK, record.began())
    };
    let net = std::process::id() % 250 + 1;
    let shop = start(&format!("127.{net}.8.1"), "shop-1", "shop")?;
    let mut entry = start(&format!("127.{net}.8.2"), "entry-1", "other")?;
    entry.wait_until_serving("/read/probe")?;
    record.line("the deployment serves");
    let stop = Arc::new(AtomicBool::new(false));
    let (to, began) = (entry.outbound, record.began());
    let callers: Vec<_> = (0..CALLERS)
        .map(|caller| {
            let stop = Arc::clone(&stop);
            thread::spawn(move || {
                let mut calls = Vec::new();
                while !stop.load(Ordering::Relaxed) {
                    let id = format!("o{caller}-{}", calls.len());
                    let fields = format!("x-request-id: {id}\r\nx-deadline-ms: 3000\r\n");
                    let sent = began.elapsed().as_millis();
                    let answer = call(to, CALL_LIMIT, "GET", "/read/a", &fields, b"");
                    let ended = began.elapsed().as_millis();
                    calls.push((sent, ended, id, answer.map(|answer| answer.status)));
                    thread::sleep(CALL_PAUSE);
                }
                calls
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(2));
    let end = Instant::now() + CROWD_TIME;
    let mut ready = Vec::new();
    if trouble {
        let input = "POST /read/a HTTP/1.1\r\nhost: shop.example\r\nx-request-id: crowd\r\n\
                     x-deadline-ms: 5000\r\ncontent-length: 100\r\n\r\nx";
        let mut crowd = Crowd::new(to, CROWD, input.into());
        while Instant::now() < end {
            let opened = crowd.fill(end)?;
            thread::sleep(Duration::from_millis(100));
            crowd.check();
            if opened > 100 {
                record.line(&format!("the crowd opened {opened}, {} stay open", crowd.len()));
            }
            ready.push(entry.is_ready());
        }
    } else {
        thread::sleep(CROWD_TIME);
    }
    let crowd_end = record.began().elapsed().as_millis();
    thread::sleep(Duration::from_secs(2));
    stop.store(true, Ordering::Relaxed);
    let mut calls = Vec::new();
    for caller in callers {
        calls.extend(caller.join().map_err(|_| "a caller panicked")?);
    }
    calls.sort();
    for (sent, ended, id, status) in &calls {
        let status = status.map_or("none".to_owned(), |status| status.to_string());
        record.line(&format!("{id}: sent at {sent}, ended at {ended} ms, answer {status}"));
    }
    shop.record_runs(record);
    if entry.has_ended() {
        record.line("the program ended");
        return Ok(Verdict::Broken);
    }
    let not_ready = ready.iter().filter(|ready| !**ready).count();
    record.line(&format!("readiness checks: {}, failed: {not_ready}", ready.len()));
    // Longest time during the crowd in which no request was sent that got any answer.
    let mut answered: Vec<u128> = vec![0, crowd_end];
    answered.extend(calls.iter().filter(|call| call.3.is_some()).map(|call| call.0));
    answered.sort_unstable();
    let gap = answered.windows(2).map(|pair| pair[1] - pair[0]).max();
    let gap = gap.unwrap_or(0);
    let unanswered = calls.iter().filter(|call| call.3.is_none()).count();
    record.line(&format!(
        "ordinary requests: {}, without any answer: {unanswered}; longest time without one that \
         is answered: {gap} ms",
        calls.len()
    ));
    Ok(if gap > WINDOW_MS { Verdict::Broken } else { Verdict::Held })
}
