//! Request scenario: reads and non-repeatable decisions are retried on other daemons while faults
//! are injected. The run is verified by the audit logs of the upstreams and the responses that
//! callers receive.
//!
//! Every attempt has its own id in the audit logs, so that each `not run` response can be checked
//! against the requests that ran.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use agatesill_policy::prelude::*;
use agatesill_wire::api::{ConfigChange, VersionedConfig};
use agatesill_wire::http::JsonClient;
use agatesill_wire::prelude::*;
use agatesilld::prelude::Settings;
use futures::future::join_all;
use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{
    FaultKind, RunReport, Schedule, ScheduleLimits, Simulation, SimulationOptions, run_schedule,
};
use crate::caller::{CallOutcome, Caller, CallerRequest};

/// Number of daemons.
const DAEMONS: usize = 3;

/// Number of upstreams in the pool.
const UPSTREAMS: u32 = 4;

/// Number of requests.
const REQUESTS: usize = 240;

/// Period over which the requests are sent.
const SEND_PERIOD_MS: u64 = 2_600;

/// Largest number of attempts of one request, without the final one after all faults.
const MAX_ATTEMPTS: u32 = 5;

/// Deadline of a request. It is shorter than a daemon pause, so that callers retry meanwhile.
const DEADLINE_MS: u64 = 400;

/// Deadline of the final attempt, after all faults.
const FINAL_DEADLINE_MS: u64 = 5_000;

/// Share of requests whose caller sends a second attempt without waiting for the first response.
const IMPATIENT_SHARE: f64 = 0.15;

/// Timeout for daemons to recover after the last fault, far longer than a successful run needs.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(60);

/// Delay between retries.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of one control call.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Separates the random numbers of the load from those of the schedule.
const LOAD_SALT: u64 = 0x4e9;

/// Returns the schedule limits. Faults last up to two lease times, and leases less than a second.
pub fn limits() -> ScheduleLimits {
    ScheduleLimits {
        kinds: FaultKind::REQUESTS.to_vec(),
        rounds: 2,
        round_ms: 1_300,
        longest_ms: 1_400,
    }
}

/// Runs the scenario with the daemon executable `binary`.
pub async fn run(binary: &Path, schedule: Schedule) -> RunReport {
    let options =
        SimulationOptions { binary: binary.to_owned(), base: settings(), daemons: DAEMONS };
    let simulation = match Simulation::start(&options).await {
        Ok(simulation) => simulation,
        Err(error) => return failed(format!("simulation failed to start: {error}")),
    };
    simulation.trace.note(&schedule);
    if let Err(error) = configure(&simulation, schedule.seed).await {
        return failed(format!("configuration: {error}"));
    }
    let (mut heard, ()) =
        tokio::join!(send_all(&simulation, schedule.seed), run_schedule(&schedule, &simulation));
    let unresponsive = await_recovery(&simulation).await;
    heard.extend(send_final_attempts(&simulation, &heard).await);
    tokio::time::sleep(Duration::from_millis(DEADLINE_MS)).await;
    verify(&simulation, &heard, unresponsive)
}

fn failed(why: String) -> RunReport {
    RunReport { violations: vec![why], ..RunReport::default() }
}

fn settings() -> Settings {
    let upstream = |id: u32| {
        serde_json::json!({
            "id": id, "addr": "127.0.0.1:1", "slots": 8, "zone": format!("zone-{}", id % 3),
        })
    };
    let pool: Vec<serde_json::Value> = (1..=UPSTREAMS).map(upstream).collect();
    let text = serde_json::json!({
        "instance": "entry", "zone": "zone-0",
        "entry": { "addr": "127.0.0.1:1", "relay_threads": 1, "drain_ms": 500 },
        "admin": { "addr": "127.0.0.1:1" },
        "peers": { "addr": "127.0.0.1:1", "heartbeat_ms": 50, "suspect_ms": 400 },
        "store": { "addr": "127.0.0.1:1", "lease_ms": 800, "renew_ms": 150, "commit_ms": 20 },
        "pools": { "limits": pool },
        "log": { "level": "info", "path": "" },
    });
    serde_json::from_value(text).unwrap_or_else(|_| unreachable!("the settings are constants"))
}

