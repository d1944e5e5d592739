//! Batch scheduling scenarios on a virtual clock, compared with baseline schedulers.
//!
//! The interference between classes and services is hidden from all schedulers but the oracle.

mod cluster_model;
mod month_end;
mod noisy;
mod outcome;
mod poison;
mod quota;
mod rack_loss;
mod scale;
mod scheduler;
mod sim;
mod waves;

use std::collections::BTreeMap;

use cluster_model::ClusterModel;
use outcome::SimOutcome;
use scheduler::SchedulerKind;
use sim::simulate;

use crate::result::PolicyResult;
use crate::scenario::{Kind, Scenario};

/// The scenarios of this module.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "noisy-neighbour",
        pattern: "services with shifting load next to batch classes with hidden interference; \
                  usage reports 5 s late",
        bounds: "time over the latency objective <= 1/4 of first fit's, batch work >= 95% of it",
        kind: Kind::Virtual(noisy::run),
    },
    Scenario {
        name: "month-end",
        pattern: "95% load with deadlines, actual run times 0.3 to 5 times the declared ones",
        bounds: "late jobs <= 1/2 of the best baseline's, evictions within the profile's limit, \
                 wasted work <= 3%",
        kind: Kind::Virtual(month_end::run),
    },
    Scenario {
        name: "poison-worker",
        pattern: "3 of 50 workers fail everything, 5% of jobs fail everywhere",
        bounds: "<= 1% of good jobs with over two failed attempts, no healthy \
                 worker quarantined over 60 s",
        kind: Kind::Virtual(poison::run),
    },
    Scenario {
        name: "cancel-wave",
        pattern: "10,000 of 14,000 jobs cancelled at once, some of them running",
        bounds: "none started after its cancellation, freed capacity in use within 5 s, \
                 <= 200 store writes/s",
        kind: Kind::Virtual(waves::run_cancel),
    },
    Scenario {
        name: "impossible-jobs",
        pattern: "jobs that fit on no worker, and jobs whose only workers are lost temporarily",
        bounds: "refused or reported within 6 s, others slowed by at most 5%, all completed",
        kind: Kind::Virtual(waves::run_impossible),
    },
    Scenario {
        name: "rack-loss",
        pattern: "a rack, then a zone, stops at once on a loaded cluster",
        bounds: "rack's tasks re-placed in 20 s, a zone's services in 15 s, <= 200 store writes/s",
        kind: Kind::Virtual(rack_loss::run),
    },
    Scenario {
        name: "quota",
        pattern: "200 teams, a tenth of which demand ten times their share; urgent \
                  work on a full cluster",
        bounds: "each entitled team >= 95% of its share in a minute, urgent start p99 < 5.4 s",
        kind: Kind::Virtual(quota::run),
    },
    Scenario {
        name: "place-scale",
        pattern: "13,000 batch and 5,100 latency-critical tasks placed on 50, 500, 2,000 workers",
        bounds: ">= 5,000 placements/s on one core, cost growing at most with the logarithm \
                 of the workers",
        kind: Kind::Real(scale::run),
    },
];

/// Simulates the given schedulers, or only the one named on the command line.
fn run_all(
    model: &ClusterModel,
    kinds: &[SchedulerKind],
    only: Option<&str>,
) -> BTreeMap<&'static str, SimOutcome> {
    let selected = kinds.iter().filter(|kind| only.is_none_or(|only| only == kind.name()));
    selected.map(|kind| (kind.name(), simulate(model, *kind))).collect()
}

/// Converts the outcomes into results, in the order of `kinds`.
fn results(
    kinds: &[SchedulerKind],
    outcomes: &BTreeMap<&'static str, SimOutcome>,
    figures: impl Fn(&SimOutcome) -> Vec<(&'static str, f64)>,
) -> Vec<PolicyResult> {
    let known = kinds.iter().filter_map(|kind| outcomes.get(kind.name()).map(|out| (kind, out)));
    known
        .map(|(kind, out)| PolicyResult {
            policy: kind.name().to_owned(),
            figures: figures(out)
                .into_iter()
                .map(|(name, value)| (name.to_owned(), value))
                .collect(),
            series: out.series(),
        })
        .collect()
}
