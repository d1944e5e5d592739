//! Retry-After of callers that are refused during a store outage.
//!
//! Load pattern: the store is unavailable for some seconds and every caller is refused. Each caller
//! retries a few times and then gives up. With a constant Retry-After of a second, all have given
//! up by the time the store is available again.

/// Minimum Retry-After: an outage that has just begun may be a lost connection.
pub(super) const MIN_RETRY_AFTER_MS: u64 = 1_000;

/// Maximum Retry-After: no caller should wait for long after the store is available again.
pub(super) const MAX_RETRY_AFTER_MS: u64 = 8_000;

/// Returns the time after which a caller should retry in an outage that has lasted for `away_ms`.
///
/// With nothing else known, the outage is expected to last as long again.
pub fn retry_after_ms(away_ms: u64) -> u32 {
    away_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS) as u32
}
