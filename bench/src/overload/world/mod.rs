//! Calls, targets and callers of one run, on a fake clock.
//!
//! A call holds a slot of its target from its start until its further calls are answered. A
//! target is a number of slots and a random service time; nothing else of a cluster is simulated.

mod callers;
mod state;

use std::collections::BTreeMap;
use std::time::Duration;

use poplar_core::{
    AdmissionVerdict, Arrival, Balancer, ErrorKind, ImportanceScale, InstanceId, Level, LevelMap,
    Moment, Name, Observation, Refusal, Release, RunTimes, TargetInfo, TargetLimits,
};

use state::{Answer, Call, CallIdx, Event, Node, NodeIdx, Root, RootIdx, Sender, State};

use crate::overload::clock::{Agenda, Rng};
use crate::overload::deployment::{ClassIdx, Deployment, LOCAL_MICROS, ServiceIdx, ZONE_MICROS};
use crate::overload::gate::{Gate, Policy};
use crate::overload::tally::Tally;

/// Re-sends of each caller and, without poplarbridge, of each hop.
const RESENDS: u32 = 3;
/// Re-sends that the contract grants one request over its whole chain.
const BUDGET: u32 = 3;
/// Time after which a hop without poplarbridge gives up on one send.
const HOP_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest pause before a caller sends again, in microseconds; it heeds no retry-after.
const RESEND_PAUSE: f64 = 50_000.0;
/// Time between two looks for queued calls that are past their deadline.
const TICK: Duration = Duration::from_millis(10);

/// Shape of the load.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Shape {
    pub(crate) seed: u64,
    /// Load under pressure, in multiples of the capacity at full speed.
    pub(crate) surge: f64,
    /// Load in calm, in multiples of the same capacity.
    pub(crate) calm: f64,
    /// Factor on the service time of the deep service under pressure.
    pub(crate) slowdown: f64,
    /// Factor by which the deep service's targets announce more slots than they have.
    pub(crate) overstated: f64,
    /// Length of each of the three phases.
    pub(crate) phase: Duration,
}

impl Shape {
    pub(crate) fn starts(&self) -> Moment {
        Moment::default() + self.phase
    }

    pub(crate) fn ends(&self) -> Moment {
        self.starts() + self.phase
    }

    pub(crate) fn is_surging(&self, now: Moment) -> bool {
        (self.starts()..self.ends()).contains(&now)
    }
}

/// One run.
pub(crate) struct World<'a> {
    deployment: &'a Deployment,
    policy: Policy,
    shape: Shape,
    agenda: Agenda<Event>,
    rng: Rng,
    nodes: Vec<Node>,
    members: Vec<Vec<NodeIdx>>,
    names: Vec<Name>,
    indices: BTreeMap<InstanceId, NodeIdx>,
    closures: Vec<Vec<ClassIdx>>,
    roots: Vec<Root>,
    calls: Vec<Call>,
    free: Vec<u32>,
    tally: Tally,
}

impl<'a> World<'a> {
    pub(crate) fn new(deployment: &'a Deployment, policy: Policy, shape: Shape) -> Self {
        let scale = ImportanceScale::new(deployment.classes.iter().map(|class| class.importance));
        let mut nodes = Vec::new();
        let mut members = vec![Vec::new(); deployment.services.len()];
        for (idx, service) in deployment.services.iter().enumerate() {
            for number in 0..service.targets {
                members[idx].push(NodeIdx(nodes.len()));
                let deep = ServiceIdx(idx) == deployment.deep;
                let factor = if deep { shape.overstated } else { 1.0 };
                let announced = (f64::from(service.slots) * factor) as u32;
                let limits = TargetLimits::derive(announced, service.connections);
                let name = format!("{}-{number}", service.name);
                nodes.push(Node {
                    zone: number % deployment.zones,
                    instance: InstanceId::from(name.as_str()),
                    gate: Gate::new(policy, limits, scale.clone()),
                    levels: LevelMap::new(scale.clone()),
                    times: RunTimes::new(),
                    choosers: Vec::new(),
                });
            }
        }
        acquaint(deployment, &mut nodes, &members);
        let indices = nodes.iter().enumerate();
        let indices = indices.map(|(idx, node)| (node.instance.clone(), NodeIdx(idx))).collect();
        let classes = deployment.class_indices();
        Self {
            deployment,
            policy,
            shape,
            agenda: Agenda::new(),
            rng: Rng::new(shape.seed),
            nodes,
            members,
            indices,
            names: deployment.classes.iter().map(|class| Name::new(class.name)).collect(),
            closures: classes.map(|class| deployment.closure(class)).collect(),
            roots: Vec::new(),
            calls: Vec::new(),
            free: Vec::new(),
            tally: Tally::new(deployment.classes.len(), shape),
        }
    }

