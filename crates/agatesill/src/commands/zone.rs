//! `zone`: evacuates and restores availability zones.

use agatesill_policy::prelude::*;
use agatesill_wire::prelude::*;
use clap::ArgMatches;

use super::config::{ensure_exists, submit_change};
use super::string_arg;
use crate::client::Admin;
use crate::output::{Output, table};

/// Runs `zone`.
pub async fn run(args: &ArgMatches, admin: &Admin, output: Output) -> Result<(), Error> {
    match args.subcommand() {
        Some(("evacuate", args)) => {
            let mut change = admin.change(args);
            let evacuation = Evacuation { reason: change.reason.clone() };
            change.evacuations.insert(string_arg(args, "name").to_owned(), Some(evacuation));
            submit_change(admin, &change, output).await
        }
        Some(("restore", args)) => {
            let name = string_arg(args, "name");
            let config = admin.config().await?;
            ensure_exists(config.doc.evacuations.contains_key(name), "evacuated zone", name)?;
            let mut change = admin.change(args);
            change.evacuations.insert(name.to_owned(), None);
            submit_change(admin, &change, output).await
        }
        _ => {
            let config = admin.config().await?;
            output.print(&config.doc.evacuations, |evacuations| {
                let mut table = table(&["zone", "reason"]);
                for (zone, evacuation) in evacuations {
                    table.add_row([zone, &evacuation.reason]);
                }
                table
            });
            Ok(())
        }
    }
}
