//! When callers that were refused in an outage should come back.
//!
//! Load pattern: the store is away for some seconds and every caller is refused; each tries a few times
//! and gives up. Told to come back after a second each time, all have given up when it returns.

/// Shortest time to come back: an outage that has just begun may be a lost connection.
const LEAST_MS: u64 = 1_000;

/// Longest time: nobody should wait for long after the return.
const MOST_MS: u64 = 8_000;

/// The time after which a caller should come back in an outage that has lasted for `away_ms`: nothing
/// else being known, it lasts as long again.
pub fn retry_after_ms(away_ms: u64) -> u32 {
    away_ms.clamp(LEAST_MS, MOST_MS) as u32
}
