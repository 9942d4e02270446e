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
const READERS_MIN: usize = 2;
/// Members of a zone for each further reader; bounds the subscribers of one.
const MEMBERS_PER_READER: usize = 64;
/// Readers of its own zone to which a node subscribes.
const NEAR_SOURCES: usize = 2;
/// Time without a fresh word from a reader of the own zone after which another is asked; a few
/// [`LOCAL_HEARTBEAT`]s, and short against the time in which a change must be in force.
const NEAR_SILENCE: Duration = Duration::from_millis(1_000);
/// The same for a reader of another zone, which tells of itself each [`REMOTE_HEARTBEAT`].
const FAR_SILENCE: Duration = Duration::from_millis(3_000);
/// Pause between two signs of life from a reader to a subscriber of its own zone.
pub const LOCAL_HEARTBEAT: Duration = Duration::from_millis(300);
/// The same to a subscriber of another zone; news are sent when they arise, whatever the pause.
pub const REMOTE_HEARTBEAT: Duration = Duration::from_millis(900);
/// Pause after which a subscription is renewed.
pub const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_000);
/// Time after which a subscription that was not renewed is over.
pub const SUBSCRIPTION_TTL: Duration = Duration::from_millis(3_500);
/// First time for which a reader that said nothing fresh is left alone.
const SHUN_MIN: Duration = Duration::from_millis(1_000);
/// Longest such time.
const SHUN_MAX: Duration = Duration::from_secs(8);
/// Time after its start for which a node that knows no other waits with the rules: where all start
/// at once, it knows some by then.
const LONE_PATIENCE: Duration = Duration::from_millis(1_200);
/// The same for a node that knows readers, none of which has refused its connection; a round trip
/// and a call to the store, many times over.
const START_PATIENCE: Duration = Duration::from_millis(500);

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
    own: Name,
    zone: Name,
    /// Members by zone, the most likely reader first.
    ranked: BTreeMap<Name, Vec<Name>>,
    sources: HashMap<Name, Source>,
    /// Last time at which another node subscribed to this one.
    asked: Option<Moment>,
    /// First plan.
    started: Option<Moment>,
    /// Whether any node is known by its record.
    populated: bool,
    /// Whether a source could not be reached.
    refused: bool,
}

/// Node that this one subscribes to, or did.
#[derive(Debug, Clone, Copy, Default)]
struct Source {
    /// When it was chosen or last said that it reads the rules; none while it isn't chosen.
    alive: Option<Moment>,
    /// When it last said that it reads the rules.
    rules: Option<Moment>,
    /// When it last said that it reads the records of targets.
    targets: Option<Moment>,
    /// It is not chosen before.
    shunned: Moment,
    backoff: Duration,
}

impl ReadPlanner {
    /// Plan of the node at `own`, which knows of nobody yet.
    pub fn new(own: Name, zone: Name) -> Self {
        let (ranked, sources) = (BTreeMap::new(), HashMap::new());
        let mut readers = Self {
            own,
            zone,
            ranked,
            sources,
            asked: None,
            started: None,
            populated: false,
            refused: false,
        };
        readers.set_members([]);
        readers
    }

