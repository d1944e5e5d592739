//! A caller's stream with a bound on how long a write may stall.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

/// A stream whose writes fail when the reader takes nothing for a while.
///
/// Guards against slow readers: a caller that stops reading would otherwise hold its answer's
/// buffers, its upstream connection and its slot for as long as it likes.
#[derive(Debug)]
pub struct GuardedIo {
    stream: TcpStream,
    stall_limit: Duration,
    timer: Pin<Box<Sleep>>,
    is_stalled: bool,
}

impl GuardedIo {
    /// Fails writes that make no progress for `stall_limit`.
    pub fn new(stream: TcpStream, stall_limit: Duration) -> Self {
        let timer = Box::pin(sleep(stall_limit));
        Self { stream, stall_limit, timer, is_stalled: false }
    }

    /// The stream itself.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    fn watch<T>(
        &mut self,
        written: Poll<io::Result<T>>,
        context: &mut Context<'_>,
    ) -> Poll<io::Result<T>> {
        if written.is_ready() {
            self.is_stalled = false;
            return written;
        }
        if !self.is_stalled {
            self.is_stalled = true;
            self.timer.as_mut().reset(Instant::now() + self.stall_limit);
        }
        ready!(self.timer.as_mut().poll(context));
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "the caller reads too slowly")))
    }
}

impl AsyncRead for GuardedIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for GuardedIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.watch(written, context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.watch(written, context)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
