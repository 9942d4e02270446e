//! The few members of a service that a node calling it follows.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::record::{Entry, MemberRecord, MemberState, Peer, Verdict};
use crate::ids::{InstanceId, Name, rendezvous_weight};
use crate::time::Moment;

/// Largest number of members that a node follows of one service.
pub(crate) const SAMPLE_SIZE: usize = 24;

/// Time between two asks while few nodes follow.
const REQUEST_INTERVAL: Duration = Duration::from_secs(2);

/// Asks a second that one member answers at that pace; with more of them the pace falls.
const REQUESTS_PER_SECOND: u64 = 10;

/// Time over which asks are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(1);

/// Question of a node that follows a service, sent to one of its members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleRequest {
    /// Service that is followed.
    pub service: Name,
    /// Availability zone of the follower.
    pub zone: Name,
    /// Hash that decides which members the follower gets; the same as long as it does not ask for
    /// others.
    pub key: u64,
    /// Hash of the sample that the follower has, zero if none.
    pub digest: u64,
}

/// Answer of a member: at most 24 members of its service, unless nothing has changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Members that serve, or `None` if the follower has them already.
    pub members: Option<Vec<MemberRecord>>,
    /// Time after which the follower asks again.
    pub again: Duration,
}

impl Sample {
    /// Chooses by rendezvous hashing, up to half of them in the follower's availability zone.
    ///
    /// A follower's sample thus changes only where members come and go, and the followers of a
    /// service spread evenly over its members.
    pub(crate) fn choose<'a>(
        request: &SampleRequest,
        entries: impl Iterator<Item = &'a Entry>,
        again: Duration,
    ) -> Self {
        let serving = entries.filter(|entry| is_serving(entry)).map(|entry| &entry.record);
        let mut members: Vec<&MemberRecord> = serving.collect();
        members.sort_by_cached_key(|record| {
            let weight = rendezvous_weight(u128::from(request.key), record.instance.0.as_str());
            (std::cmp::Reverse(weight), record.instance.clone())
        });
        let (near, far): (Vec<_>, Vec<_>) =
            members.into_iter().partition(|record| record.zone == request.zone);
        let near_count = near.len().min(SAMPLE_SIZE / 2).max(SAMPLE_SIZE.saturating_sub(far.len()));
        let near = near.into_iter().take(near_count);
        let mut chosen: Vec<MemberRecord> = near.cloned().collect();
        let rest = SAMPLE_SIZE - chosen.len();
        chosen.extend(far.into_iter().take(rest).cloned());
        let same = request.digest == digest(&chosen);
        Self { members: (!same).then_some(chosen), again }
    }
}

fn is_serving(entry: &Entry) -> bool {
    entry.record.state == MemberState::Serving && entry.verdict == Verdict::Alive
}

/// Hash of a sample, whatever the order.
fn digest(members: &[MemberRecord]) -> u64 {
    members.iter().fold(members.len() as u64, |sum, record| {
        let version = record.sequence ^ record.incarnation.0.rotate_left(32);
        sum ^ xxh3_64_with_seed(record.instance.0.as_str().as_bytes(), version)
    })
}

/// Pace at which one member is asked.
#[derive(Debug)]
pub(crate) struct SampleRate {
    since: Moment,
    requests: u64,
    previous: u64,
}

impl SampleRate {
    pub(crate) const fn new(now: Moment) -> Self {
        Self { since: now, requests: 0, previous: 0 }
    }

    /// Counts an ask and gives the time to the follower's next one.
    pub(crate) fn next_interval(&mut self, now: Moment) -> Duration {
        if now.since(self.since) >= COUNT_WINDOW {
            (self.since, self.previous, self.requests) = (now, self.requests, 0);
        }
        self.requests += 1;
        let requests = self.requests.max(self.previous);
        REQUEST_INTERVAL.saturating_mul(requests.div_ceil(REQUESTS_PER_SECOND).min(600) as u32)
    }
}

/// What a node knows of a service that it calls and is no member of.
///
/// Holds at most 24 members, each of some 300 bytes.
#[derive(Debug)]
pub struct Follower {
    service: Name,
    zone: Name,
    key: u64,
    members: Vec<MemberRecord>,
    seeds: Vec<Peer>,
    due: Moment,
}

impl Follower {
    /// Follower of `service` at the node `own`, which first asks one of at most 24 `seeds`.
    pub fn new(
        now: Moment,
        service: Name,
        zone: Name,
        own: &InstanceId,
        mut seeds: Vec<Peer>,
    ) -> Self {
        seeds.truncate(SAMPLE_SIZE);
        let key = rendezvous_weight(0, own.0.as_str());
        Self { service, zone, key, members: Vec::new(), seeds, due: now }
    }

    /// Members to call.
    pub fn members(&self) -> &[MemberRecord] {
        &self.members
    }

    /// Question that is due at `now`, with the member to ask; `roll` is any random number.
    ///
    /// The answer goes to [`Self::on_sample`], its absence to [`Self::on_timeout`].
    pub fn next_request(&mut self, now: Moment, random: u64) -> Option<OutgoingRequest> {
        let candidates = self.members.len() + self.seeds.len();
        if now < self.due || candidates == 0 {
            return None;
        }
        self.due = now + REQUEST_INTERVAL;
        // Seeds serve only until a sample has come.
        let count = if self.members.is_empty() { self.seeds.len() } else { self.members.len() };
        let index = (random % count as u64) as usize;
        let member = self.members.get(index).map(MemberRecord::peer);
        let to = member.or_else(|| self.seeds.get(index).cloned())?;
        let (service, zone) = (self.service.clone(), self.zone.clone());
        let digest = if self.members.is_empty() { 0 } else { digest(&self.members) };
        Some(OutgoingRequest {
            to,
            request: SampleRequest { service, zone, key: self.key, digest },
        })
    }

    /// Takes in a member's answer.
    pub fn on_sample(&mut self, now: Moment, sample: Sample) {
        self.due = now + sample.again;
        if let Some(mut members) = sample.members {
            members.retain(|record| record.service == self.service && record.is_bounded());
            members.truncate(SAMPLE_SIZE);
            if !members.is_empty() {
                self.members = members;
            }
        }
    }

    /// Takes note that a member did not answer: another is asked at once.
    pub fn on_timeout(&mut self, now: Moment, instance: &InstanceId) {
        if self.members.len() > 1 {
            self.members.retain(|record| record.instance != *instance);
        }
        self.due = now;
    }

    /// Asks for other members, because those at hand serve badly.
    pub fn resample(&mut self, now: Moment, random: u64) {
        self.key = random;
        self.due = now;
    }
}

/// Question on its way to a member of the followed service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// Receiver.
    pub to: Peer,
    /// Question.
    pub request: SampleRequest,
}
