//! A token bucket on a given clock, for starts and evictions.
//!
//! Load pattern: a rack or zone is lost and hundreds of tasks wait at once, or one late sample
//! shows many workers over their promise. Without a pace, the starts arrive in one burst at the
//! store and the workers, and evictions empty half the floor before the first shows its effect.

/// A rate with a burst.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    tokens: f64,
    refilled_ms: Option<u64>,
}

impl Pace {
    /// Adds what `per_second` allows since the last call, up to `burst`, and returns the whole
    /// tokens at hand. The first call finds the bucket full.
    pub fn refill(&mut self, now_ms: u64, per_second: f64, burst: f64) -> usize {
        let added = match self.refilled_ms {
            None => burst,
            Some(then_ms) => now_ms.saturating_sub(then_ms) as f64 / 1_000.0 * per_second,
        };
        self.refilled_ms = Some(now_ms);
        self.tokens = (self.tokens + added).min(burst);
        self.tokens as usize
    }

    /// Spends tokens.
    pub fn spend(&mut self, count: usize) {
        self.tokens = (self.tokens - count as f64).max(0.0);
    }
}
