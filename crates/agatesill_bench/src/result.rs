//! Results of a scenario: figures and series by policy, and checks against bounds.

use std::collections::BTreeMap;

use serde::Serialize;

/// Factor by which a single seed may exceed a bound that the median must satisfy.
pub const SEED_SLACK: f64 = 1.5;

/// One line of a plot.
#[derive(Clone, Debug, Serialize)]
pub struct Series {
    /// The plot that the line belongs to; lines of the same plot share its axes.
    pub plot: String,
    /// Label of the x axis, with unit.
    pub x_label: String,
    /// Label of the y axis, with unit.
    pub y_label: String,
    /// Points in ascending order of x.
    pub points: Vec<(f64, f64)>,
}

/// Results of one policy for one seed.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyResult {
    /// Name; the policy of this project is `agatesill`, all others are baselines.
    pub policy: String,
    /// Figures by name; a name ends in the unit.
    pub figures: BTreeMap<String, f64>,
    /// Lines of the report plots; omitted from the JSON.
    #[serde(skip)]
    pub series: Vec<Series>,
}

/// A figure compared with a bound.
#[derive(Clone, Debug, Serialize)]
pub struct Check {
    /// Name of the checked figure.
    pub name: String,
    /// Value of the figure.
    pub value: f64,
    /// The bound.
    pub bound: f64,
    /// Whether the bound is an upper bound; otherwise it is a lower bound.
    pub at_most: bool,
}

impl Check {
    /// Creates a check with an upper bound.
    pub fn at_most(name: &str, value: f64, bound: f64) -> Self {
        Self { name: name.to_owned(), value, bound, at_most: true }
    }

    /// Creates a check with a lower bound; the figure is a share of one.
    pub fn at_least(name: &str, value: f64, bound: f64) -> Self {
        Self { name: name.to_owned(), value, bound, at_most: false }
    }

    /// Whether the figure satisfies the bound.
    pub fn holds(&self) -> bool {
        if self.at_most { self.value <= self.bound } else { self.value >= self.bound }
    }

    /// Whether the figure satisfies the bound with the slack of a single seed: an upper bound may
    /// be exceeded by half, and for a lower bound the distance to one may be larger by half.
    pub fn holds_with_slack(&self) -> bool {
        if self.at_most {
            self.value <= self.bound * SEED_SLACK
        } else {
            1.0 - self.value <= (1.0 - self.bound) * SEED_SLACK
        }
    }
}

/// Results of one seed.
#[derive(Clone, Debug, Default, Serialize)]
pub struct SeedResult {
    /// The seed.
    pub seed: u64,
    /// Results by policy, `agatesill` first.
    pub policies: Vec<PolicyResult>,
    /// Checks of the `agatesill` policy.
    pub checks: Vec<Check>,
}
