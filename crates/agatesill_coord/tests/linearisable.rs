//! Randomised runs of owners and operators with seeded faults; their histories must be
//! linearisable.
//!
//! An operation on a ledger returns its position in the log, and one on a configuration returns the
//! version. The order is therefore known, and the checker only compares it with real time: an
//! operation that ended before another one started precedes it, each position is taken once, and
//! every acknowledged operation is present.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use agatesill_coord::prelude::*;
use agatesill_policy::prelude::Team;
use agatesill_wire::api::ConfigChange;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use support::{Client, Faults, MemStore};
use tokio::time::Instant;

const SEEDS: u64 = 50;
const UNFENCED_SEEDS: u64 = 20;
const OWNERS: u64 = 3;
const TTL: Duration = Duration::from_secs(2);
const RUN_DURATION: Duration = Duration::from_secs(60);

/// A completed operation: its value, its start and end, and the position that it returned.
#[derive(Clone, Debug)]
struct Done {
    started: Instant,
    ended: Instant,
    value: String,
    place: u64,
    epoch: u64,
    is_write: bool,
}

type History = Arc<Mutex<Vec<Done>>>;

/// The first violation of linearisability in `history`.
fn find_violation(history: &[Done]) -> Option<String> {
    let mut by_start: Vec<&Done> = history.iter().collect();
    by_start.sort_by_key(|operation| operation.started);
    let mut by_end = by_start.clone();
    by_end.sort_by_key(|operation| operation.ended);
    let mut ended = by_end.into_iter().peekable();
    let mut newest: Option<&Done> = None;
    for operation in by_start {
        while let Some(before) = ended.next_if(|before| before.ended < operation.started) {
            if newest.is_none_or(|newest| before.place > newest.place) {
                newest = Some(before);
            }
        }
        let Some(before) = newest else { continue };
        let is_behind = if operation.is_write {
            operation.place <= before.place
        } else {
            operation.place < before.place
        };
        if is_behind {
            return Some(format!("{operation:?} started after {before:?} had ended"));
        }
        if operation.epoch < before.epoch {
            return Some(format!("{operation:?} has an earlier epoch than {before:?}"));
        }
    }
    None
}

fn faults(rng: &mut Pcg64Mcg) -> Faults {
    Faults {
        outage: rng.random_range(0..100) < 8,
        delay_ms: rng.random_range(0..60),
        lost_calls_percent: rng.random_range(0..8),
        lost_answers_percent: rng.random_range(0..8),
        late_calls_percent: rng.random_range(0..6),
        lease_percent: if rng.random_range(0..100) < 25 { 40 } else { 0 },
        stale_reads: false,
    }
}

/// Changes the faults of a random client every few seconds.
async fn inject_faults(clients: &[Client], seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xfa17);
    loop {
        tokio::time::sleep(Duration::from_millis(rng.random_range(500..4_000))).await;
        let at = rng.random_range(0..clients.len());
        clients[at].set_faults(faults(&mut rng));
    }
}

/// An owner that claims the cell, takes over the log and commits. It is occasionally paused for
/// three lease durations between the check of its lease and a write.
async fn run_owner(store: Store, name: String, seed: u64, history: History, without_fencing: bool) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let mut ownership = Ownership::new(store.clone(), &name, TTL);
    let mut nth = 0;
    loop {
        tokio::time::sleep(Duration::from_millis(rng.random_range(50..400))).await;
        let _ = ownership.renew().await;
        if !matches!(ownership.claim("cell/a").await, Ok(true)) {
            continue;
        }
        let taken =
            CommitLog::take_over::<Vec<String>, String>(store.clone(), "cell/a", &name).await;
        let Ok((mut log, replay)) = taken else { continue };
        if without_fencing {
            log.disable_fencing();
        }
        let mut state = replay.snapshot.unwrap_or_default();
        state.extend(replay.deltas);
        let mut renewed = Instant::now();
        while ownership.holds("cell/a", Instant::now().into_std()) {
            if renewed.elapsed() > TTL / 5 {
                renewed = Instant::now();
                let _ = ownership.renew().await;
            }
            if rng.random_range(0..200) == 0 {
                tokio::time::sleep(TTL * 3).await;
            }
            nth += 1;
            let value = format!("{name}-{nth}");
            let started = Instant::now();
            let mut outcome = log.append(std::slice::from_ref(&value)).await;
            for _ in 0..20 {
                if !log.is_pending() {
                    break;
                }
                outcome = log.resolve().await;
            }
            if outcome.is_err() {
                break;
            }
            state.push(value.clone());
            history.lock().unwrap().push(Done {
                started,
                ended: Instant::now(),
                value,
                place: state.len() as u64,
                epoch: log.epoch(),
                is_write: true,
            });
            if log.snapshot_due() {
                let _ = log.snapshot(&state).await;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(0..60))).await;
        }
        let _ = ownership.give_up("cell/a").await;
    }
}

