//! The planner's main loop: it holds the ledger, handles events, commits records and sends orders.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use agatesill_coord::lease::Owner;
use agatesill_platform::advice::AdviceReply;
use agatesill_policy::fleet::{
    AdviceQuestion, ClosedZone, Fleet, FleetUsage, IdleJob, JobPhase, JobSpec, JobWrite,
    LEASE_HORIZON_MS, LongestTransition, LongestWait, MissingTask, ORPHAN_MS, Order, OrderOutcome,
    Poll, QueueTerms, SlowWorker, StartStage, StartWaits, Tenure, US_PER_MS, UnansweringWorker,
    Urgency, Worker, WorkerEntry, WorkerIndex, WorkerStanding,
};
use tokio::sync::{OwnedSemaphorePermit, mpsc, oneshot};
use tokio::task::JoinError;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::clock::wall_ms;
use super::commits::{self, Committed};
use super::daemon_state::{DaemonState, PlannerStats};
use super::lease_records::{self, LastLeases, LeaseRecords, LeaseWrite};
use super::planner_time::{Duty, DutyClock};
use super::predecessors::{self, Predecessors};
use super::supervision::{cancel_at_end, spawn_supervised};
use super::worker_connections::WorkerConnections;
use super::{advice_client, recovery, store_watchers};

/// Capacity of the queue of answers from workers. A full queue blocks the worker connections, which
/// then poll less often.
const ANSWER_QUEUE_CAPACITY: usize = 8_192;

/// Capacity of the queue of events from callers, operators, the registry and commits.
const EVENT_QUEUE_CAPACITY: usize = 4_096;

/// Maximum time for which one turn handles answers before other tasks of the daemon run.
///
/// Without a limit, a planner that lacks processor time would starve the daemon's lease renewals
/// and peer connections. Its lease would expire, and the daemon that takes over would be no faster.
const MAX_ANSWER_HANDLING_US: u64 = 5_000;

/// Delay after a planning round, as a multiple of the duration of the round. This leaves most of
/// the processor time to calls and lease renewals, however slow the machine is.
const ROUND_DELAY_FACTOR: u64 = 3;

/// Number of connections to idle workers that are opened at once, every [`ROUND_INTERVAL`].
///
/// If a takeover opened thousands of connections at once, answers of workers that run tasks would
/// queue behind the handshakes of idle workers, and the leases of the former would expire.
const CONNECTIONS_PER_ROUND: usize = 64;

/// Number of connections to idle workers that are opened at once while answers have waited longer
/// than [`LAG_THRESHOLD_US`].
const CONNECTIONS_PER_ROUND_IN_LAG: usize = 8;

/// Age of waiting answers from which connections are opened more slowly.
const LAG_THRESHOLD_US: u64 = 100_000;

/// Age of waiting answers from which the planner counts as behind.
const BEHIND_THRESHOLD_US: u64 = 500_000;

/// Interval between checks of leases and due times, and maximum time between turns without an
/// event.
const ROUND_INTERVAL: Duration = Duration::from_millis(50);

/// Maximum number of concurrent transactions: enough for a slow store, and few enough that records
/// are still batched.
const MAX_CONCURRENT_COMMITS: usize = 4;

/// How long an ended job is kept. Callers query states for two minutes after the end.
const ENDED_JOB_RETENTION_US: u64 = 130_000_000;

/// Interval between writes of the learned interference. A successor lacks at most the updates of
/// one interval.
const SAVE_LEARNED_INTERVAL_US: u64 = 5_000_000;

/// Minimum interval between writes of the workers' addresses.
const SAVE_ADDRESSES_INTERVAL_US: u64 = 1_000_000;

/// Interval between views of the load. With the interval between the calls of the other daemons, a view
/// is little more than half a second old.
const LOAD_VIEW_INTERVAL_US: u64 = 250_000;

/// Interval between log lines on the utilisation of the workers.
const USAGE_LOG_INTERVAL_US: u64 = 1_000_000;

/// Maximum number of long-running tasks without a run that are logged once a second.
const MAX_MISSING_TASKS_LOGGED: usize = 16;

/// Maximum number of jobs without a run that are logged once a second.
const MAX_IDLE_JOBS_LOGGED: usize = 8;

/// Maximum number of slow workers logged in one second.
const MAX_SLOW_WORKERS_LOGGED: usize = 4;

/// Maximum number of workers that do not answer and may have runs that are logged once a second.
const MAX_UNANSWERING_LOGGED: usize = 8;

/// Timeout of the last commits at a planned stop.
const LAST_COMMITS_TIMEOUT: Duration = Duration::from_millis(300);

/// Input of the planner.
#[derive(Debug)]
pub enum Event {
    /// A job was stored.
    Accepted(Box<JobSpec>),
    /// A cancel was stored.
    Cancelled(String),
    /// The registry lists a worker.
    WorkerListed(Box<WorkerEntry>),
    /// The registry no longer lists a worker.
    WorkerUnlisted(String),
    /// All workers in the registry. Workers that are missing here are no longer listed.
    RegistryRead(Vec<WorkerEntry>),
    /// Time up to which all changes of the registry have been received.
    RegistryAsOf(u64),
    /// A zone takes no new work.
    ZoneClosed(ClosedZone),
    /// A zone takes work again, as of a revision of the store.
    ZoneOpened(String, u64),
    /// All zones that take no new work, as of a revision of the store.
    ClosedZonesRead(Vec<ClosedZone>, u64),
    /// A worker answered a poll.
    Polled(WorkerIndex, Box<Poll>),
    /// A poll failed. The time is when the poll was sent, if it requested a lease.
    Silent(WorkerIndex, Option<u64>),
    /// The address of a worker refused the connection for a poll. The time is as for `Silent`.
    ConnectionRefused(WorkerIndex, Option<u64>),
    /// Another incarnation of a worker answered a poll that was sent at this time.
    OtherIncarnation(WorkerIndex, u64),
    /// A worker has seen a higher epoch.
    Fenced(WorkerIndex),
    /// Outcome of an order. The time is when the order was sent, if it requested a lease.
    Answered(Box<Order>, OrderOutcome, Option<u64>),
    /// Reply of the advice service; `None` if it did not answer.
    Advised(Box<AdviceQuestion>, Option<AdviceReply>),
    /// Outcome of a commit.
    Committed(Committed),
    /// No earlier planner requests leases any more.
    PredecessorsStopped,
    /// Outcome of a write of the record of leases.
    LeasesWritten(LeaseWrite),
    /// The addresses of the workers could not be stored.
    AddressesUnsaved,
    /// The configuration has changed.
    QueuesChanged(HashMap<String, QueueTerms>),
    /// Query for a job's state.
    StateOf(String, oneshot::Sender<Option<(JobPhase, bool)>>),
    /// Query for the number of jobs of a queue that have not started.
    Pending(String, oneshot::Sender<u64>),
}

