//! Quantiles of durations in constant memory, with old samples fading.

/// Buckets for each doubling; neighbours differ by 2%, so that what a quantile is off by stays
/// small beside the slack between it and the promise.
const BUCKETS_PER_DOUBLING: f64 = 32.0;

/// Buckets in all: up to 2^32 us, above the longest promise.
const BUCKETS: usize = 1_024;

/// Samples after which all counts are halved, so that a lasting change of the load shows after
/// about as many requests; at 1,000 requests/s in one daemon that is 4 s.
const FADE_SAMPLES: u32 = 4_096;

/// Durations by logarithmic bucket.
#[derive(Clone, Debug)]
pub struct Histogram {
    counts: Vec<u32>,
    total: u32,
    mean_us: f64,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: vec![0; BUCKETS], total: 0, mean_us: 0.0 }
    }
}

impl Histogram {
    /// Adds one duration.
    pub fn record(&mut self, duration_us: u64) {
        self.counts[bucket(duration_us)] += 1;
        self.total += 1;
        let weight = f64::from(self.total.min(FADE_SAMPLES / 4));
        self.mean_us += (duration_us as f64 - self.mean_us) / weight;
        if self.total >= FADE_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Forgets all samples.
    pub fn clear(&mut self) {
        self.counts.fill(0);
        self.total = 0;
        self.mean_us = 0.0;
    }

    /// Samples that still count.
    pub fn samples(&self) -> u32 {
        self.total
    }

    /// Mean of about the last thousand durations.
    pub fn mean_us(&self) -> f64 {
        self.mean_us
    }

    /// Upper edge of the bucket that holds the quantile `share`; 0 without samples.
    pub fn quantile_us(&self, share: f64) -> u64 {
        if self.total == 0 {
            return 0;
        }
        let wanted = (f64::from(self.total) * share).ceil() as u32;
        let mut seen = 0;
        for (index, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= wanted {
                return ((index + 1) as f64 / BUCKETS_PER_DOUBLING).exp2() as u64;
            }
        }
        u64::MAX
    }
}

fn bucket(duration_us: u64) -> usize {
    let place = (duration_us.max(1) as f64).log2() * BUCKETS_PER_DOUBLING;
    (place as usize).min(BUCKETS - 1)
}
