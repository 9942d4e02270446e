//! Windows of one incarnation: periods of time in which its bindings are minted.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::RequestId;
use crate::time::Moment;

/// Number of the newest spans that may still hold tombstones: those that are open, and those that
/// the last roll closed.
const MAX_UNSWEPT_SPANS: usize = 3;

/// Consecutive windows that were opened within one period, with the keys recorded under them.
#[derive(Debug)]
pub(crate) struct WindowSpan {
    /// First window of the span.
    pub(crate) first: u64,
    /// Last window of the span; greater than `first` if windows were closed for lack of room.
    pub(crate) last: u64,
    /// When the span began.
    pub(crate) opened: Moment,
    /// Keys recorded under a window of the span; some may since have been recorded under a window
    /// of another span.
    pub(crate) keys: Vec<RequestId>,
    /// Number of requests recorded under the span that are running.
    pub(crate) running: usize,
}

/// Windows whose keys are still recorded, oldest first.
///
/// Invariants: never empty; windows are consecutive from `floor` to `current`; a window below
/// `open` admits no more keys.
#[derive(Debug)]
pub(crate) struct Windows {
    spans: VecDeque<WindowSpan>,
    open: u64,
    length: Duration,
}

/// State of a window.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum WindowState {
    /// The records of its keys were removed.
    Dropped,
    /// Its keys are recorded and it admits no more, so a key without a record was definitely not
    /// run.
    Closed,
    /// It admits keys.
    Open,
    /// It has not been opened yet.
    Future,
}

impl Windows {
    pub(crate) fn new(now: Moment, length: Duration) -> Self {
        let first = WindowSpan { first: 0, last: 0, opened: now, keys: Vec::new(), running: 0 };
        Self { spans: VecDeque::from([first]), open: 0, length }
    }

    /// Oldest window whose keys are recorded.
    pub(crate) fn floor(&self) -> u64 {
        self.spans.front().map_or(self.open, |span| span.first)
    }

    /// Newest window, in which bindings are minted.
    pub(crate) fn current(&self) -> u64 {
        self.spans.back().map_or(self.open, |span| span.last)
    }

    /// Oldest window that admits keys.
    pub(crate) fn open(&self) -> u64 {
        self.open
    }

    pub(crate) fn state(&self, window: u64) -> WindowState {
        match window {
            _ if window < self.floor() => WindowState::Dropped,
            _ if window < self.open => WindowState::Closed,
            _ if window <= self.current() => WindowState::Open,
            _ => WindowState::Future,
        }
    }

    pub(crate) fn span_mut(&mut self, window: u64) -> Option<&mut WindowSpan> {
        self.spans.iter_mut().find(|span| span.first <= window && window <= span.last)
    }

    /// Opens a new window if the last span has reached its length, and returns whether it did. The
    /// previous window stays open, because requests with its bindings may still be in transit.
    pub(crate) fn roll(&mut self, now: Moment) -> bool {
        let (first, opened) = match self.spans.back() {
            Some(span) => (span.last.saturating_add(1), span.opened),
            None => (self.open, now),
        };
        if now.since(opened) < self.length {
            return false;
        }
        let recent = self.current();
        self.spans.push_back(WindowSpan {
            first,
            last: first,
            opened: now,
            keys: Vec::new(),
            running: 0,
        });
        self.open = self.open.max(recent);
        true
    }

    /// Closes every window and opens a new one, so that keys without a record need no tombstone.
    pub(crate) fn close_all(&mut self) {
        if let Some(span) = self.spans.back_mut() {
            span.last = span.last.saturating_add(1);
            self.open = span.last;
        }
    }

    /// Spans that may hold tombstones; older spans were swept when they were closed.
    pub(crate) fn unswept_mut(&mut self) -> impl Iterator<Item = &mut WindowSpan> {
        let swept = self.spans.len().saturating_sub(MAX_UNSWEPT_SPANS);
        self.spans.range_mut(swept..)
    }

    /// Removes and returns the oldest span if it ended at least `retention` ago and none of its
    /// requests is running.
    pub(crate) fn drop_oldest(&mut self, now: Moment, retention: Duration) -> Option<WindowSpan> {
        let ended = self.spans.get(1)?.opened;
        let oldest = self.spans.front()?;
        let due = now.since(ended) >= retention && oldest.running == 0;
        if due { self.spans.pop_front() } else { None }
    }

    /// Number of spans.
    pub(crate) fn len(&self) -> usize {
        self.spans.len()
    }

    pub(crate) fn spans(&self) -> impl Iterator<Item = &WindowSpan> {
        self.spans.iter()
    }
}
