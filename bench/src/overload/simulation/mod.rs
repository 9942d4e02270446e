//! Simulates the calls, targets and callers of one run on a simulated clock.
//!
//! A call holds a slot of its target from its start until its nested calls are answered. A target
//! is a number of slots and a random service time. The network is only a fixed latency; nothing
//! else of a cluster is simulated.

mod callers;
mod state;

use std::collections::BTreeMap;
use std::time::Duration;

use poplar_core::{
    AdmissionVerdict, Arrival, Balancer, ErrorKind, ImportanceScale, InstanceId, Level, LevelMap,
    Moment, Name, Observation, Refusal, Release, RunTimes, TargetInfo, TargetLimits,
};

use state::{Answer, Call, CallIdx, CallState, Event, Node, NodeIdx, Request, RequestIdx, Sender};

use crate::overload::clock::{EventQueue, Rng};
use crate::overload::deployment::{
    CROSS_ZONE_MICROS, ClassIdx, Deployment, SAME_ZONE_MICROS, ServiceIdx,
};
use crate::overload::queue::{Policy, TargetQueue};
use crate::overload::stats::RunStats;

/// Largest number of re-sends by each caller and, without poplarbridge, by each hop.
const RESENDS: u32 = 3;
/// Largest number of re-sends that the contract allows one request over its whole chain of calls.
const BUDGET: u32 = 3;
/// Time after which a hop without poplarbridge stops waiting for the answer to one send.
const HOP_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest pause before a caller sends again, in microseconds; callers ignore retry-after.
const RESEND_PAUSE: f64 = 50_000.0;
/// Interval at which queued calls are checked for a passed deadline.
const TICK: Duration = Duration::from_millis(10);

/// Load of one run: calm, surge, calm.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LoadShape {
    pub(crate) seed: u64,
    /// Load in the surge, in multiples of the capacity at full speed.
    pub(crate) surge: f64,
    /// Load before and after the surge, in multiples of the same capacity.
    pub(crate) calm: f64,
    /// Factor on the service time of the slow service during the surge.
    pub(crate) slowdown: f64,
    /// Factor by which the slow service's targets announce more slots than they have.
    pub(crate) overstated: f64,
    /// Length of each of the three phases.
    pub(crate) phase: Duration,
}

impl LoadShape {
    pub(crate) fn surge_start(&self) -> Moment {
        Moment::default() + self.phase
    }

    pub(crate) fn surge_end(&self) -> Moment {
        self.surge_start() + self.phase
    }

    pub(crate) fn is_surging(&self, now: Moment) -> bool {
        (self.surge_start()..self.surge_end()).contains(&now)
    }
}

/// State of one run.
pub(crate) struct Simulation<'a> {
    deployment: &'a Deployment,
    policy: Policy,
    shape: LoadShape,
    events: EventQueue<Event>,
    rng: Rng,
    nodes: Vec<Node>,
    /// Nodes of each service.
    members: Vec<Vec<NodeIdx>>,
    /// Name of each class.
    names: Vec<Name>,
    indices: BTreeMap<InstanceId, NodeIdx>,
    /// Result of [`Deployment::reachable_classes`] for each class.
    reachable: Vec<Vec<ClassIdx>>,
    requests: Vec<Request>,
    calls: Vec<Call>,
    /// Indices of entries in `calls` that can be reused.
    free_slots: Vec<u32>,
    stats: RunStats,
}

