//! Calls to workers. Each incarnation has one connection for polls and up to two for orders.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicI64, AtomicU64, Ordering};
use std::time::Duration;

use agatesill_platform::workers::{MAX_POLL_WAIT_MS, PollOutcome, WorkerChannel};
use agatesill_policy::fleet::{
    CallClass, Fleet, Order, OrderKind, OrderOutcome, US_PER_MS, Worker, WorkerIndex,
    WorkerStanding,
};
use agatesill_wire::channel::{CallError, Delivery};
use tokio::sync::{Mutex, Notify, OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::call_gate::CallGate;
use super::daemon_state::DaemonState;
use super::planner::{Answer, Event};

/// Wait time of a poll for an ended run. Each poll returns figures of the last half second, so a
/// shorter wait would return the same figures twice, and a longer one would return them late.
const POLL_WAIT_MS: u64 = 500;

/// Added to the wait time of a poll to get its timeout. A round trip takes 4 ms; a loaded worker or
/// a short freeze of this process takes a few hundred.
const POLL_TIMEOUT_MARGIN: Duration = Duration::from_millis(700);

/// Timeout of an order. An unanswered order is sent again, which is harmless.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);

/// Delay after a failed poll.
const POLL_BACKOFF: Duration = Duration::from_millis(250);

/// Delay of the next poll after a run has ended, so that other ends that follow shortly are
/// reported by the same poll.
const GATHER_DELAY: Duration = Duration::from_millis(8);

/// Maximum delay of the next poll after a run has ended, until the end is stored and the worker may
/// discard it. An earlier poll would return at once with the same end; it would show the other ends
/// since then, and figures that are half a second newer.
const ACK_TIMEOUT: Duration = Duration::from_millis(POLL_WAIT_MS);

/// The same for a worker with urgent tasks, whose next steps wait for their ends.
const URGENT_ACK_TIMEOUT: Duration = Duration::from_millis(100);

/// Longest time for which a poll waits until the planner has handled the answer to the previous one.
/// A lease of the worker must be renewed meanwhile.
const MAX_HANDLING_WAIT: Duration = Duration::from_millis(1_000);

/// Wait time of a poll at an idle worker. No run can end there, and its tail figures are not
/// needed.
const IDLE_WAIT_MS: u64 = MAX_POLL_WAIT_MS;

/// Interval between polls of an idle worker, unless it gets an order. The registry shows when the
/// worker is removed, and it holds no lease that must be renewed.
const IDLE_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Maximum age of a start order. Guards against a zone that was closed in the meantime, on a daemon
/// that is far behind.
const MAX_START_AGE_US: u64 = 3_000 * US_PER_MS;

/// Capacity of the order queue of one worker.
const ORDER_QUEUE_CAPACITY: usize = 1_024;

/// Time after which a slow order no longer blocks the others: they are sent over a second
/// connection. Healthy workers answer sooner. The second connection is opened only when needed,
/// because it costs memory and a file descriptor.
const SECOND_CONNECTION_DELAY: Duration = Duration::from_millis(30);

/// Time without orders after which the order connection is closed. Most workers of a large fleet
/// get no orders for long periods, and file descriptors are limited.
const UNUSED_CONNECTION_TIMEOUT: Duration = Duration::from_secs(5);

/// How long leases are renewed after the store's lease was last confirmed, at the most.
const MAX_UNCONFIRMED_US: u64 = agatesill_policy::fleet::ORPHAN_MS * US_PER_MS;

/// Whether leases are withheld from a worker, decided at one moment for all its connections.
#[derive(Debug)]
struct LeaseGate {
    is_withheld: bool,
    /// When the last lease was requested.
    requested_us: Option<u64>,
}

/// State shared by the tasks that serve the connections to one worker.
#[derive(Debug)]
pub struct WorkerConnection {
    worker: WorkerIndex,
    incarnation: String,
    addr: SocketAddr,
    acked_end: AtomicU64,
    /// Notified when [`WorkerConnection::acked_end`] increases, or the worker gets its first urgent
    /// task.
    to_poll: Notify,
    clock_offset_ms: AtomicI64,
    /// Latest lease end that was requested, on the worker's clock.
    requested_until_ms: AtomicU64,
    /// Whether the last poll was answered.
    is_answering: AtomicBool,
    /// Whether leases may be requested: every start of a run that was given up with the worker's lease
    /// has been barred.
    may_renew: AtomicBool,
    lease_gate: std::sync::Mutex<LeaseGate>,
    /// Notified when leases may be requested again.
    to_renew: Notify,
    /// Whether nothing runs on the worker.
    is_idle: AtomicBool,
    /// Whether urgent tasks run on the worker, or are about to.
    has_urgent_tasks: AtomicBool,
    /// Notified when an idle worker gets an order.
    got_order: Notify,
    /// Notified when the worker is to be polled at once over a new connection.
    to_verify: Notify,
    /// When the incarnation started, by its first answer; 0 before that, or if its answers don't
    /// tell.
    started_ms: AtomicU64,
    /// Whether starts may be sent: the worker is not leaving and its zone is open.
    takes_starts: AtomicBool,
    /// Notified when an order blocks those queued behind it.
    blocked: Notify,
    /// The permit of the one answer to a poll that may wait for the planner.
    unhandled_poll: Arc<Semaphore>,
    stop: CancellationToken,
}

impl WorkerConnection {
    /// Waits until the planner has handled the answer to the previous poll, at most
    /// [`MAX_HANDLING_WAIT`]; `None` if it has not. A worker without a lease, or one that did not
    /// answer the last poll, is polled at once, because its lease must be renewed.
    ///
    /// Each answer lists everything that the worker has to report, so a newer one adds nothing
    /// while an older one waits. Without this limit, the answers of all workers pile up before a
    /// planner that lacks processor time, and it decides on a state that is seconds old.
    async fn poll_permit(&self) -> Option<OwnedSemaphorePermit> {
        let has_lease = self.requested_until_ms.load(Ordering::Acquire) > 0;
        if !has_lease || !self.is_answering.load(Ordering::Acquire) {
            return self.unhandled_poll.clone().try_acquire_owned().ok();
        }
        let permit = self.unhandled_poll.clone().acquire_owned();
        tokio::time::timeout(MAX_HANDLING_WAIT, permit).await.ok()?.ok()
    }

    fn lease_gate(&self) -> std::sync::MutexGuard<'_, LeaseGate> {
        self.lease_gate.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
    }

    /// Class of the next poll. One of a worker without a lease, or of one that did not answer, is not
    /// delayed, because its lease must be renewed.
    fn poll_class(&self) -> CallClass {
        let has_lease = self.requested_until_ms.load(Ordering::Acquire) > 0;
        if !has_lease || !self.is_answering.load(Ordering::Acquire) {
            CallClass::First
        } else if self.has_urgent_tasks.load(Ordering::Relaxed) {
            CallClass::Second
        } else {
            CallClass::Last
        }
    }

    /// Whether an answer comes from the incarnation that these connections are for. The first one
    /// that tells its start decides which that is.
    fn is_answer_of_incarnation(&self, started_ms: u64) -> bool {
        let known_ms = self.started_ms.load(Ordering::Acquire);
        if known_ms == 0 {
            self.started_ms.store(started_ms, Ordering::Release);
        }
        known_ms == 0 || started_ms == 0 || started_ms == known_ms
    }

    /// Waits until the worker may discard an end, so that the next poll waits for another one.
    async fn wait_until_acked(&self, end: u64) {
        let began = Instant::now();
        tokio::time::sleep(GATHER_DELAY).await;
        while self.acked_end.load(Ordering::Acquire) < end {
            let is_urgent = self.has_urgent_tasks.load(Ordering::Relaxed);
            let timeout = if is_urgent { URGENT_ACK_TIMEOUT } else { ACK_TIMEOUT };
            let until = began + timeout;
            if Instant::now() >= until {
                log::debug!(event = "end_unacknowledged", worker = self.incarnation.as_str(),
                    end = end; "");
                return;
            }
            // Both an acknowledgement and an urgent task end the wait; after a timeout the loop does.
            drop(tokio::time::timeout_at(until, self.to_poll.notified()).await);
        }
    }
}

