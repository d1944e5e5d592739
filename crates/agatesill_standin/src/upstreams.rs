//! Upstreams: a number of slots, a service time, and books of every request that really ran.
//!
//! Every answer begins with the identity that the caller gave and ends with the request's body, so
//! that a caller can tell its own whole answer from another's or a short one. `GET /bytes/N` is
//! answered by N more bytes in pieces.

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

/// Header by which callers name a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Size of a piece of a long answer.
const PIECE_BYTES: usize = 16 << 10;

value_type! {
    /// Behaviour of one upstream, switchable while it runs.
    #[serde(default, deny_unknown_fields)]
    pub struct UpstreamFaults {
        /// Median service time.
        pub service_us: u64,
        /// Every service time is multiplied by this.
        pub slowness: u32,
        /// Share of requests that are run and then cut off mid-answer, in percent.
        pub die_mid_answer_percent: u32,
        /// Share of requests that are run and whose connection is then closed without an answer,
        /// in percent.
        pub lose_answer_percent: u32,
        /// Requests are refused as not run, with the kind `stopping`.
        pub leaving: bool,
        /// Requests are refused as not run, with the kind `overloaded`.
        pub overloaded: bool,
        /// Every answer asks to close the connection.
        pub close_connections: bool,
        /// Answers have neither a length nor chunks.
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
    /// What really happened on one upstream.
    #[derive(Default)]
    pub struct UpstreamAudit {
        /// Requests that ran, by the identity that the caller gave them.
        pub ran: BTreeMap<String, u32>,
        /// Most requests at once.
        pub most_at_once: u32,
        /// Requests refused as not run.
        pub refused: u64,
        /// Connections open now.
        pub connections: u32,
        /// Most connections at once.
        pub most_connections: u32,
        /// Requests whose caller went away before the end.
        pub cancelled: u64,
    }
}

#[derive(Debug)]
struct State {
    faults: UpstreamFaults,
    books: UpstreamAudit,
    at_once: u32,
    keeps_books: bool,
}

/// One upstream; clones share one state.
#[derive(Clone, Debug)]
pub struct UpstreamStandin {
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
}

/// Body of an answer, cut off where the fault says so.
enum AnswerBody {
    Pieces { left: Bytes, dies_at: Option<usize> },
    Dead,
}

/// How an answer ends that was meant to be cut off.
type Cut = std::io::Error;

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let body = self.get_mut();
        let Self::Pieces { left, dies_at } = body else {
            return Poll::Ready(Some(Err(Cut::other("cut"))));
        };
        if left.is_empty() {
            return Poll::Ready(None);
        }
        let piece = left.split_to(left.len().min(dies_at.unwrap_or(PIECE_BYTES)).min(PIECE_BYTES));
        if dies_at.is_some() {
            *body = Self::Dead;
        }
        Poll::Ready(Some(Ok(Frame::data(piece))))
    }
}

/// Counts a request as running until it is dropped, also when its caller goes away.
struct Running {
    upstream: UpstreamStandin,
    is_done: bool,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.upstream.lock();
        state.at_once -= 1;
        state.books.cancelled += u64::from(!self.is_done);
    }
}

impl UpstreamStandin {
    /// An upstream with this many slots.
    pub fn new(slots: usize, faults: UpstreamFaults) -> Self {
        let state =
            State { faults, books: UpstreamAudit::default(), at_once: 0, keeps_books: true };
        Self { state: Arc::new(Mutex::new(state)), slots: Arc::new(Semaphore::new(slots)) }
    }

    /// Keeps no list of what ran any more, for long measurements.
    pub fn disable_request_audit(&self) {
        self.lock().keeps_books = false;
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
        self.connected(true);
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
        self.connected(false);
    }

    fn connected(&self, is_open: bool) {
        let mut state = self.lock();
        if is_open {
            state.books.connections += 1;
        } else {
            state.books.connections -= 1;
        }
        state.books.most_connections = state.books.most_connections.max(state.books.connections);
    }

