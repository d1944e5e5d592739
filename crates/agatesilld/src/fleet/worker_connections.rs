//! The calls to workers: for each incarnation a line that polls and two that give orders.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::time::Duration;

use agatesill_platform::workers::{MAX_POLL_WAIT_MS, PollOutcome, WorkerChannel};
use agatesill_policy::fleet::{
    Fleet, Order, OrderKind, OrderOutcome, US_PER_MS, Worker, WorkerIndex, WorkerStanding,
};
use tokio::sync::{Mutex, Notify, mpsc};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::daemon_state::Site;
use super::planner::{Answer, Event};

/// How long a poll waits for an end. Figures of the last half second come with each poll, so a
/// shorter wait would see the same ones twice, and a longer one later than they are needed.
const POLL_WAIT_MS: u64 = 500;

/// Added to the wait before a poll counts as unanswered: a round trip takes 4 ms, a loaded worker or
/// a short freeze of this process a few hundred.
const POLL_SLACK: Duration = Duration::from_millis(700);

/// An order that takes longer counts as unanswered; it is sent again, which is harmless.
const ORDER_LIMIT: Duration = Duration::from_millis(400);

/// Pause after a poll that failed.
const POLL_PAUSE: Duration = Duration::from_millis(250);

/// Pause after an end came, so that others that are about to come travel with the next poll.
const GATHER_PAUSE: Duration = Duration::from_millis(8);

/// Longest pause after an end came, until its effect is stored and the worker may forget it. A poll
/// before that returns at once with the same end and tells nothing.
const ACK_LIMIT: Duration = Duration::from_millis(150);

/// The same for a worker on which nothing runs: its next end is none, and its tails are of no interest.
const IDLE_WAIT_MS: u64 = MAX_POLL_WAIT_MS;

/// Pause between two polls of such a worker, unless it gets an order: that it is gone shows in the registry,
/// and it holds no lease that would have to be renewed.
const IDLE_PAUSE: Duration = Duration::from_secs(2);

/// How long a start may wait for its turn. Guards against a zone that was closed meanwhile, on a
/// daemon that is far behind.
const LONGEST_START_AGE_US: u64 = 3_000 * US_PER_MS;

/// Orders that may wait for one worker.
const RING_ORDERS: usize = 1_024;

/// How long an order may take before others go over a second connection: one answer that does not come
/// must not hold them up. Sound workers answer sooner, and a connection that nobody needs costs memory
/// and a descriptor.
const HELD_UP: Duration = Duration::from_millis(30);

/// Time without orders after which their connection is closed: on a large fleet most workers get none
/// for long, and descriptors are limited.
const UNUSED: Duration = Duration::from_secs(5);

/// How long leases are renewed after the last confirmed ownership; a successor waits this long.
const RENEW_UNCONFIRMED_US: u64 = agatesill_policy::fleet::ORPHAN_MS * US_PER_MS;

/// What the tasks of one line share.
#[derive(Debug)]
pub struct Line {
    worker: WorkerIndex,
    incarnation: String,
    addr: SocketAddr,
    acked_end: AtomicU64,
    /// Woken when [`Line::acked_end`] rises.
    acked: Notify,
    clock_offset_ms: AtomicI64,
    /// Newest end of a lease that was asked for, on the worker's clock.
    asked_until_ms: AtomicU64,
    /// Whether the newest poll was answered.
    is_answering: AtomicBool,
    /// Whether nothing runs there.
    is_idle: AtomicBool,
    /// Woken when an idle worker gets an order.
    busy: Notify,
    /// Whether starts may be sent: the worker stays and its zone takes work.
    takes_starts: AtomicBool,
    /// Woken when an order holds up those behind it.
    held_up: Notify,
    stop: CancellationToken,
}

