//! Stand-ins for upstreams: a number of slots, a service time, and an audit log of every request
//! that ran.
//!
//! Every response consists of the request id and the request body, so that a caller can tell its
//! own complete response from another caller's or a truncated one. `GET /bytes/N` appends N bytes,
//! sent in several frames.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};
use std::time::Duration;

use agatesill_policy::value_type;
use agatesill_wire::api::ErrorBody;
use agatesill_wire::http::read_json;
use agatesill_wire::prelude::*;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use rand::Rng;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

/// Header with the id that the caller assigned to the request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Largest frame of a response body.
const MAX_FRAME_BYTES: usize = 16 << 10;

value_type! {
    /// Behaviour of one upstream that can be switched at run time.
    #[serde(default, deny_unknown_fields)]
    pub struct UpstreamFaults {
        /// Service time; each request takes 50% to 200% of it.
        pub service_us: u64,
        /// Factor applied to every service time.
        pub slowness: u32,
        /// Share of requests that run and whose response is cut off halfway, in percent.
        pub die_mid_answer_percent: u32,
        /// Share of requests that run and whose connection is then closed without a response, in
        /// percent.
        pub lose_answer_percent: u32,
        /// Requests are refused as not run, with the error kind `stopping`.
        pub leaving: bool,
        /// Requests are refused as not run, with the error kind `overloaded`.
        pub overloaded: bool,
        /// Every response carries `Connection: close`.
        pub close_connections: bool,
        /// Responses have neither a `Content-Length` header nor chunked encoding.
        pub no_length: bool,
    }
}

impl Default for UpstreamFaults {
    fn default() -> Self {
        Self {
            service_us: 2_000,
            slowness: 1,
            die_mid_answer_percent: 0,
            lose_answer_percent: 0,
            leaving: false,
            overloaded: false,
            close_connections: false,
            no_length: false,
        }
    }
}

value_type! {
    /// Audit log of one upstream.
    #[derive(Default)]
    pub struct UpstreamAudit {
        /// Number of runs by request id.
        pub ran: BTreeMap<String, u32>,
        /// Highest number of concurrent requests.
        pub most_at_once: u32,
        /// Requests refused as not run.
        pub refused: u64,
        /// Currently open connections.
        pub connections: u32,
        /// Highest number of concurrent connections.
        pub most_connections: u32,
        /// Requests whose caller disconnected before they finished.
        pub cancelled: u64,
    }
}

#[derive(Debug)]
struct State {
    faults: UpstreamFaults,
    audit: UpstreamAudit,
    in_flight: u32,
    records_requests: bool,
}

/// One upstream. Clones share one state.
#[derive(Clone, Debug)]
pub struct UpstreamStandin {
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
}

/// Response body, optionally cut off after a number of bytes.
enum ResponseBody {
    Frames { remaining: Bytes, cut_at: Option<usize> },
    Dead,
}

/// Error that ends a response or a connection early.
type Cut = std::io::Error;

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let body = self.get_mut();
        let Self::Frames { remaining, cut_at } = body else {
            return Poll::Ready(Some(Err(Cut::other("response cut off by fault"))));
        };
        if remaining.is_empty() {
            return Poll::Ready(None);
        }
        let piece = remaining
            .split_to(remaining.len().min(cut_at.unwrap_or(MAX_FRAME_BYTES)).min(MAX_FRAME_BYTES));
        if cut_at.is_some() {
            *body = Self::Dead;
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }
}

/// Counts a request as running until dropped, which also covers callers that disconnect.
struct Running {
    upstream: UpstreamStandin,
    is_done: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.upstream.lock();
        state.in_flight -= 1;
        state.audit.cancelled += u64::from(!self.is_done);
    }
}

impl UpstreamStandin {
    /// Creates an upstream that runs at most `slots` requests concurrently.
    pub fn new(slots: usize, faults: UpstreamFaults) -> Self {
        let state =
            State { faults, audit: UpstreamAudit::default(), in_flight: 0, records_requests: true };
        Self { state: Arc::new(Mutex::new(state)), slots: Arc::new(Semaphore::new(slots)) }
    }

    /// Stops recording the ids of requests, to bound memory in long measurements.
    pub fn disable_request_audit(&self) {
        self.lock().records_requests = false;
    }

