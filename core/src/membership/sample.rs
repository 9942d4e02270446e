//! Sample of the members of a service, for a node that calls the service and is no member of it.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::record::{Entry, MemberRecord, MemberState, Peer, Verdict};
use crate::ids::{InstanceId, Name, rendezvous_weight};
use crate::time::Moment;

/// Largest number of members in a sample.
pub(crate) const SAMPLE_SIZE: usize = 24;

/// Time between two requests of a follower while the member that it asks gets few of them.
const REQUEST_INTERVAL: Duration = Duration::from_secs(2);

/// Number of requests a second up to which one member lets its followers keep that interval; with
/// more requests the interval grows.
const REQUESTS_PER_SECOND: u64 = 10;

/// Time over which requests are counted.
const COUNT_WINDOW: Duration = Duration::from_secs(1);

/// Request of a node that follows a service, sent to one of the members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SampleRequest {
    /// Service that is followed.
    pub service: Name,
    /// Availability zone of the follower.
    pub zone: Name,
    /// Key of the rendezvous hash that selects the members; the follower changes it to get others.
    pub key: u64,
    /// Hash of the sample that the follower has, or zero if it has none.
    pub digest: u64,
}

/// Answer of a member: at most 24 serving members of its service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// Selected members, or `None` if they are the ones that the follower already has.
    pub members: Option<Vec<MemberRecord>>,
    /// Time after which the follower sends its next request.
    pub again: Duration,
}

impl Sample {
    /// Selects serving members by rendezvous hashing: half of the sample from the follower's
    /// availability zone, more or less if there are too few members in the other zones or in it.
    ///
    /// A follower's sample thus changes only where members join or leave, and the followers of a
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
        let (local, remote): (Vec<_>, Vec<_>) =
            members.into_iter().partition(|record| record.zone == request.zone);
        let local_count =
            local.len().min(SAMPLE_SIZE / 2).max(SAMPLE_SIZE.saturating_sub(remote.len()));
        let local = local.into_iter().take(local_count);
        let mut chosen: Vec<MemberRecord> = local.cloned().collect();
        let remote_count = SAMPLE_SIZE - chosen.len();
        chosen.extend(remote.into_iter().take(remote_count).cloned());
        let same = request.digest == digest(&chosen);
        Self { members: (!same).then_some(chosen), again }
    }
}

fn is_serving(entry: &Entry) -> bool {
    entry.record.state == MemberState::Serving && entry.verdict == Verdict::Alive
}

/// Hash of a sample that does not depend on the order of its members.
fn digest(members: &[MemberRecord]) -> u64 {
    members.iter().fold(members.len() as u64, |sum, record| {
        let version = record.sequence ^ record.incarnation.0.rotate_left(32);
        sum ^ xxh3_64_with_seed(record.instance.0.as_str().as_bytes(), version)
    })
}

/// Rate of the sample requests that one member gets.
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

    /// Counts a request and returns the time until the follower's next one.
    pub(crate) fn next_interval(&mut self, now: Moment) -> Duration {
        if now.since(self.since) >= COUNT_WINDOW {
            (self.since, self.previous, self.requests) = (now, self.requests, 0);
        }
        self.requests += 1;
        let requests = self.requests.max(self.previous);
        REQUEST_INTERVAL.saturating_mul(requests.div_ceil(REQUESTS_PER_SECOND).min(600) as u32)
    }
}

/// Client side of sampling: the members that a node knows of a service that it calls.
///
/// Holds at most 24 members of about 300 bytes each.
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
    /// Follower of `service` at the node `own`, which sends its first requests to the `seeds`, of
    /// which it keeps 24.
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

    /// Request that is due at `now`, to a member chosen by the random number `random`.
    ///
    /// Call [`Self::on_sample`] with the answer, or [`Self::on_timeout`] if there is none.
    pub fn next_request(&mut self, now: Moment, random: u64) -> Option<OutgoingRequest> {
        let candidates = self.members.len() + self.seeds.len();
        if now < self.due || candidates == 0 {
            return None;
        }
        self.due = now + REQUEST_INTERVAL;
        // Seeds are used only until the first sample.
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

    /// Handles a member's answer.
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

    /// Drops a member that did not answer, unless it is the last, and makes a request due at once.
    pub fn on_timeout(&mut self, now: Moment, instance: &InstanceId) {
        if self.members.len() > 1 {
            self.members.retain(|record| record.instance != *instance);
        }
        self.due = now;
    }

    /// Requests other members, selected by the random number `random`, if the present ones serve
    /// badly.
    pub fn resample(&mut self, now: Moment, random: u64) {
        self.key = random;
        self.due = now;
    }
}

/// Sample request to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OutgoingRequest {
    /// Member to send it to.
    pub to: Peer,
    /// Request to send.
    pub request: SampleRequest,
}