/// An event from the connections to a worker.
#[derive(Debug)]
pub struct Answer {
    /// When the event was reported.
    pub reported_us: u64,
    /// The event.
    pub event: Event,
    /// Lets the worker be polled again at once when the answer is dropped after its handling.
    pub poll_permit: Option<OwnedSemaphorePermit>,
}

/// Handle to the planner of this daemon.
#[derive(Clone, Debug)]
pub struct PlannerHandle {
    events: mpsc::Sender<Event>,
}

impl PlannerHandle {
    /// Queues an event for the planner. If the queue is full the event is dropped and logged: its
    /// content is also in the store, which the planner watches.
    fn enqueue(&self, event: Event) {
        if let Err(error) = self.events.try_send(event) {
            log::warn!(event = "planner_ring_full"; "{error}");
        }
    }

    /// Reports a job that has just been stored.
    pub fn accept(&self, spec: JobSpec) {
        self.enqueue(Event::Accepted(Box::new(spec)));
    }

    /// Reports a cancel that has just been stored.
    pub fn cancel(&self, id: &str) {
        self.enqueue(Event::Cancelled(id.to_owned()));
    }

    /// Reports a new configuration.
    pub fn set_queues(&self, queues: HashMap<String, QueueTerms>) {
        self.enqueue(Event::QueuesChanged(queues));
    }

    /// A job's stored phase and whether it has started; `None` if the planner does not know the
    /// job.
    pub async fn state_of(&self, id: &str) -> Option<(JobPhase, bool)> {
        let (reply, answer) = oneshot::channel();
        self.enqueue(Event::StateOf(id.to_owned(), reply));
        answer.await.ok().flatten()
    }

    /// Number of jobs of a queue that have not started.
    pub async fn pending(&self, queue: &str) -> Option<u64> {
        let (reply, answer) = oneshot::channel();
        self.enqueue(Event::Pending(queue.to_owned(), reply));
        answer.await.ok()
    }
}

/// Plans under `epoch` until `lost` is cancelled. The planner itself cancels `lost` when it
/// observes a higher epoch. Returns the record for its successor, unless the ledger could not be read. Fails
/// if the planner panics; all that it spawned has ended then, too.
pub async fn run(
    daemon: Arc<DaemonState>,
    epoch: u64,
    lost: CancellationToken,
) -> Result<Option<LastLeases>, JoinError> {
    let (answers, answered) = mpsc::channel(ANSWER_QUEUE_CAPACITY);
    let (events, queued_events) = mpsc::channel(EVENT_QUEUE_CAPACITY);
    let Some(start) = recovery::recover(&daemon, epoch, &lost).await else { return Ok(None) };
    let tasks = TaskTracker::new();
    // All tasks that this planner spawns end with it, and it ends with any of its watchers: without
    // them it would plan on a state that does not change any more.
    let stop = lost.child_token();
    let connections =
        WorkerConnections::new(daemon.clone(), epoch, answers, stop.clone(), tasks.clone());
    let (questions, asked) = mpsc::channel(advice_client::QUESTION_QUEUE_CAPACITY);
    tasks.spawn(advice_client::run(daemon.clone(), asked, events.clone(), stop.clone()));
    let mut planner = Planner {
        questions,
        daemon: daemon.clone(),
        epoch,
        fleet: start.fleet,
        events: events.clone(),
        connections,
        tasks: tasks.clone(),
        commits_under_way: 0,
        lost: lost.clone(),
        last_cleanup_us: daemon.clock.now_us(),
        last_learned_save_us: daemon.clock.now_us(),
        last_addresses_save_us: 0,
        has_new_workers: false,
        lease_records: LeaseRecords::start(start.leases_version, daemon.clock.now_us()),
        renewing: start.predecessors.renewing.clone(),
        workers_to_connect: BTreeSet::new(),
        planning_since_us: daemon.clock.now_us(),
        last_load_view_us: 0,
        last_usage_log_us: 0,
        last_check_us: daemon.clock.now_us(),
        next_round_us: 0,
        rounds: RoundStats::default(),
        answers_as_of_us: daemon.clock.now_us(),
        turn_starts_us: [daemon.clock.now_us(); 2],
        duties: DutyClock::start(daemon.clock.now_us()),
    };
    planner.registry_read(start.workers);
    planner.connect_unlisted_workers();
    daemon.registry_as_of_us.store(start.registry_read_us, Ordering::Release);
    tasks.spawn(cancel_at_end(
        store_watchers::registry(
            daemon.clone(),
            events.clone(),
            start.registry_revision,
            stop.clone(),
        ),
        &lost,
    ));
    tasks.spawn(cancel_at_end(
        store_watchers::closed_zones(
            daemon.clone(),
            events.clone(),
            start.zones_revision,
            stop.clone(),
        ),
        &lost,
    ));
    tasks.spawn(cancel_at_end(
        store_watchers::inbox(daemon.clone(), events.clone(), start.inbox_revision, stop.clone()),
        &lost,
    ));
    if start.predecessors.orphan_ms() > 0 {
        let work = wait_for_predecessors(daemon.clone(), start.predecessors, events.clone());
        let stop = stop.clone();
        tasks.spawn(async move {
            stop.run_until_cancelled(work).await;
        });
    }
    daemon.set_planner(Some(PlannerHandle { events }));
    let (lost_tasks, lost_workers) = planner.fleet.tasks_on_unlisted_workers();
    log::info!(event = "planner_started", epoch = epoch,
        lines_to_open = planner.workers_to_connect.len(),
        tasks_on_unlisted_workers = lost_tasks, unlisted_workers = lost_workers; "");
    let ended = lost.clone();
    let serving = async move {
        planner.serve(queued_events, answered, &ended).await;
        planner
    };
    let outcome = spawn_supervised(serving, &lost).await;
    daemon.set_planner(None);
    daemon.load.withdraw();
    stop.cancel();
    tasks.close();
    tasks.wait().await;
    daemon.lease_horizon_us.store(0, Ordering::Release);
    outcome.map(|planner| Some(planner.last_leases()))
}

