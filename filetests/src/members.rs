//! Sessions of kind `members`: members of one service that join, drain, leave, are killed or
//! frozen, and the view that each has of the others.

use std::collections::BTreeMap;
use std::time::Duration;

use poplar_core::{
    Incarnation, MemberRecord, MemberState, MemberVerdict, Membership, Message, Moment, Outgoing,
    Peer, TICK_TIME, rendezvous_weight,
};

use crate::{LineError, Session, VIOLATION};

/// Maximum time after the start of a drain for which other members may still see the draining
/// member as serving.
///
/// Members send new work to a member while they see it as serving.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(3);

struct Member {
    membership: Membership,
    record: MemberRecord,
    /// Whether the process exists: neither killed nor left.
    up: bool,
    frozen: bool,
    /// Time at which the member first announced that it drains or leaves.
    drain_start: Option<Moment>,
}

/// Message in transit. It arrives without delay, and is lost if its receiver is frozen, stopped or
/// unknown.
struct Envelope {
    from: Peer,
    to: String,
    message: Message,
}

/// Interpreter for the members of one service.
#[derive(Default)]
pub(crate) struct MembersSession {
    members: BTreeMap<String, Member>,
    now: Moment,
    /// Number of ticks so far; seeds the pseudo-random numbers.
    ticks: u128,
    /// Trace lines of the current step.
    lines: Vec<String>,
}

impl Session for MembersSession {
    fn step(&mut self, now: Moment, words: &[&str]) -> Result<Vec<String>, LineError> {
        self.advance_to(now);
        match words {
            ["start", name] => self.start(name),
            ["drain", name] => self.announce(name, MemberState::Draining)?,
            ["leave", name] => {
                self.announce(name, MemberState::Left)?;
                self.send_leave(name)?;
            }
            ["kill", name] => self.member(name)?.up = false,
            ["freeze", name] => self.member(name)?.frozen = true,
            ["wake", name] => self.member(name)?.frozen = false,
            ["show"] => self.trace_views(),
            _ => return Err(LineError::InvalidCommand),
        }
        Ok(std::mem::take(&mut self.lines))
    }

    fn end(&mut self) -> Vec<String> {
        self.trace_views();
        std::mem::take(&mut self.lines)
    }
}

fn peer(name: &str) -> Peer {
    Peer { instance: name.into(), address: name.to_owned() }
}

fn envelopes(from: &str, messages: Vec<Outgoing>) -> Vec<Envelope> {
    let envelope = |out: Outgoing| Envelope {
        from: peer(from),
        to: out.to.instance.to_string(),
        message: out.message,
    };
    messages.into_iter().map(envelope).collect()
}

impl MembersSession {
    fn member(&mut self, name: &str) -> Result<&mut Member, LineError> {
        self.members.get_mut(name).ok_or(LineError::UnknownName)
    }

    fn start(&mut self, name: &str) {
        let last = self.members.get(name).map_or(0, |member| member.record.incarnation.0);
        let record = MemberRecord {
            instance: name.into(),
            incarnation: Incarnation(last + 1),
            sequence: 1,
            service: "listings".into(),
            zone: "rennes".into(),
            address: name.to_owned(),
            slots: 20,
            state: MemberState::Serving,
            successor: None,
        };
        let known: Vec<_> = self.members.values().map(|member| member.record.clone()).collect();
        let mut membership = Membership::new(self.now, record.clone(), self.random(name));
        membership.seed(self.now, known);
        let member = Member { membership, record, up: true, frozen: false, drain_start: None };
        self.members.insert(name.to_owned(), member);
    }

    /// Pseudo-random number that is the same in each replay.
    fn random(&self, name: &str) -> u64 {
        rendezvous_weight(self.ticks, name)
    }

    fn announce(&mut self, name: &str, state: MemberState) -> Result<(), LineError> {
        let now = self.now;
        let member = self.member(name)?;
        member.record.sequence += 1;
        member.record.state = state;
        member.drain_start.get_or_insert(now);
        member.membership.announce(now, member.record.clone());
        Ok(())
    }

    /// Delivers the leave messages of a member and stops it.
    fn send_leave(&mut self, name: &str) -> Result<(), LineError> {
        let random = self.random(name);
        let member = self.member(name)?;
        let envelopes = envelopes(name, member.membership.leave_messages(random));
        member.up = false;
        self.deliver(envelopes);
        Ok(())
    }

    /// Advances the clock to `end` and runs each tick that is due.
    fn advance_to(&mut self, end: Moment) {
        while self.now + TICK_TIME <= end {
            self.now = self.now + TICK_TIME;
            self.tick();
        }
        self.now = end;
    }

    fn tick(&mut self) {
        self.ticks += 1;
        let names: Vec<String> = self.members.keys().cloned().collect();
        for name in names {
            let (now, random) = (self.now, self.random(&name));
            let Some(member) = self.members.get_mut(&name).filter(|member| member.is_running())
            else {
                continue;
            };
            let envelopes = envelopes(&name, member.membership.tick(now, random));
            self.deliver(envelopes);
        }
        self.check_draining();
    }

    /// Delivers messages, and the replies to them, until none is in transit.
    fn deliver(&mut self, mut in_transit: Vec<Envelope>) {
        while let Some(Envelope { from, to, message }) = in_transit.pop() {
            let receiver = self.members.get_mut(&to).filter(|member| member.is_running());
            let Some(receiver) = receiver else { continue };
            let answers = receiver.membership.receive(self.now, &from, message);
            in_transit.extend(envelopes(&to, answers));
        }
    }

    /// Reports a violation for each running member that sees another as serving more than
    /// [`MAX_DRAIN_DELAY`] after that one began to drain.
    fn check_draining(&mut self) {
        let due = |member: &Member| {
            member.drain_start.is_some_and(|since| self.now.since(since) > MAX_DRAIN_DELAY)
        };
        let leaving: Vec<_> = self.members.iter().filter(|(_, member)| due(member)).collect();
        let mut late = Vec::new();
        for (name, _) in leaving {
            for (other, viewer) in self.members.iter().filter(|(_, member)| member.is_running()) {
                if viewer.view_of(name) == "serving" {
                    late.push(format!("{VIOLATION}: {other} still sends work to {name}"));
                }
            }
        }
        self.lines.extend(late);
    }

    /// Appends a trace line with the view of each running member.
    fn trace_views(&mut self) {
        for (name, member) in self.members.iter().filter(|(_, member)| member.is_running()) {
            let seen =
                self.members.keys().map(|other| format!("{other} {}", member.view_of(other)));
            let seen: Vec<String> = seen.collect();
            self.lines.push(format!("{name} sees: {}", seen.join(", ")));
        }
    }
}

impl Member {
    /// Whether the member receives messages and ticks.
    fn is_running(&self) -> bool {
        self.up && !self.frozen
    }

    /// State of `other`, or of this member itself, in this member's view.
    fn view_of(&self, other: &str) -> &'static str {
        let Some(entry) = self.membership.entry(&other.into()) else { return "unknown" };
        match (entry.record.state, entry.verdict) {
            (MemberState::Left, _) => "left",
            (_, MemberVerdict::Lost) => "lost",
            (_, MemberVerdict::Suspect) => "suspect",
            (MemberState::Draining, _) => "draining",
            (MemberState::Serving, _) => "serving",
        }
    }
}
