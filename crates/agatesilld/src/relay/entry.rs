//! Listener for callers: the limits of the settings, and the responses to callers that exceed them.

use std::future::Future;
use std::time::Duration;

use agatesill_policy::connections::{CloseReason, ListenerShare};
use agatesill_wire::api::ErrorBody;
use agatesill_wire::listener::{self, Edge, EdgeLimits, Shutdown};
use agatesill_wire::prelude::*;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::net::TcpListener;

use super::body::ResponseBody;
use crate::settings::EntrySettings;
use crate::shared::Shared;

/// Memory of the entry for each connection that the settings allow. Connections with large heads share
/// what idle ones do not need.
const BYTES_PER_CONNECTION: u64 = 80 << 10;

/// How far behind a connection must be before it is closed for another one. Until then, callers beyond
/// the limit are refused.
const MIN_BEHIND: Duration = Duration::from_secs(1);

/// Retry-After of a connection refused because of the connection limit.
const REFUSED_RETRY_AFTER_MS: u32 = 1_000;

/// Serves callers until `stop.drain` is cancelled and the last exchange has ended, or until
/// `stop.abort` is cancelled.
pub async fn serve<H, F>(
    listener: TcpListener,
    limits: &EntrySettings,
    stop: Shutdown,
    shared: Shared,
    handler: H,
) where
    H: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<ResponseBody>> + Send + 'static,
{
    let head_timeout = Duration::from_millis(limits.head_ms);
    let edge_limits = EdgeLimits {
        min_behind: MIN_BEHIND,
        head_timeout,
        idle_timeout: Some(head_timeout),
        stall_timeout: Duration::from_millis(limits.stall_ms),
        ..EdgeLimits::default()
    };
    let share = ListenerShare {
        connections: limits.max_connections,
        bytes: limits.max_connections as u64 * BYTES_PER_CONNECTION,
    };
    let head_ms = limits.head_ms;
    let respond = move |reason| refusal(reason, head_ms, &shared);
    let edge = Edge::new("entry", edge_limits, share);
    let handler = move |request, _| handler(request);
    listener::serve(listener, edge, stop, respond, handler).await;
}

/// The response to a connection that is refused or closed.
fn refusal(reason: CloseReason, head_ms: u64, shared: &Shared) -> Option<Vec<u8>> {
    match reason {
        CloseReason::NoRoom => {
            shared.counters().connections_refused.add();
            let error = Error::new(ErrorKind::Overloaded, "entry.max_connections reached")
                .retry_after(REFUSED_RETRY_AFTER_MS);
            Some(raw_response("503 Service Unavailable", &error))
        }
        CloseReason::HeadTimeout | CloseReason::IdleTimeout => {
            shared.counters().heads_timed_out.add();
            let message = format!("request head incomplete after {head_ms} ms");
            let error = Error::new(ErrorKind::CallerTimeout, message);
            Some(raw_response("408 Request Timeout", &error))
        }
        CloseReason::Behind
        | CloseReason::BodyTimeout
        | CloseReason::StallTimeout
        | CloseReason::HeadTooLarge => None,
    }
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
