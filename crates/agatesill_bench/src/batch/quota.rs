//! `quota`: 200 teams of equal weight, a tenth of which demand ten times their share, and urgent
//! work on a full cluster.

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::cluster_model::{ClusterModel, batch_job, cluster_for_seed, need, profiles};
use super::outcome::SimOutcome;
use super::scheduler::SchedulerKind;
use super::{results, run_all};
use crate::result::{Check, SeedResult};

/// Number of teams, and how many of them demand ten times their share.
const TEAMS: usize = 200;
const GREEDY_TEAMS: usize = 20;

/// Demand of an entitled and of a greedy team as a multiple of its share.
const ENTITLED_DEMAND: f64 = 1.15;
const GREEDY_DEMAND: f64 = 10.0;

/// Length of the run, and the range of minutes that the check covers.
const HORIZON_MS: u64 = 300_000;
const CHECKED_FROM_MINUTE: u64 = 1;
const CHECKED_TO_MINUTE: u64 = 4;

/// Interval between two urgent jobs.
const URGENT_INTERVAL_MS: u64 = 700;

/// Bound for the 99th percentile of the time from submission to start of urgent work.
const MAX_URGENT_START_P99_MS: f64 = 5_400.0;

const KINDS: &[SchedulerKind] = &[SchedulerKind::Agatesill, SchedulerKind::FirstFit];

/// Runs one seed.
pub fn run(seed: u64, only: Option<&str>) -> SeedResult {
    let model = build(seed);
    let outcomes = run_all(&model, KINDS, only);
    let figures = |out: &SimOutcome| {
        vec![
            ("least_share", least_share(out)),
            ("urgent_start_p99_ms", urgent_p99_ms(&model, out)),
            ("work_cpu_s", out.work_ms / 1_000.0),
            ("evictions", out.evictions as f64),
            ("wasted_percent", out.wasted_percent()),
        ]
    };
    let mut result =
        SeedResult { policies: results(KINDS, &outcomes, figures), ..SeedResult::default() };
    if let Some(agatesill) = outcomes.get(SchedulerKind::Agatesill.name()) {
        result.checks = vec![
            Check::at_least(
                "least share of an entitled team in a minute",
                least_share(agatesill),
                0.95,
            ),
            Check::at_most(
                "urgent start p99 in ms",
                urgent_p99_ms(&model, agatesill),
                MAX_URGENT_START_P99_MS,
            ),
        ];
    }
    result
}

fn team_name(team: usize) -> String {
    format!("team-{team:03}")
}

/// Lowest share that an entitled team received in any checked minute, 1 being its full share.
fn least_share(out: &SimOutcome) -> f64 {
    let mut lowest = f64::MAX;
    for minute in CHECKED_FROM_MINUTE..CHECKED_TO_MINUTE {
        let received = |team: usize| {
            out.team_work.get(&(team_name(team), minute)).copied().unwrap_or_default()
        };
        let all: f64 = (0..TEAMS).map(received).sum();
        let share = all / TEAMS as f64;
        lowest = (GREEDY_TEAMS..TEAMS).map(|team| received(team) / share).fold(lowest, f64::min);
    }
    lowest
}

fn urgent_p99_ms(model: &ClusterModel, out: &SimOutcome) -> f64 {
    let urgent = model
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

fn build(seed: u64) -> ClusterModel {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut model = ClusterModel::empty(cluster_for_seed(seed), seed, HORIZON_MS);
    model.doc = profiles(20);
    model.until_idle = false;
    model.class("bills", 1.0, 1.0, 0.8);
    let share = f64::from(model.cluster.workers) * model.cluster.cpus as f64 / TEAMS as f64;
    for team in 0..TEAMS {
        let demand = if team < GREEDY_TEAMS { GREEDY_DEMAND } else { ENTITLED_DEMAND };
        add_team(&mut model, &mut rng, team, share * demand);
    }
    for nth in 0..HORIZON_MS / URGENT_INTERVAL_MS {
        let mut spec = batch_job(format!("urgent-{nth}"), "urgent", "bills", 1, need(2_000, 2_000));
        spec.urgent = true;
        spec.run_ms = 2_000;
        model.job(&mut rng, 0, 5_000 + nth * URGENT_INTERVAL_MS, spec);
    }
    model.jobs.sort_by_key(|job| job.arrive_ms);
    model
}

/// Adds jobs with a mean demand of `cpus` processors. Half a minute's worth arrives at the start,
/// so that the team always has waiting work.
fn add_team(model: &mut ClusterModel, rng: &mut Pcg64Mcg, team: usize, cpus: f64) {
    let mut at_ms = -30_000.0;
    let mut nth = 0;
    while at_ms < HORIZON_MS as f64 {
        let tasks = if team < GREEDY_TEAMS { 40 } else { 6 };
        let id = format!("job-{team}-{nth}");
        let mut spec = batch_job(id, &team_name(team), "bills", tasks, need(1_000, 1_500));
        spec.run_ms = rng.random_range(2_000..5_000);
        at_ms += f64::from(tasks) * spec.run_ms as f64 / cpus;
        model.job(rng, 0, at_ms.max(0.0) as u64, spec);
        nth += 1;
    }
}
