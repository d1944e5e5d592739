//! Selects the workers to ask about.
//!
//! Load pattern: a few workers of hundreds have the label that a step needs, or capacity for it. The
//! tickets of a running step expire all the time, while a worker is lost and one of its tasks must
//! run elsewhere. If every worker with an expired ticket were named again and the list were cut then,
//! workers that can't take the task would push out those that can. So only workers that would take a
//! task are candidates, an approved one counts for one missing task, and the others follow in the order
//! in which placement prefers them.

use crate::fleet::WorkerIndex;

use super::answers::Standing;

/// Number of workers named, if there are so many candidates, for a step that misses fewer tasks. Some of
/// them will be declined.
pub const MIN_SHORTLIST: usize = 30;

/// Maximum number of workers in one question.
pub const MAX_WORKERS_PER_QUESTION: usize = 100;

/// A worker that would take a task of the step if it had a ticket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// The worker.
    pub worker: WorkerIndex,
    /// Its score in placement; lower is better.
    pub score: f64,
    /// What is known of it.
    pub standing: Standing,
}

/// Returns the workers to ask about so that `missing` more tasks can be placed; empty if no question can
/// help. Tickets of approved workers are renewed only as far as tasks are missing; if that is enough, no
/// other worker is named, which keeps the question short. Workers declined long ago are named when no
/// other is left.
pub fn shortlist(mut candidates: Vec<Candidate>, missing: usize) -> Vec<WorkerIndex> {
    candidates.sort_by(|a, b| a.score.total_cmp(&b.score).then(a.worker.cmp(&b.worker)));
    let of = |standing| {
        let workers = candidates.iter().filter(move |candidate| candidate.standing == standing);
        workers.map(|candidate| candidate.worker)
    };
    let limit = missing.clamp(MIN_SHORTLIST, MAX_WORKERS_PER_QUESTION);
    let renewals: Vec<WorkerIndex> = of(Standing::Expired).take(missing.min(limit)).collect();
    if !renewals.is_empty() && renewals.len() >= missing.min(limit) {
        return renewals;
    }
    let mut workers: Vec<WorkerIndex> =
        renewals.into_iter().chain(of(Standing::Unknown)).take(limit).collect();
    if workers.is_empty() {
        workers.extend(of(Standing::DeclinedBefore).take(limit));
    }
    workers
}
