//! How long cells are without an owner when theirs is killed, paused or stopped as planned.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use agatesill_standin::workers::{WorkersStandin, start_workers};
use agatesill_wire::prelude::*;
use hyper::Method;

use super::Measured;
use super::rig::{Fleet, floor};

const DAEMONS: usize = 3;
const CELLS: usize = 6;
const WORKERS: usize = 24;
const LEASE: Duration = Duration::from_millis(1_000);

/// Times each fault is brought about.
const ROUNDS: usize = 5;

/// Longest wait for all cells to have an owner.
const TAKEOVER_LIMIT: Duration = Duration::from_secs(30);

/// Calm between two faults, so that cells are spread again.
const CALM: Duration = Duration::from_secs(4);

/// Runs the faults in turn.
pub async fn measure() -> Result<Measured, Error> {
    let (cells, specs) = floor(CELLS, WORKERS);
    let workers = WorkersStandin::new(&specs);
    let stop = tokio_util::sync::CancellationToken::new();
    let loopback = (std::net::Ipv4Addr::LOCALHOST, 0).into();
    let addr = start_workers(&workers, loopback, &stop).await?;
    let mut fleet = Fleet::start(DAEMONS, |settings| {
        settings.cells = cells(addr);
    })
    .await?;
    all_owned(&fleet, None).await?;
    let (mut killed, mut paused, mut planned) = (0.0_f64, 0.0_f64, 0.0_f64);
    for _ in 0..ROUNDS {
        killed = killed.max(kill(&mut fleet).await?);
        paused = paused.max(pause(&fleet).await?);
        planned = planned.max(drain(&mut fleet).await?);
    }
    stop.cancel();
    let mut measured = Measured::default();
    measured.figure("takeover_after_kill_worst_ms", killed);
    measured.figure("takeover_after_pause_worst_ms", paused);
    measured.figure("planned_hand_over_worst_ms", planned);
    let two_leases_ms = 2.0 * LEASE.as_millis() as f64;
    measured.at_most("takeover_after_kill_worst_ms", killed, two_leases_ms);
    measured.at_most("takeover_after_pause_worst_ms", paused, two_leases_ms);
    measured.at_most("planned_hand_over_worst_ms", planned, 1_000.0);
    Ok(measured)
}

async fn kill(fleet: &mut Fleet) -> Result<f64, Error> {
    let victim = busiest(fleet).await;
    let began = Instant::now();
    fleet.daemons[victim].kill();
    all_owned(fleet, Some(victim)).await?;
    let took_ms = began.elapsed().as_secs_f64() * 1e3;
    fleet.replace(victim)?;
    fleet.rig.ready(&fleet.rig.settings[victim]).await?;
    tokio::time::sleep(CALM).await;
    Ok(took_ms)
}

async fn pause(fleet: &Fleet) -> Result<f64, Error> {
    let victim = busiest(fleet).await;
    let began = Instant::now();
    fleet.daemons[victim].pause();
    let outcome = all_owned(fleet, Some(victim)).await;
    let took_ms = began.elapsed().as_secs_f64() * 1e3;
    tokio::time::sleep((3 * LEASE).saturating_sub(began.elapsed())).await;
    fleet.daemons[victim].resume();
    outcome?;
    tokio::time::sleep(CALM).await;
    Ok(took_ms)
}

async fn drain(fleet: &mut Fleet) -> Result<f64, Error> {
    let victim = busiest(fleet).await;
    let addr = fleet.rig.settings[victim].admin.addr;
    let limit = Duration::from_secs(5);
    let began = Instant::now();
    let drained: Result<String, Error> =
        fleet.client.call(Method::POST, addr, "/v1/drain", &(), limit).await;
    drained?;
    all_owned(fleet, Some(victim)).await?;
    let took_ms = began.elapsed().as_secs_f64() * 1e3;
    tokio::time::sleep(CALM).await;
    fleet.replace(victim)?;
    fleet.rig.ready(&fleet.rig.settings[victim]).await?;
    tokio::time::sleep(CALM).await;
    Ok(took_ms)
}

/// The daemon that owns most cells.
async fn busiest(fleet: &Fleet) -> usize {
    let mut most = (0, 0);
    for nth in 0..DAEMONS {
        let owned = fleet.status(nth).await.map_or(0, |status| status.cells.len());
        most = most.max((owned, nth));
    }
    most.1
}

/// Waits until every cell has an owner that has replayed its log, apart from `except`.
async fn all_owned(fleet: &Fleet, except: Option<usize>) -> Result<(), Error> {
    let began = Instant::now();
    let mut owners: BTreeMap<String, usize> = BTreeMap::new();
    while began.elapsed() < TAKEOVER_LIMIT {
        owners.clear();
        for nth in (0..DAEMONS).filter(|nth| Some(*nth) != except) {
            if let Ok(status) = fleet.status(nth).await {
                owners.extend(status.cells.into_iter().map(|cell| (cell.name, nth)));
            }
        }
        if owners.len() == CELLS {
            return Ok(());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let what = format!("{} of {CELLS} cells have an owner", owners.len());
    Err(Error::new(ErrorKind::Unreachable, what))
}