/// Connections to all workers.
pub struct WorkerConnections {
    daemon: Arc<DaemonState>,
    gate: Arc<CallGate>,
    epoch: u64,
    lease_ms: u64,
    answers: mpsc::Sender<Answer>,
    stop: CancellationToken,
    tasks: TaskTracker,
    connections: HashMap<WorkerIndex, (Arc<WorkerConnection>, mpsc::Sender<Order>)>,
}

impl WorkerConnections {
    /// Creates the set without any connections.
    pub fn new(
        daemon: Arc<DaemonState>,
        epoch: u64,
        answers: mpsc::Sender<Answer>,
        stop: CancellationToken,
        tasks: TaskTracker,
    ) -> Self {
        let lease_ms = Fleet::new(daemon.settings.bounds.clone()).lease_ms();
        let (gate, connections) = (Arc::default(), HashMap::new());
        Self { daemon, gate, epoch, lease_ms, answers, stop, tasks, connections }
    }

    /// The gate that all calls to workers pass.
    pub fn gate(&self) -> &Arc<CallGate> {
        &self.gate
    }

    /// Whether the connections to a worker are open.
    pub fn is_open(&self, index: WorkerIndex) -> bool {
        self.connections.contains_key(&index)
    }

    /// Opens the connections to a worker, unless they are open or the worker is terminated. No lease is
    /// requested while the worker is withheld.
    pub fn open(&mut self, index: WorkerIndex, worker: &Worker, is_withheld: bool) {
        if self.connections.contains_key(&index) || worker.standing == WorkerStanding::Gone {
            return;
        }
        let Ok(addr) = worker.entry.address.parse() else { return };
        let connection = Arc::new(WorkerConnection {
            worker: index,
            incarnation: worker.entry.id.clone(),
            addr,
            acked_end: AtomicU64::new(worker.acked_end),
            to_poll: Notify::new(),
            clock_offset_ms: AtomicI64::new(0),
            requested_until_ms: AtomicU64::new(0),
            is_answering: AtomicBool::new(false),
            may_renew: AtomicBool::new(!worker.has_unbarred_runs()),
            lease_gate: std::sync::Mutex::new(LeaseGate { is_withheld, requested_us: None }),
            to_renew: Notify::new(),
            is_idle: AtomicBool::new(false),
            has_urgent_tasks: AtomicBool::new(worker.urgent > 0),
            got_order: Notify::new(),
            to_verify: Notify::new(),
            started_ms: AtomicU64::new(worker.started_ms),
            takes_starts: AtomicBool::new(worker.takes_starts()),
            blocked: Notify::new(),
            unhandled_poll: Arc::new(Semaphore::new(1)),
            stop: self.stop.child_token(),
        });
        let (orders, order_queue) = mpsc::channel(ORDER_QUEUE_CAPACITY);
        self.tasks.spawn(self.client().poll_until_stopped(connection.clone()));
        let order_queue = Arc::new(Mutex::new(order_queue));
        self.tasks
            .spawn(self.client().order_until_stopped(connection.clone(), order_queue.clone()));
        self.tasks.spawn(self.client().overflow_until_stopped(connection.clone(), order_queue));
        self.connections.insert(index, (connection, orders));
    }

