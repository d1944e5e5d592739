//! Limits on retries of tasks that crash the workers of a cell.
#![allow(clippy::unwrap_used, reason = "a test ends on a broken assumption")]

use agatesill_policy::prelude::*;

/// Maximum number of starts of a task that crashes its worker at each start.
const MAX_STARTS: usize = 5;

fn worker(id: WorkerId, cpu_milli: u64) -> WorkerSpec {
    let capacity = Resources { cpu_milli, memory_mb: 64_000, accelerators: 0 };
    WorkerSpec { id, capacity, rack: format!("r{id}"), zone: "z".to_owned() }
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

/// Ledger and policy of a cell's owner, with a simulated clock.
struct Owner {
    cell: Cell,
    policy: BatchPolicy,
    now_ms: u64,
}

impl Owner {
    fn new(workers: &[WorkerSpec]) -> Self {
        let cell = Cell::new(workers);
        let mut owner = Self { cell, policy: BatchPolicy::default(), now_ms: 0 };
        owner.policy.rebuild(0, &owner.cell);
        owner
    }

    fn apply(&mut self, delta: &CellDelta) -> Vec<CellEffect> {
        self.policy.apply(self.now_ms, &mut self.cell, delta)
    }

    fn accept(&mut self, job: JobSpec) {
        self.apply(&CellDelta::Accept { job, at_ms: self.now_ms });
    }

    /// Applies one plan and returns the attempts to start.
    fn plan(&mut self) -> Vec<(TaskId, Attempt)> {
        let config = BatchConfig::new(&ConfigDoc::default(), 256);
        let deltas = self.policy.plan(self.now_ms, &self.cell, &config).deltas;
        let effects: Vec<CellEffect> = deltas.iter().flat_map(|delta| self.apply(delta)).collect();
        effects
            .into_iter()
            .filter_map(|effect| match effect {
                CellEffect::Start { task, attempt, .. } => Some((task, attempt)),
                _ => None,
            })
            .collect()
    }

    fn end(&mut self, task: &str, attempt: Attempt, outcome: AttemptOutcome) {
        self.apply(&CellDelta::End { task: task.to_owned(), attempt, outcome });
    }

    /// Rebuilds the owner from the serialized ledger alone.
    fn take_over(&mut self) {
        let stored = serde_json::to_string(&self.cell).unwrap();
        self.cell = serde_json::from_str(&stored).unwrap();
        self.policy.rebuild(self.now_ms, &self.cell);
    }
}

/// Runs a job of one task that crashes its worker at each start until the job fails; returns the
/// number of starts.
fn starts_until_closed(takes_over: bool) -> usize {
    let workers: Vec<WorkerSpec> = (0..6).map(|id| worker(id, 8_000)).collect();
    let mut owner = Owner::new(&workers);
    owner.accept(job("bad", 1));
    let mut starts = 0;
    for _ in 0..600 {
        owner.now_ms += 200;
        for (task, attempt) in owner.plan() {
            starts += 1;
            owner.end(&task, attempt, AttemptOutcome::WorkerCrashed);
            if takes_over {
                owner.take_over();
            }
        }
    }
    let outcome = owner.cell.job("bad").unwrap().outcome.clone();
    assert!(matches!(outcome, Some(JobOutcome::Failed { .. })), "{outcome:?}");
    starts
}

/// Guards against unlimited retries of a task that crashes its workers.
#[test]
fn a_task_that_crashes_its_workers_fails_its_job() {
    assert!(starts_until_closed(false) <= MAX_STARTS);
}

/// Guards against losing the crash count when another owner takes over.
#[test]
fn crash_counts_of_a_cell_survive_takeovers() {
    assert!(starts_until_closed(true) <= MAX_STARTS);
}

/// Guards against failing a job whose task is often lost during probation but outlives it in
/// between.
#[test]
fn an_attempt_that_outlives_probation_resets_the_crash_count() {
    let mut owner = Owner::new(&[worker(0, 8_000), worker(1, 8_000)]);
    owner.accept(job("good", 1));
    for round in 0..24 {
        let starts = loop {
            owner.now_ms += 200;
            let starts = owner.plan();
            if !starts.is_empty() {
                break starts;
            }
            assert!(owner.cell.job("good").unwrap().outcome.is_none(), "the job failed");
        };
        let (task, attempt) = &starts[0];
        let outcome = match round % 4 {
            3 => lost_attempt_outcome(Some(20_000)),
            _ => lost_attempt_outcome(Some(100)),
        };
        owner.end(task, *attempt, outcome);
    }
    assert!(owner.cell.job("good").unwrap().outcome.is_none());
}
