//! Replays random runs of the at-most-once model through the functions of `poplar-core`, and
//! compares after every step the decision of each node about each copy that could arrive there.

use std::time::Duration;

use poplar_core::{
    Binding, BindingMode, BoundCall, ErrorKind, Incarnation, InstanceId, Moment, NotRunProof,
    Outcome, Repeatability, RequestId, RunLimits, RunStatus, RunTable, RunVerdict, SealedTable,
    Successor, UnboundCall, binding_mode,
};
use poplar_model::Model;
use poplar_model::once::{Event, Key, NODES, Once, Parent, Party, Reply, SERIALS, State, Verdict};

const WINDOW: Duration = Duration::from_secs(10);
/// Two windows, because the model drops a window two windows after it ended.
const RETENTION: Duration = Duration::from_secs(20);
const LIMITS: RunLimits = RunLimits { keys: 8, bytes: 8, window: WINDOW, retention: RETENTION };

/// Table of a node, by the stage of the node's life cycle.
enum Table {
    Open(RunTable<u8>),
    Sealed(SealedTable<u8>),
    /// The table was handed over, so that only the successor replies to copies under its bindings.
    HandedOver,
}

struct Node {
    name: InstanceId,
    incarnation: Incarnation,
    now: Moment,
    table: Table,
    inherited: Successor<u8>,
}

/// Counterpart of the model's state, built from types of `poplar-core`.
struct RealSystem {
    nodes: [Node; NODES],
    calls: [Option<BoundCall>; 3],
}

fn request(key: Key) -> RequestId {
    RequestId(key as u128)
}

impl Node {
    fn new(name: &str, incarnation: u64, now: Moment) -> Self {
        let (name, incarnation) = (InstanceId::from(name), Incarnation(incarnation));
        let table = Table::Open(RunTable::new(now, name.clone(), incarnation, LIMITS));
        Self { name, incarnation, now, table, inherited: Successor::new(Duration::MAX, 8) }
    }

    fn verdict(&mut self, key: Key, binding: &Binding) -> Option<Verdict> {
        let request = request(key);
        let status = match &mut self.table {
            _ if binding.instance != self.name => {
                Some(self.inherited.answer(self.now, request, binding))
            }
            Table::Open(table) => table.look_up(self.now, request, binding),
            Table::Sealed(table) => Some(table.answer(request, binding)),
            Table::HandedOver => return None,
        };
        Some(match status {
            None => Verdict::Admit,
            Some(RunStatus::Running) => Verdict::Wait,
            Some(RunStatus::Done(_)) => Verdict::Reply(Reply::Done),
            Some(RunStatus::NotRun(_)) => Verdict::Reply(Reply::NotRun),
            Some(RunStatus::Unknown(_)) => Verdict::Reply(Reply::Unknown),
        })
    }

    fn finish(&mut self, key: Key, outcome: Outcome<u8>) {
        match &mut self.table {
            Table::Open(table) => assert!(table.finish(self.now, request(key), outcome, 1)),
            Table::Sealed(table) => assert!(table.finish(request(key), outcome, 1)),
            Table::HandedOver => {}
        }
    }

    fn open(&mut self) -> &mut RunTable<u8> {
        match &mut self.table {
            Table::Open(table) => table,
            _ => panic!("the model acts on a table that is sealed"),
        }
    }
}

impl RealSystem {
    fn new() -> Self {
        let nodes = [Node::new("n0", 0, Moment::default()), Node::new("n1", 0, Moment::default())];
        Self { nodes, calls: [const { None }; 3] }
    }

    fn mint(&mut self, party: Party, node: usize) {
        let slot = &mut self.calls[party.index()];
        let call = match slot.take() {
            None => UnboundCall::new(),
            Some(bound) => {
                let proof = NotRunProof::Confirmed(bound.binding().clone());
                bound.release(&proof).expect("the proof is for this binding")
            }
        };
        let node = &mut self.nodes[node];
        // A sealed table mints no bindings, but the model still binds to the node's last window.
        // The window is a placeholder here: `binding` takes the real one from the model.
        let window = match &mut node.table {
            Table::Open(table) => table.window(node.now),
            _ => 0,
        };
        *slot = Some(call.bind(node.name.clone(), node.incarnation, window));
    }

    /// Binding of a party by its serial, as the model minted it.
    fn binding(&self, state: &State, party: Party, serial: usize) -> Option<Binding> {
        let minted = state.call(party).bindings[serial]?;
        let binding = Binding {
            instance: self.nodes[minted.node].name.clone(),
            incarnation: Incarnation(minted.incarnation.into()),
            window: minted.window.into(),
            serial: serial as u32,
        };
        Some(binding)
    }

    fn arrive(&mut self, state: &State, party: Party, serial: usize, node: usize, refuse: bool) {
        let binding = self.binding(state, party, serial).expect("the model has no such binding");
        let (now, request) = (self.nodes[node].now, request(party.key()));
        if refuse {
            let status =
                self.nodes[node].open().refuse(now, request, &binding, ErrorKind::Overload);
            assert_eq!(status, RunStatus::NotRun(ErrorKind::Overload));
        } else {
            let verdict = self.nodes[node].open().admit(now, request, &binding, 1);
            assert_eq!(verdict, RunVerdict::Run);
        }
    }