async fn configure(simulation: &Simulation, seed: u64) -> Result<(), Error> {
    let profile = serde_json::json!({ "class": "latency_critical", "answer_ms": 250 });
    let service = serde_json::json!({
        "profile": "quick", "pool": "limits", "non_repeatable": ["POST /decisions"],
    });
    let settings_error =
        |error: serde_json::Error| Error::new(ErrorKind::Settings, error.to_string());
    let profile: Profile = serde_json::from_value(profile).map_err(settings_error)?;
    let service: Service = serde_json::from_value(service).map_err(settings_error)?;
    let change = ConfigChange {
        operation_id: format!("requests-{seed}"),
        base_version: 0,
        author: "faults".to_owned(),
        reason: String::new(),
        profiles: [("quick".to_owned(), Some(profile))].into(),
        services: [("limits".to_owned(), Some(service))].into(),
        teams: BTreeMap::new(),
        evacuations: BTreeMap::new(),
    };
    let client = JsonClient::default();
    let asked = async {
        let addr = simulation.daemons[0].admin_addr;
        let committed: VersionedConfig =
            client.call(Method::POST, addr, "/v1/config", &change, CALL_TIMEOUT).await?;
        for daemon in &simulation.daemons {
            loop {
                let seen: Result<VersionedConfig, Error> = client
                    .call(Method::GET, daemon.admin_addr, "/v1/config", &(), CALL_TIMEOUT)
                    .await;
                if seen.is_ok_and(|seen| seen.version >= committed.version) {
                    break;
                }
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
        Ok(())
    };
    let late =
        |_| Error::new(ErrorKind::Unreachable, "configuration not active before the timeout");
    tokio::time::timeout(RECOVERY_TIMEOUT, asked).await.map_err(late)?
}

/// One attempt and the outcome that its caller received.
#[derive(Clone, Debug)]
struct Attempt {
    request: CallerRequest,
    heard: CallOutcome,
}

async fn send_all(simulation: &Simulation, seed: u64) -> Vec<Attempt> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ LOAD_SALT);
    let caller = Caller::default();
    let plans: Vec<RequestPlan> =
        (0..REQUESTS).map(|nth| RequestPlan::generate(&mut rng, nth)).collect();
    let sent = plans.iter().map(|plan| send_with_retries(simulation, &caller, plan));
    join_all(sent).await.into_iter().flatten().collect()
}

#[derive(Debug)]
struct RequestPlan {
    nth: usize,
    at_ms: u64,
    is_decision: bool,
    is_impatient: bool,
    extra_bytes: usize,
    daemons: [usize; MAX_ATTEMPTS as usize],
}

impl RequestPlan {
    fn generate(rng: &mut Pcg64Mcg, nth: usize) -> Self {
        Self {
            nth,
            at_ms: rng.random_range(0..SEND_PERIOD_MS),
            is_decision: rng.random_bool(0.6),
            is_impatient: rng.random_bool(IMPATIENT_SHARE),
            extra_bytes: if rng.random_bool(0.1) { 200_000 } else { 0 },
            daemons: std::array::from_fn(|_| rng.random_range(0..DAEMONS)),
        }
    }

    fn request(&self, attempt: u32) -> CallerRequest {
        let name = format!("{}{}", if self.is_decision { "d" } else { "r" }, self.nth);
        let path = match (self.is_decision, self.extra_bytes) {
            (true, _) => "/decisions".to_owned(),
            (false, 0) => "/limits".to_owned(),
            (false, bytes) => format!("/bytes/{bytes}"),
        };
        CallerRequest {
            id: format!("{name}#{attempt}"),
            service: "limits".to_owned(),
            caller: format!("broker-{}", self.nth % 7),
            key: name.clone(),
            method: if self.is_decision { "POST" } else { "GET" }.to_owned(),
            path,
            deadline_ms: DEADLINE_MS,
            body: if self.is_decision { format!("buyer={}", self.nth) } else { String::new() },
            attempt: if self.is_decision { attempt } else { 0 },
            idempotency_key: if self.is_decision { name } else { String::new() },
        }
    }
}

