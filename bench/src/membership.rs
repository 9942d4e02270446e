//! Measures membership for several sizes of a service: traffic, detection time and false verdicts.

use std::time::Duration;

use bpaf::Bpaf;
use poplar_core::{MemberState, MemberVerdict, Message};
use poplar_wire::encode;

use crate::group::{Group, ZONES};

/// Size of the UDP and IP headers of one message, in bytes.
const DATAGRAM_HEADER_BYTES: u64 = 28;

/// Longest wait for any condition.
const WAIT_LIMIT: Duration = Duration::from_secs(120);

/// Time without faults over which calm traffic is counted; also the recovery time after a fault.
const CALM_TIME: Duration = Duration::from_secs(60);

/// Duration of a zone partition and of a freeze.
const FAULT_TIME: Duration = Duration::from_secs(20);

/// Percentage of messages lost in the last phase.
const LOSS_PERCENT: u64 = 5;

/// Options of the measurement.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Options {
    /// Seed of all random numbers
    #[bpaf(argument("N"), fallback(1))]
    seed: u64,
    /// Number of members of the largest group
    #[bpaf(argument("N"), fallback(300))]
    largest: usize,
}

/// Figures of one group size. Times are in seconds, and negative if longer than [`WAIT_LIMIT`].
#[derive(Debug, Default)]
struct GroupFigures {
    members: usize,
    /// Time until all members of a new group see each other alive and agree.
    join: f64,
    /// Messages per second that one member sends in calm, on average.
    message_rate: f64,
    /// Bytes per second that one member sends in calm, on average.
    calm_mean_bytes: f64,
    /// Bytes per second that the busiest member sends in calm.
    calm_max_bytes: f64,
    /// Time until all members know that three members are draining.
    drain: f64,
    /// Number of members killed.
    killed: usize,
    /// Time from the kill until any running member suspects any killed one.
    first_suspect: f64,
    /// Time from the kill until all running members suspect all killed ones.
    all_suspect: f64,
    /// Time from the kill until the verdict of all running members on all killed ones is lost.
    all_lost: f64,
    /// Time from the end of a freeze until all members see each other alive.
    wake: f64,
    /// Time from the end of a zone partition until all members see each other alive.
    heal: f64,
    /// Most bytes that one member sent within one second, during a zone partition and its healing.
    peak_bytes: u64,
    /// Bytes per second that the busiest member sent during a zone partition and its healing.
    partition_bytes: f64,
    /// Number of times that a running member was sampled with the verdict lost on another running
    /// one.
    false_lost: usize,
    /// Sampled pairs of running members with message loss, of which one suspects the other, in
    /// parts per million.
    suspect_ppm: f64,
    /// Size of the largest message, headers included.
    max_message_bytes: u64,
}

/// Runs the measurement and prints its table and summary.
pub(crate) fn run(options: &Options) {
    let sizes = [10, 30, 100, 300].map(|size: usize| size.min(options.largest));
    let mut sizes = sizes.to_vec();
    sizes.dedup();
    println!(
        "members join_s msg/s B/s_mean B/s_max drain_s killed first_suspect_s all_suspect_s \
         all_lost_s wake_s heal_s peak_B/s cut_B/s false_lost doubted_ppm largest_B"
    );
    let mut last = GroupFigures::default();
    for size in sizes {
        last = measure(size, options.seed);
        print_row(&last);
    }
    println!(
        "members={} calm_bytes_s={:.0} calm_messages_s={:.2} peak_bytes_s={} cut_bytes_s={:.0} drain_s={:.2} \
         suspect_s={:.2} lost_s={:.2} heal_s={:.2} false_lost={} seed={}",
        last.members,
        last.calm_max_bytes,
        last.message_rate,
        last.peak_bytes,
        last.partition_bytes,
        last.drain,
        last.all_suspect,
        last.all_lost,
        last.heal,
        last.false_lost,
        options.seed
    );
}

fn print_row(row: &GroupFigures) {
    println!(
        "{:7} {:6.2} {:5.2} {:8.0} {:7.0} {:7.2} {:6} {:15.2} {:13.2} {:10.2} {:6.2} {:6.2} \
         {:8} {:7.0} {:10} {:11.1} {:9}",
        row.members,
        row.join,
        row.message_rate,
        row.calm_mean_bytes,
        row.calm_max_bytes,
        row.drain,
        row.killed,
        row.first_suspect,
        row.all_suspect,
        row.all_lost,
        row.wake,
        row.heal,
        row.peak_bytes,
        row.partition_bytes,
        row.false_lost,
        row.suspect_ppm,
        row.max_message_bytes
    );
}

/// Returns the encoded size of a message in bytes, headers included.
fn message_bytes(message: &Message) -> u64 {
    encode(message).map_or(0, |bytes| bytes.len() as u64) + DATAGRAM_HEADER_BYTES
}

