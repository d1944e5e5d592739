//! The batch duty: owns cells, commits ledger changes in groups and calls workers.
//!
//! One loop holds all state and never waits for the network: lease renewals and takeovers
//! (`owner`), writes to the log (`commit`) and calls to workers (`workers`) run beside it and
//! come back as events over a bounded ring. A slow worker or store therefore delays nothing but
//! what waits for it. `docs/JOBS.md` weighs the design.

mod commit;
mod forward;
mod jobs;
mod ledger_check;
mod links;
mod owned;
mod owner;
mod report;
mod usage;
mod validate;
mod workers;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agatesill_coord::prelude::*;
use agatesill_policy::prelude::*;
use agatesill_wire::api::{JobExplanation, JobStatus};
use agatesill_wire::http::JsonClient;
use agatesill_wire::jobs::{JobAnswer, JobCall, PeerJobAnswer, PeerJobCall};
use agatesill_wire::prelude::*;
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use self::commit::Written;
use self::forward::Forwarder;
use self::owned::Owned;
use self::owner::{Keeper, KeeperCall, Taken};
use self::workers::WorkerAnswer;
use crate::settings::{CellSettings, Settings};
use crate::shared::Shared;

pub use self::validate::validate;

/// Calls from the admin interface and from peers that may wait for the batch duty.
pub const CELL_RING_CALLS: usize = 1_024;

/// Events that may wait for the loop; whoever brings one waits for room.
const EVENT_RING: usize = 1_024;

/// Calls to workers under way at once, over all cells. At the target a daemon has 250 workers
/// polled twice a second; 64 calls of up to 100 ms carry that.
const WORKER_CALLS_AT_ONCE: usize = 64;

/// How long the planned stop waits for the cells to be given up.
const RELEASE_LIMIT: Duration = Duration::from_secs(2);

/// A call from the admin interface or from a peer.
#[derive(Debug)]
pub enum CellCall {
    /// Accept a job; answered once that is committed.
    Submit(JobSpec, oneshot::Sender<Result<JobStatus, Error>>),
    /// Report on a job.
    Show(String, oneshot::Sender<Result<JobStatus, Error>>),
    /// Report on all jobs.
    List(oneshot::Sender<Vec<JobStatus>>),
    /// Cancel a job; answered once that is committed.
    Cancel(String, oneshot::Sender<Result<JobStatus, Error>>),
    /// Say why a job is where it is.
    Explain(String, oneshot::Sender<Result<JobExplanation, Error>>),
    /// A peer's call, answered from the cells owned here.
    Peer(JobCall, oneshot::Sender<Result<JobAnswer, Error>>),
}

/// What the work beside the loop brings back.
enum Event {
    /// The store lease holds until this moment; a new identity means that the old one was lost.
    Lease { lease_id: u64, until: Instant },
    /// A cell was claimed and its log taken over.
    Taken(Box<Taken>),
    /// A write to a cell's log ended.
    Written(Box<Written>),
    /// Calls to a worker ended.
    Worker(WorkerAnswer),
}

/// The store lease as far as the loop knows it.
#[derive(Clone, Copy, Debug, Default)]
struct LeaseView {
    lease_id: u64,
    until: Option<Instant>,
}

impl LeaseView {
    fn is_valid(&self) -> bool {
        self.until.is_some_and(|until| Instant::now() < until)
    }
}

/// The batch duty of one daemon.
pub struct Cells {
    instance: String,
    settings: Arc<BTreeMap<String, CellSettings>>,
    commit_every: Duration,
    lease: LeaseView,
    owned: BTreeMap<String, Owned>,
    shared: Shared,
    store: Store,
    keeper_settings: owner::KeeperSettings,
    forwarder: Forwarder,
    client: JsonClient,
    room: Arc<Semaphore>,
    events: mpsc::Sender<Event>,
    inbox: Option<mpsc::Receiver<Event>>,
    keeper: mpsc::Sender<KeeperCall>,
    keeper_inbox: Option<mpsc::Receiver<KeeperCall>>,
}

impl Cells {
    /// Prepares the duty.
    pub fn new(settings: &Settings, store: Store, shared: Shared) -> Self {
        let (events, inbox) = mpsc::channel(EVENT_RING);
        shared.owners().all = settings.cells.keys().cloned().collect();
        let (keeper, keeper_inbox) = mpsc::channel(EVENT_RING);
        Self {
            instance: settings.instance.clone(),
            settings: Arc::new(settings.cells.clone()),
            commit_every: Duration::from_millis(settings.store.commit_ms),
            lease: LeaseView::default(),
            owned: BTreeMap::new(),
            forwarder: Forwarder::new(settings, shared.clone()),
            shared,
            store,
            keeper_settings: owner::KeeperSettings::new(settings),
            client: JsonClient::default(),
            room: Arc::new(Semaphore::new(WORKER_CALLS_AT_ONCE)),
            events,
            inbox: Some(inbox),
            keeper,
            keeper_inbox: Some(keeper_inbox),
        }
    }

