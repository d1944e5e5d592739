//! The entry for callers: one task for each connection, each within limits.

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

use super::body::AnswerBody;
use super::guarded_io::GuardedIo;
use crate::settings::EntrySettings;
use crate::shared::Shared;

/// Largest head of a request; hyper's own least value is 8 KB.
const MAX_HEAD_BYTES: usize = 32 << 10;

/// Most header lines of a request.
const MAX_HEADERS: usize = 100;

/// Pause after an accept that failed, as when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a connection beyond the limit may take to read its refusal.
const REFUSAL_LIMIT: Duration = Duration::from_millis(100);

/// When a connection beyond the limit may come back.
const REFUSED_RETRY_AFTER_MS: u32 = 1_000;

/// Tokens and trackers of the entry.
#[derive(Clone, Debug)]
pub struct EntryStop {
    /// Closes the listener and, after the exchange in flight, every connection.
    pub drain: CancellationToken,
    /// Cuts off what is still in flight.
    pub cut: CancellationToken,
    /// Connections and exchanges that outlive their connection.
    pub tasks: TaskTracker,
}

/// Serves callers until `stop.drain` is cancelled and the last exchange has ended.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: EntrySettings,
    stop: EntryStop,
    shared: Shared,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let room = Arc::new(Semaphore::new(limits.max_connections));
    loop {
        let accepted = tokio::select! {
            () = stop.drain.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        let stream = match accepted {
            Ok((stream, _)) => stream,
            Err(error) => {
                log::warn!(event = "accept_failed"; "{error}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(permit) = room.clone().try_acquire_owned() else {
            shared.counters().connections_refused.add();
            refuse(&stream);
            continue;
        };
        let connection =
            connection(stream, limits.clone(), stop.clone(), shared.clone(), handler.clone());
        stop.tasks.spawn(async move {
            connection.await;
            drop(permit);
        });
    }
    drop(listener);
    stop.tasks.close();
    tokio::select! {
        () = stop.tasks.wait() => {}
        () = stop.cut.cancelled() => {}
    }
}

/// Guards against many idle connections: beyond the limit a connection costs one short write, no
/// task and no buffers; it shows as 503 `overloaded`.
fn refuse(stream: &TcpStream) {
    let error = Error::new(ErrorKind::Overloaded, "entry.max_connections reached")
        .retry_after(REFUSED_RETRY_AFTER_MS);
    let _ = stream.try_write(&raw_answer("503 Service Unavailable", &error));
}

fn raw_answer(status: &str, error: &Error) -> Vec<u8> {
    let body = serde_json::to_string(&ErrorBody::from(error)).unwrap_or_default();
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\ncontent-type: application/json\r\ncontent-length: {length}\r\n\
         connection: close\r\n\r\n{body}"
    )
    .into_bytes()
}

async fn connection<H, F>(
    stream: TcpStream,
    limits: EntrySettings,
    stop: EntryStop,
    shared: Shared,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Send + 'static,
    F: Future<Output = Response<AnswerBody>> + Send + 'static,
{
    let _ = stream.set_nodelay(true);
    let io = GuardedIo::new(stream, Duration::from_millis(limits.stall_ms));
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, std::convert::Infallible>(answer.await) }
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
            () = stop.cut.cancelled() => return,
        }
    };
    if ended.is_err_and(|error| error.is_timeout()) {
        shared.counters().heads_timed_out.add();
        let what = format!("no whole head within {} ms", limits.head_ms);
        let answer = raw_answer("408 Request Timeout", &Error::new(ErrorKind::CallerTimeout, what));
        let mut stream = connection.into_parts().io.into_inner().into_stream();
        let _ = tokio::time::timeout(REFUSAL_LIMIT, stream.write_all(&answer)).await;
    }
}
