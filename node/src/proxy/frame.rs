//! Messages on links between nodes, and their framing.
//!
//! A frame is a big-endian length of four bytes followed by a message in MessagePack. See
//! [platform](../../../docs/design/platform.md).

use std::sync::Arc;
use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use poplar_core::{
    CallId, CrashNews, Digest, ErrorKind, Fingerprint, ImportanceMix, InstanceId, LeaseAnswer,
    LeaseRequest, Level, Name, Outcome, Ranges, Rank, Rate, Reads, RelayedLevel, Revision, RuleSet,
    Sighting, TargetLifetime, TargetRecord, WorkSum, is_final_status,
};
use serde::{Deserialize, Serialize};

use crate::proxy::body_codec::{self, SplitWriter};
use crate::proxy::memory::AnswerShare;

/// Largest message, in bytes: the largest body that rules allow at present, plus room for its head.
const FRAME_LIMIT_BYTES: usize = 72 << 20;
/// Size of the length that precedes each message, in bytes.
pub(crate) const LENGTH_BYTES: usize = 4;

/// Number of a call or claim on its link, assigned by the sending end.
pub(crate) type CallNumber = u32;

/// Number of a request for tokens, assigned by the sending node.
pub(crate) type LeaseNumber = u32;

/// Message between two nodes. Variant names and the order of fields are the wire format.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Requests a run at the target beside the receiver.
    Call(CallNumber, Box<Call>),
    /// Cancels a call or claim whose caller no longer waits, and stops its run.
    Cancel(CallNumber),
    /// Answers a call or a claim.
    Answer(CallNumber, Box<CallAnswer>),
    /// Requests a `Pong`, and carries a summary of the sender's state.
    Ping(StateSummary),
    /// Answers a ping with a summary of the sender's state.
    Pong(StateSummary),
    /// Carries rules that the receiver lacks.
    Rules(Box<RuleSet>),
    /// Carries records of targets that the receiver may lack.
    Targets(Vec<TargetRecord>),
    /// Carries sightings: which routes were requested recently at nodes of which services.
    Sightings(Vec<Sighting>),
    /// Subscribes to changes, or renews the subscription.
    Subscribe(StateSummary),
    /// Heartbeat to a subscriber, with a summary of the sender's state and what it reads from the
    /// store.
    Beat(StateSummary, Reads),
    /// Requests the rules.
    Want,
    /// Requests the records of targets that differ from those of the digest.
    Compare(Digest),
    /// Answers `Compare` with the ranges in which the digests differ and the sender's records
    /// there.
    Differ(Ranges, Vec<TargetRecord>),
    /// As [`Message::Call`], for a call that must not run twice: its run outlives the link and can
    /// be claimed over another one.
    HeldCall(CallNumber, Box<Call>),
    /// Claims the answer of a held call whose link broke; answered like a call, once its run has
    /// ended.
    Claim(CallNumber, CallId),
    /// Reports requests that crashed targets, and those that have succeeded since.
    Crashes(CrashNews),
    /// Reports the rate limit that a lifetime of a target states: of the receiver's target as the
    /// first message on a link, since the receiver may have restarted, and of the sender's target
    /// ahead of a refusal.
    StatedLimit(TargetLifetime, Rate),
    /// Requests tokens of a workspace.
    Lease(LeaseNumber, LeaseRequest),
    /// Answers a request for tokens.
    Leased(LeaseNumber, LeaseAnswer),
}

/// Kind of a message, by which traffic is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MessageKind {
    Call,
    Answer,
    KeepAlive,
    Rules,
    Targets,
    Sightings,
    Crashes,
    Leases,
}

impl MessageKind {
    /// All kinds, in the order of their discriminants.
    pub(crate) const ALL: [Self; 8] = [
        Self::Call,
        Self::Answer,
        Self::KeepAlive,
        Self::Rules,
        Self::Targets,
        Self::Sightings,
        Self::Crashes,
        Self::Leases,
    ];

    /// Name of the kind in metrics and logs.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Answer => "answer",
            Self::KeepAlive => "sign",
            Self::Rules => "rules",
            Self::Targets => "targets",
            Self::Sightings => "sightings",
            Self::Crashes => "crashes",
            Self::Leases => "leases",
        }
    }
}

