//! Accepts connections and serves HTTP/1 on them.

use std::error::Error as StdError;
use std::future::Future;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::time::Duration;

use agatesill_policy::connections::CloseReason;
use hyper::body::{Body, Incoming};
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::body::AnswerBody;
use super::edge::{ConnectionHandle, Edge};
use super::stream::EdgeStream;

/// Maximum number of header lines of a request.
const MAX_HEADERS: usize = 100;

/// Smallest read buffer that hyper takes.
const MIN_READ_BUFFER_BYTES: usize = 8 << 10;

/// Room for empty lines before a request.
const EMPTY_LINES_BYTES: usize = 256;

/// Requested size of the kernel's receive buffers. Linux sets twice the size, for its own overhead.
const RECEIVE_BUFFER_BYTES: usize = 16 << 10;

/// Most that is counted for a receive buffer, also if the kernel tells a larger size.
const MAX_RECEIVE_BUFFER_BYTES: usize = 128 << 10;

/// Delay after a failed `accept`, for example when file descriptors are exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Interval between checks of the timeouts.
const OVERDUE_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for writing the response to a client whose connection is closed.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// Cancellation tokens and task tracker of a listener.
#[derive(Clone, Debug, Default)]
pub struct Shutdown {
    /// Closes the listener, and each connection after its exchange in flight.
    pub drain: CancellationToken,
    /// Aborts the exchanges still in flight.
    pub abort: CancellationToken,
    /// Tasks of connections, and of exchanges that outlive their connection.
    pub tasks: TaskTracker,
}

/// Bounds what the kernel receives for each connection to `listener` that the process does not read.
/// Returns the size that the kernel has set, which may be another one.
pub fn limit_receive_buffer(listener: &impl AsFd) -> usize {
    let socket = SockRef::from(listener);
    let set = socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES);
    match set.and_then(|()| socket.recv_buffer_size()) {
        Ok(bytes) => bytes.clamp(RECEIVE_BUFFER_BYTES, MAX_RECEIVE_BUFFER_BYTES),
        Err(error) => {
            log::warn!(event = "receive_buffer_unlimited"; "{error}");
            MAX_RECEIVE_BUFFER_BYTES
        }
    }
}

/// Closes connections without a response.
pub fn no_response(_: CloseReason) -> Option<Vec<u8>> {
    None
}

/// Accepts connections that the edge admits, and passes each to `serve_connection`, until `stop` is
/// cancelled. `respond` gives the response to a refused connection.
pub async fn accept(
    listener: TcpListener,
    edge: &Edge,
    stop: &CancellationToken,
    respond: impl Fn(CloseReason) -> Option<Vec<u8>>,
    mut serve_connection: impl FnMut(TcpStream, ConnectionHandle),
) {
    let mut checks = tokio::time::interval(OVERDUE_INTERVAL);
    checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            _ = checks.tick() => {
                edge.close_overdue();
                continue;
            }
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, addr)) => admit(stream, addr, edge, &respond, &mut serve_connection),
            Err(error) => {
                log::warn!(event = "accept_failed", edge = edge.name(); "{error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

fn admit(
    stream: TcpStream,
    addr: SocketAddr,
    edge: &Edge,
    respond: &impl Fn(CloseReason) -> Option<Vec<u8>>,
    serve_connection: &mut impl FnMut(TcpStream, ConnectionHandle),
) {
    let Some(connection) = edge.open(addr) else {
        // A refused connection costs one short write, but no task and no buffers.
        if let Some(response) = respond(CloseReason::NoRoom) {
            let _ = stream.try_write(&response);
        }
        return;
    };
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "connection_lost", edge = edge.name(); "{error}");
    }
    serve_connection(stream, connection);
}

/// Serves HTTP/1 until `stop.drain` is cancelled and the last exchange has ended, or until `stop.abort`
/// is cancelled.
///
/// `respond` gives the response with which a connection is refused or closed; a connection whose
/// request is being received or served is closed without one if it returns `None`.
pub async fn serve<H, F, B, R>(
    listener: TcpListener,
    edge: Edge,
    stop: Shutdown,
    respond: R,
    handler: H,
) where
    H: Fn(Request<Incoming>, ConnectionHandle) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Unpin + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn StdError + Send + Sync>>,
    R: Fn(CloseReason) -> Option<Vec<u8>> + Clone + Send + Sync + 'static,
{
    let spawn = |stream: TcpStream, connection: ConnectionHandle| {
        let (stop, respond, handler) = (stop.clone(), respond.clone(), handler.clone());
        stop.tasks.clone().spawn(serve_connection(stream, connection, stop, respond, handler));
    };
    accept(listener, &edge, &stop.drain, respond.clone(), spawn).await;
    stop.tasks.close();
    let check_timeouts = async {
        loop {
            tokio::time::sleep(OVERDUE_INTERVAL).await;
            edge.close_overdue();
        }
    };
    tokio::select! {
        () = stop.tasks.wait() => {}
        () = stop.abort.cancelled() => {}
        () = check_timeouts => {}
    }
}

async fn serve_connection<H, F, B, R>(
    stream: TcpStream,
    connection: ConnectionHandle,
    stop: Shutdown,
    respond: R,
    handler: H,
) where
    H: Fn(Request<Incoming>, ConnectionHandle) -> F + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Unpin + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn StdError + Send + Sync>>,
    R: Fn(CloseReason) -> Option<Vec<u8>>,
{
    let served = connection.clone();
    let service = service_fn(move |request| {
        served.serving();
        let connection = served.clone();
        let response = handler(request, served.clone());
        async move {
            let answer = |body| AnswerBody::new(body, connection);
            Ok::<_, std::convert::Infallible>(response.await.map(answer))
        }
    });
    let max_head_bytes = connection.edge().max_head_bytes();
    let io = TokioIo::new(EdgeStream::new(stream, connection.clone()));
    let mut exchange = Builder::new()
        .max_buf_size((max_head_bytes + EMPTY_LINES_BYTES).max(MIN_READ_BUFFER_BYTES))
        .max_header_size(max_head_bytes)
        .max_headers(MAX_HEADERS)
        .serve_connection(io, service);
    let mut is_draining = false;
    let ended = loop {
        tokio::select! {
            biased;
            () = stop.abort.cancelled() => return,
            reason = connection.closed() => {
                if let Some(response) = reason.and_then(&respond) {
                    let mut stream = exchange.into_parts().io.into_inner().into_stream();
                    let write = stream.write_all(&response);
                    let _ = tokio::time::timeout(RESPONSE_WRITE_TIMEOUT, write).await;
                }
                return;
            }
            () = stop.drain.cancelled(), if !is_draining => {
                is_draining = true;
                std::pin::Pin::new(&mut exchange).graceful_shutdown();
            }
            ended = &mut exchange => break ended,
        }
    };
    if ended.is_err_and(|error| error.is_parse_too_large()) {
        connection.edge().count(CloseReason::HeadTooLarge, connection.addr());
    }
}
