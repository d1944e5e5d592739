//! Model of the interference of best-effort images with serving images, learned from worker polls.
//!
//! For each serving image, the logarithm of the tail ratio (tail latency over target) is modelled
//! as an intercept plus, for each best-effort image, a weight times the share of the worker that
//! tasks of the image used in the same half second. Ridge regression, updated with each sample,
//! fits the weights. The serving task's own load changes its tail slowly and by about a factor of
//! two, which is the noise of the fit; a harmful pair shows at once, at two or three times that.

use crate::fleet::images::{ImageId, Images};
use crate::fleet::worker::Worker;
use crate::value_type;

/// Number of best-effort images that are modelled separately. Further images share the last
/// feature, which bounds the cost of a sample. Images that share a feature also share a weight, so
/// a harmless one among them hides the harmful ones.
pub const MAX_IMAGES: usize = 48;

/// Number of features: the intercept and the best-effort images.
const FEATURES: usize = 1 + MAX_IMAGES;

/// Prior variance of a weight relative to the variance of the noise: as if five samples with 1/32
/// of a worker had shown no effect.
const PRIOR_VARIANCE: f64 = 0.2;

/// Prior variance of the intercept relative to the variance of the noise. With an uninformative
/// prior, the effect of a harmful task that is present from the first sample would be attributed to
/// the serving image's own load.
const PRIOR_INTERCEPT_VARIANCE: f64 = 0.5;

/// Prior mean of the intercept: a serving task alone stays well below its target.
const PRIOR_INTERCEPT: f64 = -0.9;

/// Weight per 1/32 of a worker from which a pair is classified as harmful with one standard error
/// of certainty instead of two.
pub const HARMFUL_WEIGHT: f64 = 0.09;

/// A pair is harmful if the lower confidence bound of its weight is above this value. The weights
/// of harmless pairs exceed it by no more than their error.
const HARMFUL_LOWER_BOUND: f64 = 0.02;

/// A pair is harmless if the upper confidence bound of its weight is below this value. The weights
/// of all harmless pairs are below it.
const HARMLESS_UPPER_BOUND: f64 = 0.06;

/// Standard deviation of the logarithm of a tail ratio around the fit, caused by the serving task's
/// own load.
const NOISE_STD_DEV: f64 = 0.55;

/// Minimum total usage of a best-effort image, in 1/32 of a worker summed over samples, before its
/// weight is used.
const MIN_OBSERVED_USAGE: f64 = 3.0;

/// Usage units of a whole worker.
const UNITS_PER_WORKER: f64 = 32.0;

/// Converts CPU usage in millicores to 1/32 of the worker's CPU capacity.
///
/// The effect of an image on tails depends on its share of the worker, not on the number of CPUs.
/// With weights per CPU, pairs that are harmful on a large worker would be classified as harmless.
pub fn usage_units(worker: &Worker, cpu_milli: f64) -> f64 {
    cpu_milli / worker.entry.capacity.cpu_milli.max(1) as f64 * UNITS_PER_WORKER
}

/// Usage of the worker by each best-effort image, in the unit of [`usage_units`].
pub type Usage = [f64; MAX_IMAGES];

/// Regression state of one serving image.
#[derive(Debug)]
struct Regression {
    weights: [f64; FEATURES],
    /// Symmetric; only the elements on and above the diagonal are kept.
    covariance: [[f64; FEATURES]; FEATURES],
    /// Usage of each best-effort image, summed over all samples.
    seen: Usage,
}

impl Regression {
    fn new() -> Self {
        let mut covariance = [[0.0; FEATURES]; FEATURES];
        for (index, row) in covariance.iter_mut().enumerate() {
            row[index] = if index == 0 { PRIOR_INTERCEPT_VARIANCE } else { PRIOR_VARIANCE };
        }
        let mut weights = [0.0; FEATURES];
        weights[0] = PRIOR_INTERCEPT;
        Self { weights, covariance, seen: [0.0; MAX_IMAGES] }
    }

