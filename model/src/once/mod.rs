//! At most once: binding, run, crash, re-send, tombstone and handover, with a parent and a child.
//!
//! The network may lose, repeat and delay every message without bound: what was sent once can
//! arrive at any later step, at any node, any number of times. A frozen process is one that takes
//! no step while the others go on. See [at most once](../../../docs/design/at-most-once.md).

mod rules;
mod state;

use std::fmt;

use crate::check::{Check, Model, Mutation, Property, Report, Step, check};

pub use rules::Verdict;
pub use state::{
    Binding, Call, CallState, Entry, EntryStatus, Key, Node, Party, Replies, Reply, SealedTable,
    State, Table,
};

/// Number of instances.
pub const NODES: usize = 2;
/// Number of parties that mint bindings: the outside caller, and a run of the parent per instance.
pub const PARTIES: usize = 1 + NODES;
/// Most bindings that one party mints for its call.
pub const SERIALS: usize = 2;

/// How the parent request behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Parent {
    /// Once-only, and its run makes no call.
    Leaf,
    /// Once-only, and its run makes a once-only call.
    Once,
    /// Repeatable and re-run elsewhere, and its runs make a once-only call.
    Repeatable,
}

/// Bounds of the search.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Nodes killed and started again.
    pub kills: u8,
    /// Windows opened after the first, over all nodes.
    pub ticks: u8,
    /// Graceful stops.
    pub seals: u8,
}

/// Rule that is broken on purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BrokenRule {
    /// A node runs what is bound to an earlier incarnation.
    EarlierIncarnation,
    /// A node runs what is bound to a window whose keys it dropped.
    DroppedWindow,
    /// A node admits keys to a window whose tombstones it dropped.
    ClosedWindow,
    /// A refusal leaves no tombstone.
    NoTombstone,
    /// A party mints the next binding without word on the last one.
    MintWithoutNotRun,
    /// A party takes the word on an earlier binding for that on its own.
    LateReply,
    /// A sealed node still admits.
    AdmitAfterSeal,
    /// The handover leaves out what still runs.
    HandoverWithoutRunning,
    /// A child's not run is passed on as the parent's.
    ChildNotRunAsParent,
    /// A repeatable run makes a once-only call.
    OnceInRepeatable,
    /// A full table refuses without closing its windows.
    FullStaysOpen,
}

/// Mutations, by name.
const MUTATIONS: [(BrokenRule, Mutation); 11] = {
    use BrokenRule as B;
    const fn rule(broken: B, name: &'static str, text: &'static str) -> (B, Mutation) {
        (broken, Mutation { name, description: text })
    }
    [
        rule(B::EarlierIncarnation, "run-foreign", "a node runs what an earlier incarnation held"),
        rule(B::DroppedWindow, "run-dropped", "a node runs a key of a window that it dropped"),
        rule(B::ClosedWindow, "run-closed", "a node runs a new key of a closed window"),
        rule(B::NoTombstone, "no-tombstone", "a refusal leaves no tombstone"),
        rule(B::MintWithoutNotRun, "mint-on-silence", "silence is enough to mint again"),
        rule(B::LateReply, "late-word", "word on an earlier binding counts for the current one"),
        rule(B::AdmitAfterSeal, "admit-sealed", "a sealed node still admits"),
        rule(B::HandoverWithoutRunning, "partial-handover", "the handover lacks what still runs"),
        rule(
            B::ChildNotRunAsParent,
            "child-for-parent",
            "a child's not run is told as the parent's",
        ),
        rule(B::OnceInRepeatable, "once-in-repeatable", "a repeatable run makes a once-only call"),
        rule(B::FullStaysOpen, "full-stays-open", "a full table refuses and closes no window"),
    ]
};

