//! Entry point of the daemon `agatesilld`.

use std::path::PathBuf;
use std::process::ExitCode;

use agatesill_platform::settings::NodeSettings;
use agatesill_policy::admission::LoadControl;
use agatesilld::prelude::*;
use agatesilld::{cli, logging, settings};
use tokio_util::sync::CancellationToken;

/// Most of the daemon's allocations are small and short-lived.
#[global_allocator]
static ALLOCATOR: mimalloc::MiMalloc = mimalloc::MiMalloc;

/// Exit code for wrong usage or settings.
const EXIT_SETTINGS: u8 = 2;

/// Default port of the metrics endpoint, the usual one of the OpenTelemetry Prometheus exporter.
const DEFAULT_METRICS_PORT: u16 = 9_464;

fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    if matches.get_flag("platform") {
        let level = matches.get_one::<String>("log-level").map_or("info", String::as_str);
        let port = matches.get_one::<u16>("metrics-port").copied().unwrap_or(DEFAULT_METRICS_PORT);
        let mode = matches.get_one::<String>("load-control").map_or("auto", String::as_str);
        return run_on_platform(level, port, load_control(mode));
    }
    let Some(path) = matches.get_one::<PathBuf>("config") else {
        return ExitCode::from(EXIT_SETTINGS);
    };
    let settings = match settings::read(path) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("agatesilld: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    if matches.get_flag("check") {
        print!("{}", serde_yaml_ng::to_string(&settings).unwrap_or_default());
        return ExitCode::SUCCESS;
    }
    run(&settings)
}

/// Decodes a mode that the command line has checked.
fn load_control(mode: &str) -> LoadControl {
    match mode {
        "on" => LoadControl::On,
        "off" => LoadControl::Off,
        _ => LoadControl::Auto,
    }
}

/// Runs on the users' platform, where an environment variable names the settings file.
fn run_on_platform(level: &str, metrics_port: u16, load_control: LoadControl) -> ExitCode {
    let settings = match agatesill_platform::settings::read() {
        Ok(settings) => NodeSettings { load_control, ..settings },
        Err(error) => {
            eprintln!("agatesilld: {error}");
            return ExitCode::from(EXIT_SETTINGS);
        }
    };
    let log = settings::LogSettings {
        level: level.to_owned(),
        path: logging::STANDARD_OUTPUT.to_owned(),
    };
    if let Err(error) = logging::init(&log) {
        eprintln!("agatesilld: log: {error}");
        return ExitCode::from(EXIT_SETTINGS);
    }
    let ended = agatesilld::fleet::run(settings, metrics_port);
    logging::flush();
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("agatesilld: {error}");
            ExitCode::from(error.kind.row().exit_code)
        }
    }
}

fn run(settings: &Settings) -> ExitCode {
    if let Err(error) = logging::init(&settings.log) {
        eprintln!("agatesilld: log.path: {error}");
        return ExitCode::from(EXIT_SETTINGS);
    }
    let stop = CancellationToken::new();
    let daemon = match start(settings, &stop) {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("agatesilld: {error}");
            return ExitCode::from(error.kind.row().exit_code);
        }
    };
    if let Err(error) = agatesilld::daemon::stop_on_signals(stop) {
        eprintln!("agatesilld: signals: {error}");
        return ExitCode::FAILURE;
    }
    daemon.join();
    logging::flush();
    ExitCode::SUCCESS
}
