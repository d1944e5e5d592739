//! Command-line definition of the stand-ins.

use std::net::SocketAddr;
use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// Builds the command, also used to generate man pages and completions.
pub fn command() -> Command {
    let settings = Arg::new("config")
        .long("config")
        .value_name("FILE")
        .required(true)
        .value_parser(value_parser!(PathBuf))
        .help("Settings file of a daemon, which gives the addresses and sizes of the stand-ins");
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
                .about("Run the key-value store")
                .after_help("Example:\n  agatesill-standin store --addr 127.0.0.1:8000")
                .arg(
                    Arg::new("addr")
                        .long("addr")
                        .required(true)
                        .value_parser(value_parser!(SocketAddr))
                        .help("Address to listen on"),
                ),
        )
        .subcommand(
            Command::new("workers")
                .about("Run all workers of the cells in a daemon's settings")
                .arg(settings.clone()),
        )
        .subcommand(
            Command::new("upstreams")
                .about("Run all upstreams of the pools in a daemon's settings")
                .arg(settings),
        )
        .subcommand(
            Command::new("demo")
                .about(
                    "Run all components in one process and report from the stand-ins' audit logs",
                )
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
