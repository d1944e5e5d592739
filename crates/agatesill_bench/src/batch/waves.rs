//! `cancel-wave` and `impossible-jobs`: mass cancellation, and jobs that fit on no worker.

use agatesill_policy::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::cluster_model::{
    ClusterModel, ScheduledEvent, batch_job, cluster_for_seed, need, profiles,
};
use super::outcome::SimOutcome;
use super::scheduler::SchedulerKind;
use super::{results, run_all};
use crate::result::{Check, SeedResult};

/// Jobs cancelled at once.
const CANCELLED_JOBS: usize = 10_000;

/// Time of the mass cancellation.
const CANCEL_MS: u64 = 30_000;

/// Bound for the time until the capacity that the cancellation frees is in use again.
const MAX_REFILL_MS: f64 = 5_000.0;

/// Bound for store writes in a second; the store handles several hundred for all clients.
const MAX_WRITES_PER_S: f64 = 200.0;

/// Bound for the time from a loss until the jobs that no longer fit are reported.
const MAX_PARK_DELAY_MS: f64 = 6_000.0;

const KINDS: &[SchedulerKind] = &[SchedulerKind::Agatesill, SchedulerKind::FirstFit];

/// Runs one seed of `cancel-wave`.
pub fn run_cancel(seed: u64, only: Option<&str>) -> SeedResult {
    let model = cancel_model(seed);
    let outcomes = run_all(&model, KINDS, only);
    let figures = |out: &SimOutcome| {
        vec![
            ("started_after_cancel", started_after_cancel(out)),
            ("kept_jobs_done", out.done() as f64),
            ("refill_ms", refill_ms(&model, out)),
            ("most_writes_s", out.most_writes_s as f64),
            ("end_s", out.end_ms as f64 / 1_000.0),
        ]
    };
    let mut result =
        SeedResult { policies: results(KINDS, &outcomes, figures), ..SeedResult::default() };
    if let Some(agatesill) = outcomes.get(SchedulerKind::Agatesill.name()) {
        let kept = model.jobs.len() - CANCELLED_JOBS;
        let closed = agatesill.jobs.iter().filter(|job| job.closed_ms.is_some()).count();
        result.checks = vec![
            Check::at_most("jobs started after their cancel", started_after_cancel(agatesill), 0.0),
            Check::at_most(
                "time until freed rooms are used, in ms",
                refill_ms(&model, agatesill),
                MAX_REFILL_MS,
            ),
            Check::at_most(
                "most store writes in a second",
                agatesill.most_writes_s as f64,
                MAX_WRITES_PER_S,
            ),
            Check::at_least("kept jobs done, share", agatesill.done() as f64 / kept as f64, 1.0),
            Check::at_least(
                "jobs with one outcome, share",
                closed as f64 / model.jobs.len() as f64,
                1.0,
            ),
        ];
    }
    result
}

fn started_after_cancel(out: &SimOutcome) -> f64 {
    out.jobs.iter().filter(|job| job.started_after_cancel).count() as f64
}

/// Time from the cancellation until the kept jobs use the freed capacity: until 98% as many of
/// their tasks run as ran in total before.
fn refill_ms(model: &ClusterModel, out: &SimOutcome) -> f64 {
    let before = running_at(model, out, CANCEL_MS);
    let full = (CANCEL_MS..out.end_ms).step_by(100).find(|at_ms| {
        let later = *at_ms > CANCEL_MS + 200;
        later && kept_running_at(model, out, *at_ms) as f64 >= before as f64 * 0.98
    });
    full.map_or(f64::from(u32::MAX), |at_ms| (at_ms - CANCEL_MS) as f64)
}

fn running_at(model: &ClusterModel, out: &SimOutcome, at_ms: u64) -> usize {
    out.jobs
        .iter()
        .zip(&model.jobs)
        .flat_map(|(job, truth)| job.last_start_ms.iter().zip(&truth.work_ms).zip(&job.starts))
        .filter(|((start_ms, work_ms), starts)| {
            **starts > 0 && **start_ms <= at_ms && **start_ms + **work_ms > at_ms
        })
        .count()
}

fn kept_running_at(model: &ClusterModel, out: &SimOutcome, at_ms: u64) -> usize {
    out.jobs
        .iter()
        .zip(&model.jobs)
        .filter(|(job, _)| job.cancelled_ms.is_none())
        .flat_map(|(job, truth)| job.last_start_ms.iter().zip(&truth.work_ms).zip(&job.starts))
        .filter(|((start_ms, work_ms), starts)| {
            **starts > 0 && **start_ms <= at_ms && **start_ms + **work_ms > at_ms
        })
        .count()
}

/// Jobs of one task that need many times the capacity of the cluster. The first ones, some of them
/// running, are cancelled; the kept ones are queued behind them.
fn cancel_model(seed: u64) -> ClusterModel {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut model = ClusterModel::empty(cluster_for_seed(seed), seed, 1_200_000);
    model.doc = profiles(4);
    model.class("bills", 1.0, 1.0, 0.8);
    for nth in 0..CANCELLED_JOBS + 4_000 {
        let mut spec = batch_job(format!("job-{nth}"), "bills", "bills", 1, need(2_000, 4_000));
        spec.run_ms = rng.random_range(40_000..60_000);
        model.job(&mut rng, 0, (nth / 1_000) as u64 * 200, spec);
    }
    for job in 0..CANCELLED_JOBS {
        model.scheduled_events.push((CANCEL_MS, ScheduledEvent::Cancel(job)));
    }
    model
}

