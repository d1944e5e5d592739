//! Asking the other daemons what became of a non-repeatable request.

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

use super::record::{Claim, KeptAnswer};
use crate::settings::Settings;
use crate::shared::Shared;

/// How long one daemon may take to answer. A paused one is as good as dead for this question.
const ASK_LIMIT: Duration = Duration::from_millis(300);

/// Questions at once, so that a wave of re-sends opens a bounded number of connections.
const MOST_AT_ONCE: usize = 32;

/// Asks the members; clones share one state.
#[derive(Clone, Debug)]
pub struct Lookup {
    hello: Hello,
    members: Arc<[SocketAddr]>,
    room: Arc<Semaphore>,
}

impl Lookup {
    /// Prepares to ask the members of `settings`.
    pub fn new(settings: &Settings) -> Self {
        let others = settings.peers.members.iter().filter(|(name, _)| **name != settings.instance);
        Self {
            hello: Hello {
                protocol_version: PROTOCOL_VERSION,
                instance: settings.instance.clone(),
                zone: settings.zone.clone(),
                for_calls: false,
            },
            members: others.map(|(_, addr)| *addr).collect(),
            room: Arc::new(Semaphore::new(MOST_AT_ONCE)),
        }
    }

    /// What the other daemons know; one that does not answer in time knows nothing.
    pub async fn ask(&self, key: &str, fingerprint: u64) -> Claim {
        let Ok(_room) = self.room.acquire().await else { return Claim::NoRecord };
        let wanted = RecordWanted { key: key.to_owned(), fingerprint };
        let answers = self.members.iter().map(|addr| {
            let wanted = wanted.clone();
            async move {
                let answer = tokio::time::timeout(ASK_LIMIT, self.ask_one(*addr, wanted)).await;
                answer.ok().flatten().map_or(Claim::NoRecord, claim)
            }
        });
        join_all(answers).await.into_iter().fold(Claim::NoRecord, Claim::combine)
    }

    async fn ask_one(&self, addr: SocketAddr, wanted: RecordWanted) -> Option<RecordKnown> {
        let stream = TcpStream::connect(addr).await.ok()?;
        let _ = stream.set_nodelay(true);
        let mut link = Framed::new(stream, FrameCodec::default());
        link.feed(frame(Body::Hello(self.hello.clone()))).await.ok()?;
        link.send(frame(Body::RecordWanted(wanted))).await.ok()?;
        while let Some(Ok(received)) = link.next().await {
            if let Some(Body::RecordKnown(known)) = received.body {
                return Some(known);
            }
        }
        None
    }
}

/// Answers a peer's question from this daemon's records.
pub fn answer_lookup(shared: &Shared, wanted: &RecordWanted) -> RecordKnown {
    let (state, answer) = match shared.claim_record(&wanted.key, wanted.fingerprint) {
        Claim::NoRecord => (RecordState::NoRecord, None),
        Claim::Running => (RecordState::Running, None),
        Claim::Ran(None) => (RecordState::Ran, None),
        Claim::Ran(answer) => (RecordState::Answered, answer),
        Claim::Unknown => (RecordState::Unknown, None),
        Claim::HandedOver => (RecordState::HandedOver, None),
        Claim::Granted => (RecordState::Granted, None),
        Claim::Mismatch => (RecordState::Mismatch, None),
    };
    let answer =
        answer.unwrap_or(KeptAnswer { status: 0, headers: Vec::new(), body: bytes::Bytes::new() });
    RecordKnown {
        state: state as i32,
        status: u32::from(answer.status),
        headers: answer
            .headers
            .into_iter()
            .map(|(name, value)| RecordHeader { name, value })
            .collect(),
        body: answer.body,
    }
}

fn claim(known: RecordKnown) -> Claim {
    match known.state() {
        RecordState::NoRecord => Claim::NoRecord,
        RecordState::Running => Claim::Running,
        RecordState::Ran => Claim::Ran(None),
        RecordState::Unknown => Claim::Unknown,
        RecordState::HandedOver => Claim::HandedOver,
        RecordState::Granted => Claim::Granted,
        RecordState::Mismatch => Claim::Mismatch,
        RecordState::Answered => Claim::Ran(Some(KeptAnswer {
            status: known.status as u16,
            headers: known.headers.into_iter().map(|one| (one.name, one.value)).collect(),
            body: known.body,
        })),
    }
}

fn frame(body: Body) -> Frame {
    Frame { body: Some(body) }
}
