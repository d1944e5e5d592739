//! A trace of requests and the caller that plays it.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};

use agatesill_wire::api::ErrorBody;
use agatesill_wire::prelude::*;
use agatesilld::relay::{CALLER_HEADER, DEADLINE_HEADER, KEY_HEADER, SERVICE_HEADER};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

use crate::upstreams::REQUEST_ID_HEADER;

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
    let id = format!("r{deployment}-{index}");
    let sent = Instant::now();
    let outcome = exchange(entry, &id, &row).await;
    let took_us = sent.elapsed().as_micros() as u64;
    let expected = format!("{id}:{}", row.body);
    let (is_answer, is_wrong, says_not_run) = match outcome {
        Ok((200, body)) => (true, body != expected.as_bytes(), false),
        Ok((_, body)) => {
            let body: Option<ErrorBody> = serde_json::from_slice(&body).ok();
            (false, false, body.is_some_and(|body| body.was_run == WasRun::No))
        }
        Err(_) => (false, false, false),
    };
    Reply {
        id,
        service: row.service,
        method: row.method,
        is_answer,
        is_wrong,
        says_not_run,
        took_us,
    }
}

type AnyError = Box<dyn std::error::Error + Send + Sync>;

async fn exchange(entry: SocketAddr, id: &str, row: &TraceRow) -> Result<(u16, Bytes), AnyError> {
    let request = Request::builder()
        .method(row.method.as_str())
        .uri(format!("http://{entry}{}", row.path))
        .header(SERVICE_HEADER, &row.service)
        .header(CALLER_HEADER, &row.caller)
        .header(KEY_HEADER, &row.key)
        .header(DEADLINE_HEADER, row.deadline_ms)
        .header(REQUEST_ID_HEADER, id)
        .body(Full::new(Bytes::from(row.body.clone())))?;
    let answer = Client::builder(TokioExecutor::new()).build_http().request(request).await?;
    let status = answer.status().as_u16();
    Ok((status, answer.into_body().collect().await?.to_bytes()))
}
