//! What happened in a run, one line each, with the time since its start.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

/// Lines of one run; clones share them.
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
    /// Adds a line.
    pub fn note(&self, line: impl std::fmt::Display) {
        let line = format!("{:>6} ms  {line}", self.started.elapsed().as_millis());
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).push(line);
    }

    /// The lines so far.
    pub fn lines(&self) -> Vec<String> {
        self.lines.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
