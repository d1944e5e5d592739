//! When a worker is avoided for being slow, and when it is trusted again.
//!
//! Load pattern: three workers in ten are slow for many seconds, some of them on and off. If each
//! were opened again after a fixed time, urgent steps would have tasks on them every time. A slow
//! worker is closed until the tasks that still run there, or a best-effort task that is placed to
//! try it, show that it has recovered.

use super::US_PER_MS;
use super::place::PlacementRequest;
use super::state::Fleet;
use super::worker::{Worker, WorkerIndex};

/// Speed below which a worker is slow, as a fraction of the usual one. Tasks on healthy workers
/// differ by less.
const SLOW_SPEED: f64 = 0.45;

/// Speed from which a slow worker has recovered; higher than [`SLOW_SPEED`], so that a worker whose
/// speed varies does not open and close all the time.
const RECOVERED_SPEED: f64 = 0.75;

/// Time for which a closure is extended by each answer of a slow worker, longer than the time
/// between two answers.
const CLOSURE_US: u64 = 1_500 * US_PER_MS;

/// Time without a best-effort task on a slow worker before another one is placed to try it.
const TRIAL_INTERVAL_US: u64 = 1_500 * US_PER_MS;

/// Time without a sample after which a slow worker is opened: nothing runs there and no best-effort
/// task waits to try it.
const MAX_UNKNOWN_US: u64 = 6_000 * US_PER_MS;

impl Fleet {
    /// Closes or opens a worker of a service with load control by the estimate of its speed, and
    /// moves the tasks that end sooner elsewhere.
    pub(super) fn avoid_slow_worker(&mut self, index: WorkerIndex, now_us: u64) {
        let is_mostly_slow =
            self.slow_evacuation.is_mostly_slow(&self.workers[index as usize].entry.service);
        let worker = &mut self.workers[index as usize];
        let (slow, usual) = worker.speed.take_samples();
        let speed = worker.speed.estimate.speed(now_us);
        let is_certain = worker.speed.estimate.is_certain(now_us);
        if is_certain {
            worker.speed.last_evidence_us = now_us;
        }
        let is_unknown = now_us.saturating_sub(worker.speed.last_evidence_us) >= MAX_UNKNOWN_US;
        if worker.speed.is_slow && (is_unknown || (is_certain && speed >= RECOVERED_SPEED)) {
            self.trust_worker(index, speed, is_unknown, now_us);
        } else if !worker.speed.is_slow && is_certain && speed < SLOW_SPEED {
            worker.speed.is_slow = true;
            worker.speed.next_trial_us = now_us + TRIAL_INTERVAL_US;
            self.counts.slow_workers += 1;
            log::warn!(event = "worker_slow", worker = worker.entry.id.as_str(),
                speed_percent = (speed * 100.0) as u32,
                confidence_percent = (worker.speed.estimate.confidence(now_us) * 100.0) as u32,
                slow = slow, usual = usual; "worker is slow; placing no new tasks on it");
        }
        let worker = &mut self.workers[index as usize];
        if !worker.speed.is_slow || is_mostly_slow {
            return;
        }
        if now_us + CLOSURE_US > worker.closed_until_us {
            worker.closed_until_us = now_us + CLOSURE_US;
            worker.speed.closed_until_us = worker.closed_until_us;
        }
        if worker.tasks.len() > worker.lasting as usize {
            worker.speed.next_trial_us = now_us + TRIAL_INTERVAL_US;
        }
        if slow > usual {
            self.move_tasks_off_slow_worker(index, now_us);
        }
    }

    fn trust_worker(&mut self, index: WorkerIndex, speed: f64, is_unknown: bool, now_us: u64) {
        let worker = &mut self.workers[index as usize];
        worker.speed.is_slow = false;
        if worker.closed_until_us == worker.speed.closed_until_us {
            worker.closed_until_us = now_us;
        }
        log::info!(event = "worker_recovered", worker = worker.entry.id.as_str(),
            speed_percent = (speed * 100.0) as u32, is_unknown = is_unknown;
            "placing tasks on the worker again");
    }

    /// Whether a best-effort task may be placed on a worker that is closed for being slow, to try
    /// it. One such task runs there at a time.
    pub(super) fn may_try(
        &self,
        request: &PlacementRequest<'_>,
        worker: &Worker,
        now_us: u64,
    ) -> bool {
        request.step.fills
            && worker.speed.is_slow
            && worker.closed_until_us == worker.speed.closed_until_us
            && now_us >= worker.speed.next_trial_us
            && worker.tasks.len() == worker.lasting as usize
    }
}
