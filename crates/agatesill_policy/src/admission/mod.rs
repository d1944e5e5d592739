//! Admission of jobs: whether a daemon accepts a job now, or refuses it and says when to return.
//!
//! Load pattern: for half a minute, callers submit more than twice the work that the workers can
//! carry. If every job is accepted, thousands of tasks wait until their results are worthless, and
//! long-running jobs reserve the CPUs that short urgent jobs need.
//!
//! The planner sums up the load of each service in a [`LoadView`], which every daemon receives with
//! the answers to its calls. A daemon decides alone, by the newest view that it has. Without one it
//! accepts.
//!
//! Long-running jobs are refused while the CPU that they would reserve is needed for urgent work. All
//! others are accepted: the planner ranks them by what they are still worth.
//!
//! Daemons with the same view must not all refuse and then all accept: `room` accepts long-running
//! jobs with a probability that falls as the room that is left does, and each daemon deducts what it
//! has accepted since its view.

mod activation;
pub mod cancel_records;
mod demand;
mod door;
mod extrapolation;
pub mod group_commit;
mod load_view;
mod offers;
mod promises;
mod room;
mod verdict;

pub use activation::{LoadControl, calls_for_load_control};
pub use door::{Door, MAX_VIEW_AGE_MS};
pub use load_view::{HeldView, KindLoad, LoadView, ServiceLoad};
pub use offers::{OfferRates, OfferedTotals};
pub(crate) use room::HEADROOM_DECAY;
pub use verdict::{Refusal, RefusalCause, Return, Verdict};
