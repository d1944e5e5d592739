//! Stand-ins for the services of the platform. Each keeps its own audit log and has faults that can
//! be switched at run time.

pub mod addresses;
pub mod caller;
pub mod cli;
pub mod demo;
pub mod fault_injector;
pub mod faults;
pub mod harness;
pub mod store;
pub mod trace;
pub mod upstreams;
pub mod workers;
