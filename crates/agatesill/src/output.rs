//! Prints responses as tables or as JSON.

use clap::ArgMatches;
use comfy_table::presets::UTF8_HORIZONTAL_ONLY;
use comfy_table::{Cell, Color, Table};
use serde::Serialize;

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Human-readable tables, coloured if written to a terminal.
    Table,
    /// JSON with the same structure as the bodies of the admin API.
    Json,
}

impl Output {
    /// Reads the format from the global `--output` argument.
    pub fn from_matches(matches: &ArgMatches) -> Self {
        match matches.get_one::<String>("output").map(String::as_str) {
            Some("json") => Self::Json,
            _ => Self::Table,
        }
    }

    /// Prints `value` as JSON or as the table that `table` builds from it.
    pub fn print<T: Serialize>(self, value: &T, table: impl FnOnce(&T) -> Table) {
        match self {
            Self::Json => println!("{}", serde_json::to_string_pretty(value).unwrap_or_default()),
            Self::Table => println!("{}", table(value)),
        }
    }
}

/// Returns an empty table with these column headings.
pub fn table(headings: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_preset(UTF8_HORIZONTAL_ONLY).set_header(headings);
    table
}

/// Returns a table cell with `text` in green if `is_ok`, otherwise in red.
pub fn status_cell(text: &str, is_ok: bool) -> Cell {
    Cell::new(text).fg(if is_ok { Color::Green } else { Color::Red })
}
