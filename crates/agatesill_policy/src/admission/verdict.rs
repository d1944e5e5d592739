//! Outcome of an admission decision.

use crate::value_type;

value_type! {
    /// Why a job is refused.
    pub enum RefusalCause {
        /// The CPU that its long-running tasks request is not free and is not about to be.
        NoRoom,
    }
}

impl RefusalCause {
    /// Name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            RefusalCause::NoRoom => "no_room",
        }
    }
}

/// A refused job that its caller submits again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Return {
    /// Time since the job was first refused, by the wall clock.
    pub since_first_refusal_ms: u64,
    /// Time since the caller was asked to return; 0 if it returns too early.
    pub overdue_ms: u64,
    /// Whether the caller returned no earlier than it was asked to.
    pub is_due: bool,
}

/// A refusal with what led to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why the job is refused.
    pub cause: RefusalCause,
    /// When its caller should submit it again.
    pub retry_after_ms: u32,
    /// CPU that its long-running tasks reserve.
    pub needed_milli: u64,
    /// CPU that long-running jobs may still reserve.
    pub left_milli: u64,
    /// Time in which the missing CPU becomes free, if others return as they were asked to.
    pub forecast_ms: u64,
}

/// Outcome of an admission decision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The job is accepted.
    Accept,
    /// The job is refused and never runs unless its caller submits it again.
    Refuse(Refusal),
}
