//! What a request asks for: its service, its deadline and whether it may be repeated.

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

/// When a caller may come back to a daemon without a configuration: a peer or the store brings one
/// within a heartbeat or a read.
const NO_CONFIG_RETRY_MS: u32 = 500;

/// Patience of a caller that states none.
const DEFAULT_DEADLINE_MS: u64 = 10_000;

/// Longest patience that a caller may state.
const MAX_DEADLINE_MS: u64 = 600_000;

/// Longest identity of a request or key.
const MAX_NAME_BYTES: usize = 256;

/// A request as far as its head tells.
#[derive(Debug)]
pub struct Call {
    /// Its service.
    pub service: String,
    /// The pool that answers it.
    pub pool: String,
    /// The promised answer time.
    pub promise_ms: u32,
    /// Its identity in the logs of all processes.
    pub request_id: String,
    /// Latest useful answer time.
    pub deadline: Instant,
    /// What the policy needs to know.
    pub head: RequestHead,
    /// How the caller names a non-repeatable request over all its attempts.
    pub naming: Option<Naming>,
}

/// How the caller names a non-repeatable request.
#[derive(Debug)]
pub struct Naming {
    /// Service, caller and idempotency key, so that no caller meets another's answer.
    pub key: String,
    /// 1 for the first attempt.
    pub attempt: u32,
}

impl Relay {
    pub(super) fn call(&self, request: &Request<Incoming>, now_us: u64) -> Result<Call, Error> {
        let header = |name: &str| {
            request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
        };
        check_form(request)?;
        let config = self.shared.config();
        if config.version == 0 {
            let what = "no configuration is in force here yet";
            return Err(Error::new(ErrorKind::NoUpstream, what).retry_after(NO_CONFIG_RETRY_MS));
        }
        let name = header(SERVICE_HEADER);
        let service = config.doc.services.get(name).ok_or_else(|| {
            Error::new(ErrorKind::NotFound, format!("{SERVICE_HEADER}: no service {name:?}"))
        })?;
        let profile = config.doc.profiles.get(&service.profile);
        let deadline_ms = match header(DEADLINE_HEADER) {
            "" => DEFAULT_DEADLINE_MS,
            text => text.parse().map_err(|_| wrong(DEADLINE_HEADER, text))?,
        };
        let deadline_us = now_us + deadline_ms.min(MAX_DEADLINE_MS) * 1_000;
        let repeatable = is_repeatable(request, &service.non_repeatable);
        let ticket = self.tickets.fetch_add(1, Ordering::Relaxed);
        let request_id = match header(REQUEST_ID_HEADER) {
            "" => format!("{}-{ticket}", self.instance),
            id if id.len() > MAX_NAME_BYTES => return Err(wrong(REQUEST_ID_HEADER, "too long")),
            id => id.to_owned(),
        };
        let naming = if repeatable {
            None
        } else {
            naming(name, header(CALLER_HEADER), header(IDEMPOTENCY_HEADER), header(ATTEMPT_HEADER))?
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
            naming,
        })
    }
}

/// Guards against answers whose end the caller cannot tell from a cut: HTTP/1.0 knows no chunks,
/// so a broken body would look complete there.
fn check_form(request: &Request<Incoming>) -> Result<(), Error> {
    if request.version() != Version::HTTP_11 {
        return Err(Error::new(ErrorKind::BadRequest, "HTTP/1.1 is needed"));
    }
    if request.method() == Method::CONNECT {
        return Err(Error::new(ErrorKind::BadRequest, "CONNECT is not served"));
    }
    Ok(())
}

/// A request may be repeated when its method is idempotent by HTTP's own rules and its service
/// does not list it as non-repeatable.
fn is_repeatable(request: &Request<Incoming>, non_repeatable: &[String]) -> bool {
    let call = format!("{} {}", request.method(), request.uri().path());
    request.method().is_idempotent() && !non_repeatable.iter().any(|start| call.starts_with(start))
}

fn naming(service: &str, caller: &str, key: &str, attempt: &str) -> Result<Option<Naming>, Error> {
    match (key, attempt) {
        ("", "" | "1") => Ok(None),
        ("", _) => Err(Error::new(
            ErrorKind::BadRequest,
            format!("{ATTEMPT_HEADER}: a repeat needs {IDEMPOTENCY_HEADER}"),
        )),
        (_, "") => Err(Error::new(
            ErrorKind::BadRequest,
            format!("{IDEMPOTENCY_HEADER}: a non-repeatable request needs {ATTEMPT_HEADER}"),
        )),
        (key, _) if key.len() > MAX_NAME_BYTES => Err(wrong(IDEMPOTENCY_HEADER, "too long")),
        (key, text) => {
            let attempt = text.parse().ok().filter(|attempt| *attempt > 0);
            let attempt = attempt.ok_or_else(|| wrong(ATTEMPT_HEADER, text))?;
            Ok(Some(Naming { key: format!("{service}\n{caller}\n{key}"), attempt }))
        }
    }
}

fn wrong(header: &str, value: &str) -> Error {
    Error::new(ErrorKind::BadRequest, format!("{header}: {value:?}"))
}
