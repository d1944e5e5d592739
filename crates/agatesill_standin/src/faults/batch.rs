//! The batch scenario: jobs submitted, cancelled and evicted while faults come, judged by books.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::{Duration, Instant};

use agatesill_policy::prelude::*;
use agatesill_wire::api::{ConfigChange, JobStatus, VersionedConfig};
use agatesill_wire::http::JsonClient;
use agatesill_wire::prelude::*;
use agatesilld::prelude::Settings;
use hyper::Method;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{FaultKind, RunReport, Schedule, ScheduleLimits, Simulation, SimulationOptions, play};

/// Daemons of a run.
const DAEMONS: usize = 3;

/// Workers of the two cells.
const WORKER_IDS: [WorkerId; 6] = [1, 2, 3, 101, 102, 103];

/// Stretches of pressure in a run.
const PRESSURES: usize = 6;

/// Processors that a service under pressure uses.
const PRESSED_CPU_MILLI: u64 = 1_500;

/// Its answer time against its promise.
const PRESSED_PERCENT: u32 = 220;

/// Parts the draws of the pressure from those of the schedule.
const PRESSURE_SALT: u64 = 0x9e55;

/// Jobs of a run.
const JOBS: usize = 10;

/// Time over which the jobs are submitted.
const SUBMIT_OVER_MS: u64 = 2_500;

/// Longest time from the last fault until every job is over; far beyond what a good run takes,
/// so that a slow machine is not taken for a lost job.
const SETTLE_LIMIT: Duration = Duration::from_secs(60);

/// Longest wait for one answer of a daemon.
const CALL_LIMIT: Duration = Duration::from_secs(3);

/// Parts the draws of the load from those of the schedule.
const LOAD_SALT: u64 = 0xba7c;

/// Pause between two tries of a call.
const TRY_PAUSE: Duration = Duration::from_millis(50);

/// A start that was on its way when a cancellation was answered arrives within this time.
const START_IN_FLIGHT_MS: u64 = 1_000;

/// The schedules of this scenario: leases of under a second, faults of up to 2.4 s.
pub fn limits() -> ScheduleLimits {
    ScheduleLimits { kinds: FaultKind::ALL.to_vec(), rounds: 2, round_ms: 1_800, longest_ms: 2_400 }
}

/// Runs the scenario with the daemon program at `binary`.
pub async fn run(binary: &Path, schedule: Schedule) -> RunReport {
    let options =
        SimulationOptions { binary: binary.to_owned(), base: settings(), daemons: DAEMONS };
    let world = match Simulation::start(&options).await {
        Ok(world) => world,
        Err(error) => {
            let violations = vec![format!("the world did not start: {error}")];
            return RunReport { violations, ..RunReport::default() };
        }
    };
    world.trace.note(&schedule);
    let load = Load::new(&world, schedule.seed);
    let outcome = match load.configure().await {
        Ok(()) => {
            let (submitted, (), ()) =
                tokio::join!(load.submit_all(), load.press(), play(&schedule, &world));
            load.settle(submitted).await
        }
        Err(error) => {
            Outcome { unanswered: vec![format!("configuration: {error}")], ..Outcome::default() }
        }
    };
    judge(&world, &outcome)
}

/// Settings of two small cells with leases of under a second.
pub fn settings() -> Settings {
    let worker = |id: u32| WorkerSpec {
        id,
        capacity: Resources { cpu_milli: 4_000, memory_mb: 8_000, accelerators: u64::from(id % 2) },
        rack: format!("rack-{}", id % 2),
        zone: "east-a".to_owned(),
    };
    let cell = |ids: &[WorkerId]| {
        let workers: Vec<WorkerSpec> = ids.iter().copied().map(worker).collect();
        serde_json::json!({
            "addr": "127.0.0.1:1", "attempt_lease_ms": 900, "poll_ms": 100,
            "outage_renew_ms": 2_000, "workers": workers,
        })
    };
    let text = serde_json::json!({
        "instance": "entry", "zone": "east-a",
        "entry": { "addr": "127.0.0.1:1", "relay_threads": 1, "drain_ms": 500 },
        "admin": { "addr": "127.0.0.1:1" },
        "peers": { "addr": "127.0.0.1:1", "heartbeat_ms": 50, "suspect_ms": 400 },
        "store": { "addr": "127.0.0.1:1", "lease_ms": 800, "renew_ms": 150, "commit_ms": 20 },
        "cells": { "north": cell(&WORKER_IDS[..3]), "south": cell(&WORKER_IDS[3..]) },
        "log": { "level": "info", "path": "" },
    });
    serde_json::from_value(text).unwrap_or_else(|_| unreachable!("the settings are constants"))
}

