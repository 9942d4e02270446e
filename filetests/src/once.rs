//! Sessions of kind `once`: once-only requests between callers and the nodes of targets, over a
//! network that loses, repeats and delays copies of requests.

use std::collections::BTreeMap;
use std::time::Duration;

use poplar_core::{
    Binding, BoundCall, ErrorKind, Incarnation, Moment, NotRunProof, Outcome, Repeatability,
    RequestId, RunLimits, RunStatus, RunTable, RunVerdict, SealedTable, Successor, UnboundCall,
    binding_mode,
};

use crate::{LineError, Session, VIOLATION};

/// Repeat window of the requests in all sessions, for which keys and answers are kept.
const REPEAT_WINDOW: Duration = Duration::from_secs(60);
const LIMITS: RunLimits =
    RunLimits { keys: 16, bytes: 4_096, window: Duration::from_secs(10), retention: REPEAT_WINDOW };
/// Space in bytes that a table reserves for the answer to a running request.
const MAX_ANSWER_BYTES: usize = 64;

type Answer = String;

enum Table {
    Open(RunTable<Answer>),
    Sealed(SealedTable<Answer>),
    Stopped,
}

struct Node {
    incarnation: Incarnation,
    table: Table,
    /// Tables that the node accepted from sealed incarnations.
    successor: Successor<Answer>,
    /// Whether admission refuses every copy that arrives.
    full: bool,
    /// Copies that arrived since the node was frozen; `None` if it is not frozen.
    frozen: Option<Vec<RequestCopy>>,
}

/// Copy of a request in transit.
#[derive(Clone)]
struct RequestCopy {
    request: String,
    binding: Binding,
}

/// State of a request at its caller, and a record of its runs over all nodes.
struct Request {
    id: RequestId,
    /// Node of the calling target and its incarnation; `None` if the caller is no target.
    host: Option<(String, Incarnation)>,
    bound_call: Option<BoundCall>,
    /// Binding of each run.
    runs: Vec<Binding>,
    /// Bindings for which a node answered that the request did not run.
    refused: Vec<Binding>,
    /// Last outcome that was reported to the caller.
    outcome: Option<String>,
    /// Copies that are held back until a step `arrive`.
    delayed: Vec<RequestCopy>,
}

/// Interpreter for once-only requests.
#[derive(Default)]
pub(crate) struct OnceSession {
    nodes: BTreeMap<String, Node>,
    requests: BTreeMap<String, Request>,
    /// Trace lines of the current step.
    lines: Vec<String>,
}

impl Session for OnceSession {
    fn step(&mut self, now: Moment, words: &[&str]) -> Result<Vec<String>, LineError> {
        match words {
            ["start", node] => self.start(now, node)?,
            ["kill", node] => self.kill(node)?,
            ["freeze", node] => self.node(node)?.frozen = Some(Vec::new()),
            ["wake", node] => self.wake(now, node)?,
            ["full", node] => self.node(node)?.full = true,
            ["room", node] => self.node(node)?.full = false,
            ["seal", node] => self.seal(node)?,
            ["handover", node, "to", other] => self.hand_over(now, node, other)?,
            ["log", "down"] => self.trace("no decision below reads or writes the log".to_owned()),
            ["bind", request, "at", node] => self.bind(now, request, node)?,
            ["send", request] => self.send(now, request, None)?,
            ["send", request, "to", node] => self.send(now, request, Some(node))?,
            ["delay", request] => self.delay(request)?,
            ["arrive", request, "at", node] => self.deliver_delayed(now, request, node)?,
            ["give-up", request] => self.report_outcome(request, "unknown (deadline)")?,
            ["finish", request, "at", node, answer] => {
                self.finish(now, request, node, answer, true)?;
            }
            ["finish", request, "at", node, answer, "unheard"] => {
                self.finish(now, request, node, answer, false)?;
            }
            ["call", child, "from", parent, "at", node] => {
                self.start_child_call(child, parent, node, true)?
            }
            ["call", child, "from-repeatable", parent, "at", node] => {
                self.start_child_call(child, parent, node, false)?;
            }
            _ => return Err(LineError::InvalidCommand),
        }
        Ok(std::mem::take(&mut self.lines))
    }

