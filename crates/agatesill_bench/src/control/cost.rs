//! Processor time, memory and store calls of the control plane, by number of daemons and workers.

use std::time::Duration;

use agatesill_standin::workers::{WorkersStandin, start_workers};
use agatesill_wire::prelude::*;

use super::Measurement;
use super::daemons::{DaemonGroup, cells_of_equal_size};
use crate::wire::process::resident_kb;

const DAEMONS: [usize; 3] = [3, 8, 16];
const WORKERS: [usize; 3] = [50, 500, 2_000];
const WORKERS_PER_CELL: usize = 50;

/// Time for the daemons to take over all cells before counting starts.
const SETTLE_TIME: Duration = Duration::from_secs(6);

const MEASURE_TIME: Duration = Duration::from_secs(8);

/// Unit of the processor time in `/proc`.
const CLOCK_TICKS_PER_S: f64 = 100.0;

/// Daemons and workers of the current deployments, for which the bounds hold.
const CURRENT_SIZE: (usize, usize) = (8, 50);

struct Cost {
    cpu_percent: f64,
    memory_mb: f64,
    writes_per_s: f64,
    reads_per_s: f64,
}

/// Measures every combination of daemons and workers.
pub async fn measure() -> Result<Measurement, Error> {
    let mut measurement = Measurement::default();
    for daemons in DAEMONS {
        for workers in WORKERS {
            let cost = count(daemons, workers).await?;
            let at = format!("{daemons:02}x{workers:04}");
            measurement.figure(format!("{at}_cpu_percent"), cost.cpu_percent);
            measurement.figure(format!("{at}_memory_mb"), cost.memory_mb);
            measurement.figure(format!("{at}_store_writes_per_s"), cost.writes_per_s);
            measurement.figure(format!("{at}_store_reads_per_s"), cost.reads_per_s);
            if (daemons, workers) == CURRENT_SIZE {
                measurement.at_most("today_cpu_percent", cost.cpu_percent, 1.0);
                measurement.at_most("today_memory_mb", cost.memory_mb, 128.0);
                measurement.at_most("today_store_writes_per_s", cost.writes_per_s, 100.0);
                measurement.at_most("today_store_reads_per_s", cost.reads_per_s, 200.0);
            }
        }
    }
    Ok(measurement)
}

/// Highest processor time and memory of any daemon, and the store calls of all daemons together.
async fn count(daemons: usize, workers: usize) -> Result<Cost, Error> {
    let (cells, specs) = cells_of_equal_size(workers.div_ceil(WORKERS_PER_CELL), workers);
    let standin = WorkersStandin::new(&specs);
    let stop = tokio_util::sync::CancellationToken::new();
    let loopback = (std::net::Ipv4Addr::LOCALHOST, 0).into();
    let addr = start_workers(&standin, loopback, &stop).await?;
    let group = DaemonGroup::start(daemons, |settings| {
        settings.cells = cells(addr);
        settings.store.lease_ms = 5_000;
        settings.store.renew_ms = 1_000;
        settings.peers.heartbeat_ms = 200;
        settings.peers.suspect_ms = 2_000;
    })
    .await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let (audit, cpu_ticks) = (group.harness.store.audit(), all_cpu_ticks(&group));
    tokio::time::sleep(MEASURE_TIME).await;
    let (audit_after, ticks_after) = (group.harness.store.audit(), all_cpu_ticks(&group));
    let seconds = MEASURE_TIME.as_secs_f64();
    let max_ticks = ticks_after.iter().zip(&cpu_ticks).map(|(after, before)| after - before).max();
    let max_kb = group.daemons.iter().map(|daemon| resident_kb(daemon.id())).max();
    stop.cancel();
    Ok(Cost {
        cpu_percent: max_ticks.unwrap_or(0) as f64 / CLOCK_TICKS_PER_S / seconds * 100.0,
        memory_mb: max_kb.unwrap_or(0) as f64 / 1_024.0,
        writes_per_s: (audit_after.writes - audit.writes) as f64 / seconds,
        reads_per_s: (audit_after.reads - audit.reads) as f64 / seconds,
    })
}

fn all_cpu_ticks(group: &DaemonGroup) -> Vec<u64> {
    group.daemons.iter().map(|daemon| cpu_ticks(daemon.id())).collect()
}

/// Processor time of a process in clock ticks: fields 14 and 15 of `/proc/PID/stat`, counted from
/// the end of the name, which may contain spaces.
fn cpu_ticks(process: u32) -> u64 {
    let line = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after_name = line.rsplit(')').next().unwrap_or_default();
    let fields = after_name.split_whitespace().skip(11).take(2);
    fields.filter_map(|field| field.parse::<u64>().ok()).sum()
}
