//! Choice of the owner of each workspace.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::WorkspaceHash;
use super::reach::Reachability;
use crate::ids::{Name, rendezvous_weight};
use crate::roster::Stage;
use crate::time::Moment;

/// Time for which a node must have been the first in the order before its bucket may start full: a
/// window of the limit, so that tokens of an earlier owner are out of every window that the burst
/// is spent in.
const SETTLE_TIME: Duration = Duration::from_secs(5);
/// Largest number of earlier lists of members that are kept.
const HISTORY_MAX: usize = 16;

/// First nodes in the order of one workspace.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Ranking {
    /// The owner: the first node that serves.
    pub first: Option<Name>,
    /// Node that is asked if the owner does not answer.
    pub second: Option<Name>,
    /// First node that is leaving, if it comes before the owner: it owned the workspace until now.
    pub leaving: Option<Name>,
}

impl Ranking {
    /// Nodes to ask for tokens, in order, without those that failed to answer a moment ago.
    pub fn candidates(&self, now: Moment, reach: &Reachability) -> Vec<Name> {
        let both = [&self.first, &self.second].into_iter().flatten();
        both.filter(|peer| reach.may_ask(now, peer)).cloned().collect()
    }

    /// Node that may hold a bucket of the workspace if `own` has become the owner recently.
    pub(crate) fn predecessor(&self, own: &Name) -> Option<&Name> {
        let others = [&self.leaving, &self.first, &self.second];
        others.into_iter().flatten().find(|peer| *peer != own)
    }
}

/// Nodes among which the owner of a workspace is chosen, with earlier lists.
#[derive(Debug, Default)]
pub struct QuotaMembers {
    /// Lists in the order in which they were set; the last one is in force.
    lists: VecDeque<(Moment, Vec<(Name, Stage)>)>,
    /// Rankings over the last list that have been asked for.
    rankings: HashMap<WorkspaceHash, Ranking>,
}

impl QuotaMembers {
    /// Sets the list of members.
    pub fn set(&mut self, now: Moment, members: impl IntoIterator<Item = (Name, Stage)>) {
        let list = members.into_iter().filter(|(_, stage)| *stage != Stage::Left).collect();
        self.rankings.clear();
        self.lists.push_back((now, list));
        // A list counts until `SETTLE_TIME` after it was replaced.
        while self.lists.len() > HISTORY_MAX
            || self.lists.get(1).is_some_and(|(next, _)| now.since(*next) >= SETTLE_TIME)
        {
            self.lists.pop_front();
        }
    }

    /// Restarts the time for which this node counts as an owner, because its process was suspended.
    pub fn unsettle(&mut self, now: Moment) {
        if let Some((_, list)) = self.lists.pop_back() {
            self.lists.clear();
            self.lists.push_back((now, list));
        }
    }

    /// Number of members.
    pub fn len(&self) -> usize {
        self.lists.back().map_or(0, |(_, list)| list.len())
    }

    /// Whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// First nodes in the order of `workspace`.
    pub fn ranking(&mut self, workspace: WorkspaceHash) -> Ranking {
        if let Some(known) = self.rankings.get(&workspace) {
            return known.clone();
        }
        let ranking = self.rank(workspace);
        self.rankings.insert(workspace, ranking.clone());
        ranking
    }

    fn rank(&self, workspace: WorkspaceHash) -> Ranking {
        let Some((_, list)) = self.lists.back() else { return Ranking::default() };
        let weight = |peer: &Name| rendezvous_weight(u128::from(workspace.0), peer.as_str());
        let (mut first, mut second, mut leaving) = (None, None, None);
        for (peer, stage) in list {
            let entry = Some((weight(peer), peer));
            if *stage != Stage::Serving {
                leaving = leaving.max(entry);
            } else if entry > first {
                second = std::mem::replace(&mut first, entry);
            } else {
                second = second.max(entry);
            }
        }
        let name = |entry: Option<(u64, &Name)>| entry.map(|(_, peer)| peer.clone());
        let leaving = leaving.filter(|_| leaving > first);
        Ranking { first: name(first), second: name(second), leaving: name(leaving) }
    }

    /// Whether `own` has been the first in the order of `workspace` for a whole window.
    pub fn is_settled(&self, now: Moment, own: &Name, workspace: WorkspaceHash) -> bool {
        let weight = |peer: &Name| rendezvous_weight(u128::from(workspace.0), peer.as_str());
        let is_first = |list: &[(Name, Stage)]| {
            let serving = list.iter().filter(|(_, stage)| *stage == Stage::Serving);
            serving.map(|(peer, _)| peer).max_by_key(|peer| (weight(peer), *peer)) == Some(own)
        };
        let mut replaced = None;
        for (set, list) in self.lists.iter().rev() {
            if replaced.is_some_and(|at| now.since(at) >= SETTLE_TIME) {
                return true;
            }
            if !is_first(list) {
                return false;
            }
            replaced = Some(*set);
        }
        replaced.is_some_and(|at| now.since(at) >= SETTLE_TIME)
    }
}
