//! Explanations of a job's waiting reasons, history and learned estimates.

use super::super::{Cell, Job};
use super::estimates::class_of;
use super::placement::PlacementError;
use super::queue::PriorityTier;
use super::{BatchPolicy, History};

crate::value_type! {
    /// Explanation of a job's state for its submitter and for operators.
    #[derive(Default)]
    pub struct Explanation {
        /// Why tasks wait; empty if none does.
        pub waits: Vec<String>,
        /// Placements, evictions, throttles and failures of its tasks, oldest first.
        pub history: Vec<String>,
        /// Estimates learned for jobs of its class.
        pub learned: Vec<String>,
        /// Estimated time until the next waiting task starts; `None` without an estimate.
        pub likely_start_ms: Option<u64>,
    }
}

impl BatchPolicy {
    /// Explains a job: its waiting reasons, history and learned estimates.
    pub fn explain(&self, now_ms: u64, cell: &Cell, id: &str) -> Option<Explanation> {
        let job = cell.job(id)?;
        let waits = self.wait_reasons(now_ms, job);
        let likely_start_ms = if waits.is_empty() { None } else { self.likely_start_ms(job) };
        let history = History::lines(&self.history, id);
        Some(Explanation { waits, history, learned: self.learned(job), likely_start_ms })
    }

    fn wait_reasons(&self, now_ms: u64, job: &Job) -> Vec<String> {
        let waiting = job.waiting().count();
        if job.outcome.is_some() || waiting == 0 {
            return Vec::new();
        }
        if let Some(reason) = &job.parked {
            return vec![format!("it cannot run on the current workers: {reason}")];
        }
        if let Some(cell) = &job.forwarded {
            return vec![format!("it moved to cell {cell}")];
        }
        if !job.blocked_on.is_empty() {
            let on: Vec<&str> = job.blocked_on.iter().map(String::as_str).collect();
            return vec![format!("it waits until these jobs are done: {}", on.join(", "))];
        }
        let Some(queued) = self.queue.job(&job.spec.id) else {
            return vec![
                "its failed tasks wait for the back-off before their next attempt".to_owned(),
            ];
        };
        let mut waits = vec![format!("{waiting} tasks wait")];
        waits.extend(self.waits.get(&job.spec.id).map(|why| {
            match why {
                PlacementError::InsufficientCapacity => {
                    "no worker that accepts tasks has enough free capacity"
                }
                PlacementError::Promise => {
                    "a service's latency target would be at risk on the workers with free capacity"
                }
                PlacementError::Excluded => {
                    "workers with free capacity are held for other tasks or failed this job before"
                }
            }
            .to_owned()
        }));
        if let Some(team) = self.queue.team(&job.spec.team)
            && team.used_cpu_milli >= self.config.quota_cpu_milli(&job.spec.team)
        {
            waits.push(format!("team {} has used its whole quota", job.spec.team));
        }
        let ahead = self.tasks_ahead(job);
        if queued.tier == PriorityTier::Shared {
            waits.push(format!("{ahead} tasks of team {} are ahead of it", job.spec.team));
        }
        if queued.infeasible {
            waits.push(
                "its deadline can no longer be met; jobs that can meet theirs go first".into(),
            );
        } else if job.spec.deadline_ms > 0 {
            let run_ms = self.estimates.run_ms(&job.spec);
            let slack_ms = queued.due_ms.saturating_sub(now_ms + run_ms);
            waits.push(format!("its latest start is in {slack_ms} ms"));
        }
        waits
    }

    /// Number of ready tasks of the same team that come before the job's.
    fn tasks_ahead(&self, job: &Job) -> usize {
        let Some(team) = self.queue.team(&job.spec.team) else { return 0 };
        let preceding = team.order.iter().take_while(|(_, _, id)| *id != job.spec.id);
        preceding.filter_map(|(_, _, id)| self.queue.job(id)).map(|queued| queued.ready.len()).sum()
    }

    /// Estimates the time from the team's recent start rate and the number of tasks ahead.
    fn likely_start_ms(&self, job: &Job) -> Option<u64> {
        let team = self.queue.team(&job.spec.team)?;
        if job.parked.is_some() || team.start_interval_ms <= 0.0 {
            return None;
        }
        Some((team.start_interval_ms * (self.tasks_ahead(job) + 1) as f64) as u64)
    }

    fn learned(&self, job: &Job) -> Vec<String> {
        let class = class_of(&job.spec);
        let mut learned = Vec::new();
        if let Some(known) = self.estimates.class(class) {
            learned.push(format!(
                "tasks of class {class} run {:.2} times as long as declared ({} samples)",
                known.time_ratio, known.time_samples
            ));
            learned.push(format!(
                "they use up to {:.2} of the declared CPU and {:.2} of the declared memory",
                known.cpu_ratio, known.memory_ratio
            ));
        }
        for service in self.interference.services() {
            if let Some(class) = self.interference.known_class(class) {
                let slowdown = self.interference.slowdown(service, 1.0, class);
                learned.push(format!(
                    "one core of it raises the tail latency of {service} by {:.0}% (+-{:.0}%)",
                    (slowdown.mean.exp() - 1.0) * 100.0,
                    slowdown.deviation * 100.0
                ));
            }
        }
        if let Some(health) = self.failures.job(&job.spec.id)
            && !health.failed_on.is_empty()
        {
            learned.push(format!("it failed on workers {:?}", health.failed_on));
        }
        learned
    }
}
