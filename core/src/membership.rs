//! Members of a service, as one node sees them.
//!
//! The members of one service watch each other: each probes one other a second, asks a few more to
//! try when no answer comes, and passes changes on with the probes and in small pushes. Nothing
//! here grows with the whole deployment; a node that calls another service follows a few of its
//! members ([`Follower`]). See [membership](../../docs/design/membership.md).

mod compare;
mod message;
mod probe;
mod record;
mod sample;
mod spread;
mod view;
mod watch;

use std::time::Duration;

pub use message::{Message, Outgoing, ProbeId};
pub use record::{Change, Entry, MemberRecord, MemberState, Peer, Verdict, VerdictReport};
pub use sample::{Ask, Follower, Sample, SampleRequest};
pub use view::ViewError;

use crate::ids::{Incarnation, InstanceId};
use crate::time::Moment;
use message::BUCKETS;
use probe::{Due, PROBE_PERIOD, Probes};
use sample::SampleRate;
use spread::{PUSH_FANOUT, Shape, Spread};
use view::{Applied, View};

/// Time between two calls of [`Membership::tick`].
pub const TICK_TIME: Duration = Duration::from_millis(100);

/// Members told by one that is about to leave.
const FAREWELLS: usize = 8;

/// View of one member of a service, and its part in keeping all views alike.
#[derive(Debug)]
pub struct Membership {
    own: InstanceId,
    view: View,
    spread: Spread,
    probes: Probes,
    rate: SampleRate,
    ticked: Moment,
    compared: Moment,
    changed: Moment,
    joined: bool,
    turn: usize,
    /// Largest incarnation of this instance that others spoke of.
    spoken_of: Option<Incarnation>,
}

/// Row of random numbers from one argument.
#[derive(Debug)]
struct Rolls(u64);

impl Rolls {
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
    pub fn new(now: Moment, own: MemberRecord, roll: u64) -> Self {
        let phase = Duration::from_micros(roll % PROBE_PERIOD.as_micros() as u64);
        let mut membership = Self {
            own: own.instance.clone(),
            view: View::new(own.service.clone()),
            spread: Spread::new(now),
            probes: Probes::new(now + phase),
            rate: SampleRate::new(now),
            ticked: now,
            compared: now,
            changed: now,
            joined: false,
            turn: (roll >> 32) as usize % BUCKETS,
            spoken_of: None,
        };
        membership.announce(now, own);
        membership
    }

    /// Takes in members from the log, the settings or an earlier view.
    pub fn seed(&mut self, now: Moment, records: impl IntoIterator<Item = MemberRecord>) {
        for record in records {
            let entry = Entry { record, refutations: 0, verdict: Verdict::Alive };
            if entry.record.instance != self.own {
                self.view.apply_entry(now, &entry);
            }
        }
    }

