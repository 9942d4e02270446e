//! Rate limits of workspaces over simulated nodes: 24 entry nodes, each of which may own buckets,
//! a limit of 200 requests a second, and up to eight times that load, with messages that take 2 ms.
//!
//! Each test checks the requests let through in every window of 5 s against the tolerated bound.

#![allow(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::time::Duration;

use poplar_core::{
    Answerer, EntryQuotas, LEASE_TIMEOUT, LeaseAnswer, LeaseRequest, LimitedWorkspace, Moment,
    Name, PeerFailure, QuotaMembers, QuotaOwner, RELAY_TIMEOUT, Reachability, Stage, TOKEN_WAIT,
    TokenResult, WorkspaceHash, WorkspaceRate,
};

/// Number of nodes.
const NODES: usize = 24;
/// Time that a message takes, in milliseconds.
const DELAY_MS: u64 = 2;
/// Window of the limit, in milliseconds.
const WINDOW_MS: u64 = 5_000;
/// Limit in most tests.
const LIMIT: WorkspaceRate = WorkspaceRate { per_second: 200.0, burst: 100.0 };
/// Load of a workspace whose limit is 1.6 times its usual traffic.
const USUAL: f64 = 125.0;

fn at(millis: u64) -> Moment {
    Moment::from_millis(millis)
}

fn hash() -> WorkspaceHash {
    WorkspaceHash::of(&Name::new("atlas"))
}

fn peer(node: usize) -> Name {
    Name::new(&format!("10.0.0.{node}:7000"))
}

/// Requests allowed in a window.
fn bound(limit: WorkspaceRate) -> usize {
    ((limit.per_second * 5.0 + limit.burst) * 1.1 + 20.0) as usize
}

/// Pseudo-random numbers, the same in each run.
struct Random(u64);

impl Random {
    fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    fn fraction(&mut self) -> f64 {
        self.next() as f64 / u64::MAX as f64
    }
}

struct Node {
    alive: bool,
    members: QuotaMembers,
    owner: QuotaOwner,
    entry: EntryQuotas,
    reach: Reachability,
    limit: WorkspaceRate,
    /// Requests that wait for a token, by number.
    waiting: VecDeque<u64>,
}

impl Node {
    fn start(now: Moment, idx: usize, limit: WorkspaceRate, members: &[(Name, Stage)]) -> Self {
        let mut known = QuotaMembers::default();
        known.set(now, members.iter().cloned());
        Self {
            alive: true,
            members: known,
            owner: QuotaOwner::new(peer(idx)),
            entry: EntryQuotas::default(),
            reach: Reachability::default(),
            limit,
            waiting: VecDeque::new(),
        }
    }

    fn workspace(&self) -> LimitedWorkspace {
        LimitedWorkspace { hash: hash(), rate: self.limit }
    }
}

/// Request for tokens that has not been answered.
#[derive(Debug, Clone)]
struct Exchange {
    from: usize,
    to: usize,
    request: LeaseRequest,
    purpose: Purpose,
}

#[derive(Debug, Clone)]
enum Purpose {
    /// An entry node asks; the nodes to ask afterwards, and when the first one was asked.
    Entry(Vec<Name>, Moment),
    /// A node passes the request of this exchange on.
    Relay(u64),
}

enum Event {
    Request(u64),
    Answer(u64, LeaseAnswer),
    Failure(u64, PeerFailure),
    GiveUp(usize, u64),
}

struct Simulation {
    now: u64,
    nodes: Vec<Node>,
    exchanges: BTreeMap<u64, Exchange>,
    events: BTreeMap<(u64, u64), Event>,
    next: u64,
    random: Random,
    /// Requests a second at each node.
    load: Vec<f64>,
    /// Pairs of nodes between which no message passes.
    cut: HashSet<(usize, usize)>,
    /// When requests were let through.
    served: Vec<u64>,
    /// When requests were refused, and the time after which the caller may return.
    refused: Vec<(u64, Duration)>,
    /// Lease requests sent over the network.
    messages: u64,
}

