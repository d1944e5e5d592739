//! Measurements of the request path with a real daemon process on loopback.
//!
//! One daemon with two relay threads and a decision log in a file relays between a load generator
//! and 50 upstreams of 8 slots that answer immediately. Generator and upstreams run in this
//! process, on separate threads. All ratios and differences come from one run: the same generator
//! calls the upstreams directly first and through the daemon afterwards. `AGATESILL_WIRE_SECONDS`
//! sets the length of the last phase, in which the generator sends as fast as it can; the default
//! is short.

pub(crate) mod load;
pub(crate) mod process;

use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use agatesill_standin::harness::{DaemonProcess, Harness, HarnessSizes};
use agatesill_wire::prelude::*;
use agatesilld::prelude::Settings;
use hdrhistogram::Histogram;

use crate::result::{Check, PolicyResult, SeedResult};
use crate::scenario::{Kind, Scenario};
use load::{Load, run_load};
use process::{count_lines, metric, resident_kb};

/// The scenarios of this module.
pub const SCENARIOS: &[Scenario] = &[Scenario {
    name: "wire",
    pattern: "reads at half load directly and through one real daemon, then at its maximum rate",
    bounds: "added p50 <= 0.3 ms and p99 <= 2 ms; >= 15000 requests/s; no log line lost; flat memory",
    kind: Kind::Real(run),
}];

/// Requests a second that one daemon must sustain.
const REQUIRED_PER_S: u64 = 15_000;

/// Connections of the load generator.
const CONNECTIONS: usize = 64;

/// Length of each phase at half load.
const HALF_LOAD_TIME: Duration = Duration::from_secs(5);

/// Default length of the phase at full load in seconds.
const FULL_LOAD_S: u64 = 15;

/// Divisor of the full-load phase: memory is first read after a third of it, when pools are filled.
const SETTLED_DIVISOR: u32 = 3;

/// Relative memory growth that counts as flat, to allow for noise of the allocator.
const MAX_MEMORY_GROWTH: f64 = 0.05;

struct Measurement {
    direct: Histogram<u64>,
    relayed: Histogram<u64>,
    full: Load,
    full_s: f64,
    lost_lines: f64,
    route_lines: u64,
    settled_kb: u64,
    final_kb: u64,
    failed: u64,
    answered: u64,
}

fn run(_seed: u64) -> SeedResult {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(6).enable_all().build();
    let measurement = runtime.map_err(Error::from).and_then(|runtime| runtime.block_on(measure()));
    match measurement {
        Ok(measurement) => report(&measurement),
        Err(error) => {
            eprintln!("agatesill-bench: wire: {error}");
            SeedResult { checks: vec![Check::at_most("could_not_run", 1.0, 0.0)], ..<_>::default() }
        }
    }
}

async fn measure() -> Result<Measurement, Error> {
    let folder = std::env::temp_dir().join(format!("agatesill-wire-{}", std::process::id()));
    std::fs::create_dir_all(&folder)?;
    let log = folder.join("daemon.log");
    let sizes = HarnessSizes { daemons: 1, upstreams: 50, slots: 8, service_us: 0 };
    let harness = Harness::start(sizes, |settings: &mut Settings| {
        settings.entry.relay_threads = 2;
        settings.log.level = "info".to_owned();
        settings.log.path = log.display().to_string();
    })
    .await?;
    harness.upstreams.iter().for_each(|upstream| upstream.disable_request_audit());
    let daemon = DaemonProcess::start(&binary()?, &harness.settings[0], &folder)?;
    harness.configure().await?;
    let entry = vec![harness.settings[0].entry.addr];
    let half = Some(REQUIRED_PER_S / 2);
    let warm_up = run_load(&entry, CONNECTIONS, half, Duration::from_secs(1)).await;
    let direct = run_load(&harness.upstream_addrs, CONNECTIONS, half, HALF_LOAD_TIME).await;
    let relayed = run_load(&entry, CONNECTIONS, half, HALF_LOAD_TIME).await;
    let full_load_time = Duration::from_secs(full_load_s());
    let (full, settled_kb) =
        tokio::join!(run_load(&entry, CONNECTIONS, None, full_load_time), async {
            tokio::time::sleep(full_load_time / SETTLED_DIVISOR).await;
            resident_kb(daemon.id())
        });
    let final_kb = resident_kb(daemon.id());
    tokio::time::sleep(Duration::from_millis(500)).await;
    let lost_lines = metric(harness.settings[0].admin.addr, "agatesill_log_lost").await;
    let route_lines = count_lines(&log, "\"event\":\"route\"")?;
    drop(daemon);
    std::fs::remove_dir_all(&folder)?;
    Ok(Measurement {
        failed: relayed.failed + full.failed,
        answered: warm_up.answered + relayed.answered + full.answered,
        direct: direct.times_us,
        relayed: relayed.times_us,
        full,
        full_s: full_load_time.as_secs_f64(),
        lost_lines,
        route_lines,
        settled_kb,
        final_kb,
    })
}

