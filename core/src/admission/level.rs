//! Admission levels: the rank below which a service refuses calls.

use std::cmp::Reverse;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Importance, RequestId};
use crate::limit::ImportanceScale;

/// Time in which a level falls through one whole importance.
///
/// Targets lower their level, and callers forget what they learnt, at this same rate. A caller's
/// copy is therefore never above the level by more than the answer's time on the way.
pub(crate) const DECAY_TIME: Duration = Duration::from_millis(500);

/// Lots in one importance.
const TIEBREAKS: u64 = 1 << 16;
/// Importances below a level that it tells apart; the last one stands for all further ones.
const SPARED_LEN: usize = 3;

/// Place of a call in the order of survival: importance first, then the lot of its root request.
///
/// It is the same at every hop, so that whole requests survive rather than parts of them.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rank(u32);

impl Rank {
    /// Rank of any call made for the request `root` at `importance`.
    pub fn of(importance: Importance, root: RequestId) -> Self {
        Self::at(importance, root.tiebreak())
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
    pub const fn tiebreak(self) -> u16 {
        self.0 as u16
    }
}

impl From<Rank> for u32 {
    fn from(rank: Rank) -> Self {
        rank.0
    }
}

/// Rank below which calls are refused, and the parts of the less important calls that pass all the
/// same.
///
/// Spared are those with the highest lots, so that they are the same requests at every hop. Of two
/// levels the one that stands at the higher rank is the greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "u64", into = "u64")]
pub struct Level {
    rank: Rank,
    /// Parts that pass of the calls whose importance is one, two, and three or more below that of the
    /// rank, in steps of 1/255.
    spared: [u8; SPARED_LEN],
}

impl Level {
    /// Level that refuses nothing.
    pub const OPEN: Self = Self::at(Rank(0));

    /// Level that just admits `rank`.
    pub const fn at(rank: Rank) -> Self {
        Self { rank, spared: [0; SPARED_LEN] }
    }

    /// The same level, which lets the part `passed` of the calls of `importance` pass.
    ///
    /// Of importances that it does not tell apart, the one given last decides.
    pub fn with_spared(mut self, importance: Importance, passed: f64) -> Self {
        if let Some(idx) = self.spared_index(importance) {
            self.spared[idx] = (passed.clamp(0.0, 1.0) * f64::from(u8::MAX)) as u8;
        }
        self
    }

    /// Rank at which it stands.
    pub const fn rank(self) -> Rank {
        self.rank
    }

    /// Importance of the rank.
    pub(crate) const fn importance(self) -> Importance {
        self.rank.importance()
    }

    /// Level that passes all of the importance at which this one stands.
    pub(crate) const fn rounded_down(self) -> Self {
        Self { rank: Rank::at(self.importance(), 0), ..self }
    }

    /// Whether a call of this rank passes.
    pub fn admits(self, rank: Rank) -> bool {
        rank >= self.rank || self.is_spared(rank)
    }

    /// Part of the calls of one importance that passes.
    pub fn pass_fraction(self, importance: Importance) -> f64 {
        if let Some(idx) = self.spared_index(importance) {
            return f64::from(self.spared[idx]) / f64::from(u8::MAX);
        }
        let base = Rank::at(importance, 0).0;
        let hidden = u64::from(self.rank.0.saturating_sub(base)).min(TIEBREAKS);
        1.0 - hidden as f64 / TIEBREAKS as f64
    }

    /// Whether a call passes although it is less important than the level.
    fn is_spared(self, rank: Rank) -> bool {
        let spared = self.spared_index(rank.importance()).map_or(0, |idx| self.spared[idx]);
        let refused = u32::from(u8::MAX - spared);
        u32::from(rank.tiebreak()) * u32::from(u8::MAX) >= refused << 16
    }

    /// Place of an importance among those that are spared in part; none if it is not below the level.
    fn spared_index(self, importance: Importance) -> Option<usize> {
        let below = usize::from(self.importance().0).checked_sub(usize::from(importance.0))?;
        Some(below.checked_sub(1)?.min(SPARED_LEN - 1))
    }

    /// Level after falling for `span`, skipping importances that the contract does not have.
    pub(crate) fn decayed(self, span: Duration, scale: &ImportanceScale) -> Self {
        let micros = span.min(DECAY_TIME * 256).as_micros() as u64;
        let mut steps = TIEBREAKS * micros / DECAY_TIME.as_micros() as u64;
        let mut level = self;
        while level > Self::OPEN {
            let lot = u64::from(level.rank.tiebreak());
            if steps <= lot {
                return Self { rank: Rank(level.rank.0 - steps as u32), ..level };
            }
            steps -= lot + 1;
            let Some(next) = scale.below(level.importance()) else { return Self::OPEN };
            level = Self { rank: Rank::at(next, u16::MAX), ..level };
        }
        level
    }
}

/// One number in messages, since a level comes with every answer.
impl From<Level> for u64 {
    fn from(level: Level) -> Self {
        let [one, two, more] = level.spared;
        let rank = level.rank.0.to_be_bytes();
        Self::from_be_bytes([0, rank[0], rank[1], rank[2], rank[3], one, two, more])
    }
}

impl From<u64> for Level {
    fn from(packed: u64) -> Self {
        let [_, a, b, c, d, one, two, more] = packed.to_be_bytes();
        Self { rank: Rank(u32::from_be_bytes([a, b, c, d])), spared: [one, two, more] }
    }
}

impl Ord for Level {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.rank, Reverse(self.spared)).cmp(&(other.rank, Reverse(other.spared)))
    }
}

impl PartialOrd for Level {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
