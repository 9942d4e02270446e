//! Runs the membership protocol: probes and changes within the service of the local target, and
//! samples of the services that this node calls.
//!
//! See [membership](../../docs/design/membership.md).

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use poplar_core::{
    Follower, InstanceId, MemberRecord, MemberVerdict, Membership, Message, Moment, Name, Outgoing,
    OutgoingRequest, Peer, Sample, SampleRequest, TICK_TIME,
};
use poplar_kernel::{Clock, Registry, RegistryError, Service};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use crate::directory::Directory;
use crate::links::Links;

/// Path of messages between the members of a service.
pub(crate) const MEMBER_PATH: &str = "/member";
/// Path of requests for a sample of a service's members.
pub(crate) const SAMPLE_PATH: &str = "/sample";
/// Path of requests for the record of one member.
pub(crate) const FIND_MEMBER_PATH: &str = "/member/find";
/// Maximum number of services that this node follows.
const FOLLOWED_MAX: usize = 256;
/// Time within which a message must be answered.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time until a follower's next request if this node has no view of its service yet.
const NO_VIEW_RETRY: Duration = Duration::from_secs(2);

/// Message of one member to another.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct MemberMessage {
    /// Member that sent the message.
    pub(crate) from: Peer,
    /// Message of the membership protocol.
    pub(crate) message: Message,
}

/// Service that runs the membership protocol on the node's links.
pub(crate) struct Members {
    clock: Clock,
    local_peer: Peer,
    zone: Name,
    directory: Arc<Directory>,
    links: Arc<Links>,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    /// View of the local target's service; none until the target announces itself.
    view: Option<Membership>,
    /// Number of changes of the view that the directory has.
    published_changes: u64,
    /// Services that this node samples, since it calls them without being a member.
    followers: BTreeMap<Name, Follower>,
}

impl Members {
    /// Finds the services it needs in `registry`.
    pub(crate) fn new(
        clock: Clock,
        local_peer: Peer,
        zone: Name,
        registry: &Registry,
    ) -> Result<Self, RegistryError> {
        let directory = registry.find("directory")?;
        let links = registry.find("links")?;
        Ok(Self { clock, local_peer, zone, directory, links, state: Mutex::default() })
    }

    /// Sets the record of this member, and joins its service with the members known so far.
    pub(crate) fn announce(&self, record: MemberRecord) {
        let now = self.clock.now();
        let known = self.directory.records_of(&record.service);
        let mut state = self.lock();
        let view = state
            .view
            .get_or_insert_with(|| Membership::new(now, record.clone(), fastrand::u64(..)));
        view.announce(now, record);
        view.seed(now, known);
    }

    /// Adds a member from the log or a peer to the view, if there is one.
    pub(crate) fn seed(&self, record: MemberRecord) {
        let now = self.clock.now();
        if let Some(view) = self.lock().view.as_mut() {
            view.seed(now, [record]);
        }
    }

    /// Sends the last record of this member to some others before the process stops.
    pub(crate) fn send_leave(self: &Arc<Self>) {
        let out = self.lock().view.as_ref().map(|view| view.leave_messages(fastrand::u64(..)));
        self.send(out.unwrap_or_default());
    }

