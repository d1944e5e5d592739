//! Keeps the newest log lines in memory, to answer `explain` requests.
//!
//! Every decision is one log line with the id of its request, job or worker; lookups search for
//! that id. Only the log thread writes here, off the request path.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Maximum size of the lines that are kept: about 12,000 decisions, which is close to a second at
/// the rated load and hours on a quiet daemon. The size stays within the memory budget of a daemon
/// for control work.
pub const MAX_BYTES: usize = 4 << 20;

/// Maximum number of lines in one answer; the newest ones if there are more.
pub const MAX_ANSWER_LINES: usize = 200;

static LINES: Mutex<Lines> = Mutex::new(Lines { lines: VecDeque::new(), bytes: 0 });

#[derive(Debug)]
struct Lines {
    lines: VecDeque<Vec<u8>>,
    bytes: usize,
}

fn lock() -> MutexGuard<'static, Lines> {
    LINES.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Appends lines and drops the oldest ones beyond [`MAX_BYTES`].
pub fn append(batch: impl Iterator<Item = Vec<u8>>) {
    let mut kept = lock();
    for line in batch {
        kept.bytes += line.len();
        kept.lines.push_back(line);
    }
    while kept.bytes > MAX_BYTES {
        let Some(oldest) = kept.lines.pop_front() else { break };
        kept.bytes -= oldest.len();
    }
}

/// The newest lines whose field `key` is `id`, oldest first. The field may be a string or a number.
pub fn find(key: &str, id: &str) -> Vec<String> {
    let text = format!("\"{key}\":{}", serde_json::json!(id));
    let number = format!("\"{key}\":{id}");
    let kept = lock();
    let mut found: Vec<String> = kept
        .lines
        .iter()
        .rev()
        .filter_map(|line| std::str::from_utf8(line).ok())
        .filter(|line| contains_field(line, &text) || contains_field(line, &number))
        .take(MAX_ANSWER_LINES)
        .map(|line| line.trim_end().to_owned())
        .collect();
    found.reverse();
    found
}

/// Whether `line` contains the complete field, as opposed to the prefix of a longer number.
fn contains_field(line: &str, field: &str) -> bool {
    line.match_indices(field)
        .any(|(at, _)| matches!(line.as_bytes().get(at + field.len()), Some(b',' | b'}')))
}
