//! HTTP API for callers: submit, query, cancel and count jobs.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use agatesill_platform::front::{self, FrontCall};
use agatesill_platform::prelude::*;
use agatesill_policy::fleet::{JobSpec, Step, retry_after_ms};
use agatesill_wire::api::ErrorBody;
use agatesill_wire::fleet::FleetWrite;
use agatesill_wire::listener::{BodyError, ConnectionHandle, collect_body};
use agatesill_wire::prelude::*;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue, RETRY_AFTER};
use hyper::{HeaderMap, Request, Response, StatusCode};
use tokio::time::Instant;

use super::active_config::ActiveConfig;
use super::clock::wall_ms;
use super::daemon_state::DaemonState;
use super::job_store;
use super::submission::{self, RefusedJob, Submission};

/// Retry-After while the store is unavailable. The store client tries again within a second.
const STORE_RETRY_AFTER_MS: u32 = 1_000;

/// Retry-After of a cancel that was not stored because too many cancels of unknown jobs arrive.
const THROTTLED_RETRY_AFTER_MS: u32 = 1_000;

/// Most time for the body of a request.
const MAX_BODY_TIMEOUT: Duration = Duration::from_secs(30);

/// Least time for the body of a request.
const MIN_BODY_TIMEOUT: Duration = Duration::from_secs(1);

/// Copies of a job's value in memory while it is stored: the value, the strings of the decoded job, and
/// the encoded call.
const VALUE_COPIES: usize = 4;

type Answer = Response<Full<Bytes>>;

