//! The ledger of one cell during placements, ends and cancellations.

use agatesill_policy::prelude::*;

fn worker(id: WorkerId) -> WorkerSpec {
    let capacity = Resources { cpu_milli: 4_000, memory_mb: 8_000, accelerators: 0 };
    WorkerSpec { id, capacity, rack: "r1".to_owned(), zone: "z1".to_owned() }
}

fn job(id: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: id.to_owned(),
        team: "t".to_owned(),
        profile: "p".to_owned(),
        class: "c".to_owned(),
        tasks,
        need: Resources { cpu_milli: 2_000, memory_mb: 1_000, accelerators: 0 },
        run_ms: 1_000,
        deadline_ms: 0,
        urgent: false,
        after: Vec::new(),
    }
}

fn place_all(cell: &mut Cell) -> usize {
    let config = BatchConfig::new(&ConfigDoc::default(), 100);
    let mut policy = BatchPolicy::default();
    policy.rebuild(0, cell);
    let deltas = policy.plan(0, cell, &config).deltas;
    deltas.iter().for_each(|delta| {
        cell.apply(delta);
    });
    deltas.len()
}

#[test]
fn placements_stop_at_capacity_and_resume_after_an_end() {
    let mut cell = Cell::new(&[worker(1), worker(2)]);
    cell.apply(&CellDelta::Accept { job: job("a", 6), at_ms: 0 });
    assert_eq!(place_all(&mut cell), 4);
    assert_eq!(place_all(&mut cell), 0);
    let end = CellDelta::End { task: "a/0".to_owned(), attempt: 1, outcome: AttemptOutcome::Done };
    cell.apply(&end);
    assert_eq!(place_all(&mut cell), 1);
    // A duplicate report of the same end releases nothing.
    cell.apply(&end);
    assert_eq!(place_all(&mut cell), 0);
}

#[test]
fn a_cancelled_job_keeps_its_reservation_until_the_stop_is_confirmed() {
    let mut cell = Cell::new(&[worker(1)]);
    cell.apply(&CellDelta::Accept { job: job("a", 3), at_ms: 0 });
    assert_eq!(place_all(&mut cell), 2);
    let effects = cell.apply(&CellDelta::Cancel { job: "a".to_owned() });
    let stops = effects.iter().filter(|effect| matches!(effect, CellEffect::Stop { .. })).count();
    assert_eq!((stops, effects.len()), (2, 3), "two stops and the job's outcome");
    cell.apply(&CellDelta::Accept { job: job("b", 1), at_ms: 0 });
    assert_eq!(place_all(&mut cell), 0, "released before the stop was confirmed");
    let outcome = AttemptOutcome::Stopped { checkpoint_ms: 0 };
    let end = CellDelta::End { task: "a/0".to_owned(), attempt: 1, outcome };
    cell.apply(&end);
    assert_eq!(place_all(&mut cell), 1);
}
