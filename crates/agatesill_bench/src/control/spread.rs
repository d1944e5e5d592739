//! Time from the acceptance of a configuration change until it is active in every daemon.

use std::time::{Duration, Instant};

use agatesill_standin::store::StoreFaults;
use agatesill_wire::prelude::*;

use super::Measurement;
use super::daemons::{DaemonGroup, STORE_DELAY_MS, weight};

const DAEMONS: usize = 8;
const CHANGES: usize = 200;
const CHANGES_UNDER_FAULTS: usize = 40;

/// Timeout until the store accepts changes again after an outage.
const ACCEPT_TIMEOUT: Duration = Duration::from_secs(10);

/// Fault during a change.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Variant {
    Well,
    BrokenWatches,
    OutageAfterAcceptance,
}

/// Measures the three variants.
pub async fn measure() -> Result<Measurement, Error> {
    let group = DaemonGroup::start(DAEMONS, |_| {}).await?;
    let without_faults = times(&group, Variant::Well, CHANGES).await?;
    let broken = times(&group, Variant::BrokenWatches, CHANGES_UNDER_FAULTS).await?;
    let outage = times(&group, Variant::OutageAfterAcceptance, CHANGES_UNDER_FAULTS).await?;
    let mut measurement = Measurement::default();
    for (name, times) in
        [("well", &without_faults), ("broken_watches", &broken), ("outage", &outage)]
    {
        measurement.figure(format!("{name}_p50_ms"), times[times.len() / 2]);
        measurement.figure(format!("{name}_p99_ms"), p99(times));
        measurement.figure(format!("{name}_worst_ms"), times[times.len() - 1]);
    }
    measurement.figure("well_p99_to_store_latency", p99(&without_faults) / STORE_DELAY_MS as f64);
    measurement.at_most("in_force_p99_ms", p99(&without_faults), 1_000.0);
    measurement.at_most("broken_watches_worst_ms", broken[broken.len() - 1], 5_000.0);
    measurement.at_most("outage_after_acceptance_worst_ms", outage[outage.len() - 1], 5_000.0);
    Ok(measurement)
}

/// Times from acceptance until active in all daemons, in milliseconds and ascending.
async fn times(group: &DaemonGroup, variant: Variant, changes: usize) -> Result<Vec<f64>, Error> {
    let mut times = Vec::new();
    let usual =
        StoreFaults { break_watches: variant == Variant::BrokenWatches, ..StoreFaults::default() };
    group.faults(usual.clone());
    for nth in 0..changes {
        let change = weight(&format!("{variant:?}-{nth}"), "spread", nth as u32 + 1);
        let version = accepted(group, nth % DAEMONS, &change).await?;
        let accepted = Instant::now();
        if variant == Variant::OutageAfterAcceptance {
            group.faults(StoreFaults { outage: true, ..usual.clone() });
        }
        group.wait_active(version).await?;
        times.push(accepted.elapsed().as_secs_f64() * 1e3);
        group.faults(usual.clone());
    }
    times.sort_by(f64::total_cmp);
    Ok(times)
}

async fn accepted(
    group: &DaemonGroup,
    nth: usize,
    change: &agatesill_wire::api::ConfigChange,
) -> Result<u64, Error> {
    let started = Instant::now();
    loop {
        match group.change(nth, change).await {
            Ok(changed) => return Ok(changed.version),
            Err(error) if started.elapsed() > ACCEPT_TIMEOUT => return Err(error),
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

fn p99(times: &[f64]) -> f64 {
    times[(times.len() * 99).div_ceil(100) - 1]
}