    /// Switches the behaviour.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        self.lock().faults = faults;
    }

    /// What really happened so far.
    pub fn audit(&self) -> UpstreamAudit {
        self.lock().books.clone()
    }

    /// An error closes the connection without an answer.
    async fn handle(&self, request: Request<Incoming>) -> Result<Response<AnswerBody>, Cut> {
        match request.uri().path() {
            "/admin/faults" => {
                let faults = read_json(request.into_body()).await;
                Ok(json(&faults.map(|faults| self.set_faults(faults))))
            }
            "/admin/books" => Ok(json(&Ok(self.audit()))),
            _ => self.answer(request).await,
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> Result<Response<AnswerBody>, Cut> {
        let name = request
            .headers()
            .get(REQUEST_ID_HEADER)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("unnamed")
            .to_owned();
        let faults = self.lock().faults.clone();
        if let Some(kind) = refusal(&faults) {
            self.lock().books.refused += 1;
            return Ok(json::<()>(&Err(Error::new(kind, "stand-in").retry_after(100))));
        }
        let Ok(_slot) = self.slots.acquire().await else { return Err(Cut::other("closed")) };
        let extra_bytes = request.uri().path().strip_prefix("/bytes/").map(str::parse::<usize>);
        let body = request.into_body().collect().await.map_err(Cut::other)?.to_bytes();
        let mut running = self.begin(&name);
        let (spread, die, lose) = {
            let mut rng = rand::rng();
            (rng.random_range(50..200), rng.random_range(0..100), rng.random_range(0..100))
        };
        let busy_us = faults.service_us * u64::from(faults.slowness) * spread / 100;
        if busy_us > 0 {
            tokio::time::sleep(Duration::from_micros(busy_us)).await;
        }
        running.is_done = true;
        if lose < faults.lose_answer_percent {
            return Err(Cut::other("answer lost"));
        }
        let mut answer = format!("{name}:").into_bytes();
        answer.extend_from_slice(&body);
        if let Some(Ok(extra_bytes)) = extra_bytes {
            answer.resize(answer.len() + extra_bytes, b'.');
        }
        Ok(dress(answer, die < faults.die_mid_answer_percent, &faults))
    }

    fn begin(&self, name: &str) -> Running {
        let mut state = self.lock();
        if state.keeps_books {
            *state.books.ran.entry(name.to_owned()).or_default() += 1;
        }
        state.at_once += 1;
        state.books.most_at_once = state.books.most_at_once.max(state.at_once);
        Running { upstream: self.clone(), is_done: false }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn refusal(faults: &UpstreamFaults) -> Option<ErrorKind> {
    if faults.leaving {
        return Some(ErrorKind::Stopping);
    }
    faults.overloaded.then_some(ErrorKind::Overloaded)
}

fn dress(answer: Vec<u8>, dies: bool, faults: &UpstreamFaults) -> Response<AnswerBody> {
    let (length, dies_at) = (answer.len(), dies.then_some(answer.len() / 2));
    let mut response = Response::new(AnswerBody::Pieces { left: Bytes::from(answer), dies_at });
    if !faults.no_length {
        response.headers_mut().insert(CONTENT_LENGTH, HeaderValue::from(length));
    }
    if faults.no_length {
        *response.version_mut() = hyper::Version::HTTP_10;
    }
    if faults.close_connections {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    response
}

fn json<T: serde::Serialize>(answer: &Result<T, Error>) -> Response<AnswerBody> {
    let (status, body) = match answer {
        Ok(value) => (200, serde_json::to_vec(value)),
        Err(error) => (error.kind.row().status, serde_json::to_vec(&ErrorBody::from(error))),
    };
    let body = body.unwrap_or_default();
    let mut response = dress(body, false, &UpstreamFaults::default());
    *response.status_mut() =
        StatusCode::from_u16(status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    response
}

/// Starts an upstream on a free loopback port.
pub async fn start_upstream(
    upstream: &UpstreamStandin,
    addr: SocketAddr,
    stop: &CancellationToken,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr).await?;
    let local = listener.local_addr()?;
    tokio::spawn(upstream.clone().run(listener, stop.clone()));
    Ok(local)
}
