//! Sending a request, again where the policy allows it, until it is answered or given up.

use agatesill_policy::prelude::*;
use agatesill_wire::prelude::*;
use bytes::Bytes;
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use hyper::http::request::Parts as RequestParts;
use hyper::http::response::Parts;
use hyper::{Request, Response, Version};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::answer::{Pump, pump};
use super::body::{ANSWER_PIECES, AnswerBody, Intake, UpstreamBody};
use super::call::Call;
use super::exchange::{Reply, closes, exchange, strip_hop_by_hop};
use super::once::Settler;
use super::{DEADLINE_HEADER, REQUEST_ID_HEADER, Relay};
use crate::decide::{Arrival, DecideEvent, Decider, Verdict};

/// Tells the deciding thread that the caller went away, unless the end was told before.
///
/// Guards against slots that leak: hyper drops the exchange of a caller that disconnects, wherever
/// it waits, and the policy would count the request as in flight for ever.
struct Ticketed<'a> {
    decider: &'a Decider,
    ticket: Ticket,
    is_over: bool,
}

impl Drop for Ticketed<'_> {
    fn drop(&mut self) {
        if !self.is_over {
            self.decider.send(DecideEvent::Finish {
                ticket: self.ticket,
                outcome: Outcome::Abandoned,
                again: None,
            });
        }
    }
}

impl Ticketed<'_> {
    fn end(&mut self, outcome: Outcome) {
        self.is_over = true;
        self.decider.send(DecideEvent::Finish { ticket: self.ticket, outcome, again: None });
    }

    /// Reports a failure and waits for leave to send again.
    async fn again(&mut self, outcome: Outcome) -> Verdict {
        let (again, decided) = oneshot::channel();
        let ticket = self.ticket;
        self.decider.send(DecideEvent::Finish { ticket, outcome, again: Some(again) });
        let verdict = decided.await.unwrap_or_else(|_| Err(stopped()));
        self.is_over = verdict.is_err();
        verdict
    }
}

fn stopped() -> Error {
    Error::new(ErrorKind::Stopping, "deciding thread")
}

impl Relay {
    /// Sends the request until it is answered or given up; `limit` ends the last exchange.
    ///
    /// An error says `not run` only while no byte of any attempt may have left, or each upstream
    /// that got one said itself that it did not run it.
    pub(super) async fn attempts(
        &self,
        call: &Call,
        parts: &RequestParts,
        body: Intake,
        limit: Instant,
        mut settler: Option<Settler>,
    ) -> Result<Response<AnswerBody>, Error> {
        let mut ticketed =
            Ticketed { decider: &self.decider, ticket: call.head.ticket, is_over: false };
        let (whole, mut streamed) = match body {
            Intake::Whole(bytes) => (Some(bytes), None),
            Intake::Streamed(stream) => (None, Some(stream)),
        };
        let mut verdict = self.arrive(call).await;
        ticketed.is_over = verdict.is_err();
        let mut failure: Option<Error> = None;
        let outcome = loop {
            let upstream = match verdict {
                Ok(upstream) => upstream,
                Err(error) => break Err(last_word(failure, error)),
            };
            let body = match (&whole, streamed.take()) {
                (Some(bytes), _) => UpstreamBody::Whole(bytes.clone()),
                (None, Some(stream)) => UpstreamBody::Streamed(stream),
                (None, None) => break Err(last_word(failure, stopped())),
            };
            let request = self.upstream_request(call, parts, body);
            let reply = match self.addrs.get(&call.pool).and_then(|pool| pool.get(&upstream)) {
                Some(addr) => exchange(&self.connections, *addr, request, limit).await,
                None => Reply::NotSent(Error::new(ErrorKind::NoUpstream, "unknown upstream")),
            };
            let (outcome, error) = match reply {
                Reply::Whole(parts, bytes) => {
                    ticketed.end(Outcome::Answered);
                    self.see_leaving(upstream, &parts);
                    break Ok(self.whole_answer(call, parts, bytes, settler.take()));
                }
                Reply::Begun(parts, rest, connection) => {
                    ticketed.is_over = true;
                    self.see_leaving(upstream, &parts);
                    let may_keep = !closes(&parts);
                    let must_finish = settler.is_some();
                    let pump =
                        Pump { body: rest, connection, may_keep, deadline: limit, must_finish };
                    break Ok(self.long_answer(call, parts, pump, settler.take()));
                }
                Reply::TimedOut => {
                    ticketed.end(Outcome::Abandoned);
                    break Err(timed_out(call));
                }
                Reply::Refused(error) => {
                    if error.kind == ErrorKind::Stopping {
                        self.leaving(upstream);
                    }
                    (Outcome::Refused, error)
                }
                Reply::NotSent(error) => (Outcome::NotSent, error),
                Reply::Broken(what) => (Outcome::Broken, broken(call, &what)),
            };
            let may_repeat =
                whole.is_some() && (call.head.repeatable || outcome != Outcome::Broken);
            failure = Some(worse(failure, error));
            if !may_repeat {
                ticketed.end(outcome);
                break Err(last_word(failure, stopped()));
            }
            verdict = ticketed.again(outcome).await;
        };
        if let (Err(error), Some(settler)) = (&outcome, settler) {
            settler.failed(error);
        }
        outcome
    }

