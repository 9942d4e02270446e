//! Reads the bodies of calls within a bound of memory that all connections share.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Part of a body that is read without a share of the room, in bytes, so that small calls come
/// in however many large ones are held up half-way.
const UNSHARED_BYTES: usize = 16 << 10;

/// Reader of bodies; those of calls in flight take at most the room and 16 KiB each.
#[derive(Debug, Clone)]
pub(crate) struct BodyReader {
    memory: Arc<Semaphore>,
}

/// Body that came in whole, with its share of the room until the call has ended.
#[derive(Debug)]
pub(crate) struct ReceivedBody {
    pub(crate) body: Bytes,
    _permits: Vec<OwnedSemaphorePermit>,
}

/// Why a body was not taken in; the call was not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub(crate) enum BodyError {
    /// The body is larger than a call's may be.
    #[error("the body is larger than {0} bytes")]
    TooLarge(usize),
    /// The body did not come in in time.
    #[error("the body did not come in")]
    Timeout,
    /// The body ended early.
    #[error("the body is not whole")]
    Incomplete,
    /// Other bodies take all the room.
    #[error("too many large bodies are coming in")]
    NoMemory,
}

impl BodyReader {
    /// Reader whose bodies share `room` bytes beyond their free parts.
    pub(crate) fn new(memory: usize) -> Self {
        Self { memory: Arc::new(Semaphore::new(memory.min(Semaphore::MAX_PERMITS))) }
    }

    /// Reads a whole body of at most `limit` bytes within `wait`.
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
        let mut whole = Segments::default();
        let mut permits = Vec::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| BodyError::Incomplete)?;
            let Ok(data) = frame.into_data() else { continue };
            if whole.len + data.len() > limit {
                return Err(BodyError::TooLarge(limit));
            }
            permits.extend(self.reserve(whole.len, data.len())?);
            whole.push(&data);
        }
        Ok(ReceivedBody { body: whole.join(), _permits: permits })
    }

    /// Share of the room for `more` bytes after the first `held`; the free part needs none.
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
/// A single buffer would double whenever it is full, and so take up to twice what the room counts,
/// besides the buffers that it leaves behind.
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
