//! Callers' requests: hand in, ask for, cancel and count jobs.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use agatesill_platform::front::{self, FrontCall};
use agatesill_platform::prelude::*;
use agatesill_policy::fleet::retry_after_ms;
use agatesill_wire::fleet::FleetWrite;
use agatesill_wire::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use tokio::time::Instant;

use super::clock::wall_ms;
use super::daemon_state::Site;
use super::job_store;

/// When to come back while the store is away: it is tried again within a second.
const STORE_RETRY_MS: u32 = 1_000;

type Answer = Response<Full<Bytes>>;

/// Answers one request and records how long it took.
pub async fn answer(site: Arc<Site>, request: Request<Incoming>) -> Answer {
    let begun = Instant::now();
    let (name, mut answer) = route(&site, request).await;
    if site.is_stopping() {
        // Guards against a request that a caller sends on an open connection just as this daemon
        // ends: it would be cut. Callers open the next one elsewhere.
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    site.metrics.request(name, answer.status().as_u16(), begun.elapsed());
    answer
}

async fn route(site: &Arc<Site>, request: Request<Incoming>) -> (&'static str, Answer) {
    let Some(config) = site.config() else {
        return ("none", refuse(site, "", &unavailable("no configuration yet", 1_000)));
    };
    let host = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let Some(call) = front::call(&config, &method, &host, &path) else {
        return ("none", plain(StatusCode::NOT_FOUND, Bytes::new()));
    };
    match call {
        FrontCall::Submit { queue, id } => {
            ("submit", submit(site, queue, id, request, config.max_body_bytes).await)
        }
        FrontCall::State { id } => ("state", state(site, id).await),
        FrontCall::Cancel { id } => ("cancel", cancel(site, id).await),
        FrontCall::Pending { queue } => ("pending", pending(site, queue).await),
    }
}

async fn submit(
    site: &Arc<Site>,
    queue: &Queue,
    id: &str,
    request: Request<Incoming>,
    max_body_bytes: usize,
) -> Answer {
    let body = match Limited::new(request.into_body(), max_body_bytes).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) => return refuse(site, id, &Error::new(ErrorKind::TooLarge, error.to_string())),
    };
    let spec = match front::job(queue, id, &body, wall_ms()) {
        Ok(spec) => spec,
        Err(error) => return refuse(site, id, &error),
    };
    let value = match serde_json::to_string(&spec) {
        Ok(value) => value,
        Err(error) => {
            return refuse(site, id, &Error::new(ErrorKind::Protocol, error.to_string()));
        }
    };
    let write = job_store::store_job(site, id, value.clone()).await;
    match write {
        FleetWrite::Stored | FleetWrite::Existed => {
            let is_new = write == FleetWrite::Stored;
            site.counts.accepted.fetch_add(1, Ordering::Relaxed);
            log::info!(event = "job_accepted", job = id, queue = queue.key.as_str(),
                is_new = is_new, steps = spec.steps.len(), tasks = spec.tasks_per_occurrence(); "");
            if is_new {
                job_store::tell_accepted(site, spec, value);
            }
            plain(StatusCode::OK, Bytes::from_static(b"{}"))
        }
        other => refuse(site, id, &write_error(site, other)),
    }
}

/// What a failed write means to the caller.
fn write_error(site: &Site, write: FleetWrite) -> Error {
    match write {
        FleetWrite::Unknown => {
            Error::new(ErrorKind::OutcomeUnknown, "the store did not say whether it was stored")
                .retry_after(STORE_RETRY_MS)
        }
        _ => unavailable("the store does not take it", store_comeback_ms(site)),
    }
}

async fn state(site: &Site, id: &str) -> Answer {
    match job_store::state(site, id).await {
        Ok(Some(((phase, is_started), source))) => {
            log::info!(event = "state_told", job = id, state:? = phase, is_started = is_started,
                source = source; "");
            plain(StatusCode::OK, front::state_body(phase, is_started))
        }
        Ok(None) => {
            log::info!(event = "state_told", job = id, state = "none"; "");
            plain(StatusCode::GONE, Bytes::new())
        }
        Err(error) => refuse(site, id, &error),
    }
}

async fn cancel(site: &Arc<Site>, id: &str) -> Answer {
    match job_store::store_cancel(site, id).await {
        FleetWrite::Stored | FleetWrite::Existed => {
            log::info!(event = "job_cancelled", job = id; "");
            job_store::tell_cancelled(site, id);
            plain(StatusCode::OK, Bytes::from_static(b"{}"))
        }
        FleetWrite::NoSuchJob => plain(StatusCode::GONE, Bytes::new()),
        other => refuse(site, id, &write_error(site, other)),
    }
}

async fn pending(site: &Site, queue: &Queue) -> Answer {
    match job_store::pending(site, &queue.key).await {
        Some(pending) => plain(StatusCode::OK, front::pending_body(pending)),
        None => refuse(site, &queue.key, &unavailable("no planner can be asked", 500)),
    }
}

/// When to come back while the store is away.
fn store_comeback_ms(site: &Site) -> u32 {
    retry_after_ms(site.store.unavailable_for().as_millis() as u64)
}

fn unavailable(what: &str, retry_after_ms: u32) -> Error {
    Error::new(ErrorKind::StoreUnavailable, what).retry_after(retry_after_ms)
}

/// The answer to a request that could not be served, with the time to come back.
fn refuse(site: &Site, id: &str, error: &Error) -> Answer {
    let row = error.kind.row();
    let is_unknown = row.was_run != WasRun::No;
    let counter = if is_unknown { &site.counts.unknown } else { &site.counts.refused };
    counter.fetch_add(1, Ordering::Relaxed);
    log::warn!(event = "refused", request = id, kind = row.name, status = row.status,
        store_failures = site.store.consecutive_failures(); "{}", error.detail);
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let mut answer = plain(status, Bytes::new());
    if error.retry_after_ms > 0 {
        let seconds = error.retry_after_ms.div_ceil(1_000);
        answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    answer
}

fn plain(status: StatusCode, body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}
