//! Members of a service, as one node sees them.
//!
//! The members of one service watch each other: each probes one other a second, asks a few more to
//! try when no answer comes, and passes changes on with the probes and in small pushes. Nothing
//! here grows with the whole deployment; a node that calls another service follows a few of its
//! members ([`Follower`]). See [membership](../../docs/design/membership.md).

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

/// Members told by one that is about to leave.
const LEAVE_NOTICES: usize = 8;

/// View of one member of a service, and its part in keeping all views alike.
#[derive(Debug)]
pub struct Membership {
    own_instance: InstanceId,
    view: View,
    gossip: GossipQueue,
    probes: Probes,
    sample_rate: SampleRate,
    last_tick: Moment,
    last_compare: Moment,
    last_change: Moment,
    joined: bool,
    rotation: usize,
    /// Largest incarnation of this instance that others spoke of.
    seen_incarnation: Option<Incarnation>,
}

/// Row of random numbers from one argument.
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
    /// Membership of the member that `own` speaks of. `roll` is any random number; it keeps the
    /// members from probing in step.
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

    /// Takes in members from the log, the settings or an earlier view.
    pub fn seed(&mut self, now: Moment, records: impl IntoIterator<Item = MemberRecord>) {
        for record in records {
            let entry = Entry { record, refutations: 0, verdict: Verdict::Alive };
            if entry.record.instance != self.own_instance {
                self.view.apply_entry(now, &entry);
            }
        }
    }

    /// Sets this member's own record: announced, changed, draining or leaving.
    ///
    /// Ignored if it is not about this member and newer than the last one.
    pub fn announce(&mut self, now: Moment, record: MemberRecord) {
        if record.instance != self.own_instance {
            return;
        }
        let entry = Entry { record, refutations: 0, verdict: Verdict::Alive };
        if self.view.apply_entry(now, &entry) == Applied::Changed {
            self.queue_change(now, &self.own_instance.clone(), ChangeKind::Full, true);
        }
    }

    /// All members known, those that are gone included.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.view.entries()
    }

    /// What is known about one member.
    pub fn entry(&self, instance: &InstanceId) -> Option<&Entry> {
        self.view.get(instance)
    }

    /// Hash of the view; members that agree have the same.
    pub fn digest(&self) -> u32 {
        self.view.digest()
    }

    /// Number of changes of the view so far, those of suspicions included.
    pub fn changes(&self) -> u64 {
        self.view.changes()
    }

    /// Largest incarnation of this instance that others know and that is not this one.
    ///
    /// As long as there is one, all that this member says of itself is ignored: either another
    /// process has taken its place, or it must announce itself with a larger incarnation.
    pub fn newer_incarnation(&self) -> Option<Incarnation> {
        let own = self.view.get(&self.own_instance).map(|own| own.record.incarnation);
        self.seen_incarnation.filter(|newer| Some(*newer) > own)
    }

    /// Checks that the parts of the view agree and its bound holds.
    pub fn verify(&self) -> Result<(), ViewError> {
        self.view.verify()
    }

    /// Answers a node that follows this service; see [`Follower`].
    pub fn sample(&mut self, now: Moment, request: &SampleRequest) -> Sample {
        let interval = self.sample_rate.next_interval(now);
        Sample::choose(request, self.view.entries(), interval)
    }

    /// Does what is due at `now`; to be called every [`TICK_TIME`] with a new random `roll`.
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
            Due::Next(silent) => {
                self.view.expire_tombstones(now);
                self.suspect(now, silent);
                self.probe_next(now, &mut rng, &mut out);
                self.ping_lost(&mut rng, &mut out);
            }
        }
        self.push(now, &mut rng, &mut out);
        self.fetch_view(now, &mut rng, &mut out);
        out
    }

    /// Last messages of a member whose record says that it left.
    pub fn leave_messages(&self, random: u64) -> Vec<Outgoing> {
        let Some(own) = self.view.get(&self.own_instance) else { return Vec::new() };
        let changes = vec![Change::Full(Box::new(own.clone()))];
        let peers = self.pick_live(&mut SplitMix64(random), LEAVE_NOTICES, None);
        let message = Message::Push { changes };
        peers.into_iter().map(|to| Outgoing { to, message: message.clone() }).collect()
    }

    /// Takes in a message and gives the answers to it.
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

    /// Takes in changes; gives this member's own word if one of them takes it for a suspect.
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
        let own = self.view.get(&self.own_instance).filter(|_| suspected);
        own.map(|own| Change::Verdict(own.report()))
    }

    /// Takes in one change; `spread` says whether to pass it on where that is not urgent.
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

    /// Tells a member that others take it for lost, and probes it next in case they are right.
    fn report_dispute(&mut self, report: VerdictReport, out: &mut Vec<Outgoing>) {
        let Some(to) = self.view.get(&report.instance).map(|entry| entry.record.peer()) else {
            return;
        };
        self.probes.probe_soon(&report.instance);
        let changes = vec![Change::Verdict(report)];
        out.push(Outgoing { to, message: Message::Push { changes } });
    }

    /// Answers a verdict on this member with a larger number of refutations.
    fn refute(&mut self, now: Moment, report: &VerdictReport) -> Applied {
        let Some(own) = self.view.get(&self.own_instance) else { return Applied::Unchanged };
        let same = report.incarnation == own.record.incarnation;
        self.seen_incarnation = self.seen_incarnation.max(Some(report.incarnation));
        if !same || report.verdict == Verdict::Alive || report.refutations < own.refutations {
            return if same { Applied::Unchanged } else { Applied::Stale };
        }
        let refutations = report.refutations.saturating_add(1);
        let own = Entry { refutations, ..own.clone() };
        self.view.put(now, own);
        self.queue_change(now, &report.instance, ChangeKind::Verdict, true);
        Applied::Stale
    }

    /// Queues a change; without `spread` only if it is urgent.
    fn queue_change(&mut self, now: Moment, instance: &InstanceId, kind: ChangeKind, gossip: bool) {
        self.last_change = now;
        self.gossip.add(now, &self.view, instance, kind, gossip);
    }

    /// Changes for a message to `to`: this member's refutation if it was accused, the suspicion that it is
    /// under, then what is spreading.
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

/// Pushes one change, if there is one.
fn push_to(to: &Peer, change: Option<Change>, out: &mut Vec<Outgoing>) {
    let changes: Vec<Change> = change.into_iter().collect();
    if !changes.is_empty() {
        out.push(Outgoing { to: to.clone(), message: Message::Push { changes } });
    }
}
