//! `month-end`: 95% load, deadlines, declared times off by 0.3 to 5 times.

use std::collections::BTreeMap;

use agatesill_policy::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::outcome::SimOutcome;
use super::scheduler::SchedulerKind;
use super::world::{ServiceTruth, World, batch_job, floor_of, need, profiles};
use super::{results, run_all};
use crate::result::{Check, SeedResult};

/// Time over which jobs arrive, and the length of the run.
const ARRIVALS_MS: u64 = 2_400_000;
const HORIZON_MS: u64 = 3_600_000;

/// Demand for processors by declared size and true time, as a share of what the services leave.
const DEMAND: f64 = 0.95;

/// The first part of the run, in which jobs arrive at `RUSH` times the mean rate; the rest
/// arrive at `CALM` times that rate, so that the mean over the run is the demand.
const RUSH_MS: f64 = 800_000.0;
const RUSH: f64 = 1.8;
const CALM: f64 = 0.6;

/// Evictions that the profile allows a task in an hour.
const EVICTIONS_PER_HOUR: u32 = 3;

/// Share of jobs with a tight deadline.
const TIGHT: f64 = 0.5;

const KINDS: &[SchedulerKind] = &[
    SchedulerKind::Agatesill,
    SchedulerKind::FirstFit,
    SchedulerKind::BestFit,
    SchedulerKind::NoInterference,
    SchedulerKind::EvictNewest,
    SchedulerKind::Unaware,
];

/// The baselines whose best the check takes; the product's own variants are not among them.
const BASELINES: &[SchedulerKind] = &[
    SchedulerKind::FirstFit,
    SchedulerKind::BestFit,
    SchedulerKind::NoInterference,
    SchedulerKind::EvictNewest,
];

/// Runs one seed.
pub fn run(seed: u64, only: Option<&str>) -> SeedResult {
    let world = build(seed);
    let outcomes = run_all(&world, KINDS, only);
    let figures = |out: &SimOutcome| {
        vec![
            ("late_jobs", late(&world, out) as f64),
            ("jobs", world.jobs.len() as f64),
            ("evictions", out.evictions as f64),
            ("most_evictions_of_a_task", most_evictions(out) as f64),
            ("wasted_percent", out.wasted_percent()),
            ("outside_percent", out.outside_percent()),
        ]
    };
    let policies = results(KINDS, &outcomes, figures);
    let checks = checks(&world, &outcomes);
    SeedResult { policies, checks, ..SeedResult::default() }
}

fn checks(world: &World, outcomes: &BTreeMap<&'static str, SimOutcome>) -> Vec<Check> {
    let Some(own) = outcomes.get(SchedulerKind::Agatesill.name()) else { return Vec::new() };
    let mut checks = vec![
        Check::at_most(
            "most evictions of a task over its profile's tolerance",
            most_evictions(own) as f64 / f64::from(EVICTIONS_PER_HOUR),
            1.0,
        ),
        Check::at_most("wasted work in percent", own.wasted_percent(), 3.0),
    ];
    let baselines: Option<Vec<usize>> = BASELINES
        .iter()
        .map(|kind| outcomes.get(kind.name()).map(|out| late(world, out)))
        .collect();
    if let Some(best) = baselines.and_then(|late| late.into_iter().min()) {
        let ratio = late(world, own) as f64 / (best as f64).max(1.0);
        checks.insert(0, Check::at_most("late jobs over the best baseline's", ratio, 0.5));
    }
    checks
}

fn late(world: &World, out: &SimOutcome) -> usize {
    let jobs = world.jobs.iter().zip(&out.jobs);
    jobs.filter(|(truth, seen)| {
        let due_ms = truth.arrive_ms + truth.spec.deadline_ms;
        seen.outcome != Some(JobOutcome::Done) || seen.closed_ms.is_none_or(|at| at > due_ms)
    })
    .count()
}

fn most_evictions(out: &SimOutcome) -> u32 {
    out.jobs.iter().flat_map(|job| &job.evictions).copied().max().unwrap_or_default()
}

fn build(seed: u64) -> World {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let floor = floor_of(seed);
    let mut world = World::empty(floor, seed, HORIZON_MS);
    world.floor = floor;
    world.doc = profiles(EVICTIONS_PER_HOUR);
    for (index, name) in
        ["bills", "costs", "ledger", "review", "watch", "export"].iter().enumerate()
    {
        // Spread evenly over 0.3 to 5 in logarithms, so that every seed has both ends.
        let share = (index as f64 + rng.random_range(0.0..1.0)) / 6.0;
        let time = 0.3 * (5.0f64 / 0.3).powf(share);
        world.class(name, time, rng.random_range(0.8..1.0), rng.random_range(0.5..0.95));
    }
    add_services(&mut world, &mut rng);
    add_jobs(&mut world, &mut rng);
    world
}

/// Services that a few classes disturb, so that protection has work to do.
fn add_services(world: &mut World, rng: &mut Pcg64Mcg) {
    let scale = 16.0 / world.floor.cpus as f64;
    for index in 0..4 {
        let slowdown = (0..world.classes.len()).map(|_| {
            let noisy = rng.random_bool(0.2);
            scale * if noisy { rng.random_range(0.06..0.15) } else { rng.random_range(0.0..0.02) }
        });
        let slowdown = slowdown.collect();
        world.services.push(ServiceTruth {
            name: format!("service-{index}"),
            base_ln: -1.4,
            rise_ln: rng.random_range(0.4..0.6),
            slowdown,
            period_ms: rng.random_range(900_000.0..1_500_000.0),
            phase: rng.random_range(0.0..1.0),
        });
    }
}

fn add_jobs(world: &mut World, rng: &mut Pcg64Mcg) {
    let batch_cpus = world.floor.batch_cpus() as f64;
    let mut at_ms = 0.0;
    let mut nth = 0;
    while at_ms < ARRIVALS_MS as f64 {
        let class = rng.random_range(0..world.classes.len());
        let ratio = world.classes[class].time_ratio;
        let tasks = rng.random_range(4..=40);
        let cpu_milli = rng.random_range(1..=3) * 1_000;
        let name = world.classes[class].name.clone();
        let team = format!("team-{}", rng.random_range(0..8));
        let id = format!("job-{nth}");
        let mut spec = batch_job(id, &team, &name, tasks, need(cpu_milli, 2_500));
        spec.run_ms = (rng.random_range(30_000.0..120_000.0) / ratio.sqrt()) as u64;
        let true_ms = spec.run_ms as f64 * ratio;
        let factor = if rng.random_bool(TIGHT) {
            rng.random_range(1.5..4.0)
        } else {
            rng.random_range(4.0..10.0)
        };
        spec.deadline_ms = (true_ms * factor) as u64 + 15_000;
        let work = f64::from(tasks) * (cpu_milli as f64 / 1_000.0) * true_ms;
        world.job(rng, class, at_ms as u64, spec);
        let rush = if at_ms < RUSH_MS { RUSH } else { CALM };
        at_ms += work / (batch_cpus * DEMAND * rush) * rng.random_range(0.5..1.5);
        nth += 1;
    }
}