fn full_load_s() -> u64 {
    let set = std::env::var("AGATESILL_WIRE_SECONDS").ok();
    set.and_then(|text| text.parse().ok()).unwrap_or(FULL_LOAD_S)
}

/// Path of the daemon binary, which is in the same folder as this one.
pub fn binary() -> Result<PathBuf, Error> {
    let path = std::env::current_exe()?.with_file_name("agatesilld");
    if path.exists() {
        return Ok(path);
    }
    Err(Error::new(
        ErrorKind::NotFound,
        format!("{} does not exist; run `cargo build -p agatesilld` first", path.display()),
    ))
}

fn report(measurement: &Measurement) -> SeedResult {
    let ms = |times: &Histogram<u64>, share: f64| times.value_at_quantile(share) as f64 / 1e3;
    let added_ms = |share| ms(&measurement.relayed, share) - ms(&measurement.direct, share);
    let per_s = measurement.full.answered as f64 / measurement.full_s;
    let unlogged = measurement.answered.saturating_sub(measurement.route_lines);
    let growth = measurement.final_kb as f64 / measurement.settled_kb.max(1) as f64 - 1.0;
    let figures = [
        ("straight_p50_ms", ms(&measurement.direct, 0.5)),
        ("straight_p99_ms", ms(&measurement.direct, 0.99)),
        ("relayed_p50_ms", ms(&measurement.relayed, 0.5)),
        ("relayed_p99_ms", ms(&measurement.relayed, 0.99)),
        ("full_p50_ms", ms(&measurement.full.times_us, 0.5)),
        ("full_p99_ms", ms(&measurement.full.times_us, 0.99)),
        ("full_per_s", per_s),
        ("full_run_s", measurement.full_s),
        ("route_lines", measurement.route_lines as f64),
        ("resident_mb", measurement.final_kb as f64 / 1024.0),
    ];
    let figures: BTreeMap<String, f64> =
        figures.iter().map(|(name, value)| ((*name).to_owned(), *value)).collect();
    let policy = PolicyResult { policy: "agatesill".to_owned(), figures, series: Vec::new() };
    let checks = vec![
        Check::at_most("added_p50_ms", added_ms(0.5), 0.3),
        Check::at_most("added_p99_ms", added_ms(0.99), 2.0),
        Check::at_most("rated_over_carried", REQUIRED_PER_S as f64 / per_s, 1.0),
        Check::at_most("log_lines_lost", measurement.lost_lines, 0.0),
        Check::at_most("answers_without_route_line", unlogged as f64, 0.0),
        Check::at_most("failed_requests", measurement.failed as f64, 0.0),
        Check::at_most("memory_growth", growth, MAX_MEMORY_GROWTH),
    ];
    SeedResult { seed: 0, policies: vec![policy], checks }
}
