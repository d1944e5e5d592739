//! Command line program that runs the scenarios.

use std::process::ExitCode;

use agatesill_bench::scenario::RunOptions;
use agatesill_bench::{cli, scenario};

/// Exit code for invalid usage.
const EXIT_USAGE: u8 = 2;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let name = matches.get_one::<String>("scenario").map_or("list", String::as_str);
    if name == "list" {
        scenario::list();
        return ExitCode::SUCCESS;
    }
    let Some(scenario) = scenario::all().find(|scenario| scenario.name == name) else {
        eprintln!(
            "agatesill-bench: unknown scenario {name:?}; run `agatesill-bench list` to show all"
        );
        return ExitCode::from(EXIT_USAGE);
    };
    match RunOptions::from_matches(&matches) {
        Ok(options) => scenario::run(scenario, &options),
        Err(message) => {
            eprintln!("agatesill-bench: {message}");
            ExitCode::from(EXIT_USAGE)
        }
    }
}