    fn end(&mut self) -> Vec<String> {
        for (name, request) in &self.requests {
            let outcome = request.outcome.as_deref().unwrap_or("nothing");
            let runs = request.runs.len();
            self.lines.push(format!("{name}: {runs} runs, last told: {outcome}"));
            if runs > 1 {
                self.lines.push(format!("{VIOLATION}: {name} ran more than once"));
            }
            if request.runs.iter().any(|run| request.refused.contains(run)) {
                self.lines.push(format!("{VIOLATION}: {name} ran after a not-run answer"));
            }
        }
        std::mem::take(&mut self.lines)
    }
}

impl OnceSession {
    fn trace(&mut self, line: String) {
        self.lines.push(line);
    }

    fn node(&mut self, name: &str) -> Result<&mut Node, LineError> {
        self.nodes.get_mut(name).ok_or(LineError::UnknownName)
    }

    fn request(&mut self, name: &str) -> &mut Request {
        let id = RequestId(self.requests.len() as u128 + 1);
        let new_request = || Request {
            id,
            host: None,
            bound_call: None,
            runs: Vec::new(),
            refused: Vec::new(),
            outcome: None,
            delayed: Vec::new(),
        };
        self.requests.entry(name.to_owned()).or_insert_with(new_request)
    }

    fn start(&mut self, now: Moment, name: &str) -> Result<(), LineError> {
        let last = self.nodes.get(name).map_or(0, |node| node.incarnation.0);
        let incarnation = Incarnation(last + 1);
        let table = Table::Open(RunTable::new(now, name.into(), incarnation, LIMITS));
        let successor = Successor::new(REPEAT_WINDOW, 64);
        let node = Node { incarnation, table, successor, full: false, frozen: None };
        self.nodes.insert(name.to_owned(), node);
        self.trace(format!("{name} is up as incarnation {incarnation}, with an empty table"));
        Ok(())
    }

    fn kill(&mut self, name: &str) -> Result<(), LineError> {
        let node = self.node(name)?;
        node.table = Table::Stopped;
        node.successor = Successor::new(REPEAT_WINDOW, 64);
        self.trace(format!("{name} is gone with all that it knew"));
        Ok(())
    }

    fn wake(&mut self, now: Moment, name: &str) -> Result<(), LineError> {
        let copies = self.node(name)?.frozen.take().ok_or(LineError::InvalidState)?;
        for copy in copies {
            self.deliver(now, name, &copy)?;
        }
        Ok(())
    }

    fn seal(&mut self, name: &str) -> Result<(), LineError> {
        let node = self.node(name)?;
        match std::mem::replace(&mut node.table, Table::Stopped) {
            Table::Open(table) => node.table = Table::Sealed(table.seal()),
            _ => return Err(LineError::InvalidState),
        }
        self.trace(format!("{name} admits nothing more"));
        Ok(())
    }

    fn hand_over(&mut self, now: Moment, name: &str, other: &str) -> Result<(), LineError> {
        let node = self.node(name)?;
        let Table::Sealed(table) = std::mem::replace(&mut node.table, Table::Stopped) else {
            return Err(LineError::InvalidState);
        };
        let running = table.running();
        let handover = table.handover();
        let (recorded, incarnation) = (handover.entries.len(), handover.incarnation);
        self.node(other)?.successor.accept(now, handover).map_err(|_| LineError::InvalidState)?;
        let text =
            format!("{other} answers for {name}/{incarnation}: {recorded} requests on record");
        self.trace(format!("{text}, {running} still running"));
        Ok(())
    }

    /// Sends the request without a binding; the node returns one with a not-run answer.
    fn bind(&mut self, now: Moment, name: &str, at: &str) -> Result<(), LineError> {
        let Table::Open(table) = &mut self.node(at)?.table else {
            return Err(LineError::InvalidState);
        };
        let binding = table.mint(now, None);
        self.trace(format!(
            "{at} -> caller of {name}: not run (binding-needed), binding {binding}"
        ));
        let request = self.request(name);
        if request.bound_call.is_some() {
            return Err(LineError::InvalidState);
        }
        request.bound_call = Some(UnboundCall::new().adopt(binding));
        Ok(())
    }

