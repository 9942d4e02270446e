//! Decides which nodes read the store, and to which of these readers the other nodes subscribe.
//!
//! Neither the calls to the store nor the links of a node may grow with the fleet. A few nodes of
//! each availability zone, selected by rendezvous hashing over its members, read the store; every
//! node subscribes to two of them. All readers read the rules. Only the first reader of a zone
//! reads the records of targets, because a late record costs no more than a hop. A reader also
//! subscribes to one reader of each other zone, so that a zone whose readers can't reach the store
//! still gets updates from the other zones. There is no leader: while nodes disagree about who
//! reads, the only cost is a few more calls.
//!
//! A heartbeat from a reader is fresh if it reports that the reader recently read the rules without
//! a failure. A node that gets no fresh heartbeat reads the store itself. See
//! [membership](../../docs/design/membership.md).

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::ids::{Name, rendezvous_weight};
use crate::time::Moment;

/// Number of readers of an availability zone, however small it is; updates still arrive after the
/// loss of one reader.
const MIN_READERS: usize = 2;
/// Number of members of a zone for each further reader; bounds the subscribers of one reader.
const MEMBERS_PER_READER: usize = 64;
/// Number of readers of its own zone to which a node subscribes.
const LOCAL_SOURCES: usize = 2;
/// Time without a fresh heartbeat after which a reader of the own zone is replaced. It allows for
/// the loss of a few heartbeats ([`LOCAL_HEARTBEAT`]), and is short compared with the time in which
/// a change must be in force.
const LOCAL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Time without a fresh heartbeat ([`REMOTE_HEARTBEAT`]) after which a reader of another zone is
/// replaced.
const REMOTE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Time between two heartbeats from a reader to a subscriber of its own zone.
pub const LOCAL_HEARTBEAT: Duration = Duration::from_millis(300);
/// Time between two heartbeats from a reader to a subscriber of another zone; updates are sent as
/// they occur and do not wait for a heartbeat.
pub const REMOTE_HEARTBEAT: Duration = Duration::from_millis(900);
/// Time after which a node renews a subscription.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which a subscription that was not renewed ends.
pub const SUBSCRIPTION_TTL: Duration = Duration::from_millis(3_500);
/// Shortest time for which a reader without a fresh heartbeat is not selected again.
const MIN_EXCLUSION: Duration = Duration::from_millis(1_000);
/// Longest time for which a reader without a fresh heartbeat is not selected again.
const MAX_EXCLUSION: Duration = Duration::from_secs(8);
/// Time after its start before which a node that knows no other node does not read the rules. If
/// all nodes start at once, it knows some others by then.
const LONE_START_DELAY: Duration = Duration::from_millis(1_200);
/// Time after its start before which a node does not read the rules if it has readers to subscribe
/// to and all of them were reachable. It is many times a round trip and a call to the store.
const START_DELAY: Duration = Duration::from_millis(500);

/// What a node is to read from the store, or has recently read without a failure.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reads {
    /// Whether it reads the operators' rules.
    pub rules: bool,
    /// Whether it reads the records of targets.
    pub targets: bool,
}

/// Subscriptions and reads of a node from now on.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReadPlan {
    /// Nodes to subscribe to.
    pub sources: Vec<Name>,
    /// What to read from the store.
    pub reads: Reads,
}

/// Selects the readers that one node subscribes to, and what it reads from the store itself.
#[derive(Debug)]
pub struct ReadPlanner {
    own_address: Name,
    zone: Name,
    /// Addresses of the members by zone, in rendezvous order; the first ones are the readers.
    ranked: BTreeMap<Name, Vec<Name>>,
    sources: HashMap<Name, Source>,
    /// Last time at which another node subscribed to this one.
    last_subscribed: Option<Moment>,
    /// Time of the first plan.
    started: Option<Moment>,
    /// Whether the record of any node is known.
    knows_members: bool,
    /// Whether a source was ever unreachable.
    source_failed: bool,
}

/// Reader that this node subscribes to or has subscribed to.
#[derive(Debug, Clone, Copy, Default)]
struct Source {
    /// Time at which it was selected or last reported that it reads the rules; `None` while it is
    /// not selected.
    last_alive: Option<Moment>,
    /// Time at which it last reported that it reads the rules.
    last_rules: Option<Moment>,
    /// Time at which it last reported that it reads the records of targets.
    last_targets: Option<Moment>,
    /// Time before which it is not selected again.
    excluded_until: Moment,
    /// Duration of its last exclusion; zero once it has reported again that it reads the rules.
    backoff: Duration,
}

impl ReadPlanner {
    /// Planner of the node at `own_address`, which knows no other node yet.
    pub fn new(own_address: Name, zone: Name) -> Self {
        let (ranked, sources) = (BTreeMap::new(), HashMap::new());
        let mut planner = Self {
            own_address,
            zone,
            ranked,
            sources,
            last_subscribed: None,
            started: None,
            knows_members: false,
            source_failed: false,
        };
        planner.set_members([]);
        planner
    }