/// Tells the planner when no earlier one can still renew leases. Planners that are not registered can't be
/// queried.
async fn wait_for_predecessors(
    daemon: Arc<DaemonState>,
    predecessors: Predecessors,
    events: mpsc::Sender<Event>,
) {
    if predecessors.is_incomplete {
        tokio::time::sleep(Duration::from_millis(ORPHAN_MS)).await;
    } else {
        predecessors::wait_until_stopped(&daemon, predecessors.renewing).await;
    }
    if events.send(Event::PredecessorsStopped).await.is_err() {
        log::debug!(event = "predecessors_unheard"; "the planner has ended");
    }
}

struct Planner {
    daemon: Arc<DaemonState>,
    epoch: u64,
    fleet: Fleet,
    events: mpsc::Sender<Event>,
    connections: WorkerConnections,
    questions: mpsc::Sender<AdviceQuestion>,
    tasks: TaskTracker,
    commits_under_way: usize,
    lost: CancellationToken,
    last_cleanup_us: u64,
    last_learned_save_us: u64,
    last_addresses_save_us: u64,
    /// Whether workers have been listed whose addresses are not stored.
    has_new_workers: bool,
    lease_records: LeaseRecords,
    /// Earlier planners that may still renew leases.
    renewing: Vec<Owner>,
    /// Idle workers whose connections are to be opened.
    workers_to_connect: BTreeSet<WorkerIndex>,
    /// When this daemon began to plan.
    planning_since_us: u64,
    last_load_view_us: u64,
    last_usage_log_us: u64,
    /// When leases, due times and connections to open were last checked.
    last_check_us: u64,
    /// Earliest time of the next planning round.
    next_round_us: u64,
    rounds: RoundStats,
    /// All answers that workers sent before this time have been handled.
    answers_as_of_us: u64,
    /// Start times of the current turn and the previous one.
    turn_starts_us: [u64; 2],
    duties: DutyClock,
}

impl Planner {
    async fn serve(
        &mut self,
        mut events: mpsc::Receiver<Event>,
        mut answers: mpsc::Receiver<Answer>,
        lost: &CancellationToken,
    ) {
        let mut rounds = tokio::time::interval(ROUND_INTERVAL);
        rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let daemon = self.daemon.clone();
        let gate = self.connections.gate().clone();
        loop {
            let (mut first_event, mut first_answer) = (None, None);
            tokio::select! {
                biased;
                () = lost.cancelled() => break,
                event = events.recv() => match event {
                    Some(event) => first_event = Some(event),
                    None => break,
                },
                () = gate.wait_for_calls() => {}
                _ = rounds.tick() => {}
                answer = answers.recv() => match answer {
                    Some(answer) => first_answer = Some(answer),
                    None => break,
                },
            }
            let mut turn = Turn::begin(&daemon);
            self.duties.begin_turn(turn.started_us);
            self.turn_starts_us = [turn.started_us, self.turn_starts_us[0]];
            first_event.into_iter().for_each(|event| self.handle(event));
            self.handle_queued(&mut events, first_answer, &mut answers);
            self.check_times();
            turn.mark_handled();
            self.plan_and_send();
            turn.mark_planned();
            self.log_status();
            self.begin_duty(Duty::Calls);
            tokio::task::yield_now().await;
            let ended_us = daemon.clock.now_us();
            self.duties.end_turn(ended_us);
            gate.begin_turn(ended_us - turn.planned_us);
            turn.end(ended_us, self.fleet.waiting_groups());
        }
        self.finish_commits(&mut events).await;
    }

    /// Handles all queued events, and then answers for a limited time.
    ///
    /// If answers came first, events would wait behind thousands of them: a leaving worker would
    /// still get starts, and a cancelled job would continue to run.
    fn handle_queued(
        &mut self,
        events: &mut mpsc::Receiver<Event>,
        first_answer: Option<Answer>,
        answers: &mut mpsc::Receiver<Answer>,
    ) {
        while let Ok(event) = events.try_recv() {
            self.handle(event);
        }
        let started_us = self.daemon.clock.now_us();
        let mut next = first_answer;
        loop {
            let Some(answer) = next.or_else(|| answers.try_recv().ok()) else {
                self.answers_as_of_us = self.daemon.clock.now_us();
                return;
            };
            let is_outcome = matches!(answer.event, Event::Answered(..));
            let now_us = self.begin_duty(if is_outcome { Duty::Outcomes } else { Duty::Polls });
            if now_us - started_us >= MAX_ANSWER_HANDLING_US {
                self.handle_answer(answer);
                return;
            }
            self.handle_answer(answer);
            next = None;
        }
    }

    /// Counts the time from now on for a duty. Returns the present time.
    fn begin_duty(&mut self, duty: Duty) -> u64 {
        let now_us = self.daemon.clock.now_us();
        self.duties.begin(duty, now_us);
        now_us
    }

    fn handle_answer(&mut self, answer: Answer) {
        self.answers_as_of_us = self.answers_as_of_us.max(answer.reported_us);
        match answer.event {
            Event::Answered(order, outcome, requested_us) => {
                self.order_answered(&order, outcome, requested_us, answer.reported_us);
            }
            event => self.handle(event),
        }
    }

