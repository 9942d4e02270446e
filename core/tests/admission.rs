//! Invariants of admission under random load.

use std::collections::BTreeMap;
use std::time::Duration;

use poplar_core::{
    Admission, AdmissionVerdict, Arrival, ErrorKind, Importance, ImportanceScale, InstanceId,
    Level, LevelMap, Moment, Name, Rank, TargetLimits, Ticket,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SLOTS: u32 = 4;

fn scale() -> ImportanceScale {
    ImportanceScale::new([1, 5, 9].map(Importance))
}

fn admission() -> Admission {
    Admission::new(Moment::default(), TargetLimits::derive(SLOTS, 100), scale())
}

fn arrival(ticket: u64, importance: u8, tiebreak: u16) -> Arrival {
    Arrival {
        ticket: Ticket(ticket),
        rank: Rank::at(Importance(importance), tiebreak),
        age: Duration::ZERO,
        left: Duration::from_secs(1),
        min_latency: Duration::from_millis(10),
        begun: false,
    }
}

#[derive(Debug, Clone)]
enum Step {
    Arrive { importance: u8, tiebreak: u16, left: u16 },
    Finish(usize),
    Cancel(usize),
    Wait(u16),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let importance = *g.choose(&[1, 5, 9]).unwrap_or(&1);
        match u8::arbitrary(g) % 8 {
            0..=4 => {
                Self::Arrive { importance, tiebreak: u16::arbitrary(g), left: u16::arbitrary(g) }
            }
            5 => Self::Finish(usize::arbitrary(g)),
            6 => Self::Cancel(usize::arbitrary(g)),
            _ => Self::Wait(u16::arbitrary(g) % 50),
        }
    }
}

/// Calls that wait or run at the admission, and whether they run.
type Live = BTreeMap<Ticket, bool>;

fn arrive(admission: &mut Admission, now: Moment, call: Arrival, live: &mut Live) {
    let lowest = admission.lowest_queued();
    match admission.arrive(now, call) {
        AdmissionVerdict::Admit => {
            live.insert(call.ticket, true);
        }
        AdmissionVerdict::Queue { evicted } => {
            live.insert(call.ticket, false);
            evicted.map(|evicted_call| live.remove(&evicted_call.ticket));
        }
        AdmissionVerdict::Refuse(refusal) if refusal.kind == ErrorKind::Overload => {
            let less_important = lowest.is_some_and(|lowest| lowest < call.rank.importance());
            assert!(!less_important, "{call:?} refused while {lowest:?} waits");
        }
        AdmissionVerdict::Refuse(_) => {}
    }
}

/// Runs the steps. Panics if a call is refused while a less important one waits, or if an invariant
/// is violated.
fn sheds_by_importance(steps: Vec<Step>) -> bool {
    let mut admission = admission();
    let mut now = Moment::default();
    let mut live = Live::new();
    for (ticket, step) in (0..).zip(steps) {
        let release = match step {
            Step::Arrive { importance, tiebreak, left } => {
                let left = Duration::from_millis(left.into());
                let call = Arrival { left, ..arrival(ticket, importance, tiebreak) };
                arrive(&mut admission, now, call, &mut live);
                continue;
            }
            Step::Wait(millis) => {
                now = now + Duration::from_millis(millis.into());
                admission.tick(now)
            }
            Step::Finish(pick) | Step::Cancel(pick) => {
                let Some((&ticket, &runs)) = live.iter().nth(pick % live.len().max(1)) else {
                    continue;
                };
                live.remove(&ticket);
                match runs && matches!(step, Step::Finish(_)) {
                    true => admission.finish(now, ticket, Duration::from_millis(20)),
                    false => admission.cancel(now, ticket),
                }
            }
        };
        live.extend(release.start.iter().map(|ticket| (*ticket, true)));
        for refusal in release.refuse {
            live.remove(&refusal.ticket);
        }
        assert_eq!(admission.verify(), Ok(()));
        let running = live.values().filter(|runs| **runs).count();
        assert_eq!(running, admission.in_flight());
        assert_eq!(live.len() - running, admission.queued());
    }
    true
}

#[test]
fn no_call_is_refused_while_a_less_important_one_waits() {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(400, 4))
        .tests(500)
        .quickcheck(sheds_by_importance as fn(Vec<Step>) -> bool);
}

#[test]
fn a_call_past_its_deadline_never_starts() {
    let mut admission = admission();
    let running = arrival(0, 1, 0);
    assert_eq!(admission.arrive(Moment::default(), running), AdmissionVerdict::Admit);
    admission.arrive(Moment::default(), arrival(1, 9, 0));
    let late = Moment::from_millis(995);
    let release = admission.finish(late, running.ticket, Duration::from_millis(995));
    assert!(release.start.is_empty());
    assert_eq!(release.refuse[0].kind, ErrorKind::Deadline);
}

#[test]
fn a_level_of_a_nested_call_refuses_at_the_entry_until_it_decays() {
    let (book, list) = (Name::new("book"), Name::new("list"));
    let instance = InstanceId::from("listings-1");
    let level = Level::at(Rank::at(Importance(5), 30_000));
    let mut hop = LevelMap::new(scale());
    hop.record(Moment::default(), &list, &instance, level);
    let combined = hop.combined(Moment::default(), Level::OPEN, [&list]);
    let mut entry = LevelMap::new(scale());
    entry.record(Moment::default(), &book, &instance, combined);
    let (low, high) = (Rank::at(Importance(5), 29_999), Rank::at(Importance(5), 30_000));
    assert!(entry.would_refuse(Moment::default(), low, [&book]));
    assert!(!entry.would_refuse(Moment::default(), high, [&book]));
    assert!(entry.would_refuse(Moment::default(), Rank::at(Importance(1), u16::MAX), [&book]));
    assert!(!entry.would_refuse(Moment::from_millis(2_000), Rank::at(Importance(1), 0), [&book]));
}
