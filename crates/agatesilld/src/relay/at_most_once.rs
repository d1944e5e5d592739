//! Runs non-repeatable requests at most once, across all attempts at all daemons.
//!
//! The run is a separate task, so that a caller that disconnects or times out neither aborts it
//! midway nor loses its outcome: a retry receives the response from the record.

use std::sync::Arc;
use std::time::Duration;

use agatesill_wire::prelude::*;
use bytes::Bytes;
use hyper::header::{HeaderName, HeaderValue};
use hyper::http::request::Parts as RequestParts;
use hyper::http::response::Parts;
use hyper::{Response, StatusCode};
use tokio::time::{Instant, sleep, timeout_at};
use xxhash_rust::xxh3::Xxh3Default;

use super::Relay;
use super::body::{RequestBody, ResponseBody};
use super::call::{AttemptId, Call};
use super::record::{Claim, RecordedResponse, RunOutcome};
use crate::shared::Shared;

/// Initial interval between two polls of an earlier attempt that is still running; doubles with
/// each poll.
const MIN_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum interval between two such polls.
const MAX_POLL_INTERVAL: Duration = Duration::from_millis(320);

/// Retry-After if the outcome is unknown now but may become known later.
const UNKNOWN_RETRY_AFTER_MS: u32 = 1_000;

/// Settles the record of one run. Records an unknown outcome if dropped without one.
#[derive(Debug)]
pub struct RecordGuard {
    shared: Shared,
    key: String,
    is_settled: bool,
}

impl RecordGuard {
    /// Records that the request ran; `body` is `None` if the response was too large to record.
    pub fn answered(self, parts: &Parts, body: Option<Bytes>) {
        let outcome = match body {
            Some(body) => RunOutcome::Answered(RecordedResponse {
                status: parts.status.as_u16(),
                headers: parts
                    .headers
                    .iter()
                    .map(|(name, value)| {
                        (name.as_str().to_owned(), Bytes::copy_from_slice(value.as_bytes()))
                    })
                    .collect(),
                body,
            }),
            None => RunOutcome::Ran,
        };
        self.settle(outcome);
    }

    /// Records a failure; the kind of the error determines whether the request may have run.
    pub fn failed(self, error: &Error) {
        self.settle(match error.kind.row().was_run {
            WasRun::No => RunOutcome::NotRun,
            WasRun::Unknown => RunOutcome::Unknown,
            WasRun::Yes => RunOutcome::Ran,
        });
    }

    fn settle(mut self, outcome: RunOutcome) {
        self.is_settled = true;
        self.shared.settle_record(&self.key, outcome);
    }
}

impl Drop for RecordGuard {
    fn drop(&mut self) {
        if !self.is_settled {
            self.shared.settle_record(&self.key, RunOutcome::Unknown);
        }
    }
}

impl Relay {
    /// Runs a non-repeatable request, or answers a retry of it from the record.
    pub(super) async fn run_at_most_once(
        &self,
        call: &Arc<Call>,
        parts: RequestParts,
        body: RequestBody,
    ) -> Result<Response<ResponseBody>, Error> {
        let record_guard = match &call.attempt_id {
            None => None,
            Some(attempt_id) => {
                match self.obtain_permission(attempt_id, &parts, &body, call.deadline).await? {
                    Permission::Run(record_guard) => Some(record_guard),
                    Permission::Recorded(response) => return Ok(recorded_response(response)),
                }
            }
        };
        let (relay, task_call) = (self.clone(), call.clone());
        let run = self.tasks.spawn(async move {
            let exchange_deadline = task_call.deadline + relay.settle_timeout;
            relay.attempts(&task_call, &parts, body, exchange_deadline, record_guard).await
        });
        match timeout_at(call.deadline, run).await {
            Ok(Ok(response)) => response,
            Ok(Err(_)) => {
                Err(Error::new(ErrorKind::OutcomeUnknown, "the request task ended prematurely"))
            }
            Err(_) => Err(Error::new(ErrorKind::OutcomeUnknown, "no response before the deadline")
                .retry_after(UNKNOWN_RETRY_AFTER_MS)),
        }
    }

