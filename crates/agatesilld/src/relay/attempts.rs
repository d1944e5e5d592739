//! Sends a request, and retries it where the policy allows that, until it is answered or given up.

use agatesill_policy::prelude::*;
use agatesill_wire::prelude::*;
use bytes::Bytes;
use hyper::header::{CONTENT_LENGTH, HeaderName, HeaderValue};
use hyper::http::request::Parts as RequestParts;
use hyper::http::response::Parts;
use hyper::{Request, Response, Version};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;

use super::at_most_once::RecordGuard;
use super::body::{MAX_QUEUED_CHUNKS, RequestBody, ResponseBody, UpstreamBody};
use super::call::Call;
use super::exchange::{ExchangeResult, closes_connection, exchange, strip_hop_by_hop};
use super::response::{ResponseStream, stream_response};
use super::{DEADLINE_HEADER, REQUEST_ID_HEADER, Relay};
use crate::decide::{Arrival, DecideEvent, Decider, RouteResult};

/// Reports the request to the decision thread as abandoned when dropped, unless its end was
/// reported before.
///
/// Prevents leaked slots: hyper drops the exchange of a caller that disconnects at any await point,
/// and the policy would otherwise count the request as in flight forever.
struct TicketGuard<'a> {
    decider: &'a Decider,
    ticket: Ticket,
    is_finished: bool,
}

impl Drop for TicketGuard<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.decider.send(DecideEvent::Finish {
                ticket: self.ticket,
                outcome: Outcome::Abandoned,
                retry_reply: None,
            });
        }
    }
}

impl TicketGuard<'_> {
    fn end(&mut self, outcome: Outcome) {
        self.is_finished = true;
        self.decider.send(DecideEvent::Finish { ticket: self.ticket, outcome, retry_reply: None });
    }

    /// Reports a failure and waits for the decision whether and where to retry.
    async fn retry(&mut self, outcome: Outcome) -> RouteResult {
        let (retry_reply, result) = oneshot::channel();
        let ticket = self.ticket;
        self.decider.send(DecideEvent::Finish { ticket, outcome, retry_reply: Some(retry_reply) });
        let route = result.await.unwrap_or_else(|_| Err(stopped()));
        self.is_finished = route.is_err();
        route
    }
}

fn stopped() -> Error {
    Error::new(ErrorKind::Stopping, "decision thread has stopped")
}

impl Relay {
    /// Sends the request until it is answered or given up; `exchange_deadline` applies to
    /// each exchange.
    ///
    /// An error reports `not run` only if each attempt was either not sent at all or refused by the
    /// upstream as not run.
    pub(super) async fn attempts(
        &self,
        call: &Call,
        parts: &RequestParts,
        body: RequestBody,
        exchange_deadline: Instant,
        mut record_guard: Option<RecordGuard>,
    ) -> Result<Response<ResponseBody>, Error> {
        let mut ticket_guard =
            TicketGuard { decider: &self.decider, ticket: call.head.ticket, is_finished: false };
        let (buffered, mut streamed) = match body {
            RequestBody::Buffered(bytes) => (Some(bytes), None),
            RequestBody::Streamed(stream) => (None, Some(stream)),
        };
        let mut route = self.arrive(call).await;
        ticket_guard.is_finished = route.is_err();
        let mut failure: Option<Error> = None;
        let outcome = loop {
            let upstream = match route {
                Ok(upstream) => upstream,
                Err(error) => break Err(final_error(failure, error)),
            };
            let body = match (&buffered, streamed.take()) {
                (Some(bytes), _) => UpstreamBody::Buffered(bytes.clone()),
                (None, Some(stream)) => UpstreamBody::Streamed(stream),
                (None, None) => break Err(final_error(failure, stopped())),
            };
            let request = self.upstream_request(call, parts, body);
            let result = match self.addrs.get(&call.pool).and_then(|pool| pool.get(&upstream)) {
                Some(addr) => exchange(&self.connections, *addr, request, exchange_deadline).await,
                None => ExchangeResult::NotSent(Error::new(
                    ErrorKind::NoUpstream,
                    "upstream has no known address",
                )),
            };
            let (outcome, error) = match result {
                ExchangeResult::Buffered(parts, bytes) => {
                    ticket_guard.end(Outcome::Answered);
                    self.mark_leaving_if_closing(upstream, &parts);
                    break Ok(self.buffered_response(call, parts, bytes, record_guard.take()));
                }
                ExchangeResult::Streamed(parts, rest, connection) => {
                    ticket_guard.is_finished = true;
                    self.mark_leaving_if_closing(upstream, &parts);
                    let is_reusable = !closes_connection(&parts);
                    let must_finish = record_guard.is_some();
                    let response_stream = ResponseStream {
                        body: rest,
                        connection,
                        is_reusable,
                        deadline: exchange_deadline,
                        must_finish,
                    };
                    break Ok(self.streamed_response(
                        call,
                        parts,
                        response_stream,
                        record_guard.take(),
                    ));
                }
                ExchangeResult::TimedOut => {
                    ticket_guard.end(Outcome::Abandoned);
                    break Err(timed_out(call));
                }
                ExchangeResult::Refused(error) => {
                    if error.kind == ErrorKind::Stopping {
                        self.leaving(upstream);
                    }
                    (Outcome::Refused, error)
                }
                ExchangeResult::NotSent(error) => (Outcome::NotSent, error),
                ExchangeResult::Broken(message) => (Outcome::Broken, broken(call, &message)),
            };
            let may_retry =
                buffered.is_some() && (call.head.repeatable || outcome != Outcome::Broken);
            failure = Some(merge_failures(failure, error));
            if !may_retry {
                ticket_guard.end(outcome);
                break Err(final_error(failure, stopped()));
            }
            route = ticket_guard.retry(outcome).await;
        };
        if let (Err(error), Some(record_guard)) = (&outcome, record_guard) {
            record_guard.failed(error);
        }
        outcome
    }