    fn order_answered(
        &mut self,
        order: &Order,
        outcome: OrderOutcome,
        requested_us: Option<u64>,
        answered_us: u64,
    ) {
        if let Some(requested_us) = requested_us {
            self.fleet.lease_requested(order.worker, requested_us);
        }
        let now_us = self.daemon.clock.now_us();
        self.fleet.order_answered_at(order, outcome, answered_us, now_us);
        self.update_may_renew(order.worker);
        if outcome == OrderOutcome::Fenced {
            self.lost.cancel();
        }
    }

    /// Waits briefly for the commits under way, so that a successor reads their records.
    async fn finish_commits(&mut self, events: &mut mpsc::Receiver<Event>) {
        let until = tokio::time::Instant::now() + LAST_COMMITS_TIMEOUT;
        while self.commits_under_way > 0 {
            match tokio::time::timeout_at(until, events.recv()).await {
                Ok(Some(event)) => self.handle(event),
                _ => return,
            }
        }
    }

    fn handle(&mut self, event: Event) {
        let now_us = self.daemon.clock.now_us();
        match event {
            Event::Accepted(spec) => self.fleet.accept(*spec, now_us),
            Event::Cancelled(id) => self.fleet.cancel(&id, now_us),
            Event::WorkerListed(entry) => self.worker_listed(*entry),
            Event::WorkerUnlisted(id) => self.fleet.worker_unlisted(&id),
            Event::RegistryRead(entries) => self.registry_read(entries),
            Event::RegistryAsOf(us) => self.daemon.registry_as_of_us.store(us, Ordering::Release),
            Event::ZoneClosed(closed) => self.close_zones(&[closed]),
            Event::ZoneOpened(zone, revision) => {
                self.fleet.open_zone(&zone, revision);
                self.update_takes_starts();
            }
            Event::ClosedZonesRead(closed, revision) => {
                self.fleet.set_closed_zones(&closed, revision, now_us);
                self.update_takes_starts();
            }
            Event::Polled(worker, poll) => {
                self.fleet.polled(worker, &poll, now_us);
                self.update_may_renew(worker);
                self.connections.set_tasks(worker, self.fleet.worker(worker));
            }
            Event::Silent(worker, requested_us) => {
                if let Some(requested_us) = requested_us {
                    self.fleet.lease_requested(worker, requested_us);
                }
                self.fleet.worker_silent(worker, now_us);
            }
            Event::ConnectionRefused(worker, requested_us) => {
                if let Some(requested_us) = requested_us {
                    self.fleet.lease_requested(worker, requested_us);
                }
                self.fleet.connection_refused(worker, now_us);
            }
            Event::PredecessorsStopped => {
                log::info!(event = "predecessors_stopped", epoch = self.epoch; "");
                self.renewing.clear();
                self.fleet.predecessors_stopped(now_us);
            }
            Event::OtherIncarnation(worker, sent_us) => {
                let why = "another incarnation answers";
                self.fleet.worker_superseded(worker, why, sent_us, now_us);
            }
            Event::Fenced(worker) => {
                log::warn!(event = "fenced", epoch = self.epoch,
                    worker = self.fleet.worker(worker).entry.id.as_str();
                    "another daemon owns the planner's range");
                self.lost.cancel();
            }
            Event::Answered(order, outcome, requested_us) => {
                self.order_answered(&order, outcome, requested_us, now_us);
            }
            Event::Advised(question, reply) => {
                let good = reply.as_ref().map(|reply| reply.good.as_slice());
                let valid_ms = reply.as_ref().map_or(0, |reply| reply.valid_ms);
                self.fleet.advice_answered(&question, good, valid_ms, now_us);
            }
            Event::Committed(committed) => self.committed(committed),
            Event::LeasesWritten(write) => self.leases_written(&write, now_us),
            Event::AddressesUnsaved => self.has_new_workers = true,
            Event::QueuesChanged(queues) => self.fleet.set_queues(queues),
            Event::StateOf(id, reply) => drop(reply.send(self.fleet.state_of(&id))),
            Event::Pending(queue, reply) => drop(reply.send(self.fleet.pending(&queue) as u64)),
        }
    }

    fn worker_listed(&mut self, entry: WorkerEntry) {
        let index = self.fleet.worker_listed(entry, self.daemon.clock.now_us());
        self.connect_listed(index);
    }

    /// Opens the connections to a listed worker: at once if it may run tasks, or if its answer decides
    /// which incarnation at its address is alive.
    fn connect_listed(&mut self, index: WorkerIndex) {
        let is_new = self.fleet.worker(index).answered_us == 0;
        self.has_new_workers |= is_new && !self.connections.is_open(index);
        if self.connections.is_open(index) {
            self.connections.set_takes_starts(index, self.fleet.worker(index).takes_starts());
            return;
        }
        let worker = self.fleet.worker(index);
        if worker.tasks.is_empty() && !worker.has_rivals() {
            self.workers_to_connect.insert(index);
        } else {
            self.open_connections_to(index);
        }
    }

    fn open_connections_to(&mut self, index: WorkerIndex) {
        let worker = self.fleet.worker(index);
        self.connections.open(index, worker, self.fleet.is_withheld(&worker.entry.id));
    }

    /// Updates on the connections to a worker whether it may get leases.
    fn update_may_renew(&self, worker: WorkerIndex) {
        let has_unbarred_runs = self.fleet.worker(worker).has_unbarred_runs();
        self.connections.set_may_renew(worker, !has_unbarred_runs);
    }

    fn close_zones(&mut self, closed: &[ClosedZone]) {
        if closed.is_empty() {
            return;
        }
        let now_us = self.daemon.clock.now_us();
        closed.iter().for_each(|zone| self.fleet.close_zone(zone, now_us));
        self.update_takes_starts();
    }