impl Simulation {
    fn new(limit: WorkspaceRate) -> Self {
        let members = members(&[]);
        let start = |idx| Node::start(at(0), idx, limit, &members);
        let mut simulation = Self {
            now: 0,
            nodes: (0..NODES).map(start).collect(),
            exchanges: BTreeMap::new(),
            events: BTreeMap::new(),
            next: 0,
            random: Random(0x9e37_79b9_7f4a_7c15),
            load: vec![0.0; NODES],
            cut: HashSet::new(),
            served: Vec::new(),
            refused: Vec::new(),
            messages: 0,
        };
        // The owner's bucket may start full only after a whole window.
        simulation.run(6_000);
        simulation
    }

    /// Spreads `total` requests a second over some nodes.
    fn set_load(&mut self, total: f64, nodes: impl IntoIterator<Item = usize>) {
        let nodes: Vec<_> = nodes.into_iter().collect();
        self.load = vec![0.0; NODES];
        for node in &nodes {
            self.load[*node] = total / nodes.len() as f64;
        }
    }

    /// Indexes of the first two nodes in the order.
    fn ranked(&mut self) -> (usize, usize) {
        let ranking = self.nodes[0].members.ranking(hash());
        (index(&ranking.first.unwrap()), index(&ranking.second.unwrap()))
    }

    /// Cuts the connections between the nodes of two sets.
    fn cut_between(&mut self, one: &[usize], other: &[usize]) {
        for a in one {
            self.cut.extend(other.iter().flat_map(|b| [(*a, *b), (*b, *a)]));
        }
    }

    fn kill(&mut self, node: usize) {
        self.nodes[node].alive = false;
        self.nodes[node].waiting.clear();
    }

    fn start(&mut self, node: usize) {
        let limit = self.nodes[node].limit;
        self.nodes[node] = Node::start(at(self.now), node, limit, &members(&[]));
    }

    /// Tells some nodes that others are leaving.
    fn set_leaving(&mut self, nodes: impl IntoIterator<Item = usize>, leaving: &[usize]) {
        for node in nodes {
            self.nodes[node].members.set(at(self.now), members(leaving));
        }
    }

    fn run(&mut self, millis: u64) {
        for _ in 0..millis {
            self.now += 1;
            while let Some(entry) = self.events.first_entry() {
                if entry.key().0 > self.now {
                    break;
                }
                let event = entry.remove();
                self.handle(event);
            }
            for node in 0..NODES {
                let mut expected = self.load[node] / 1_000.0;
                while expected > 0.0 && self.nodes[node].alive {
                    if self.random.fraction() < expected {
                        self.arrive(node);
                    }
                    expected -= 1.0;
                }
            }
        }
    }

    fn schedule(&mut self, delay: u64, event: Event) {
        self.next += 1;
        self.events.insert((self.now + delay, self.next), event);
    }

    fn arrive(&mut self, idx: usize) {
        let (now, draw) = (at(self.now), self.random.next());
        let node = &mut self.nodes[idx];
        match node.entry.request(now, node.workspace(), draw) {
            TokenResult::Granted(_) => self.served.push(self.now),
            TokenResult::Refused(wait) => self.refused.push((self.now, wait)),
            TokenResult::Wait => {
                self.next += 1;
                let waiter = self.next;
                self.nodes[idx].waiting.push_back(waiter);
                self.schedule(TOKEN_WAIT.as_millis() as u64, Event::GiveUp(idx, waiter));
            }
        }
        self.lease(idx);
    }

    /// Sends a request for tokens if one is due.
    fn lease(&mut self, idx: usize) {
        let now = at(self.now);
        let node = &mut self.nodes[idx];
        let Some(request) = node.entry.next_lease(now, hash()) else { return };
        let candidates = node.members.ranking(hash()).candidates(now, &node.reach);
        self.ask(idx, request, candidates, now);
    }

    /// Asks the next of the candidates, or settles without an answer.
    fn ask(&mut self, idx: usize, request: LeaseRequest, mut left: Vec<Name>, asked: Moment) {
        if left.is_empty() {
            return self.settle(idx, asked, None);
        }
        let to = index(&left.remove(0));
        self.send(idx, to, request, Purpose::Entry(left, asked), LEASE_TIMEOUT);
    }

