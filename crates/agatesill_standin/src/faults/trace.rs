//! Event trace of a run, one line per event with the time since the start.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Trace of one run. Clones share the lines.
#[derive(Clone, Debug)]
pub struct Trace {
    started: Instant,
    lines: Arc<Mutex<Vec<String>>>,
}

impl Default for Trace {
    fn default() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }
}

impl Trace {
    /// Appends a line with the elapsed time.
    pub fn note(&self, line: impl std::fmt::Display) {
        let line = format!("{:>6} ms  {line}", self.started.elapsed().as_millis());
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }

    /// Returns the lines so far.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
