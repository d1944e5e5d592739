//! Non-repeatable requests: at most one run over all attempts, callers that leave and daemons.
//!
//! The run is a task of its own, so that a caller that disconnects or times out neither stops it
//! half-way nor loses its outcome: a repeat gets the answer from the record.

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
use super::body::{AnswerBody, Intake};
use super::call::{Call, Naming};
use super::record::{Claim, KeptAnswer, RunOutcome};
use crate::shared::Shared;

/// First pause between two looks at a request that still runs elsewhere; doubles each time.
const FIRST_POLL: Duration = Duration::from_millis(20);

/// Longest such pause.
const LAST_POLL: Duration = Duration::from_millis(320);

/// When to come back after the outcome could not be learned now but may be later.
const UNKNOWN_RETRY_AFTER_MS: u32 = 1_000;

/// Settles the record of one run; dropped without a word, the outcome is unknown.
#[derive(Debug)]
pub struct Settler {
    shared: Shared,
    key: String,
    is_settled: bool,
}

impl Settler {
    /// It ran; `body` is there when the whole answer was short enough to keep.
    pub fn answered(self, parts: &Parts, body: Option<Bytes>) {
        let how = match body {
            Some(body) => RunOutcome::Answered(KeptAnswer {
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
        self.settle(how);
    }

    /// It failed; the error says whether it may have run.
    pub fn failed(self, error: &Error) {
        self.settle(match error.kind.row().was_run {
            WasRun::No => RunOutcome::NotRun,
            WasRun::Unknown => RunOutcome::Unknown,
            WasRun::Yes => RunOutcome::Ran,
        });
    }

    fn settle(mut self, how: RunOutcome) {
        self.is_settled = true;
        self.shared.settle_record(&self.key, how);
    }
}

impl Drop for Settler {
    fn drop(&mut self) {
        if !self.is_settled {
            self.shared.settle_record(&self.key, RunOutcome::Unknown);
        }
    }
}

impl Relay {
    /// Runs a non-repeatable request, or answers a repeat of it.
    pub(super) async fn once(
        &self,
        call: &Arc<Call>,
        parts: RequestParts,
        body: Intake,
    ) -> Result<Response<AnswerBody>, Error> {
        let settler = match &call.naming {
            None => None,
            Some(naming) => match self.permission(naming, &parts, &body, call.deadline).await? {
                Permission::Run(settler) => Some(settler),
                Permission::Replay(answer) => return Ok(replay(answer)),
            },
        };
        let (relay, own) = (self.clone(), call.clone());
        let run = self.tasks.spawn(async move {
            let limit = own.deadline + relay.settle_limit;
            relay.attempts(&own, &parts, body, limit, settler).await
        });
        match timeout_at(call.deadline, run).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(_)) => Err(Error::new(ErrorKind::OutcomeUnknown, "the run ended early")),
            Err(_) => Err(Error::new(ErrorKind::OutcomeUnknown, "no answer before the deadline")
                .retry_after(UNKNOWN_RETRY_AFTER_MS)),
        }
    }

    /// Finds out whether an attempt may run: a first one where no record says otherwise, a later
    /// one only where the record of the first is known, here or at a peer.
    async fn permission(
        &self,
        naming: &Naming,
        parts: &RequestParts,
        body: &Intake,
        deadline: Instant,
    ) -> Result<Permission, Error> {
        let fingerprint = fingerprint(parts, body);
        let key = naming.key.as_str();
        let mut pause = FIRST_POLL;
        loop {
            let claim = if naming.attempt == 1 {
                self.shared.begin_record(key, fingerprint)
            } else {
                self.later_claim(key, fingerprint).await
            };
            match claim {
                Claim::Granted => {
                    let (shared, key) = (self.shared.clone(), key.to_owned());
                    return Ok(Permission::Run(Settler { shared, key, is_settled: false }));
                }
                Claim::Ran(Some(answer)) => return Ok(Permission::Replay(answer)),
                Claim::Ran(None) => {
                    let what = "it ran; its answer was too large to keep";
                    return Err(Error::new(ErrorKind::AlreadyRun, what));
                }
                Claim::Mismatch => {
                    let what = "the idempotency key was used for another request";
                    return Err(Error::new(ErrorKind::Conflict, what));
                }
                Claim::Unknown | Claim::HandedOver => {
                    let what = "outcome of an earlier attempt unknown; this attempt was not run";
                    return Err(Error::new(ErrorKind::OutcomeUnknown, what));
                }
                Claim::NoRecord => {
                    let what = "no daemon that answers knows the first attempt, which may have \
                                run or may yet; this attempt was not run";
                    return Err(Error::new(ErrorKind::OutcomeUnknown, what)
                        .retry_after(UNKNOWN_RETRY_AFTER_MS));
                }
                Claim::Running => {}
            }
            if Instant::now() + pause >= deadline {
                let what = "an earlier attempt still runs; this attempt was not run";
                return Err(
                    Error::new(ErrorKind::OutcomeUnknown, what).retry_after(UNKNOWN_RETRY_AFTER_MS)
                );
            }
            sleep(pause).await;
            pause = (pause * 2).min(LAST_POLL);
        }
    }

    async fn later_claim(&self, key: &str, fingerprint: u64) -> Claim {
        let mut claim = self.shared.claim_record(key, fingerprint);
        if matches!(claim, Claim::NoRecord | Claim::HandedOver) {
            claim = claim.combine(self.lookup.ask(key, fingerprint).await);
        }
        if claim == Claim::Granted && !self.shared.adopt_record(key, fingerprint) {
            return Claim::Unknown;
        }
        claim
    }
}

enum Permission {
    Run(Settler),
    Replay(KeptAnswer),
}

/// Tells two requests under one key apart; of a streamed body only the length counts.
fn fingerprint(parts: &RequestParts, body: &Intake) -> u64 {
    let mut hash = Xxh3Default::new();
    hash.update(parts.method.as_str().as_bytes());
    hash.update(parts.uri.path_and_query().map_or("", |path| path.as_str()).as_bytes());
    match body {
        Intake::Whole(bytes) => hash.update(bytes),
        Intake::Streamed(_) => {
            let length = parts.headers.get(hyper::header::CONTENT_LENGTH);
            hash.update(length.map_or(&[][..], HeaderValue::as_bytes));
        }
    }
    hash.digest()
}

fn replay(answer: KeptAnswer) -> Response<AnswerBody> {
    let mut response = Response::new(AnswerBody::Whole(answer.body));
    *response.status_mut() = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    for (name, value) in answer.headers {
        if let (Ok(name), Ok(value)) =
            (HeaderName::try_from(name), HeaderValue::from_maybe_shared(value))
        {
            response.headers_mut().append(name, value);
        }
    }
    response
}
