//! Outcomes of orders to workers, including orders without an answer.

use super::US_PER_MS;
use super::job::TaskState;
use super::orders::{NO_TASK, Order, OrderKind, OrderOutcome};
use super::run_end::RunEnd;
use super::state::Fleet;
use super::worker::WorkerIndex;

/// Time without new tasks after a worker rejected one for lack of capacity. Its free capacity then
/// differs from the ledger, and a second start would be rejected as well.
const NO_CAPACITY_BACKOFF_US: u64 = 400 * US_PER_MS;

/// Time without new tasks after a worker rejected one because it is unhealthy.
const REFUSED_BACKOFF_US: u64 = 1_000 * US_PER_MS;

/// Unanswered orders after which a run is given up. The run is stopped, which bars it permanently,
/// and the task starts elsewhere under a higher run number.
const MAX_UNANSWERED_ORDERS: u32 = 2;

/// Maximum age of the last poll answer of a responsive worker.
const RECENT_ANSWER_US: u64 = 1_000 * US_PER_MS;

impl Fleet {
    /// Applies the outcome of an order whose answer has just arrived.
    pub fn order_answered(&mut self, order: &Order, outcome: OrderOutcome, now_us: u64) {
        self.order_answered_at(order, outcome, now_us, now_us);
    }

    /// Applies the outcome of an order. The answer arrived at `answered_us`, which may be seconds
    /// before it is handled: a poll sent after its arrival shows the effect of the order.
    pub fn order_answered_at(
        &mut self,
        order: &Order,
        outcome: OrderOutcome,
        answered_us: u64,
        now_us: u64,
    ) {
        if outcome == OrderOutcome::OtherIncarnation {
            let why = "another incarnation answers";
            self.worker_superseded(order.worker, why, answered_us, now_us);
            return;
        }
        self.count_order(order, outcome, answered_us, now_us);
        if order.task_ref == NO_TASK {
            self.lost_start_answered(order, outcome);
        }
        if outcome == OrderOutcome::Unanswered {
            self.handle_unanswered_order(order, now_us);
            return;
        }
        let Some(job) = self.jobs.get_mut(order.task_ref.job as usize).and_then(Option::as_mut)
        else {
            return;
        };
        let is_lasting = job.step(order.task_ref.task).is_lasting;
        let task = &mut job.tasks[order.task_ref.task as usize];
        if task.run != order.run || task.state.worker() != Some(order.worker) {
            return;
        }
        if is_lasting && !matches!(order.kind, OrderKind::Pace { .. }) {
            let worker = &self.workers[order.worker as usize].entry.id;
            log_answer(order, worker, outcome, now_us);
        }
        match &order.kind {
            OrderKind::Start { .. } => self.start_answered(order, outcome, answered_us, now_us),
            OrderKind::Stop | OrderKind::Pace { .. } if outcome == OrderOutcome::Undelivered => {
                task.has_undelivered_order = true;
            }
            OrderKind::Stop => {
                // A rejected stop bars nothing and is repeated once it is overdue. The run is
                // barred from the first other answer on.
                let is_barred = matches!(outcome, OrderOutcome::Done | OrderOutcome::Old);
                if is_barred && task.answered_us == 0 {
                    task.answered_us = answered_us;
                }
            }
            OrderKind::Pace { .. } => {}
        }
    }

    fn start_answered(
        &mut self,
        order: &Order,
        outcome: OrderOutcome,
        answered_us: u64,
        now_us: u64,
    ) {
        let task_ref = order.task_ref;
        let Some(job) = self.jobs[task_ref.job as usize].as_mut() else { return };
        let task = &mut job.tasks[task_ref.task as usize];
        let may_begin_later = std::mem::take(&mut task.unanswered) > 0;
        task.undelivered_starts += u32::from(outcome == OrderOutcome::Undelivered);
        match outcome {
            OrderOutcome::Done => {
                job.is_started = true;
                task.answered_us = answered_us;
                self.starting -= u32::from(task.mark_running(now_us));
                if matches!(task.state, TaskState::Ordered(_)) {
                    task.state = TaskState::Running(order.worker);
                    task.since_us = now_us;
                    task.progress_us = now_us;
                    task.measured_us = answered_us;
                    self.throttle(order.worker, task_ref, now_us);
                }
            }
            // The run has ended on the worker or was barred. The next poll shows which.
            OrderOutcome::Old => {
                task.answered_us = answered_us;
                task.state = TaskState::Stopping(order.worker);
                self.starting -= u32::from(std::mem::take(&mut task.is_starting));
            }
            OrderOutcome::Fenced => task.answered_us = 0,
            OrderOutcome::Late
            | OrderOutcome::NoRoom
            | OrderOutcome::NoTicket
            | OrderOutcome::Refused
            | OrderOutcome::Withheld
            | OrderOutcome::Malformed
            | OrderOutcome::Unexplained
            | OrderOutcome::OtherIncarnation
            | OrderOutcome::Undelivered
            | OrderOutcome::Unanswered => {
                let end = RunEnd::rejected(outcome, answered_us, may_begin_later);
                self.start_rejected(order, outcome, end, now_us);
            }
        }
    }

