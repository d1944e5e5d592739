//! Streams a long response to the caller in chunks.

use agatesill_policy::prelude::*;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};

use super::body::Chunk;
use super::record::MAX_RESPONSE_BYTES;
use super::upstream::Connection;

/// A response to be streamed.
#[derive(Debug)]
pub struct ResponseStream {
    /// The response body.
    pub body: Incoming,
    /// The upstream connection that carries the body.
    pub connection: Connection,
    /// Whether the connection may be reused afterwards.
    pub is_reusable: bool,
    /// Time at which streaming is aborted.
    pub deadline: Instant,
    /// Whether to read the response to its end even if the caller disconnects, and return a copy.
    pub must_finish: bool,
}

/// Forwards the response body to `chunks`. Returns the outcome of the exchange, and a copy of the
/// body if `must_finish` is set and the body has at most [`MAX_RESPONSE_BYTES`].
///
/// The bounded channel provides backpressure: a slow caller slows down reading from the upstream.
pub async fn stream_response(
    stream: ResponseStream,
    chunks: mpsc::Sender<Chunk>,
) -> (Outcome, Option<Bytes>) {
    let ResponseStream { mut body, connection, is_reusable, deadline, must_finish } = stream;
    let mut copy = must_finish.then(BytesMut::new);
    let mut caller_connected = true;
    loop {
        let frame = tokio::select! {
            frame = timeout_at(deadline, body.frame()) => frame,
            () = chunks.closed(), if !must_finish => return (Outcome::Abandoned, None),
        };
        let data = match frame {
            Err(_) => return (Outcome::Abandoned, None),
            Ok(Some(Err(_))) => return (Outcome::Broken, None),
            Ok(None) => break,
            Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
        };
        if copy.as_ref().is_some_and(|copy| copy.len() + data.len() > MAX_RESPONSE_BYTES) {
            copy = None;
        }
        if let Some(copy) = &mut copy {
            copy.extend_from_slice(&data);
        }
        if caller_connected {
            caller_connected =
                matches!(timeout_at(deadline, chunks.send(Chunk::Data(data))).await, Ok(Ok(())));
        }
        if !caller_connected && !must_finish {
            return (Outcome::Abandoned, None);
        }
    }
    if is_reusable {
        connection.return_to_pool();
    }
    if caller_connected {
        let _ = timeout_at(deadline, chunks.send(Chunk::End)).await;
    }
    (Outcome::Answered, copy.map(BytesMut::freeze))
}