    /// Handles a message of another member and sends the replies.
    pub(crate) fn receive(self: &Arc<Self>, message: MemberMessage) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(view) = state.view.as_mut() else { return };
        let out = view.receive(now, &message.from, message.message);
        drop(state);
        self.send(out);
    }

    /// Answers a node that follows the service of this member.
    pub(crate) fn sample(&self, request: &SampleRequest) -> Sample {
        let now = self.clock.now();
        match self.lock().view.as_mut() {
            Some(view) => view.sample(now, request),
            None => Sample { members: None, again: NO_VIEW_RETRY },
        }
    }

    /// Runs the protocol's periodic work; never returns.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK_TIME);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            self.tick();
        }
    }

    fn tick(self: &Arc<Self>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let out = state.view.as_mut().map(|view| view.tick(now, fastrand::u64(..)));
        self.publish_view(&mut state);
        self.follow_requested(now, &mut state);
        let requests: Vec<OutgoingRequest> = state
            .followers
            .values_mut()
            .filter_map(|follower| follower.next_request(now, fastrand::u64(..)))
            .collect();
        drop(state);
        self.send(out.unwrap_or_default());
        requests.into_iter().for_each(|request| self.request_sample(request));
    }

    /// Copies the view into the directory if it changed since the last copy.
    fn publish_view(&self, state: &mut State) {
        let Some(view) = state.view.as_ref() else { return };
        if state.published_changes == view.changes() {
            return;
        }
        state.published_changes = view.changes();
        for entry in view.entries() {
            let suspected = entry.verdict != MemberVerdict::Alive;
            self.directory.apply_record(entry.record.clone());
            self.directory.set_suspected(&entry.record, suspected);
        }
    }

    /// Starts to follow each requested service of which this node is not a member.
    fn follow_requested(&self, now: Moment, state: &mut State) {
        let entry = state.view.as_ref().and_then(|view| view.entry(&self.local_peer.instance));
        let local_service = entry.map(|entry| entry.record.service.clone());
        for service in self.directory.requested_services() {
            let known =
                Some(&service) == local_service.as_ref() || state.followers.contains_key(&service);
            if known || state.followers.len() >= FOLLOWED_MAX {
                continue;
            }
            let seeds: Vec<Peer> = self.directory.serving(&service).iter().map(peer_of).collect();
            if !seeds.is_empty() {
                let (instance, zone) = (&self.local_peer.instance, self.zone.clone());
                let follower = Follower::new(now, service.clone(), zone, instance, seeds);
                state.followers.insert(service, follower);
            }
        }
    }

    fn request_sample(self: &Arc<Self>, outgoing: OutgoingRequest) {
        let this = self.clone();
        tokio::spawn(async move {
            let service = outgoing.request.service.clone();
            let sample = this.exchange(&outgoing.to, SAMPLE_PATH, &outgoing.request).await;
            this.apply_sample(&service, &outgoing.to.instance, sample);
        });
    }

    fn apply_sample(&self, service: &Name, asked: &InstanceId, sample: Option<Sample>) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(follower) = state.followers.get_mut(service) else { return };
        match sample {
            Some(sample) => follower.on_sample(now, sample),
            None => follower.on_timeout(now, asked),
        }
        self.directory.set_sample(service, follower.members());
    }

    fn send(self: &Arc<Self>, out: Vec<Outgoing>) {
        for Outgoing { to, message } in out {
            let this = self.clone();
            tokio::spawn(async move {
                let message = MemberMessage { from: this.local_peer.clone(), message };
                // Lost messages are not retried: the next probe makes up for them.
                let _: Option<()> = this.exchange(&to, MEMBER_PATH, &message).await;
            });
        }
    }

    async fn exchange<M, A>(&self, to: &Peer, path: &'static str, message: &M) -> Option<A>
    where
        M: Serialize,
        A: serde::de::DeserializeOwned,
    {
        let peer: SocketAddr = to.address.parse().ok()?;
        let exchange = self.links.exchange(peer, path, message);
        tokio::time::timeout(SEND_TIMEOUT, exchange).await.ok()?.ok()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn peer_of(record: &MemberRecord) -> Peer {
    Peer { instance: record.instance.clone(), address: record.address.clone() }
}

impl Service for Members {
    fn name(&self) -> &'static str {
        "members"
    }

    fn dump(&self, _now: Moment) -> Value {
        let state = self.lock();
        let verdicts: BTreeMap<String, String> = state
            .view
            .iter()
            .flat_map(Membership::entries)
            .map(|entry| (entry.record.instance.to_string(), format!("{:?}", entry.verdict)))
            .collect();
        let followed: Vec<_> = state.followers.keys().collect();
        json!({ "view": verdicts, "followed": followed })
    }
}