impl<'a> Simulation<'a> {
    pub(crate) fn new(deployment: &'a Deployment, policy: Policy, shape: LoadShape) -> Self {
        let scale = ImportanceScale::new(deployment.classes.iter().map(|class| class.importance));
        let mut nodes = Vec::new();
        let mut members = vec![Vec::new(); deployment.services.len()];
        for (idx, service) in deployment.services.iter().enumerate() {
            for number in 0..service.targets {
                members[idx].push(NodeIdx(nodes.len()));
                let is_slow = ServiceIdx(idx) == deployment.slow_service;
                let factor = if is_slow { shape.overstated } else { 1.0 };
                let announced = (f64::from(service.slots) * factor) as u32;
                let limits = TargetLimits::derive(announced, service.connections);
                let name = format!("{}-{number}", service.name);
                nodes.push(Node {
                    zone: number % deployment.zones,
                    instance: InstanceId::from(name.as_str()),
                    queue: TargetQueue::new(policy, limits, scale.clone()),
                    levels: LevelMap::new(scale.clone()),
                    times: RunTimes::new(),
                    balancers: Vec::new(),
                });
            }
        }
        register_targets(deployment, &mut nodes, &members);
        let indices = nodes.iter().enumerate();
        let indices = indices.map(|(idx, node)| (node.instance.clone(), NodeIdx(idx))).collect();
        let classes = deployment.class_indices();
        Self {
            deployment,
            policy,
            shape,
            events: EventQueue::new(),
            rng: Rng::new(shape.seed),
            nodes,
            members,
            indices,
            names: deployment.classes.iter().map(|class| Name::new(class.name)).collect(),
            reachable: classes.map(|class| deployment.reachable_classes(class)).collect(),
            requests: Vec::new(),
            calls: Vec::new(),
            free_slots: Vec::new(),
            stats: RunStats::new(deployment.classes.len(), shape),
        }
    }

