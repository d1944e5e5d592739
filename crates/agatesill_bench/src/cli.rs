//! Command line definition.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// Builds the definition, which man pages and completions are also generated from.
pub fn command() -> Command {
    Command::new("agatesill-bench")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs scenarios on a virtual clock and measurements with real daemons")
        .after_help(
            "Examples:\n  agatesill-bench list\n  agatesill-bench burst --seed 1 --json\n  \
             agatesill-bench overload --seeds 1-20 --report out",
        )
        .arg(
            Arg::new("scenario")
                .value_name("SCENARIO")
                .required(true)
                .help("Scenario to run, or `list` to show all"),
        )
        .arg(
            Arg::new("seed")
                .long("seed")
                .value_name("N")
                .value_parser(value_parser!(u64))
                .help("Runs one seed"),
        )
        .arg(
            Arg::new("seeds")
                .long("seeds")
                .value_name("A-B")
                .conflicts_with("seed")
                .help("Runs a range of seeds and checks their medians"),
        )
        .arg(Arg::new("policy").long("policy").value_name("NAME").help("Runs only this policy"))
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help(
            "Prints a JSON object; virtual clock scenarios print the same bytes for the same seed",
        ))
        .arg(
            Arg::new("report")
                .long("report")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf))
                .help("Writes an HTML page with plots and a CSV file to this folder"),
        )
}
