//! Prints answers as tables for people or as JSON for programs.

use clap::ArgMatches;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use comfy_table::{Cell, Color, Table};
use serde::Serialize;

/// Form of what is printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Tables; coloured on a terminal only.
    Table,
    /// JSON, the same bodies as the admin interface has.
    Json,
}

impl Output {
    /// Reads the global argument.
    pub fn from_matches(matches: &ArgMatches) -> Self {
        match matches.get_one::<String>("output").map(String::as_str) {
            Some("json") => Self::Json,
            _ => Self::Table,
        }
    }

    /// Prints `value` as JSON, or what `table` makes of it.
    pub fn print<T: Serialize>(self, value: &T, table: impl FnOnce(&T) -> Table) {
        match self {
            Self::Json => println!("{}", serde_json::to_string_pretty(value).unwrap_or_default()),
            Self::Table => println!("{}", table(value)),
        }
    }
}

/// An empty table with these headings.
pub fn table(headings: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_HORIZONTAL_ONLY).set_header(headings);
    table
}

/// A cell that shows whether something is as promised.
pub fn verdict(text: &str, is_good: bool) -> Cell {
    Cell::new(text).fg(if is_good { Color::Green } else { Color::Red })
}
