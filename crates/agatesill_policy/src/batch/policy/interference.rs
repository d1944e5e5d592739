//! Model of how much a batch class slows down a service, learned from delayed measurements.
//!
//! The slowdown of services on shared workers depends on the pair of service and class, grows with
//! the service's load, and is visible only seconds later. Placement by size alone would put
//! services next to the tasks that slow them down most. docs/BATCH.md has the results of the
//! `noisy-neighbour` benchmark against first fit, best fit and an oracle.
//!
//! For each service, the logarithm of the ratio of tail latency to latency target is modelled as a
//! linear function of its load and of the CPU time of each batch class on the worker, with and
//! without the load as a factor. Recursive least squares with forgetting fits the model: old pairs
//! fade, and the covariance gives the uncertainty of a prediction. The logarithm is used because
//! the slowdowns by several classes multiply and single tail latencies have outliers.

use std::collections::BTreeMap;

/// Number of classes with their own coefficients. Further classes share the last index. Bounds the
/// cost of an update.
pub const MAX_CLASSES: usize = 12;

/// Features of one service: a constant, its load, and two for each class.
const FEATURES: usize = 2 + 2 * MAX_CLASSES;

/// Weight of the past after each sample. With 0.9995, a pair fades over 2,000 samples, which 25
/// workers report in a minute and a half at one report per second.
const FORGETTING_FACTOR: f64 = 0.9995;

/// Variance of a coefficient before any sample. It is also an upper bound, so that the fit stays
/// stable if a pair is not observed for long.
const PRIOR_VARIANCE: f64 = 0.25;

/// Variance of one measurement's logarithm, a standard deviation of about 15%.
const MEASUREMENT_NOISE: f64 = 0.02;

/// Pressure assumed for a service without measurements: well below its latency target.
const PRIOR_PRESSURE: f64 = -1.0;

/// A predicted difference of the logarithm of the tail latency.
#[derive(Clone, Copy, Debug, Default)]
pub struct Prediction {
    pub mean: f64,
    /// Standard deviation of the mean.
    pub deviation: f64,
}

#[derive(Clone, Debug)]
struct LinearModel {
    weights: [f64; FEATURES],
    covariance: Vec<[f64; FEATURES]>,
}

impl LinearModel {
    fn new() -> Self {
        let mut covariance = vec![[0.0; FEATURES]; FEATURES];
        for (index, row) in covariance.iter_mut().enumerate() {
            row[index] = PRIOR_VARIANCE;
        }
        let mut weights = [0.0; FEATURES];
        weights[0] = PRIOR_PRESSURE;
        covariance[0][0] = 1.0;
        Self { weights, covariance }
    }

    fn covariance_product(&self, features: &[f64; FEATURES]) -> [f64; FEATURES] {
        let mut out = [0.0; FEATURES];
        for (out, row) in out.iter_mut().zip(&self.covariance) {
            *out = dot(row, features);
        }
        out
    }

    fn learn(&mut self, features: &[f64; FEATURES], value: f64) {
        let product = self.covariance_product(features);
        let scale = MEASUREMENT_NOISE + dot(&product, features);
        let error = value - dot(&self.weights, features);
        for (weight, product) in self.weights.iter_mut().zip(&product) {
            *weight += product / scale * error;
        }
        for (row, a) in self.covariance.iter_mut().zip(&product) {
            for (cell, b) in row.iter_mut().zip(&product) {
                *cell -= a * b / scale;
            }
        }
        self.forget();
    }

    /// Increases the variances again so that old samples lose weight, up to the prior variance.
    fn forget(&mut self) {
        for index in 0..FEATURES {
            if self.covariance[index][index] < PRIOR_VARIANCE * FORGETTING_FACTOR {
                let growth = self.covariance[index][index] * (1.0 / FORGETTING_FACTOR - 1.0);
                self.covariance[index][index] += growth;
            }
        }
    }
}

fn dot(a: &[f64; FEATURES], b: &[f64; FEATURES]) -> f64 {
    a.iter().zip(b).map(|(a, b)| a * b).sum()
}

/// CPU use of each batch class on one worker, in cores.
pub type ClassLoad = [f64; MAX_CLASSES];

/// The models of all services.
#[derive(Debug, Default)]
pub struct InterferenceModel {
    services: BTreeMap<String, LinearModel>,
    classes: BTreeMap<String, usize>,
}

impl InterferenceModel {
    /// The index of a class in a [`ClassLoad`], assigned at first use.
    pub fn class_index(&mut self, class: &str) -> usize {
        if let Some(index) = self.classes.get(class) {
            return *index;
        }
        let index = self.classes.len().min(MAX_CLASSES - 1);
        self.classes.insert(class.to_owned(), index);
        index
    }

    /// The index of a class, if it has one.
    pub fn known_class(&self, class: &str) -> Option<usize> {
        self.classes.get(class).copied()
    }

    /// Learns from a measurement of a service on a worker with the batch load `classes`. `ratio` is
    /// the tail latency divided by the latency target, and `load` is the service's CPU use in
    /// cores.
    pub fn learn(&mut self, service: &str, load: f64, classes: &ClassLoad, ratio: f64) {
        if !self.services.contains_key(service) {
            self.services.insert(service.to_owned(), LinearModel::new());
        }
        if let Some(model) = self.services.get_mut(service) {
            model.learn(&features(load, classes), ratio.max(0.01).ln());
        }
    }

    /// Predicts the logarithm of the ratio of a service's tail latency to its latency target on a
    /// worker with the batch load `classes`.
    pub fn predict(&self, service: &str, load: f64, classes: &ClassLoad) -> f64 {
        match self.services.get(service) {
            Some(model) => dot(&model.weights, &features(load, classes)),
            None => PRIOR_PRESSURE,
        }
    }

    /// Predicted increase of the logarithm of the service's tail latency per core of `class`, with
    /// its uncertainty.
    pub fn slowdown(&self, service: &str, load: f64, class: usize) -> Prediction {
        let Some(model) = self.services.get(service) else {
            return Prediction { mean: 0.0, deviation: PRIOR_VARIANCE.sqrt() };
        };
        let (base, by_load) = (2 + 2 * class, 3 + 2 * class);
        let variance = model.covariance[base][base]
            + 2.0 * load * model.covariance[base][by_load]
            + load * load * model.covariance[by_load][by_load];
        Prediction {
            mean: model.weights[base] + load * model.weights[by_load],
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