    /// Determines whether an attempt may run. The first one may run unless a record forbids it; a
    /// later one may run only if a record of the first exists here or at a peer and permits it.
    async fn obtain_permission(
        &self,
        attempt_id: &AttemptId,
        parts: &RequestParts,
        body: &RequestBody,
        deadline: Instant,
    ) -> Result<Permission, Error> {
        let fingerprint = fingerprint(parts, body);
        let key = attempt_id.key.as_str();
        let mut poll_interval = MIN_POLL_INTERVAL;
        loop {
            let claim = if attempt_id.attempt == 1 {
                self.shared.begin_record(key, fingerprint)
            } else {
                self.claim_retry(key, fingerprint).await
            };
            match claim {
                Claim::Granted => {
                    let (shared, key) = (self.shared.clone(), key.to_owned());
                    return Ok(Permission::Run(RecordGuard { shared, key, is_settled: false }));
                }
                Claim::Ran(Some(response)) => return Ok(Permission::Recorded(response)),
                Claim::Ran(None) => {
                    let message = "the request ran; its response was too large to record";
                    return Err(Error::new(ErrorKind::AlreadyRun, message));
                }
                Claim::Mismatch => {
                    let message = "the idempotency key was used for a different request";
                    return Err(Error::new(ErrorKind::Conflict, message));
                }
                Claim::Unknown | Claim::HandedOver => {
                    let message =
                        "the outcome of an earlier attempt is unknown; this attempt was not run";
                    return Err(Error::new(ErrorKind::OutcomeUnknown, message));
                }
                Claim::NoRecord => {
                    let message = "no reachable daemon has a record of the first attempt, which \
                                   may have run or may still run; this attempt was not run";
                    return Err(Error::new(ErrorKind::OutcomeUnknown, message)
                        .retry_after(UNKNOWN_RETRY_AFTER_MS));
                }
                Claim::Running => {}
            }
            if Instant::now() + poll_interval >= deadline {
                let message = "an earlier attempt is still running; this attempt was not run";
                return Err(Error::new(ErrorKind::OutcomeUnknown, message)
                    .retry_after(UNKNOWN_RETRY_AFTER_MS));
            }
            sleep(poll_interval).await;
            poll_interval = (poll_interval * 2).min(MAX_POLL_INTERVAL);
        }
    }

    async fn claim_retry(&self, key: &str, fingerprint: u64) -> Claim {
        let mut claim = self.shared.claim_record(key, fingerprint);
        if matches!(claim, Claim::NoRecord | Claim::HandedOver) {
            claim = claim.combine(self.lookup.query_peers(key, fingerprint).await);
        }
        if claim == Claim::Granted && !self.shared.adopt_record(key, fingerprint) {
            return Claim::Unknown;
        }
        claim
    }
}

enum Permission {
    Run(RecordGuard),
    Recorded(RecordedResponse),
}

/// Hash that distinguishes different requests with the same idempotency key. Of a streamed body it
/// covers only the length.
fn fingerprint(parts: &RequestParts, body: &RequestBody) -> u64 {
    let mut hash = Xxh3Default::new();
    hash.update(parts.method.as_str().as_bytes());
    hash.update(parts.uri.path_and_query().map_or("", |path| path.as_str()).as_bytes());
    match body {
        RequestBody::Buffered(bytes) => hash.update(bytes),
        RequestBody::Streamed(_) => {
            let length = parts.headers.get(hyper::header::CONTENT_LENGTH);
            hash.update(length.map_or(&[][..], HeaderValue::as_bytes));
        }
    }
    hash.digest()
}

fn recorded_response(recorded: RecordedResponse) -> Response<ResponseBody> {
    let mut response = Response::new(ResponseBody::Buffered(recorded.body));
    *response.status_mut() = StatusCode::from_u16(recorded.status).unwrap_or(StatusCode::OK);
    for (name, value) in recorded.headers {
        if let (Ok(name), Ok(value)) =
            (HeaderName::try_from(name), HeaderValue::from_maybe_shared(value))
        {
            response.headers_mut().append(name, value);
        }
    }
    response
}