impl Message {
    /// Kind under which the bytes of the message are counted.
    pub(crate) fn kind(&self) -> MessageKind {
        match self {
            Self::Call(..) | Self::HeldCall(..) | Self::Cancel(_) | Self::Claim(..) => {
                MessageKind::Call
            }
            Self::Answer(..) => MessageKind::Answer,
            Self::Ping(_)
            | Self::Pong(_)
            | Self::Subscribe(_)
            | Self::Beat(..)
            | Self::StatedLimit(..) => MessageKind::KeepAlive,
            Self::Rules(_) | Self::Want => MessageKind::Rules,
            Self::Targets(_) | Self::Compare(_) | Self::Differ(..) => MessageKind::Targets,
            Self::Sightings(_) => MessageKind::Sightings,
            Self::Crashes(_) => MessageKind::Crashes,
            Self::Lease(..) | Self::Leased(..) => MessageKind::Leases,
        }
    }
}

/// Summary of the shared state that a node holds, by which two nodes detect differences.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StateSummary {
    /// Revision of its rules; zero if it has none.
    pub(crate) revision: Revision,
    /// Checksum over its records of targets.
    pub(crate) targets: u64,
}

/// Header field of a request or response: name and value.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Field(pub(crate) Bytes, pub(crate) Bytes);

/// Request as sent to the node beside its target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Call {
    /// Identifier that the caller assigned to the request.
    pub(crate) request: Bytes,
    /// Route that the request matched.
    pub(crate) route: Name,
    /// Service on whose machine the request originated.
    pub(crate) caller: Name,
    /// Instance that the entry node chose.
    pub(crate) instance: InstanceId,
    /// HTTP method.
    pub(crate) method: String,
    /// Path and query.
    pub(crate) path: String,
    /// End-to-end header fields.
    pub(crate) fields: Vec<Field>,
    /// Rank in admission; under overload calls of lower rank are refused first.
    pub(crate) rank: Rank,
    /// Requests that the call represents, by importance: more than one in total if its entry node
    /// admits only part of the requests.
    pub(crate) mix: ImportanceMix,
    /// Whether work was already done for the request that the call belongs to.
    pub(crate) begun: bool,
    /// Whether the call may have run before, or belongs to a request that may have.
    pub(crate) repeat: bool,
    /// Time left until the deadline.
    pub(crate) left: Duration,
    /// Whole body.
    #[serde(deserialize_with = "body_codec::deserialize")]
    pub(crate) body: Bytes,
}

impl Call {
    /// Hash that identifies the request when it is sent again under another identifier.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        fingerprint(&self.route, &self.caller, &self.method, &self.path, &self.body)
    }
}

/// Hash over the parts of a request that stay the same when the caller repeats it under another
/// identifier.
pub(crate) fn fingerprint(
    route: &Name,
    caller: &Name,
    method: &str,
    path: &str,
    body: &[u8],
) -> Fingerprint {
    let parts = [caller.as_str().as_bytes(), method.as_bytes(), path.as_bytes(), body];
    Fingerprint::of_parts(route, &parts)
}

/// Complete HTTP response of a target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct TargetResponse {
    /// HTTP status code.
    pub(crate) status: u16,
    /// End-to-end header fields.
    pub(crate) fields: Vec<Field>,
    /// Whole body.
    #[serde(deserialize_with = "body_codec::deserialize")]
    pub(crate) body: Bytes,
    /// Memory that the body occupies; none if it is small.
    #[serde(skip)]
    pub(crate) share: Option<Arc<AnswerShare>>,
}

impl TargetResponse {
    /// Whether the status is a server error (500 or above).
    pub(crate) fn is_failure(&self) -> bool {
        self.status >= 500
    }
}

