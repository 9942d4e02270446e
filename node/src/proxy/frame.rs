//! Messages on a link between two nodes, and their frames.
//!
//! A frame is a length of four bytes, big-endian, and a message in MessagePack. See
//! [platform](../../../docs/design/platform.md).

use std::time::Duration;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use poplar_core::{
    CallId, CrashNews, Digest, ErrorKind, Fingerprint, ImportanceMix, InstanceId, Level, Name,
    Outcome, Ranges, Rank, Reads, RelayedLevel, Revision, RuleSet, Sighting, TargetRecord, WorkSum,
};
use serde::{Deserialize, Serialize};

/// Largest frame, in bytes: the largest body that rules allow so far, with room for its head.
const FRAME_LIMIT_BYTES: usize = 72 << 20;
/// Bytes of the length before each message.
const LENGTH_BYTES: usize = 4;

/// Number of one call on one link, chosen by the end that sends it.
pub(crate) type CallNumber = u32;

/// Message between two nodes.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) enum Message {
    /// Run a request at the target beside the receiver.
    Call(CallNumber, Box<Call>),
    /// The caller is gone; stop the run.
    Cancel(CallNumber),
    /// What became of a call.
    Answer(CallNumber, Box<CallAnswer>),
    /// Asks for a sign of life and tells which rules the sender has.
    Ping(StateSummary),
    /// Answers a ping.
    Pong(StateSummary),
    /// Rules that the receiver lacks.
    Rules(Box<RuleSet>),
    /// Records of targets that the receiver may lack.
    Targets(Vec<TargetRecord>),
    /// Routes that are asked for, and where.
    Sightings(Vec<Sighting>),
    /// Asks to be told of changes, or to go on being told.
    Subscribe(StateSummary),
    /// Sign of life to a subscriber, and what the sender reads from the store.
    Beat(StateSummary, Reads),
    /// Asks for the rules.
    Want,
    /// Asks for the targets that differ from those of the digest.
    Compare(Digest),
    /// Ranges in which the sender's targets differ, and its records there.
    Differ(Ranges, Vec<TargetRecord>),
    /// As [`Message::Call`], for a call that must not run twice: its run outlives the link.
    HeldCall(CallNumber, Box<Call>),
    /// Asks what became of a held call whose link broke; answered as a call is, once it has ended.
    Claim(CallNumber, CallId),
    /// Requests that ended targets, and those that have ended well since.
    Crashes(CrashNews),
}

/// Kind of a message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum MessageKind {
    Call,
    Answer,
    KeepAlive,
    Rules,
    Targets,
    Sightings,
    Crashes,
}

impl MessageKind {
    /// All kinds, in the order of their numbers.
    pub(crate) const ALL: [Self; 7] = [
        Self::Call,
        Self::Answer,
        Self::KeepAlive,
        Self::Rules,
        Self::Targets,
        Self::Sightings,
        Self::Crashes,
    ];

    /// Name in metrics and logs.
    pub(crate) fn label(self) -> &'static str {
        match self {
            Self::Call => "call",
            Self::Answer => "answer",
            Self::KeepAlive => "sign",
            Self::Rules => "rules",
            Self::Targets => "targets",
            Self::Sightings => "sightings",
            Self::Crashes => "crashes",
        }
    }
}

impl Message {
    /// Kind of the message, by which its bytes are counted.
    pub(crate) fn kind(&self) -> MessageKind {
        match self {
            Self::Call(..) | Self::HeldCall(..) | Self::Cancel(_) | Self::Claim(..) => {
                MessageKind::Call
            }
            Self::Answer(..) => MessageKind::Answer,
            Self::Ping(_) | Self::Pong(_) | Self::Subscribe(_) | Self::Beat(..) => {
                MessageKind::KeepAlive
            }
            Self::Rules(_) | Self::Want => MessageKind::Rules,
            Self::Targets(_) | Self::Compare(_) | Self::Differ(..) => MessageKind::Targets,
            Self::Sightings(_) => MessageKind::Sightings,
            Self::Crashes(_) => MessageKind::Crashes,
        }
    }
}

/// What a node has of the shared state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct StateSummary {
    /// Revision of its rules.
    pub(crate) revision: Revision,
    /// Checksum over its records of targets.
    pub(crate) targets: u64,
}

/// Header field in transit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct Field(pub(crate) Bytes, pub(crate) Bytes);

