//! The command line of the stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// The definition, also used for man pages and completions.
pub fn command() -> Command {
    let settings = Arg::new("config")
        .long("config")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings of a daemon, for the addresses and sizes to stand in for");
    Command::new("agatesill-standin")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Stands in for the platform's store, workers and upstreams")
        .subcommand_required(true)
        .after_help(
            "Examples:\n  agatesill-standin demo --json\n  \
             agatesill-standin store --addr 127.0.0.1:8000\n  \
             agatesill-standin upstreams --config examples/billfold/daemon.yaml",
        )
        .subcommand(
            Command::new("store")
                .about("The key-value service")
                .after_help("Example:\n  agatesill-standin store --addr 127.0.0.1:8000")
                .arg(
                    Arg::new("addr")
                        .long("addr")
                        .required(true)
                        .value_parser(value_parser!(SocketAddr))
                        .help("Where to listen"),
                ),
        )
        .subcommand(
            Command::new("workers")
                .about("All workers of the cells in a daemon's settings")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("upstreams")
                .about("All upstreams of the pools in a daemon's settings")
                .arg(settings),
        )
        .subcommand(
            Command::new("demo")
                .about("The whole path in one process, with a report from the stand-ins' books")
                .after_help("Example:\n  agatesill-standin demo --break double-run")
                .arg(
                    Arg::new("examples")
                        .long("examples")
                        .value_name("DIR")
                        .default_value("examples")
                        .value_parser(value_parser!(PathBuf))
                        .help("Folder with billfold/ and carpatia/"),
                )
                .arg(
                    Arg::new("json")
                        .long("json")
                        .action(ArgAction::SetTrue)
                        .help("Print one JSON object"),
                )
                .arg(
                    Arg::new("break")
                        .long("break")
                        .value_parser(["double-run"])
                        .help("Break an invariant on purpose, to show that the check can fail"),
                ),
        )
}
