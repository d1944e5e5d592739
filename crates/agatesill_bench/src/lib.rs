//! Scenarios under a virtual clock and measurements over the wire.

pub mod cli;
pub mod scenario;
