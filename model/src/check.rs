//! Exhaustive check of one model by breadth-first search over all its states.

use std::fmt::{self, Debug, Display};
use std::hash::{Hash, Hasher};

use pathfinding::directed::bfs::bfs;

/// Small specification with a finite number of states, all of which are visited.
///
/// The state includes the history that the invariants need (which outcomes were reported to whom),
/// so that each invariant is a predicate on a single state.
pub trait Model {
    /// State of the model. Small, because the search keeps every visited state in memory.
    type State: Clone + Eq + Hash + Debug;
    /// Transition from one state to the next.
    type Event: Copy + Display;

    /// Initial state of every run.
    fn initial(&self) -> Self::State;

    /// Every event that can happen in a state, with the resulting state.
    fn steps(&self, state: &Self::State) -> Vec<Step<Self::Event, Self::State>>;

    /// Properties that must hold in every state.
    fn invariants(&self) -> Vec<Property<Self::State>>;

    /// Properties that must hold in at least one state. They guard against invariants that hold
    /// only because the model never reaches the situations that they are about.
    fn witnesses(&self) -> Vec<Property<Self::State>>;
}

/// Event with the state that results from it.
#[derive(Debug, Clone)]
pub struct Step<E, S> {
    /// Event that happens.
    pub event: E,
    /// State after the event.
    pub next: S,
}

/// Named predicate on a state.
pub struct Property<S> {
    /// Statement that `holds` evaluates.
    pub name: &'static str,
    /// Whether the statement is true in a state.
    pub holds: fn(&S) -> bool,
}

/// Deliberate fault in one rule of a model; the check must find an invariant that it violates.
#[derive(Debug, Clone, Copy)]
pub struct Mutation {
    /// Name on the command line.
    pub name: &'static str,
    /// Behaviour of the model with the fault.
    pub description: &'static str,
}

/// Check of a model within fixed bounds, with the mutations that it must detect.
pub struct Check {
    /// Name on the command line.
    pub name: &'static str,
    /// Bounds within which every state is visited.
    pub bounds: &'static str,
    /// Assumptions that the model makes about its environment.
    pub assumptions: &'static [&'static str],
    /// Mutations for which the check must find a violated invariant.
    pub mutations: &'static [Mutation],
    /// Runs the check, with the named mutation if there is one.
    pub run: fn(Option<&str>) -> Report,
}

/// Result of the check of one model.
#[derive(Debug)]
pub struct Report {
    /// Number of states visited.
    pub states: usize,
    /// Number of events from the initial state to the most distant state, by shortest paths.
    pub depth: usize,
    /// Names of the invariants.
    pub invariants: Vec<&'static str>,
    /// Names of the witnesses that held in no visited state.
    pub unreached: Vec<&'static str>,
    /// Shortest run that violates an invariant, if there is one.
    pub failure: Option<Failure>,
}

/// Shortest run that violates an invariant.
#[derive(Debug)]
pub struct Failure {
    /// Name of the violated invariant.
    pub invariant: &'static str,
    /// Events from the initial state, in order.
    pub trace: Vec<String>,
    /// Debug output of the state that violates the invariant.
    pub state: String,
}

impl Report {
    /// Whether every invariant held in all visited states and every witness held in one.
    pub fn is_ok(&self) -> bool {
        self.failure.is_none() && self.unreached.is_empty()
    }
}

impl Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "broken: {}", self.invariant)?;
        for (number, event) in self.trace.iter().enumerate() {
            writeln!(f, "  {:>2}. {event}", number + 1)?;
        }
        write!(f, "  state: {}", self.state)
    }
}

/// Visits every state of a model, or stops at the nearest one that violates an invariant.
///
/// The invariants are evaluated once for each state, when it is visited. A state that violates one
/// gets a marker node as its only successor, and the search ends at that marker.
pub fn check<M: Model>(model: &M) -> Report {
    let invariants = model.invariants();
    let witnesses = model.witnesses();
    let mut seen = vec![false; witnesses.len()];
    let (mut states, mut depth) = (0, 0);
    let start = Node { state: model.initial(), depth: 0, is_violation: false };
    let successors = |node: &Node<M::State>| {
        states += 1;
        depth = node.depth.max(depth);
        for (witness, seen) in witnesses.iter().zip(&mut seen) {
            *seen = *seen || (witness.holds)(&node.state);
        }
        if invariants.iter().any(|invariant| !(invariant.holds)(&node.state)) {
            return vec![Node { is_violation: true, ..node.clone() }];
        }
        let depth = node.depth + 1;
        let steps = model.steps(&node.state).into_iter();
        steps.map(|step| Node { state: step.next, depth, is_violation: false }).collect()
    };
    let path = bfs(&start, successors, |node| node.is_violation);
    let unseen = witnesses.iter().zip(&seen).filter(|(_, seen)| !**seen);
    Report {
        states,
        depth,
        unreached: unseen.map(|(witness, _)| witness.name).collect(),
        failure: path.and_then(|path| build_failure(model, &invariants, &path)),
        invariants: invariants.iter().map(|invariant| invariant.name).collect(),
    }
}

/// State with its distance from the initial state.
///
/// Equality and hash leave out the distance, so that the search visits each state once.
#[derive(Debug, Clone)]
struct Node<S> {
    state: S,
    depth: usize,
    is_violation: bool,
}

impl<S: PartialEq> PartialEq for Node<S> {
    fn eq(&self, other: &Self) -> bool {
        self.is_violation == other.is_violation && self.state == other.state
    }
}

impl<S: Eq> Eq for Node<S> {}

impl<S: Hash> Hash for Node<S> {
    fn hash<H: Hasher>(&self, hasher: &mut H) {
        self.state.hash(hasher);
        self.is_violation.hash(hasher);
    }
}

fn build_failure<M: Model>(
    model: &M,
    invariants: &[Property<M::State>],
    path: &[Node<M::State>],
) -> Option<Failure> {
    let last = path.last()?;
    let broken = invariants.iter().find(|invariant| !(invariant.holds)(&last.state))?;
    let steps = path.windows(2).filter(|pair| !pair[1].is_violation);
    let trace = steps.map(|pair| event_between(model, &pair[0].state, &pair[1].state));
    Some(Failure {
        invariant: broken.name,
        trace: trace.collect(),
        state: format!("{:?}", last.state),
    })
}

fn event_between<M: Model>(model: &M, from: &M::State, to: &M::State) -> String {
    let steps = model.steps(from);
    let step = steps.iter().find(|step| step.next == *to);
    step.map_or_else(|| "?".to_owned(), |step| step.event.to_string())
}
