//! What a run is judged by.

use std::collections::BTreeMap;

use agatesill_policy::prelude::*;

use super::world::World;
use crate::result::Series;

/// Length of a point in the series.
const POINT_MS: u64 = 15_000;

/// One job as the run saw it.
#[derive(Clone, Debug, Default)]
pub struct JobSeen {
    /// When it closed.
    pub closed_ms: Option<u64>,
    /// Its outcome.
    pub outcome: Option<JobOutcome>,
    /// When its first task ran.
    pub first_start_ms: Option<u64>,
    /// When it was cancelled.
    pub cancelled_ms: Option<u64>,
    /// Starts of each task.
    pub starts: Vec<u32>,
    /// Time of the newest start of each task.
    pub last_start_ms: Vec<u64>,
    /// Whether a task started after the cancel.
    pub started_after_cancel: bool,

    /// Evictions of each task.
    pub evictions: Vec<u32>,
}

/// A task that was live on a lost worker.
#[derive(Clone, Copy, Debug)]
pub struct Loss {
    /// Its job.
    pub job: usize,
    /// Its index.
    pub index: usize,
    /// When the worker stopped.
    pub at_ms: u64,
    /// When the task ran again.
    pub again_ms: Option<u64>,
}

/// The figures of a run.
#[derive(Clone, Debug, Default)]
pub struct SimOutcome {
    /// Jobs in the world's order.
    pub jobs: Vec<JobSeen>,
    /// Time of all services together, and the part outside the promise.
    pub service_ms: u64,
    /// See `service_ms`.
    pub outside_ms: u64,
    /// Batch work done, in milliseconds times processors.
    pub work_ms: f64,
    /// Work lost or spent on moving.
    pub wasted_ms: f64,
    /// Tasks that were live on lost workers, and when they ran again.
    pub losses: Vec<Loss>,
    /// Jobs refused at submission.
    pub refused: u64,
    /// Most starts in a second.
    pub most_starts_s: u64,
    /// Evictions.
    pub evictions: u64,
    /// Throttles set or lifted.
    pub throttles: u64,
    /// Most store writes in a second.
    pub most_writes_s: u64,
    /// End of the run.
    pub end_ms: u64,
    /// Work by team in each minute.
    pub team_work: BTreeMap<(String, u64), f64>,
    /// Times in quarantine.
    pub quarantines: Vec<(WorkerId, u64, Option<u64>)>,
    /// Jobs parked or refused, with time.
    pub parked: BTreeMap<String, u64>,
    writes: (u64, u64),
    starts: (u64, u64),
    teams: Vec<String>,
    outside_points: BTreeMap<u64, (u64, u64)>,
    running_points: BTreeMap<u64, usize>,
}

impl SimOutcome {
    /// Prepares the books for a world.
    pub fn new(world: &World) -> Self {
        let seen = world.jobs.iter().map(|job| JobSeen {
            starts: vec![0; job.work_ms.len()],
            last_start_ms: vec![0; job.work_ms.len()],
            evictions: vec![0; job.work_ms.len()],
            ..JobSeen::default()
        });
        Self {
            jobs: seen.collect(),
            teams: world.jobs.iter().map(|job| job.spec.team.clone()).collect(),
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

    pub(super) fn note_delta(
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

    pub(super) fn started(&mut self, at_ms: u64, job: usize, index: usize) {
        let second = at_ms / 1_000;
        if self.starts.0 != second {
            self.starts = (second, 0);
        }
        self.starts.1 += 1;
        self.most_starts_s = self.most_starts_s.max(self.starts.1);
        let seen = &mut self.jobs[job];
        seen.last_start_ms[index] = at_ms;
        let is_it =
            |loss: &&mut Loss| loss.job == job && loss.index == index && loss.again_ms.is_none();
        if let Some(loss) = self.losses.iter_mut().find(is_it) {
            loss.again_ms = Some(at_ms);
        }
        seen.starts[index] += 1;
        seen.first_start_ms.get_or_insert(at_ms);
        seen.started_after_cancel |= seen.cancelled_ms.is_some();
    }

    pub(super) fn job_closed(&mut self, now_ms: u64, job: usize, outcome: JobOutcome) {
        self.jobs[job].closed_ms = Some(now_ms);
        self.jobs[job].outcome = Some(outcome);
    }

    pub(super) fn service_step(&mut self, now_ms: u64, step_ms: u64, pressure_ln: f64) {
        self.service_ms += step_ms;
        let point = self.outside_points.entry(now_ms / POINT_MS).or_default();
        point.1 += step_ms;
        if pressure_ln > 0.0 {
            self.outside_ms += step_ms;
            point.0 += step_ms;
        }
    }

    pub(super) fn worked(&mut self, now_ms: u64, job: usize, work: f64) {
        self.work_ms += work;
        let key = (self.teams[job].clone(), now_ms / 60_000);
        *self.team_work.entry(key).or_default() += work;
    }

    pub(super) fn running(&mut self, now_ms: u64, tasks: usize) {
        self.running_points.insert(now_ms / POINT_MS, tasks);
    }

    pub(super) fn finish(&mut self, now_ms: u64) {
        self.end_ms = now_ms;
    }

    /// Jobs that closed with success.
    pub fn done(&self) -> usize {
        self.jobs.iter().filter(|job| job.outcome == Some(JobOutcome::Done)).count()
    }

    /// Share of service time outside the promise, in percent.
    pub fn outside_percent(&self) -> f64 {
        self.outside_ms as f64 * 100.0 / (self.service_ms as f64).max(1.0)
    }

    /// Lost work in percent of all work.
    pub fn wasted_percent(&self) -> f64 {
        self.wasted_ms * 100.0 / self.work_ms.max(1.0)
    }

    /// Lines for the report.
    pub fn series(&self) -> Vec<Series> {
        let seconds = |point: u64| (point * POINT_MS) as f64 / 1_000.0;
        let outside = self.outside_points.iter().map(|(point, (outside, all))| {
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
            line("outside the promise", "service time outside (%)", outside.collect()),
            line("running tasks", "tasks", running.collect()),
        ]
    }
}
