//! `rack-loss`: on a loaded cluster, a rack and later an availability zone stop at once.

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

/// Maximum length of the run.
const HORIZON_MS: u64 = 1_800_000;

/// When the rack and the zone stop, and when both return.
const RACK_LOSS_MS: u64 = 120_000;
const ZONE_LOSS_MS: u64 = 400_000;
const RETURN_MS: u64 = 700_000;

/// Bound for the time until all tasks of the lost rack run elsewhere; their leases end after 10 s.
const MAX_RACK_REPLACEMENT_MS: f64 = 20_000.0;

/// Bound for the time until all latency-critical tasks of the lost zone run elsewhere.
const MAX_ZONE_REPLACEMENT_MS: f64 = 15_000.0;

/// Bound for store writes in a second.
const MAX_WRITES_PER_S: f64 = 200.0;

const KINDS: &[SchedulerKind] = &[SchedulerKind::Agatesill, SchedulerKind::FirstFit];

/// Runs one seed.
pub fn run(seed: u64, only: Option<&str>) -> SeedResult {
    let model = build(seed);
    let outcomes = run_all(&model, KINDS, only);
    let figures = |out: &SimOutcome| {
        vec![
            ("rack_replaced_ms", replaced_ms(&model, out, RACK_LOSS_MS, false)),
            ("zone_critical_replaced_ms", replaced_ms(&model, out, ZONE_LOSS_MS, true)),
            ("rack_lost_tasks", lost_tasks(out, RACK_LOSS_MS)),
            ("zone_lost_tasks", lost_tasks(out, ZONE_LOSS_MS)),
            ("most_writes_s", out.most_writes_s as f64),
            ("most_starts_s", out.most_starts_s as f64),
            ("batch_jobs_done", out.done() as f64),
            ("wasted_percent", out.wasted_percent()),
        ]
    };
    let mut result =
        SeedResult { policies: results(KINDS, &outcomes, figures), ..SeedResult::default() };
    if let Some(agatesill) = outcomes.get(SchedulerKind::Agatesill.name()) {
        let batch = model.jobs.iter().filter(|job| job.spec.profile == "bulk").count();
        let rack_ms = replaced_ms(&model, agatesill, RACK_LOSS_MS, false);
        let zone_ms = replaced_ms(&model, agatesill, ZONE_LOSS_MS, true);
        result.checks = vec![
            Check::at_most(
                "time until a lost rack's tasks run again, ms",
                rack_ms,
                MAX_RACK_REPLACEMENT_MS,
            ),
            Check::at_most(
                "time until a lost zone's services run again, ms",
                zone_ms,
                MAX_ZONE_REPLACEMENT_MS,
            ),
            Check::at_most(
                "most store writes in a second",
                agatesill.most_writes_s as f64,
                MAX_WRITES_PER_S,
            ),
            Check::at_least("batch jobs done, share", agatesill.done() as f64 / batch as f64, 1.0),
        ];
    }
    result
}

/// Time from a loss until the last of its tasks was restarted.
fn replaced_ms(model: &ClusterModel, out: &SimOutcome, loss_ms: u64, critical: bool) -> f64 {
    let lost = out.losses.iter().filter(|loss| {
        loss.at_ms == loss_ms && (model.jobs[loss.job].spec.profile == "desk" || !critical)
    });
    lost.map(|loss| loss.restarted_ms.unwrap_or(HORIZON_MS) - loss_ms).max().unwrap_or_default()
        as f64
}

fn lost_tasks(out: &SimOutcome, loss_ms: u64) -> f64 {
    out.losses.iter().filter(|loss| loss.at_ms == loss_ms).count() as f64
}

fn build(seed: u64) -> ClusterModel {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut model = ClusterModel::empty(cluster_for_seed(seed), seed, HORIZON_MS);
    model.doc = profiles(4);
    model.class("bills", 1.0, 0.95, 0.8);
    model.class("pricing", 1.0, 1.0, 0.8);
    let workers = model.cluster.workers;
    let cpus = u64::from(workers) * model.cluster.cpus;
    for service in 0..10 {
        let id = format!("service-{service}");
        let mut spec =
            batch_job(id, "services", "pricing", 10, need(model.cluster.cpus * 100, 3_000));
        spec.profile = "desk".to_owned();
        spec.run_ms = 100_000_000;
        model.job(&mut rng, 1, 0, spec);
    }
    add_batch(&mut model, &mut rng, cpus);
    let rack_size = model.cluster.rack_size;
    let rack = rng.random_range(0..workers / rack_size);
    let rack_workers: Vec<WorkerId> = (rack * rack_size..(rack + 1) * rack_size).collect();
    let zone = format!("zone-{}", rng.random_range(0..model.cluster.zones));
    let specs = model.specs();
    let zone_workers: Vec<WorkerId> = specs
        .iter()
        .filter(|worker| worker.zone == zone && !rack_workers.contains(&worker.id))
        .map(|worker| worker.id)
        .collect();
    let both = rack_workers.iter().chain(&zone_workers).copied().collect();
    model.scheduled_events = vec![
        (RACK_LOSS_MS, ScheduledEvent::Lose(rack_workers)),
        (ZONE_LOSS_MS, ScheduledEvent::Lose(zone_workers)),
        (RETURN_MS, ScheduledEvent::Return(both)),
    ];
    model
}

/// Adds batch work that, with the services, uses four fifths of the cluster until after the loss of
/// the zone.
fn add_batch(model: &mut ClusterModel, rng: &mut Pcg64Mcg, cpus: u64) {
    let mut at_ms = 0.0;
    let mut nth = 0;
    while at_ms < 600_000.0 {
        let tasks = rng.random_range(2..=20);
        let mut spec = batch_job(format!("job-{nth}"), "bills", "bills", tasks, need(2_000, 4_000));
        spec.run_ms = rng.random_range(20_000..90_000);
        let work = f64::from(tasks) * 2.0 * spec.run_ms as f64;
        model.job(rng, 0, at_ms as u64, spec);
        at_ms += work / (cpus as f64 * 0.7);
        nth += 1;
    }
}
