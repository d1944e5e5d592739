//! Records of jobs that are not stored: their callers were told that they are refused, or that a job
//! which they cancelled does not exist.
//!
//! A record occupies the key of its job, so that no earlier write of the job can take effect after
//! its caller was told so. It is bound to a lease and vanishes with it.

use agatesill_policy::admission::Return;
use agatesill_policy::value_type;

/// Beginning of the value of a record. The value of a job begins with its ID.
const VALUE_PREFIX: &str = "{\"refused\":";

/// Milliseconds in a second, the unit of Retry-After.
const MS_PER_S: u64 = 1_000;

value_type! {
    /// When a job was refused. All times are those of wall clocks.
    #[derive(Copy, Eq)]
    pub struct Refused {
        /// When it was first refused.
        pub first_ms: u64,
        /// When it was last refused.
        pub last_ms: u64,
        /// When its caller was asked to return.
        pub return_ms: u64,
    }
}

value_type! {
    /// Value of the key of a job that was refused, or cancelled before it was stored.
    #[derive(Copy, Eq)]
    pub struct RefusalRecord {
        /// When it was refused; for a job that was only cancelled, when that was.
        pub refused: Refused,
        /// Whether it was cancelled. It does not run then, also if it is submitted later.
        #[serde(default, skip_serializing_if = "is_false")]
        pub is_cancelled: bool,
    }
}

#[allow(clippy::trivially_copy_pass_by_ref)] // Signature required by serde.
fn is_false(value: &bool) -> bool {
    !*value
}

impl RefusalRecord {
    /// A record of a job refused at `now_ms`, which is to return after `retry_after_ms`; `before` is
    /// its record so far.
    pub fn new(before: Option<&Self>, now_ms: u64, retry_after_ms: u32) -> Self {
        let first_ms = before.map_or(now_ms, |before| before.refused.first_ms);
        let return_ms = now_ms + u64::from(whole_seconds_ms(u64::from(retry_after_ms)));
        Self { refused: Refused { first_ms, last_ms: now_ms, return_ms }, is_cancelled: false }
    }

    /// A record of a job that is cancelled at `now_ms`; `before` is its record so far.
    pub fn cancelled(before: Option<&Self>, now_ms: u64) -> Self {
        let not_refused = Refused { first_ms: now_ms, last_ms: now_ms, return_ms: now_ms };
        let refused = before.map_or(not_refused, |before| before.refused);
        Self { refused, is_cancelled: true }
    }

    /// Decodes the value of a job's key; `None` if it is a job.
    pub fn decode(value: &str) -> Option<Self> {
        if !value.starts_with(VALUE_PREFIX) {
            return None;
        }
        serde_json::from_str(value).ok()
    }

    /// Whether a request that arrived at `arrived_ms` may be a copy of the refused one that another
    /// daemon received: it arrived in the first half of the time after which the caller was asked to
    /// return. The other half allows for clocks that differ.
    pub fn may_precede(&self, arrived_ms: u64) -> bool {
        let Refused { last_ms, return_ms, .. } = self.refused;
        arrived_ms < last_ms + return_ms.saturating_sub(last_ms) / 2
    }

    /// The return of a job that arrived at `arrived_ms`.
    pub fn returning(&self, arrived_ms: u64) -> Return {
        Return {
            since_first_refusal_ms: arrived_ms.saturating_sub(self.refused.first_ms),
            overdue_ms: arrived_ms.saturating_sub(self.refused.return_ms),
            is_due: arrived_ms >= self.refused.return_ms,
        }
    }

    /// Time from `now_ms` until the caller was asked to return, in whole seconds, at least one and
    /// never longer than it was at first.
    pub fn remaining_ms(&self, now_ms: u64) -> u32 {
        let Refused { last_ms, return_ms, .. } = self.refused;
        let longest_ms = return_ms.saturating_sub(last_ms);
        whole_seconds_ms(return_ms.saturating_sub(now_ms).min(longest_ms))
    }
}

/// Rounds a delay up to whole seconds, at least one.
pub fn whole_seconds_ms(delay_ms: u64) -> u32 {
    let seconds = delay_ms.div_ceil(MS_PER_S).max(1);
    u32::try_from(seconds * MS_PER_S).unwrap_or(u32::MAX)
}
