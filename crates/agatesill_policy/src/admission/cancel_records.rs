//! Limits the records of cancels of jobs that are not stored.
//!
//! Load pattern: callers leave while the store is slow and cancel what they have just submitted, a few
//! dozens at a daemon within a second. Other callers cancel thousands of IDs that nobody has submitted.
//! Each such cancel occupies a key in the store, as the job may still be stored, and the planner needs
//! most of the writes that the store admits. A daemon therefore spends a small rate on them, which
//! accumulates for a burst.

use crate::token_bucket::TokenBucket;

/// Records that one daemon may write a second for long.
pub const MAX_RECORDS_PER_S: f64 = 5.0;

/// Records that it may write at once after a calm time.
pub const MAX_RECORDS_AT_ONCE: f64 = 50.0;

/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// Records that a daemon may still write.
#[derive(Clone, Debug, Default)]
pub struct CancelRecords {
    available: TokenBucket,
}

impl CancelRecords {
    /// Whether a record may be written now; it then counts as written.
    pub fn admit(&mut self, now_us: u64) -> bool {
        let now_ms = now_us / US_PER_MS;
        let is_admitted = self.available.refill(now_ms, MAX_RECORDS_PER_S, MAX_RECORDS_AT_ONCE) > 0;
        self.available.spend(usize::from(is_admitted));
        is_admitted
    }
}
