//! Model of at-most-once execution: binding, run, crash, re-send, tombstone and handover, with a
//! parent request and a child call.
//!
//! The network may lose, repeat and delay every message without bound: a message that was sent once
//! can arrive at any later step, at any node, any number of times. A frozen process is one that
//! takes no step while the others continue. See
//! [at most once](../../../docs/design/at-most-once.md).

mod rules;
mod state;

use std::fmt;

use crate::check::{Check, Model, Mutation, Property, Report, Step, check};

pub use rules::Verdict;
pub use state::{
    Binding, Call, CallState, Entry, EntryStatus, Key, Node, Party, Replies, Reply, SealedTable,
    State, Table,
};

/// Number of instances, each with the node beside it.
pub const NODES: usize = 2;
/// Number of parties that mint bindings: the external caller, and a run of the parent on each
/// instance.
pub const PARTIES: usize = 1 + NODES;
/// Maximum number of bindings that a party mints for its call.
pub const SERIALS: usize = 2;

/// Kind of the parent request, and whether its run makes a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Parent {
    /// Once-only, and its run makes no call.
    Leaf,
    /// Once-only, and its run makes a once-only call.
    Once,
    /// Repeatable: it may run on every instance, and each run makes the same once-only call.
    Repeatable,
}

/// Bounds of the search.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Maximum number of kills. The stop of a sealed node is not counted.
    pub kills: u8,
    /// Maximum number of windows opened after the first ones, over all nodes.
    pub ticks: u8,
    /// Maximum number of graceful stops.
    pub seals: u8,
}

/// Rule that a mutation breaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenRule {
    /// A node runs a call that is bound to an earlier incarnation of it.
    EarlierIncarnation,
    /// A node runs a call that is bound to a window whose keys it dropped.
    DroppedWindow,
    /// A node admits keys of a closed window, whose tombstones it dropped.
    ClosedWindow,
    /// A refusal leaves no tombstone.
    NoTombstone,
    /// A party mints the next binding before it has a not-run reply to the last one.
    MintWithoutNotRun,
    /// A party takes a reply to an earlier binding for one to its current binding.
    LateReply,
    /// A sealed node still admits requests.
    AdmitAfterSeal,
    /// The handover omits requests whose result the node does not have.
    HandoverWithoutRunning,
    /// A node reports the not-run outcome of the child as the outcome of the parent.
    ChildNotRunAsParent,
    /// A repeatable run makes a once-only call.
    OnceInRepeatable,
    /// A full table refuses a call without closing its windows.
    FullStaysOpen,
}

/// Mutations, each with the rule that it breaks.
const MUTATIONS: [(BrokenRule, Mutation); 11] = {
    use BrokenRule as B;
    const fn rule(broken: B, name: &'static str, description: &'static str) -> (B, Mutation) {
        (broken, Mutation { name, description })
    }
    [
        rule(
            B::EarlierIncarnation,
            "run-foreign",
            "a node runs what is bound to an earlier incarnation",
        ),
        rule(B::DroppedWindow, "run-dropped", "a node runs a key of a window that it dropped"),
        rule(B::ClosedWindow, "run-closed", "a node runs a new key of a closed window"),
        rule(B::NoTombstone, "no-tombstone", "a refusal leaves no tombstone"),
        rule(
            B::MintWithoutNotRun,
            "mint-on-silence",
            "a party mints again without a not-run reply",
        ),
        rule(B::LateReply, "late-word", "a reply to an earlier binding counts for the current one"),
        rule(B::AdmitAfterSeal, "admit-sealed", "a sealed node still admits"),
        rule(
            B::HandoverWithoutRunning,
            "partial-handover",
            "the handover omits requests without a result",
        ),
        rule(
            B::ChildNotRunAsParent,
            "child-for-parent",
            "the child's not-run outcome is reported as the parent's",
        ),
        rule(B::OnceInRepeatable, "once-in-repeatable", "a repeatable run makes a once-only call"),
        rule(
            B::FullStaysOpen,
            "full-stays-open",
            "a full table refuses a call and closes no window",
        ),
    ]
};

