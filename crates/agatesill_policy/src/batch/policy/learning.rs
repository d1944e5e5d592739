//! Sizes and run times learned for each class of job.
//!
//! Load pattern: month end, where declared run times are off by 0.3 to 5 times and declared sizes
//! by up to half, in the same way for all jobs of one class. Without it, tasks are ordered by
//! latest start times that are wrong by hours and rooms stay empty behind reservations that
//! nobody uses; docs/BATCH.md gives the figures of `month-end` with and without it.

use std::collections::BTreeMap;

use super::super::{JobSpec, Resources};

/// Weight of a new sample; about ten samples carry the estimate, enough to smooth the spread
/// within a class and few enough to follow a change within one bill run.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Samples before an estimate replaces the declaration.
const MIN_SAMPLES: u32 = 3;

/// Room left above the highest use seen lately, as a share; covers the spread between tasks.
const SIZE_MARGIN: f64 = 1.15;

/// Time over which the highest use seen fades to a third. By time and not by tasks: at 400 ends
/// a second a decay by tasks fell below the margin between two reports, and 4% of all work was
/// lost to overruns.
const PEAK_FADE_MS: f64 = 1_800_000.0;

/// Finished tasks before a learned size replaces the declared one: too small a size costs a
/// task's whole run, too large a one only room.
const MIN_TASKS_FOR_SIZE: u32 = 20;

/// Growth of a class's memory estimate over what was too little.
const OVERRUN_GROWTH: f64 = 1.3;

/// Least share of a declared size that is reserved, whatever was measured.
const LEAST_SIZE_SHARE: f64 = 0.25;

/// Most that a learned size may exceed a declared one.
const MOST_SIZE_SHARE: f64 = 4.0;

/// A change of the estimate by this ratio re-orders the waiting jobs of the class.
const REORDER_RATIO: f64 = 1.2;

/// What is known about one class.
#[derive(Clone, Debug)]
pub struct ClassEstimate {
    /// Run times seen.
    pub time_samples: u32,
    /// Run time over the declared one.
    pub time_ratio: f64,
    /// Sizes seen in the second half of a run.
    pub size_samples: u32,
    /// Most processor use lately, over the declared one.
    pub cpu_ratio: f64,
    /// Most memory use lately, over the declared one.
    pub memory_ratio: f64,
    ordered_by: f64,
    faded_ms: u64,
}

impl Default for ClassEstimate {
    fn default() -> Self {
        Self {
            time_samples: 0,
            time_ratio: 1.0,
            size_samples: 0,
            cpu_ratio: 0.0,
            memory_ratio: 0.0,
            ordered_by: 1.0,
            faded_ms: 0,
        }
    }
}

/// The estimates of all classes.
#[derive(Debug, Default)]
pub struct Learning {
    classes: BTreeMap<String, ClassEstimate>,
}

/// The unit by which a job's sizes, times and interference are learned.
pub fn class_of(spec: &JobSpec) -> &str {
    if spec.class.is_empty() { &spec.profile } else { &spec.class }
}

impl Learning {
    /// What is known about a class.
    pub fn class(&self, class: &str) -> Option<&ClassEstimate> {
        self.classes.get(class)
    }

