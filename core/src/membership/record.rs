//! State of a member: its own record, and the verdict of the members that probe it.

use serde::{Deserialize, Serialize};

use crate::ids::{Incarnation, InstanceId, Name};

/// Longest name or address of a member, in bytes; a record with a longer one is ignored.
const MAX_TEXT_BYTES: usize = 64;

/// Upper bound of the encoded size of a full change without its texts, in bytes.
const FULL_FIXED_BYTES: usize = 68;

/// Upper bound of the encoded size of a verdict change without its instance, in bytes.
const VERDICT_FIXED_BYTES: usize = 36;

/// State of a member of a service, as the member itself reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum MemberState {
    /// Accepts requests.
    Serving,
    /// Finishes its requests and accepts no new ones.
    Draining,
    /// Has left the service.
    Left,
}

/// Record of a member, as stored in the stream of members and sent between nodes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRecord {
    /// Instance that the member runs as.
    pub instance: InstanceId,
    /// Incarnation of the instance that published the record.
    pub incarnation: Incarnation,
    /// Sequence number of the record within the incarnation; a lower one is ignored.
    pub sequence: u64,
    /// Service of the target.
    pub service: Name,
    /// Availability zone.
    pub zone: Name,
    /// Address for calls from other nodes, `ip:port`.
    pub address: String,
    /// Number of requests that the target runs concurrently.
    pub slots: u32,
    /// State that the member reports.
    pub state: MemberState,
    /// Instance that took over the once-only table when this one left.
    #[serde(default)]
    pub successor: Option<InstanceId>,
}

impl MemberRecord {
    /// Instance and address for messages to the member.
    pub fn peer(&self) -> Peer {
        Peer { instance: self.instance.clone(), address: self.address.clone() }
    }

    /// Whether every text is short enough to be stored and sent.
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

/// Sender or receiver of a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// Instance at the address.
    pub instance: InstanceId,
    /// Address for messages from other nodes, `ip:port`.
    pub address: String,
}

/// Health of a member as the other members see it, in order of severity.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The member answers probes.
    Alive,
    /// The member did not answer a probe, and may still refute the suspicion.
    Suspect,
    /// The member did not refute the suspicion in time.
    Lost,
}

/// Verdict on one incarnation of a member.
///
/// Of two verdicts, the one with more refutations takes precedence, then the more severe one. Only
/// the member itself increases the number of refutations, so a verdict that is older than its last
/// refutation never takes precedence.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct VerdictReport {
    /// Instance of the member.
    pub instance: InstanceId,
    /// Incarnation that the verdict applies to.
    pub incarnation: Incarnation,
    /// Number of verdicts that the incarnation has refuted.
    pub refutations: u32,
    /// Health of the incarnation.
    pub verdict: Verdict,
}

/// Record of a member and the verdict on it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Latest known record of the member itself.
    pub record: MemberRecord,
    /// Number of verdicts that the incarnation has refuted.
    pub refutations: u32,
    /// Health of the incarnation.
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

    /// Whether the member neither left nor was lost.
    pub(crate) fn is_live(&self) -> bool {
        self.record.state != MemberState::Left && self.verdict != Verdict::Lost
    }
}

/// Change of the view, as sent to other members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Record and verdict, for a changed record or a receiver that may not know the member.
    Full(Box<Entry>),
    /// New verdict on a member that the receiver already knows.
    Verdict(VerdictReport),
}

impl Change {
    /// Verdict in the change.
    pub(crate) fn report(&self) -> VerdictReport {
        match self {
            Self::Full(entry) => entry.report(),
            Self::Verdict(report) => report.clone(),
        }
    }

    /// Upper bound of the encoded size of the change, in bytes.
    pub(crate) fn bytes(&self) -> usize {
        match self {
            Self::Full(entry) => FULL_FIXED_BYTES + entry.record.text_bytes(),
            Self::Verdict(report) => VERDICT_FIXED_BYTES + report.instance.0.as_str().len(),
        }
    }
}
