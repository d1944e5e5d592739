//! Least-squares lines through measured points.

use crate::result::{PolicyResult, Series};

/// Figures over sizes, reported as points, slope and value at size zero.
#[derive(Debug)]
pub struct Line {
    name: &'static str,
    size: &'static str,
    points: Vec<(f64, f64)>,
}

impl Line {
    /// A line of figure `name`, which ends in its unit, over `size`.
    pub fn new(name: &'static str, size: &'static str) -> Self {
        Self { name, size, points: Vec::new() }
    }

    /// Adds a measured point.
    pub fn add(&mut self, size: f64, figure: f64) {
        self.points.push((size, figure));
    }

    /// Writes points, slope and base into `result`.
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

/// Slope and value at zero of the least-squares line.
fn fit(points: &[(f64, f64)]) -> (f64, f64) {
    let count = points.len() as f64;
    let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
    let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
    let spread: f64 = points.iter().map(|point| (point.0 - mean_x).powi(2)).sum();
    let both: f64 = points.iter().map(|point| (point.0 - mean_x) * (point.1 - mean_y)).sum();
    if spread == 0.0 {
        return (0.0, mean_y);
    }
    (both / spread, mean_y - both / spread * mean_x)
}