    fn tick(&mut self, node: usize) {
        let node = &mut self.nodes[node];
        node.now = node.now + WINDOW;
        let now = node.now;
        node.open().window(now);
    }

    fn seal(&mut self, node: usize) {
        let table = std::mem::replace(&mut self.nodes[node].table, Table::HandedOver);
        let Table::Open(table) = table else { panic!("sealed twice") };
        self.nodes[node].table = Table::Sealed(table.seal());
    }

    /// Hands over a sealed table to the other node; false if the node has none.
    fn hand_over(&mut self, node: usize) -> bool {
        let table = std::mem::replace(&mut self.nodes[node].table, Table::HandedOver);
        let Table::Sealed(table) = table else { return false };
        let successor = &mut self.nodes[1 - node];
        successor
            .inherited
            .accept(successor.now, table.handover())
            .expect("the successor has no room for the table");
        true
    }

    /// Applies the model's event; false if the walk has to end here.
    fn apply(&mut self, state: &State, event: Event, verdict: Option<Verdict>) -> bool {
        let not_run = Outcome::NotRun { kind: ErrorKind::Overload, retry_after: Duration::ZERO };
        let unknown = Outcome::Unknown { kind: ErrorKind::Connection };
        match event {
            Event::Mint(party, node) => self.mint(party, node),
            Event::Arrive(party, serial, node) if verdict == Some(Verdict::Admit) => {
                self.arrive(state, party, serial, node, false);
            }
            Event::Refuse(party, serial, node) => self.arrive(state, party, serial, node, true),
            Event::Drop(node, key) => self.nodes[node].finish(key, not_run),
            Event::Finish(node, key) => self.nodes[node].finish(key, Outcome::Done(1)),
            Event::FailTarget(node, key) => self.nodes[node].finish(key, unknown),
            Event::Tick(node) => self.tick(node),
            Event::Seal(node) => self.seal(node),
            Event::Handover(node) => return self.hand_over(node),
            // This table has room for every key; the test `binding_once` covers a full table.
            Event::ArriveFull(..) => return false,
            Event::Kill(node) => {
                let Node { name, incarnation, now, .. } = &self.nodes[node];
                let (name, now) = (name.0.clone(), *now);
                self.nodes[node] = Node::new(name.as_str(), incarnation.0 + 1, now);
            }
            _ => {}
        }
        true
    }

    /// Compares the decisions of all nodes about all copies that may arrive; returns their number.
    fn compare(&mut self, model: &Once, state: &State, trace: &[String]) -> usize {
        let mut compared = 0;
        for party in Party::ALL {
            for (serial, node) in (0..SERIALS).flat_map(|s| (0..NODES).map(move |n| (s, n))) {
                let Some(binding) = self.binding(state, party, serial) else { continue };
                let Some(real) = self.nodes[node].verdict(party.key(), &binding) else { continue };
                let expected = model.verdict(state, party, serial, node);
                let context = format!("{party}, binding {serial}, node {node}: {trace:#?}");
                assert_eq!(Some(real), expected, "{context}");
                compared += 1;
            }
        }
        compared
    }
}

/// Generator of pseudo-random numbers (xorshift64), for reproducible runs.
struct Xorshift64(u64);

impl Xorshift64 {
    fn below(&mut self, limit: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % limit as u64) as usize
    }
}

/// Replays one random run of the model; returns the number of comparisons.
fn walk(model: &Once, random: &mut Xorshift64) -> usize {
    let (mut state, mut world) = (model.initial(), RealSystem::new());
    let (mut trace, mut compared) = (Vec::new(), 0);
    for _ in 0..30 {
        let mut steps = model.steps(&state);
        if steps.is_empty() {
            break;
        }
        let step = steps.swap_remove(random.below(steps.len()));
        let verdict = match step.event {
            Event::Arrive(party, serial, node) => model.verdict(&state, party, serial, node),
            _ => None,
        };
        trace.push(step.event.to_string());
        if !world.apply(&step.next, step.event, verdict) {
            break;
        }
        state = step.next;
        compared += world.compare(model, &state, &trace);
    }
    compared
}

#[test]
fn run_tables_reply_as_the_model_on_random_runs() {
    for (model, seed) in [(Once::LEAF, 11), (Once::CHAIN, 12)] {
        let mut random = Xorshift64(seed);
        let compared: usize = (0..20_000).map(|_| walk(&model, &mut random)).sum();
        assert!(compared > 100_000, "{compared} comparisons for {:?}", model.parent);
    }
}

#[test]
fn binding_mode_refuses_the_calls_that_the_model_refuses() {
    let refused = Err(ErrorKind::OnceInRepeatable);
    assert_eq!(Once::RERUN.parent, Parent::Repeatable);
    assert_eq!(binding_mode(Repeatability::Repeatable, false, false), refused);
    assert_eq!(binding_mode(Repeatability::Once, false, false), Ok(BindingMode::Bound));
}
