//! The newest log lines, kept in memory so that an operator can ask why something happened.
//!
//! Every decision is one log line that carries the identity of its request, job or worker; the lines
//! of one matter are found by that identity. Only the log thread writes here, off the request path.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Bytes of lines kept: about 12,000 decisions, or close to a second at the rated load and hours on
/// a quiet daemon, within the memory that a daemon may spend on control.
pub const KEPT_BYTES: usize = 4 << 20;

/// Lines given in one answer; the newest ones where there are more.
pub const ANSWER_LINES: usize = 200;

static LINES: Mutex<Lines> = Mutex::new(Lines { lines: VecDeque::new(), bytes: 0 });

#[derive(Debug)]
struct Lines {
    lines: VecDeque<Vec<u8>>,
    bytes: usize,
}

fn lock() -> MutexGuard<'static, Lines> {
    LINES.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Keeps lines, and lets go of the oldest beyond the limit.
pub fn keep(batch: impl Iterator<Item = Vec<u8>>) {
    let mut kept = lock();
    for line in batch {
        kept.bytes += line.len();
        kept.lines.push_back(line);
    }
    while kept.bytes > KEPT_BYTES {
        let Some(oldest) = kept.lines.pop_front() else { break };
        kept.bytes -= oldest.len();
    }
}

/// The newest lines whose field `key` is `id`, oldest first. `id` may stand as text or number.
pub fn find(key: &str, id: &str) -> Vec<String> {
    let text = format!("\"{key}\":{}", serde_json::json!(id));
    let number = format!("\"{key}\":{id}");
    let kept = lock();
    let mut found: Vec<String> = kept
        .lines
        .iter()
        .rev()
        .filter_map(|line| std::str::from_utf8(line).ok())
        .filter(|line| holds(line, &text) || holds(line, &number))
        .take(ANSWER_LINES)
        .map(|line| line.trim_end().to_owned())
        .collect();
    found.reverse();
    found
}

/// Whether `line` has this field whole, not as the beginning of a longer number.
fn holds(line: &str, field: &str) -> bool {
    line.match_indices(field)
        .any(|(at, _)| matches!(line.as_bytes().get(at + field.len()), Some(b',' | b'}')))
}