    /// Runs until `stop` is cancelled, then gives the cells up.
    pub async fn run(mut self, mut calls: mpsc::Receiver<CellCall>, stop: CancellationToken) {
        let (Some(mut inbox), Some(keeper_inbox)) = (self.inbox.take(), self.keeper_inbox.take())
        else {
            return;
        };
        let keeper = Keeper::new(&self.keeper_settings, self.store.clone(), self.shared.clone());
        let keeper = tokio::spawn(keeper.run(self.events.clone(), keeper_inbox));
        let mut turn = tokio::time::interval(self.commit_every);
        turn.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = turn.tick() => self.turn(),
                Some(event) = inbox.recv() => self.handle(event),
                Some(call) = calls.recv() => self.answer(call),
            }
        }
        drop(inbox);
        for name in self.owned.keys().cloned().collect::<Vec<_>>() {
            self.drop_cell(&name, "stopping");
        }
        let _ = self.keeper.send(KeeperCall::Release).await;
        if tokio::time::timeout(RELEASE_LIMIT, keeper).await.is_err() {
            log::warn!(event = "release_failed"; "the store did not answer in time");
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Lease { lease_id, until } => self.lease_renewed(lease_id, until),
            Event::Taken(taken) => self.taken(*taken),
            Event::Written(written) => self.written(*written),
            Event::Worker(answer) => self.worker_answered(answer),
        }
    }

    /// Another lease than before means that the claims made under the old one are gone.
    fn lease_renewed(&mut self, lease_id: u64, until: Instant) {
        if self.lease.lease_id != lease_id && self.lease.lease_id != 0 {
            for name in self.owned.keys().cloned().collect::<Vec<_>>() {
                self.drop_cell(&name, "lease lost");
            }
        }
        self.lease = LeaseView { lease_id, until: Some(until) };
        self.owned.values_mut().for_each(|owned| owned.confirmed = Instant::now());
    }

    fn taken(&mut self, taken: Taken) {
        let Some(settings) = self.settings.get(&taken.name) else { return };
        if taken.lease_id != self.lease.lease_id {
            log::info!(event = "takeover_late", cell = taken.name.as_str(); "");
            return;
        }
        let owned = Owned::new(taken.log, taken.replay, settings);
        log::info!(
            event = "cell_taken", cell = taken.name.as_str(), epoch = owned.epoch,
            jobs = owned.cell.jobs().count(), live = owned.cell.placed().count(); ""
        );
        self.owned.insert(taken.name, owned);
    }

    /// One look at every owned cell: commit what is due, call the workers that are due.
    fn turn(&mut self) {
        let valid = self.lease.is_valid();
        let config = BatchConfig::new(&self.shared.config().doc, commit::PLACEMENTS_PER_COMMIT);
        for name in self.owned.keys().cloned().collect::<Vec<_>>() {
            let Some(settings) = self.settings.get(&name) else { continue };
            let Some(owned) = self.owned.get_mut(&name) else { continue };
            let silent = owned.confirmed.elapsed();
            if silent > Duration::from_millis(settings.outage_renew_ms) {
                self.drop_cell(&name, "not confirmed for too long");
                continue;
            }
            owned.expire_waiters();
            owned.end_lapsed(settings);
            commit::start_write(&name, owned, valid, &config, &self.events);
            let calls = workers::CallContext {
                cell: &name,
                settings,
                client: &self.client,
                room: &self.room,
                events: &self.events,
                may_start: valid,
            };
            workers::call_due(owned, &calls);
            if owned.status_due() {
                self.shared.cells().insert(name.clone(), report::cell_status(&name, owned));
            }
        }
        self.shared.owners().own = self.owned.keys().cloned().collect();
    }

    fn written(&mut self, written: Written) {
        let name = written.cell.clone();
        let Some(owned) = self.owned.get_mut(&name) else { return };
        if owned.epoch != written.epoch {
            return;
        }
        if let Err(error) = commit::finish_write(&name, owned, written) {
            log::warn!(event = "commit_failed", cell = name.as_str(); "{error}");
            if error.kind == ErrorKind::Conflict {
                self.drop_cell(&name, "another owner has taken over");
            }
        }
    }

    fn worker_answered(&mut self, answer: WorkerAnswer) {
        let name = answer.cell.clone();
        let Some(owned) = self.owned.get_mut(&name) else { return };
        if owned.epoch != answer.epoch {
            return;
        }
        if let Err(error) = workers::take_answer(&name, owned, answer)
            && error.kind == ErrorKind::Conflict
        {
            self.drop_cell(&name, "a worker has heard from a later owner");
        }
    }

    /// Stops acting on a cell at once. Whoever waits for a commit is told what is known of it.
    fn drop_cell(&mut self, name: &str, why: &str) {
        let Some(owned) = self.owned.remove(name) else { return };
        log::warn!(event = "cell_lost", cell = name, epoch = owned.epoch; "{why}");
        owned.dismiss_waiters();
        self.shared.cells().remove(name);
        let _ = self.keeper.try_send(KeeperCall::GiveUp(name.to_owned()));
    }
}

/// Answers a peer's call about jobs from the cells owned here.
pub async fn answer_peer(cells: &mpsc::Sender<CellCall>, call: &PeerJobCall) -> PeerJobAnswer {
    let answer = match serde_json::from_str(&call.json) {
        Ok(call) => ask(cells, call).await,
        Err(error) => Err(Error::new(ErrorKind::Protocol, error.to_string())),
    };
    let answer = answer.unwrap_or_else(|error| JobAnswer::Refused((&error).into()));
    PeerJobAnswer { json: serde_json::to_string(&answer).unwrap_or_default() }
}

async fn ask(cells: &mpsc::Sender<CellCall>, call: JobCall) -> Result<JobAnswer, Error> {
    let full = || Error::new(ErrorKind::RingFull, "ring to the batch duty").retry_after(200);
    let stopped = || Error::new(ErrorKind::Stopping, "batch duty").retry_after(500);
    let (reply, answer) = oneshot::channel();
    cells.try_send(CellCall::Peer(call, reply)).map_err(|_| full())?;
    answer.await.map_err(|_| stopped())?
}

/// Milliseconds since the Unix epoch, for reports and deadlines of jobs only.
pub fn now_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}
