//! Entry point of the `agatesill` command-line tool.

use std::process::ExitCode;

use agatesill::client::Admin;
use agatesill::output::Output;
use agatesill::{cli, commands};

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let matches = cli::command().get_matches();
    let admin = match Admin::from_matches(&matches) {
        Ok(admin) => admin,
        Err(error) => return commands::fail(&error),
    };
    let output = Output::from_matches(&matches);
    match commands::run(&matches, &admin, output).await {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => commands::fail(&error),
    }
}
