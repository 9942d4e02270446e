//! Admission levels and the ranks of calls that they are compared with.

use std::cmp::Reverse;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::{Importance, RequestId};
use crate::limit::ImportanceScale;

/// Time in which a caller's copy of a level decays through one whole importance once no answer
/// refreshes it, so that an outdated level stops refusing calls.
pub(crate) const DECAY_TIME: Duration = Duration::from_millis(500);

/// Number of tie-breaker values within one importance.
const TIEBREAKS: u64 = 1 << 16;
/// Number of importances below a level for which it has a separate spared fraction. The last one
/// also covers all lower importances.
const SPARED_LEN: usize = 3;

/// Shedding order of a call: its importance, then the tie-breaker of its root request. Calls with a
/// lower rank are refused first.
///
/// A call has the same rank at every hop, so that overloaded services refuse the same requests
/// rather than different parts of every request.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Rank(u32);

impl Rank {
    /// Rank of every call that is made on behalf of the request `root` at `importance`.
    pub fn of(importance: Importance, root: RequestId) -> Self {
        Self::at(importance, root.tiebreak())
    }

    /// Rank with the given importance and tie-breaker.
    pub const fn at(importance: Importance, tiebreak: u16) -> Self {
        Self(((importance.0 as u32) << 16) | tiebreak as u32)
    }

    /// Importance of the call, the more significant part of the rank.
    pub const fn importance(self) -> Importance {
        Importance((self.0 >> 16) as u8)
    }

    /// Tie-breaker among calls of the same importance; see [`RequestId::tiebreak`].
    pub const fn tiebreak(self) -> u16 {
        self.0 as u16
    }
}

impl From<Rank> for u32 {
    fn from(rank: Rank) -> Self {
        rank.0
    }
}

/// Admission level: the rank below which calls are refused, and the fractions of the less important
/// calls that are admitted nevertheless.
///
/// The spared calls are those with the highest tie-breakers, so that every hop spares the same
/// requests. Levels are ordered by their rank first; of two levels with the same rank, the one that
/// spares fewer calls is greater.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(from = "u64", into = "u64")]
pub struct Level {
    rank: Rank,
    /// Fractions, in units of 1/255, that are admitted of the calls whose importance is one, two,
    /// and three or more below that of the rank.
    spared: [u8; SPARED_LEN],
}

impl Level {
    /// Level that admits every call.
    pub const OPEN: Self = Self::at(Rank(0));

    /// Level that admits `rank` and everything above it, and nothing below.
    pub const fn at(rank: Rank) -> Self {
        Self { rank, spared: [0; SPARED_LEN] }
    }

    /// The same level, but admitting the fraction `passed` of the calls of `importance`.
    ///
    /// Has no effect if `importance` is not below the level. Importances three or more below the
    /// level share one fraction; the last one set applies to all of them.
    pub fn with_spared(mut self, importance: Importance, passed: f64) -> Self {
        if let Some(idx) = self.spared_index(importance) {
            self.spared[idx] = (passed.clamp(0.0, 1.0) * f64::from(u8::MAX)) as u8;
        }
        self
    }

    /// Lowest rank from which every call is admitted.
    pub const fn rank(self) -> Rank {
        self.rank
    }

    /// Importance of the level's rank.
    pub(crate) const fn importance(self) -> Importance {
        self.rank.importance()
    }

    /// The same level with its rank lowered to the start of its importance, so that it admits every
    /// call of that importance.
    pub(crate) const fn rounded_down(self) -> Self {
        Self { rank: Rank::at(self.importance(), 0), ..self }
    }

    /// Whether a call of this rank is admitted.
    pub fn admits(self, rank: Rank) -> bool {
        rank >= self.rank || self.is_spared(rank)
    }

    /// Fraction of the calls of `importance` that is admitted.
    pub fn pass_fraction(self, importance: Importance) -> f64 {
        if let Some(idx) = self.spared_index(importance) {
            return f64::from(self.spared[idx]) / f64::from(u8::MAX);
        }
        let base = Rank::at(importance, 0).0;
        let refused = u64::from(self.rank.0.saturating_sub(base)).min(TIEBREAKS);
        1.0 - refused as f64 / TIEBREAKS as f64
    }

    /// Whether a call is admitted although it is less important than the level.
    fn is_spared(self, rank: Rank) -> bool {
        let spared = self.spared_index(rank.importance()).map_or(0, |idx| self.spared[idx]);
        let refused = u32::from(u8::MAX - spared);
        u32::from(rank.tiebreak()) * u32::from(u8::MAX) >= refused << 16
    }

    /// Index into `spared` for an importance, or `None` if it is not below the level's.
    fn spared_index(self, importance: Importance) -> Option<usize> {
        let below = usize::from(self.importance().0).checked_sub(usize::from(importance.0))?;
        Some(below.checked_sub(1)?.min(SPARED_LEN - 1))
    }

    /// Level after decaying for `span`, skipping importances that the contract does not have.
    pub(crate) fn decayed(self, span: Duration, scale: &ImportanceScale) -> Self {
        let micros = span.min(DECAY_TIME * 256).as_micros() as u64;
        let mut steps = TIEBREAKS * micros / DECAY_TIME.as_micros() as u64;
        let mut level = self;
        while level > Self::OPEN {
            let tiebreak = u64::from(level.rank.tiebreak());
            if steps <= tiebreak {
                return Self { rank: Rank(level.rank.0 - steps as u32), ..level };
            }
            steps -= tiebreak + 1;
            let Some(next) = scale.below(level.importance()) else { return Self::OPEN };
            level = Self { rank: Rank::at(next, u16::MAX), ..level };
        }
        level
    }
}

/// A level is encoded as one number because every answer carries one.
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
