//! Tasks that fill beside tasks that serve.

use super::US_PER_MS;
use super::job::{Step, TaskRef, TaskState};
use super::orders::OrderKind;
use super::state::Fleet;
use super::worker::{RunRow, Worker, WorkerIndex};

/// What is learned about images.
#[derive(Debug, Default)]
pub(super) struct Colocation {}

impl Fleet {
    /// Reacts to the tails that a worker reported.
    pub(super) fn balance(&mut self, index: WorkerIndex, rows: &[RunRow], now_us: u64) {
        let mut worst: f64 = 0.0;
        let mut serving = 0;
        let mut filling: Vec<(TaskRef, u64)> = Vec::new();
        let mut trace = String::new();
        for row in rows {
            let Some(slot) = self.by_id.get(&row.task.job).copied() else { continue };
            let Some(job) = self.job(slot) else { continue };
            let Some(place) = job.find(row.task.occurrence, row.task.step, row.task.index) else {
                continue;
            };
            let step = job.step(place);
            let at = TaskRef { job: slot, task: place };
            if step.target_ms > 0 && row.percent >= 100 {
                worst = worst.max(row.figure as f64 / step.target_ms as f64);
                serving += 1;
                trace += &format!("S {} {} {} {};", step.image, step.target_ms, row.figure, step.need.cpu_milli);
            } else if step.fills {
                filling.push((at, row.figure));
                trace += &format!("F {} {} {} {};", step.image, job.tasks[place as usize].pace_percent, row.figure, step.need.cpu_milli);
            } else {
                trace += &format!("P {} {} {};", step.image, row.figure, step.need.cpu_milli);
            }
        }
        log::debug!(event = "beside", worker = self.workers[index as usize].entry.id.as_str(),
            cap = self.workers[index as usize].entry.capacity.cpu_milli,
            at_us = now_us, rows = trace.as_str(); "");
        if serving == 0 {
            return;
        }
        let worker = &mut self.workers[index as usize];
        if worst <= 1.0 {
            worker.over_since_us = 0;
            if worst < 0.7 {
                self.pace_all(index, &filling, |percent| (percent + 25).min(100));
            }
            return;
        }
        if worker.over_since_us == 0 {
            worker.over_since_us = now_us;
        }
        let over_us = now_us - worker.over_since_us;
        if over_us > 1_800 * US_PER_MS {
            self.pace_all(index, &filling, |_| 0);
        } else if over_us > 900 * US_PER_MS {
            self.pace_all(index, &filling, |percent| percent.min(25));
        }
    }

    fn pace_all(&mut self, index: WorkerIndex, filling: &[(TaskRef, u64)], next: impl Fn(u32) -> u32) {
        for (at, _) in filling {
            let Some(job) = self.jobs[at.job as usize].as_mut() else { continue };
            let task = &mut job.tasks[at.task as usize];
            let percent = next(task.pace_percent);
            if percent == task.pace_percent || !matches!(task.state, TaskState::Running(_)) {
                continue;
            }
            task.pace_percent = percent;
            self.counts.paced += 1;
            self.order(*at, index, OrderKind::Pace { percent });
        }
    }

    /// How well a task that fills goes to a worker: least crowded first, workers without lasting
    /// tasks before others.
    pub(super) fn filling_score(&self, step: &Step, _index: WorkerIndex, worker: &Worker) -> f64 {
        let capacity = worker.entry.capacity.cpu_milli as f64;
        let reserved = worker.used.cpu_milli as f64;
        let wanted = (worker.filling_cpu_milli + step.need.cpu_milli) as f64;
        if worker.lasting == 0 {
            return wanted / (capacity - reserved).max(1.0);
        }
        let idle = capacity - reserved * 0.55;
        1.3 + wanted / idle.max(1.0)
    }
}
