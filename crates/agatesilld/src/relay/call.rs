//! Parses the head of a request: its service, its deadline and whether it may be retried.

use std::sync::atomic::Ordering;

use agatesill_policy::prelude::*;
use agatesill_wire::prelude::*;
use hyper::body::Incoming;
use hyper::{Method, Request, Version};
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::{
    ATTEMPT_HEADER, CALLER_HEADER, DEADLINE_HEADER, IDEMPOTENCY_HEADER, KEY_HEADER,
    REQUEST_ID_HEADER, Relay, SERVICE_HEADER,
};

/// Retry-After of a daemon without a configuration. The daemon receives one from a peer or the
/// store within one heartbeat or one read.
const NO_CONFIG_RETRY_AFTER_MS: u32 = 500;

/// Timeout of a request that states none.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Maximum timeout of a request; longer ones are reduced to it.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Maximum length of a request ID or an idempotency key.
const MAX_ID_BYTES: usize = 256;

/// The parsed head of a request.
#[derive(Debug)]
pub struct Call {
    /// Name of the requested service.
    pub service: String,
    /// Upstream pool of the service.
    pub pool: String,
    /// Latency objective of the service.
    pub promise_ms: u32,
    /// Request ID in the logs of all processes.
    pub request_id: String,
    /// Time after which the caller no longer waits for the response.
    pub deadline: Instant,
    /// Input of the request policy.
    pub head: RequestHead,
    /// Idempotency key and attempt number of a non-repeatable request, if the caller sent them.
    pub attempt_id: Option<AttemptId>,
}

/// Identifies one attempt of a non-repeatable request.
#[derive(Debug)]
pub struct AttemptId {
    /// Service, caller and idempotency key, so that no caller receives the response to another
    /// caller's request.
    pub key: String,
    /// Number of the attempt, 1 for the first.
    pub attempt: u32,
}

impl Relay {
    pub(super) fn parse_call(
        &self,
        request: &Request<Incoming>,
        now_us: u64,
    ) -> Result<Call, Error> {
        let header = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
        };
        check_protocol(request)?;
        let config = self.shared.config();
        if config.version == 0 {
            let message = "this daemon has no active configuration yet";
            return Err(
                Error::new(ErrorKind::NoUpstream, message).retry_after(NO_CONFIG_RETRY_AFTER_MS)
            );
        }
        let name = header(SERVICE_HEADER);
        let service = config.doc.services.get(name).ok_or_else(|| {
            Error::new(ErrorKind::NotFound, format!("{SERVICE_HEADER}: unknown service {name:?}"))
        })?;
        let profile = config.doc.profiles.get(&service.profile);
        let deadline_ms = match header(DEADLINE_HEADER) {
            "" => DEFAULT_DEADLINE_MS,
            text => text.parse().map_err(|_| bad_header(DEADLINE_HEADER, text))?,
        };
        let deadline_us = now_us + deadline_ms.min(MAX_DEADLINE_MS) * 1_000;
        let repeatable = is_repeatable(request, &service.non_repeatable);
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let request_id = match header(REQUEST_ID_HEADER) {
            "" => format!("{}-{ticket}", self.instance),
            id if id.len() > MAX_ID_BYTES => return Err(bad_header(REQUEST_ID_HEADER, "too long")),
            id => id.to_owned(),
        };
        let attempt_id = if repeatable {
            None
        } else {
            attempt_id(
                name,
                header(CALLER_HEADER),
                header(IDEMPOTENCY_HEADER),
                header(ATTEMPT_HEADER),
            )?
        };
        Ok(Call {
            service: name.to_owned(),
            pool: service.pool.clone(),
            promise_ms: profile.map_or(0, |profile| profile.answer_ms),
            request_id,
            deadline: self.decider.instant(deadline_us).into(),
            head: RequestHead {
                ticket,
                service: 0,
                caller: xxh3_64(header(CALLER_HEADER).as_bytes()),
                key: xxh3_64(header(KEY_HEADER).as_bytes()),
                deadline_us,
                repeatable,
            },
            attempt_id,
        })
    }
}

/// Rejects requests that are not HTTP/1.1, and CONNECT.
///
/// HTTP/1.0 has no chunked encoding, so a caller could not distinguish a truncated response body
/// from a complete one.
fn check_protocol(request: &Request<Incoming>) -> Result<(), Error> {
    if request.version() != Version::HTTP_11 {
        return Err(Error::new(ErrorKind::BadRequest, "HTTP/1.1 is required"));
    }
    if request.method() == Method::CONNECT {
        return Err(Error::new(ErrorKind::BadRequest, "CONNECT is not supported"));
    }
    Ok(())
}

/// Whether the request may be retried: its method is idempotent according to HTTP, and its service
/// does not list it as non-repeatable.
fn is_repeatable(request: &Request<Incoming>, non_repeatable: &[String]) -> bool {
    let method_and_path = format!("{} {}", request.method(), request.uri().path());
    request.method().is_idempotent()
        && !non_repeatable.iter().any(|start| method_and_path.starts_with(start))
}

fn attempt_id(
    service: &str,
    caller: &str,
    key: &str,
    attempt: &str,
) -> Result<Option<AttemptId>, Error> {
    match (key, attempt) {
        ("", "" | "1") => Ok(None),
        ("", _) => Err(Error::new(
            ErrorKind::BadRequest,
            format!("{ATTEMPT_HEADER}: a retry requires {IDEMPOTENCY_HEADER}"),
        )),
        (_, "") => Err(Error::new(
            ErrorKind::BadRequest,
            format!("{IDEMPOTENCY_HEADER}: a non-repeatable request requires {ATTEMPT_HEADER}"),
        )),
        (key, _) if key.len() > MAX_ID_BYTES => Err(bad_header(IDEMPOTENCY_HEADER, "too long")),
        (key, text) => {
            let attempt = text.parse().ok().filter(|attempt| *attempt > 0);
            let attempt = attempt.ok_or_else(|| bad_header(ATTEMPT_HEADER, text))?;
            Ok(Some(AttemptId { key: format!("{service}\n{caller}\n{key}"), attempt }))
        }
    }
}

fn bad_header(header: &str, value: &str) -> Error {
    Error::new(ErrorKind::BadRequest, format!("invalid {header}: {value:?}"))
}
