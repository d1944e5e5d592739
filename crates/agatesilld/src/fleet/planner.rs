//! The duty that plans: it holds the ledger, takes in events, commits records and gives orders.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use agatesill_platform::advice::AdviceReply;
use agatesill_policy::fleet::{
    AdviceQuestion, ClosedZone, Fleet, FleetUsage, JobPhase, JobSpec, JobWrite, LongestTransition,
    LongestWait, ORPHAN_MS, Order, OrderOutcome, Poll, QueueTerms, Worker, WorkerEntry,
    WorkerIndex, WorkerStanding,
};
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::clock::wall_ms;
use super::commits::{self, Committed};
use super::daemon_state::{Planned, Site};
use super::worker_connections::WorkerLines;
use super::{advice_client, predecessors, recovery, store_watchers};

/// Answers of workers that may wait; a full ring holds up the lines, which ask for less then.
const RING_ANSWERS: usize = 8_192;

/// News that may wait: what callers, operators and the registry say, and what became of records.
const RING_NEWS: usize = 4_096;

/// How long answers are taken in before the daemon's other tasks get a turn.
///
/// Guards against a planner at the end of its processor time that starves its own renewals and links:
/// its lease ends, another daemon takes over and fares no better.
const TURN_US: u64 = 5_000;

/// After a round of planning the next waits for as many times as long as it took, so that planning
/// leaves most of the processor to calls and renewals, however slow the machine.
const REST: u64 = 3;

/// Idle workers whose lines are opened in one round.
///
/// Guards against a takeover that opens thousands of connections at once: the answers of the workers
/// that run something stand behind the handshakes of those that do not, and their leases end.
const LINES_A_ROUND: usize = 64;

/// The same while answers wait for longer than [`LAG_US`].
const LINES_A_ROUND_IN_LAG: usize = 8;

/// How long answers may wait until opening lines makes way for them.
const LAG_US: u64 = 100_000;

/// How long answers must have waited for the planner to count as behind.
const BEHIND_US: u64 = 500_000;

/// Time between two checks of leases and due times, and between two rounds without an event.
const ROUND: Duration = Duration::from_millis(50);

/// Transactions of records on their way to the store at once: enough for a store that answers slowly,
/// few enough that records still gather company.
const MOST_COMMITS: usize = 4;

/// How long an ended job is remembered: states are asked for two minutes after the end.
const REMEMBER_US: u64 = 130_000_000;

/// Time between two savings of what is learned: a successor lacks that much of it at most.
const SAVE_LEARNED_US: u64 = 5_000_000;

/// Time between two log lines on how full the workers are.
const USAGE_LINE_US: u64 = 1_000_000;

/// How long the last records may take at a planned stop.
const LAST_COMMITS: Duration = Duration::from_millis(300);

/// What the planner takes in.
#[derive(Debug)]
pub enum Event {
    /// A job is stored.
    Accepted(Box<JobSpec>),
    /// A cancel is stored.
    Cancelled(String),
    /// The registry lists a worker.
    Listed(Box<WorkerEntry>),
    /// The registry lists a worker no more.
    Unlisted(String),
    /// All workers that the registry lists; those that are missing are listed no more.
    Registry(Vec<WorkerEntry>),
    /// What the registry lists was told up to this moment.
    RegistryAsOf(u64),
    /// A zone takes no new work.
    ZoneClosed(ClosedZone),
    /// A zone takes work again, as of a revision of the store.
    ZoneOpened(String, u64),
    /// All zones that take no new work, as of a revision of the store.
    ClosedZones(Vec<ClosedZone>, u64),
    /// A worker answered a poll.
    Polled(WorkerIndex, Box<Poll>),
    /// A worker did not answer a poll; when it was sent, if it asked for a lease.
    Silent(WorkerIndex, Option<u64>),
    /// Another incarnation of a worker answered.
    OtherIncarnation(WorkerIndex),
    /// A worker has seen a higher epoch.
    Fenced(WorkerIndex),
    /// An order was answered, or not; when it was sent, if it asked for a lease.
    Answered(Box<Order>, OrderOutcome, Option<u64>),
    /// The advice service answered, or not.
    Advised(Box<AdviceQuestion>, Option<AdviceReply>),
    /// Records were stored, or not.
    Committed(Committed),
    /// The configuration has changed.
    Queues(HashMap<String, QueueTerms>),
    /// Somebody asks for a job's state.
    StateOf(String, oneshot::Sender<Option<(JobPhase, bool)>>),
    /// Somebody asks how many jobs of a queue have not begun.
    Pending(String, oneshot::Sender<u64>),
}