/// A job with what the submitter did to it.
#[derive(Clone, Debug)]
struct Submitted {
    spec: JobSpec,
    cancelled_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct Outcome {
    jobs: Vec<Submitted>,
    ended: BTreeMap<String, JobStatus>,
    unanswered: Vec<String>,
    settled_ms: u64,
}

struct Load<'a> {
    world: &'a Simulation,
    client: JsonClient,
    seed: u64,
    started: Instant,
}

impl<'a> Load<'a> {
    fn new(world: &'a Simulation, seed: u64) -> Self {
        Self { world, client: JsonClient::default(), seed, started: Instant::now() }
    }

    async fn configure(&self) -> Result<(), Error> {
        let change = config_change(self.seed);
        let made: VersionedConfig = self.persist(Method::POST, "/v1/config", &change).await?;
        for daemon in &self.world.daemons {
            let seen = async {
                loop {
                    let seen: Result<VersionedConfig, Error> = self
                        .client
                        .call(Method::GET, daemon.admin_addr, "/v1/config", &(), CALL_LIMIT)
                        .await;
                    if seen.is_ok_and(|seen| seen.version >= made.version) {
                        return;
                    }
                    tokio::time::sleep(TRY_PAUSE).await;
                }
            };
            let late = |_| Error::new(ErrorKind::Unreachable, daemon.name.clone());
            tokio::time::timeout(SETTLE_LIMIT, seen).await.map_err(late)?;
        }
        Ok(())
    }

