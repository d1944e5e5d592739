//! Command-line entry point of the stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use agatesill_policy::prelude::WorkerSpec;
use agatesill_standin::demo::{DemoOptions, DemoReport};
use agatesill_standin::store::{StoreStandin, start_store};
use agatesill_standin::upstreams::{UpstreamFaults, UpstreamStandin, start_upstream};
use agatesill_standin::workers::{WorkersStandin, start_workers};
use agatesill_standin::{cli, demo};
use agatesill_wire::prelude::*;
use agatesilld::prelude::Settings;
use clap::ArgMatches;
use tokio_util::sync::CancellationToken;

#[tokio::main]
async fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let outcome = match matches.subcommand() {
        Some(("store", args)) => store(args).await,
        Some(("workers", args)) => workers(args).await,
        Some(("upstreams", args)) => upstreams(args).await,
        Some(("demo", args)) => run_demo(args).await,
        _ => Ok(ExitCode::from(2)),
    };
    outcome.unwrap_or_else(|error| {
        eprintln!("agatesill-standin: {error}");
        ExitCode::from(error.kind.row().exit_code)
    })
}

async fn store(args: &ArgMatches) -> Result<ExitCode, Error> {
    let stop = CancellationToken::new();
    if let Some(addr) = args.get_one::<SocketAddr>("addr") {
        start_store(&StoreStandin::default(), *addr, &stop).await?;
    }
    wait_for_signal(stop).await
}

async fn workers(args: &ArgMatches) -> Result<ExitCode, Error> {
    let settings = settings(args)?;
    let stop = CancellationToken::new();
    let mut addrs: Vec<SocketAddr> = settings.cells.values().map(|cell| cell.addr).collect();
    addrs.sort();
    addrs.dedup();
    for addr in addrs {
        let specs: Vec<WorkerSpec> = settings
            .cells
            .values()
            .filter(|cell| cell.addr == addr)
            .flat_map(|cell| cell.workers.iter().cloned())
            .collect();
        start_workers(&WorkersStandin::new(&specs), addr, &stop).await?;
    }
    wait_for_signal(stop).await
}

async fn upstreams(args: &ArgMatches) -> Result<ExitCode, Error> {
    let settings = settings(args)?;
    let stop = CancellationToken::new();
    for upstream in settings.pools.values().flatten() {
        let standin = UpstreamStandin::new(upstream.slots as usize, UpstreamFaults::default());
        start_upstream(&standin, upstream.addr, &stop).await?;
    }
    wait_for_signal(stop).await
}

async fn run_demo(args: &ArgMatches) -> Result<ExitCode, Error> {
    let options = DemoOptions {
        examples: args.get_one::<PathBuf>("examples").cloned().unwrap_or_default(),
        break_double_run: args.get_one::<String>("break").is_some(),
    };
    let report = demo::run(&options).await?;
    if args.get_flag("json") {
        println!("{}", serde_json::to_string_pretty(&report).unwrap_or_default());
    } else {
        print_report(&report);
    }
    Ok(if report.is_success() { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}

fn print_report(report: &DemoReport) {
    for service in &report.services {
        println!(
            "{}: {} of {} answered, p50 {:.1} ms, p99 {:.1} ms, latency objective {} ms: {}",
            service.name,
            service.answered,
            service.requests,
            service.p50_ms,
            service.p99_ms,
            service.promise_ms,
            if service.held { "held" } else { "BROKEN" }
        );
    }
    let batch = &report.batch;
    println!("batch: {} of {} jobs finished, {} late", batch.finished, batch.jobs, batch.late);
    println!("invariants (all must be 0): {:?}", report.invariants);
    println!(
        "configuration: {} changes, slowest active in all daemons after {} ms",
        report.config.changes, report.config.slowest_in_force_ms
    );
}

fn settings(args: &ArgMatches) -> Result<Settings, Error> {
    let path = args.get_one::<PathBuf>("config").cloned().unwrap_or_default();
    agatesilld::settings::read(&path)
        .map_err(|error| Error::new(ErrorKind::Settings, error.to_string()))
}

async fn wait_for_signal(stop: CancellationToken) -> Result<ExitCode, Error> {
    let _ = tokio::signal::ctrl_c().await;
    stop.cancel();
    Ok(ExitCode::SUCCESS)
}
