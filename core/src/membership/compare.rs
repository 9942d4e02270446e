//! Anti-entropy: compares two views bucket by bucket, and sends entries that gossip did not
//! deliver.

use std::time::Duration;

use super::message::{BUCKETS, MAX_CHANGE_BYTES, Message, Outgoing};
use super::record::{Change, Entry, Peer};
use super::view::{Applied, bucket_of};
use super::{Membership, SplitMix64};
use crate::time::Moment;

/// Minimum time between two comparisons of a joined member, and between the last change of its
/// view and a comparison.
const COMPARE_TIME: Duration = Duration::from_secs(1);

/// Minimum time between two comparisons of a member that is still fetching its first view.
const JOIN_COMPARE_TIME: Duration = Duration::from_millis(200);

/// Number of pages that answer a comparison in which more than half of the buckets differ.
const JOIN_PAGES: usize = 3;

impl Membership {
    /// Fetches the entries of other members until this view has equalled that of one of them.
    pub(super) fn fetch_view(
        &mut self,
        now: Moment,
        rng: &mut SplitMix64,
        out: &mut Vec<Outgoing>,
    ) {
        if self.joined || now.since(self.last_compare) < JOIN_COMPARE_TIME {
            return;
        }
        self.last_compare = now;
        for to in self.pick_live(rng, 1, None) {
            let message = Message::Compare { buckets: self.view.buckets().to_vec() };
            out.push(Outgoing { to, message });
        }
    }

    pub(super) fn compare(&mut self, now: Moment, to: &Peer, digest: u32, out: &mut Vec<Outgoing>) {
        if digest == self.digest() {
            self.joined = true;
            return;
        }
        // While changes are still spreading, views differ although no message was lost.
        let stable = now.since(self.last_change) >= COMPARE_TIME;
        if stable && now.since(self.last_compare) >= COMPARE_TIME {
            self.last_compare = now;
            let message = Message::Compare { buckets: self.view.buckets().to_vec() };
            out.push(Outgoing { to: to.clone(), message });
        }
    }

    pub(super) fn answer_compare(&mut self, from: &Peer, buckets: &[u32], out: &mut Vec<Outgoing>) {
        let own_buckets = self.view.buckets();
        let order = (0..BUCKETS).map(|idx| (idx + self.rotation) % BUCKETS);
        let differing: Vec<usize> =
            order.filter(|&idx| buckets.get(idx) != Some(&own_buckets[idx])).collect();
        let pages = if differing.len() > BUCKETS / 2 { JOIN_PAGES } else { 1 };
        for &bucket in differing.iter().take(pages) {
            out.push(Outgoing { to: from.clone(), message: self.build_page(bucket, true) });
            self.rotation = (bucket + 1) % BUCKETS;
        }
    }

    pub(super) fn build_page(&self, bucket: usize, answer: bool) -> Message {
        let mut space = MAX_CHANGE_BYTES;
        let mut entries = Vec::new();
        let members: Vec<&Entry> = self
            .view
            .entries()
            .filter(|entry| entry.is_live() && bucket_of(&entry.record.instance) == bucket)
            .collect();
        let start = self.rotation % members.len().max(1);
        for entry in members.iter().cycle().skip(start).take(members.len()) {
            let bytes = Change::Full(Box::new((*entry).clone())).bytes();
            if bytes > space {
                break;
            }
            space -= bytes;
            entries.push((*entry).clone());
        }
        Message::Page { bucket: bucket as u8, entries, answer }
    }

    pub(super) fn apply_page(
        &mut self,
        now: Moment,
        from: &Peer,
        entries: Vec<Entry>,
        out: &mut Vec<Outgoing>,
    ) {
        let mut space = MAX_CHANGE_BYTES;
        let mut newer = Vec::new();
        for entry in entries {
            let instance = entry.record.instance.clone();
            if self.apply_change(now, Change::Full(Box::new(entry)), false, out) != Applied::Stale {
                continue;
            }
            let Some(known) = self.view.get(&instance) else { continue };
            let change = Change::Full(Box::new(known.clone()));
            if let Some(left) = space.checked_sub(change.bytes()) {
                space = left;
                newer.push(change);
            }
        }
        if !newer.is_empty() {
            out.push(Outgoing { to: from.clone(), message: Message::Push { changes: newer } });
        }
    }
}
