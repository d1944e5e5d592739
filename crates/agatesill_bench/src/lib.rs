//! Scenarios on a virtual clock and measurements with real daemon processes.

pub mod batch;
pub mod capacity;
pub mod cli;
pub mod control;
pub mod faults;
pub mod report;
pub mod requests;
pub mod result;
pub mod scenario;
pub mod verdict;
pub mod wire;
