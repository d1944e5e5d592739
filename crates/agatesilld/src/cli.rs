//! Command line of the daemon.

use std::path::PathBuf;

use clap::{Arg, ArgAction, Command, value_parser};

/// The command definition, also used for man pages and completions.
pub fn command() -> Command {
    Command::new("agatesilld")
        .version(env!("CARGO_PKG_VERSION"))
        .about("Serves requests to upstreams and owns cells of batch workers")
        .after_help(
            "Examples:\n  agatesilld --config examples/billfold/daemon.yaml\n  \
             agatesilld --config examples/billfold/daemon.yaml --check",
        )
        .arg(
            Arg::new("config")
                .long("config")
                .value_name("FILE")
                .required_unless_present("platform")
                .value_parser(value_parser!(PathBuf))
                .help("Settings in YAML"),
        )
        .arg(
            Arg::new("platform")
                .long("platform")
                .action(ArgAction::SetTrue)
                .conflicts_with_all(["config", "check"])
                .help(
                    "Run on the users' platform, with the settings file named by the environment",
                ),
        )
        .arg(
            Arg::new("log-level")
                .long("log-level")
                .value_name("LEVEL")
                .requires("platform")
                .value_parser(["error", "warn", "info", "debug", "off"])
                .default_value("info")
                .help("Minimum log level on the platform; debug adds the result of each poll"),
        )
        .arg(
            Arg::new("metrics-port")
                .long("metrics-port")
                .value_name("PORT")
                .requires("platform")
                .value_parser(value_parser!(u16))
                .default_value("9464")
                .help("Port of the instance's address on which metrics are served"),
        )
        .arg(
            Arg::new("load-control")
                .long("load-control")
                .value_name("MODE")
                .requires("platform")
                .value_parser(["auto", "on", "off"])
                .default_value("auto")
                .help(
                    "Control of the load of services: on, off, or auto, that is for services \
                     whose workers stop a task within the shortest target of the most urgent queue",
                ),
        )
        .arg(
            Arg::new("check")
                .long("check")
                .action(ArgAction::SetTrue)
                .help("Validate the settings, print the effective ones and exit"),
        )
}
