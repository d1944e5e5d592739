//! Clients outside the limits of the interface, against one daemon process with little memory and
//! few descriptors. Each test is a crowd of one kind of client.

#![allow(clippy::unwrap_used)] // A failed assumption of a test fails the test.

mod calm;
mod crowd;
mod process;
#[path = "../../../../platform/tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::Mutex;

use self::crowd::{Crowd, check};
use self::process::{DaemonProcess, MAX_FDS};

/// Serialises the tests, since each measures a process under load.
static ONE_AT_A_TIME: Mutex<()> = Mutex::const_new(());

/// Clients of a crowd that fills memory.
const CLIENTS: usize = 300;

/// Clients of a crowd that sends many small packets.
const CLIENTS_OF_SMALL_PACKETS: usize = 60;

/// Largest body in the limits.
const MAX_BODY_BYTES: usize = 262_144;

/// Size of a head far above the limit.
const LARGE_HEAD_BYTES: usize = 380_000;

/// Bytes that are missing at the end of an unfinished body.
const MISSING_BYTES: usize = 3;

fn entry(daemon: &DaemonProcess) -> SocketAddr {
    daemon.addrs.entry
}

/// Head of a request that submits a job, with the header that tells the length of its body.
fn head(length: &str) -> Vec<u8> {
    format!("POST /q/00000000000000ff HTTP/1.1\r\nhost: desk.example\r\n{length}\r\n\r\n").into()
}

fn chunked_head() -> Vec<u8> {
    head("transfer-encoding: chunked")
}

fn chunk(size: usize) -> Vec<u8> {
    let mut chunk = format!("{size:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + size, b' ');
    chunk.extend_from_slice(b"\r\n");
    chunk
}

/// A job of one task, padded with spaces to the largest size.
fn padded_body() -> Vec<u8> {
    let mut body = br#"{"spec":"work","steps":[{"count":1,"cpu":1000}]}"#.to_vec();
    body.resize(MAX_BODY_BYTES, b' ');
    body
}

/// Heads above the limit whose end never comes use up the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_heads_do_not_exhaust_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut head = b"GET /q/ HTTP/1.1\r\nhost: desk.example\r\nx-filler: ".to_vec();
    head.resize(LARGE_HEAD_BYTES, b'a');
    check(Crowd::new(CLIENTS, vec![head]), entry).await;
}

/// Heads that go on until the connection is closed use up the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn endless_heads_do_not_exhaust_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let start = b"GET /q/ HTTP/1.1\r\nhost: desk.example\r\n".to_vec();
    let lines = b"x-filler: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n".repeat(1_000);
    let pieces = std::iter::once(start).chain(std::iter::repeat_n(lines, 50)).collect();
    check(Crowd::new(CLIENTS, pieces), entry).await;
}

/// Empty lines before a request that never comes use up the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn empty_lines_before_a_request_do_not_exhaust_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let lines = b"\r\n".repeat(LARGE_HEAD_BYTES / 2);
    check(Crowd::new(CLIENTS, vec![lines]), entry).await;
}

/// Bodies of legal size that stop just short of their end use up the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_bodies_do_not_exhaust_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut request = head(&format!("content-length: {MAX_BODY_BYTES}"));
    request.extend_from_slice(&padded_body()[MISSING_BYTES..]);
    check(Crowd::new(CLIENTS, vec![request]), entry).await;
}

/// Bodies of legal size that arrive in pieces and stop just short of their end use up the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_bodies_in_pieces_do_not_exhaust_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut pieces = vec![head(&format!("content-length: {MAX_BODY_BYTES}"))];
    pieces.extend(padded_body()[MISSING_BYTES..].chunks(8_192).map(<[u8]>::to_vec));
    let pause = Duration::from_millis(5);
    check(Crowd { pause, ..Crowd::new(CLIENTS, pieces) }, entry).await;
}

