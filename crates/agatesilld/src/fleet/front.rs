//! Callers' requests: hand in, ask for, cancel and count jobs.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use agatesill_platform::front::{self, FrontCall};
use agatesill_platform::prelude::*;
use agatesill_policy::fleet::{JobPhase, ProgressRecord};
use agatesill_wire::platform::StoreCall;
use agatesill_wire::prelude::*;
use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HOST, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};

use super::clock::wall_ms;
use super::keys;
use super::site::Site;

type Answer = Response<Full<Bytes>>;

/// Answers one request.
pub async fn answer(site: Arc<Site>, request: Request<Incoming>) -> Answer {
    let Some(config) = site.config() else {
        return refuse(&site, "", &unavailable("no configuration yet", 1_000));
    };
    let host = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let (method, path) = (request.method().clone(), request.uri().path().to_owned());
    let Some(call) = front::call(&config, &method, &host, &path) else {
        return plain(StatusCode::NOT_FOUND, Bytes::new());
    };
    match call {
        FrontCall::Submit { queue, id } => {
            submit(&site, queue, id, request, config.max_body_bytes).await
        }
        FrontCall::State { id } => state(&site, id).await,
        FrontCall::Cancel { id } => cancel(&site, id).await,
        FrontCall::Pending { queue } => pending(&site, queue).await,
    }
}

async fn submit(
    site: &Site,
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
    match store_job(site, id, value).await {
        Ok(is_new) => {
            site.counts.accepted.fetch_add(1, Ordering::Relaxed);
            log::info!(event = "job_accepted", job = id, queue = queue.key.as_str(),
                is_new = is_new, steps = spec.steps.len(), tasks = spec.tasks_a_round(); "");
            if let (true, Some(planner)) = (is_new, site.planner()) {
                planner.accept(spec);
            }
            plain(StatusCode::OK, Bytes::from_static(b"{}"))
        }
        Err(error) => refuse(site, id, &error),
    }
}

/// Creates the job's key; false if it was there before, which is the same job handed in again.
///
/// Guards against a creation whose answer was lost: it may have taken effect, or may still, so the
/// caller is never told that the job was not accepted; the key is read back first.
async fn store_job(site: &Site, id: &str, value: String) -> Result<bool, Error> {
    let key = keys::job(id);
    let create =
        StoreCall::Cas { key: key.clone(), expect_version: 0, value: Some(value), lease_id: 0 };
    match site.store.call_telling(create).await {
        Ok(reply) => Ok(reply.applied),
        Err(error) if error.kind == ErrorKind::OutcomeUnknown => {
            match site.store.get(&key).await {
                Ok(Some(_)) => Ok(true),
                _ => Err(error),
            }
        }
        Err(error) => Err(error),
    }
}

async fn state(site: &Site, id: &str) -> Answer {
    if let Some(planner) = site.planner() {
        if let Some((phase, is_started)) = planner.state_of(id).await {
            return told_state(id, phase, is_started, "planner");
        }
    }
    match stored_state(site, id).await {
        Ok(Some((phase, is_started))) => told_state(id, phase, is_started, "store"),
        Ok(None) => {
            log::info!(event = "state_told", job = id, state = "none"; "");
            plain(StatusCode::GONE, Bytes::new())
        }
        Err(error) => refuse(site, id, &error),
    }
}

fn told_state(id: &str, phase: JobPhase, is_started: bool, source: &str) -> Answer {
    log::info!(event = "state_told", job = id, state:? = phase, is_started = is_started,
        source = source; "");
    plain(StatusCode::OK, front::state_body(phase, is_started))
}

/// A job's state as it is stored; `None` if there is no such job.
async fn stored_state(site: &Site, id: &str) -> Result<Option<(JobPhase, bool)>, Error> {
    if let Some(entry) = site.store.get(&keys::progress(id)).await? {
        let record: ProgressRecord = serde_json::from_str(&entry.value)
            .map_err(|error| Error::new(ErrorKind::Protocol, format!("progress: {error}")))?;
        return Ok(Some((record.phase, record.is_started)));
    }
    let job = site.store.get(&keys::job(id)).await?;
    Ok(job.map(|_| (JobPhase::Active, false)))
}

async fn cancel(site: &Site, id: &str) -> Answer {
    match store_cancel(site, id).await {
        Ok(true) => {
            log::info!(event = "job_cancelled", job = id; "");
            if let Some(planner) = site.planner() {
                planner.cancel(id);
            }
            plain(StatusCode::OK, Bytes::from_static(b"{}"))
        }
        Ok(false) => plain(StatusCode::GONE, Bytes::new()),
        Err(error) => refuse(site, id, &error),
    }
}

/// Stores a cancel; false if there is no such job.
async fn store_cancel(site: &Site, id: &str) -> Result<bool, Error> {
    if site.store.get(&keys::job(id)).await?.is_none() {
        return Ok(false);
    }
    site.store.cas(&keys::cancel(id), 0, String::from("{}"), 0).await?;
    Ok(true)
}

async fn pending(site: &Site, queue: &Queue) -> Answer {
    let counted = match site.planner() {
        Some(planner) => planner.pending(&queue.key).await,
        None => None,
    };
    match counted {
        Some(pending) => plain(StatusCode::OK, front::pending_body(pending)),
        None => refuse(site, &queue.key, &unavailable("the planner is not known here", 500)),
    }
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
        store_failures = site.store.failed_in_a_row(); "{}", error.detail);
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
