//! Scenarios under a virtual clock and measurements over the wire.

pub mod batch;
pub mod capacity;
pub mod cli;
pub mod control;
pub mod faults;
pub mod judge;
pub mod report;
pub mod requests;
pub mod result;
pub mod scenario;
pub mod wire;