    async fn arrive(&self, call: &Call) -> RouteResult {
        let (reply, result) = oneshot::channel();
        self.decider.try_send(DecideEvent::Arrive(Arrival {
            service: call.service.clone(),
            request_id: call.request_id.clone(),
            head: call.head.clone(),
            reply,
        }))?;
        result.await.unwrap_or_else(|_| Err(stopped()))
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
        let remaining_ms =
            call.deadline.saturating_duration_since(Instant::now()).as_millis() as u64;
        headers.insert(HeaderName::from_static(DEADLINE_HEADER), HeaderValue::from(remaining_ms));
        if let Ok(id) = HeaderValue::from_str(&call.request_id) {
            headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), id);
        }
        *request.headers_mut() = headers;
        request
    }

    fn buffered_response(
        &self,
        call: &Call,
        mut parts: Parts,
        bytes: Bytes,
        record_guard: Option<RecordGuard>,
    ) -> Response<ResponseBody> {
        self.set_response_headers(call, &mut parts);
        if let Some(record_guard) = record_guard {
            record_guard.answered(&parts, Some(bytes.clone()));
        }
        Response::from_parts(parts, ResponseBody::Buffered(bytes))
    }

    fn streamed_response(
        &self,
        call: &Call,
        mut parts: Parts,
        stream: ResponseStream,
        record_guard: Option<RecordGuard>,
    ) -> Response<ResponseBody> {
        self.set_response_headers(call, &mut parts);
        let (chunks, received) = mpsc::channel(MAX_QUEUED_CHUNKS);
        let response = Response::from_parts(parts, ResponseBody::Streamed(received));
        let (mut recorded_parts, ()) = Response::new(()).into_parts();
        recorded_parts.status = response.status();
        recorded_parts.headers = response.headers().clone();
        let (decider, ticket) = (self.decider.clone(), call.head.ticket);
        self.tasks.spawn(async move {
            let mut ticket_guard = TicketGuard { decider: &decider, ticket, is_finished: false };
            let (outcome, copy) = stream_response(stream, chunks).await;
            ticket_guard.end(outcome);
            match (record_guard, outcome) {
                (Some(record_guard), Outcome::Answered) => {
                    record_guard.answered(&recorded_parts, copy)
                }
                _ => drop(recorded_parts),
            }
        });
        response
    }

    fn set_response_headers(&self, call: &Call, parts: &mut Parts) {
        strip_hop_by_hop(&mut parts.headers);
        parts.version = Version::HTTP_11;
        if let Ok(id) = HeaderValue::from_str(&call.request_id) {
            parts.headers.insert(HeaderName::from_static(REQUEST_ID_HEADER), id);
        }
        if parts.headers.get_all(CONTENT_LENGTH).iter().count() > 1 {
            parts.headers.remove(CONTENT_LENGTH);
        }
    }

    fn mark_leaving_if_closing(&self, upstream: UpstreamId, parts: &Parts) {
        if closes_connection(parts) {
            self.leaving(upstream);
        }
    }

    fn leaving(&self, upstream: UpstreamId) {
        let _ = self.decider.try_send(DecideEvent::Leaving { upstream, is_first_hand: true });
    }
}

/// Returns the failure to report. Once an attempt may have run, the failure of a later attempt does
/// not replace it, because it says nothing about the earlier run.
fn merge_failures(earlier: Option<Error>, later: Error) -> Error {
    match earlier {
        Some(earlier) if earlier.kind.row().was_run != WasRun::No => earlier,
        _ => later,
    }
}

/// The error for the caller when the policy gives up: the failure itself if there is one, with the
/// longer Retry-After.
fn final_error(failure: Option<Error>, refusal: Error) -> Error {
    match failure {
        Some(failure) => {
            let retry_after_ms = failure.retry_after_ms.max(refusal.retry_after_ms);
            failure.retry_after(retry_after_ms)
        }
        None => refusal,
    }
}

fn broken(call: &Call, message: &str) -> Error {
    let kind =
        if call.head.repeatable { ErrorKind::UpstreamFailed } else { ErrorKind::OutcomeUnknown };
    Error::new(kind, message)
}

fn timed_out(call: &Call) -> Error {
    let kind =
        if call.head.repeatable { ErrorKind::UpstreamTimeout } else { ErrorKind::OutcomeUnknown };
    Error::new(kind, "no response before the deadline")
}
