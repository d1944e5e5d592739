//! `rack-loss`: a rack and later an availability zone stop at once on a busy floor.

use agatesill_policy::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::outcome::SimOutcome;
use super::scheduler::SchedulerKind;
use super::world::{Happening, World, batch_job, floor_of, need, profiles};
use super::{results, run_all};
use crate::result::{Check, SeedResult};

/// Length of the run at most.
const HORIZON_MS: u64 = 1_800_000;

/// When the rack and the zone stop, and when both are back.
const RACK_MS: u64 = 120_000;
const ZONE_MS: u64 = 400_000;
const RETURN_MS: u64 = 700_000;

/// Longest time until all tasks of the lost rack run elsewhere: their leases end after 10 s.
const RACK_BOUND_MS: f64 = 20_000.0;

/// Longest time until all latency-critical tasks of a lost zone run elsewhere.
const ZONE_BOUND_MS: f64 = 15_000.0;

/// Most store writes in a second.
const WRITES_S: f64 = 200.0;

const KINDS: &[SchedulerKind] = &[SchedulerKind::Agatesill, SchedulerKind::FirstFit];

/// Runs one seed.
pub fn run(seed: u64, only: Option<&str>) -> SeedResult {
    let world = build(seed);
    let outcomes = run_all(&world, KINDS, only);
    let figures = |out: &SimOutcome| {
        vec![
            ("rack_replaced_ms", replaced_ms(&world, out, RACK_MS, false)),
            ("zone_critical_replaced_ms", replaced_ms(&world, out, ZONE_MS, true)),
            ("rack_lost_tasks", lost_tasks(out, RACK_MS)),
            ("zone_lost_tasks", lost_tasks(out, ZONE_MS)),
            ("most_writes_s", out.most_writes_s as f64),
            ("most_starts_s", out.most_starts_s as f64),
            ("batch_jobs_done", out.done() as f64),
            ("wasted_percent", out.wasted_percent()),
        ]
    };
    let mut result =
        SeedResult { policies: results(KINDS, &outcomes, figures), ..SeedResult::default() };
    if let Some(own) = outcomes.get(SchedulerKind::Agatesill.name()) {
        let batch = world.jobs.iter().filter(|job| job.spec.profile == "bulk").count();
        let rack_ms = replaced_ms(&world, own, RACK_MS, false);
        let zone_ms = replaced_ms(&world, own, ZONE_MS, true);
        result.checks = vec![
            Check::at_most("time until a lost rack's tasks run again, ms", rack_ms, RACK_BOUND_MS),
            Check::at_most(
                "time until a lost zone's services run again, ms",
                zone_ms,
                ZONE_BOUND_MS,
            ),
            Check::at_most("most store writes in a second", own.most_writes_s as f64, WRITES_S),
            Check::at_least("batch jobs done, share", own.done() as f64 / batch as f64, 1.0),
        ];
    }
    result
}

/// Time from a loss until the last of its tasks ran again.
fn replaced_ms(world: &World, out: &SimOutcome, loss_ms: u64, critical: bool) -> f64 {
    let lost = out.losses.iter().filter(|loss| {
        loss.at_ms == loss_ms && (world.jobs[loss.job].spec.profile == "desk" || !critical)
    });
    lost.map(|loss| loss.again_ms.unwrap_or(HORIZON_MS) - loss_ms).max().unwrap_or_default() as f64
}

fn lost_tasks(out: &SimOutcome, loss_ms: u64) -> f64 {
    out.losses.iter().filter(|loss| loss.at_ms == loss_ms).count() as f64
}

fn build(seed: u64) -> World {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut world = World::empty(floor_of(seed), seed, HORIZON_MS);
    world.doc = profiles(4);
    world.class("bills", 1.0, 0.95, 0.8);
    world.class("pricing", 1.0, 1.0, 0.8);
    let workers = world.floor.workers;
    let cpus = u64::from(workers) * world.floor.cpus;
    for service in 0..10 {
        let id = format!("service-{service}");
        let mut spec =
            batch_job(id, "services", "pricing", 10, need(world.floor.cpus * 100, 3_000));
        spec.profile = "desk".to_owned();
        spec.run_ms = 100_000_000;
        world.job(&mut rng, 1, 0, spec);
    }
    add_batch(&mut world, &mut rng, cpus);
    let rack_size = world.floor.rack_size;
    let rack = rng.random_range(0..workers / rack_size);
    let of_rack: Vec<WorkerId> = (rack * rack_size..(rack + 1) * rack_size).collect();
    let zone = format!("zone-{}", rng.random_range(0..world.floor.zones));
    let specs = world.specs();
    let of_zone: Vec<WorkerId> = specs
        .iter()
        .filter(|worker| worker.zone == zone && !of_rack.contains(&worker.id))
        .map(|worker| worker.id)
        .collect();
    let both = of_rack.iter().chain(&of_zone).copied().collect();
    world.happenings = vec![
        (RACK_MS, Happening::Lose(of_rack)),
        (ZONE_MS, Happening::Lose(of_zone)),
        (RETURN_MS, Happening::Return(both)),
    ];
    world
}

/// Batch work that fills four fifths of the floor, services included, until the loss of the zone.
fn add_batch(world: &mut World, rng: &mut Pcg64Mcg, cpus: u64) {
    let mut at_ms = 0.0;
    let mut nth = 0;
    while at_ms < 600_000.0 {
        let tasks = rng.random_range(2..=20);
        let mut spec = batch_job(format!("job-{nth}"), "bills", "bills", tasks, need(2_000, 4_000));
        spec.run_ms = rng.random_range(20_000..90_000);
        let work = f64::from(tasks) * 2.0 * spec.run_ms as f64;
        world.job(rng, 0, at_ms as u64, spec);
        at_ms += work / (cpus as f64 * 0.7);
        nth += 1;
    }
}
