//! Least-squares fits of measured points.

use crate::result::{PolicyResult, Series};

/// A figure measured at several sizes; reports its points, slope and value at size zero.
#[derive(Debug)]
pub struct Line {
    name: &'static str,
    size: &'static str,
    points: Vec<(f64, f64)>,
}

impl Line {
    /// Creates an empty line of the figure `name`, which ends in its unit, over `size`.
    pub fn new(name: &'static str, size: &'static str) -> Self {
        Self { name, size, points: Vec::new() }
    }

    /// Adds a measured point.
    pub fn add(&mut self, size: f64, figure: f64) {
        self.points.push((size, figure));
    }

    /// Adds points, slope and base to `result`.
    pub fn report(self, result: &mut PolicyResult) {
        let (slope, base) = fit(&self.points);
        for (size, figure) in &self.points {
            result.figures.insert(format!("{} at {:06} {}", self.name, size, self.size), *figure);
        }
        result.figures.insert(format!("{} per {} (slope)", self.name, self.size), slope);
        result.figures.insert(format!("{} at none (base)", self.name), base);
        result.series.push(Series {
            plot: self.name.to_owned(),
            x_label: self.size.to_owned(),
            y_label: self.name.to_owned(),
            points: self.points,
        });
    }
}

/// Slope of the least-squares line and its value at zero.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let variance: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let covariance: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
    if variance == 0.0 {
        return (0.0, mean_y);
    }
    (covariance / variance, mean_y - covariance / variance * mean_x)
}
