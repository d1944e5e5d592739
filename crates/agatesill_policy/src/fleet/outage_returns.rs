//! Retry-After that spreads refused callers over the time in which a returning store can serve them.
//!
//! Load pattern: the store is unavailable for some seconds beside a burst, and hundreds of callers are
//! refused. By the length of the outage alone, many of them return within the same second, those of
//! urgent jobs behind the others.
//!
//! Callers choose daemons at random, so the callers that one daemon has refused over its part of the
//! store's rate are what the fleet would find.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::retry_after::{MAX_RETRY_AFTER_MS, MIN_RETRY_AFTER_MS, retry_after_ms};

const MS_PER_S: u64 = 1_000;

/// Seed of the position of a caller among those who return.
const POSITION_SEED: u64 = 0;

/// Seed of the rounding to whole seconds.
const ROUNDING_SEED: u64 = 1;

/// Callers that one daemon has refused in the present outage.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OutageReturns {
    urgent: u64,
    others: u64,
    away_ms: u64,
}

impl OutageReturns {
    /// Counts a caller that is refused in an outage that has lasted for `away_ms`, and returns when it
    /// should retry, in whole seconds. `jobs_per_s` is the rate at which this daemon can store jobs after
    /// the outage.
    ///
    /// Urgent callers come first. If there are too many for the longest Retry-After, the first ones
    /// return before the outage is expected to end. A shorter outage than the last one is another one.
    pub fn refuse(&mut self, id: &str, is_urgent: bool, away_ms: u64, jobs_per_s: f64) -> u32 {
        if away_ms < self.away_ms {
            *self = Self::default();
        }
        self.away_ms = away_ms;
        let refused = if is_urgent { &mut self.urgent } else { &mut self.others };
        *refused += 1;
        let (before, same) = if is_urgent { (0, self.urgent) } else { (self.urgent, self.others) };
        let position = before as f64 + same as f64 * draw(id, POSITION_SEED, away_ms);
        let callers = (self.urgent + self.others) as f64;
        let (min_ms, max_ms) = (MIN_RETRY_AFTER_MS as f64, MAX_RETRY_AFTER_MS as f64);
        let return_ms = callers * MS_PER_S as f64 / jobs_per_s.max(1.0);
        let start_ms = f64::from(retry_after_ms(away_ms)).min((max_ms - return_ms).max(min_ms));
        let due_ms = start_ms + return_ms.min(max_ms - start_ms) * position / callers;
        round_to_s(due_ms, draw(id, ROUNDING_SEED, away_ms))
    }
}

/// Rounds to whole seconds, up with a probability that keeps the mean: callers that are refused at
/// different times would otherwise return in the same seconds.
fn round_to_s(due_ms: f64, draw: f64) -> u32 {
    let (min_s, max_s) = (MIN_RETRY_AFTER_MS / MS_PER_S, MAX_RETRY_AFTER_MS / MS_PER_S);
    let due_s = (due_ms / MS_PER_S as f64 + draw) as u64;
    (due_s.clamp(min_s, max_s) * MS_PER_S) as u32
}

/// A number from 0 to 1 for a caller, another one when it returns in another second of the outage.
fn draw(id: &str, seed: u64, away_ms: u64) -> f64 {
    let hash = xxh3_64_with_seed(id.as_bytes(), seed << 32 | (away_ms / MS_PER_S));
    hash as f64 / u64::MAX as f64
}