/// Event of a run. A lone `usize` is a node; of two, the first is a serial and the second a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A party mints a binding to the incarnation of a node, and sends its call.
    Mint(Party, usize),
    /// A copy of the call under the party's binding of a serial arrives at a node.
    Arrive(Party, usize, usize),
    /// A copy as in [`Arrive`](Self::Arrive), which the node's admission refuses.
    Refuse(Party, usize, usize),
    /// A copy as in [`Arrive`](Self::Arrive), for which the node's table has no room: the node
    /// refuses it and closes its windows.
    ArriveFull(Party, usize, usize),
    /// A node sends a request that it admitted to its target.
    Start(usize, Key),
    /// A node drops a request that it admitted from its queue.
    Drop(usize, Key),
    /// The target's answer to a request reaches its node.
    Finish(usize, Key),
    /// The target fails while it runs a request, so that the node gets no answer.
    FailTarget(usize, Key),
    /// A party reads that its call is done.
    ReadDone(Party),
    /// A party reads that its call was not run, and reports that as the outcome.
    ReadNotRun(Party),
    /// The repeatable parent starts to run at a node.
    Rerun(usize),
    /// The node refuses the once-only call of a repeatable run.
    RefuseChild(usize),
    /// A node reports the child's not-run outcome as the parent's.
    PropagateNotRun(usize),
    /// A node opens a new window because time has passed. The previous window stays open, and all
    /// older ones are closed.
    Tick(usize),
    /// A node is killed, or stops after it was sealed, and restarts as a new incarnation.
    Kill(usize),
    /// A node seals its table: it admits nothing more.
    Seal(usize),
    /// A sealed node hands over its table to the other node.
    Handover(usize),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Self::Mint(party, node) => write!(f, "{party} binds its call to node {node}"),
            Self::Arrive(party, serial, node) => {
                write!(f, "copy from {party} under binding {serial} arrives at node {node}")
            }
            Self::Refuse(party, serial, node) => {
                write!(f, "copy from {party} under binding {serial} is refused at node {node}")
            }
            Self::ArriveFull(party, serial, node) => {
                write!(f, "copy from {party} under binding {serial} finds no room at node {node}")
            }
            Self::Start(node, key) => write!(f, "node {node} sends the {key} to its target"),
            Self::Drop(node, key) => write!(f, "node {node} drops the {key} from its queue"),
            Self::Finish(node, key) => write!(f, "node {node} receives the answer to the {key}"),
            Self::FailTarget(node, key) => {
                write!(f, "the target of node {node} fails while it runs the {key}")
            }
            Self::ReadDone(party) => write!(f, "{party} reads that its call is done"),
            Self::ReadNotRun(party) => write!(f, "{party} reads that its call was not run"),
            Self::Rerun(node) => write!(f, "the repeatable parent runs at node {node}"),
            Self::RefuseChild(node) => write!(f, "node {node} refuses its run's once-only call"),
            Self::PropagateNotRun(node) => {
                write!(f, "node {node} reports the child's not-run outcome as the parent's")
            }
            Self::Tick(node) => write!(f, "node {node} opens a window"),
            Self::Kill(node) => write!(f, "node {node} stops and restarts"),
            Self::Seal(node) => write!(f, "node {node} seals its table"),
            Self::Handover(node) => write!(f, "node {node} hands over its table"),
        }
    }
}

/// Model of one request, and of the call that its run makes.
#[derive(Debug, Clone, Copy)]
pub struct Once {
    /// Kind of the parent request.
    pub parent: Parent,
    /// Bounds of the search.
    pub bounds: Bounds,
    /// Rule that is mutated, if any.
    pub broken: Option<BrokenRule>,
}

impl Once {
    /// Once-only request without calls, under every fault.
    pub const LEAF: Self = Self::new(Parent::Leaf, Bounds { kills: 1, ticks: 3, seals: 1 });
    /// Once-only request whose run makes a once-only call.
    pub const CHAIN: Self = Self::new(Parent::Once, Bounds { kills: 1, ticks: 0, seals: 1 });
    /// Repeatable request whose runs make a once-only call.
    pub const RERUN: Self = Self::new(Parent::Repeatable, Bounds { kills: 1, ticks: 0, seals: 0 });

    const fn new(parent: Parent, bounds: Bounds) -> Self {
        Self { parent, bounds, broken: None }
    }

    /// This model with the named mutation; without a mutation if the name is unknown or absent.
    fn mutated(self, name: Option<&str>) -> Self {
        let rule = MUTATIONS.iter().find(|(_, mutation)| Some(mutation.name) == name);
        Self { broken: rule.map(|(broken, _)| *broken), ..self }
    }
}

