//! Client of the platform's key-value service.
//!
//! Only the [`Transport`] has to be replaced for another service: a function from a call to a
//! reply. The client adds a timeout per call, a rate limit, a bounded queue in which leases and
//! ledger records have priority, a jittered back-off while calls fail, counters, and a check
//! against stale reads: the revision of the service never decreases for one client.

mod call_limiter;
mod cursor;
mod watch;

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use agatesill_wire::http::{BODY_TIMEOUT, JsonClient};
use agatesill_wire::platform::{Entry, KeyVersion, Put, StoreCall, StoreReply};
use agatesill_wire::prelude::*;
use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::time::Instant;

use self::call_limiter::{CallClass, CallLimiter};
pub use self::cursor::{MAX_WATCH_LAG, WatchCursor};
pub use self::watch::{WATCH_TIMEOUT_MS, watch_prefix};

/// Timeout of a call. A service that takes longer counts as unavailable.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of a call for a page, which has up to 1 MB and takes a second at 10 Mbit/s.
pub const PAGE_TIMEOUT: Duration = Duration::from_millis(4_000);

/// Default rate limit of one process, in calls per second. Eight daemons at this rate stay below
/// the service's two thousand reads and several hundred writes per second.
pub const DEFAULT_CALLS_PER_S: u32 = 100;

/// Maximum number of attempts to read before a call with stale replies fails.
const MAX_READ_ATTEMPTS: usize = 3;

/// The reply to one call, as returned by a [`Transport`].
pub type ReplyFuture = Pin<Box<dyn Future<Output = Result<StoreReply, Error>> + Send>>;

/// Sends one call to the service, with a timeout.
pub type Transport = Arc<dyn Fn(StoreCall, Duration) -> ReplyFuture + Send + Sync>;

/// Number of calls since the start of the process.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Writes, grants, renewals and revocations.
    pub writes: AtomicU64,
    /// Reads and watches.
    pub reads: AtomicU64,
    /// Calls that failed or timed out.
    pub failures: AtomicU64,
    /// Calls that were not sent: queue full, service failing, or rate limit exhausted.
    pub unsent: AtomicU64,
    /// Replies with a revision older than one that this process had already seen.
    pub stale: AtomicU64,
}

/// How long one call took, all attempts together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct CallTiming {
    /// Time in the call limiter, before the call was sent.
    pub queued: Duration,
    /// Time from sending the call to its outcome.
    pub sent: Duration,
}

/// Client of the key-value service. Clones share the rate limit, the counters and the revision.
#[derive(Clone)]
pub struct Store {
    transport: Transport,
    counts: Arc<CallCounts>,
    limiter: Arc<CallLimiter>,
    revision: Arc<AtomicU64>,
    random: Arc<Mutex<Pcg64Mcg>>,
}

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Store").field("counts", &self.counts).finish_non_exhaustive()
    }
}

impl Store {
    /// Connects to the service at `addr` over HTTP.
    pub fn over_http(addr: SocketAddr) -> Self {
        let client = JsonClient::default();
        Self::with_transport(Arc::new(move |call, timeout| {
            let client = client.clone();
            Box::pin(async move { client.call(Method::POST, addr, "/v1/kv", &call, timeout).await })
        }))
    }

    /// Uses `transport` to reach the service.
    pub fn with_transport(transport: Transport) -> Self {
        Self {
            transport,
            counts: Arc::default(),
            limiter: Arc::new(CallLimiter::new(DEFAULT_CALLS_PER_S)),
            revision: Arc::default(),
            random: Arc::new(Mutex::new(Pcg64Mcg::seed_from_u64(rand::random()))),
        }
    }

    /// Sets the rate limit, shared by all later clones.
    pub fn with_rate_limit(self, calls_per_s: u32) -> Self {
        Self { limiter: Arc::new(CallLimiter::new(calls_per_s)), ..self }
    }

    /// Seeds the jitter of back-offs, for reproducible runs.
    pub fn with_seed(self, seed: u64) -> Self {
        Self { random: Arc::new(Mutex::new(Pcg64Mcg::seed_from_u64(seed))), ..self }
    }

    /// A random number between 0 and 1, to spread the back-offs of different callers.
    pub fn jitter(&self) -> f64 {
        self.random.lock().unwrap_or_else(PoisonError::into_inner).random()
    }

    /// Counters since the start of the process.
    pub fn counts(&self) -> &CallCounts {
        &self.counts
    }

    /// Number of failed calls since the last answered one.
    pub fn consecutive_failures(&self) -> u32 {
        self.limiter.service().consecutive_failures()
    }

    /// Whether consecutive calls have failed. A request can then be rejected immediately, to be
    /// retried later, instead of waiting for a call that will not be answered.
    pub fn is_unavailable(&self) -> bool {
        self.limiter.service().is_unavailable()
    }

