//! Times at which workers wrote their answers, on the local clock.

use super::US_PER_MS;
use super::worker::Poll;

/// Relation of a worker's clock to the local one, by the answers that waited least.
///
/// Guards against a planner that lags: progress measured at the handling of an answer would make
/// workers whose answers waited look slow.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct ReportClock {
    /// Worker clock minus local clock, in milliseconds.
    offset_ms: Option<i64>,
}

impl ReportClock {
    /// Returns when an answer that is handled now was written: not before its poll was sent, and
    /// not later than now.
    pub fn reported_us(&mut self, poll: &Poll, now_us: u64) -> u64 {
        let apparent_ms = poll.clock_ms as i64 - (now_us / US_PER_MS) as i64;
        let offset_ms = self.offset_ms.map_or(apparent_ms, |known_ms| known_ms.max(apparent_ms));
        let written_us = (poll.clock_ms as i64 - offset_ms).max(0) as u64 * US_PER_MS;
        // A time before the poll was sent shows that the worker's clock was set back.
        let was_set_back = written_us + US_PER_MS < poll.sent_us;
        self.offset_ms = Some(if was_set_back { apparent_ms } else { offset_ms });
        written_us.max(poll.sent_us).min(now_us)
    }
}
