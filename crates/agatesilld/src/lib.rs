//! The daemon as a library: start it with settings and a cancellation token.
//!
//! Each component has its own thread. Threads communicate over bounded queues (rings);
//! `docs/DESIGN.md` lists the threads and rings.

pub mod admin;
pub mod authorization;
pub mod cells;
pub mod cli;
pub mod config;
pub mod daemon;
pub mod decide;
pub mod degraded;
pub mod explain;
pub mod fleet;
pub mod instruments;
pub mod job_keys;
pub mod logging;
pub mod metrics;
pub mod peers;
pub mod recent;
pub mod relay;
pub mod settings;
pub mod shared;
mod store_keys;

/// The types that most users of this crate need.
pub mod prelude {
    pub use crate::daemon::{Daemon, start};
    pub use crate::settings::{Settings, SettingsError};
}
