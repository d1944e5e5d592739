//! Calls about jobs to the other daemons, over the peer protocol.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agatesill_policy::prelude::*;
use agatesill_wire::api::{JobExplanation, JobStatus};
use agatesill_wire::jobs::{JobAnswer, JobCall, PeerJobCall};
use agatesill_wire::peer::{Body, Frame, FrameCodec, Hello, PROTOCOL_VERSION};
use agatesill_wire::prelude::*;
use futures::future::join_all;
use futures::{SinkExt, StreamExt};
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio_util::codec::Framed;
use xxhash_rust::xxh3::xxh3_64;

use crate::settings::Settings;
use crate::shared::Shared;

/// How long a peer may take to answer; a little longer than it lets a caller wait for a commit.
const PEER_LIMIT: Duration = Duration::from_millis(2_500);

/// Calls to peers under way at once; a wave of submissions opens no more connections than that.
const MOST_AT_ONCE: usize = 32;

/// Asks the other daemons; clones share one state.
#[derive(Clone)]
pub(super) struct Forwarder {
    hello: Hello,
    members: Arc<BTreeMap<String, SocketAddr>>,
    shared: Shared,
    room: Arc<Semaphore>,
}

impl Forwarder {
    pub(super) fn new(settings: &Settings, shared: Shared) -> Self {
        let mut members = settings.peers.members.clone();
        members.remove(&settings.instance);
        Self {
            hello: Hello {
                protocol_version: PROTOCOL_VERSION,
                instance: settings.instance.clone(),
                zone: settings.zone.clone(),
                for_calls: false,
            },
            members: Arc::new(members),
            shared,
            room: Arc::new(Semaphore::new(MOST_AT_ONCE)),
        }
    }

    /// Submits a job at the owner of its cell.
    pub(super) async fn submit(&self, cell: &str, job: JobSpec) -> Result<JobStatus, Error> {
        let owner = self.shared.owners().peer_of(cell);
        let addr = owner.and_then(|owner| self.members.get(&owner).copied());
        let Some(addr) = addr else {
            let what = format!("cell {cell} has no owner that this instance hears");
            return Err(Error::new(ErrorKind::NoUpstream, what).retry_after(500));
        };
        let call = JobCall::Submit { cell: cell.to_owned(), job };
        match self.ask(addr, &call).await {
            Ok(JobAnswer::Job(status)) => Ok(status),
            Ok(JobAnswer::Refused(refusal)) => Err(refusal.into()),
            Ok(_) => Err(senseless()),
            // The owner may have committed it: the submitter asks again under the same identity.
            Err(error) if error.kind == ErrorKind::Unreachable => {
                Err(Error::new(ErrorKind::OutcomeUnknown, error.detail).retry_after(500))
            }
            Err(error) => Err(error),
        }
    }

    /// Asks all peers for one job; the one that owns its cell knows.
    pub(super) async fn job(&self, call: JobCall) -> Result<JobStatus, Error> {
        match self.first_that_knows(&call).await? {
            JobAnswer::Job(status) => Ok(status),
            _ => Err(senseless()),
        }
    }

    /// Asks all peers why a job is where it is.
    pub(super) async fn explain(&self, id: String) -> Result<JobExplanation, Error> {
        match self.first_that_knows(&JobCall::Explain { id }).await? {
            JobAnswer::Explanation(explanation) => Ok(explanation),
            _ => Err(senseless()),
        }
    }

    /// Adds the jobs that the peers own to `jobs`.
    pub(super) async fn list(&self, mut jobs: Vec<JobStatus>) -> Vec<JobStatus> {
        for answer in self.ask_all(&JobCall::List).await {
            if let Ok(JobAnswer::Jobs(more)) = answer {
                jobs.extend(more);
            }
        }
        jobs.sort_by(|a, b| a.spec.id.cmp(&b.spec.id));
        jobs.dedup_by(|a, b| a.spec.id == b.spec.id);
        jobs
    }