    fn send(
        &mut self,
        from: usize,
        to: usize,
        request: LeaseRequest,
        purpose: Purpose,
        t: Duration,
    ) {
        self.next += 1;
        let id = self.next;
        self.exchanges.insert(id, Exchange { from, to, request, purpose });
        self.messages += u64::from(from != to);
        let delay = if from == to { 0 } else { DELAY_MS };
        if !self.cut.contains(&(from, to)) {
            self.schedule(delay, Event::Request(id));
        }
        self.schedule(t.as_millis() as u64, Event::Failure(id, PeerFailure::Silent));
    }

    fn answer(&mut self, id: u64, answer: LeaseAnswer) {
        let Some(exchange) = self.exchanges.get(&id) else { return };
        let (from, to) = (exchange.from, exchange.to);
        if !self.cut.contains(&(to, from)) {
            let delay = if from == to { 0 } else { DELAY_MS };
            self.schedule(delay, Event::Answer(id, answer));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Request(id) => {
                let Some(exchange) = self.exchanges.get(&id) else { return };
                match self.nodes[exchange.to].alive {
                    true => self.take_request(id),
                    false => self.schedule(DELAY_MS, Event::Failure(id, PeerFailure::Gone)),
                }
            }
            Event::Answer(id, answer) => {
                let Some(exchange) = self.exchanges.remove(&id) else { return };
                self.nodes[exchange.from].reach.record_answer(&peer(exchange.to));
                match exchange.purpose {
                    Purpose::Entry(_, asked) => self.settle(exchange.from, asked, Some(answer)),
                    Purpose::Relay(original) => self.answer(original, answer),
                }
            }
            Event::Failure(id, failure) => {
                let Some(Exchange { from, to, request, purpose }) = self.exchanges.remove(&id)
                else {
                    return;
                };
                let now = at(self.now);
                self.nodes[from].reach.record_failure(now, &peer(to), failure);
                match purpose {
                    Purpose::Entry(left, asked) => self.ask(from, request, left, asked),
                    Purpose::Relay(original) => self.take_request(original),
                }
            }
            Event::GiveUp(idx, waiter) => {
                let node = &mut self.nodes[idx];
                if let Some(position) = node.waiting.iter().position(|id| *id == waiter) {
                    node.waiting.remove(position);
                    node.entry.give_up(hash());
                    self.refused.push((self.now, TOKEN_WAIT));
                }
            }
        }
    }

    fn take_request(&mut self, id: u64) {
        let Some(exchange) = self.exchanges.get(&id) else { return };
        let (idx, request, now) = (exchange.to, exchange.request, at(self.now));
        let node = &mut self.nodes[idx];
        if !node.alive {
            return;
        }
        let ranking = node.members.ranking(hash());
        let settled = node.members.is_settled(now, &peer(idx), hash());
        let grant = match node.owner.answerer(now, &request, &ranking, settled, &node.reach) {
            Answerer::Own => node.owner.grant(now, &request, node.limit, &ranking, settled),
            Answerer::Hold(time) => QuotaOwner::hold(time),
            Answerer::Relay(to) => {
                let relayed = LeaseRequest { relayed: true, ..request };
                return self.send(idx, index(&to), relayed, Purpose::Relay(id), RELAY_TIMEOUT);
            }
        };
        self.answer(id, LeaseAnswer::Granted(grant));
    }

    fn settle(&mut self, idx: usize, asked: Moment, answer: Option<LeaseAnswer>) {
        let (now, draw) = (at(self.now), self.random.next());
        let node = &mut self.nodes[idx];
        if !node.alive {
            return;
        }
        let (workspace, nodes) = (node.workspace(), node.members.len());
        let settled = node.entry.settle(now, workspace, asked, answer, nodes, draw);
        for _ in settled.served {
            node.waiting.pop_front().unwrap();
            self.served.push(self.now);
        }
        for wait in settled.refused {
            node.waiting.pop_front().unwrap();
            self.refused.push((self.now, wait));
        }
        self.lease(idx);
    }

    /// Largest number of requests let through in a window that begins at `from` or later.
    fn largest_window(&self, from: u64) -> usize {
        let served: Vec<_> = self.served.iter().copied().filter(|time| *time >= from).collect();
        let mut first = 0;
        let count = |(idx, time): (usize, &u64)| {
            while served[first] + WINDOW_MS <= *time {
                first += 1;
            }
            idx - first + 1
        };
        served.iter().enumerate().map(count).max().unwrap_or(0)
    }

