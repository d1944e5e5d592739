//! `agatesill trace`: one job's story from log files.

use std::io::Read;
use std::path::{Path, PathBuf};

use agatesill_wire::prelude::*;
use clap::ArgMatches;

use super::text;
use crate::story::story;

/// Prints the story of a job from the log files named, or from standard input.
pub fn run(args: &ArgMatches) -> Result<(), Error> {
    let id = text(args, "id");
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
    let told = story(lines, id);
    if told.is_empty() {
        let what = format!("no line of {} logs mentions {id}", logs.len());
        return Err(Error::new(ErrorKind::BadRequest, what));
    }
    told.iter().for_each(|line| println!("{line}"));
    Ok(())
}

/// The daemon that wrote a file: its name without folder and ending.
fn source(file: &Path) -> String {
    file.file_stem().unwrap_or_default().to_string_lossy().into_owned()
}

fn read(file: &Path) -> Result<String, Error> {
    std::fs::read_to_string(file)
        .map_err(|error| Error::new(ErrorKind::Settings, format!("{}: {error}", file.display())))
}
