//! Lines on the load of the target and of the entry, for those who look at a failure later.

use std::fmt::Write;
use std::sync::Arc;
use std::time::Duration;

use poplar_core::{Level, WorkSum};
use slog::{Logger, info};

use crate::admission::AdmissionController;
use crate::proxy::callers::entry_stats::EntryStats;
use crate::proxy::frame::MessageKind;
use crate::proxy::links::traffic::Traffic;
use crate::proxy::state::graph::CallGraph;
use crate::proxy::sync::store_sync::StoreHealth;

/// Pause between two lines; short against the length of a surge.
const REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Lines on the load for each line on the links, whose counters only ever grow.
const LINK_REPORT_ROUNDS: u32 = 5;

/// Writes the lines for as long as the process lives.
pub(crate) async fn run(
    gate: Arc<AdmissionController>,
    graph: Arc<CallGraph>,
    account: Arc<EntryStats>,
    traffic: Arc<Traffic>,
    health: Arc<StoreHealth>,
    logger: Logger,
) {
    let mut round: u32 = 0;
    loop {
        tokio::time::sleep(REPORT_INTERVAL).await;
        log_target(&gate, &logger);
        log_entry(&account, &logger);
        log_throttled(&graph, &logger);
        if round.is_multiple_of(LINK_REPORT_ROUNDS) {
            log_links(&traffic, &health, &logger);
        }
        round = round.wrapping_add(1);
    }
}

/// Bytes that were handed to links since the start, by kind: to the own zone and to others; and the
/// calls to the store.
fn log_links(traffic: &Traffic, health: &StoreHealth, logger: &Logger) {
    let (totals, opened) = traffic.totals();
    let mut text = String::new();
    for (kind, [near, far]) in MessageKind::ALL.iter().zip(totals) {
        // Writing into a string cannot fail.
        let _ = write!(text, "{}={near}+{far} ", kind.label());
    }
    info!(logger, "load: links"; "opened" => opened, "sent" => text.trim_end(),
        "store" => health.call_counts());
}

/// What the target is busy with, and what it did since the last line.
fn log_target(gate: &AdmissionController, logger: &Logger) {
    let (load, (own, weight), tally) = (gate.load(), gate.load_report(), gate.take_counts());
    if load.running + load.queued == 0 && own == Level::OPEN && tally.is_empty() {
        return;
    }
    info!(logger, "load: target"; "running" => load.running, "queued" => load.queued,
        "limit" => load.limit, "admission" => u32::from(load.level.rank()),
        "own" => u32::from(own.rank()), "weight" => weight,
        "arrived" => tally.arrived, "refused" => tally.refused, "failed" => tally.failed,
        "ended" => tally.completed, "ended_ms" => tally.busy.as_millis() as u64,
        "cancelled" => tally.cancelled, "cancelled_ms" => tally.wasted.as_millis() as u64);
}

/// What became of the requests that entered here, and of the work done for them.
fn log_entry(account: &EntryStats, logger: &Logger) {
    let ended = account.take_totals();
    if ended.served + ended.refused + ended.failed == 0 {
        return;
    }
    info!(logger, "load: entry"; "served" => ended.served, "refused" => ended.refused,
        "failed" => ended.failed, "useful_ms" => work_millis(&ended.useful),
        "wasted_ms" => work_millis(&ended.wasted));
}

/// Which routes are throttled as nearly all of their requests fail.
fn log_throttled(graph: &CallGraph, logger: &Logger) {
    for (route, passing) in graph.throttled_routes() {
        info!(logger, "load: route throttled"; "route" => %route, "passing" => passing);
    }
}

/// Text of slot times for a log line, in milliseconds.
fn work_millis(work: &WorkSum) -> String {
    let mut text = String::new();
    for (service, time) in work.iter() {
        // Writing into a string cannot fail.
        let _ = write!(text, "{service}={} ", time.as_millis());
    }
    text.truncate(text.trim_end().len());
    text
}
