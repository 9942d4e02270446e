//! Measures the time and memory of one decision, and how they grow with size.
//!
//! Times are means over many decisions on one core. Memory is the growth of the resident set
//! over many copies of a structure, so that it includes the allocator's overhead.

use std::hint::black_box;
use std::time::{Duration, Instant};

use bpaf::Bpaf;
use poplar_core::{
    Admission, Arrival, Balancer, Importance, ImportanceScale, InstanceId, Level, LevelMap, Moment,
    Name, Observation, Rank, RequestId, TargetInfo, TargetLimits, Ticket,
};

/// Options of the measurement.
#[derive(Debug, Clone, Bpaf)]
pub(crate) struct Options {
    /// Number of decisions per figure
    #[bpaf(argument("N"), fallback(200_000), display_fallback)]
    rounds: u64,
}

/// Number of copies of a large structure over which memory is measured.
const LARGE_COPIES: usize = 100;
/// Number of copies of a small structure over which memory is measured.
const SMALL_COPIES: usize = 2_000;

/// Time of one decision and memory of one structure, at one size.
#[derive(Debug, Clone, Copy)]
struct Cost {
    nanos: f64,
    bytes: f64,
}

/// Runs the measurement and prints its table and its summary line.
pub(crate) fn run(options: &Options) {
    let rounds = options.rounds;
    println!("{:<34} {:>8} {:>10} {:>14}", "decision", "size", "ns each", "bytes in all");
    let sizes = [100, 1_000, 10_000];
    let admit = sizes.map(|size| {
        print_row("admit and finish, calls in flight", size, measure_admit(size, rounds))
    });
    let shed = sizes
        .map(|size| print_row("arrive at a full queue, places", size, measure_shed(size, rounds)));
    let sizes = [10, 100, 1_000];
    let choose = sizes
        .map(|size| print_row("choose and observe, targets", size, measure_choose(size, rounds)));
    let sizes = [1, 10, 100];
    let level = sizes.map(|size| {
        print_row("look up and learn level, services", size, measure_level(size, rounds))
    });
    let root = RequestId(7);
    let child = mean_nanos(rounds, |n| {
        black_box(root.child(n as u32).tiebreak());
    });
    print_row("derive child id and lot", 1, Cost { nanos: child, bytes: 0.0 });
    let per = |costs: [Cost; 3], sizes: [f64; 3]| {
        (costs[2].bytes - costs[0].bytes) / (sizes[2] - sizes[0])
    };
    println!(
        "admit_ns={:.0} shed_ns={:.0} choose_ns={:.0} level_ns={:.0} bytes_per_running_call={:.0} \
         bytes_per_waiting_call={:.0} bytes_per_target={:.0} bytes_per_service={:.0}",
        admit[1].nanos,
        shed[1].nanos,
        choose[1].nanos,
        level[2].nanos,
        per(admit, [100.0, 1e3, 1e4]),
        per(shed, [100.0, 1e3, 4_096.0]),
        (choose[1].bytes - choose[0].bytes) / 54.0,
        per(level, [1.0, 10.0, 100.0]),
    );
}

fn print_row(decision: &str, size: usize, cost: Cost) -> Cost {
    println!("{decision:<34} {size:>8} {:>10.0} {:>14.0}", cost.nanos, cost.bytes);
    cost
}

fn measure_admit(size: usize, rounds: u64) -> Cost {
    let (mut admission, bytes) =
        build_copies(LARGE_COPIES, || warm_admission(size as u32, size - 1));
    let nanos = mean_nanos(rounds, |n| {
        let now = moment(n);
        black_box(admission.arrive(now, arrival(n + size as u64, 1)));
        black_box(admission.finish(now, Ticket(n + size as u64), Duration::from_millis(10)));
    });
    Cost { nanos, bytes }
}

fn measure_shed(size: usize, rounds: u64) -> Cost {
    let (mut admission, bytes) =
        build_copies(LARGE_COPIES, || warm_admission(size as u32, 2 * size));
    let nanos = mean_nanos(rounds, |n| {
        let importance = if n % 2 == 0 { 1 } else { 9 };
        black_box(admission.arrive(moment(n), arrival(n + 2 * size as u64, importance)));
    });
    Cost { nanos, bytes }
}

