//! `status`: shows the state of daemons, services and cells.

use std::time::Duration;

use agatesill_wire::prelude::*;
use clap::ArgMatches;

use super::load;
use crate::client::Admin;
use crate::output::{Output, status_cell, table};

/// Refresh interval of `--watch`.
const WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// Maximum percentage of late responses at which a latency target counts as met.
const MAX_LATE_PERCENT: u64 = 1;

/// Runs `status`.
pub async fn run(args: &ArgMatches, admin: &Admin, output: Output) -> Result<(), Error> {
    loop {
        if args.get_flag("load") {
            load::show(args, admin, output).await?;
        } else {
            show(admin, output).await?;
        }
        if !args.get_flag("watch") {
            return Ok(());
        }
        tokio::time::sleep(WATCH_INTERVAL).await;
    }
}

async fn show(admin: &Admin, output: Output) -> Result<(), Error> {
    let report: StatusReport = admin.get("/v1/status").await?;
    match output {
        Output::Json => output.print(&report, |_| table(&[])),
        Output::Table => print_tables(&report),
    }
    Ok(())
}

fn print_tables(report: &StatusReport) {
    println!(
        "{} in {}, configuration version {}, peers: {}",
        report.instance,
        report.zone,
        report.config_version,
        if report.peers.is_empty() { "none".to_owned() } else { report.peers.join(", ") }
    );
    println!("{}", services_table(report));
    println!("{}", cells_table(report));
    if report.degraded.is_empty() {
        println!("no degraded components");
    }
    for line in &report.degraded {
        println!("degraded: {line}");
    }
}

fn services_table(report: &StatusReport) -> comfy_table::Table {
    let headings = [
        "service", "profile", "promise", "requests", "answered", "late", "refused", "waiting",
        "held",
    ];
    let mut table = table(&headings);
    for service in &report.services {
        let held = service.late * 100 <= service.answered * MAX_LATE_PERCENT;
        let mut row: Vec<comfy_table::Cell> = [
            service.name.clone(),
            service.profile.clone(),
            format!("{} ms", service.promise_ms),
            service.requests.to_string(),
            service.answered.to_string(),
            service.late.to_string(),
            service.refused.to_string(),
            service.waiting.to_string(),
        ]
        .into_iter()
        .map(comfy_table::Cell::new)
        .collect();
        row.push(status_cell(if held { "held" } else { "broken" }, held));
        table.add_row(row);
    }
    table
}

fn cells_table(report: &StatusReport) -> comfy_table::Table {
    let mut table = table(&["cell", "epoch", "workers", "waiting", "placed", "done"]);
    for cell in &report.cells {
        table.add_row([
            cell.name.clone(),
            cell.epoch.to_string(),
            cell.workers.to_string(),
            cell.waiting.to_string(),
            cell.placed.to_string(),
            cell.done.to_string(),
        ]);
    }
    table
}
