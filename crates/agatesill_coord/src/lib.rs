//! Coordination primitives on a small key-value service with compare-and-swap, leases and watches.
//!
//! Each module is usable alone: [`store`] is the client of the service, [`config`] keeps one
//! versioned document, [`lease`] claims ownership of ranges, [`range_assignment`] computes the
//! preferred owners, [`commit_log`] keeps a fenced log of deltas with snapshots, [`membership`]
//! tracks which peers are alive, [`dependency`] tracks whether a service answers.

pub mod commit_log;
pub mod config;
pub mod dependency;
pub mod lease;
pub mod membership;
pub mod peer_calls;
pub mod range_assignment;
pub mod store;

/// The types that most users of this crate need.
pub mod prelude {
    pub use crate::commit_log::CommitLog;
    pub use crate::config::{ConfigStore, DeclaredCapacity};
    pub use crate::dependency::Dependency;
    pub use crate::lease::Ownership;
    pub use crate::membership::Membership;
    pub use crate::range_assignment::{Candidate, assign_ranges};
    pub use crate::store::Store;
}
