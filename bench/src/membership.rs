//! Membership against the size of a service: traffic, time to notice, false verdicts.

use std::time::Duration;

use bpaf::Bpaf;
use poplar_core::{MemberState, MemberVerdict, Message};
use poplar_wire::encode;

use crate::group::{Group, ZONES};

/// Bytes of the UDP and IP headers of one message.
const DATAGRAM_HEADER_BYTES: u64 = 28;

/// Longest time that anything is waited for.
const LIMIT: Duration = Duration::from_secs(120);

/// Time without any event over which calm traffic is counted.
const CALM: Duration = Duration::from_secs(60);

/// Time for which a zone is cut off, a member is frozen.
const FAULT: Duration = Duration::from_secs(20);

/// Share of messages lost in the last part, in percent.
const LOSS_PERCENT: u64 = 5;

/// Options of the measure `membership`.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Options {
    /// Seed of all random numbers.
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Members of the largest group.
    #[bpaf(argument("N"), fallback(300))]
    largest: usize,
}

/// What one group size gave; times in seconds, negative if longer than [`LIMIT`].
#[derive(Debug, Default)]
struct Row {
    members: usize,
    join: f64,
    messages: f64,
    calm_mean: f64,
    calm_max: f64,
    drain: f64,
    killed: usize,
    first: f64,
    suspected: f64,
    lost: f64,
    wake: f64,
    heal: f64,
    peak: u64,
    cut: f64,
    false_lost: usize,
    doubted: f64,
    largest: u64,
}

/// Runs the measure and prints its table and summary.
pub(crate) fn run(options: &Options) {
    let sizes = [10, 30, 100, 300].map(|size: usize| size.min(options.largest));
    let mut sizes = sizes.to_vec();
    sizes.dedup();
    println!(
        "members join_s msg/s B/s_mean B/s_max drain_s killed first_suspect_s all_suspect_s \
         all_lost_s wake_s heal_s peak_B/s cut_B/s false_lost doubted_ppm largest_B"
    );
    let mut last = Row::default();
    for size in sizes {
        last = measure(size, options.seed);
        print_row(&last);
    }
    println!(
        "members={} calm_bytes_s={:.0} calm_messages_s={:.2} peak_bytes_s={} cut_bytes_s={:.0} drain_s={:.2} \
         suspect_s={:.2} lost_s={:.2} heal_s={:.2} false_lost={} seed={}",
        last.members,
        last.calm_max,
        last.messages,
        last.peak,
        last.cut,
        last.drain,
        last.suspected,
        last.lost,
        last.heal,
        last.false_lost,
        options.seed
    );
}

fn print_row(row: &Row) {
    println!(
        "{:7} {:6.2} {:5.2} {:8.0} {:7.0} {:7.2} {:6} {:15.2} {:13.2} {:10.2} {:6.2} {:6.2} \
         {:8} {:7.0} {:10} {:11.1} {:9}",
        row.members,
        row.join,
        row.messages,
        row.calm_mean,
        row.calm_max,
        row.drain,
        row.killed,
        row.first,
        row.suspected,
        row.lost,
        row.wake,
        row.heal,
        row.peak,
        row.cut,
        row.false_lost,
        row.doubted,
        row.largest
    );
}

fn message_bytes(message: &Message) -> u64 {
    encode(message).map_or(0, |bytes| bytes.len() as u64) + DATAGRAM_HEADER_BYTES
}

fn measure(members: usize, seed: u64) -> Row {
    let mut group = Group::new(members, seed, message_bytes);
    let mut row = Row { members, ..Row::default() };
    row.join = seconds(group.wait(LIMIT, |g| g.all_alive() && g.all_agree()));
    group.pass(CALM);
    calm(&mut group, &mut row);
    freeze(&mut group, &mut row);
    drain(&mut group, &mut row);
    kill(&mut group, &mut row);
    cut(&mut group, &mut row);
    lose(&mut group, &mut row);
    row.largest = group.largest();
    row
}

