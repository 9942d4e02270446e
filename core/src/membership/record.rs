//! What is said about a member: its own record, and the verdict of those who probe it.

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, InstanceId, Name};

/// Longest name or address of a member, in bytes; longer ones are not taken in.
const MAX_TEXT_BYTES: usize = 64;

/// Upper bound of the bytes that the fixed fields of a full change take on the wire.
const FULL_FIXED_BYTES: usize = 68;

/// Upper bound of the bytes that the fixed fields of a verdict change take on the wire.
const VERDICT_FIXED_BYTES: usize = 36;

/// State of a member of a service, by its own word.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Takes work.
    Serving,
    /// Finishes what it has and takes nothing new.
    Draining,
    /// Gone by its own word or by confirmed loss.
    Left,
}

/// Record of a member, as it stands on the stream of members and travels between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Instance.
    pub instance: InstanceId,
    /// Incarnation that the record speaks of.
    pub incarnation: Incarnation,
    /// Sequence of the record within the incarnation; a lower one is ignored.
    pub sequence: u64,
    /// Service of the target.
    pub service: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address for calls from other nodes, `ip:port`.
    pub address: String,
    /// Requests that the target runs at once.
    pub slots: u32,
    /// State.
    pub state: MemberState,
    /// Instance that took the once-only table over, when this one left.
    #[serde(default)]
    pub successor: Option<InstanceId>,
}

impl MemberRecord {
    /// Peer that the record leads to.
    pub fn peer(&self) -> Peer {
        Peer { instance: self.instance.clone(), address: self.address.clone() }
    }

    /// Whether every text is short enough to be kept and passed on.
    pub(crate) fn is_bounded(&self) -> bool {
        self.texts().iter().all(|text| text.len() <= MAX_TEXT_BYTES)
    }

    fn text_bytes(&self) -> usize {
        self.texts().iter().map(|text| text.len()).sum()
    }

    fn texts(&self) -> [&str; 5] {
        let successor = self.successor.as_ref().map_or("", |instance| instance.0.as_str());
        [
            self.instance.0.as_str(),
            self.service.as_str(),
            self.zone.as_str(),
            &self.address,
            successor,
        ]
    }
}

/// Other end of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Instance.
    pub instance: InstanceId,
    /// Address for messages from other nodes, `ip:port`.
    pub address: String,
}

/// What the members hold of a member's health, in order of severity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// It answers.
    Alive,
    /// It did not answer a probe, and may still refute the suspicion.
    Suspect,
    /// It did not refute the suspicion in time.
    Lost,
}

/// Verdict on one incarnation.
///
/// Of two verdicts the one with more refutations wins, then the more severe one. Only the member
/// itself raises the number of refutations, so a verdict older than its last word never wins.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictReport {
    /// Instance.
    pub instance: InstanceId,
    /// Incarnation.
    pub incarnation: Incarnation,
    /// Suspicions that the incarnation has refuted.
    pub refutations: u32,
    /// Verdict.
    pub verdict: Verdict,
}

/// All that one node passes on about a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Word of the member itself.
    pub record: MemberRecord,
    /// Suspicions that the incarnation has refuted.
    pub refutations: u32,
    /// Verdict.
    pub verdict: Verdict,
}

impl Entry {
    /// Verdict without the record.
    pub(crate) fn report(&self) -> VerdictReport {
        VerdictReport {
            instance: self.record.instance.clone(),
            incarnation: self.record.incarnation,
            refutations: self.refutations,
            verdict: self.verdict,
        }
    }

    /// Whether the member counts: it neither left nor was lost.
    pub(crate) fn is_live(&self) -> bool {
        self.record.state != MemberState::Left && self.verdict != Verdict::Lost
    }
}

/// One change of the view, as it is passed on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// New record, or all that is known to a node that may know nothing.
    Full(Box<Entry>),
    /// New verdict on a member that the receiver knows.
    Verdict(VerdictReport),
}

impl Change {
    /// Verdict that the change carries.
    pub(crate) fn report(&self) -> VerdictReport {
        match self {
            Self::Full(entry) => entry.report(),
            Self::Verdict(report) => report.clone(),
        }
    }

    /// Upper bound of the bytes that the change takes on the wire.
    pub(crate) fn bytes(&self) -> usize {
        match self {
            Self::Full(entry) => FULL_FIXED_BYTES + entry.record.text_bytes(),
            Self::Verdict(report) => VERDICT_FIXED_BYTES + report.instance.0.as_str().len(),
        }
    }
}