    fn check_bound(&self, limit: WorkspaceRate) {
        let (largest, bound) = (self.largest_window(0), bound(limit));
        println!(
            "largest window {largest} of {bound}, served {}, refused {}, lease requests {}",
            self.served.len(),
            self.refused.len(),
            self.messages
        );
        assert!(largest <= bound, "{largest} requests in a window, {bound} allowed");
    }

    /// Requests refused from `from` on.
    fn refused_since(&self, from: u64) -> usize {
        self.refused.iter().filter(|(time, _)| *time >= from).count()
    }

    /// Requests let through from `from` to `until`.
    fn served_between(&self, from: u64, until: u64) -> usize {
        self.served.iter().filter(|time| (from..until).contains(*time)).count()
    }
}

fn members(leaving: &[usize]) -> Vec<(Name, Stage)> {
    let stage = |idx| if leaving.contains(&idx) { Stage::Draining } else { Stage::Serving };
    (0..NODES).map(|idx| (peer(idx), stage(idx))).collect()
}

fn index(peer: &Name) -> usize {
    let text = peer.as_str().trim_start_matches("10.0.0.").trim_end_matches(":7000");
    text.parse().unwrap()
}

/// Guards against refusals below the limit, also when the callers move to other nodes or to one.
#[test]
fn nothing_is_refused_below_the_limit() {
    for load in [USUAL, 0.85 * LIMIT.per_second] {
        let mut simulation = Simulation::new(LIMIT);
        for nodes in [0..NODES, 0..6, 12..24, 7..8] {
            simulation.set_load(load, nodes);
            simulation.run(10_000);
        }
        assert_eq!(simulation.refused.len(), 0);
        assert!(simulation.served.len() as f64 > 0.95 * 40.0 * load);
        simulation.check_bound(LIMIT);
    }
}

/// Guards against a burst after a pause that is refused although the limit allows it.
#[test]
fn burst_after_a_pause_is_served() {
    let mut simulation = Simulation::new(LIMIT);
    simulation.set_load(900.0, 3..5);
    simulation.run(100);
    assert_eq!(simulation.refused.len(), 0);
    assert!(simulation.served.len() > 70);
}

/// Guards against a surge that exceeds the bound, and against one that leaves the limit unused.
#[test]
fn surge_of_eight_times_the_limit_keeps_to_the_bound() {
    let limits = [
        LIMIT,
        WorkspaceRate { per_second: 12.0, burst: 4.0 },
        WorkspaceRate { per_second: 900.0, burst: 0.0 },
    ];
    for limit in limits {
        for nodes in [0..NODES, 4..5] {
            let mut simulation = Simulation::new(limit);
            simulation.set_load(8.0 * limit.per_second, nodes);
            simulation.run(12_000);
            simulation.check_bound(limit);
            let served = simulation.served_between(8_000, 18_000) as f64;
            assert!(served > 9.3 * limit.per_second, "{served} served at {limit:?}");
            let promised = |(_, wait): &(u64, Duration)| {
                *wait > Duration::ZERO && *wait <= Duration::from_secs(5)
            };
            assert!(simulation.refused.iter().all(promised));
        }
    }
}

/// Guards against a lower limit that is not binding one window after all nodes have learnt it.
#[test]
fn lowered_limit_is_binding_after_it_is_known() {
    let mut simulation = Simulation::new(LIMIT);
    simulation.set_load(4.0 * LIMIT.per_second, 0..NODES);
    simulation.run(6_000);
    let changed = simulation.now;
    let lower = WorkspaceRate { per_second: 50.0, burst: 10.0 };
    for node in 0..NODES {
        simulation.nodes[node].limit = lower;
        simulation.run(2_500 / NODES as u64);
    }
    simulation.run(12_000);
    simulation.check_bound(LIMIT);
    let largest = simulation.largest_window(changed + 2_500);
    assert!(largest <= bound(lower), "{largest} of {}", bound(lower));
}

/// Guards against a raised limit that goes on refusing requests below it.
#[test]
fn topped_up_limit_serves_more_at_once() {
    let mut simulation = Simulation::new(LIMIT);
    simulation.set_load(1.5 * LIMIT.per_second, 0..NODES);
    simulation.run(8_000);
    assert!(simulation.refused.len() > 200);
    let higher = WorkspaceRate { per_second: 400.0, burst: 200.0 };
    for node in &mut simulation.nodes {
        node.limit = higher;
    }
    let changed = simulation.now;
    simulation.run(10_000);
    assert_eq!(simulation.refused_since(changed + 500), 0);
    simulation.check_bound(higher);
}

