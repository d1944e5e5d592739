//! Test caller: sends a request to a daemon and checks that the response belongs to it.

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

/// A request to send.
#[derive(Clone, Debug, Default)]
pub struct CallerRequest {
    /// Request id, recorded in the audit logs of the upstreams.
    pub id: String,
    /// Target service.
    pub service: String,
    /// Name of the caller.
    pub caller: String,
    /// Key that the request concerns.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// HTTP path.
    pub path: String,
    /// Deadline of the request, relative to its start.
    pub deadline_ms: u64,
    /// Request body.
    pub body: String,
    /// Number of the attempt, sent with the idempotency key; 0 sends neither.
    pub attempt: u32,
    /// Idempotency key; if empty, the request id is used. Otherwise the response may carry the id
    /// of any attempt so far, formatted as the key, `#` and the attempt number.
    pub idempotency_key: String,
}

/// Outcome of a request as the caller received it.
#[derive(Clone, Debug, PartialEq)]
pub enum CallOutcome {
    /// Complete response of the upstream: status and body.
    Answer(u16, Bytes),
    /// Error response of the daemon.
    Failed(ErrorBody),
    /// No response, or one with a transport error.
    Broken,
    /// Well-formed response that belongs to another request or is truncated: status and body.
    Wrong(u16, Bytes),
}

impl CallOutcome {
    /// Whether the daemon reported that the request was not run.
    pub fn says_not_run(&self) -> bool {
        matches!(self, CallOutcome::Failed(body) if body.was_run == WasRun::No)
    }
}

/// Caller with persistent connections. Clones share them.
#[derive(Clone, Debug)]
pub struct Caller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Caller {
    fn default() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        // The library's own retry on a stale connection would send one request twice, which the
        // audit logs would show as a double run.
        let client =
            Client::builder(TokioExecutor::new()).retry_canceled_requests(false).build(connector);
        Self { client }
    }
}

type BoxError = Box<dyn std::error::Error + Send + Sync>;

impl Caller {
    /// Sends a request to the daemon at `entry`. Waits for one second beyond the deadline.
    pub async fn send(&self, entry: SocketAddr, spec: &CallerRequest) -> CallOutcome {
        let timeout = Duration::from_millis(spec.deadline_ms + 1_000);
        match tokio::time::timeout(timeout, self.exchange(entry, spec)).await {
            Ok(Ok((status, body))) => classify_response(spec, status, body),
            Ok(Err(_)) | Err(_) => CallOutcome::Broken,
        }
    }

    /// Like [`Self::send`], and also returns the elapsed time in microseconds.
    pub async fn timed(&self, entry: SocketAddr, spec: &CallerRequest) -> (CallOutcome, u64) {
        let started = Instant::now();
        let heard = self.send(entry, spec).await;
        (heard, started.elapsed().as_micros() as u64)
    }

    async fn exchange(
        &self,
        entry: SocketAddr,
        spec: &CallerRequest,
    ) -> Result<(u16, Bytes), BoxError> {
        let mut request = Request::builder()
            .method(spec.method.as_str())
            .uri(format!("http://{entry}{}", spec.path))
            .header(SERVICE_HEADER, &spec.service)
            .header(CALLER_HEADER, &spec.caller)
            .header(KEY_HEADER, &spec.key)
            .header(DEADLINE_HEADER, spec.deadline_ms)
            .header(REQUEST_ID_HEADER, &spec.id);
        if spec.attempt > 0 {
            let key =
                if spec.idempotency_key.is_empty() { &spec.id } else { &spec.idempotency_key };
            request = request.header(IDEMPOTENCY_HEADER, key).header(ATTEMPT_HEADER, spec.attempt);
        }
        let request = request.body(Full::new(Bytes::from(spec.body.clone())))?;
        let response = self.client.request(request).await?;
        let status = response.status().as_u16();
        Ok((status, response.into_body().collect().await?.to_bytes()))
    }
}

fn classify_response(spec: &CallerRequest, status: u16, body: Bytes) -> CallOutcome {
    if status >= 400
        && let Ok(error) = serde_json::from_slice(&body)
    {
        return CallOutcome::Failed(error);
    }
    let accepted_ids: Vec<String> = if spec.idempotency_key.is_empty() {
        vec![spec.id.clone()]
    } else {
        (1..=spec.attempt).map(|attempt| format!("{}#{attempt}", spec.idempotency_key)).collect()
    };
    let extra_bytes = spec.path.strip_prefix("/bytes/").and_then(|count| count.parse().ok());
    let is_own_response = accepted_ids.iter().any(|id| {
        let start = format!("{id}:{}", spec.body);
        body.len() == start.len() + extra_bytes.unwrap_or(0) && body.starts_with(start.as_bytes())
    });
    if is_own_response {
        return CallOutcome::Answer(status, body);
    }
    CallOutcome::Wrong(status, body)
}
