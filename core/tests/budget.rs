//! Bound of the retry budget over random call trees with lost messages, the ledger, and the
//! decision to re-send.

use std::collections::HashMap;
use std::time::Duration;

use poplar_core::{
    Budget, Call, CallTerms, ErrorKind, Grant, InstanceId, Ledger, Loan, Moment, NextStep,
    OpenReply, OpenRequest, Outcome, RequestId, RunLease, budget_owner, next_step,
    rendezvous_weight, spread_retry_after,
};

const SEED: u64 = 0x9E37;
const TREES: u64 = 4_000;
const DEADLINE: Duration = Duration::from_secs(2);
const WINDOW: Duration = Duration::from_secs(60);

/// Uniformly distributed random numbers; quickcheck's `Gen` favours extreme values.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(1);
        rendezvous_weight(u128::from(self.0), "random")
    }

    fn below(&mut self, bound: u32) -> u32 {
        (self.next() % u64::from(bound)) as u32
    }
}

/// Random call tree that counts the sends of each request id.
struct Tree {
    random: Random,
    depth: u32,
    /// Percentage of calls that are refused or whose answer is lost.
    faults: u32,
    sends: HashMap<RequestId, u32>,
}

impl Tree {
    fn below(&mut self, bound: u32) -> u32 {
        self.random.below(bound)
    }

    fn fails(&mut self) -> bool {
        self.below(100) < self.faults
    }

    /// The number of calls depends on the request id alone, so that a repeated run makes the same
    /// calls.
    fn children(&self, request: RequestId, depth: u32) -> u32 {
        let widest = if depth < 4 { 3 } else { 1 };
        if depth >= self.depth { 0 } else { 1 + u32::from(request.tiebreak()) % widest }
    }

    fn run(&mut self, request: RequestId, depth: u32, grant: Grant) -> (Outcome<()>, u32) {
        let mut budget = Budget::from_grant(grant);
        let children = self.children(request, depth);
        let parallel = request.tiebreak().is_multiple_of(2);
        let mut pending = Vec::new();
        for ordinal in 0..children {
            let siblings = if parallel { children - ordinal } else { 1 };
            let child = request.child(ordinal);
            let mut call = Call::new();
            let share = budget.share(siblings);
            let Ok(loan) = self.send(&mut call, &mut budget, child, share) else { continue };
            if parallel {
                pending.push((child, call, loan));
            } else {
                self.finish(child, call, loan, &mut budget, depth);
            }
            if self.faults > 0 && self.below(60) == 0 {
                return (Outcome::Unknown { kind: ErrorKind::Connection }, 0);
            }
        }
        for (child, call, loan) in pending {
            self.finish(child, call, loan, &mut budget, depth);
        }
        (Outcome::Done(()), budget.close())
    }

    fn send(
        &mut self,
        call: &mut Call,
        budget: &mut Budget,
        request: RequestId,
        units: u32,
    ) -> Result<Loan, poplar_core::RetriesSpent> {
        let loan = call.send(budget, units)?;
        *self.sends.entry(request).or_default() += 1;
        Ok(loan)
    }

    /// Re-sends a call that was sent once as [`next_step`] decides, until its final outcome.
    fn finish(
        &mut self,
        request: RequestId,
        mut call: Call,
        mut loan: Loan,
        budget: &mut Budget,
        depth: u32,
    ) -> (Outcome<()>, Call) {
        loop {
            let outcome = self.deliver(request, &mut call, loan, budget, depth);
            let terms = CallTerms {
                once: false,
                ran: call.may_have_run(),
                suspect: false,
                elsewhere: true,
                units: budget.units(),
                left: DEADLINE,
            };
            let last = match next_step(outcome, &terms, 1) {
                NextStep::Final { outcome, .. } => outcome,
                NextStep::Resend => {
                    let share = budget.share(1);
                    loan = self
                        .send(&mut call, budget, request, share)
                        .expect("a re-send is decided only if a unit is left");
                    continue;
                }
            };
            return (last, call);
        }
    }

    fn deliver(
        &mut self,
        request: RequestId,
        call: &mut Call,
        loan: Loan,
        budget: &mut Budget,
        depth: u32,
    ) -> Outcome<()> {
        let grant = loan.grant();
        let fault = if self.fails() { self.below(3) } else { 3 };
        let lost = Outcome::Unknown { kind: ErrorKind::Connection };
        match fault {
            0 => {
                let refused =
                    Outcome::NotRun { kind: ErrorKind::Overload, retry_after: Duration::ZERO };
                call.record_answer(budget, loan, grant.units, &refused);
                refused
            }
            1 => {
                call.record_loss(loan);
                lost
            }
            2 => {
                // The run continues and spends its grant, but its answer is too late.
                call.record_loss(loan);
                self.run(request, depth + 1, grant);
                lost
            }
            _ => {
                let (outcome, returned) = self.run(request, depth + 1, grant);
                call.record_answer(budget, loan, returned, &outcome);
                outcome
            }
        }
    }

