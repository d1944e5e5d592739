//! The adapter to the platform's key-value service.
//!
//! A [`Transport`] is the only thing to replace for another service: one function from a call to
//! an answer. Around it stand a deadline for each call, a budget of calls a second, a bounded
//! queue in which leases and ledger records go first, a jittered pause while calls fail, counters,
//! and a check against stale reads: the service's revision never falls for one client.

mod call_limiter;
mod watch;

use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use agatesill_wire::http::JsonClient;
use agatesill_wire::platform::{Entry, KeyVersion, Put, StoreCall, StoreReply};
use agatesill_wire::prelude::*;
use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use self::call_limiter::{Class, Gate};
pub use self::watch::{WATCH_MS, watch_prefix};

/// Answers of the service that take longer than this count as an outage.
pub const CALL_LIMIT: Duration = Duration::from_millis(1_500);

/// The same for a page of up to a megabyte, which takes a second on a link of 10 Mbit/s.
pub const PAGE_LIMIT: Duration = Duration::from_millis(4_000);

/// Calls a second that one process may make unless told otherwise. Eight daemons at this rate stay
/// below the service's two thousand reads and several hundred writes.
pub const DEFAULT_CALLS_PER_S: u32 = 100;

/// Readings of one call that may turn out stale before it fails.
const STALE_TRIES: usize = 3;

/// What a transport returns.
pub type ReplyFuture = Pin<Box<dyn Future<Output = Result<StoreReply, Error>> + Send>>;

/// How calls reach the service; replace this to talk to another one.
pub type Transport = Arc<dyn Fn(StoreCall, Duration) -> ReplyFuture + Send + Sync>;

/// Calls by direction since the start.
#[derive(Debug, Default)]
pub struct CallCounts {
    /// Writes, grants, renewals and revocations.
    pub writes: AtomicU64,
    /// Reads and watches.
    pub reads: AtomicU64,
    /// Calls that failed or ran out of time.
    pub failures: AtomicU64,
    /// Calls that were not sent: queue full, service failing, or budget used up.
    pub unsent: AtomicU64,
    /// Readings that were older than what this process had seen.
    pub stale: AtomicU64,
}

/// The key-value service as the other parts see it.
#[derive(Clone)]
pub struct Store {
    transport: Transport,
    counts: Arc<CallCounts>,
    gate: Arc<Gate>,
    revision: Arc<AtomicU64>,
    random: Arc<Mutex<Pcg64Mcg>>,
}

impl std::fmt::Debug for Store {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Store").field("counts", &self.counts).finish_non_exhaustive()
    }
}

impl Store {
    /// Uses the service at `addr` over HTTP.
    pub fn over_http(addr: SocketAddr) -> Self {
        let client = JsonClient::default();
        Self::with_transport(Arc::new(move |call, limit| {
            let client = client.clone();
            Box::pin(async move { client.call(Method::POST, addr, "/v1/kv", &call, limit).await })
        }))
    }

    /// Uses any transport.
    pub fn with_transport(transport: Transport) -> Self {
        Self {
            transport,
            counts: Arc::default(),
            gate: Arc::new(Gate::new(DEFAULT_CALLS_PER_S)),
            revision: Arc::default(),
            random: Arc::new(Mutex::new(Pcg64Mcg::seed_from_u64(rand::random()))),
        }
    }

    /// The same with a budget of `calls_per_s`, shared by all clones made from here on.
    pub fn with_rate_limit(self, calls_per_s: u32) -> Self {
        Self { gate: Arc::new(Gate::new(calls_per_s)), ..self }
    }

    /// The same with pauses drawn from `seed`, for runs that can be repeated.
    pub fn with_seed(self, seed: u64) -> Self {
        Self { random: Arc::new(Mutex::new(Pcg64Mcg::seed_from_u64(seed))), ..self }
    }

    /// A number from 0 to 1, for pauses that should differ between callers.
    pub fn jitter(&self) -> f64 {
        self.random.lock().unwrap_or_else(PoisonError::into_inner).random()
    }

    /// Calls since the start.
    pub fn counts(&self) -> &CallCounts {
        &self.counts
    }

    /// Calls that failed since the last one that was answered.
    pub fn consecutive_failures(&self) -> u32 {
        self.gate.service().consecutive_failures()
    }

    /// Whether call after call fails: a caller is then told at once to come back instead of waiting
    /// for a call that will not be answered.
    pub fn is_unavailable(&self) -> bool {
        self.gate.service().is_unavailable()
    }

    /// How long call after call has failed; zero while calls are answered.
    pub fn unavailable_for(&self) -> Duration {
        self.gate.service().unavailable_for()
    }

    /// Lets the next call out soon where calls pause after failures. For a process that learns from
    /// another that the service answers again.
    pub fn retry_soon(&self) {
        self.gate.shorten_pause();
    }

    /// Makes one call. An error says nothing about whether it took effect.
    pub async fn call(&self, call: StoreCall) -> Result<StoreReply, Error> {
        self.call_reporting_outcome(call).await.map_err(|error| match error.kind {
            ErrorKind::OutcomeUnknown => Error { kind: ErrorKind::StoreUnavailable, ..error },
            _ => error,
        })
    }