    /// How long calls have been failing; zero while the service is available.
    pub fn unavailable_for(&self) -> Duration {
        self.limiter.service().unavailable_for()
    }

    /// Shortens the back-off after failures, so that the next call is sent soon. To be called when
    /// another process reports that the service is available again.
    pub fn retry_soon(&self) {
        self.limiter.shorten_backoff();
    }

    /// Makes one call. After an error, it is unknown whether the call took effect.
    pub async fn call(&self, call: StoreCall) -> Result<StoreReply, Error> {
        self.call_reporting_outcome(call).await.map_err(outcome_irrelevant)
    }

    /// Makes one read or watch call that waits behind no other call of this process. `answer_timeout`
    /// is the timeout until the answer begins, in addition to the wait of a watch; a transport that
    /// does not know when it begins applies it to the whole answer. Adds up in `timing` how long the
    /// call took.
    ///
    /// For loops that limit their own rate and whose results have a deadline. That such a call runs
    /// out of its short timeout does not make the service unavailable for others.
    pub async fn call_promptly(
        &self,
        call: StoreCall,
        answer_timeout: Duration,
        timing: &mut CallTiming,
    ) -> Result<StoreReply, Error> {
        let (class, body_timeout) = (CallClass::Prompt, BODY_TIMEOUT);
        let limits = CallLimits { class, answer_timeout, body_timeout };
        self.attempt(call, limits, timing).await.map_err(outcome_irrelevant)
    }

    /// Makes one call. [`ErrorKind::OutcomeUnknown`] means that it may have taken effect or may
    /// still do so; every other kind means that it has not and never will.
    pub async fn call_reporting_outcome(&self, call: StoreCall) -> Result<StoreReply, Error> {
        let limits = CallLimits::of(&call);
        self.attempt(call, limits, &mut CallTiming::default()).await
    }

    async fn attempt(
        &self,
        call: StoreCall,
        limits: CallLimits,
        timing: &mut CallTiming,
    ) -> Result<StoreReply, Error> {
        for _ in 0..MAX_READ_ATTEMPTS {
            // A lagging replica may return a stale reply, which would restore a configuration or an
            // owner that this process knows to be outdated.
            let seen = self.min_revision(&call);
            let reply = self.call_once(call.clone(), limits, timing).await?;
            if reply.is_compacted {
                return Ok(reply);
            }
            if reply.revision >= seen {
                self.revision.fetch_max(reply.revision, Ordering::AcqRel);
                return Ok(reply);
            }
            self.counts.stale.fetch_add(1, Ordering::Relaxed);
            if !is_read(&call) {
                return Ok(reply);
            }
        }
        Err(Error::new(ErrorKind::StoreUnavailable, "the service returned stale data")
            .retry_after(500))
    }

    /// Minimum revision of a reply that is not stale. A watch returns the changes after its own
    /// revision and, if there are many, only the first ones, so that its reply may have a lower
    /// revision than this process has seen without being stale.
    fn min_revision(&self, call: &StoreCall) -> u64 {
        match call {
            StoreCall::Watch { after_revision, .. } => *after_revision,
            _ => self.newest_revision(),
        }
    }

    /// Highest revision of the service that this process has seen.
    pub fn newest_revision(&self) -> u64 {
        self.revision.load(Ordering::Acquire)
    }

    async fn call_once(
        &self,
        call: StoreCall,
        limits: CallLimits,
        timing: &mut CallTiming,
    ) -> Result<StoreReply, Error> {
        let timeout = match &call {
            StoreCall::Watch { wait_ms, .. } => {
                limits.answer_timeout + Duration::from_millis(*wait_ms)
            }
            _ => limits.answer_timeout,
        };
        let queued = Instant::now();
        let permit = self.limiter.acquire(limits.class).await;
        timing.queued += queued.elapsed();
        let permit = permit.inspect_err(|_| {
            self.counts.unsent.fetch_add(1, Ordering::Relaxed);
        })?;
        let count = if is_read(&call) { &self.counts.reads } else { &self.counts.writes };
        count.fetch_add(1, Ordering::Relaxed);
        let sent = Instant::now();
        let (transport, whole) = ((self.transport)(call, timeout), timeout + limits.body_timeout);
        let outcome = tokio::time::timeout(whole, transport).await;
        timing.sent += sent.elapsed();
        let is_inconclusive = limits.class == CallClass::Prompt && sent.elapsed() >= timeout;
        let outcome = outcome.unwrap_or_else(|_| {
            let detail = format!("no answer within {} ms", timeout.as_millis());
            Err(Error::new(ErrorKind::Unreachable, detail))
        });
        let failure = outcome.as_ref().err().filter(|error| {
            // A rejection of an invalid call is an answer: the service is available.
            !matches!(error.kind, ErrorKind::TooLarge | ErrorKind::BadRequest)
        });
        match failure {
            Some(_) if is_inconclusive => drop(permit),
            failure => permit.done(failure.map(|error| error.detail.as_str()), self.jitter()),
        }
        let answered = failure.is_none();
        outcome.map_err(|error| {
            self.counts.failures.fetch_add(1, Ordering::Relaxed);
            if answered {
                return error;
            }
            // Without an answer, the call may have taken effect or may still do so.
            let kind = match error.kind {
                ErrorKind::Unreachable => ErrorKind::OutcomeUnknown,
                _ => ErrorKind::StoreUnavailable,
            };
            Error::new(kind, error.detail).retry_after(1_000)
        })
    }

