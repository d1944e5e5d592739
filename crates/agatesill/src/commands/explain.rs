//! `explain`: the decision, its inputs and its version.

use agatesill_wire::prelude::*;
use clap::ArgMatches;

use super::text;
use crate::client::Admin;
use crate::output::{Output, table};

/// Runs `explain`.
pub async fn run(args: &ArgMatches, admin: &Admin, output: Output) -> Result<(), Error> {
    let path = format!("/v1/explain/{}/{}", text(args, "kind"), text(args, "name"));
    let lines: Vec<String> = admin.get(&path).await?;
    match output {
        Output::Json => output.print(&lines, |_| table(&[])),
        Output::Table => lines.iter().for_each(|line| println!("{line}")),
    }
    Ok(())
}