impl Line {
    /// Waits until an end need not be listed any more, so that the next poll waits for another.
    async fn until_acked(&self, end: u64) {
        tokio::time::sleep(GATHER_PAUSE).await;
        let acked = async {
            while self.acked_end.load(Ordering::Acquire) < end {
                self.acked.notified().await;
            }
        };
        if tokio::time::timeout(ACK_LIMIT, acked).await.is_err() {
            log::debug!(event = "end_unacknowledged", worker = self.incarnation.as_str(), end = end; "");
        }
    }
}

/// The lines to all workers.
pub struct WorkerLines {
    site: Arc<Site>,
    epoch: u64,
    lease_ms: u64,
    answers: mpsc::Sender<Answer>,
    stop: CancellationToken,
    tasks: TaskTracker,
    lines: HashMap<WorkerIndex, (Arc<Line>, mpsc::Sender<Order>)>,
}

impl WorkerLines {
    /// No lines yet.
    pub fn new(
        site: Arc<Site>,
        epoch: u64,
        answers: mpsc::Sender<Answer>,
        stop: CancellationToken,
        tasks: TaskTracker,
    ) -> Self {
        let lease_ms = Fleet::new(site.settings.bounds.clone()).lease_ms();
        Self { site, epoch, lease_ms, answers, stop, tasks, lines: HashMap::new() }
    }

    /// Whether the line to a worker is open.
    pub fn is_open(&self, index: WorkerIndex) -> bool {
        self.lines.contains_key(&index)
    }

    /// Opens the line to a worker, unless it is open.
    pub fn open(&mut self, index: WorkerIndex, worker: &Worker) {
        if self.lines.contains_key(&index) || worker.standing == WorkerStanding::Gone {
            return;
        }
        let Ok(addr) = worker.entry.address.parse() else { return };
        let line = Arc::new(Line {
            worker: index,
            incarnation: worker.entry.id.clone(),
            addr,
            acked_end: AtomicU64::new(0),
            acked: Notify::new(),
            clock_offset_ms: AtomicI64::new(0),
            asked_until_ms: AtomicU64::new(0),
            is_answering: AtomicBool::new(false),
            is_idle: AtomicBool::new(false),
            busy: Notify::new(),
            takes_starts: AtomicBool::new(worker.takes_starts()),
            held_up: Notify::new(),
            stop: self.stop.child_token(),
        });
        let (orders, ring) = mpsc::channel(RING_ORDERS);
        self.tasks.spawn(self.caller().poll_until_stopped(line.clone()));
        let ring = Arc::new(Mutex::new(ring));
        self.tasks.spawn(self.caller().order_until_stopped(line.clone(), ring.clone()));
        self.tasks.spawn(self.caller().stand_in_until_stopped(line.clone(), ring));
        self.lines.insert(index, (line, orders));
    }

    fn caller(&self) -> Caller {
        Caller {
            site: self.site.clone(),
            epoch: self.epoch,
            lease_ms: self.lease_ms,
            answers: self.answers.clone(),
        }
    }

    /// Gives an order to its worker's line.
    pub fn send(&self, order: Order) {
        let Some((line, orders)) = self.lines.get(&order.worker) else { return };
        if line.is_idle.swap(false, Ordering::Relaxed) {
            line.busy.notify_one();
        }
        if let Err(error) = orders.try_send(order) {
            log::error!(event = "order_ring_full"; "{error}");
        }
    }

    /// The newest end that a worker may forget.
    pub fn set_acked(&self, worker: WorkerIndex, acked_end: u64) {
        if let Some((line, _)) = self.lines.get(&worker) {
            if line.acked_end.swap(acked_end, Ordering::AcqRel) != acked_end {
                line.acked.notify_one();
            }
        }
    }

    /// Notes whether nothing runs on a worker.
    pub fn set_idle(&self, worker: WorkerIndex, is_idle: bool) {
        if let Some((line, _)) = self.lines.get(&worker) {
            line.is_idle.store(is_idle, Ordering::Relaxed);
        }
    }

    /// Notes whether a worker takes starts; those that wait in the line of one that does not are
    /// withheld.
    pub fn set_takes_starts(&self, worker: WorkerIndex, takes_starts: bool) {
        if let Some((line, _)) = self.lines.get(&worker) {
            line.takes_starts.store(takes_starts, Ordering::Relaxed);
        }
    }

