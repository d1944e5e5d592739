//! Randomised runs of owners and operators under seeded faults; their histories are linearisable.
//!
//! A ledger's operation returns its place in the log, and a configuration's the version, so the
//! order is given and the checker only has to compare it with real time: whatever had ended before
//! something else began stands before it, each place is taken once, and what was answered is there.

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
const BROKEN_SEEDS: u64 = 20;
const OWNERS: u64 = 3;
const TTL: Duration = Duration::from_secs(2);
const RUN: Duration = Duration::from_secs(60);

/// One finished operation: what it took and the place in the order that it was answered with.
#[derive(Clone, Debug)]
struct Done {
    began: Instant,
    ended: Instant,
    value: String,
    place: u64,
    epoch: u64,
    is_write: bool,
}

type History = Arc<Mutex<Vec<Done>>>;

/// The first thing that no linear order explains.
fn contradiction(history: &[Done]) -> Option<String> {
    let mut by_start: Vec<&Done> = history.iter().collect();
    by_start.sort_by_key(|one| one.began);
    let mut by_end = by_start.clone();
    by_end.sort_by_key(|one| one.ended);
    let mut ended = by_end.into_iter().peekable();
    let mut newest: Option<&Done> = None;
    for one in by_start {
        while let Some(before) = ended.next_if(|before| before.ended < one.began) {
            if newest.is_none_or(|newest| before.place > newest.place) {
                newest = Some(before);
            }
        }
        let Some(before) = newest else { continue };
        let is_behind =
            if one.is_write { one.place <= before.place } else { one.place < before.place };
        if is_behind {
            return Some(format!("{one:?} began after {before:?} had ended"));
        }
        if one.epoch < before.epoch {
            return Some(format!("{one:?} is of an earlier epoch than {before:?}"));
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

/// Changes each client's faults every few seconds.
async fn disturb(clients: &[Client], seed: u64) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0xfa17);
    loop {
        tokio::time::sleep(Duration::from_millis(rng.random_range(500..4_000))).await;
        let at = rng.random_range(0..clients.len());
        clients[at].set(faults(&mut rng));
    }
}

/// An owner that claims the cell, takes the log over, commits and is now and then paused for three
/// leases between looking at its lease and writing.
async fn own(store: Store, name: String, seed: u64, history: History, is_broken: bool) {
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
        if is_broken {
            log.break_fence();
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
            let began = Instant::now();
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
                began,
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

/// Runs the owners; the violation found, if any, and the number of operations.
async fn run_owners(seed: u64, is_broken: bool) -> (Option<String>, usize) {
    let mem = MemStore::default();
    let clients: Vec<Client> = (0..OWNERS).map(|nth| mem.client(seed * 10 + nth)).collect();
    let history = History::default();
    let owners = futures::future::join_all(clients.iter().zip(0..).map(|(client, nth)| {
        let store = client.store.clone().with_rate_limit(2_000).with_seed(seed * 10 + nth);
        own(store, format!("owner-{nth}"), seed * 100 + nth, history.clone(), is_broken)
    }));
    tokio::select! {
        () = tokio::time::sleep(RUN) => {}
        () = disturb(&clients, seed) => {}
        _ = owners => {}
    }
    // Calls that were on their way may still land.
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
        .find(|one| ledger.get(one.place as usize - 1) != Some(&one.value))
        .map(|one| format!("{one:?} is not in the ledger"));
    (missing.or_else(|| contradiction(&history)), history.len())
}

/// Three owners, each paused, cut off, answered late or not at all, with leases that lapse early.
/// Whatever any of them was told is committed must stand, once, in an order that time explains.
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

/// The same with the fence off: a run that would not notice proves nothing.
#[tokio::test(start_paused = true)]
async fn a_missing_fence_is_noticed() {
    for seed in 1..BROKEN_SEEDS {
        if let (Some(violation), _) = run_owners(seed, true).await {
            println!("seed {seed}: {violation}");
            return;
        }
    }
    panic!("no violation in {BROKEN_SEEDS} seeds without the fence");
}

async fn operate(config: ConfigStore, name: String, seed: u64, history: History) {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    for nth in 0.. {
        tokio::time::sleep(Duration::from_millis(rng.random_range(0..200))).await;
        let began = Instant::now();
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
            config.change(&change, 0).await.map(|made| {
                let entry = made.history.iter().find(|entry| entry.operation_id == value);
                entry.map_or(0, |entry| entry.version)
            })
        } else {
            config.read().await.map(|read| read.version)
        };
        let Ok(place) = outcome else { continue };
        let ended = Instant::now();
        history.lock().unwrap().push(Done { began, ended, value, place, epoch: 0, is_write });
    }
}

/// Operators change and read through three daemons under the same faults. A version once seen is
/// never unseen, and an accepted change keeps its version.
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
            operate(config, format!("operator-{nth}"), seed * 100 + nth, history.clone())
        }));
        tokio::select! {
            () = tokio::time::sleep(RUN / 2) => {}
            () = disturb(&clients, seed) => {}
            _ = operators => {}
        }
        tokio::time::sleep(Duration::from_secs(30)).await;
        let history = history.lock().unwrap().clone();
        assert_eq!(contradiction(&history), None, "seed {seed}");
        let kept = ConfigStore::new(mem.client(0).store).history().await.unwrap();
        for one in history.iter().filter(|one| one.is_write) {
            let found = kept.iter().filter(|entry| entry.operation_id == one.value);
            let versions: Vec<u64> = found.map(|entry| entry.version).collect();
            assert_eq!(versions, [one.place], "seed {seed}: {one:?}");
        }
        operations += history.len();
    }
    println!("{operations} changes and readings over {SEEDS} seeds");
    assert!(operations > 2_000, "only {operations} operations over all seeds");
}