async fn send_with_retries(
    simulation: &Simulation,
    caller: &Caller,
    plan: &RequestPlan,
) -> Vec<Attempt> {
    tokio::time::sleep(Duration::from_millis(plan.at_ms)).await;
    let mut attempts = Vec::new();
    let mut attempt = 1;
    let send = |attempt: u32| {
        let entry = simulation.daemons[plan.daemons[attempt as usize - 1]].entry_addr;
        let request = plan.request(attempt);
        async move {
            let heard = caller.send(entry, &request).await;
            Attempt { request, heard }
        }
    };
    if plan.is_impatient {
        let (first, second) = tokio::join!(send(1), send(2));
        attempts.extend([first, second]);
        attempt = 3;
    }
    let is_answered = |attempts: &[Attempt]| {
        attempts.iter().any(|attempt| matches!(attempt.heard, CallOutcome::Answer(..)))
    };
    while attempt <= MAX_ATTEMPTS && !is_answered(&attempts) {
        attempts.push(send(attempt).await);
        attempt += 1;
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
    attempts
}

/// Waits until every daemon answers a read. Returns a violation for each daemon that times out.
async fn await_recovery(simulation: &Simulation) -> Vec<String> {
    let caller = Caller::default();
    let mut unresponsive = Vec::new();
    for daemon in &simulation.daemons {
        let mut nth = 0;
        let answered = async {
            loop {
                nth += 1;
                let request = CallerRequest {
                    id: format!("probe-{}-{nth}", daemon.name),
                    service: "limits".to_owned(),
                    method: "GET".to_owned(),
                    path: "/limits".to_owned(),
                    deadline_ms: FINAL_DEADLINE_MS,
                    ..CallerRequest::default()
                };
                if matches!(caller.send(daemon.entry_addr, &request).await, CallOutcome::Answer(..))
                {
                    return;
                }
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        };
        if tokio::time::timeout(RECOVERY_TIMEOUT, answered).await.is_err() {
            unresponsive
                .push(format!("{} does not answer reads after all faults ended", daemon.name));
        }
    }
    unresponsive
}

/// Sends every decision once more after all faults. Whatever its outcome was, it must not run
/// twice.
async fn send_final_attempts(simulation: &Simulation, heard: &[Attempt]) -> Vec<Attempt> {
    let caller = Caller::default();
    let mut latest: BTreeMap<&str, &CallerRequest> = BTreeMap::new();
    for attempt in heard.iter().filter(|attempt| attempt.request.attempt > 0) {
        let newest = latest.entry(&attempt.request.idempotency_key).or_insert(&attempt.request);
        if attempt.request.attempt > newest.attempt {
            *newest = &attempt.request;
        }
    }
    let sent = latest.into_values().enumerate().map(|(nth, newest)| {
        let attempt = newest.attempt + 1;
        let id = format!("{}#{attempt}", newest.idempotency_key);
        let request =
            CallerRequest { id, attempt, deadline_ms: FINAL_DEADLINE_MS, ..newest.clone() };
        let entry = simulation.daemons[nth % DAEMONS].entry_addr;
        let caller = &caller;
        async move {
            let heard = caller.send(entry, &request).await;
            Attempt { request, heard }
        }
    });
    join_all(sent).await
}

fn verify(simulation: &Simulation, heard: &[Attempt], unresponsive: Vec<String>) -> RunReport {
    let mut ran: BTreeMap<String, u32> = BTreeMap::new();
    for (id, times) in simulation.upstreams.iter().flat_map(|upstream| upstream.audit().ran) {
        *ran.entry(id).or_default() += times;
    }
    let mut violations = simulation.unexpected_exits();
    violations.extend(unresponsive);
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    for attempt in heard {
        let times = ran.get(&attempt.request.id).copied().unwrap_or(0);
        if attempt.request.attempt > 0 {
            *runs.entry(&attempt.request.idempotency_key).or_default() += times;
        }
        if attempt.heard.says_not_run() && times > 0 {
            violations.push(format!("{} ran but was reported as not run", attempt.request.id));
        }
        if let CallOutcome::Wrong(status, body) = &attempt.heard {
            let body = String::from_utf8_lossy(&body[..body.len().min(60)]);
            violations
                .push(format!("{} received a wrong response: {status} {body}", attempt.request.id));
        }
    }
    let repeated = runs.iter().filter(|(_, times)| **times > 1);
    violations.extend(repeated.map(|(name, times)| format!("{name} ran {times} times")));
    verify_replayed_responses(heard, &mut violations);
    let mut trace = simulation.trace.lines();
    if !violations.is_empty() {
        trace.extend(related_lines(simulation, heard, &violations));
    }
    RunReport { figures: figures(heard, &runs), violations, trace }
}

/// Checks that all complete responses to one decision are equal.
fn verify_replayed_responses(heard: &[Attempt], violations: &mut Vec<String>) {
    let mut answers: BTreeMap<&str, &CallOutcome> = BTreeMap::new();
    for attempt in heard.iter().filter(|attempt| attempt.request.attempt > 0) {
        if let CallOutcome::Answer(..) = &attempt.heard
            && *answers.entry(&attempt.request.idempotency_key).or_insert(&attempt.heard)
                != &attempt.heard
        {
            violations.push(format!(
                "{} received two different responses",
                attempt.request.idempotency_key
            ));
        }
    }
}

/// Returns the outcomes and the daemon log lines of the requests that the violations name.
fn related_lines(simulation: &Simulation, heard: &[Attempt], violations: &[String]) -> Vec<String> {
    let names: Vec<&str> =
        violations.iter().filter_map(|violation| violation.split([' ', '#']).next()).collect();
    let patterns: Vec<String> = names.iter().map(|name| format!("\"{name}#")).collect();
    let outcomes = heard.iter().filter(|attempt| names.contains(&attempt.request.key.as_str()));
    let outcomes =
        outcomes.map(|attempt| format!("{} received {:?}", attempt.request.id, attempt.heard));
    outcomes
        .chain(simulation.daemons.iter().flat_map(|daemon| daemon.log_lines(&patterns)))
        .collect()
}

fn figures(heard: &[Attempt], runs: &BTreeMap<&str, u32>) -> Vec<(&'static str, f64)> {
    let count = |predicate: fn(&CallOutcome) -> bool| {
        heard.iter().filter(|attempt| predicate(&attempt.heard)).count() as f64
    };
    vec![
        ("attempts", heard.len() as f64),
        ("answered", count(|heard| matches!(heard, CallOutcome::Answer(..)))),
        ("not_run", count(CallOutcome::says_not_run)),
        (
            "unknown",
            count(|heard| matches!(heard, CallOutcome::Failed(_)) && !heard.says_not_run()),
        ),
        ("broken", count(|heard| matches!(heard, CallOutcome::Broken))),
        ("decisions", runs.len() as f64),
        ("decisions_run", runs.values().filter(|times| **times > 0).count() as f64),
    ]
}
