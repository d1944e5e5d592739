//! The command line of the bench.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// The definition, also used for man pages and completions.
pub fn command() -> Command {
    Command::new("agatesill-bench")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Runs scenarios under a virtual clock and measurements over the wire")
        .after_help(
            "Examples:\n  agatesill-bench list\n  agatesill-bench burst --seed 1 --json\n  \
             agatesill-bench overload --seeds 1-20 --report out",
        )
        .arg(
            Arg::new("scenario")
                .value_name("SCENARIO")
                .required(true)
                .help("Scenario, or `list` for all of them"),
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
                .help("Runs a range of seeds and judges their medians"),
        )
        .arg(Arg::new("policy").long("policy").value_name("NAME").help("Runs only this policy"))
        .arg(
            Arg::new("json")
                .long("json")
                .action(ArgAction::SetTrue)
                .help("Prints one JSON object, the same bytes for the same seed"),
        )
        .arg(
            Arg::new("report")
                .long("report")
                .value_name("DIR")
                .value_parser(value_parser!(PathBuf))
                .help("Writes a page with plots and a CSV there"),
        )
}
