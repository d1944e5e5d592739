//! `cancel-wave` and `impossible-jobs`: submitters that change their minds, and work that cannot
//! run.

use agatesill_policy::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::outcome::SimOutcome;
use super::scheduler::SchedulerKind;
use super::world::{Happening, World, batch_job, floor_of, need, profiles};
use super::{results, run_all};
use crate::result::{Check, SeedResult};

/// Jobs cancelled at once.
const WAVE: usize = 10_000;

/// Time of the wave.
const WAVE_MS: u64 = 30_000;

/// Longest time until the rooms that the wave frees are in use again.
const REFILL_MS: f64 = 5_000.0;

/// Most store writes in a second; the brief's store takes several hundred in all.
const WRITES_S: f64 = 200.0;

/// Longest time from a loss until the jobs that became impossible are reported.
const PARK_MS: f64 = 6_000.0;

const KINDS: &[SchedulerKind] = &[SchedulerKind::Agatesill, SchedulerKind::FirstFit];

/// Runs one seed of `cancel-wave`.
pub fn run_cancel(seed: u64, only: Option<&str>) -> SeedResult {
    let world = cancel_world(seed);
    let outcomes = run_all(&world, KINDS, only);
    let figures = |out: &SimOutcome| {
        vec![
            ("started_after_cancel", started_after_cancel(out)),
            ("kept_jobs_done", out.done() as f64),
            ("refill_ms", refill_ms(&world, out)),
            ("most_writes_s", out.most_writes_s as f64),
            ("end_s", out.end_ms as f64 / 1_000.0),
        ]
    };
    let mut result =
        SeedResult { policies: results(KINDS, &outcomes, figures), ..SeedResult::default() };
    if let Some(own) = outcomes.get(SchedulerKind::Agatesill.name()) {
        let kept = world.jobs.len() - WAVE;
        let closed = own.jobs.iter().filter(|job| job.closed_ms.is_some()).count();
        result.checks = vec![
            Check::at_most("jobs started after their cancel", started_after_cancel(own), 0.0),
            Check::at_most(
                "time until freed rooms are used, in ms",
                refill_ms(&world, own),
                REFILL_MS,
            ),
            Check::at_most("most store writes in a second", own.most_writes_s as f64, WRITES_S),
            Check::at_least("kept jobs done, share", own.done() as f64 / kept as f64, 1.0),
            Check::at_least(
                "jobs with one outcome, share",
                closed as f64 / world.jobs.len() as f64,
                1.0,
            ),
        ];
    }
    result
}

fn started_after_cancel(out: &SimOutcome) -> f64 {
    out.jobs.iter().filter(|job| job.started_after_cancel).count() as f64
}

/// Time from the wave until a kept job that waited behind it has started on every freed room:
/// the time until as many tasks run as ran before.
fn refill_ms(world: &World, out: &SimOutcome) -> f64 {
    let before = running_at(world, out, WAVE_MS);
    let full = (WAVE_MS..out.end_ms).step_by(100).find(|at_ms| {
        let later = *at_ms > WAVE_MS + 200;
        later && kept_running_at(world, out, *at_ms) as f64 >= before as f64 * 0.98
    });
    full.map_or(f64::from(u32::MAX), |at_ms| (at_ms - WAVE_MS) as f64)
}

fn running_at(world: &World, out: &SimOutcome, at_ms: u64) -> usize {
    out.jobs
        .iter()
        .zip(&world.jobs)
        .flat_map(|(job, truth)| job.last_start_ms.iter().zip(&truth.work_ms).zip(&job.starts))
        .filter(|((start_ms, work_ms), starts)| {
            **starts > 0 && **start_ms <= at_ms && **start_ms + **work_ms > at_ms
        })
        .count()
}

fn kept_running_at(world: &World, out: &SimOutcome, at_ms: u64) -> usize {
    out.jobs
        .iter()
        .zip(&world.jobs)
        .filter(|(job, _)| job.cancelled_ms.is_none())
        .flat_map(|(job, truth)| job.last_start_ms.iter().zip(&truth.work_ms).zip(&job.starts))
        .filter(|((start_ms, work_ms), starts)| {
            **starts > 0 && **start_ms <= at_ms && **start_ms + **work_ms > at_ms
        })
        .count()
}

/// Jobs of one task that fill the floor many times over; the wave takes the first of them, some
/// of which run, and the kept ones wait behind.
fn cancel_world(seed: u64) -> World {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut world = World::empty(floor_of(seed), seed, 1_200_000);
    world.doc = profiles(4);
    world.class("bills", 1.0, 1.0, 0.8);
    for nth in 0..WAVE + 4_000 {
        let mut spec = batch_job(format!("job-{nth}"), "bills", "bills", 1, need(2_000, 4_000));
        spec.run_ms = rng.random_range(40_000..60_000);
        world.job(&mut rng, 0, (nth / 1_000) as u64 * 200, spec);
    }
    for job in 0..WAVE {
        world.happenings.push((WAVE_MS, Happening::Cancel(job)));
    }
    world
}