/// Runs one seed of `impossible-jobs`.
pub fn run_impossible(seed: u64, only: Option<&str>) -> SeedResult {
    let model = impossible_model(seed, true);
    let outcomes = run_all(&model, KINDS, only);
    let figures = |out: &SimOutcome| {
        vec![
            ("refused", out.refused as f64),
            ("parked", out.parked.len() as f64),
            ("slowest_park_ms", slowest_park_ms(&model, out)),
            ("mean_small_ms", mean_small_ms(&model, out)),
            ("done", out.done() as f64),
            ("end_s", out.end_ms as f64 / 1_000.0),
        ]
    };
    let mut result =
        SeedResult { policies: results(KINDS, &outcomes, figures), ..SeedResult::default() };
    if let Some(agatesill) = outcomes.get(SchedulerKind::Agatesill.name()) {
        let baseline_model = impossible_model(seed, false);
        let alone = super::sim::simulate(&baseline_model, SchedulerKind::Agatesill);
        result.checks =
            impossible_checks(&model, agatesill, mean_small_ms(&baseline_model, &alone));
    }
    result
}

fn impossible_checks(
    model: &ClusterModel,
    agatesill: &SimOutcome,
    without_impossible_ms: f64,
) -> Vec<Check> {
    let can_run = model.jobs.iter().filter(|job| !never_fits(model, &job.spec)).count();
    let never = model.jobs.len() - can_run;
    let started =
        agatesill.jobs.iter().zip(&model.jobs).filter(|(seen, truth)| {
            never_fits(model, &truth.spec) && seen.first_start_ms.is_some()
        });
    vec![
        Check::at_least(
            "impossible jobs refused, share",
            agatesill.refused as f64 / never as f64,
            1.0,
        ),
        Check::at_most("jobs refused that could run", agatesill.refused as f64 - never as f64, 0.0),
        Check::at_most("impossible jobs started", started.count() as f64, 0.0),
        Check::at_most(
            "slowest report of a lost possibility, ms",
            slowest_park_ms(model, agatesill),
            MAX_PARK_DELAY_MS,
        ),
        Check::at_least("jobs parked by the loss", (agatesill.parked.len() as f64).min(1.0), 1.0),
        Check::at_least(
            "other jobs done in the end, share",
            agatesill.done() as f64 / can_run as f64,
            1.0,
        ),
        Check::at_most(
            "mean time of small jobs over a run without impossible ones",
            mean_small_ms(model, agatesill) / without_impossible_ms.max(1.0),
            1.05,
        ),
        Check::at_most(
            "most store writes in a second",
            agatesill.most_writes_s as f64,
            MAX_WRITES_PER_S,
        ),
    ]
}

/// When the large workers are lost and when they return.
const LOSS_MS: u64 = 100_000;
const RETURN_MS: u64 = 250_000;

fn never_fits(model: &ClusterModel, spec: &JobSpec) -> bool {
    !model.specs().iter().any(|worker| worker.capacity.holds(&spec.need))
}

/// Longest time from the loss, or from the submission if it was later, to the report.
fn slowest_park_ms(model: &ClusterModel, out: &SimOutcome) -> f64 {
    let parked = model.jobs.iter().filter_map(|job| {
        let at_ms = out.parked.get(&job.spec.id)?;
        Some(at_ms.saturating_sub(job.arrive_ms.max(LOSS_MS)) as f64)
    });
    parked.fold(0.0, f64::max)
}

fn mean_small_ms(model: &ClusterModel, out: &SimOutcome) -> f64 {
    let small =
        model.jobs.iter().zip(&out.jobs).filter(|(truth, _)| truth.spec.id.starts_with('s'));
    let times: Vec<f64> = small
        .filter_map(|(truth, seen)| Some((seen.closed_ms? - truth.arrive_ms) as f64))
        .collect();
    times.iter().sum::<f64>() / (times.len() as f64).max(1.0)
}

/// Small jobs, jobs for the four large workers only, and, when `with_impossible`, jobs that fit
/// on no worker; the large workers are lost temporarily.
fn impossible_model(seed: u64, with_impossible: bool) -> ClusterModel {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut model = ClusterModel::empty(cluster_for_seed(seed), seed, 1_200_000);
    model.doc = profiles(4);
    model.large = vec![5, 17, 29, 41];
    model.class("bills", 1.0, 1.0, 0.8);
    let cpus = model.cluster.cpus * 1_000;
    for nth in 0..1_200u64 {
        let mut spec = batch_job(format!("s-{nth}"), "bills", "bills", 2, need(2_000, 4_000));
        spec.run_ms = rng.random_range(10_000..30_000);
        model.job(&mut rng, 0, nth * 300, spec);
        if nth % 10 == 5 {
            let mut spec =
                batch_job(format!("large-{nth}"), "costs", "bills", 1, need(cpus * 3 / 2, 8_000));
            spec.run_ms = rng.random_range(10_000..30_000);
            model.job(&mut rng, 0, nth * 300 + 7, spec);
        }
        let impossible = nth % 10 == 0;
        if impossible && with_impossible {
            let amount = if nth % 20 == 0 { need(cpus * 3, 4_000) } else { need(1_000, 1_000_000) };
            let mut spec = batch_job(format!("never-{nth}"), "bills", "bills", 1, amount);
            spec.run_ms = 10_000;
            model.job(&mut rng, 0, nth * 300 + 11, spec);
        }
    }
    model.scheduled_events = vec![
        (LOSS_MS, ScheduledEvent::Lose(model.large.clone())),
        (RETURN_MS, ScheduledEvent::Return(model.large.clone())),
    ];
    model
}
