//! A TCP stream that reads a limited number of bytes.
//!
//! A faulty endpoint may send bytes that are no answer without end: interim answers, digits of a
//! chunk's size, or bytes after an answer. The HTTP library discards many of them without a limit.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The number of bytes that a stream may still read, which the stream and its user share.
#[derive(Debug, Clone, Default)]
pub struct ReadAllowance(Arc<AtomicUsize>);

impl ReadAllowance {
    /// Sets the number of bytes that may be read from now on.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    fn left(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    fn spend(&self, bytes: usize) {
        self.set(self.left().saturating_sub(bytes));
    }
}

/// Whether bytes wait to be written because the peer does not read, which the stream and its user share.
///
/// The HTTP library considers a call written once it is in the library's own buffer.
#[derive(Debug, Clone, Default)]
pub struct WriteBacklog(Arc<AtomicBool>);

impl WriteBacklog {
    /// Returns whether bytes wait to be written.
    pub fn is_waiting(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }

    fn record(&self, written: &Poll<io::Result<usize>>) {
        self.0.store(written.is_pending(), Ordering::Relaxed);
    }
}

/// A TCP stream whose reads fail once its allowance is spent.
#[derive(Debug)]
pub struct LimitedStream {
    stream: TcpStream,
    allowance: ReadAllowance,
    backlog: WriteBacklog,
}

impl LimitedStream {
    /// Wraps a stream.
    pub const fn new(stream: TcpStream, allowance: ReadAllowance, backlog: WriteBacklog) -> Self {
        Self {
            stream,
            allowance,
            backlog,
        }
    }
}

impl AsyncRead for LimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.allowance.left() == 0 {
            let reason = "the peer sent more bytes than an answer may have";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.allowance.spend(buffer.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for LimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.backlog.record(&written);
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, buffers);
        self.backlog.record(&written);
        written
    }
}
