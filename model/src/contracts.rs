//! Model of publishing, folding, snapshots, expiry, crashes, pulls and two operators.
//!
//! A contract's body is the act that published it, and a customer's history is the line of acts
//! that were accepted, so that the revision in force is the length of the line.

mod spec;
mod system;

use std::fmt;

pub use spec::{History, Record, RuleMutations, State, Verdict};
pub use system::{
    INITIAL_PUBLICATION, Log, NODES, Node, Operator, PUBLICATIONS, Scope, Stage, System,
};

use crate::check::{Check, Model, Mutation, Property, Step, check};

/// Assumptions on the surroundings.
const ASSUMPTIONS: &[&str] = &[
    "what a node gave its word on is held by a live node or readable in the log",
    "before records are given up, each live node has read the log and offered a better state",
];

/// Check from a log that everybody has read.
pub const CHECK: Check = Check {
    name: "contracts",
    bounds: "2 nodes, 2 operators with one act each, 3 appends, 5 offsets, 4 records kept, 1 crash",
    assumptions: ASSUMPTIONS,
    mutations: &[
        Mutation { name: "ignore-base", description: "a record is accepted whatever its base" },
        Mutation { name: "last-wins", description: "a record replaces one with the same base" },
        Mutation { name: "accept-repeats", description: "a repeated record is accepted again" },
        Mutation { name: "judge-across-gap", description: "records behind a gap are judged" },
        Mutation {
            name: "snapshot-to-offset",
            description: "a snapshot counts up to its own offset",
        },
        Mutation { name: "adopt-backwards", description: "a peer's older state is taken over" },
        Mutation { name: "forget-published", description: "the fold remembers no publish ids" },
        Mutation {
            name: "accept-on-read-back",
            description: "accepted is said without a node's word",
        },
        Mutation {
            name: "lose-on-read-back",
            description: "superseded is said without a node's word",
        },
        Mutation {
            name: "resume-unsettled",
            description: "expired records are given up without waiting",
        },
        Mutation {
            name: "resume-without-offers",
            description: "better states are not offered on the log",
        },
    ],
    run: |mutation| {
        check(&Contracts {
            mutations: RuleMutations::from_mutation(mutation),
            scope: Scope { offsets: 5, appends: [2, 1], crashes: 1, loss: false },
        })
    },
};

/// Check from a log that lost a record which nobody had read.
pub const CHECK_LOSS: Check = Check {
    name: "contracts-loss",
    bounds: "2 nodes, 2 operators with one act each, 2 appends, 6 offsets, 4 records kept, no crash",
    assumptions: ASSUMPTIONS,
    mutations: &[Mutation {
        name: "resume-overtaken",
        description: "an overtaken resume record counts",
    }],
    run: |mutation| {
        check(&Contracts {
            mutations: RuleMutations::from_mutation(mutation),
            scope: Scope { offsets: 6, appends: [1, 1], crashes: 0, loss: true },
        })
    },
};

/// Model with at most one rule mutated.
#[derive(Debug, Clone, Copy)]
pub struct Contracts {
    /// Rules of the fold and of the surroundings.
    pub mutations: RuleMutations,
    /// Where the runs start and how far they go.
    pub scope: Scope,
}

/// One event of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// An operator reads the log and chooses its base.
    Choose(usize),
    /// An operator sends an append.
    SendPublish(usize),
    /// An append takes effect; whether that is acknowledged makes no difference.
    StorePublish(usize),
    /// An operator reads its record back.
    ReadBack(usize),
    /// A node gives an operator its word on what was read back.
    Confirm {
        /// Operator.
        operator: usize,
        /// Node.
        node: usize,
    },
    /// A node reads the next record.
    Read(usize),
    /// A node appends its state.
    Snapshot(usize),
    /// A node takes over a peer's state.
    Pull {
        /// Node that asks.
        node: usize,
        /// Node that answers.
        peer: usize,
    },
    /// A node decides to resume after records expired unread.
    Resume(usize),
    /// A resume record takes effect.
    StoreResume(usize),
    /// The oldest record expires.
    Expire,
    /// A node is replaced by one that knows nothing.
    Crash(usize),
}