    /// Runs the three phases and gives back what was counted.
    pub(crate) fn run(mut self) -> Tally {
        self.agenda.schedule(Duration::ZERO, Event::Offer);
        self.agenda.schedule(TICK, Event::Tick);
        let end = self.shape.ends() + self.shape.phase;
        while let Some(event) = self.agenda.next() {
            if self.agenda.now() > end {
                break;
            }
            self.handle(event);
        }
        self.tally
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Offer => self.offer(),
            Event::Enter(root) => self.enter(root),
            Event::Send { root, class, sender, tries } => self.send(root, class, sender, tries),
            Event::Reach(call) => self.reach(call),
            Event::Worked(call) => self.proceed(call),
            Event::Reply { call, answer, level } => self.reply(call, answer, level),
            Event::Timeout(call) => self.time_out(call),
            Event::Told { root, whole } => self.told(root, whole),
            Event::Expire(root) => self.expire(root),
            Event::Tick => self.tick(),
        }
    }

    fn is_doomed(&mut self, now: Moment, node: NodeIdx, class: ClassIdx, root: RootIdx) -> bool {
        let names = self.closures[class.0].iter().map(|class| &self.names[class.0]);
        self.nodes[node.0].levels.would_refuse(now, self.roots[root.0].rank, names)
    }

    /// Counts a violation if every service of the class could have made room for the request.
    fn check_refusal(&mut self, root: RootIdx, class: ClassIdx) {
        let importance = self.roots[root.0].rank.importance();
        let could_yield = |idx: &NodeIdx| {
            self.nodes[idx.0].gate.lowest_queued().is_some_and(|lowest| lowest < importance)
        };
        let has_room = |idx: &NodeIdx| self.nodes[idx.0].gate.has_room();
        let services = self.closures[class.0].iter().map(|class| self.deployment.class(*class));
        let mut members = services.map(|class| &self.members[class.service.0]);
        let spared = members.clone().all(|all| all.iter().any(|n| could_yield(n) || has_room(n)));
        let yields = members.any(|all| all.iter().any(could_yield));
        if spared {
            self.tally.refused_with_room(yields);
        }
    }

    fn send(&mut self, root: RootIdx, class: ClassIdx, sender: Sender, tries: u32) {
        if self.roots[root.0].over && self.policy == Policy::Bridge {
            return;
        }
        if let Sender::Run(run) = sender
            && self.live(run).is_none()
        {
            return;
        }
        let from = self.sender_node(root, sender);
        let node = self.choose(from, class, root);
        let place = self.free.pop().unwrap_or_else(|| {
            self.calls.push(Call::vacant());
            self.calls.len() as u32 - 1
        });
        let slot = &mut self.calls[place as usize];
        let count = slot.count + 1;
        let state = State::OnWay;
        let (awaited, child, step, spent) = (true, None, 0, 0);
        let sent = self.agenda.now();
        *slot = Call {
            sent,
            count,
            root,
            class,
            sender,
            from,
            node,
            state,
            tries,
            awaited,
            child,
            step,
            spent,
        };
        let call = CallIdx { place, count };
        match sender {
            Sender::Entry => self.roots[root.0].call = Some(call),
            Sender::Run(run) => self.calls[run.place as usize].child = Some(call),
        }
        self.agenda.schedule(self.way(from, node), Event::Reach(call));
        if self.policy != Policy::Bridge {
            self.agenda.schedule(HOP_TIMEOUT, Event::Timeout(call));
        }
    }

    fn sender_node(&self, root: RootIdx, sender: Sender) -> NodeIdx {
        match sender {
            Sender::Entry => self.roots[root.0].entry,
            Sender::Run(run) => self.calls[run.place as usize].node,
        }
    }

    /// Target for a call: the choice of the core, or any without poplarbridge.
    fn choose(&mut self, from: NodeIdx, class: ClassIdx, root: RootIdx) -> NodeIdx {
        let service = self.deployment.class(class).service;
        let members = &self.members[service.0];
        let any = members[self.rng.below(members.len())];
        if self.policy != Policy::Bridge {
            return any;
        }
        let (now, random) = (self.agenda.now(), self.rng.next());
        let rank = self.roots[root.0].rank;
        let choice = self.nodes[from.0].choosers[service.0].choose(now, rank, random, &[]);
        choice.map_or(any, |choice| self.indices[&choice.instance])
    }

    /// A call comes to the node beside its target.
    fn reach(&mut self, call: CallIdx) {
        let Some(at) = self.live(call) else { return };
        let now = self.agenda.now();
        let (root, class, node) = (at.root, at.class, at.node);
        let paid = at.sender != Sender::Entry;
        let age = now.since(self.roots[root.0].born);
        let deadline =
            Duration::from_millis(self.deployment.class(self.roots[root.0].class).deadline_ms);
        let callees = self.closures[class.0].len() > 1;
        if self.policy == Policy::Bridge && callees && self.is_doomed(now, node, class, root) {
            self.check_refusal(root, class);
            return self.end(call, Answer::NotRun);
        }
        let arrival = Arrival {
            ticket: call.ticket(),
            rank: self.roots[root.0].rank,
            age,
            left: deadline.saturating_sub(age + self.client_way()),
            min_latency: self.nodes[node.0].times.expected(&self.names[class.0]),
            begun: paid,
        };
        self.calls[call.place as usize].state = State::Waiting;
        match self.nodes[node.0].gate.arrive(now, arrival) {
            AdmissionVerdict::Admit => self.start(call),
            AdmissionVerdict::Queue { evicted } => self.refuse_all(node, evicted),
            AdmissionVerdict::Refuse(refusal) => self.refuse_all(node, Some(refusal)),
        }
    }

    fn refuse_all(&mut self, node: NodeIdx, refusals: impl IntoIterator<Item = Refusal>) {
        for refusal in refusals {
            let call = CallIdx::from_ticket(refusal.ticket);
            let importance = self.roots[self.calls[call.place as usize].root.0].rank.importance();
            let lowest = self.nodes[node.0].gate.lowest_queued();
            if refusal.kind == ErrorKind::Overload && lowest.is_some_and(|l| l < importance) {
                self.tally.refused_with_room(true);
            }
            self.end(call, Answer::NotRun);
        }
    }

    fn start(&mut self, call: CallIdx) {
        let now = self.agenda.now();
        let at = &mut self.calls[call.place as usize];
        at.state = State::Running(now);
        let spec = self.deployment.class(at.class);
        let slow = spec.service == self.deployment.deep && self.shape.is_surging(now);
        let factor = if slow { self.shape.slowdown } else { 1.0 };
        let slots = self.deployment.services[spec.service.0].slots as usize;
        let crowd = self.nodes[at.node.0].gate.running() as f64 / slots as f64;
        let mean = spec.work_ms as f64 / 1e3 * factor * crowd.max(1.0);
        let work = mean / 2.0 + self.rng.exponential(mean / 2.0);
        self.agenda.schedule(Duration::from_secs_f64(work), Event::Worked(call));
    }

    /// A run makes its next further call or ends.
    fn proceed(&mut self, call: CallIdx) {
        let Some(at) = self.live(call) else { return };
        let (root, class, step) = (at.root, at.class, at.step);
        match self.deployment.class(class).calls.get(step) {
            Some(callee) => self.send(root, *callee, Sender::Run(call), 0),
            None => self.end(call, Answer::Done),
        }
    }

    /// Ends a call at its target and sends the answer on its way.
    fn end(&mut self, call: CallIdx, answer: Answer) {
        let now = self.agenda.now();
        let at = &mut self.calls[call.place as usize];
        let (node, class, from) = (at.node, at.class, at.from);
        let was = std::mem::replace(&mut at.state, State::Ended);
        let release = match was {
            State::Running(since) => {
                let held = now.since(since);
                at.spent += held.as_micros() as u64;
                let door = &mut self.nodes[node.0];
                if answer == Answer::Done {
                    door.times.observe(&self.names[class.0], held);
                }
                door.gate.finish(now, call.ticket(), held)
            }
            State::Waiting if answer == Answer::Failed => {
                self.nodes[node.0].gate.cancel(now, call.ticket())
            }
            _ => Release::default(),
        };
        let door = &mut self.nodes[node.0];
        let own = door.gate.level(now);
        let callees = self.closures[class.0].iter().skip(1).map(|class| &self.names[class.0]);
        let level = door.levels.combined(now, own, callees);
        let way = self.way(node, from);
        self.agenda.schedule(way, Event::Reply { call, answer, level });
        self.apply(node, release);
    }

    fn apply(&mut self, node: NodeIdx, release: Release) {
        for ticket in release.start {
            self.start(CallIdx::from_ticket(ticket));
        }
        self.refuse_all(node, release.refuse);
    }

    /// An answer comes back to the node that sent the call.
    fn reply(&mut self, call: CallIdx, answer: Answer, level: Level) {
        let now = self.agenda.now();
        let at = &self.calls[call.place as usize];
        let (root, class, sender) = (at.root, at.class, at.sender);
        let (from, node) = (at.from, at.node);
        let (awaited, spent, tries) = (at.awaited, at.spent, at.tries);
        let sent = at.sent;
        self.free.push(call.place);
        if self.policy == Policy::Bridge {
            let instance = self.nodes[node.0].instance.clone();
            let observed = match answer {
                Answer::Done => Observation::Done { latency: now.since(sent), level },
                Answer::NotRun => Observation::Refused { level },
                Answer::Failed => Observation::GivenUp,
            };
            let service = self.deployment.class(class).service;
            self.nodes[from.0].choosers[service.0].observe(now, &instance, observed);
            self.nodes[from.0].levels.record(now, &self.names[class.0], &instance, level);
        }
        let born = self.roots[root.0].born;
        if !awaited || answer != Answer::Done {
            self.tally.wasted(born, spent);
        }
        if !awaited {
            return;
        }
        match (answer, sender) {
            (Answer::Done, Sender::Entry) => {
                self.tally.used(born, spent);
                self.tell(root, true);
            }
            (Answer::Done, Sender::Run(run)) => {
                let run_at = &mut self.calls[run.place as usize];
                run_at.spent += spent;
                run_at.step += 1;
                run_at.child = None;
                self.proceed(run);
            }
            _ => self.send_again(root, class, sender, tries, answer),
        }
    }

    /// Sends a failed call to another target if that is allowed, and gives up on it otherwise.
    fn send_again(
        &mut self,
        root: RootIdx,
        class: ClassIdx,
        sender: Sender,
        tries: u32,
        answer: Answer,
    ) {
        let may = match self.policy {
            Policy::Bridge => answer == Answer::NotRun && sender != Sender::Entry,
            Policy::Naive | Policy::Fixed => tries < RESENDS,
        };
        if may && self.may_resend(root) {
            let pause = match self.policy {
                Policy::Fixed => self.rng.exponential(RESEND_PAUSE / 2.0),
                Policy::Naive | Policy::Bridge => 0.0,
            };
            let event = Event::Send { root, class, sender, tries: tries + 1 };
            return self.agenda.schedule(Duration::from_micros(pause as u64), event);
        }
        match sender {
            Sender::Entry => self.tell(root, false),
            Sender::Run(run) => self.end(run, Answer::Failed),
        }
    }

    /// A hop without poplarbridge no longer waits; the work goes on.
    fn time_out(&mut self, call: CallIdx) {
        let Some(at) = self.live(call) else { return };
        if !at.awaited {
            return;
        }
        let (root, class, sender, tries) = (at.root, at.class, at.sender, at.tries);
        self.calls[call.place as usize].awaited = false;
        self.send_again(root, class, sender, tries, Answer::Failed);
    }

    fn cancel(&mut self, call: CallIdx) {
        let Some(at) = self.live(call) else { return };
        let child = at.child;
        self.calls[call.place as usize].awaited = false;
        if let Some(child) = child {
            self.cancel(child);
        }
        self.end(call, Answer::Failed);
    }

    fn tick(&mut self) {
        let now = self.agenda.now();
        for idx in 0..self.nodes.len() {
            let release = self.nodes[idx].gate.tick(now);
            self.apply(NodeIdx(idx), release);
        }
        self.agenda.schedule(TICK, Event::Tick);
    }

    /// The call, unless it has ended.
    fn live(&self, call: CallIdx) -> Option<&Call> {
        let at = &self.calls[call.place as usize];
        (at.count == call.count && at.state != State::Ended).then_some(at)
    }

    fn client_way(&self) -> Duration {
        Duration::from_millis(self.deployment.client_ms)
    }

    fn way(&self, from: NodeIdx, to: NodeIdx) -> Duration {
        let same = self.nodes[from.0].zone == self.nodes[to.0].zone;
        Duration::from_micros(if same { LOCAL_MICROS } else { ZONE_MICROS })
    }
}

/// Tells every node of every target, as the membership does.
fn acquaint(deployment: &Deployment, nodes: &mut [Node], members: &[Vec<NodeIdx>]) {
    let zone = |node: &Node| Name::new(&format!("zone-{}", node.zone));
    let infos = nodes.iter().map(|node| (node.instance.clone(), zone(node)));
    let infos: Vec<_> = infos.collect();
    for node in nodes {
        for (service, members) in deployment.services.iter().zip(members) {
            let mut chooser = Balancer::new(zone(node));
            for member in members {
                let (instance, zone) = infos[member.0].clone();
                let (slots, connections) = (service.slots, service.connections);
                chooser.add_target(TargetInfo { instance, zone, slots, connections });
            }
            node.choosers.push(chooser);
        }
        for class in deployment.classes {
            for member in &members[class.service.0] {
                node.levels.add_instance(&Name::new(class.name), &infos[member.0].0);
            }
        }
    }
}