impl Model for Once {
    type State = State;
    type Event = Event;

    fn initial(&self) -> State {
        State::new(self.bounds)
    }

    fn steps(&self, state: &State) -> Vec<Step<Event, State>> {
        let events = self.events(state).into_iter();
        let steps = events.filter_map(|event| Some((event, self.apply(state, event)?)));
        steps.filter(|(_, next)| next != state).map(|(event, next)| Step { event, next }).collect()
    }

    fn invariants(&self) -> Vec<Property<State>> {
        let parent = Property {
            name: "a once-only request runs at most once",
            holds: |state: &State| state.runs(Key::Parent) <= 1,
        };
        let mut invariants = vec![
            Property {
                name: "a once-only call runs at most once",
                holds: |state: &State| state.runs(Key::Child) <= 1,
            },
            Property {
                name: "a call that was reported not run never runs",
                holds: State::not_run_never_ran,
            },
            Property {
                name: "a binding for which a node replied not run never runs",
                holds: State::refused_bindings_never_ran,
            },
            Property { name: "a call that was reported done ran", holds: State::done_requests_ran },
            Property {
                name: "a request that made a call is not reported not run",
                holds: State::callers_ran,
            },
        ];
        if self.parent != Parent::Repeatable {
            invariants.push(parent);
        }
        invariants
    }

    fn witnesses(&self) -> Vec<Property<State>> {
        let leaf = [
            Property {
                name: "the second binding ran",
                holds: State::second_binding_ran as fn(&State) -> _,
            },
            Property {
                name: "the request is done, and a node holds it from a handover",
                holds: State::successor_answered,
            },
            Property {
                name: "a copy has an unknown outcome",
                holds: |state| state.has_reply(Reply::Unknown),
            },
            Property { name: "node 0 dropped a window", holds: |state| state.nodes[0].floor > 0 },
        ];
        let not_run = |state: &State| state.calls[0].state == CallState::NotRun;
        match self.parent {
            Parent::Leaf => {
                leaf.into_iter().chain([Property { name: "told", holds: not_run }]).collect()
            }
            Parent::Once => vec![
                Property { name: "the child ran", holds: |state| state.runs(Key::Child) == 1 },
                Property {
                    name: "the child ran, and its caller was killed",
                    holds: State::child_outlives_caller,
                },
            ],
            Parent::Repeatable => {
                vec![Property {
                    name: "the calls of both runs of the parent are not run",
                    holds: State::both_calls_not_run,
                }]
            }
        }
    }
}

/// Mutations that the check of one request must detect.
const LEAF_MUTATIONS: [Mutation; 9] = [
    MUTATIONS[10].1,
    MUTATIONS[0].1,
    MUTATIONS[1].1,
    MUTATIONS[2].1,
    MUTATIONS[3].1,
    MUTATIONS[4].1,
    MUTATIONS[5].1,
    MUTATIONS[6].1,
    MUTATIONS[7].1,
];

/// Check of one once-only request under every fault.
pub(crate) const LEAF: Check = Check {
    name: "once",
    bounds: "1 request, 2 instances, 1 kill, 1 graceful stop, 2 bindings, 3 new windows by time or \
             for lack of room; messages lost, repeated and delayed without bound",
    assumptions: &["an instance never uses an incarnation number twice"],
    mutations: &LEAF_MUTATIONS,
    run: |name| run(Once::LEAF, name),
};

/// Check of a once-only request whose run makes a once-only call.
pub(crate) const CHAIN: Check = Check {
    name: "once-chain",
    bounds: "1 once-only request with 1 once-only call, 2 instances, 1 kill, 1 graceful stop, \
             2 bindings each",
    assumptions: &["an instance never uses an incarnation number twice"],
    mutations: &[MUTATIONS[8].1],
    run: |name| run(Once::CHAIN, name),
};

/// Check of a repeatable request whose runs make a once-only call.
pub(crate) const RERUN: Check = Check {
    name: "once-rerun",
    bounds: "1 repeatable request run on 2 instances, each run making the same once-only call",
    assumptions: &["the target supplies no key of its own"],
    mutations: &[MUTATIONS[9].1],
    run: |name| run(Once::RERUN, name),
};

fn run(model: Once, name: Option<&str>) -> Report {
    check(&model.mutated(name))
}