    /// Closes the line to a worker whose incarnation is over.
    pub fn close(&mut self, worker: WorkerIndex) {
        if let Some((line, _)) = self.lines.remove(&worker) {
            line.stop.cancel();
        }
    }
}

struct Caller {
    site: Arc<Site>,
    epoch: u64,
    lease_ms: u64,
    answers: mpsc::Sender<Answer>,
}

impl Caller {
    /// Tells the planner; false once it has ended.
    async fn tell(&self, event: Event) -> bool {
        let answer = Answer { told_us: self.site.clock.now_us(), event };
        self.answers.send(answer).await.is_ok()
    }

    /// End of the lease to ask for, on the worker's clock; `None` if none may be asked for.
    ///
    /// Guards against an owner that is cut off from the store and goes on renewing for ever: its
    /// successor could never tell when a task on a worker that it can't reach has ended. And
    /// against renewing a worker whose answers don't come: its requests may arrive all the same,
    /// and its tasks would never be free to start elsewhere.
    fn lease_to_ask_ms(&self, line: &Line) -> Option<u64> {
        let now_us = self.site.clock.now_us();
        let confirmed_us = self.site.confirmed_us.load(Ordering::Acquire);
        let is_owner = now_us.saturating_sub(confirmed_us) < RENEW_UNCONFIRMED_US;
        if !is_owner || !line.is_answering.load(Ordering::Acquire) {
            return None;
        }
        let now_ms = (now_us / US_PER_MS) as i64;
        let worker_ms = now_ms + line.clock_offset_ms.load(Ordering::Acquire);
        let until_ms = worker_ms.max(0) as u64 + self.lease_ms;
        line.asked_until_ms.fetch_max(until_ms, Ordering::AcqRel);
        Some(until_ms)
    }

    async fn poll_until_stopped(self, line: Arc<Line>) {
        tokio::select! {
            () = line.stop.cancelled() => {}
            () = self.poll_for_ever(&line) => {}
        }
    }

    async fn poll_for_ever(&self, line: &Line) {
        let mut channel = WorkerChannel::new(line.addr, &line.incarnation);
        let mut wait_ms = 0;
        loop {
            let mut newest_end = None;
            let sent_us = self.site.clock.now_us();
            let lease = self.lease_to_ask_ms(line);
            let acked_end = line.acked_end.load(Ordering::Acquire);
            let limit = Duration::from_millis(wait_ms) + POLL_SLACK;
            let polled =
                channel.poll(self.epoch, lease.unwrap_or(0), acked_end, wait_ms, limit).await;
            let (event, pause) = match polled {
                Ok(PollOutcome::Reply(mut poll)) => {
                    let now_ms = (self.site.clock.now_us() / US_PER_MS) as i64;
                    line.clock_offset_ms.store(poll.clock_ms as i64 - now_ms, Ordering::Release);
                    line.is_answering.store(true, Ordering::Release);
                    poll.sent_us = sent_us;
                    poll.lease_ms = self.lease_ms;
                    // Right after the first poll, which could ask for no lease, comes another.
                    wait_ms = if line.asked_until_ms.load(Ordering::Acquire) == 0 {
                        0
                    } else if line.is_idle.load(Ordering::Relaxed) {
                        IDLE_WAIT_MS
                    } else {
                        POLL_WAIT_MS
                    };
                    newest_end = poll.ended.iter().map(|end| end.number).max();
                    (Event::Polled(line.worker, Box::new(poll)), Duration::ZERO)
                }
                Ok(PollOutcome::OtherIncarnation) => {
                    (Event::OtherIncarnation(line.worker), POLL_PAUSE)
                }
                Ok(PollOutcome::Fenced) => (Event::Fenced(line.worker), POLL_PAUSE),
                Err(error) => {
                    log::debug!(event = "poll_failed", worker = line.incarnation.as_str(); "{error}");
                    line.is_answering.store(false, Ordering::Release);
                    (Event::Silent(line.worker, lease.map(|_| sent_us)), POLL_PAUSE)
                }
            };
            if !self.tell(event).await {
                return;
            }
            if let Some(end) = newest_end {
                line.until_acked(end).await;
            }
            if !pause.is_zero() {
                tokio::time::sleep(pause).await;
            } else if line.is_idle.load(Ordering::Relaxed) {
                // Over either way: the worker has something to do, or it is time to ask again.
                drop(tokio::time::timeout(IDLE_PAUSE, line.busy.notified()).await);
            }
        }
    }

