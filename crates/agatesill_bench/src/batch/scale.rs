//! `place-scale`: the cost of a placement on clusters of 50 to 2,000 workers, in real time.

use std::collections::BTreeMap;
use std::time::Instant;

use agatesill_policy::prelude::*;

use super::cluster_model::{batch_job, need, profiles};
use crate::result::{Check, PolicyResult, SeedResult, Series};

/// Measured cluster sizes in workers.
const CLUSTER_SIZES: [u32; 3] = [50, 500, 2_000];

/// Tasks of each kind, those of the target deployment.
const CRITICAL_TASKS: u32 = 5_100;
const BATCH_TASKS: u32 = 13_000;

/// Number of batch jobs, all with the same number of tasks.
const JOBS: u32 = 650;

/// Bound for placements a second on one core at the largest cluster.
const MIN_PLACEMENTS_PER_S: f64 = 5_000.0;

/// Share of the cluster capacity that all tasks together need.
const ALLOCATED_SHARE: f64 = 0.8;

/// Runs of the cancellation; the minimum counts, since other load on the machine only adds time.
const REPEATS: usize = 5;

/// Size of a task; small, so that the workers of the smallest cluster hold all of them.
const TASK_CPU_MILLI: u64 = 200;
const TASK_MEMORY_MB: u64 = 500;

/// Planning rounds, one for each simulated second, after which a measurement stops.
const MAX_ROUNDS: u64 = 400;

/// Number of services that the latency-critical tasks belong to.
const SERVICES: u32 = 30;

/// Numbers of cancelled jobs; the cost of one cancellation must not depend on them.
const CANCELLED_JOBS: [u32; 2] = [1_000, 10_000];

/// Runs the measurement, which does not depend on the seed.
pub fn run(_seed: u64) -> SeedResult {
    // The largest cluster runs first, since later runs reuse memory that the process already holds.
    let mut measured: Vec<Measurement> =
        CLUSTER_SIZES.iter().rev().map(|workers| measure(*workers)).collect();
    measured.reverse();
    let mut figures = BTreeMap::new();
    for (workers, one) in CLUSTER_SIZES.iter().zip(&measured) {
        figures.insert(format!("placements_s_{workers}"), one.placements as f64 / one.placing_s);
    }
    let largest = &measured[2];
    let per_task = largest.bytes / largest.placements as f64;
    figures.insert("bytes_per_task".to_owned(), per_task);
    let per_worker = largest.worker_bytes / f64::from(CLUSTER_SIZES[2]);
    figures.insert("bytes_per_worker".to_owned(), per_worker);
    let cost = |one: &Measurement| one.placing_s * 1e6 / one.placements as f64;
    let growth = cost(&measured[2]) / cost(&measured[0]);
    let log_growth = f64::from(CLUSTER_SIZES[2]).ln() / f64::from(CLUSTER_SIZES[0]).ln();
    let slope = (cost(&measured[2]) - cost(&measured[0]))
        / (CLUSTER_SIZES[2] as f64 / CLUSTER_SIZES[0] as f64).log2();
    figures.insert("slope_us_per_doubling".to_owned(), slope);
    let min_us = |jobs| (0..REPEATS).map(|_| cancel_us(jobs)).fold(f64::MAX, f64::min);
    let cancel_costs_us = CANCELLED_JOBS.map(min_us);
    figures.insert("cancel_us_of_1000".to_owned(), cancel_costs_us[0]);
    figures.insert("cancel_us_of_10000".to_owned(), cancel_costs_us[1]);
    let points =
        CLUSTER_SIZES.iter().zip(&measured).map(|(workers, one)| (f64::from(*workers), cost(one)));
    let series = vec![Series {
        plot: "cost of a placement".to_owned(),
        x_label: "workers".to_owned(),
        y_label: "time (us)".to_owned(),
        points: points.collect(),
    }];
    let last = &measured[2];
    SeedResult {
        policies: vec![PolicyResult { policy: "agatesill".to_owned(), figures, series }],
        checks: vec![
            Check::at_least(
                "placements a second at 2,000 workers over 5,000, at most 1",
                (last.placements as f64 / last.placing_s / MIN_PLACEMENTS_PER_S).min(1.0),
                1.0,
            ),
            Check::at_most(
                "growth of a placement's cost over log of workers",
                growth / log_growth,
                1.0,
            ),
            Check::at_most(
                "cost of a cancel of 10,000 over one of 1,000",
                cancel_costs_us[1] / cancel_costs_us[0],
                1.5,
            ),
        ],
        ..SeedResult::default()
    }
}

struct Measurement {
    placements: usize,
    placing_s: f64,
    bytes: f64,
    worker_bytes: f64,
}

