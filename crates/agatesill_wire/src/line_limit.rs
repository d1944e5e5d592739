//! Limits how often lines of one event are logged.

use std::sync::{Mutex, PoisonError};

/// Microseconds in a second.
const US_PER_S: u64 = 1_000_000;

/// A limit of lines per second.
#[derive(Debug)]
pub struct LineLimit {
    lines_per_s: u32,
    window: Mutex<Window>,
}

#[derive(Debug, Default)]
struct Window {
    second: u64,
    lines: u32,
    suppressed: u64,
}

impl LineLimit {
    /// A limit of `lines_per_s`.
    pub fn new(lines_per_s: u32) -> Self {
        Self { lines_per_s, window: Mutex::default() }
    }

    /// Whether a line may be logged; then the number of lines suppressed since the last one.
    pub fn admit(&self, now_us: u64) -> Option<u64> {
        let mut window = self.window.lock().unwrap_or_else(PoisonError::into_inner);
        let second = now_us / US_PER_S;
        if window.second != second {
            window.second = second;
            window.lines = 0;
        }
        if window.lines >= self.lines_per_s {
            window.suppressed += 1;
            return None;
        }
        window.lines += 1;
        Some(std::mem::take(&mut window.suppressed))
    }
}
