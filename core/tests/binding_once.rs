//! Failures under which a once-only request must still run at most once, and must not run after its
//! caller received "not run".

use std::time::Duration;

use poplar_core::{
    Binding, BindingMode, BoundCall, CallTerms, ErrorKind, Incarnation, Moment, NextStep,
    NotRunProof, Outcome, Repeatability, RequestId, Resend, RunLimits, RunStatus, RunTable,
    RunVerdict, Successor, UnboundCall, binding_mode, bound_resend, next_step,
};

const HOLD: Duration = Duration::from_secs(60);
const WINDOW: Duration = Duration::from_secs(10);
const LIMITS: RunLimits = RunLimits { keys: 64, bytes: 1_000, window: WINDOW, retention: HOLD };
const REQ: RequestId = RequestId(7);
const MAX_ANSWER_BYTES: usize = 10;
const LOST: RunStatus<&str> = RunStatus::Unknown(ErrorKind::BindingLost);

type Table = RunTable<&'static str>;

const fn at(secs: u64) -> Moment {
    Moment::from_millis(secs * 1_000)
}

fn table(instance: &str, incarnation: u64) -> Table {
    RunTable::new(at(0), instance.into(), Incarnation(incarnation), LIMITS)
}

fn bind(instance: &str, incarnation: u64) -> Binding {
    let incarnation = Incarnation(incarnation);
    Binding { instance: instance.into(), incarnation, window: 0, serial: 0 }
}

fn admit(table: &mut Table, secs: u64, binding: &Binding) -> RunVerdict<&'static str> {
    let verdict = table.admit(at(secs), REQ, binding, MAX_ANSWER_BYTES);
    table.verify().expect("the table is consistent");
    verdict
}

fn finish(table: &mut Table, secs: u64, outcome: Outcome<&'static str>) {
    assert!(table.finish(at(secs), REQ, outcome, 4));
    table.verify().expect("the table is consistent");
}

#[test]
fn a_lost_answer_is_returned_again_without_a_second_run() {
    let (mut a, b) = (table("a", 1), bind("a", 1));
    assert_eq!(admit(&mut a, 0, &b), RunVerdict::Run);
    assert_eq!(admit(&mut a, 1, &b), RunVerdict::Known(RunStatus::Running));
    finish(&mut a, 2, Outcome::Done("paid"));
    assert_eq!(admit(&mut a, 59, &b), RunVerdict::Known(RunStatus::Done("paid")));
}

#[test]
fn a_node_killed_before_during_or_after_the_run_leaves_the_outcome_unknown_forever() {
    for step in ["before", "during", "after"] {
        let (mut first, b) = (table("a", 1), bind("a", 1));
        if step != "before" {
            assert_eq!(admit(&mut first, 0, &b), RunVerdict::Run);
        }
        if step == "after" {
            finish(&mut first, 1, Outcome::Done("paid"));
        }
        drop(first);
        let mut second = table("a", 2);
        assert_eq!(admit(&mut second, 2, &b), RunVerdict::Known(LOST), "killed {step}");
        assert_eq!(second.refuse(at(3), REQ, &b, ErrorKind::Overload), LOST, "killed {step}");
    }
}

#[test]
fn a_node_that_resumes_after_a_long_pause_runs_nothing_from_a_closed_or_dropped_window() {
    let (mut a, b) = (table("a", 1), bind("a", 1));
    assert_eq!(a.window(at(1)), 0);
    // The process is paused until here. The window it knew ends when it resumes, and its keys are
    // then kept for the usual time.
    assert_eq!(a.window(at(5_000)), 1);
    assert_eq!(a.window(at(5_010)), 2);
    let not_run = RunVerdict::Known(RunStatus::NotRun(ErrorKind::BindingNeeded));
    assert_eq!(admit(&mut a, 5_011, &b), not_run);
    assert_eq!(admit(&mut a, 5_061, &b), RunVerdict::Known(LOST));
}

#[test]
fn a_run_longer_than_the_repeat_window_keeps_its_key() {
    let (mut a, b) = (table("a", 1), bind("a", 1));
    assert_eq!(admit(&mut a, 0, &b), RunVerdict::Run);
    for secs in (10..500).step_by(10) {
        assert_eq!(admit(&mut a, secs, &b), RunVerdict::Known(RunStatus::Running));
    }
    finish(&mut a, 500, Outcome::Done("paid"));
    assert_ne!(admit(&mut a, 501, &b), RunVerdict::Run);
}

#[test]
fn a_resend_to_another_node_is_not_run_there() {
    let (mut a, mut other, b) = (table("a", 1), table("b", 1), bind("a", 1));
    assert_eq!(admit(&mut a, 0, &b), RunVerdict::Run);
    assert_eq!(admit(&mut other, 1, &b), RunVerdict::Known(LOST));
}