/// What the line to a worker tells.
#[derive(Debug)]
pub struct Answer {
    /// When it was told.
    pub told_us: u64,
    /// What happened.
    pub event: Event,
}

/// The way to the planner of this daemon.
#[derive(Clone, Debug)]
pub struct PlannerHandle {
    news: mpsc::Sender<Event>,
}

impl PlannerHandle {
    /// Gives an event to the planner. If its ring is full the event is dropped and counted in the
    /// log: what it says is also in the store, which the planner follows.
    fn offer(&self, event: Event) {
        if let Err(error) = self.news.try_send(event) {
            log::warn!(event = "planner_ring_full"; "{error}");
        }
    }

    /// Tells of a job that was stored just now.
    pub fn accept(&self, spec: JobSpec) {
        self.offer(Event::Accepted(Box::new(spec)));
    }

    /// Tells of a cancel that was stored just now.
    pub fn cancel(&self, id: &str) {
        self.offer(Event::Cancelled(id.to_owned()));
    }

    /// Tells of a new configuration.
    pub fn set_queues(&self, queues: HashMap<String, QueueTerms>) {
        self.offer(Event::Queues(queues));
    }

    /// A job's stored phase and whether it has begun; `None` if it is not known here.
    pub async fn state_of(&self, id: &str) -> Option<(JobPhase, bool)> {
        let (reply, answer) = oneshot::channel();
        self.offer(Event::StateOf(id.to_owned(), reply));
        answer.await.ok().flatten()
    }

    /// Jobs of a queue that have not begun.
    pub async fn pending(&self, queue: &str) -> Option<u64> {
        let (reply, answer) = oneshot::channel();
        self.offer(Event::Pending(queue.to_owned(), reply));
        answer.await.ok()
    }
}

/// Plans under `epoch` until `lost` is cancelled, which it does itself when it meets a higher epoch.
pub async fn run(site: Arc<Site>, epoch: u64, lost: CancellationToken) {
    let (answers, answered) = mpsc::channel(RING_ANSWERS);
    let (news, told) = mpsc::channel(RING_NEWS);
    let Some(start) = recovery::recover(&site, epoch, &lost).await else { return };
    let tasks = TaskTracker::new();
    // Everything that this planner started ends with it.
    let stop = lost.child_token();
    let lines = WorkerLines::new(site.clone(), epoch, answers, stop.clone(), tasks.clone());
    let (questions, asked) = mpsc::channel(advice_client::RING_QUESTIONS);
    tasks.spawn(advice_client::run(site.clone(), asked, news.clone(), stop.clone()));
    let mut planner = Planner {
        questions,
        site: site.clone(),
        epoch,
        fleet: start.fleet,
        news: news.clone(),
        lines,
        tasks: tasks.clone(),
        commits_under_way: 0,
        lost: lost.clone(),
        forgotten_us: site.clock.now_us(),
        learned_us: site.clock.now_us(),
        to_open: BTreeSet::new(),
        usage_us: 0,
        checked_us: site.clock.now_us(),
        next_round_us: 0,
        rounds: Rounds::default(),
        answers_as_of_us: site.clock.now_us(),
        turns_begun_us: [site.clock.now_us(); 2],
    };
    planner.registry(start.workers);
    site.registry_as_of_us.store(start.registry_read_us, Ordering::Release);
    tasks.spawn(store_watchers::registry(
        site.clone(),
        news.clone(),
        start.registry_revision,
        stop.clone(),
    ));
    tasks.spawn(store_watchers::closed_zones(
        site.clone(),
        news.clone(),
        start.zones_revision,
        stop.clone(),
    ));
    tasks.spawn(store_watchers::inbox(
        site.clone(),
        news.clone(),
        start.inbox_revision,
        stop.clone(),
    ));
    if start.predecessors.orphan_ms() > 0 {
        tasks.spawn(forget_predecessors(site.clone(), epoch, stop.clone()));
    }
    site.set_planner(Some(PlannerHandle { news }));
    let (lost_tasks, lost_workers) = planner.fleet.tasks_on_unlisted_workers();
    log::info!(event = "planner_started", epoch = epoch, lines_to_open = planner.to_open.len(),
        tasks_on_unlisted_workers = lost_tasks, unlisted_workers = lost_workers; "");
    planner.serve(told, answered, &lost).await;
    site.set_planner(None);
    stop.cancel();
    tasks.close();
    tasks.wait().await;
}

