//! Small stand-ins for what the platform provides, each with books of its own and faults that can
//! be switched while it runs.

pub mod addresses;
pub mod caller;
pub mod cli;
pub mod demo;
pub mod faults;
pub mod gate;
pub mod harness;
pub mod store;
pub mod trace;
pub mod upstreams;
pub mod workers;
