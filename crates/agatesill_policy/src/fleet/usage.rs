//! Utilisation of the workers by kind of task, for logs and metrics.

use super::job::{Job, JobPhase, Step, TaskState};
use super::state::Fleet;
use super::worker::Worker;

/// Kind of a task by its demand on a worker, which decides where it may wait and what it competes
/// for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum TaskKind {
    /// Runs until its job is cancelled, on reserved CPU.
    LongRunning,
    /// Runs on CPU time that others leave unused.
    BestEffort,
    /// Runs to completion on reserved CPU.
    Plain,
}

impl TaskKind {
    /// Returns the kind of a step's tasks.
    pub fn of(step: &Step) -> Self {
        if step.is_lasting {
            TaskKind::LongRunning
        } else if step.fills {
            TaskKind::BestEffort
        } else {
            TaskKind::Plain
        }
    }

    /// Name used in logs.
    pub fn name(self) -> &'static str {
        match self {
            TaskKind::LongRunning => "lasting",
            TaskKind::BestEffort => "filling",
            TaskKind::Plain => "plain",
        }
    }
}

/// Waiting tasks of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
    /// Number of waiting tasks.
    pub tasks: u32,
    /// CPU requested by these tasks.
    pub cpu_milli: u64,
    /// Longest wait among them.
    pub longest_ms: u64,
}

/// Utilisation of the open workers.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetUsage {
    /// Number of workers that take new tasks.
    pub workers: u32,
    /// CPU capacity of these workers.
    pub capacity_milli: u64,
    /// CPU reserved by long-running tasks.
    pub lasting_milli: u64,
    /// CPU reserved by tasks that run to completion.
    pub plain_milli: u64,
    /// CPU requested by best-effort tasks.
    pub filling_milli: u64,
    /// Memory that is not allocated.
    pub free_memory_mb: u64,
    /// Mean ratio of tail response time to target over the workers with serving tasks, in percent.
    pub mean_tail_percent: u64,
    /// Number of workers with a serving task over its target.
    pub pressed_workers: u32,
    /// Waiting long-running tasks.
    pub lasting: Waiting,
    /// Waiting best-effort tasks.
    pub filling: Waiting,
    /// Waiting tasks that run to completion.
    pub plain: Waiting,
}

impl Fleet {
    /// Returns the current utilisation.
    pub fn usage(&self, now_us: u64) -> FleetUsage {
        let mut usage = FleetUsage::default();
        let mut tails = Vec::new();
        for worker in self.workers.iter().filter(|worker| worker.is_open(now_us)) {
            usage.add_worker(worker);
            if worker.mean_tail > 0.0 {
                tails.push(worker.mean_tail);
            }
        }
        let sum: f64 = tails.iter().sum();
        usage.mean_tail_percent = (sum * 100.0 / tails.len().max(1) as f64) as u64;
        for group in &self.waiting {
            let Some(job) = self.job(group.job).filter(|job| job.phase == JobPhase::Active) else {
                continue;
            };
            usage.add_waiting(job, group.occurrence, group.step, now_us);
        }
        usage
    }
}

impl FleetUsage {
    fn add_worker(&mut self, worker: &Worker) {
        self.workers += 1;
        self.capacity_milli += worker.entry.capacity.cpu_milli;
        self.lasting_milli += worker.long_running_cpu_milli;
        self.plain_milli += worker.plain_cpu_milli();
        self.filling_milli += worker.best_effort_cpu_milli;
        self.free_memory_mb += worker.free().memory_mb;
        self.pressed_workers += u32::from(worker.worst_tail > 1.0);
    }

    fn add_waiting(&mut self, job: &Job, occurrence: u32, step_index: u32, now_us: u64) {
        let step = &job.spec.steps[step_index as usize];
        let waiting = match TaskKind::of(step) {
            TaskKind::LongRunning => &mut self.lasting,
            TaskKind::BestEffort => &mut self.filling,
            TaskKind::Plain => &mut self.plain,
        };
        for task in job.tasks_of(occurrence, step_index) {
            let task = &job.tasks[task as usize];
            if task.state == TaskState::Waiting {
                let waited_ms = task.idle_us(now_us) / super::US_PER_MS;
                waiting.tasks += 1;
                waiting.cpu_milli += step.need.cpu_milli;
                waiting.longest_ms = waiting.longest_ms.max(waited_ms);
            }
        }
    }
}
