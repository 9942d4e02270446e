//! Encoding and decoding of the bodies in messages without a copy.

use std::cell::RefCell;
use std::fmt::Formatter;
use std::io::Write;

use bytes::{BufMut, Bytes, BytesMut};
use serde::de::{Deserialize, Deserializer, Error, Visitor};

thread_local! {
    /// Frame that is being decoded, to which its bodies refer.
    static FRAME: RefCell<Option<Bytes>> = const { RefCell::new(None) };
}

/// Decodes a message whose bodies refer to `frame`, which they keep in memory.
pub(crate) fn decode_shared<T>(frame: &Bytes) -> Result<T, rmp_serde::decode::Error>
where
    T: for<'de> Deserialize<'de>,
{
    FRAME.set(Some(frame.clone()));
    let decoded = rmp_serde::from_slice(frame);
    FRAME.take();
    decoded
}

/// Deserializes a body: a part of the frame within [`decode_shared`], and otherwise a copy.
pub(crate) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Bytes, D::Error> {
    deserializer.deserialize_byte_buf(BodyVisitor)
}

struct BodyVisitor;

impl<'de> Visitor<'de> for BodyVisitor {
    type Value = Bytes;

    fn expecting(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        f.write_str("bytes")
    }

    fn visit_borrowed_bytes<E: Error>(self, bytes: &'de [u8]) -> Result<Bytes, E> {
        let part = FRAME.with_borrow(|frame| {
            let frame = frame.as_ref()?;
            let (outer, inner) = (frame.as_ptr_range(), bytes.as_ptr_range());
            (outer.start <= inner.start && inner.end <= outer.end).then(|| frame.slice_ref(bytes))
        });
        part.map_or_else(|| self.visit_bytes(bytes), Ok)
    }

    fn visit_bytes<E: Error>(self, bytes: &[u8]) -> Result<Bytes, E> {
        Ok(Bytes::copy_from_slice(bytes))
    }

    fn visit_byte_buf<E: Error>(self, bytes: Vec<u8>) -> Result<Bytes, E> {
        Ok(bytes.into())
    }
}

/// Writer of an encoded message that leaves one body out and records where it belongs.
#[derive(Debug)]
pub(crate) struct SplitWriter<'a> {
    out: &'a mut BytesMut,
    body: Option<&'a Bytes>,
    split_at: Option<usize>,
}

impl<'a> SplitWriter<'a> {
    /// Appends to `out` what is written, except for `body`.
    pub(crate) fn new(out: &'a mut BytesMut, body: Option<&'a Bytes>) -> Self {
        Self { out, body, split_at: None }
    }

    /// What was written so far.
    pub(crate) fn written(&mut self) -> &mut BytesMut {
        self.out
    }

    /// Position in the output at which the body was left out.
    pub(crate) fn split_at(&self) -> Option<usize> {
        self.split_at
    }

    /// Number of bytes that were left out.
    pub(crate) fn left_out(&self) -> usize {
        self.split_at.and(self.body).map_or(0, Bytes::len)
    }
}

impl Write for SplitWriter<'_> {
    fn write(&mut self, bytes: &[u8]) -> std::io::Result<usize> {
        // The encoder passes a body as the slice that it is.
        let is_body = |body: &&Bytes| body.as_ptr() == bytes.as_ptr() && body.len() == bytes.len();
        match self.body.filter(is_body) {
            Some(_) => self.split_at = Some(self.out.len()),
            None => self.out.put_slice(bytes),
        }
        Ok(bytes.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}