/// Runs the owners; returns the first violation, if any, and the number of operations.
async fn run_owners(seed: u64, without_fencing: bool) -> (Option<String>, usize) {
    let mem = MemStore::default();
    let clients: Vec<Client> = (0..OWNERS).map(|nth| mem.client(seed * 10 + nth)).collect();
    let history = History::default();
    let owners = futures::future::join_all(clients.iter().zip(0..).map(|(client, nth)| {
        let store = client.store.clone().with_rate_limit(2_000).with_seed(seed * 10 + nth);
        run_owner(store, format!("owner-{nth}"), seed * 100 + nth, history.clone(), without_fencing)
    }));
    tokio::select! {
        () = tokio::time::sleep(RUN_DURATION) => {}
        () = inject_faults(&clients, seed) => {}
        _ = owners => {}
    }
    // Delayed calls may still take effect.
    tokio::time::sleep(Duration::from_secs(30)).await;
    let history = history.lock().unwrap().clone();
    let last = CommitLog::take_over::<Vec<String>, String>(mem.client(0).store, "cell/a", "last");
    let (_, replay) = match last.await {
        Ok(taken) => taken,
        Err(error) => return (Some(error.to_string()), history.len()),
    };
    let mut ledger = replay.snapshot.unwrap_or_default();
    ledger.extend(replay.deltas);
    let missing = history
        .iter()
        .find(|operation| ledger.get(operation.place as usize - 1) != Some(&operation.value))
        .map(|operation| format!("{operation:?} is not in the ledger"));
    (missing.or_else(|| find_violation(&history)), history.len())
}

/// Three owners are paused, disconnected, answered late or not at all, and their leases end early.
/// Every record that was reported as committed must be in the log exactly once, in an order that is
/// consistent with real time.
#[tokio::test(start_paused = true)]
async fn ledgers_are_linearisable() {
    let mut operations = 0;
    for seed in 1..=SEEDS {
        let (violation, done) = run_owners(seed, false).await;
        assert_eq!(violation, None, "seed {seed}");
        operations += done;
    }
    println!("{operations} committed operations over {SEEDS} seeds");
    assert!(operations > 2_000, "only {operations} operations over all seeds");
}

/// With fencing disabled, at least one of the runs must find a violation. This shows that the test
/// above detects a missing fence.
#[tokio::test(start_paused = true)]
async fn missing_fence_is_detected() {
    for seed in 1..UNFENCED_SEEDS {
        if let (Some(violation), _) = run_owners(seed, true).await {
            println!("seed {seed}: {violation}");
            return;
        }
    }
    panic!("no violation in {UNFENCED_SEEDS} seeds without the fence");
}

async fn run_operator(config: ConfigStore, name: String, seed: u64, history: History) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    for nth in 0.. {
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..200))).await;
        let started = Instant::now();
        let is_write = rng.random_range(0..3) == 0;
        let value = format!("{name}-{nth}");
        let outcome = if is_write {
            let team = Team { weight: nth + 1, quota_cpu_milli: 0 };
            let change = ConfigChange {
                operation_id: value.clone(),
                base_version: 0,
                author: name.clone(),
                reason: String::new(),
                profiles: Default::default(),
                services: Default::default(),
                teams: [(name.clone(), Some(team))].into(),
                evacuations: Default::default(),
            };
            config.change(&change, 0).await.map(|updated| {
                let entry = updated.history.iter().find(|entry| entry.operation_id == value);
                entry.map_or(0, |entry| entry.version)
            })
        } else {
            config.read().await.map(|config| config.version)
        };
        let Ok(place) = outcome else { continue };
        let ended = Instant::now();
        history.lock().unwrap().push(Done { started, ended, value, place, epoch: 0, is_write });
    }
}

/// Operators change and read the configuration through three daemons with the same faults. A reader
/// must never see an older version than before, and an accepted change must keep its version.
#[tokio::test(start_paused = true)]
async fn configurations_are_linearisable() {
    let mut operations = 0;
    for seed in 1..=SEEDS {
        let mem = MemStore::default();
        let clients: Vec<Client> = (0..OWNERS).map(|nth| mem.client(seed * 10 + nth)).collect();
        let history = History::default();
        let operators = futures::future::join_all(clients.iter().zip(0..).map(|(client, nth)| {
            let store = client.store.clone().with_rate_limit(2_000).with_seed(seed * 10 + nth);
            let config = ConfigStore::new(store);
            run_operator(config, format!("operator-{nth}"), seed * 100 + nth, history.clone())
        }));
        tokio::select! {
            () = tokio::time::sleep(RUN_DURATION / 2) => {}
            () = inject_faults(&clients, seed) => {}
            _ = operators => {}
        }
        tokio::time::sleep(Duration::from_secs(30)).await;
        let history = history.lock().unwrap().clone();
        assert_eq!(find_violation(&history), None, "seed {seed}");
        let retained = ConfigStore::new(mem.client(0).store).history().await.unwrap();
        for operation in history.iter().filter(|operation| operation.is_write) {
            let found = retained.iter().filter(|entry| entry.operation_id == operation.value);
            let versions: Vec<u64> = found.map(|entry| entry.version).collect();
            assert_eq!(versions, [operation.place], "seed {seed}: {operation:?}");
        }
        operations += history.len();
    }
    println!("{operations} changes and reads over {SEEDS} seeds");
    assert!(operations > 2_000, "only {operations} operations over all seeds");
}