    /// Updates the fit with a sample. Only the first `used` elements have been nonzero in any
    /// sample so far, so the state of all others is unchanged.
    fn learn(&mut self, usage: &Usage, used: usize, value: f64) {
        let features = features(usage);
        let used = 1 + used;
        // Most features are zero, because few images run on one worker.
        let present: Vec<(usize, f64)> =
            features.iter().copied().enumerate().filter(|(_, feature)| *feature > 0.0).collect();
        let mut gain = [0.0; FEATURES];
        for (place, out) in gain.iter_mut().enumerate().take(used) {
            let covariance = |index: usize| self.covariance[place.min(index)][place.max(index)];
            *out = present.iter().map(|(index, feature)| covariance(*index) * feature).sum();
        }
        let scale = 1.0 + dot(&gain, &features);
        let error = value - dot(&self.weights, &features);
        for (weight, gain) in self.weights.iter_mut().zip(&gain).take(used) {
            *weight += gain / scale * error;
        }
        for (place, row) in self.covariance.iter_mut().enumerate().take(used) {
            let share = gain[place] / scale;
            for (cell, other) in row[place..used].iter_mut().zip(&gain[place..used]) {
                *cell -= share * other;
            }
        }
        for (seen, usage) in self.seen.iter_mut().zip(usage) {
            *seen += usage;
        }
    }
}

fn features(usage: &Usage) -> [f64; FEATURES] {
    let mut features = [1.0; FEATURES];
    features[1..].copy_from_slice(usage);
    features
}

fn dot(a: &[f64; FEATURES], b: &[f64; FEATURES]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

/// Interference model of all pairs of a serving and a best-effort image.
#[derive(Debug, Default)]
pub struct InterferenceModel {
    /// Regressions by serving image.
    regressions: Vec<Option<Box<Regression>>>,
    /// Index of each best-effort image in a [`Usage`].
    places: Vec<Option<usize>>,
    /// Number of best-effort images with an index.
    known_images: usize,
}

impl InterferenceModel {
    /// Returns the index of a best-effort image in a [`Usage`], and assigns one to a new image.
    pub fn place(&mut self, image: ImageId) -> usize {
        let index = usize::from(image);
        if self.places.len() <= index {
            self.places.resize(index + 1, None);
        }
        let next = self.known_images.min(MAX_IMAGES - 1);
        let place = self.places[index].unwrap_or(next);
        if self.places[index].is_none() {
            self.known_images += 1;
            self.places[index] = Some(place);
        }
        place
    }

    /// Learns from the tail ratio of a serving task beside `usage` of best-effort images.
    pub fn learn(&mut self, serving: ImageId, usage: &Usage, ratio: f64) {
        let index = usize::from(serving);
        if self.regressions.len() <= index {
            self.regressions.resize_with(index + 1, || None);
        }
        let regression = self.regressions[index].get_or_insert_with(|| Box::new(Regression::new()));
        regression.learn(usage, self.known_images.min(MAX_IMAGES), ratio.max(0.01).ln());
    }

    /// Returns by how much usage of 1/32 of the worker by a best-effort image raises the logarithm
    /// of a serving image's tail, or `None` while the pair was observed too little.
    pub fn weight(&self, serving: ImageId, filling: ImageId) -> Option<f64> {
        let regression = self.regressions.get(usize::from(serving))?.as_ref()?;
        let place = (*self.places.get(usize::from(filling))?)?;
        (regression.seen[place] >= MIN_OBSERVED_USAGE)
            .then(|| regression.weights[1 + place].max(0.0))
    }
}

/// Classification of a pair of a serving and a best-effort image.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PairClass {
    /// The observations do not suffice for a classification.
    Unknown,
    /// The best-effort image may be colocated with the serving image.
    Harmless,
    /// The best-effort image raises the tail of the serving image.
    Harmful,
}

