//! Nodes of a reader's zone that may know of nobody whom they could subscribe to.
//!
//! The pattern that this answers: a node writes its record as it starts and loses the store before it
//! has read those of others. They know it, need nothing of it, and it cannot ask. So each reader
//! makes itself known to new members of its zone that have not subscribed to it in time. See
//! [membership](../../docs/design/membership.md).

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Name;
use crate::time::Moment;

/// Time after which a new member that has not subscribed is told of the reader; it mostly has within a
/// second. The pause doubles from one attempt to the next.
const FIRST_DELAY: Duration = Duration::from_millis(1_000);
/// Attempts for one member: they span half a minute, in which a start is over.
const MAX_ATTEMPTS: u32 = 5;

#[derive(Debug)]
struct Member {
    due: Moment,
    attempts: u32,
}

/// Members of the own zone, and who of them is to be told of this node.
#[derive(Debug, Default)]
pub struct Introductions {
    members: HashMap<Name, Member>,
}

impl Introductions {
    /// Takes over the members of the zone.
    pub fn set_members<'a>(&mut self, now: Moment, members: impl IntoIterator<Item = &'a Name>) {
        let mut known = std::mem::take(&mut self.members);
        let to_member = |peer: &Name| {
            let new = Member { due: now + FIRST_DELAY, attempts: 0 };
            (peer.clone(), known.remove(peer).unwrap_or(new))
        };
        self.members = members.into_iter().map(to_member).collect();
    }

    /// Takes in that a member subscribes, so that it knows this node.
    pub fn on_subscribe(&mut self, member: &Name) {
        if let Some(member) = self.members.get_mut(member) {
            member.attempts = MAX_ATTEMPTS;
        }
    }

    /// Members to be told of this node now.
    pub fn due(&mut self, now: Moment) -> Vec<Name> {
        let mut due = Vec::new();
        for (peer, member) in &mut self.members {
            if member.attempts < MAX_ATTEMPTS && now >= member.due {
                member.due = now + FIRST_DELAY * 2_u32.pow(member.attempts + 1);
                member.attempts += 1;
                due.push(peer.clone());
            }
        }
        due
    }
}
