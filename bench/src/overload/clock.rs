//! Simulated clock, event queue and random numbers.

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

use poplar_core::Moment;

/// Simulated clock and its pending events, ordered by time; events with the same time keep the
/// order in which they were scheduled.
#[derive(Debug)]
pub(crate) struct EventQueue<E> {
    now: Moment,
    sequence: u64,
    heap: BinaryHeap<Reverse<Entry<E>>>,
}

#[derive(Debug)]
struct Entry<E> {
    at: Moment,
    sequence: u64,
    event: E,
}

impl<E> PartialEq for Entry<E> {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl<E> Eq for Entry<E> {}

impl<E> PartialOrd for Entry<E> {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl<E> Ord for Entry<E> {
    fn cmp(&self, other: &Self) -> Ordering {
        self.at.cmp(&other.at).then(self.sequence.cmp(&other.sequence))
    }
}

impl<E> EventQueue<E> {
    pub(crate) fn new() -> Self {
        Self { now: Moment::default(), sequence: 0, heap: BinaryHeap::new() }
    }

    pub(crate) fn now(&self) -> Moment {
        self.now
    }

    pub(crate) fn schedule(&mut self, after: Duration, event: E) {
        self.sequence += 1;
        let entry = Entry { at: self.now + after, sequence: self.sequence, event };
        self.heap.push(Reverse(entry));
    }

    /// Removes and returns the next event, and sets the clock to its time.
    pub(crate) fn next(&mut self) -> Option<E> {
        let Reverse(entry) = self.heap.pop()?;
        self.now = entry.at;
        Some(entry.event)
    }
}

/// Random number generator (SplitMix64).
#[derive(Debug)]
pub(crate) struct Rng(u64);

impl Rng {
    pub(crate) fn new(seed: u64) -> Self {
        Self(seed)
    }

    pub(crate) fn next(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// Returns a number in `0..bound`; `bound` must not be zero.
    pub(crate) fn below(&mut self, bound: usize) -> usize {
        (self.next() % bound as u64) as usize
    }

    /// Returns a number in `0.0..1.0`.
    pub(crate) fn unit(&mut self) -> f64 {
        (self.next() >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Returns an exponentially distributed number with the given mean.
    pub(crate) fn exponential(&mut self, mean: f64) -> f64 {
        -mean * (1.0 - self.unit()).ln()
    }
}
