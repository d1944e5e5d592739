//! Accepting and relaying: HTTP from callers in, HTTP to upstreams out.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use agatesill_policy::prelude::*;
use agatesill_wire::http::{respond, serve};
use agatesill_wire::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::oneshot;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::decide::{DecideEvent, Decider};
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::shared::Shared;

/// Header that names the service.
pub const SERVICE_HEADER: &str = "x-agatesill-service";

/// Header that names the caller.
pub const CALLER_HEADER: &str = "x-agatesill-caller";

/// Header that carries the key that the request is about.
pub const KEY_HEADER: &str = "x-agatesill-key";

/// Header that carries the caller's patience.
pub const DEADLINE_HEADER: &str = "x-agatesill-deadline-ms";

/// Largest body either way.
const MAX_BODY_BYTES: usize = 8 << 20;

/// Patience of a caller that states none.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// How long a connection to an upstream may take to open.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

type Connection = SendRequest<Full<Bytes>>;

/// The relaying duty; clones share one state.
#[derive(Clone, Debug)]
pub struct Relay {
    decider: Decider,
    shared: Shared,
    metrics: Metrics,
    addrs: Arc<HashMap<(String, UpstreamId), SocketAddr>>,
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Connection>>>>,
    tickets: Arc<AtomicU64>,
}

struct Arrival {
    service: String,
    pool: String,
    promise_ms: u32,
    head: RequestHead,
}

impl Relay {
    /// Prepares to relay to the pools of `settings`.
    pub fn new(settings: &Settings, decider: Decider, shared: Shared, metrics: Metrics) -> Self {
        let addrs = settings
            .pools
            .iter()
            .flat_map(|(pool, upstreams)| {
                upstreams.iter().map(move |one| ((pool.clone(), one.id), one.addr))
            })
            .collect();
        Self {
            decider,
            shared,
            metrics,
            addrs: Arc::new(addrs),
            idle: Arc::default(),
            tickets: Arc::new(AtomicU64::new(1)),
        }
    }

    /// Serves callers until `stop` is cancelled.
    pub async fn run(self, listener: TcpListener, stop: CancellationToken) {
        serve(listener, stop, move |request| {
            let relay = self.clone();
            async move { relay.handle(request).await }
        })
        .await;
    }

    async fn handle(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let arrived_us = self.decider.now_us();
        let arrival = match self.arrival(&request, arrived_us) {
            Ok(arrival) => arrival,
            Err(error) => return respond::<()>(Err(error)),
        };
        let answer = self.exchange(&arrival, request).await;
        let took_us = self.decider.now_us() - arrived_us;
        self.count(&arrival, &answer, took_us);
        answer.unwrap_or_else(|error| respond::<()>(Err(error)))
    }

