//! The requests scenario: reads and non-repeatable decisions, re-sent to other daemons while
//! faults come, judged by the upstreams' books and by what the callers hear.
//!
//! Every attempt has an identity of its own in the books, so that each `not run` can be checked
//! against what really ran.

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

use super::{FaultKind, RunReport, Schedule, ScheduleLimits, Simulation, SimulationOptions, play};
use crate::caller::{CallOutcome, Caller, CallerRequest};

/// Daemons of a run.
const DAEMONS: usize = 3;

/// Upstreams of the pool.
const UPSTREAMS: u32 = 4;

/// Requests of a run.
const REQUESTS: usize = 240;

/// Time over which they are sent.
const SEND_OVER_MS: u64 = 2_600;

/// Most attempts of one request.
const MOST_ATTEMPTS: u32 = 5;

/// Patience of a caller; shorter than a pause, so that callers re-send meanwhile.
const DEADLINE_MS: u64 = 400;

/// Patience of the last attempt, after all faults.
const LAST_DEADLINE_MS: u64 = 5_000;

/// Share of requests whose caller does not wait for an answer before it sends again.
const IMPATIENT: f64 = 0.15;

/// Longest time for daemons to recover after the last fault; far beyond what a good run takes.
const RECOVER_LIMIT: Duration = Duration::from_secs(60);

/// Pause between two tries.
const TRY_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait for one control call.
const CALL_LIMIT: Duration = Duration::from_secs(3);

/// Parts the draws of the load from those of the schedule.
const LOAD_SALT: u64 = 0x4e9;

/// The schedules of this scenario: leases of under a second, faults of up to two leases.
pub fn limits() -> ScheduleLimits {
    ScheduleLimits {
        kinds: FaultKind::REQUESTS.to_vec(),
        rounds: 2,
        round_ms: 1_300,
        longest_ms: 1_400,
    }
}

/// Runs the scenario with the daemon program at `binary`.
pub async fn run(binary: &Path, schedule: Schedule) -> RunReport {
    let options =
        SimulationOptions { binary: binary.to_owned(), base: settings(), daemons: DAEMONS };
    let world = match Simulation::start(&options).await {
        Ok(world) => world,
        Err(error) => return failed(format!("the world did not start: {error}")),
    };
    world.trace.note(&schedule);
    if let Err(error) = configure(&world, schedule.seed).await {
        return failed(format!("configuration: {error}"));
    }
    let (mut heard, ()) = tokio::join!(send_all(&world, schedule.seed), play(&schedule, &world));
    let silent = recover(&world).await;
    heard.extend(send_last(&world, &heard).await);
    tokio::time::sleep(Duration::from_millis(DEADLINE_MS)).await;
    judge(&world, &heard, silent)
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

async fn configure(world: &Simulation, seed: u64) -> Result<(), Error> {
    let profile = serde_json::json!({ "class": "latency_critical", "answer_ms": 250 });
    let service = serde_json::json!({
        "profile": "quick", "pool": "limits", "non_repeatable": ["POST /decisions"],
    });
    let wrong = |error: serde_json::Error| Error::new(ErrorKind::Settings, error.to_string());
    let profile: Profile = serde_json::from_value(profile).map_err(wrong)?;
    let service: Service = serde_json::from_value(service).map_err(wrong)?;
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
        let addr = world.daemons[0].admin_addr;
        let made: VersionedConfig =
            client.call(Method::POST, addr, "/v1/config", &change, CALL_LIMIT).await?;
        for daemon in &world.daemons {
            loop {
                let seen: Result<VersionedConfig, Error> = client
                    .call(Method::GET, daemon.admin_addr, "/v1/config", &(), CALL_LIMIT)
                    .await;
                if seen.is_ok_and(|seen| seen.version >= made.version) {
                    break;
                }
                tokio::time::sleep(TRY_PAUSE).await;
            }
        }
        Ok(())
    };
    let late = |_| Error::new(ErrorKind::Unreachable, "configuration not in force in time");
    tokio::time::timeout(RECOVER_LIMIT, asked).await.map_err(late)?
}

/// One attempt and what its caller heard.
#[derive(Clone, Debug)]
struct Attempt {
    ask: CallerRequest,
    heard: CallOutcome,
}

async fn send_all(world: &Simulation, seed: u64) -> Vec<Attempt> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ LOAD_SALT);
    let caller = Caller::default();
    let plans: Vec<Plan> = (0..REQUESTS).map(|nth| Plan::draw(&mut rng, nth)).collect();
    let sent = plans.iter().map(|plan| send_one(world, &caller, plan));
    join_all(sent).await.into_iter().flatten().collect()
}

#[derive(Debug)]
struct Plan {
    nth: usize,
    at_ms: u64,
    is_decision: bool,
    is_impatient: bool,
    extra_bytes: usize,
    daemons: [usize; MOST_ATTEMPTS as usize],
}

impl Plan {
    fn draw(rng: &mut Pcg64Mcg, nth: usize) -> Self {
        Self {
            nth,
            at_ms: rng.random_range(0..SEND_OVER_MS),
            is_decision: rng.random_bool(0.6),
            is_impatient: rng.random_bool(IMPATIENT),
            extra_bytes: if rng.random_bool(0.1) { 200_000 } else { 0 },
            daemons: std::array::from_fn(|_| rng.random_range(0..DAEMONS)),
        }
    }

