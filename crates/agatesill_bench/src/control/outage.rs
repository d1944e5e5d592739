//! Requests, changes and the replacement of a daemon during an outage of the store.
//!
//! An outage of ten minutes is compressed to one: leases, renewals and heartbeats of these daemons
//! are a fifth to a quarter of the defaults, and every back-off of the store client is below two
//! seconds.

use std::time::{Duration, Instant};

use agatesill_standin::store::{StoreAudit, StoreFaults};
use agatesill_wire::prelude::*;

use super::Measurement;
use super::daemons::{DaemonGroup, weight};
use crate::wire::load::run_load;

const DAEMONS: usize = 4;
const CONNECTIONS: usize = 16;
const REQUESTS_PER_S: u64 = 400;
const STEADY_TIME: Duration = Duration::from_secs(10);
const OUTAGE_TIME: Duration = Duration::from_secs(60);
const RECOVERY_TIME: Duration = Duration::from_secs(10);

/// Interval between two changes during the outage.
const CHANGE_INTERVAL: Duration = Duration::from_secs(2);

/// Measurements of the control plane.
struct Control {
    steady_per_s: f64,
    after_per_s: f64,
    max_calls_per_s: f64,
    restarted_after_ms: f64,
    attempted: u64,
    refused_as_unavailable: u64,
}

/// Runs the scenario.
pub async fn measure() -> Result<Measurement, Error> {
    let mut group = DaemonGroup::start(DAEMONS, |_| {}).await?;
    // The daemon that is replaced serves no callers, so that its restart fails no request.
    let targets: Vec<_> =
        group.harness.settings.iter().skip(1).map(|settings| settings.entry.addr).collect();
    let time = STEADY_TIME + OUTAGE_TIME + RECOVERY_TIME + Duration::from_secs(2);
    let requests = run_load(&targets, CONNECTIONS, Some(REQUESTS_PER_S), time);
    let (load, control) = tokio::join!(requests, control(&mut group));
    let control = control?;
    let mut measurement = Measurement::default();
    measurement.figure("requests_answered", load.answered as f64);
    measurement.figure("answer_p99_ms", load.times_us.value_at_quantile(0.99) as f64 / 1e3);
    measurement.figure("store_calls_steady_per_s", control.steady_per_s);
    measurement.figure("store_calls_after_per_s", control.after_per_s);
    measurement.figure("store_calls_worst_second", control.max_calls_per_s);
    measurement.figure("changes_tried_in_outage", control.attempted as f64);
    measurement.figure("newest_served_after_restart_ms", control.restarted_after_ms);
    measurement.at_most("requests_failed", load.failed as f64, 0.0);
    let wrong = control.attempted - control.refused_as_unavailable;
    measurement.at_most("changes_not_refused_as_such", wrong as f64, 0.0);
    let ratio = control.after_per_s / control.steady_per_s;
    measurement.at_most("calls_after_to_steady", ratio, 2.0);
    measurement.at_most("newest_served_after_restart_ms", control.restarted_after_ms, 5_000.0);
    Ok(measurement)
}

async fn control(group: &mut DaemonGroup) -> Result<Control, Error> {
    let version = group.change(1, &weight("before", "outage", 7)).await?.version;
    group.wait_active(version).await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let steady_per_s = rate(group, STEADY_TIME).await.0;
    group.faults(StoreFaults { outage: true, ..StoreFaults::default() });
    let outage_started = Instant::now();
    group.replace(0)?;
    let started = Instant::now();
    group.wait_active_at(0, version).await?;
    let restarted_after_ms = started.elapsed().as_secs_f64() * 1e3;
    let (mut attempted, mut refused_as_unavailable) = (0, 0);
    while outage_started.elapsed() < OUTAGE_TIME {
        let outcome = group.change(1, &weight(&format!("refused-{attempted}"), "outage", 9)).await;
        attempted += 1;
        let is_unavailable = outcome.is_err_and(|error| error.kind == ErrorKind::StoreUnavailable);
        refused_as_unavailable += u64::from(is_unavailable);
        tokio::time::sleep(CHANGE_INTERVAL).await;
    }
    group.clear_faults();
    let (after_per_s, max_calls_per_s) = rate(group, RECOVERY_TIME).await;
    let changed = group.change(1, &weight("after", "outage", 8)).await?;
    group.wait_active(changed.version).await?;
    if changed.version != version + 1 {
        return Err(Error::new(
            ErrorKind::Protocol,
            "a change refused during the outage took effect",
        ));
    }
    Ok(Control {
        steady_per_s,
        after_per_s,
        max_calls_per_s,
        restarted_after_ms,
        attempted,
        refused_as_unavailable,
    })
}

/// Mean store calls a second over `time`, and the calls in its busiest second.
async fn rate(group: &DaemonGroup, time: Duration) -> (f64, f64) {
    let calls = |audit: StoreAudit| audit.writes + audit.reads;
    let first = calls(group.harness.store.audit());
    let (mut last, mut worst) = (first, 0);
    let seconds = time.as_secs();
    for _ in 0..seconds {
        tokio::time::sleep(Duration::from_secs(1)).await;
        let now = calls(group.harness.store.audit());
        worst = worst.max(now - last);
        last = now;
    }
    ((last - first) as f64 / seconds as f64, worst as f64)
}
