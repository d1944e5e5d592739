//! `poison-worker`: three workers of fifty fail everything, one job in twenty fails everywhere.

use agatesill_policy::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::outcome::SimOutcome;
use super::scheduler::SchedulerKind;
use super::world::{World, batch_job, floor_of, need, profiles};
use super::{results, run_all};
use crate::result::{Check, SeedResult};

/// Length of the run at most.
const HORIZON_MS: u64 = 1_800_000;

/// Jobs, and the share that fails everywhere.
const JOBS: u32 = 1_500;
const BAD: f64 = 0.05;

/// Time over which jobs arrive.
const ARRIVALS_MS: u64 = 600_000;

/// Failed attempts of one task that a good job may see.
const TOUCHES: u32 = 2;

/// Longest time that a good worker may be held back.
const QUARANTINE_MS: f64 = 60_000.0;

const KINDS: &[SchedulerKind] =
    &[SchedulerKind::Agatesill, SchedulerKind::FirstFit, SchedulerKind::BestFit];

/// Runs one seed.
pub fn run(seed: u64, only: Option<&str>) -> SeedResult {
    let world = build(seed);
    let outcomes = run_all(&world, KINDS, only);
    let figures = |out: &SimOutcome| {
        vec![
            ("good_jobs_touched_more_than_twice", touched(&world, out)),
            ("good_jobs_done_percent", good_done(&world, out)),
            ("bad_jobs_given_up_percent", bad_given_up(&world, out)),
            ("quarantines_of_good_workers", good_quarantines(&world, out).count() as f64),
            ("quarantines", out.quarantines.len() as f64),
            ("failed_attempts", failed_attempts(out)),
            ("end_s", out.end_ms as f64 / 1_000.0),
        ]
    };
    let mut result =
        SeedResult { policies: results(KINDS, &outcomes, figures), ..SeedResult::default() };
    if let Some(own) = outcomes.get(SchedulerKind::Agatesill.name()) {
        let longest = good_quarantines(&world, own).fold(0.0, f64::max);
        result.checks = vec![
            Check::at_most("good jobs touched more than twice, share", touched(&world, own), 0.01),
            Check::at_most("longest quarantine of a good worker in ms", longest, QUARANTINE_MS),
            Check::at_least("good jobs done, share", good_done(&world, own) / 100.0, 1.0),
            Check::at_least("bad jobs given up, share", bad_given_up(&world, own) / 100.0, 1.0),
        ];
    }
    result
}

fn touched(world: &World, out: &SimOutcome) -> f64 {
    let good = || world.jobs.iter().zip(&out.jobs).filter(|(truth, _)| truth.fails.is_none());
    let often = good().filter(|(_, seen)| seen.starts.iter().any(|starts| *starts > TOUCHES + 1));
    often.count() as f64 / good().count() as f64
}

fn good_done(world: &World, out: &SimOutcome) -> f64 {
    let good = || world.jobs.iter().zip(&out.jobs).filter(|(truth, _)| truth.fails.is_none());
    let done = good().filter(|(_, seen)| seen.outcome == Some(JobOutcome::Done));
    done.count() as f64 * 100.0 / good().count() as f64
}

fn bad_given_up(world: &World, out: &SimOutcome) -> f64 {
    let bad = || world.jobs.iter().zip(&out.jobs).filter(|(truth, _)| truth.fails.is_some());
    let over = bad().filter(|(_, seen)| matches!(seen.outcome, Some(JobOutcome::Failed { .. })));
    over.count() as f64 * 100.0 / (bad().count() as f64).max(1.0)
}

/// Lengths of the times in quarantine of workers that are good.
fn good_quarantines<'a>(world: &'a World, out: &'a SimOutcome) -> impl Iterator<Item = f64> + 'a {
    let good = |entry: &&(WorkerId, u64, Option<u64>)| !world.poison.contains(&entry.0);
    let length = |entry: &(WorkerId, u64, Option<u64>)| {
        entry.2.unwrap_or(out.end_ms).saturating_sub(entry.1) as f64
    };
    out.quarantines.iter().filter(good).map(length)
}

fn failed_attempts(out: &SimOutcome) -> f64 {
    let again = |starts: &u32| starts.saturating_sub(1);
    out.jobs.iter().flat_map(|job| &job.starts).map(again).sum::<u32>().into()
}

fn build(seed: u64) -> World {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut world = World::empty(floor_of(seed), seed, HORIZON_MS);
    world.doc = profiles(4);
    world.class("bills", 1.0, 0.9, 0.8);
    while world.poison.len() < 3 {
        let worker = rng.random_range(0..world.floor.workers);
        if !world.poison.contains(&worker) {
            world.poison.push(worker);
        }
    }
    for nth in 0..JOBS {
        let tasks = rng.random_range(1..=10);
        let mut spec = batch_job(format!("job-{nth}"), "bills", "bills", tasks, need(2_000, 4_000));
        spec.run_ms = rng.random_range(10_000..40_000);
        let at_ms = u64::from(nth) * ARRIVALS_MS / u64::from(JOBS);
        world.job(&mut rng, 0, at_ms, spec);
        if rng.random_bool(BAD)
            && let Some(job) = world.jobs.last_mut()
        {
            job.fails = Some(FailureKind::TaskError);
        }
    }
    world
}
