//! Rules for the caller's side: idempotency keys without a binding, and queries about recent sends.

use std::time::Duration;

use poplar_core::{
    AttemptId, AttemptLimits, AttemptLog, Binder, BinderAnswer, BinderLimits, Binding, ErrorKind,
    Incarnation, InstanceId, Moment, Outcome, RequestId, RunStatus, RunVerdict, SenderId,
    UnboundCall, WindowView, budget_owner,
};

const HOLD: Duration = Duration::from_secs(60);
const REQ: RequestId = RequestId(7);
const LOST: BinderAnswer = BinderAnswer::Unknown(ErrorKind::BindingLost);

const fn at(secs: u64) -> Moment {
    Moment::from_millis(secs * 1_000)
}

fn fresh(instance: &str) -> Binding {
    let incarnation = Incarnation(1);
    Binding { instance: instance.into(), incarnation, window: 3, serial: 0 }
}

fn binder() -> Binder {
    let limits = BinderLimits { keys: 2, departed: 2, retention: HOLD };
    Binder::new(at(0), "own".into(), limits)
}

/// Name of a member that precedes "own" as the binder of `request`.
fn binder_before(request: RequestId) -> InstanceId {
    let own = InstanceId::from("own");
    let names = (0..64).map(|n| InstanceId::from(format!("m{n}").as_str()));
    let before = |member: &InstanceId| budget_owner(request, [&own, member]) == Some(member);
    names.into_iter().find(before).expect("one of the names has a higher weight")
}

#[test]
fn a_binding_parses_from_its_text_form() {
    let binding = fresh("rennes/1");
    assert_eq!(binding.to_string().parse(), Ok(binding));
    for text in ["", "a/1/2", "/1/2/3", "a/1/2/-3", "a/1/2/4294967296"] {
        assert!(text.parse::<Binding>().is_err(), "{text}");
    }
}

#[test]
fn a_key_keeps_its_binding_whichever_entry_node_asks() {
    let mut binder = binder();
    let bound = binder.bind(at(1), REQ, true, fresh("a"));
    assert_eq!(bound, BinderAnswer::Bound(fresh("a")));
    assert_eq!(binder.bind(at(2), REQ, true, fresh("b")), bound);
    assert_eq!(binder.bind(at(59), REQ, false, fresh("b")), bound);
}

#[test]
fn a_binder_that_just_started_or_took_over_binds_no_key_that_may_have_been_sent_before() {
    let mut binder = binder();
    assert_eq!(binder.bind(at(59), REQ, false, fresh("a")), LOST);
    assert!(binder.is_authoritative(at(60), REQ));
    binder.member_left(at(60), &binder_before(REQ));
    assert_eq!(binder.bind(at(119), REQ, false, fresh("a")), LOST);
    assert!(matches!(binder.bind(at(120), REQ, false, fresh("a")), BinderAnswer::Bound(_)));
}

#[test]
fn a_binder_that_saw_too_many_members_leave_is_authoritative_for_no_key() {
    let mut binder = binder();
    for name in ["x", "y", "z"] {
        binder.member_left(at(60), &name.into());
    }
    assert!(!binder.is_authoritative(at(119), REQ));
    assert!(binder.is_authoritative(at(120), REQ));
}

#[test]
fn a_key_is_reported_as_not_run_only_once_no_other_entry_node_can_run_it() {
    let mut binder = binder();
    binder.bind(at(1), REQ, true, fresh("a"));
    let next = Binding { serial: 1, ..fresh("b") };
    let bound = BinderAnswer::Bound(next.clone());
    assert_eq!(binder.bind_next(at(2), REQ, &fresh("a"), fresh("b")), bound);
    let late = binder.close(at(3), REQ, &fresh("a"), ErrorKind::Overload);
    assert_eq!(late, bound, "another entry node sends it under the next binding");
    let closed = BinderAnswer::NotRun(ErrorKind::Overload);
    assert_eq!(binder.close(at(4), REQ, &next, ErrorKind::Overload), closed);
    assert_eq!(binder.bind_next(at(5), REQ, &next, fresh("c")), closed);
    assert_eq!(binder.bind(at(6), REQ, true, fresh("c")), closed, "the key is closed");
}

