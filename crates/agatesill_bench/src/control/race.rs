//! Concurrent configuration changes through several daemons while store answers are lost.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use agatesill_standin::store::StoreFaults;
use agatesill_wire::api::HistoryEntry;
use agatesill_wire::prelude::*;
use futures::future::join_all;
use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::Measurement;
use super::daemons::{DaemonGroup, weight};

const DAEMONS: usize = 8;
const OPERATORS: usize = 16;
const CHANGES: usize = 2_000;
const LOST_ANSWERS_PERCENT: u32 = 5;

/// Attempts to send one change before its operator gives up.
const MAX_ATTEMPTS: usize = 200;

/// Outcome of a change for its operator.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ChangeOutcome {
    Accepted,
    Refused,
    Unknown,
}

/// Runs the operators and compares the outcomes that they received with the history.
pub async fn measure(seed: u64) -> Result<Measurement, Error> {
    let group =
        Arc::new(DaemonGroup::start(DAEMONS, |settings| settings.store.calls_per_s = 300).await?);
    group.faults(StoreFaults {
        lose_answers_percent: LOST_ANSWERS_PERCENT,
        ..StoreFaults::default()
    });
    let reverted = Arc::new(AtomicU64::new(0));
    let watchers =
        (0..DAEMONS).map(|nth| tokio::spawn(watch_versions(group.clone(), nth, reverted.clone())));
    let watchers: Vec<_> = watchers.collect();
    let started = Instant::now();
    let operators = (0..OPERATORS).map(|nth| run_operator(&group, nth, seed));
    let outcomes: Vec<(String, ChangeOutcome)> =
        join_all(operators).await.into_iter().flatten().collect();
    let elapsed_s = started.elapsed().as_secs_f64();
    watchers.iter().for_each(|watcher| watcher.abort());
    group.clear_faults();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let addr = group.harness.settings[0].admin.addr;
    let timeout = Duration::from_secs(20);
    let history: Vec<HistoryEntry> =
        group.client.call(Method::GET, addr, "/v1/config/history", &(), timeout).await?;
    Ok(compare_with_history(&history, &outcomes, reverted.load(Ordering::Relaxed), elapsed_s))
}

fn compare_with_history(
    history: &[HistoryEntry],
    outcomes: &[(String, ChangeOutcome)],
    reverted: u64,
    elapsed_s: f64,
) -> Measurement {
    let times = |id: &str| history.iter().filter(|entry| entry.operation_id == id).count();
    let count = |outcome| outcomes.iter().filter(|(_, one)| *one == outcome).count() as f64;
    let wrong = |outcome, allowed: &[usize]| {
        let of_kind = outcomes.iter().filter(|(_, one)| *one == outcome);
        of_kind.filter(|(id, _)| !allowed.contains(&times(id))).count() as f64
    };
    let missing_versions =
        history.windows(2).filter(|pair| pair[1].version != pair[0].version + 1).count();
    let mut measurement = Measurement::default();
    measurement.figure("accepted", count(ChangeOutcome::Accepted));
    measurement.figure("refused", count(ChangeOutcome::Refused));
    measurement.figure("unknown", count(ChangeOutcome::Unknown));
    measurement.figure("changes_per_s", outcomes.len() as f64 / elapsed_s);
    measurement.at_most("accepted_not_exactly_once", wrong(ChangeOutcome::Accepted, &[1]), 0.0);
    measurement.at_most("refused_but_took_effect", wrong(ChangeOutcome::Refused, &[0]), 0.0);
    measurement.at_most("unknown_more_than_once", wrong(ChangeOutcome::Unknown, &[0, 1]), 0.0);
    measurement.at_most("versions_missing", missing_versions as f64, 0.0);
    measurement.at_most("versions_reverted", reverted as f64, 0.0);
    measurement
}

async fn watch_versions(group: Arc<DaemonGroup>, nth: usize, reverted: Arc<AtomicU64>) {
    let mut newest = 0;
    loop {
        if let Ok(status) = group.status(nth).await {
            reverted.fetch_add(u64::from(status.config_version < newest), Ordering::Relaxed);
            newest = newest.max(status.config_version);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn run_operator(
    group: &DaemonGroup,
    operator: usize,
    seed: u64,
) -> Vec<(String, ChangeOutcome)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed * 1_000 + operator as u64);
    let mut outcomes = Vec::new();
    for nth in 0..CHANGES / OPERATORS {
        let id = format!("{operator}-{nth}");
        let mut change = weight(&id, &format!("team-{}", rng.random_range(0..20)), nth as u32 + 1);
        if rng.random_range(0..4) == 0
            && let Ok(status) = group.status(rng.random_range(0..DAEMONS)).await
        {
            change.base_version = status.config_version;
        }
        let mut outcome = ChangeOutcome::Unknown;
        let mut is_unknown = false;
        for _ in 0..MAX_ATTEMPTS {
            let kind = match group.change(rng.random_range(0..DAEMONS), &change).await {
                Ok(_) => {
                    outcome = ChangeOutcome::Accepted;
                    break;
                }
                Err(error) => error.kind,
            };
            // These errors concern only one attempt and do not refuse an earlier one with an
            // unknown outcome.
            let is_transient = matches!(kind, ErrorKind::StoreUnavailable | ErrorKind::RingFull);
            is_unknown |= matches!(kind, ErrorKind::OutcomeUnknown | ErrorKind::Unreachable);
            if !is_transient && !is_unknown || kind == ErrorKind::Conflict {
                outcome = ChangeOutcome::Refused;
                break;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(20..200))).await;
        }
        outcomes.push((id, outcome));
    }
    outcomes
}
