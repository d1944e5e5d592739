//! Colocation of best-effort tasks with serving tasks.
//!
//! Load pattern: batch tasks run on CPUs that long-running tasks reserve and do not use. Most
//! images are harmless there. Each harmful one raises the tail latency of a third of the serving
//! images twentyfold within a second. Without this module, the harm done by one such task costs
//! more than the work of three is worth. Slowing every task beside an affected serving task would
//! waste the slack used by the harmless ones.

mod capacity;
mod interference;
mod pacing;
mod pairs;

pub use self::interference::{LearnedImage, LearnedInterference};

pub(super) use self::capacity::{
    LONG_RUNNING_USED_SHARE, THROTTLED_SEARCH_INTERVAL_US, crowding_milli,
};
pub(super) use self::interference::InterferenceModel;
pub(super) use self::pairs::PairCounts;
