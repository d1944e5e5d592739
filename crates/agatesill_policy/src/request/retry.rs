//! Retryable outcomes and the retry budget.
//!
//! Many upstreams may fail at once. Without a budget every request is sent up to [`MAX_ATTEMPTS`]
//! times. The failure then multiplies the load while capacity is missing, and the overload outlasts
//! its cause.

use super::Outcome;

/// Maximum attempts for one request, including the first. Two attempts at upstreams that fail
/// independently with 1% (two of 50) leave one request in 10,000 unanswered. The third attempt
/// covers a wave of failures.
pub const MAX_ATTEMPTS: u8 = 3;

/// Successful requests that earn one retry, which limits the additional load to 10%.
const SUCCESSES_PER_RETRY: u32 = 10;

/// Maximum retries that a budget accumulates. They cover the requests in flight at one failing
/// upstream out of 50, and are fewer than 1% of the requests that a daemon relays in 5 s.
const MAX_SAVED_RETRIES: u32 = 20;

/// Initial retries of a service, so that its first failures can be retried.
const INITIAL_RETRIES: u32 = 5;

/// Retry budget of one service.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    saved_successes: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { saved_successes: INITIAL_RETRIES * SUCCESSES_PER_RETRY }
    }
}

impl RetryBudget {
    /// Adds the credit for one complete response.
    pub fn deposit(&mut self) {
        self.saved_successes =
            (self.saved_successes + 1).min(MAX_SAVED_RETRIES * SUCCESSES_PER_RETRY);
    }

    /// Withdraws one retry; returns whether the budget had one.
    pub fn withdraw(&mut self) -> bool {
        let has_retry = self.saved_successes >= SUCCESSES_PER_RETRY;
        if has_retry {
            self.saved_successes -= SUCCESSES_PER_RETRY;
        }
        has_retry
    }
}

/// Whether the outcome permits another attempt.
///
/// Prevents a non-repeatable request from running twice: it is retried only if no byte of it was
/// sent or the upstream states that it did not run it.
pub fn is_retryable(outcome: Outcome, repeatable: bool) -> bool {
    match outcome {
        Outcome::NotSent | Outcome::Refused => true,
        Outcome::Broken => repeatable,
        Outcome::Answered | Outcome::Abandoned => false,
    }
}
