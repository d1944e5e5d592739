//! HTTP load generator with a fixed number of connections, at a fixed rate or closed-loop.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use agatesill_standin::harness::SERVICE;
use agatesilld::relay::{CALLER_HEADER, DEADLINE_HEADER, KEY_HEADER, SERVICE_HEADER};
use bytes::Bytes;
use futures::future::join_all;
use hdrhistogram::Histogram;
use http_body_util::{BodyExt, Empty};
use hyper::Request;
use hyper::client::conn::http1::{SendRequest, handshake};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::MissedTickBehavior;

/// Highest recorded answer time in microseconds; longer ones count as this.
const MAX_RECORDED_US: u64 = 60_000_000;

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// Results of a run.
#[derive(Debug)]
pub struct Load {
    /// Answer times in microseconds.
    pub times_us: Histogram<u64>,
    /// Complete answers with status 200.
    pub answered: u64,
    /// All other outcomes, including failed connections.
    pub failed: u64,
}

impl Load {
    fn new() -> Self {
        let times_us = Histogram::new_with_bounds(1, MAX_RECORDED_US, 3)
            .unwrap_or_else(|_| unreachable!("the bounds are constants in order"));
        Self { times_us, answered: 0, failed: 0 }
    }

    fn add(&mut self, other: &Load) {
        let _ = self.times_us.add(&other.times_us);
        self.answered += other.answered;
        self.failed += other.failed;
    }
}

/// Sends reads over `connections` connections, distributed over `targets`: `per_s` a second in
/// total, or each one as soon as the previous one on its connection is answered.
pub async fn run_load(
    targets: &[SocketAddr],
    connections: usize,
    per_s: Option<u64>,
    duration: Duration,
) -> Load {
    let interval = per_s.map(|per_s| Duration::from_secs_f64(connections as f64 / per_s as f64));
    let tasks = (0..connections).map(|nth| {
        let target = targets[nth % targets.len()];
        tokio::spawn(one_connection(target, nth, interval, duration))
    });
    let mut all = Load::new();
    for done in join_all(tasks).await {
        match done {
            Ok(load) => all.add(&load),
            Err(_) => all.failed += 1,
        }
    }
    all
}

async fn one_connection(
    target: SocketAddr,
    nth: usize,
    interval: Option<Duration>,
    duration: Duration,
) -> Load {
    let mut load = Load::new();
    let started = Instant::now();
    let mut ticker = interval.map(|interval| {
        let first = tokio::time::Instant::now() + interval * (nth as u32 % 16) / 16;
        let mut ticker = tokio::time::interval_at(first, interval);
        ticker.set_missed_tick_behavior(MissedTickBehavior::Burst);
        ticker
    });
    let mut sender = connect(target).await.ok();
    while started.elapsed() < duration {
        if let Some(ticker) = &mut ticker {
            ticker.tick().await;
        }
        let Some(connection) = &mut sender else {
            load.failed += 1;
            tokio::time::sleep(Duration::from_millis(10)).await;
            sender = connect(target).await.ok();
            continue;
        };
        let sent = Instant::now();
        match exchange(connection, target, nth).await {
            Ok(true) => {
                load.answered += 1;
                load.times_us.saturating_record(sent.elapsed().as_micros() as u64);
            }
            Ok(false) => load.failed += 1,
            Err(_) => {
                load.failed += 1;
                sender = None;
            }
        }
    }
    load
}

async fn connect(target: SocketAddr) -> Result<SendRequest<Empty<Bytes>>, AnyError> {
    let stream = TcpStream::connect(target).await?;
    stream.set_nodelay(true)?;
    let (sender, connection) = handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    Ok(sender)
}

async fn exchange(
    sender: &mut SendRequest<Empty<Bytes>>,
    target: SocketAddr,
    nth: usize,
) -> Result<bool, AnyError> {
    let request = Request::get("/limits/7")
        .header("host", target.to_string())
        .header(SERVICE_HEADER, SERVICE)
        .header(CALLER_HEADER, nth % 16)
        .header(KEY_HEADER, "buyer-7")
        .header(DEADLINE_HEADER, 2_000)
        .body(Empty::new())?;
    sender.ready().await?;
    let answer = sender.send_request(request).await?;
    let is_ok = answer.status() == 200;
    answer.into_body().collect().await?;
    Ok(is_ok)
}
