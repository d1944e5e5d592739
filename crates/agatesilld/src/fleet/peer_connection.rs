//! Calls between daemons: prost messages in length-delimited frames. Each side opens its own
//! connection for its calls.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use agatesill_coord::prelude::*;
use agatesill_policy::admission::OfferedTotals;
use agatesill_wire::fleet::{FleetAnswer, FleetCall, FleetQuestion, JOB_FORMAT};
use agatesill_wire::listener::{ConnectionHandle, EdgeStream, accept, no_response};
use agatesill_wire::peer::{Body, Frame, FrameCodec};
use agatesill_wire::prelude::*;
use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::config_peers;
use super::daemon_state::DaemonState;
use super::job_store;
use super::{store_watchers, submission_report};

/// Timeout of an answer. A round trip takes 4 ms, a write on behalf of another daemon 20 ms.
pub const ANSWER_TIMEOUT: Duration = Duration::from_millis(400);

/// Capacity of the frame queue of one connection.
const FRAME_QUEUE_CAPACITY: usize = 256;

/// Calls of one connection that are not answered yet. No further one is read meanwhile.
const MAX_OPEN_CALLS: usize = 256;

type Waiting = Arc<Mutex<HashMap<u64, oneshot::Sender<FleetAnswer>>>>;

/// Client for calls to other daemons. It keeps one connection open, to the daemon that was called
/// last.
#[derive(Debug)]
pub struct PeerConnection {
    next_number: AtomicU64,
    current: Mutex<Option<OpenConnection>>,
    /// Address of this daemon, named in each call.
    sender: String,
    answer_timeout: Duration,
    called: Dependency,
}

#[derive(Clone, Debug)]
struct OpenConnection {
    addr: SocketAddr,
    calls: mpsc::Sender<FleetCall>,
    waiting: Waiting,
    /// Set if the connection was refused.
    is_refused: Arc<AtomicBool>,
    stop: CancellationToken,
}

/// Outcome of a call to another daemon.
#[derive(Clone, Debug, PartialEq)]
pub enum PeerReply {
    /// The daemon answered.
    Answered(Box<FleetAnswer>),
    /// No answer arrived in time.
    Silent,
    /// The connection was refused: the process does not run, or a partition rejects connections.
    Refused,
}

impl PeerConnection {
    /// A client of the daemon at `own_addr`; `name` is that of the called daemon in log lines.
    pub fn new(name: &'static str, own_addr: SocketAddr, answer_timeout: Duration) -> Self {
        Self {
            next_number: AtomicU64::new(0),
            current: Mutex::default(),
            sender: own_addr.to_string(),
            answer_timeout,
            called: Dependency::new(name),
        }
    }

    /// Calls the daemon at `addr`, tells it `offered_milli`, and reports why there is no answer. On failure the connection is
    /// closed, because an unresponsive one would block every later call.
    pub async fn ask_reporting_outcome(
        &self,
        addr: SocketAddr,
        question: FleetQuestion,
        offered_milli: OfferedTotals,
    ) -> PeerReply {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed) + 1;
        let connection = self.connection_to(addr);
        let sent = Instant::now();
        let (answer, answered) = oneshot::channel();
        lock(&connection.waiting).insert(number, answer);
        let sender = self.sender.clone();
        let question = Some(question);
        let call = FleetCall { number, question, sender, job_format: JOB_FORMAT, offered_milli };
        let is_sent = connection.calls.try_send(call).is_ok();
        let answer = match is_sent {
            true => {
                tokio::time::timeout(self.answer_timeout, answered).await.ok().and_then(Result::ok)
            }
            false => None,
        };
        lock(&connection.waiting).remove(&number);
        let Some(answer) = answer else {
            let is_refused = connection.is_refused.load(Ordering::Relaxed);
            let why = if is_refused { "connection refused by" } else { "no answer from" };
            self.called.failed(&format!("{why} {addr}"));
            self.close(&connection);
            return if is_refused { PeerReply::Refused } else { PeerReply::Silent };
        };
        self.called.answered(sent);
        PeerReply::Answered(Box::new(answer))
    }

    fn connection_to(&self, addr: SocketAddr) -> OpenConnection {
        let mut current = lock(&self.current);
        if let Some(connection) = current.as_ref() {
            if connection.addr == addr && !connection.calls.is_closed() {
                return connection.clone();
            }
            connection.stop.cancel();
        }
        let (calls, queued_calls) = mpsc::channel(FRAME_QUEUE_CAPACITY);
        let connection = OpenConnection {
            addr,
            calls,
            waiting: Waiting::default(),
            is_refused: Arc::default(),
            stop: CancellationToken::new(),
        };
        *current = Some(connection.clone());
        tokio::spawn(exchange_frames(connection.clone(), queued_calls));
        connection
    }

    fn close(&self, failed: &OpenConnection) {
        failed.stop.cancel();
        let mut current = lock(&self.current);
        if current.as_ref().is_some_and(|connection| connection.calls.same_channel(&failed.calls)) {
            *current = None;
        }
    }
}

