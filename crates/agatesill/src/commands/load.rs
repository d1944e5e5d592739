//! `status --load`: shows the load as daemons on the platform know it.

use std::net::SocketAddr;

use agatesill_wire::api::LOAD_PATH;
use agatesill_wire::prelude::*;
use clap::ArgMatches;
use clap::parser::ValueSource;

use crate::cli::DEFAULT_METRICS_ADDR;
use crate::client::Admin;
use crate::load_table::{DaemonLoad, render};
use crate::output::{Output, table};

/// Asks each daemon once and prints what they know; fails if none of them answers.
pub async fn show(args: &ArgMatches, admin: &Admin, output: Output) -> Result<(), Error> {
    let mut answers = Vec::new();
    let mut last_error = None;
    for addr in addrs(args)? {
        let (load, error) = match admin.at(addr).get(LOAD_PATH).await {
            Ok(load) => (Some(load), None),
            Err(error) => {
                let body = ErrorBody::from(&error);
                last_error = Some(error);
                (None, Some(body))
            }
        };
        answers.push(DaemonLoad { addr: addr.to_string(), load, error });
    }
    if let Some(error) = last_error.filter(|_| answers.iter().all(|one| one.load.is_none())) {
        return Err(error);
    }
    match output {
        Output::Json => output.print(&answers, |_| table(&[])),
        Output::Table => print!("{}", render(&answers)),
    }
    Ok(())
}

/// Metrics addresses of the daemons to ask.
fn addrs(args: &ArgMatches) -> Result<Vec<SocketAddr>, Error> {
    if args.value_source("addr") != Some(ValueSource::DefaultValue) {
        return Ok(args.get_many("addr").unwrap_or_default().copied().collect());
    }
    let addr = DEFAULT_METRICS_ADDR.parse().map_err(|error| {
        Error::new(ErrorKind::Settings, format!("{DEFAULT_METRICS_ADDR}: {error}"))
    })?;
    Ok(vec![addr])
}
