//! Whether a failed attempt is tried again.
//!
//! Load pattern: many upstreams fail at once. Without a budget every request is sent up to
//! [`MAX_ATTEMPTS`] times, so that the failure multiplies the load just when capacity is missing,
//! and the overload outlives its cause.

use super::Outcome;

/// Attempts for one request, the first included. Two upstreams of 50 that fail independently
/// with 1% leave one request in 10,000 unanswered after two attempts; a third covers a wave.
pub const MAX_ATTEMPTS: u8 = 3;

/// Successes that pay for one retry: 10% more load at most.
const SUCCESSES_PER_RETRY: u32 = 10;

/// Retries that may be saved up. It covers the requests in flight at one failing upstream out of
/// 50 at once and stays below 1% of the requests that a daemon carries in 5 s.
const MAX_SAVED_RETRIES: u32 = 20;

/// Retries that a service starts with, so that its first failures are not final.
const INITIAL_RETRIES: u32 = 5;

/// The retries that one service may still make.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    tenths: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { tenths: INITIAL_RETRIES * SUCCESSES_PER_RETRY }
    }
}

impl RetryBudget {
    /// Notes a whole answer.
    pub fn deposit(&mut self) {
        self.tenths = (self.tenths + 1).min(MAX_SAVED_RETRIES * SUCCESSES_PER_RETRY);
    }

    /// Takes one retry, if there is one.
    pub fn withdraw(&mut self) -> bool {
        let enough = self.tenths >= SUCCESSES_PER_RETRY;
        if enough {
            self.tenths -= SUCCESSES_PER_RETRY;
        }
        enough
    }
}

/// Whether the outcome permits another attempt.
///
/// Guards against a request that runs twice: a non-repeatable one is tried again only where no
/// byte left or the upstream says that it did not run it.
pub fn permits(outcome: Outcome, repeatable: bool) -> bool {
    match outcome {
        Outcome::NotSent | Outcome::Refused => true,
        Outcome::Broken => repeatable,
        Outcome::Answered | Outcome::Abandoned => false,
    }
}