/// Answers one request and records its duration.
pub async fn answer(
    daemon: Arc<DaemonState>,
    request: Request<Incoming>,
    connection: ConnectionHandle,
) -> Answer {
    let started = Instant::now();
    let (name, mut answer) = route(&daemon, request, &connection).await;
    if daemon.is_stopping() {
        // Guards against a request that arrives on an open connection just as this daemon ends: its
        // connection would be closed without an answer. Callers open their next connection to
        // another daemon.
        answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    daemon.metrics.request(name, answer.status().as_u16(), started.elapsed());
    answer
}

async fn route(
    daemon: &Arc<DaemonState>,
    request: Request<Incoming>,
    connection: &ConnectionHandle,
) -> (&'static str, Answer) {
    let Some(active) = daemon.config_state.active() else {
        return ("none", refuse(daemon, "", &unavailable("no configuration yet", 1_000)));
    };
    let host = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let config = &active.site;
    let Some(call) = front::call(config, &method, &host, &path) else {
        log_unknown_route(daemon, &active, &host, &path);
        return ("none", json_response(StatusCode::NOT_FOUND, Bytes::new()));
    };
    match call {
        FrontCall::Submit { queue, id } => {
            let timeout = body_timeout(request.headers());
            let max_bytes = config.limits.max_body_bytes;
            let body = collect_body(connection, request.into_body(), max_bytes, timeout).await;
            ("submit", submit(daemon, queue, id, body, connection).await)
        }
        FrontCall::State { id } => ("state", state(daemon, id).await),
        FrontCall::Cancel { id } => ("cancel", cancel(daemon, id).await),
        FrontCall::Pending { queue } => ("pending", pending(daemon, queue).await),
    }
}

/// Logs a request that no queue of the active version matches, with how current that version is.
fn log_unknown_route(daemon: &DaemonState, active: &ActiveConfig, host: &str, path: &str) {
    daemon.config_state.route_unknown();
    let now_us = daemon.clock.now_us();
    let Some(suppressed) = daemon.unknown_route_lines.admit(now_us) else { return };
    log::info!(event = "route_unknown", request = path.rsplit('/').next().unwrap_or_default(),
        host = host, path = path, version = active.site.version, revision = active.revision,
        source = active.source.name(), store_revision = daemon.store.newest_revision(),
        heard_ms_ago = daemon.config_state.heard_ms_ago(now_us), suppressed = suppressed; "");
}

async fn submit(
    daemon: &Arc<DaemonState>,
    queue: &Queue,
    id: &str,
    body: Result<Bytes, BodyError>,
    connection: &ConnectionHandle,
) -> Answer {
    let body = match body {
        Ok(body) => body,
        Err(error @ BodyError::TooLarge) => {
            return refuse(daemon, id, &Error::new(ErrorKind::TooLarge, error.to_string()));
        }
        Err(error @ BodyError::Broken(_)) => {
            return error_response(&Error::new(ErrorKind::BadRequest, error.to_string()));
        }
        Err(BodyError::NoRoom) => return no_room().await,
    };
    let spec = match front::job(queue, id, &body, wall_ms()) {
        Ok(spec) => spec,
        Err(error) => return refuse(daemon, id, &error),
    };
    let value = match serde_json::to_string(&spec) {
        Ok(value) => value,
        Err(error) => {
            return refuse(daemon, id, &Error::new(ErrorKind::Protocol, error.to_string()));
        }
    };
    drop(body);
    if value.len() > daemon.settings.store_value_bytes {
        let detail = format!("the store takes no value of {} bytes", value.len());
        return refuse(daemon, id, &Error::new(ErrorKind::TooLarge, detail));
    }
    if !connection.hold(submission_bytes(&spec, &value)) {
        return no_room().await;
    }
    match store_or_refuse(daemon, &spec, &value).await {
        Submission::Stored { is_return } => {
            daemon.load.counts.returns_accepted.fetch_add(u64::from(is_return), Ordering::Relaxed);
            log_accepted(daemon, &spec, true, is_return);
            job_store::notify_accepted(daemon, spec, value);
            accepted(daemon)
        }
        Submission::Existed => {
            log_accepted(daemon, &spec, false, false);
            accepted(daemon)
        }
        Submission::Refused(refused) => refuse_job(daemon, &spec, &refused),
        Submission::Unknown => refuse(daemon, id, &write_error(daemon, FleetWrite::Unknown)),
        Submission::NotStored => {
            let retry_after_ms = daemon.store_outage.retry_after_ms(daemon, &spec);
            refuse(daemon, id, &not_stored(retry_after_ms))
        }
    }
}

/// Time for the body of a request. Its caller does not wait for longer.
fn body_timeout(headers: &HeaderMap) -> Duration {
    let waits = front::waits_ms(headers).map_or(MAX_BODY_TIMEOUT, Duration::from_millis);
    waits.clamp(MIN_BODY_TIMEOUT, MAX_BODY_TIMEOUT)
}

/// Memory of a job while it is stored: the job itself, its value, and the call to the store.
fn submission_bytes(spec: &JobSpec, value: &str) -> u64 {
    let steps_bytes = spec.steps.len() * size_of::<Step>();
    (steps_bytes + value.len() * VALUE_COPIES) as u64
}

/// Leaves a request without an answer. Its connection is closed for lack of room, which ends this. An
/// answer could only say what is not known here: whether a job with the same ID was accepted before.
async fn no_room() -> Answer {
    std::future::pending().await
}

/// Stores a job or a record of its refusal. If the store turns this daemon away, the planner's daemon
/// does so.
async fn store_or_refuse(daemon: &DaemonState, spec: &JobSpec, value: &str) -> Submission {
    let submission = submission::submit_by_load(daemon, spec, value).await;
    if submission != Submission::NotStored {
        return submission;
    }
    let forwarded = job_store::submit_through_planner(daemon, &spec.id, value.to_owned()).await;
    forwarded.unwrap_or(submission)
}

fn accepted(daemon: &DaemonState) -> Answer {
    daemon.counts.accepted.fetch_add(1, Ordering::Relaxed);
    json_response(StatusCode::OK, Bytes::from_static(b"{}"))
}

fn log_accepted(daemon: &DaemonState, spec: &JobSpec, is_new: bool, is_return: bool) {
    let stamp = daemon.load.stamp(daemon.clock.now_us());
    log::info!(event = "job_accepted", job = spec.id.as_str(), queue = spec.queue.as_str(),
        is_new = is_new, steps = spec.steps.len(), tasks = spec.tasks_per_occurrence(),
        is_return = is_return, view_age_ms:? = stamp.map(|stamp| stamp.age_ms); "");
}

/// Answers the caller of a job that was refused for lack of capacity.
fn refuse_job(daemon: &DaemonState, spec: &JobSpec, refused: &RefusedJob) -> Answer {
    let counts = &daemon.load.counts;
    counts.add_refusal(refused.because);
    counts.returns_refused.fetch_add(u64::from(refused.is_return), Ordering::Relaxed);
    daemon.counts.refused.fetch_add(1, Ordering::Relaxed);
    let view = daemon.load.stamp(daemon.clock.now_us()).unwrap_or_default();
    let refusal = refused.refusal.as_ref();
    log::info!(event = "job_refused", job = spec.id.as_str(), queue = spec.queue.as_str(),
        cause = refused.because.name(), retry_after_ms = refused.retry_after_ms,
        forecast_ms:? = refusal.map(|refusal| refusal.forecast_ms),
        needed_milli:? = refusal.map(|refusal| refusal.needed_milli),
        left_milli:? = refusal.map(|refusal| refusal.left_milli), epoch = view.epoch,
        sequence = view.sequence, view_age_ms = view.age_ms, is_return = refused.is_return; "");
    error_response(&Error::new(ErrorKind::Overloaded, "").retry_after(refused.retry_after_ms))
}

/// Converts a failed write to the error that is reported to the caller.
fn write_error(daemon: &DaemonState, write: FleetWrite) -> Error {
    match write {
        FleetWrite::Unknown => Error::new(
            ErrorKind::OutcomeUnknown,
            "the store did not report whether the write took effect",
        )
        .retry_after(STORE_RETRY_AFTER_MS),
        FleetWrite::Throttled => {
            Error::new(ErrorKind::Overloaded, "too many cancels of unknown jobs")
                .retry_after(THROTTLED_RETRY_AFTER_MS)
        }
        _ => not_stored(store_retry_after_ms(daemon)),
    }
}

fn not_stored(retry_after_ms: u32) -> Error {
    unavailable("the store does not accept the write", retry_after_ms)
}

async fn state(daemon: &DaemonState, id: &str) -> Answer {
    match job_store::state(daemon, id).await {
        Ok(Some(((phase, is_started), source))) => {
            log::info!(event = "state_told", job = id, state:? = phase, is_started = is_started,
                source = source; "");
            json_response(StatusCode::OK, front::state_body(phase, is_started))
        }
        Ok(None) => {
            log::info!(event = "state_told", job = id, state = "none"; "");
            json_response(StatusCode::GONE, Bytes::new())
        }
        Err(error) => refuse(daemon, id, &error),
    }
}

async fn cancel(daemon: &Arc<DaemonState>, id: &str) -> Answer {
    match job_store::store_cancel(daemon, id).await {
        FleetWrite::Stored | FleetWrite::Existed => {
            log::info!(event = "job_cancelled", job = id; "");
            job_store::notify_cancelled(daemon, id);
            json_response(StatusCode::OK, Bytes::from_static(b"{}"))
        }
        FleetWrite::NoSuchJob => json_response(StatusCode::GONE, Bytes::new()),
        other => refuse(daemon, id, &write_error(daemon, other)),
    }
}

async fn pending(daemon: &DaemonState, queue: &Queue) -> Answer {
    match job_store::pending(daemon, &queue.key).await {
        Some(pending) => json_response(StatusCode::OK, front::pending_body(pending)),
        None => refuse(daemon, &queue.key, &unavailable("no planner can be reached", 500)),
    }
}

/// Retry-After for a cancel that failed because the store is unavailable.
fn store_retry_after_ms(daemon: &DaemonState) -> u32 {
    retry_after_ms(daemon.store.unavailable_for().as_millis() as u64)
}

fn unavailable(detail: &str, retry_after_ms: u32) -> Error {
    Error::new(ErrorKind::StoreUnavailable, detail).retry_after(retry_after_ms)
}

/// Logs and counts a request that failed, and answers it.
fn refuse(daemon: &DaemonState, id: &str, error: &Error) -> Answer {
    let row = error.kind.row();
    let is_unknown = row.was_run != WasRun::No;
    let counter = if is_unknown { &daemon.counts.unknown } else { &daemon.counts.refused };
    counter.fetch_add(1, Ordering::Relaxed);
    log::warn!(event = "refused", request = id, kind = row.name, status = row.status,
        store_failures = daemon.store.consecutive_failures(),
        store_away_ms = daemon.store.unavailable_for().as_millis() as u64,
        retry_after_ms = error.retry_after_ms; "{}", error.detail);
    error_response(error)
}

/// Response to a request that failed, with a Retry-After header if the error has a delay. The body
/// tells what is wrong with an invalid request, and is empty otherwise.
fn error_response(error: &Error) -> Answer {
    let row = error.kind.row();
    let status = StatusCode::from_u16(row.status).unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
    let body = match error.kind {
        ErrorKind::BadRequest => serde_json::to_vec(&ErrorBody::from(error)).unwrap_or_default(),
        _ => Vec::new(),
    };
    let mut answer = json_response(status, Bytes::from(body));
    if error.retry_after_ms > 0 {
        let seconds = error.retry_after_ms.div_ceil(1_000);
        answer.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    answer
}

fn json_response(status: StatusCode, body: Bytes) -> Answer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}