    /// Updates on all connections whether their workers take starts.
    fn update_takes_starts(&self) {
        for (index, worker) in self.fleet.live_workers() {
            self.connections.set_takes_starts(index, worker.takes_starts());
        }
    }

    /// Opens the connections to workers that only job records name, at the addresses that the
    /// previous planner knew. Their answers show whether they have terminated.
    fn connect_unlisted_workers(&mut self) {
        for index in self.fleet.unlisted_workers_with_tasks() {
            self.open_connections_to(index);
        }
    }

    /// Stores the addresses of the workers for a successor if they have changed.
    fn save_worker_addresses(&mut self, now_us: u64) {
        if now_us - self.last_addresses_save_us < SAVE_ADDRESSES_INTERVAL_US
            || !std::mem::take(&mut self.has_new_workers)
        {
            return;
        }
        self.last_addresses_save_us = now_us;
        let addresses = self.fleet.worker_addresses();
        let (daemon, epoch, events) = (self.daemon.clone(), self.epoch, self.events.clone());
        self.tasks.spawn(async move {
            if !commits::save_worker_addresses(&daemon, epoch, &addresses).await
                && events.send(Event::AddressesUnsaved).await.is_err()
            {
                log::debug!(event = "addresses_unsaved"; "the planner has ended");
            }
        });
    }

    /// Withholds leases from workers that do not answer, and stores the record of leases when it is due.
    fn update_leases(&mut self, now_us: u64) {
        let is_first_wait_over = self.lease_records.is_first_wait_over(now_us);
        let may_begin = is_first_wait_over || !self.fleet.awaits_first_answers();
        if !self.lease_records.allows_leases() && !may_begin {
            return;
        }
        if !self.daemon.store.is_unavailable() {
            self.withhold_leases(is_first_wait_over);
        }
        let record = self.fleet.lease_record(self.epoch, Tenure::Renewing, now_us);
        if !self.lease_records.is_due(&record, now_us) {
            return;
        }
        let version = self.lease_records.begin(now_us);
        let planners = self.planners(self.daemon.owner());
        let (daemon, epoch, events) = (self.daemon.clone(), self.epoch, self.events.clone());
        self.tasks.spawn(async move {
            let written = lease_records::store(&daemon, epoch, version, record, &planners).await;
            if events.send(Event::LeasesWritten(written)).await.is_err() {
                log::debug!(event = "lease_record_unheard"; "the planner has ended");
            }
        });
    }

    fn withhold_leases(&mut self, includes_uncalled: bool) {
        for index in self.fleet.workers_to_withhold(includes_uncalled) {
            let requested_us = self.connections.withhold(index);
            self.fleet.withhold(index, requested_us);
        }
    }

    /// Daemons that may renew leases: earlier planners and, if it does, this one.
    fn planners(&self, own: Option<Owner>) -> Vec<Owner> {
        own.into_iter().chain(self.renewing.iter().cloned()).collect()
    }

    fn leases_written(&mut self, write: &LeaseWrite, now_us: u64) {
        let allowed_leases = self.lease_records.allows_leases();
        self.lease_records.written(write, now_us);
        match write {
            LeaseWrite::Stored(stored) => {
                let horizon_us = stored.sent_us + LEASE_HORIZON_MS * US_PER_MS;
                self.daemon.lease_horizon_us.store(horizon_us, Ordering::Release);
                for worker in self.fleet.lease_record_stored(&stored.record) {
                    self.connections.resume(worker);
                }
                if !allowed_leases {
                    self.connections.resume_all();
                }
            }
            LeaseWrite::Failed => {}
            LeaseWrite::Superseded => {
                log::warn!(event = "superseded", epoch = self.epoch;
                    "another daemon owns the planner's range");
                self.lost.cancel();
            }
        }
    }

    /// The record of leases after all calls of this planner have ended.
    fn last_leases(mut self) -> LastLeases {
        let runs = self.fleet.workers_with_runs().into_iter();
        let mut requested: Vec<_> =
            runs.map(|index| (self.connections.withhold(index), index)).collect();
        // A worker that has been lost since its last poll has the oldest lease.
        requested.sort_unstable();
        requested.truncate(self.fleet.room_to_withhold());
        requested.into_iter().for_each(|(at_us, index)| self.fleet.withhold(index, at_us));
        let tenure = match self.lease_records.allows_leases() {
            true => Tenure::Stopped,
            false => Tenure::Starting,
        };
        let record = self.fleet.lease_record(self.epoch, tenure, self.daemon.clock.now_us());
        let planners = self.planners(None);
        LastLeases { version: self.lease_records.version(), record, planners }
    }

    /// Opens the connections to some of the idle workers that have none yet.
    fn open_connections(&mut self) {
        let is_lagging = self.behind_us() > LAG_THRESHOLD_US;
        let count = if is_lagging { CONNECTIONS_PER_ROUND_IN_LAG } else { CONNECTIONS_PER_ROUND };
        for _ in 0..count {
            let Some(index) = self.workers_to_connect.pop_first() else { return };
            self.open_connections_to(index);
        }
    }

    fn registry_read(&mut self, entries: Vec<WorkerEntry>) {
        let present: HashSet<&str> = entries.iter().map(|entry| entry.id.as_str()).collect();
        let listed = self.fleet.listed_workers().into_iter();
        let missing: Vec<String> = listed.filter(|id| !present.contains(id.as_str())).collect();
        missing.iter().for_each(|id| self.fleet.worker_unlisted(id));
        entries.into_iter().for_each(|entry| self.worker_listed(entry));
    }

