//! Calls between daemons: prost messages in length-delimited frames, one connection each way.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use agatesill_coord::prelude::*;
use agatesill_wire::fleet::{FleetAnswer, FleetCall, FleetQuestion};
use agatesill_wire::peer::{Body, Frame, FrameCodec};
use agatesill_wire::prelude::*;
use futures::{SinkExt, StreamExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::daemon_state::Site;
use super::job_store;

/// How long an answer may take: a round trip is 4 ms, a write for another daemon 20 ms.
const LIMIT: Duration = Duration::from_millis(400);

/// Frames that may wait on one connection.
const RING_FRAMES: usize = 256;

/// Pause after a connection that could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

type Waiting = Arc<Mutex<HashMap<u64, oneshot::Sender<FleetAnswer>>>>;

/// The way to other daemons: one connection, to the one asked last.
#[derive(Debug)]
pub struct Link {
    next: AtomicU64,
    open: Mutex<Option<Open>>,
    planner: Dependency,
}

impl Default for Link {
    fn default() -> Self {
        let planner = Dependency::new("planner");
        Self { next: AtomicU64::new(0), open: Mutex::default(), planner }
    }
}

#[derive(Clone, Debug)]
struct Open {
    addr: SocketAddr,
    calls: mpsc::Sender<FleetCall>,
    waiting: Waiting,
    /// The other machine said that nothing listens there.
    is_refused: Arc<AtomicBool>,
    stop: CancellationToken,
}

/// How a question to another daemon ended.
#[derive(Clone, Debug, PartialEq)]
pub enum Asked {
    /// It answered.
    Answered(FleetAnswer),
    /// No answer came in time.
    Silent,
    /// Its machine refuses the connection: the process is not there.
    Refused,
}

impl Link {
    /// Asks the daemon at `addr`; `None` if no answer comes in time.
    pub async fn ask(&self, addr: SocketAddr, question: FleetQuestion) -> Option<FleetAnswer> {
        match self.ask_telling(addr, question).await {
            Asked::Answered(answer) => Some(answer),
            Asked::Silent | Asked::Refused => None,
        }
    }

    /// Asks the daemon at `addr` and tells why there is no answer. Then the connection is closed, as
    /// a silent one would swallow every call after this.
    pub async fn ask_telling(&self, addr: SocketAddr, question: FleetQuestion) -> Asked {
        let number = self.next.fetch_add(1, Ordering::Relaxed) + 1;
        let open = self.open(addr);
        let sent = Instant::now();
        let (answer, answered) = oneshot::channel();
        lock(&open.waiting).insert(number, answer);
        let call = FleetCall { number, question: Some(question) };
        let is_sent = open.calls.try_send(call).is_ok();
        let answer = match is_sent {
            true => tokio::time::timeout(LIMIT, answered).await.ok().and_then(Result::ok),
            false => None,
        };
        lock(&open.waiting).remove(&number);
        let Some(answer) = answer else {
            let is_refused = open.is_refused.load(Ordering::Relaxed);
            let why = if is_refused { "nothing listens at" } else { "no answer from" };
            self.planner.failed(&format!("{why} {addr}"));
            self.close(&open);
            return if is_refused { Asked::Refused } else { Asked::Silent };
        };
        self.planner.answered(sent);
        Asked::Answered(answer)
    }

    fn open(&self, addr: SocketAddr) -> Open {
        let mut present = lock(&self.open);
        if let Some(open) = present.as_ref() {
            if open.addr == addr && !open.calls.is_closed() {
                return open.clone();
            }
            open.stop.cancel();
        }
        let (calls, ring) = mpsc::channel(RING_FRAMES);
        let open = Open {
            addr,
            calls,
            waiting: Waiting::default(),
            is_refused: Arc::default(),
            stop: CancellationToken::new(),
        };
        *present = Some(open.clone());
        tokio::spawn(carry(open.clone(), ring));
        open
    }

    fn close(&self, failed: &Open) {
        failed.stop.cancel();
        let mut present = lock(&self.open);
        if present.as_ref().is_some_and(|open| open.calls.same_channel(&failed.calls)) {
            *present = None;
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Carries calls to one daemon and its answers back, until either side closes.
async fn carry(open: Open, mut calls: mpsc::Receiver<FleetCall>) {
    let Open { addr, waiting, is_refused, stop, calls: handle } = open;
    // The channel closes once nobody else can send.
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

/// Answers other daemons until `stop` is cancelled.
pub async fn serve(site: Arc<Site>, listener: TcpListener, stop: CancellationToken) {
    let tasks = TaskTracker::new();
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => match accepted {
                Ok((stream, _)) => {
                    tasks.spawn(answer_all(site.clone(), stream, stop.clone()));
                }
                Err(error) => {
                    log::warn!(event = "accept_failed"; "{error}");
                    tokio::time::sleep(ACCEPT_PAUSE).await;
                }
            },
        }
    }
}

async fn answer_all(site: Arc<Site>, stream: TcpStream, stop: CancellationToken) {
    if let Err(error) = stream.set_nodelay(true) {
        log::debug!(event = "peer_lost"; "{error}");
    }
    let (mut sink, mut frames) = Framed::new(stream, FrameCodec::default()).split();
    let (answers, mut ring) = mpsc::channel(RING_FRAMES);
    loop {
        tokio::select! {
            () = stop.cancelled() => return,
            frame = frames.next() => match frame {
                Some(Ok(Frame { body: Some(Body::FleetCall(call)) })) => {
                    let (site, answers) = (site.clone(), answers.clone());
                    tokio::spawn(async move {
                        let answer = answer(&site, call).await;
                        if answers.send(answer).await.is_err() {
                            log::debug!(event = "peer_answer_unheard"; "");
                        }
                    });
                }
                Some(Ok(_)) => {}
                Some(Err(_)) | None => return,
            },
            answer = ring.recv() => {
                let Some(answer) = answer else { return };
                let frame = Frame { body: Some(Body::FleetAnswer(answer)) };
                if let Err(error) = sink.send(frame).await {
                    log::debug!(event = "peer_lost"; "{error}");
                    return;
                }
            }
        }
    }
}

async fn answer(site: &Site, call: FleetCall) -> FleetAnswer {
    let mut answer = FleetAnswer { number: call.number, ..FleetAnswer::default() };
    answer.planner = site.owner().map(|owner| owner.address).unwrap_or_default();
    match call.question {
        Some(FleetQuestion::StateOf(id)) => {
            if let Some((phase, is_started)) = job_store::planned_state(site, &id).await {
                answer.is_known = true;
                answer.phase = job_store::phase_code(phase);
                answer.is_started = is_started;
            }
        }
        Some(FleetQuestion::Pending(queue)) => {
            if let Some(planner) = site.certain_planner() {
                let pending = planner.pending(&queue).await;
                answer.is_known = pending.is_some();
                answer.pending = pending.unwrap_or_default();
            }
        }
        Some(FleetQuestion::Accepted(json)) => {
            if let (Some(planner), Ok(spec)) = (site.planner(), serde_json::from_str(&json)) {
                planner.accept(spec);
                answer.is_known = true;
            }
        }
        Some(FleetQuestion::Cancelled(id)) => {
            if let Some(planner) = site.planner() {
                planner.cancel(&id);
                answer.is_known = true;
            }
        }
        Some(FleetQuestion::StoreJob(job)) => {
            answer.write = job_store::store_job_here(site, &job.id, job.json).await as i32;
        }
        Some(FleetQuestion::StoreCancel(id)) => {
            answer.write = job_store::store_cancel_here(site, &id).await as i32;
        }
        Some(FleetQuestion::HowIsTheStore(sees_store)) => {
            answer.is_known = true;
            answer.is_store_lost = site.store.is_unavailable();
            answer.has_no_planner = !site.is_planning();
            // Guards against a needless change of planner at the end of an outage: the daemon that asks
            // sees the store again, while calls here pause for up to a second, and would take the range
            // away at its second question.
            if answer.is_store_lost && sees_store > 0 {
                site.store.retry_soon();
            }
        }
        Some(FleetQuestion::PassOn(cpu_milli)) => answer.is_known = site.ask_to_pass_on(cpu_milli),
        None => {}
    }
    answer
}