    /// Takes over the addresses and zones of the nodes that may read.
    pub fn set_members<'a>(&mut self, members: impl IntoIterator<Item = (&'a Name, &'a Name)>) {
        let mut ranked = BTreeMap::from([(self.zone.clone(), vec![self.own.clone()])]);
        for (peer, zone) in members {
            self.populated = true;
            if *peer != self.own {
                ranked.entry(zone.clone()).or_default().push(peer.clone());
            }
        }
        for (zone, peers) in &mut ranked {
            let key = xxh3_128(zone.as_str().as_bytes());
            peers.sort_by_cached_key(|peer| {
                (std::cmp::Reverse(rendezvous_weight(key, peer.as_str())), peer.clone())
            });
        }
        let known = |peer: &Name| ranked.values().any(|peers| peers.contains(peer));
        self.sources.retain(|peer, _| known(peer));
        self.ranked = ranked;
    }

    /// Takes in a sign of life of a source, and what it reads.
    pub fn on_heartbeat(&mut self, now: Moment, source: &Name, reads: Reads) {
        let Some(known) = self.sources.get_mut(source).filter(|known| known.alive.is_some()) else {
            return;
        };
        if reads.rules {
            (known.alive, known.rules) = (Some(now), Some(now));
            known.backoff = Duration::ZERO;
        }
        if reads.targets {
            known.targets = Some(now);
        }
    }

    /// Takes in that a source cannot be reached.
    pub fn on_unreachable(&mut self, now: Moment, source: &Name) {
        self.refused = true;
        if let Some(known) = self.sources.get_mut(source) {
            known.shun(now);
        }
    }

    /// Takes in that another node subscribes to this one, or renews its subscription.
    pub fn on_subscribe(&mut self, now: Moment) {
        self.asked = Some(now);
    }

    /// Decides whom to subscribe to and what to read.
    pub fn plan(&mut self, now: Moment) -> ReadPlan {
        self.drop_silent(now);
        let started = *self.started.get_or_insert(now);
        let near = self.near(now);
        let (is_reader, is_first) = (near.contains(&self.own), near.first() == Some(&self.own));
        let asked = self.asked.is_some_and(|asked| now.since(asked) < SUBSCRIPTION_TTL);
        let mut sources = self.near_sources(near);
        let fed = |reads: fn(&Source) -> Option<Moment>| {
            let known = sources.iter().filter_map(|source| self.sources.get(source));
            known.filter_map(reads).any(|at| now.since(at) < NEAR_SILENCE)
        };
        let (has_rules, has_targets) = (fed(|known| known.rules), fed(|known| known.targets));
        let patient = now.since(started) < self.patience(!sources.is_empty());
        let reads = Reads {
            rules: asked || (is_reader && self.populated) || !(has_rules || patient),
            targets: is_first || !has_targets,
        };
        if is_reader || asked {
            sources.extend(self.far_sources(now));
        }
        for (peer, known) in &mut self.sources {
            known.alive = known.alive.filter(|_| sources.contains(peer));
        }
        for source in &sources {
            self.sources.entry(source.clone()).or_default().alive.get_or_insert(now);
        }
        ReadPlan { sources, reads }
    }

    /// Time after the start for which rules are left to others.
    fn patience(&self, has_sources: bool) -> Duration {
        match (self.populated, has_sources && !self.refused) {
            (false, _) => LONE_PATIENCE,
            (true, true) => START_PATIENCE,
            (true, false) => Duration::ZERO,
        }
    }

    /// Readers of the own zone as far as they can be reached.
    fn near(&self, now: Moment) -> Vec<Name> {
        let peers = self.ranked.get(&self.zone).map_or(&[][..], Vec::as_slice);
        let count = READERS_MIN + peers.len() / MEMBERS_PER_READER;
        let willing = peers.iter().filter(|peer| **peer == self.own || !self.is_shunned(now, peer));
        willing.take(count).cloned().collect()
    }

    /// The readers among `near` that this node subscribes to, spread over its zone's nodes.
    fn near_sources(&self, mut near: Vec<Name>) -> Vec<Name> {
        near.retain(|peer| *peer != self.own);
        let key = xxh3_128(self.own.as_str().as_bytes());
        near.sort_by_cached_key(|peer| std::cmp::Reverse(rendezvous_weight(key, peer.as_str())));
        near.truncate(NEAR_SOURCES);
        near
    }

    /// One reader of each other zone.
    fn far_sources(&self, now: Moment) -> Vec<Name> {
        let others = self.ranked.iter().filter(|(zone, _)| **zone != self.zone);
        others
            .filter_map(|(_, peers)| peers.iter().find(|peer| !self.is_shunned(now, peer)).cloned())
            .collect()
    }

    fn is_shunned(&self, now: Moment, peer: &Name) -> bool {
        self.sources.get(peer).is_some_and(|known| now < known.shunned)
    }

    /// Leaves sources alone that gave no fresh word for too long.
    fn drop_silent(&mut self, now: Moment) {
        let near = self.ranked.get(&self.zone);
        for (peer, known) in &mut self.sources {
            let is_near = near.is_some_and(|peers| peers.contains(peer));
            let silence = if is_near { NEAR_SILENCE } else { FAR_SILENCE };
            if known.alive.is_some_and(|alive| now.since(alive) >= silence) {
                known.shun(now);
            }
        }
    }
}

impl Source {
    fn shun(&mut self, now: Moment) {
        if now < self.shunned {
            return;
        }
        self.backoff = (self.backoff * 2).clamp(SHUN_MIN, SHUN_MAX);
        self.shunned = now + self.backoff;
        (self.alive, self.rules, self.targets) = (None, None, None);
    }
}