    fn request_copy(&mut self, name: &str) -> Result<RequestCopy, LineError> {
        let request = self.requests.get(name).ok_or(LineError::UnknownName)?;
        let binding = request.bound_call.as_ref().ok_or(LineError::InvalidState)?.binding().clone();
        Ok(RequestCopy { request: name.to_owned(), binding })
    }

    fn send(&mut self, now: Moment, name: &str, to: Option<&str>) -> Result<(), LineError> {
        let copy = self.request_copy(name)?;
        let to = to.map_or_else(|| copy.binding.instance.to_string(), str::to_owned);
        self.deliver(now, &to, &copy)
    }

    fn delay(&mut self, name: &str) -> Result<(), LineError> {
        let copy = self.request_copy(name)?;
        self.trace(format!("a copy of {name} under {} is under way", copy.binding));
        self.request(name).delayed.push(copy);
        Ok(())
    }

    fn deliver_delayed(&mut self, now: Moment, name: &str, at: &str) -> Result<(), LineError> {
        let copy = self.request(name).delayed.pop().ok_or(LineError::InvalidState)?;
        self.deliver(now, at, &copy)
    }

    fn deliver(&mut self, now: Moment, at: &str, copy: &RequestCopy) -> Result<(), LineError> {
        let id = self.request(&copy.request).id;
        let node = self.node(at)?;
        if let Some(copies) = &mut node.frozen {
            copies.push(copy.clone());
            self.trace(format!("{at} is frozen: the copy of {} waits", copy.request));
            return Ok(());
        }
        match node.decide(now, at, id, copy) {
            None => {
                self.trace(format!("no connection to {at}: the copy of {} is lost", copy.request));
                Ok(())
            }
            Some(RunVerdict::Run) => {
                let (name, binding) = (&copy.request, &copy.binding);
                self.trace(format!("{at} admits {name} under {binding}: its target runs it"));
                self.request(name).runs.push(binding.clone());
                Ok(())
            }
            Some(RunVerdict::Known(status)) => self.reply(now, at, copy, status),
        }
    }

    fn reply(
        &mut self,
        now: Moment,
        at: &str,
        copy: &RequestCopy,
        status: RunStatus<Answer>,
    ) -> Result<(), LineError> {
        let (name, binding) = (&copy.request, &copy.binding);
        let text = describe(&status);
        self.trace(format!("{at} -> caller of {name}, copy under {binding}: {text}"));
        if matches!(status, RunStatus::NotRun(_)) {
            self.request(name).refused.push(binding.clone());
        }
        if !self.expects_reply(name, binding) {
            self.trace(format!("nobody waits for that word on {name}"));
            return Ok(());
        }
        if matches!(status, RunStatus::NotRun(_)) {
            self.rebind(now, at, copy)?;
        }
        if !matches!(status, RunStatus::Running) {
            self.report_outcome(name, &text)?;
        }
        Ok(())
    }

    /// Whether the caller exists and `binding` is the current binding of its call.
    fn expects_reply(&self, name: &str, binding: &Binding) -> bool {
        let bound = self.requests.get(name).and_then(|request| request.bound_call.as_ref());
        self.caller_is_up(name) && bound.is_some_and(|bound| bound.binding() == binding)
    }

    /// Whether the caller still exists: a calling run ends with the incarnation of its node.
    fn caller_is_up(&self, name: &str) -> bool {
        let host = self.requests.get(name).and_then(|request| request.host.as_ref());
        host.is_none_or(|(host, incarnation)| {
            let up = |node: &Node| !matches!(node.table, Table::Stopped);
            let node = self.nodes.get(host);
            node.is_some_and(|node| node.incarnation == *incarnation && up(node))
        })
    }