    /// Runs the three phases and returns the counts.
    pub(crate) fn run(mut self) -> RunStats {
        self.events.schedule(Duration::ZERO, Event::NewRequest);
        self.events.schedule(TICK, Event::Tick);
        let end = self.shape.surge_end() + self.shape.phase;
        while let Some(event) = self.events.next() {
            if self.events.now() > end {
                break;
            }
            self.handle(event);
        }
        self.stats
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::NewRequest => self.create_request(),
            Event::EnterNode(request) => self.enter_node(request),
            Event::Send { request, class, sender, attempt } => {
                self.send(request, class, sender, attempt)
            }
            Event::Arrive(call) => self.arrive(call),
            Event::WorkDone(call) => self.proceed(call),
            Event::Reply { call, answer, level } => self.reply(call, answer, level),
            Event::Timeout(call) => self.time_out(call),
            Event::Result { request, succeeded } => self.receive_result(request, succeeded),
            Event::Expire(request) => self.expire(request),
            Event::Tick => self.tick(),
        }
    }

    /// Returns whether the levels known at a node say that the call or a nested one would be
    /// refused.
    fn would_be_refused(
        &mut self,
        now: Moment,
        node: NodeIdx,
        class: ClassIdx,
        request: RequestIdx,
    ) -> bool {
        let names = self.reachable[class.0].iter().map(|class| &self.names[class.0]);
        self.nodes[node.0].levels.would_refuse(now, self.requests[request.0].rank, names)
    }

    /// Records a refusal if every service that the class reaches had a free slot or a less
    /// important queued call; it is a violation if any of them had such a call.
    fn check_refusal(&mut self, request: RequestIdx, class: ClassIdx) {
        let importance = self.requests[request.0].rank.importance();
        let could_evict = |idx: &NodeIdx| {
            self.nodes[idx.0].queue.lowest_queued().is_some_and(|lowest| lowest < importance)
        };
        let has_room = |idx: &NodeIdx| self.nodes[idx.0].queue.has_room();
        let services = self.reachable[class.0].iter().map(|class| self.deployment.class(*class));
        let mut members = services.map(|class| &self.members[class.service.0]);
        let has_capacity =
            members.clone().all(|all| all.iter().any(|n| could_evict(n) || has_room(n)));
        let could_evict_any = members.any(|all| all.iter().any(could_evict));
        if has_capacity {
            self.stats.record_refusal_with_room(could_evict_any);
        }
    }

    /// Sends a call to a target, unless the run that makes it has ended or, with poplarbridge, the
    /// request is finished.
    fn send(&mut self, request: RequestIdx, class: ClassIdx, sender: Sender, attempt: u32) {
        if self.requests[request.0].finished && self.policy == Policy::Bridge {
            return;
        }
        if let Sender::Run(run) = sender
            && self.active_call(run).is_none()
        {
            return;
        }
        let from = self.sender_node(request, sender);
        let node = self.choose(from, class, request);
        let index = self.free_slots.pop().unwrap_or_else(|| {
            self.calls.push(Call::vacant());
            self.calls.len() as u32 - 1
        });
        let slot = &mut self.calls[index as usize];
        let generation = slot.generation + 1;
        let state = CallState::InTransit;
        let (awaited, child, step, slot_micros) = (true, None, 0, 0);
        let sent = self.events.now();
        *slot = Call {
            sent,
            generation,
            request,
            class,
            sender,
            from,
            node,
            state,
            attempt,
            awaited,
            child,
            step,
            slot_micros,
        };
        let call = CallIdx { index, generation };
        match sender {
            Sender::Entry => self.requests[request.0].call = Some(call),
            Sender::Run(run) => self.calls[run.index as usize].child = Some(call),
        }
        self.events.schedule(self.latency(from, node), Event::Arrive(call));
        if self.policy != Policy::Bridge {
            self.events.schedule(HOP_TIMEOUT, Event::Timeout(call));
        }
    }

    fn sender_node(&self, request: RequestIdx, sender: Sender) -> NodeIdx {
        match sender {
            Sender::Entry => self.requests[request.0].entry,
            Sender::Run(run) => self.calls[run.index as usize].node,
        }
    }

    /// Chooses the node for a call: with the core's balancer, or at random without poplarbridge.
    fn choose(&mut self, from: NodeIdx, class: ClassIdx, request: RequestIdx) -> NodeIdx {
        let service = self.deployment.class(class).service;
        let members = &self.members[service.0];
        let any = members[self.rng.below(members.len())];
        if self.policy != Policy::Bridge {
            return any;
        }
        let (now, random) = (self.events.now(), self.rng.next());
        let rank = self.requests[request.0].rank;
        let choice = self.nodes[from.0].balancers[service.0].choose(now, rank, random, &[]);
        choice.map_or(any, |choice| self.indices[&choice.instance])
    }

    /// Handles a call at the node of its target.
    fn arrive(&mut self, call: CallIdx) {
        let Some(record) = self.active_call(call) else { return };
        let now = self.events.now();
        let (request, class, node) = (record.request, record.class, record.node);
        let has_begun = record.sender != Sender::Entry;
        let age = now.since(self.requests[request.0].created);
        let deadline = Duration::from_millis(
            self.deployment.class(self.requests[request.0].class).deadline_ms,
        );
        let callees = self.reachable[class.0].len() > 1;
        if self.policy == Policy::Bridge
            && callees
            && self.would_be_refused(now, node, class, request)
        {
            self.check_refusal(request, class);
            return self.finish(call, Answer::NotRun);
        }
        let arrival = Arrival {
            ticket: call.ticket(),
            rank: self.requests[request.0].rank,
            age,
            left: deadline.saturating_sub(age + self.client_latency()),
            min_latency: self.nodes[node.0].times.expected(&self.names[class.0]),
            begun: has_begun,
        };
        self.calls[call.index as usize].state = CallState::Queued;
        match self.nodes[node.0].queue.arrive(now, arrival) {
            AdmissionVerdict::Admit => self.start(call),
            AdmissionVerdict::Queue { evicted } => self.refuse_all(node, evicted),
            AdmissionVerdict::Refuse(refusal) => self.refuse_all(node, Some(refusal)),
        }
    }

    /// Answers refused and evicted calls. Records a violation for each overload refusal while a
    /// less important call is queued.
    fn refuse_all(&mut self, node: NodeIdx, refusals: impl IntoIterator<Item = Refusal>) {
        for refusal in refusals {
            let call = CallIdx::from_ticket(refusal.ticket);
            let importance =
                self.requests[self.calls[call.index as usize].request.0].rank.importance();
            let lowest = self.nodes[node.0].queue.lowest_queued();
            if refusal.kind == ErrorKind::Overload && lowest.is_some_and(|l| l < importance) {
                self.stats.record_refusal_with_room(true);
            }
            self.finish(call, Answer::NotRun);
        }
    }

    /// Starts a call in a slot. If the target runs more calls than it has slots, as when it
    /// announces too many, each call takes proportionally longer.
    fn start(&mut self, call: CallIdx) {
        let now = self.events.now();
        let record = &mut self.calls[call.index as usize];
        record.state = CallState::Running(now);
        let spec = self.deployment.class(record.class);
        let slow = spec.service == self.deployment.slow_service && self.shape.is_surging(now);
        let factor = if slow { self.shape.slowdown } else { 1.0 };
        let slots = self.deployment.services[spec.service.0].slots as usize;
        let overcommit = self.nodes[record.node.0].queue.running() as f64 / slots as f64;
        let mean = spec.work_ms as f64 / 1e3 * factor * overcommit.max(1.0);
        let work = mean / 2.0 + self.rng.exponential(mean / 2.0);
        self.events.schedule(Duration::from_secs_f64(work), Event::WorkDone(call));
    }

    /// Makes the next nested call of a run, or ends the run.
    fn proceed(&mut self, call: CallIdx) {
        let Some(record) = self.active_call(call) else { return };
        let (request, class, step) = (record.request, record.class, record.step);
        match self.deployment.class(class).calls.get(step) {
            Some(callee) => self.send(request, *callee, Sender::Run(call), 0),
            None => self.finish(call, Answer::Done),
        }
    }

    /// Ends a call at its target and sends the answer to the node that made the call.
    fn finish(&mut self, call: CallIdx, answer: Answer) {
        let now = self.events.now();
        let record = &mut self.calls[call.index as usize];
        let (node, class, from) = (record.node, record.class, record.from);
        let previous = std::mem::replace(&mut record.state, CallState::Ended);
        let release = match previous {
            CallState::Running(since) => {
                let slot_time = now.since(since);
                record.slot_micros += slot_time.as_micros() as u64;
                let node_state = &mut self.nodes[node.0];
                if answer == Answer::Done {
                    node_state.times.observe(&self.names[class.0], slot_time);
                }
                node_state.queue.finish(now, call.ticket(), slot_time)
            }
            CallState::Queued if answer == Answer::Failed => {
                self.nodes[node.0].queue.cancel(now, call.ticket())
            }
            _ => Release::default(),
        };
        let node_state = &mut self.nodes[node.0];
        let own = node_state.queue.level(now);
        let callees = self.reachable[class.0].iter().skip(1).map(|class| &self.names[class.0]);
        let level = node_state.levels.combined(now, own, callees);
        let latency = self.latency(node, from);
        self.events.schedule(latency, Event::Reply { call, answer, level });
        self.apply_release(node, release);
    }

    fn apply_release(&mut self, node: NodeIdx, release: Release) {
        for ticket in release.start {
            self.start(CallIdx::from_ticket(ticket));
        }
        self.refuse_all(node, release.refuse);
    }

    /// Handles an answer at the node that sent the call.
    fn reply(&mut self, call: CallIdx, answer: Answer, level: Level) {
        let now = self.events.now();
        let record = &self.calls[call.index as usize];
        let (request, class, sender) = (record.request, record.class, record.sender);
        let (from, node) = (record.from, record.node);
        let (awaited, slot_micros, attempt) = (record.awaited, record.slot_micros, record.attempt);
        let sent = record.sent;
        self.free_slots.push(call.index);
        if self.policy == Policy::Bridge {
            let instance = self.nodes[node.0].instance.clone();
            let observed = match answer {
                Answer::Done => Observation::Done { latency: now.since(sent), level },
                Answer::NotRun => Observation::Refused { level },
                Answer::Failed => Observation::GivenUp,
            };
            let service = self.deployment.class(class).service;
            self.nodes[from.0].balancers[service.0].observe(now, &instance, observed);
            self.nodes[from.0].levels.record(now, &self.names[class.0], &instance, level);
        }
        let created = self.requests[request.0].created;
        if !awaited || answer != Answer::Done {
            self.stats.add_wasted(created, slot_micros);
        }
        if !awaited {
            return;
        }
        match (answer, sender) {
            (Answer::Done, Sender::Entry) => {
                self.stats.add_used(created, slot_micros);
                self.send_result(request, true);
            }
            (Answer::Done, Sender::Run(run)) => {
                let run_record = &mut self.calls[run.index as usize];
                run_record.slot_micros += slot_micros;
                run_record.step += 1;
                run_record.child = None;
                self.proceed(run);
            }
            _ => self.send_again(request, class, sender, attempt, answer),
        }
    }

    /// Sends a failed call again if the policy and the budget allow it; otherwise reports the
    /// failure to the caller or ends the calling run as failed.
    fn send_again(
        &mut self,
        request: RequestIdx,
        class: ClassIdx,
        sender: Sender,
        attempt: u32,
        answer: Answer,
    ) {
        let allowed = match self.policy {
            Policy::Bridge => answer == Answer::NotRun && sender != Sender::Entry,
            Policy::Naive | Policy::Fixed => attempt < RESENDS,
        };
        if allowed && self.take_resend(request) {
            let pause = match self.policy {
                Policy::Fixed => self.rng.exponential(RESEND_PAUSE / 2.0),
                Policy::Naive | Policy::Bridge => 0.0,
            };
            let event = Event::Send { request, class, sender, attempt: attempt + 1 };
            return self.events.schedule(Duration::from_micros(pause as u64), event);
        }
        match sender {
            Sender::Entry => self.send_result(request, false),
            Sender::Run(run) => self.finish(run, Answer::Failed),
        }
    }

    /// Stops waiting for a call at a hop without poplarbridge; the call itself continues.
    fn time_out(&mut self, call: CallIdx) {
        let Some(record) = self.active_call(call) else { return };
        if !record.awaited {
            return;
        }
        let (request, class, sender, attempt) =
            (record.request, record.class, record.sender, record.attempt);
        self.calls[call.index as usize].awaited = false;
        self.send_again(request, class, sender, attempt, Answer::Failed);
    }

    /// Cancels a call and the nested call that it waits for.
    fn cancel(&mut self, call: CallIdx) {
        let Some(record) = self.active_call(call) else { return };
        let child = record.child;
        self.calls[call.index as usize].awaited = false;
        if let Some(child) = child {
            self.cancel(child);
        }
        self.finish(call, Answer::Failed);
    }

    fn tick(&mut self) {
        let now = self.events.now();
        for idx in 0..self.nodes.len() {
            let release = self.nodes[idx].queue.tick(now);
            self.apply_release(NodeIdx(idx), release);
        }
        self.events.schedule(TICK, Event::Tick);
    }

    /// Returns the call unless it has ended.
    fn active_call(&self, call: CallIdx) -> Option<&Call> {
        let record = &self.calls[call.index as usize];
        (record.generation == call.generation && record.state != CallState::Ended).then_some(record)
    }

    /// Returns the one-way network latency between callers and nodes.
    fn client_latency(&self) -> Duration {
        Duration::from_millis(self.deployment.client_latency_ms)
    }

    /// Returns the one-way network latency between two nodes.
    fn latency(&self, from: NodeIdx, to: NodeIdx) -> Duration {
        let same = self.nodes[from.0].zone == self.nodes[to.0].zone;
        Duration::from_micros(if same { SAME_ZONE_MICROS } else { CROSS_ZONE_MICROS })
    }
}

/// Registers every target with every node, as membership does in a real cluster.
fn register_targets(deployment: &Deployment, nodes: &mut [Node], members: &[Vec<NodeIdx>]) {
    let zone = |node: &Node| Name::new(&format!("zone-{}", node.zone));
    let infos = nodes.iter().map(|node| (node.instance.clone(), zone(node)));
    let infos: Vec<_> = infos.collect();
    for node in nodes {
        for (service, members) in deployment.services.iter().zip(members) {
            let mut balancer = Balancer::new(zone(node));
            for member in members {
                let (instance, zone) = infos[member.0].clone();
                let (slots, connections) = (service.slots, service.connections);
                balancer.add_target(TargetInfo { instance, zone, slots, connections });
            }
            node.balancers.push(balancer);
        }
        for class in deployment.classes {
            for member in &members[class.service.0] {
                node.levels.add_instance(&Name::new(class.name), &infos[member.0].0);
            }
        }
    }
}
