//! Request and response bodies: small ones are buffered, larger ones are streamed in bounded
//! chunks.

use std::future::Future;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use agatesill_wire::prelude::*;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use tokio::sync::mpsc;
use tokio::time::{Instant, Sleep};

/// Error of a body that cannot be completed.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Maximum number of response chunks queued for a slow caller; hyper's chunks are at most about
/// 64 KB.
pub const MAX_QUEUED_CHUNKS: usize = 4;

/// Limits on the body of a request.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Maximum size of a body.
    pub max_bytes: u64,
    /// Bodies up to this size are buffered completely, so that the request can be retried.
    pub buffer_bytes: usize,
    /// Timeout for receiving a body that is buffered.
    pub read_timeout: Duration,
}

/// The body of a request as received from the caller.
#[derive(Debug)]
pub enum RequestBody {
    /// The complete body.
    Buffered(Bytes),
    /// A body that is forwarded as it arrives and thus can be sent only once.
    Streamed(StreamedBody),
}

/// A request body that is forwarded as it arrives: the bytes received so far and the rest.
#[derive(Debug)]
pub struct StreamedBody {
    buffered: Bytes,
    rest: Incoming,
    remaining_bytes: u64,
    deadline_timer: Pin<Box<Sleep>>,
}

/// A request body sent to an upstream.
#[derive(Debug)]
pub enum UpstreamBody {
    /// Buffered; empty once sent.
    Buffered(Bytes),
    /// Forwarded as it arrives.
    Streamed(StreamedBody),
}

impl RequestBody {
    /// Reads a body until it is complete or known to be too large to buffer.
    pub async fn read(
        mut body: Incoming,
        limits: BodyLimits,
        deadline: Instant,
    ) -> Result<Self, Error> {
        let size_hint = body.size_hint();
        if size_hint.lower() > limits.max_bytes {
            return Err(too_large(limits.max_bytes));
        }
        if body.is_end_stream() {
            return Ok(Self::Buffered(Bytes::new()));
        }
        let mut buffered = BytesMut::new();
        if size_hint.lower() <= limits.buffer_bytes as u64 {
            let read = read_up_to(&mut body, &mut buffered, limits.buffer_bytes);
            let is_complete =
                tokio::time::timeout(limits.read_timeout, read).await.map_err(|_| {
                    let message = format!(
                        "request body incomplete after {} ms",
                        limits.read_timeout.as_millis()
                    );
                    Error::new(ErrorKind::CallerTimeout, message)
                })??;
            if is_complete {
                return Ok(Self::Buffered(buffered.freeze()));
            }
        }
        let remaining_bytes = limits.max_bytes.saturating_sub(buffered.len() as u64);
        let deadline_timer = Box::pin(tokio::time::sleep_until(deadline));
        let buffered = buffered.freeze();
        Ok(Self::Streamed(StreamedBody { buffered, rest: body, remaining_bytes, deadline_timer }))
    }
}

/// Reads until the end (true) or until `buffered` holds more than `max_bytes` (false).
async fn read_up_to(
    body: &mut Incoming,
    buffered: &mut BytesMut,
    max_bytes: usize,
) -> Result<bool, Error> {
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|error| Error::new(ErrorKind::BadRequest, format!("body: {error}")))?;
        if let Ok(data) = frame.into_data() {
            buffered.extend_from_slice(&data);
        }
        if buffered.len() > max_bytes {
            return Ok(false);
        }
    }
    Ok(true)
}

fn too_large(max_bytes: u64) -> Error {
    Error::new(ErrorKind::TooLarge, format!("body: more than {max_bytes} bytes"))
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Streamed(stream) => stream.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(bytes) => bytes.is_empty(),
            Self::Streamed(stream) => stream.buffered.is_empty() && stream.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(stream) => match stream.rest.size_hint().exact() {
                Some(rest) => SizeHint::with_exact(stream.buffered.len() as u64 + rest),
                None => SizeHint::default(),
            },
        }
    }
}

impl StreamedBody {
    /// Polls for the next chunk; an error marks the exchange with the upstream as broken.
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.buffered.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.buffered)))));
        }
        let Poll::Ready(next) = Pin::new(&mut self.rest).poll_frame(context) else {
            ready!(self.deadline_timer.as_mut().poll(context));
            return Poll::Ready(Some(Err("request body incomplete at the deadline".into())));
        };
        let Some(frame) = next else { return Poll::Ready(None) };
        let frame = frame?;
        let Ok(data) = frame.into_data() else { return Poll::Ready(None) };
        match self.remaining_bytes.checked_sub(data.len() as u64) {
            Some(remaining) => self.remaining_bytes = remaining,
            None => return Poll::Ready(Some(Err("request body exceeds the maximum size".into()))),
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }
}

/// One chunk of a streamed response.
#[derive(Debug)]
pub enum Chunk {
    /// Bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// A response body sent to the caller.
#[derive(Debug)]
pub enum ResponseBody {
    /// Buffered; empty once sent.
    Buffered(Bytes),
    /// Forwarded as it arrives.
    Streamed(mpsc::Receiver<Chunk>),
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    /// Chunks that stop without [`Chunk::End`], for example because the upstream crashed, end in an
    /// error. Hyper then closes the caller's connection within the message, so that the truncated
    /// response does not look complete.
    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Buffered(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Buffered(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Streamed(chunks) => match ready!(chunks.poll_recv(context)) {
                Some(Chunk::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Some(Chunk::End) => Poll::Ready(None),
                None => Poll::Ready(Some(Err("upstream response ended prematurely".into()))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Buffered(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