    async fn submit_all(&self) -> Vec<Submitted> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ LOAD_SALT);
        let jobs: Vec<(u64, JobSpec, Option<u64>)> = (0..JOBS)
            .map(|nth| {
                let at_ms = rng.random_range(0..SUBMIT_OVER_MS);
                let cancel_after = rng.random_bool(0.2).then(|| rng.random_range(0..900));
                (at_ms, job(&mut rng, nth), cancel_after)
            })
            .collect();
        let submits = jobs.into_iter().map(|(at_ms, spec, cancel_after_ms)| async move {
            tokio::time::sleep(Duration::from_millis(at_ms)).await;
            self.submit(spec, cancel_after_ms).await
        });
        futures::future::join_all(submits).await.into_iter().flatten().collect()
    }

    /// Puts the services of some workers under pressure for a while, so that tasks beside them are
    /// throttled and evicted.
    async fn press(&self) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ PRESSURE_SALT);
        for _ in 0..PRESSURES {
            let worker = *WORKER_IDS.choose(&mut rng).unwrap_or(&WORKER_IDS[0]);
            self.set_pressure(worker, PRESSED_CPU_MILLI, PRESSED_PERCENT);
            tokio::time::sleep(Duration::from_millis(rng.random_range(400..1_200))).await;
            self.set_pressure(worker, 0, 0);
        }
    }

    fn set_pressure(&self, worker: WorkerId, service_cpu_milli: u64, pressure_percent: u32) {
        let mut faults = self.world.workers.faults(worker);
        faults.service_cpu_milli = service_cpu_milli;
        faults.pressure_percent = pressure_percent;
        self.world.workers.set_faults(worker, faults);
    }

    async fn submit(&self, spec: JobSpec, cancel_after_ms: Option<u64>) -> Option<Submitted> {
        let accepted: Result<JobStatus, Error> =
            self.persist(Method::POST, "/v1/jobs", &spec).await;
        if let Err(error) = accepted {
            self.world.trace.note(format_args!("{} was never accepted: {error}", spec.id));
            return None;
        }
        self.world.trace.note(format_args!("{} accepted", spec.id));
        let mut cancelled_ms = None;
        if let Some(after_ms) = cancel_after_ms {
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
            let path = format!("/v1/jobs/{}", spec.id);
            let done: Result<JobStatus, Error> = self.persist(Method::DELETE, &path, &()).await;
            if done.is_ok() {
                cancelled_ms = Some(self.world.workers.age_ms());
                self.world.trace.note(format_args!("{} cancelled", spec.id));
            }
        }
        Some(Submitted { spec, cancelled_ms })
    }

    /// Tries a call at one daemon after another until one answers for good.
    async fn persist<B, R>(&self, method: Method, path: &str, body: &B) -> Result<R, Error>
    where
        B: serde::Serialize,
        R: serde::de::DeserializeOwned,
    {
        let mut last = Error::new(ErrorKind::Unreachable, "no daemon");
        let started = Instant::now();
        for nth in self.seed as usize.. {
            let daemon = &self.world.daemons[nth % self.world.daemons.len()];
            let answer =
                self.client.call(method.clone(), daemon.admin_addr, path, body, CALL_LIMIT).await;
            match answer {
                Ok(answer) => return Ok(answer),
                Err(error) => last = error,
            }
            if started.elapsed() > SETTLE_LIMIT {
                break;
            }
            tokio::time::sleep(TRY_PAUSE).await;
        }
        Err(last)
    }

    /// Waits until every accepted job is over, as the daemons tell it.
    async fn settle(&self, jobs: Vec<Submitted>) -> Outcome {
        let started = Instant::now();
        let mut outcome = Outcome { jobs, ..Outcome::default() };
        for job in outcome.jobs.clone() {
            match self.await_end(&job.spec.id, started).await {
                Ok(status) => {
                    outcome.ended.insert(job.spec.id, status);
                }
                Err(last) => {
                    outcome.unanswered.push(format!("{} never ended: {last}", job.spec.id))
                }
            }
        }
        outcome.settled_ms = self.started.elapsed().as_millis() as u64;
        outcome
    }

    async fn await_end(&self, id: &str, started: Instant) -> Result<JobStatus, String> {
        let path = format!("/v1/jobs/{id}");
        for nth in 0.. {
            let daemon = &self.world.daemons[nth % self.world.daemons.len()];
            let asked: Result<JobStatus, Error> =
                self.client.call(Method::GET, daemon.admin_addr, &path, &(), CALL_LIMIT).await;
            let last = match asked {
                Ok(status) if status.is_finished() => return Ok(status),
                Ok(status) => format!("{:?}", status.tasks),
                Err(error) => error.to_string(),
            };
            if started.elapsed() > SETTLE_LIMIT && nth >= self.world.daemons.len() {
                return Err(last);
            }
            tokio::time::sleep(TRY_PAUSE).await;
        }
        Err(String::new())
    }
}

/// The change that defines the profile and the team of the jobs.
pub fn config_change(seed: u64) -> ConfigChange {
    let change = serde_json::json!({
        "operation_id": format!("faults-{seed}"),
        "author": "faults",
        "profiles": { "night": { "class": "batch", "evictions_per_hour": 100 } },
        "teams": { "ledger": { "weight": 1 } },
    });
    serde_json::from_value(change).unwrap_or_else(|_| unreachable!("the change is a constant"))
}

fn job(rng: &mut Pcg64Mcg, nth: usize) -> JobSpec {
    let class = ["bill-run", "review", "watch"].choose(rng).copied().unwrap_or("bill-run");
    let spec = serde_json::json!({
        "id": format!("job-{nth}"),
        "team": "ledger",
        "profile": "night",
        "class": class,
        "tasks": rng.random_range(1..=4),
        "need": {
            "cpu_milli": rng.random_range(1..=4) * 500,
            "memory_mb": rng.random_range(1..=3) * 1_000,
            "accelerators": u64::from(rng.random_bool(0.1)),
        },
        "run_ms": rng.random_range(200..2_500),
        "urgent": rng.random_bool(0.1),
    });
    serde_json::from_value(spec).unwrap_or_else(|_| unreachable!("the job is well formed"))
}

