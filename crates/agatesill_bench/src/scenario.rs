//! The list of scenarios and what each run is asked to do.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::ArgMatches;

/// Seeds run when none are named.
const DEFAULT_SEED: u64 = 1;

/// One scenario.
#[derive(Debug)]
pub struct Scenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Its load pattern, in one line.
    pub pattern: &'static str,
    /// What must hold, in one line.
    pub bounds: &'static str,
    /// Whether it runs under the virtual clock, so that a seed fixes its output.
    pub is_virtual: bool,
    /// Runs it; fails when a bound does.
    pub run: fn(&RunOptions) -> ExitCode,
}

/// What a run is asked to do.
#[derive(Clone, Debug)]
pub struct RunOptions {
    /// Seeds, in order.
    pub seeds: Vec<u64>,
    /// Only this policy.
    pub policy: Option<String>,
    /// Whether to print JSON.
    pub json: bool,
    /// Where to write a report.
    pub report: Option<PathBuf>,
}

impl RunOptions {
    /// Reads the options; the error says what is wrong.
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
    let wrong = || format!("--seeds {range:?}: expected A-B with A <= B, such as 1-20");
    let (first, last) = range.split_once('-').ok_or_else(wrong)?;
    let first: u64 = first.parse().map_err(|_| wrong())?;
    let last: u64 = last.parse().map_err(|_| wrong())?;
    if first <= last { Ok((first..=last).collect()) } else { Err(wrong()) }
}

/// All scenarios, in the order of `list`.
pub const SCENARIOS: &[Scenario] = &[];

/// Prints all scenarios.
pub fn list() {
    for scenario in SCENARIOS {
        let clock = if scenario.is_virtual { "virtual clock" } else { "real processes" };
        println!("{} ({clock})", scenario.name);
        println!("    load:   {}", scenario.pattern);
        println!("    bounds: {}", scenario.bounds);
    }
}
