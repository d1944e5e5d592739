//! A token bucket. The caller passes the time.

/// A token bucket with a fractional fill level.
#[derive(Clone, Debug, Default)]
pub(crate) struct TokenBucket {
    tokens: f64,
    refilled_ms: Option<u64>,
}

impl TokenBucket {
    /// Adds tokens at the rate `per_second` for the time since the last call, up to `burst`, and
    /// returns the available whole tokens. The bucket is full at the first call.
    pub(crate) fn refill(&mut self, now_ms: u64, per_second: f64, burst: f64) -> usize {
        let added = match self.refilled_ms {
            None => burst,
            Some(last_ms) => now_ms.saturating_sub(last_ms) as f64 / 1_000.0 * per_second,
        };
        self.refilled_ms = Some(now_ms);
        self.tokens = (self.tokens + added).min(burst);
        self.tokens as usize
    }

    /// Removes `count` tokens.
    pub(crate) fn spend(&mut self, count: usize) {
        self.tokens = (self.tokens - count as f64).max(0.0);
    }
}
