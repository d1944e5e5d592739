//! `job`: submits, shows, waits for and cancels batch jobs.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use agatesill_policy::prelude::*;
use agatesill_wire::prelude::*;
use clap::ArgMatches;
use indicatif::{ProgressBar, ProgressStyle};

use super::{read_yaml, string_arg};
use crate::client::Admin;
use crate::output::{Output, table};

/// Polling interval of `job wait`.
const POLL_INTERVAL: Duration = Duration::from_millis(500);

/// Default timeout of `job wait`.
const DEFAULT_WAIT_TIMEOUT_MS: u64 = 3_600_000;

/// Runs `job`.
pub async fn run(args: &ArgMatches, admin: &Admin, output: Output) -> Result<(), Error> {
    match args.subcommand() {
        Some(("submit", args)) => submit(args, admin, output).await,
        Some(("show", args)) => {
            let path = format!("/v1/jobs/{}", string_arg(args, "name"));
            let job: JobStatus = admin.get(&path).await?;
            output.print(&job, tasks_table);
            Ok(())
        }
        Some(("cancel", args)) => {
            let path = format!("/v1/jobs/{}", string_arg(args, "name"));
            let job: JobStatus = admin.delete(&path).await?;
            output.print(&vec![job], |jobs| jobs_table(jobs));
            Ok(())
        }
        Some(("wait", args)) => wait(args, admin, output).await,
        _ => {
            let jobs: Vec<JobStatus> = admin.get("/v1/jobs").await?;
            output.print(&jobs, |jobs| jobs_table(jobs));
            Ok(())
        }
    }
}

async fn submit(args: &ArgMatches, admin: &Admin, output: Output) -> Result<(), Error> {
    let file = args.get_one::<PathBuf>("file").cloned().unwrap_or_default();
    let jobs: Vec<JobSpec> = read_yaml(&file)?;
    let mut accepted: Vec<JobStatus> = Vec::new();
    for job in &jobs {
        let response = admin.post("/v1/jobs", job).await;
        accepted.push(response.map_err(|error: Error| Error {
            detail: format!(
                "job {}: {}; {} of {} jobs were accepted, submit the file again to retry the rest",
                job.id,
                error.detail,
                accepted.len(),
                jobs.len()
            ),
            ..error
        })?);
    }
    output.print(&accepted, |jobs| jobs_table(jobs));
    Ok(())
}

async fn wait(args: &ArgMatches, admin: &Admin, output: Output) -> Result<(), Error> {
    let name = string_arg(args, "name");
    let limit_ms = args.get_one::<u64>("limit-ms").copied().unwrap_or(DEFAULT_WAIT_TIMEOUT_MS);
    let started = Instant::now();
    let bar = progress_bar(output);
    loop {
        let job: JobStatus = admin.get(&format!("/v1/jobs/{name}")).await?;
        bar.set_length(job.tasks.len() as u64);
        bar.set_position(count(&job, "done") as u64);
        if job.is_finished() {
            bar.finish_and_clear();
            output.print(&job, tasks_table);
            return Ok(());
        }
        if started.elapsed() >= Duration::from_millis(limit_ms) {
            bar.finish_and_clear();
            let detail = format!("job {name}: not finished after {limit_ms} ms");
            return Err(Error::new(ErrorKind::TooLate, detail));
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

/// Returns a progress bar, which indicatif hides if the output is not a terminal.
fn progress_bar(output: Output) -> ProgressBar {
    if output == Output::Json {
        return ProgressBar::hidden();
    }
    let bar = ProgressBar::new(0);
    if let Ok(style) = ProgressStyle::with_template("{bar:40} {pos}/{len} tasks, {elapsed}") {
        bar.set_style(style);
    }
    bar
}

fn count(job: &JobStatus, state: &str) -> usize {
    job.tasks.iter().filter(|task| task.state == state).count()
}

fn jobs_table(jobs: &[JobStatus]) -> comfy_table::Table {
    let mut table =
        table(&["job", "team", "profile", "cell", "tasks", "waiting", "placed", "done"]);
    for job in jobs {
        table.add_row([
            job.spec.id.clone(),
            job.spec.team.clone(),
            job.spec.profile.clone(),
            job.cell.clone(),
            job.spec.tasks.to_string(),
            count(job, "waiting").to_string(),
            count(job, "placed").to_string(),
            count(job, "done").to_string(),
        ]);
    }
    table
}

fn tasks_table(job: &JobStatus) -> comfy_table::Table {
    let mut table = table(&["task", "state", "attempt", "worker"]);
    for (index, task) in job.tasks.iter().enumerate() {
        table.add_row([
            format!("{}/{index}", job.spec.id),
            task.state.clone(),
            task.attempt.to_string(),
            task.worker.map_or_else(String::new, |worker| worker.to_string()),
        ]);
    }
    table
}