    fn committed(&mut self, committed: Committed) {
        self.commits_under_way -= 1;
        let now_us = self.daemon.clock.now_us();
        match committed {
            Committed::Stored(writes, revision, closed) => {
                self.close_zones(&closed);
                writes.iter().for_each(|write| self.fleet.committed(write, revision, now_us));
            }
            Committed::Conflict(writes, closed) => {
                writes.iter().for_each(|write| self.fleet.conflicted(write, now_us));
                self.close_zones(&closed);
            }
            Committed::Rejected(writes) => {
                self.fleet.store_answered(now_us);
                writes.iter().for_each(|write| self.fleet.not_committed(write, now_us));
            }
            Committed::Failed(writes) => {
                // Renewals of the ownership lease show whether the store answers other calls.
                let renewed_us = self.daemon.confirmed_us.load(Ordering::Acquire);
                self.fleet.store_answered(renewed_us);
                writes.iter().for_each(|write| self.fleet.not_committed(write, now_us));
            }
            Committed::Superseded => {
                log::warn!(event = "superseded", epoch = self.epoch;
                    "another daemon owns the planner's range");
                self.lost.cancel();
            }
        }
    }

    /// Checks leases, due times and connections to open every [`ROUND_INTERVAL`], however many
    /// events there are.
    ///
    /// If the checks ran only while no events are queued, an unbroken stream of events would let
    /// terminated workers keep their tasks.
    fn check_times(&mut self) {
        let now_us = self.begin_duty(Duty::Checks);
        if now_us - self.last_check_us < ROUND_INTERVAL.as_micros() as u64 {
            return;
        }
        self.last_check_us = now_us;
        // All answers that arrived before the previous turn have been reported by now, because the
        // worker connections had two turns to report them.
        let as_of_us = self.answers_as_of_us.min(self.turn_starts_us[1]);
        self.fleet.expire_workers(as_of_us, now_us);
        let unbarred = self.fleet.live_workers().filter(|(_, worker)| worker.has_unbarred_runs());
        unbarred.for_each(|(index, _)| self.connections.set_may_renew(index, false));
        self.open_connections();
        self.fleet.open_due(wall_ms(), now_us);
        self.publish_stats();
        self.publish_load(now_us);
        self.save_worker_addresses(now_us);
        self.update_leases(now_us);
        if now_us - self.last_learned_save_us > SAVE_LEARNED_INTERVAL_US {
            self.last_learned_save_us = now_us;
            let learned = self.fleet.learned();
            self.tasks.spawn(commits::save_learned(self.daemon.clone(), self.epoch, learned));
        }
        if now_us - self.last_cleanup_us > ENDED_JOB_RETENTION_US / 10 {
            self.last_cleanup_us = now_us;
            let ended_jobs = self.fleet.forget_ended(now_us.saturating_sub(ENDED_JOB_RETENTION_US));
            if !ended_jobs.is_empty() {
                self.tasks.spawn(commits::forget(self.daemon.clone(), ended_jobs));
            }
        }
    }

    /// Logs the utilisation of the workers, waiting tasks and the planner's progress once a second,
    /// and retires ended jobs.
    fn log_status(&mut self) {
        let now_us = self.begin_duty(Duty::Status);
        if now_us - self.last_usage_log_us <= USAGE_LOG_INTERVAL_US {
            return;
        }
        self.last_usage_log_us = now_us;
        log_usage(&self.fleet.usage(now_us));
        self.daemon.load.log_published();
        self.fleet.longest_waits(now_us).iter().for_each(|wait| log_wait(wait, self.epoch));
        let transitions = self.fleet.longest_transitions(now_us);
        transitions.iter().for_each(|transition| log_transition(transition, self.epoch));
        let (missing, described) = self.fleet.missing_tasks(MAX_MISSING_TASKS_LOGGED, now_us);
        described.iter().for_each(|task| log_missing(task, missing, self.epoch));
        let (idle, described) = self.fleet.idle_jobs(MAX_IDLE_JOBS_LOGGED, now_us);
        described.iter().for_each(|job| log_idle(job, idle, self.epoch));
        let (described, _) = self.fleet.describe_unanswering(MAX_UNANSWERING_LOGGED, now_us);
        described.iter().for_each(|worker| log_unanswering(worker, self.epoch));
        let (slow, described) = self.fleet.slowest_workers(MAX_SLOW_WORKERS_LOGGED, now_us);
        described.iter().for_each(|worker| log_slow_worker(worker, slow, self.epoch));
        self.rounds.log_and_reset(self.epoch);
        self.duties.log_and_reset(self.epoch, now_us);
        log_start_waits(&self.fleet.take_start_waits(), self.epoch);
        let (records, oldest_record_ms) = self.fleet.records_waiting(now_us);
        let (calls_waiting, calls_per_turn) = self.connections.gate().load();
        log::info!(event = "planner_duties", epoch = self.epoch,
            starting = self.fleet.starting(), records_waiting = records,
            oldest_record_ms = oldest_record_ms,
            unchecked_ms = (now_us - self.last_check_us) / 1_000,
            behind_ms = self.behind_us() / 1_000, lines_to_open = self.workers_to_connect.len(),
            commits_under_way = self.commits_under_way, calls_waiting = calls_waiting,
            calls_per_turn = calls_per_turn,
            is_registry_current = self.daemon.is_registry_current(); "");
        self.log_if_behind();
        self.fleet.retire_ended();
    }

    /// Upper bound on the time that the oldest queued answer has waited.
    fn behind_us(&self) -> u64 {
        self.daemon.clock.now_us().saturating_sub(self.answers_as_of_us)
    }

    fn log_if_behind(&self) {
        let behind_us = self.behind_us();
        if behind_us > BEHIND_THRESHOLD_US {
            log::warn!(event = "planner_behind", behind_ms = behind_us / 1_000,
                waiting_steps = self.fleet.waiting_groups();
                "answers of workers are waiting to be handled");
        }
    }

    fn publish_stats(&self) {
        let now_us = self.daemon.clock.now_us();
        let is_unresponsive = |worker: &&Worker| worker.standing != WorkerStanding::Good;
        self.daemon.set_planner_stats(PlannerStats {
            counts: self.fleet.counts(),
            effort: self.fleet.effort(),
            behind_us: self.behind_us(),
            start_waits: self.fleet.start_waits(),
            duty_times: self.duties.total(),
            waiting_steps: self.fleet.waiting_groups() as u64,
            workers: self.fleet.live_workers().count() as u64,
            silent_workers: self
                .fleet
                .live_workers()
                .map(|(_, worker)| worker)
                .filter(is_unresponsive)
                .count() as u64,
            awaited_losses: self.fleet.describe_unanswering(0, now_us).1,
            longest_silence_ms: self.fleet.longest_silence_ms(now_us),
        });
    }

