//! What nodes tell each other apart from calls: rules, targets, and where routes are asked for.
//!
//! Each node subscribes to a few others that read the store ([`ReadPlanner`]) and is told of changes
//! when they arise. Signs of life carry a checksum over the targets; where it stays different, the
//! two ends compare digests and exchange the records that differ. So neither links nor bytes
//! grow with the fleet. See [membership](../../../../docs/design/membership.md).

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use poplar_core::{
    CatchUp, CrashNews, Introductions, LOCAL_HEARTBEAT, Moment, Name, PeerSightings,
    REMOTE_HEARTBEAT, RENEWAL_INTERVAL, ReadPlan, ReadPlanner, Reads, SUBSCRIPTION_TTL, Sighting,
    Stage, TargetRecord,
};
use poplar_kernel::{Clock, Service};
use serde_json::{Value, json};
use slog::{Logger, info};
use tokio::sync::{mpsc, watch};

use crate::proxy::frame::{Message, StateSummary};
use crate::proxy::links::link::Outbox;
use crate::proxy::links::peers::{LinkPeer, Peers, ReceivedMessage};
use crate::proxy::locality::Locality;
use crate::proxy::state::crashes::{CrashBroadcast, CrashRecords};
use crate::proxy::state::graph::CallGraph;
use crate::proxy::state::roster::Roster;
use crate::proxy::state::rules::Rules;
use crate::proxy::sync::store_sync::StoreHealth;
use crate::proxy::target::local_target::LocalTarget;

/// Pause between looks at the plan, the subscriptions and the signs of life that are due.
const TICK: Duration = Duration::from_millis(150);
/// Time for which targets must differ from those of a source in the own zone before the two are
/// compared; news that are on their way take far less.
const SAME_ZONE_COMPARE_DELAY: Duration = Duration::from_millis(1_000);
/// The same for a source in another zone, which reads the store at other moments.
const CROSS_ZONE_COMPARE_DELAY: Duration = Duration::from_millis(2_500);
/// Pause between two requests for the same thing.
const RULES_REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// Pause between two whole rosters to a node that cannot compare digests.
const FULL_ROSTER_INTERVAL: Duration = Duration::from_secs(2);

/// Tells other nodes what this one learns, and takes in what they tell.
pub(crate) struct PeerSync {
    pub(crate) clock: Clock,
    pub(crate) own_address: Name,
    pub(crate) zone: Name,
    pub(crate) rules: Arc<Rules>,
    pub(crate) roster: Arc<Roster>,
    pub(crate) graph: Arc<CallGraph>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) local_target: Arc<LocalTarget>,
    pub(crate) health: Arc<StoreHealth>,
    pub(crate) crashes: Arc<CrashRecords>,
    pub(crate) readers: ReadPlanner,
    /// Whom this node subscribes to and what it reads from the store.
    pub(crate) plan: watch::Sender<ReadPlan>,
    pub(crate) logger: Logger,
    pub(crate) state: State,
}

/// What changes while the process lives.
#[derive(Default)]
pub(crate) struct State {
    /// Version of the roster for which the readers were ranked.
    ranked_version: Option<u64>,
    sources: HashMap<Name, Source>,
    subscribers: HashMap<Name, Subscriber>,
    /// Newer rules that another zone has.
    behind: CatchUp<Arc<Outbox>>,
    introductions: Introductions,
    /// When rules were last asked for.
    rules_requested: Option<Moment>,
    /// When a node that cannot compare digests was last sent all records.
    roster_sent: Option<Moment>,
}

/// Node that this one subscribes to.
#[derive(Default)]
struct Source {
    outbox: Option<Arc<Outbox>>,
    connecting: bool,
    renewed: Moment,
    /// Since when its targets differ from the own ones.
    differs_since: Option<Moment>,
    peer_sightings: PeerSightings,
}

/// Node that subscribes to this one.
struct Subscriber {
    outbox: Arc<Outbox>,
    renewed: Moment,
    last_beat: Moment,
    peer_sightings: PeerSightings,
}

