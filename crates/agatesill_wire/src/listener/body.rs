//! Bodies that are received completely.
//!
//! Data is copied out of the buffers into which it was read: a chunk that is kept keeps its whole
//! buffer, so that small chunks would hold many times their size.

use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming, SizeHint};

use super::edge::ConnectionHandle;

/// Size of the first segment of a body of unknown length.
const FIRST_BYTES: usize = 4 << 10;

/// Size of the segments in which a body is held until it is complete.
const SEGMENT_BYTES: usize = 16 << 10;

/// Memory into which a body is read before it is copied.
const READ_BUFFER_BYTES: u64 = 32 << 10;

/// Why a body was not received.
#[derive(Debug)]
pub enum BodyError {
    /// It exceeds the maximum size.
    TooLarge,
    /// The connection failed, or the body is malformed.
    Broken(hyper::Error),
    /// There is no room for it. The connection is closed.
    NoRoom,
}

impl std::fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Self::TooLarge => formatter.write_str("body exceeds the maximum size"),
            Self::Broken(error) => error.fmt(formatter),
            Self::NoRoom => formatter.write_str("no room for the body"),
        }
    }
}

impl std::error::Error for BodyError {}

/// Receives a body of at most `max_bytes` within `timeout`, and counts its memory on the connection.
pub async fn collect_body(
    connection: &ConnectionHandle,
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, BodyError> {
    connection.body_begun(timeout);
    let hold = |capacity: usize| connection.hold(capacity as u64 + READ_BUFFER_BYTES);
    let body = collect_held(body, max_bytes, hold).await?;
    connection.serving();
    Ok(body)
}

/// Receives a body of at most `max_bytes`.
pub async fn collect(body: Incoming, max_bytes: usize) -> Result<Bytes, BodyError> {
    collect_held(body, max_bytes, |_| true).await
}

/// Receives a body; `hold` is asked before each allocation whether there is room for the whole size.
async fn collect_held(
    mut body: Incoming,
    max_bytes: usize,
    hold: impl Fn(usize) -> bool,
) -> Result<Bytes, BodyError> {
    let size_hint = body.size_hint();
    if size_hint.lower() > max_bytes as u64 {
        return Err(BodyError::TooLarge);
    }
    let expected_bytes = size_hint.exact().map_or(FIRST_BYTES, |bytes| bytes as usize);
    let mut received = Segments::default();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else { continue };
        if received.len_bytes + data.len() > max_bytes {
            return Err(BodyError::TooLarge);
        }
        if !received.extend(&data, expected_bytes, &hold) {
            return Err(BodyError::NoRoom);
        }
    }
    Ok(received.into_bytes())
}

/// Received bytes in segments of one size. A buffer that is grown leaves blocks of many sizes behind,
/// which the allocator does not return to the system.
#[derive(Default)]
struct Segments {
    segments: Vec<Vec<u8>>,
    len_bytes: usize,
    capacity_bytes: usize,
}

impl Segments {
    /// Appends `data`; false if there is no room for a further segment. The first segment is no larger
    /// than `expected_bytes`.
    fn extend(
        &mut self,
        mut data: &[u8],
        expected_bytes: usize,
        hold: &impl Fn(usize) -> bool,
    ) -> bool {
        while !data.is_empty() {
            let has_room = |last: &Vec<u8>| last.len() < last.capacity();
            if !self.segments.last().is_some_and(has_room) {
                let capacity = match self.segments.is_empty() {
                    true => expected_bytes.clamp(1, SEGMENT_BYTES),
                    false => SEGMENT_BYTES,
                };
                if !hold(self.capacity_bytes + capacity) {
                    return false;
                }
                self.segments.push(Vec::with_capacity(capacity));
                self.capacity_bytes += capacity;
            }
            let Some(last) = self.segments.last_mut() else { return false };
            let (now, later) = data.split_at(data.len().min(last.capacity() - last.len()));
            last.extend_from_slice(now);
            self.len_bytes += now.len();
            data = later;
        }
        true
    }

    fn into_bytes(mut self) -> Bytes {
        match self.segments.len() {
            0 => Bytes::new(),
            1 => Bytes::from(self.segments.swap_remove(0)),
            _ => Bytes::from(self.segments.concat()),
        }
    }
}

/// The body of an answer. Its end releases the memory of the request.
pub(super) struct AnswerBody<B> {
    body: B,
    connection: ConnectionHandle,
}

impl<B> AnswerBody<B> {
    pub(super) fn new(body: B, connection: ConnectionHandle) -> Self {
        Self { body, connection }
    }
}

impl<B> Drop for AnswerBody<B> {
    fn drop(&mut self) {
        self.connection.request_ended();
    }
}

impl<B: Body + Unpin> Body for AnswerBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
