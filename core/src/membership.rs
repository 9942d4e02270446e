//! Members of a service, as one node sees them.
//!
//! The members of one service watch each other: each probes one other a second, asks a few more to
//! try when no answer comes, and passes changes on with the probes and in small pushes. Nothing
//! here grows with the whole deployment; a node that calls another service follows a few of its
//! members ([`Follower`]). See [membership](../../docs/design/membership.md).

mod message;
mod probe;
mod record;
mod sample;
mod spread;
mod view;

use std::time::Duration;

pub use message::{Message, Outgoing, ProbeId};
pub use record::{Change, Entry, MemberRecord, MemberState, Peer, Verdict, VerdictReport};
pub use sample::{Ask, Follower, Sample, SampleRequest};
pub use view::ViewError;

use crate::ids::InstanceId;
use crate::time::Moment;
use message::{BUCKETS, CHANGE_BYTES};
use probe::{Due, PROBE_PERIOD, Probes};
use sample::SampleRate;
use spread::{PUSH_FANOUT, Shape, Spread};
use view::{Applied, View, bucket_of, is_lost};

/// Time between two calls of [`Membership::tick`].
pub const TICK_TIME: Duration = Duration::from_millis(100);

/// Gap between two ticks from which on this node itself was not running.
const FROZEN_TIME: Duration = Duration::from_millis(700);

/// Members that are asked to ping one that does not answer.
const PING_REQUESTS: usize = 3;

/// Time between two comparisons of views that should be equal.
const COMPARE_TIME: Duration = Duration::from_secs(1);

/// Time between two comparisons of a node that is still fetching its view.
const JOIN_COMPARE_TIME: Duration = Duration::from_millis(200);

