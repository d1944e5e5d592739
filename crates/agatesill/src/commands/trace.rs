//! `trace`: shows the timeline of one job, task or request from log files.

use std::io::Read;
use std::path::{Path, PathBuf};

use agatesill_wire::prelude::*;
use clap::ArgMatches;

use super::string_arg;
use crate::timeline::timeline;

/// Runs `trace` on the given log files or, without any, on standard input.
pub fn run(args: &ArgMatches) -> Result<(), Error> {
    let id = string_arg(args, "id");
    let files: Vec<&PathBuf> = args.get_many("file").unwrap_or_default().collect();
    let mut logs = Vec::new();
    for file in &files {
        logs.push((source(file), read(file)?));
    }
    if files.is_empty() {
        let mut log = String::new();
        std::io::stdin().read_to_string(&mut log).map_err(|error| {
            Error::new(ErrorKind::BadRequest, format!("standard input: {error}"))
        })?;
        logs.push((String::from("-"), log));
    }
    let lines =
        logs.iter().flat_map(|(source, log)| log.lines().map(move |line| (source.as_str(), line)));
    let timeline = timeline(lines, id);
    if timeline.is_empty() {
        let detail = format!("{id} does not occur in any of {} logs", logs.len());
        return Err(Error::new(ErrorKind::BadRequest, detail));
    }
    timeline.iter().for_each(|line| println!("{line}"));
    Ok(())
}

/// Returns the daemon that wrote a log file: the file name without directory and extension.
fn source(file: &Path) -> String {
    file.file_stem().unwrap_or_default().to_string_lossy().into_owned()
}

fn read(file: &Path) -> Result<String, Error> {
    std::fs::read_to_string(file)
        .map_err(|error| Error::new(ErrorKind::Settings, format!("{}: {error}", file.display())))
}