    /// Publishes the load of the services for the admission of jobs.
    fn publish_load(&mut self, now_us: u64) {
        if now_us - self.last_load_view_us < LOAD_VIEW_INTERVAL_US {
            return;
        }
        self.last_load_view_us = now_us;
        let services = self.fleet.service_loads(now_us);
        self.daemon.load.publish(self.epoch, self.planning_since_us, services, now_us);
    }

    fn plan(&mut self) {
        let started_us = self.daemon.clock.now_us();
        // No start would be accepted without a lease.
        let may_start = self.lease_records.allows_leases() && self.daemon.is_registry_current();
        if started_us < self.next_round_us || !may_start {
            return;
        }
        self.fleet.plan(started_us, wall_ms());
        let ended_us = self.daemon.clock.now_us();
        self.rounds.add(started_us, ended_us);
        self.next_round_us = ended_us + (ended_us - started_us) * ROUND_DELAY_FACTOR;
    }

    /// Plans, commits changed records and sends the orders that are ready.
    fn plan_and_send(&mut self) {
        if self.lost.is_cancelled() {
            return;
        }
        self.begin_duty(Duty::Planning);
        self.plan();
        let now_us = self.begin_duty(Duty::Records);
        while self.commits_under_way < MAX_CONCURRENT_COMMITS {
            let writes = self.fleet.take_writes(commits::MAX_RECORDS_PER_TXN, now_us);
            if writes.is_empty() {
                break;
            }
            self.commit(writes);
        }
        self.begin_duty(Duty::Orders);
        for worker in self.fleet.take_acked() {
            self.connections.set_acked(worker, self.fleet.acked_end(worker));
        }
        self.send_orders();
        for question in self.fleet.take_questions() {
            if let Err(error) = self.questions.try_send(question) {
                // A dropped question counts as unanswered and is sent again.
                log::warn!(event = "advice_ring_full"; "{error}");
            }
        }
        for worker in self.fleet.take_unverified() {
            self.connections.verify(worker);
        }
        for worker in self.fleet.take_succeeded() {
            self.connect_listed(worker);
        }
        for worker in self.fleet.take_terminated() {
            // The worker may have registered again in the meantime.
            if self.fleet.worker(worker).standing == WorkerStanding::Gone {
                self.connections.close(worker);
            }
        }
    }

    /// Queues the new orders, and sends those whose turn it is.
    fn send_orders(&mut self) {
        let gate = self.connections.gate();
        for order in self.fleet.take_orders() {
            gate.push_order(self.fleet.call_class(&order), order);
        }
        for order in gate.release(|order| self.fleet.may_send(order)) {
            self.connections.set_tasks(order.worker, self.fleet.worker(order.worker));
            self.connections.send(order);
        }
    }

    fn commit(&mut self, writes: Vec<JobWrite>) {
        self.commits_under_way += 1;
        let (daemon, epoch, events) = (self.daemon.clone(), self.epoch, self.events.clone());
        self.tasks.spawn(async move {
            let committed = commits::commit(&daemon, epoch, writes).await;
            if events.send(Event::Committed(committed)).await.is_err() {
                log::debug!(event = "commit_unheard"; "the planner has ended");
            }
        });
    }
}

/// Statistics on the planning rounds since they were last logged.
#[derive(Debug, Default)]
struct RoundStats {
    count: u64,
    longest_us: u64,
    longest_gap_us: u64,
    last_ended_us: u64,
}

impl RoundStats {
    fn add(&mut self, started_us: u64, ended_us: u64) {
        self.count += 1;
        self.longest_us = self.longest_us.max(ended_us - started_us);
        if self.last_ended_us > 0 {
            self.longest_gap_us = self.longest_gap_us.max(started_us - self.last_ended_us);
        }
        self.last_ended_us = ended_us;
    }

    fn log_and_reset(&mut self, epoch: u64) {
        log::info!(event = "planner_rounds", epoch = epoch, rounds = self.count,
            longest_ms = self.longest_us / 1_000, longest_gap_ms = self.longest_gap_us / 1_000; "");
        *self = Self { last_ended_us: self.last_ended_us, ..Self::default() };
    }
}

/// Timing of one turn, that is one iteration of the planner's loop: handling of events, planning,
/// and the daemon's other tasks that run in between.
struct Turn<'a> {
    daemon: &'a DaemonState,
    started_us: u64,
    handled_us: u64,
    planned_us: u64,
}

impl<'a> Turn<'a> {
    fn begin(daemon: &'a DaemonState) -> Self {
        let started_us = daemon.clock.now_us();
        Self { daemon, started_us, handled_us: started_us, planned_us: started_us }
    }

    fn mark_handled(&mut self) {
        self.handled_us = self.daemon.clock.now_us();
    }

    fn mark_planned(&mut self) {
        self.planned_us = self.daemon.clock.now_us();
    }

    /// Logs the time spent in each part if the turn took longer than [`BEHIND_THRESHOLD_US`].
    fn end(self, ended_us: u64, waiting_steps: usize) {
        let turn_us = ended_us - self.started_us;
        if turn_us > BEHIND_THRESHOLD_US {
            log::warn!(event = "planner_slow", turn_ms = turn_us / 1_000,
                take_ms = (self.handled_us - self.started_us) / 1_000,
                act_ms = (self.planned_us - self.handled_us) / 1_000,
                others_ms = (ended_us - self.planned_us) / 1_000,
                waiting_steps = waiting_steps; "the planner lacks processor time");
        }
    }
}

