//! Bodies in both directions: small ones held whole, larger ones passed on in bounded pieces.

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

/// What a body reports when it cannot be finished.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;

/// Pieces of an answer that may wait for a slow caller; hyper's are at most about 64 KB.
pub const ANSWER_PIECES: usize = 4;

/// Limits on the body of a request.
#[derive(Clone, Copy, Debug)]
pub struct BodyLimits {
    /// Largest body.
    pub max_bytes: u64,
    /// Bodies up to this are held whole, so that the request can be sent again.
    pub buffer_bytes: usize,
    /// How long the buffered part may take to arrive.
    pub time: Duration,
}

/// The body of a request as taken in.
#[derive(Debug)]
pub enum Intake {
    /// All of it.
    Whole(Bytes),
    /// Its beginning and the rest, which can be passed on only once.
    Streamed(StreamedRequest),
}

/// A request's body that is passed on as it arrives.
#[derive(Debug)]
pub struct StreamedRequest {
    begun: Bytes,
    rest: Incoming,
    left_bytes: u64,
    limit: Pin<Box<Sleep>>,
}

/// A request's body on its way to an upstream.
#[derive(Debug)]
pub enum UpstreamBody {
    /// Held whole; empty once sent.
    Whole(Bytes),
    /// Passed on as it arrives.
    Streamed(StreamedRequest),
}

impl Intake {
    /// Takes a body in until it is whole or known to be too large to hold.
    pub async fn read(
        mut body: Incoming,
        limits: BodyLimits,
        deadline: Instant,
    ) -> Result<Self, Error> {
        let stated = body.size_hint();
        if stated.lower() > limits.max_bytes {
            return Err(too_large(limits.max_bytes));
        }
        if body.is_end_stream() {
            return Ok(Self::Whole(Bytes::new()));
        }
        let mut begun = BytesMut::new();
        if stated.lower() <= limits.buffer_bytes as u64 {
            let read = fill(&mut body, &mut begun, limits.buffer_bytes);
            let is_whole = tokio::time::timeout(limits.time, read).await.map_err(|_| {
                let what = format!("no whole body within {} ms", limits.time.as_millis());
                Error::new(ErrorKind::CallerTimeout, what)
            })??;
            if is_whole {
                return Ok(Self::Whole(begun.freeze()));
            }
        }
        let left_bytes = limits.max_bytes.saturating_sub(begun.len() as u64);
        let limit = Box::pin(tokio::time::sleep_until(deadline));
        let begun = begun.freeze();
        Ok(Self::Streamed(StreamedRequest { begun, rest: body, left_bytes, limit }))
    }
}

/// Reads until the end (true) or until `begun` holds more than `most_bytes` (false).
async fn fill(body: &mut Incoming, begun: &mut BytesMut, most_bytes: usize) -> Result<bool, Error> {
    while let Some(frame) = body.frame().await {
        let frame =
            frame.map_err(|error| Error::new(ErrorKind::BadRequest, format!("body: {error}")))?;
        if let Ok(data) = frame.into_data() {
            begun.extend_from_slice(&data);
        }
        if begun.len() > most_bytes {
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
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Streamed(stream) => stream.poll(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(bytes) => bytes.is_empty(),
            Self::Streamed(stream) => stream.begun.is_empty() && stream.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(stream) => match stream.rest.size_hint().exact() {
                Some(rest) => SizeHint::with_exact(stream.begun.len() as u64 + rest),
                None => SizeHint::default(),
            },
        }
    }
}

impl StreamedRequest {
    /// The next piece; an error ends the exchange with the upstream as broken.
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if !self.begun.is_empty() {
            return Poll::Ready(Some(Ok(Frame::data(std::mem::take(&mut self.begun)))));
        }
        let Poll::Ready(next) = Pin::new(&mut self.rest).poll_frame(context) else {
            ready!(self.limit.as_mut().poll(context));
            return Poll::Ready(Some(Err("the caller's body came too slowly".into())));
        };
        let Some(frame) = next else { return Poll::Ready(None) };
        let frame = frame?;
        let Ok(data) = frame.into_data() else { return Poll::Ready(None) };
        match self.left_bytes.checked_sub(data.len() as u64) {
            Some(left) => self.left_bytes = left,
            None => return Poll::Ready(Some(Err("the caller's body is too large".into()))),
        }
        Poll::Ready(Some(Ok(Frame::data(data))))
    }
}

/// One piece of a streamed answer.
#[derive(Debug)]
pub enum Piece {
    /// Bytes of it.
    Data(Bytes),
    /// It is whole.
    End,
}

/// The body of an answer on its way to the caller.
#[derive(Debug)]
pub enum AnswerBody {
    /// Held whole; empty once sent.
    Whole(Bytes),
    /// Passed on as it arrives.
    Streamed(mpsc::Receiver<Piece>),
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = BodyError;

    /// Guards against a short answer that looks complete: pieces that stop without
    /// [`Piece::End`], as when an upstream dies mid-body, end in an error, upon which hyper closes
    /// the caller's connection inside the message.
    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match self.get_mut() {
            Self::Whole(bytes) if bytes.is_empty() => Poll::Ready(None),
            Self::Whole(bytes) => Poll::Ready(Some(Ok(Frame::data(std::mem::take(bytes))))),
            Self::Streamed(pieces) => match ready!(pieces.poll_recv(context)) {
                Some(Piece::Data(bytes)) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
                Some(Piece::End) => Poll::Ready(None),
                None => Poll::Ready(Some(Err("the upstream's answer was cut off".into()))),
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(bytes) if bytes.is_empty())
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.len() as u64),
            Self::Streamed(_) => SizeHint::default(),
        }
    }
}