/// Pages that answer a comparison in which most groups differ.
const JOIN_PAGES: usize = 3;

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
    pub fn farewell(&self, roll: u64) -> Vec<Outgoing> {
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

    /// After a gap nothing can be held against others for not having been heard.
    fn allow_for_gap(&mut self, now: Moment) {
        let gap = now.since(self.ticked);
        self.ticked = now;
        if gap >= FROZEN_TIME {
            self.probes.drop_current();
            self.view.extend_suspicions(gap);
        }
    }

    fn suspect(&mut self, now: Moment, silent: Option<InstanceId>) {
        let Some(entry) = silent.and_then(|instance| self.view.get(&instance)) else { return };
        let report = VerdictReport { verdict: Verdict::Suspect, ..entry.report() };
        if self.view.apply_verdict(now, &report) == Applied::News {
            self.note(now, &report.instance, Shape::Verdict, true);
        }
    }

    fn probe_next(&mut self, now: Moment, rolls: &mut Rolls, out: &mut Vec<Outgoing>) {
        let Some(target) = self.next_of_round(rolls) else { return };
        let probe = self.probes.start(now, target.instance.clone());
        self.ping(target, probe, out);
    }

    /// Each round visits every live member once, in a new order.
    fn next_of_round(&mut self, rolls: &mut Rolls) -> Option<Peer> {
        if self.probes.round.is_empty() {
            let live = self.live(None).map(|entry| entry.record.instance.clone());
            let mut round: Vec<InstanceId> = live.collect();
            for idx in (1..round.len()).rev() {
                round.swap(idx, rolls.below(idx + 1));
            }
            self.probes.round = round;
        }
        while let Some(instance) = self.probes.round.pop() {
            if let Some(entry) = self.view.get(&instance).filter(|entry| entry.is_live()) {
                return Some(entry.record.peer());
            }
        }
        None
    }

    /// Pings lost members too, each about once a second by all others together, so that the two
    /// sides of a cut find each other again.
    fn ping_lost(&mut self, rolls: &mut Rolls, out: &mut Vec<Outgoing>) {
        let census = self.view.census();
        if census.lost == 0 || rolls.below(census.lost + census.live) >= census.lost {
            return;
        }
        let nth = rolls.below(census.lost);
        let lost = self.view.entries().filter(|entry| is_lost(entry)).nth(nth);
        if let Some(target) = lost.map(|entry| entry.record.peer()) {
            let probe = self.probes.fresh_id();
            self.ping(target, probe, out);
        }
    }

    fn ping(&mut self, to: Peer, probe: ProbeId, out: &mut Vec<Outgoing>) {
        let changes = self.changes_for(&to.instance, None);
        let message = Message::Ping { probe, digest: self.digest(), changes };
        out.push(Outgoing { to, message });
    }

    fn ping_for(
        &mut self,
        now: Moment,
        from: &Peer,
        asked: ProbeId,
        target: &InstanceId,
        out: &mut Vec<Outgoing>,
    ) {
        let Some(to) = self.view.get(target).map(|entry| entry.record.peer()) else { return };
        if let Some(probe) = self.probes.relay(now, from.clone(), asked) {
            self.ping(to, probe, out);
        }
    }

    fn ask_others(
        &self,
        probe: ProbeId,
        target: &InstanceId,
        rolls: &mut Rolls,
        out: &mut Vec<Outgoing>,
    ) {
        for to in self.pick_live(rolls, PING_REQUESTS, Some(target)) {
            let message = Message::PingRequest { probe, target: target.clone() };
            out.push(Outgoing { to, message });
        }
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

    /// Fetches the view of others until it is the same as one of theirs.
    fn fetch(&mut self, now: Moment, rolls: &mut Rolls, out: &mut Vec<Outgoing>) {
        if self.joined || now.since(self.compared) < JOIN_COMPARE_TIME {
            return;
        }
        self.compared = now;
        for to in self.pick_live(rolls, 1, None) {
            let message = Message::Compare { buckets: self.view.buckets().to_vec() };
            out.push(Outgoing { to, message });
        }
    }

    fn compare(&mut self, now: Moment, to: &Peer, digest: u32, out: &mut Vec<Outgoing>) {
        if digest == self.digest() {
            self.joined = true;
            return;
        }
        // While changes are on their way, views differ without anything being wrong.
        let quiet = now.since(self.changed) >= COMPARE_TIME;
        if quiet && now.since(self.compared) >= COMPARE_TIME {
            self.compared = now;
            let message = Message::Compare { buckets: self.view.buckets().to_vec() };
            out.push(Outgoing { to: to.clone(), message });
        }
    }

    fn answer_compare(&mut self, from: &Peer, buckets: &[u32], out: &mut Vec<Outgoing>) {
        let own = self.view.buckets();
        let turns = (0..BUCKETS).map(|idx| (idx + self.turn) % BUCKETS);
        let differing: Vec<usize> =
            turns.filter(|&idx| buckets.get(idx) != Some(&own[idx])).collect();
        let pages = if differing.len() > BUCKETS / 2 { JOIN_PAGES } else { 1 };
        for &bucket in differing.iter().take(pages) {
            out.push(Outgoing { to: from.clone(), message: self.page(bucket, true) });
            self.turn = (bucket + 1) % BUCKETS;
        }
    }

    fn page(&self, bucket: usize, answer: bool) -> Message {
        let mut room = CHANGE_BYTES;
        let mut entries = Vec::new();
        let group: Vec<&Entry> = self
            .view
            .entries()
            .filter(|entry| entry.is_live() && bucket_of(&entry.record.instance) == bucket)
            .collect();
        let start = self.turn % group.len().max(1);
        for entry in group.iter().cycle().skip(start).take(group.len()) {
            let bytes = Change::Full(Box::new((*entry).clone())).bytes();
            if bytes > room {
                break;
            }
            room -= bytes;
            entries.push((*entry).clone());
        }
        Message::Page { bucket: bucket as u8, entries, answer }
    }

    fn take_page(
        &mut self,
        now: Moment,
        from: &Peer,
        entries: Vec<Entry>,
        out: &mut Vec<Outgoing>,
    ) {
        let mut room = CHANGE_BYTES;
        let mut newer = Vec::new();
        for entry in entries {
            let instance = entry.record.instance.clone();
            if self.absorb_one(now, Change::Full(Box::new(entry)), false, out) != Applied::Stale {
                continue;
            }
            let Some(known) = self.view.get(&instance) else { continue };
            let change = Change::Full(Box::new(known.clone()));
            if let Some(left) = room.checked_sub(change.bytes()) {
                room = left;
                newer.push(change);
            }
        }
        if !newer.is_empty() {
            out.push(Outgoing { to: from.clone(), message: Message::Push { changes: newer } });
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