    /// Releases the binding of the caller after a not-run answer and adopts the one that came with
    /// the answer. A node whose table is sealed or stopped sends none.
    fn rebind(&mut self, now: Moment, at: &str, copy: &RequestCopy) -> Result<(), LineError> {
        let next = match &mut self.node(at)?.table {
            Table::Open(table) => Some(table.mint(now, Some(&copy.binding))),
            _ => None,
        };
        let request = self.request(&copy.request);
        let bound = request.bound_call.take().ok_or(LineError::InvalidState)?;
        let proof = NotRunProof::Confirmed(copy.binding.clone());
        let unbound = bound.release(&proof).map_err(|_| LineError::InvalidState)?;
        if let Some(next) = next {
            request.bound_call = Some(unbound.adopt(next.clone()));
            self.trace(format!("the caller may send {} again under {next}", copy.request));
        }
        Ok(())
    }

    fn report_outcome(&mut self, name: &str, outcome: &str) -> Result<(), LineError> {
        let request = self.requests.get_mut(name).ok_or(LineError::UnknownName)?;
        request.outcome = Some(outcome.to_owned());
        self.trace(format!("caller of {name} is told: {outcome}"));
        Ok(())
    }

    /// Records the target's answer at the node, which forwards it to the caller unless the answer
    /// is lost (`delivered` is false) or the caller no longer exists.
    fn finish(
        &mut self,
        now: Moment,
        name: &str,
        at: &str,
        answer: &str,
        delivered: bool,
    ) -> Result<(), LineError> {
        let id = self.requests.get(name).ok_or(LineError::UnknownName)?.id;
        let done = Outcome::Done(answer.to_owned());
        let recorded = match &mut self.node(at)?.table {
            Table::Open(table) => table.finish(now, id, done, answer.len()),
            Table::Sealed(table) => table.finish(id, done, answer.len()),
            Table::Stopped => false,
        };
        if !recorded {
            self.trace(format!("the target's answer to {name} finds no node that waits for it"));
            return Ok(());
        }
        self.trace(format!("{at} keeps the answer to {name}"));
        if delivered && self.caller_is_up(name) {
            return self.report_outcome(name, &describe(&RunStatus::Done(answer.to_owned())));
        }
        self.trace("the answer reaches nobody".to_owned());
        Ok(())
    }

    /// Starts a once-only call without a key from a run of `parent` at the node `at`.
    ///
    /// If the parent is repeatable, the call is refused: the parent may run again on another
    /// target, whose node would mint a second binding for the same call.
    fn start_child_call(
        &mut self,
        child: &str,
        parent: &str,
        at: &str,
        once: bool,
    ) -> Result<(), LineError> {
        let parent_repeatability = Repeatability::from_once(once);
        if let Err(kind) = binding_mode(parent_repeatability, false, false) {
            self.request(child);
            self.trace(format!("{at} refuses {child}, called by {parent}"));
            return self.report_outcome(child, &format!("not run ({})", kind.label()));
        }
        let incarnation = self.node(at)?.incarnation;
        self.request(child).host = Some((at.to_owned(), incarnation));
        self.trace(format!("the run of {parent} at {at} calls {child}"));
        Ok(())
    }
}

impl Node {
    /// Decides on a copy that arrives at this node, whose instance is `name`. Returns `None` if the
    /// node is stopped, so that no connection to it is possible.
    fn decide(
        &mut self,
        now: Moment,
        name: &str,
        id: RequestId,
        copy: &RequestCopy,
    ) -> Option<RunVerdict<Answer>> {
        let binding = &copy.binding;
        if matches!(self.table, Table::Stopped) {
            return None;
        }
        if binding.instance.0.as_str() != name {
            return Some(RunVerdict::Known(self.successor.answer(now, id, binding)));
        }
        Some(match &mut self.table {
            Table::Open(table) if self.full => {
                RunVerdict::Known(table.refuse(now, id, binding, ErrorKind::Overload))
            }
            Table::Open(table) => table.admit(now, id, binding, MAX_ANSWER_BYTES),
            Table::Sealed(table) => RunVerdict::Known(table.answer(id, binding)),
            Table::Stopped => return None,
        })
    }
}

fn describe(status: &RunStatus<Answer>) -> String {
    match status {
        RunStatus::Running => "running, wait".to_owned(),
        RunStatus::Done(answer) => format!("done ({answer})"),
        RunStatus::NotRun(kind) => format!("not run ({})", kind.label()),
        RunStatus::Unknown(kind) => format!("unknown ({})", kind.label()),
    }
}
