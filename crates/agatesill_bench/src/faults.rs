//! Randomised fault injection with real daemons; `docs/TESTING.md` describes how to reproduce a
//! run.

use std::future::Future;
use std::path::PathBuf;

use agatesill_standin::faults::{
    RunReport, Schedule, ScheduleLimits, batch, requests, run_seed, sibling_daemon_binary,
};

use crate::result::{Check, PolicyResult, SeedResult};
use crate::scenario::{Kind, Scenario};

/// The scenarios of this module.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "faults",
        pattern: "batch jobs while daemons, store, workers and the network between them fail, alone, \
              together or twice",
        bounds: "no task on two workers, no worker over its capacity, evicted tasks resume once, \
             every accepted job has one outcome",
        kind: Kind::Real(batch_faults),
    },
    Scenario {
        name: "late-call-faults",
        pattern: "batch jobs while calls to workers arrive late, workers restart under their numbers \
                  and cells change their owners, alone, together or twice",
        bounds: "as for faults",
        kind: Kind::Real(late_call_faults),
    },
    Scenario {
        name: "request-faults",
        pattern: "reads and non-repeatable decisions, re-sent to other daemons while daemons, \
                  store and upstreams fail, alone, together or twice",
        bounds: "no decision runs twice, `not run` is never false, no wrong or truncated answer \
                 appears complete, every daemon serves again afterwards",
        kind: Kind::Real(request_faults),
    },
];

fn batch_faults(seed: u64) -> SeedResult {
    to_seed_result(
        seed,
        run(seed, &batch::limits(), |binary, schedule| async move {
            batch::run(&binary, schedule).await
        }),
    )
}

fn late_call_faults(seed: u64) -> SeedResult {
    to_seed_result(
        seed,
        run(seed, &batch::late_call_limits(), |binary, schedule| async move {
            batch::run(&binary, schedule).await
        }),
    )
}

fn request_faults(seed: u64) -> SeedResult {
    to_seed_result(
        seed,
        run(seed, &requests::limits(), |binary, schedule| async move {
            requests::run(&binary, schedule).await
        }),
    )
}

fn to_seed_result(seed: u64, report: Result<RunReport, String>) -> SeedResult {
    let report =
        report.unwrap_or_else(|why| RunReport { violations: vec![why], ..RunReport::default() });
    let figures = report.figures.iter().map(|(name, value)| ((*name).to_owned(), *value));
    SeedResult {
        seed,
        policies: vec![PolicyResult {
            policy: "agatesill".to_owned(),
            figures: figures.collect(),
            series: Vec::new(),
        }],
        checks: vec![Check::at_most("violations", report.violations.len() as f64, 0.0)],
    }
}

fn run<F, R>(seed: u64, limits: &ScheduleLimits, scenario: F) -> Result<RunReport, String>
where
    F: Fn(PathBuf, Schedule) -> R,
    R: Future<Output = RunReport>,
{
    let binary = sibling_daemon_binary().ok_or(
        "agatesilld not found in the folder of this program; run `cargo build -p agatesilld` first",
    )?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    let report =
        runtime.block_on(run_seed(seed, limits, |schedule| scenario(binary.clone(), schedule)));
    for violation in &report.violations {
        eprintln!("seed {seed}: {violation}");
    }
    if !report.violations.is_empty() {
        report.trace.iter().for_each(|line| eprintln!("  {line}"));
    }
    Ok(report)
}
