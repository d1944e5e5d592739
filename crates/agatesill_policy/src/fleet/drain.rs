//! Rate at which the work of each kind of task ends.
//!
//! Load pattern: demand doubles within a second, or workers are lost. The rate at which runs ended
//! over the last seconds says little about the next one, because it follows the demand of that time
//! until the workers are full. The meter therefore learns how much estimated work ends per CPU that
//! is held, and applies it to the CPU that is held now.
//!
//! Work is counted by the estimates of callers, as is the work that waits. A common error of the
//! estimates thus cancels out when one is divided by the other.

use std::time::Duration;

use super::US_PER_MS;

/// Time over which observations decay. It covers a few runs, and is short enough to follow workers
/// that become slower.
const DECAY: Duration = Duration::from_secs(3);

/// Time after which waiting tasks show that the CPU which seems to be free can't be used, for lack
/// of memory or because no single worker has enough.
const REACH_DECAY: Duration = Duration::from_secs(1);

/// Ended runs from which the rate is known.
const MIN_ENDED_RUNS: u32 = 16;

/// Observation time from which the rate is known: runs that started when it began have ended.
const MIN_OBSERVED_US: u64 = 2_000 * US_PER_MS;

/// Held CPU time below which the ratio of ended work to held CPU is left unchanged.
const MIN_HELD_CORE_MS: f64 = 1_000.0;

/// Meter of one kind of task at one service.
#[derive(Clone, Debug, Default)]
pub(super) struct DrainMeter {
    ended_runs: u32,
    /// Work that ended since the last sample.
    ended_since_core_ms: f64,
    ended_core_ms: f64,
    held_core_ms: f64,
    /// Estimated work that ends per held CPU time.
    work_per_held: f64,
    reach_milli: f64,
    observed_us: u64,
    sampled_us: u64,
}

impl DrainMeter {
    /// Records the end of a run by its estimated work.
    pub fn ended(&mut self, core_ms: f64) {
        self.ended_runs = self.ended_runs.saturating_add(1);
        self.ended_since_core_ms += core_ms;
    }

    /// Returns the rate in CPU thousandths, or 0 while it is unknown. `placed_milli` is the CPU that
    /// the tasks hold and `available_milli` what they could hold if each free CPU could be used.
    pub fn sample(
        &mut self,
        placed_milli: u64,
        available_milli: u64,
        is_any_waiting: bool,
        now_us: u64,
    ) -> u64 {
        let (placed, available) = (placed_milli as f64, available_milli as f64);
        if self.sampled_us == 0 {
            self.reach_milli = available;
        } else {
            let elapsed_us = now_us.saturating_sub(self.sampled_us);
            let elapsed_ms = elapsed_us as f64 / US_PER_MS as f64;
            let kept = remaining_share(elapsed_us, DECAY);
            self.ended_core_ms = self.ended_core_ms * kept + self.ended_since_core_ms;
            self.held_core_ms = self.held_core_ms * kept + placed / 1_000.0 * elapsed_ms;
            self.observed_us += if placed_milli > 0 { elapsed_us } else { 0 };
            let reachable = if is_any_waiting { placed } else { available };
            self.reach_milli +=
                (reachable - self.reach_milli) * (1.0 - remaining_share(elapsed_us, REACH_DECAY));
        }
        self.ended_since_core_ms = 0.0;
        self.sampled_us = now_us.max(1);
        self.reach_milli = self.reach_milli.min(available).max(placed);
        if self.ended_runs < MIN_ENDED_RUNS || self.observed_us < MIN_OBSERVED_US {
            return 0;
        }
        if self.held_core_ms >= MIN_HELD_CORE_MS {
            self.work_per_held = self.ended_core_ms / self.held_core_ms;
        }
        (self.reach_milli * self.work_per_held) as u64
    }
}

/// Meter of the CPU that long-running tasks free when their jobs end.
#[derive(Clone, Debug, Default)]
pub(super) struct FreedMeter {
    freed_since_milli: u64,
    per_second_milli: f64,
    sampled_us: u64,
}

impl FreedMeter {
    /// Records CPU that the end of a job freed.
    pub fn freed(&mut self, cpu_milli: u64) {
        self.freed_since_milli += cpu_milli;
    }

    /// Returns the CPU freed per second.
    pub fn sample(&mut self, now_us: u64) -> u64 {
        if self.sampled_us > 0 && now_us > self.sampled_us {
            let elapsed_us = now_us - self.sampled_us;
            let added = 1.0 - remaining_share(elapsed_us, DECAY);
            let rate = self.freed_since_milli as f64 * 1e6 / elapsed_us as f64;
            self.per_second_milli += (rate - self.per_second_milli) * added;
        }
        self.freed_since_milli = 0;
        self.sampled_us = now_us.max(1);
        self.per_second_milli as u64
    }
}

/// Share of an observation that is left after `elapsed_us`.
pub(super) fn remaining_share(elapsed_us: u64, decay: Duration) -> f64 {
    (-(elapsed_us as f64) / decay.as_micros() as f64).exp()
}