    /// Reads one key.
    pub async fn get(&self, key: &str) -> Result<Option<Entry>, Error> {
        let reply = self.call(StoreCall::Range { prefix: key.to_owned() }).await?;
        Ok(reply.entries.into_iter().find(|entry| entry.key == key))
    }

    /// Reads all keys under `prefix`, in order.
    pub async fn range(&self, prefix: &str) -> Result<Vec<Entry>, Error> {
        Ok(self.call(StoreCall::Range { prefix: prefix.to_owned() }).await?.entries)
    }

    /// Deletes `key` if its version is `expect_version`; returns whether it was deleted.
    pub async fn delete(&self, key: &str, expect_version: u64) -> Result<bool, Error> {
        let call = StoreCall::Cas { key: key.to_owned(), expect_version, value: None, lease_id: 0 };
        Ok(self.call(call).await?.applied)
    }

    /// Writes `key` if its version is `expect_version`, bound to lease `lease_id` unless that is 0.
    /// The reply's `applied` is false if the version differs.
    pub async fn cas(
        &self,
        key: &str,
        expect_version: u64,
        value: String,
        lease_id: u64,
    ) -> Result<StoreReply, Error> {
        let value = Some(value);
        self.call(StoreCall::Cas { key: key.to_owned(), expect_version, value, lease_id }).await
    }
}

impl Store {
    /// Reads all keys under `prefix`, page by page. The pages are not a consistent snapshot. The
    /// reply has the revision of the first page, so that a watch from that revision misses no
    /// change.
    pub async fn read_all(&self, prefix: &str) -> Result<StoreReply, Error> {
        let first = StoreCall::Page { prefix: prefix.to_owned(), after: String::new() };
        let mut combined = self.call(first).await?;
        let mut has_more = combined.has_more;
        while has_more {
            let Some(last) = combined.entries.last() else { break };
            let next = StoreCall::Page { prefix: prefix.to_owned(), after: last.key.clone() };
            let page = self.call(next).await?;
            has_more = page.has_more;
            combined.entries.extend(page.entries);
        }
        Ok(combined)
    }

    /// Writes and deletes keys in one transaction. The reply's `applied` is false if a version
    /// differs.
    pub async fn txn(
        &self,
        expected: Vec<KeyVersion>,
        puts: Vec<Put>,
        deletes: Vec<String>,
    ) -> Result<StoreReply, Error> {
        self.call(StoreCall::Txn { expected, puts, deletes }).await
    }
}

/// Class and timeout of a call.
#[derive(Clone, Copy, Debug)]
struct CallLimits {
    class: CallClass,
    /// Timeout of the answer, in addition to the wait of a watch.
    answer_timeout: Duration,
    /// Additional time for an answer that has begun.
    body_timeout: Duration,
}

impl CallLimits {
    fn of(call: &StoreCall) -> Self {
        let answer_timeout = match call {
            StoreCall::Page { .. } => PAGE_TIMEOUT,
            _ => CALL_TIMEOUT,
        };
        Self { class: class_of(call), answer_timeout, body_timeout: Duration::ZERO }
    }
}

fn outcome_irrelevant(error: Error) -> Error {
    match error.kind {
        ErrorKind::OutcomeUnknown => Error { kind: ErrorKind::StoreUnavailable, ..error },
        _ => error,
    }
}

fn is_read(call: &StoreCall) -> bool {
    matches!(call, StoreCall::Range { .. } | StoreCall::Page { .. } | StoreCall::Watch { .. })
}

fn class_of(call: &StoreCall) -> CallClass {
    match call {
        StoreCall::Watch { .. } => CallClass::Watch,
        StoreCall::Grant { .. } | StoreCall::Renew { .. } | StoreCall::Revoke { .. } => {
            CallClass::Urgent
        }
        StoreCall::Cas { key, .. } if !key.starts_with(crate::config::CONFIG_PREFIX) => {
            CallClass::Urgent
        }
        StoreCall::Txn { .. } => CallClass::Urgent,
        StoreCall::Cas { .. } | StoreCall::Range { .. } | StoreCall::Page { .. } => {
            CallClass::Normal
        }
    }
}
