//! Jobs that fit on no worker for now, in front of jobs that fit.
#![allow(clippy::unwrap_used, reason = "a test ends on a broken assumption")]

use agatesill_policy::prelude::*;

/// Time between two plans.
const PLAN_INTERVAL_MS: u64 = 1_000;

fn worker(id: WorkerId) -> WorkerSpec {
    let capacity = Resources { cpu_milli: 4_000, memory_mb: 16_000, accelerators: 0 };
    WorkerSpec { id, capacity, rack: format!("r{id}"), zone: "z".to_owned() }
}

fn job(id: &str, team: &str, cpu_milli: u64) -> JobSpec {
    JobSpec {
        id: id.to_owned(),
        team: team.to_owned(),
        profile: "bulk".to_owned(),
        class: "c".to_owned(),
        tasks: 1,
        need: Resources { cpu_milli, memory_mb: 1_000, accelerators: 0 },
        run_ms: 60_000,
        deadline_ms: 0,
        urgent: false,
        after: Vec::new(),
    }
}

fn config() -> BatchConfig {
    let mut doc = ConfigDoc::default();
    let profile = |class| Profile {
        class,
        answer_ms: 250,
        priority: 5,
        queue_requests: 0,
        evictions_per_hour: 4,
        throttle_percent: 25,
    };
    doc.profiles.insert("bulk".to_owned(), profile(ProfileClass::Batch));
    doc.profiles.insert("desk".to_owned(), profile(ProfileClass::LatencyCritical));
    BatchConfig::new(&doc, 256)
}

/// A cell in which a service uses a quarter of each worker, so that a job that needs a whole worker
/// has to wait.
struct SharedCell {
    cell: Cell,
    policy: BatchPolicy,
    config: BatchConfig,
}

impl SharedCell {
    fn new(workers: WorkerId) -> Self {
        let specs: Vec<WorkerSpec> = (0..workers).map(worker).collect();
        let cell = Cell::new(&specs);
        let mut policy = BatchPolicy::default();
        policy.rebuild(0, &cell);
        let mut shared = Self { cell, policy, config: config() };
        let profile = "desk".to_owned();
        for worker in 0..workers {
            shared.accept(JobSpec {
                profile: profile.clone(),
                ..job(&format!("d{worker}"), "desk", 1_000)
            });
            let place = CellDelta::Place {
                task: format!("d{worker}/0"),
                attempt: 1,
                worker,
                reserve: job("", "", 1_000).need,
            };
            shared.policy.apply(0, &mut shared.cell, &place);
        }
        shared
    }

    fn accept(&mut self, job: JobSpec) {
        self.policy.apply(0, &mut self.cell, &CellDelta::Accept { job, at_ms: 0 });
    }

    /// Plans until a job is placed; `None` if it is not within `timeout_ms`.
    fn placed_after_ms(&mut self, id: &str, timeout_ms: u64) -> Option<u64> {
        for now_ms in (0..timeout_ms).step_by(PLAN_INTERVAL_MS as usize) {
            let deltas = self.policy.plan(now_ms, &self.cell, &self.config).deltas;
            for delta in &deltas {
                self.policy.apply(now_ms, &mut self.cell, delta);
            }
            if self.cell.job(id).unwrap().live_tasks > 0 {
                return Some(now_ms);
            }
        }
        None
    }
}

/// Guards against a team's jobs that wait for ever behind a few that need more than is free.
#[test]
fn jobs_that_fit_nowhere_do_not_hold_back_their_team() {
    let mut shared = SharedCell::new(4);
    for nth in 0..12 {
        shared.accept(job(&format!("large-{nth:02}"), "t", 4_000));
    }
    shared.accept(job("small", "t", 500));
    let placed = shared.placed_after_ms("small", 3_600_000);
    assert!(placed.is_some_and(|after_ms| after_ms <= 60_000), "placed after {placed:?} ms");
}

/// Guards against batch work that waits for ever behind urgent jobs that need more than is free.
#[test]
fn urgent_jobs_that_fit_nowhere_do_not_hold_back_other_jobs() {
    let mut shared = SharedCell::new(4);
    for nth in 0..128 {
        shared.accept(JobSpec { urgent: true, ..job(&format!("large-{nth:03}"), "t", 4_000) });
    }
    shared.accept(job("small", "t", 500));
    let placed = shared.placed_after_ms("small", 3_600_000);
    assert!(placed.is_some_and(|after_ms| after_ms <= 60_000), "placed after {placed:?} ms");
}

/// Guards against teams that wait for ever behind the jobs of others that need more than is free.
#[test]
fn jobs_that_fit_nowhere_do_not_hold_back_other_teams() {
    let mut shared = SharedCell::new(4);
    for team in 0..64 {
        for nth in 0..3 {
            shared.accept(job(&format!("large-{team:02}-{nth}"), &format!("a{team:02}"), 4_000));
        }
    }
    shared.accept(job("small", "z", 500));
    let placed = shared.placed_after_ms("small", 3_600_000);
    assert!(placed.is_some_and(|after_ms| after_ms <= 60_000), "placed after {placed:?} ms");
}

/// Guards against batch work that waits for ten minutes behind a job with a close deadline that needs
/// more than is free.
#[test]
fn a_due_job_that_fits_nowhere_does_not_hold_back_other_jobs() {
    let mut shared = SharedCell::new(4);
    shared.accept(JobSpec { deadline_ms: 590_000, ..job("large", "t", 4_000) });
    shared.accept(job("small", "t", 500));
    let placed = shared.placed_after_ms("small", 3_600_000);
    assert!(placed.is_some_and(|after_ms| after_ms <= 60_000), "placed after {placed:?} ms");
}
