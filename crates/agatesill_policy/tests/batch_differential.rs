//! Compares the ledger with a reference model that uses plain lists and recomputes all state after
//! each change.
#![allow(clippy::expect_used, clippy::unwrap_used, reason = "a test ends on a broken assumption")]

use std::collections::BTreeMap;

use agatesill_policy::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const WORKERS: u32 = 6;
const OPERATIONS: usize = 10_000;
const SEEDS: u64 = 50;

/// Number of the newest jobs that random deltas refer to.
const JOB_WINDOW: usize = 12;

/// A task of the reference model.
#[derive(Clone, Debug, Default, PartialEq)]
struct ModelTask {
    job: String,
    index: usize,
    attempt: Attempt,
    worker: Option<WorkerId>,
    reserve: Resources,
    evicting: bool,
    saved_ms: u64,
    /// Final state, or `""` while the task is open.
    end: &'static str,
    settled: &'static str,
}

/// The reference model: a list of tasks and a list of jobs, without indices.
#[derive(Clone, Debug, Default)]
struct Model {
    tasks: Vec<ModelTask>,
    jobs: Vec<(String, Vec<String>, &'static str, bool)>,
    held: Vec<WorkerId>,
}

impl Model {
    fn used(&self, worker: WorkerId) -> Resources {
        let here = self.tasks.iter().filter(|task| task.worker == Some(worker));
        here.fold(Resources::default(), |sum, task| sum.plus(&task.reserve))
    }

    fn job(&self, id: &str) -> Option<usize> {
        self.jobs.iter().position(|job| job.0 == id)
    }

    fn runnable(&self, id: &str) -> bool {
        let Some(job) = self.job(id) else { return false };
        let (_, after, end, parked) = &self.jobs[job];
        let done = |dependency: &String| {
            self.job(dependency).is_some_and(|job| self.jobs[job].2 == "done")
        };
        end.is_empty() && !parked && after.iter().all(done)
    }

    fn task(&mut self, id: &str) -> Option<&mut ModelTask> {
        let (job, index) = id.rsplit_once('/').unwrap();
        let index: usize = index.parse().unwrap();
        self.tasks.iter_mut().find(|task| task.job == job && task.index == index)
    }

    fn apply(&mut self, delta: &CellDelta, capacity: &Resources) {
        match delta {
            CellDelta::Accept { job, .. } => self.accept(job),
            CellDelta::Place { task, attempt, worker, reserve } => {
                let fits = capacity.minus(&self.used(*worker)).holds(reserve);
                let open = fits && !self.held.contains(worker) && *worker < WORKERS;
                let id = task.rsplit_once('/').unwrap().0.to_owned();
                let runnable = self.runnable(&id);
                let Some(task) = self.task(task) else { return };
                let next = task.attempt + 1 == *attempt && task.worker.is_none();
                if open && runnable && next && task.end.is_empty() {
                    task.attempt = *attempt;
                    task.worker = Some(*worker);
                    task.reserve = *reserve;
                }
            }
            CellDelta::Evict { task, attempt, .. } => {
                let Some(task) = self.task(task) else { return };
                task.evicting |= task.worker.is_some() && task.attempt == *attempt;
            }
            CellDelta::End { task, attempt, outcome } => self.end(task, *attempt, outcome),
            CellDelta::Cancel { job } => self.give_up(job, "cancelled"),
            CellDelta::Fail { job, .. } => self.give_up(job, "failed"),
            CellDelta::Park { job, .. } | CellDelta::Unpark { job } => {
                if let Some(job) = self.job(job) {
                    self.jobs[job].3 = matches!(delta, CellDelta::Park { .. });
                }
            }
            CellDelta::Quarantine { worker } => self.held.push(*worker),
            CellDelta::Release { worker } => self.held.retain(|held| held != worker),
            _ => unreachable!("not generated"),
        }
        if !matches!(delta, CellDelta::Place { .. } | CellDelta::Evict { .. }) {
            self.close();
        }
    }