    fn arrival(&self, request: &Request<Incoming>, now_us: u64) -> Result<Arrival, Error> {
        let header = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
        };
        let config = self.shared.config();
        let name = header(SERVICE_HEADER);
        let service = config.doc.services.get(name).ok_or_else(|| {
            Error::new(ErrorKind::NotFound, format!("{SERVICE_HEADER}: no service {name:?}"))
        })?;
        let profile = config.doc.profiles.get(&service.profile);
        let deadline_ms = match header(DEADLINE_HEADER) {
            "" => DEFAULT_DEADLINE_MS,
            text => text.parse().map_err(|_| {
                Error::new(ErrorKind::BadRequest, format!("{DEADLINE_HEADER}: {text:?}"))
            })?,
        };
        let call = format!("{} {}", request.method(), request.uri().path());
        let repeatable = !service.non_repeatable.iter().any(|start| call.starts_with(start));
        Ok(Arrival {
            service: name.to_owned(),
            pool: service.pool.clone(),
            promise_ms: profile.map_or(0, |profile| profile.answer_ms),
            head: RequestHead {
                ticket: self.tickets.fetch_add(1, Ordering::Relaxed),
                service: 0,
                caller: xxh3_64(header(CALLER_HEADER).as_bytes()),
                key: xxh3_64(header(KEY_HEADER).as_bytes()),
                deadline_us: now_us + deadline_ms * 1_000,
                repeatable,
            },
        })
    }

    async fn exchange(
        &self,
        arrival: &Arrival,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Error> {
        let (parts, body) = request.into_parts();
        let body = Limited::new(body, MAX_BODY_BYTES)
            .collect()
            .await
            .map_err(|error| Error::new(ErrorKind::TooLarge, error.to_string()))?
            .to_bytes();
        let (verdict, decided) = oneshot::channel();
        self.decider.offer(DecideEvent::Arrive {
            service: arrival.service.clone(),
            head: arrival.head.clone(),
            verdict,
        })?;
        let upstream =
            decided.await.map_err(|_| Error::new(ErrorKind::Stopping, "deciding thread"))??;
        let (outcome, answer) = self.send(arrival, upstream, parts, body).await;
        self.decider.deliver(DecideEvent::Finish {
            service: arrival.service.clone(),
            ticket: arrival.head.ticket,
            outcome,
        });
        answer
    }

    async fn send(
        &self,
        arrival: &Arrival,
        upstream: UpstreamId,
        parts: hyper::http::request::Parts,
        body: Bytes,
    ) -> (Outcome, Result<Response<Full<Bytes>>, Error>) {
        let Some(addr) = self.addrs.get(&(arrival.pool.clone(), upstream)).copied() else {
            let error = Error::new(ErrorKind::NoUpstream, format!("upstream {upstream}"));
            return (Outcome::NotSent, Err(error));
        };
        let mut connection = match self.connection(addr).await {
            Ok(connection) => connection,
            Err(error) => return (Outcome::NotSent, Err(error)),
        };
        let request = Request::from_parts(parts, Full::new(body));
        let left_us = arrival.head.deadline_us.saturating_sub(self.decider.now_us());
        let exchange = whole_answer(&mut connection, request);
        match tokio::time::timeout(Duration::from_micros(left_us), exchange).await {
            Ok(Ok(answer)) => {
                self.keep(addr, connection);
                (Outcome::Answered, Ok(answer))
            }
            Ok(Err(error)) => (Outcome::Broken, Err(broken(arrival, &error.to_string()))),
            Err(_) => (Outcome::Abandoned, Err(broken(arrival, "no answer before the deadline"))),
        }
    }

    /// Guards against an answer reaching another caller: a connection is kept only after a whole
    /// exchange, so no late answer can be pending on it.
    fn keep(&self, addr: SocketAddr, connection: Connection) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        idle.entry(addr).or_default().push(connection);
    }

    async fn connection(&self, addr: SocketAddr) -> Result<Connection, Error> {
        loop {
            let kept = {
                let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
                idle.get_mut(&addr).and_then(Vec::pop)
            };
            match kept {
                Some(connection) if connection.is_closed() => {}
                Some(connection) => return Ok(connection),
                None => break,
            }
        }
        let refused = |what: &dyn std::fmt::Display| {
            Error::new(ErrorKind::NoUpstream, format!("{addr}: {what}")).retry_after(100)
        };
        let stream = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(addr))
            .await
            .map_err(|_| refused(&"no connection in time"))?
            .map_err(|error| refused(&error))?;
        let _ = stream.set_nodelay(true);
        let (sender, connection) =
            handshake(TokioIo::new(stream)).await.map_err(|error| refused(&error))?;
        tokio::spawn(connection);
        Ok(sender)
    }

    fn count(
        &self,
        arrival: &Arrival,
        answer: &Result<Response<Full<Bytes>>, Error>,
        took_us: u64,
    ) {
        let outcome = match answer {
            Ok(_) => "answered",
            Err(error) => error.kind.row().name,
        };
        self.metrics.request(&arrival.service, outcome, took_us as f64 / 1e6);
        let mut services = self.shared.services();
        let Some(counts) = services.get_mut(&arrival.service) else { return };
        counts.requests += 1;
        match answer {
            Ok(_) => counts.answered += 1,
            Err(_) => counts.refused += 1,
        }
        if answer.is_ok() && took_us > u64::from(arrival.promise_ms) * 1_000 {
            counts.late += 1;
        }
    }
}

fn broken(arrival: &Arrival, what: &str) -> Error {
    let kind =
        if arrival.head.repeatable { ErrorKind::UpstreamFailed } else { ErrorKind::OutcomeUnknown };
    Error::new(kind, what)
}

async fn whole_answer(
    connection: &mut Connection,
    request: Request<Full<Bytes>>,
) -> Result<Response<Full<Bytes>>, Box<dyn std::error::Error + Send + Sync>> {
    connection.ready().await?;
    let (parts, body) = connection.send_request(request).await?.into_parts();
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await?.to_bytes();
    Ok(Response::from_parts(parts, Full::new(body)))
}
