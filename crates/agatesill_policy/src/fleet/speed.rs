//! Estimates of how fast workers run their tasks.
//!
//! Load pattern: three workers in ten run everything six times slower for some seconds. Nothing
//! fails there, and much of what they run are serving tasks, which make no progress that could be
//! compared. The tail of a serving task rises for other causes as well, so one sample proves
//! little: samples of all tasks of a worker are combined, each with a weight, and fade.

use super::US_PER_MS;

/// Time after which the weight of a sample has halved. A slow spell lasts for seconds, and callers
/// notice it within a second or two.
const HALF_LIFE_US: f64 = (500 * US_PER_MS) as f64;

/// Weight of the assumption that a worker of which little is known runs at the usual speed.
const PRIOR_WEIGHT: f64 = 0.5;

/// Confidence from which something follows from a speed: more than one clear sample.
const MIN_CONFIDENCE: f64 = 0.7;

/// Lowest and highest speed that a single sample can show, so that no sample outweighs all others.
const SAMPLE_RANGE: (f64, f64) = (0.05, 1.5);

/// Speed of a worker as a fraction of the usual speed, with the confidence in it.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpeedEstimate {
    /// Weighted sum of the logarithms of the samples.
    log_sum: f64,
    /// Sum of the weights.
    weight: f64,
    /// Time to which the samples have faded.
    updated_us: u64,
}

impl SpeedEstimate {
    /// Adds a sample; `speed` is 1 for the usual speed, `weight` 1 for a clear sample.
    pub fn add(&mut self, speed: f64, weight: f64, now_us: u64) {
        let fading = self.fading(now_us);
        let speed = speed.clamp(SAMPLE_RANGE.0, SAMPLE_RANGE.1);
        self.log_sum = self.log_sum * fading + speed.ln() * weight;
        self.weight = self.weight * fading + weight;
        self.updated_us = self.updated_us.max(now_us);
    }

    /// Speed as a fraction of the usual one; 1 if nothing is known.
    pub fn speed(&self, now_us: u64) -> f64 {
        let fading = self.fading(now_us);
        (self.log_sum * fading / (self.weight * fading + PRIOR_WEIGHT)).exp()
    }

    /// Confidence in the speed, from 0 to 1.
    pub fn confidence(&self, now_us: u64) -> f64 {
        let weight = self.weight * self.fading(now_us);
        weight / (weight + PRIOR_WEIGHT)
    }

    /// Whether the confidence is high enough to decide anything by the speed.
    pub fn is_certain(&self, now_us: u64) -> bool {
        self.confidence(now_us) >= MIN_CONFIDENCE
    }

    fn fading(&self, now_us: u64) -> f64 {
        let elapsed_us = now_us.saturating_sub(self.updated_us);
        (-(elapsed_us as f64) / HALF_LIFE_US).exp2()
    }
}

/// Mean of the newest samples; older ones fade.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct RecentMean {
    sum: f64,
    weight: f64,
    updated_us: u64,
}

/// Time after which the weight of a sample of [`RecentMean`] has halved: longer than most slow
/// spells, so that the mean shows the usual level also while many workers are slow.
const RECENT_HALF_LIFE_US: f64 = (10_000 * US_PER_MS) as f64;

/// Minimum weight of the samples before there is a mean.
const MIN_RECENT_WEIGHT: f64 = 4.0;

impl RecentMean {
    /// Adds a sample.
    pub fn add(&mut self, sample: f64, now_us: u64) {
        let elapsed_us = now_us.saturating_sub(self.updated_us);
        let fading = (-(elapsed_us as f64) / RECENT_HALF_LIFE_US).exp2();
        self.sum = self.sum * fading + sample;
        self.weight = self.weight * fading + 1.0;
        self.updated_us = self.updated_us.max(now_us);
    }

    /// Returns the mean once there are enough samples.
    pub fn mean(self) -> Option<f64> {
        (self.weight >= MIN_RECENT_WEIGHT).then(|| self.sum / self.weight)
    }
}