    /// Sets this member's own record: announced, changed, draining or leaving.
    ///
    /// Ignored if it is not about this member and newer than the last one.
    pub fn announce(&mut self, now: Moment, record: MemberRecord) {
        if record.instance != self.own {
            return;
        }
        let entry = Entry { record, refutations: 0, verdict: Verdict::Alive };
        if self.view.apply_entry(now, &entry) == Applied::News {
            self.note(now, &self.own.clone(), Shape::Full, true);
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
        let own = self.view.get(&self.own).map(|own| own.record.incarnation);
        self.spoken_of.filter(|newer| Some(*newer) > own)
    }

    /// Checks that the parts of the view agree and its bound holds.
    pub fn verify(&self) -> Result<(), ViewError> {
        self.view.verify()
    }

    /// Answers a node that follows this service; see [`Follower`].
    pub fn sample(&mut self, now: Moment, ask: &SampleRequest) -> Sample {
        let again = self.rate.next_ask(now);
        Sample::choose(ask, self.view.entries(), again)
    }

    /// Does what is due at `now`; to be called every [`TICK_TIME`] with a new random `roll`.
    pub fn tick(&mut self, now: Moment, roll: u64) -> Vec<Outgoing> {
        let mut rolls = Rolls(roll);
        self.turn = rolls.below(BUCKETS);
        self.allow_for_gap(now);
        let mut out = Vec::new();
        self.view.confirm_lost(now);
        out.extend(self.view.suspects_to_ask(now));
        match self.probes.due(now) {
            Due::Nothing => {}
            Due::Ask(probe, target) => self.ask_others(probe, &target, &mut rolls, &mut out),
            Due::Next(silent) => {
                self.view.forget_gone(now);
                self.suspect(now, silent);
                self.probe_next(now, &mut rolls, &mut out);
                self.ping_lost(&mut rolls, &mut out);
            }
        }
        self.push(now, &mut rolls, &mut out);
        self.fetch(now, &mut rolls, &mut out);
        out
    }

    /// Last messages of a member whose record says that it left.
    pub fn leave_messages(&self, roll: u64) -> Vec<Outgoing> {
        let Some(own) = self.view.get(&self.own) else { return Vec::new() };
        let changes = vec![Change::Full(Box::new(own.clone()))];
        let peers = self.pick_live(&mut Rolls(roll), FAREWELLS, None);
        let message = Message::Push { changes };
        peers.into_iter().map(|to| Outgoing { to, message: message.clone() }).collect()
    }

    /// Takes in a message and gives the answers to it.
    pub fn receive(&mut self, now: Moment, from: &Peer, message: Message) -> Vec<Outgoing> {
        let mut out = Vec::new();
        match message {
            Message::Ping { probe, digest, changes } => {
                let refuted = self.absorb(now, changes, &mut out);
                let changes = self.changes_for(&from.instance, refuted);
                let message = Message::Ack { probe, digest: self.digest(), changes };
                out.push(Outgoing { to: from.clone(), message });
                self.compare(now, from, digest, &mut out);
            }
            Message::Ack { probe, digest, changes } => {
                if let Some(ack) = self.probes.answered(probe) {
                    let message = Message::Ack { probe: ack.probe, digest, changes: Vec::new() };
                    out.push(Outgoing { to: ack.to, message });
                }
                let refuted = self.absorb(now, changes, &mut out);
                push_to(from, refuted, &mut out);
                self.compare(now, from, digest, &mut out);
            }
            Message::PingRequest { probe, target } => {
                self.ping_for(now, from, probe, &target, &mut out);
            }
            Message::Push { changes } => {
                let refuted = self.absorb(now, changes, &mut out);
                push_to(from, refuted, &mut out);
            }
            Message::Compare { buckets } => self.answer_compare(from, &buckets, &mut out),
            Message::Page { bucket, entries, answer } => {
                self.take_page(now, from, entries, &mut out);
                if answer {
                    let message = self.page(usize::from(bucket) % BUCKETS, false);
                    out.push(Outgoing { to: from.clone(), message });
                }
            }
        }
        out
    }

    fn push(&mut self, now: Moment, rolls: &mut Rolls, out: &mut Vec<Outgoing>) {
        let changes = self.spread.push(now, &self.view);
        if changes.is_empty() {
            return;
        }
        for to in self.pick_live(rolls, PUSH_FANOUT as usize, None) {
            out.push(Outgoing { to, message: Message::Push { changes: changes.clone() } });
        }
    }

    /// Takes in changes; gives this member's own word if one of them takes it for a suspect.
    fn absorb(
        &mut self,
        now: Moment,
        changes: Vec<Change>,
        out: &mut Vec<Outgoing>,
    ) -> Option<Change> {
        let accuses = |change: &Change| {
            let report = change.report();
            report.instance == self.own && report.verdict != Verdict::Alive
        };
        let accused = changes.iter().any(accuses);
        for change in changes {
            self.absorb_one(now, change, true, out);
        }
        let own = self.view.get(&self.own).filter(|_| accused);
        own.map(|own| Change::Verdict(own.report()))
    }

    /// Takes in one change; `spread` says whether to pass it on where that is not urgent.
    fn absorb_one(
        &mut self,
        now: Moment,
        change: Change,
        spread: bool,
        out: &mut Vec<Outgoing>,
    ) -> Applied {
        let report = change.report();
        if report.instance == self.own {
            return self.refute(now, &report);
        }
        let (applied, shape) = match change {
            Change::Full(entry) => (self.view.apply_entry(now, &entry), Shape::Full),
            Change::Verdict(report) => (self.view.apply_verdict(now, &report), Shape::Verdict),
        };
        match applied {
            Applied::News => self.note(now, &report.instance, shape, spread),
            Applied::Disputed => self.settle(report, out),
            Applied::Known | Applied::Stale => {}
        }
        applied
    }

    /// Tells a member that others take it for lost, and probes it next in case they are right.
    fn settle(&mut self, report: VerdictReport, out: &mut Vec<Outgoing>) {
        let Some(to) = self.view.get(&report.instance).map(|entry| entry.record.peer()) else {
            return;
        };
        self.probes.probe_soon(&report.instance);
        let changes = vec![Change::Verdict(report)];
        out.push(Outgoing { to, message: Message::Push { changes } });
    }

    /// Answers a verdict on this member with a larger number of refutations.
    fn refute(&mut self, now: Moment, report: &VerdictReport) -> Applied {
        let Some(own) = self.view.get(&self.own) else { return Applied::Known };
        let same = report.incarnation == own.record.incarnation;
        self.spoken_of = self.spoken_of.max(Some(report.incarnation));
        if !same || report.verdict == Verdict::Alive || report.refutations < own.refutations {
            return if same { Applied::Known } else { Applied::Stale };
        }
        let refutations = report.refutations.saturating_add(1);
        let own = Entry { refutations, ..own.clone() };
        self.view.put(now, own);
        self.note(now, &report.instance, Shape::Verdict, true);
        Applied::Stale
    }

    /// Queues a change; without `spread` only if it is urgent.
    fn note(&mut self, now: Moment, instance: &InstanceId, shape: Shape, spread: bool) {
        self.changed = now;
        self.spread.add(now, &self.view, instance, shape, spread);
    }

    /// Changes for a message to `to`: this member's refutation if it was accused, the suspicion that it is
    /// under, then what is spreading.
    fn changes_for(&mut self, to: &InstanceId, refuted: Option<Change>) -> Vec<Change> {
        let verdict = self.view.get(to).filter(|entry| entry.verdict != Verdict::Alive);
        let verdict = verdict.map(|entry| Change::Verdict(entry.report()));
        self.spread.carry(&self.view, refuted.into_iter().chain(verdict).collect())
    }

    fn live<'a>(&'a self, not: Option<&'a InstanceId>) -> impl Iterator<Item = &'a Entry> {
        let others = self.view.entries().filter(|entry| entry.record.instance != self.own);
        others.filter(move |entry| entry.is_live() && Some(&entry.record.instance) != not)
    }

    fn pick_live(&self, rolls: &mut Rolls, count: usize, not: Option<&InstanceId>) -> Vec<Peer> {
        let mut peers: Vec<&Entry> = self.live(not).collect();
        let count = count.min(peers.len());
        for idx in 0..count {
            let other = idx + rolls.below(peers.len() - idx);
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