    fn client(&self) -> WorkerClient {
        WorkerClient {
            daemon: self.daemon.clone(),
            gate: self.gate.clone(),
            epoch: self.epoch,
            lease_ms: self.lease_ms,
            answers: self.answers.clone(),
        }
    }

    /// Queues an order for its worker.
    pub fn send(&self, order: Order) {
        let Some((connection, orders)) = self.connections.get(&order.worker) else {
            log::warn!(event = "order_dropped", kind = order.kind.name(), job = order.task.job.as_str(),
                task:% = order.task, run = order.run;
                "no connection to the worker is open");
            return;
        };
        if connection.is_idle.swap(false, Ordering::Relaxed) {
            connection.got_order.notify_one();
        }
        if let Err(error) = orders.try_send(order) {
            log::error!(event = "order_ring_full"; "{error}");
        }
    }

    /// Has a worker polled at once over a new connection, whose other end is the process that now
    /// listens at the address.
    pub fn verify(&self, worker: WorkerIndex) {
        if let Some((connection, _)) = self.connections.get(&worker) {
            connection.to_verify.notify_one();
        }
    }

    /// Sets the newest end that a worker may discard.
    pub fn set_acked(&self, worker: WorkerIndex, acked_end: u64) {
        if let Some((connection, _)) = self.connections.get(&worker) {
            if connection.acked_end.swap(acked_end, Ordering::AcqRel) != acked_end {
                connection.to_poll.notify_one();
            }
        }
    }

    /// Withholds leases from a worker. Returns when the last one was requested.
    pub fn withhold(&self, worker: WorkerIndex) -> Option<u64> {
        let (connection, _) = self.connections.get(&worker)?;
        let mut gate = connection.lease_gate();
        gate.is_withheld = true;
        gate.requested_us
    }

