//! Histogram of durations with logarithmic buckets, constant memory and decay of old samples.

/// Buckets per doubling of the duration. Adjacent buckets differ by 2%, so the error of a quantile
/// is small compared with the slack between the quantile and the latency objective.
const BUCKETS_PER_DOUBLING: f64 = 32.0;

/// Total number of buckets. They cover up to 2^32 us, above the longest latency objective.
const BUCKET_COUNT: usize = 1_024;

/// Samples after which all counts are halved. A permanent change of the load dominates after about
/// as many requests, which is 4 s at 1,000 requests/s in one daemon.
const DECAY_SAMPLES: u32 = 4_096;

/// Sample counts by logarithmic bucket.
#[derive(Clone, Debug)]
pub struct Histogram {
    counts: Vec<u32>,
    total: u32,
    mean_us: f64,
}

impl Default for Histogram {
    fn default() -> Self {
        Self { counts: vec![0; BUCKET_COUNT], total: 0, mean_us: 0.0 }
    }
}

impl Histogram {
    /// Records one duration.
    pub fn record(&mut self, duration_us: u64) {
        self.counts[bucket(duration_us)] += 1;
        self.total += 1;
        let weight = f64::from(self.total.min(DECAY_SAMPLES / 4));
        self.mean_us += (duration_us as f64 - self.mean_us) / weight;
        if self.total >= DECAY_SAMPLES {
            self.counts.iter_mut().for_each(|count| *count /= 2);
            self.total = self.counts.iter().sum();
        }
    }

    /// Removes all samples.
    pub fn clear(&mut self) {
        self.counts.fill(0);
        self.total = 0;
        self.mean_us = 0.0;
    }

    /// Number of samples, after decay.
    pub fn samples(&self) -> u32 {
        self.total
    }

    /// Mean of about the last 1,000 durations.
    pub fn mean_us(&self) -> f64 {
        self.mean_us
    }

    /// Upper bound of the bucket with the quantile `share` (from 0 to 1); 0 without samples.
    pub fn quantile_us(&self, share: f64) -> u64 {
        if self.total == 0 {
            return 0;
        }
        let rank = (f64::from(self.total) * share).ceil() as u32;
        let mut seen = 0;
        for (index, count) in self.counts.iter().enumerate() {
            seen += count;
            if seen >= rank {
                return ((index + 1) as f64 / BUCKETS_PER_DOUBLING).exp2() as u64;
            }
        }
        u64::MAX
    }
}

fn bucket(duration_us: u64) -> usize {
    let place = (duration_us.max(1) as f64).log2() * BUCKETS_PER_DOUBLING;
    (place as usize).min(BUCKET_COUNT - 1)
}
