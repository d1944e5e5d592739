//! Verdicts over several seeds: the median must satisfy the bound, and every seed the bound with
//! slack.

use serde::Serialize;

use crate::result::{Check, SeedResult};

/// Result of one check over all seeds.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// Name of the checked figure.
    pub name: String,
    /// Median over the seeds.
    pub median: f64,
    /// Highest value for an upper bound, lowest value for a lower bound.
    pub worst: f64,
    /// Seed of the worst value.
    pub worst_seed: u64,
    /// The bound.
    pub bound: f64,
    /// Whether the bound is an upper bound.
    pub at_most: bool,
    /// Whether the median satisfies the bound, and every seed the bound with slack.
    pub passed: bool,
}

/// Verifies every check of the first seed over all seeds, in the order of the first seed.
pub fn verify(results: &[SeedResult]) -> Vec<Verdict> {
    let Some(first) = results.first() else { return Vec::new() };
    first.checks.iter().map(|check| verify_check(check, results)).collect()
}

fn verify_check(check: &Check, results: &[SeedResult]) -> Verdict {
    let mut seen: Vec<(f64, u64)> = results
        .iter()
        .flat_map(|result| {
            result
                .checks
                .iter()
                .filter(|one| one.name == check.name)
                .map(|one| (one.value, result.seed))
        })
        .collect();
    seen.sort_by(|a, b| a.0.total_cmp(&b.0));
    let middle = seen.len() / 2;
    let median = if seen.len() % 2 == 1 {
        seen[middle].0
    } else {
        f64::midpoint(seen[middle - 1].0, seen[middle].0)
    };
    let (worst, worst_seed) = if check.at_most { seen[seen.len() - 1] } else { seen[0] };
    let with = |value| Check { value, ..check.clone() };
    Verdict {
        name: check.name.clone(),
        median,
        worst,
        worst_seed,
        bound: check.bound,
        at_most: check.at_most,
        passed: with(median).holds() && with(worst).holds_with_slack(),
    }
}
