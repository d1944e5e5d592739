//! Reverse proxy: accepts HTTP requests from callers and forwards them to upstreams.
//!
//! `entry` accepts connections and enforces the limits on callers, `call` parses the request head,
//! `at_most_once` ensures that a non-repeatable request runs at most once, `attempts` sends a
//! request until it is answered or given up, `exchange` performs one exchange with one upstream,
//! and `upstream` holds the connection pool.

mod at_most_once;
mod attempts;
mod body;
mod call;
mod entry;
mod exchange;
mod lookup;
pub mod record;
mod response;
mod upstream;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use agatesill_policy::prelude::*;
use agatesill_wire::api::ErrorBody;
use agatesill_wire::listener::Shutdown;
use agatesill_wire::prelude::*;
use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::decide::Decider;
use crate::metrics::Metrics;
use crate::settings::{EntrySettings, Settings};
use crate::shared::Shared;
pub use lookup::answer_lookup;

use body::{BodyLimits, RequestBody, ResponseBody};
use call::Call;
use lookup::RecordLookup;
use upstream::ConnectionPool;

/// Header that names the service.
pub const SERVICE_HEADER: &str = "x-agatesill-service";

/// Header that names the caller.
pub const CALLER_HEADER: &str = "x-agatesill-caller";

/// Header that carries the application key that the request accesses.
pub const KEY_HEADER: &str = "x-agatesill-key";

/// Header that carries the caller's timeout, in milliseconds.
pub const DEADLINE_HEADER: &str = "x-agatesill-deadline-ms";

/// Header that identifies a non-repeatable request across all its attempts.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Header that carries the number of the attempt, 1 for the first.
pub const ATTEMPT_HEADER: &str = "x-agatesill-attempt";

/// Header that identifies a request in logs; generated if the caller sends none.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Interval between two updates of this daemon's share of the upstream connections.
const SHARE_UPDATE_INTERVAL: Duration = Duration::from_millis(500);

/// How long the number of live peers must stay lower before this daemon takes over their share:
/// several times the duration of a paused process or a lost peer connection.
const SHARE_GROWTH_DELAY: Duration = Duration::from_secs(30);

/// Handles requests from callers; clones share one state.
#[derive(Clone, Debug)]
pub struct Relay {
    instance: Arc<str>,
    limits: EntrySettings,
    decider: Decider,
    shared: Shared,
    metrics: Metrics,
    addrs: Arc<HashMap<String, HashMap<UpstreamId, SocketAddr>>>,
    connections: ConnectionPool,
    lookup: RecordLookup,
    tickets: Arc<AtomicU64>,
    tasks: TaskTracker,
    settle_timeout: Duration,
    members: usize,
}

impl Relay {
    /// Creates a relay to the upstream pools of `settings`.
    pub fn new(settings: &Settings, decider: Decider, shared: Shared, metrics: Metrics) -> Self {
        let pool = |pool: &Vec<crate::settings::UpstreamSettings>| {
            pool.iter().map(|upstream| (upstream.id, upstream.addr)).collect()
        };
        let addrs = settings
            .pools
            .iter()
            .map(|(name, upstreams)| (name.clone(), pool(upstreams)))
            .collect();
        let connect_timeout = Duration::from_millis(settings.upstreams.connect_ms);
        Self {
            instance: settings.instance.as_str().into(),
            limits: settings.entry.clone(),
            decider,
            shared,
            metrics,
            addrs: Arc::new(addrs),
            connections: ConnectionPool::new(settings.upstreams.connections, connect_timeout),
            lookup: RecordLookup::new(settings),
            tickets: Arc::new(AtomicU64::new(1)),
            tasks: TaskTracker::new(),
            settle_timeout: Duration::from_millis(settings.records.settle_ms),
            members: settings.peers.members.len(),
        }
    }

    /// Serves callers until `drain` is cancelled and the last exchange has ended, or until `abort`
    /// is cancelled.
    pub async fn run(
        self,
        listener: TcpListener,
        drain: CancellationToken,
        abort: CancellationToken,
    ) {
        let stop = Shutdown { drain, abort: abort.clone(), tasks: self.tasks.clone() };
        let sharing = self.clone().share_connections(abort);
        let limits = self.limits.clone();
        let shared = self.shared.clone();
        let serving = entry::serve(listener, &limits, stop, shared, move |request| {
            let relay = self.clone();
            async move { relay.handle(request).await }
        });
        tokio::select! { () = serving => {}, () = sharing => {} }
    }

    /// Adapts this daemon's share of the upstream connections to the number of live daemons.
    ///
    /// Prevents the daemons from opening more connections than an upstream accepts, which would
    /// result in refused or slow connections. A peer whose heartbeats are missing may merely be
    /// paused or partitioned, and still holds its connections. The share therefore shrinks
    /// immediately and grows only after [`SHARE_GROWTH_DELAY`]; after a start all members count as
    /// live for that time.
    async fn share_connections(self, abort: CancellationToken) {
        let (mut assumed_peers, mut updated_at) = (self.members, Instant::now());
        while !abort.is_cancelled() {
            let heard = self.shared.peers().len();
            if heard >= assumed_peers || updated_at.elapsed() > SHARE_GROWTH_DELAY {
                (assumed_peers, updated_at) = (heard, Instant::now());
            }
            self.connections.share_among(assumed_peers + 1);
            self.metrics.set_connections(self.connections.open() as u64);
            tokio::time::sleep(SHARE_UPDATE_INTERVAL).await;
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<ResponseBody> {
        let arrived_us = self.decider.now_us();
        let call = match self.parse_call(&request, arrived_us) {
            Ok(call) => Arc::new(call),
            Err(error) => return error_response(&error),
        };
        let response = self.serve(&call, request).await;
        self.count(&call, &response, self.decider.now_us() - arrived_us);
        response.unwrap_or_else(|error| error_response(&error))
    }

    async fn serve(
        &self,
        call: &Arc<Call>,
        request: Request<Incoming>,
    ) -> Result<Response<ResponseBody>, Error> {
        let (parts, body) = request.into_parts();
        let limits = BodyLimits {
            max_bytes: self.limits.max_body_bytes,
            buffer_bytes: self.limits.buffer_bytes,
            read_timeout: Duration::from_millis(self.limits.body_ms),
        };
        let body = RequestBody::read(body, limits, call.deadline).await?;
        if call.head.repeatable {
            self.attempts(call, &parts, body, call.deadline, None).await
        } else {
            self.run_at_most_once(call, parts, body).await
        }
    }

    fn count(&self, call: &Call, response: &Result<Response<ResponseBody>, Error>, took_us: u64) {
        let outcome = match response {
            Ok(_) => "answered",
            Err(error) => error.kind.row().name,
        };
        self.metrics.request(&call.service, outcome, took_us as f64 / 1e6);
        let mut services = self.shared.services();
        let Some(counts) = services.get_mut(&call.service) else { return };
        counts.requests += 1;
        match response {
            Ok(_) => counts.answered += 1,
            Err(_) => counts.refused += 1,
        }
        if response.is_ok() && took_us > u64::from(call.promise_ms) * 1_000 {
            counts.late += 1;
        }
    }
}

fn error_response(error: &Error) -> Response<ResponseBody> {
    let body = serde_json::to_vec(&ErrorBody::from(error)).unwrap_or_default();
    let mut response = Response::new(ResponseBody::Buffered(Bytes::from(body)));
    *response.status_mut() =
        StatusCode::from_u16(error.kind.row().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if error.retry_after_ms > 0 {
        let seconds = u64::from(error.retry_after_ms).div_ceil(1_000);
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