/// Logs what the starts of the last second waited for: half of them and 95 of 100, and the longest.
fn log_start_waits(waits: &StartWaits, epoch: u64) {
    for urgency in Urgency::ALL {
        let starts = waits.of(urgency, StartStage::Round).count();
        if starts == 0 {
            continue;
        }
        let [half, most] = [50, 95].map(|percent| {
            StartStage::ALL.map(|stage| waits.of(urgency, stage).percentile_ms(percent).to_string())
        });
        log::info!(event = "start_waits", epoch = epoch, urgency = urgency.name(), starts = starts,
            stages = StartStage::ALL.map(StartStage::name).join(",").as_str(),
            half_ms = half.join(",").as_str(), most_ms = most.join(",").as_str(); "");
    }
}

/// Logs the task that has been without a run for longest, with the reason.
fn log_wait(wait: &LongestWait, epoch: u64) {
    log::info!(event = "longest_wait", epoch = epoch, kind = wait.kind.name(),
        job = wait.job.as_str(), step = wait.step, task_index = wait.task, waited_ms = wait.waited_ms,
        failed_starts = wait.failed_starts, deferral = wait.deferral.name(),
        cpu_milli = wait.cpu_milli, memory_mb = wait.memory_mb, fitting_open = wait.fitting.open,
        fitting_closed = wait.fitting.closed, fitting_unavailable = wait.fitting.unavailable,
        most_free_milli = wait.most_free_milli,
        most_free_or_plain_milli = wait.most_free_or_plain_milli; "");
}

/// Logs the task that has been in a transition to or from a run for longest.
fn log_transition(transition: &LongestTransition, epoch: u64) {
    log::info!(event = "longest_transition", epoch = epoch, state = transition.state,
        tasks = transition.tasks, job = transition.job.as_str(), task_index = transition.task,
        for_ms = transition.for_ms, worker = transition.worker.as_str(),
        standing:? = transition.standing, is_listed = transition.is_listed; "");
}

/// Logs a long-running task that has been without a run for seconds; `missing` is the number of
/// such tasks.
fn log_missing(task: &MissingTask, missing: usize, epoch: u64) {
    let detail = wait_detail(task);
    log::info!(event = "task_missing", epoch = epoch, missing = missing, job = task.job.as_str(),
        task_index = task.task, run = task.run, state = task.state, missing_ms = task.missing_ms,
        in_state_ms = task.in_state_ms, failed_starts = task.failed_starts,
        record_age_ms:? = task.record_age_ms, is_committing = task.is_committing; "{detail}");
}

/// Logs a job of which nothing has run for seconds; `idle` is the number of such jobs.
fn log_idle(job: &IdleJob, idle: usize, epoch: u64) {
    let (open, task) = (&job.open, &job.task);
    let refusals = job.refusals.map(|refusals| refusals.to_string()).unwrap_or_default();
    let detail = wait_detail(task);
    log::info!(event = "job_idle", epoch = epoch, idle = idle, job = task.job.as_str(),
        idle_ms = job.idle_ms, waiting = open.waiting, chosen = open.chosen,
        ordered = open.ordered, stopping = open.stopping, task_index = task.task, run = task.run,
        state = task.state, in_state_ms = task.in_state_ms, failed_starts = task.failed_starts,
        is_queued = job.is_queued, record_age_ms:? = task.record_age_ms,
        is_committing = task.is_committing, workers = refusals.as_str(); "{detail}");
}

/// Logs what the loss of a worker that does not answer waits for, and since when.
fn log_unanswering(worker: &UnansweringWorker, epoch: u64) {
    log::info!(event = "loss_awaited", epoch = epoch, worker = worker.id.as_str(),
        tasks = worker.tasks, waits_for = worker.wait.name(), left_ms = worker.left_ms,
        since_ms = worker.since_ms, before_ms = worker.before_ms,
        planners_before = worker.planners_before, is_listed = worker.is_listed,
        refused_polls = worker.refused_polls; "");
}

fn log_slow_worker(worker: &SlowWorker, slow: usize, epoch: u64) {
    log::info!(event = "worker_speed", epoch = epoch, slow = slow, worker = worker.id.as_str(),
        speed_percent = worker.speed_percent, confidence_percent = worker.confidence_percent,
        lasting = worker.long_running; "");
}

/// Describes the worker of a task without a run or, if it has none, what it waits for.
fn wait_detail(task: &MissingTask) -> String {
    match (&task.worker, &task.wait) {
        (Some(worker), _) => format!(
            "worker {}, {:?}, listed {}, answered {} ms ago, order answered {}, unanswered {}",
            worker.id,
            worker.standing,
            worker.is_listed,
            worker.answer_age_ms,
            worker.is_order_answered,
            worker.unanswered_orders
        ),
        (None, Some(wait)) => format!(
            "{}, needs {} milli {} MB, fitting open {} closed {} unavailable {}, without starts {}",
            wait.deferral.name(),
            wait.cpu_milli,
            wait.memory_mb,
            wait.fitting.open,
            wait.fitting.closed,
            wait.fitting.unavailable,
            wait.fitting_without_starts
        ),
        (None, None) => String::new(),
    }
}

/// Logs the figures that distinguish a fleet whose capacity is fully reserved from one whose
/// capacity is fully used.
fn log_usage(fleet: &FleetUsage) {
    log::info!(event = "fleet_usage", workers = fleet.workers, capacity_milli = fleet.capacity_milli,
        lasting_milli = fleet.lasting_milli, plain_milli = fleet.plain_milli,
        filling_milli = fleet.filling_milli, free_memory_mb = fleet.free_memory_mb,
        mean_tail_percent = fleet.mean_tail_percent, pressed_workers = fleet.pressed_workers,
        lasting_waiting = fleet.lasting.tasks, lasting_waiting_milli = fleet.lasting.cpu_milli,
        lasting_longest_ms = fleet.lasting.longest_ms, filling_waiting = fleet.filling.tasks,
        filling_waiting_milli = fleet.filling.cpu_milli,
        filling_longest_ms = fleet.filling.longest_ms, plain_waiting = fleet.plain.tasks,
        plain_waiting_milli = fleet.plain.cpu_milli, plain_longest_ms = fleet.plain.longest_ms; "");
}
