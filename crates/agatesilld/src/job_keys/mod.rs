//! What the store holds under the key of a job, and writes that take it into account.
//!
//! A write of a job may take effect seconds after its caller has left, at any daemon. Whoever answers
//! that a job does not exist therefore occupies its key first: a guarded write under way finds the
//! record there, and has no effect.

pub mod cancels;
pub mod guarded;
pub mod record_lease;
pub mod refusal_record;
