//! Cell owner: bytes and calls of group commit, cost of replay and memory of the ledger.

use std::sync::Arc;
use std::time::Instant;

use agatesill_coord::prelude::*;
use agatesill_policy::prelude::*;
use agatesill_standin::store::StoreStandin;

use super::result_for_role;
use super::slope::Line;
use crate::result::PolicyResult;

/// Task starts per second of one cell at which group commit is measured.
const START_RATES: [u64; 5] = [25, 50, 100, 200, 400];

/// Simulated seconds of group commit for each rate.
const COMMIT_TIME_S: u64 = 60;

/// Interval of the group commits: the longest delay that an urgent start tolerates.
const COMMIT_INTERVAL_MS: u64 = 250;

/// Run time of a task until its end is committed: at 106 starts/s, the peak of each of 16 cells,
/// this yields the 812 tasks that run in each.
const RUN_TIME_S: u64 = 8;

/// Ledger sizes at which replay and memory are measured, in running tasks.
const LEDGER_TASKS: [u64; 5] = [1_000, 2_000, 4_000, 8_000, 16_000];

/// Workers of the measured cell: 16 cells share the 2,000 of the target deployment.
const WORKERS: u32 = 125;

/// Tasks of one job: the target deployment runs 13,000 tasks in a few hundred jobs.
const TASKS_PER_JOB: u64 = 50;

fn workers() -> Vec<WorkerSpec> {
    let capacity = Resources { cpu_milli: 1_000_000, memory_mb: 10_000_000, accelerators: 2 };
    (1..=WORKERS)
        .map(|id| WorkerSpec {
            id,
            capacity,
            rack: format!("zone-a-r{}", id / 8),
            zone: "zone-a".to_owned(),
        })
        .collect()
}

fn job(nth: u64) -> CellDelta {
    let job = JobSpec {
        id: format!("bill-run-2026-12-{nth:06}"),
        team: format!("team-{}", nth % 200),
        profile: "month-end".to_owned(),
        class: "bill-run".to_owned(),
        tasks: TASKS_PER_JOB as u32,
        need: Resources { cpu_milli: 1_000, memory_mb: 2_000, accelerators: 0 },
        run_ms: 60_000,
        deadline_ms: 3_600_000,
        urgent: false,
        after: Vec::new(),
    };
    CellDelta::Accept { job, at_ms: 1_780_000_000_000 + nth }
}

fn place(nth: u64) -> CellDelta {
    CellDelta::Place {
        task: task(nth),
        attempt: 1,
        worker: (nth % u64::from(WORKERS)) as u32 + 1,
        reserve: Resources { cpu_milli: 1_000, memory_mb: 2_000, accelerators: 0 },
    }
}

fn end(nth: u64) -> CellDelta {
    CellDelta::End { task: task(nth), attempt: 1, outcome: AttemptOutcome::Done }
}

fn task(nth: u64) -> TaskId {
    format!("bill-run-2026-12-{:06}/{}", nth / TASKS_PER_JOB, nth % TASKS_PER_JOB)
}

/// Runs group commit at each rate and reads the counters of the store stand-in.
pub async fn group_commit() -> PolicyResult {
    let mut result = result_for_role("cell owner: group commit");
    let mut writes = Line::new("store_writes_per_s", "starts/s");
    let mut bytes = Line::new("store_bytes_per_s", "starts/s");
    let mut time = Line::new("busy_us_per_s", "starts/s");
    for rate in START_RATES {
        let standin = StoreStandin::default();
        let store = store_client(&standin);
        let started = Instant::now();
        let outcome = commit_at(store, rate).await;
        if let Err(error) = outcome {
            eprintln!("agatesill-bench: scale: {error}");
            continue;
        }
        let seconds = COMMIT_TIME_S as f64;
        let audit = standin.audit();
        writes.add(rate as f64, audit.writes as f64 / seconds);
        bytes.add(rate as f64, audit.written_bytes as f64 / seconds);
        time.add(rate as f64, started.elapsed().as_micros() as f64 / seconds);
    }
    writes.report(&mut result);
    bytes.report(&mut result);
    time.report(&mut result);
    result
}

/// A store client that calls the stand-in directly, without a network.
pub fn store_client(standin: &StoreStandin) -> Store {
    let standin = standin.clone();
    Store::with_transport(Arc::new(move |call, _| {
        let standin = standin.clone();
        Box::pin(async move { standin.call(call).await })
    }))
}

async fn commit_at(store: Store, rate: u64) -> Result<(), agatesill_wire::prelude::Error> {
    let (mut log, _) = CommitLog::take_over::<Cell, CellDelta>(store, "cell/a", "entry-1").await?;
    let mut cell = Cell::new(&workers());
    let (mut started, mut ended) = (0, 0);
    let commits = COMMIT_TIME_S * 1_000 / COMMIT_INTERVAL_MS;
    for commit in 1..=commits {
        let started_target = rate * commit * COMMIT_INTERVAL_MS / 1_000;
        let ended_target =
            (rate * commit * COMMIT_INTERVAL_MS / 1_000).saturating_sub(rate * RUN_TIME_S);
        let mut deltas = Vec::new();
        for nth in started..started_target {
            if nth % TASKS_PER_JOB == 0 {
                deltas.push(job(nth / TASKS_PER_JOB));
            }
            deltas.push(place(nth));
        }
        for nth in ended..ended_target {
            deltas.push(end(nth));
            if nth % TASKS_PER_JOB == TASKS_PER_JOB - 1 {
                let job = format!("bill-run-2026-12-{:06}", nth / TASKS_PER_JOB);
                deltas.push(CellDelta::Forget { job });
            }
        }
        (started, ended) = (started_target, ended_target);
        log.append(&deltas).await?;
        for delta in &deltas {
            cell.apply(delta);
        }
        if log.snapshot_due() {
            log.snapshot(&cell).await?;
        }
    }
    Ok(())
}

/// Builds a ledger of each size from deltas; measures replay time, snapshot length and memory.
pub fn replay_and_memory() -> PolicyResult {
    let mut result = result_for_role("cell owner: ledger");
    let mut replay = Line::new("replay_us", "tasks");
    let mut snapshot = Line::new("snapshot_bytes", "tasks");
    let mut memory = Line::new("resident_bytes", "tasks");
    let mut ledgers = Vec::new();
    for tasks in LEDGER_TASKS {
        let deltas: Vec<CellDelta> =
            (0..tasks / TASKS_PER_JOB).map(job).chain((0..tasks).map(place)).collect();
        let before = resident_bytes();
        let started = Instant::now();
        let mut cell = Cell::new(&workers());
        for delta in &deltas {
            cell.apply(delta);
        }
        replay.add(tasks as f64, started.elapsed().as_micros() as f64);
        memory.add(tasks as f64, resident_bytes().saturating_sub(before) as f64);
        let encoded = serde_json::to_string(&cell).unwrap_or_default();
        snapshot.add(tasks as f64, encoded.len() as f64);
        ledgers.push(cell);
    }
    replay.report(&mut result);
    snapshot.report(&mut result);
    memory.report(&mut result);
    result
}

/// Resident memory of this process; the kernel counts pages of 4 KiB.
pub fn resident_bytes() -> u64 {
    let pages = std::fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok())
        .unwrap_or(0);
    pages * 4_096
}
