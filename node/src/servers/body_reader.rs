//! Reads the bodies of calls and answers within a memory limit that many connections share.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Part of each body that needs no shared memory, in bytes, so that small calls are received
/// however many large ones are stalled half-way.
const UNSHARED_BYTES: usize = 16 << 10;

/// Reader of bodies; those in flight hold at most the shared memory and 16 KiB each.
#[derive(Debug, Clone)]
pub(crate) struct BodyReader {
    /// Bytes of shared memory that are free, one permit each.
    memory: Arc<Semaphore>,
}

/// Complete body, which holds its part of the shared memory until it is dropped.
#[derive(Debug)]
pub(crate) struct ReceivedBody {
    pub(crate) body: Bytes,
    permit: Option<OwnedSemaphorePermit>,
}

impl ReceivedBody {
    /// The body and its part of the shared memory.
    pub(crate) fn into_parts(self) -> (Bytes, Option<OwnedSemaphorePermit>) {
        (self.body, self.permit)
    }

    /// The body, which holds its part of the shared memory until its last copy is dropped, such as
    /// when it was written to another node.
    pub(crate) fn into_shared(self) -> Bytes {
        if self.permit.is_none() { self.body } else { Bytes::from_owner(self) }
    }
}

impl AsRef<[u8]> for ReceivedBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

/// Why a body was not received; a call whose own body was not received is not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyError {
    /// The body is larger than this limit, in bytes.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The body was not received in time.
    #[error("the body did not come in")]
    Timeout,
    /// The body ended with an error before it was complete.
    #[error("the body is not whole")]
    Incomplete,
    /// Other bodies hold too much of the shared memory.
    #[error("too many large bodies are coming in")]
    NoMemory,
}

impl BodyReader {
    /// Creates a reader whose bodies share `memory` bytes beyond the unshared part of each.
    pub(crate) fn new(memory: usize) -> Self {
        Self { memory: Arc::new(Semaphore::new(memory.min(Semaphore::MAX_PERMITS))) }
    }

    /// Reads a complete body of at most `limit` bytes within `wait`.
    pub(crate) async fn read<B>(
        &self,
        body: B,
        limit: usize,
        wait: Duration,
    ) -> Result<ReceivedBody, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        if body.size_hint().lower() > limit as u64 {
            return Err(BodyError::TooLarge(limit));
        }
        let collected = tokio::time::timeout(wait, self.collect(body, limit)).await;
        collected.unwrap_or(Err(BodyError::Timeout))
    }

    async fn collect<B>(&self, mut body: B, limit: usize) -> Result<ReceivedBody, BodyError>
    where
        B: Body<Data = Bytes> + Unpin,
    {
        let mut segments = Segments::default();
        let mut permit: Option<OwnedSemaphorePermit> = None;
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Incomplete)?;
            let Ok(data) = frame.into_data() else { continue };
            if segments.len + data.len() > limit {
                return Err(BodyError::TooLarge(limit));
            }
            // One permit for the whole body, because a body may consist of millions of frames.
            if let Some(more) = self.reserve(segments.len, data.len())? {
                match &mut permit {
                    Some(held) => held.merge(more),
                    None => permit = Some(more),
                }
            }
            segments.push(&data);
        }
        Ok(ReceivedBody { body: segments.join(), permit })
    }

    /// Reserves shared memory for `more` bytes after the first `held`, except for what falls in the
    /// unshared part.
    fn reserve(&self, held: usize, more: usize) -> Result<Option<OwnedSemaphorePermit>, BodyError> {
        let needed = (held + more).saturating_sub(UNSHARED_BYTES.max(held));
        if needed == 0 {
            return Ok(None);
        }
        let count = u32::try_from(needed).map_err(|_| BodyError::NoMemory)?;
        let permit = self.memory.clone().try_acquire_many_owned(count);
        permit.map(Some).map_err(|_| BodyError::NoMemory)
    }
}

/// Body that grows in segments of one size.
///
/// A single buffer would double whenever it is full, and so occupy up to twice the memory reserved
/// for it, in addition to the buffers that it leaves behind.
#[derive(Debug, Default)]
struct Segments {
    full: Vec<Bytes>,
    last: BytesMut,
    len: usize,
}

impl Segments {
    fn push(&mut self, mut data: &[u8]) {
        self.len += data.len();
        while !data.is_empty() {
            if self.last.capacity() == self.last.len() {
                let full =
                    std::mem::replace(&mut self.last, BytesMut::with_capacity(UNSHARED_BYTES));
                self.full.extend((!full.is_empty()).then(|| full.freeze()));
            }
            let fits = data.len().min(self.last.capacity() - self.last.len());
            self.last.extend_from_slice(&data[..fits]);
            data = &data[fits..];
        }
    }

    fn join(self) -> Bytes {
        if self.full.is_empty() {
            return self.last.freeze();
        }
        let mut whole = BytesMut::with_capacity(self.len);
        self.full.iter().for_each(|segment| whole.extend_from_slice(segment));
        whole.extend_from_slice(&self.last);
        whole.freeze()
    }
}
