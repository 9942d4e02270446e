//! Synchronization between nodes: rules, target records, crash records and sightings of routes.
//!
//! Each node subscribes to a few others that read the store ([`ReadPlanner`]), which send it
//! changes as they occur. Periodic beats carry a checksum over the target records; if the checksums
//! of two nodes stay different, the nodes compare digests and exchange the records that differ.
//! Neither the links nor the bytes per node grow with the number of nodes. See
//! [membership](../../../../docs/design/membership.md).

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
use slog::{Logger, info, warn};
use tokio::sync::{mpsc, watch};

use crate::proxy::frame::{Message, StateSummary};
use crate::proxy::links::link::Outbox;
use crate::proxy::links::peers::{LinkPeer, Peers, ReceivedMessage};
use crate::proxy::locality::Locality;
use crate::proxy::state::crashes::{CrashBroadcast, CrashRecords};
use crate::proxy::state::graph::CallGraph;
use crate::proxy::state::roster::{Roster, is_plausible};
use crate::proxy::state::rules::Rules;
use crate::proxy::sync::store_sync::StoreHealth;
use crate::proxy::target::local_target::LocalTarget;
use crate::proxy::unix_time::unix_time;

/// Interval at which the plan, the subscriptions and the due beats are checked.
const TICK: Duration = Duration::from_millis(150);
/// Time for which the target records must differ from those of a source in the same zone before the
/// two nodes compare digests; changes in transit arrive much faster.
const SAME_ZONE_COMPARE_DELAY: Duration = Duration::from_millis(1_000);
/// As [`SAME_ZONE_COMPARE_DELAY`], for a source in another zone, which reads the store at other
/// times.
const CROSS_ZONE_COMPARE_DELAY: Duration = Duration::from_millis(2_500);
/// Shortest interval between two requests for the rules.
const RULES_REQUEST_INTERVAL: Duration = Duration::from_millis(400);
/// Shortest interval between two full rosters sent to nodes that cannot compare digests.
const FULL_ROSTER_INTERVAL: Duration = Duration::from_secs(2);

/// Task that exchanges state with other nodes.
pub(crate) struct PeerSync {
    pub(crate) clock: Clock,
    /// Address by which other nodes know this one.
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
    /// Publishes the nodes to subscribe to and the streams to read from the store.
    pub(crate) plan: watch::Sender<ReadPlan>,
    pub(crate) logger: Logger,
    pub(crate) state: State,
}

/// Mutable state of [`PeerSync`].
#[derive(Default)]
pub(crate) struct State {
    /// Version of the roster for which the readers were ranked.
    ranked_version: Option<u64>,
    sources: HashMap<Name, Source>,
    subscribers: HashMap<Name, Subscriber>,
    /// Node of another zone that has newer rules.
    behind: CatchUp<Arc<Outbox>>,
    introductions: Introductions,
    /// When the rules were last requested.
    rules_requested: Option<Moment>,
    /// When all records were last sent to a node that cannot compare digests.
    roster_sent: Option<Moment>,
}

/// Node that this one subscribes to.
#[derive(Default)]
struct Source {
    outbox: Option<Arc<Outbox>>,
    connecting: bool,
    renewed: Moment,
    /// Since when its target records differ from those of this node.
    differs_since: Option<Moment>,
    /// Sightings that it has, sent by this node or received from it.
    peer_sightings: PeerSightings,
}

/// Node that subscribes to this one.
struct Subscriber {
    outbox: Arc<Outbox>,
    renewed: Moment,
    last_beat: Moment,
    /// Sightings that it has, sent by this node or received from it.
    peer_sightings: PeerSightings,
}

/// Reason for which a link to a node was requested.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Purpose {
    /// The node is a source to subscribe to.
    Subscription,
    /// The node is a member of the zone that may not know any node to subscribe to.
    Introduction,
}

/// Node to which a link was requested, why, and the link's outbox if the attempt succeeded.
type ConnectResult = (Name, Purpose, Option<Arc<Outbox>>);