    /// Lets leases be requested from a worker again.
    pub fn resume(&self, worker: WorkerIndex) {
        if let Some((connection, _)) = self.connections.get(&worker) {
            connection.lease_gate().is_withheld = false;
            connection.to_renew.notify_one();
        }
    }

    /// Has workers that have answered polled again, because leases may be requested from now on.
    pub fn resume_all(&self) {
        self.connections.values().for_each(|(connection, _)| connection.to_renew.notify_one());
    }

    /// Sets whether a worker may get leases.
    pub fn set_may_renew(&self, worker: WorkerIndex, may_renew: bool) {
        if let Some((connection, _)) = self.connections.get(&worker) {
            connection.may_renew.store(may_renew, Ordering::Release);
        }
    }

    /// Updates what runs on a worker, which decides when it is polled.
    pub fn set_tasks(&self, index: WorkerIndex, worker: &Worker) {
        if let Some((connection, _)) = self.connections.get(&index) {
            connection.is_idle.store(worker.tasks.is_empty(), Ordering::Relaxed);
            let is_urgent = worker.urgent > 0;
            if is_urgent && !connection.has_urgent_tasks.swap(is_urgent, Ordering::Relaxed) {
                connection.to_poll.notify_one();
            }
            connection.has_urgent_tasks.store(is_urgent, Ordering::Relaxed);
        }
    }

    /// Sets whether a worker takes starts. Queued starts of a worker that does not are withheld.
    pub fn set_takes_starts(&self, worker: WorkerIndex, takes_starts: bool) {
        if let Some((connection, _)) = self.connections.get(&worker) {
            connection.takes_starts.store(takes_starts, Ordering::Relaxed);
        }
    }

    /// Closes the connections to a worker whose incarnation has ended.
    pub fn close(&mut self, worker: WorkerIndex) {
        if let Some((connection, _)) = self.connections.remove(&worker) {
            connection.stop.cancel();
        }
    }
}

struct WorkerClient {
    daemon: Arc<DaemonState>,
    gate: Arc<CallGate>,
    epoch: u64,
    lease_ms: u64,
    answers: mpsc::Sender<Answer>,
}

impl WorkerClient {
    /// Reports an event to the planner; false if the planner has ended.
    async fn send_event(&self, event: Event, poll_permit: Option<OwnedSemaphorePermit>) -> bool {
        let answer = Answer { reported_us: self.daemon.clock.now_us(), event, poll_permit };
        self.answers.send(answer).await.is_ok()
    }

    /// Lease end to request at `now_us`, on the worker's clock; `None` if no lease may be requested.
    /// The planner reckons the lease from the same reading of the clock: the process may be suspended
    /// between two readings, and the second lease would outlast the first.
    ///
    /// Guards against an owner that is cut off from the store and renews leases forever: its
    /// successor could never know when a task on a worker that it cannot reach has ended. Also
    /// guards against renewing the lease of a worker whose answers are lost: requests may still
    /// reach it, and its tasks could never be started elsewhere.
    fn lease_to_request_ms(&self, connection: &WorkerConnection, now_us: u64) -> Option<u64> {
        let confirmed_us = self.daemon.confirmed_us.load(Ordering::Acquire);
        let is_owner = now_us.saturating_sub(confirmed_us) < MAX_UNCONFIRMED_US;
        let may_renew = connection.may_renew.load(Ordering::Acquire);
        if !is_owner || !may_renew || !connection.is_answering.load(Ordering::Acquire) {
            return None;
        }
        let horizon_us = self.daemon.lease_horizon_us.load(Ordering::Acquire);
        let lease_ms = self.lease_ms.min(horizon_us.saturating_sub(now_us) / US_PER_MS);
        let mut gate = connection.lease_gate();
        if lease_ms == 0 || gate.is_withheld {
            return None;
        }
        gate.requested_us = gate.requested_us.max(Some(now_us));
        drop(gate);
        let now_ms = (now_us / US_PER_MS) as i64;
        let worker_ms = now_ms + connection.clock_offset_ms.load(Ordering::Acquire);
        let until_ms = worker_ms.max(0) as u64 + lease_ms;
        connection.requested_until_ms.fetch_max(until_ms, Ordering::AcqRel);
        Some(until_ms)
    }

    /// Whether a lease can't be requested however often the worker is polled.
    fn is_withheld(&self, connection: &WorkerConnection) -> bool {
        self.daemon.lease_horizon_us.load(Ordering::Acquire) == 0
            || connection.lease_gate().is_withheld
    }

