//! How orders to workers went, and those that nobody answered.

use super::US_PER_MS;
use super::job::TaskState;
use super::orders::{Order, OrderKind, OrderOutcome};
use super::state::Fleet;

/// No new tasks at a worker for this long after it rejected one for want of room. Its room is then
/// known to differ from the ledger's; a second start at once would be rejected as well.
const NO_ROOM_PAUSE_US: u64 = 400 * US_PER_MS;

/// The same after an answer that says that it is unhealthy.
const REFUSED_PAUSE_US: u64 = 1_000 * US_PER_MS;

/// Unanswered orders to start a run after which the run is given up: it is stopped, which bars it
/// for good, and started elsewhere under a higher number.
const MOST_UNANSWERED: u32 = 2;

/// Age of the last answer to a poll up to which a worker counts as answering.
const ANSWERS_LATELY_US: u64 = 1_000 * US_PER_MS;

impl Fleet {
    /// Takes in how an order went.
    pub fn order_answered(&mut self, order: &Order, outcome: OrderOutcome, now_us: u64) {
        if outcome == OrderOutcome::OtherIncarnation {
            self.worker_gone(order.worker, "another incarnation answers", now_us);
            return;
        }
        if outcome == OrderOutcome::Unanswered {
            self.worker_silent_order(order, now_us);
            return;
        }
        let Some(job) = self.jobs.get_mut(order.at.job as usize).and_then(Option::as_mut) else {
            return;
        };
        let task = &mut job.tasks[order.at.task as usize];
        if task.run != order.run || task.state.worker() != Some(order.worker) {
            return;
        }
        match &order.kind {
            OrderKind::Start { .. } => self.start_answered(order, outcome, now_us),
            OrderKind::Stop => task.answered_us = now_us,
            OrderKind::Pace { .. } => {}
        }
    }

    fn start_answered(&mut self, order: &Order, outcome: OrderOutcome, now_us: u64) {
        let at = order.at;
        let Some(job) = self.jobs[at.job as usize].as_mut() else { return };
        let task = &mut job.tasks[at.task as usize];
        let may_begin_later = std::mem::take(&mut task.unanswered) > 0;
        match outcome {
            OrderOutcome::Done => {
                job.is_started = true;
                task.answered_us = now_us;
                self.starting -= u32::from(task.began_to_run());
                if matches!(task.state, TaskState::Ordered(_)) {
                    task.state = TaskState::Running(order.worker);
                    task.since_us = now_us;
                    task.progress_us = now_us;
                    task.measured_us = now_us;
                }
            }
            // It ran there and has ended, or was barred: the next poll tells which.
            OrderOutcome::Old => {
                task.answered_us = now_us;
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
            | OrderOutcome::OtherIncarnation
            | OrderOutcome::Unanswered => {
                self.start_rejected(order, outcome, may_begin_later, now_us);
            }
        }
    }

    /// A worker rejected a start: the run has not begun and never will, as its number is not used
    /// again.
    ///
    /// Guards against an earlier order for the same run that went unanswered and is carried out
    /// later, when there is room: the task would run there and elsewhere. A stop bars the run before
    /// the task goes on.
    fn start_rejected(
        &mut self,
        order: &Order,
        outcome: OrderOutcome,
        may_begin_later: bool,
        now_us: u64,
    ) {
        let worker = &mut self.workers[order.worker as usize];
        let pause_us = match outcome {
            OrderOutcome::NoRoom => {
                self.counts.no_room += 1;
                NO_ROOM_PAUSE_US
            }
            OrderOutcome::Withheld => 0,
            _ => REFUSED_PAUSE_US,
        };
        worker.closed_until_us = worker.closed_until_us.max(now_us + pause_us);
        log::warn!(event = "start_rejected", job = order.task.job.as_str(),
            step = order.task.step, index = order.task.index, run = order.run,
            worker = worker.entry.id.as_str(), outcome:? = outcome,
            may_begin_later = may_begin_later, used_cpu_milli = worker.used.cpu_milli,
            used_memory_mb = worker.used.memory_mb; "");
        if matches!(self.task_state(order.at), TaskState::Stopping(_)) {
            return;
        }
        self.mark_dirty(order.at.job, now_us);
        if may_begin_later {
            self.set_state(order.at, TaskState::Stopping(order.worker), now_us);
            self.push_order(order.at, order.worker, OrderKind::Stop, now_us);
            return;
        }
        self.release(order.at, TaskState::Waiting, now_us);
    }

    /// An order without an answer may be carried out seconds later. A start is sent again, which is
    /// harmless if it was carried out; after the second time, or where no start may be sent any more,
    /// the run is stopped, which bars it.
    fn worker_silent_order(&mut self, order: &Order, now_us: u64) {
        // A worker that answers polls is there; it left one order unanswered, and others need not
        // keep away from it.
        let worker = &self.workers[order.worker as usize];
        let takes_starts = worker.takes_starts() && !worker.is_over_capacity();
        let answered_us = self.workers[order.worker as usize].answered_us;
        if now_us.saturating_sub(answered_us) > ANSWERS_LATELY_US {
            self.worker_silent(order.worker, now_us);
        }
        let Some(job) = self.jobs.get_mut(order.at.job as usize).and_then(Option::as_mut) else {
            return;
        };
        let task = &mut job.tasks[order.at.task as usize];
        if task.run != order.run || task.state.worker() != Some(order.worker) {
            return;
        }
        task.unanswered += 1;
        let gives_up = task.unanswered >= MOST_UNANSWERED || !takes_starts;
        match (&order.kind, task.state) {
            (OrderKind::Start { .. }, TaskState::Ordered(worker)) if gives_up => {
                task.unanswered = 0;
                self.set_state(order.at, TaskState::Stopping(worker), now_us);
                self.push_order(order.at, worker, OrderKind::Stop, now_us);
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
}
