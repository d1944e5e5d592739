//! `quota`: 200 teams of equal weight, a tenth of which want ten times their share, and urgent
//! work on a full floor.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::outcome::SimOutcome;
use super::scheduler::SchedulerKind;
use super::world::{World, batch_job, floor_of, need, profiles};
use super::{results, run_all};
use crate::result::{Check, SeedResult};

/// Teams, and how many of them are greedy.
const TEAMS: usize = 200;
const GREEDY: usize = 20;

/// Demand of an entitled and of a greedy team over its share.
const ENTITLED_DEMAND: f64 = 1.15;
const GREEDY_DEMAND: f64 = 10.0;

/// Length of the run, and the minutes that are judged.
const HORIZON_MS: u64 = 300_000;
const FIRST_MINUTE: u64 = 1;
const LAST_MINUTE: u64 = 4;

/// Time between two urgent jobs.
const URGENT_EVERY_MS: u64 = 700;

/// Longest 99th percentile from submission to start of urgent work.
const URGENT_MS: f64 = 5_400.0;

const KINDS: &[SchedulerKind] = &[SchedulerKind::Agatesill, SchedulerKind::FirstFit];

/// Runs one seed.
pub fn run(seed: u64, only: Option<&str>) -> SeedResult {
    let world = build(seed);
    let outcomes = run_all(&world, KINDS, only);
    let figures = |out: &SimOutcome| {
        vec![
            ("least_share", least_share(out)),
            ("urgent_start_p99_ms", urgent_p99_ms(&world, out)),
            ("work_cpu_s", out.work_ms / 1_000.0),
            ("evictions", out.evictions as f64),
            ("wasted_percent", out.wasted_percent()),
        ]
    };
    let mut result =
        SeedResult { policies: results(KINDS, &outcomes, figures), ..SeedResult::default() };
    if let Some(own) = outcomes.get(SchedulerKind::Agatesill.name()) {
        result.checks = vec![
            Check::at_least("least share of an entitled team in a minute", least_share(own), 0.95),
            Check::at_most("urgent start p99 in ms", urgent_p99_ms(&world, own), URGENT_MS),
        ];
    }
    result
}

fn team_name(team: usize) -> String {
    format!("team-{team:03}")
}

/// The least that an entitled team got of its share in any judged minute.
fn least_share(out: &SimOutcome) -> f64 {
    let mut least = f64::MAX;
    for minute in FIRST_MINUTE..LAST_MINUTE {
        let got = |team: usize| {
            out.team_work.get(&(team_name(team), minute)).copied().unwrap_or_default()
        };
        let all: f64 = (0..TEAMS).map(got).sum();
        let share = all / TEAMS as f64;
        least = (GREEDY..TEAMS).map(|team| got(team) / share).fold(least, f64::min);
    }
    least
}

fn urgent_p99_ms(world: &World, out: &SimOutcome) -> f64 {
    let urgent = world
        .jobs
        .iter()
        .zip(&out.jobs)
        .filter(|(truth, _)| truth.spec.urgent && truth.arrive_ms + 10_000 < HORIZON_MS);
    let mut waits: Vec<u64> = urgent
        .map(|(truth, seen)| seen.first_start_ms.unwrap_or(u64::MAX / 2) - truth.arrive_ms)
        .collect();
    waits.sort_unstable();
    waits[(waits.len() * 99 / 100).min(waits.len() - 1)] as f64
}

fn build(seed: u64) -> World {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut world = World::empty(floor_of(seed), seed, HORIZON_MS);
    world.doc = profiles(20);
    world.until_idle = false;
    world.class("bills", 1.0, 1.0, 0.8);
    let share = f64::from(world.floor.workers) * world.floor.cpus as f64 / TEAMS as f64;
    for team in 0..TEAMS {
        let demand = if team < GREEDY { GREEDY_DEMAND } else { ENTITLED_DEMAND };
        add_team(&mut world, &mut rng, team, share * demand);
    }
    for nth in 0..HORIZON_MS / URGENT_EVERY_MS {
        let mut spec = batch_job(format!("urgent-{nth}"), "urgent", "bills", 1, need(2_000, 2_000));
        spec.urgent = true;
        spec.run_ms = 2_000;
        world.job(&mut rng, 0, 5_000 + nth * URGENT_EVERY_MS, spec);
    }
    world.jobs.sort_by_key(|job| job.arrive_ms);
    world
}

/// Jobs of a team whose mean demand is `cpus` processors; half a minute's worth is there at the
/// start, so that the team always has work waiting.
fn add_team(world: &mut World, rng: &mut Pcg64Mcg, team: usize, cpus: f64) {
    let mut at_ms = -30_000.0;
    let mut nth = 0;
    while at_ms < HORIZON_MS as f64 {
        let tasks = if team < GREEDY { 40 } else { 6 };
        let id = format!("job-{team}-{nth}");
        let mut spec = batch_job(id, &team_name(team), "bills", tasks, need(1_000, 1_500));
        spec.run_ms = rng.random_range(2_000..5_000);
        at_ms += f64::from(tasks) * spec.run_ms as f64 / cpus;
        world.job(rng, 0, at_ms.max(0.0) as u64, spec);
        nth += 1;
    }
}
