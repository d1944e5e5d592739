//! The list of scenarios, and running one of them.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::ArgMatches;
use comfy_table::Table;
use indicatif::ProgressBar;

use crate::report;
use crate::result::SeedResult;
use crate::verdict::{Verdict, verify};

/// Seed if none is given.
const DEFAULT_SEED: u64 = 1;

/// Kind of a scenario, with its entry point.
#[derive(Clone, Copy, Debug)]
pub enum Kind {
    /// Runs on a virtual clock; the same seed yields the same results. Given the name of a policy,
    /// only that policy runs and the checks that need others are omitted.
    Virtual(fn(u64, Option<&str>) -> SeedResult),
    /// Runs with real processes or in real time.
    Real(fn(u64) -> SeedResult),
}

/// A scenario with its description.
#[derive(Debug)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Load pattern, in one line.
    pub pattern: &'static str,
    /// Bounds of the checks, in one line.
    pub bounds: &'static str,
    /// Kind and entry point.
    pub kind: Kind,
}

/// Options of a run.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Seeds in the order of the runs.
    pub seeds: Vec<u64>,
    /// The only policy to run, if set.
    pub policy: Option<String>,
    /// Whether to print JSON instead of tables.
    pub json: bool,
    /// Folder for the report, if one is written.
    pub report: Option<PathBuf>,
}

impl RunOptions {
    /// Reads the options; the error describes the invalid argument.
    pub fn from_matches(matches: &ArgMatches) -> Result<Self, String> {
        let seeds = match (matches.get_one::<u64>("seed"), matches.get_one::<String>("seeds")) {
            (Some(seed), _) => vec![*seed],
            (None, Some(range)) => parse_range(range)?,
            (None, None) => vec![DEFAULT_SEED],
        };
        Ok(Self {
            seeds,
            policy: matches.get_one::<String>("policy").cloned(),
            json: matches.get_flag("json"),
            report: matches.get_one::<PathBuf>("report").cloned(),
        })
    }
}

fn parse_range(range: &str) -> Result<Vec<u64>, String> {
    let invalid_range = || format!("--seeds {range:?}: expected A-B with A <= B, such as 1-20");
    let (first, last) = range.split_once('-').ok_or_else(invalid_range)?;
    let first: u64 = first.parse().map_err(|_| invalid_range())?;
    let last: u64 = last.parse().map_err(|_| invalid_range())?;
    if first <= last { Ok((first..=last).collect()) } else { Err(invalid_range()) }
}

/// All scenarios, in the order of `list`.
pub fn all() -> impl Iterator<Item = &'static Scenario> {
    crate::requests::SCENARIOS
        .iter()
        .chain(crate::batch::SCENARIOS)
        .chain(crate::control::SCENARIOS)
        .chain(crate::wire::SCENARIOS)
        .chain(crate::faults::SCENARIOS)
        .chain(crate::capacity::SCENARIOS)
}

/// Prints all scenarios.
pub fn list() {
    for scenario in all() {
        let clock = match scenario.kind {
            Kind::Virtual(_) => "virtual clock",
            Kind::Real(_) => "real time",
        };
        println!("{} ({clock})", scenario.name);
        println!("    load:   {}", scenario.pattern);
        println!("    bounds: {}", scenario.bounds);
    }
}

/// Runs a scenario over its seeds and prints the results; fails if a check fails.
pub fn run(scenario: &Scenario, options: &RunOptions) -> ExitCode {
    let bar = progress(options);
    let results: Vec<SeedResult> = options
        .seeds
        .iter()
        .map(|seed| {
            let mut result = match scenario.kind {
                Kind::Virtual(run) => run(*seed, options.policy.as_deref()),
                Kind::Real(run) => run(*seed),
            };
            result.seed = *seed;
            bar.inc(1);
            result
        })
        .collect();
    bar.finish_and_clear();
    let verdicts = verify(&results);
    if options.json {
        print_json(scenario, &results, &verdicts);
    } else {
        print_tables(&results, &verdicts);
    }
    if let Some(folder) = &options.report
        && let Err(error) = report::write(folder, scenario, &results, &verdicts)
    {
        eprintln!("agatesill-bench: --report {}: {error}", folder.display());
        return ExitCode::FAILURE;
    }
    if verdicts.iter().all(|verdict| verdict.passed) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn progress(options: &RunOptions) -> ProgressBar {
    if options.json || options.seeds.len() == 1 {
        return ProgressBar::hidden();
    }
    ProgressBar::new(options.seeds.len() as u64)
}

fn print_json(scenario: &Scenario, results: &[SeedResult], verdicts: &[Verdict]) {
    let output = serde_json::json!({
        "scenario": scenario.name,
        "results": results,
        "verdicts": verdicts,
    });
    println!("{output:#}");
}

fn print_tables(results: &[SeedResult], verdicts: &[Verdict]) {
    let mut figures = Table::new();
    figures.set_header(["policy", "figure", "median", "least", "most"]);
    let names: Vec<(&str, &str)> = results
        .first()
        .into_iter()
        .flat_map(|result| &result.policies)
        .flat_map(|policy| {
            policy.figures.keys().map(move |figure| (policy.policy.as_str(), figure.as_str()))
        })
        .collect();
    for (policy, figure) in names {
        let mut values: Vec<f64> = results
            .iter()
            .flat_map(|result| &result.policies)
            .filter(|one| one.policy == policy)
            .filter_map(|one| one.figures.get(figure).copied())
            .collect();
        values.sort_by(f64::total_cmp);
        let shown = [values[values.len() / 2], values[0], values[values.len() - 1]];
        let mut row = vec![policy.to_owned(), figure.to_owned()];
        row.extend(shown.iter().map(|value| format!("{value:.3}")));
        figures.add_row(row);
    }
    println!("{figures}");
    for verdict in verdicts {
        println!(
            "{} {}: median {:.4}, worst {:.4} (seed {}), bound {} {:.4}",
            if verdict.passed { "ok    " } else { "FAILED" },
            verdict.name,
            verdict.median,
            verdict.worst,
            verdict.worst_seed,
            if verdict.at_most { "<=" } else { ">=" },
            verdict.bound,
        );
    }
}