    fn accept(&mut self, job: &JobSpec) {
        if self.job(&job.id).is_some() {
            return;
        }
        self.jobs.push((job.id.clone(), job.after.clone(), "", false));
        for index in 0..job.tasks as usize {
            self.tasks.push(ModelTask { job: job.id.clone(), index, ..ModelTask::default() });
        }
    }

    fn end(&mut self, id: &str, attempt: Attempt, outcome: &AttemptOutcome) {
        let Some(task) = self.task(id) else { return };
        let done = *outcome == AttemptOutcome::Done;
        let live = task.worker.is_some() && task.attempt == attempt;
        if !live {
            // An attempt that was declared lost may report its success late.
            if done && attempt <= task.attempt && attempt > 0 && task.end.is_empty() {
                match task.worker {
                    None => task.end = "done",
                    Some(_) => {
                        task.evicting = true;
                        task.settled = "done";
                    }
                }
            }
            return;
        }
        task.worker = None;
        task.evicting = false;
        if let AttemptOutcome::Stopped { checkpoint_ms } = outcome {
            task.saved_ms = task.saved_ms.max(*checkpoint_ms);
        }
        task.end = if done { "done" } else { task.settled };
    }

    fn give_up(&mut self, id: &str, end: &'static str) {
        let Some(job) = self.job(id) else { return };
        if !self.jobs[job].2.is_empty() {
            return;
        }
        self.jobs[job].2 = end;
        for task in self.tasks.iter_mut().filter(|task| task.job == id && task.end.is_empty()) {
            if task.worker.is_none() {
                task.end = end;
            } else {
                task.evicting = true;
                if task.settled.is_empty() {
                    task.settled = end;
                }
            }
        }
    }