    /// Runs the request at one entry node.
    fn enter(&mut self, request: RequestId, run: RunLease) -> RunLease {
        let RunLease { number, mut budget, mut call } = run;
        let share = budget.share(1);
        if let Ok(loan) = self.send(&mut call, &mut budget, request, share) {
            call = self.finish(request, call, loan, &mut budget, 0).1;
        }
        RunLease { number, budget, call }
    }

    /// Number of sends beyond the first of each request id.
    fn excess(&self) -> u32 {
        self.sends.values().map(|sends| sends - 1).sum()
    }
}

fn ask(request: RequestId, retries: u32) -> OpenRequest {
    OpenRequest { request, retries, first: false, deadline: DEADLINE }
}

/// Sends `request` up to seven times through different entry nodes. Some entry nodes are lost with
/// their run, and some are frozen and run the request only after all other sends.
fn send_repeatedly(tree: &mut Tree, request: RequestId, retries: u32) {
    let mut now = Moment::from_millis(100_000);
    let mut ledger = Ledger::new(Moment::default(), WINDOW, 4);
    let mut frozen = Vec::new();
    for _ in 0..1 + tree.below(7) {
        if let OpenReply::Run(run) = ledger.open(now, &ask(request, retries)) {
            match tree.below(if tree.faults > 0 { 4 } else { 1 }) {
                0 | 1 => {
                    let run = tree.enter(request, run);
                    ledger.close(now, request, run);
                }
                2 => drop(tree.enter(request, run)),
                _ => frozen.push(run),
            }
        }
        now = now + Duration::from_millis(u64::from(tree.below(3_000)));
        ledger.verify().expect("the ledger is consistent");
    }
    for run in frozen {
        let run = tree.enter(request, run);
        ledger.close(now, request, run);
    }
}

#[test]
fn sends_beyond_the_first_never_exceed_the_bound() {
    let (mut resent, mut reached) = (0, 0);
    for seed in 0..TREES {
        let mut random = Random((SEED + seed) << 32);
        let retries = random.below(25);
        let depth = 1 + random.below(18);
        let faults = [0, 5, 20, 60][seed as usize % 4];
        let mut tree = Tree { random, depth, faults, sends: HashMap::new() };
        send_repeatedly(&mut tree, RequestId(u128::from(seed)), retries);
        let excess = tree.excess();
        assert!(excess <= retries, "seed {seed}: {excess} re-sends, bound {retries}");
        resent += u32::from(excess > 0);
        reached += u32::from(excess > 0 && excess == retries);
    }
    println!("trees={TREES} with_resends={resent} bound_reached={reached}");
    assert!(resent > 1_000 && reached > 100, "too few trees with re-sends to test the bound");
}

#[test]
fn an_answer_cannot_return_more_units_than_were_lent() {
    let (mut budget, mut call) = (Budget::new(5), Call::new());
    let loan = call.send(&mut budget, 2).expect("the first send is free");
    call.record_answer(&mut budget, loan, u32::MAX, &Outcome::Done(()));
    assert_eq!(budget.close(), 5);
}

#[test]
fn an_open_run_blocks_a_second_one_and_leaves_one_unit_if_lost() {
    let mut ledger = Ledger::new(Moment::default(), WINDOW, 4);
    let (now, id) = (Moment::from_millis(100_000), RequestId(7));
    let OpenReply::Run(first) = ledger.open(now, &ask(id, 3)) else { panic!("first send refused") };
    assert_eq!(first.budget.units(), 2);
    assert_eq!(ledger.open(now, &ask(id, 3)), OpenReply::Running);
    let later = now + DEADLINE;
    let OpenReply::Run(second) = ledger.open(later, &ask(id, 3)) else {
        panic!("no unit was reserved")
    };
    assert_eq!((second.budget.units(), second.call.may_have_run()), (1, true));
    ledger.close(later, id, first);
    assert_eq!(
        ledger.open(later, &ask(id, 3)),
        OpenReply::Running,
        "closing an earlier run ended the current one"
    );
    let end = later + DEADLINE;
    assert_eq!(ledger.open(end, &ask(id, 3)), OpenReply::Spent { ran: true });
}

