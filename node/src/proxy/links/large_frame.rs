//! Large frames on the receiving side of a link.
//!
//! A large frame is read into a buffer of its own, to which its body then refers, so that the body
//! is not copied. Room for it is taken before it is read; a frame without room is discarded, and
//! only the call that it answers fails.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::{Buf, BufMut, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::tcp::OwnedReadHalf;

use crate::proxy::frame::{self, CallNumber, FrameError, LENGTH_BYTES, Message};
use crate::proxy::memory::AnswerShare;

/// Size from which on a frame is read into a buffer of its own.
const LARGE_FRAME_BYTES: usize = 16 << 10;
/// Bytes at the beginning of a frame that tell which call it answers.
const PRELUDE_BYTES: usize = 16;
/// Beginning of the encoding of an answer, up to the number of its call.
const ANSWER_PRELUDE: &[u8] = b"\x81\xa6Answer\x92";
/// Size of the reads past a frame that is discarded.
const DISCARD_BYTES: usize = 16 << 10;

/// What to do with a large frame.
pub(crate) enum Intake {
    /// Reads it. If it is an answer, its body holds the share.
    Read(Option<Arc<AnswerShare>>),
    /// Reads past it.
    Discard,
}

/// Decides on large frames before they are read.
pub(crate) trait LargeFrames {
    /// Decides on a frame of `len` bytes, which answers the call `answered` if it is an answer.
    fn admit(&mut self, answered: Option<CallNumber>, len: usize) -> Intake;

    /// Records that part of a frame has arrived.
    fn record_progress(&mut self);
}

/// Large frame whose beginning has been read.
pub(crate) struct LargeFrame {
    len: usize,
}

/// Large frame that was read to its end.
pub(crate) struct FrameRead {
    /// The message; none if it was discarded.
    pub(crate) message: Option<Message>,
    /// Longest time between two reads.
    pub(crate) longest_pause: Duration,
}

impl LargeFrame {
    /// The frame at the beginning of `buffer`, if it is large and enough of it has been read.
    pub(crate) fn begin(buffer: &BytesMut) -> Result<Option<Self>, FrameError> {
        let begun = buffer.len() >= LENGTH_BYTES + PRELUDE_BYTES;
        let len = frame::next_len(buffer)?.filter(|len| begun && *len >= LARGE_FRAME_BYTES);
        Ok(len.map(|len| Self { len }))
    }

    /// Reads the rest of the frame, whose beginning is removed from `buffer`; none if the
    /// connection ends first.
    pub(crate) async fn read(
        self,
        socket: &mut OwnedReadHalf,
        buffer: &mut BytesMut,
        intake: &mut impl LargeFrames,
    ) -> Result<Option<FrameRead>, FrameError> {
        let Self { len } = self;
        buffer.advance(LENGTH_BYTES);
        let admitted = intake.admit(answered_call(buffer), len);
        let begun = buffer.split_to(buffer.len().min(len));
        let mut pauses = Pauses::begin();
        let share = match admitted {
            Intake::Read(share) => share,
            Intake::Discard => {
                let (mut left, mut chunk) = (len - begun.len(), BytesMut::new());
                while left > 0 {
                    chunk.clear();
                    chunk.reserve(DISCARD_BYTES);
                    let read = socket.read_buf(&mut (&mut chunk).limit(left)).await;
                    let Ok(read @ 1..) = read else { return Ok(None) };
                    left -= read;
                    pauses.record_read();
                    intake.record_progress();
                }
                return Ok(Some(FrameRead { message: None, longest_pause: pauses.longest }));
            }
        };
        let mut whole = BytesMut::with_capacity(len);
        whole.put_slice(&begun);
        drop(begun);
        while whole.len() < len {
            let left = len - whole.len();
            let read = socket.read_buf(&mut (&mut whole).limit(left)).await;
            let Ok(1..) = read else { return Ok(None) };
            pauses.record_read();
            intake.record_progress();
        }
        let message = Some(frame::decode_shared(&whole.freeze(), share)?);
        Ok(Some(FrameRead { message, longest_pause: pauses.longest }))
    }
}

/// Times between the reads of a frame.
struct Pauses {
    last: Instant,
    longest: Duration,
}

impl Pauses {
    fn begin() -> Self {
        Self { last: Instant::now(), longest: Duration::ZERO }
    }

    fn record_read(&mut self) {
        let now = Instant::now();
        self.longest = self.longest.max(now - self.last);
        self.last = now;
    }
}

/// Call that the message with this beginning answers; none if it is no answer.
fn answered_call(prelude: &[u8]) -> Option<CallNumber> {
    rmp_serde::from_slice(prelude.strip_prefix(ANSWER_PRELUDE)?).ok()
}
