//! Requests inside the limits, in unusual shapes, to a daemon that nobody else calls.

use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::process::DaemonProcess;
use crate::{MAX_BODY_BYTES, ONE_AT_A_TIME, chunked_head, head, padded_body};

/// Largest head in the limits of the configuration.
const MAX_HEAD_BYTES: usize = 16_384;

const SMALL_JOB: &[u8] = br#"{"spec":"work","steps":[{"count":1,"cpu":1000}]}"#;

/// Splits a body into chunks of one size, and ends it.
fn chunks(body: &[u8], chunk_bytes: usize) -> Vec<u8> {
    let mut encoded = Vec::new();
    for data in body.chunks(chunk_bytes) {
        encoded.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        encoded.extend_from_slice(data);
        encoded.extend_from_slice(b"\r\n");
    }
    encoded.extend_from_slice(b"0\r\n\r\n");
    encoded
}

fn with_length(body: &[u8]) -> Vec<u8> {
    [&head(&format!("content-length: {}", body.len())), body].concat()
}

fn chunked(body: &[u8], chunk_bytes: usize) -> Vec<u8> {
    [chunked_head(), chunks(body, chunk_bytes)].concat()
}

/// A request whose head has exactly this size.
fn with_head_bytes(head_bytes: usize) -> Vec<u8> {
    let length = format!("content-length: {}\r\nx-filler: ", SMALL_JOB.len());
    let filler = "a".repeat(head_bytes - head(&length).len());
    [&head(&format!("{length}{filler}")), SMALL_JOB].concat()
}

/// Sends a request in pieces; whether it is answered with status 200.
async fn is_served(daemon: &DaemonProcess, pieces: &[&[u8]], pause: Duration) -> bool {
    let mut stream = TcpStream::connect(daemon.addrs.entry).await.unwrap();
    stream.set_nodelay(true).unwrap();
    for piece in pieces {
        if stream.write_all(piece).await.is_err() {
            return false;
        }
        sleep(pause).await;
    }
    let mut status_line = [0; 12];
    let read = stream.read_exact(&mut status_line).await;
    read.is_ok() && status_line == *b"HTTP/1.1 200"
}

/// The limits that keep clients outside of them away turn an ordinary request away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_inside_the_limits_are_served_whatever_their_pieces() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let daemon = DaemonProcess::start().await;
    let large = padded_body();
    let lines: String = (0..80).map(|nth| format!("x-line-{nth}: value\r\n")).collect();
    let lines = format!("{lines}content-length: {}", SMALL_JOB.len());
    let at_once = [
        ("largest body", with_length(&large)),
        ("largest body in chunks of 4096 bytes", chunked(&large, 4_096)),
        ("largest body in chunks of 16 bytes", chunked(&large, 16)),
        ("largest body in chunks of a byte", chunked(&large, 1)),
        ("largest head", with_head_bytes(MAX_HEAD_BYTES)),
        ("80 header lines", [&head(&lines), SMALL_JOB].concat()),
        ("empty lines first", [b"\r\n\r\n", with_length(SMALL_JOB).as_slice()].concat()),
    ];
    for (shape, request) in &at_once {
        assert!(is_served(&daemon, &[request], Duration::ZERO).await, "{shape}");
    }

    let small = with_length(SMALL_JOB);
    let bytes: Vec<&[u8]> = small.chunks(1).collect();
    assert!(is_served(&daemon, &bytes, Duration::from_millis(1)).await, "a byte a write");
    let small = chunked(SMALL_JOB, 2);
    let slow: Vec<&[u8]> = small.chunks(16).collect();
    assert!(is_served(&daemon, &slow, Duration::from_millis(50)).await, "a piece each 50 ms");
    let pieces: Vec<&[u8]> = at_once[0].1.chunks(MAX_BODY_BYTES / 16).collect();
    assert!(
        is_served(&daemon, &pieces, Duration::from_millis(50)).await,
        "a large piece each 50 ms"
    );
}
