//! Operators race one another through several daemons while answers are lost.

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

use super::Measured;
use super::rig::{Fleet, weight};

const DAEMONS: usize = 8;
const OPERATORS: usize = 16;
const CHANGES: usize = 2_000;
const LOST_PERCENT: u32 = 5;

/// Sendings of one change before its operator gives up.
const SENDINGS: usize = 200;

/// How one change ended for its operator.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Ending {
    Accepted,
    Refused,
    Unknown,
}

/// Runs the race and compares what operators heard with the history.
pub async fn measure(seed: u64) -> Result<Measured, Error> {
    let fleet = Arc::new(Fleet::start(DAEMONS, |settings| settings.store.calls_per_s = 300).await?);
    fleet.faults(StoreFaults { lose_answers_percent: LOST_PERCENT, ..StoreFaults::default() });
    let reverted = Arc::new(AtomicU64::new(0));
    let watchers =
        (0..DAEMONS).map(|nth| tokio::spawn(watch_versions(fleet.clone(), nth, reverted.clone())));
    let watchers: Vec<_> = watchers.collect();
    let started = Instant::now();
    let operators = (0..OPERATORS).map(|nth| operate(&fleet, nth, seed));
    let endings: Vec<(String, Ending)> = join_all(operators).await.into_iter().flatten().collect();
    let took_s = started.elapsed().as_secs_f64();
    watchers.iter().for_each(|watcher| watcher.abort());
    fleet.well();
    tokio::time::sleep(Duration::from_secs(3)).await;
    let addr = fleet.rig.settings[0].admin.addr;
    let limit = Duration::from_secs(20);
    let history: Vec<HistoryEntry> =
        fleet.client.call(Method::GET, addr, "/v1/config/history", &(), limit).await?;
    Ok(judge(&history, &endings, reverted.load(Ordering::Relaxed), took_s))
}

fn judge(
    history: &[HistoryEntry],
    endings: &[(String, Ending)],
    reverted: u64,
    took_s: f64,
) -> Measured {
    let times = |id: &str| history.iter().filter(|entry| entry.operation_id == id).count();
    let count = |ending| endings.iter().filter(|(_, one)| *one == ending).count() as f64;
    let wrong = |ending, allowed: &[usize]| {
        let of_kind = endings.iter().filter(|(_, one)| *one == ending);
        of_kind.filter(|(id, _)| !allowed.contains(&times(id))).count() as f64
    };
    let holes = history.windows(2).filter(|pair| pair[1].version != pair[0].version + 1).count();
    let mut measured = Measured::default();
    measured.figure("accepted", count(Ending::Accepted));
    measured.figure("refused", count(Ending::Refused));
    measured.figure("unknown", count(Ending::Unknown));
    measured.figure("changes_per_s", endings.len() as f64 / took_s);
    measured.at_most("accepted_not_exactly_once", wrong(Ending::Accepted, &[1]), 0.0);
    measured.at_most("refused_but_took_effect", wrong(Ending::Refused, &[0]), 0.0);
    measured.at_most("unknown_more_than_once", wrong(Ending::Unknown, &[0, 1]), 0.0);
    measured.at_most("versions_missing", holes as f64, 0.0);
    measured.at_most("versions_reverted", reverted as f64, 0.0);
    measured
}

async fn watch_versions(fleet: Arc<Fleet>, nth: usize, reverted: Arc<AtomicU64>) {
    let mut newest = 0;
    loop {
        if let Ok(status) = fleet.status(nth).await {
            reverted.fetch_add(u64::from(status.config_version < newest), Ordering::Relaxed);
            newest = newest.max(status.config_version);
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn operate(fleet: &Fleet, operator: usize, seed: u64) -> Vec<(String, Ending)> {
    let mut rng = Pcg64Mcg::seed_from_u64(seed * 1_000 + operator as u64);
    let mut endings = Vec::new();
    for nth in 0..CHANGES / OPERATORS {
        let id = format!("{operator}-{nth}");
        let mut change = weight(&id, &format!("team-{}", rng.random_range(0..20)), nth as u32 + 1);
        if rng.random_range(0..4) == 0
            && let Ok(status) = fleet.status(rng.random_range(0..DAEMONS)).await
        {
            change.base_version = status.config_version;
        }
        let mut ending = Ending::Unknown;
        let mut is_unknown = false;
        for _ in 0..SENDINGS {
            let kind = match fleet.change(rng.random_range(0..DAEMONS), &change).await {
                Ok(_) => {
                    ending = Ending::Accepted;
                    break;
                }
                Err(error) => error.kind,
            };
            // Speaks of one sending only, so it is no refusal after an unknown one.
            let is_passing = matches!(kind, ErrorKind::StoreUnavailable | ErrorKind::RingFull);
            is_unknown |= matches!(kind, ErrorKind::OutcomeUnknown | ErrorKind::Unreachable);
            if !is_passing && !is_unknown || kind == ErrorKind::Conflict {
                ending = Ending::Refused;
                break;
            }
            tokio::time::sleep(Duration::from_millis(rng.random_range(20..200))).await;
        }
        endings.push((id, ending));
    }
    endings
}
