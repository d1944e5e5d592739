//! `explain`: shows a decision, its inputs and the configuration version it is based on.

use agatesill_wire::api::JobExplanation;
use agatesill_wire::prelude::*;
use clap::ArgMatches;

use super::string_arg;
use crate::client::Admin;
use crate::output::{Output, table};

/// Runs `explain`.
pub async fn run(args: &ArgMatches, admin: &Admin, output: Output) -> Result<(), Error> {
    let (kind, name) = (string_arg(args, "kind"), string_arg(args, "name"));
    let path = format!("/v1/explain/{kind}/{name}");
    if kind == "job" {
        let why: JobExplanation = admin.get(&path).await?;
        match output {
            Output::Json => output.print(&why, |_| table(&[])),
            Output::Table => print_job(&why),
        }
        return Ok(());
    }
    let lines: Vec<String> = admin.get(&path).await?;
    match output {
        Output::Json => output.print(&lines, |_| table(&[])),
        Output::Table => lines.iter().for_each(|line| println!("{line}")),
    }
    Ok(())
}

fn print_job(why: &JobExplanation) {
    let done = why.job.tasks.iter().filter(|task| task.state == "done").count();
    println!(
        "job {} in cell {} (epoch {}, configuration version {}): {done} of {} tasks done",
        why.job.spec.id,
        why.job.cell,
        why.epoch,
        why.config_version,
        why.job.tasks.len()
    );
    print_lines("waits", &why.waits);
    if let Some(likely_ms) = why.likely_start_ms {
        println!("the next waiting task is likely to start in {likely_ms} ms");
    }
    print_lines("history", &why.history);
    print_lines("learned", &why.learned);
}

fn print_lines(heading: &str, lines: &[String]) {
    if !lines.is_empty() {
        println!("{heading}:");
    }
    lines.iter().for_each(|line| println!("  {line}"));
}
