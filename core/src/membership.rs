//! Membership of a service: failure detection and gossip among its members, in the manner of SWIM.
//!
//! The members of one service probe each other: each member pings one other at a time, asks a few
//! more to ping it if no answer comes, and sends changes with the pings and in small pushes. The
//! cost depends on the size of the service, not on that of the deployment; a node that calls
//! another service follows a few of its members ([`Follower`]). See
//! [membership](../../docs/design/membership.md).

mod compare;
mod failure_detector;
mod gossip;
mod message;
mod probe;
mod record;
mod sample;
mod view;

use std::time::Duration;

pub use message::{Message, Outgoing, ProbeId};
pub use record::{Change, Entry, MemberRecord, MemberState, Peer, Verdict, VerdictReport};
pub use sample::{Follower, OutgoingRequest, Sample, SampleRequest};
pub use view::ViewError;

use crate::ids::{Incarnation, InstanceId};
use crate::time::Moment;
use gossip::{ChangeKind, GossipQueue, PUSH_FANOUT};
use message::BUCKETS;
use probe::{Due, PROBE_PERIOD, Probes};
use sample::SampleRate;
use view::{Applied, View};

/// Time between two calls of [`Membership::tick`].
pub const TICK_TIME: Duration = Duration::from_millis(100);

/// Number of members that a leaving member notifies directly.
const LEAVE_NOTICES: usize = 8;

/// View that one member of a service has of all members, and the protocol that keeps it up to date.
#[derive(Debug)]
pub struct Membership {
    own_instance: InstanceId,
    view: View,
    gossip: GossipQueue,
    probes: Probes,
    sample_rate: SampleRate,
    last_tick: Moment,
    /// Last time at which this member sent the hashes of its view.
    last_compare: Moment,
    /// Last time at which the view changed.
    last_change: Moment,
    /// Whether the view was once equal to that of another member.
    joined: bool,
    /// Bucket with which a comparison starts and entry with which a page starts, so that over time
    /// all of them are sent although a message holds few.
    rotation: usize,
    /// Largest incarnation of this instance in verdicts from other members.
    seen_incarnation: Option<Incarnation>,
}

/// SplitMix64 pseudo-random number generator, seeded by the caller of a function.
#[derive(Debug)]
struct SplitMix64(u64);

impl SplitMix64 {
    const fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9E37_79B9_7F4A_7C15);
        let mixed = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        mixed ^ (mixed >> 31)
    }

    const fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound as u64) as usize
    }
}

impl Membership {
    /// Membership of the member described by `own`. The random number `random` sets the time of
    /// the first probe, so that the members do not probe in step.
    pub fn new(now: Moment, own: MemberRecord, random: u64) -> Self {
        let phase = Duration::from_micros(random % PROBE_PERIOD.as_micros() as u64);
        let mut membership = Self {
            own_instance: own.instance.clone(),
            view: View::new(own.service.clone()),
            gossip: GossipQueue::new(now),
            probes: Probes::new(now + phase),
            sample_rate: SampleRate::new(now),
            last_tick: now,
            last_compare: now,
            last_change: now,
            joined: false,
            rotation: (random >> 32) as usize % BUCKETS,
            seen_incarnation: None,
        };
        membership.announce(now, own);
        membership
    }

    /// Adds members known from the log, the settings or an earlier view.
    pub fn seed(&mut self, now: Moment, records: impl IntoIterator<Item = MemberRecord>) {
        for record in records {
            let entry = Entry { record, refutations: 0, verdict: Verdict::Alive };
            if entry.record.instance != self.own_instance {
                self.view.apply_entry(now, &entry);
            }
        }
    }

    /// Sets this member's own record, when it starts, changes, drains or leaves.
    ///
    /// A record of another instance, or one no newer than the last, is ignored.
    pub fn announce(&mut self, now: Moment, record: MemberRecord) {
        if record.instance != self.own_instance {
            return;
        }
        let entry = Entry { record, refutations: 0, verdict: Verdict::Alive };
        if self.view.apply_entry(now, &entry) == Applied::Changed {
            self.queue_change(now, &self.own_instance.clone(), ChangeKind::Full, true);
        }
    }

