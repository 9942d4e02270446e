//! Requests newer rules from a node of another availability zone when the own zone lacks them.
//!
//! All readers of a zone may lose their connection to the store without noticing. Then only nodes
//! of other zones announce newer rules, while many nodes of the own zone announce old ones. A node
//! of the own zone is asked for newer rules at once; a node of another zone only after a delay,
//! because the readers of the own zone usually have the rules by then. See
//! [membership](../../docs/design/membership.md).

use std::time::Duration;

use crate::ids::Revision;
use crate::time::Moment;

/// Time for which a node of another zone must have had newer rules before they are requested from
/// it.
const ASK_DELAY: Duration = Duration::from_millis(300);

/// Node of another zone that has newer rules; `S` identifies the node.
#[derive(Debug)]
pub struct CatchUp<S> {
    /// When newer rules were first announced, their newest revision, and the node that has it.
    newer: Option<(Moment, Revision, S)>,
}

impl<S> Default for CatchUp<S> {
    fn default() -> Self {
        Self { newer: None }
    }
}

impl<S> CatchUp<S> {
    /// Records that `source`, a node of another zone, has the revision `theirs`, while this node
    /// has `own`.
    ///
    /// Revisions that are not newer than the newest announced one are ignored: they don't mean that
    /// the node which announced it no longer has it.
    pub fn record_newer(&mut self, now: Moment, own: Revision, theirs: Revision, source: S) {
        let newest = self.newer.as_ref().map_or(own, |(_, newer, _)| *newer);
        if theirs > own && theirs > newest {
            let since = self.newer.as_ref().map_or(now, |(since, ..)| *since);
            self.newer = Some((since, theirs, source));
        }
    }

    /// Node to request the rules from now, if newer rules than `own` were announced long enough
    /// ago. It is returned once.
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