/// Stores that no earlier planner renews leases any more, once that is certain.
async fn forget_predecessors(site: Arc<Site>, epoch: u64, stop: CancellationToken) {
    let wait = tokio::time::sleep(Duration::from_millis(ORPHAN_MS));
    if stop.run_until_cancelled(wait).await.is_none() {
        return;
    }
    if let Err(error) = predecessors::announce(&site, epoch, &[]).await {
        log::debug!(event = "predecessors_not_forgotten"; "{error}");
    }
}

struct Planner {
    site: Arc<Site>,
    epoch: u64,
    fleet: Fleet,
    news: mpsc::Sender<Event>,
    lines: WorkerLines,
    questions: mpsc::Sender<AdviceQuestion>,
    tasks: TaskTracker,
    commits_under_way: usize,
    lost: CancellationToken,
    forgotten_us: u64,
    learned_us: u64,
    /// Idle workers whose lines are to be opened.
    to_open: BTreeSet<WorkerIndex>,
    usage_us: u64,
    /// When leases, due times and lines to open were last checked.
    checked_us: u64,
    /// No round of planning before.
    next_round_us: u64,
    rounds: Rounds,
    /// All that workers answered before this was taken in.
    answers_as_of_us: u64,
    /// When the present turn began, and the one before it.
    turns_begun_us: [u64; 2],
}

impl Planner {
    async fn serve(
        &mut self,
        mut news: mpsc::Receiver<Event>,
        mut answers: mpsc::Receiver<Answer>,
        lost: &CancellationToken,
    ) {
        let mut rounds = tokio::time::interval(ROUND);
        rounds.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        let site = self.site.clone();
        loop {
            tokio::select! {
                biased;
                () = lost.cancelled() => break,
                event = news.recv() => match event {
                    Some(event) => self.take(event),
                    None => break,
                },
                _ = rounds.tick() => {}
                answer = answers.recv() => match answer {
                    Some(answer) => self.take_answer(answer),
                    None => break,
                },
            }
            let mut turn = Turn::begin(&site);
            self.turns_begun_us = [turn.begun_us, self.turns_begun_us[0]];
            self.take_waiting(&mut news, &mut answers);
            self.check_times();
            turn.taken();
            self.act();
            turn.acted();
            self.report();
            tokio::task::yield_now().await;
            turn.end(self.fleet.waiting_groups());
        }
        self.finish_commits(&mut news).await;
    }

    /// Takes in all news, and then answers for one turn.
    ///
    /// Guards against news that waits behind thousands of answers: a worker that leaves would get
    /// starts, a cancelled job would run on.
    fn take_waiting(
        &mut self,
        news: &mut mpsc::Receiver<Event>,
        answers: &mut mpsc::Receiver<Answer>,
    ) {
        while let Ok(event) = news.try_recv() {
            self.take(event);
        }
        let begun_us = self.site.clock.now_us();
        while self.site.clock.now_us() - begun_us < TURN_US {
            match answers.try_recv() {
                Ok(answer) => self.take_answer(answer),
                Err(_) => {
                    self.answers_as_of_us = self.site.clock.now_us();
                    return;
                }
            }
        }
    }

    fn take_answer(&mut self, answer: Answer) {
        self.answers_as_of_us = self.answers_as_of_us.max(answer.told_us);
        self.take(answer.event);
    }

    /// Waits a moment for the records on their way, so that a successor reads them.
    async fn finish_commits(&mut self, news: &mut mpsc::Receiver<Event>) {
        let until = tokio::time::Instant::now() + LAST_COMMITS;
        while self.commits_under_way > 0 {
            match tokio::time::timeout_at(until, news.recv()).await {
                Ok(Some(event)) => self.take(event),
                _ => return,
            }
        }
    }

