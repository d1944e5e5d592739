//! The daemon as a library: start it with settings and a cancellation token.
//!
//! Each duty has a thread of its own, joined to the others by bounded rings; `docs/DESIGN.md` has
//! the table of duties and rings.

pub mod admin;
pub mod cells;
pub mod cli;
pub mod config;
pub mod daemon;
pub mod decide;
pub mod degraded;
pub mod explain;
pub mod fleet;
pub mod instruments;
pub mod logging;
pub mod metrics;
pub mod peers;
pub mod recent;
pub mod relay;
pub mod rights;
pub mod settings;
pub mod shared;

/// The types that most users of this crate need.
pub mod prelude {
    pub use crate::daemon::{Daemon, start};
    pub use crate::settings::{Settings, SettingsError};
}
