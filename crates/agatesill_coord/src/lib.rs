//! Coordination parts on a small key-value service with compare-and-swap, leases and watches.
//!
//! Each part is usable alone: [`store`] calls the service, [`config`] keeps one versioned
//! document, [`lease`] claims ownership, [`range_assignment`] says who should, [`commit_log`] keeps a fenced
//! log of deltas with snapshots, [`membership`] says which peers are there, [`dependency`] says
//! whether a service answers.

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