    /// Makes one call. [`ErrorKind::OutcomeUnknown`] means that it may have taken effect, or may do
    /// so later; every other kind that it has not and never will.
    pub async fn call_reporting_outcome(&self, call: StoreCall) -> Result<StoreReply, Error> {
        for _ in 0..STALE_TRIES {
            // Guards against a stale read, as from a replica that lags: it would bring back a
            // configuration or an owner that this process knows to be past.
            let seen = self.least_revision(&call);
            let reply = self.call_once(call.clone()).await?;
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
        Err(Error::new(ErrorKind::StoreUnavailable, "stale readings").retry_after(500))
    }

    /// The revision below which an answer to a call is stale. A watch tells the changes after its own
    /// revision and, if they are many, not all of them: where it ends is behind this process, not stale.
    fn least_revision(&self, call: &StoreCall) -> u64 {
        match call {
            StoreCall::Watch { after_revision, .. } => *after_revision,
            _ => self.newest_revision(),
        }
    }

    /// The newest revision of the service that this process has seen.
    pub fn newest_revision(&self) -> u64 {
        self.revision.load(Ordering::Acquire)
    }

    async fn call_once(&self, call: StoreCall) -> Result<StoreReply, Error> {
        let limit = match &call {
            StoreCall::Watch { wait_ms, .. } => CALL_LIMIT + Duration::from_millis(*wait_ms),
            StoreCall::Page { .. } => PAGE_LIMIT,
            _ => CALL_LIMIT,
        };
        let permit = self.gate.enter(class_of(&call)).await.inspect_err(|_| {
            self.counts.unsent.fetch_add(1, Ordering::Relaxed);
        })?;
        let count = if is_read(&call) { &self.counts.reads } else { &self.counts.writes };
        count.fetch_add(1, Ordering::Relaxed);
        let outcome = tokio::time::timeout(limit, (self.transport)(call, limit)).await;
        let outcome = outcome.unwrap_or_else(|_| {
            let what = format!("no answer within {} ms", limit.as_millis());
            Err(Error::new(ErrorKind::Unreachable, what))
        });
        let failure = outcome.as_ref().err().filter(|error| {
            // The service's own word that the call can never be done is an answer.
            !matches!(error.kind, ErrorKind::TooLarge | ErrorKind::BadRequest)
        });
        permit.done(failure.map(|error| error.detail.as_str()), self.jitter());
        let answered = failure.is_none();
        outcome.map_err(|error| {
            self.counts.failures.fetch_add(1, Ordering::Relaxed);
            if answered {
                return error;
            }
            // Without an answer the call may have taken effect, or may do so later.
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

    /// Deletes `key` if its version is `expect_version`; true when it did.
    pub async fn delete(&self, key: &str, expect_version: u64) -> Result<bool, Error> {
        let call = StoreCall::Cas { key: key.to_owned(), expect_version, value: None, lease_id: 0 };
        Ok(self.call(call).await?.applied)
    }

    /// Writes `key` if its version is `expect_version`; returns the service's answer.
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
    /// Reads everything under `prefix`, page by page. The pages are no snapshot; the revision of
    /// the reply is that of the first, so that a watch from there on misses nothing.
    pub async fn read_all(&self, prefix: &str) -> Result<StoreReply, Error> {
        let first = StoreCall::Page { prefix: prefix.to_owned(), after: String::new() };
        let mut all = self.call(first).await?;
        let mut has_more = all.has_more;
        while has_more {
            let Some(last) = all.entries.last() else { break };
            let next = StoreCall::Page { prefix: prefix.to_owned(), after: last.key.clone() };
            let page = self.call(next).await?;
            has_more = page.has_more;
            all.entries.extend(page.entries);
        }
        Ok(all)
    }

    /// Writes and deletes keys together; false in the reply's `applied` if a version differs.
    pub async fn txn(
        &self,
        expected: Vec<KeyVersion>,
        puts: Vec<Put>,
        deletes: Vec<String>,
    ) -> Result<StoreReply, Error> {
        self.call(StoreCall::Txn { expected, puts, deletes }).await
    }
}

fn is_read(call: &StoreCall) -> bool {
    matches!(call, StoreCall::Range { .. } | StoreCall::Page { .. } | StoreCall::Watch { .. })
}

fn class_of(call: &StoreCall) -> Class {
    match call {
        StoreCall::Watch { .. } => Class::Watch,
        StoreCall::Grant { .. } | StoreCall::Renew { .. } | StoreCall::Revoke { .. } => {
            Class::Urgent
        }
        StoreCall::Cas { key, .. } if !key.starts_with(crate::config::CONFIG_PREFIX) => {
            Class::Urgent
        }
        StoreCall::Txn { .. } => Class::Urgent,
        StoreCall::Cas { .. } | StoreCall::Range { .. } | StoreCall::Page { .. } => Class::Normal,
    }
}
