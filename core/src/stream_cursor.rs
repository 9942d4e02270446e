//! Position of a reader in a stream of the platform's store, and the call that it makes next.
//!
//! The store may come back from an older copy. It then assigns offsets again, so that a reader that
//! kept its offset would skip the records that others write there meanwhile. A [`StreamCursor`]
//! therefore keeps the era with the offset, and starts again from the newest records when the era
//! has changed. It has no I/O; see [recovery](../../docs/design/store-recovery.md).

use crate::ids::{Era, Offset};

/// Position in a stream of the store. It means nothing in another era.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Era of the store in which the offset was assigned.
    pub era: Era,
    /// Offset of the next record.
    pub offset: Offset,
}

/// Call by which a reader continues.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadCall {
    /// Read the newest record of each key.
    Newest,
    /// Read on from the position; the store may wait for the next record.
    Follow(Position),
    /// Read on from the position without waiting, because the answer shows whether the position is
    /// still valid.
    Verify(Position),
}

impl ReadCall {
    fn position(self) -> Option<Position> {
        match self {
            Self::Newest => None,
            Self::Follow(position) | Self::Verify(position) => Some(position),
        }
    }
}

/// Position of one reader in one stream.
#[derive(Debug, Default)]
pub struct StreamCursor {
    /// None until the newest records have been read.
    position: Option<Position>,
    /// Whether a call has failed since the position was last known to be valid.
    doubtful: bool,
}

impl StreamCursor {
    /// Call to make next.
    pub fn next_call(&self) -> ReadCall {
        match self.position {
            None => ReadCall::Newest,
            Some(position) if self.doubtful => ReadCall::Verify(position),
            Some(position) => ReadCall::Follow(position),
        }
    }

    /// Whether the position, if there is one, is of an earlier era than `known`, the latest that
    /// the store has stated.
    pub fn is_outdated(&self, known: Era) -> bool {
        self.position.is_some_and(|position| position.era < known)
    }

    /// Records the answer to `call`, which ends at `next`; returns whether its records may be
    /// applied. `known` is the latest era that the store has stated.
    ///
    /// Records that were read from a position of another era are not the ones that follow it, and
    /// an answer of an earlier era may lack what the store has been told since.
    pub fn on_page(&mut self, known: Era, call: ReadCall, next: Position) -> bool {
        let continues = call.position().is_none_or(|from| from.era == next.era);
        let valid = continues && next.era >= known;
        self.position = valid.then_some(next);
        self.doubtful = false;
        valid
    }

    /// Records that the position is not valid any more.
    pub fn on_invalid(&mut self) {
        self.position = None;
    }

    /// Records a call without an answer. The store may have come back from an older copy, which a
    /// waiting read would reveal only with the next record.
    pub fn on_failure(&mut self) {
        self.doubtful = true;
    }
}