    fn take(&mut self, event: Event) {
        let now_us = self.site.clock.now_us();
        match event {
            Event::Accepted(spec) => self.fleet.accept(*spec, now_us),
            Event::Cancelled(id) => self.fleet.cancel(&id, now_us),
            Event::Listed(entry) => self.listed(*entry),
            Event::Unlisted(id) => self.fleet.worker_unlisted(&id),
            Event::Registry(entries) => self.registry(entries),
            Event::RegistryAsOf(us) => self.site.registry_as_of_us.store(us, Ordering::Release),
            Event::ZoneClosed(closed) => self.close_zones(&[closed]),
            Event::ZoneOpened(zone, revision) => {
                self.fleet.open_zone(&zone, revision);
                self.tell_lines();
            }
            Event::ClosedZones(closed, revision) => {
                self.fleet.set_closed_zones(&closed, revision, now_us);
                self.tell_lines();
            }
            Event::Polled(worker, poll) => {
                self.fleet.polled(worker, &poll, now_us);
                self.lines.set_idle(worker, self.fleet.worker(worker).tasks.is_empty());
            }
            Event::Silent(worker, asked_us) => {
                if let Some(asked_us) = asked_us {
                    self.fleet.lease_requested(worker, asked_us);
                }
                self.fleet.worker_silent(worker, now_us);
            }
            Event::OtherIncarnation(worker) => {
                self.fleet.worker_gone(worker, "another incarnation answers", now_us);
            }
            Event::Fenced(worker) => {
                log::warn!(event = "fenced", epoch = self.epoch,
                    worker = self.fleet.worker(worker).entry.id.as_str(); "another daemon plans");
                self.lost.cancel();
            }
            Event::Answered(order, outcome, asked_us) => {
                if let Some(asked_us) = asked_us {
                    self.fleet.lease_requested(order.worker, asked_us);
                }
                self.fleet.order_answered(&order, outcome, now_us);
                if outcome == OrderOutcome::Fenced {
                    self.lost.cancel();
                }
            }
            Event::Advised(question, advised) => {
                let good = advised.as_ref().map(|advised| advised.good.as_slice());
                let valid_ms = advised.as_ref().map_or(0, |advised| advised.valid_ms);
                self.fleet.advice_answered(&question, good, valid_ms, now_us);
            }
            Event::Committed(committed) => self.committed(committed),
            Event::Queues(queues) => self.fleet.set_queues(queues),
            Event::StateOf(id, reply) => drop(reply.send(self.fleet.state_of(&id))),
            Event::Pending(queue, reply) => drop(reply.send(self.fleet.pending(&queue) as u64)),
        }
    }

    fn listed(&mut self, entry: WorkerEntry) {
        let index = self.fleet.worker_listed(entry, self.site.clock.now_us());
        if self.lines.is_open(index) {
            self.lines.set_takes_starts(index, self.fleet.worker(index).takes_starts());
            return;
        }
        if self.fleet.worker(index).tasks.is_empty() {
            self.to_open.insert(index);
        } else {
            self.lines.open(index, self.fleet.worker(index));
        }
    }

    fn close_zones(&mut self, closed: &[ClosedZone]) {
        if closed.is_empty() {
            return;
        }
        let now_us = self.site.clock.now_us();
        closed.iter().for_each(|zone| self.fleet.close_zone(zone, now_us));
        self.tell_lines();
    }

    /// Tells all lines whether their workers take starts.
    fn tell_lines(&self) {
        for (index, worker) in self.fleet.live_workers() {
            self.lines.set_takes_starts(index, worker.takes_starts());
        }
    }

    /// Opens the lines to some of the idle workers that wait for one.
    fn open_lines(&mut self) {
        let is_lagging = self.behind_us() > LAG_US;
        let count = if is_lagging { LINES_A_ROUND_IN_LAG } else { LINES_A_ROUND };
        for _ in 0..count {
            let Some(index) = self.to_open.pop_first() else { return };
            self.lines.open(index, self.fleet.worker(index));
        }
    }

    fn registry(&mut self, entries: Vec<WorkerEntry>) {
        let present: HashSet<&str> = entries.iter().map(|entry| entry.id.as_str()).collect();
        let listed = self.fleet.listed_workers().into_iter();
        let missing: Vec<String> = listed.filter(|id| !present.contains(id.as_str())).collect();
        missing.iter().for_each(|id| self.fleet.worker_unlisted(id));
        entries.into_iter().for_each(|entry| self.listed(entry));
    }

    fn committed(&mut self, committed: Committed) {
        self.commits_under_way -= 1;
        let now_us = self.site.clock.now_us();
        match committed {
            Committed::Stored(writes, revision, closed) => {
                self.close_zones(&closed);
                writes.iter().for_each(|write| self.fleet.committed(write, revision, now_us));
            }
            Committed::Failed(writes, closed) => {
                writes.iter().for_each(|write| self.fleet.not_committed(write, now_us));
                self.close_zones(&closed);
            }
            Committed::Superseded => {
                log::warn!(event = "superseded", epoch = self.epoch; "another daemon plans");
                self.lost.cancel();
            }
        }
    }