/// Runs one seed of `impossible-jobs`.
pub fn run_impossible(seed: u64, only: Option<&str>) -> SeedResult {
    let world = impossible_world(seed, true);
    let outcomes = run_all(&world, KINDS, only);
    let figures = |out: &SimOutcome| {
        vec![
            ("refused", out.refused as f64),
            ("parked", out.parked.len() as f64),
            ("slowest_park_ms", slowest_park_ms(&world, out)),
            ("mean_small_ms", mean_small_ms(&world, out)),
            ("done", out.done() as f64),
            ("end_s", out.end_ms as f64 / 1_000.0),
        ]
    };
    let mut result =
        SeedResult { policies: results(KINDS, &outcomes, figures), ..SeedResult::default() };
    if let Some(own) = outcomes.get(SchedulerKind::Agatesill.name()) {
        let calm = impossible_world(seed, false);
        let alone = super::sim::simulate(&calm, SchedulerKind::Agatesill);
        result.checks = impossible_checks(&world, own, mean_small_ms(&calm, &alone));
    }
    result
}

fn impossible_checks(world: &World, own: &SimOutcome, alone_ms: f64) -> Vec<Check> {
    let can_run = world.jobs.iter().filter(|job| !never_fits(world, &job.spec)).count();
    let never = world.jobs.len() - can_run;
    let started =
        own.jobs.iter().zip(&world.jobs).filter(|(seen, truth)| {
            never_fits(world, &truth.spec) && seen.first_start_ms.is_some()
        });
    vec![
        Check::at_least("impossible jobs refused, share", own.refused as f64 / never as f64, 1.0),
        Check::at_most("jobs refused that could run", own.refused as f64 - never as f64, 0.0),
        Check::at_most("impossible jobs started", started.count() as f64, 0.0),
        Check::at_most(
            "slowest report of a lost possibility, ms",
            slowest_park_ms(world, own),
            PARK_MS,
        ),
        Check::at_least("jobs parked by the loss", (own.parked.len() as f64).min(1.0), 1.0),
        Check::at_least(
            "other jobs done in the end, share",
            own.done() as f64 / can_run as f64,
            1.0,
        ),
        Check::at_most(
            "mean time of small jobs over a run without impossible ones",
            mean_small_ms(world, own) / alone_ms.max(1.0),
            1.05,
        ),
        Check::at_most("most store writes in a second", own.most_writes_s as f64, WRITES_S),
    ]
}

/// When the large workers go and return.
const LOSS_MS: u64 = 100_000;
const RETURN_MS: u64 = 250_000;

fn never_fits(world: &World, spec: &JobSpec) -> bool {
    !world.specs().iter().any(|worker| worker.capacity.holds(&spec.need))
}

/// Longest time from the loss, or from the submission if that came later, to the report.
fn slowest_park_ms(world: &World, out: &SimOutcome) -> f64 {
    let parked = world.jobs.iter().filter_map(|job| {
        let at_ms = out.parked.get(&job.spec.id)?;
        Some(at_ms.saturating_sub(job.arrive_ms.max(LOSS_MS)) as f64)
    });
    parked.fold(0.0, f64::max)
}

fn mean_small_ms(world: &World, out: &SimOutcome) -> f64 {
    let small =
        world.jobs.iter().zip(&out.jobs).filter(|(truth, _)| truth.spec.id.starts_with('s'));
    let times: Vec<f64> = small
        .filter_map(|(truth, seen)| Some((seen.closed_ms? - truth.arrive_ms) as f64))
        .collect();
    times.iter().sum::<f64>() / (times.len() as f64).max(1.0)
}

/// Small jobs, jobs for the four large workers only, and, when `with_impossible`, jobs that fit
/// nowhere; the large workers are lost for a while.
fn impossible_world(seed: u64, with_impossible: bool) -> World {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut world = World::empty(floor_of(seed), seed, 1_200_000);
    world.doc = profiles(4);
    world.large = vec![5, 17, 29, 41];
    world.class("bills", 1.0, 1.0, 0.8);
    let cpus = world.floor.cpus * 1_000;
    for nth in 0..1_200u64 {
        let mut spec = batch_job(format!("s-{nth}"), "bills", "bills", 2, need(2_000, 4_000));
        spec.run_ms = rng.random_range(10_000..30_000);
        world.job(&mut rng, 0, nth * 300, spec);
        if nth % 10 == 5 {
            let mut spec =
                batch_job(format!("large-{nth}"), "costs", "bills", 1, need(cpus * 3 / 2, 8_000));
            spec.run_ms = rng.random_range(10_000..30_000);
            world.job(&mut rng, 0, nth * 300 + 7, spec);
        }
        let impossible = nth % 10 == 0;
        if impossible && with_impossible {
            let amount = if nth % 20 == 0 { need(cpus * 3, 4_000) } else { need(1_000, 1_000_000) };
            let mut spec = batch_job(format!("never-{nth}"), "bills", "bills", 1, amount);
            spec.run_ms = 10_000;
            world.job(&mut rng, 0, nth * 300 + 11, spec);
        }
    }
    world.happenings = vec![
        (LOSS_MS, Happening::Lose(world.large.clone())),
        (RETURN_MS, Happening::Return(world.large.clone())),
    ];
    world
}
