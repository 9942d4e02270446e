//! Periodic log lines on the load of the target and of the entry, for the analysis of failures.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use poplar_core::{Level, WorkSum};
use slog::{Logger, info};
use tokio::runtime::Handle;

use crate::admission::AdmissionController;
use crate::proxy::callers::entry_stats::EntryStats;
use crate::proxy::callers::serve::CallerServer;
use crate::proxy::frame::MessageKind;
use crate::proxy::links::peers::Peers;
use crate::proxy::links::traffic::Traffic;
use crate::proxy::state::graph::CallGraph;
use crate::proxy::sync::store_sync::StoreHealth;

/// Interval between two reports; short compared to the length of a surge.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Load reports per report on the links. The link counters are cumulative, so a longer interval
/// loses nothing.
const LINK_REPORT_ROUNDS: u32 = 5;

/// Size of a page of memory in KB.
const PAGE_KILOBYTES: u64 = 4;

/// Writes the reports until the process ends.
pub(crate) async fn run(
    admission: Arc<AdmissionController>,
    graph: Arc<CallGraph>,
    entry_stats: Arc<EntryStats>,
    health: Arc<StoreHealth>,
    peers: Arc<Peers>,
    callers: Arc<CallerServer>,
    logger: Logger,
) {
    let mut round: u32 = 0;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        log_target(&admission, &logger);
        log_entry(&entry_stats, &logger);
        log_throttled(&graph, &logger);
        log_memory(&peers, &callers, &logger);
        if round.is_multiple_of(LINK_REPORT_ROUNDS) {
            log_links(&peers.traffic, &health, &logger);
        }
        round = round.wrapping_add(1);
    }
}

/// Logs the bytes sent over links since the start, for each message kind as `same zone+other
/// zones`, the number of links opened, and the calls to the store.
fn log_links(traffic: &Traffic, health: &StoreHealth, logger: &Logger) {
    let (totals, opened) = traffic.totals();
    let mut text = String::new();
    for (kind, [near, far]) in MessageKind::ALL.iter().zip(totals) {
        // Writing to a string cannot fail.
        let _ = write!(text, "{}={near}+{far} ", kind.label());
    }
    info!(logger, "load: links"; "opened" => opened, "sent" => text.trim_end(),
        "unwritten" => traffic.unwritten(),
        "store" => health.call_counts());
}

/// Logs the memory of the process and what it consists of.
fn log_memory(peers: &Peers, callers: &CallerServer, logger: &Logger) {
    let tasks = Handle::try_current().map_or(0, |runtime| runtime.metrics().num_alive_tasks());
    info!(logger, "load: memory"; "resident_kb" => resident_kilobytes(), "tasks" => tasks,
        "requests" => callers.in_flight(), "connections" => callers.open_connections(),
        "runs" => peers.runner.in_flight(), "links" => peers.open_links(),
        "unwritten" => peers.traffic.unwritten(), "received" => peers.received_queued());
}

/// Resident memory of the process in KB; none if the system does not tell.
fn resident_kilobytes() -> Option<u64> {
    let text = std::fs::read_to_string("/proc/self/statm").ok()?;
    let pages: u64 = text.split(' ').nth(1)?.parse().ok()?;
    Some(pages * PAGE_KILOBYTES)
}

/// Logs the current load of the target and what it did since the last report; nothing if it was
/// idle.
fn log_target(admission: &AdmissionController, logger: &Logger) {
    let (load, (own, weight), counts) =
        (admission.load(), admission.load_report(), admission.take_counts());
    if load.running + load.queued == 0 && own == Level::OPEN && counts.is_empty() {
        return;
    }
    info!(logger, "load: target"; "running" => load.running, "queued" => load.queued,
        "limit" => load.limit, "rate" => load.rate.map(f64::from),
        "admission" => u32::from(load.level.rank()), "own" => u32::from(own.rank()),
        "weight" => weight,
        "arrived" => counts.arrived, "refused" => counts.refused, "failed" => counts.failed,
        "ended" => counts.completed, "ended_ms" => counts.busy.as_millis() as u64,
        "cancelled" => counts.cancelled, "cancelled_ms" => counts.wasted.as_millis() as u64);
}

/// Logs the outcomes of the requests that entered at this node since the last report, and the slot
/// time spent on them; nothing if there were none.
fn log_entry(entry_stats: &EntryStats, logger: &Logger) {
    let ended = entry_stats.take_totals();
    if ended.served + ended.refused + ended.failed == 0 {
        return;
    }
    info!(logger, "load: entry"; "served" => ended.served, "refused" => ended.refused,
        "failed" => ended.failed, "useful_ms" => work_millis(&ended.useful),
        "wasted_ms" => work_millis(&ended.wasted));
}

/// Logs the routes that are throttled because nearly all of their requests fail.
fn log_throttled(graph: &CallGraph, logger: &Logger) {
    for (route, passing) in graph.throttled_routes() {
        info!(logger, "load: route throttled"; "route" => %route, "passing" => passing);
    }
}

/// Formats the slot time of each service in milliseconds for a log line.
fn work_millis(work: &WorkSum) -> String {
    let mut text = String::new();
    for (service, time) in work.iter() {
        // Writing to a string cannot fail.
        let _ = write!(text, "{service}={} ", time.as_millis());
    }
    text.truncate(text.trim_end().len());
    text
}
