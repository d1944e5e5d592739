//! Sizes and run times learned for each job class.
//!
//! Declared run times of batch jobs are off by a factor of 0.3 to 5 and declared sizes by up to
//! half, in the same way for all jobs of a class. Without estimates, tasks would be ordered by
//! latest starts that are wrong by hours, and capacity would stay unused in oversized reservations.
//! docs/BATCH.md has the results of the `month-end` benchmark with and without them.

use std::collections::BTreeMap;

use super::super::{JobSpec, Resources};

/// Weight of a new sample. The estimate averages over about ten samples, enough to smooth the
/// spread within a class and few enough to follow a change within one billing run.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Minimum number of samples before an estimate replaces the declared value.
const MIN_SAMPLES: u32 = 3;

/// Factor between the recent peak use and the reserved size. Covers the spread between tasks.
const SIZE_MARGIN: f64 = 1.15;

/// Time in which the recent peak use decays to a third. The decay is by time and not by tasks: at
/// 400 completions per second, a decay by tasks fell below the margin between two reports, and 4%
/// of all work was lost to memory overruns.
const PEAK_DECAY_MS: f64 = 1_800_000.0;

/// Minimum number of finished tasks before a learned size replaces the declared one. Too small a
/// size costs a task's whole run, too large a size only capacity.
const MIN_TASKS_FOR_SIZE: u32 = 20;

/// Factor from an insufficient memory reservation to the class's new memory estimate.
const OVERRUN_GROWTH: f64 = 1.3;

/// Minimum ratio of a reserved to the declared size, whatever was measured.
const MIN_SIZE_RATIO: f64 = 0.25;

/// Maximum ratio of a reserved to the declared memory size.
const MAX_SIZE_RATIO: f64 = 4.0;

/// Ratio by which an estimate has to change before the waiting jobs of the class are reordered.
const REORDER_RATIO: f64 = 1.2;

/// Estimates of one class.
#[derive(Clone, Debug)]
pub struct ClassEstimate {
    /// Number of observed run times.
    pub time_samples: u32,
    /// Ratio of actual to declared run time.
    pub time_ratio: f64,
    /// Number of sizes measured in the second half of a run.
    pub size_samples: u32,
    /// Recent peak of the ratio of used to declared CPU.
    pub cpu_ratio: f64,
    /// Recent peak of the ratio of used to declared memory.
    pub memory_ratio: f64,
    ordered_time_ratio: f64,
    decayed_ms: u64,
}

impl Default for ClassEstimate {
    fn default() -> Self {
        Self {
            time_samples: 0,
            time_ratio: 1.0,
            size_samples: 0,
            cpu_ratio: 0.0,
            memory_ratio: 0.0,
            ordered_time_ratio: 1.0,
            decayed_ms: 0,
        }
    }
}

/// The estimates of all classes.
#[derive(Debug, Default)]
pub struct ClassEstimates {
    classes: BTreeMap<String, ClassEstimate>,
}

/// The class under which a job's sizes, run times and interference are learned; the profile if the
/// job has no class.
pub fn class_of(spec: &JobSpec) -> &str {
    if spec.class.is_empty() { &spec.profile } else { &spec.class }
}

impl ClassEstimates {
    /// The estimates of a class.
    pub fn class(&self, class: &str) -> Option<&ClassEstimate> {
        self.classes.get(class)
    }

