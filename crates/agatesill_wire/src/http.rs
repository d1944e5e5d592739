//! JSON over HTTP/1: clients and a server loop for all control interfaces.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::SendRequest;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::api::ErrorBody;
use crate::error::{Error, ErrorKind};

/// Maximum body size of a control call: two values of the store's maximum size.
pub const MAX_BODY_BYTES: usize = 2 << 20;

/// Header with the name of the operator who makes the call.
pub const OPERATOR_HEADER: &str = "x-agatesill-operator";

/// Header with the operator's token, required if the settings list tokens.
pub const TOKEN_HEADER: &str = "x-agatesill-token";

/// Timeout of the body of a long response: 2 MB take two seconds at 10 Mbit/s.
pub const BODY_TIMEOUT: Duration = Duration::from_secs(4);

/// Time after which an idle control connection is closed.
const IDLE_CONNECTION_TIMEOUT: Duration = Duration::from_secs(20);

/// Time within which a caller must send a request head.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

type PooledClient = Client<HttpConnector, Full<Bytes>>;

/// Client for a JSON interface, with pooled connections.
#[derive(Clone, Debug)]
pub struct JsonClient {
    pool: Arc<Mutex<Pool>>,
    operator: String,
    token: String,
}

/// The pooled connections in use, and how often they have been replaced.
#[derive(Debug)]
struct Pool {
    client: PooledClient,
    replacements: u64,
}

/// Replaces the pool when a call ends without an answer.
///
/// Guards against connections that went silent without being closed: each later call that takes one
/// of them from the pool would wait for its whole timeout.
struct UnansweredCall {
    pool: Arc<Mutex<Pool>>,
    replacements: u64,
    is_answered: bool,
}

impl Drop for UnansweredCall {
    fn drop(&mut self) {
        let mut pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        // Of several calls on the same pool, the first one replaces it.
        if !self.is_answered && pool.replacements == self.replacements {
            *pool = Pool { client: pooled_client(), replacements: self.replacements + 1 };
        }
    }
}

fn pooled_client() -> PooledClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(Duration::from_secs(1)));
    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_CONNECTION_TIMEOUT)
        .build(connector)
}

impl Default for JsonClient {
    fn default() -> Self {
        let pool = Pool { client: pooled_client(), replacements: 0 };
        let pool = Arc::new(Mutex::new(pool));
        Self { pool, operator: String::new(), token: String::new() }
    }
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
            .uri(format!("http://{addr}{path}"))
            .header("content-type", "application/json");
        if !self.operator.is_empty() {
            request = request.header(OPERATOR_HEADER, &self.operator);
        }
        if !self.token.is_empty() {
            request = request.header(TOKEN_HEADER, &self.token);
        }
        let request = request.body(Full::new(body)).map_err(|error| malformed(&error))?;
        let (client, mut unanswered) = self.begin_call();
        let head = tokio::time::timeout(head_timeout, client.request(request))
            .await
            .map_err(|_| late_error("response", head_timeout))?;
        // Both an answer and a connection that failed say that the connection is not silent.
        unanswered.is_answered = true;
        let response = head.map_err(|error| unreachable_error(&error))?;
        let status = response.status();
        unanswered.is_answered = false;
        let bytes = Limited::new(response.into_body(), MAX_BODY_BYTES).collect();
        let bytes = tokio::time::timeout(body_timeout, bytes)
            .await
            .map_err(|_| late_error("complete response", body_timeout))?;
        unanswered.is_answered = true;
        let bytes = bytes.map_err(|error| match error.downcast_ref::<LengthLimitError>() {
            // A read has no effect. After a change, an unread response leaves it unknown whether the
            // change took effect.
            Some(_) if is_read => too_large(addr, path),
            _ => unreachable_error(&error),
        })?;
        Ok((status, bytes.to_bytes()))
    }

    fn begin_call(&self) -> (PooledClient, UnansweredCall) {
        let pool = self.pool.lock().unwrap_or_else(PoisonError::into_inner);
        let (client, replacements) = (pool.client.clone(), pool.replacements);
        drop(pool);
        (client, UnansweredCall { pool: self.pool.clone(), replacements, is_answered: false })
    }
}

fn too_large(addr: SocketAddr, path: &str) -> Error {
    Error::new(
        ErrorKind::TooLarge,
        format!("{addr}{path}: response exceeds {MAX_BODY_BYTES} bytes"),
    )
}

/// How far the request of a failed call got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The connection was refused: no process listens at the address, or a partition rejects connections.
    ConnectionRefused,
    /// No part of the request was sent, for another reason.
    NotSent,
    /// The request may have been received.
    Unknown,
}

impl Delivery {
    /// Name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Delivery::ConnectionRefused => "connection_refused",
            Delivery::NotSent => "not_sent",
            Delivery::Unknown => "unknown",
        }
    }
}

/// A call over a [`Channel`] that failed.
#[derive(Clone, Debug)]
pub struct CallError {
    /// The error.
    pub error: Error,
    /// How far the request got.
    pub delivery: Delivery,
}

impl From<CallError> for Error {
    fn from(failed: CallError) -> Self {
        failed.error
    }
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

/// A request that was not answered, and the request itself if no part of it was sent.
type UnansweredRequest = (BoxError, Option<Box<Request<Full<Bytes>>>>);

/// Connection to one address, opened on demand and used for one call at a time.
///
/// A connection pool opens a second connection whenever two calls overlap. With channels, the
/// caller controls the number of connections.
#[derive(Debug)]
pub struct Channel {
    addr: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
    driver: Option<tokio::task::JoinHandle<()>>,
    connections: u64,
}

/// Over which connection a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Via {
    /// The open connection, or a new one if none is open.
    Any,
    /// Only the open connection, whose other end is known.
    OpenConnection,
}

