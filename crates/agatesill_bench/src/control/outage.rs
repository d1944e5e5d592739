//! Requests, changes and a replaced daemon through an outage of the store.
//!
//! Ten minutes are compressed to one: leases, renewals and heartbeats of the daemons here are a
//! fifth to a quarter of the usual, and every pause of the store client is below two seconds.

use std::time::{Duration, Instant};

use agatesill_standin::store::{StoreAudit, StoreFaults};
use agatesill_wire::prelude::*;

use super::Measured;
use super::rig::{Fleet, weight};
use crate::wire::load::drive;

const DAEMONS: usize = 4;
const CONNECTIONS: usize = 16;
const REQUESTS_PER_S: u64 = 400;
const STEADY: Duration = Duration::from_secs(10);
const OUTAGE: Duration = Duration::from_secs(60);
const AFTER: Duration = Duration::from_secs(10);

/// Pause between two refused changes.
const TRY_EVERY: Duration = Duration::from_secs(2);

/// What happened besides the requests.
struct Control {
    steady_per_s: f64,
    after_per_s: f64,
    worst_second: f64,
    restarted_after_ms: f64,
    tried: u64,
    refused_as_such: u64,
}

/// Runs the outage.
pub async fn measure() -> Result<Measured, Error> {
    let mut fleet = Fleet::start(DAEMONS, |_| {}).await?;
    // The daemon that is replaced serves no callers here, so that its going is not judged.
    let targets: Vec<_> =
        fleet.rig.settings.iter().skip(1).map(|settings| settings.entry.addr).collect();
    let time = STEADY + OUTAGE + AFTER + Duration::from_secs(2);
    let requests = drive(&targets, CONNECTIONS, Some(REQUESTS_PER_S), time);
    let (load, control) = tokio::join!(requests, control(&mut fleet));
    let control = control?;
    let mut measured = Measured::default();
    measured.figure("requests_answered", load.answered as f64);
    measured.figure("answer_p99_ms", load.times_us.value_at_quantile(0.99) as f64 / 1e3);
    measured.figure("store_calls_steady_per_s", control.steady_per_s);
    measured.figure("store_calls_after_per_s", control.after_per_s);
    measured.figure("store_calls_worst_second", control.worst_second);
    measured.figure("changes_tried_in_outage", control.tried as f64);
    measured.figure("newest_served_after_restart_ms", control.restarted_after_ms);
    measured.at_most("requests_failed", load.failed as f64, 0.0);
    let wrong = control.tried - control.refused_as_such;
    measured.at_most("changes_not_refused_as_such", wrong as f64, 0.0);
    let ratio = control.after_per_s / control.steady_per_s;
    measured.at_most("calls_after_to_steady", ratio, 2.0);
    measured.at_most("newest_served_after_restart_ms", control.restarted_after_ms, 5_000.0);
    Ok(measured)
}

async fn control(fleet: &mut Fleet) -> Result<Control, Error> {
    let version = fleet.change(1, &weight("before", "outage", 7)).await?.version;
    fleet.in_force(version).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let steady_per_s = rate(fleet, STEADY).await.0;
    fleet.faults(StoreFaults { outage: true, ..StoreFaults::default() });
    let began = Instant::now();
    fleet.replace(0)?;
    let started = Instant::now();
    fleet.in_force_at(0, version).await?;
    let restarted_after_ms = started.elapsed().as_secs_f64() * 1e3;
    let (mut tried, mut refused_as_such) = (0, 0);
    while began.elapsed() < OUTAGE {
        let outcome = fleet.change(1, &weight(&format!("refused-{tried}"), "outage", 9)).await;
        tried += 1;
        let is_said = outcome.is_err_and(|error| error.kind == ErrorKind::StoreUnavailable);
        refused_as_such += u64::from(is_said);
        tokio::time::sleep(TRY_EVERY).await;
    }
    fleet.well();
    let (after_per_s, worst_second) = rate(fleet, AFTER).await;
    let made = fleet.change(1, &weight("after", "outage", 8)).await?;
    fleet.in_force(made.version).await?;
    if made.version != version + 1 {
        return Err(Error::new(ErrorKind::Protocol, "a refused change took effect"));
    }
    Ok(Control {
        steady_per_s,
        after_per_s,
        worst_second,
        restarted_after_ms,
        tried,
        refused_as_such,
    })
}

/// Store calls a second over `time`, and in its worst second.
async fn rate(fleet: &Fleet, time: Duration) -> (f64, f64) {
    let calls = |books: StoreAudit| books.writes + books.reads;
    let first = calls(fleet.rig.store.audit());
    let (mut last, mut worst) = (first, 0);
    let seconds = time.as_secs();
    for _ in 0..seconds {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let now = calls(fleet.rig.store.audit());
        worst = worst.max(now - last);
        last = now;
    }
    ((last - first) as f64 / seconds as f64, worst as f64)
}