/// Returns an admission with `slots` slots and as many queue places, warmed up by as many
/// finished calls as it has slots, after the arrival of `calls` further calls.
fn warm_admission(slots: u32, calls: usize) -> Admission {
    let scale = ImportanceScale::new([1, 5, 9].map(Importance));
    let mut admission = Admission::new(moment(0), TargetLimits::derive(slots, slots), scale);
    for _ in 0..slots {
        admission.arrive(moment(0), arrival(u64::MAX, 1));
        admission.finish(moment(0), Ticket(u64::MAX), Duration::from_millis(10));
    }
    for ticket in 0..calls as u64 {
        admission.arrive(moment(0), arrival(ticket, 5));
    }
    admission
}

fn arrival(ticket: u64, importance: u8) -> Arrival {
    Arrival {
        ticket: Ticket(ticket),
        rank: Rank::of(Importance(importance), RequestId(u128::from(ticket))),
        age: Duration::ZERO,
        left: Duration::from_secs(3_600),
        min_latency: Duration::from_millis(5),
        begun: false,
    }
}

fn measure_choose(size: usize, rounds: u64) -> Cost {
    let (mut balancer, bytes) = build_copies(SMALL_COPIES, || balancer(size));
    let rank = Rank::at(Importance(5), 9);
    let nanos = mean_nanos(rounds, |n| {
        let (now, random) = (moment(n), n.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        let Some(choice) = balancer.choose(now, rank, random, &[]) else { return };
        let latency = Duration::from_millis(10);
        let observed = Observation::Done { latency, level: Level::OPEN };
        balancer.observe(now, &choice.instance, observed);
    });
    Cost { nanos, bytes }
}

fn balancer(size: usize) -> Balancer {
    let zones = ["rennes", "brest", "lorient", "vannes"].map(Name::new);
    let mut balancer = Balancer::new(zones[0].clone());
    for number in 0..size {
        let instance = InstanceId::from(format!("listings-{number}").as_str());
        let zone = zones[number % zones.len()].clone();
        balancer.add_target(TargetInfo { instance, zone, slots: 20, connections: 230 });
    }
    balancer
}

fn measure_level(size: usize, rounds: u64) -> Cost {
    let names: Vec<_> = (0..size).map(|number| Name::new(&format!("class-{number}"))).collect();
    let instances: Vec<_> =
        (0..16).map(|number| InstanceId::from(format!("target-{number}").as_str())).collect();
    let filled = || {
        let mut map = LevelMap::new(ImportanceScale::new([1, 5, 9].map(Importance)));
        for name in &names {
            instances.iter().for_each(|instance| map.add_instance(name, instance));
        }
        map
    };
    let (mut map, bytes) = build_copies(SMALL_COPIES, filled);
    let rank = Rank::at(Importance(5), 9);
    let nanos = mean_nanos(rounds, |n| {
        let (now, name) = (moment(n), &names[n as usize % names.len()]);
        black_box(map.would_refuse(now, rank, [name]));
        let level = Level::at(Rank::at(Importance(1), n as u16));
        map.record(now, name, &instances[n as usize % instances.len()], level);
    });
    Cost { nanos, bytes }
}

/// Returns the time of decision `n`: decisions are 10 µs apart.
fn moment(n: u64) -> Moment {
    Moment::from_micros(n * 10)
}

/// Returns the mean time of one round, in nanoseconds. A tenth as many rounds run before as
/// warm-up.
fn mean_nanos(rounds: u64, mut decide: impl FnMut(u64)) -> f64 {
    let warm = rounds / 10;
    (0..warm).for_each(&mut decide);
    let start = Instant::now();
    (warm..warm + rounds).for_each(&mut decide);
    start.elapsed().as_nanos() as f64 / rounds.max(1) as f64
}

/// Returns one copy of a structure and the resident memory per copy, measured over `count` copies.
fn build_copies<T>(count: usize, build: impl Fn() -> T) -> (T, f64) {
    let before = resident_bytes();
    let structures: Vec<_> = (0..count).map(|_| build()).collect();
    let bytes = resident_bytes().saturating_sub(before) as f64 / count as f64;
    // Leaked, because a later measurement would reuse freed memory and show too small a growth.
    std::mem::forget(structures);
    (build(), bytes)
}

/// Returns the resident set of this process in bytes, from Linux's `/proc`; zero on other systems.
fn resident_bytes() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().nth(1)?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1_024
}
