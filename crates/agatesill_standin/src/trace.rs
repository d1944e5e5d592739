//! Request traces and the sender that runs them.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use agatesill_wire::prelude::*;

use crate::caller::{CallOutcome, Caller, CallerRequest};

/// Fields per row of a trace file.
const FIELDS_PER_ROW: usize = 8;

/// One request of a trace.
#[derive(Clone, Debug)]
pub struct TraceRow {
    /// Send time, relative to the start of the trace.
    pub at_ms: u64,
    /// Target service.
    pub service: String,
    /// Name of the caller.
    pub caller: String,
    /// Key that the request concerns.
    pub key: String,
    /// HTTP method.
    pub method: String,
    /// HTTP path.
    pub path: String,
    /// Deadline of the request, relative to its start.
    pub deadline_ms: u64,
    /// Request body.
    pub body: String,
}

/// Outcome of one request as the caller received it.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Request id.
    pub id: String,
    /// Target service.
    pub service: String,
    /// HTTP method.
    pub method: String,
    /// Whether an upstream response arrived, including one that is not the caller's own.
    pub is_answer: bool,
    /// Whether the response belongs to another request or is truncated.
    pub is_wrong: bool,
    /// Whether the daemon reported that the request was not run.
    pub says_not_run: bool,
    /// Time from sending the request to the last byte of the response.
    pub elapsed_us: u64,
}

/// Reads a CSV trace file, skipping its header line.
pub fn read_trace(path: &Path) -> Result<Vec<TraceRow>, Error> {
    let file = path.display();
    let text = std::fs::read_to_string(path)
        .map_err(|error| Error::new(ErrorKind::Settings, format!("{file}: {error}")))?;
    text.lines()
        .enumerate()
        .skip(1)
        .map(|(index, line)| {
            parse_row(line).ok_or_else(|| {
                let message =
                    format!("{file}: line {}: expected {FIELDS_PER_ROW} fields", index + 1);
                Error::new(ErrorKind::Settings, message)
            })
        })
        .collect()
}

fn parse_row(line: &str) -> Option<TraceRow> {
    let fields: Vec<&str> = line.splitn(FIELDS_PER_ROW, ',').collect();
    let [at_ms, service, caller, key, method, path, deadline_ms, body] = fields[..] else {
        return None;
    };
    Some(TraceRow {
        at_ms: at_ms.parse().ok()?,
        service: service.to_owned(),
        caller: caller.to_owned(),
        key: key.to_owned(),
        method: method.to_owned(),
        path: path.to_owned(),
        deadline_ms: deadline_ms.parse().ok()?,
        body: body.to_owned(),
    })
}

/// Sends one request at its time in the trace and classifies the response.
pub async fn send(
    entry: SocketAddr,
    deployment: usize,
    index: usize,
    row: TraceRow,
    started: Instant,
) -> Reply {
    tokio::time::sleep_until((started + Duration::from_millis(row.at_ms)).into()).await;
    let request = CallerRequest {
        id: format!("r{deployment}-{index}"),
        service: row.service,
        caller: row.caller,
        key: row.key,
        method: row.method,
        path: row.path,
        deadline_ms: row.deadline_ms,
        body: row.body,
        attempt: 0,
        idempotency_key: String::new(),
    };
    let (heard, elapsed_us) = Caller::default().timed(entry, &request).await;
    Reply {
        is_answer: matches!(heard, CallOutcome::Answer(..) | CallOutcome::Wrong(..)),
        is_wrong: matches!(heard, CallOutcome::Wrong(..)),
        says_not_run: heard.says_not_run(),
        id: request.id,
        service: request.service,
        method: request.method,
        elapsed_us,
    }
}
