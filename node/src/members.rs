//! Membership on the wire: probes and changes within the own service, samples of the others.
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
/// Path of questions for a sample of a service's members.
pub(crate) const SAMPLE_PATH: &str = "/sample";
/// Path of questions for one member of the own service.
pub(crate) const FIND_MEMBER_PATH: &str = "/member/find";
/// Most services that are followed at once.
const FOLLOWED_MAX: usize = 256;
/// Time for which one message may be on its way.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which a follower is asked again if this node has no view of the service.
const NO_VIEW_RETRY: Duration = Duration::from_secs(2);

/// Message of one member to another.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct MemberMessage {
    /// Member that sends.
    pub(crate) from: Peer,
    /// Message.
    pub(crate) message: Message,
}

/// Service that keeps the views of members alike.
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
    view: Option<Membership>,
    published_changes: u64,
    followers: BTreeMap<Name, Follower>,
}

impl Members {
    /// Service that finds what it needs in `registry`.
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

    /// Sets the own record, and joins the service with the members known so far.
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

    /// Takes in a member that the log or a peer told of.
    pub(crate) fn seed(&self, record: MemberRecord) {
        let now = self.clock.now();
        if let Some(view) = self.lock().view.as_mut() {
            view.seed(now, [record]);
        }
    }

    /// Tells some members the last word of this one before it stops.
    pub(crate) fn send_leave(self: &Arc<Self>) {
        let out = self.lock().view.as_ref().map(|view| view.leave_messages(fastrand::u64(..)));
        self.send(out.unwrap_or_default());
    }

    /// Takes in a message of another member.
    pub(crate) fn receive(self: &Arc<Self>, message: MemberMessage) {
        let now = self.clock.now();
        let mut state = self.lock();
        let Some(view) = state.view.as_mut() else { return };
        let out = view.receive(now, &message.from, message.message);
        drop(state);
        self.send(out);
    }

    /// Answers a node that follows the own service.
    pub(crate) fn sample(&self, ask: &SampleRequest) -> Sample {
        let now = self.clock.now();
        match self.lock().view.as_mut() {
            Some(view) => view.sample(now, ask),
            None => Sample { members: None, again: NO_VIEW_RETRY },
        }
    }

    /// Does what is due, as long as the process lives.
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
        let asks: Vec<OutgoingRequest> = state
            .followers
            .values_mut()
            .filter_map(|follower| follower.next_request(now, fastrand::u64(..)))
            .collect();
        drop(state);
        self.send(out.unwrap_or_default());
        asks.into_iter().for_each(|ask| self.request_sample(ask));
    }

    /// Puts the view into the directory whenever it changed.
    fn publish_view(&self, state: &mut State) {
        let Some(view) = state.view.as_ref() else { return };
        if state.published_changes == view.changes() {
            return;
        }
        state.published_changes = view.changes();
        for entry in view.entries() {
            let doubted = entry.verdict != MemberVerdict::Alive;
            self.directory.apply_record(entry.record.clone());
            self.directory.set_suspected(&entry.record, doubted);
        }
    }

    /// Follows each service that calls were routed to and that this node is no member of.
    fn follow_requested(&self, now: Moment, state: &mut State) {
        let own = state.view.as_ref().and_then(|view| view.entry(&self.local_peer.instance));
        let own = own.map(|entry| entry.record.service.clone());
        for service in self.directory.requested_services() {
            let known = Some(&service) == own.as_ref() || state.followers.contains_key(&service);
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

    fn request_sample(self: &Arc<Self>, ask: OutgoingRequest) {
        let this = self.clone();
        tokio::spawn(async move {
            let service = ask.request.service.clone();
            let sample = this.exchange(&ask.to, SAMPLE_PATH, &ask.request).await;
            this.apply_sample(&service, &ask.to.instance, sample);
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
                // A message that is lost is made good by the next probe.
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
