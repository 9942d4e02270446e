//! Encoded frames that a link has not written yet.
//!
//! Large bodies are queued as they are rather than copied into the frame, so that a body occupies
//! its memory once, and returns its share of it as soon as the link has written it.

use std::collections::VecDeque;

use bytes::{Bytes, BytesMut};
use poplar_core::Outcome;

use crate::proxy::body_codec::SplitWriter;
use crate::proxy::frame::{self, FrameError, Message};

/// Size from which on bodies are queued without a copy, and need room in the queue.
const LARGE_BODY_BYTES: usize = 16 << 10;
/// Bytes of messages without large bodies that may be queued beyond the limit. Messages that keep
/// the link alive are among them.
const SMALL_MESSAGES_BYTES: usize = 2 << 20;

/// Reason for which a message was not queued.
#[derive(Debug, thiserror::Error)]
pub(crate) enum NotQueued {
    /// Its body does not fit at present, or never does; other messages can still be queued.
    #[error("no room for the body")]
    NoRoom,
    /// The other end does not read at all, or the message cannot be encoded.
    #[error("the link cannot be used any more")]
    Unusable,
}

/// Queue of encoded frames, in segments.
#[derive(Debug)]
pub(crate) struct Backlog {
    /// Bytes up to which bodies are queued. A body always fits if nothing else is queued.
    limit: usize,
    segments: VecDeque<Bytes>,
    /// Bytes after the last segment.
    tail: BytesMut,
    /// Bytes in the segments and the tail.
    queued: usize,
    /// Bytes of the segment that is being written.
    writing: usize,
}

impl Backlog {
    /// Creates an empty queue for `limit` bytes.
    pub(crate) fn new(limit: usize) -> Self {
        let (segments, tail) = (VecDeque::new(), BytesMut::new());
        Self { limit, segments, tail, queued: 0, writing: 0 }
    }

    /// Appends the frame of `message`; returns its size.
    pub(crate) fn push(&mut self, message: &Message) -> Result<usize, NotQueued> {
        let unwritten = self.queued + self.writing;
        let body = large_body(message);
        if let Some(body) = &body
            && unwritten > 0
            && unwritten + body.len() > self.limit
        {
            return Err(NotQueued::NoRoom);
        }
        let start = self.tail.len();
        let mut writer = SplitWriter::new(&mut self.tail, body.as_ref());
        match frame::encode(message, &mut writer) {
            Ok(()) => {}
            Err(FrameError::TooLong(_)) if body.is_some() => return Err(NotQueued::NoRoom),
            Err(_) => return Err(NotQueued::Unusable),
        }
        let (split_at, left_out) = (writer.split_at(), writer.left_out());
        let size = self.tail.len() - start + left_out;
        if body.is_none() && unwritten > 0 && unwritten + size > self.limit + SMALL_MESSAGES_BYTES {
            self.tail.truncate(start);
            return Err(NotQueued::Unusable);
        }
        if let (Some(split_at), Some(body)) = (split_at, body) {
            let rest = self.tail.split_off(split_at);
            let before = std::mem::replace(&mut self.tail, rest);
            self.segments.extend([before.freeze(), body]);
        }
        self.queued += size;
        Ok(size)
    }

    /// Removes the next bytes to write; [`Backlog::record_written`] must be called after it.
    pub(crate) fn pop(&mut self) -> Option<Bytes> {
        let tail = || (!self.tail.is_empty()).then(|| self.tail.split().freeze());
        let segment = self.segments.pop_front().or_else(tail)?;
        self.queued -= segment.len();
        self.writing = segment.len();
        Some(segment)
    }

    /// Records that the bytes of [`Backlog::pop`] were written.
    pub(crate) fn record_written(&mut self) {
        self.writing = 0;
    }

    /// Removes all queued bytes; returns their number.
    pub(crate) fn clear(&mut self) -> usize {
        self.segments.clear();
        self.tail.clear();
        std::mem::take(&mut self.queued)
    }
}

/// Body of a message, with the share that it occupies, if it is large.
fn large_body(message: &Message) -> Option<Bytes> {
    let (body, share) = match message {
        Message::Answer(_, answer) => match &answer.outcome {
            Outcome::Done(response) => (&response.body, response.share.clone()),
            Outcome::NotRun { .. } | Outcome::Unknown { .. } => return None,
        },
        Message::Call(_, call) | Message::HeldCall(_, call) => (&call.body, None),
        _ => return None,
    };
    if body.len() < LARGE_BODY_BYTES {
        return None;
    }
    Some(share.map_or_else(|| body.clone(), |share| share.attach(body.clone())))
}