    /// `NotFound` only when everybody who may own the job's cell answered that it is not there.
    async fn first_that_knows(&self, call: &JobCall) -> Result<JobAnswer, Error> {
        let mut worst = Error::new(ErrorKind::NotFound, format!("{call:?}"));
        for answer in self.ask_all(call).await {
            match answer {
                Ok(JobAnswer::Refused(refusal)) => {
                    let error = Error::from(refusal);
                    if error.kind != ErrorKind::NotFound {
                        worst = error;
                    }
                }
                Ok(answer) => return Ok(answer),
                Err(error) if worst.kind == ErrorKind::NotFound => worst = error,
                Err(_) => {}
            }
        }
        let unowned = self.shared.owners().unowned();
        if worst.kind == ErrorKind::NotFound && !unowned.is_empty() {
            let what = format!("cells without a known owner: {}", unowned.join(", "));
            return Err(Error::new(ErrorKind::NoUpstream, what).retry_after(500));
        }
        Err(worst)
    }

    async fn ask_all(&self, call: &JobCall) -> Vec<Result<JobAnswer, Error>> {
        join_all(self.members.values().map(|addr| self.ask(*addr, call))).await
    }

    async fn ask(&self, addr: SocketAddr, call: &JobCall) -> Result<JobAnswer, Error> {
        let silent = || {
            let what = format!("{addr}: no answer within {} ms", PEER_LIMIT.as_millis());
            Error::new(ErrorKind::Unreachable, what)
        };
        let Ok(_room) = self.room.acquire().await else { return Err(silent()) };
        let asked = tokio::time::timeout(PEER_LIMIT, self.exchange(addr, call)).await;
        asked.unwrap_or_else(|_| Err(silent()))
    }

    async fn exchange(&self, addr: SocketAddr, call: &JobCall) -> Result<JobAnswer, Error> {
        let json = serde_json::to_string(call).map_err(|error| protocol(&error))?;
        let gone = |what: &dyn std::fmt::Display| {
            Error::new(ErrorKind::Unreachable, format!("{addr}: {what}"))
        };
        let stream = TcpStream::connect(addr).await.map_err(|error| gone(&error))?;
        let _ = stream.set_nodelay(true);
        let mut link = Framed::new(stream, FrameCodec::default());
        link.feed(frame(Body::Hello(self.hello.clone()))).await.map_err(|error| gone(&error))?;
        let body = Body::JobCall(PeerJobCall { json });
        link.send(frame(body)).await.map_err(|error| gone(&error))?;
        while let Some(received) = link.next().await {
            if let Some(Body::JobAnswer(answer)) = received.map_err(|error| gone(&error))?.body {
                return serde_json::from_str(&answer.json).map_err(|error| protocol(&error));
            }
        }
        Err(gone(&"the link closed"))
    }
}

/// Cells in the order in which they suit a job: weighted rendezvous by capacity, so that each cell
/// gets its share and a new cell takes only jobs that rank it first.
pub(super) fn home_order<'a>(id: &str, floors: &'a [(String, Cell)]) -> Vec<&'a (String, Cell)> {
    let score = |(name, floor): &(String, Cell)| {
        let hash = xxh3_64(format!("{id}\0{name}").as_bytes());
        let unit = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        let cpu_milli: u64 = floor.workers().map(|worker| worker.spec.capacity.cpu_milli).sum();
        -(cpu_milli as f64) / unit.ln()
    };
    let mut order: Vec<&(String, Cell)> = floors.iter().collect();
    order.sort_by(|a, b| score(b).total_cmp(&score(a)));
    order
}

fn frame(body: Body) -> Frame {
    Frame { body: Some(body) }
}

fn senseless() -> Error {
    Error::new(ErrorKind::Protocol, "a peer answered another question")
}

fn protocol(error: &dyn std::fmt::Display) -> Error {
    Error::new(ErrorKind::Protocol, error.to_string())
}
