//! `noisy-neighbour`: hidden pairwise interference, late usage reports and shifting load.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::cluster_model::{
    ClusterModel, ServiceTruth, batch_job, cluster_for_seed, need, profiles,
};
use super::outcome::SimOutcome;
use super::scheduler::SchedulerKind;
use super::{results, run_all};
use crate::result::{Check, SeedResult};

/// Length of the run.
const HORIZON_MS: u64 = 1_200_000;

/// Processor demand of batch work as a share of the batch capacity.
const DEMAND_SHARE: f64 = 0.85;

/// Number of batch classes.
const CLASSES: usize = 6;

/// Number of services.
const SERVICES: usize = 4;

const KINDS: &[SchedulerKind] = &[
    SchedulerKind::Agatesill,
    SchedulerKind::FirstFit,
    SchedulerKind::BestFit,
    SchedulerKind::NoInterference,
    SchedulerKind::EvictNewest,
    SchedulerKind::Unmeasured,
    SchedulerKind::Oracle,
];

/// Runs one seed.
pub fn run(seed: u64, only: Option<&str>) -> SeedResult {
    let model = build(seed);
    let outcomes = run_all(&model, KINDS, only);
    let figures = |out: &SimOutcome| {
        vec![
            ("outside_percent", out.outside_percent()),
            ("work_cpu_s", out.work_ms / 1_000.0),
            ("wasted_percent", out.wasted_percent()),
            ("evictions", out.evictions as f64),
            ("throttles", out.throttles as f64),
        ]
    };
    let mut result =
        SeedResult { policies: results(KINDS, &outcomes, figures), ..SeedResult::default() };
    let of = |kind: SchedulerKind| outcomes.get(kind.name());
    if let (Some(agatesill), Some(first), Some(oracle)) =
        (of(SchedulerKind::Agatesill), of(SchedulerKind::FirstFit), of(SchedulerKind::Oracle))
    {
        let outside = agatesill.outside_ms as f64 / (first.outside_ms as f64).max(1.0);
        result.checks = vec![
            Check::at_most("outside the promise over first fit's", outside, 0.25),
            Check::at_least("batch work over first fit's", agatesill.work_ms / first.work_ms, 0.95),
        ];
        let distance = agatesill.outside_percent() - oracle.outside_percent();
        if let Some(policy) = result.policies.first_mut() {
            policy.figures.insert("outside_beyond_oracle_percent".to_owned(), distance);
        }
    }
    result
}

fn build(seed: u64) -> ClusterModel {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let cluster = cluster_for_seed(seed);
    let mut model = ClusterModel::empty(cluster, seed, HORIZON_MS);
    model.cluster = cluster;
    model.until_idle = false;
    model.doc = profiles(4);
    for index in 0..CLASSES {
        let cpu = rng.random_range(0.7..1.0);
        let memory = rng.random_range(0.4..0.95);
        model.class(&format!("class-{index}"), rng.random_range(0.7..1.5), cpu, memory);
    }
    // The slowdown for each processor shrinks with the worker's size, since larger workers have
    // more cache and memory bandwidth.
    let scale = 16.0 / cluster.cpus as f64;
    for index in 0..SERVICES {
        let slowdown = (0..CLASSES).map(|_| {
            if rng.random_bool(0.4) {
                rng.random_range(0.06..0.25) * scale
            } else {
                rng.random_range(0.0..0.02) * scale
            }
        });
        let slowdown = slowdown.collect();
        model.services.push(ServiceTruth {
            name: format!("service-{index}"),
            base_ln: -1.2,
            rise_ln: rng.random_range(0.5..0.75),
            slowdown,
            period_ms: rng.random_range(500_000.0..900_000.0),
            phase: rng.random_range(0.0..1.0),
        });
    }
    add_jobs(&mut model, &mut rng);
    model
}

/// Adds jobs of a few tasks with random arrivals and a mean demand of `DEMAND_SHARE`.
fn add_jobs(model: &mut ClusterModel, rng: &mut Pcg64Mcg) {
    let batch_cpus = model.cluster.batch_cpus() as f64;
    let mut at_ms = 0.0;
    let mut nth = 0;
    while at_ms < HORIZON_MS as f64 {
        let class = rng.random_range(0..CLASSES);
        let tasks = rng.random_range(1..=8);
        let cpu_milli = rng.random_range(1..=3) * 1_000;
        let id = format!("job-{nth}");
        let name = model.classes[class].name.clone();
        let mut spec = batch_job(id, "bills", &name, tasks, need(cpu_milli, 2_500));
        spec.run_ms = rng.random_range(30_000..150_000);
        let work = f64::from(tasks) * (cpu_milli as f64 / 1_000.0) * spec.run_ms as f64;
        let ratio = model.classes[class].time_ratio;
        model.job(rng, class, at_ms as u64, spec);
        at_ms += work * ratio / (batch_cpus * DEMAND_SHARE) * rng.random_range(0.5..1.5);
        nth += 1;
    }
}