    async fn order_until_stopped(self, line: Arc<Line>, ring: Arc<Mutex<mpsc::Receiver<Order>>>) {
        tokio::select! {
            () = line.stop.cancelled() => {}
            () = self.order_for_ever(&line, &ring) => {}
        }
    }

    async fn order_for_ever(&self, line: &Line, ring: &Mutex<mpsc::Receiver<Order>>) {
        let mut channel = WorkerChannel::new(line.addr, &line.incarnation);
        loop {
            let next = {
                let mut ring = ring.lock().await;
                match tokio::time::timeout(UNUSED, ring.recv()).await {
                    Ok(next) => next,
                    Err(_) => {
                        channel.close();
                        ring.recv().await
                    }
                }
            };
            let Some(order) = next else { return };
            let give = self.give(line, &mut channel, order);
            tokio::pin!(give);
            let event = match tokio::time::timeout(HELD_UP, give.as_mut()).await {
                Ok(event) => event,
                Err(_) => {
                    line.held_up.notify_one();
                    give.await
                }
            };
            if !self.tell(event).await {
                return;
            }
        }
    }

    async fn stand_in_until_stopped(
        self,
        line: Arc<Line>,
        ring: Arc<Mutex<mpsc::Receiver<Order>>>,
    ) {
        tokio::select! {
            () = line.stop.cancelled() => {}
            () = self.stand_in_for_ever(&line, &ring) => {}
        }
    }

    /// Gives orders while one holds up the others.
    async fn stand_in_for_ever(&self, line: &Line, ring: &Mutex<mpsc::Receiver<Order>>) {
        let mut channel = WorkerChannel::new(line.addr, &line.incarnation);
        loop {
            line.held_up.notified().await;
            loop {
                let next =
                    tokio::time::timeout(ORDER_LIMIT, async { ring.lock().await.recv().await });
                let Ok(next) = next.await else { break };
                let Some(order) = next else { return };
                let event = self.give(line, &mut channel, order).await;
                if !self.tell(event).await {
                    return;
                }
            }
            channel.close();
        }
    }

    /// Whether a start may still be sent: what it was decided on holds.
    fn may_start(&self, line: &Line, order: &Order) -> bool {
        let age_us = self.site.clock.now_us().saturating_sub(order.decided_us);
        line.takes_starts.load(Ordering::Relaxed)
            && age_us < LONGEST_START_AGE_US
            && self.site.knows_who_leaves()
    }

    async fn give(&self, line: &Line, channel: &mut WorkerChannel, order: Order) -> Event {
        let is_start = matches!(order.kind, OrderKind::Start { .. });
        if is_start && !self.may_start(line, &order) {
            return Event::Answered(Box::new(order), OrderOutcome::Withheld, None);
        }
        let sent_us = self.site.clock.now_us();
        let lease = self.lease_to_ask_ms(line);
        // Without leave to renew, an order carries the lease that was asked for before.
        let until_ms = lease.unwrap_or_else(|| line.asked_until_ms.load(Ordering::Acquire));
        let (task, kind) = (&order.task, &order.kind);
        let begun = Instant::now();
        let outcome = channel.order(self.epoch, task, order.run, kind, until_ms, ORDER_LIMIT).await;
        let is_answered = outcome != OrderOutcome::Unanswered;
        self.site.metrics.order(kind.name(), is_answered, begun.elapsed());
        Event::Answered(Box::new(order), outcome, lease.map(|_| sent_us))
    }
}
