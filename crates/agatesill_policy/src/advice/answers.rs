//! What the advice service has said about the workers for one step.

use std::collections::HashMap;

use crate::fleet::WorkerIndex;

use super::MIN_SHORTLIST;

/// Microseconds in a millisecond.
const US_PER_MS: u64 = 1_000;

/// Time without an answer after which a question about [`MIN_SHORTLIST`] workers is asked again; it is
/// longer in proportion for more workers.
const ANSWER_TIMEOUT_US: u64 = 3_000 * US_PER_MS;

/// Percentage of its validity for which a ticket is used; the rest is left for the order to arrive.
const USABLE_VALIDITY_PERCENT: u64 = 80;

/// Time after which a worker that was declined may be asked about again.
///
/// Guards against a service that declines a worker which it does not know yet.
const DECLINED_RECHECK_US: u64 = 30_000 * US_PER_MS;

/// What is known of a worker for one step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// It has a ticket that may be used.
    Usable,
    /// It is approved, and its ticket has expired.
    Expired,
    /// Nothing was said about it.
    Unknown,
    /// It was declined.
    Declined,
    /// It was declined so long ago that it may be asked about again.
    DeclinedBefore,
}

#[derive(Clone, Debug)]
enum Answer {
    Approved { ticket: String, until_us: u64 },
    Declined { at_us: u64 },
}

/// A question without an answer so far.
#[derive(Clone, Copy, Debug)]
struct Pending {
    asked_us: u64,
    timeout_us: u64,
}

/// Advice received for one step.
#[derive(Clone, Debug, Default)]
pub struct StepAdvice {
    answers: HashMap<WorkerIndex, Answer>,
    pending: Option<Pending>,
}

impl StepAdvice {
    /// Returns the ticket of a worker, unless it has expired.
    pub fn ticket(&self, worker: WorkerIndex, now_us: u64) -> Option<&str> {
        match self.answers.get(&worker)? {
            Answer::Approved { ticket, until_us } if now_us < *until_us => Some(ticket),
            Answer::Approved { .. } | Answer::Declined { .. } => None,
        }
    }

    /// Returns what is known of a worker.
    pub fn standing(&self, worker: WorkerIndex, now_us: u64) -> Standing {
        match self.answers.get(&worker) {
            None => Standing::Unknown,
            Some(Answer::Approved { until_us, .. }) if now_us < *until_us => Standing::Usable,
            Some(Answer::Approved { .. }) => Standing::Expired,
            Some(Answer::Declined { at_us }) if now_us < at_us + DECLINED_RECHECK_US => {
                Standing::Declined
            }
            Some(Answer::Declined { .. }) => Standing::DeclinedBefore,
        }
    }

    /// Returns the approved workers in index order. Their tickets may have expired.
    pub fn approved(&self) -> Vec<WorkerIndex> {
        let is_approved = |answer: &Answer| matches!(answer, Answer::Approved { .. });
        let approved = self.answers.iter().filter(|(_, answer)| is_approved(answer));
        let mut workers: Vec<WorkerIndex> = approved.map(|(worker, _)| *worker).collect();
        workers.sort_unstable();
        workers
    }

    /// Whether a question may be asked: none is pending, or its answer is overdue.
    pub fn may_ask(&self, now_us: u64) -> bool {
        self.pending.is_none_or(|pending| now_us >= pending.asked_us + pending.timeout_us)
    }

    /// Records that a question about this many workers is asked.
    pub fn asked(&mut self, workers: usize, now_us: u64) {
        let timeout_us = ANSWER_TIMEOUT_US * workers.div_ceil(MIN_SHORTLIST).max(1) as u64;
        self.pending = Some(Pending { asked_us: now_us, timeout_us });
    }

    /// Records that the question got no answer. Nothing is known of its workers that was not known
    /// before.
    pub fn unanswered(&mut self) {
        self.pending = None;
    }

    /// Records an answer: which of the workers asked about are approved, and their tickets.
    pub fn answered(
        &mut self,
        asked: impl Iterator<Item = WorkerIndex>,
        approved: impl Iterator<Item = (WorkerIndex, String)>,
        valid_ms: u64,
        now_us: u64,
    ) {
        self.pending = None;
        self.answers.extend(asked.map(|worker| (worker, Answer::Declined { at_us: now_us })));
        let until_us = now_us + valid_ms * US_PER_MS * USABLE_VALIDITY_PERCENT / 100;
        let approved =
            approved.map(|(worker, ticket)| (worker, Answer::Approved { ticket, until_us }));
        self.answers.extend(approved);
    }

    /// Records that a worker rejected a ticket as invalid. The next one is asked for.
    pub fn ticket_rejected(&mut self, worker: WorkerIndex) {
        if let Some(Answer::Approved { until_us, .. }) = self.answers.get_mut(&worker) {
            *until_us = 0;
        }
    }
}
