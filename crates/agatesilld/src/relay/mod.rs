//! Accepting and relaying: HTTP from callers in, HTTP to upstreams out.
//!
//! `entry` keeps callers within limits, `call` reads what a request asks for, `once` guards
//! non-repeatable requests, `attempts` sends a request until it is answered or given up,
//! `exchange` talks to one upstream and `upstream` keeps the connections.

mod answer;
mod attempts;
mod body;
mod call;
mod entry;
mod exchange;
mod guarded_io;
mod lookup;
mod once;
pub mod record;
mod upstream;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use agatesill_policy::prelude::*;
use agatesill_wire::api::ErrorBody;
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

use body::{AnswerBody, BodyLimits, Intake};
use call::Call;
use lookup::Lookup;
use upstream::Connections;

/// Header that names the service.
pub const SERVICE_HEADER: &str = "x-agatesill-service";

/// Header that names the caller.
pub const CALLER_HEADER: &str = "x-agatesill-caller";

/// Header that carries the key that the request is about.
pub const KEY_HEADER: &str = "x-agatesill-key";

/// Header that carries the caller's patience.
pub const DEADLINE_HEADER: &str = "x-agatesill-deadline-ms";

/// Header that names a non-repeatable request over all its attempts.
pub const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Header that carries the number of the attempt, 1 for the first.
pub const ATTEMPT_HEADER: &str = "x-agatesill-attempt";

/// Header that names a request in logs; made up when the caller sends none.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Time between two looks at how many daemons share the connections.
const SHARE_INTERVAL: Duration = Duration::from_millis(500);

/// How long fewer daemons must be heard before this one takes over their share: several times what
/// a pause or a lost link lasts.
const GROW_AFTER: Duration = Duration::from_secs(30);

/// The relaying duty; clones share one state.
#[derive(Clone, Debug)]
pub struct Relay {
    instance: Arc<str>,
    limits: EntrySettings,
    decider: Decider,
    shared: Shared,
    metrics: Metrics,
    addrs: Arc<HashMap<String, HashMap<UpstreamId, SocketAddr>>>,
    connections: Connections,
    lookup: Lookup,
    tickets: Arc<AtomicU64>,
    tasks: TaskTracker,
    settle_limit: Duration,
    members: usize,
}

impl Relay {
    /// Prepares to relay to the pools of `settings`.
    pub fn new(settings: &Settings, decider: Decider, shared: Shared, metrics: Metrics) -> Self {
        let pool = |pool: &Vec<crate::settings::UpstreamSettings>| {
            pool.iter().map(|one| (one.id, one.addr)).collect()
        };
        let addrs = settings.pools.iter().map(|(name, one)| (name.clone(), pool(one))).collect();
        let connect_limit = Duration::from_millis(settings.upstreams.connect_ms);
        Self {
            instance: settings.instance.as_str().into(),
            limits: settings.entry.clone(),
            decider,
            shared,
            metrics,
            addrs: Arc::new(addrs),
            connections: Connections::new(settings.upstreams.connections, connect_limit),
            lookup: Lookup::new(settings),
            tickets: Arc::new(AtomicU64::new(1)),
            tasks: TaskTracker::new(),
            settle_limit: Duration::from_millis(settings.records.settle_ms),
            members: settings.peers.members.len(),
        }
    }

    /// Serves callers until `drain` is cancelled and the last exchange has ended, or until `cut`.
    pub async fn run(
        self,
        listener: TcpListener,
        drain: CancellationToken,
        cut: CancellationToken,
    ) {
        let stop = entry::EntryStop { drain, cut: cut.clone(), tasks: self.tasks.clone() };
        let sharing = self.clone().share_connections(cut);
        let limits = self.limits.clone();
        let shared = self.shared.clone();
        let serving = entry::serve(listener, limits, stop, shared, move |request| {
            let relay = self.clone();
            async move { relay.handle(request).await }
        });
        tokio::select! { () = serving => {}, () = sharing => {} }
    }

    /// Keeps this daemon's share of the connections in step with the daemons that live.
    ///
    /// Guards against more connections at an upstream than it takes, which it would show as
    /// refused or slow ones: a daemon that is not heard may only be paused or cut off, and keeps
    /// its connections. A share shrinks at once and grows only after [`GROW_AFTER`]; until peers
    /// could be heard, all members count as living.
    async fn share_connections(self, cut: CancellationToken) {
        let (mut others, mut since) = (self.members, Instant::now());
        while !cut.is_cancelled() {
            let heard = self.shared.peers().len();
            if heard >= others || since.elapsed() > GROW_AFTER {
                (others, since) = (heard, Instant::now());
            }
            self.connections.share_among(others + 1);
            self.metrics.set_connections(self.connections.open() as u64);
            tokio::time::sleep(SHARE_INTERVAL).await;
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<AnswerBody> {
        let arrived_us = self.decider.now_us();
        let call = match self.call(&request, arrived_us) {
            Ok(call) => Arc::new(call),
            Err(error) => return error_answer(&error),
        };
        let answer = self.serve(&call, request).await;
        self.count(&call, &answer, self.decider.now_us() - arrived_us);
        answer.unwrap_or_else(|error| error_answer(&error))
    }

    async fn serve(
        &self,
        call: &Arc<Call>,
        request: Request<Incoming>,
    ) -> Result<Response<AnswerBody>, Error> {
        let (parts, body) = request.into_parts();
        let limits = BodyLimits {
            max_bytes: self.limits.max_body_bytes,
            buffer_bytes: self.limits.buffer_bytes,
            time: Duration::from_millis(self.limits.body_ms),
        };
        let body = Intake::read(body, limits, call.deadline).await?;
        if call.head.repeatable {
            self.attempts(call, &parts, body, call.deadline, None).await
        } else {
            self.once(call, parts, body).await
        }
    }

    fn count(&self, call: &Call, answer: &Result<Response<AnswerBody>, Error>, took_us: u64) {
        let outcome = match answer {
            Ok(_) => "answered",
            Err(error) => error.kind.row().name,
        };
        self.metrics.request(&call.service, outcome, took_us as f64 / 1e6);
        let mut services = self.shared.services();
        let Some(counts) = services.get_mut(&call.service) else { return };
        counts.requests += 1;
        match answer {
            Ok(_) => counts.answered += 1,
            Err(_) => counts.refused += 1,
        }
        if answer.is_ok() && took_us > u64::from(call.promise_ms) * 1_000 {
            counts.late += 1;
        }
    }
}

fn error_answer(error: &Error) -> Response<AnswerBody> {
    let body = serde_json::to_vec(&ErrorBody::from(error)).unwrap_or_default();
    let mut answer = Response::new(AnswerBody::Whole(Bytes::from(body)));
    *answer.status_mut() =
        StatusCode::from_u16(error.kind.row().status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if error.retry_after_ms > 0 {
        let seconds = u64::from(error.retry_after_ms).div_ceil(1_000);
        answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    answer
}
