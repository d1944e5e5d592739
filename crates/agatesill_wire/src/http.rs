//! JSON over HTTP/1: clients and a server loop for all control interfaces.

use std::collections::HashMap;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agatesill_policy::connections::ListenerShare;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::api::ErrorBody;
use crate::channel::{Channel, Delivery, Via};
use crate::error::{Error, ErrorKind};
use crate::listener::{self, BodyError, ConnectionHandle, Edge, EdgeLimits, Shutdown};

/// Maximum body size of a request: two values of the store's maximum size.
pub const MAX_BODY_BYTES: usize = 2 << 20;

/// Maximum body size of a response. A page of the store ends with the value that takes it over 1 MB, which
/// may have the maximum size, and all values are sent as base64.
pub const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// Header with the name of the operator who makes the call.
pub const OPERATOR_HEADER: &str = "x-agatesill-operator";

/// Header with the operator's token, required if the settings list tokens.
pub const TOKEN_HEADER: &str = "x-agatesill-token";

/// Timeout of the body of a long response: 4 MB take less at 10 Mbit/s.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which an idle control connection is closed.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// Time within which an operator must send the body of a request.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Client for a JSON interface, with pooled connections.
#[derive(Clone, Debug, Default)]
pub struct JsonClient {
    pool: Arc<Mutex<Pool>>,
    operator: String,
    token: String,
}

/// The unused connections, and how often they have been replaced.
#[derive(Debug, Default)]
struct Pool {
    idle: HashMap<SocketAddr, Vec<IdleChannel>>,
    replacements: u64,
}

#[derive(Debug)]
struct IdleChannel {
    channel: Channel,
    since: Instant,
}

impl Pool {
    /// Takes the connection to `addr` that was used last.
    fn take(&mut self, addr: SocketAddr) -> Option<Channel> {
        self.idle.get_mut(&addr)?.pop().map(|idle| idle.channel)
    }

    /// Keeps a connection for later calls, and closes those that have been unused for long.
    fn put(&mut self, addr: SocketAddr, channel: Channel) {
        let since = Instant::now();
        let idle = self.idle.entry(addr).or_default();
        idle.retain(|idle| since.duration_since(idle.since) < IDLE_CONNECTION_TIMEOUT);
        idle.push(IdleChannel { channel, since });
    }
}

/// A call over a pooled connection. Replaces the pool when the call ends without an answer.
///
/// Guards against connections that went silent without being closed: each later call that takes one
/// of them from the pool would wait for its whole timeout.
struct PooledCall {
    pool: Arc<Mutex<Pool>>,
    replacements: u64,
    is_answered: bool,
}

impl PooledCall {
    /// Keeps the connection of a call that was answered completely.
    fn keep(&self, addr: SocketAddr, channel: Channel) {
        let mut pool = lock(&self.pool);
        if pool.replacements == self.replacements {
            pool.put(addr, channel);
        }
    }
}

impl Drop for PooledCall {
    fn drop(&mut self) {
        let mut pool = lock(&self.pool);
        // Of several calls on the same pool, the first one replaces it.
        if !self.is_answered && pool.replacements == self.replacements {
            *pool = Pool { replacements: self.replacements + 1, ..Pool::default() };
        }
    }
}

fn lock(pool: &Mutex<Pool>) -> MutexGuard<'_, Pool> {
    pool.lock().unwrap_or_else(PoisonError::into_inner)
}

impl JsonClient {
    /// Creates a client whose calls carry an operator name and, if not empty, a token.
    pub fn for_operator(operator: &str, token: &str) -> Self {
        Self { operator: operator.to_owned(), token: token.to_owned(), ..Self::default() }
    }

    /// Sends `body` and returns the decoded response, or the error that the response carries.
    ///
    /// [`ErrorKind::Unreachable`] means that no response was received within `timeout`; the call
    /// may have taken effect.
    pub async fn call<B: Serialize, R: DeserializeOwned>(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: &B,
        timeout: Duration,
    ) -> Result<R, Error> {
        let body = serde_json::to_vec(body).map_err(|error| malformed(&error))?;
        let (status, bytes) = self.exchange(method, addr, path, Bytes::from(body), timeout).await?;
        if status.is_success() {
            return serde_json::from_slice(&bytes).map_err(|error| malformed(&error));
        }
        let body: ErrorBody = serde_json::from_slice(&bytes).map_err(|error| malformed(&error))?;
        Err(body.into())
    }

    /// Sends `body` and returns the status and the undecoded body of the response.
    ///
    /// [`ErrorKind::Unreachable`] means that no response was received within `timeout`; the call
    /// may have taken effect.
    pub async fn exchange(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Bytes,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        let exchange = self.exchange_in_parts(method, addr, path, body, timeout, timeout);
        tokio::time::timeout(timeout, exchange).await.unwrap_or_else(|_| {
            let detail = format!("{addr}{path}: no response within {} ms", timeout.as_millis());
            Err(Error::new(ErrorKind::Unreachable, detail))
        })
    }