/// Complete bodies of the largest legal size that arrive at once use up the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn large_bodies_at_once_do_not_exhaust_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let mut request = head(&format!("content-length: {MAX_BODY_BYTES}"));
    request.extend_from_slice(&padded_body());
    check(Crowd::new(CLIENTS, vec![request]), entry).await;
}

/// Bodies in large chunks that stop just short of their end use up the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_large_chunks_do_not_exhaust_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let pieces = std::iter::once(chunked_head()).chain(std::iter::repeat_n(chunk(32_768), 7));
    check(Crowd::new(CLIENTS, pieces.collect()), entry).await;
}

/// Bodies in chunks of one byte use up the memory, many chunks to a packet.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_single_byte_chunks_do_not_exhaust_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let chunks = chunk(1).repeat(512);
    let pieces = std::iter::once(chunked_head()).chain(std::iter::repeat_n(chunks, 128));
    check(Crowd::new(CLIENTS, pieces.collect()), entry).await;
}

/// Bodies in chunks of one byte use up the memory, each chunk in a packet of its own.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn single_byte_chunks_in_single_packets_do_not_exhaust_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let pieces = std::iter::once(chunked_head()).chain(std::iter::repeat_n(chunk(1), 2_000));
    let pause = Duration::from_millis(2);
    check(Crowd { pause, ..Crowd::new(CLIENTS_OF_SMALL_PACKETS, pieces.collect()) }, entry).await;
}

/// Jobs of legal size with very many steps use up the memory when they are decoded and stored.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn jobs_of_many_steps_do_not_exhaust_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let steps = "{},".repeat((MAX_BODY_BYTES - 100) / 3);
    let body = format!(r#"{{"spec":"work","steps":[{steps}{{"count":1,"cpu":1000}}]}}"#);
    let mut request = head(&format!("content-length: {}", body.len()));
    request.extend_from_slice(body.as_bytes());
    check(Crowd::new(CLIENTS_OF_SMALL_PACKETS, vec![request]), entry).await;
}

/// Requests whose answers are never read use up the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_answers_do_not_exhaust_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let request = b"GET /q/00000000000000ff HTTP/1.1\r\nhost: desk.example\r\n\r\n".repeat(1_000);
    check(Crowd::new(CLIENTS, vec![request; 8]), entry).await;
}

/// Idle connections use up the descriptors, and with them those of the store and the workers.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_connections_do_not_exhaust_descriptors() {
    let _alone = ONE_AT_A_TIME.lock().await;
    check(Crowd::new(MAX_FDS + 200, Vec::new()), entry).await;
}

/// Idle connections to the readiness endpoint use up the descriptors.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_readiness_connections_do_not_exhaust_descriptors() {
    let _alone = ONE_AT_A_TIME.lock().await;
    check(Crowd::new(MAX_FDS + 200, Vec::new()), |daemon| daemon.addrs.ready).await;
}

/// Idle connections to the metrics endpoint use up the descriptors.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_metrics_connections_do_not_exhaust_descriptors() {
    let _alone = ONE_AT_A_TIME.lock().await;
    check(Crowd::new(MAX_FDS + 200, Vec::new()), |daemon| daemon.metrics).await;
}

/// Idle connections to the address of the other daemons use up the descriptors.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn idle_peer_connections_do_not_exhaust_descriptors() {
    let _alone = ONE_AT_A_TIME.lock().await;
    check(Crowd::new(MAX_FDS + 200, Vec::new()), |daemon| daemon.addrs.peer).await;
}

/// Announced frames of other daemons that never end use up the memory.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unfinished_peer_frames_do_not_exhaust_memory() {
    let _alone = ONE_AT_A_TIME.lock().await;
    let announced_bytes: u32 = 2 << 20;
    let mut frame = announced_bytes.to_be_bytes().to_vec();
    frame.resize(1 << 20, 0);
    check(Crowd::new(CLIENTS_OF_SMALL_PACKETS, vec![frame]), |daemon| daemon.addrs.peer).await;
}