fn measure(members: usize, seed: u64) -> GroupFigures {
    let mut group = Group::new(members, seed, message_bytes);
    let mut row = GroupFigures { members, ..GroupFigures::default() };
    row.join = seconds(group.advance_until(WAIT_LIMIT, |g| g.all_alive() && g.all_agree()));
    group.advance(CALM_TIME);
    measure_calm(&mut group, &mut row);
    measure_freeze(&mut group, &mut row);
    measure_drain(&mut group, &mut row);
    measure_kill(&mut group, &mut row);
    measure_partition(&mut group, &mut row);
    measure_loss(&mut group, &mut row);
    row.max_message_bytes = group.max_message_bytes();
    row
}

fn measure_calm(group: &mut Group, row: &mut GroupFigures) {
    group.reset_traffic();
    group.advance(CALM_TIME);
    let sent = group.traffic();
    let rate = |total: u64| total as f64 / CALM_TIME.as_secs_f64();
    row.message_rate = rate(sent.iter().map(|s| s.messages).sum()) / sent.len() as f64;
    row.calm_mean_bytes = rate(sent.iter().map(|s| s.bytes).sum()) / sent.len() as f64;
    row.calm_max_bytes = rate(sent.iter().map(|s| s.bytes).max().unwrap_or(0));
}

fn measure_freeze(group: &mut Group, row: &mut GroupFigures) {
    group.freeze(1);
    group.advance(FAULT_TIME);
    group.thaw(1);
    row.wake = seconds(group.advance_until(WAIT_LIMIT, Group::all_alive));
    group.advance(CALM_TIME);
}

fn measure_drain(group: &mut Group, row: &mut GroupFigures) {
    let state = MemberState::Draining;
    (0..3).for_each(|idx| group.set_state(idx, state));
    let known =
        |g: &Group| (0..3).all(|about| g.all_views_satisfy(about, |_| true, |s, _| s == state));
    row.drain = seconds(group.advance_until(WAIT_LIMIT, known));
    group.advance(CALM_TIME);
}

fn measure_kill(group: &mut Group, row: &mut GroupFigures) {
    row.killed = 10.min(group.len() / 3);
    let victims = group.len() - row.killed..group.len();
    victims.clone().for_each(|idx| group.kill(idx));
    let all_at_least = |g: &Group, about: usize, verdict: MemberVerdict| {
        g.all_views_satisfy(about, |_| true, |_, actual| actual >= verdict)
    };
    let not_all_alive = |g: &Group, about: usize| {
        !g.all_views_satisfy(about, |_| true, |_, verdict| verdict == MemberVerdict::Alive)
    };
    let first =
        group.advance_until(WAIT_LIMIT, |g| victims.clone().any(|about| not_all_alive(g, about)));
    let all = |verdict| {
        let victims = victims.clone();
        move |g: &Group| victims.clone().all(|about| all_at_least(g, about, verdict))
    };
    let suspected = group.advance_until(WAIT_LIMIT, all(MemberVerdict::Suspect));
    let lost = group.advance_until(WAIT_LIMIT, all(MemberVerdict::Lost));
    row.first_suspect = seconds(first);
    row.all_suspect = row.first_suspect + seconds(suspected);
    row.all_lost = row.all_suspect + seconds(lost);
    row.false_lost += group.count_verdicts(MemberVerdict::Lost, |_| true);
    group.advance(CALM_TIME);
}

fn measure_partition(group: &mut Group, row: &mut GroupFigures) {
    let inside = |idx: usize| idx % ZONES == 1;
    let false_lost = |g: &Group| {
        g.count_verdicts(MemberVerdict::Lost, inside)
            + g.count_verdicts(MemberVerdict::Lost, |idx| !inside(idx))
    };
    group.reset_traffic();
    let began = group.now();
    group.set_partitioned(1, true);
    group.advance(FAULT_TIME);
    row.false_lost += false_lost(group);
    group.set_partitioned(1, false);
    let start = group.now();
    while !group.all_alive() && group.now().since(start) < WAIT_LIMIT {
        group.advance(Duration::from_millis(100));
        row.false_lost += false_lost(group);
    }
    let sent = group.traffic();
    let most = sent.iter().map(|sent| sent.bytes).max().unwrap_or(0);
    row.partition_bytes = most as f64 / group.now().since(began).as_secs_f64();
    row.peak_bytes = sent.iter().map(|sent| sent.peak_bytes).max().unwrap_or(0);
    row.heal = seconds(Some(group.now().since(start)).filter(|span| *span < WAIT_LIMIT));
    group.advance(CALM_TIME);
}

fn measure_loss(group: &mut Group, row: &mut GroupFigures) {
    group.set_loss(LOSS_PERCENT);
    let samples = 120;
    let mut suspect_count = 0;
    for _ in 0..samples {
        group.advance(Duration::from_millis(500));
        suspect_count += group.count_verdicts(MemberVerdict::Suspect, |_| true);
        row.false_lost += group.count_verdicts(MemberVerdict::Lost, |_| true);
    }
    let pairs = (group.len() - row.killed).pow(2) * samples;
    row.suspect_ppm = suspect_count as f64 * 1e6 / pairs as f64;
    group.set_loss(0);
}

fn seconds(span: Option<Duration>) -> f64 {
    span.map_or(-1.0, |span| span.as_secs_f64())
}