#[test]
fn a_late_first_copy_after_not_run_is_refused_and_the_next_binding_runs() {
    let (mut a, b) = (table("a", 1), bind("a", 1));
    let refused = a.refuse(at(0), REQ, &b, ErrorKind::Overload);
    assert_eq!(refused, RunStatus::NotRun(ErrorKind::Overload));
    assert_eq!(admit(&mut a, 1, &b), RunVerdict::Known(refused.clone()));
    let next = a.mint(at(2), Some(&b));
    assert_eq!(admit(&mut a, 3, &next), RunVerdict::Run);
    assert_eq!(admit(&mut a, 4, &b), RunVerdict::Known(RunStatus::Running));
    assert_eq!(a.refuse(at(5), REQ, &next, ErrorKind::Overload), RunStatus::Running);
}

#[test]
fn a_full_table_refuses_new_requests_finally_and_removes_no_running_request() {
    let limits = RunLimits { keys: 3, bytes: 25, ..LIMITS };
    let mut a: Table = RunTable::new(at(0), "a".into(), Incarnation(1), limits);
    let b = bind("a", 1);
    let (one, two, three, four) = (RequestId(1), RequestId(2), RequestId(3), RequestId(4));
    assert_eq!(a.admit(at(0), one, &b, 10), RunVerdict::Run);
    assert_eq!(a.admit(at(0), two, &b, 10), RunVerdict::Run);
    let full = RunVerdict::Known(RunStatus::NotRun(ErrorKind::Overload));
    assert_eq!(a.admit(at(0), three, &b, 10), full, "no space for its answer");
    assert_eq!(a.admit(at(0), four, &b, 0), full, "no space for its key");
    a.verify().expect("the table is consistent");
    assert_eq!(a.len(), 2, "the closed window needs no tombstone");
    for late in [three, four] {
        let late = a.admit(at(1), late, &b, 0);
        assert_eq!(late, RunVerdict::Known(RunStatus::NotRun(ErrorKind::BindingNeeded)));
    }
    assert_eq!(a.admit(at(1), one, &b, 10), RunVerdict::Known(RunStatus::Running));
    let next = a.mint(at(1), Some(&b));
    assert_eq!(a.admit(at(1), four, &next, 0), RunVerdict::Run);
    a.verify().expect("the table is consistent");
}

#[test]
fn a_resend_during_drain_and_after_handover_gets_the_status_in_the_sealed_table() {
    let (mut a, b) = (table("a", 1), bind("a", 1));
    let (done, cut, absent) = (RequestId(1), RequestId(2), RequestId(3));
    assert_eq!(a.admit(at(0), done, &b, MAX_ANSWER_BYTES), RunVerdict::Run);
    assert_eq!(a.admit(at(0), cut, &b, MAX_ANSWER_BYTES), RunVerdict::Run);
    let mut sealed = a.seal();
    assert_eq!(sealed.answer(done, &b), RunStatus::Running);
    assert_eq!(sealed.answer(absent, &b), RunStatus::NotRun(ErrorKind::Draining));
    assert!(sealed.finish(done, Outcome::Done("paid"), 4));
    let whole = sealed.handover();
    let mut part = whole.clone();
    part.entries.pop();

    let mut next = Successor::new(HOLD, 64);
    assert!(next.accept(at(0), part).is_err());
    assert_eq!(next.answer(at(0), absent, &b), LOST);
    next.accept(at(0), whole).unwrap();
    assert_eq!(next.answer(at(1), done, &b), RunStatus::Done("paid"));
    assert_eq!(next.answer(at(1), cut, &b), LOST);
    assert_eq!(next.answer(at(1), absent, &b), RunStatus::NotRun(ErrorKind::Draining));
    assert_eq!(
        next.answer(at(60), absent, &b),
        LOST,
        "the table is dropped after the retention time"
    );
}

#[test]
fn a_run_under_a_later_binding_is_found_by_its_request_id() {
    let (mut a, old) = (table("a", 1), bind("gone", 1));
    assert_eq!(a.run_status(REQ), None);
    let next = a.mint(at(0), Some(&old));
    a.refuse(at(0), RequestId(8), &next, ErrorKind::Overload);
    assert_eq!(admit(&mut a, 1, &next), RunVerdict::Run);
    assert_eq!(admit(&mut a, 2, &old), RunVerdict::Known(LOST));
    assert_eq!((a.run_status(REQ), a.run_status(RequestId(8))), (Some(RunStatus::Running), None));
    finish(&mut a, 3, Outcome::Done("paid"));
    assert_eq!(a.seal().run_status(REQ), Some(RunStatus::Done("paid")));
}

#[test]
fn a_call_is_released_only_by_a_proof_about_its_current_binding() {
    let call = UnboundCall::new().bind("a".into(), Incarnation(1), 0);
    let other = NotRunProof::Confirmed(bind("b", 1));
    let call: BoundCall = call.release(&other).unwrap_err();
    let current = NotRunProof::Confirmed(call.binding().clone());
    let next = call.release(&current).unwrap().bind("a".into(), Incarnation(1), 0);
    assert_eq!(next.binding().serial, 1);
}