    async fn arrive(&self, call: &Call) -> Verdict {
        let (verdict, decided) = oneshot::channel();
        self.decider.try_send(DecideEvent::Arrive(Arrival {
            service: call.service.clone(),
            request_id: call.request_id.clone(),
            head: call.head.clone(),
            verdict,
        }))?;
        decided.await.unwrap_or_else(|_| Err(stopped()))
    }

    fn upstream_request(
        &self,
        call: &Call,
        parts: &RequestParts,
        body: UpstreamBody,
    ) -> Request<UpstreamBody> {
        let mut request = Request::new(body);
        *request.method_mut() = parts.method.clone();
        *request.uri_mut() = parts.uri.clone();
        *request.version_mut() = Version::HTTP_11;
        let mut headers = parts.headers.clone();
        strip_hop_by_hop(&mut headers);
        let left_ms = call.deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        headers.insert(HeaderName::from_static(DEADLINE_HEADER), HeaderValue::from(left_ms));
        if let Ok(id) = HeaderValue::from_str(&call.request_id) {
            headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), id);
        }
        *request.headers_mut() = headers;
        request
    }

    fn whole_answer(
        &self,
        call: &Call,
        mut parts: Parts,
        bytes: Bytes,
        settler: Option<Settler>,
    ) -> Response<AnswerBody> {
        self.dress(call, &mut parts);
        if let Some(settler) = settler {
            settler.answered(&parts, Some(bytes.clone()));
        }
        Response::from_parts(parts, AnswerBody::Whole(bytes))
    }

    fn long_answer(
        &self,
        call: &Call,
        mut parts: Parts,
        piped: Pump,
        settler: Option<Settler>,
    ) -> Response<AnswerBody> {
        self.dress(call, &mut parts);
        let (pieces, received) = mpsc::channel(ANSWER_PIECES);
        let answer = Response::from_parts(parts, AnswerBody::Streamed(received));
        let (mut kept, ()) = Response::new(()).into_parts();
        kept.status = answer.status();
        kept.headers = answer.headers().clone();
        let (decider, ticket) = (self.decider.clone(), call.head.ticket);
        self.tasks.spawn(async move {
            let mut ticketed = Ticketed { decider: &decider, ticket, is_over: false };
            let (outcome, copy) = pump(piped, pieces).await;
            ticketed.end(outcome);
            match (settler, outcome) {
                (Some(settler), Outcome::Answered) => settler.answered(&kept, copy),
                _ => drop(kept),
            }
        });
        answer
    }

    fn dress(&self, call: &Call, parts: &mut Parts) {
        strip_hop_by_hop(&mut parts.headers);
        parts.version = Version::HTTP_11;
        if let Ok(id) = HeaderValue::from_str(&call.request_id) {
            parts.headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), id);
        }
        if parts.headers.get_all(CONTENT_LENGTH).iter().count() > 1 {
            parts.headers.remove(CONTENT_LENGTH);
        }
    }

    fn see_leaving(&self, upstream: UpstreamId, parts: &Parts) {
        if closes(parts) {
            self.leaving(upstream);
        }
    }

    fn leaving(&self, upstream: UpstreamId) {
        let _ = self.decider.try_send(DecideEvent::Leaving { upstream, is_first_hand: true });
    }
}

/// The failure that claims less: once an attempt may have run, no later refusal undoes that.
fn worse(earlier: Option<Error>, later: Error) -> Error {
    match earlier {
        Some(earlier) if earlier.kind.row().was_run != WasRun::No => earlier,
        _ => later,
    }
}

/// What the caller hears when the policy gives up: the failure itself, and when to come back.
fn last_word(failure: Option<Error>, verdict: Error) -> Error {
    match failure {
        Some(failure) => {
            let retry_after_ms = failure.retry_after_ms.max(verdict.retry_after_ms);
            failure.retry_after(retry_after_ms)
        }
        None => verdict,
    }
}

fn broken(call: &Call, what: &str) -> Error {
    let kind =
        if call.head.repeatable { ErrorKind::UpstreamFailed } else { ErrorKind::OutcomeUnknown };
    Error::new(kind, what)
}

fn timed_out(call: &Call) -> Error {
    let kind =
        if call.head.repeatable { ErrorKind::UpstreamTimeout } else { ErrorKind::OutcomeUnknown };
    Error::new(kind, "no answer before the deadline")
}