    /// All known members, including those that left or were lost.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.view.entries()
    }

    /// Record and verdict of one member, if it is known.
    pub fn entry(&self, instance: &InstanceId) -> Option<&Entry> {
        self.view.get(instance)
    }

    /// Hash of the live members in the view; members whose views agree have the same digest.
    pub fn digest(&self) -> u32 {
        self.view.digest()
    }

    /// Number of changes of the view so far, including suspicions, which the digest does not cover.
    pub fn changes(&self) -> u64 {
        self.view.changes()
    }

    /// Largest incarnation of this instance that other members know, if it is larger than the own
    /// one.
    ///
    /// While there is one, other members ignore all reports of this member about itself. Either
    /// another process runs as this instance, or this one must announce a larger incarnation.
    pub fn newer_incarnation(&self) -> Option<Incarnation> {
        let own = self.view.get(&self.own_instance).map(|entry| entry.record.incarnation);
        self.seen_incarnation.filter(|newer| Some(*newer) > own)
    }

    /// Checks the hashes of the view and its bound.
    pub fn verify(&self) -> Result<(), ViewError> {
        self.view.verify()
    }

    /// Answers a node that follows this service with a sample of its members; see [`Follower`].
    pub fn sample(&mut self, now: Moment, request: &SampleRequest) -> Sample {
        let interval = self.sample_rate.next_interval(now);
        Sample::choose(request, self.view.entries(), interval)
    }

    /// Performs what is due at `now` and returns the messages to send; to be called every
    /// [`TICK_TIME`] with a new random number `random`.
    pub fn tick(&mut self, now: Moment, random: u64) -> Vec<Outgoing> {
        let mut rng = SplitMix64(random);
        self.rotation = rng.below(BUCKETS);
        self.allow_for_gap(now);
        let mut out = Vec::new();
        self.view.confirm_lost(now);
        out.extend(self.view.query_suspects(now));
        match self.probes.due(now) {
            Due::Nothing => {}
            Due::RequestPings(probe, target) => {
                self.request_pings(probe, &target, &mut rng, &mut out)
            }
            Due::Next(unanswered) => {
                self.view.expire_tombstones(now);
                self.suspect(now, unanswered);
                self.probe_next(now, &mut rng, &mut out);
                self.ping_lost(&mut rng, &mut out);
            }
        }
        self.push(now, &mut rng, &mut out);
        self.fetch_view(now, &mut rng, &mut out);
        out
    }

    /// Messages by which this member, whose record says that it left, notifies other members.
    pub fn leave_messages(&self, random: u64) -> Vec<Outgoing> {
        let Some(own_entry) = self.view.get(&self.own_instance) else { return Vec::new() };
        let changes = vec![Change::Full(Box::new(own_entry.clone()))];
        let peers = self.pick_live(&mut SplitMix64(random), LEAVE_NOTICES, None);
        let message = Message::Push { changes };
        peers.into_iter().map(|to| Outgoing { to, message: message.clone() }).collect()
    }

    /// Handles a message and returns the messages to send in response.
    pub fn receive(&mut self, now: Moment, from: &Peer, message: Message) -> Vec<Outgoing> {
        let mut out = Vec::new();
        match message {
            Message::Ping { probe, digest, changes } => {
                let refuted = self.apply_changes(now, changes, &mut out);
                let changes = self.changes_for(&from.instance, refuted);
                let message = Message::Ack { probe, digest: self.digest(), changes };
                out.push(Outgoing { to: from.clone(), message });
                self.compare(now, from, digest, &mut out);
            }
            Message::Ack { probe, digest, changes } => {
                if let Some(ack) = self.probes.on_ack(probe) {
                    let message = Message::Ack { probe: ack.probe, digest, changes: Vec::new() };
                    out.push(Outgoing { to: ack.to, message });
                }
                let refuted = self.apply_changes(now, changes, &mut out);
                push_to(from, refuted, &mut out);
                self.compare(now, from, digest, &mut out);
            }
            Message::PingRequest { probe, target } => {
                self.relay_ping(now, from, probe, &target, &mut out);
            }
            Message::Push { changes } => {
                let refuted = self.apply_changes(now, changes, &mut out);
                push_to(from, refuted, &mut out);
            }
            Message::Compare { buckets } => self.answer_compare(from, &buckets, &mut out),
            Message::Page { bucket, entries, answer } => {
                self.apply_page(now, from, entries, &mut out);
                if answer {
                    let message = self.build_page(usize::from(bucket) % BUCKETS, false);
                    out.push(Outgoing { to: from.clone(), message });
                }
            }
        }
        out
    }

    fn push(&mut self, now: Moment, rng: &mut SplitMix64, out: &mut Vec<Outgoing>) {
        let changes = self.gossip.push(now, &self.view);
        if changes.is_empty() {
            return;
        }
        for to in self.pick_live(rng, PUSH_FANOUT as usize, None) {
            out.push(Outgoing { to, message: Message::Push { changes: changes.clone() } });
        }
    }

    /// Applies changes. Returns this member's verdict on itself, as a refutation, if one of them
    /// reports it as suspect or lost.
    fn apply_changes(
        &mut self,
        now: Moment,
        changes: Vec<Change>,
        out: &mut Vec<Outgoing>,
    ) -> Option<Change> {
        let suspects_self = |change: &Change| {
            let report = change.report();
            report.instance == self.own_instance && report.verdict != Verdict::Alive
        };
        let suspected = changes.iter().any(suspects_self);
        for change in changes {
            self.apply_change(now, change, true, out);
        }
        let own_entry = self.view.get(&self.own_instance).filter(|_| suspected);
        own_entry.map(|entry| Change::Verdict(entry.report()))
    }

    /// Applies one change and, if it changes the view, queues it for gossip. A change that is not
    /// urgent is queued only if `gossip` is set.
    fn apply_change(
        &mut self,
        now: Moment,
        change: Change,
        gossip: bool,
        out: &mut Vec<Outgoing>,
    ) -> Applied {
        let report = change.report();
        if report.instance == self.own_instance {
            return self.refute(now, &report);
        }
        let (applied, kind) = match change {
            Change::Full(entry) => (self.view.apply_entry(now, &entry), ChangeKind::Full),
            Change::Verdict(report) => (self.view.apply_verdict(now, &report), ChangeKind::Verdict),
        };
        match applied {
            Applied::Changed => self.queue_change(now, &report.instance, kind, gossip),
            Applied::Disputed => self.report_dispute(report, out),
            Applied::Unchanged | Applied::Stale => {}
        }
        applied
    }

    /// Notifies a member that others report it as lost, and probes it next in case they are right.
    fn report_dispute(&mut self, report: VerdictReport, out: &mut Vec<Outgoing>) {
        let Some(to) = self.view.get(&report.instance).map(|entry| entry.record.peer()) else {
            return;
        };
        self.probes.probe_soon(&report.instance);
        let changes = vec![Change::Verdict(report)];
        out.push(Outgoing { to, message: Message::Push { changes } });
    }

    /// Refutes a verdict that reports this member as suspect or lost, by a larger number of
    /// refutations.
    fn refute(&mut self, now: Moment, report: &VerdictReport) -> Applied {
        let Some(own_entry) = self.view.get(&self.own_instance) else { return Applied::Unchanged };
        let same = report.incarnation == own_entry.record.incarnation;
        self.seen_incarnation = self.seen_incarnation.max(Some(report.incarnation));
        if !same || report.verdict == Verdict::Alive || report.refutations < own_entry.refutations {
            return if same { Applied::Unchanged } else { Applied::Stale };
        }
        let refutations = report.refutations.saturating_add(1);
        let own_entry = Entry { refutations, ..own_entry.clone() };
        self.view.put(now, own_entry);
        self.queue_change(now, &report.instance, ChangeKind::Verdict, true);
        Applied::Stale
    }

    /// Queues a change for gossip; one that is not urgent only if `gossip` is set.
    fn queue_change(&mut self, now: Moment, instance: &InstanceId, kind: ChangeKind, gossip: bool) {
        self.last_change = now;
        self.gossip.add(now, &self.view, instance, kind, gossip);
    }

    /// Changes for a message to `to`: this member's refutation if there is one, the verdict on `to`
    /// if that is not alive, so that it can refute it, then changes from the gossip queue.
    fn changes_for(&mut self, to: &InstanceId, refuted: Option<Change>) -> Vec<Change> {
        let verdict = self.view.get(to).filter(|entry| entry.verdict != Verdict::Alive);
        let verdict = verdict.map(|entry| Change::Verdict(entry.report()));
        self.gossip.piggyback(&self.view, refuted.into_iter().chain(verdict).collect())
    }

    fn live<'a>(&'a self, except: Option<&'a InstanceId>) -> impl Iterator<Item = &'a Entry> {
        let others = self.view.entries().filter(|entry| entry.record.instance != self.own_instance);
        others.filter(move |entry| entry.is_live() && Some(&entry.record.instance) != except)
    }

    fn pick_live(
        &self,
        rng: &mut SplitMix64,
        count: usize,
        except: Option<&InstanceId>,
    ) -> Vec<Peer> {
        let mut peers: Vec<&Entry> = self.live(except).collect();
        let count = count.min(peers.len());
        for idx in 0..count {
            let other = idx + rng.below(peers.len() - idx);
            peers.swap(idx, other);
        }
        peers.into_iter().take(count).map(|entry| entry.record.peer()).collect()
    }
}

/// Sends one change to `to`, if there is one.
fn push_to(to: &Peer, change: Option<Change>, out: &mut Vec<Outgoing>) {
    let changes: Vec<Change> = change.into_iter().collect();
    if !changes.is_empty() {
        out.push(Outgoing { to: to.clone(), message: Message::Push { changes } });
    }
}