    /// Handles a rejected start. The run has not begun and never will, as its number is not reused.
    ///
    /// Guards against an earlier unanswered order for the same run that is carried out later, when
    /// there is capacity: the task would run twice. The rejection is no proof then (`end` is `None`),
    /// nor is one for an unknown reason, and a stop bars the run before the task is placed again.
    fn start_rejected(
        &mut self,
        order: &Order,
        outcome: OrderOutcome,
        end: Option<RunEnd>,
        now_us: u64,
    ) {
        let worker = &mut self.workers[order.worker as usize];
        let backoff_us = match outcome {
            OrderOutcome::NoRoom => {
                self.counts.no_room += 1;
                NO_CAPACITY_BACKOFF_US
            }
            OrderOutcome::Withheld => 0,
            _ => REFUSED_BACKOFF_US,
        };
        worker.closed_until_us = worker.closed_until_us.max(now_us + backoff_us);
        log::warn!(event = "start_rejected", job = order.task.job.as_str(), task:% = order.task,
            run = order.run, worker = worker.entry.id.as_str(),
            worker_started_ms = worker.started_ms, outcome:? = outcome,
            proof = end.map_or("none", |end| end.name()),
            evidence_ms = end.map_or(0, |end| end.age_ms(now_us)),
            used_cpu_milli = worker.used.cpu_milli, used_memory_mb = worker.used.memory_mb; "");
        let is_stopping = matches!(self.task_state(order.task_ref), TaskState::Stopping(_));
        if is_stopping && end.is_none() {
            return;
        }
        if outcome == OrderOutcome::NoTicket {
            self.ticket_rejected(order);
        }
        self.mark_dirty(order.task_ref.job, now_us);
        match end {
            Some(end) => self.end_run(order.task_ref, TaskState::Waiting, end, now_us),
            None => {
                self.set_state(order.task_ref, TaskState::Stopping(order.worker), now_us);
                self.push_order(order.task_ref, order.worker, OrderKind::Stop, now_us);
            }
        }
    }

    /// Handles an order without an answer, which may be carried out seconds later. A start is sent
    /// again, which is idempotent. After [`MAX_UNANSWERED_ORDERS`], or if the worker takes no more
    /// starts, the run is stopped, which bars it.
    fn handle_unanswered_order(&mut self, order: &Order, now_us: u64) {
        // A worker that answers polls is responsive. One unanswered order does not keep other tasks
        // away from it.
        let worker = &self.workers[order.worker as usize];
        let takes_starts = worker.takes_starts() && !worker.is_over_capacity();
        let answered_us = self.workers[order.worker as usize].answered_us;
        if now_us.saturating_sub(answered_us) > RECENT_ANSWER_US {
            self.worker_silent(order.worker, now_us);
        }
        let Some(job) = self.jobs.get_mut(order.task_ref.job as usize).and_then(Option::as_mut)
        else {
            return;
        };
        let task = &mut job.tasks[order.task_ref.task as usize];
        if task.run != order.run || task.state.worker() != Some(order.worker) {
            return;
        }
        let worker = &self.workers[order.worker as usize].entry.id;
        log_answer(order, worker, OrderOutcome::Unanswered, now_us);
        task.unanswered += 1;
        task.unanswered_starts += u32::from(matches!(order.kind, OrderKind::Start { .. }));
        let gives_up = task.unanswered >= MAX_UNANSWERED_ORDERS || !takes_starts;
        match (&order.kind, task.state) {
            (OrderKind::Start { .. }, TaskState::Ordered(worker)) if gives_up => {
                task.unanswered = 0;
                self.set_state(order.task_ref, TaskState::Stopping(worker), now_us);
                self.push_order(order.task_ref, worker, OrderKind::Stop, now_us);
            }
            (OrderKind::Start { .. }, TaskState::Ordered(_))
            | (OrderKind::Stop, TaskState::Stopping(_)) => self.orders.push(order.clone()),
            (OrderKind::Pace { percent }, TaskState::Running(_))
                if *percent == task.pace_percent =>
            {
                self.orders.push(order.clone());
            }
            _ => {}
        }
    }

    /// Repeats the stops and paces that were not sent to a worker, now that it answers.
    pub(super) fn repeat_undelivered_orders(&mut self, index: WorkerIndex, now_us: u64) {
        for task_ref in self.workers[index as usize].tasks.clone() {
            let Some(job) = self.job_mut(task_ref.job) else { continue };
            let task = &mut job.tasks[task_ref.task as usize];
            if !std::mem::take(&mut task.has_undelivered_order) {
                continue;
            }
            let percent = task.pace_percent;
            match task.state {
                TaskState::Stopping(_) => {
                    self.push_order(task_ref, index, OrderKind::Stop, now_us);
                }
                TaskState::Running(_) => {
                    self.push_order(task_ref, index, OrderKind::Pace { percent }, now_us);
                }
                _ => {}
            }
        }
    }
}

/// Logs the outcome of a start or stop, with the time since the decision.
fn log_answer(order: &Order, worker: &str, outcome: OrderOutcome, now_us: u64) {
    log::info!(event = "order_answered", kind = order.kind.name(), job = order.task.job.as_str(),
        task:% = order.task, run = order.run, worker = worker,
        outcome:? = outcome,
        decided_ms = now_us.saturating_sub(order.decided_us) / US_PER_MS; "");
}
