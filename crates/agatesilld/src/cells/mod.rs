//! Cell manager: owns cells of batch workers, commits ledger changes in groups and calls workers.
//!
//! One loop holds all state and never waits for the network. Lease renewals and takeovers
//! (`lease_keeper`), log writes (`commit`) and worker calls (`workers`) run in separate tasks and
//! report back as events over a bounded queue. A slow worker or store therefore delays only the
//! operations that depend on it. `docs/JOBS.md` discusses the design.

mod commit;
mod connections;
mod forward;
mod jobs;
mod lease_keeper;
mod ledger_check;
mod owned;
mod report;
mod usage;
mod validate;
mod workers;

use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};
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

use self::commit::WriteResult;
use self::forward::Forwarder;
use self::lease_keeper::{LeaseKeeper, LeaseKeeperCall, Takeover};
use self::owned::OwnedCell;
use self::workers::{RoundPermit, WorkerCallResult};
use crate::settings::{CellSettings, Settings};
use crate::shared::Shared;

pub use self::validate::validate;

/// Capacity of the queue of calls from the admin interface and from peers.
pub const CELL_RING_CALLS: usize = 1_024;

/// Capacity of the event queue. Senders wait while it is full.
const EVENT_QUEUE_CAPACITY: usize = 1_024;

/// Maximum number of concurrent worker calls, over all cells. A daemon at its target size polls 250
/// workers twice a second; 64 concurrent calls of up to 100 ms are enough for that.
const MAX_CONCURRENT_WORKER_CALLS: usize = 64;

/// How long a graceful shutdown waits for the cells to be released.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// A call from the admin interface or from a peer.
#[derive(Debug)]
pub enum CellCall {
    /// Accept a job; answered after the commit.
    Submit(JobSpec, oneshot::Sender<Result<JobStatus, Error>>),
    /// Report the status of a job.
    Show(String, oneshot::Sender<Result<JobStatus, Error>>),
    /// Report the status of all jobs.
    List(oneshot::Sender<Vec<JobStatus>>),
    /// Cancel a job; answered after the commit.
    Cancel(String, oneshot::Sender<Result<JobStatus, Error>>),
    /// Explain the current state of a job.
    Explain(String, oneshot::Sender<Result<JobExplanation, Error>>),
    /// A peer's call, answered only from the cells that this instance owns.
    Peer(JobCall, oneshot::Sender<Result<JobAnswer, Error>>),
}

/// Results reported by the tasks outside the loop.
enum Event {
    /// The store lease was renewed and is valid until `until`. A changed `lease_id` means that the
    /// previous lease was lost.
    Lease { lease_id: u64, until: Instant },
    /// A cell was claimed and its log taken over.
    Takeover(Box<Takeover>),
    /// A write to a cell's log finished.
    WriteResult(Box<WriteResult>),
    /// A round of calls to a worker may begin.
    RoundPermit(RoundPermit),
    /// A round of calls to a worker finished.
    Worker(Box<WorkerCallResult>),
}

/// The store lease as last reported to the loop.
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

/// The cell manager of one daemon.
pub struct CellManager {
    instance: String,
    settings: Arc<BTreeMap<String, CellSettings>>,
    commit_interval: Duration,
    lease: LeaseView,
    owned: BTreeMap<String, OwnedCell>,
    shared: Shared,
    store: Store,
    keeper_settings: lease_keeper::LeaseKeeperSettings,
    forwarder: Forwarder,
    client: JsonClient,
    worker_call_permits: Arc<Semaphore>,
    events: mpsc::Sender<Event>,
    event_receiver: Option<mpsc::Receiver<Event>>,
    keeper: mpsc::Sender<LeaseKeeperCall>,
    keeper_receiver: Option<mpsc::Receiver<LeaseKeeperCall>>,
}

