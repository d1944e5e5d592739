//! One exchange with one upstream: what is sent, and what came of it.

use std::net::SocketAddr;

use agatesill_wire::api::ErrorBody;
use agatesill_wire::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Body, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderMap, HeaderName, TRANSFER_ENCODING};
use hyper::http::response::Parts;
use hyper::{Request, StatusCode};
use tokio::time::{Instant, timeout_at};

use super::body::UpstreamBody;
use super::upstream::{Connection, Connections};

/// Answers of a stated length up to this are taken in whole before the caller gets their head.
pub const STREAM_FROM_BYTES: u64 = 64 << 10;

/// Headers that belong to one connection and are not passed on.
const HOP_BY_HOP: [HeaderName; 7] = [
    CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    hyper::header::TE,
    hyper::header::TRAILER,
    TRANSFER_ENCODING,
    hyper::header::UPGRADE,
];

/// How an exchange ended, or began to be answered.
#[derive(Debug)]
pub enum Reply {
    /// A whole answer.
    Whole(Parts, Bytes),
    /// The head of an answer whose body is still to come over the connection.
    Begun(Parts, Incoming, Connection),
    /// The upstream says that it did not run the request.
    Refused(Error),
    /// No byte of the request left.
    NotSent(Error),
    /// The exchange failed after a byte may have left.
    Broken(String),
    /// No answer in time.
    TimedOut,
}

/// Removes what belongs to one connection; true when the other end wants to close it.
pub fn strip_hop_by_hop(headers: &mut HeaderMap) -> bool {
    let listed: Vec<HeaderName> = headers
        .get_all(CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| HeaderName::try_from(name.trim()).ok())
        .collect();
    let closes = listed.iter().any(|name| name.as_str() == "close");
    for name in HOP_BY_HOP.iter().chain(&listed) {
        headers.remove(name);
    }
    closes
}

/// Sends `request` to `addr` and waits for the answer, or for its head when it is long.
pub async fn exchange(
    connections: &Connections,
    addr: SocketAddr,
    mut request: Request<UpstreamBody>,
    deadline: Instant,
) -> Reply {
    loop {
        let mut connection = match timeout_at(deadline, connections.take(addr)).await {
            Ok(Ok(connection)) => connection,
            Ok(Err(error)) => return Reply::NotSent(error),
            Err(_) => return Reply::NotSent(too_late(addr)),
        };
        match attempt(&mut connection, request, deadline).await {
            Attempt::Answer(answer) => return receive(answer, connection, deadline).await,
            Attempt::NotSent(unsent) if connection.is_reused => request = *unsent,
            Attempt::NotSent(_) => {
                let what = format!("{addr}: closed before the request left");
                return Reply::NotSent(Error::new(ErrorKind::NoUpstream, what));
            }
            Attempt::TooLate => return Reply::NotSent(too_late(addr)),
            Attempt::Broken(what) => return Reply::Broken(what),
            Attempt::TimedOut => return Reply::TimedOut,
        }
    }
}

fn too_late(addr: SocketAddr) -> Error {
    Error::new(ErrorKind::TooLate, format!("{addr}: no free connection before the deadline"))
}

enum Attempt {
    Answer(Box<hyper::Response<Incoming>>),
    NotSent(Box<Request<UpstreamBody>>),
    TooLate,
    Broken(String),
    TimedOut,
}

/// Guards against a false `not run`: only a request that the library hands back unserialised
/// counts as not sent. A write that failed half-way is broken.
async fn attempt(
    connection: &mut Connection,
    request: Request<UpstreamBody>,
    deadline: Instant,
) -> Attempt {
    let Some(sender) = connection.sender() else { return Attempt::NotSent(Box::new(request)) };
    match timeout_at(deadline, sender.ready()).await {
        Ok(Ok(())) => {}
        Ok(Err(_)) => return Attempt::NotSent(Box::new(request)),
        Err(_) => return Attempt::TooLate,
    }
    match timeout_at(deadline, sender.try_send_request(request)).await {
        Ok(Ok(answer)) => Attempt::Answer(Box::new(answer)),
        Ok(Err(mut error)) => match error.take_message() {
            Some(unsent) => Attempt::NotSent(Box::new(unsent)),
            None => Attempt::Broken(error.into_error().to_string()),
        },
        Err(_) => Attempt::TimedOut,
    }
}

async fn receive(
    answer: Box<hyper::Response<Incoming>>,
    connection: Connection,
    deadline: Instant,
) -> Reply {
    let (mut parts, body) = answer.into_parts();
    let Some(length) = stated_length(&parts, &body) else {
        return Reply::Broken("an answer without a stated length cannot be told whole".to_owned());
    };
    if length.is_none_or(|bytes| bytes > STREAM_FROM_BYTES) {
        return Reply::Begun(parts, body, connection);
    }
    let whole = Limited::new(body, STREAM_FROM_BYTES as usize).collect();
    let body = match timeout_at(deadline, whole).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => return Reply::Broken(error.to_string()),
        Err(_) => return Reply::TimedOut,
    };
    if let Some(refusal) = refusal(&parts, &body) {
        if !strip_hop_by_hop(&mut parts.headers) {
            connection.keep();
        }
        return Reply::Refused(refusal);
    }
    if !closes(&parts) {
        connection.keep();
    }
    Reply::Whole(parts, body)
}

/// Whether the upstream will close the connection after this answer.
pub fn closes(parts: &Parts) -> bool {
    let listed = parts.headers.get_all(CONNECTION).iter();
    listed
        .filter_map(|value| value.to_str().ok())
        .any(|value| value.split(',').any(|name| name.trim().eq_ignore_ascii_case("close")))
}

/// The answer's length; `Some(None)` when it is chunked.
///
/// Guards against a short answer that looks whole: a body that only the close of the connection
/// ends shows no difference between an upstream that finished and one that died.
fn stated_length(parts: &Parts, body: &Incoming) -> Option<Option<u64>> {
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

/// The upstream's own word that it did not run the request.
fn refusal(parts: &Parts, body: &[u8]) -> Option<Error> {
    if !matches!(parts.status, StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS) {
        return None;
    }
    let body: ErrorBody = serde_json::from_slice(body).ok()?;
    let error = Error::from(body.clone());
    let refuses = matches!(error.kind, ErrorKind::Stopping | ErrorKind::Overloaded);
    (refuses && body.was_run == WasRun::No).then_some(error)
}
