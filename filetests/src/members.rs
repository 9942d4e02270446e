//! Sessions of the members of one service: joins, drains, kills, freezes, and what each sees.

use std::collections::BTreeMap;
use std::time::Duration;

use poplar_core::{
    Incarnation, MemberRecord, MemberState, MemberVerdict, Membership, Message, Moment, Outgoing,
    Peer, TICK_TIME, rendezvous_weight,
};

use crate::{Fault, Session, VIOLATION};

/// Time within which a leaving target must receive no new work.
const LEAVE_TIME: Duration = Duration::from_secs(3);

struct Member {
    membership: Membership,
    record: MemberRecord,
    up: bool,
    frozen: bool,
    /// When it began to drain.
    draining: Option<Moment>,
}

/// Message under way; it arrives at once unless its receiver is frozen or gone.
struct Letter {
    from: Peer,
    to: String,
    message: Message,
}

/// Session of one service.
#[derive(Default)]
pub(crate) struct Members {
    members: BTreeMap<String, Member>,
    now: Moment,
    ticks: u128,
    lines: Vec<String>,
}

impl Session for Members {
    fn step(&mut self, now: Moment, words: &[&str]) -> Result<Vec<String>, Fault> {
        self.pass_until(now);
        match words {
            ["start", name] => self.start(name),
            ["drain", name] => self.announce(name, MemberState::Draining)?,
            ["leave", name] => {
                self.announce(name, MemberState::Left)?;
                self.farewell(name)?;
            }
            ["kill", name] => self.member(name)?.up = false,
            ["freeze", name] => self.member(name)?.frozen = true,
            ["wake", name] => self.member(name)?.frozen = false,
            ["show"] => self.show(),
            _ => return Err(Fault::Command),
        }
        Ok(std::mem::take(&mut self.lines))
    }

    fn end(&mut self) -> Vec<String> {
        self.show();
        std::mem::take(&mut self.lines)
    }
}

fn peer(name: &str) -> Peer {
    Peer { instance: name.into(), address: name.to_owned() }
}

fn outgoing(from: &str, messages: Vec<Outgoing>) -> Vec<Letter> {
    let letter = |out: Outgoing| Letter {
        from: peer(from),
        to: out.to.instance.to_string(),
        message: out.message,
    };
    messages.into_iter().map(letter).collect()
}

impl Members {
    fn member(&mut self, name: &str) -> Result<&mut Member, Fault> {
        self.members.get_mut(name).ok_or(Fault::Name)
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
        let mut membership = Membership::new(self.now, record.clone(), self.roll(name));
        membership.seed(self.now, known);
        let member = Member { membership, record, up: true, frozen: false, draining: None };
        self.members.insert(name.to_owned(), member);
    }

    /// Number that stands in for chance: the same in each replay.
    fn roll(&self, name: &str) -> u64 {
        rendezvous_weight(self.ticks, name)
    }

    fn announce(&mut self, name: &str, state: MemberState) -> Result<(), Fault> {
        let now = self.now;
        let member = self.member(name)?;
        member.record.sequence += 1;
        member.record.state = state;
        member.draining.get_or_insert(now);
        member.membership.announce(now, member.record.clone());
        Ok(())
    }

    fn farewell(&mut self, name: &str) -> Result<(), Fault> {
        let roll = self.roll(name);
        let member = self.member(name)?;
        let letters = outgoing(name, member.membership.leave_messages(roll));
        member.up = false;
        self.deliver(letters);
        Ok(())
    }

    fn pass_until(&mut self, end: Moment) {
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
            let (now, roll) = (self.now, self.roll(&name));
            let Some(member) = self.members.get_mut(&name).filter(|member| member.runs()) else {
                continue;
            };
            let letters = outgoing(&name, member.membership.tick(now, roll));
            self.deliver(letters);
        }
        self.check_leaving();
    }

    fn deliver(&mut self, mut letters: Vec<Letter>) {
        while let Some(Letter { from, to, message }) = letters.pop() {
            let receiver = self.members.get_mut(&to).filter(|member| member.runs());
            let Some(receiver) = receiver else { continue };
            let answers = receiver.membership.receive(self.now, &from, message);
            letters.extend(outgoing(&to, answers));
        }
    }

    /// A member that drains must not be taken for serving once a few seconds have passed.
    fn check_leaving(&mut self) {
        let due = |member: &Member| {
            member.draining.is_some_and(|since| self.now.since(since) > LEAVE_TIME)
        };
        let leaving: Vec<_> = self.members.iter().filter(|(_, member)| due(member)).collect();
        let mut late = Vec::new();
        for (name, _) in leaving {
            for (other, viewer) in self.members.iter().filter(|(_, member)| member.runs()) {
                if viewer.sees(name) == "serving" {
                    late.push(format!("{VIOLATION}: {other} still sends work to {name}"));
                }
            }
        }
        self.lines.extend(late);
    }

    fn show(&mut self) {
        for (name, member) in self.members.iter().filter(|(_, member)| member.runs()) {
            let seen = self.members.keys().map(|other| format!("{other} {}", member.sees(other)));
            let seen: Vec<String> = seen.collect();
            self.lines.push(format!("{name} sees: {}", seen.join(", ")));
        }
    }
}

impl Member {
    fn runs(&self) -> bool {
        self.up && !self.frozen
    }

    /// What this member makes of another one, and of itself.
    fn sees(&self, other: &str) -> &'static str {
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
