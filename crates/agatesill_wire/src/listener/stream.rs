//! TCP stream of an admitted connection, which reports what is received and whether answers are read.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::edge::ConnectionHandle;

/// The stream of one connection.
#[derive(Debug)]
pub struct EdgeStream {
    stream: TcpStream,
    connection: ConnectionHandle,
    is_stalled: bool,
}

impl EdgeStream {
    /// Wraps the stream of an admitted connection.
    pub fn new(stream: TcpStream, connection: ConnectionHandle) -> Self {
        Self { stream, connection, is_stalled: false }
    }

    /// Returns the underlying stream.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    fn watch<T>(&mut self, written: Poll<io::Result<T>>) -> Poll<io::Result<T>> {
        if self.is_stalled != written.is_pending() {
            self.is_stalled = written.is_pending();
            self.connection.set_stalled(self.is_stalled);
        }
        written
    }
}

impl AsyncRead for EdgeStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_bytes = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let received_bytes = buffer.filled().len() - filled_bytes;
        if received_bytes > 0 && !self.connection.received(received_bytes as u64) {
            return Poll::Ready(Err(io::Error::other("no room for what the client sends")));
        }
        read
    }
}

impl AsyncWrite for EdgeStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.watch(written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.watch(written)
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
