//! The store lease of the records of refused jobs that one daemon writes.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agatesill_coord::store::Store;
use agatesill_wire::platform::StoreCall;

use super::clock::US_PER_S;
use super::job_store::WRITE_TIMEOUT;

/// Lease of the records. They then vanish from the store by themselves.
const LEASE: Duration = Duration::from_secs(30);

/// Time after which a new lease is used for further records. A record lives at least for the rest of
/// the lease, which must be longer than a write can be late.
const MAX_LEASE_AGE_US: u64 = 15 * US_PER_S;

/// The lease of the records that this daemon writes.
#[derive(Debug, Default)]
pub struct RecordLease {
    current: Mutex<Option<GrantedLease>>,
}

#[derive(Clone, Copy, Debug)]
struct GrantedLease {
    lease_id: u64,
    /// When the lease was requested.
    requested_us: u64,
}

impl RecordLease {
    /// A lease for a record that is written at `now_us`; `None` if the store grants none. A lease is not
    /// renewed: the next one takes its place, and it ends with its records.
    pub async fn id(&self, store: &Store, now_us: u64) -> Option<u64> {
        let current = *self.lock();
        let is_young =
            |lease: &GrantedLease| now_us.saturating_sub(lease.requested_us) < MAX_LEASE_AGE_US;
        if let Some(current) = current.filter(is_young) {
            return Some(current.lease_id);
        }
        let grant = StoreCall::Grant { ttl_ms: LEASE.as_millis() as u64 };
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