/// Client for calls to daemons that change with each call. Each call has a connection of its own, so
/// that an unresponsive daemon delays no other call.
#[derive(Debug)]
pub struct PeerCalls {
    /// Address of this daemon, named in each call.
    sender: String,
    called: Dependency,
}

impl PeerCalls {
    /// A client of the daemon at `own_addr`.
    pub fn new(own_addr: SocketAddr) -> Self {
        Self { sender: own_addr.to_string(), called: Dependency::new("peer") }
    }

    /// Calls the daemon at `addr`; `None` if no answer arrives within `timeout`.
    pub async fn ask(
        &self,
        addr: SocketAddr,
        question: FleetQuestion,
        timeout: Duration,
    ) -> Option<FleetAnswer> {
        let sent = Instant::now();
        let sender = self.sender.clone();
        let call = FleetCall {
            number: 1,
            question: Some(question),
            sender,
            job_format: JOB_FORMAT,
            ..FleetCall::default()
        };
        let outcome = tokio::time::timeout(timeout, exchange_once(addr, call)).await;
        let failure = match outcome {
            Ok(Ok(Some(answer))) => {
                self.called.answered(sent);
                return Some(answer);
            }
            Ok(Ok(None)) => format!("{addr} closed the connection"),
            Ok(Err(error)) => format!("{addr}: {error}"),
            Err(_) => format!("no answer from {addr}"),
        };
        self.called.failed(&failure);
        None
    }
}

/// Sends a call on a new connection and returns the answer; `None` if the connection is closed before.
async fn exchange_once(addr: SocketAddr, call: FleetCall) -> Result<Option<FleetAnswer>, Error> {
    let stream = TcpStream::connect(addr).await?;
    stream.set_nodelay(true)?;
    let mut frames = Framed::new(stream, FrameCodec::default());
    frames.send(Frame { body: Some(Body::FleetCall(call)) }).await?;
    while let Some(frame) = frames.next().await {
        if let Some(Body::FleetAnswer(answer)) = frame?.body {
            return Ok(Some(answer));
        }
    }
    Ok(None)
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Sends calls to one daemon and receives its answers, until either side closes the connection.
async fn exchange_frames(connection: OpenConnection, mut calls: mpsc::Receiver<FleetCall>) {
    let OpenConnection { addr, waiting, is_refused, stop, calls: handle } = connection;
    // Drops this sender, so that the channel closes once all other senders are dropped.
    drop(handle);
    let work = async {
        let stream = TcpStream::connect(addr).await.inspect_err(|error| {
            is_refused
                .store(error.kind() == std::io::ErrorKind::ConnectionRefused, Ordering::Relaxed);
        })?;
        stream.set_nodelay(true)?;
        let (mut sink, mut frames) = Framed::new(stream, FrameCodec::default()).split();
        loop {
            tokio::select! {
                call = calls.recv() => match call {
                    Some(call) => sink.send(Frame { body: Some(Body::FleetCall(call)) }).await?,
                    None => return Ok(()),
                },
                frame = frames.next() => match frame.transpose()? {
                    Some(Frame { body: Some(Body::FleetAnswer(answer)) }) => {
                        if let Some(waiter) = lock(&waiting).remove(&answer.number) {
                            drop(waiter.send(answer));
                        }
                    }
                    Some(_) => {}
                    None => return Ok(()),
                },
            }
        }
    };
    let ended: Result<(), Error> = tokio::select! {
        () = stop.cancelled() => Ok(()),
        ended = work => ended,
    };
    if let Err(error) = ended {
        log::debug!(event = "peer_lost", peer = addr.to_string(); "{error}");
    }
    lock(&waiting).clear();
}

/// Serves calls of other daemons until `stop` is cancelled.
pub async fn serve(daemon: Arc<DaemonState>, listener: TcpListener, stop: CancellationToken) {
    let tasks = TaskTracker::new();
    let spawn = |stream: TcpStream, connection: ConnectionHandle| {
        let frames =
            Framed::new(EdgeStream::new(stream, connection.clone()), FrameCodec::default());
        let (daemon, stop) = (daemon.clone(), stop.clone());
        tasks.spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                _ = connection.closed() => {}
                () = serve_calls(daemon, frames, &connection) => {}
            }
        });
    };
    accept(listener, &daemon.edges.peers, &stop, no_response, spawn).await;
}