/// Places all tasks on `workers` workers and measures the time for plans and commits.
fn measure(workers: u32) -> Measurement {
    let start = resident_bytes();
    let per_worker = f64::from(CRITICAL_TASKS + BATCH_TASKS) / f64::from(workers) / ALLOCATED_SHARE;
    let mut cell = Cell::new(&specs(workers, per_worker));
    let mut policy = BatchPolicy::default();
    policy.rebuild(0, &cell);
    let worker_bytes = resident_bytes() - start;
    let config = BatchConfig::new(&profiles(4), 256);
    let amount = need(TASK_CPU_MILLI, TASK_MEMORY_MB);
    for service in 0..SERVICES {
        let name = format!("service-{service}");
        let mut job = batch_job(name.clone(), "services", &name, CRITICAL_TASKS / SERVICES, amount);
        job.profile = "desk".to_owned();
        policy.apply(0, &mut cell, &CellDelta::Accept { job, at_ms: 0 });
    }
    let mut now_ms = 0;
    let (mut placements, mut placing_s) = place_all(&mut cell, &mut policy, &config, &mut now_ms);
    for nth in 0..JOBS {
        let class = format!("class-{}", nth % 10);
        let team = format!("team-{}", nth % 200);
        let job = batch_job(format!("job-{nth}"), &team, &class, BATCH_TASKS / JOBS, amount);
        policy.apply(now_ms, &mut cell, &CellDelta::Accept { job, at_ms: now_ms });
    }
    let (more, more_s) = place_all(&mut cell, &mut policy, &config, &mut now_ms);
    placements += more;
    placing_s += more_s;
    Measurement {
        placements,
        placing_s,
        bytes: resident_bytes() - start - worker_bytes,
        worker_bytes,
    }
}

/// Plans and commits until no task waits; returns placements and seconds.
fn place_all(
    cell: &mut Cell,
    policy: &mut BatchPolicy,
    config: &BatchConfig,
    now_ms: &mut u64,
) -> (usize, f64) {
    let mut placements = 0;
    let mut spent_s = 0.0;
    loop {
        *now_ms += 1_000;
        report_all(cell, policy, *now_ms);
        let started = Instant::now();
        let deltas = policy.plan(*now_ms, cell, config).deltas;
        let placed =
            deltas.iter().map(|delta| policy.apply(*now_ms, cell, delta).len()).sum::<usize>();
        spent_s += started.elapsed().as_secs_f64();
        placements += placed;
        let waits = cell.jobs().any(|job| job.waiting().next().is_some());
        if !waits || *now_ms > MAX_ROUNDS * 1_000 {
            return (placements, spent_s);
        }
    }
}

/// Sends a usage report without latency violations from each worker, so that every decision
/// accounts for services and the policy learns the pairs of services and placed tasks.
fn report_all(cell: &Cell, policy: &mut BatchPolicy, now_ms: u64) {
    let ids: Vec<WorkerId> = cell.workers().map(|worker| worker.spec.id).collect();
    for id in ids {
        let services = (0..3).map(|nth| ServiceUsage {
            service: format!("service-{}", (id + nth) % SERVICES),
            cpu_milli: 1_000,
            pressure_percent: 40,
        });
        let report =
            UsageReport { measured_ms: now_ms, services: services.collect(), tasks: Vec::new() };
        policy.observe(now_ms, cell, id, &report);
    }
}

/// Workers with capacity for `tasks` tasks each.
fn specs(workers: u32, tasks: f64) -> Vec<WorkerSpec> {
    (0..workers)
        .map(|id| WorkerSpec {
            id,
            capacity: need(
                (tasks * TASK_CPU_MILLI as f64).ceil() as u64,
                (tasks * TASK_MEMORY_MB as f64).ceil() as u64,
            ),
            rack: format!("rack-{}", id / 6),
            zone: format!("zone-{}", id / 6 % 16),
        })
        .collect()
}

/// Time of one cancellation, the mean over `jobs` waiting jobs.
fn cancel_us(jobs: u32) -> f64 {
    let mut cell = Cell::new(&specs(50, 300.0));
    let mut policy = BatchPolicy::default();
    policy.rebuild(0, &cell);
    let id = |nth: u32| format!("job-{nth}");
    for nth in 0..jobs {
        let job = batch_job(id(nth), "bills", "bills", 4, need(1_000, 1_000));
        policy.apply(0, &mut cell, &CellDelta::Accept { job, at_ms: 0 });
    }
    let started = Instant::now();
    for nth in 0..jobs {
        policy.apply(0, &mut cell, &CellDelta::Cancel { job: id(nth) });
    }
    started.elapsed().as_secs_f64() * 1e6 / f64::from(jobs)
}

/// Resident memory of the process; coarse, since the allocator may keep freed memory.
fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * 4_096.0
}