/// End of an attempt to reach a source.
type ConnectResult = (Name, Option<Arc<Outbox>>);

impl PeerSync {
    /// Runs for as long as the process lives.
    pub(crate) async fn run(
        mut self,
        mut posts: mpsc::Receiver<ReceivedMessage>,
        mut changes: mpsc::UnboundedReceiver<TargetRecord>,
        mut crashes: mpsc::UnboundedReceiver<CrashBroadcast>,
    ) {
        let mut rules = self.rules.watch();
        let (reached, mut ends) = mpsc::unbounded_channel();
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(post) = posts.recv() => self.handle_message(post),
                Some(changed) = changes.recv() => {
                    let mut changed = vec![changed];
                    changed.extend(std::iter::from_fn(|| changes.try_recv().ok()));
                    self.send_records(&changed);
                    // At a start this names the readers, for whom callers wait.
                    self.tick(&reached);
                }
                Some(first) = crashes.recv() => {
                    let more = std::iter::from_fn(|| crashes.try_recv().ok());
                    self.send_crashes(std::iter::once(first).chain(more));
                }
                Ok(()) = rules.changed() => self.announce_rules(),
                Some(end) = ends.recv() => self.handle_connect(end),
                _ = ticks.tick() => self.tick(&reached)
            }
        }
    }

    /// Looks after the plan, the subscriptions and the signs of life.
    fn tick(&mut self, reached: &mpsc::UnboundedSender<ConnectResult>) {
        let now = self.clock.now();
        self.rank_readers();
        let plan = self.readers.plan(now);
        if plan != *self.plan.borrow() {
            info!(self.logger, "news: sources changed"; "rules" => plan.reads.rules, "targets" => plan.reads.targets,
                "sources" => plan.sources.iter().map(Name::as_str).collect::<Vec<_>>().join(" "));
            self.state.sources.retain(|peer, _| plan.sources.contains(peer));
            self.plan.send_replace(plan.clone());
        }
        if plan.reads.rules {
            self.send_introductions(now);
        }
        self.crashes.expire();
        let sightings = self.graph.export_sightings();
        for peer in &plan.sources {
            self.subscribe(now, peer, &sightings, reached);
        }
        self.send_beats(now, &sightings);
        if let Some(outbox) = self.state.behind.next_source(now, self.rules.revision()) {
            self.request_rules(now, &outbox);
        }
    }

    /// Ranks the readers anew if the nodes have changed.
    fn rank_readers(&mut self) {
        let version = self.roster.version();
        if self.state.ranked_version == Some(version) {
            return;
        }
        let records = self.roster.records();
        let serving = records.iter().filter(|record| record.stage == Stage::Serving);
        self.readers.set_members(serving.clone().map(|record| (&record.peer, &record.zone)));
        let near =
            serving.filter(|record| record.zone == self.zone && record.peer != self.own_address);
        self.state.introductions.set_members(self.clock.now(), near.map(|record| &record.peer));
        self.state.ranked_version = Some(version);
    }

    /// Keeps up the subscription to a source.
    fn subscribe(
        &mut self,
        now: Moment,
        peer: &Name,
        sightings: &[Sighting],
        reached: &mpsc::UnboundedSender<ConnectResult>,
    ) {
        let known = self.local_summary();
        let source = self.state.sources.entry(peer.clone()).or_default();
        match source.outbox.as_ref().filter(|outbox| !outbox.is_closed()) {
            Some(outbox) => {
                if now.since(source.renewed) >= RENEWAL_INTERVAL {
                    source.renewed = now;
                    outbox.push(&Message::Subscribe(known));
                }
                send_sightings(now, outbox, &mut source.peer_sightings, sightings);
            }
            None if !source.connecting => {
                source.connecting = true;
                let (peers, peer, reached) = (self.peers.clone(), peer.clone(), reached.clone());
                tokio::spawn(async move {
                    let outbox = peers.outbox_to(&peer).await;
                    // Without a receiver the process is about to end.
                    let _ = reached.send((peer, outbox));
                });
            }
            None => {}
        }
    }

    /// Tells members of the zone that may know nobody of the target beside this node, by whose record
    /// they find this node.
    fn send_introductions(&mut self, now: Moment) {
        let Some(own) = self.local_target.record() else { return };
        for peer in self.state.introductions.due(now) {
            let (peers, own) = (self.peers.clone(), own.clone());
            info!(self.logger, "news: introduced to a member"; "peer" => %peer);
            tokio::spawn(async move {
                // One that is not reached is told again.
                if let Some(outbox) = peers.outbox_to(&peer).await {
                    outbox.push(&Message::Targets(vec![own]));
                }
            });
        }
    }

    fn handle_connect(&mut self, (peer, outbox): ConnectResult) {
        let now = self.clock.now();
        let known = self.local_summary();
        let outbox = outbox.filter(|outbox| outbox.supports_digests());
        if outbox.is_none() {
            self.readers.on_unreachable(now, &peer);
        }
        let Some(source) = self.state.sources.get_mut(&peer) else { return };
        if let Some(outbox) = &outbox {
            outbox.push(&Message::Subscribe(known));
        }
        let new = outbox.clone();
        *source = Source { outbox, renewed: now, ..Source::default() };
        if let Some(outbox) = new {
            self.send_known_crashes(&outbox);
        }
    }

    /// Gives the subscribers the signs of life and the sightings that are due.
    fn send_beats(&mut self, now: Moment, sightings: &[Sighting]) {
        let (known, fresh) = (self.local_summary(), self.health.current_reads(now));
        self.state.subscribers.retain(|_, subscriber| {
            !subscriber.outbox.is_closed() && now.since(subscriber.renewed) < SUBSCRIPTION_TTL
        });
        for subscriber in self.state.subscribers.values_mut() {
            let pause =
                if subscriber.outbox.is_near() { LOCAL_HEARTBEAT } else { REMOTE_HEARTBEAT };
            if now.since(subscriber.last_beat) >= pause {
                subscriber.last_beat = now;
                subscriber.outbox.push(&Message::Beat(known, fresh));
                send_sightings(now, &subscriber.outbox, &mut subscriber.peer_sightings, sightings);
            }
        }
    }

    /// Tells the subscribers at once that the rules have changed.
    fn announce_rules(&mut self) {
        let now = self.clock.now();
        let beat = Message::Beat(self.local_summary(), self.health.current_reads(now));
        for subscriber in self.state.subscribers.values_mut() {
            subscriber.last_beat = now;
            subscriber.outbox.push(&beat);
        }
    }

    /// Passes changed records on: the own one to the sources as well, and across zones only by a
    /// node that reads for its zone while the store, from which the others have them too, fails it.
    fn send_records(&mut self, changed: &[TargetRecord]) {
        let fresh = self.health.current_reads(self.clock.now()).targets;
        let fails = self.plan.borrow().reads.targets && !fresh;
        let all = Message::Targets(changed.to_vec());
        for subscriber in self.state.subscribers.values() {
            if subscriber.outbox.is_near() || fails {
                subscriber.outbox.push(&all);
            }
        }
        let own: Vec<_> =
            changed.iter().filter(|record| record.peer == self.own_address).cloned().collect();
        if own.is_empty() {
            return;
        }
        let own = Message::Targets(own);
        let outboxes = self.state.sources.values().filter_map(|source| source.outbox.as_ref());
        for outbox in outboxes.filter(|outbox| outbox.is_near()) {
            outbox.push(&own);
        }
    }

    /// Tells the neighbours in this zone, which pass on what is news to them, and the subscribers in
    /// others what has not come from there.
    fn send_crashes(&self, spread: impl Iterator<Item = CrashBroadcast>) {
        let (mut near, mut far) = (CrashNews::default(), CrashNews::default());
        for CrashBroadcast { news, locality } in spread {
            if locality == Locality::CrossZone {
                far.extend(news.clone());
            }
            near.extend(news);
        }
        let sources = self.state.sources.values().filter_map(|source| source.outbox.as_ref());
        let subscribers = self.state.subscribers.values().map(|subscriber| &subscriber.outbox);
        let neighbours = sources.chain(subscribers.clone()).filter(|outbox| outbox.is_near());
        let near = Message::Crashes(near);
        for outbox in neighbours.filter(|outbox| outbox.supports_crashes()) {
            outbox.push(&near);
        }
        if far.is_empty() {
            return;
        }
        let far = Message::Crashes(far);
        for outbox in subscribers.filter(|outbox| !outbox.is_near() && outbox.supports_crashes()) {
            outbox.push(&far);
        }
    }

    /// Tells a new neighbour what it may have missed of crashes.
    fn send_known_crashes(&self, outbox: &Outbox) {
        let standing = self.crashes.export_for_new_peer();
        if outbox.supports_crashes() && !standing.is_empty() {
            outbox.push(&Message::Crashes(standing));
        }
    }

    /// Takes in what another node tells.
    fn handle_message(&mut self, post: ReceivedMessage) {
        let now = self.clock.now();
        let ReceivedMessage { sender, message } = post;
        match message {
            Message::Subscribe(theirs) => self.handle_subscribe(now, &sender, theirs),
            Message::Beat(theirs, reads) => self.handle_beat(now, &sender, theirs, reads),
            Message::Want => {
                if let Some(held) = self.rules.current() {
                    sender.outbox.push(&Message::Rules(Box::new(held.rules.clone())));
                }
            }
            Message::Compare(theirs) => {
                let ranges = theirs.differing(&self.roster.digest());
                if !ranges.is_empty() {
                    let records = self.roster.records_in(ranges);
                    sender.outbox.push(&Message::Differ(ranges, records));
                }
            }
            Message::Differ(ranges, records) => {
                self.merge_records(records.clone());
                let mut own = self.roster.records_in(ranges);
                own.retain(|record| !records.contains(record));
                if !own.is_empty() {
                    sender.outbox.push(&Message::Targets(own));
                }
            }
            Message::Ping(theirs) | Message::Pong(theirs) => {
                self.check_revision(now, &sender, theirs);
                if !sender.outbox.supports_digests() {
                    self.send_full_state(now, &sender, theirs);
                }
            }
            Message::Rules(rules) => {
                let revision = rules.revision;
                let taken = self.rules.install(now, *rules);
                info!(self.logger, "rules: told by a peer"; "revision" => revision.0,
                    "in_force" => taken);
            }
            Message::Targets(records) => self.merge_records(records),
            Message::Sightings(told) => self.handle_sightings(now, &sender, &told),
            Message::Call(..)
            | Message::HeldCall(..)
            | Message::Cancel(_)
            | Message::Claim(..)
            | Message::Answer(..)
            | Message::Crashes(_) => {}
        }
    }

    fn handle_subscribe(&mut self, now: Moment, sender: &LinkPeer, theirs: StateSummary) {
        let Some(node) = &sender.node else { return };
        self.readers.on_subscribe(now);
        self.state.introductions.on_subscribe(node);
        let (known, fresh) = (self.local_summary(), self.health.current_reads(now));
        let held = self.state.subscribers.get_mut(node);
        match held.filter(|held| Arc::ptr_eq(&held.outbox, &sender.outbox)) {
            Some(subscriber) => subscriber.renewed = now,
            None => {
                let outbox = sender.outbox.clone();
                outbox.push(&Message::Beat(known, fresh));
                let told = PeerSightings::default();
                self.send_known_crashes(&outbox);
                let subscriber =
                    Subscriber { outbox, renewed: now, last_beat: now, peer_sightings: told };
                self.state.subscribers.insert(node.clone(), subscriber);
            }
        }
        self.check_revision(now, sender, theirs);
    }

    fn handle_beat(&mut self, now: Moment, sender: &LinkPeer, theirs: StateSummary, reads: Reads) {
        let Some(node) = &sender.node else { return };
        self.readers.on_heartbeat(now, node, reads);
        self.check_revision(now, sender, theirs);
        let own = self.local_summary();
        let Some(source) = self.state.sources.get_mut(node) else { return };
        if theirs.targets == own.targets {
            source.differs_since = None;
            return;
        }
        let difference = if sender.outbox.is_near() {
            SAME_ZONE_COMPARE_DELAY
        } else {
            CROSS_ZONE_COMPARE_DELAY
        };
        if now.since(*source.differs_since.get_or_insert(now)) >= difference {
            source.differs_since = None;
            sender.outbox.push(&Message::Compare(self.roster.digest()));
        }
    }

    /// Sees to it that rules which another node has get here.
    fn check_revision(&mut self, now: Moment, sender: &LinkPeer, theirs: StateSummary) {
        let own = self.rules.revision();
        if !sender.outbox.is_near() {
            self.state.behind.record_newer(now, own, theirs.revision, sender.outbox.clone());
        } else if theirs.revision > own {
            self.request_rules(now, &sender.outbox);
        }
    }

    fn request_rules(&mut self, now: Moment, outbox: &Outbox) {
        let asked = self
            .state
            .rules_requested
            .is_some_and(|asked| now.since(asked) < RULES_REQUEST_INTERVAL);
        if outbox.supports_digests() && !asked && outbox.push(&Message::Want) {
            self.state.rules_requested = Some(now);
        }
    }

    /// Sends a node of an earlier version what it lacks, as it cannot ask.
    fn send_full_state(&mut self, now: Moment, sender: &LinkPeer, theirs: StateSummary) {
        let own = self.local_summary();
        if theirs.revision < own.revision
            && let Some(held) = self.rules.current()
        {
            sender.outbox.push(&Message::Rules(Box::new(held.rules.clone())));
        }
        sender.outbox.push(&Message::Sightings(self.graph.export_sightings()));
        let due =
            self.state.roster_sent.is_none_or(|whole| now.since(whole) >= FULL_ROSTER_INTERVAL);
        if theirs.targets != own.targets && due {
            self.state.roster_sent = Some(now);
            sender.outbox.push(&Message::Targets(self.roster.records()));
        }
    }

    fn merge_records(&self, records: Vec<TargetRecord>) {
        for record in records {
            if record.peer == self.own_address {
                self.local_target.adopt(&record, false);
            }
            let instance = record.instance.clone();
            let (stage, age) = (record.stage, record.age);
            if self.roster.merge(record) {
                info!(self.logger, "roster: told by a peer"; "instance" => %instance,
                    "stage" => ?stage, "born" => age.born, "sequence" => age.sequence);
            }
        }
    }

    fn handle_sightings(&mut self, now: Moment, sender: &LinkPeer, told: &[Sighting]) {
        self.graph.merge_sightings(told);
        let Some(node) = &sender.node else { return };
        if let Some(source) = self.state.sources.get_mut(node) {
            source.peer_sightings.record_received(now, told);
        }
        if let Some(subscriber) = self.state.subscribers.get_mut(node) {
            subscriber.peer_sightings.record_received(now, told);
        }
    }

    fn local_summary(&self) -> StateSummary {
        StateSummary { revision: self.rules.revision(), targets: self.roster.checksum() }
    }
}

fn send_sightings(now: Moment, outbox: &Outbox, told: &mut PeerSightings, sightings: &[Sighting]) {
    let news = told.select_unsent(now, sightings);
    if !news.is_empty() {
        outbox.push(&Message::Sightings(news));
    }
}

/// Plan in force, for the state dump.
pub(crate) struct PlanView(pub(crate) watch::Receiver<ReadPlan>);

impl Service for PlanView {
    fn name(&self) -> &'static str {
        "news"
    }

    fn dump(&self, _now: Moment) -> Value {
        let plan = self.0.borrow();
        json!({ "sources": plan.sources, "reads": plan.reads })
    }
}
