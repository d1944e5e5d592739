//! The operators' and callers' command-line tool, as a library so that its parts can be tested.

pub mod cli;
pub mod client;
pub mod commands;
pub mod output;
pub mod story;
