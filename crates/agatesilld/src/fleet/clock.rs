//! The clocks of a daemon.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Microseconds since this process started, on the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

/// What the clock shows at the start, so that 0 can stand for never.
const FIRST_US: u64 = 1_000_000;

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Now.
    pub fn now_us(&self) -> u64 {
        FIRST_US + self.start.elapsed().as_micros() as u64
    }
}

/// The time of day in milliseconds.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