/// Request on its way to the node beside its target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Call {
    /// Identifier that the caller gave.
    pub(crate) request: Bytes,
    /// Route that it matched.
    pub(crate) route: Name,
    /// Service on whose machine it began.
    pub(crate) caller: Name,
    /// Instance that the sender chose.
    pub(crate) instance: InstanceId,
    /// Method.
    pub(crate) method: String,
    /// Path and query.
    pub(crate) path: String,
    /// Header fields that travel from end to end.
    pub(crate) fields: Vec<Field>,
    /// Place in the order of survival.
    pub(crate) rank: Rank,
    /// Requests that it stands for.
    pub(crate) mix: ImportanceMix,
    /// Whether work was already done for the request that it belongs to.
    pub(crate) begun: bool,
    /// Whether it may have run before, or belongs to a request that may have.
    pub(crate) repeat: bool,
    /// Time left until the answer is of no use.
    pub(crate) left: Duration,
    /// Body.
    pub(crate) body: Bytes,
}

impl Call {
    /// Hash by which the request is known again under another identifier.
    pub(crate) fn fingerprint(&self) -> Fingerprint {
        fingerprint(&self.route, &self.caller, &self.method, &self.path, &self.body)
    }
}

/// Hash over what a caller sends again when it repeats a request under another identifier.
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

/// Whole answer of a target.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub(crate) struct TargetResponse {
    /// Status code.
    pub(crate) status: u16,
    /// Header fields that travel from end to end.
    pub(crate) fields: Vec<Field>,
    /// Body.
    pub(crate) body: Bytes,
}

impl TargetResponse {
    /// Whether the target failed the request.
    pub(crate) fn is_failure(&self) -> bool {
        self.status >= 500
    }
}

/// What became of a call at the node beside the target.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct CallAnswer {
    /// Outcome.
    pub(crate) outcome: Outcome<TargetResponse>,
    /// Whether any of the request was handed to the target.
    pub(crate) offered: bool,
    /// Level of the target.
    pub(crate) level: Level,
    /// Levels of instances of other services that are short of room.
    pub(crate) told: Vec<RelayedLevel>,
    /// Slot time of the run.
    pub(crate) ran: Duration,
    /// Work of the calls of the run, by service.
    pub(crate) work: WorkSum,
    /// Calls that run or wait at the target, in parts of its limit.
    pub(crate) load: f32,
}

impl CallAnswer {
    /// Answer without work, to which the node adds what it tells of itself and of others.
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

    /// Refusal of a call that the target has not seen.
    pub(crate) fn refused(kind: ErrorKind, retry_after: Duration) -> Self {
        Self::new(Outcome::NotRun { kind, retry_after }, false)
    }
}

/// Why the bytes of a link make no sense.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FrameError {
    #[error("a frame of {0} bytes is too long")]
    TooLong(usize),
    #[error("unreadable message: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    #[error("unwritable message: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
}

/// Appends the frame of `message`.
pub(crate) fn encode(message: &Message, out: &mut BytesMut) -> Result<(), FrameError> {
    let start = out.len();
    out.put_u32(0);
    let written = rmp_serde::encode::write(&mut (&mut *out).writer(), message);
    let len = out.len() - start - LENGTH_BYTES;
    if let Err(error) = written {
        out.truncate(start);
        return Err(error.into());
    }
    if len > FRAME_LIMIT_BYTES {
        out.truncate(start);
        return Err(FrameError::TooLong(len));
    }
    out[start..start + LENGTH_BYTES].copy_from_slice(&(len as u32).to_be_bytes());
    Ok(())
}

/// Takes the first whole message off the buffer; none if more bytes are needed.
pub(crate) fn decode(buffer: &mut BytesMut) -> Result<Option<Message>, FrameError> {
    let Some(length) = buffer.first_chunk::<LENGTH_BYTES>() else { return Ok(None) };
    let len = u32::from_be_bytes(*length) as usize;
    if len > FRAME_LIMIT_BYTES {
        return Err(FrameError::TooLong(len));
    }
    if buffer.len() < LENGTH_BYTES + len {
        buffer.reserve(LENGTH_BYTES + len - buffer.len());
        return Ok(None);
    }
    buffer.advance(LENGTH_BYTES);
    let frame = buffer.split_to(len);
    Ok(Some(rmp_serde::from_slice(&frame)?))
}