    /// Like [`JsonClient::exchange`], with separate timeouts of the response's head and of its body, so
    /// that a server which does not answer is told from a long answer.
    pub async fn exchange_in_parts(
        &self,
        method: Method,
        addr: SocketAddr,
        path: &str,
        body: Bytes,
        head_timeout: Duration,
        body_timeout: Duration,
    ) -> Result<(StatusCode, Bytes), Error> {
        let unreachable_error = |cause: &dyn std::fmt::Display| {
            Error::new(ErrorKind::Unreachable, format!("{addr}{path}: {cause}"))
        };
        let late_error = |part: &str, timeout: Duration| {
            unreachable_error(&format!("no {part} within {} ms", timeout.as_millis()))
        };
        let is_read = method == Method::GET;
        let mut request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", addr.to_string())
            .header("content-type", "application/json");
        if !self.operator.is_empty() {
            request = request.header(OPERATOR_HEADER, &self.operator);
        }
        if !self.token.is_empty() {
            request = request.header(TOKEN_HEADER, &self.token);
        }
        let request = request.body(Full::new(body)).map_err(|error| malformed(&error))?;
        let (mut channel, mut call) = self.begin_call(addr);
        let mut delivery = Delivery::NotSent;
        let head = channel.send(request, Via::Any, &mut delivery);
        let head = tokio::time::timeout(head_timeout, head)
            .await
            .map_err(|_| late_error("response", head_timeout))?;
        // Both an answer and a connection that failed say that the connection is not silent.
        call.is_answered = true;
        let response = head.map_err(|error| unreachable_error(&error))?;
        let status = response.status();
        call.is_answered = false;
        let bytes = channel.collect(response.into_body());
        let bytes = tokio::time::timeout(body_timeout, bytes)
            .await
            .map_err(|_| late_error("complete response", body_timeout))?;
        call.is_answered = true;
        let bytes = bytes.map_err(|error| match error.downcast_ref::<BodyError>() {
            // A read has no effect. After a change, an unread response leaves it unknown whether the
            // change took effect.
            Some(BodyError::TooLarge) if is_read => too_large(addr, path),
            _ => unreachable_error(&error),
        })?;
        call.keep(addr, channel);
        Ok((status, bytes))
    }

    fn begin_call(&self, addr: SocketAddr) -> (Channel, PooledCall) {
        let mut pool = lock(&self.pool);
        let channel = pool.take(addr).unwrap_or_else(|| Channel::new(addr));
        let replacements = pool.replacements;
        drop(pool);
        (channel, PooledCall { pool: self.pool.clone(), replacements, is_answered: false })
    }
}

fn too_large(addr: SocketAddr, path: &str) -> Error {
    Error::new(
        ErrorKind::TooLarge,
        format!("{addr}{path}: response exceeds {MAX_RESPONSE_BYTES} bytes"),
    )
}

fn malformed(error: &dyn std::fmt::Display) -> Error {
    Error::new(ErrorKind::Protocol, format!("malformed message: {error}"))
}

/// Serves `handler` on `listener` until `stop` is cancelled, then completes in-flight requests. The
/// number of connections and what they hold are not limited; [`listener::serve`] limits them.
pub async fn serve<H, F>(listener: TcpListener, stop: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let share = ListenerShare { connections: usize::MAX, bytes: u64::MAX };
    let edge = Edge::new("unlimited", EdgeLimits::default(), share);
    let stop = Shutdown { drain: stop, ..Shutdown::default() };
    let handler = move |request, _| handler(request);
    listener::serve(listener, edge, stop, listener::no_response, handler).await;
}

/// Reads and decodes a JSON body of at most [`MAX_BODY_BYTES`].
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Error> {
    decode_json(listener::collect(body, MAX_BODY_BYTES).await)
}

/// Like [`read_json`], and counts the memory of the body on the connection.
pub async fn read_counted_json<T: DeserializeOwned>(
    connection: &ConnectionHandle,
    body: Incoming,
) -> Result<T, Error> {
    decode_json(listener::collect_body(connection, body, MAX_BODY_BYTES, READ_TIMEOUT).await)
}

fn decode_json<T: DeserializeOwned>(body: Result<Bytes, BodyError>) -> Result<T, Error> {
    let bytes =
        body.map_err(|error| Error::new(ErrorKind::TooLarge, format!("request body: {error}")))?;
    serde_json::from_slice(&bytes)
        .map_err(|error| Error::new(ErrorKind::BadRequest, format!("request body: {error}")))
}

/// Encodes the outcome of a control call as an HTTP response.
pub fn respond<T: Serialize>(outcome: Result<T, Error>) -> Response<Full<Bytes>> {
    let (status, body) = match &outcome {
        Ok(value) => (200, serde_json::to_vec(value)),
        Err(error) => (error.kind.row().status, serde_json::to_vec(&ErrorBody::from(error))),
    };
    let mut response = Response::new(Full::new(Bytes::from(body.unwrap_or_default())));
    *response.status_mut() =
        hyper::StatusCode::from_u16(status).unwrap_or(hyper::StatusCode::INTERNAL_SERVER_ERROR);
    response
        .headers_mut()
        .insert("content-type", hyper::header::HeaderValue::from_static("application/json"));
    response
}