    /// Checks leases, due times and lines to open, whatever news there is.
    ///
    /// Guards against news that never pauses: workers that are gone would keep their tasks.
    fn check_times(&mut self) {
        let now_us = self.site.clock.now_us();
        if now_us - self.checked_us < ROUND.as_micros() as u64 {
            return;
        }
        self.checked_us = now_us;
        // The lines had two turns to tell what had arrived before the one before this.
        let as_of_us = self.answers_as_of_us.min(self.turns_begun_us[1]);
        self.fleet.expire_workers(as_of_us, now_us);
        self.open_lines();
        self.fleet.open_due(wall_ms(), now_us);
        self.tell();
        if now_us - self.learned_us > SAVE_LEARNED_US {
            self.learned_us = now_us;
            let learned = self.fleet.learned();
            self.tasks.spawn(commits::save_learned(self.site.clone(), self.epoch, learned));
        }
        if now_us - self.forgotten_us > REMEMBER_US / 10 {
            self.forgotten_us = now_us;
            let forgotten = self.fleet.forget_ended(now_us.saturating_sub(REMEMBER_US));
            if !forgotten.is_empty() {
                self.tasks.spawn(commits::forget(self.site.clone(), forgotten));
            }
        }
    }

    /// Once a second, logs how full the workers are, what waits and how planning goes, and retires jobs.
    fn report(&mut self) {
        let now_us = self.site.clock.now_us();
        if now_us - self.usage_us <= USAGE_LINE_US {
            return;
        }
        self.usage_us = now_us;
        log_usage(&self.fleet.usage(now_us));
        self.fleet.longest_waits(now_us).iter().for_each(|wait| log_wait(wait, self.epoch));
        let transitions = self.fleet.longest_transitions(now_us);
        transitions.iter().for_each(|transition| log_transition(transition, self.epoch));
        self.rounds.log_and_reset(self.epoch);
        let (records, oldest_record_ms) = self.fleet.records_waiting(now_us);
        log::info!(event = "planner_duties", epoch = self.epoch,
            starting = self.fleet.starting(), records_waiting = records, oldest_record_ms = oldest_record_ms,
            unchecked_ms = (now_us - self.checked_us) / 1_000,
            behind_ms = self.behind_us() / 1_000, lines_to_open = self.to_open.len(),
            commits_under_way = self.commits_under_way; "");
        self.log_if_behind();
        self.fleet.retire_ended();
    }

    /// How long the answers that are taken in next have waited.
    fn behind_us(&self) -> u64 {
        self.site.clock.now_us().saturating_sub(self.answers_as_of_us)
    }

    fn log_if_behind(&self) {
        let behind_us = self.behind_us();
        if behind_us > BEHIND_US {
            log::warn!(event = "planner_behind", behind_ms = behind_us / 1_000,
                waiting_steps = self.fleet.waiting_groups(); "answers of workers wait");
        }
    }

    fn tell(&self) {
        let silent = |worker: &&Worker| worker.standing != WorkerStanding::Good;
        self.site.set_planned(Planned {
            counts: self.fleet.counts(),
            effort: self.fleet.effort(),
            behind_us: self.behind_us(),
            waiting_steps: self.fleet.waiting_groups() as u64,
            workers: self.fleet.live_workers().count() as u64,
            silent_workers: self.fleet.live_workers().map(|(_, w)| w).filter(silent).count() as u64,
        });
    }

    fn plan(&mut self) {
        let begun_us = self.site.clock.now_us();
        if begun_us < self.next_round_us || !self.site.knows_who_leaves() {
            return;
        }
        self.fleet.plan(begun_us, wall_ms());
        let ended_us = self.site.clock.now_us();
        self.rounds.add(begun_us, ended_us);
        self.next_round_us = ended_us + (ended_us - begun_us) * REST;
    }