impl fmt::Display for Event {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Choose(op) => write!(f, "operator {op} reads the log and chooses its base"),
            Self::SendPublish(op) => write!(f, "operator {op} sends its record"),
            Self::StorePublish(op) => write!(f, "a record of operator {op} reaches the log"),
            Self::ReadBack(op) => write!(f, "operator {op} reads its record back"),
            Self::Confirm { operator, node } => {
                write!(f, "node {node} gives operator {operator} its word")
            }
            Self::Read(node) => write!(f, "node {node} reads the next record"),
            Self::Snapshot(node) => write!(f, "node {node} appends a snapshot"),
            Self::Pull { node, peer } => write!(f, "node {node} pulls from node {peer}"),
            Self::Resume(node) => write!(f, "node {node} decides to resume"),
            Self::StoreResume(node) => write!(f, "a resume record of node {node} reaches the log"),
            Self::Expire => f.write_str("the oldest record expires"),
            Self::Crash(node) => write!(f, "node {node} crashes and starts with nothing"),
        }
    }
}

impl Contracts {
    fn events(system: &System) -> Vec<Event> {
        // Nodes are alike until one of them crashes; that one is called node 0.
        let mut events = vec![Event::Expire, Event::Crash(0)];
        for op in 0..system.operators.len() {
            let own = [
                Event::Choose(op),
                Event::SendPublish(op),
                Event::StorePublish(op),
                Event::ReadBack(op),
            ];
            events.extend(own);
            events
                .extend((0..system.nodes.len()).map(|node| Event::Confirm { operator: op, node }));
        }
        for node in 0..system.nodes.len() {
            let own = [
                Event::Read(node),
                Event::Snapshot(node),
                Event::Resume(node),
                Event::StoreResume(node),
            ];
            events.extend(own);
            let peers = (0..system.nodes.len()).filter(|peer| *peer != node);
            events.extend(peers.map(|peer| Event::Pull { node, peer }));
        }
        events
    }
}

impl Model for Contracts {
    type State = System;
    type Event = Event;

    fn initial(&self) -> System {
        System::new(self.scope)
    }

    fn steps(&self, system: &System) -> Vec<Step<Event, System>> {
        let next = |event| {
            system.apply_event(self.mutations, self.scope, event).map(|next| Step { event, next })
        };
        Self::events(system).into_iter().filter_map(next).collect()
    }

    fn invariants(&self) -> Vec<Property<System>> {
        vec![
            Property {
                name: "what was accepted is in force on every node that read so far",
                holds: System::confirmed_is_in_force,
            },
            Property {
                name: "what is in force on a node never goes back",
                holds: System::revisions_never_decrease,
            },
            Property {
                name: "two readers at the same offset hold the same state",
                holds: System::readers_agree,
            },
            Property {
                name: "no two nodes hold two bodies under one revision",
                holds: System::one_contract_per_revision,
            },
            Property {
                name: "a contract whose operator was told that it lost is never in force",
                holds: System::superseded_is_not_accepted,
            },
            Property {
                name: "a contract whose operator was told that it is accepted stays accepted",
                holds: System::accepted_is_retained,
            },
            Property {
                name: "an act of publishing makes one revision at most",
                holds: System::publications_are_unique,
            },
        ]
    }

    fn witnesses(&self) -> Vec<Property<System>> {
        if self.scope.loss { witnesses_of_loss() } else { witnesses() }
    }
}

fn witnesses() -> Vec<Property<System>> {
    vec![
        Property {
            name: "both operators are accepted, one after the other",
            holds: |system| system.operators.iter().all(|op| op.stage == Stage::Accepted),
        },
        Property {
            name: "one operator wins and the other is told that it lost",
            holds: |system| {
                let told = |stage| system.operators.iter().any(|op| op.stage == stage);
                told(Stage::Accepted) && told(Stage::Superseded)
            },
        },
        Property {
            name: "a node that crashed is current again behind expired records",
            holds: |system| {
                let current = |node: &Node| node.state.next == system.log.end();
                system.crashes > 0 && system.log.start > 0 && system.nodes.iter().all(current)
            },
        },
        witness_of_resume(),
    ]
}

fn witnesses_of_loss() -> Vec<Property<System>> {
    vec![witness_of_resume()]
}

fn witness_of_resume() -> Property<System> {
    Property {
        name: "a resume record counts, and a contract is accepted after it",
        holds: |system| {
            let accepted = |op: &Operator| op.stage == Stage::Accepted;
            system.has_resumed() && system.operators.iter().any(accepted)
        },
    }
}