    /// Sets the addresses and zones of the nodes that may be readers.
    pub fn set_members<'a>(&mut self, members: impl IntoIterator<Item = (&'a Name, &'a Name)>) {
        let mut ranked = BTreeMap::from([(self.zone.clone(), vec![self.own_address.clone()])]);
        for (peer, zone) in members {
            self.knows_members = true;
            if *peer != self.own_address {
                ranked.entry(zone.clone()).or_default().push(peer.clone());
            }
        }
        for (zone, peers) in &mut ranked {
            let key = xxh3_128(zone.as_str().as_bytes());
            peers.sort_by_cached_key(|peer| {
                (std::cmp::Reverse(rendezvous_weight(key, peer.as_str())), peer.clone())
            });
        }
        let is_member = |peer: &Name| ranked.values().any(|peers| peers.contains(peer));
        self.sources.retain(|peer, _| is_member(peer));
        self.ranked = ranked;
    }

    /// Records a heartbeat of a source, which reports what it reads.
    pub fn on_heartbeat(&mut self, now: Moment, peer: &Name, reads: Reads) {
        let Some(source) = self.sources.get_mut(peer).filter(|source| source.last_alive.is_some())
        else {
            return;
        };
        if reads.rules {
            (source.last_alive, source.last_rules) = (Some(now), Some(now));
            source.backoff = Duration::ZERO;
        }
        if reads.targets {
            source.last_targets = Some(now);
        }
    }

    /// Excludes a source that cannot be reached.
    pub fn on_unreachable(&mut self, now: Moment, peer: &Name) {
        self.source_failed = true;
        if let Some(source) = self.sources.get_mut(peer) {
            source.exclude(now);
        }
    }

    /// Records that another node subscribes to this one, or renews its subscription.
    pub fn on_subscribe(&mut self, now: Moment) {
        self.last_subscribed = Some(now);
    }

    /// Selects the sources to subscribe to and what to read from the store.
    pub fn plan(&mut self, now: Moment) -> ReadPlan {
        self.exclude_silent(now);
        let started = *self.started.get_or_insert(now);
        let local = self.local_readers(now);
        let (is_reader, is_first) =
            (local.contains(&self.own_address), local.first() == Some(&self.own_address));
        let has_subscribers =
            self.last_subscribed.is_some_and(|at| now.since(at) < SUBSCRIPTION_TTL);
        let mut sources = self.local_sources(local);
        let has_source = |reads: fn(&Source) -> Option<Moment>| {
            let known = sources.iter().filter_map(|peer| self.sources.get(peer));
            known.filter_map(reads).any(|at| now.since(at) < LOCAL_TIMEOUT)
        };
        let (has_rules, has_targets) =
            (has_source(|source| source.last_rules), has_source(|source| source.last_targets));
        let delayed = now.since(started) < self.start_delay(!sources.is_empty());
        let reads = Reads {
            rules: has_subscribers || (is_reader && self.knows_members) || !(has_rules || delayed),
            targets: is_first || !has_targets,
        };
        if is_reader || has_subscribers {
            sources.extend(self.remote_sources(now));
        }
        for (peer, source) in &mut self.sources {
            source.last_alive = source.last_alive.filter(|_| sources.contains(peer));
        }
        for source in &sources {
            self.sources.entry(source.clone()).or_default().last_alive.get_or_insert(now);
        }
        ReadPlan { sources, reads }
    }

    /// Time after the start before which this node does not read the rules, unless it is a reader
    /// or has subscribers.
    fn start_delay(&self, has_sources: bool) -> Duration {
        match (self.knows_members, has_sources && !self.source_failed) {
            (false, _) => LONE_START_DELAY,
            (true, true) => START_DELAY,
            (true, false) => Duration::ZERO,
        }
    }

    /// Readers of the own zone: the first members in rendezvous order that are not excluded.
    fn local_readers(&self, now: Moment) -> Vec<Name> {
        let peers = self.ranked.get(&self.zone).map_or(&[][..], Vec::as_slice);
        let count = MIN_READERS + peers.len() / MEMBERS_PER_READER;
        let usable =
            peers.iter().filter(|peer| **peer == self.own_address || !self.is_excluded(now, peer));
        usable.take(count).cloned().collect()
    }

    /// The readers in `local` that this node subscribes to, selected by a hash of its address so
    /// that the nodes of the zone are spread over its readers.
    fn local_sources(&self, mut local: Vec<Name>) -> Vec<Name> {
        local.retain(|peer| *peer != self.own_address);
        let key = xxh3_128(self.own_address.as_str().as_bytes());
        local.sort_by_cached_key(|peer| std::cmp::Reverse(rendezvous_weight(key, peer.as_str())));
        local.truncate(LOCAL_SOURCES);
        local
    }

    /// One reader of each other zone: the first member in rendezvous order that is not excluded.
    fn remote_sources(&self, now: Moment) -> Vec<Name> {
        let others = self.ranked.iter().filter(|(zone, _)| **zone != self.zone);
        others
            .filter_map(|(_, peers)| {
                peers.iter().find(|peer| !self.is_excluded(now, peer)).cloned()
            })
            .collect()
    }

    fn is_excluded(&self, now: Moment, peer: &Name) -> bool {
        self.sources.get(peer).is_some_and(|source| now < source.excluded_until)
    }

    /// Excludes the sources whose last fresh heartbeat is too long ago.
    fn exclude_silent(&mut self, now: Moment) {
        let local = self.ranked.get(&self.zone);
        for (peer, source) in &mut self.sources {
            let is_local = local.is_some_and(|peers| peers.contains(peer));
            let timeout = if is_local { LOCAL_TIMEOUT } else { REMOTE_TIMEOUT };
            if source.last_alive.is_some_and(|alive| now.since(alive) >= timeout) {
                source.exclude(now);
            }
        }
    }
}

impl Source {
    fn exclude(&mut self, now: Moment) {
        if now < self.excluded_until {
            return;
        }
        self.backoff = (self.backoff * 2).clamp(MIN_EXCLUSION, MAX_EXCLUSION);
        self.excluded_until = now + self.backoff;
        (self.last_alive, self.last_rules, self.last_targets) = (None, None, None);
    }
}
