//! A trace of requests and the caller that plays it.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use agatesill_wire::prelude::*;

use crate::caller::{CallOutcome, Caller, CallerRequest};

/// Fields of one row of the file.
const FIELDS: usize = 8;

/// One request of the trace.
#[derive(Clone, Debug)]
pub struct TraceRow {
    /// When it is sent, from the start.
    pub at_ms: u64,
    /// Its service.
    pub service: String,
    /// Its caller.
    pub caller: String,
    /// The key that it is about.
    pub key: String,
    /// Its method.
    pub method: String,
    /// Its path.
    pub path: String,
    /// The caller's patience.
    pub deadline_ms: u64,
    /// Its body.
    pub body: String,
}

/// What the caller received.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Identity of the request.
    pub id: String,
    /// Its service.
    pub service: String,
    /// Its method.
    pub method: String,
    /// Whether a whole answer came.
    pub is_answer: bool,
    /// Whether the answer was another's or short.
    pub is_wrong: bool,
    /// Whether a refusal said that it was not run.
    pub says_not_run: bool,
    /// Time from sending to the last byte.
    pub took_us: u64,
}

/// Reads a trace.
pub fn read_trace(path: &Path) -> Result<Vec<TraceRow>, Error> {
    let file = path.display();
    let text = std::fs::read_to_string(path)
        .map_err(|error| Error::new(ErrorKind::Settings, format!("{file}: {error}")))?;
    text.lines()
        .enumerate()
        .skip(1)
        .map(|(index, line)| {
            parse_row(line).ok_or_else(|| {
                let what = format!("{file}: line {}: expected {FIELDS} fields", index + 1);
                Error::new(ErrorKind::Settings, what)
            })
        })
        .collect()
}

fn parse_row(line: &str) -> Option<TraceRow> {
    let fields: Vec<&str> = line.splitn(FIELDS, ',').collect();
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

/// Sends one request of the trace at its time and judges what comes back.
pub async fn send(
    entry: SocketAddr,
    deployment: usize,
    index: usize,
    row: TraceRow,
    started: Instant,
) -> Reply {
    tokio::time::sleep_until((started + Duration::from_millis(row.at_ms)).into()).await;
    let ask = CallerRequest {
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
    let (heard, took_us) = Caller::default().timed(entry, &ask).await;
    Reply {
        is_answer: matches!(heard, CallOutcome::Answer(..) | CallOutcome::Wrong(..)),
        is_wrong: matches!(heard, CallOutcome::Wrong(..)),
        says_not_run: heard.says_not_run(),
        id: ask.id,
        service: ask.service,
        method: ask.method,
        took_us,
    }
}
