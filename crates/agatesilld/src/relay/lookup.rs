//! Queries the other daemons for the record of a non-repeatable request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatesill_wire::peer::{Body, Frame, FrameCodec, Hello, PROTOCOL_VERSION};
use agatesill_wire::record::{RecordHeader, RecordKnown, RecordState, RecordWanted};
use futures::future::join_all;
use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio_util::codec::Framed;

use super::record::{Claim, RecordedResponse};
use crate::settings::Settings;
use crate::shared::Shared;

/// Timeout for the reply of one daemon. A paused daemon is treated like a crashed one.
const QUERY_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of concurrent lookups, which bounds the connections that a burst of retries
/// opens.
const MAX_CONCURRENT_LOOKUPS: usize = 32;

/// Client for record lookups at the other daemons; clones share one state.
#[derive(Clone, Debug)]
pub struct RecordLookup {
    hello: Hello,
    members: Arc<[SocketAddr]>,
    permits: Arc<Semaphore>,
}

impl RecordLookup {
    /// Creates a client for the other members of `settings`.
    pub fn new(settings: &Settings) -> Self {
        let peers = settings.peers.members.iter().filter(|(name, _)| **name != settings.instance);
        Self {
            hello: Hello {
                protocol_version: PROTOCOL_VERSION,
                instance: settings.instance.clone(),
                zone: settings.zone.clone(),
                for_calls: false,
            },
            members: peers.map(|(_, addr)| *addr).collect(),
            permits: Arc::new(Semaphore::new(MAX_CONCURRENT_LOOKUPS)),
        }
    }

    /// Queries all other daemons and combines their replies; a daemon that does not reply in time
    /// counts as [`Claim::NoRecord`].
    pub async fn query_peers(&self, key: &str, fingerprint: u64) -> Claim {
        let Ok(_permit) = self.permits.acquire().await else { return Claim::NoRecord };
        let query = RecordWanted { key: key.to_owned(), fingerprint };
        let responses = self.members.iter().map(|addr| {
            let query = query.clone();
            async move {
                let response =
                    tokio::time::timeout(QUERY_TIMEOUT, self.query_peer(*addr, query)).await;
                response.ok().flatten().map_or(Claim::NoRecord, claim_from_wire)
            }
        });
        join_all(responses).await.into_iter().fold(Claim::NoRecord, Claim::combine)
    }

    async fn query_peer(&self, addr: SocketAddr, query: RecordWanted) -> Option<RecordKnown> {
        let stream = TcpStream::connect(addr).await.ok()?;
        let _ = stream.set_nodelay(true);
        let mut connection = Framed::new(stream, FrameCodec::default());
        connection.feed(frame(Body::Hello(self.hello.clone()))).await.ok()?;
        connection.send(frame(Body::RecordWanted(query))).await.ok()?;
        while let Some(Ok(received)) = connection.next().await {
            if let Some(Body::RecordKnown(known)) = received.body {
                return Some(known);
            }
        }
        None
    }
}

/// Answers a peer's lookup from this daemon's records.
pub fn answer_lookup(shared: &Shared, query: &RecordWanted) -> RecordKnown {
    let (state, response) = match shared.claim_record(&query.key, query.fingerprint) {
        Claim::NoRecord => (RecordState::NoRecord, None),
        Claim::Running => (RecordState::Running, None),
        Claim::Ran(None) => (RecordState::Ran, None),
        Claim::Ran(response) => (RecordState::Answered, response),
        Claim::Unknown => (RecordState::Unknown, None),
        Claim::HandedOver => (RecordState::HandedOver, None),
        Claim::Granted => (RecordState::Granted, None),
        Claim::Mismatch => (RecordState::Mismatch, None),
    };
    let response = response.unwrap_or(RecordedResponse {
        status: 0,
        headers: Vec::new(),
        body: bytes::Bytes::new(),
    });
    RecordKnown {
        state: state as i32,
        status: u32::from(response.status),
        headers: response
            .headers
            .into_iter()
            .map(|(name, value)| RecordHeader { name, value })
            .collect(),
        body: response.body,
    }
}

fn claim_from_wire(known: RecordKnown) -> Claim {
    match known.state() {
        RecordState::NoRecord => Claim::NoRecord,
        RecordState::Running => Claim::Running,
        RecordState::Ran => Claim::Ran(None),
        RecordState::Unknown => Claim::Unknown,
        RecordState::HandedOver => Claim::HandedOver,
        RecordState::Granted => Claim::Granted,
        RecordState::Mismatch => Claim::Mismatch,
        RecordState::Answered => Claim::Ran(Some(RecordedResponse {
            status: known.status as u16,
            headers: known.headers.into_iter().map(|header| (header.name, header.value)).collect(),
            body: known.body,
        })),
    }
}

fn frame(body: Body) -> Frame {
    Frame { body: Some(body) }
}
