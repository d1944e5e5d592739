//! How much each filling image presses each serving image, learned from what polls of workers report.
//!
//! For each serving image the logarithm of tail over target is taken as a constant and a weight for
//! each filling image, times the part of the worker that tasks of this image used in the same half
//! second. Ridge regression, updated with each sample, fits the weights. The serving task's own load
//! moves its tail slowly and by about a factor of two: it is the noise of the fit, while a harmful
//! pair shows at once, at two or three times that.

use crate::fleet::images::{ImageId, Images};
use crate::fleet::worker::Worker;
use crate::value_type;

/// Filling images told apart; further ones share the last place, which bounds the cost of a sample.
/// Images that share a place share the blame: a harmless one hides those that harm.
pub const MAX_IMAGES: usize = 48;

/// A constant and the filling images.
const FEATURES: usize = 1 + MAX_IMAGES;

/// Variance of a weight before any sample, over that of the noise: as if five samples with a 32nd
/// of a worker had shown no effect.
const PRIOR: f64 = 0.2;

/// The same for the constant. Were nothing known of it, a harmful task that is there from the first
/// sample on would pass for the image's own load.
const PRIOR_CONSTANT: f64 = 0.5;

/// The constant before any sample: a serving task alone keeps well below its target.
const USUAL_CONSTANT: f64 = -0.9;

/// Weight for each 32nd of a worker from which a pair counts as harmful with less certainty.
pub const HARMFUL: f64 = 0.09;

/// Weight that no harmless pair passes by more than its error, and weight below which all of them are.
const SURELY_MORE: f64 = 0.02;
const SURELY_LESS: f64 = 0.06;

/// Standard deviation of the logarithm of a tail around the fit: what the serving task's own load does.
const NOISE: f64 = 0.55;

/// Parts of a worker of one image by which its weight must have been seen before it counts.
const LEAST_SEEN: f64 = 3.0;

/// Processors of the worker that the unit of usage refers to.
const UNIT_CORES: f64 = 32.0;

/// Processors in use, in thousandths, as a part of the worker; 32 means all of it.
///
/// What an image does to tails goes by its part of the worker, not by its processors: taken for each
/// processor, pairs that press on a big worker would pass for harmless.
pub fn part_of(worker: &Worker, cpu_milli: f64) -> f64 {
    cpu_milli / worker.entry.capacity.cpu_milli.max(1) as f64 * UNIT_CORES
}

/// Part of the worker used by each filling image, in the unit of [`part_of`].
pub type Usage = [f64; MAX_IMAGES];

#[derive(Debug)]
struct Fit {
    weights: [f64; FEATURES],
    covariance: [[f64; FEATURES]; FEATURES],
    seen: Usage,
}

impl Fit {
    fn new() -> Self {
        let mut covariance = [[0.0; FEATURES]; FEATURES];
        for (index, row) in covariance.iter_mut().enumerate() {
            row[index] = if index == 0 { PRIOR_CONSTANT } else { PRIOR };
        }
        let mut weights = [0.0; FEATURES];
        weights[0] = USUAL_CONSTANT;
        Self { weights, covariance, seen: [0.0; MAX_IMAGES] }
    }