fn calm(group: &mut Group, row: &mut Row) {
    group.reset_sent();
    group.pass(CALM);
    let sent = group.sent();
    let rate = |total: u64| total as f64 / CALM.as_secs_f64();
    row.messages = rate(sent.iter().map(|s| s.messages).sum()) / sent.len() as f64;
    row.calm_mean = rate(sent.iter().map(|s| s.bytes).sum()) / sent.len() as f64;
    row.calm_max = rate(sent.iter().map(|s| s.bytes).max().unwrap_or(0));
}

fn freeze(group: &mut Group, row: &mut Row) {
    group.freeze(1);
    group.pass(FAULT);
    group.thaw(1);
    row.wake = seconds(group.wait(LIMIT, Group::all_alive));
    group.pass(CALM);
}

fn drain(group: &mut Group, row: &mut Row) {
    let state = MemberState::Draining;
    (0..3).for_each(|idx| group.set_state(idx, state));
    let known = |g: &Group| (0..3).all(|about| g.all_hold(about, |_| true, |s, _| s == state));
    row.drain = seconds(group.wait(LIMIT, known));
    group.pass(CALM);
}

fn kill(group: &mut Group, row: &mut Row) {
    row.killed = 10.min(group.len() / 3);
    let victims = group.len() - row.killed..group.len();
    victims.clone().for_each(|idx| group.kill(idx));
    let held = |g: &Group, about: usize, verdict: MemberVerdict| {
        g.all_hold(about, |_| true, |_, held| held >= verdict)
    };
    let none_alive = |g: &Group, about: usize| {
        !g.all_hold(about, |_| true, |_, held| held == MemberVerdict::Alive)
    };
    let first = group.wait(LIMIT, |g| victims.clone().any(|about| none_alive(g, about)));
    let all = |verdict| {
        let victims = victims.clone();
        move |g: &Group| victims.clone().all(|about| held(g, about, verdict))
    };
    let suspected = group.wait(LIMIT, all(MemberVerdict::Suspect));
    let lost = group.wait(LIMIT, all(MemberVerdict::Lost));
    row.first = seconds(first);
    row.suspected = row.first + seconds(suspected);
    row.lost = row.suspected + seconds(lost);
    row.false_lost += group.count(MemberVerdict::Lost, |_| true);
    group.pass(CALM);
}

fn cut(group: &mut Group, row: &mut Row) {
    let inside = |idx: usize| idx % ZONES == 1;
    let own_lost = |g: &Group| {
        g.count(MemberVerdict::Lost, inside) + g.count(MemberVerdict::Lost, |idx| !inside(idx))
    };
    group.reset_sent();
    let began = group.now();
    group.cut(1, true);
    group.pass(FAULT);
    row.false_lost += own_lost(group);
    group.cut(1, false);
    let start = group.now();
    while !group.all_alive() && group.now().since(start) < LIMIT {
        group.pass(Duration::from_millis(100));
        row.false_lost += own_lost(group);
    }
    let sent = group.sent();
    let most = sent.iter().map(|sent| sent.bytes).max().unwrap_or(0);
    row.cut = most as f64 / group.now().since(began).as_secs_f64();
    row.peak = sent.iter().map(|sent| sent.peak).max().unwrap_or(0);
    row.heal = seconds(Some(group.now().since(start)).filter(|span| *span < LIMIT));
    group.pass(CALM);
}

fn lose(group: &mut Group, row: &mut Row) {
    group.lose(LOSS_PERCENT);
    let samples = 120;
    let mut doubted = 0;
    for _ in 0..samples {
        group.pass(Duration::from_millis(500));
        doubted += group.count(MemberVerdict::Suspect, |_| true);
        row.false_lost += group.count(MemberVerdict::Lost, |_| true);
    }
    let pairs = (group.len() - row.killed).pow(2) * samples;
    row.doubted = doubted as f64 * 1e6 / pairs as f64;
    group.lose(0);
}

fn seconds(span: Option<Duration>) -> f64 {
    span.map_or(-1.0, |span| span.as_secs_f64())
}
