//! Simulates the members of one service on a simulated clock, with kills, zone partitions, freezes
//! and lost messages.

use std::collections::BTreeMap;
use std::time::Duration;

use poplar_core::{
    Incarnation, MemberRecord, MemberState, MemberVerdict, Membership, Message, Moment, Outgoing,
    Peer, TICK_TIME, rendezvous_weight,
};

/// One-way network latency between two members.
const LATENCY: Duration = Duration::from_millis(1);

/// Number of queued events at which a frozen member loses further messages, as with a full socket
/// buffer; ticks are always queued.
const MAX_QUEUED_MESSAGES: usize = 16;

/// Number of availability zones; members are assigned to them in turn.
pub(crate) const ZONES: usize = 4;

/// Messages and bytes that one member sent.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Traffic {
    /// Number of messages.
    pub(crate) messages: u64,
    /// Bytes, as computed by the group's size function.
    pub(crate) bytes: u64,
    /// Bytes in the busiest second so far.
    pub(crate) peak_bytes: u64,
    second: u64,
    second_bytes: u64,
}

impl Traffic {
    fn add(&mut self, now: Moment, bytes: u64) {
        let second = now.as_micros() / 1_000_000;
        if second != self.second {
            (self.second, self.second_bytes) = (second, 0);
        }
        self.messages += 1;
        self.bytes += bytes;
        self.second_bytes += bytes;
        self.peak_bytes = self.peak_bytes.max(self.second_bytes);
    }
}

#[derive(Debug, PartialEq, Eq)]
enum RunState {
    Running,
    Frozen,
    Killed,
}

#[derive(Debug)]
struct Member {
    membership: Membership,
    record: MemberRecord,
    run_state: RunState,
    partitioned: bool,
    queued: Vec<Event>,
    traffic: Traffic,
}

#[derive(Debug)]
enum Event {
    Tick(usize),
    Deliver { from: Peer, to: usize, message: Message },
}

impl Member {
    fn queue_event(&mut self, event: Event) {
        let tick = matches!(event, Event::Tick(_));
        if tick || self.queued.len() < MAX_QUEUED_MESSAGES {
            self.queued.push(event);
        }
    }
}

/// Simulated group of members, each with a real [`Membership`].
#[derive(Debug)]
pub(crate) struct Group {
    now: Moment,
    events: BTreeMap<(Moment, u64), Event>,
    counter: u64,
    members: Vec<Member>,
    seed: u64,
    loss_percent: u64,
    message_size: fn(&Message) -> u64,
    max_message_bytes: u64,
}

fn record(idx: usize) -> MemberRecord {
    MemberRecord {
        instance: format!("listings-{idx:04}").as_str().into(),
        incarnation: Incarnation(1_790_000_000_000 + idx as u64),
        sequence: 1,
        service: "listings".into(),
        zone: format!("zone-{}", idx % ZONES).as_str().into(),
        address: format!("10.20.{}.{}:17000", idx / 256, idx % 256),
        slots: 130,
        state: MemberState::Serving,
        successor: None,
    }
}

impl Group {
    /// Creates a group of `count` members that all know the first one. `message_size` returns the
    /// size of a message in bytes.
    pub(crate) fn new(count: usize, seed: u64, message_size: fn(&Message) -> u64) -> Self {
        let (events, members) = (BTreeMap::new(), Vec::new());
        let now = Moment::from_millis(1_000);
        let mut group = Self {
            now,
            events,
            counter: 0,
            members,
            seed,
            loss_percent: 0,
            message_size,
            max_message_bytes: 0,
        };
        for idx in 0..count {
            group.join(record(idx));
        }
        group
    }

    /// Returns the simulated time.
    pub(crate) fn now(&self) -> Moment {
        self.now
    }

    /// Returns the number of members, killed ones included.
    pub(crate) fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns the size of the largest message so far, in bytes.
    pub(crate) fn max_message_bytes(&self) -> u64 {
        self.max_message_bytes
    }

    /// Returns what each member sent since the last [`Self::reset_traffic`].
    pub(crate) fn traffic(&self) -> Vec<Traffic> {
        self.members.iter().map(|member| member.traffic).collect()
    }

    /// Sets the traffic counts of all members to zero.
    pub(crate) fn reset_traffic(&mut self) {
        self.members.iter_mut().for_each(|member| member.traffic = Traffic::default());
    }

    fn join(&mut self, record: MemberRecord) {
        let idx = self.members.len();
        let random = self.random();
        let mut membership = Membership::new(self.now, record.clone(), random);
        membership.seed(self.now, self.members.first().map(|first| first.record.clone()));
        let (queued, traffic) = (Vec::new(), Traffic::default());
        let (run_state, partitioned) = (RunState::Running, false);
        self.members.push(Member { membership, record, run_state, partitioned, queued, traffic });
        let phase = Duration::from_micros(random % TICK_TIME.as_micros() as u64);
        self.schedule(self.now + phase, Event::Tick(idx));
    }

    /// Sets the percentage of messages that are lost from now on.
    pub(crate) fn set_loss(&mut self, percent: u64) {
        self.loss_percent = percent;
    }

    /// Stops a member for good; it sends no message about it.
    pub(crate) fn kill(&mut self, idx: usize) {
        self.members[idx].run_state = RunState::Killed;
    }

    /// Pauses a member until [`Self::thaw`]; its events are queued.
    pub(crate) fn freeze(&mut self, idx: usize) {
        self.members[idx].run_state = RunState::Frozen;
    }

    /// Resumes a frozen member, which handles its queued events now.
    pub(crate) fn thaw(&mut self, idx: usize) {
        self.members[idx].run_state = RunState::Running;
        for event in std::mem::take(&mut self.members[idx].queued) {
            self.schedule(self.now, event);
        }
    }

