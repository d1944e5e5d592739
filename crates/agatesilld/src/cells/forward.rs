//! Forwards calls about jobs to the other daemons, over the peer protocol.

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

/// Timeout of one call to a peer, slightly longer than the time for which the peer lets a caller
/// wait for a commit.
const PEER_CALL_TIMEOUT: Duration = Duration::from_millis(2_500);

/// Maximum number of concurrent calls to peers, which bounds the connections that a burst of
/// submissions opens.
const MAX_CONCURRENT_CALLS: usize = 32;

/// Client of the other daemons; clones share one state.
#[derive(Clone)]
pub(super) struct Forwarder {
    hello: Hello,
    members: Arc<BTreeMap<String, SocketAddr>>,
    shared: Shared,
    permits: Arc<Semaphore>,
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
            permits: Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS)),
        }
    }

    /// Submits a job to the owner of its cell.
    pub(super) async fn submit(&self, cell: &str, job: JobSpec) -> Result<JobStatus, Error> {
        let owner = self.shared.owners().peer_of(cell);
        let addr = owner.and_then(|owner| self.members.get(&owner).copied());
        let Some(addr) = addr else {
            let message = format!("no live owner of cell {cell} is known");
            return Err(Error::new(ErrorKind::NoUpstream, message).retry_after(500));
        };
        let call = JobCall::Submit { cell: cell.to_owned(), job };
        match self.ask(addr, &call).await {
            Ok(JobAnswer::Job(status)) => Ok(status),
            Ok(JobAnswer::Refused(refusal)) => Err(refusal.into()),
            Ok(_) => Err(unexpected_answer()),
            // The owner may have committed the job. The submitter retries with the same job id.
            Err(error) if error.kind == ErrorKind::Unreachable => {
                Err(Error::new(ErrorKind::OutcomeUnknown, error.detail).retry_after(500))
            }
            Err(error) => Err(error),
        }
    }

    /// Asks all peers about one job; the owner of its cell answers with the status.
    pub(super) async fn job(&self, call: JobCall) -> Result<JobStatus, Error> {
        match self.first_known(&call).await? {
            JobAnswer::Job(status) => Ok(status),
            _ => Err(unexpected_answer()),
        }
    }

    /// Asks all peers to explain the state of a job.
    pub(super) async fn explain(&self, id: String) -> Result<JobExplanation, Error> {
        match self.first_known(&JobCall::Explain { id }).await? {
            JobAnswer::Explanation(explanation) => Ok(explanation),
            _ => Err(unexpected_answer()),
        }
    }

    /// Adds the jobs of the cells that the peers own to `jobs`.
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

    /// Returns `NotFound` only if every daemon that may own the job's cell answered that it does
    /// not have the job.
    async fn first_known(&self, call: &JobCall) -> Result<JobAnswer, Error> {
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
            let message = format!("cells without a known owner: {}", unowned.join(", "));
            return Err(Error::new(ErrorKind::NoUpstream, message).retry_after(500));
        }
        Err(worst)
    }

    async fn ask_all(&self, call: &JobCall) -> Vec<Result<JobAnswer, Error>> {
        join_all(self.members.values().map(|addr| self.ask(*addr, call))).await
    }

    async fn ask(&self, addr: SocketAddr, call: &JobCall) -> Result<JobAnswer, Error> {
        let timed_out = || {
            let message = format!("{addr}: no answer within {} ms", PEER_CALL_TIMEOUT.as_millis());
            Error::new(ErrorKind::Unreachable, message)
        };
        let Ok(_permit) = self.permits.acquire().await else { return Err(timed_out()) };
        let asked = tokio::time::timeout(PEER_CALL_TIMEOUT, self.exchange(addr, call)).await;
        asked.unwrap_or_else(|_| Err(timed_out()))
    }

    async fn exchange(&self, addr: SocketAddr, call: &JobCall) -> Result<JobAnswer, Error> {
        let json = serde_json::to_string(call).map_err(|error| protocol(&error))?;
        let unreachable = |message: &dyn std::fmt::Display| {
            Error::new(ErrorKind::Unreachable, format!("{addr}: {message}"))
        };
        let stream = TcpStream::connect(addr).await.map_err(|error| unreachable(&error))?;
        let _ = stream.set_nodelay(true);
        let mut connection = Framed::new(stream, FrameCodec::default());
        connection
            .feed(frame(Body::Hello(self.hello.clone())))
            .await
            .map_err(|error| unreachable(&error))?;
        let body = Body::JobCall(PeerJobCall { json });
        connection.send(frame(body)).await.map_err(|error| unreachable(&error))?;
        while let Some(received) = connection.next().await {
            if let Some(Body::JobAnswer(answer)) =
                received.map_err(|error| unreachable(&error))?.body
            {
                return serde_json::from_str(&answer.json).map_err(|error| protocol(&error));
            }
        }
        Err(unreachable(&"connection closed before the answer"))
    }
}

/// Cells in the rendezvous order of a job, weighted by capacity: each cell gets its share of the
/// jobs, and a new cell takes only the jobs that rank it first.
pub(super) fn rendezvous_order<'a>(
    id: &str,
    cells: &'a [(String, Cell)],
) -> Vec<&'a (String, Cell)> {
    let score = |(name, cell): &(String, Cell)| {
        let hash = xxh3_64(format!("{id}\0{name}").as_bytes());
        let unit = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        let cpu_milli: u64 = cell.workers().map(|worker| worker.spec.capacity.cpu_milli).sum();
        -(cpu_milli as f64) / unit.ln()
    };
    let mut order: Vec<&(String, Cell)> = cells.iter().collect();
    order.sort_by(|a, b| score(b).total_cmp(&score(a)));
    order
}

fn frame(body: Body) -> Frame {
    Frame { body: Some(body) }
}

fn unexpected_answer() -> Error {
    Error::new(ErrorKind::Protocol, "a peer sent an unexpected type of answer")
}

fn protocol(error: &dyn std::fmt::Display) -> Error {
    Error::new(ErrorKind::Protocol, error.to_string())
}
