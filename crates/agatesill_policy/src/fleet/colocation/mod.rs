//! Tasks that fill beside tasks that serve.
//!
//! Load pattern: batch tasks run on processors that lasting tasks reserve and do not use. Most
//! images do no harm there; each harmful one raises the tails of a third of the serving images,
//! twenty times within a second. Without this module the harm of one such task costs more than
//! the work of three is worth; slowing everything beside a pressed task wastes the slack of the
//! harmless ones.

mod capacity;
mod interference;
mod pacing;
mod pairs;

pub use self::interference::{LearnedImage, LearnedInterference};

pub(super) use self::capacity::crowding_milli;
pub(super) use self::interference::InterferenceModel;
pub(super) use self::pairs::PairCounts;
