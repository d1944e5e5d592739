//! Listener for callers: serves each connection in a task of its own and enforces limits on it.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use agatesill_wire::api::ErrorBody;
use agatesill_wire::prelude::*;
use hyper::body::Incoming;
use hyper::server::conn::http1::Builder;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::body::ResponseBody;
use super::write_timeout::WriteTimeoutStream;
use crate::settings::EntrySettings;
use crate::shared::Shared;

/// Maximum size of a request head; hyper requires at least 8 KB.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Maximum number of header lines of a request.
const MAX_HEADERS: usize = 100;

/// Delay after a failed `accept`, for example when file descriptors are exhausted.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

/// Timeout for writing the response to a caller whose request head timed out.
const RESPONSE_WRITE_TIMEOUT: Duration = Duration::from_millis(100);

/// Retry-After of a connection refused because of the connection limit.
const REFUSED_RETRY_AFTER_MS: u32 = 1_000;

/// Cancellation tokens and task tracker of the listener.
#[derive(Clone, Debug)]
pub struct EntryShutdown {
    /// Closes the listener, and each connection after its exchange in flight.
    pub drain: CancellationToken,
    /// Aborts the exchanges still in flight.
    pub abort: CancellationToken,
    /// Tasks of connections, and of exchanges that outlive their connection.
    pub tasks: TaskTracker,
}

/// Serves callers until `stop.drain` is cancelled and the last exchange has ended, or until
/// `stop.abort` is cancelled.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: EntrySettings,
    stop: EntryShutdown,
    shared: Shared,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let accepted = tokio::select! {
            () = stop.drain.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(event = "accept_failed"; "{error}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
                continue;
            }
        };
        let Ok(permit) = permits.clone().try_acquire_owned() else {
            shared.counters().connections_refused.add();
            refuse(&stream);
            continue;
        };
        let connection =
            serve_connection(stream, limits.clone(), stop.clone(), shared.clone(), handler.clone());
        stop.tasks.spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    drop(listener);
    stop.tasks.close();
    tokio::select! {
        () = stop.tasks.wait() => {}
        () = stop.abort.cancelled() => {}
    }
}

/// Refuses a connection beyond the limit with a 503 `overloaded` response.
///
/// Such a connection costs one short write but no task and no buffers, so that large numbers of
/// idle connections do not exhaust memory.
fn refuse(stream: &TcpStream) {
    let error = Error::new(ErrorKind::Overloaded, "entry.max_connections reached")
        .retry_after(REFUSED_RETRY_AFTER_MS);
    let _ = stream.try_write(&raw_response("503 Service Unavailable", &error));
}

fn raw_response(status: &str, error: &Error) -> Vec<u8> {
    let body = serde_json::to_string(&ErrorBody::from(error)).unwrap_or_default();
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\
         connection: close\r\n\r\n{body}"
    )
    .into_bytes()
}

async fn serve_connection<H, F>(
    stream: TcpStream,
    limits: EntrySettings,
    stop: EntryShutdown,
    shared: Shared,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let io = WriteTimeoutStream::new(stream, Duration::from_millis(limits.stall_ms));
    let service = service_fn(move |request| {
        let response = handler(request);
        async move { Ok::<_, std::convert::Infallible>(response.await) }
    });
    let mut connection = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(Duration::from_millis(limits.head_ms))
        .max_buf_size(MAX_HEAD_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(io), service);
    let mut is_draining = false;
    let ended = loop {
        tokio::select! {
            ended = &mut connection => break ended,
            () = stop.drain.cancelled(), if !is_draining => {
                is_draining = true;
                std::pin::Pin::new(&mut connection).graceful_shutdown();
            }
            () = stop.abort.cancelled() => return,
        }
    };
    if ended.is_err_and(|error| error.is_timeout()) {
        shared.counters().heads_timed_out.add();
        let message = format!("request head incomplete after {} ms", limits.head_ms);
        let response =
            raw_response("408 Request Timeout", &Error::new(ErrorKind::CallerTimeout, message));
        let mut stream = connection.into_parts().io.into_inner().into_stream();
        let _ = tokio::time::timeout(RESPONSE_WRITE_TIMEOUT, stream.write_all(&response)).await;
    }
}