#[test]
fn a_parent_rerun_elsewhere_cannot_make_its_once_only_child_run_twice() {
    // The child of a repeatable parent is refused before it is sent, unless the target gave it a
    // key.
    let refused = binding_mode(Repeatability::Repeatable, false, false);
    assert_eq!(refused, Err(ErrorKind::OnceInRepeatable));
    assert_eq!(binding_mode(Repeatability::Repeatable, false, true), Ok(BindingMode::Keyed));
    // A once-only parent is never re-run; its own outcome stays unknown.
    assert_eq!(binding_mode(Repeatability::Once, false, false), Ok(BindingMode::Bound));
    let lost = RunStatus::<()>::Unknown(ErrorKind::BindingLost);
    assert_eq!(bound_resend(&lost), Resend::Never);
    // Neither is a repeatable run between the two, which would make the child call again.
    assert_eq!(Repeatability::Once.for_children(true), Repeatability::Once);
    assert_eq!(Repeatability::Repeatable.for_children(false), Repeatability::Once);
    let terms = |once| {
        let left = Duration::from_secs(1);
        CallTerms { once, ran: false, suspect: false, elsewhere: true, units: 1, left }
    };
    let unknown = || Outcome::<()>::Unknown { kind: ErrorKind::Connection };
    assert!(matches!(next_step(unknown(), &terms(true), 0), NextStep::Final { .. }));
    assert_eq!(next_step(unknown(), &terms(false), 0), NextStep::Resend);
}

#[test]
fn a_bound_call_is_resent_only_as_its_binding_allows() {
    let lost = RunStatus::<()>::Unknown(ErrorKind::Connection);
    assert_eq!(bound_resend(&lost), Resend::SameBinding);
    let not_run = RunStatus::<()>::NotRun(ErrorKind::Overload);
    assert_eq!(bound_resend(&not_run), Resend::NextBinding);
}

/// Requests of one random sequence of steps, each with all bindings that were minted for it.
struct Session {
    now: u64,
    table: Table,
    bindings: Vec<Vec<Binding>>,
    refused: Vec<(usize, Binding)>,
    runs: Vec<u32>,
}

impl Session {
    fn new() -> Self {
        let limits = RunLimits { keys: 4, bytes: 30, window: WINDOW, retention: HOLD };
        let table = RunTable::new(at(0), "a".into(), Incarnation(1), limits);
        let bindings = (0..6).map(|_| Vec::new()).collect();
        Self { now: 0, table, bindings, refused: Vec::new(), runs: vec![0; 6] }
    }

    /// Performs one step, such as the arrival of a copy with any binding that the request ever had.
    /// A new binding is minted only after "not run".
    fn step(&mut self, op: u8, key: usize, arg: u8) -> Result<(), String> {
        let (now, req) = (at(self.now), RequestId(key as u128));
        if self.bindings[key].is_empty() {
            self.bindings[key].push(self.table.mint(now, None));
        }
        let pick = usize::from(arg) % self.bindings[key].len();
        let copy = self.bindings[key][pick].clone();
        let status = match op {
            0 | 1 => match self.table.admit(now, req, &copy, 10) {
                RunVerdict::Run => return self.run(key, copy),
                RunVerdict::Known(status) => status,
            },
            2 => self.table.refuse(now, req, &copy, ErrorKind::Overload),
            3 => {
                self.table.finish(now, req, Outcome::Done("paid"), 4);
                return self.table.verify();
            }
            _ => {
                self.now += u64::from(arg % 16);
                return self.table.verify();
            }
        };
        if matches!(status, RunStatus::NotRun(_)) {
            if self.bindings[key].last() == Some(&copy) {
                let next = self.table.mint(now, Some(&copy));
                self.bindings[key].push(next);
            }
            self.refused.push((key, copy));
        }
        self.table.verify()
    }

    fn run(&mut self, key: usize, copy: Binding) -> Result<(), String> {
        self.runs[key] += 1;
        if self.runs[key] > 1 {
            return Err(format!("request {key} ran twice, at last under {copy}"));
        }
        if self.refused.contains(&(key, copy)) {
            return Err(format!("request {key} ran after it was reported as not run"));
        }
        self.table.verify()
    }
}

#[test]
fn no_order_of_copies_refusals_and_finishes_runs_a_request_twice_or_after_not_run() {
    fn property(steps: Vec<(u8, u8, u8)>) -> Result<(), String> {
        let mut session = Session::new();
        steps
            .into_iter()
            .try_for_each(|(op, key, arg)| session.step(op % 6, usize::from(key) % 6, arg))
    }
    let rng = quickcheck::Gen::from_size_and_seed(100, 20_251);
    quickcheck::QuickCheck::new().rng(rng).tests(3_000).quickcheck(property as fn(_) -> _);
}
