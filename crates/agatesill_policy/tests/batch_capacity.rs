//! Placement in a cell when a worker's capacity changes.
#![allow(clippy::unwrap_used, reason = "a test ends on a broken assumption")]

use agatesill_policy::prelude::*;

fn worker(cpu_milli: u64) -> WorkerSpec {
    let capacity = Resources { cpu_milli, memory_mb: 64_000, accelerators: 0 };
    WorkerSpec { id: 0, capacity, rack: "r".to_owned(), zone: "z".to_owned() }
}

fn job(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.to_owned(),
        team: "t".to_owned(),
        profile: "bulk".to_owned(),
        class: "c".to_owned(),
        tasks,
        need: Resources { cpu_milli: 1_000, memory_mb: 1_000, accelerators: 0 },
        run_ms: 60_000,
        deadline_ms: 0,
        urgent: false,
        after: Vec::new(),
    }
}

/// Applies one plan and returns the number of attempts to start.
fn plan(policy: &mut BatchPolicy, cell: &mut Cell, now_ms: u64) -> usize {
    let config = BatchConfig::new(&ConfigDoc::default(), 256);
    let deltas = policy.plan(now_ms, cell, &config).deltas;
    let effects = deltas.iter().flat_map(|delta| policy.apply(now_ms, cell, delta));
    effects.filter(|effect| matches!(effect, CellEffect::Start { .. })).count()
}

/// Guards against placements on a worker whose reservations fill or exceed its reduced capacity,
/// also after a takeover.
#[test]
fn reduced_capacity_of_a_worker_delays_placements() {
    let mut cell = Cell::new(&[worker(8_000)]);
    let mut policy = BatchPolicy::default();
    policy.rebuild(0, &cell);
    policy.apply(0, &mut cell, &CellDelta::Accept { job: job("first", 8), at_ms: 0 });
    assert_eq!(plan(&mut policy, &mut cell, 0), 8);
    policy.apply(0, &mut cell, &CellDelta::AddWorker { worker: worker(4_000) });
    policy.apply(0, &mut cell, &CellDelta::Accept { job: job("second", 4), at_ms: 0 });
    let stored = serde_json::to_string(&cell).unwrap();
    cell = serde_json::from_str(&stored).unwrap();
    policy.rebuild(0, &cell);
    for index in 0..8 {
        let now_ms = 5_000 * (index + 1);
        let placed = plan(&mut policy, &mut cell, now_ms);
        assert_eq!(placed, usize::from(index > 4), "after {index} ends");
        let end = CellDelta::End {
            task: format!("first/{index}"),
            attempt: 1,
            outcome: AttemptOutcome::Done,
        };
        policy.apply(now_ms, &mut cell, &end);
    }
    plan(&mut policy, &mut cell, 45_000);
    assert_eq!(cell.worker(0).unwrap().used.cpu_milli, 4_000);
    policy.apply(45_000, &mut cell, &CellDelta::AddWorker { worker: worker(8_000) });
    policy.apply(45_000, &mut cell, &CellDelta::Accept { job: job("third", 4), at_ms: 0 });
    assert_eq!(plan(&mut policy, &mut cell, 50_000), 4, "the capacity has been restored");
}
