//! Batch scenario: jobs are submitted, cancelled and evicted while faults are injected. The run is
//! verified by the audit log of the workers.

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

use super::{
    FaultKind, RunReport, Schedule, ScheduleLimits, Simulation, SimulationOptions, run_schedule,
};

/// Number of daemons.
const DAEMONS: usize = 3;

/// Workers of the two cells.
const WORKER_IDS: [WorkerId; 6] = [1, 2, 3, 101, 102, 103];

/// Number of periods in which one worker's service is under pressure.
const PRESSURE_PERIODS: usize = 6;

/// CPU usage of a service under pressure.
const PRESSURE_CPU_MILLI: u64 = 1_500;

/// Response time of a service under pressure, in percent of its latency objective.
const PRESSURE_PERCENT: u32 = 220;

/// Separates the random numbers of the pressure from those of the schedule.
const PRESSURE_SALT: u64 = 0x9e55;

/// Number of jobs.
const JOBS: usize = 10;

/// Period over which the jobs are submitted.
const SUBMIT_PERIOD_MS: u64 = 2_500;

/// Timeout for all jobs to end after the last fault. It is far longer than a successful run needs,
/// so that a slow machine is not mistaken for a lost job.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Timeout of one call to a daemon.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Separates the random numbers of the load from those of the schedule.
const LOAD_SALT: u64 = 0xba7c;

/// Delay between retries of a call.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// A start that is in flight when a cancellation is answered arrives within this time.
const MAX_START_DELAY_MS: u64 = 1_000;

/// Returns the schedule limits. Faults last up to 2.4 s, and leases less than a second.
pub fn limits() -> ScheduleLimits {
    ScheduleLimits {
        kinds: FaultKind::BATCH.to_vec(),
        rounds: 2,
        round_ms: 1_800,
        longest_ms: 2_400,
    }
}

/// Returns the schedule limits of runs with late calls to workers and with workers that restart.
pub fn late_call_limits() -> ScheduleLimits {
    ScheduleLimits { kinds: FaultKind::LATE_CALLS.to_vec(), rounds: 4, ..limits() }
}

/// Runs the scenario with the daemon executable `binary`.
pub async fn run(binary: &Path, schedule: Schedule) -> RunReport {
    let options =
        SimulationOptions { binary: binary.to_owned(), base: settings(), daemons: DAEMONS };
    let simulation = match Simulation::start(&options).await {
        Ok(simulation) => simulation,
        Err(error) => {
            let violations = vec![format!("simulation failed to start: {error}")];
            return RunReport { violations, ..RunReport::default() };
        }
    };
    simulation.trace.note(&schedule);
    let load = Load::new(&simulation, schedule.seed);
    let outcome = match load.configure().await {
        Ok(()) => {
            let (submitted, (), ()) = tokio::join!(
                load.submit_all(),
                load.apply_pressure(),
                run_schedule(&schedule, &simulation)
            );
            load.await_all_jobs(submitted).await
        }
        Err(error) => {
            Outcome { failures: vec![format!("configuration: {error}")], ..Outcome::default() }
        }
    };
    verify(&simulation, &outcome)
}

/// Returns the settings of two small cells with leases of less than a second.
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

/// An accepted job and the time of its cancellation, if it was cancelled.
#[derive(Clone, Debug)]
struct Submitted {
    spec: JobSpec,
    cancelled_ms: Option<u64>,
}

#[derive(Debug, Default)]
struct Outcome {
    jobs: Vec<Submitted>,
    ended: BTreeMap<String, JobStatus>,
    failures: Vec<String>,
    settled_ms: u64,
}

struct Load<'a> {
    simulation: &'a Simulation,
    client: JsonClient,
    seed: u64,
    started: Instant,
}

impl<'a> Load<'a> {
    fn new(simulation: &'a Simulation, seed: u64) -> Self {
        Self { simulation, client: JsonClient::default(), seed, started: Instant::now() }
    }

    async fn configure(&self) -> Result<(), Error> {
        let change = config_change(self.seed);
        let committed: VersionedConfig =
            self.call_with_retries(Method::POST, "/v1/config", &change).await?;
        for daemon in &self.simulation.daemons {
            let seen = async {
                loop {
                    let seen: Result<VersionedConfig, Error> = self
                        .client
                        .call(Method::GET, daemon.admin_addr, "/v1/config", &(), CALL_TIMEOUT)
                        .await;
                    if seen.is_ok_and(|seen| seen.version >= committed.version) {
                        return;
                    }
                    tokio::time::sleep(RETRY_INTERVAL).await;
                }
            };
            let late = |_| Error::new(ErrorKind::Unreachable, daemon.name.clone());
            tokio::time::timeout(SETTLE_TIMEOUT, seen).await.map_err(late)?;
        }
        Ok(())
    }

