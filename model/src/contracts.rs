//! Model of the stream of contracts: two operators publish, and nodes read the log, append
//! snapshots, pull state from each other, crash and resume after records expired.
//!
//! A contract is represented by the publication that created it, and a customer's history by the
//! sequence of accepted publications, so that the revision in force is the length of the history.

mod spec;
mod system;

use std::fmt;

pub use spec::{History, Record, RuleMutations, State, Verdict};
pub use system::{
    INITIAL_PUBLICATION, Log, NODES, Node, Operator, PUBLICATIONS, Scope, Stage, System,
};

use crate::check::{Check, Model, Mutation, Property, Step, check};

/// Assumptions about the environment, for both checks.
const ASSUMPTIONS: &[&str] = &[
    "what a node confirmed is held by a live node or readable in the log",
    "before a node resumes, each live node has read the log and a snapshot covers its state",
];

/// Check that starts with a log that every node has read.
pub const CHECK: Check = Check {
    name: "contracts",
    bounds: "2 nodes, 2 operators with one publication each, 3 appends, 5 offsets, \
             4 records retained, 1 crash",
    assumptions: ASSUMPTIONS,
    mutations: &[
        Mutation { name: "ignore-base", description: "a record is accepted whatever its base" },
        Mutation { name: "last-wins", description: "a record replaces one with the same base" },
        Mutation { name: "accept-repeats", description: "a repeated record is accepted again" },
        Mutation { name: "judge-across-gap", description: "records behind a gap are applied" },
        Mutation {
            name: "snapshot-to-offset",
            description: "a snapshot is taken to cover the log up to its own offset",
        },
        Mutation { name: "adopt-backwards", description: "a peer's older state is adopted" },
        Mutation { name: "forget-published", description: "the state keeps no publish ids" },
        Mutation {
            name: "accept-on-read-back",
            description: "accepted is reported without a node's confirmation",
        },
        Mutation {
            name: "lose-on-read-back",
            description: "superseded is reported without a node's confirmation",
        },
        Mutation {
            name: "resume-unsettled",
            description: "a node resumes without waiting for the others",
        },
        Mutation {
            name: "resume-without-offers",
            description: "a node resumes before newer states are on the log as snapshots",
        },
    ],
    run: |mutation| {
        check(&Contracts {
            mutations: RuleMutations::from_mutation(mutation),
            scope: Scope { offsets: 5, appends: [2, 1], crashes: 1, loss: false },
        })
    },
};

/// Check that starts with a log that lost a record before any node had read it.
pub const CHECK_LOSS: Check = Check {
    name: "contracts-loss",
    bounds: "2 nodes, 2 operators with one publication each, 2 appends, 6 offsets, \
             4 records retained, no crash",
    assumptions: ASSUMPTIONS,
    mutations: &[Mutation {
        name: "resume-overtaken",
        description: "a resume record is applied at another offset than expected",
    }],
    run: |mutation| {
        check(&Contracts {
            mutations: RuleMutations::from_mutation(mutation),
            scope: Scope { offsets: 6, appends: [1, 1], crashes: 0, loss: true },
        })
    },
};

/// Model of the stream of contracts; at most one rule is mutated.
#[derive(Debug, Clone, Copy)]
pub struct Contracts {
    /// Mutated rules.
    pub mutations: RuleMutations,
    /// Initial state and bounds of the runs.
    pub scope: Scope,
}

/// Event of a run. A `usize` is the index of an operator or a node.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event {
    /// An operator reads the log and takes the revision in force as the base of its publication.
    Choose(usize),
    /// An operator sends the append of its publish record.
    SendPublish(usize),
    /// The log stores an operator's publish record. Whether the operator receives an
    /// acknowledgement makes no difference.
    StorePublish(usize),
    /// An operator reads the log to find out the result of its publication.
    ReadBack(usize),
    /// A node confirms to an operator the result that the operator read back.
    Confirm {
        /// Operator that receives the confirmation.
        operator: usize,
        /// Node that confirms.
        node: usize,
    },
    /// A node reads the next record and applies it.
    Read(usize),
    /// A node appends its state as a snapshot record.
    Snapshot(usize),
    /// A node adopts a peer's state.
    Pull {
        /// Node that sends the request.
        node: usize,
        /// Node whose state is adopted.
        peer: usize,
    },
    /// A node sends a resume record, because records expired before it read them.
    Resume(usize),
    /// The log stores a node's resume record.
    StoreResume(usize),
    /// The oldest record of the log expires.
    Expire,
    /// A node loses its state and starts with an empty one.
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
                write!(f, "node {node} confirms the result to operator {operator}")
            }
            Self::Read(node) => write!(f, "node {node} reads the next record"),
            Self::Snapshot(node) => write!(f, "node {node} appends a snapshot"),
            Self::Pull { node, peer } => write!(f, "node {node} pulls from node {peer}"),
            Self::Resume(node) => write!(f, "node {node} sends a resume record"),
            Self::StoreResume(node) => write!(f, "a resume record of node {node} reaches the log"),
            Self::Expire => f.write_str("the oldest record expires"),
            Self::Crash(node) => write!(f, "node {node} crashes and starts with an empty state"),
        }
    }
}

impl Contracts {
    fn events(system: &System) -> Vec<Event> {
        // Nodes are interchangeable until one of them crashes, so only node 0 crashes.
        let mut events = vec![Event::Expire, Event::Crash(0)];
        for op in 0..system.operators.len() {
            let same_index = [
                Event::Choose(op),
                Event::SendPublish(op),
                Event::StorePublish(op),
                Event::ReadBack(op),
            ];
            events.extend(same_index);
            events
                .extend((0..system.nodes.len()).map(|node| Event::Confirm { operator: op, node }));
        }
        for node in 0..system.nodes.len() {
            let same_index = [
                Event::Read(node),
                Event::Snapshot(node),
                Event::Resume(node),
                Event::StoreResume(node),
            ];
            events.extend(same_index);
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
                name: "a confirmed history is part of the history of every node that read so far",
                holds: System::confirmed_is_in_force,
            },
            Property {
                name: "the revision in force on a node never decreases",
                holds: System::revisions_never_decrease,
            },
            Property {
                name: "two readers at the same offset hold the same state",
                holds: System::readers_agree,
            },
            Property {
                name: "no two nodes hold different contracts under one revision",
                holds: System::one_contract_per_revision,
            },
            Property {
                name: "a contract that was reported superseded is never in force",
                holds: System::superseded_is_not_accepted,
            },
            Property {
                name: "a contract that was reported accepted stays accepted",
                holds: System::accepted_is_retained,
            },
            Property {
                name: "a publication creates one revision at most",
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
            name: "one operator is accepted and the other superseded",
            holds: |system| {
                let any_in = |stage| system.operators.iter().any(|op| op.stage == stage);
                any_in(Stage::Accepted) && any_in(Stage::Superseded)
            },
        },
        Property {
            name: "after a crash, all nodes are current although records expired",
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
        name: "a resume record is applied, and a contract is accepted",
        holds: |system| {
            let accepted = |op: &Operator| op.stage == Stage::Accepted;
            system.has_resumed() && system.operators.iter().any(accepted)
        },
    }
}
