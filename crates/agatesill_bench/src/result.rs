//! What a scenario reports: figures and series by policy, and checks against bounds.

use std::collections::BTreeMap;

use serde::Serialize;

/// How far a single seed may lie beyond a bound that the median has to keep.
pub const SEED_SLACK: f64 = 1.5;

/// A line of a plot.
#[derive(Clone, Debug, Serialize)]
pub struct Series {
    /// The plot that the line belongs to; lines of the same plot share its axes.
    pub plot: String,
    /// Label of the x axis, with unit.
    pub x_label: String,
    /// Label of the y axis, with unit.
    pub y_label: String,
    /// Points in order of x.
    pub points: Vec<(f64, f64)>,
}

/// One policy's outcome at one seed.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyResult {
    /// Name; the product's own policy is called `agatesill`.
    pub policy: String,
    /// Figures by name; names end in their unit.
    pub figures: BTreeMap<String, f64>,
    /// Lines for the report; left out of the JSON.
    #[serde(skip)]
    pub series: Vec<Series>,
}

/// A figure held against a bound.
#[derive(Clone, Debug, Serialize)]
pub struct Check {
    /// What is checked.
    pub name: String,
    /// The figure.
    pub value: f64,
    /// The bound.
    pub bound: f64,
    /// Whether the figure may be at most the bound, or has to be at least it.
    pub at_most: bool,
}

impl Check {
    /// The figure may be at most `bound`.
    pub fn at_most(name: &str, value: f64, bound: f64) -> Self {
        Self { name: name.to_owned(), value, bound, at_most: true }
    }

    /// The figure, a share of one, has to be at least `bound`.
    pub fn at_least(name: &str, value: f64, bound: f64) -> Self {
        Self { name: name.to_owned(), value, bound, at_most: false }
    }

    /// Whether the figure keeps the bound.
    pub fn holds(&self) -> bool {
        if self.at_most { self.value <= self.bound } else { self.value >= self.bound }
    }

    /// Whether the figure keeps the bound with the slack that a single seed has: half as much
    /// again for what may be at most, half as much again missing to one for a share.
    pub fn holds_with_slack(&self) -> bool {
        if self.at_most {
            self.value <= self.bound * SEED_SLACK
        } else {
            1.0 - self.value <= (1.0 - self.bound) * SEED_SLACK
        }
    }
}

/// One seed's outcome.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SeedResult {
    /// The seed.
    pub seed: u64,
    /// Policies, the product's own first.
    pub policies: Vec<PolicyResult>,
    /// Checks of the product's own policy.
    pub checks: Vec<Check>,
}
