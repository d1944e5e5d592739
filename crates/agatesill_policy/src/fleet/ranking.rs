//! Ranking of waiting steps.
//!
//! After a burst, or while workers are lost, there can be more batch work than the workers can
//! carry for half a minute. First come, first served makes every job late once the backlog is
//! longer than a job's objective, and a late job has at most a seventh of its value. Within a
//! queue's priority, steps are therefore ranked by value per core-second of remaining work: jobs
//! that can still be in time go before late ones, and jobs that have begun before others, so that
//! they are finished.
//!
//! A long-running step goes after steps that can still be in time, because it may just have been
//! preempted for one of them, and the capacity that it takes is never freed again. Once it has
//! yielded for long enough, it goes before all others of its priority. It yields for a shorter time
//! while it misses more tasks than it may.

use super::US_PER_MS;
use super::job::{Job, JobPhase, QueueTerms, Step, TaskState};
use super::state::{Fleet, TaskGroup};

/// Density from which a step counts as in time. A job in time that has not begun has a density of
/// at least 0.7, a late one a seventh of that. A late job exceeds this value only when less than
/// half of its work is left.
pub(super) const IN_TIME_DENSITY: f64 = 0.35;

/// Value of a late job relative to one in time.
const LATE_VALUE_SHARE: f64 = 0.15;

/// Relative value of a job beyond three times its objective. Not zero, so that the job still
/// finishes at some time.
const OVERDUE_VALUE_SHARE: f64 = 0.02;

/// Multiple of its objective up to which a job counts as late.
const LATE_OBJECTIVE_FACTOR: f64 = 3.0;

/// Priority of overdue jobs under load control, after that of all queues.
const OVERDUE_PRIORITY: u32 = u32::MAX;

/// Part of a job's value that does not depend on its size.
const FIXED_VALUE_SHARE: f64 = 0.3;

/// Weight of a new job in the mean work of its queue, which covers about the last fifty jobs.
const MEAN_WORK_WEIGHT: f64 = 0.02;

/// How long a long-running step that misses more tasks than it may yields free capacity to steps
/// that can still be in time. Its tasks may be missing for six seconds in all, starts included.
const OVER_ALLOWANCE_YIELD_US: u64 = 2_000 * US_PER_MS;

/// How long a long-running step that misses no more tasks than it may yields free capacity to steps
/// that can still be in time.
///
/// Without a limit, a preempted task might never get capacity again because another urgent step is
/// always waiting, and its callers would miss it permanently.
const WITHIN_ALLOWANCE_YIELD_US: u64 = 3_500 * US_PER_MS;

/// A waiting group with its sort keys.
#[derive(Clone, Copy, Debug)]
pub(super) struct Ranked {
    /// Priority of the queue, lowest first.
    pub priority: u32,
    /// Value per remaining core-second, highest first.
    pub density: f64,
    /// The waiting group.
    pub group: TaskGroup,
}

impl Fleet {
    /// Returns the waiting groups in the order in which they are placed, without those that are not
    /// because of the starts in progress.
    pub(super) fn ranked(&self, now_us: u64, now_ms: u64) -> Vec<Ranked> {
        let mut ranked: Vec<Ranked> =
            self.waiting.iter().filter_map(|group| self.rank(*group, now_us, now_ms)).collect();
        self.effort.count_steps_ranked(ranked.len());
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
        if self.are_starts_limited(terms.priority) {
            return None;
        }
        let elapsed_ms = elapsed_ms(job, group.occurrence, now_us, now_ms);
        let density = if job.spec.steps[group.step as usize].is_lasting {
            let misses_little = self.is_within_allowance(job, group);
            let yield_us =
                if misses_little { WITHIN_ALLOWANCE_YIELD_US } else { OVER_ALLOWANCE_YIELD_US };
            let yields = waited_us(job, group, now_us) < yield_us;
            if yields { IN_TIME_DENSITY } else { f64::INFINITY }
        } else {
            let mean = self.mean_work.get(&job.spec.queue).copied().unwrap_or(1.0);
            density(job, group.occurrence, terms, mean, elapsed_ms)
        };
        if self.holds_back_nothing(job, terms, group, elapsed_ms) {
            return Some(Ranked { priority: OVERDUE_PRIORITY, density: 0.0, group });
        }
        Some(Ranked { priority: terms.priority, density, group })
    }

    /// Whether a waiting group goes after all others, because its result no longer counts. Without
    /// load control, overdue jobs keep the priority of their queue.
    fn holds_back_nothing(
        &self,
        job: &Job,
        terms: &QueueTerms,
        group: TaskGroup,
        elapsed_ms: f64,
    ) -> bool {
        self.controls_load(&terms.service)
            && !job.spec.steps[group.step as usize].is_lasting
            && timeliness(job, group.occurrence, terms, elapsed_ms) == Timeliness::Overdue
    }

