//! How long an accepted change takes until it is in force in every daemon.

use std::time::{Duration, Instant};

use agatesill_standin::store::StoreFaults;
use agatesill_wire::prelude::*;

use super::Measured;
use super::rig::{Fleet, STORE_DELAY_MS, weight};

const DAEMONS: usize = 8;
const CHANGES: usize = 200;
const CHANGES_UNDER_FAULTS: usize = 40;

/// Longest wait for the store to take a change again after an outage.
const RETURN_LIMIT: Duration = Duration::from_secs(10);

/// Which fault a change meets.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Variant {
    Well,
    BrokenWatches,
    OutageAfterAcceptance,
}

/// Runs the three variants.
pub async fn measure() -> Result<Measured, Error> {
    let fleet = Fleet::start(DAEMONS, |_| {}).await?;
    let well = times(&fleet, Variant::Well, CHANGES).await?;
    let broken = times(&fleet, Variant::BrokenWatches, CHANGES_UNDER_FAULTS).await?;
    let outage = times(&fleet, Variant::OutageAfterAcceptance, CHANGES_UNDER_FAULTS).await?;
    let mut measured = Measured::default();
    for (name, times) in [("well", &well), ("broken_watches", &broken), ("outage", &outage)] {
        measured.figure(format!("{name}_p50_ms"), times[times.len() / 2]);
        measured.figure(format!("{name}_p99_ms"), p99(times));
        measured.figure(format!("{name}_worst_ms"), times[times.len() - 1]);
    }
    measured.figure("well_p99_to_store_latency", p99(&well) / STORE_DELAY_MS as f64);
    measured.at_most("in_force_p99_ms", p99(&well), 1_000.0);
    measured.at_most("broken_watches_worst_ms", broken[broken.len() - 1], 5_000.0);
    measured.at_most("outage_after_acceptance_worst_ms", outage[outage.len() - 1], 5_000.0);
    Ok(measured)
}

/// Times from acceptance to in force everywhere, in milliseconds, in order of size.
async fn times(fleet: &Fleet, variant: Variant, changes: usize) -> Result<Vec<f64>, Error> {
    let mut times = Vec::new();
    let usual =
        StoreFaults { break_watches: variant == Variant::BrokenWatches, ..StoreFaults::default() };
    fleet.faults(usual.clone());
    for nth in 0..changes {
        let change = weight(&format!("{variant:?}-{nth}"), "spread", nth as u32 + 1);
        let version = accepted(fleet, nth % DAEMONS, &change).await?;
        let accepted = Instant::now();
        if variant == Variant::OutageAfterAcceptance {
            fleet.faults(StoreFaults { outage: true, ..usual.clone() });
        }
        fleet.in_force(version).await?;
        times.push(accepted.elapsed().as_secs_f64() * 1e3);
        fleet.faults(usual.clone());
    }
    times.sort_by(f64::total_cmp);
    Ok(times)
}

async fn accepted(
    fleet: &Fleet,
    nth: usize,
    change: &agatesill_wire::api::ConfigChange,
) -> Result<u64, Error> {
    let started = Instant::now();
    loop {
        match fleet.change(nth, change).await {
            Ok(made) => return Ok(made.version),
            Err(error) if started.elapsed() > RETURN_LIMIT => return Err(error),
            Err(_) => tokio::time::sleep(Duration::from_millis(50)).await,
        }
    }
}

fn p99(times: &[f64]) -> f64 {
    times[(times.len() * 99).div_ceil(100) - 1]
}