/// Answer to a call from the node beside its target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CallAnswer {
    /// Outcome of the call.
    pub(crate) outcome: Outcome<TargetResponse>,
    /// Whether the target may have received any of the request.
    pub(crate) offered: bool,
    /// Admission level of the target: entry nodes should refuse requests of lower rank.
    pub(crate) level: Level,
    /// Admission levels of overloaded instances of other services.
    pub(crate) told: Vec<RelayedLevel>,
    /// Slot time of the run.
    pub(crate) ran: Duration,
    /// Slot time of the calls that the run made, by service.
    pub(crate) work: WorkSum,
    /// Number of calls that run or wait at the target, relative to its concurrency limit; higher
    /// for a target that fails what it gets.
    pub(crate) load: f32,
}

impl CallAnswer {
    /// Answer without work; the node adds levels and load before it sends the answer.
    pub(crate) fn new(outcome: Outcome<TargetResponse>, offered: bool) -> Self {
        Self {
            outcome,
            offered,
            level: Level::OPEN,
            told: Vec::new(),
            ran: Duration::ZERO,
            work: WorkSum::default(),
            load: 0.0,
        }
    }

    /// This answer without the target's response, which could not be passed on.
    pub(crate) fn without_response(&self) -> Self {
        let kind = ErrorKind::AnswerTooLarge;
        Self {
            outcome: Outcome::Unknown { kind },
            told: self.told.clone(),
            work: self.work.clone(),
            ..*self
        }
    }

    /// The answer as the entry uses it: a response with a status that is none counts as a bad answer.
    ///
    /// A node checks the status of its target, but one of an earlier version does not.
    pub(crate) fn checked(self) -> Self {
        match &self.outcome {
            Outcome::Done(response) if !is_final_status(response.status) => {
                Self { outcome: Outcome::Unknown { kind: ErrorKind::BadAnswer }, ..self }
            }
            _ => self,
        }
    }

    /// Refusal of a call of which the target has received nothing.
    pub(crate) fn refused(kind: ErrorKind, retry_after: Duration) -> Self {
        Self::new(Outcome::NotRun { kind, retry_after }, false)
    }
}

/// Error of encoding or decoding a frame; the link is closed after it.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FrameError {
    #[error("message of {0} bytes exceeds the limit of {FRAME_LIMIT_BYTES} bytes")]
    TooLong(usize),
    #[error("malformed message: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    #[error("message could not be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
}

/// Appends the frame of `message` to `out`, which stays unchanged on an error.
pub(crate) fn encode(message: &Message, out: &mut SplitWriter<'_>) -> Result<(), FrameError> {
    let start = out.written().len();
    out.written().put_u32(0);
    let result = rmp_serde::encode::write(out, message);
    let len = out.written().len() - start - LENGTH_BYTES + out.left_out();
    if let Err(error) = result {
        out.written().truncate(start);
        return Err(error.into());
    }
    if len > FRAME_LIMIT_BYTES {
        out.written().truncate(start);
        return Err(FrameError::TooLong(len));
    }
    out.written()[start..start + LENGTH_BYTES].copy_from_slice(&(len as u32).to_be_bytes());
    Ok(())
}

/// Length of the message at the beginning of the buffer; none if that is not known yet.
pub(crate) fn next_len(buffer: &BytesMut) -> Result<Option<usize>, FrameError> {
    let Some(length) = buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let len = u32::from_be_bytes(*length) as usize;
    if len > FRAME_LIMIT_BYTES {
        return Err(FrameError::TooLong(len));
    }
    Ok(Some(len))
}

/// Removes the first complete frame from the buffer and decodes it; none if more bytes are needed.
pub(crate) fn decode(buffer: &mut BytesMut) -> Result<Option<Message>, FrameError> {
    let Some(len) = next_len(buffer)? else { return Ok(None) };
    if buffer.len() < LENGTH_BYTES + len {
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let frame = buffer.split_to(len);
    Ok(Some(rmp_serde::from_slice(&frame)?))
}

/// Decodes a message without its length. Its body refers to `frame`, and holds `share` if the
/// message is an answer.
pub(crate) fn decode_shared(
    frame: &Bytes,
    share: Option<Arc<AnswerShare>>,
) -> Result<Message, FrameError> {
    let mut message = body_codec::decode_shared(frame)?;
    if let Message::Answer(_, answer) = &mut message
        && let Outcome::Done(response) = &mut answer.outcome
    {
        response.share = share;
    }
    Ok(message)
}
