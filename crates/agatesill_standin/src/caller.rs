//! A caller: sends one request to a daemon and judges what comes back against its own identity.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use agatesill_wire::api::ErrorBody;
use agatesill_wire::prelude::*;
use agatesilld::relay::{
    ATTEMPT_HEADER, CALLER_HEADER, DEADLINE_HEADER, IDEMPOTENCY_HEADER, KEY_HEADER, SERVICE_HEADER,
};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

use crate::upstreams::REQUEST_ID_HEADER;

/// One request.
#[derive(Clone, Debug, Default)]
pub struct CallerRequest {
    /// Its identity, by which the upstreams keep books.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its caller.
    pub caller: String,
    /// The key that it is about.
    pub key: String,
    /// Its method.
    pub method: String,
    /// Its path.
    pub path: String,
    /// The caller's patience.
    pub deadline_ms: u64,
    /// Its body.
    pub body: String,
    /// Number of the attempt, sent with an idempotency key; 0 sends neither.
    pub attempt: u32,
    /// Idempotency key; empty takes the identity. Otherwise an answer may carry the identity of
    /// any attempt: the key, `#` and its number.
    pub idempotency_key: String,
}

/// What came back.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// A whole answer of the upstream: its status and body.
    Answer(u16, Bytes),
    /// An error body of the daemon.
    Failed(ErrorBody),
    /// No answer, or one that is visibly broken.
    Broken,
    /// Something that looks complete and is neither.
    Wrong(u16, Bytes),
}

impl CallOutcome {
    /// Whether a refusal says that the request was not run.
    pub fn says_not_run(&self) -> bool {
        matches!(self, CallOutcome::Failed(body) if body.was_run == WasRun::No)
    }
}

/// A caller that keeps its connections; clones share them.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Caller {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // Guards the books: the library would send a request again on a stale connection, and the
        // caller would take two requests for one.
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Self { client }
    }
}

type AnyError = Box<dyn std::error::Error + Send + Sync>;

impl Caller {
    /// Sends `ask` to the daemon at `entry`; waits a second longer than the deadline.
    pub async fn send(&self, entry: SocketAddr, ask: &CallerRequest) -> CallOutcome {
        let limit = Duration::from_millis(ask.deadline_ms + 1_000);
        match tokio::time::timeout(limit, self.exchange(entry, ask)).await {
            Ok(Ok((status, body))) => judge(ask, status, body),
            Ok(Err(_)) | Err(_) => CallOutcome::Broken,
        }
    }

    /// The same, with the time that it took in microseconds.
    pub async fn timed(&self, entry: SocketAddr, ask: &CallerRequest) -> (CallOutcome, u64) {
        let sent = Instant::now();
        let heard = self.send(entry, ask).await;
        (heard, sent.elapsed().as_micros() as u64)
    }

    async fn exchange(
        &self,
        entry: SocketAddr,
        ask: &CallerRequest,
    ) -> Result<(u16, Bytes), AnyError> {
        let mut request = Request::builder()
            .method(ask.method.as_str())
            .uri(format!("http://{entry}{}", ask.path))
            .header(SERVICE_HEADER, &ask.service)
            .header(CALLER_HEADER, &ask.caller)
            .header(KEY_HEADER, &ask.key)
            .header(DEADLINE_HEADER, ask.deadline_ms)
            .header(REQUEST_ID_HEADER, &ask.id);
        if ask.attempt > 0 {
            let key = if ask.idempotency_key.is_empty() { &ask.id } else { &ask.idempotency_key };
            request = request.header(IDEMPOTENCY_HEADER, key).header(ATTEMPT_HEADER, ask.attempt);
        }
        let request = request.body(Full::new(Bytes::from(ask.body.clone())))?;
        let answer = self.client.request(request).await?;
        let status = answer.status().as_u16();
        Ok((status, answer.into_body().collect().await?.to_bytes()))
    }
}

fn judge(ask: &CallerRequest, status: u16, body: Bytes) -> CallOutcome {
    if status >= 400
        && let Ok(error) = serde_json::from_slice(&body)
    {
        return CallOutcome::Failed(error);
    }
    let ids: Vec<String> = if ask.idempotency_key.is_empty() {
        vec![ask.id.clone()]
    } else {
        (1..=ask.attempt).map(|attempt| format!("{}#{attempt}", ask.idempotency_key)).collect()
    };
    let extra_bytes = ask.path.strip_prefix("/bytes/").and_then(|text| text.parse().ok());
    let is_own = ids.iter().any(|id| {
        let start = format!("{id}:{}", ask.body);
        body.len() == start.len() + extra_bytes.unwrap_or(0) && body.starts_with(start.as_bytes())
    });
    if is_own {
        return CallOutcome::Answer(status, body);
    }
    CallOutcome::Wrong(status, body)
}