    /// Closes completed jobs, and jobs whose dependencies cannot complete, until nothing changes.
    fn close(&mut self) {
        loop {
            let all_done = |id: &str| {
                self.tasks.iter().filter(|task| task.job == id).all(|task| !task.end.is_empty())
            };
            let open = |job: &&(String, Vec<String>, &'static str, bool)| job.2.is_empty();
            let done = self.jobs.iter().filter(open).find(|job| all_done(&job.0));
            if let Some(id) = done.map(|job| job.0.clone()) {
                let job = self.job(&id).unwrap();
                self.jobs[job].2 = "done";
                continue;
            }
            let broken = self.jobs.iter().filter(open).find(|job| {
                job.1.iter().any(|dependency| match self.job(dependency) {
                    Some(job) => matches!(self.jobs[job].2, "failed" | "cancelled"),
                    None => true,
                })
            });
            let Some(id) = broken.map(|job| job.0.clone()) else { return };
            self.give_up(&id, "failed");
        }
    }
}

fn compare(cell: &Cell, model: &Model, step: usize) {
    for worker in 0..WORKERS {
        assert_eq!(cell.worker(worker).unwrap().used, model.used(worker), "step {step}");
    }
    for (id, _, end, _) in &model.jobs {
        let job = cell.job(id).expect("accepted jobs stay");
        let outcome = match &job.outcome {
            None => "",
            Some(JobOutcome::Done) => "done",
            Some(JobOutcome::Failed { .. }) => "failed",
            Some(JobOutcome::Cancelled) => "cancelled",
        };
        assert_eq!(outcome, *end, "job {id} at step {step}");
    }
    for task in &model.tasks {
        let seen = &cell.job(&task.job).unwrap().tasks[task.index];
        let state = match (&seen.state, task.end) {
            (TaskState::Waiting { checkpoint_ms }, "") => {
                *checkpoint_ms == task.saved_ms && task.worker.is_none()
            }
            (TaskState::Placed { worker }, "") => task.worker == Some(*worker) && !task.evicting,
            (TaskState::Evicting { worker }, "") => task.worker == Some(*worker) && task.evicting,
            (TaskState::Done, "done") => true,
            (TaskState::Failed, "failed") => true,
            (TaskState::Cancelled, "cancelled") => true,
            _ => false,
        };
        assert!(state && seen.attempt == task.attempt, "{task:?} is {seen:?} at step {step}");
    }
}

fn random_job(rng: &mut Pcg64Mcg, nth: usize) -> JobSpec {
    let after = if nth > 0 && rng.random_bool(0.3) {
        vec![format!("j{}", rng.random_range(0..=nth))]
    } else {
        Vec::new()
    };
    JobSpec {
        id: format!("j{nth}"),
        team: format!("t{}", rng.random_range(0..3)),
        profile: "bulk".to_owned(),
        class: "c".to_owned(),
        tasks: rng.random_range(1..4),
        need: Resources { cpu_milli: 1_000, memory_mb: 500, accelerators: 0 },
        run_ms: 1_000,
        deadline_ms: 0,
        urgent: rng.random_bool(0.1),
        after: after.into_iter().filter(|dependency| *dependency != format!("j{nth}")).collect(),
    }
}

fn random_outcome(rng: &mut Pcg64Mcg) -> AttemptOutcome {
    match rng.random_range(0..5) {
        0 => AttemptOutcome::Done,
        1 => AttemptOutcome::Failed { kind: FailureKind::TaskError },
        2 => AttemptOutcome::LeaseEnded,
        _ => AttemptOutcome::Stopped { checkpoint_ms: rng.random_range(0..900) },
    }
}

/// A random delta that may not match the state, such as a replay or a late report.
fn random_delta(rng: &mut Pcg64Mcg, cell: &Cell, nth: &mut usize) -> CellDelta {
    let job = format!("j{}", rng.random_range(nth.saturating_sub(JOB_WINDOW)..=*nth));
    let index = rng.random_range(0..3);
    let task = format!("{job}/{index}");
    let newest = cell.locate(&task).map_or(0, |(job, index)| job.tasks[index].attempt);
    let attempt = (newest + rng.random_range(0..2)).saturating_sub(rng.random_range(0..2));
    let worker = rng.random_range(0..WORKERS);
    match rng.random_range(0..100) {
        0..12 => {
            let job = random_job(rng, *nth);
            *nth += 1;
            CellDelta::Accept { job, at_ms: 0 }
        }
        12..50 => {
            let reserve = Resources {
                cpu_milli: rng.random_range(1..=3) * 500,
                memory_mb: rng.random_range(1..=4) * 250,
                accelerators: u64::from(rng.random_bool(0.1)),
            };
            CellDelta::Place { task, attempt: newest + 1, worker, reserve }
        }
        50..60 => CellDelta::Evict { task, attempt, reason: EvictReason::Promise },
        60..90 => CellDelta::End { task, attempt, outcome: random_outcome(rng) },
        90..93 => CellDelta::Cancel { job },
        93..94 => CellDelta::Fail { job, reason: "tried".to_owned() },
        94..96 => CellDelta::Park { job, reason: "no capacity".to_owned() },
        96..98 => CellDelta::Unpark { job },
        98 => CellDelta::Quarantine { worker },
        _ => CellDelta::Release { worker },
    }
}

/// Deltas arrive out of order, repeatedly and late, as after lost responses and takeovers. The
/// ledger must agree with the reference model, and the policy must only propose deltas that the
/// ledger accepts.
#[test]
fn ledger_matches_the_reference_model() {
    let capacity = Resources { cpu_milli: 4_000, memory_mb: 3_000, accelerators: 1 };
    let specs: Vec<WorkerSpec> = (0..WORKERS)
        .map(|id| WorkerSpec { id, capacity, rack: format!("r{}", id / 2), zone: "z".to_owned() })
        .collect();
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut cell = Cell::new(&specs);
        let mut policy = BatchPolicy::default();
        policy.rebuild(0, &cell);
        let config = BatchConfig::new(&ConfigDoc::default(), 4);
        let mut model = Model::default();
        let mut nth = 0;
        for step in 0..OPERATIONS {
            let now_ms = step as u64 * 20;
            // Checks the queue by its proposals: each placement must be possible in the model.
            if step % 50 == 0 {
                for delta in policy.plan(now_ms, &cell, &config).deltas {
                    let placed = matches!(delta, CellDelta::Place { .. });
                    let effects = policy.apply(now_ms, &mut cell, &delta);
                    model.apply(&delta, &capacity);
                    assert!(!placed || !effects.is_empty(), "{delta:?} was refused");
                }
            }
            let delta = random_delta(&mut rng, &cell, &mut nth);
            policy.apply(now_ms, &mut cell, &delta);
            model.apply(&delta, &capacity);
            if step % 20 == 0 || step + 1 == OPERATIONS {
                compare(&cell, &model, step);
            }
            if step % 100 == 99 {
                fail_old_jobs(&mut policy, &mut cell, &mut model, now_ms, nth, &capacity);
                forget(&mut policy, &mut cell, &mut model, now_ms);
            }
        }
    }
}

/// Fails jobs that no random delta refers to any more, so that the lists stay short.
fn fail_old_jobs(
    policy: &mut BatchPolicy,
    cell: &mut Cell,
    model: &mut Model,
    now_ms: u64,
    nth: usize,
    capacity: &Resources,
) {
    let newest: Vec<String> =
        (nth.saturating_sub(JOB_WINDOW)..=nth).map(|n| format!("j{n}")).collect();
    let jobs = cell.jobs().filter(|job| !newest.contains(&job.spec.id));
    let mut deltas = Vec::new();
    for job in jobs {
        let reason = "retired".to_owned();
        deltas.push(CellDelta::Fail { job: job.spec.id.clone(), reason });
        for (index, task) in job.tasks.iter().enumerate() {
            let outcome = AttemptOutcome::Stopped { checkpoint_ms: 0 };
            let (task, attempt) = (job.task_id(index), task.attempt);
            deltas.push(CellDelta::End { task, attempt, outcome });
        }
    }
    for delta in deltas {
        policy.apply(now_ms, cell, &delta);
        model.apply(&delta, capacity);
    }
}

/// Removes closed jobs without live attempts from the ledger and the model, as a cell's owner does.
fn forget(policy: &mut BatchPolicy, cell: &mut Cell, model: &mut Model, now_ms: u64) {
    let closed: Vec<String> = cell
        .jobs()
        .filter(|job| job.outcome.is_some() && job.live_tasks == 0)
        .map(|job| job.spec.id.clone())
        .collect();
    for job in closed {
        policy.apply(now_ms, cell, &CellDelta::Forget { job: job.clone() });
        // The outcome of its dependents was decided when it closed and stays.
        let done = model.jobs.iter().any(|known| known.0 == job && known.2 == "done");
        for open in &mut model.jobs {
            open.1.retain(|dependency| *dependency != job || !done);
        }
        model.tasks.retain(|task| task.job != job);
        model.jobs.retain(|known| known.0 != job);
    }
}

/// A snapshot must restore the same ledger, including derived state.
#[test]
fn a_snapshot_reads_back_as_the_same_ledger() {
    let capacity = Resources { cpu_milli: 4_000, memory_mb: 3_000, accelerators: 1 };
    let spec = |id| WorkerSpec { id, capacity, rack: "r".to_owned(), zone: "z".to_owned() };
    let mut cell = Cell::new(&(0..WORKERS).map(spec).collect::<Vec<_>>());
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let mut nth = 0;
    for _ in 0..2_000 {
        let delta = random_delta(&mut rng, &cell, &mut nth);
        cell.apply(&delta);
    }
    let text = serde_json::to_string(&cell).unwrap();
    let read: Cell = serde_json::from_str(&text).unwrap();
    let usage = |cell: &Cell| -> BTreeMap<WorkerId, (Resources, usize)> {
        cell.workers().map(|w| (w.spec.id, (w.used, w.live.len()))).collect()
    };
    assert_eq!(usage(&cell), usage(&read));
    assert!(cell.jobs().zip(read.jobs()).all(|(a, b)| a == b));
}