    /// Takes in a sample; only the first `used` places can differ from zero in any sample so far, and all
    /// others are as they were.
    fn learn(&mut self, usage: &Usage, used: usize, value: f64) {
        let features = features(usage);
        let used = 1 + used;
        // Few images run on one worker, so most features are zero.
        let present: Vec<(usize, f64)> =
            features.iter().copied().enumerate().filter(|(_, feature)| *feature > 0.0).collect();
        let mut spread = [0.0; FEATURES];
        for (out, row) in spread.iter_mut().zip(&self.covariance).take(used) {
            *out = present.iter().map(|(index, feature)| row[*index] * feature).sum();
        }
        let scale = 1.0 + dot(&spread, &features);
        let error = value - dot(&self.weights, &features);
        for (weight, spread) in self.weights.iter_mut().zip(&spread).take(used) {
            *weight += spread / scale * error;
        }
        for (row, a) in self.covariance.iter_mut().zip(&spread).take(used) {
            for (cell, b) in row.iter_mut().zip(&spread).take(used) {
                *cell -= a * b / scale;
            }
        }
        for (seen, cores) in self.seen.iter_mut().zip(usage) {
            *seen += cores;
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

/// What is learned about all pairs of images.
#[derive(Debug, Default)]
pub struct InterferenceModel {
    /// By serving image.
    fits: Vec<Option<Box<Fit>>>,
    /// Place of each filling image in a [`Usage`].
    places: Vec<Option<usize>>,
    known: usize,
}

impl InterferenceModel {
    /// The place of a filling image in a [`Usage`].
    pub fn place(&mut self, image: ImageId) -> usize {
        let index = usize::from(image);
        if self.places.len() <= index {
            self.places.resize(index + 1, None);
        }
        let next = self.known.min(MAX_IMAGES - 1);
        let place = self.places[index].unwrap_or(next);
        if self.places[index].is_none() {
            self.known += 1;
            self.places[index] = Some(place);
        }
        place
    }

    /// Takes in a tail of a serving image, over its target, beside `usage`.
    pub fn learn(&mut self, serving: ImageId, usage: &Usage, ratio: f64) {
        let index = usize::from(serving);
        if self.fits.len() <= index {
            self.fits.resize_with(index + 1, || None);
        }
        let fit = self.fits[index].get_or_insert_with(|| Box::new(Fit::new()));
        fit.learn(usage, self.known.min(MAX_IMAGES), ratio.max(0.01).ln());
    }

    /// By how much a 32nd of the worker in use by a filling image raises the logarithm of a serving
    /// image's tail; `None` while too little of the pair was seen.
    pub fn weight(&self, serving: ImageId, filling: ImageId) -> Option<f64> {
        let fit = self.fits.get(usize::from(serving))?.as_ref()?;
        let place = (*self.places.get(usize::from(filling))?)?;
        (fit.seen[place] >= LEAST_SEEN).then(|| fit.weights[1 + place].max(0.0))
    }
}

/// What is known of a pair of images.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pair {
    /// Too little was seen of it.
    Unsure,
    /// The filling image may run beside the serving one.
    Harmless,
    /// It presses the serving one.
    Harmful,
}

impl InterferenceModel {
    /// What is known of a pair: it is judged by its weight and by the error of that.
    ///
    /// Guards against both ways to be wrong. A pair that presses a little, but for long, looks harmless
    /// to a single bound; and one bad sample of a harmless pair would close it for good.
    pub fn pair(&self, serving: ImageId, filling: ImageId) -> Pair {
        let fit = self.fits.get(usize::from(serving)).and_then(Option::as_ref);
        let place = self.places.get(usize::from(filling)).copied().flatten();
        let (Some(fit), Some(place)) = (fit, place) else { return Pair::Unsure };
        if fit.seen[place] < LEAST_SEEN {
            return Pair::Unsure;
        }
        let weight = fit.weights[1 + place];
        let error = fit.covariance[1 + place][1 + place].max(0.0).sqrt() * NOISE;
        let least = if weight >= HARMFUL { weight - error } else { weight - 2.0 * error };
        if least > SURELY_MORE {
            Pair::Harmful
        } else if weight + 2.0 * error < SURELY_LESS {
            Pair::Harmless
        } else {
            Pair::Unsure
        }
    }
}

value_type! {
    /// What is learned of one serving image, for the next planner.
    pub struct LearnedImage {
        /// The serving image.
        pub image: String,
        /// Constant and weights.
        pub weights: Vec<f32>,
        /// Variance of each. What is known of pairs of weights is left out: it is a hundred
        /// kilobytes, and a successor learns it anew within seconds.
        pub variances: Vec<f32>,
        /// Parts of a worker of each filling image by which it was seen.
        pub seen: Vec<f32>,
    }
}

value_type! {
    /// What is learned about all pairs of images.
    #[derive(Default)]
    pub struct LearnedInterference {
        /// Filling images in the order of their places.
        pub filling: Vec<String>,
        /// Serving images.
        pub serving: Vec<LearnedImage>,
    }
}

impl InterferenceModel {
    /// What is learned, by the names of images.
    pub fn learned(&self, images: &Images) -> LearnedInterference {
        let mut filling = vec![String::new(); self.known.min(MAX_IMAGES)];
        for (image, place) in self.places.iter().enumerate() {
            // Images that share the last place are told by the first of them.
            if let Some(name) = place.and_then(|place| filling.get_mut(place)) {
                if name.is_empty() {
                    images.name(image as ImageId).clone_into(name);
                }
            }
        }
        let serving = self
            .fits
            .iter()
            .enumerate()
            .filter_map(|(image, fit)| Some((images.name(image as ImageId), fit.as_ref()?)))
            .map(|(image, fit)| LearnedImage {
                image: image.to_owned(),
                weights: short(&fit.weights),
                variances: fit
                    .covariance
                    .iter()
                    .enumerate()
                    .map(|(at, row)| row[at] as f32)
                    .collect(),
                seen: short(&fit.seen),
            })
            .collect();
        LearnedInterference { filling, serving }
    }

    /// Takes in what an earlier planner learned; what does not fit is left out.
    pub fn restore(&mut self, learned: &LearnedInterference, images: &mut Images) {
        for image in &learned.filling {
            self.place(images.number(image));
        }
        for image in &learned.serving {
            let sizes = (image.weights.len(), image.variances.len(), image.seen.len());
            if sizes != (FEATURES, FEATURES, MAX_IMAGES) {
                continue;
            }
            let mut fit = Box::new(Fit::new());
            copy(&mut fit.weights, &image.weights);
            copy(&mut fit.seen, &image.seen);
            for (at, (row, variance)) in fit.covariance.iter_mut().zip(&image.variances).enumerate()
            {
                row[at] = f64::from(*variance);
            }
            let index = usize::from(images.number(&image.image));
            if self.fits.len() <= index {
                self.fits.resize_with(index + 1, || None);
            }
            self.fits[index] = Some(fit);
        }
    }
}

fn short(values: &[f64]) -> Vec<f32> {
    values.iter().map(|value| *value as f32).collect()
}

fn copy(to: &mut [f64], from: &[f32]) {
    to.iter_mut().zip(from).for_each(|(to, from)| *to = f64::from(*from));
}