    fn ask(&self, attempt: u32) -> CallerRequest {
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

async fn send_one(world: &Simulation, caller: &Caller, plan: &Plan) -> Vec<Attempt> {
    tokio::time::sleep(Duration::from_millis(plan.at_ms)).await;
    let mut attempts = Vec::new();
    let mut attempt = 1;
    let send = |attempt: u32| {
        let entry = world.daemons[plan.daemons[attempt as usize - 1]].entry_addr;
        let ask = plan.ask(attempt);
        async move {
            let heard = caller.send(entry, &ask).await;
            Attempt { ask, heard }
        }
    };
    if plan.is_impatient {
        let (one, other) = tokio::join!(send(1), send(2));
        attempts.extend([one, other]);
        attempt = 3;
    }
    let is_answered = |attempts: &[Attempt]| {
        attempts.iter().any(|one| matches!(one.heard, CallOutcome::Answer(..)))
    };
    while attempt <= MOST_ATTEMPTS && !is_answered(&attempts) {
        attempts.push(send(attempt).await);
        attempt += 1;
        tokio::time::sleep(TRY_PAUSE).await;
    }
    attempts
}

/// Waits until every daemon answers a read; returns those that never do.
async fn recover(world: &Simulation) -> Vec<String> {
    let caller = Caller::default();
    let mut silent = Vec::new();
    for daemon in &world.daemons {
        let mut nth = 0;
        let answered = async {
            loop {
                nth += 1;
                let ask = CallerRequest {
                    id: format!("probe-{}-{nth}", daemon.name),
                    service: "limits".to_owned(),
                    method: "GET".to_owned(),
                    path: "/limits".to_owned(),
                    deadline_ms: LAST_DEADLINE_MS,
                    ..CallerRequest::default()
                };
                if matches!(caller.send(daemon.entry_addr, &ask).await, CallOutcome::Answer(..)) {
                    return;
                }
                tokio::time::sleep(TRY_PAUSE).await;
            }
        };
        if tokio::time::timeout(RECOVER_LIMIT, answered).await.is_err() {
            silent.push(format!("{} answers no read after all faults", daemon.name));
        }
    }
    silent
}

/// Sends every decision once more after all faults: whatever became of it, it must not run twice.
async fn send_last(world: &Simulation, heard: &[Attempt]) -> Vec<Attempt> {
    let caller = Caller::default();
    let mut last: BTreeMap<&str, &CallerRequest> = BTreeMap::new();
    for one in heard.iter().filter(|one| one.ask.attempt > 0) {
        let newest = last.entry(&one.ask.idempotency_key).or_insert(&one.ask);
        if one.ask.attempt > newest.attempt {
            *newest = &one.ask;
        }
    }
    let sent = last.into_values().enumerate().map(|(nth, newest)| {
        let attempt = newest.attempt + 1;
        let id = format!("{}#{attempt}", newest.idempotency_key);
        let ask = CallerRequest { id, attempt, deadline_ms: LAST_DEADLINE_MS, ..newest.clone() };
        let entry = world.daemons[nth % DAEMONS].entry_addr;
        let caller = &caller;
        async move {
            let heard = caller.send(entry, &ask).await;
            Attempt { ask, heard }
        }
    });
    join_all(sent).await
}

fn judge(world: &Simulation, heard: &[Attempt], silent: Vec<String>) -> RunReport {
    let mut ran: BTreeMap<String, u32> = BTreeMap::new();
    for (id, times) in world.upstreams.iter().flat_map(|one| one.audit().ran) {
        *ran.entry(id).or_default() += times;
    }
    let mut violations = world.panics();
    violations.extend(silent);
    let mut runs: BTreeMap<&str, u32> = BTreeMap::new();
    for one in heard {
        let times = ran.get(&one.ask.id).copied().unwrap_or(0);
        if one.ask.attempt > 0 {
            *runs.entry(&one.ask.idempotency_key).or_default() += times;
        }
        if one.heard.says_not_run() && times > 0 {
            violations.push(format!("{} ran and was called not run", one.ask.id));
        }
        if let CallOutcome::Wrong(status, body) = &one.heard {
            let body = String::from_utf8_lossy(&body[..body.len().min(60)]);
            violations.push(format!("{} heard a wrong answer: {status} {body}", one.ask.id));
        }
    }
    let twice = runs.iter().filter(|(_, times)| **times > 1);
    violations.extend(twice.map(|(name, times)| format!("{name} ran {times} times")));
    judge_replays(heard, &mut violations);
    let mut trace = world.trace.lines();
    if !violations.is_empty() {
        trace.extend(story(world, heard, &violations));
    }
    RunReport { figures: figures(heard, &runs), violations, trace }
}

/// All whole answers to one decision are the same.
fn judge_replays(heard: &[Attempt], violations: &mut Vec<String>) {
    let mut answers: BTreeMap<&str, &CallOutcome> = BTreeMap::new();
    for one in heard.iter().filter(|one| one.ask.attempt > 0) {
        if let CallOutcome::Answer(..) = &one.heard
            && *answers.entry(&one.ask.idempotency_key).or_insert(&one.heard) != &one.heard
        {
            violations.push(format!("{} got two different answers", one.ask.idempotency_key));
        }
    }
}

/// What callers heard and the daemons logged of the requests that the violations name.
fn story(world: &Simulation, heard: &[Attempt], violations: &[String]) -> Vec<String> {
    let names: Vec<&str> =
        violations.iter().filter_map(|one| one.split([' ', '#']).next()).collect();
    let words: Vec<String> = names.iter().map(|name| format!("\"{name}#")).collect();
    let told = heard.iter().filter(|one| names.contains(&one.ask.key.as_str()));
    let told = told.map(|one| format!("{} heard {:?}", one.ask.id, one.heard));
    told.chain(world.daemons.iter().flat_map(|daemon| daemon.log_lines(&words))).collect()
}

fn figures(heard: &[Attempt], runs: &BTreeMap<&str, u32>) -> Vec<(&'static str, f64)> {
    let count =
        |what: fn(&CallOutcome) -> bool| heard.iter().filter(|one| what(&one.heard)).count() as f64;
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