/// What happens in one step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// A party mints a binding to the incarnation of a node, and sends its call.
    Mint(Party, usize),
    /// A copy of the call under the party's binding of a serial arrives at a node.
    Arrive(Party, usize, usize),
    /// The same, and the node's admission refuses it.
    Refuse(Party, usize, usize),
    /// The same, and the node's table is full: it closes its windows.
    ArriveFull(Party, usize, usize),
    /// A node hands a request that it admitted to its target.
    Start(usize, Key),
    /// A node drops a request that it admitted from its queue.
    Drop(usize, Key),
    /// The target's answer reaches its node.
    Finish(usize, Key),
    /// The target breaks down while it runs a request.
    FailTarget(usize, Key),
    /// A party reads that its call is done.
    ReadDone(Party),
    /// A party reads that its call was not run, and tells so.
    ReadNotRun(Party),
    /// The repeatable parent runs at a node.
    Rerun(usize),
    /// The node refuses the once-only call of a repeatable run.
    RefuseChild(usize),
    /// A node tells the child's not run as the parent's.
    PropagateNotRun(usize),
    /// Time passes at a node, and it opens a window.
    Tick(usize),
    /// A node is killed, or stops after its seal, and starts again.
    Kill(usize),
    /// A node seals its table.
    Seal(usize),
    /// A sealed node hands its table to the other one.
    Handover(usize),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match *self {
            Self::Mint(party, node) => write!(f, "{party} binds its call to node {node}"),
            Self::Arrive(party, serial, node) => {
                write!(f, "copy of {party} under binding {serial} arrives at node {node}")
            }
            Self::Refuse(party, serial, node) => {
                write!(f, "copy of {party} under binding {serial} is refused at node {node}")
            }
            Self::ArriveFull(party, serial, node) => {
                write!(f, "copy of {party} under binding {serial} finds node {node} full")
            }
            Self::Start(node, key) => write!(f, "node {node} hands the {key} to its target"),
            Self::Drop(node, key) => write!(f, "node {node} drops the {key} from its queue"),
            Self::Finish(node, key) => write!(f, "the {key} ends at node {node}"),
            Self::FailTarget(node, key) => write!(f, "the target of node {node} loses the {key}"),
            Self::ReadDone(party) => write!(f, "{party} is told done"),
            Self::ReadNotRun(party) => write!(f, "{party} is told not run"),
            Self::Rerun(node) => write!(f, "the repeatable parent runs at node {node}"),
            Self::RefuseChild(node) => write!(f, "node {node} refuses its run's once-only call"),
            Self::PropagateNotRun(node) => {
                write!(f, "node {node} tells the child's not run as the parent's")
            }
            Self::Tick(node) => write!(f, "node {node} opens a window"),
            Self::Kill(node) => write!(f, "node {node} ends and starts again"),
            Self::Seal(node) => write!(f, "node {node} seals its table"),
            Self::Handover(node) => write!(f, "node {node} hands its table over"),
        }
    }
}

/// Model of one request, and of the call that its run makes.
#[derive(Debug, Clone, Copy)]
pub struct Once {
    /// How the parent request behaves.
    pub parent: Parent,
    /// Bounds of the search.
    pub bounds: Bounds,
    /// Rule that is broken, if any.
    pub broken: Option<BrokenRule>,
}

impl Once {
    /// Request without calls, under every fault.
    pub const LEAF: Self = Self::new(Parent::Leaf, Bounds { kills: 1, ticks: 3, seals: 1 });
    /// Once-only request whose run makes a once-only call.
    pub const CHAIN: Self = Self::new(Parent::Once, Bounds { kills: 1, ticks: 0, seals: 1 });
    /// Repeatable request whose runs make a once-only call.
    pub const RERUN: Self = Self::new(Parent::Repeatable, Bounds { kills: 1, ticks: 0, seals: 0 });

    const fn new(parent: Parent, bounds: Bounds) -> Self {
        Self { parent, bounds, broken: None }
    }

    /// The same model with the rule of that name broken; unchanged if there is none.
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
            Property { name: "what was told not run never runs", holds: State::not_run_never_ran },
            Property {
                name: "a binding that a node calls not run never runs",
                holds: State::refused_bindings_never_ran,
            },
            Property { name: "what was told done ran", holds: State::done_requests_ran },
            Property {
                name: "a request that made a call is not told not run",
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
            Property { name: "a successor's answer", holds: State::successor_answered },
            Property { name: "an unknown outcome", holds: |state| state.has_reply(Reply::Unknown) },
            Property { name: "a dropped window", holds: |state| state.nodes[0].floor > 0 },
        ];
        let told = |state: &State| state.calls[0].state == CallState::NotRun;
        match self.parent {
            Parent::Leaf => {
                leaf.into_iter().chain([Property { name: "told", holds: told }]).collect()
            }
            Parent::Once => vec![
                Property { name: "the child ran", holds: |state| state.runs(Key::Child) == 1 },
                Property {
                    name: "the child outlives its caller",
                    holds: State::child_outlives_caller,
                },
            ],
            Parent::Repeatable => {
                vec![Property { name: "two runs", holds: State::both_calls_not_run }]
            }
        }
    }
}

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

/// Check of one request under every fault.
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
