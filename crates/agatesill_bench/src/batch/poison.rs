//! `poison-worker`: on three of fifty workers every attempt fails, and one job in twenty fails on
//! every worker.

use agatesill_policy::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::cluster_model::{ClusterModel, batch_job, cluster_for_seed, need, profiles};
use super::outcome::SimOutcome;
use super::scheduler::SchedulerKind;
use super::{results, run_all};
use crate::result::{Check, SeedResult};

/// Maximum length of the run.
const HORIZON_MS: u64 = 1_800_000;

/// Number of jobs, and the share that fails on every worker.
const JOBS: u32 = 1_500;
const FAILING_JOB_SHARE: f64 = 0.05;

/// Time over which jobs arrive.
const ARRIVAL_WINDOW_MS: u64 = 600_000;

/// Failed attempts of a task that a good job may have.
const MAX_FAILED_ATTEMPTS: u32 = 2;

/// Bound for the quarantine of a healthy worker.
const MAX_QUARANTINE_MS: f64 = 60_000.0;

const KINDS: &[SchedulerKind] =
    &[SchedulerKind::Agatesill, SchedulerKind::FirstFit, SchedulerKind::BestFit];

/// Runs one seed.
pub fn run(seed: u64, only: Option<&str>) -> SeedResult {
    let model = build(seed);
    let outcomes = run_all(&model, KINDS, only);
    let figures = |out: &SimOutcome| {
        vec![
            ("good_jobs_touched_more_than_twice", share_retried_too_often(&model, out)),
            ("good_jobs_done_percent", percent_good_jobs_done(&model, out)),
            ("bad_jobs_given_up_percent", percent_failing_jobs_ended(&model, out)),
            ("quarantines_of_good_workers", good_quarantines(&model, out).count() as f64),
            ("quarantines", out.quarantines.len() as f64),
            ("failed_attempts", failed_attempts(out)),
            ("end_s", out.end_ms as f64 / 1_000.0),
        ]
    };
    let mut result =
        SeedResult { policies: results(KINDS, &outcomes, figures), ..SeedResult::default() };
    if let Some(agatesill) = outcomes.get(SchedulerKind::Agatesill.name()) {
        let longest = good_quarantines(&model, agatesill).fold(0.0, f64::max);
        result.checks = vec![
            Check::at_most(
                "good jobs touched more than twice, share",
                share_retried_too_often(&model, agatesill),
                0.01,
            ),
            Check::at_most("longest quarantine of a good worker in ms", longest, MAX_QUARANTINE_MS),
            Check::at_least(
                "good jobs done, share",
                percent_good_jobs_done(&model, agatesill) / 100.0,
                1.0,
            ),
            Check::at_least(
                "bad jobs given up, share",
                percent_failing_jobs_ended(&model, agatesill) / 100.0,
                1.0,
            ),
        ];
    }
    result
}

fn share_retried_too_often(model: &ClusterModel, out: &SimOutcome) -> f64 {
    let good = || model.jobs.iter().zip(&out.jobs).filter(|(truth, _)| truth.failure.is_none());
    let retried = good()
        .filter(|(_, seen)| seen.starts.iter().any(|starts| *starts > MAX_FAILED_ATTEMPTS + 1));
    retried.count() as f64 / good().count() as f64
}

fn percent_good_jobs_done(model: &ClusterModel, out: &SimOutcome) -> f64 {
    let good = || model.jobs.iter().zip(&out.jobs).filter(|(truth, _)| truth.failure.is_none());
    let done = good().filter(|(_, seen)| seen.outcome == Some(JobOutcome::Done));
    done.count() as f64 * 100.0 / good().count() as f64
}

fn percent_failing_jobs_ended(model: &ClusterModel, out: &SimOutcome) -> f64 {
    let failing = || model.jobs.iter().zip(&out.jobs).filter(|(truth, _)| truth.failure.is_some());
    let ended =
        failing().filter(|(_, seen)| matches!(seen.outcome, Some(JobOutcome::Failed { .. })));
    ended.count() as f64 * 100.0 / (failing().count() as f64).max(1.0)
}

/// Quarantine durations of healthy workers in milliseconds.
fn good_quarantines<'a>(
    model: &'a ClusterModel,
    out: &'a SimOutcome,
) -> impl Iterator<Item = f64> + 'a {
    let good = |entry: &&(WorkerId, u64, Option<u64>)| !model.faulty_workers.contains(&entry.0);
    let length = |entry: &(WorkerId, u64, Option<u64>)| {
        entry.2.unwrap_or(out.end_ms).saturating_sub(entry.1) as f64
    };
    out.quarantines.iter().filter(good).map(length)
}

fn failed_attempts(out: &SimOutcome) -> f64 {
    let retries = |starts: &u32| starts.saturating_sub(1);
    out.jobs.iter().flat_map(|job| &job.starts).map(retries).sum::<u32>().into()
}

fn build(seed: u64) -> ClusterModel {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut model = ClusterModel::empty(cluster_for_seed(seed), seed, HORIZON_MS);
    model.doc = profiles(4);
    model.class("bills", 1.0, 0.9, 0.8);
    while model.faulty_workers.len() < 3 {
        let worker = rng.random_range(0..model.cluster.workers);
        if !model.faulty_workers.contains(&worker) {
            model.faulty_workers.push(worker);
        }
    }
    for nth in 0..JOBS {
        let tasks = rng.random_range(1..=10);
        let mut spec = batch_job(format!("job-{nth}"), "bills", "bills", tasks, need(2_000, 4_000));
        spec.run_ms = rng.random_range(10_000..40_000);
        let at_ms = u64::from(nth) * ARRIVAL_WINDOW_MS / u64::from(JOBS);
        model.job(&mut rng, 0, at_ms, spec);
        if rng.random_bool(FAILING_JOB_SHARE)
            && let Some(job) = model.jobs.last_mut()
        {
            job.failure = Some(FailureKind::TaskError);
        }
    }
    model
}
