//! Rules by which records change a reader's state, in their shortest form.

/// Maximum number of accepted publications in a history.
const MAX_HISTORY: usize = 3;

/// Accepted publications in order; the revision in force is their number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct History {
    publications: [u8; MAX_HISTORY],
    len: u8,
}

impl History {
    /// Revision in force.
    pub fn revision(&self) -> u8 {
        self.len
    }

    /// Accepted publications, the oldest first.
    pub fn publications(&self) -> &[u8] {
        &self.publications[..usize::from(self.len)]
    }

    /// Whether `other` is a prefix of this history.
    pub fn extends(&self, other: &Self) -> bool {
        self.publications().starts_with(other.publications())
    }

    fn push(&mut self, publication: u8) {
        if usize::from(self.len) < MAX_HISTORY {
            self.publications[usize::from(self.len)] = publication;
            self.len += 1;
        }
    }
}

/// State of a reader: the records before `next`, applied in order.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash)]
pub struct State {
    /// First offset that the state does not cover.
    pub next: u8,
    /// Accepted publications.
    pub history: History,
}

/// Record of the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Record {
    /// Publication of a contract as the revision after its base.
    Publish {
        /// Index of the publication; stands for both its publish id and its contract.
        publication: u8,
        /// Revision on which the contract is based.
        base: u8,
    },
    /// State of a reader, for readers that are behind it.
    Snapshot(State),
    /// State from which every reader continues, if the record got the expected offset.
    Resume {
        /// Offset that the author expected this record to get.
        expected: u8,
        /// State of the author when it sent the record.
        state: State,
    },
}

/// Result of applying one record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// The contract is in force as this revision.
    Accepted(u8),
    /// The publication was accepted before, as this revision.
    Duplicate(u8),
    /// The base is not the revision in force, which is this one.
    Superseded(u8),
    /// The state already covers this offset.
    Stale,
    /// The state was replaced by the snapshot's, which covers more.
    SnapshotTaken,
    /// The snapshot does not cover more than the state.
    SnapshotIgnored,
    /// The state was replaced by the resume record's.
    Resumed,
    /// The resume record got another offset than expected.
    ResumeIgnored,
    /// Records before this one are missing from the state.
    Gap,
}

/// Rules that are mutated, by the name of the mutation; the default mutates none.
#[derive(Debug, Clone, Copy, Default)]
pub struct RuleMutations {
    pub(crate) ignore_base: bool,
    pub(crate) last_wins: bool,
    pub(crate) accept_repeats: bool,
    pub(crate) judge_across_gap: bool,
    pub(crate) snapshot_to_offset: bool,
    pub(crate) adopt_backwards: bool,
    pub(crate) forget_published: bool,
    pub(crate) accept_on_read_back: bool,
    pub(crate) lose_on_read_back: bool,
    pub(crate) resume_unsettled: bool,
    pub(crate) resume_overtaken: bool,
    pub(crate) resume_without_offers: bool,
}

impl RuleMutations {
    pub(crate) fn from_mutation(mutation: Option<&str>) -> Self {
        let mut mutations = Self::default();
        match mutation {
            Some("ignore-base") => mutations.ignore_base = true,
            Some("last-wins") => mutations.last_wins = true,
            Some("accept-repeats") => mutations.accept_repeats = true,
            Some("judge-across-gap") => mutations.judge_across_gap = true,
            Some("snapshot-to-offset") => mutations.snapshot_to_offset = true,
            Some("adopt-backwards") => mutations.adopt_backwards = true,
            Some("forget-published") => mutations.forget_published = true,
            Some("accept-on-read-back") => mutations.accept_on_read_back = true,
            Some("lose-on-read-back") => mutations.lose_on_read_back = true,
            Some("resume-unsettled") => mutations.resume_unsettled = true,
            Some("resume-overtaken") => mutations.resume_overtaken = true,
            Some("resume-without-offers") => mutations.resume_without_offers = true,
            _ => {}
        }
        mutations
    }
}

impl State {
    /// Revision as which a publication was accepted.
    pub fn accepted_revision(&self, mutations: RuleMutations, publication: u8) -> Option<u8> {
        let found =
            self.history.publications().iter().position(|accepted| *accepted == publication);
        found.filter(|_| !mutations.forget_published).map(|index| index as u8 + 1)
    }

    /// Applies the record at `offset`.
    ///
    /// A record behind a gap leaves the state unchanged, unless it is a snapshot or a valid resume
    /// record, which replaces the state.
    pub fn apply(&mut self, mutations: RuleMutations, offset: u8, record: &Record) -> Verdict {
        if offset < self.next {
            return Verdict::Stale;
        }
        match *record {
            Record::Snapshot(state) if state.next > self.next => {
                *self = state;
                if mutations.snapshot_to_offset {
                    self.next = offset + 1;
                }
                Verdict::SnapshotTaken
            }
            Record::Resume { expected, state }
                if expected == offset || mutations.resume_overtaken =>
            {
                *self = Self { next: offset + 1, ..state };
                Verdict::Resumed
            }
            _ if offset > self.next && !mutations.judge_across_gap => Verdict::Gap,
            _ => {
                self.next = offset + 1;
                self.evaluate(mutations, record)
            }
        }
    }

    /// Replaces this state by a peer's state that covers more; returns whether it did.
    pub fn adopt(&mut self, mutations: RuleMutations, peer: &Self) -> bool {
        let adopted = peer.next > self.next
            || mutations.adopt_backwards && peer.next < self.next && peer.next > 0;
        if adopted {
            *self = *peer;
        }
        adopted
    }

    fn evaluate(&mut self, mutations: RuleMutations, record: &Record) -> Verdict {
        let Record::Publish { publication, base } = *record else {
            let snapshot = matches!(record, Record::Snapshot(_));
            return if snapshot { Verdict::SnapshotIgnored } else { Verdict::ResumeIgnored };
        };
        if let Some(revision) =
            self.accepted_revision(mutations, publication).filter(|_| !mutations.accept_repeats)
        {
            return Verdict::Duplicate(revision);
        }
        let repeated =
            mutations.accept_repeats && self.accepted_revision(mutations, publication).is_some();
        if mutations.last_wins && base + 1 == self.history.revision() {
            self.history.len -= 1;
        }
        if base != self.history.revision() && !mutations.ignore_base && !repeated {
            return Verdict::Superseded(self.history.revision());
        }
        self.history.push(publication);
        Verdict::Accepted(self.history.revision())
    }
}
