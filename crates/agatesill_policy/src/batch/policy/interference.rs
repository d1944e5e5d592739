//! How much a batch class slows a service down, learned from late measurements.
//!
//! Load pattern: services and batch tasks on shared workers, where the slowdown depends on the
//! pair and grows with the service's load, and is seen seconds after the harm. Without it, a
//! placement by size alone pairs services with the tasks that hurt them most; docs/BATCH.md gives
//! the figures of `noisy-neighbour` against first fit, best fit and an oracle.
//!
//! For each service the logarithm of its tail answer time over the promise is a linear function
//! of its load and of the processor time of each batch class beside it, with and without the
//! load as a factor. Recursive least squares with forgetting fits it: old pairs fade, and the
//! covariance says how far a prediction can be trusted. A logarithm, because slowdowns of
//! several neighbours multiply and single tails are wild.

use std::collections::BTreeMap;

/// Classes told apart; the rest share the last place. Bounds the cost of an update.
pub const MAX_CLASSES: usize = 12;

/// Features of one service: a constant, its load, and two for each class.
const FEATURES: usize = 2 + 2 * MAX_CLASSES;

/// Share of the past kept with each sample: 0.9995 fades a pair over 2,000 samples, which is a
/// minute and a half of 25 workers that report once a second.
const KEEP: f64 = 0.9995;

/// Uncertainty of a feature before any sample; also its bound, so that a pair that has not been
/// seen for long does not make the fit unstable.
const PRIOR_VARIANCE: f64 = 0.25;

/// Noise of one measurement, in squared logarithms (about 15%).
const NOISE: f64 = 0.02;

/// Assumed of a service without measurements: well below its promise.
const UNKNOWN_PRESSURE: f64 = -1.0;

/// A prediction in logarithms of the ratio to the promise.
#[derive(Clone, Copy, Debug, Default)]
pub struct Predicted {
    /// Mean.
    pub mean: f64,
    /// Standard deviation of the mean.
    pub deviation: f64,
}

#[derive(Clone, Debug)]
struct Fit {
    weights: [f64; FEATURES],
    covariance: Vec<[f64; FEATURES]>,
}

impl Fit {
    fn new() -> Self {
        let mut covariance = vec![[0.0; FEATURES]; FEATURES];
        for (index, row) in covariance.iter_mut().enumerate() {
            row[index] = PRIOR_VARIANCE;
        }
        let mut weights = [0.0; FEATURES];
        weights[0] = UNKNOWN_PRESSURE;
        covariance[0][0] = 1.0;
        Self { weights, covariance }
    }

    fn spread(&self, features: &[f64; FEATURES]) -> [f64; FEATURES] {
        let mut out = [0.0; FEATURES];
        for (out, row) in out.iter_mut().zip(&self.covariance) {
            *out = dot(row, features);
        }
        out
    }

    fn learn(&mut self, features: &[f64; FEATURES], value: f64) {
        let spread = self.spread(features);
        let scale = NOISE + dot(&spread, features);
        let error = value - dot(&self.weights, features);
        for (weight, spread) in self.weights.iter_mut().zip(&spread) {
            *weight += spread / scale * error;
        }
        for (row, a) in self.covariance.iter_mut().zip(&spread) {
            for (cell, b) in row.iter_mut().zip(&spread) {
                *cell -= a * b / scale;
            }
        }
        self.forget();
    }

    /// Lets what was learned fade, up to the prior.
    fn forget(&mut self) {
        for index in 0..FEATURES {
            if self.covariance[index][index] < PRIOR_VARIANCE * KEEP {
                let grown = self.covariance[index][index] * (1.0 / KEEP - 1.0);
                self.covariance[index][index] += grown;
            }
        }
    }
}

fn dot(a: &[f64; FEATURES], b: &[f64; FEATURES]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

/// Processors used by each batch class on one worker.
pub type ClassLoad = [f64; MAX_CLASSES];

/// What is learned about all services.
#[derive(Debug, Default)]
pub struct Interference {
    services: BTreeMap<String, Fit>,
    classes: BTreeMap<String, usize>,
}

impl Interference {
    /// The place of a class in a [`ClassLoad`].
    pub fn class_index(&mut self, class: &str) -> usize {
        if let Some(index) = self.classes.get(class) {
            return *index;
        }
        let index = self.classes.len().min(MAX_CLASSES - 1);
        self.classes.insert(class.to_owned(), index);
        index
    }

    /// The place of a class that was seen before.
    pub fn known_class(&self, class: &str) -> Option<usize> {
        self.classes.get(class).copied()
    }

    /// Takes in a measurement of a service beside `classes`; `ratio` is its tail answer time over
    /// the promise, `load` the processors that it used.
    pub fn learn(&mut self, service: &str, load: f64, classes: &ClassLoad, ratio: f64) {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), Fit::new());
        }
        if let Some(fit) = self.services.get_mut(service) {
            fit.learn(&features(load, classes), ratio.max(0.01).ln());
        }
    }

    /// Predicts the logarithm of a service's tail answer time over its promise beside `classes`.
    pub fn predict(&self, service: &str, load: f64, classes: &ClassLoad) -> f64 {
        match self.services.get(service) {
            Some(fit) => dot(&fit.weights, &features(load, classes)),
            None => UNKNOWN_PRESSURE,
        }
    }

    /// By how much one processor of `class` raises the logarithm of the service's tail, and how
    /// far that is known.
    pub fn slowdown(&self, service: &str, load: f64, class: usize) -> Predicted {
        let Some(fit) = self.services.get(service) else {
            return Predicted { mean: 0.0, deviation: PRIOR_VARIANCE.sqrt() };
        };
        let (flat, loaded) = (2 + 2 * class, 3 + 2 * class);
        let variance = fit.covariance[flat][flat]
            + 2.0 * load * fit.covariance[flat][loaded]
            + load * load * fit.covariance[loaded][loaded];
        Predicted {
            mean: fit.weights[flat] + load * fit.weights[loaded],
            deviation: variance.max(0.0).sqrt(),
        }
    }

    /// Services with measurements.
    pub fn services(&self) -> impl Iterator<Item = &str> {
        self.services.keys().map(String::as_str)
    }
}

fn features(load: f64, classes: &ClassLoad) -> [f64; FEATURES] {
    let mut features = [0.0; FEATURES];
    features[0] = 1.0;
    features[1] = load;
    for (index, cpus) in classes.iter().enumerate() {
        features[2 + 2 * index] = *cpus;
        features[3 + 2 * index] = *cpus * load;
    }
    features
}
