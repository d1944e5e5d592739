//! How full the workers are, by kind of work, in one line for logs and metrics.

use super::job::{Job, JobPhase, Step, TaskState};
use super::state::Fleet;
use super::worker::Worker;

/// What a task asks of a worker, which decides where it may wait and what it competes for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskKind {
    /// Runs until its job is cancelled, on processors reserved for it.
    LongRunning,
    /// Runs on processors that others leave unused.
    BestEffort,
    /// Runs to its end on processors reserved for it.
    Plain,
}

impl TaskKind {
    /// The kind of a step's tasks.
    pub fn of(step: &Step) -> Self {
        if step.is_lasting {
            TaskKind::LongRunning
        } else if step.fills {
            TaskKind::BestEffort
        } else {
            TaskKind::Plain
        }
    }

    /// Its name in logs.
    pub fn name(self) -> &'static str {
        match self {
            TaskKind::LongRunning => "lasting",
            TaskKind::BestEffort => "filling",
            TaskKind::Plain => "plain",
        }
    }
}

/// Tasks of one kind that wait.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Waiting {
    /// Tasks whose turn has come.
    pub tasks: u32,
    /// Processors that they ask for.
    pub cpu_milli: u64,
    /// Longest wait among them.
    pub longest_ms: u64,
}

/// How full the open workers are.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct FleetUsage {
    /// Workers that take new tasks.
    pub workers: u32,
    /// Their processors.
    pub capacity_milli: u64,
    /// Processors reserved by lasting tasks.
    pub lasting_milli: u64,
    /// Processors reserved by plain tasks.
    pub plain_milli: u64,
    /// Processors asked for by tasks that fill.
    pub filling_milli: u64,
    /// Memory that is not reserved.
    pub free_memory_mb: u64,
    /// Mean tail over target of the workers that serve, in hundredths.
    pub mean_tail_percent: u64,
    /// Workers with a serving task over its target.
    pub pressed_workers: u32,
    /// Lasting tasks that wait.
    pub lasting: Waiting,
    /// Tasks that fill and wait.
    pub filling: Waiting,
    /// Plain tasks that wait.
    pub plain: Waiting,
}

impl Fleet {
    /// How full the workers are now.
    pub fn usage(&self, now_us: u64) -> FleetUsage {
        let mut fleet = FleetUsage::default();
        let mut tails = Vec::new();
        for worker in self.workers.iter().filter(|worker| worker.is_open(now_us)) {
            fleet.add_worker(worker);
            if worker.mean_tail > 0.0 {
                tails.push(worker.mean_tail);
            }
        }
        let sum: f64 = tails.iter().sum();
        fleet.mean_tail_percent = (sum * 100.0 / tails.len().max(1) as f64) as u64;
        for group in &self.waiting {
            let Some(job) = self.job(group.job).filter(|job| job.phase == JobPhase::Active) else {
                continue;
            };
            fleet.add_waiting(job, group.occurrence, group.step, now_us);
        }
        fleet
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
