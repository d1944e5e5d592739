//! The monotonic clock and the wall clock of a daemon.

use std::time::{SystemTime, UNIX_EPOCH};

use tokio::time::Instant;

/// Microseconds in a second.
pub const US_PER_S: u64 = 1_000_000;

/// Microseconds on the monotonic clock. The clock can represent times up to an hour before the
/// process started.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

/// Reading of the clock at process start. It is above zero so that 0 can mean "never" and a time
/// before the start can be represented, such as when a waiting task became runnable.
const INITIAL_US: u64 = 3_600_000_000;

impl Clock {
    /// Starts the clock at the current time.
    pub fn start() -> Self {
        Self { start: Instant::now() }
    }

    /// Current reading in microseconds.
    pub fn now_us(&self) -> u64 {
        INITIAL_US + self.start.elapsed().as_micros() as u64
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
pub fn wall_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