#[test]
fn a_full_binder_mints_no_binding_for_a_new_key_and_keeps_the_stored_keys() {
    let mut binder = binder();
    binder.bind(at(1), RequestId(1), true, fresh("a"));
    binder.bind(at(1), RequestId(2), true, fresh("a"));
    let refused = binder.bind(at(2), RequestId(3), true, fresh("a"));
    assert_eq!(refused, BinderAnswer::NotRun(ErrorKind::Overload));
    binder.bind_next(at(50), RequestId(1), &fresh("a"), fresh("b"));
    let kept = binder.bind(at(109), RequestId(1), false, fresh("c"));
    assert_eq!(kept, BinderAnswer::Bound(Binding { serial: 1, ..fresh("b") }));
    assert!(binder.len() <= 2);
}

#[test]
fn a_call_to_a_target_without_a_known_window_gets_no_binding() {
    let mut view = WindowView::new(1);
    let call = view.bind(UnboundCall::new(), &"a".into()).unwrap_err();
    view.update(&"a".into(), Incarnation(2), 5);
    view.update(&"a".into(), Incarnation(1), 9);
    let bound = view.bind(call, &"a".into()).unwrap();
    assert_eq!((bound.binding().incarnation, bound.binding().window), (Incarnation(2), 5));
}

const SENDS: AttemptLimits = AttemptLimits { senders: 2, sends: 3, retention: HOLD };
const UNKNOWN: RunStatus<&str> = RunStatus::Unknown(ErrorKind::Connection);
const NOT_ARRIVED: RunStatus<&str> = RunStatus::NotRun(ErrorKind::Connection);

/// Log of incarnation 1, and a sender that queries it.
struct LoggedSender {
    log: AttemptLog<&'static str>,
    sender: SenderId,
}

impl LoggedSender {
    fn new() -> Self {
        let sender = SenderId { instance: "caller".into(), incarnation: Incarnation(1) };
        Self { log: AttemptLog::new(Incarnation(1), SENDS), sender }
    }

    fn begin(&mut self, secs: u64, attempt: u64) -> RunVerdict<&'static str> {
        self.log.begin(at(secs), &self.sender, REQ, AttemptId(attempt))
    }

    fn finish(&mut self, secs: u64, attempt: u64) {
        let done = Outcome::Done("listing");
        self.log.finish(at(secs), &self.sender, AttemptId(attempt), done);
    }

    fn query(&mut self, secs: u64, attempt: u64) -> RunStatus<&'static str> {
        self.log.query(at(secs), &self.sender, REQ, AttemptId(attempt), Incarnation(1))
    }
}

#[test]
fn a_query_over_a_new_connection_distinguishes_running_done_and_not_arrived() {
    let mut logged = LoggedSender::new();
    assert_eq!(logged.begin(0, 1), RunVerdict::Run);
    assert_eq!(logged.query(1, 1), RunStatus::Running);
    logged.finish(2, 1);
    assert_eq!(logged.query(3, 1), RunStatus::Done("listing"));
    assert_eq!(logged.query(3, 2), NOT_ARRIVED);
    assert_eq!(logged.begin(4, 2), RunVerdict::Known(NOT_ARRIVED), "the late copy is refused");
}

#[test]
fn a_forgotten_send_is_neither_run_nor_reported_as_not_run() {
    let mut logged = LoggedSender::new();
    assert_eq!(logged.query(0, 2), NOT_ARRIVED);
    assert_eq!(logged.query(60, 2), UNKNOWN);
    assert_eq!(logged.begin(60, 2), RunVerdict::Known(UNKNOWN));
    assert_eq!(logged.begin(60, 1), RunVerdict::Known(UNKNOWN));
    assert_eq!(logged.begin(60, 3), RunVerdict::Run);
}

#[test]
fn a_query_about_another_incarnation_is_unknown() {
    let mut logged = LoggedSender::new();
    let (sender, attempt) = (logged.sender.clone(), AttemptId(1));
    assert_eq!(logged.log.query(at(0), &sender, REQ, attempt, Incarnation(0)), UNKNOWN);
}

#[test]
fn a_full_log_runs_sends_but_reports_no_unrecorded_send_as_not_run() {
    let mut logged = LoggedSender::new();
    for attempt in 1..=4 {
        assert_eq!(logged.begin(0, attempt), RunVerdict::Run);
    }
    assert_eq!(logged.log.len(), 3);
    assert_eq!(logged.query(1, 4), UNKNOWN);
    for name in ["b", "c"] {
        logged.sender.instance = name.into();
        assert_eq!(logged.begin(1, 1), RunVerdict::Run);
    }
    assert_eq!(logged.query(2, 1), UNKNOWN, "the log had no room for this sender");
    assert_eq!(logged.query(2, 2), UNKNOWN);
}