/// Answers the calls on one connection until it ends. A call that was read is carried out even if the
/// connection ends before its answer.
async fn serve_calls(
    daemon: Arc<DaemonState>,
    frames: Framed<EdgeStream, FrameCodec>,
    connection: &ConnectionHandle,
) {
    let (mut sink, mut frames) = frames.split();
    let (answers, mut queued_answers) = mpsc::channel(MAX_OPEN_CALLS);
    let mut open_calls = 0;
    loop {
        tokio::select! {
            frame = frames.next(), if open_calls < MAX_OPEN_CALLS => {
                let Some(Ok(Frame { body })) = frame else { return };
                connection.request_ended();
                let Some(Body::FleetCall(call)) = body else { continue };
                open_calls += 1;
                let (daemon, answers) = (daemon.clone(), answers.clone());
                tokio::spawn(async move {
                    let answer = answer_call(&daemon, call).await;
                    if answers.send(answer).await.is_err() {
                        log::debug!(event = "peer_answer_unheard"; "");
                    }
                });
            }
            answer = queued_answers.recv() => {
                let Some(answer) = answer else { return };
                open_calls -= 1;
                let frame = Frame { body: Some(Body::FleetAnswer(answer)) };
                if let Err(error) = sink.send(frame).await {
                    log::debug!(event = "peer_lost"; "{error}");
                    return;
                }
            }
        }
    }
}

async fn answer_call(daemon: &DaemonState, call: FleetCall) -> FleetAnswer {
    let mut answer = FleetAnswer { number: call.number, ..FleetAnswer::default() };
    daemon.peers.called_by(&call.sender);
    let now_us = daemon.clock.now_us();
    daemon.load.called_by(&call.sender, call.job_format, now_us);
    daemon.load.offers_reported(&call.sender, call.offered_milli, now_us);
    // A planner that is cut off from the store does not know all the work that waits.
    if daemon.confirmed_planner().is_some() {
        answer.load = daemon.load.report(daemon.clock.now_us());
    }
    if let Some(owner) = daemon.owner() {
        (answer.planner, answer.planner_epoch) = (owner.address, daemon.planner_epoch());
    }
    match call.question {
        Some(FleetQuestion::StateOf(id)) => {
            if let Some((phase, is_started)) = job_store::planner_state(daemon, &id).await {
                answer.is_known = true;
                answer.phase = job_store::phase_code(phase);
                answer.is_started = is_started;
            }
        }
        Some(FleetQuestion::Pending(queue)) => {
            if let Some(planner) = daemon.confirmed_planner() {
                let pending = planner.pending(&queue).await;
                answer.is_known = pending.is_some();
                answer.pending = pending.unwrap_or_default();
            }
        }
        Some(FleetQuestion::Accepted(json)) => {
            if let (Some(planner), Ok(spec)) =
                (daemon.planner(), store_watchers::accepted_job(&json))
            {
                planner.accept(spec);
                answer.is_known = true;
            }
        }
        Some(FleetQuestion::Cancelled(id)) => {
            if let Some(planner) = daemon.planner() {
                planner.cancel(&id);
                answer.is_known = true;
            }
        }
        Some(FleetQuestion::StoreJob(job)) => {
            let submission = job_store::submit_for(daemon, &job.id, &job.json).await;
            submission_report::encode(&submission, &mut answer);
        }
        Some(FleetQuestion::StoreCancel(id)) => {
            answer.write = job_store::store_cancel_directly(daemon, &id).await as i32;
        }
        Some(FleetQuestion::HowIsTheStore(sees_store)) => {
            answer.is_known = true;
            answer.is_store_lost = daemon.store.is_unavailable();
            answer.has_no_planner = !daemon.is_planning();
            // Guards against a needless change of planner at the end of an outage: the calling
            // daemon reaches the store again, while calls here are suspended for up to a second. It
            // would take over the range with its second call.
            if answer.is_store_lost && sees_store > 0 {
                daemon.store.retry_soon();
            }
        }
        Some(FleetQuestion::ConfigAfter(revision)) => {
            config_peers::answer_config(daemon, &call.sender, revision, true, &mut answer);
        }
        Some(FleetQuestion::ConfigRevision(revision)) => {
            config_peers::answer_config(daemon, &call.sender, revision, false, &mut answer);
        }
        Some(FleetQuestion::PassOn(cpu_milli)) => {
            answer.is_known = daemon.grant_handover(cpu_milli)
        }
        None => {}
    }
    answer
}
