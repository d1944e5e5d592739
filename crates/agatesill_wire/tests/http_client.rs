//! The JSON client with connections that go silent.

#![allow(clippy::unwrap_used)] // A failed assumption of a test fails the test.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use agatesill_wire::http::JsonClient;
use bytes::Bytes;
use futures::future::join_all;
use hyper::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Time after which the server answers, so that concurrent calls use connections of their own.
const ANSWER_DELAY: Duration = Duration::from_millis(50);

/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_millis(400);

const CONNECTIONS: u64 = 4;

/// A server whose connections can go silent without being closed.
#[derive(Clone, Default)]
struct Server {
    opened: Arc<AtomicU64>,
    /// Connections with a lower number don't answer.
    first_audible: Arc<AtomicU64>,
    /// Time between the head of an answer and its body.
    body_delay: Duration,
}

impl Server {
    async fn start(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = self.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let number = server.opened.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(server.clone().serve(stream, number));
            }
        });
        addr
    }

    async fn serve(self, mut stream: TcpStream, number: u64) {
        let mut request = vec![0; 4_096];
        while stream.read(&mut request).await.is_ok_and(|length| length > 0) {
            if number < self.first_audible.load(Ordering::Relaxed) {
                return std::future::pending().await;
            }
            tokio::time::sleep(ANSWER_DELAY).await;
            let head = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n";
            stream.write_all(head).await.unwrap();
            tokio::time::sleep(self.body_delay).await;
            if stream.write_all(b"{}").await.is_err() {
                return;
            }
        }
    }
}

/// Guards against a long answer over a slow link that is taken for silence.
#[tokio::test]
async fn an_answer_that_has_begun_has_a_timeout_of_its_own() {
    let server = Server { body_delay: TIMEOUT * 2, ..Server::default() };
    let addr = server.start().await;
    let client = JsonClient::default();
    let call = |body_timeout| {
        client.exchange_in_parts(Method::GET, addr, "/", Bytes::new(), TIMEOUT, body_timeout)
    };
    assert!(call(TIMEOUT * 4).await.is_ok());
    assert!(call(TIMEOUT).await.is_err());
    assert!(client.exchange(Method::GET, addr, "/", Bytes::new(), TIMEOUT).await.is_err());
}

/// Guards against calls that each take another silent connection from the pool and wait for their
/// whole timeout.
#[tokio::test]
async fn after_one_call_on_a_silent_connection_the_next_opens_a_new_one() {
    let server = Server::default();
    let addr = server.start().await;
    let client = JsonClient::default();
    let call = || client.exchange(Method::GET, addr, "/", Bytes::new(), TIMEOUT);
    let opened = join_all((0..CONNECTIONS).map(|_| call())).await;
    assert!(opened.iter().all(Result::is_ok), "{opened:?}");
    server.first_audible.store(CONNECTIONS, Ordering::Relaxed);
    assert!(call().await.is_err());
    assert!(call().await.is_ok());
}

/// Guards against a silent pool that is kept because the caller gives up before the timeout.
#[tokio::test]
async fn a_call_that_is_given_up_also_replaces_silent_connections() {
    let server = Server::default();
    let addr = server.start().await;
    let client = JsonClient::default();
    let call = || client.exchange(Method::GET, addr, "/", Bytes::new(), TIMEOUT);
    join_all((0..CONNECTIONS).map(|_| call())).await;
    server.first_audible.store(CONNECTIONS, Ordering::Relaxed);
    assert!(tokio::time::timeout(TIMEOUT / 2, call()).await.is_err());
    assert!(call().await.is_ok());
}