    /// Includes a new job in the mean work of its queue.
    pub(super) fn update_mean_work(&mut self, slot: u32) {
        let Some(job) = self.job(slot) else { return };
        let work = total_work(job);
        let queue = job.spec.queue.clone();
        let mean = self.mean_work.entry(queue).or_insert(work);
        *mean += (work - *mean) * MEAN_WORK_WEIGHT;
    }
}

/// Whether waiting work of an occurrence ranks before a new job of its queue: it can still be in time,
/// or some of the occurrence's work is done.
pub(super) fn counts_in_time(
    job: &Job,
    occurrence: u32,
    terms: &QueueTerms,
    elapsed_ms: f64,
) -> bool {
    match timeliness(job, occurrence, terms, elapsed_ms) {
        Timeliness::InTime => true,
        Timeliness::Late => has_begun(job, occurrence),
        Timeliness::Overdue => false,
    }
}

/// Longest wait among the waiting tasks of a step.
fn waited_us(job: &Job, group: TaskGroup, now_us: u64) -> u64 {
    job.tasks_of(group.occurrence, group.step)
        .map(|task| &job.tasks[task as usize])
        .filter(|task| task.state == TaskState::Waiting)
        .map(|task| task.idle_us(now_us))
        .max()
        .unwrap_or(0)
}

/// Time since an occurrence was due by the wall clock, or since its job was accepted.
pub(super) fn elapsed_ms(job: &Job, occurrence: u32, now_us: u64, now_ms: u64) -> f64 {
    let elapsed_ms = match job.spec.due_ms(occurrence) {
        0 => now_us.saturating_sub(job.accepted_us) / US_PER_MS,
        due_ms => now_ms.saturating_sub(due_ms.max(job.spec.accepted_at_ms)),
    };
    elapsed_ms as f64
}

/// Whether a task of an occurrence is done.
fn has_begun(job: &Job, occurrence: u32) -> bool {
    job.spec.steps.iter().enumerate().any(|(index, step)| {
        job.remaining[job.step_position(occurrence, index as u32)] < step.count
    })
}

/// Work of one occurrence in core-milliseconds.
fn total_work(job: &Job) -> f64 {
    job.spec.steps.iter().map(|step| f64::from(step.count) * work_core_ms(step)).sum()
}

/// Work of one task by its caller's estimate.
pub(super) fn work_core_ms(step: &Step) -> f64 {
    step.estimate_ms.max(1) as f64 * step.need.cpu_milli.max(1) as f64 / 1_000.0
}

fn density(job: &Job, occurrence: u32, terms: &QueueTerms, mean_work: f64, elapsed_ms: f64) -> f64 {
    let total = total_work(job);
    let remaining: f64 = job
        .spec
        .steps
        .iter()
        .enumerate()
        .map(|(index, step)| {
            f64::from(job.remaining[job.step_position(occurrence, index as u32)])
                * work_core_ms(step)
        })
        .sum();
    let value = FIXED_VALUE_SHARE * mean_work + (1.0 - FIXED_VALUE_SHARE) * total;
    let share = match timeliness(job, occurrence, terms, elapsed_ms) {
        Timeliness::InTime => 1.0,
        Timeliness::Late => LATE_VALUE_SHARE,
        Timeliness::Overdue => OVERDUE_VALUE_SHARE,
    };
    share * value / remaining.max(1.0)
}

/// When an occurrence can end, by the estimates, relative to its objective.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Timeliness {
    /// Within the objective.
    InTime,
    /// Within [`LATE_OBJECTIVE_FACTOR`] objectives.
    Late,
    /// Later.
    Overdue,
}

fn timeliness(job: &Job, occurrence: u32, terms: &QueueTerms, elapsed_ms: f64) -> Timeliness {
    let steps = &job.spec.steps;
    let objective_ms = terms.stretch * critical_path_ms(steps, |_| true) + terms.target_ms as f64;
    let has_remaining = |step: usize| job.remaining[job.step_position(occurrence, step as u32)] > 0;
    let end_ms = elapsed_ms + critical_path_ms(steps, has_remaining);
    if end_ms <= objective_ms {
        Timeliness::InTime
    } else if end_ms <= objective_ms * LATE_OBJECTIVE_FACTOR {
        Timeliness::Late
    } else {
        Timeliness::Overdue
    }
}

/// Critical path by estimated run times over the steps that `is_included` selects.
fn critical_path_ms(steps: &[Step], is_included: impl Fn(usize) -> bool) -> f64 {
    let mut ends_ms: Vec<f64> = Vec::with_capacity(steps.len());
    for (index, step) in steps.iter().enumerate() {
        let start_ms = step.after.iter().map(|after| ends_ms[*after as usize]).fold(0.0, f64::max);
        let own_ms = if is_included(index) { step.estimate_ms as f64 } else { 0.0 };
        ends_ms.push(start_ms + own_ms);
    }
    ends_ms.into_iter().fold(0.0, f64::max)
}
