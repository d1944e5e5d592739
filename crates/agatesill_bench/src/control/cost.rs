//! What control costs a daemon: processor time, memory and store calls, by daemons and workers.

use std::time::Duration;

use agatesill_standin::workers::{WorkersStandin, start_workers};
use agatesill_wire::prelude::*;

use super::Measured;
use super::rig::{Fleet, floor};
use crate::wire::process::resident_kb;

const DAEMONS: [usize; 3] = [3, 8, 16];
const WORKERS: [usize; 3] = [50, 500, 2_000];
const WORKERS_PER_CELL: usize = 50;

/// Time for cells to be taken before anything is counted.
const SETTLE: Duration = Duration::from_secs(6);

const COUNT_FOR: Duration = Duration::from_secs(8);

/// Processor time of a process is given in hundredths of a second.
const TICKS_PER_S: f64 = 100.0;

/// Sizes of today.
const TODAY: (usize, usize) = (8, 50);

struct Cost {
    cpu_percent: f64,
    memory_mb: f64,
    writes_per_s: f64,
    reads_per_s: f64,
}

/// Counts at every size.
pub async fn measure() -> Result<Measured, Error> {
    let mut measured = Measured::default();
    for daemons in DAEMONS {
        for workers in WORKERS {
            let cost = count(daemons, workers).await?;
            let at = format!("{daemons:02}x{workers:04}");
            measured.figure(format!("{at}_cpu_percent"), cost.cpu_percent);
            measured.figure(format!("{at}_memory_mb"), cost.memory_mb);
            measured.figure(format!("{at}_store_writes_per_s"), cost.writes_per_s);
            measured.figure(format!("{at}_store_reads_per_s"), cost.reads_per_s);
            if (daemons, workers) == TODAY {
                measured.at_most("today_cpu_percent", cost.cpu_percent, 1.0);
                measured.at_most("today_memory_mb", cost.memory_mb, 128.0);
                measured.at_most("today_store_writes_per_s", cost.writes_per_s, 100.0);
                measured.at_most("today_store_reads_per_s", cost.reads_per_s, 200.0);
            }
        }
    }
    Ok(measured)
}

/// The dearest daemon's processor time and memory, and the store's calls from all.
async fn count(daemons: usize, workers: usize) -> Result<Cost, Error> {
    let (cells, specs) = floor(workers.div_ceil(WORKERS_PER_CELL), workers);
    let standin = WorkersStandin::new(&specs);
    let stop = tokio_util::sync::CancellationToken::new();
    let loopback = (std::net::Ipv4Addr::LOCALHOST, 0).into();
    let addr = start_workers(&standin, loopback, &stop).await?;
    let fleet = Fleet::start(daemons, |settings| {
        settings.cells = cells(addr);
        settings.store.lease_ms = 5_000;
        settings.store.renew_ms = 1_000;
        settings.peers.heartbeat_ms = 200;
        settings.peers.suspect_ms = 2_000;
    })
    .await?;
    tokio::time::sleep(SETTLE).await;
    let (books, ticks) = (fleet.rig.store.audit(), all_ticks(&fleet));
    tokio::time::sleep(COUNT_FOR).await;
    let (books_after, ticks_after) = (fleet.rig.store.audit(), all_ticks(&fleet));
    let seconds = COUNT_FOR.as_secs_f64();
    let most_ticks = ticks_after.iter().zip(&ticks).map(|(after, before)| after - before).max();
    let most_kb = fleet.daemons.iter().map(|daemon| resident_kb(daemon.id())).max();
    stop.cancel();
    Ok(Cost {
        cpu_percent: most_ticks.unwrap_or(0) as f64 / TICKS_PER_S / seconds * 100.0,
        memory_mb: most_kb.unwrap_or(0) as f64 / 1_024.0,
        writes_per_s: (books_after.writes - books.writes) as f64 / seconds,
        reads_per_s: (books_after.reads - books.reads) as f64 / seconds,
    })
}

fn all_ticks(fleet: &Fleet) -> Vec<u64> {
    fleet.daemons.iter().map(|daemon| ticks(daemon.id())).collect()
}

/// Processor time of a process so far: fields 14 and 15 of its line, after the name in brackets.
fn ticks(process: u32) -> u64 {
    let line = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap_or_default();
    let after_name = line.rsplit(')').next().unwrap_or_default();
    let fields = after_name.split_whitespace().skip(11).take(2);
    fields.filter_map(|field| field.parse::<u64>().ok()).sum()
}
