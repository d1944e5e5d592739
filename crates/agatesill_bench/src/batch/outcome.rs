//! Measurements of one simulation run.

use std::collections::BTreeMap;

use agatesill_policy::prelude::*;

use super::cluster_model::ClusterModel;
use crate::result::Series;

/// Time that one point of a series covers.
const SERIES_POINT_MS: u64 = 15_000;

/// History of one job in the run.
#[derive(Clone, Debug, Default)]
pub struct JobRecord {
    /// When the job ended.
    pub closed_ms: Option<u64>,
    /// Outcome, once the job has ended.
    pub outcome: Option<JobOutcome>,
    /// When its first task started.
    pub first_start_ms: Option<u64>,
    /// When the job was cancelled.
    pub cancelled_ms: Option<u64>,
    /// Number of starts of each task.
    pub starts: Vec<u32>,
    /// Time of the latest start of each task.
    pub last_start_ms: Vec<u64>,
    /// Whether a task started after the cancellation.
    pub started_after_cancel: bool,
    /// Number of evictions of each task.
    pub evictions: Vec<u32>,
}

/// A task that was live on a lost worker.
#[derive(Clone, Copy, Debug)]
pub struct Loss {
    /// Index of its job.
    pub job: usize,
    /// Index of the task in its job.
    pub index: usize,
    /// When the worker stopped.
    pub at_ms: u64,
    /// When the task was restarted elsewhere.
    pub restarted_ms: Option<u64>,
}

/// The figures of one run.
#[derive(Clone, Debug, Default)]
pub struct SimOutcome {
    /// Jobs in the order of the cluster model.
    pub jobs: Vec<JobRecord>,
    /// Run time summed over all services.
    pub service_ms: u64,
    /// Part of `service_ms` over the latency objective.
    pub outside_ms: u64,
    /// Completed batch work in processor milliseconds.
    pub work_ms: f64,
    /// Work lost or spent on moving tasks, in processor milliseconds.
    pub wasted_ms: f64,
    /// Tasks that were live on lost workers.
    pub losses: Vec<Loss>,
    /// Jobs refused at submission.
    pub refused: u64,
    /// Highest number of task starts in a second.
    pub most_starts_s: u64,
    /// Number of evictions.
    pub evictions: u64,
    /// Number of throttles set or lifted.
    pub throttles: u64,
    /// Highest number of store writes in a second.
    pub most_writes_s: u64,
    /// End of the run.
    pub end_ms: u64,
    /// Work in processor milliseconds by team and minute.
    pub team_work: BTreeMap<(String, u64), f64>,
    /// Quarantines: worker, start and, if released, end in milliseconds.
    pub quarantines: Vec<(WorkerId, u64, Option<u64>)>,
    /// Time at which each parked job was parked.
    pub parked: BTreeMap<String, u64>,
    writes: (u64, u64),
    starts: (u64, u64),
    teams: Vec<String>,
    violation_points: BTreeMap<u64, (u64, u64)>,
    running_points: BTreeMap<u64, usize>,
}

impl SimOutcome {
    /// Creates an empty record for the jobs of a cluster model.
    pub fn new(model: &ClusterModel) -> Self {
        let seen = model.jobs.iter().map(|job| JobRecord {
            starts: vec![0; job.work_ms.len()],
            last_start_ms: vec![0; job.work_ms.len()],
            evictions: vec![0; job.work_ms.len()],
            ..JobRecord::default()
        });
        Self {
            jobs: seen.collect(),
            teams: model.jobs.iter().map(|job| job.spec.team.clone()).collect(),
            ..Self::default()
        }
    }

    pub(super) fn write(&mut self, now_ms: u64) {
        let second = now_ms / 1_000;
        if self.writes.0 != second {
            self.writes = (second, 0);
        }
        self.writes.1 += 1;
        self.most_writes_s = self.most_writes_s.max(self.writes.1);
    }

