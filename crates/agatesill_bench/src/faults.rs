//! Randomised fault runs over real daemons; `docs/TESTING.md` says how to replay one.

use agatesill_standin::faults::{RunReport, batch, daemon_beside_this_program, run_seed};

use crate::result::{Check, PolicyResult, SeedResult};
use crate::scenario::{Kind, Scenario};

/// The scenarios of this module.
pub const SCENARIOS: &[Scenario] = &[Scenario {
    name: "faults",
    pattern: "batch jobs while daemons, store, workers and the network between them fail, alone, \
              together or twice",
    bounds: "no task in two places, no worker beyond its capacity, evicted tasks resume once, \
             every accepted job ends in one outcome",
    kind: Kind::Real(batch_faults),
}];

fn batch_faults(seed: u64) -> SeedResult {
    let report = run_batch(seed)
        .unwrap_or_else(|why| RunReport { violations: vec![why], ..RunReport::default() });
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

fn run_batch(seed: u64) -> Result<RunReport, String> {
    let binary = daemon_beside_this_program()
        .ok_or("no agatesilld beside this program; run `cargo build -p agatesilld` first")?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .map_err(|error| error.to_string())?;
    let report = runtime
        .block_on(run_seed(seed, &batch::limits(), |schedule| batch::run(&binary, schedule)));
    for violation in &report.violations {
        eprintln!("seed {seed}: {violation}");
    }
    if !report.violations.is_empty() {
        report.trace.iter().for_each(|line| eprintln!("  {line}"));
    }
    Ok(report)
}
