//! Replays random runs of the at-most-once model through the real functions, and compares after
//! every step what each node makes of each copy that could arrive there.

use std::time::Duration;

use poplar_core::{
    Binding, BindingMode, BoundCall, ErrorKind, Incarnation, InstanceId, Moment, NotRunProof,
    Outcome, Repeatability, RequestId, RunLimits, RunStatus, RunTable, RunVerdict, SealedTable,
    Successor, UnboundCall, binding_mode,
};
use poplar_model::Model;
use poplar_model::once::{Event, Key, NODES, Once, Parent, Party, Reply, SERIALS, State, Verdict};

const WINDOW: Duration = Duration::from_secs(10);
/// The model drops a window two windows after it ended.
const HOLD: Duration = Duration::from_secs(20);
const LIMITS: RunLimits = RunLimits { keys: 8, bytes: 8, window: WINDOW, retention: HOLD };

/// Node with the real tables, in the states of its life cycle.
enum Table {
    Open(RunTable<u8>),
    Sealed(SealedTable<u8>),
    /// Handed over: copies that arrive here are answered by the successor alone.
    HandedOver,
}

struct Node {
    name: InstanceId,
    incarnation: Incarnation,
    now: Moment,
    table: Table,
    inherited: Successor<u8>,
}

/// Real counterpart of a model's state.
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
        let fate = match &mut self.table {
            _ if binding.instance != self.name => {
                Some(self.inherited.answer(self.now, request, binding))
            }
            Table::Open(table) => table.look_up(self.now, request, binding),
            Table::Sealed(table) => Some(table.answer(request, binding)),
            Table::HandedOver => return None,
        };
        Some(match fate {
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
        let flow = &mut self.calls[party.index()];
        let call = match flow.take() {
            None => UnboundCall::new(),
            Some(bound) => {
                let word = NotRunProof::Confirmed(bound.binding().clone());
                bound.release(&word).expect("the word is on its binding")
            }
        };
        let node = &mut self.nodes[node];
        // A node that is leaving mints nothing itself; its last window is still known.
        let window = match &mut node.table {
            Table::Open(table) => table.window(node.now),
            _ => 0,
        };
        *flow = Some(call.bind(node.name.clone(), node.incarnation, window));
    }

    /// Binding of a party by its serial, as the model says that it was minted.
    fn binding(&self, state: &State, party: Party, serial: usize) -> Option<Binding> {
        let sent = state.call(party).bindings[serial]?;
        let binding = Binding {
            instance: self.nodes[sent.node].name.clone(),
            incarnation: Incarnation(sent.incarnation.into()),
            window: sent.window.into(),
            serial: serial as u32,
        };
        Some(binding)
    }

    fn arrive(&mut self, state: &State, party: Party, serial: usize, node: usize, refuse: bool) {
        let binding = self.binding(state, party, serial).expect("the copy was sent");
        let (now, request) = (self.nodes[node].now, request(party.key()));
        if refuse {
            let fate = self.nodes[node].open().refuse(now, request, &binding, ErrorKind::Overload);
            assert_eq!(fate, RunStatus::NotRun(ErrorKind::Overload));
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

    /// Whether the table was there to be handed over.
    fn hand_over(&mut self, node: usize) -> bool {
        let table = std::mem::replace(&mut self.nodes[node].table, Table::HandedOver);
        let Table::Sealed(table) = table else { return false };
        let successor = &mut self.nodes[1 - node];
        successor.inherited.accept(successor.now, table.handover()).expect("there is room");
        true
    }

    /// Follows the model's event; false if the walk has to end here.
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
            // The real table has room for all; `binding_once` has the full one.
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

    /// Compares what every node makes of every copy that may arrive.
    fn compare(&mut self, model: &Once, state: &State, trace: &[String]) -> usize {
        let mut compared = 0;
        for party in Party::ALL {
            for (serial, node) in (0..SERIALS).flat_map(|s| (0..NODES).map(move |n| (s, n))) {
                let Some(binding) = self.binding(state, party, serial) else { continue };
                let Some(real) = self.nodes[node].verdict(party.key(), &binding) else { continue };
                let said = model.verdict(state, party, serial, node);
                let place = format!("{party}, binding {serial}, node {node}: {trace:#?}");
                assert_eq!(Some(real), said, "{place}");
                compared += 1;
            }
        }
        compared
    }
}

/// Small generator of a fixed sequence (xorshift64).
struct Xorshift64(u64);

impl Xorshift64 {
    fn below(&mut self, limit: usize) -> usize {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 % limit as u64) as usize
    }
}

/// Walks the model at random, the real functions alongside; returns the number of comparisons.
fn walk(model: &Once, draw: &mut Xorshift64) -> usize {
    let (mut state, mut world) = (model.initial(), RealSystem::new());
    let (mut trace, mut compared) = (Vec::new(), 0);
    for _ in 0..30 {
        let mut steps = model.steps(&state);
        if steps.is_empty() {
            break;
        }
        let step = steps.swap_remove(draw.below(steps.len()));
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
fn the_real_tables_answer_as_the_model_does_on_random_runs() {
    for (model, seed) in [(Once::LEAF, 11), (Once::CHAIN, 12)] {
        let mut draw = Xorshift64(seed);
        let compared: usize = (0..20_000).map(|_| walk(&model, &mut draw)).sum();
        assert!(compared > 100_000, "{compared} comparisons for {:?}", model.parent);
    }
}

#[test]
fn the_real_rule_refuses_the_calls_that_the_model_refuses() {
    let refused = Err(ErrorKind::OnceInRepeatable);
    assert_eq!(Once::RERUN.parent, Parent::Repeatable);
    assert_eq!(binding_mode(Repeatability::Repeatable, false, false), refused);
    assert_eq!(binding_mode(Repeatability::Once, false, false), Ok(BindingMode::Bound));
}
