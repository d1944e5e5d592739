//! One request-response exchange with one upstream.

use std::net::SocketAddr;

use agatesill_wire::api::ErrorBody;
use agatesill_wire::listener::collect;
use agatesill_wire::prelude::*;
use bytes::Bytes;
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use tokio::time::{Instant, timeout_at};

use super::body::UpstreamBody;
use super::upstream::{Connection, ConnectionPool};

/// Responses with a declared length up to this size are buffered completely before the caller
/// receives the response head; longer and chunked ones are streamed.
pub const STREAM_FROM_BYTES: u64 = 64 << 10;

/// Headers that apply to a single connection and are not forwarded.
const HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    hyper::header::TE,
    hyper::header::TRAILER,
    TRANSFER_ENCODING,
    hyper::header::UPGRADE,
];

/// Result of an exchange.
#[derive(Debug)]
pub enum ExchangeResult {
    /// The complete response.
    Buffered(Parts, Bytes),
    /// The head of a response whose body has yet to be read from the connection.
    Streamed(Parts, Incoming, Connection),
    /// The upstream reported that it did not run the request.
    Refused(Error),
    /// No byte of the request was sent.
    NotSent(Error),
    /// The exchange failed after bytes of the request may have been sent.
    Broken(String),
    /// The upstream did not respond before the deadline.
    TimedOut,
}

/// Removes hop-by-hop headers; returns whether the sender announced to close the connection.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) -> bool {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    let closes_connection = listed.iter().any(|name| name.as_str() == "close");
    for name in HOP_BY_HOP.iter().chain(&listed) {
        headers.remove(name);
    }
    closes_connection
}

/// Sends `request` to `addr` and waits for the response, or for its head if the body is streamed.
///
/// A request that could not be sent over a reused connection is sent over another one.
pub async fn exchange(
    connections: &ConnectionPool,
    addr: SocketAddr,
    mut request: Request<UpstreamBody>,
    deadline: Instant,
) -> ExchangeResult {
    loop {
        let mut connection = match timeout_at(deadline, connections.acquire(addr)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => return ExchangeResult::NotSent(error),
            Err(_) => return ExchangeResult::NotSent(too_late(addr)),
        };
        match attempt(&mut connection, request, deadline).await {
            SendResult::Answer(response) => return receive(response, connection, deadline).await,
            SendResult::NotSent(unsent) if connection.is_reused => request = *unsent,
            SendResult::NotSent(_) => {
                let message = format!("{addr}: connection closed before the request was sent");
                return ExchangeResult::NotSent(Error::new(ErrorKind::NoUpstream, message));
            }
            SendResult::TooLate => return ExchangeResult::NotSent(too_late(addr)),
            SendResult::Broken(message) => return ExchangeResult::Broken(message),
            SendResult::TimedOut => return ExchangeResult::TimedOut,
        }
    }
}

fn too_late(addr: SocketAddr) -> Error {
    Error::new(ErrorKind::TooLate, format!("{addr}: no free connection before the deadline"))
}

enum SendResult {
    Answer(Box<hyper::Response<Incoming>>),
    NotSent(Box<Request<UpstreamBody>>),
    TooLate,
    Broken(String),
    TimedOut,
}

/// Sends the request over `connection` and waits for the response head.
///
/// Only a request that hyper returns unserialised counts as not sent, because such an error
/// reports the request as not run. A write that failed midway counts as broken.
async fn attempt(
    connection: &mut Connection,
    request: Request<UpstreamBody>,
    deadline: Instant,
) -> SendResult {
    let Some(sender) = connection.sender() else { return SendResult::NotSent(Box::new(request)) };
    match timeout_at(deadline, sender.ready()).await {
        Ok(Ok(())) => {}
        Ok(Err(_)) => return SendResult::NotSent(Box::new(request)),
        Err(_) => return SendResult::TooLate,
    }
    match timeout_at(deadline, sender.try_send_request(request)).await {
        Ok(Ok(response)) => SendResult::Answer(Box::new(response)),
        Ok(Err(mut error)) => match error.take_message() {
            Some(unsent) => SendResult::NotSent(Box::new(unsent)),
            None => SendResult::Broken(error.into_error().to_string()),
        },
        Err(_) => SendResult::TimedOut,
    }
}

async fn receive(
    response: Box<hyper::Response<Incoming>>,
    connection: Connection,
    deadline: Instant,
) -> ExchangeResult {
    let (mut parts, body) = response.into_parts();
    let Some(length) = declared_length(&parts, &body) else {
        return ExchangeResult::Broken(
            "response has neither a content length nor chunked encoding".to_owned(),
        );
    };
    if length.is_none_or(|bytes| bytes > STREAM_FROM_BYTES) {
        return ExchangeResult::Streamed(parts, body, connection);
    }
    let buffered = collect(body, STREAM_FROM_BYTES as usize);
    let body = match timeout_at(deadline, buffered).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return ExchangeResult::Broken(error.to_string()),
        Err(_) => return ExchangeResult::TimedOut,
    };
    if let Some(refusal) = refusal(&parts, &body) {
        if !strip_hop_by_hop(&mut parts.headers) {
            connection.return_to_pool();
        }
        return ExchangeResult::Refused(refusal);
    }
    if !closes_connection(&parts) {
        connection.return_to_pool();
    }
    ExchangeResult::Buffered(parts, body)
}

/// Whether the upstream will close the connection after this response.
pub fn closes_connection(parts: &Parts) -> bool {
    let listed = parts.headers.get_all(CONNECTION).iter();
    listed
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.split(',').any(|name| name.trim().eq_ignore_ascii_case("close")))
}

/// The declared length of the response body: `Some(None)` if it is chunked, `None` if only the
/// close of the connection ends it.
///
/// A body that ends with the connection is rejected because a truncated response of a crashed
/// upstream could not be distinguished from a complete one.
fn declared_length(parts: &Parts, body: &Incoming) -> Option<Option<u64>> {
    if body.is_end_stream() {
        return Some(Some(0));
    }
    if let Some(bytes) = body.size_hint().exact() {
        return Some(Some(bytes));
    }
    let is_chunked = parts.headers.contains_key(TRANSFER_ENCODING)
        && !parts.headers.contains_key(CONTENT_LENGTH);
    is_chunked.then_some(None)
}

/// Parses a response by which the upstream reports that it did not run the request.
fn refusal(parts: &Parts, body: &[u8]) -> Option<Error> {
    if !matches!(parts.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        return None;
    }
    let body: ErrorBody = serde_json::from_slice(body).ok()?;
    let error = Error::from(body.clone());
    let refuses = matches!(error.kind, ErrorKind::Stopping | ErrorKind::Overloaded);
    (refuses && body.was_run == WasRun::No).then_some(error)
}