    /// Records the total run time of a finished task. Returns whether the waiting jobs of the class
    /// have to be reordered.
    pub fn finished(&mut self, now_ms: u64, spec: &JobSpec, run_ms: u64) -> bool {
        let estimate = self.classes.entry(class_of(spec).to_owned()).or_default();
        let sample = run_ms as f64 / spec.run_ms.max(1) as f64;
        estimate.time_samples += 1;
        let elapsed_ms = now_ms.saturating_sub(estimate.decayed_ms) as f64;
        let decay = (-elapsed_ms / PEAK_DECAY_MS).exp();
        estimate.decayed_ms = now_ms;
        estimate.cpu_ratio *= decay;
        estimate.memory_ratio *= decay;
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(estimate.time_samples));
        estimate.time_ratio += (sample - estimate.time_ratio) * weight;
        let change = estimate.time_ratio / estimate.ordered_time_ratio;
        let reorder = estimate.time_samples >= MIN_SAMPLES
            && !(1.0 / REORDER_RATIO..=REORDER_RATIO).contains(&change);
        if reorder {
            estimate.ordered_time_ratio = estimate.time_ratio;
        }
        reorder
    }

    /// Records the resource use of a task at a measurement.
    pub fn used(&mut self, spec: &JobSpec, cpu_milli: u64, memory_mb: u64, progress_ms: u64) {
        let is_second_half = progress_ms * 2 >= self.run_ms(spec);
        let estimate = self.classes.entry(class_of(spec).to_owned()).or_default();
        let cpu = cpu_milli as f64 / spec.need.cpu_milli.max(1) as f64;
        let memory = memory_mb as f64 / spec.need.memory_mb.max(1) as f64;
        estimate.size_samples += u32::from(is_second_half);
        estimate.cpu_ratio = estimate.cpu_ratio.max(cpu);
        estimate.memory_ratio = estimate.memory_ratio.max(memory);
    }

    /// Records that a task was stopped for using more memory than `reserved_mb`.
    pub fn record_overrun(&mut self, spec: &JobSpec, reserved_mb: u64) {
        let estimate = self.classes.entry(class_of(spec).to_owned()).or_default();
        let reserved = reserved_mb as f64 / spec.need.memory_mb.max(1) as f64;
        estimate.memory_ratio = estimate.memory_ratio.max(reserved * OVERRUN_GROWTH);
    }

    /// Estimated run time of one task.
    pub fn run_ms(&self, spec: &JobSpec) -> u64 {
        match self.classes.get(class_of(spec)) {
            Some(class) if class.time_samples >= MIN_SAMPLES => {
                (spec.run_ms as f64 * class.time_ratio) as u64
            }
            _ => spec.run_ms,
        }
    }

    /// Whether enough run times of the job's class were observed for an estimate.
    pub fn has_learned_run_time(&self, spec: &JobSpec) -> bool {
        let class = self.classes.get(class_of(spec));
        class.is_some_and(|class| class.time_samples >= MIN_SAMPLES)
    }

    /// Run time that decides whether a job's deadline is infeasible: the learned one, or 0 if only
    /// a declared one exists. A declared run time that is five times too long would move a job
    /// behind all others at once.
    pub fn learned_run_ms(&self, spec: &JobSpec) -> u64 {
        if self.has_learned_run_time(spec) { self.run_ms(spec) } else { 0 }
    }

    /// Estimated CPU use of one task, in cores.
    pub fn cpus(&self, spec: &JobSpec) -> f64 {
        let declared = spec.need.cpu_milli as f64 / 1_000.0;
        match self.classes.get(class_of(spec)) {
            Some(class) if class.size_samples >= MIN_SAMPLES => declared * class.cpu_ratio,
            _ => declared,
        }
    }

    /// Resources to reserve for one task. `overruns` is the number of its stops for exceeding its
    /// memory.
    pub fn reserve(&self, spec: &JobSpec, overruns: u32) -> Resources {
        let mut reserve = spec.need;
        if let Some(class) = self.classes.get(class_of(spec))
            && class.time_samples >= MIN_TASKS_FOR_SIZE
            && class.size_samples >= MIN_TASKS_FOR_SIZE
        {
            reserve.cpu_milli = scaled(spec.need.cpu_milli, class.cpu_ratio, 1.0);
            reserve.memory_mb = scaled(spec.need.memory_mb, class.memory_ratio, MAX_SIZE_RATIO);
        }
        if overruns > 0 {
            reserve.memory_mb = reserve.memory_mb.max(spec.need.memory_mb) * 2;
        }
        reserve
    }
}

fn scaled(declared: u64, ratio: f64, max_ratio: f64) -> u64 {
    let share = (ratio * SIZE_MARGIN).clamp(MIN_SIZE_RATIO, max_ratio);
    (declared as f64 * share).ceil() as u64
}
