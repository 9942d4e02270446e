//! Which nodes read the store, and from whom the others have its news.
//!
//! The store's calls and the links of a node must not grow with the fleet. A few nodes of each
//! availability zone, drawn by rendezvous hashing over its members, read the store; every node
//! subscribes to two of them. The first alone reads the records of targets, of which a late one
//! costs a hop at most; all read the rules. A reader also subscribes to one reader of each other zone, so that
//! a zone whose readers lost the store still learns what the others know. There is no leader:
//! nodes that disagree for a while about who reads cost a few calls and nothing else. A node that
//! hears of no fresh reader reads for itself. See [membership](../../docs/design/membership.md).

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use crate::ids::{Name, rendezvous_weight};
use crate::time::Moment;

/// Readers of an availability zone however small it is, so that the loss of one is no loss of news.
const MIN_READERS: usize = 2;
/// Members of a zone for each further reader; bounds the subscribers of one.
const MEMBERS_PER_READER: usize = 64;
/// Readers of its own zone to which a node subscribes.
const LOCAL_SOURCES: usize = 2;
/// Time without a fresh word from a reader of the own zone after which another is asked; a few
/// [`LOCAL_HEARTBEAT`]s, and short against the time in which a change must be in force.
const LOCAL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// The same for a reader of another zone, which tells of itself each [`REMOTE_HEARTBEAT`].
const REMOTE_TIMEOUT: Duration = Duration::from_millis(3_000);
/// Pause between two signs of life from a reader to a subscriber of its own zone.
pub const LOCAL_HEARTBEAT: Duration = Duration::from_millis(300);
/// The same to a subscriber of another zone; news are sent when they arise, whatever the pause.
pub const REMOTE_HEARTBEAT: Duration = Duration::from_millis(900);
/// Pause after which a subscription is renewed.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which a subscription that was not renewed is over.
pub const SUBSCRIPTION_TTL: Duration = Duration::from_millis(3_500);
/// First time for which a reader that said nothing fresh is left alone.
const MIN_EXCLUSION: Duration = Duration::from_millis(1_000);
/// Longest such time.
const MAX_EXCLUSION: Duration = Duration::from_secs(8);
/// Time after its start for which a node that knows no other waits with the rules: where all start
/// at once, it knows some by then.
const LONE_START_DELAY: Duration = Duration::from_millis(1_200);
/// The same for a node that knows readers, none of which has refused its connection; a round trip
/// and a call to the store, many times over.
const START_DELAY: Duration = Duration::from_millis(500);

/// What a node reads from the store, or has read of late without a failure.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reads {
    /// The operators' rules.
    pub rules: bool,
    /// The records of targets.
    pub targets: bool,
}

/// What a node should do now.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ReadPlan {
    /// Nodes to subscribe to.
    pub sources: Vec<Name>,
    /// What to read from the store.
    pub reads: Reads,
}

/// What one node knows of those who may read for it.
#[derive(Debug)]
pub struct ReadPlanner {
    own_address: Name,
    zone: Name,
    /// Members by zone, the most likely reader first.
    ranked: BTreeMap<Name, Vec<Name>>,
    sources: HashMap<Name, Source>,
    /// Last time at which another node subscribed to this one.
    last_subscribed: Option<Moment>,
    /// First plan.
    started: Option<Moment>,
    /// Whether any node is known by its record.
    knows_members: bool,
    /// Whether a source could not be reached.
    source_failed: bool,
}

/// Node that this one subscribes to, or did.
#[derive(Debug, Clone, Copy, Default)]
struct Source {
    /// When it was chosen or last said that it reads the rules; none while it isn't chosen.
    last_alive: Option<Moment>,
    /// When it last said that it reads the rules.
    last_rules: Option<Moment>,
    /// When it last said that it reads the records of targets.
    last_targets: Option<Moment>,
    /// It is not chosen before.
    excluded_until: Moment,
    backoff: Duration,
}

impl ReadPlanner {
    /// Plan of the node at `own`, which knows of nobody yet.
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

    /// Takes over the addresses and zones of the nodes that may read.
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

    /// Takes in a sign of life of a source, and what it reads.
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

    /// Takes in that a source cannot be reached.
    pub fn on_unreachable(&mut self, now: Moment, peer: &Name) {
        self.source_failed = true;
        if let Some(source) = self.sources.get_mut(peer) {
            source.exclude(now);
        }
    }

    /// Takes in that another node subscribes to this one, or renews its subscription.
    pub fn on_subscribe(&mut self, now: Moment) {
        self.last_subscribed = Some(now);
    }

    /// Decides whom to subscribe to and what to read.
    pub fn plan(&mut self, now: Moment) -> ReadPlan {
        self.exclude_silent(now);
        let started = *self.started.get_or_insert(now);
        let local = self.local_readers(now);
        let (is_reader, is_first) =
            (local.contains(&self.own_address), local.first() == Some(&self.own_address));
        let asked = self.last_subscribed.is_some_and(|asked| now.since(asked) < SUBSCRIPTION_TTL);
        let mut sources = self.local_sources(local);
        let has_source = |reads: fn(&Source) -> Option<Moment>| {
            let known = sources.iter().filter_map(|peer| self.sources.get(peer));
            known.filter_map(reads).any(|at| now.since(at) < LOCAL_TIMEOUT)
        };
        let (has_rules, has_targets) =
            (has_source(|source| source.last_rules), has_source(|source| source.last_targets));
        let delayed = now.since(started) < self.start_delay(!sources.is_empty());
        let reads = Reads {
            rules: asked || (is_reader && self.knows_members) || !(has_rules || delayed),
            targets: is_first || !has_targets,
        };
        if is_reader || asked {
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

    /// Time after the start for which rules are left to others.
    fn start_delay(&self, has_sources: bool) -> Duration {
        match (self.knows_members, has_sources && !self.source_failed) {
            (false, _) => LONE_START_DELAY,
            (true, true) => START_DELAY,
            (true, false) => Duration::ZERO,
        }
    }

    /// Readers of the own zone as far as they can be reached.
    fn local_readers(&self, now: Moment) -> Vec<Name> {
        let peers = self.ranked.get(&self.zone).map_or(&[][..], Vec::as_slice);
        let count = MIN_READERS + peers.len() / MEMBERS_PER_READER;
        let usable =
            peers.iter().filter(|peer| **peer == self.own_address || !self.is_excluded(now, peer));
        usable.take(count).cloned().collect()
    }

    /// The readers among `near` that this node subscribes to, spread over its zone's nodes.
    fn local_sources(&self, mut local: Vec<Name>) -> Vec<Name> {
        local.retain(|peer| *peer != self.own_address);
        let key = xxh3_128(self.own_address.as_str().as_bytes());
        local.sort_by_cached_key(|peer| std::cmp::Reverse(rendezvous_weight(key, peer.as_str())));
        local.truncate(LOCAL_SOURCES);
        local
    }

    /// One reader of each other zone.
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

    /// Leaves sources alone that gave no fresh word for too long.
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
