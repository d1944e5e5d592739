//! Calls over one connection at a time, for callers that have to know which process answers.

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, Connection, SendRequest};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::error::{Error, ErrorKind};
use crate::http::MAX_RESPONSE_BYTES;
use crate::listener::collect;

/// Maximum size of a response's head, and of the buffer into which its body is read. By default the
/// buffer of each connection grows to several times this size.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Timeout of the opening of a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

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
    open: Option<OpenConnection>,
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
        Self { addr, open: None, connections: 0 }
    }

    /// Number of the open connection, counted from 1; `None` if none is open. Calls over the same
    /// connection reach the same process.
    pub fn connection(&self) -> Option<u64> {
        self.open.as_ref().filter(|open| !open.is_closed()).map(|_| self.connections)
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
        Ok((status, self.collect(response.into_body()).await?))
    }

    /// Sends a request over the open connection and waits for the head of the response. If that
    /// connection was closed before any part of the request was sent, or if none is open, the request
    /// is sent over a new one if `via` allows it.
    pub(crate) async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        via: Via,
        delivery: &mut Delivery,
    ) -> Result<Response<Incoming>, BoxError> {
        let request = match self.open.as_mut() {
            Some(open) => match open.send(request, delivery).await {
                Ok(response) => return Ok(response),
                Err((_, Some(unsent))) if via == Via::Any => *unsent,
                Err((error, _)) => return Err(error),
            },
            None if via == Via::Any => request,
            None => return Err("not connected".into()),
        };
        let open = self.connect(delivery).await?;
        open.send(request, delivery).await.map_err(|(error, _)| error)
    }

    /// Reads the body of the response to the last request.
    pub(crate) async fn collect(&mut self, body: Incoming) -> Result<Bytes, BoxError> {
        let body = collect(body, MAX_RESPONSE_BYTES);
        match self.open.as_mut() {
            Some(open) => Ok(drive(&mut open.connection, body).await?),
            None => Err("not connected".into()),
        }
    }

    async fn connect(&mut self, delivery: &mut Delivery) -> Result<&mut OpenConnection, BoxError> {
        self.close();
        let connecting = TcpStream::connect(self.addr);
        let stream = tokio::time::timeout(CONNECT_TIMEOUT, connecting).await?;
        let stream = stream.inspect_err(|error| {
            if error.kind() == std::io::ErrorKind::ConnectionRefused {
                *delivery = Delivery::ConnectionRefused;
            }
        })?;
        stream.set_nodelay(true)?;
        let (sender, connection) =
            Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(TokioIo::new(stream)).await?;
        self.connections += 1;
        Ok(self.open.insert(OpenConnection { sender, connection: Some(connection) }))
    }

    /// Closes the connection; the next call opens a new one.
    pub fn close(&mut self) {
        self.open = None;
    }
}

type HttpConnection = Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// An open connection. It makes progress only during calls, in the task of the caller: a task of its own
/// would pass the run queue once more for each part of a call.
#[derive(Debug)]
struct OpenConnection {
    sender: SendRequest<Full<Bytes>>,
    /// `None` once the connection has ended.
    connection: Option<HttpConnection>,
}

impl OpenConnection {
    fn is_closed(&self) -> bool {
        self.connection.is_none() || self.sender.is_closed()
    }

    async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        delivery: &mut Delivery,
    ) -> Result<Response<Incoming>, UnansweredRequest> {
        let Self { sender, connection } = self;
        // Notices a connection that was closed before the request is passed to it.
        poll_connection(connection, &mut Context::from_waker(Waker::noop()));
        let send = async {
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
        };
        drive(connection, send).await
    }
}

/// Completes a part of an exchange, which waits for nothing but the connection.
async fn drive<T>(connection: &mut Option<HttpConnection>, part: impl Future<Output = T>) -> T {
    tokio::pin!(part);
    std::future::poll_fn(|context| {
        // Only the connection waits for anything outside of this task.
        let mut inner = Context::from_waker(Waker::noop());
        if let Poll::Ready(outcome) = part.as_mut().poll(&mut inner) {
            return Poll::Ready(outcome);
        }
        poll_connection(connection, context);
        part.as_mut().poll(&mut inner)
    })
    .await
}

/// Reads and writes what can be read and written at once.
fn poll_connection(connection: &mut Option<HttpConnection>, context: &mut Context<'_>) {
    let Some(open) = connection else { return };
    if let Poll::Ready(ended) = Pin::new(open).poll(context) {
        *connection = None;
        if let Err(error) = ended {
            log::debug!(event = "channel_ended"; "connection failed: {error}");
        }
    }
}
