//! Exhaustive check of one model: breadth-first search over all its states.

use std::fmt::{self, Debug, Display};
use std::hash::{Hash, Hasher};

use pathfinding::directed::bfs::bfs;

/// Small specification whose states can all be visited.
///
/// A model carries what it needs to judge a run (who was told what) in its state, so that each
/// invariant is a question to one state.
pub trait Model {
    /// State; small, because all of them are kept.
    type State: Clone + Eq + Hash + Debug;
    /// What happens between a state and the next one.
    type Event: Copy + Display;

    /// State in which every run starts.
    fn initial(&self) -> Self::State;

    /// Every event that may happen in a state, with the state that follows.
    fn steps(&self, state: &Self::State) -> Vec<Step<Self::Event, Self::State>>;

    /// What must hold in every state.
    fn invariants(&self) -> Vec<Property<Self::State>>;

    /// What must come about in some state, so that the invariants do not hold for want of events.
    fn witnesses(&self) -> Vec<Property<Self::State>>;
}

/// Event with the state that follows it.
#[derive(Debug, Clone)]
pub struct Step<E, S> {
    /// Event.
    pub event: E,
    /// State that follows.
    pub next: S,
}

/// Named question to one state.
pub struct Property<S> {
    /// Sentence that is true where `holds` is.
    pub name: &'static str,
    /// Whether the sentence is true in a state.
    pub holds: fn(&S) -> bool,
}

/// Change of one rule of a model that some invariant must catch.
#[derive(Debug, Clone, Copy)]
pub struct Mutation {
    /// Name on the command line.
    pub name: &'static str,
    /// The rule as changed.
    pub description: &'static str,
}

/// Entry of a model in the list of checks.
pub struct Check {
    /// Name on the command line.
    pub name: &'static str,
    /// Bounds within which every state is visited.
    pub bounds: &'static str,
    /// Assumptions on the surroundings that the model makes.
    pub assumptions: &'static [&'static str],
    /// Mutations that must be caught.
    pub mutations: &'static [Mutation],
    /// Runs the check, with one rule mutated if a name is given.
    pub run: fn(Option<&str>) -> Report,
}

/// What the check of one model found.
#[derive(Debug)]
pub struct Report {
    /// States visited.
    pub states: usize,
    /// Steps on the longest of the shortest ways to a state.
    pub depth: usize,
    /// Names of the invariants.
    pub invariants: Vec<&'static str>,
    /// Names of the witnesses that no state showed.
    pub unreached: Vec<&'static str>,
    /// Shortest run that breaks an invariant.
    pub failure: Option<Failure>,
}

/// Shortest run that breaks an invariant.
#[derive(Debug)]
pub struct Failure {
    /// Name of the invariant.
    pub invariant: &'static str,
    /// Events in order.
    pub trace: Vec<String>,
    /// State that breaks the invariant.
    pub state: String,
}

impl Report {
    /// Whether every invariant held and every witness was seen.
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

/// Visits every state of a model, or stops at the nearest one that breaks an invariant.
///
/// Each state is judged once, when it is visited; one that breaks an invariant gets a marker as
/// its only successor, and the search is for that marker.
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

/// State with the number of steps to it, which has no part in whether two are equal.
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
