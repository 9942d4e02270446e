//! Introduction of a reader to nodes of its zone that may not know any reader.
//!
//! A process that starts while it cannot reach the store knows no reader to subscribe to; the other
//! nodes may know its address, but have no reason to contact it. Each reader therefore introduces
//! itself to members of its zone that have not subscribed to it in time, and to those whose
//! subscription has ended. See [membership](../../docs/design/membership.md).

use std::collections::HashMap;
use std::time::Duration;

use crate::ids::Name;
use crate::time::Moment;

/// Time after which the reader first introduces itself to a member that does not subscribe; most
/// members subscribe within a second. The delay doubles from one attempt to the next.
const FIRST_DELAY: Duration = Duration::from_millis(1_000);
/// Longest delay between two attempts for one member.
const MAX_DELAY: Duration = Duration::from_secs(16);
/// Number of introductions that one member gets. They span half a minute, by which time its start
/// is over.
const ATTEMPTS_PER_MEMBER: u32 = 5;

#[derive(Debug)]
struct Member {
    due: Moment,
    delay: Duration,
    /// Number of introductions that it still gets.
    remaining: u32,
}

/// Members of the own zone, and when this node is to introduce itself to each of them.
#[derive(Debug, Default)]
pub struct Introductions {
    members: HashMap<Name, Member>,
}

impl Introductions {
    /// Sets the members of the zone; members that were already known keep their schedule.
    pub fn set_members<'a>(&mut self, now: Moment, members: impl IntoIterator<Item = &'a Name>) {
        let mut known = std::mem::take(&mut self.members);
        let to_member =
            |peer: &Name| (peer.clone(), known.remove(peer).unwrap_or_else(|| Member::new(now)));
        self.members = members.into_iter().map(to_member).collect();
    }

    /// Records that a member subscribes, so it needs no introduction.
    pub fn on_subscribe(&mut self, member: &Name) {
        if let Some(member) = self.members.get_mut(member) {
            member.remaining = 0;
        }
    }

    /// Records that the subscription of a member ended. The schedule starts again, because a new
    /// process at the same address may know no reader.
    pub fn on_unsubscribe(&mut self, now: Moment, member: &Name) {
        if let Some(member) = self.members.get_mut(member) {
            *member = Member::new(now);
        }
    }

    /// Records that an introduction did not reach the member, so it does not count.
    pub fn on_unreachable(&mut self, member: &Name) {
        if let Some(member) = self.members.get_mut(member) {
            member.remaining = ATTEMPTS_PER_MEMBER.min(member.remaining + 1);
        }
    }

    /// Members that this node is to introduce itself to now; counts an introduction for each.
    pub fn due(&mut self, now: Moment) -> Vec<Name> {
        let mut due = Vec::new();
        for (peer, member) in &mut self.members {
            if member.remaining > 0 && now >= member.due {
                member.delay = MAX_DELAY.min(member.delay * 2);
                member.due = now + member.delay;
                member.remaining -= 1;
                due.push(peer.clone());
            }
        }
        due
    }
}

impl Member {
    fn new(now: Moment) -> Self {
        Self { due: now + FIRST_DELAY, delay: FIRST_DELAY, remaining: ATTEMPTS_PER_MEMBER }
    }
}
