//! Time that cells are without an owner after theirs is killed, paused or drained.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use agatesill_standin::workers::{WorkersStandin, start_workers};
use agatesill_wire::prelude::*;
use hyper::Method;

use super::Measurement;
use super::daemons::{DaemonGroup, cells_of_equal_size};

const DAEMONS: usize = 3;
const CELLS: usize = 6;
const WORKERS: usize = 24;
const LEASE_DURATION: Duration = Duration::from_millis(1_000);

/// Repetitions of each fault.
const ROUNDS: usize = 5;

/// Timeout until all cells have an owner.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(30);

/// Wait between two faults for the cells to be distributed evenly again.
const REBALANCE_TIME: Duration = Duration::from_secs(4);

/// Applies the faults one after another.
pub async fn measure() -> Result<Measurement, Error> {
    let (cells, specs) = cells_of_equal_size(CELLS, WORKERS);
    let workers = WorkersStandin::new(&specs);
    let stop = tokio_util::sync::CancellationToken::new();
    let loopback = (std::net::Ipv4Addr::LOCALHOST, 0).into();
    let addr = start_workers(&workers, loopback, &stop).await?;
    let mut group = DaemonGroup::start(DAEMONS, |settings| {
        settings.cells = cells(addr);
    })
    .await?;
    all_owned(&group, None).await?;
    let (mut killed, mut paused, mut planned) = (0.0_f64, 0.0_f64, 0.0_f64);
    for _ in 0..ROUNDS {
        killed = killed.max(kill(&mut group).await?);
        paused = paused.max(pause(&group).await?);
        planned = planned.max(drain(&mut group).await?);
    }
    stop.cancel();
    let mut measurement = Measurement::default();
    measurement.figure("takeover_after_kill_worst_ms", killed);
    measurement.figure("takeover_after_pause_worst_ms", paused);
    measurement.figure("planned_hand_over_worst_ms", planned);
    let two_leases_ms = 2.0 * LEASE_DURATION.as_millis() as f64;
    measurement.at_most("takeover_after_kill_worst_ms", killed, two_leases_ms);
    measurement.at_most("takeover_after_pause_worst_ms", paused, two_leases_ms);
    measurement.at_most("planned_hand_over_worst_ms", planned, 1_000.0);
    Ok(measurement)
}

async fn kill(group: &mut DaemonGroup) -> Result<f64, Error> {
    let owner = largest_owner(group).await;
    let started = Instant::now();
    group.daemons[owner].kill();
    all_owned(group, Some(owner)).await?;
    let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
    group.replace(owner)?;
    group.harness.ready(&group.harness.settings[owner]).await?;
    tokio::time::sleep(REBALANCE_TIME).await;
    Ok(elapsed_ms)
}

async fn pause(group: &DaemonGroup) -> Result<f64, Error> {
    let owner = largest_owner(group).await;
    let started = Instant::now();
    group.daemons[owner].pause();
    let outcome = all_owned(group, Some(owner)).await;
    let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
    tokio::time::sleep((3 * LEASE_DURATION).saturating_sub(started.elapsed())).await;
    group.daemons[owner].resume();
    outcome?;
    tokio::time::sleep(REBALANCE_TIME).await;
    Ok(elapsed_ms)
}

async fn drain(group: &mut DaemonGroup) -> Result<f64, Error> {
    let owner = largest_owner(group).await;
    let addr = group.harness.settings[owner].admin.addr;
    let timeout = Duration::from_secs(5);
    let started = Instant::now();
    let drained: Result<String, Error> =
        group.client.call(Method::POST, addr, "/v1/drain", &(), timeout).await;
    drained?;
    all_owned(group, Some(owner)).await?;
    let elapsed_ms = started.elapsed().as_secs_f64() * 1e3;
    tokio::time::sleep(REBALANCE_TIME).await;
    group.replace(owner)?;
    group.harness.ready(&group.harness.settings[owner]).await?;
    tokio::time::sleep(REBALANCE_TIME).await;
    Ok(elapsed_ms)
}

/// Index of the daemon that owns the most cells.
async fn largest_owner(group: &DaemonGroup) -> usize {
    let mut largest = (0, 0);
    for nth in 0..DAEMONS {
        let owned = group.status(nth).await.map_or(0, |status| status.cells.len());
        largest = largest.max((owned, nth));
    }
    largest.1
}

/// Waits until every cell has an owner that has replayed its log, apart from `except`.
async fn all_owned(group: &DaemonGroup, except: Option<usize>) -> Result<(), Error> {
    let started = Instant::now();
    let mut owners: BTreeMap<String, usize> = BTreeMap::new();
    while started.elapsed() < TAKEOVER_TIMEOUT {
        owners.clear();
        for nth in (0..DAEMONS).filter(|nth| Some(*nth) != except) {
            if let Ok(status) = group.status(nth).await {
                owners.extend(status.cells.into_iter().map(|cell| (cell.name, nth)));
            }
        }
        if owners.len() == CELLS {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let message = format!("{} of {CELLS} cells have an owner", owners.len());
    Err(Error::new(ErrorKind::Unreachable, message))
}
