//! A generator: a fixed number of connections, paced or as fast as answers come.

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

/// Longest answer time that is told apart, in microseconds.
const MOST_US: u64 = 60_000_000;

type AnyError = Box<dyn std::error::Error + Send + Sync>;

/// What a run brought.
#[derive(Debug)]
pub struct Load {
    /// Answer times in microseconds.
    pub times_us: Histogram<u64>,
    /// Whole answers with status 200.
    pub answered: u64,
    /// Everything else.
    pub failed: u64,
}

impl Load {
    fn new() -> Self {
        let times_us = Histogram::new_with_bounds(1, MOST_US, 3)
            .unwrap_or_else(|_| unreachable!("the bounds are constants in order"));
        Self { times_us, answered: 0, failed: 0 }
    }

    fn add(&mut self, other: &Load) {
        let _ = self.times_us.add(&other.times_us);
        self.answered += other.answered;
        self.failed += other.failed;
    }
}

/// Sends reads over `connections`, spread over `targets`; together `per_s` a second, or as many as
/// are answered.
pub async fn drive(
    targets: &[SocketAddr],
    connections: usize,
    per_s: Option<u64>,
    time: Duration,
) -> Load {
    let pause = per_s.map(|per_s| Duration::from_secs_f64(connections as f64 / per_s as f64));
    let tasks = (0..connections).map(|nth| {
        let target = targets[nth % targets.len()];
        tokio::spawn(one_connection(target, nth, pause, time))
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
    pause: Option<Duration>,
    time: Duration,
) -> Load {
    let mut load = Load::new();
    let started = Instant::now();
    let mut pace = pause.map(|pause| {
        let first = tokio::time::Instant::now() + pause * (nth as u32 % 16) / 16;
        let mut pace = tokio::time::interval_at(first, pause);
        pace.set_missed_tick_behavior(MissedTickBehavior::Burst);
        pace
    });
    let mut sender = connect(target).await.ok();
    while started.elapsed() < time {
        if let Some(pace) = &mut pace {
            pace.tick().await;
        }
        let Some(open) = &mut sender else {
            load.failed += 1;
            tokio::time::sleep(Duration::from_millis(10)).await;
            sender = connect(target).await.ok();
            continue;
        };
        let sent = Instant::now();
        match exchange(open, target, nth).await {
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
    let is_good = answer.status() == 200;
    answer.into_body().collect().await?;
    Ok(is_good)
}
