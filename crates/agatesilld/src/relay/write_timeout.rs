//! TCP stream of a caller with a timeout on stalled writes.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep};

/// A stream whose writes fail if the peer reads nothing for a given time.
///
/// Otherwise a caller that stops reading would hold the buffers of its response, its upstream
/// connection and its slot indefinitely.
#[derive(Debug)]
pub struct WriteTimeoutStream {
    stream: TcpStream,
    stall_timeout: Duration,
    timer: Pin<Box<Sleep>>,
    is_stalled: bool,
}

impl WriteTimeoutStream {
    /// Wraps a stream so that writes without progress fail after `stall_timeout`.
    pub fn new(stream: TcpStream, stall_timeout: Duration) -> Self {
        let timer = Box::pin(sleep(stall_timeout));
        Self { stream, stall_timeout, timer, is_stalled: false }
    }

    /// Returns the underlying stream.
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
            self.timer.as_mut().reset(Instant::now() + self.stall_timeout);
        }
        ready!(self.timer.as_mut().poll(context));
        Poll::Ready(Err(io::Error::new(io::ErrorKind::TimedOut, "write to the caller timed out")))
    }
}

impl AsyncRead for WriteTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for WriteTimeoutStream {
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
