//! Observation of a daemon process from outside: memory, metrics and log.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::Path;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;

/// Resident memory of a process; 0 when it cannot be read.
pub fn resident_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    line.and_then(|line| line.split_whitespace().nth(1)).and_then(|kb| kb.parse().ok()).unwrap_or(0)
}

/// Sum of a metric over its labels; NaN when it cannot be read.
pub async fn metric(admin: SocketAddr, name: &str) -> f64 {
    let client: Client<_, Empty<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let Ok(uri) = format!("http://{admin}/metrics").parse() else { return f64::NAN };
    let Ok(answer) = client.get(uri).await else { return f64::NAN };
    let Ok(body) = answer.into_body().collect().await else { return f64::NAN };
    let text = String::from_utf8_lossy(&body.to_bytes()).into_owned();
    let values: Vec<f64> = text
        .lines()
        .filter(|line| line.starts_with(name))
        .filter_map(|line| line.rsplit(' ').next()?.parse().ok())
        .collect();
    if values.is_empty() { f64::NAN } else { values.iter().sum() }
}

/// Number of lines of a file that contain `text`.
pub fn count_lines(file: &Path, text: &str) -> std::io::Result<u64> {
    let mut lines = 0;
    for line in BufReader::new(std::fs::File::open(file)?).lines() {
        lines += u64::from(line?.contains(text));
    }
    Ok(lines)
}