    async fn poll_until_stopped(self, connection: Arc<WorkerConnection>) {
        tokio::select! {
            () = connection.stop.cancelled() => {}
            () = self.poll_loop(&connection) => {}
        }
    }

    async fn poll_loop(&self, connection: &WorkerConnection) {
        let mut channel = WorkerChannel::new(connection.addr, &connection.incarnation);
        let mut wait_ms = 0;
        // When a poll that was cancelled requested a lease, which the worker may have received.
        let mut cancelled_us = None;
        // When the last poll was sent that requested a lease or could have.
        let mut renewed_us = self.daemon.clock.now_us();
        loop {
            let permit = connection.poll_permit().await;
            self.gate.enter_poll(connection.poll_class()).await;
            let mut newest_end = None;
            let sent_us = self.daemon.clock.now_us();
            let lease = self.lease_to_request_ms(connection, sent_us);
            let acked_end = connection.acked_end.load(Ordering::Acquire);
            let timeout = Duration::from_millis(wait_ms) + POLL_TIMEOUT_MARGIN;
            let requested_us = lease.map(|_| sent_us).or(cancelled_us);
            let poll = channel.poll(self.epoch, lease.unwrap_or(0), acked_end, wait_ms, timeout);
            let polled = tokio::select! {
                polled = poll => polled,
                () = connection.to_verify.notified() => {
                    channel.close();
                    wait_ms = 0;
                    cancelled_us = requested_us;
                    continue;
                }
            };
            cancelled_us = None;
            let (event, delay) = match polled {
                // Neither its clock nor its ends are those that the next poll would refer to.
                Ok(PollOutcome::Reply(mut poll))
                    if !connection.is_answer_of_incarnation(poll.started_ms) =>
                {
                    connection.is_answering.store(false, Ordering::Release);
                    poll.sent_us = sent_us;
                    (Event::Polled(connection.worker, Box::new(poll)), POLL_BACKOFF)
                }
                Ok(PollOutcome::Reply(mut poll)) => {
                    // The planner may have given up the worker's runs with its lease, and must bar
                    // their starts before the next one.
                    if sent_us.saturating_sub(renewed_us) >= self.lease_ms * US_PER_MS {
                        connection.may_renew.store(false, Ordering::Release);
                    }
                    renewed_us = sent_us;
                    let now_ms = (self.daemon.clock.now_us() / US_PER_MS) as i64;
                    connection
                        .clock_offset_ms
                        .store(poll.clock_ms as i64 - now_ms, Ordering::Release);
                    connection.is_answering.store(true, Ordering::Release);
                    poll.sent_us = sent_us;
                    poll.lease_ms = self.lease_ms;
                    // The first poll could not request a lease, so another one follows at once.
                    wait_ms = if connection.requested_until_ms.load(Ordering::Acquire) == 0 {
                        0
                    } else if connection.is_idle.load(Ordering::Relaxed) {
                        IDLE_WAIT_MS
                    } else {
                        POLL_WAIT_MS
                    };
                    newest_end = poll.ended.iter().map(|end| end.number).max();
                    let is_withheld = self.is_withheld(connection);
                    let delay = if is_withheld { POLL_BACKOFF } else { Duration::ZERO };
                    (Event::Polled(connection.worker, Box::new(poll)), delay)
                }
                Ok(PollOutcome::OtherIncarnation) => {
                    (Event::OtherIncarnation(connection.worker, sent_us), POLL_BACKOFF)
                }
                Ok(PollOutcome::Fenced) => (Event::Fenced(connection.worker), POLL_BACKOFF),
                Err(CallError { error, delivery }) => {
                    log::debug!(event = "poll_failed", worker = connection.incarnation.as_str(),
                        delivery = delivery.name(); "{error}");
                    connection.is_answering.store(false, Ordering::Release);
                    // The next poll can't request a lease, so it must not wait for an end.
                    wait_ms = 0;
                    let event = match delivery {
                        Delivery::ConnectionRefused => {
                            Event::ConnectionRefused(connection.worker, requested_us)
                        }
                        Delivery::NotSent | Delivery::Unknown => {
                            Event::Silent(connection.worker, requested_us)
                        }
                    };
                    (event, POLL_BACKOFF)
                }
            };
            if !self.send_event(event, permit).await {
                return;
            }
            if let Some(end) = newest_end {
                connection.wait_until_acked(end).await;
            }
            if !delay.is_zero() {
                tokio::select! {
                    () = tokio::time::sleep(delay) => {}
                    () = connection.to_verify.notified() => {}
                    () = connection.to_renew.notified() => {}
                }
            } else if connection.is_idle.load(Ordering::Relaxed) {
                tokio::select! {
                    () = tokio::time::sleep(IDLE_POLL_INTERVAL) => {}
                    () = connection.got_order.notified() => {}
                    () = connection.to_verify.notified() => channel.close(),
                }
            }
        }
    }