    /// Takes in the whole run time of a finished task; returns whether waiting jobs of the class
    /// have to be ordered anew.
    pub fn finished(&mut self, now_ms: u64, spec: &JobSpec, run_ms: u64) -> bool {
        let estimate = self.classes.entry(class_of(spec).to_owned()).or_default();
        let sample = run_ms as f64 / spec.run_ms.max(1) as f64;
        estimate.time_samples += 1;
        let gone_ms = now_ms.saturating_sub(estimate.faded_ms) as f64;
        let kept = (-gone_ms / PEAK_FADE_MS).exp();
        estimate.faded_ms = now_ms;
        estimate.cpu_ratio *= kept;
        estimate.memory_ratio *= kept;
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(estimate.time_samples));
        estimate.time_ratio += (sample - estimate.time_ratio) * weight;
        let moved = estimate.time_ratio / estimate.ordered_by;
        let reorder = estimate.time_samples >= MIN_SAMPLES
            && !(1.0 / REORDER_RATIO..=REORDER_RATIO).contains(&moved);
        if reorder {
            estimate.ordered_by = estimate.time_ratio;
        }
        reorder
    }

    /// Takes in what a task used when it was measured.
    pub fn used(&mut self, spec: &JobSpec, cpu_milli: u64, memory_mb: u64, progress_ms: u64) {
        let is_late = progress_ms * 2 >= self.run_ms(spec);
        let estimate = self.classes.entry(class_of(spec).to_owned()).or_default();
        let cpu = cpu_milli as f64 / spec.need.cpu_milli.max(1) as f64;
        let memory = memory_mb as f64 / spec.need.memory_mb.max(1) as f64;
        estimate.size_samples += u32::from(is_late);
        estimate.cpu_ratio = estimate.cpu_ratio.max(cpu);
        estimate.memory_ratio = estimate.memory_ratio.max(memory);
    }

    /// Takes in that a task was stopped for using more memory than `reserved_mb`.
    pub fn overran(&mut self, spec: &JobSpec, reserved_mb: u64) {
        let estimate = self.classes.entry(class_of(spec).to_owned()).or_default();
        let reserved = reserved_mb as f64 / spec.need.memory_mb.max(1) as f64;
        estimate.memory_ratio = estimate.memory_ratio.max(reserved * OVERRUN_GROWTH);
    }

    /// Likely run time of one task.
    pub fn run_ms(&self, spec: &JobSpec) -> u64 {
        match self.classes.get(class_of(spec)) {
            Some(class) if class.time_samples >= MIN_SAMPLES => {
                (spec.run_ms as f64 * class.time_ratio) as u64
            }
            _ => spec.run_ms,
        }
    }

    /// Whether run times of the job's class were seen.
    pub fn knows_time(&self, spec: &JobSpec) -> bool {
        let class = self.classes.get(class_of(spec));
        class.is_some_and(|class| class.time_samples >= MIN_SAMPLES)
    }

    /// Run time by which a job counts as hopeless: as learned, or none when only declared. A
    /// declaration five times too long would put a job behind all others at once.
    pub fn sure_run_ms(&self, spec: &JobSpec) -> u64 {
        if self.knows_time(spec) { self.run_ms(spec) } else { 0 }
    }

    /// Processors that one task likely uses.
    pub fn cpus(&self, spec: &JobSpec) -> f64 {
        let declared = spec.need.cpu_milli as f64 / 1_000.0;
        match self.classes.get(class_of(spec)) {
            Some(class) if class.size_samples >= MIN_SAMPLES => declared * class.cpu_ratio,
            _ => declared,
        }
    }

    /// Amounts to reserve for one task; `overruns` counts its stops for too much memory.
    pub fn reserve(&self, spec: &JobSpec, overruns: u32) -> Resources {
        let mut reserve = spec.need;
        if let Some(class) = self.classes.get(class_of(spec))
            && class.time_samples >= MIN_TASKS_FOR_SIZE
            && class.size_samples >= MIN_TASKS_FOR_SIZE
        {
            reserve.cpu_milli = scaled(spec.need.cpu_milli, class.cpu_ratio, 1.0);
            reserve.memory_mb = scaled(spec.need.memory_mb, class.memory_ratio, MOST_SIZE_SHARE);
        }
        if overruns > 0 {
            reserve.memory_mb = reserve.memory_mb.max(spec.need.memory_mb) * 2;
        }
        reserve
    }
}

fn scaled(declared: u64, ratio: f64, most: f64) -> u64 {
    let share = (ratio * SIZE_MARGIN).clamp(LEAST_SIZE_SHARE, most);
    (declared as f64 * share).ceil() as u64
}