fn judge(world: &Simulation, outcome: &Outcome) -> RunReport {
    let books = world.workers.audit();
    let mut violations = world.panics();
    violations.extend(outcome.unanswered.iter().cloned());
    if books.double_runs > 0 {
        violations.push(format!("a task ran in two places {} times", books.double_runs));
    }
    if books.overcommitted > 0 {
        violations.push(format!("workers beyond their capacity {} times", books.overcommitted));
    }
    if books.starts_after_success > 0 {
        let times = books.starts_after_success;
        violations.push(format!("a task started after its success was recorded, {times} times"));
    }
    let cancelled = |task: &str| {
        let job = outcome.jobs.iter().find(|job| task.starts_with(&format!("{}/", job.spec.id)));
        job.is_some_and(|job| job.cancelled_ms.is_some())
    };
    violations.extend(books.wrong_resumes(cancelled));
    let known = |task: &str| outcome.jobs.iter().any(|job| task.starts_with(&job.spec.id));
    for (task, times) in &books.finished {
        if *times > 1 {
            world.trace.note(format_args!("{task} finished {times} times"));
        }
        if !known(task) {
            violations.push(format!("{task} ran though it was never accepted"));
        }
    }
    for job in &outcome.jobs {
        judge_job(job, outcome.ended.get(&job.spec.id), &books, &mut violations);
    }
    let mut trace = world.trace.lines();
    if !violations.is_empty() {
        trace.extend(story(world, &violations));
    }
    RunReport { violations, trace, figures: figures(&books, outcome) }
}

fn judge_job(
    job: &Submitted,
    ended: Option<&JobStatus>,
    books: &crate::workers::WorkerAudit,
    violations: &mut Vec<String>,
) {
    let Some(status) = ended else { return };
    for (index, task) in status.tasks.iter().enumerate() {
        let id = format!("{}/{index}", job.spec.id);
        let ran = books.finished.contains_key(&id);
        if (task.state == "done") != ran && !(job.cancelled_ms.is_some() && ran) {
            violations.push(format!("{id} is {} but finished is {ran}", task.state));
        }
        let Some(cancelled_ms) = job.cancelled_ms else { continue };
        let starts = books.attempts.get(&id).into_iter().flatten();
        let late = starts.filter(|one| one.started_ms > cancelled_ms + START_IN_FLIGHT_MS).count();
        if late > 0 {
            violations.push(format!("{id} started after its job was cancelled"));
        }
    }
}

/// Lines of the daemons' logs about the tasks that the violations name.
fn story(world: &Simulation, violations: &[String]) -> Vec<String> {
    let words: Vec<String> = violations
        .iter()
        .filter_map(|violation| violation.split_whitespace().next())
        .filter(|word| word.starts_with("job-"))
        .map(|word| format!("\"{}\"", word.trim_end_matches(':')))
        .chain([String::from("cell_taken"), String::from("cell_lost")])
        .collect();
    world.daemons.iter().flat_map(|daemon| daemon.log_lines(&words)).collect()
}

fn figures(books: &crate::workers::WorkerAudit, outcome: &Outcome) -> Vec<(&'static str, f64)> {
    vec![
        ("jobs_accepted", outcome.jobs.len() as f64),
        ("jobs_ended", outcome.ended.len() as f64),
        ("starts", books.starts as f64),
        ("stopped", books.stopped as f64),
        ("resumed", books.resumed as f64),
        ("lapsed", books.lapsed as f64),
        ("fenced_calls", books.fenced_calls as f64),
        ("refused_starts", books.refused_starts as f64),
        ("finished_twice", books.finished.values().filter(|times| **times > 1).count() as f64),
        ("lost_checkpoints", books.lost_checkpoints() as f64),
        ("settled_ms", outcome.settled_ms as f64),
    ]
}