/// Guards against a second burst, or a long gap, after the process or machine of the owner is lost.
#[test]
fn loss_of_the_owner_keeps_to_the_bound() {
    for (load, machine) in [(USUAL, false), (USUAL, true), (1_600.0, false), (1_600.0, true)] {
        let mut simulation = Simulation::new(LIMIT);
        let (owner, _) = simulation.ranked();
        simulation.set_load(load, 0..NODES);
        simulation.run(7_300);
        simulation.load[owner] = 0.0;
        simulation.kill(owner);
        if machine {
            let others: Vec<_> = (0..NODES).filter(|node| *node != owner).collect();
            simulation.cut_between(&[owner], &others);
        }
        let lost = simulation.now;
        simulation.run(12_000);
        simulation.check_bound(LIMIT);
        let gap = if machine { 3_500 } else { 500 };
        let served = simulation.served_between(lost + gap, simulation.now) as f64;
        let expected = load.min(LIMIT.per_second) * f64::from(12_000 - gap as u32) / 1_000.0;
        assert!(served > 0.9 * expected, "{served} served of {expected}, machine {machine}");
        if load < LIMIT.per_second {
            assert!(simulation.refused_since(lost + gap) < 10);
        }
    }
}

/// Guards against the refusal of the first requests at an owner that may not start full, and against
/// tokens for each of many restarts.
#[test]
fn first_requests_at_a_new_owner_are_served() {
    for load in [5.0, 1_600.0] {
        let mut simulation = Simulation::new(LIMIT);
        let (owner, _) = simulation.ranked();
        simulation.set_load(load, (0..NODES).filter(|node| *node != owner));
        for _ in 0..8 {
            simulation.kill(owner);
            simulation.run(500);
            simulation.start(owner);
            simulation.run(500);
        }
        simulation.check_bound(LIMIT);
        if load < LIMIT.per_second {
            assert_eq!(simulation.refused.len(), 0);
        }
    }
}

/// Guards against a restarted owner that grants the burst once more.
#[test]
fn restart_of_the_owner_keeps_to_the_bound() {
    for (load, pause) in [(USUAL, 300), (USUAL, 1_500), (1_600.0, 300), (1_600.0, 1_500)] {
        let mut simulation = Simulation::new(LIMIT);
        let (owner, _) = simulation.ranked();
        simulation.set_load(load, (0..NODES).filter(|node| *node != owner));
        simulation.run(7_000);
        for _ in 0..2 {
            simulation.kill(owner);
            simulation.run(pause);
            simulation.start(owner);
            simulation.run(6_000);
        }
        simulation.check_bound(LIMIT);
        let served = simulation.served.len() as f64;
        let all = served + simulation.refused.len() as f64;
        let expected = (all).min(LIMIT.per_second * 19.0);
        assert!(served > 0.95 * expected, "{served} of {expected} after a pause of {pause} ms");
    }
}

/// Guards against entries that exceed the limit, or refuse everything, while they cannot reach the
/// owner but can reach the second node in the order.
#[test]
fn entries_cut_off_from_the_owner_are_served_by_way_of_the_second_node() {
    for load in [USUAL, 1_600.0] {
        let mut simulation = Simulation::new(LIMIT);
        let (owner, second) = simulation.ranked();
        let cut: Vec<_> =
            (0..NODES).filter(|node| *node != owner && *node != second).take(8).collect();
        simulation.set_load(load, 0..NODES);
        simulation.run(6_000);
        simulation.cut_between(&cut, &[owner]);
        let since = simulation.now;
        simulation.run(8_000);
        simulation.cut.clear();
        simulation.run(3_000);
        simulation.check_bound(LIMIT);
        if load < LIMIT.per_second {
            assert_eq!(simulation.refused_since(since), 0);
        }
    }
}

