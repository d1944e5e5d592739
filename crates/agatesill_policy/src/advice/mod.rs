//! Placement advice for queues whose policy allows only some workers to run a step.
//!
//! An external service knows which workers these are. It serves one call at a time from each
//! machine, and a call takes longer for each worker named. Its answer about a step and a worker does
//! not change while the worker lives, but a start needs a ticket that expires after seconds.
//!
//! `answers` keeps what the service has said about one step. `shortlist` selects the workers to name in
//! the next question, out of those that would take a task if they had a ticket.

mod answers;
mod shortlist;

pub use answers::{Standing, StepAdvice};
pub use shortlist::{Candidate, MAX_WORKERS_PER_QUESTION, MIN_SHORTLIST, shortlist};
