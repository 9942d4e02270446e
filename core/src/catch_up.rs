//! Rules that another node is known to have and this one lacks.
//!
//! The pattern that this answers: all readers of a zone have lost the store without a word, and only
//! a node of another zone tells of newer rules, among many of the own zone that have none. A node of the
//! own zone is asked at once; one of another zone after a while, as the own readers mostly have
//! the rules by then. See [membership](../../docs/design/membership.md).

use std::time::Duration;

use crate::ids::Revision;
use crate::time::Moment;

/// Time for which the rules must be older than those of another zone before they are asked for.
const ASK_DELAY: Duration = Duration::from_millis(300);

/// Node that has newer rules, and since when that is known.
#[derive(Debug)]
pub struct CatchUp<S> {
    newer: Option<(Moment, Revision, S)>,
}

impl<S> Default for CatchUp<S> {
    fn default() -> Self {
        Self { newer: None }
    }
}

impl<S> CatchUp<S> {
    /// Takes in that `source` of another zone has the rules `theirs`, where this node has `own`.
    ///
    /// That others have none newer says nothing of those that `source` has.
    pub fn record_newer(&mut self, now: Moment, own: Revision, theirs: Revision, source: S) {
        let known = self.newer.as_ref().map_or(own, |(_, newer, _)| *newer);
        if theirs > own && theirs > known {
            let since = self.newer.as_ref().map_or(now, |(since, ..)| *since);
            self.newer = Some((since, theirs, source));
        }
    }

    /// Whom to ask now.
    pub fn next_source(&mut self, now: Moment, own: Revision) -> Option<S> {
        let since = match &self.newer {
            Some((since, newer, _)) if *newer > own => *since,
            _ => {
                self.newer = None;
                return None;
            }
        };
        if now.since(since) < ASK_DELAY {
            return None;
        }
        self.newer.take().map(|(.., source)| source)
    }
}
