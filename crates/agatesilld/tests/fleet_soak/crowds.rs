//! Clients outside the limits of the interface, as a fault of a run.

use std::net::SocketAddr;
use std::time::Duration;

use futures::future::join_all;
use rand::Rng;
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// Clients of one crowd.
const CLIENTS: usize = 150;

/// Time after which a client whose connection was closed comes back.
const RETURN_DELAY: Duration = Duration::from_millis(100);

/// Bodies stop short of this size, which is inside the limits.
const BODY_BYTES: usize = 262_144;

/// What the clients of a crowd send before they stop.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CrowdKind {
    /// Nothing.
    Idle,
    /// A head above the limit.
    LargeHead,
    /// Empty lines.
    EmptyLines,
    /// A body without its last bytes.
    UnfinishedBody,
    /// A body in chunks of a byte.
    SmallChunks,
    /// Requests whose answers are not read.
    Unread,
}

impl CrowdKind {
    pub fn draw(random: &mut Pcg64Mcg) -> Self {
        let all = [
            Self::Idle,
            Self::LargeHead,
            Self::EmptyLines,
            Self::UnfinishedBody,
            Self::SmallChunks,
            Self::Unread,
        ];
        all[random.random_range(0..all.len())]
    }

    fn bytes(self) -> Vec<u8> {
        let post = |length: &str| {
            format!(
                "POST /desk/00000000000000ff HTTP/1.1\r\nhost: desk.example\r\n{length}\r\n\r\n"
            )
        };
        match self {
            Self::Idle => Vec::new(),
            Self::LargeHead => format!("GET /{} HTTP/1.1", "a".repeat(BODY_BYTES)).into(),
            Self::EmptyLines => b"\r\n".repeat(BODY_BYTES / 2),
            Self::UnfinishedBody => {
                let mut request = post(&format!("content-length: {BODY_BYTES}")).into_bytes();
                request.resize(request.len() + BODY_BYTES - 3, b' ');
                request
            }
            Self::SmallChunks => {
                let chunks = "1\r\n \r\n".repeat(20_000);
                format!("{}{chunks}", post("transfer-encoding: chunked")).into()
            }
            Self::Unread => {
                let request = "GET /desk/ HTTP/1.1\r\nhost: desk.example\r\n\r\n";
                request.repeat(2_000).into()
            }
        }
    }
}

/// Keeps a crowd at a daemon for some time.
pub async fn crowd(entry: SocketAddr, kind: CrowdKind, duration: Duration) {
    let bytes = kind.bytes();
    let clients = (0..CLIENTS).map(|_| stay(entry, &bytes, kind != CrowdKind::Unread));
    let _ = timeout(duration, join_all(clients)).await;
}

/// One client, which comes back whenever its connection has ended.
async fn stay(entry: SocketAddr, bytes: &[u8], reads: bool) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(entry).await {
            let mut answer = Vec::new();
            if stream.write_all(bytes).await.is_ok() && !reads {
                std::future::pending::<()>().await;
            }
            let _ = stream.read_to_end(&mut answer).await;
        }
        sleep(RETURN_DELAY).await;
    }
}
