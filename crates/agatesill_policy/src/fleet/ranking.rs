//! Which waiting steps go first.
//!
//! Load pattern: more batch work than the workers can carry for half a minute, after a burst or
//! while workers are lost. First come, first served makes every job late once the backlog is longer
//! than a job's objective; then nothing is worth more than a seventh. So within a queue's priority
//! the order is by worth lost for each core-second: jobs that can still be in time before those
//! that are late, and among them those with the most worth for the work that is left, so that what
//! was begun is finished. A lasting step goes after what can still be in time: it may just have made room
//! for that, and room that it takes is gone for good. One that has missed more tasks than it may for a
//! while goes before all of its priority.

use super::US_PER_MS;
use super::job::{Job, JobPhase, TaskState};
use super::state::{Fleet, TaskGroup};

/// Density from which a step counts as in time. A whole job in time has 0.7 and more, a late one a
/// seventh of that; a late job passes it only when less than half of its work is left.
pub(super) const IN_TIME_DENSITY: f64 = 0.35;

/// Worth of a late job, as a share of one in time.
const LATE_SHARE: f64 = 0.15;

/// Worth of a job beyond three times its objective, so that it still finishes some time.
const LOST_SHARE: f64 = 0.02;

/// A job is late up to this many times its objective.
const LATE_FACTOR: f64 = 3.0;

/// Part of a job's worth that does not depend on its size.
const FIXED_SHARE: f64 = 0.3;

/// Weight of a new job in the mean work of its queue: the last fifty count.
const MEAN_WEIGHT: f64 = 0.02;

/// How long a lasting step that misses more tasks than it may leaves freed room to steps that can still
/// be in time. It may be missing for six seconds in all, starts included.
const LASTING_YIELDS_US: u64 = 2_000 * US_PER_MS;

/// The same for one that misses no more than it may.
///
/// Guards against a task that made room once and never gets room again, as there is always another
/// urgent step: its callers miss it for good.
const PREEMPTED_YIELDS_US: u64 = 3_500 * US_PER_MS;

/// A waiting group with what it is sorted by.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ranked {
    /// Urgent queues first.
    pub priority: u32,
    /// Worth for each core-second that is left, highest first.
    pub density: f64,
    /// The group.
    pub group: TaskGroup,
}

impl Fleet {
    /// All waiting groups in the order in which they are placed.
    pub(super) fn ranked(&self, now_us: u64, now_ms: u64) -> Vec<Ranked> {
        let mut ranked: Vec<Ranked> =
            self.waiting.iter().filter_map(|group| self.rank(*group, now_us, now_ms)).collect();
        self.effort.ranked(ranked.len());
        ranked.sort_by(|a, b| {
            a.priority
                .cmp(&b.priority)
                .then(b.density.total_cmp(&a.density))
                .then(a.group.cmp(&b.group))
        });
        ranked
    }

    fn rank(&self, group: TaskGroup, now_us: u64, now_ms: u64) -> Option<Ranked> {
        let job = self.job(group.job).filter(|job| job.phase == JobPhase::Active)?;
        let terms = self.terms(job);
        let density = if job.spec.steps[group.step as usize].is_lasting {
            let misses_little = self.misses_little(job, group);
            let yields_us = if misses_little { PREEMPTED_YIELDS_US } else { LASTING_YIELDS_US };
            let may_wait = waited_us(job, group, now_us) < yields_us;
            if may_wait { IN_TIME_DENSITY } else { f64::INFINITY }
        } else {
            let mean = self.mean_work.get(&job.spec.queue).copied().unwrap_or(1.0);
            let spent_ms = spent_ms(job, group.occurrence, now_us, now_ms);
            density(job, group.occurrence, terms.stretch, terms.target_ms, mean, spent_ms)
        };
        Some(Ranked { priority: terms.priority, density, group })
    }

    /// Takes a new job into the mean work of its queue.
    pub(super) fn note_work(&mut self, slot: u32) {
        let Some(job) = self.job(slot) else { return };
        let work = total_work(job);
        let queue = job.spec.queue.clone();
        let mean = self.mean_work.entry(queue).or_insert(work);
        *mean += (work - *mean) * MEAN_WEIGHT;
    }
}

/// Longest wait among the tasks of a step.
fn waited_us(job: &Job, group: TaskGroup, now_us: u64) -> u64 {
    job.tasks_of(group.occurrence, group.step)
        .map(|task| &job.tasks[task as usize])
        .filter(|task| task.state == TaskState::Waiting)
        .map(|task| task.idle_us(now_us))
        .max()
        .unwrap_or(0)
}

/// Time since an occurrence was due by the time of day, or since its job was accepted.
fn spent_ms(job: &Job, occurrence: u32, now_us: u64, now_ms: u64) -> f64 {
    let spent_ms = match job.spec.due_ms(occurrence) {
        0 => now_us.saturating_sub(job.accepted_us) / US_PER_MS,
        due_ms => now_ms.saturating_sub(due_ms.max(job.spec.accepted_at_ms)),
    };
    spent_ms as f64
}

/// Core-milliseconds of one occurrence.
fn total_work(job: &Job) -> f64 {
    job.spec.steps.iter().map(|step| f64::from(step.count) * work_of(step)).sum()
}

fn work_of(step: &super::job::Step) -> f64 {
    (step.estimate_ms.max(1) * step.need.cpu_milli.max(1)) as f64 / 1_000.0
}

fn density(
    job: &Job,
    occurrence: u32,
    stretch: f64,
    target_ms: u64,
    mean_work: f64,
    spent_ms: f64,
) -> f64 {
    let total = total_work(job);
    let left: f64 = job
        .spec
        .steps
        .iter()
        .enumerate()
        .map(|(index, step)| {
            f64::from(job.left[job.step_position(occurrence, index as u32)]) * work_of(step)
        })
        .sum();
    let worth = FIXED_SHARE * mean_work + (1.0 - FIXED_SHARE) * total;
    let objective_ms = stretch * chain_ms(job, |_| true) + target_ms as f64;
    let is_left = |step: usize| job.left[job.step_position(occurrence, step as u32)] > 0;
    let end_ms = spent_ms + chain_ms(job, is_left);
    let share = if end_ms <= objective_ms {
        1.0
    } else if end_ms <= objective_ms * LATE_FACTOR {
        LATE_SHARE
    } else {
        LOST_SHARE
    };
    share * worth / left.max(1.0)
}

/// The longest chain of estimated run times over the steps that count.
fn chain_ms(job: &Job, counts: impl Fn(usize) -> bool) -> f64 {
    let mut ends: Vec<f64> = Vec::with_capacity(job.spec.steps.len());
    for (index, step) in job.spec.steps.iter().enumerate() {
        let begin = step.after.iter().map(|after| ends[*after as usize]).fold(0.0, f64::max);
        let own = if counts(index) { step.estimate_ms as f64 } else { 0.0 };
        ends.push(begin + own);
    }
    ends.into_iter().fold(0.0, f64::max)
}