impl CellManager {
    /// Creates the manager; [`CellManager::run`] starts its loop.
    pub fn new(settings: &Settings, store: Store, shared: Shared) -> Self {
        let (events, event_receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        shared.owners().all = settings.cells.keys().cloned().collect();
        let (keeper, keeper_receiver) = mpsc::channel(EVENT_QUEUE_CAPACITY);
        Self {
            instance: settings.instance.clone(),
            settings: Arc::new(settings.cells.clone()),
            commit_interval: Duration::from_millis(settings.store.commit_ms),
            lease: LeaseView::default(),
            owned: BTreeMap::new(),
            forwarder: Forwarder::new(settings, shared.clone()),
            shared,
            store,
            keeper_settings: lease_keeper::LeaseKeeperSettings::new(settings),
            client: JsonClient::default(),
            worker_call_permits: Arc::new(Semaphore::new(MAX_CONCURRENT_WORKER_CALLS)),
            events,
            event_receiver: Some(event_receiver),
            keeper,
            keeper_receiver: Some(keeper_receiver),
        }
    }

    /// Runs until `stop` is cancelled, then releases the cells.
    pub async fn run(mut self, mut calls: mpsc::Receiver<CellCall>, stop: CancellationToken) {
        let (Some(mut event_receiver), Some(keeper_receiver)) =
            (self.event_receiver.take(), self.keeper_receiver.take())
        else {
            return;
        };
        let keeper =
            LeaseKeeper::new(&self.keeper_settings, self.store.clone(), self.shared.clone());
        let keeper = tokio::spawn(keeper.run(self.events.clone(), keeper_receiver));
        let mut ticks = tokio::time::interval(self.commit_interval);
        ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                _ = ticks.tick() => self.tick(),
                Some(event) = event_receiver.recv() => self.handle(event),
                Some(call) = calls.recv() => self.handle_call(call),
            }
        }
        drop(event_receiver);
        for name in self.owned.keys().cloned().collect::<Vec<_>>() {
            self.drop_cell(&name, "stopping");
        }
        let _ = self.keeper.send(LeaseKeeperCall::Release).await;
        if tokio::time::timeout(RELEASE_TIMEOUT, keeper).await.is_err() {
            log::warn!(event = "release_failed"; "timed out waiting for the release of the cells");
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Lease { lease_id, until } => self.lease_renewed(lease_id, until),
            Event::Takeover(takeover) => {
                let name = takeover.name.clone();
                self.contain(&name, |manager| manager.takeover_finished(*takeover));
            }
            Event::WriteResult(result) => {
                let name = result.cell.clone();
                self.contain(&name, |manager| manager.write_finished(*result));
            }
            Event::RoundPermit(permit) => {
                let name = permit.cell.clone();
                self.contain(&name, |manager| manager.begin_worker_calls(permit));
            }
            Event::Worker(result) => {
                let name = result.cell.clone();
                self.contain(&name, |manager| manager.worker_calls_finished(*result));
            }
        }
    }

    /// Runs an operation on one cell. If it panics, as the assertions of an incorrect ledger do, the
    /// cell is released and the other cells are not affected.
    fn contain(&mut self, name: &str, operation: impl FnOnce(&mut Self)) {
        if catch_unwind(AssertUnwindSafe(|| operation(self))).is_ok() {
            return;
        }
        log::error!(event = "cell_failed", cell = name; "an assertion failed");
        if let Some(owned) = self.owned.remove(name) {
            owned.fail_waiters();
        }
        self.shared.cells().remove(name);
        self.release_claim(name, true);
    }

    /// A different lease id means that the claims made under the previous lease are lost.
    fn lease_renewed(&mut self, lease_id: u64, until: Instant) {
        if self.lease.lease_id != lease_id && self.lease.lease_id != 0 {
            for name in self.owned.keys().cloned().collect::<Vec<_>>() {
                self.drop_cell(&name, "lease lost");
            }
        }
        self.lease = LeaseView { lease_id, until: Some(until) };
        self.owned.values_mut().for_each(|owned| owned.confirmed = Instant::now());
    }

    fn takeover_finished(&mut self, takeover: Takeover) {
        let Some(settings) = self.settings.get(&takeover.name) else { return };
        if takeover.lease_id != self.lease.lease_id {
            log::info!(event = "takeover_late", cell = takeover.name.as_str(); "");
            return;
        }
        let owned = OwnedCell::new(takeover.log, takeover.replay, settings);
        log::info!(
            event = "cell_taken", cell = takeover.name.as_str(), epoch = owned.epoch,
            jobs = owned.cell.jobs().count(), live = owned.cell.placed().count(); ""
        );
        self.owned.insert(takeover.name, owned);
    }

    /// Starts the commits and the worker calls that are due in each owned cell.
    fn tick(&mut self) {
        let valid = self.lease.is_valid();
        let config = BatchConfig::new(&self.shared.config().doc, commit::MAX_PLACEMENTS_PER_COMMIT);
        for name in self.owned.keys().cloned().collect::<Vec<_>>() {
            self.contain(&name, |manager| manager.tick_cell(&name, valid, &config));
        }
        self.shared.owners().own = self.owned.keys().cloned().collect();
    }

    fn tick_cell(&mut self, name: &str, valid: bool, config: &BatchConfig) {
        let has_config = self.shared.config().version > 0;
        let Some(settings) = self.settings.get(name) else { return };
        let Some(owned) = self.owned.get_mut(name) else { return };
        let unconfirmed = owned.confirmed.elapsed();
        if unconfirmed > Duration::from_millis(settings.outage_renew_ms) {
            return self.drop_cell(name, "ownership not confirmed within outage_renew_ms");
        }
        owned.expire_waiters();
        owned.end_expired_attempts(settings);
        // Without a configuration, no quota and no closed zone is known.
        let may_plan = valid && has_config;
        commit::start_write(name, owned, settings, may_plan, config, &self.events);
        let calls = workers::CallContext {
            cell: name,
            settings,
            client: &self.client,
            permits: &self.worker_call_permits,
            events: &self.events,
            may_start: valid,
        };
        workers::call_due(owned, &calls);
        if owned.status_due() {
            self.shared.cells().insert(name.to_owned(), report::cell_status(name, owned));
        }
    }

    fn write_finished(&mut self, result: WriteResult) {
        let name = result.cell.clone();
        let Some(owned) = self.owned.get_mut(&name) else { return };
        if owned.epoch != result.epoch {
            return;
        }
        if let Err(error) = commit::finish_write(&name, owned, result) {
            log::warn!(event = "commit_failed", cell = name.as_str(); "{error}");
            if error.kind == ErrorKind::Conflict {
                self.drop_cell(&name, "another owner has taken the cell over");
            }
        }
    }

    fn begin_worker_calls(&mut self, permit: RoundPermit) {
        let name = permit.cell.clone();
        let Some(settings) = self.settings.get(&name) else { return };
        let Some(owned) = self.owned.get_mut(&name) else { return };
        if owned.epoch != permit.epoch {
            return;
        }
        let calls = workers::CallContext {
            cell: &name,
            settings,
            client: &self.client,
            permits: &self.worker_call_permits,
            events: &self.events,
            may_start: self.lease.is_valid(),
        };
        workers::begin_round(owned, &calls, permit);
    }

    fn worker_calls_finished(&mut self, result: WorkerCallResult) {
        let name = result.cell.clone();
        let Some(owned) = self.owned.get_mut(&name) else { return };
        if owned.epoch != result.epoch {
            return;
        }
        if let Err(error) = workers::handle_result(&name, owned, result)
            && error.kind == ErrorKind::Conflict
        {
            self.drop_cell(&name, "a worker has received calls from a later owner");
        }
    }

    /// Stops acting on a cell immediately. Callers that wait for a commit are answered with the
    /// outcome as far as it is known.
    fn drop_cell(&mut self, name: &str, why: &str) {
        let Some(owned) = self.owned.remove(name) else { return };
        log::warn!(event = "cell_lost", cell = name, epoch = owned.epoch; "{why}");
        owned.fail_waiters();
        self.shared.cells().remove(name);
        self.release_claim(name, false);
    }

    fn release_claim(&self, name: &str, has_failed: bool) {
        let (name, lease_id) = (name.to_owned(), self.lease.lease_id);
        let _ = self.keeper.try_send(LeaseKeeperCall::GiveUp { name, lease_id, has_failed });
    }
}

/// Answers a peer's call about jobs from the cells that this instance owns.
pub async fn answer_peer(cells: &mpsc::Sender<CellCall>, call: &PeerJobCall) -> PeerJobAnswer {
    let answer = match serde_json::from_str(&call.json) {
        Ok(call) => ask(cells, call).await,
        Err(error) => Err(Error::new(ErrorKind::Protocol, error.to_string())),
    };
    let answer = answer.unwrap_or_else(|error| JobAnswer::Refused((&error).into()));
    PeerJobAnswer { json: serde_json::to_string(&answer).unwrap_or_default() }
}

async fn ask(cells: &mpsc::Sender<CellCall>, call: JobCall) -> Result<JobAnswer, Error> {
    let ring_full =
        || Error::new(ErrorKind::RingFull, "the ring to the cell manager is full").retry_after(200);
    let stopped =
        || Error::new(ErrorKind::Stopping, "the cell manager has stopped").retry_after(500);
    let (reply, answer) = oneshot::channel();
    cells.try_send(CellCall::Peer(call, reply)).map_err(|_| ring_full())?;
    answer.await.map_err(|_| stopped())?
}

/// Milliseconds since the Unix epoch. Only for reports and job deadlines.
pub fn now_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap_or_default().as_millis() as u64
}
