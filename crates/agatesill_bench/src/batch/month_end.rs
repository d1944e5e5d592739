//! `month-end`: 95% load with deadlines and actual run times 0.3 to 5 times the declared ones.

use std::collections::BTreeMap;

use agatesill_policy::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::cluster_model::{
    ClusterModel, ServiceTruth, batch_job, cluster_for_seed, need, profiles,
};
use super::outcome::SimOutcome;
use super::scheduler::SchedulerKind;
use super::{results, run_all};
use crate::result::{Check, SeedResult};

/// Time over which jobs arrive, and the length of the run.
const ARRIVAL_WINDOW_MS: u64 = 2_400_000;
const HORIZON_MS: u64 = 3_600_000;

/// Processor demand by declared size and actual run time, as a share of the batch capacity.
const DEMAND_SHARE: f64 = 0.95;

/// In the first part of the run, jobs arrive at `PEAK_RATE_FACTOR` times the mean rate; the rest
/// arrive at `OFF_PEAK_RATE_FACTOR` times that rate, so that the mean over the run is the demand.
const PEAK_MS: f64 = 800_000.0;
const PEAK_RATE_FACTOR: f64 = 1.8;
const OFF_PEAK_RATE_FACTOR: f64 = 0.6;

/// Evictions of a task in an hour that its profile allows.
const EVICTIONS_PER_HOUR: u32 = 3;

/// Share of jobs with a tight deadline.
const TIGHT_DEADLINE_SHARE: f64 = 0.5;

const KINDS: &[SchedulerKind] = &[
    SchedulerKind::Agatesill,
    SchedulerKind::FirstFit,
    SchedulerKind::BestFit,
    SchedulerKind::NoInterference,
    SchedulerKind::EvictNewest,
    SchedulerKind::Unmeasured,
];

/// The baselines of the check; the variants of the project's own policy are excluded.
const BASELINES: &[SchedulerKind] = &[
    SchedulerKind::FirstFit,
    SchedulerKind::BestFit,
    SchedulerKind::NoInterference,
    SchedulerKind::EvictNewest,
];

/// Runs one seed.
pub fn run(seed: u64, only: Option<&str>) -> SeedResult {
    let model = build(seed);
    let outcomes = run_all(&model, KINDS, only);
    let figures = |out: &SimOutcome| {
        vec![
            ("late_jobs", late(&model, out) as f64),
            ("jobs", model.jobs.len() as f64),
            ("evictions", out.evictions as f64),
            ("most_evictions_of_a_task", max_evictions(out) as f64),
            ("wasted_percent", out.wasted_percent()),
            ("outside_percent", out.outside_percent()),
        ]
    };
    let policies = results(KINDS, &outcomes, figures);
    let checks = checks(&model, &outcomes);
    SeedResult { policies, checks, ..SeedResult::default() }
}

fn checks(model: &ClusterModel, outcomes: &BTreeMap<&'static str, SimOutcome>) -> Vec<Check> {
    let Some(agatesill) = outcomes.get(SchedulerKind::Agatesill.name()) else { return Vec::new() };
    let mut checks = vec![
        Check::at_most(
            "most evictions of a task over its profile's tolerance",
            max_evictions(agatesill) as f64 / f64::from(EVICTIONS_PER_HOUR),
            1.0,
        ),
        Check::at_most("wasted work in percent", agatesill.wasted_percent(), 3.0),
    ];
    let baselines: Option<Vec<usize>> = BASELINES
        .iter()
        .map(|kind| outcomes.get(kind.name()).map(|out| late(model, out)))
        .collect();
    if let Some(best) = baselines.and_then(|late| late.into_iter().min()) {
        let ratio = late(model, agatesill) as f64 / (best as f64).max(1.0);
        checks.insert(0, Check::at_most("late jobs over the best baseline's", ratio, 0.5));
    }
    checks
}

