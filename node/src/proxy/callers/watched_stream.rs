//! A stream that reports when its other end takes no bytes.
//!
//! Vectored writes are passed on, as hyper otherwise copies each body into a buffer of its own,
//! which would not count as held for the caller.

use std::io::{IoSlice, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::proxy::memory::CallerConnection;

/// Stream to a caller that reports stalls and progress to its [`CallerConnection`].
pub(crate) struct WatchedStream<S> {
    stream: S,
    connection: Arc<CallerConnection>,
    stalled: bool,
}

impl<S> WatchedStream<S> {
    pub(crate) fn new(stream: S, connection: Arc<CallerConnection>) -> Self {
        Self { stream, connection, stalled: false }
    }

    fn observe(&mut self, written: &Poll<Result<usize>>) {
        let stalled = written.is_pending();
        if stalled != self.stalled {
            self.stalled = stalled;
            match stalled {
                true => self.connection.record_stall(),
                false => self.connection.record_progress(),
            }
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WatchedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WatchedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.observe(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.observe(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