impl Channel {
    /// Creates a channel without opening its connection.
    pub fn new(addr: SocketAddr) -> Self {
        Self { addr, sender: None, driver: None, connections: 0 }
    }

    /// Number of the open connection, counted from 1; `None` if none is open. Calls over the same
    /// connection reach the same process.
    pub fn connection(&self) -> Option<u64> {
        self.sender.as_ref().filter(|sender| !sender.is_closed()).map(|_| self.connections)
    }

    /// Sends a request and returns the status and the body of the response.
    ///
    /// On any failure, including a timeout, the connection is closed, because an unresponsive
    /// connection would block all later calls.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        via: Via,
        timeout: Duration,
    ) -> Result<(StatusCode, Bytes), CallError> {
        let addr = self.addr;
        let mut delivery = Delivery::NotSent;
        let outcome =
            tokio::time::timeout(timeout, self.exchange(request, via, &mut delivery)).await;
        let detail = match outcome {
            Ok(Ok(response)) => return Ok(response),
            Ok(Err(error)) => format!("{addr}: {error}"),
            Err(_) => format!("{addr}: no response within {} ms", timeout.as_millis()),
        };
        self.close();
        Err(CallError { error: Error::new(ErrorKind::Unreachable, detail), delivery })
    }

    async fn exchange(
        &mut self,
        request: Request<Full<Bytes>>,
        via: Via,
        delivery: &mut Delivery,
    ) -> Result<(StatusCode, Bytes), BoxError> {
        let response = self.send(request, via, delivery).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_BODY_BYTES).collect().await?;
        Ok((status, body.to_bytes()))
    }

    /// Sends a request over the open connection. If that one was closed before any part of the
    /// request was sent, or if none is open, the request is sent over a new one if `via` allows it.
    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        via: Via,
        delivery: &mut Delivery,
    ) -> Result<Response<Incoming>, BoxError> {
        let request = match self.send_over_open(request, delivery).await {
            Ok(response) => return Ok(response),
            Err((_, Some(unsent))) if via == Via::Any => *unsent,
            Err((error, _)) => return Err(error),
        };
        self.connect(delivery).await?;
        self.send_over_open(request, delivery).await.map_err(|(error, _)| error)
    }

    async fn send_over_open(
        &mut self,
        request: Request<Full<Bytes>>,
        delivery: &mut Delivery,
    ) -> Result<Response<Incoming>, UnansweredRequest> {
        let Some(sender) = self.sender.as_mut() else {
            return Err(("not connected".into(), Some(Box::new(request))));
        };
        if let Err(error) = sender.ready().await {
            return Err((error.into(), Some(Box::new(request))));
        }
        *delivery = Delivery::Unknown;
        sender.try_send_request(request).await.map_err(|mut failed| {
            let unsent = failed.take_message();
            if unsent.is_some() {
                *delivery = Delivery::NotSent;
            }
            (failed.into_error().into(), unsent.map(Box::new))
        })
    }

    async fn connect(&mut self, delivery: &mut Delivery) -> Result<(), BoxError> {
        self.close();
        let stream = tokio::net::TcpStream::connect(self.addr).await.inspect_err(|error| {
            if error.kind() == std::io::ErrorKind::ConnectionRefused {
                *delivery = Delivery::ConnectionRefused;
            }
        })?;
        stream.set_nodelay(true)?;
        let (sender, connection) =
            hyper::client::conn::http1::handshake(TokioIo::new(stream)).await?;
        self.sender = Some(sender);
        self.connections += 1;
        self.driver = Some(tokio::spawn(async move {
            if let Err(error) = connection.await {
                log::debug!(event = "channel_ended"; "connection failed: {error}");
            }
        }));
        Ok(())
    }

    /// Closes the connection; the next call opens a new one.
    pub fn close(&mut self) {
        self.sender = None;
        if let Some(driver) = self.driver.take() {
            driver.abort();
        }
    }
}

impl Drop for Channel {
    fn drop(&mut self) {
        self.close();
    }
}

fn malformed(error: &dyn std::fmt::Display) -> Error {
    Error::new(ErrorKind::Protocol, format!("malformed message: {error}"))
}

/// Serves `handler` on `listener` until `stop` is cancelled, then completes in-flight requests.
pub async fn serve<H, F>(listener: TcpListener, stop: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let connections = TaskTracker::new();
    loop {
        let stream = tokio::select! {
            () = stop.cancelled() => break,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => stream,
                Err(error) => {
                    log::warn!(event = "accept_failed"; "failed to accept a connection: {error}");
                    tokio::time::sleep(Duration::from_millis(50)).await;
                    continue;
                }
            },
        };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        let stop = stop.clone();
        connections.spawn(async move {
            let service = service_fn(move |request| {
                let response = handler(request);
                async move { Ok::<_, std::convert::Infallible>(response.await) }
            });
            let connection = hyper::server::conn::http1::Builder::new()
                .timer(TokioTimer::new())
                .header_read_timeout(HEAD_TIMEOUT)
                .serve_connection(TokioIo::new(stream), service);
            tokio::pin!(connection);
            tokio::select! {
                _ = connection.as_mut() => {}
                () = stop.cancelled() => {
                    connection.as_mut().graceful_shutdown();
                    let _ = connection.await;
                }
            }
        });
    }
    connections.close();
    connections.wait().await;
}

/// Reads and decodes a JSON body of at most [`MAX_BODY_BYTES`].
pub async fn read_json<T: DeserializeOwned>(body: Incoming) -> Result<T, Error> {
    let bytes = Limited::new(body, MAX_BODY_BYTES)
        .collect()
        .await
        .map_err(|error| Error::new(ErrorKind::TooLarge, format!("request body: {error}")))?
        .to_bytes();
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