    /// Serves on `listener` until `stop` is cancelled.
    pub async fn run(self, listener: TcpListener, stop: CancellationToken) {
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            if let Ok((stream, _)) = accepted {
                tokio::spawn(self.clone().serve(stream, stop.clone()));
            }
        }
    }

    async fn serve(self, stream: TcpStream, stop: CancellationToken) {
        let _ = stream.set_nodelay(true);
        self.count_connection(true);
        let upstream = self.clone();
        let service = service_fn(move |request| {
            let upstream = upstream.clone();
            async move { upstream.handle(request).await }
        });
        let connection = http1::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::select! {
            _ = connection => {}
            () = stop.cancelled() => {}
        }
        self.count_connection(false);
    }

    fn count_connection(&self, is_open: bool) {
        let mut state = self.lock();
        if is_open {
            state.audit.connections += 1;
        } else {
            state.audit.connections -= 1;
        }
        state.audit.most_connections = state.audit.most_connections.max(state.audit.connections);
    }

    /// Replaces the active behaviour.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        self.lock().faults = faults;
    }

    /// Returns the audit log so far.
    pub fn audit(&self) -> UpstreamAudit {
        self.lock().audit.clone()
    }

    /// Serves one request. An error closes the connection without a response.
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<ResponseBody>, Cut> {
        match request.uri().path() {
            "/admin/faults" => {
                let faults = read_json(request.into_body()).await;
                Ok(json(&faults.map(|faults| self.set_faults(faults))))
            }
            "/admin/books" => Ok(json(&Ok(self.audit()))),
            _ => self.respond(request).await,
        }
    }

    async fn respond(&self, request: Request<Incoming>) -> Result<Response<ResponseBody>, Cut> {
        let name = request
            .headers()
            .get(REQUEST_ID_HEADER)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("unnamed")
            .to_owned();
        let faults = self.lock().faults.clone();
        if let Some(kind) = refusal_kind(&faults) {
            self.lock().audit.refused += 1;
            return Ok(json::<()>(&Err(Error::new(kind, "stand-in").retry_after(100))));
        }
        let Ok(_slot) = self.slots.acquire().await else { return Err(Cut::other("slots closed")) };
        let extra_bytes = request.uri().path().strip_prefix("/bytes/").map(str::parse::<usize>);
        let body = request.into_body().collect().await.map_err(Cut::other)?.to_bytes();
        let mut running = self.start_running(&name);
        let (service_time_percent, cut_draw, drop_draw) = {
            let mut rng = rand::rng();
            (rng.random_range(50..200), rng.random_range(0..100), rng.random_range(0..100))
        };
        let service_time_us =
            faults.service_us * u64::from(faults.slowness) * service_time_percent / 100;
        if service_time_us > 0 {
            tokio::time::sleep(Duration::from_micros(service_time_us)).await;
        }
        running.is_done = true;
        if drop_draw < faults.lose_answer_percent {
            return Err(Cut::other("response dropped by fault"));
        }
        let mut content = format!("{name}:").into_bytes();
        content.extend_from_slice(&body);
        if let Some(Ok(extra_bytes)) = extra_bytes {
            content.resize(content.len() + extra_bytes, b'.');
        }
        Ok(build_response(content, cut_draw < faults.die_mid_answer_percent, &faults))
    }

    fn start_running(&self, name: &str) -> Running {
        let mut state = self.lock();
        if state.records_requests {
            *state.audit.ran.entry(name.to_owned()).or_default() += 1;
        }
        state.in_flight += 1;
        state.audit.most_at_once = state.audit.most_at_once.max(state.in_flight);
        Running { upstream: self.clone(), is_done: false }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn refusal_kind(faults: &UpstreamFaults) -> Option<ErrorKind> {
    if faults.leaving {
        return Some(ErrorKind::Stopping);
    }
    faults.overloaded.then_some(ErrorKind::Overloaded)
}

fn build_response(
    content: Vec<u8>,
    is_cut_off: bool,
    faults: &UpstreamFaults,
) -> Response<ResponseBody> {
    let (length_bytes, cut_at) = (content.len(), is_cut_off.then_some(content.len() / 2));
    let mut response =
        Response::new(ResponseBody::Frames { remaining: Bytes::from(content), cut_at });
    if !faults.no_length {
        response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length_bytes));
    }
    if faults.no_length {
        *response.version_mut() = hyper::Version::HTTP_10;
    }
    if faults.close_connections {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn json<T: serde::Serialize>(result: &Result<T, Error>) -> Response<ResponseBody> {
    let (status, body) = match result {
        Ok(value) => (200, serde_json::to_vec(value)),
        Err(error) => (error.kind.row().status, serde_json::to_vec(&ErrorBody::from(error))),
    };
    let body = body.unwrap_or_default();
    let mut response = build_response(body, false, &UpstreamFaults::default());
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// Starts an upstream on `addr` and returns the bound address. Port 0 selects a free port.
pub async fn start_upstream(
    upstream: &UpstreamStandin,
    addr: SocketAddr,
    stop: &CancellationToken,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr).await?;
    let bound_addr = listener.local_addr()?;
    tokio::spawn(upstream.clone().run(listener, stop.clone()));
    Ok(bound_addr)
}
