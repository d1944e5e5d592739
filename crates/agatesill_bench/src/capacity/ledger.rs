//! The cell owner: bytes and calls of group commit, cost of replay, memory of the ledger.

use std::sync::Arc;
use std::time::Instant;

use agatesill_coord::prelude::*;
use agatesill_policy::prelude::*;
use agatesill_standin::store::StoreStandin;

use super::role;
use super::slope::Line;
use crate::result::PolicyResult;

/// Starts per second of one cell at which group commit is measured.
const START_RATES: [u64; 5] = [25, 50, 100, 200, 400];

/// Seconds of group commit for each rate.
const COMMIT_SECONDS: u64 = 60;

/// Time over which deltas are gathered: the longest that an urgent start can bear.
const COMMIT_MS: u64 = 250;

/// Time that a task runs before its end is committed: at the 106 starts/s that each of 16 cells has
/// at the peak, this keeps the 812 tasks that run in each.
const RUN_SECONDS: u64 = 8;

/// Ledger sizes at which replay and memory are measured, in running tasks.
const LEDGER_TASKS: [u64; 5] = [1_000, 2_000, 4_000, 8_000, 16_000];

/// Workers of the measured cell: the target's 2,000 in 16 cells.
const WORKERS: u32 = 125;

/// Tasks of one job: the target's 13,000 running tasks in a few hundred jobs.
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

/// Runs group commit at each rate against the store stand-in and reads its books.
pub async fn group_commit() -> PolicyResult {
    let mut result = role("cell owner: group commit");
    let mut writes = Line::new("store_writes_per_s", "starts/s");
    let mut bytes = Line::new("store_bytes_per_s", "starts/s");
    let mut busy = Line::new("busy_us_per_s", "starts/s");
    for rate in START_RATES {
        let standin = StoreStandin::default();
        let store = store_over(&standin);
        let started = Instant::now();
        let outcome = commit_at(store, rate).await;
        if let Err(error) = outcome {
            eprintln!("agatesill-bench: scale: {error}");
            continue;
        }
        let seconds = COMMIT_SECONDS as f64;
        let books = standin.audit();
        writes.add(rate as f64, books.writes as f64 / seconds);
        bytes.add(rate as f64, books.written_bytes as f64 / seconds);
        busy.add(rate as f64, started.elapsed().as_micros() as f64 / seconds);
    }
    writes.report(&mut result);
    bytes.report(&mut result);
    busy.report(&mut result);
    result
}

/// A store client that reaches the stand-in without a network.
pub fn store_over(standin: &StoreStandin) -> Store {
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
    let turns = COMMIT_SECONDS * 1_000 / COMMIT_MS;
    for turn in 1..=turns {
        let due = rate * turn * COMMIT_MS / 1_000;
        let over = (rate * turn * COMMIT_MS / 1_000).saturating_sub(rate * RUN_SECONDS);
        let mut deltas = Vec::new();
        for nth in started..due {
            if nth % TASKS_PER_JOB == 0 {
                deltas.push(job(nth / TASKS_PER_JOB));
            }
            deltas.push(place(nth));
        }
        for nth in ended..over {
            deltas.push(end(nth));
            if nth % TASKS_PER_JOB == TASKS_PER_JOB - 1 {
                let job = format!("bill-run-2026-12-{:06}", nth / TASKS_PER_JOB);
                deltas.push(CellDelta::Forget { job });
            }
        }
        (started, ended) = (due, over);
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

/// Applies a ledger's worth of deltas at each size; reads time, snapshot length and memory.
pub fn replay_and_memory() -> PolicyResult {
    let mut result = role("cell owner: ledger");
    let mut replay = Line::new("replay_us", "tasks");
    let mut snapshot = Line::new("snapshot_bytes", "tasks");
    let mut memory = Line::new("resident_bytes", "tasks");
    let mut kept = Vec::new();
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
        kept.push(cell);
    }
    replay.report(&mut result);
    snapshot.report(&mut result);
    memory.report(&mut result);
    result
}

/// Resident memory of this process, from the kernel's page counts of 4 KiB.
pub fn resident_bytes() -> u64 {
    let pages = std::fs::read_to_string("/proc/self/statm")
        .ok()
        .and_then(|text| text.split_whitespace().nth(1)?.parse::<u64>().ok())
        .unwrap_or(0);
    pages * 4_096
}
