//! Upstreams: a number of slots, a service time, and books of every request that really ran.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agatesill_policy::value_type;
use agatesill_wire::http::{respond, serve};
use agatesill_wire::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use rand::Rng;
use tokio::net::TcpListener;
use tokio::sync::Semaphore;
use tokio_util::sync::CancellationToken;

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
        /// Requests are refused as not run.
        pub leaving: bool,
    }
}

impl Default for UpstreamFaults {
    fn default() -> Self {
        Self { service_us: 2_000, slowness: 1, die_mid_answer_percent: 0, leaving: false }
    }
}

value_type! {
    /// What really happened on one upstream.
    #[derive(Default)]
    pub struct UpstreamBooks {
        /// Requests that ran, by the identity that the caller gave them.
        pub ran: BTreeMap<String, u32>,
        /// Most requests at once.
        pub most_at_once: u32,
        /// Requests refused because the slots were taken.
        pub refused: u64,
    }
}

#[derive(Debug)]
struct State {
    faults: UpstreamFaults,
    books: UpstreamBooks,
    at_once: u32,
}

/// One upstream; clones share one state.
#[derive(Clone, Debug)]
pub struct UpstreamStandin {
    state: Arc<Mutex<State>>,
    slots: Arc<Semaphore>,
}

/// Header by which callers name a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

impl UpstreamStandin {
    /// An upstream with this many slots.
    pub fn new(slots: usize, faults: UpstreamFaults) -> Self {
        let state = State { faults, books: UpstreamBooks::default(), at_once: 0 };
        Self { state: Arc::new(Mutex::new(state)), slots: Arc::new(Semaphore::new(slots)) }
    }

    /// Serves on `listener` until `stop` is cancelled.
    pub async fn run(self, listener: TcpListener, stop: CancellationToken) {
        serve(listener, stop, move |request| {
            let upstream = self.clone();
            async move { upstream.answer(request).await }
        })
        .await;
    }

    /// Switches the behaviour.
    pub fn set_faults(&self, faults: UpstreamFaults) {
        self.lock().faults = faults;
    }

    /// What really happened so far.
    pub fn books(&self) -> UpstreamBooks {
        self.lock().books.clone()
    }

    async fn answer(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let name = request
            .headers()
            .get(REQUEST_ID_HEADER)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("unnamed")
            .to_owned();
        let faults = self.lock().faults.clone();
        if faults.leaving {
            return respond::<()>(Err(Error::new(ErrorKind::Stopping, "leaving")));
        }
        let Ok(_slot) = self.slots.acquire().await else {
            return respond::<()>(Err(Error::new(ErrorKind::Overloaded, "closed")));
        };
        let body = match request.into_body().collect().await {
            Ok(body) => body.to_bytes(),
            Err(error) => {
                return respond::<()>(Err(Error::new(ErrorKind::BadRequest, error.to_string())));
            }
        };
        self.begin(&name);
        let spread = rand::rng().random_range(50..200);
        let busy_us = faults.service_us * u64::from(faults.slowness) * spread / 100;
        tokio::time::sleep(Duration::from_micros(busy_us)).await;
        self.lock().at_once -= 1;
        let mut answer = format!("{name}:").into_bytes();
        answer.extend_from_slice(&body);
        Response::new(Full::new(Bytes::from(answer)))
    }

    fn begin(&self, name: &str) {
        let mut state = self.lock();
        *state.books.ran.entry(name.to_owned()).or_default() += 1;
        state.at_once += 1;
        state.books.most_at_once = state.books.most_at_once.max(state.at_once);
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
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
