//! How far the requests of failed calls over a channel got.

#![allow(clippy::unwrap_used)] // A failed assumption of a test fails the test.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use agatesill_wire::channel::{Channel, Delivery, Via};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const TIMEOUT: Duration = Duration::from_millis(400);

/// What a server does once it has read a request.
#[derive(Clone, Copy, PartialEq)]
enum Reaction {
    Answer,
    /// Answers and closes the connection without announcing it.
    AnswerAndClose,
    Close,
    KeepSilent,
    /// Answers with a head that never ends, for as long as it is read.
    AnswerWithoutEnd,
}

/// A server that counts its connections and the requests that it reads.
#[derive(Clone)]
struct Server {
    reaction: Reaction,
    connections: Arc<AtomicU64>,
    requests: Arc<AtomicU64>,
}

impl Server {
    async fn start(reaction: Reaction) -> (Self, SocketAddr) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let server = Self { reaction, connections: Arc::default(), requests: Arc::default() };
        let accepting = server.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                accepting.connections.fetch_add(1, Ordering::Relaxed);
                tokio::spawn(accepting.clone().serve(stream));
            }
        });
        (server, addr)
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut request = vec![0; 4_096];
        while stream.read(&mut request).await.is_ok_and(|length| length > 0) {
            self.requests.fetch_add(1, Ordering::Relaxed);
            match self.reaction {
                Reaction::Close => return,
                Reaction::KeepSilent => return std::future::pending().await,
                Reaction::AnswerWithoutEnd => {
                    stream.write_all(b"HTTP/1.1 200 OK\r\nx-filler: ").await.unwrap();
                    while stream.write_all(&[b'a'; 1 << 10]).await.is_ok() {}
                    return;
                }
                Reaction::Answer | Reaction::AnswerAndClose => {
                    let answer = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}";
                    stream.write_all(answer).await.unwrap();
                }
            }
            if self.reaction == Reaction::AnswerAndClose {
                return;
            }
        }
    }

    fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }
}

fn request() -> Request<Full<Bytes>> {
    let body = Full::new(Bytes::from_static(b"{}"));
    Request::builder().method(Method::POST).uri("/order").body(body).unwrap()
}

async fn failure(channel: &mut Channel) -> Delivery {
    channel.call(request(), Via::Any, TIMEOUT).await.unwrap_err().delivery
}

/// Guards against an order to a terminated worker that counts as one that may have been received.
#[tokio::test]
async fn a_refused_connection_proves_that_the_request_was_not_received() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let addr = listener.local_addr().unwrap();
    drop(listener);
    let mut channel = Channel::new(addr);
    assert_eq!(failure(&mut channel).await, Delivery::ConnectionRefused);
}

/// Guards against a request that a server has read and that counts as not received.
#[tokio::test]
async fn a_request_that_was_sent_may_have_been_received() {
    for reaction in [Reaction::Close, Reaction::KeepSilent] {
        let (server, addr) = Server::start(reaction).await;
        let mut channel = Channel::new(addr);
        assert_eq!(failure(&mut channel).await, Delivery::Unknown);
        assert_eq!(server.requests(), 1, "a request that may have been received is not sent again");
    }
}

/// Guards against a call that fails because the server has closed an idle connection.
#[tokio::test]
async fn a_request_is_sent_over_a_new_connection_if_the_open_one_was_closed_before() {
    let (server, addr) = Server::start(Reaction::AnswerAndClose).await;
    let mut channel = Channel::new(addr);
    for _ in 0..20 {
        assert!(channel.call(request(), Via::Any, TIMEOUT).await.is_ok());
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    assert_eq!(server.requests(), 20);
}

/// Guards against calls that each open a connection.
#[tokio::test]
async fn calls_share_the_open_connection() {
    let (server, addr) = Server::start(Reaction::Answer).await;
    let mut channel = Channel::new(addr);
    for _ in 0..3 {
        assert!(channel.call(request(), Via::Any, TIMEOUT).await.is_ok());
    }
    assert_eq!(server.connections.load(Ordering::Relaxed), 1);
}

/// Guards against an answer whose head takes hundreds of kilobytes at each of a thousand workers.
#[tokio::test]
async fn an_answer_whose_head_has_no_end_is_given_up() {
    let (_, addr) = Server::start(Reaction::AnswerWithoutEnd).await;
    let mut channel = Channel::new(addr);
    let failed = channel.call(request(), Via::Any, Duration::from_secs(30)).await.unwrap_err();
    assert_eq!(failed.delivery, Delivery::Unknown);
    assert!(failed.error.detail.contains("too large"), "{}", failed.error.detail);
    assert_eq!(channel.connection(), None, "the connection is closed");
}
