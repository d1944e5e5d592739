//! Implementations of the subcommands.

mod config;
mod explain;
mod job;
mod load;
mod status;
mod trace;
mod zone;

use std::net::SocketAddr;
use std::path::Path;
use std::process::ExitCode;

use agatesill_wire::prelude::*;
use clap::ArgMatches;
use serde::de::DeserializeOwned;

use crate::cli;
use crate::client::Admin;
use crate::output::Output;

/// Prints an error, with the delay before a retry if there is one, and returns the exit code of its
/// kind.
pub fn fail(error: &Error) -> ExitCode {
    eprintln!("agatesill: {error}");
    if error.retry_after_ms > 0 {
        eprintln!("agatesill: retry after {} ms", error.retry_after_ms);
    }
    ExitCode::from(error.kind.row().exit_code)
}

/// Runs the subcommand that `matches` names.
pub async fn run(matches: &ArgMatches, admin: &Admin, output: Output) -> Result<(), Error> {
    check_addrs(matches)?;
    match matches.subcommand() {
        Some(("profile", args)) => config::profile(args, admin, output).await,
        Some(("service", args)) => config::service(args, admin, output).await,
        Some(("team", args)) => config::team(args, admin, output).await,
        Some(("zone", args)) => zone::run(args, admin, output).await,
        Some(("config", args)) => config::document(args, admin, output).await,
        Some(("job", args)) => job::run(args, admin, output).await,
        Some(("status", args)) => status::run(args, admin, output).await,
        Some(("explain", args)) => explain::run(args, admin, output).await,
        Some(("trace", args)) => trace::run(args),
        Some(("drain", _)) => drain(admin).await,
        Some(("completions", args)) => completions(args),
        Some(("man", args)) => man(args),
        _ => Err(Error::new(ErrorKind::BadRequest, "missing subcommand")),
    }
}

/// Rejects more than one address for a command that calls one daemon.
fn check_addrs(matches: &ArgMatches) -> Result<(), Error> {
    let takes_several =
        matches.subcommand().is_some_and(|(name, args)| name == "status" && args.get_flag("load"));
    let count = matches.get_many::<SocketAddr>("addr").map_or(0, |addrs| addrs.len());
    if takes_several || count <= 1 {
        return Ok(());
    }
    Err(Error::new(ErrorKind::BadRequest, "only status --load takes more than one --addr"))
}

async fn drain(admin: &Admin) -> Result<(), Error> {
    let response: String = admin.post("/v1/drain", &()).await?;
    println!("{response}");
    Ok(())
}

fn completions(args: &ArgMatches) -> Result<(), Error> {
    let Some(shell) = args.get_one::<clap_complete::Shell>("shell").copied() else {
        return Err(Error::new(ErrorKind::BadRequest, "missing shell"));
    };
    clap_complete::generate(shell, &mut cli::command(), "agatesill", &mut std::io::stdout());
    Ok(())
}

fn man(args: &ArgMatches) -> Result<(), Error> {
    let Some(folder) = args.get_one::<std::path::PathBuf>("folder") else {
        return Err(Error::new(ErrorKind::BadRequest, "missing folder"));
    };
    let written = std::fs::create_dir_all(folder)
        .and_then(|()| clap_mangen::generate_to(cli::command(), folder));
    written
        .map_err(|error| Error::new(ErrorKind::Settings, format!("{}: {error}", folder.display())))
}

/// Reads a YAML file. An error includes the path and the position in the file.
fn read_yaml<T: DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let settings_error = |error: &dyn std::fmt::Display| {
        Error::new(ErrorKind::Settings, format!("{}: {error}", path.display()))
    };
    let text = std::fs::read_to_string(path).map_err(|error| settings_error(&error))?;
    serde_yaml_ng::from_str(&text).map_err(|error| settings_error(&error))
}

fn string_arg<'a>(args: &'a ArgMatches, name: &str) -> &'a str {
    args.get_one::<String>(name).map_or("", String::as_str)
}