impl InterferenceModel {
    /// Classifies a pair by its weight and the standard error of the weight.
    ///
    /// Two bounds avoid both kinds of errors: a pair with a small but lasting effect would be
    /// harmless by a single bound on the weight, and one bad sample of a harmless pair would
    /// exclude it permanently.
    pub fn classify(&self, serving: ImageId, filling: ImageId) -> PairClass {
        let fit = self.regressions.get(usize::from(serving)).and_then(Option::as_ref);
        let place = self.places.get(usize::from(filling)).copied().flatten();
        let (Some(fit), Some(place)) = (fit, place) else { return PairClass::Unknown };
        if fit.seen[place] < MIN_OBSERVED_USAGE {
            return PairClass::Unknown;
        }
        let weight = fit.weights[1 + place];
        let error = fit.covariance[1 + place][1 + place].max(0.0).sqrt() * NOISE_STD_DEV;
        let lower_bound =
            if weight >= HARMFUL_WEIGHT { weight - error } else { weight - 2.0 * error };
        if lower_bound > HARMFUL_LOWER_BOUND {
            PairClass::Harmful
        } else if weight + 2.0 * error < HARMLESS_UPPER_BOUND {
            PairClass::Harmless
        } else {
            PairClass::Unknown
        }
    }
}

value_type! {
    /// Learned state of one serving image, stored for the next planner.
    pub struct LearnedImage {
        /// Name of the serving image.
        pub image: String,
        /// Intercept and weights.
        pub weights: Vec<f32>,
        /// Variance of each weight. Covariances are not stored: they take a hundred kilobytes, and
        /// a successor learns them again within seconds.
        pub variances: Vec<f32>,
        /// Observed usage of each best-effort image, in 1/32 of a worker summed over samples.
        pub seen: Vec<f32>,
    }
}

value_type! {
    /// Learned state of all pairs of images, stored for the next planner.
    #[derive(Default)]
    pub struct LearnedInterference {
        /// Names of best-effort images in index order.
        pub filling: Vec<String>,
        /// State of each serving image.
        pub serving: Vec<LearnedImage>,
    }
}

impl InterferenceModel {
    /// Returns the learned state with images by name.
    pub fn learned(&self, images: &Images) -> LearnedInterference {
        let mut filling = vec![String::new(); self.known_images.min(MAX_IMAGES)];
        for (image, place) in self.places.iter().enumerate() {
            // Images that share the last index are represented by the first of them.
            if let Some(name) = place.and_then(|place| filling.get_mut(place)) {
                if name.is_empty() {
                    images.name(image as ImageId).clone_into(name);
                }
            }
        }
        let serving = self
            .regressions
            .iter()
            .enumerate()
            .filter_map(|(image, regression)| {
                Some((images.name(image as ImageId), regression.as_ref()?))
            })
            .map(|(image, regression)| LearnedImage {
                image: image.to_owned(),
                weights: to_f32(&regression.weights),
                variances: regression
                    .covariance
                    .iter()
                    .enumerate()
                    .map(|(index, row)| row[index] as f32)
                    .collect(),
                seen: to_f32(&regression.seen),
            })
            .collect();
        LearnedInterference { filling, serving }
    }

    /// Restores the state learned by an earlier planner; entries of other dimensions are ignored.
    pub fn restore(&mut self, learned: &LearnedInterference, images: &mut Images) {
        for image in &learned.filling {
            self.place(images.number(image));
        }
        for image in &learned.serving {
            let sizes = (image.weights.len(), image.variances.len(), image.seen.len());
            if sizes != (FEATURES, FEATURES, MAX_IMAGES) {
                continue;
            }
            let mut regression = Box::new(Regression::new());
            copy_from_f32(&mut regression.weights, &image.weights);
            copy_from_f32(&mut regression.seen, &image.seen);
            for (feature, (row, variance)) in
                regression.covariance.iter_mut().zip(&image.variances).enumerate()
            {
                row[feature] = f64::from(*variance);
            }
            let index = usize::from(images.number(&image.image));
            if self.regressions.len() <= index {
                self.regressions.resize_with(index + 1, || None);
            }
            self.regressions[index] = Some(regression);
        }
    }
}

fn to_f32(values: &[f64]) -> Vec<f32> {
    values.iter().map(|value| *value as f32).collect()
}

fn copy_from_f32(to: &mut [f64], from: &[f32]) {
    to.iter_mut().zip(from).for_each(|(to, from)| *to = f64::from(*from));
}
