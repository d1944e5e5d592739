//! Library of the `agatesill` command-line tool, separate from the binary so that it can be tested.

pub mod cli;
pub mod client;
pub mod commands;
pub mod load_table;
pub mod log_line;
pub mod output;
pub mod refusals;
pub mod timeline;