/// Guards against entries that exceed the limit together while they reach no owner and the others
/// use the whole limit.
#[test]
fn entries_cut_off_from_all_owners_keep_to_the_tolerance() {
    let mut simulation = Simulation::new(LIMIT);
    let (owner, second) = simulation.ranked();
    let cut: Vec<_> = (0..NODES).filter(|node| *node != owner && *node != second).take(8).collect();
    simulation.set_load(1_600.0, 0..NODES);
    simulation.run(6_000);
    simulation.cut_between(&cut, &[owner, second]);
    simulation.run(12_000);
    simulation.check_bound(LIMIT);
}

/// Guards against two buckets while some nodes know that the owner leaves and others do not yet,
/// among them the owner itself.
#[test]
fn two_owners_in_different_views_keep_to_the_bound() {
    for load in [USUAL, 1_600.0] {
        let mut simulation = Simulation::new(LIMIT);
        let (owner, second) = simulation.ranked();
        simulation.set_load(load, 0..NODES);
        simulation.run(7_000);
        let changed = simulation.now;
        simulation.set_leaving((0..NODES).filter(|node| node % 2 == second % 2), &[owner]);
        simulation.run(2_000);
        simulation.set_leaving(0..NODES, &[owner]);
        simulation.load[owner] = 0.0;
        simulation.run(3_000);
        simulation.kill(owner);
        simulation.run(8_000);
        simulation.check_bound(LIMIT);
        if load < LIMIT.per_second {
            assert!(simulation.refused_since(changed) < 10);
        }
    }
}

/// Guards against two buckets while the owner and the second node cannot reach each other for two
/// seconds, and each is reached by half of the entries.
#[test]
fn two_owners_without_connection_keep_to_the_bound() {
    let mut simulation = Simulation::new(LIMIT);
    let (owner, second) = simulation.ranked();
    let (mut one, mut other) = (vec![owner], vec![second]);
    for node in (0..NODES).filter(|node| *node != owner && *node != second) {
        if node % 2 == 0 { one.push(node) } else { other.push(node) }
    }
    simulation.set_load(1_600.0, 0..NODES);
    simulation.run(7_000);
    simulation.cut_between(&one, &other);
    simulation.run(2_000);
    simulation.cut.clear();
    simulation.run(8_000);
    simulation.check_bound(LIMIT);
}

/// Guards against a token that is lost with a request that did not run, and against one that is
/// spent after its lease.
#[test]
fn token_of_a_request_that_did_not_run_is_used_again() {
    let mut entry = EntryQuotas::default();
    let workspace = LimitedWorkspace { hash: hash(), rate: LIMIT };
    assert_eq!(entry.request(at(0), workspace, 0), TokenResult::Wait);
    assert_eq!(entry.next_lease(at(0), hash()).unwrap().wanted, 1);
    let grant = poplar_core::TokenGrant { tokens: 1, ready_ms: 0, queue_ms: 0 };
    let answer = Some(LeaseAnswer::Granted(grant));
    let settled = entry.settle(at(2), workspace, at(0), answer, NODES, 0);
    let token = settled.served[0];
    entry.put_back(at(50), hash(), token);
    assert_eq!(entry.request(at(399), workspace, 0), TokenResult::Granted(token));
    entry.put_back(at(399), hash(), token);
    assert_eq!(entry.request(at(400), workspace, 0), TokenResult::Wait);
}

/// Guards against refused callers that are all told to return at the same time.
#[test]
fn refused_callers_return_at_the_rate_of_the_limit() {
    let mut entry = EntryQuotas::default();
    let workspace = LimitedWorkspace { hash: hash(), rate: LIMIT };
    for _ in 0..100 {
        assert_eq!(entry.request(at(0), workspace, 0), TokenResult::Wait);
    }
    assert!(entry.next_lease(at(0), hash()).is_some());
    let grant = poplar_core::TokenGrant { tokens: 0, ready_ms: 5, queue_ms: 200 };
    let answer = Some(LeaseAnswer::Granted(grant));
    let waits = entry.settle(at(2), workspace, at(0), answer, NODES, 0).refused;
    assert_eq!(waits.len(), 100);
    assert_eq!(waits[0], Duration::from_millis(200));
    assert_eq!(waits[99], Duration::from_millis(200 + 99 * 5));
    // The owner is told of the refusals with the next request for tokens.
    assert_eq!(entry.request(at(8), workspace, 0), TokenResult::Wait);
    assert_eq!(entry.next_lease(at(8), hash()).unwrap().refused, 100);
}
