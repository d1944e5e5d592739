//! `noisy-neighbour`: hidden pairwise interference, usage that arrives late, shifting load.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::outcome::SimOutcome;
use super::scheduler::SchedulerKind;
use super::world::{ServiceTruth, World, batch_job, floor_of, need, profiles};
use super::{results, run_all};
use crate::result::{Check, SeedResult};

/// Length of the run.
const HORIZON_MS: u64 = 1_200_000;

/// Demand for processors by batch work, as a share of what the services leave.
const DEMAND: f64 = 0.85;

/// Classes of batch work.
const CLASSES: usize = 6;

/// Services.
const SERVICES: usize = 4;

const KINDS: &[SchedulerKind] = &[
    SchedulerKind::Agatesill,
    SchedulerKind::FirstFit,
    SchedulerKind::BestFit,
    SchedulerKind::NoInterference,
    SchedulerKind::EvictNewest,
    SchedulerKind::Unaware,
    SchedulerKind::Oracle,
];

/// Runs one seed.
pub fn run(seed: u64, only: Option<&str>) -> SeedResult {
    let world = build(seed);
    let outcomes = run_all(&world, KINDS, only);
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
    if let (Some(own), Some(first), Some(oracle)) =
        (of(SchedulerKind::Agatesill), of(SchedulerKind::FirstFit), of(SchedulerKind::Oracle))
    {
        let outside = own.outside_ms as f64 / (first.outside_ms as f64).max(1.0);
        result.checks = vec![
            Check::at_most("outside the promise over first fit's", outside, 0.25),
            Check::at_least("batch work over first fit's", own.work_ms / first.work_ms, 0.95),
        ];
        let distance = own.outside_percent() - oracle.outside_percent();
        if let Some(policy) = result.policies.first_mut() {
            policy.figures.insert("outside_beyond_oracle_percent".to_owned(), distance);
        }
    }
    result
}

fn build(seed: u64) -> World {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let floor = floor_of(seed);
    let mut world = World::empty(floor, seed, HORIZON_MS);
    world.floor = floor;
    world.until_idle = false;
    world.doc = profiles(4);
    for index in 0..CLASSES {
        let cpu = rng.random_range(0.7..1.0);
        let memory = rng.random_range(0.4..0.95);
        world.class(&format!("class-{index}"), rng.random_range(0.7..1.5), cpu, memory);
    }
    // A processor's slowdown shrinks with the worker's size: its caches and memory paths grow.
    let scale = 16.0 / floor.cpus as f64;
    for index in 0..SERVICES {
        let slowdown = (0..CLASSES).map(|_| {
            if rng.random_bool(0.4) {
                rng.random_range(0.06..0.25) * scale
            } else {
                rng.random_range(0.0..0.02) * scale
            }
        });
        let slowdown = slowdown.collect();
        world.services.push(ServiceTruth {
            name: format!("service-{index}"),
            base_ln: -1.2,
            rise_ln: rng.random_range(0.5..0.75),
            slowdown,
            period_ms: rng.random_range(500_000.0..900_000.0),
            phase: rng.random_range(0.0..1.0),
        });
    }
    add_jobs(&mut world, &mut rng);
    world
}

/// Jobs of a few tasks, arriving at random, so that the mean demand is a share of the floor.
fn add_jobs(world: &mut World, rng: &mut Pcg64Mcg) {
    let batch_cpus = world.floor.batch_cpus() as f64;
    let mut at_ms = 0.0;
    let mut nth = 0;
    while at_ms < HORIZON_MS as f64 {
        let class = rng.random_range(0..CLASSES);
        let tasks = rng.random_range(1..=8);
        let cpu_milli = rng.random_range(1..=3) * 1_000;
        let id = format!("job-{nth}");
        let name = world.classes[class].name.clone();
        let mut spec = batch_job(id, "bills", &name, tasks, need(cpu_milli, 2_500));
        spec.run_ms = rng.random_range(30_000..150_000);
        let work = f64::from(tasks) * (cpu_milli as f64 / 1_000.0) * spec.run_ms as f64;
        let ratio = world.classes[class].time_ratio;
        world.job(rng, class, at_ms as u64, spec);
        at_ms += work * ratio / (batch_cpus * DEMAND) * rng.random_range(0.5..1.5);
        nth += 1;
    }
}
