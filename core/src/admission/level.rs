//! Admission levels: the rank below which a service refuses calls.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Importance, RequestId};
use crate::limit::ImportanceScale;

/// Time in which a level falls through one whole importance.
///
/// Targets lower their level, and callers forget what they learnt, at this same rate. A caller's
/// copy is therefore never above the level by more than the answer's time on the way.
pub(crate) const FALL_TIME: Duration = Duration::from_millis(500);

/// Lots in one importance.
const LOTS: u64 = 1 << 16;

/// Place of a call in the order of survival: importance first, then the lot of its root request.
///
/// It is the same at every hop, so that whole requests survive rather than parts of them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Rank(u32);

impl Rank {
    /// Rank of any call made for the request `root` at `importance`.
    pub fn of(importance: Importance, root: RequestId) -> Self {
        Self::at(importance, root.lot())
    }

    /// Rank at a given lot.
    pub const fn at(importance: Importance, lot: u16) -> Self {
        Self(((importance.0 as u32) << 16) | lot as u32)
    }

    /// Importance.
    pub const fn importance(self) -> Importance {
        Importance((self.0 >> 16) as u8)
    }

    /// Lot.
    pub const fn lot(self) -> u16 {
        self.0 as u16
    }
}

impl From<Level> for Rank {
    fn from(level: Level) -> Self {
        Self(level.0)
    }
}

/// Rank below which calls are refused; zero refuses nothing.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Level(pub u32);

impl Level {
    /// Level that refuses nothing.
    pub const OPEN: Self = Self(0);

    /// Level that just admits `rank`.
    pub const fn at(rank: Rank) -> Self {
        Self(rank.0)
    }

    /// Importance of the rank.
    pub(crate) const fn importance(self) -> Importance {
        Rank(self.0).importance()
    }

    /// Level that passes all of the importance at which this one stands.
    pub(crate) const fn whole(self) -> Self {
        Self::at(Rank::at(self.importance(), 0))
    }

    /// Whether a call of this rank passes.
    pub const fn admits(self, rank: Rank) -> bool {
        rank.0 >= self.0
    }

    /// Part of the calls of one importance that passes.
    pub fn visible(self, importance: Importance) -> f64 {
        let base = Rank::at(importance, 0).0;
        let hidden = u64::from(self.0.saturating_sub(base)).min(LOTS);
        1.0 - hidden as f64 / LOTS as f64
    }

    /// Level after falling for `span`, skipping importances that the contract does not have.
    pub(crate) fn fallen(self, span: Duration, scale: &ImportanceScale) -> Self {
        let micros = span.min(FALL_TIME * 256).as_micros() as u64;
        let mut steps = LOTS * micros / FALL_TIME.as_micros() as u64;
        let mut level = self;
        while level > Self::OPEN {
            let lot = u64::from(level.0 & 0xffff);
            if steps <= lot {
                return Self(level.0 - steps as u32);
            }
            steps -= lot + 1;
            let importance = Importance((level.0 >> 16).min(255) as u8);
            let Some(next) = scale.below(importance) else { return Self::OPEN };
            level = Self::at(Rank::at(next, u16::MAX));
        }
        level
    }
}
