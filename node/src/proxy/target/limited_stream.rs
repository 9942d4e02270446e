//! A TCP stream whose reads fail once they exceed a budget set by its owner.
//!
//! hyper discards interim (1xx) responses without limit, so a target that sends them endlessly
//! would keep the process busy without reaching any other limit.

use std::io::{Error, Result};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Number of bytes that may still be read, shared between a stream and its owner.
#[derive(Debug, Clone, Default)]
pub(crate) struct ReadBudget(Arc<Budget>);

#[derive(Debug, Default)]
struct Budget {
    left: AtomicUsize,
    exceeded: AtomicBool,
}

impl ReadBudget {
    /// Sets the number of bytes that may be read from now on.
    pub(crate) fn set(&self, bytes: usize) {
        self.0.left.store(bytes, Ordering::Relaxed);
    }

    /// Whether a read has failed because it exceeded the budget.
    pub(crate) fn is_exceeded(&self) -> bool {
        self.0.exceeded.load(Ordering::Relaxed)
    }

    fn spend(&self, bytes: usize) -> Result<()> {
        let left = self.0.left.load(Ordering::Relaxed);
        self.0.left.store(left.saturating_sub(bytes), Ordering::Relaxed);
        if bytes > left {
            self.0.exceeded.store(true, Ordering::Relaxed);
            Err(Error::other(format!("read of {bytes} bytes exceeds the remaining {left} bytes")))
        } else {
            Ok(())
        }
    }
}

/// TCP stream whose reads fail once they exceed a [`ReadBudget`].
#[derive(Debug)]
pub(crate) struct LimitedStream {
    socket: TcpStream,
    budget: ReadBudget,
}

impl LimitedStream {
    pub(crate) fn new(socket: TcpStream, budget: ReadBudget) -> Self {
        Self { socket, budget }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.socket).poll_read(cx, buf);
        match polled {
            Poll::Ready(Ok(())) => Poll::Ready(self.budget.spend(buf.filled().len() - before)),
            other => other,
        }
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.socket).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[std::io::IoSlice<'_>],
    ) -> Poll<Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}
