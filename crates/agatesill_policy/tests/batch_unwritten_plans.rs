//! Plans that are not written to the log: the ledger does not change, and the next plan has to
//! contain their changes again.
#![allow(clippy::unwrap_used, reason = "a test ends on a broken assumption")]

use agatesill_policy::prelude::*;

fn worker(id: WorkerId, cpu_milli: u64) -> WorkerSpec {
    let capacity = Resources { cpu_milli, memory_mb: 8_000, accelerators: 0 };
    WorkerSpec { id, capacity, rack: format!("r{id}"), zone: "z".to_owned() }
}

fn job(id: &str, cpu_milli: u64) -> JobSpec {
    JobSpec {
        id: id.to_owned(),
        team: "t".to_owned(),
        profile: "bulk".to_owned(),
        class: id.to_owned(),
        tasks: 1,
        need: Resources { cpu_milli, memory_mb: 1_000, accelerators: 0 },
        run_ms: 60_000,
        deadline_ms: 0,
        urgent: false,
        after: Vec::new(),
    }
}

struct Owner {
    cell: Cell,
    policy: BatchPolicy,
    config: BatchConfig,
}

impl Owner {
    fn new(workers: &[WorkerSpec]) -> Self {
        let cell = Cell::new(workers);
        let mut policy = BatchPolicy::default();
        policy.rebuild(0, &cell);
        Self { cell, policy, config: BatchConfig::new(&ConfigDoc::default(), 256) }
    }

    fn apply(&mut self, now_ms: u64, delta: &CellDelta) -> Vec<CellEffect> {
        self.policy.apply(now_ms, &mut self.cell, delta)
    }

    fn accept(&mut self, job: JobSpec) {
        self.apply(0, &CellDelta::Accept { job, at_ms: 0 });
    }

    /// Makes a plan that is not written.
    fn lose_plan(&mut self, now_ms: u64) -> Vec<CellDelta> {
        self.policy.plan(now_ms, &self.cell, &self.config).deltas
    }

    /// Makes a plan, writes it and returns the started attempts.
    fn plan(&mut self, now_ms: u64) -> Vec<(TaskId, Attempt, WorkerId)> {
        let deltas = self.lose_plan(now_ms);
        let effects: Vec<CellEffect> =
            deltas.iter().flat_map(|delta| self.apply(now_ms, delta)).collect();
        let start = |effect| match effect {
            CellEffect::Start { worker, task, attempt, .. } => Some((task, attempt, worker)),
            _ => None,
        };
        effects.into_iter().filter_map(start).collect()
    }

    fn fail(&mut self, now_ms: u64, start: &(TaskId, Attempt, WorkerId), kind: FailureKind) {
        let (task, attempt) = (start.0.clone(), start.1);
        let outcome = AttemptOutcome::Failed { kind };
        self.apply(now_ms, &CellDelta::End { task, attempt, outcome });
    }
}

/// Guards against a job that is given up and neither fails nor runs again.
#[test]
fn a_job_that_is_given_up_fails_after_a_plan_was_lost() {
    let mut owner = Owner::new(&[worker(1, 4_000)]);
    owner.accept(job("broken", 1_000));
    let started = owner.plan(0);
    owner.fail(10, &started[0], FailureKind::BadInput);
    let lost = owner.lose_plan(20);
    assert!(lost.iter().any(|delta| matches!(delta, CellDelta::Fail { .. })), "{lost:?}");
    owner.plan(40);
    let outcome = owner.cell.job("broken").unwrap().outcome.clone();
    assert!(matches!(outcome, Some(JobOutcome::Failed { .. })), "{outcome:?}");
    assert_eq!(owner.lose_plan(60), Vec::new(), "a change that is written is not proposed again");
}

/// Guards against a worker that stays in quarantine after its time, or never enters it.
#[test]
fn a_worker_enters_and_leaves_quarantine_after_lost_plans() {
    let mut owner = Owner::new(&[worker(1, 8_000), worker(2, 1)]);
    for nth in 0..4 {
        owner.accept(job(&format!("j{nth}"), 1_000));
    }
    for start in owner.plan(0) {
        owner.fail(10, &start, FailureKind::TaskError);
    }
    owner.lose_plan(20);
    owner.plan(40);
    assert!(owner.cell.worker(1).unwrap().quarantined);
    let after_quarantine_ms = 30_000;
    owner.lose_plan(after_quarantine_ms);
    assert!(owner.cell.worker(1).unwrap().quarantined, "a lost plan changes nothing");
    owner.plan(after_quarantine_ms + 20);
    assert!(!owner.cell.worker(1).unwrap().quarantined);
    assert_eq!(owner.plan(after_quarantine_ms + 40).len(), 1, "one task as a probe");
}

/// Guards against a job that is too large for every worker, is not parked, and then does not start
/// on a new worker that can hold it.
#[test]
fn a_job_starts_on_a_new_worker_after_its_parking_was_lost() {
    let mut owner = Owner::new(&[worker(1, 4_000)]);
    owner.accept(job("wide", 16_000));
    let lost = owner.lose_plan(0);
    assert!(lost.iter().any(|delta| matches!(delta, CellDelta::Park { .. })), "{lost:?}");
    owner.apply(10, &CellDelta::AddWorker { worker: worker(2, 16_000) });
    assert_eq!(owner.plan(20), [("wide/0".to_owned(), 1, 2)]);
}

/// Guards against a job that stays parked although a worker can hold it.
#[test]
fn a_parked_job_resumes_after_a_plan_was_lost() {
    let mut owner = Owner::new(&[worker(1, 4_000)]);
    owner.accept(job("wide", 16_000));
    owner.lose_plan(0);
    owner.plan(5);
    assert!(owner.cell.job("wide").unwrap().parked.is_some());
    owner.apply(10, &CellDelta::AddWorker { worker: worker(2, 16_000) });
    owner.lose_plan(20);
    let mut started = owner.plan(40);
    started.extend(owner.plan(60));
    assert_eq!(started, [("wide/0".to_owned(), 1, 2)]);
}