impl PeerSync {
    /// Handles messages, changes and timers until the process exits.
    pub(crate) async fn run(
        mut self,
        mut posts: mpsc::Receiver<ReceivedMessage>,
        mut changes: mpsc::UnboundedReceiver<TargetRecord>,
        mut crashes: mpsc::UnboundedReceiver<CrashBroadcast>,
    ) {
        let mut rules = self.rules.watch();
        let (connects, mut connect_results) = mpsc::unbounded_channel();
        let mut ticks = tokio::time::interval(TICK);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                Some(post) = posts.recv() => self.handle_message(post),
                Some(changed) = changes.recv() => {
                    let mut changed = vec![changed];
                    changed.extend(std::iter::from_fn(|| changes.try_recv().ok()));
                    self.send_records(&changed);
                    // At a start, the first records name the readers to subscribe to. Callers wait
                    // until the node has the rules, so this is not left to the next tick.
                    self.tick(&connects);
                }
                Some(first) = crashes.recv() => {
                    let more = std::iter::from_fn(|| crashes.try_recv().ok());
                    self.send_crashes(std::iter::once(first).chain(more));
                }
                Ok(()) = rules.changed() => self.announce_rules(),
                Some(result) = connect_results.recv() => self.handle_connect(result),
                _ = ticks.tick() => self.tick(&connects),
            }
        }
    }

    /// Updates the plan, renews subscriptions and sends the beats that are due.
    fn tick(&mut self, connects: &mpsc::UnboundedSender<ConnectResult>) {
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
            self.send_introductions(now, connects);
        }
        self.crashes.expire();
        let sightings = self.graph.export_sightings();
        for peer in &plan.sources {
            self.subscribe(now, peer, &sightings, connects);
        }
        self.send_beats(now, &sightings);
        if let Some(outbox) = self.state.behind.next_source(now, self.rules.revision()) {
            self.request_rules(now, &outbox);
        }
    }

    /// Updates the ranking of readers if the roster has changed.
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

    /// Establishes or renews the subscription to a source.
    fn subscribe(
        &mut self,
        now: Moment,
        peer: &Name,
        sightings: &[Sighting],
        connects: &mpsc::UnboundedSender<ConnectResult>,
    ) {
        let summary = self.local_summary();
        let source = self.state.sources.entry(peer.clone()).or_default();
        match source.outbox.as_ref().filter(|outbox| !outbox.is_closed()) {
            Some(outbox) => {
                if now.since(source.renewed) >= RENEWAL_INTERVAL {
                    source.renewed = now;
                    outbox.push(&Message::Subscribe(summary));
                }
                send_sightings(now, outbox, &mut source.peer_sightings, sightings);
            }
            None if !source.connecting => {
                source.connecting = true;
                self.connect(peer.clone(), Purpose::Subscription, connects);
            }
            None => {}
        }
    }

    /// Establishes a link to a node, and sends the result to `connects`.
    fn connect(
        &self,
        peer: Name,
        purpose: Purpose,
        connects: &mpsc::UnboundedSender<ConnectResult>,
    ) {
        let (peers, connects) = (self.peers.clone(), connects.clone());
        tokio::spawn(async move {
            let outbox = peers.outbox_to(&peer).await;
            // Without a receiver the process is about to exit.
            let _ = connects.send((peer, purpose, outbox));
        });
    }

    /// Connects to members of the zone that may not know any node to subscribe to, to send them the
    /// record of the local target; the record gives them the address of this node.
    fn send_introductions(&mut self, now: Moment, connects: &mpsc::UnboundedSender<ConnectResult>) {
        if self.local_target.record().is_none() {
            return;
        }
        for peer in self.state.introductions.due(now) {
            self.connect(peer, Purpose::Introduction, connects);
        }
    }

    fn handle_connect(&mut self, (peer, purpose, outbox): ConnectResult) {
        match purpose {
            Purpose::Subscription => self.handle_source(peer, outbox),
            Purpose::Introduction => self.introduce(&peer, outbox.as_deref()),
        }
    }

    /// Sends the record of the local target to a member of the zone.
    fn introduce(&mut self, peer: &Name, outbox: Option<&Outbox>) {
        let Some(own) = self.local_target.record() else { return };
        if outbox.is_some_and(|outbox| outbox.push(&Message::Targets(vec![own]))) {
            info!(self.logger, "news: record sent to a member that has not subscribed"; "peer" => %peer);
        } else {
            self.state.introductions.on_unreachable(peer);
        }
    }

    /// Subscribes to a source to which a link was made, or records that it cannot be reached.
    fn handle_source(&mut self, peer: Name, outbox: Option<Arc<Outbox>>) {
        let now = self.clock.now();
        let summary = self.local_summary();
        let outbox = outbox.filter(|outbox| outbox.supports_digests());
        if outbox.is_none() {
            self.readers.on_unreachable(now, &peer);
        }
        let Some(source) = self.state.sources.get_mut(&peer) else { return };
        if let Some(outbox) = &outbox {
            outbox.push(&Message::Subscribe(summary));
        }
        let new = outbox.clone();
        *source = Source { outbox, renewed: now, ..Source::default() };
        if let Some(outbox) = new {
            self.send_known_crashes(&outbox);
        }
    }

    /// Sends the subscribers the beats and sightings that are due, after removing those that have
    /// not renewed their subscription.
    fn send_beats(&mut self, now: Moment, sightings: &[Sighting]) {
        let (summary, reads) = (self.local_summary(), self.health.current_reads(now));
        let State { subscribers, introductions, .. } = &mut self.state;
        subscribers.retain(|node, subscriber| {
            let subscribed =
                !subscriber.outbox.is_closed() && now.since(subscriber.renewed) < SUBSCRIPTION_TTL;
            if !subscribed {
                introductions.on_unsubscribe(now, node);
            }
            subscribed
        });
        for subscriber in self.state.subscribers.values_mut() {
            let pause =
                if subscriber.outbox.is_near() { LOCAL_HEARTBEAT } else { REMOTE_HEARTBEAT };
            if now.since(subscriber.last_beat) >= pause {
                subscriber.last_beat = now;
                subscriber.outbox.push(&Message::Beat(summary, reads));
                send_sightings(now, &subscriber.outbox, &mut subscriber.peer_sightings, sightings);
            }
        }
    }

    /// Sends all subscribers a beat at once, which carries the new revision of the rules.
    fn announce_rules(&mut self) {
        let now = self.clock.now();
        let beat = Message::Beat(self.local_summary(), self.health.current_reads(now));
        for subscriber in self.state.subscribers.values_mut() {
            subscriber.last_beat = now;
            subscriber.outbox.push(&beat);
        }
    }

    /// Sends changed records to the subscribers.
    ///
    /// Subscribers in other zones get them only from a node that reads the target records for its
    /// zone and whose reads fail; otherwise they get them from the store. The record of this node
    /// itself also goes to its sources in the zone.
    fn send_records(&mut self, changed: &[TargetRecord]) {
        let reads_targets = self.health.current_reads(self.clock.now()).targets;
        let reads_fail = self.plan.borrow().reads.targets && !reads_targets;
        let all = Message::Targets(changed.to_vec());
        for subscriber in self.state.subscribers.values() {
            if subscriber.outbox.is_near() || reads_fail {
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

    /// Sends new crash marks and successes to the sources and subscribers in this zone, which
    /// forward what is new to them. Subscribers in other zones get only those that may leave the
    /// zone.
    fn send_crashes(&self, broadcasts: impl Iterator<Item = CrashBroadcast>) {
        let (mut same_zone, mut cross_zone) = (CrashNews::default(), CrashNews::default());
        for CrashBroadcast { news, locality } in broadcasts {
            if locality == Locality::CrossZone {
                cross_zone.extend(news.clone());
            }
            same_zone.extend(news);
        }
        let sources = self.state.sources.values().filter_map(|source| source.outbox.as_ref());
        let subscribers = self.state.subscribers.values().map(|subscriber| &subscriber.outbox);
        let zone_peers = sources.chain(subscribers.clone()).filter(|outbox| outbox.is_near());
        let same_zone = Message::Crashes(same_zone);
        for outbox in zone_peers.filter(|outbox| outbox.supports_crashes()) {
            outbox.push(&same_zone);
        }
        if cross_zone.is_empty() {
            return;
        }
        let cross_zone = Message::Crashes(cross_zone);
        for outbox in subscribers.filter(|outbox| !outbox.is_near() && outbox.supports_crashes()) {
            outbox.push(&cross_zone);
        }
    }

    /// Sends a node that has just connected the crashes that it may have missed.
    fn send_known_crashes(&self, outbox: &Outbox) {
        let crashes = self.crashes.export_for_new_peer();
        if outbox.supports_crashes() && !crashes.is_empty() {
            outbox.push(&Message::Crashes(crashes));
        }
    }

    /// Handles a message of another node that does not belong to a call.
    fn handle_message(&mut self, post: ReceivedMessage) {
        let now = self.clock.now();
        let ReceivedMessage { sender, message } = post;
        match message {
            Message::Subscribe(theirs) => self.handle_subscribe(now, &sender, theirs),
            Message::Beat(theirs, reads) => self.handle_beat(now, &sender, theirs, reads),
            Message::Want => {
                if let Some(active) = self.rules.current() {
                    sender.outbox.push(&Message::Rules(Box::new(active.rules.clone())));
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
                let installed = self.rules.install(now, *rules);
                info!(self.logger, "rules: received from a peer"; "revision" => revision.0,
                    "in_force" => installed);
            }
            Message::Targets(records) => self.merge_records(records),
            Message::Sightings(sightings) => self.handle_sightings(now, &sender, &sightings),
            Message::Call(..)
            | Message::HeldCall(..)
            | Message::Cancel(_)
            | Message::Claim(..)
            | Message::Answer(..)
            | Message::Crashes(_)
            | Message::StatedLimit(..)
            | Message::Lease(..)
            | Message::Leased(..) => {}
        }
    }

    /// Adds a subscriber or renews its subscription.
    fn handle_subscribe(&mut self, now: Moment, sender: &LinkPeer, theirs: StateSummary) {
        let Some(node) = &sender.node else { return };
        self.readers.on_subscribe(now);
        self.state.introductions.on_subscribe(node);
        let (summary, reads) = (self.local_summary(), self.health.current_reads(now));
        let known = self.state.subscribers.get_mut(node);
        match known.filter(|known| Arc::ptr_eq(&known.outbox, &sender.outbox)) {
            Some(subscriber) => subscriber.renewed = now,
            None => {
                let outbox = sender.outbox.clone();
                outbox.push(&Message::Beat(summary, reads));
                let peer_sightings = PeerSightings::default();
                self.send_known_crashes(&outbox);
                let subscriber =
                    Subscriber { outbox, renewed: now, last_beat: now, peer_sightings };
                self.state.subscribers.insert(node.clone(), subscriber);
            }
        }
        self.check_revision(now, sender, theirs);
        // A node that lost the store at its start may know no other node than its subscribers.
        if self.plan.borrow().sources.is_empty() && theirs.targets != summary.targets {
            sender.outbox.push(&Message::Compare(self.roster.digest()));
        }
    }

    /// Records that a source is alive, and compares digests with it if its target records have
    /// differed from those of this node for long enough.
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
        let delay = if sender.outbox.is_near() {
            SAME_ZONE_COMPARE_DELAY
        } else {
            CROSS_ZONE_COMPARE_DELAY
        };
        if now.since(*source.differs_since.get_or_insert(now)) >= delay {
            source.differs_since = None;
            sender.outbox.push(&Message::Compare(self.roster.digest()));
        }
    }

    /// Compares the revision of another node with that of this one. Newer rules are requested at
    /// once from a node of the same zone, and after a delay from one of another zone.
    fn check_revision(&mut self, now: Moment, sender: &LinkPeer, theirs: StateSummary) {
        let own = self.rules.revision();
        if !sender.outbox.is_near() {
            self.state.behind.record_newer(now, own, theirs.revision, sender.outbox.clone());
        } else if theirs.revision > own {
            self.request_rules(now, &sender.outbox);
        }
    }

    /// Requests the rules, unless they were requested a moment ago.
    fn request_rules(&mut self, now: Moment, outbox: &Outbox) {
        let recent = self
            .state
            .rules_requested
            .is_some_and(|requested| now.since(requested) < RULES_REQUEST_INTERVAL);
        if outbox.supports_digests() && !recent && outbox.push(&Message::Want) {
            self.state.rules_requested = Some(now);
        }
    }

    /// Sends a node of an earlier version the rules and records that it lacks, as it cannot request
    /// them.
    fn send_full_state(&mut self, now: Moment, sender: &LinkPeer, theirs: StateSummary) {
        let own = self.local_summary();
        if theirs.revision < own.revision
            && let Some(active) = self.rules.current()
        {
            sender.outbox.push(&Message::Rules(Box::new(active.rules.clone())));
        }
        sender.outbox.push(&Message::Sightings(self.graph.export_sightings()));
        let due = self.state.roster_sent.is_none_or(|sent| now.since(sent) >= FULL_ROSTER_INTERVAL);
        if theirs.targets != own.targets && due {
            self.state.roster_sent = Some(now);
            sender.outbox.push(&Message::Targets(self.roster.records()));
        }
    }

    fn merge_records(&self, records: Vec<TargetRecord>) {
        for record in records {
            if !is_plausible(&record, unix_time()) {
                warn!(self.logger, "roster: record ignored"; "key" => %record.peer);
                continue;
            }
            if record.peer == self.own_address {
                self.local_target.adopt(&record, false);
            }
            let instance = record.instance.clone();
            let (stage, age) = (record.stage, record.age);
            if self.roster.merge(record) {
                info!(self.logger, "roster: received from a peer"; "instance" => %instance,
                    "stage" => ?stage, "born" => age.born, "sequence" => age.sequence);
            }
        }
    }

    /// Merges sightings of another node, and notes that they need not be sent to it.
    fn handle_sightings(&mut self, now: Moment, sender: &LinkPeer, sightings: &[Sighting]) {
        self.graph.merge_sightings(sightings);
        let Some(node) = &sender.node else { return };
        if let Some(source) = self.state.sources.get_mut(node) {
            source.peer_sightings.record_received(now, sightings);
        }
        if let Some(subscriber) = self.state.subscribers.get_mut(node) {
            subscriber.peer_sightings.record_received(now, sightings);
        }
    }

    /// Revision and checksum of the state of this node, as sent with beats and subscriptions.
    fn local_summary(&self) -> StateSummary {
        StateSummary { revision: self.rules.revision(), targets: self.roster.checksum() }
    }
}

/// Sends the sightings that are new to the other node.
fn send_sightings(
    now: Moment,
    outbox: &Outbox,
    peer_sightings: &mut PeerSightings,
    sightings: &[Sighting],
) {
    let news = peer_sightings.select_unsent(now, sightings);
    if !news.is_empty() {
        outbox.push(&Message::Sightings(news));
    }
}

/// Service that adds the current plan to the state dump.
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