fn late(model: &ClusterModel, out: &SimOutcome) -> usize {
    let jobs = model.jobs.iter().zip(&out.jobs);
    jobs.filter(|(truth, seen)| {
        let due_ms = truth.arrive_ms + truth.spec.deadline_ms;
        seen.outcome != Some(JobOutcome::Done) || seen.closed_ms.is_none_or(|at| at > due_ms)
    })
    .count()
}

fn max_evictions(out: &SimOutcome) -> u32 {
    out.jobs.iter().flat_map(|job| &job.evictions).copied().max().unwrap_or_default()
}

fn build(seed: u64) -> ClusterModel {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let cluster = cluster_for_seed(seed);
    let mut model = ClusterModel::empty(cluster, seed, HORIZON_MS);
    model.cluster = cluster;
    model.doc = profiles(EVICTIONS_PER_HOUR);
    for (index, name) in
        ["bills", "costs", "ledger", "review", "watch", "export"].iter().enumerate()
    {
        // Log-uniform over 0.3 to 5, stratified so that every seed covers both ends.
        let share = (index as f64 + rng.random_range(0.0..1.0)) / 6.0;
        let time = 0.3 * (5.0f64 / 0.3).powf(share);
        model.class(name, time, rng.random_range(0.8..1.0), rng.random_range(0.5..0.95));
    }
    add_services(&mut model, &mut rng);
    add_jobs(&mut model, &mut rng);
    model
}

/// Adds services that a few classes interfere with, so that the policy has to protect them.
fn add_services(model: &mut ClusterModel, rng: &mut Pcg64Mcg) {
    let scale = 16.0 / model.cluster.cpus as f64;
    for index in 0..4 {
        let slowdown = (0..model.classes.len()).map(|_| {
            let noisy = rng.random_bool(0.2);
            scale * if noisy { rng.random_range(0.06..0.15) } else { rng.random_range(0.0..0.02) }
        });
        let slowdown = slowdown.collect();
        model.services.push(ServiceTruth {
            name: format!("service-{index}"),
            base_ln: -1.4,
            rise_ln: rng.random_range(0.4..0.6),
            slowdown,
            period_ms: rng.random_range(900_000.0..1_500_000.0),
            phase: rng.random_range(0.0..1.0),
        });
    }
}

fn add_jobs(model: &mut ClusterModel, rng: &mut Pcg64Mcg) {
    let batch_cpus = model.cluster.batch_cpus() as f64;
    let mut at_ms = 0.0;
    let mut nth = 0;
    while at_ms < ARRIVAL_WINDOW_MS as f64 {
        let class = rng.random_range(0..model.classes.len());
        let ratio = model.classes[class].time_ratio;
        let tasks = rng.random_range(4..=40);
        let cpu_milli = rng.random_range(1..=3) * 1_000;
        let name = model.classes[class].name.clone();
        let team = format!("team-{}", rng.random_range(0..8));
        let id = format!("job-{nth}");
        let mut spec = batch_job(id, &team, &name, tasks, need(cpu_milli, 2_500));
        spec.run_ms = (rng.random_range(30_000.0..120_000.0) / ratio.sqrt()) as u64;
        let true_ms = spec.run_ms as f64 * ratio;
        let factor = if rng.random_bool(TIGHT_DEADLINE_SHARE) {
            rng.random_range(1.5..4.0)
        } else {
            rng.random_range(4.0..10.0)
        };
        spec.deadline_ms = (true_ms * factor) as u64 + 15_000;
        let work = f64::from(tasks) * (cpu_milli as f64 / 1_000.0) * true_ms;
        model.job(rng, class, at_ms as u64, spec);
        let rate_factor = if at_ms < PEAK_MS { PEAK_RATE_FACTOR } else { OFF_PEAK_RATE_FACTOR };
        at_ms += work / (batch_cpus * DEMAND_SHARE * rate_factor) * rng.random_range(0.5..1.5);
        nth += 1;
    }
}