    async fn submit_all(&self) -> Vec<Submitted> {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ LOAD_SALT);
        let jobs: Vec<(u64, JobSpec, Option<u64>)> = (0..JOBS)
            .map(|nth| {
                let at_ms = rng.random_range(0..SUBMIT_PERIOD_MS);
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

    /// Puts the services of random workers under pressure for a limited time, so that tasks next to
    /// them are throttled and evicted.
    async fn apply_pressure(&self) {
        let mut rng = Pcg64Mcg::seed_from_u64(self.seed ^ PRESSURE_SALT);
        for _ in 0..PRESSURE_PERIODS {
            let worker = *WORKER_IDS.choose(&mut rng).unwrap_or(&WORKER_IDS[0]);
            self.set_pressure(worker, PRESSURE_CPU_MILLI, PRESSURE_PERCENT);
            tokio::time::sleep(Duration::from_millis(rng.random_range(400..1_200))).await;
            self.set_pressure(worker, 0, 0);
        }
    }

    fn set_pressure(&self, worker: WorkerId, service_cpu_milli: u64, pressure_percent: u32) {
        let mut faults = self.simulation.workers.faults(worker);
        faults.service_cpu_milli = service_cpu_milli;
        faults.pressure_percent = pressure_percent;
        self.simulation.workers.set_faults(worker, faults);
    }

    async fn submit(&self, spec: JobSpec, cancel_after_ms: Option<u64>) -> Option<Submitted> {
        let accepted: Result<JobStatus, Error> =
            self.call_with_retries(Method::POST, "/v1/jobs", &spec).await;
        if let Err(error) = accepted {
            self.simulation.trace.note(format_args!("{} was never accepted: {error}", spec.id));
            return None;
        }
        self.simulation.trace.note(format_args!("{} accepted", spec.id));
        let mut cancelled_ms = None;
        if let Some(after_ms) = cancel_after_ms {
            tokio::time::sleep(Duration::from_millis(after_ms)).await;
            let path = format!("/v1/jobs/{}", spec.id);
            let done: Result<JobStatus, Error> =
                self.call_with_retries(Method::DELETE, &path, &()).await;
            if done.is_ok() {
                cancelled_ms = Some(self.simulation.workers.uptime_ms());
                self.simulation.trace.note(format_args!("{} cancelled", spec.id));
            }
        }
        Some(Submitted { spec, cancelled_ms })
    }

    /// Retries a call on one daemon after another until it succeeds or times out.
    async fn call_with_retries<B, R>(
        &self,
        method: Method,
        path: &str,
        body: &B,
    ) -> Result<R, Error>
    where
        B: serde::Serialize,
        R: serde::de::DeserializeOwned,
    {
        let mut last_error = Error::new(ErrorKind::Unreachable, "no daemon");
        let started = Instant::now();
        for nth in self.seed as usize.. {
            let daemon = &self.simulation.daemons[nth % self.simulation.daemons.len()];
            let response =
                self.client.call(method.clone(), daemon.admin_addr, path, body, CALL_TIMEOUT).await;
            match response {
                Ok(response) => return Ok(response),
                Err(error) => last_error = error,
            }
            if started.elapsed() > SETTLE_TIMEOUT {
                break;
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        Err(last_error)
    }

    /// Waits until the daemons report the end of every accepted job.
    async fn await_all_jobs(&self, jobs: Vec<Submitted>) -> Outcome {
        let started = Instant::now();
        let mut outcome = Outcome { jobs, ..Outcome::default() };
        for job in outcome.jobs.clone() {
            match self.await_end(&job.spec.id, started).await {
                Ok(status) => {
                    outcome.ended.insert(job.spec.id, status);
                }
                Err(last_status) => {
                    outcome.failures.push(format!("{} never ended: {last_status}", job.spec.id))
                }
            }
        }
        outcome.settled_ms = self.started.elapsed().as_millis() as u64;
        outcome
    }

    async fn await_end(&self, id: &str, started: Instant) -> Result<JobStatus, String> {
        let path = format!("/v1/jobs/{id}");
        for nth in 0.. {
            let daemon = &self.simulation.daemons[nth % self.simulation.daemons.len()];
            let asked: Result<JobStatus, Error> =
                self.client.call(Method::GET, daemon.admin_addr, &path, &(), CALL_TIMEOUT).await;
            let last_status = match asked {
                Ok(status) if status.is_finished() => return Ok(status),
                Ok(status) => format!("{:?}", status.tasks),
                Err(error) => error.to_string(),
            };
            if started.elapsed() > SETTLE_TIMEOUT && nth >= self.simulation.daemons.len() {
                return Err(last_status);
            }
            tokio::time::sleep(RETRY_INTERVAL).await;
        }
        Err(String::new())
    }
}

/// Returns the configuration change that defines the profile and the team of the jobs.
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

fn verify(simulation: &Simulation, outcome: &Outcome) -> RunReport {
    let audit = simulation.workers.audit();
    let mut violations = simulation.unexpected_exits();
    violations.extend(outcome.failures.iter().cloned());
    if audit.double_runs > 0 {
        violations.push(format!("a task ran on two workers {} times", audit.double_runs));
    }
    if audit.overcommitted > 0 {
        violations.push(format!("worker capacity exceeded {} times", audit.overcommitted));
    }
    if audit.starts_after_success > 0 {
        let times = audit.starts_after_success;
        violations.push(format!("a task started after its success was recorded, {times} times"));
    }
    let cancelled = |task: &str| {
        let job = outcome.jobs.iter().find(|job| task.starts_with(&format!("{}/", job.spec.id)));
        job.is_some_and(|job| job.cancelled_ms.is_some())
    };
    violations.extend(audit.resume_violations(cancelled));
    let is_accepted = |task: &str| outcome.jobs.iter().any(|job| task.starts_with(&job.spec.id));
    for (task, times) in &audit.finished {
        if *times > 1 {
            simulation.trace.note(format_args!("{task} finished {times} times"));
        }
        if !is_accepted(task) {
            violations.push(format!("{task} ran although it was never accepted"));
        }
    }
    for job in &outcome.jobs {
        verify_job(job, outcome.ended.get(&job.spec.id), &audit, &mut violations);
    }
    let mut trace = simulation.trace.lines();
    if !violations.is_empty() {
        trace.extend(related_lines(simulation, &violations));
    }
    RunReport { violations, trace, figures: figures(&audit, outcome) }
}

fn verify_job(
    job: &Submitted,
    ended: Option<&JobStatus>,
    audit: &crate::workers::WorkerAudit,
    violations: &mut Vec<String>,
) {
    let Some(status) = ended else { return };
    for (index, task) in status.tasks.iter().enumerate() {
        let id = format!("{}/{index}", job.spec.id);
        let ran = audit.finished.contains_key(&id);
        if (task.state == "done") != ran && !(job.cancelled_ms.is_some() && ran) {
            violations
                .push(format!("{id} is reported as {} but its run finished: {ran}", task.state));
        }
        let Some(cancelled_ms) = job.cancelled_ms else { continue };
        let starts = audit.attempts.get(&id).into_iter().flatten();
        let late =
            starts.filter(|attempt| attempt.started_ms > cancelled_ms + MAX_START_DELAY_MS).count();
        if late > 0 {
            violations.push(format!("{id} started after its job was cancelled"));
        }
    }
}

/// Returns the log lines of the daemons about the tasks that the violations name.
fn related_lines(simulation: &Simulation, violations: &[String]) -> Vec<String> {
    let patterns: Vec<String> = violations
        .iter()
        .filter_map(|violation| violation.split_whitespace().next())
        .filter(|word| word.starts_with("job-"))
        .map(|word| format!("\"{}\"", word.trim_end_matches(':')))
        .chain([String::from("cell_taken"), String::from("cell_lost")])
        .collect();
    simulation.daemons.iter().flat_map(|daemon| daemon.log_lines(&patterns)).collect()
}

fn figures(audit: &crate::workers::WorkerAudit, outcome: &Outcome) -> Vec<(&'static str, f64)> {
    vec![
        ("jobs_accepted", outcome.jobs.len() as f64),
        ("jobs_ended", outcome.ended.len() as f64),
        ("starts", audit.starts as f64),
        ("stopped", audit.stopped as f64),
        ("resumed", audit.resumed as f64),
        ("lapsed", audit.lapsed as f64),
        ("fenced_calls", audit.fenced_calls as f64),
        ("late_calls", audit.late_calls as f64),
        ("refused_starts", audit.refused_starts as f64),
        ("finished_twice", audit.finished.values().filter(|times| **times > 1).count() as f64),
        ("lost_checkpoints", audit.lost_checkpoints() as f64),
        ("settled_ms", outcome.settled_ms as f64),
    ]
}