    /// Partitions an availability zone from the others, or heals the partition.
    pub(crate) fn set_partitioned(&mut self, zone: usize, partitioned: bool) {
        for idx in (0..self.members.len()).filter(|idx| idx % ZONES == zone) {
            self.members[idx].partitioned = partitioned;
        }
    }

    /// Changes the state that a member announces.
    pub(crate) fn set_state(&mut self, idx: usize, state: MemberState) {
        let member = &mut self.members[idx];
        member.record.state = state;
        member.record.sequence += 1;
        member.membership.announce(self.now, member.record.clone());
    }

    /// Advances the clock by `span` and handles the events in that time.
    pub(crate) fn advance(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(entry) = self.events.first_entry().filter(|entry| entry.key().0 <= end) {
            let ((at, _), event) = entry.remove_entry();
            self.now = at;
            self.handle(event);
        }
        self.now = end;
    }

    /// Advances the clock in steps of 50 ms until `done` holds; returns the time taken, or `None`
    /// after `limit`.
    pub(crate) fn advance_until(
        &mut self,
        limit: Duration,
        done: impl Fn(&Self) -> bool,
    ) -> Option<Duration> {
        let start = self.now;
        while !done(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.advance(Duration::from_millis(50));
        }
        Some(self.now.since(start))
    }

    /// Returns whether every running member that satisfies `who`, other than `about` itself, has an
    /// entry of member `about` that satisfies `what`.
    pub(crate) fn all_views_satisfy(
        &self,
        about: usize,
        who: impl Fn(usize) -> bool,
        what: impl Fn(MemberState, MemberVerdict) -> bool,
    ) -> bool {
        let instance = &self.members[about].record.instance;
        self.members.iter().enumerate().all(|(idx, member)| {
            let skip = member.run_state != RunState::Running || idx == about || !who(idx);
            let entry = member.membership.entry(instance);
            skip || entry.is_some_and(|entry| what(entry.record.state, entry.verdict))
        })
    }

    /// Returns whether every running member sees every other running member as alive.
    pub(crate) fn all_alive(&self) -> bool {
        let up = |idx: usize| self.members[idx].run_state == RunState::Running;
        let all = (0..self.len()).filter(|&idx| up(idx));
        let mut all = all;
        all.all(|idx| {
            self.all_views_satisfy(idx, |_| true, |_, verdict| verdict == MemberVerdict::Alive)
        })
    }

    /// Returns the number of pairs of running members that satisfy `who`, in which the first one's
    /// verdict on the second is `verdict` or worse.
    pub(crate) fn count_verdicts(
        &self,
        verdict: MemberVerdict,
        who: impl Fn(usize) -> bool,
    ) -> usize {
        let up = |idx: usize| self.members[idx].run_state == RunState::Running && who(idx);
        let known: BTreeMap<_, _> =
            self.members.iter().enumerate().map(|(idx, m)| (&m.record.instance, idx)).collect();
        let holders = self.members.iter().enumerate().filter(|(idx, _)| up(*idx));
        let entries = holders.flat_map(|(_, member)| member.membership.entries());
        let matching = entries.filter(|entry| entry.verdict >= verdict);
        matching
            .filter(|entry| known.get(&entry.record.instance).is_some_and(|&idx| up(idx)))
            .count()
    }

    /// Returns whether all running members have the same view and the view of every member is
    /// consistent.
    pub(crate) fn all_agree(&self) -> bool {
        let up = self.members.iter().filter(|member| member.run_state == RunState::Running);
        let mut digests: Vec<u32> = up.map(|member| member.membership.digest()).collect();
        digests.dedup();
        self.members.iter().all(|member| member.membership.verify().is_ok()) && digests.len() <= 1
    }

    fn random(&mut self) -> u64 {
        self.counter += 1;
        rendezvous_weight(u128::from(self.counter) << 64 | u128::from(self.seed), "roll")
    }

    fn schedule(&mut self, at: Moment, event: Event) {
        self.counter += 1;
        self.events.insert((at, self.counter), event);
    }

    fn handle(&mut self, event: Event) {
        let idx = match &event {
            Event::Tick(idx) => *idx,
            Event::Deliver { to, .. } => *to,
        };
        match self.members[idx].run_state {
            RunState::Killed => return,
            RunState::Frozen => return self.members[idx].queue_event(event),
            RunState::Running => {}
        }
        let out = match event {
            Event::Tick(idx) => {
                self.schedule(self.now + TICK_TIME, Event::Tick(idx));
                let random = self.random();
                self.members[idx].membership.tick(self.now, random)
            }
            Event::Deliver { from, to, message } => {
                self.members[to].membership.receive(self.now, &from, message)
            }
        };
        for outgoing in out {
            self.send(idx, outgoing);
        }
    }

    fn send(&mut self, from: usize, outgoing: Outgoing) {
        let bytes = (self.message_size)(&outgoing.message);
        self.max_message_bytes = self.max_message_bytes.max(bytes);
        let sender = &mut self.members[from];
        sender.traffic.add(self.now, bytes);
        let (partitioned, peer) = (sender.partitioned, sender.record.peer());
        let text = outgoing.to.instance.to_string();
        let to = text.rsplit('-').next().and_then(|digits| digits.parse::<usize>().ok());
        let Some(to) = to.filter(|&to| to < self.members.len()) else { return };
        let lost = self.random() % 100 < self.loss_percent;
        if !lost && partitioned == self.members[to].partitioned {
            let message = outgoing.message;
            self.schedule(self.now + LATENCY, Event::Deliver { from: peer, to, message });
        }
    }
}
