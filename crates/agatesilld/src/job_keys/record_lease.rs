//! The store lease of the records that one daemon writes under the keys of jobs that are not stored.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agatesill_coord::store::Store;
use agatesill_wire::platform::StoreCall;

use super::guarded::{Guarded, WRITE_TIMEOUT, write_guarded};
use super::refusal_record::RefusalRecord;

/// Lease of the records of refused jobs. They then vanish from the store by themselves.
const DEFAULT_TTL: Duration = Duration::from_secs(30);

/// Part of the lease after which a new one is used for further records. A record lives at least for the
/// rest of the lease, which must be longer than a write can be late.
const MAX_AGE_DIVISOR: u32 = 2;

/// The lease of the records that this daemon writes.
#[derive(Debug)]
pub struct RecordLease {
    ttl: Duration,
    current: Mutex<Option<GrantedLease>>,
}

#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    lease_id: u64,
    /// When the lease was requested.
    requested_us: u64,
}

impl Default for RecordLease {
    fn default() -> Self {
        Self::new(DEFAULT_TTL)
    }
}

impl RecordLease {
    /// A lease with this time to live.
    pub fn new(ttl: Duration) -> Self {
        Self { ttl, current: Mutex::default() }
    }

    /// Writes a record under the key of a job if that has the expected version; 0 means absent.
    pub async fn write(
        &self,
        store: &Store,
        key: &str,
        expect_version: u64,
        record: &RefusalRecord,
        now_us: u64,
    ) -> Guarded {
        let value = match serde_json::to_string(record) {
            Ok(value) => value,
            Err(error) => {
                log::error!(event = "refusal_unencodable", key = key; "{error}");
                return Guarded::NotWritten;
            }
        };
        let Some(lease_id) = self.id(store, now_us).await else {
            return Guarded::NotWritten;
        };
        let write = write_guarded(store, key, expect_version, &value, lease_id).await;
        if matches!(write, Guarded::Conflict(None)) {
            // The key was deleted in the meantime, or the lease has ended.
            self.forget(lease_id);
        }
        write
    }

    /// A lease for a record that is written at `now_us`; `None` if the store grants none. A lease is not
    /// renewed: the next one takes its place, and it ends with its records.
    pub async fn id(&self, store: &Store, now_us: u64) -> Option<u64> {
        let current = *self.lock();
        let max_age_us = (self.ttl / MAX_AGE_DIVISOR).as_micros() as u64;
        let is_young =
            |lease: &GrantedLease| now_us.saturating_sub(lease.requested_us) < max_age_us;
        if let Some(current) = current.filter(is_young) {
            return Some(current.lease_id);
        }
        let grant = StoreCall::Grant { ttl_ms: self.ttl.as_millis() as u64 };
        let failure = match tokio::time::timeout(WRITE_TIMEOUT, store.call(grant)).await {
            Ok(Ok(reply)) => {
                let lease_id = reply.lease_id;
                *self.lock() = Some(GrantedLease { lease_id, requested_us: now_us });
                return Some(lease_id);
            }
            Ok(Err(error)) => error.to_string(),
            Err(_) => "no answer in time".to_owned(),
        };
        log::info!(event = "refusal_lease_not_granted"; "{failure}");
        None
    }

    /// Uses a new lease for the next record in place of this one, which may have ended.
    pub fn forget(&self, lease_id: u64) {
        let mut current = self.lock();
        if current.is_some_and(|current| current.lease_id == lease_id) {
            *current = None;
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<GrantedLease>> {
        self.current.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