    /// Plans, commits what changed and gives the orders that may go out.
    fn act(&mut self) {
        if self.lost.is_cancelled() {
            return;
        }
        self.plan();
        let now_us = self.site.clock.now_us();
        while self.commits_under_way < MOST_COMMITS {
            let writes = self.fleet.take_writes(commits::MOST_ENTRIES, now_us);
            if writes.is_empty() {
                break;
            }
            self.commit(writes);
        }
        for worker in self.fleet.take_acked() {
            self.lines.set_acked(worker, self.fleet.acked_end(worker));
        }
        for order in self.fleet.take_orders() {
            self.lines.send(order);
        }
        for question in self.fleet.take_questions() {
            if let Err(error) = self.questions.try_send(question) {
                // The question counts as unanswered and is asked again.
                log::warn!(event = "advice_ring_full"; "{error}");
            }
        }
        for worker in self.fleet.take_terminated() {
            // It may have registered again meanwhile.
            if self.fleet.worker(worker).standing == WorkerStanding::Gone {
                self.lines.close(worker);
            }
        }
    }

    fn commit(&mut self, writes: Vec<JobWrite>) {
        self.commits_under_way += 1;
        let (site, epoch, news) = (self.site.clone(), self.epoch, self.news.clone());
        self.tasks.spawn(async move {
            let committed = commits::commit(&site, epoch, writes).await;
            if news.send(Event::Committed(committed)).await.is_err() {
                log::debug!(event = "commit_unheard"; "the planner has ended");
            }
        });
    }
}

/// The rounds of planning since the last log line about them.
#[derive(Debug, Default)]
struct Rounds {
    count: u64,
    longest_us: u64,
    longest_gap_us: u64,
    last_ended_us: u64,
}

impl Rounds {
    fn add(&mut self, begun_us: u64, ended_us: u64) {
        self.count += 1;
        self.longest_us = self.longest_us.max(ended_us - begun_us);
        if self.last_ended_us > 0 {
            self.longest_gap_us = self.longest_gap_us.max(begun_us - self.last_ended_us);
        }
        self.last_ended_us = ended_us;
    }

    fn log_and_reset(&mut self, epoch: u64) {
        log::info!(event = "planner_rounds", epoch = epoch, rounds = self.count,
            longest_ms = self.longest_us / 1_000, longest_gap_ms = self.longest_gap_us / 1_000; "");
        *self = Self { last_ended_us: self.last_ended_us, ..Self::default() };
    }
}

/// One turn of the planner: what it takes in, what it decides, and what the daemon's other tasks do
/// between.
struct Turn<'a> {
    site: &'a Site,
    begun_us: u64,
    taken_us: u64,
    acted_us: u64,
}

impl<'a> Turn<'a> {
    fn begin(site: &'a Site) -> Self {
        let begun_us = site.clock.now_us();
        Self { site, begun_us, taken_us: begun_us, acted_us: begun_us }
    }

    fn taken(&mut self) {
        self.taken_us = self.site.clock.now_us();
    }

    fn acted(&mut self) {
        self.acted_us = self.site.clock.now_us();
    }

    /// Says what kept the planner if the turn took long.
    fn end(self, waiting_steps: usize) {
        let ended_us = self.site.clock.now_us();
        let turn_us = ended_us - self.begun_us;
        if turn_us > BEHIND_US {
            log::warn!(event = "planner_slow", turn_ms = turn_us / 1_000,
                take_ms = (self.taken_us - self.begun_us) / 1_000,
                act_ms = (self.acted_us - self.taken_us) / 1_000,
                others_ms = (ended_us - self.acted_us) / 1_000,
                waiting_steps = waiting_steps; "the planner lacks processor time");
        }
    }
}

/// Why the task that has been without a run for longest does not start.
fn log_wait(wait: &LongestWait, epoch: u64) {
    log::info!(event = "longest_wait", epoch = epoch, kind = wait.kind.name(),
        job = wait.job.as_str(), step = wait.step, task = wait.task, waited_ms = wait.waited_ms,
        failed_starts = wait.failed_starts, deferral = wait.deferral.name(),
        cpu_milli = wait.cpu_milli, memory_mb = wait.memory_mb, fitting_open = wait.fitting.open,
        fitting_closed = wait.fitting.closed, fitting_unavailable = wait.fitting.unavailable,
        most_free_milli = wait.most_free_milli,
        most_free_or_plain_milli = wait.most_free_or_plain_milli; "");
}

/// Which task is held up on its way to a run or from one.
fn log_transition(transition: &LongestTransition, epoch: u64) {
    log::info!(event = "longest_transition", epoch = epoch, state = transition.state,
        tasks = transition.tasks, job = transition.job.as_str(), task = transition.task,
        for_ms = transition.for_ms, worker = transition.worker.as_str(),
        standing:? = transition.standing, is_listed = transition.is_listed; "");
}

/// What an operator needs to tell a fleet that is reserved full from one that is used full.
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