#[test]
fn a_run_without_sends_is_not_charged() {
    let mut ledger = Ledger::new(Moment::default(), WINDOW, 4);
    let (now, id) = (Moment::from_millis(100_000), RequestId(7));
    for _ in 0..9 {
        let OpenReply::Run(run) = ledger.open(now, &ask(id, 2)) else {
            panic!("charged without a send")
        };
        ledger.close(now, id, run);
    }
}

#[test]
fn a_new_owner_grants_unknown_ids_no_retries_for_one_window() {
    let now = Moment::from_millis(100_000);
    let mut ledger = Ledger::new(now, WINDOW, 2);
    let units = |ledger: &mut Ledger, at, ask: &OpenRequest| match ledger.open(at, ask) {
        OpenReply::Run(run) => run.budget.units(),
        other => panic!("{other:?}"),
    };
    assert_eq!(units(&mut ledger, now, &ask(RequestId(1), 3)), 0);
    let marked = OpenRequest { first: true, ..ask(RequestId(2), 3) };
    assert_eq!(units(&mut ledger, now, &marked), 2);
    assert_eq!(ledger.open(now, &ask(RequestId(3), 3)), OpenReply::Full);
    let later = now + WINDOW + DEADLINE;
    assert_eq!(units(&mut ledger, later, &ask(RequestId(3), 3)), 2, "expired ids are forgotten");
    assert_eq!(ledger.len(), 1);
}

#[test]
fn after_a_members_loss_only_the_ids_it_owned_get_no_retries() {
    let start = Moment::from_millis(1);
    let now = start + WINDOW;
    let (own, departed): (InstanceId, InstanceId) = ("own".into(), "gone".into());
    let mut ledger = Ledger::new(start, WINDOW, 1_000);
    ledger.member_left(now, &own, departed.clone());
    for id in (0..200).map(RequestId) {
        let OpenReply::Run(run) = ledger.open(now, &ask(id, 3)) else { panic!("refused") };
        let owned_by_departed = budget_owner(id, [&own, &departed]) == Some(&departed);
        assert_eq!(run.budget.units(), if owned_by_departed { 0 } else { 2 });
    }
}

#[test]
fn the_loss_of_a_member_moves_only_the_ids_it_owned() {
    let members: Vec<InstanceId> = (0..9).map(|n| format!("i{n}").as_str().into()).collect();
    for id in (0..500).map(RequestId) {
        let before = budget_owner(id, &members).unwrap();
        let after = budget_owner(id, &members[1..]).unwrap();
        assert!(before == after || *before == members[0]);
    }
}

#[test]
fn a_call_is_re_sent_only_if_that_is_safe_and_paid_for() {
    let open = CallTerms {
        once: false,
        ran: false,
        suspect: false,
        elsewhere: true,
        units: 1,
        left: DEADLINE,
    };
    let refused =
        Outcome::<()>::NotRun { kind: ErrorKind::Overload, retry_after: Duration::from_secs(1) };
    let lost = Outcome::<()>::Unknown { kind: ErrorKind::Connection };
    let resends = |outcome: &Outcome<()>, terms: CallTerms| {
        matches!(next_step(outcome.clone(), &terms, 9), NextStep::Resend)
    };
    assert!(resends(&refused, open) && resends(&lost, open));
    assert!(resends(&refused, CallTerms { once: true, ..open }));
    assert!(!resends(&lost, CallTerms { once: true, ..open }));
    for closed in [
        CallTerms { suspect: true, ..open },
        CallTerms { elsewhere: false, ..open },
        CallTerms { units: 0, ..open },
        CallTerms { left: Duration::ZERO, ..open },
    ] {
        assert!(!resends(&refused, closed) && !resends(&lost, closed), "{closed:?}");
    }
    let ran = CallTerms { ran: true, units: 0, ..open };
    let NextStep::Final { outcome, retry_after } = next_step(refused, &ran, 9) else { panic!() };
    assert_eq!(
        outcome,
        Outcome::Unknown { kind: ErrorKind::Overload },
        "an earlier send may have run"
    );
    assert!(retry_after >= Some(Duration::from_secs(1)));
}

#[test]
fn retry_times_are_spread_evenly() {
    let base = Duration::from_secs(1);
    let mut random = Random(SEED);
    let mut slots = [0_u32; 10];
    for _ in 0..10_000 {
        let after = spread_retry_after(base, random.next());
        slots[((after - base).as_millis() / 100) as usize] += 1;
    }
    assert!(slots.iter().all(|&n| (800..1_200).contains(&n)), "{slots:?}");
}