    pub(super) fn record_delta(
        &mut self,
        now_ms: u64,
        delta: &CellDelta,
        cell: &Cell,
        jobs: &BTreeMap<String, usize>,
    ) {
        match delta {
            CellDelta::Evict { task, .. } => {
                self.evictions += 1;
                if let Some((job, index)) = cell.locate(task)
                    && let Some(seen) = jobs.get(&job.spec.id)
                {
                    self.jobs[*seen].evictions[index] += 1;
                }
            }
            CellDelta::Cancel { job } => {
                if let Some(seen) = jobs.get(job) {
                    self.jobs[*seen].cancelled_ms = Some(now_ms);
                }
            }
            CellDelta::Quarantine { worker } => self.quarantines.push((*worker, now_ms, None)),
            CellDelta::Release { worker } => {
                let open = |entry: &&mut (WorkerId, u64, Option<u64>)| {
                    entry.0 == *worker && entry.2.is_none()
                };
                if let Some(entry) = self.quarantines.iter_mut().find(open) {
                    entry.2 = Some(now_ms);
                }
            }
            CellDelta::Park { job, .. } => {
                self.parked.insert(job.clone(), now_ms);
            }
            _ => {}
        }
    }

    pub(super) fn record_start(&mut self, at_ms: u64, job: usize, index: usize) {
        let second = at_ms / 1_000;
        if self.starts.0 != second {
            self.starts = (second, 0);
        }
        self.starts.1 += 1;
        self.most_starts_s = self.most_starts_s.max(self.starts.1);
        let seen = &mut self.jobs[job];
        seen.last_start_ms[index] = at_ms;
        let matches_task = |loss: &&mut Loss| {
            loss.job == job && loss.index == index && loss.restarted_ms.is_none()
        };
        if let Some(loss) = self.losses.iter_mut().find(matches_task) {
            loss.restarted_ms = Some(at_ms);
        }
        seen.starts[index] += 1;
        seen.first_start_ms.get_or_insert(at_ms);
        seen.started_after_cancel |= seen.cancelled_ms.is_some();
    }

    pub(super) fn job_closed(&mut self, now_ms: u64, job: usize, outcome: JobOutcome) {
        self.jobs[job].closed_ms = Some(now_ms);
        self.jobs[job].outcome = Some(outcome);
    }

    pub(super) fn record_service_step(&mut self, now_ms: u64, step_ms: u64, tail_ratio_ln: f64) {
        self.service_ms += step_ms;
        let point = self.violation_points.entry(now_ms / SERIES_POINT_MS).or_default();
        point.1 += step_ms;
        if tail_ratio_ln > 0.0 {
            self.outside_ms += step_ms;
            point.0 += step_ms;
        }
    }

    pub(super) fn record_work(&mut self, now_ms: u64, job: usize, work: f64) {
        self.work_ms += work;
        let key = (self.teams[job].clone(), now_ms / 60_000);
        *self.team_work.entry(key).or_default() += work;
    }

    pub(super) fn running(&mut self, now_ms: u64, tasks: usize) {
        self.running_points.insert(now_ms / SERIES_POINT_MS, tasks);
    }

    pub(super) fn finish(&mut self, now_ms: u64) {
        self.end_ms = now_ms;
    }

    /// Number of jobs that completed successfully.
    pub fn done(&self) -> usize {
        self.jobs.iter().filter(|job| job.outcome == Some(JobOutcome::Done)).count()
    }

    /// Share of service time over the latency objective, in percent.
    pub fn outside_percent(&self) -> f64 {
        self.outside_ms as f64 * 100.0 / (self.service_ms as f64).max(1.0)
    }

    /// Wasted work in percent of the completed work.
    pub fn wasted_percent(&self) -> f64 {
        self.wasted_ms * 100.0 / self.work_ms.max(1.0)
    }

    /// Series for the report.
    pub fn series(&self) -> Vec<Series> {
        let seconds = |point: u64| (point * SERIES_POINT_MS) as f64 / 1_000.0;
        let outside = self.violation_points.iter().map(|(point, (outside, all))| {
            (seconds(*point), *outside as f64 * 100.0 / (*all as f64).max(1.0))
        });
        let running =
            self.running_points.iter().map(|(point, tasks)| (seconds(*point), *tasks as f64));
        let line = |name: &str, y_label: &str, points: Vec<(f64, f64)>| Series {
            plot: name.to_owned(),
            x_label: "time (s)".to_owned(),
            y_label: y_label.to_owned(),
            points,
        };
        vec![
            line("time over the latency objective", "service time (%)", outside.collect()),
            line("running tasks", "tasks", running.collect()),
        ]
    }
}