    async fn order_until_stopped(
        self,
        connection: Arc<WorkerConnection>,
        order_queue: Arc<Mutex<mpsc::Receiver<Order>>>,
    ) {
        tokio::select! {
            () = connection.stop.cancelled() => {}
            () = self.order_loop(&connection, &order_queue) => {}
        }
    }

    async fn order_loop(
        &self,
        connection: &WorkerConnection,
        order_queue: &Mutex<mpsc::Receiver<Order>>,
    ) {
        let mut channel = WorkerChannel::new(connection.addr, &connection.incarnation);
        loop {
            let next = {
                let mut order_queue = order_queue.lock().await;
                match tokio::time::timeout(UNUSED_CONNECTION_TIMEOUT, order_queue.recv()).await {
                    Ok(next) => next,
                    Err(_) => {
                        channel.close();
                        order_queue.recv().await
                    }
                }
            };
            let Some(order) = next else { return };
            let sending = self.send_order(connection, &mut channel, order);
            tokio::pin!(sending);
            let event = match tokio::time::timeout(SECOND_CONNECTION_DELAY, sending.as_mut()).await
            {
                Ok(event) => event,
                Err(_) => {
                    connection.blocked.notify_one();
                    sending.await
                }
            };
            if !self.send_event(event, None).await {
                return;
            }
        }
    }

    async fn overflow_until_stopped(
        self,
        connection: Arc<WorkerConnection>,
        order_queue: Arc<Mutex<mpsc::Receiver<Order>>>,
    ) {
        tokio::select! {
            () = connection.stop.cancelled() => {}
            () = self.overflow_loop(&connection, &order_queue) => {}
        }
    }

    /// Sends orders while another order blocks the first connection.
    async fn overflow_loop(
        &self,
        connection: &WorkerConnection,
        order_queue: &Mutex<mpsc::Receiver<Order>>,
    ) {
        let mut channel = WorkerChannel::new(connection.addr, &connection.incarnation);
        loop {
            connection.blocked.notified().await;
            loop {
                let next = tokio::time::timeout(ORDER_TIMEOUT, async {
                    order_queue.lock().await.recv().await
                });
                let Ok(next) = next.await else { break };
                let Some(order) = next else { return };
                let event = self.send_order(connection, &mut channel, order).await;
                if !self.send_event(event, None).await {
                    return;
                }
            }
            channel.close();
        }
    }

    /// Whether a start may still be sent: the conditions under which it was decided hold.
    fn may_start(&self, connection: &WorkerConnection, order: &Order) -> bool {
        let age_us = self.daemon.clock.now_us().saturating_sub(order.decided_us);
        connection.takes_starts.load(Ordering::Relaxed)
            && age_us < MAX_START_AGE_US
            && self.daemon.is_registry_current()
    }

    async fn send_order(
        &self,
        connection: &WorkerConnection,
        channel: &mut WorkerChannel,
        mut order: Order,
    ) -> Event {
        let is_start = matches!(order.kind, OrderKind::Start { .. });
        if is_start && !self.may_start(connection, &order) {
            return Event::Answered(Box::new(order), OrderOutcome::Withheld, None);
        }
        let sent_us = self.daemon.clock.now_us();
        order.sent_us = sent_us;
        let lease = self.lease_to_request_ms(connection, sent_us);
        // If no lease may be requested, the order carries the end that was requested before.
        let until_ms =
            lease.unwrap_or_else(|| connection.requested_until_ms.load(Ordering::Acquire));
        let (task, kind) = (&order.task, &order.kind);
        channel.expect_start(connection.started_ms.load(Ordering::Acquire));
        let started = Instant::now();
        let outcome =
            channel.order(self.epoch, task, order.run, kind, until_ms, ORDER_TIMEOUT).await;
        let answered = match outcome {
            OrderOutcome::Undelivered => "undelivered",
            OrderOutcome::Unanswered => "false",
            _ => "true",
        };
        self.daemon.metrics.order(kind.name(), answered, started.elapsed());
        Event::Answered(Box::new(order), outcome, lease.map(|_| sent_us))
    }
}
