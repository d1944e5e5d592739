//! Placement advice for queues whose policy allows only some workers to run a step.
//!
//! An external service knows which workers these are. It serves one call at a time from each
//! machine, and a call takes longer for each worker named. A step therefore asks about a few
//! workers with free capacity, and about others only if those are not enough.

use std::collections::{HashMap, HashSet};

use super::US_PER_MS;
use super::job::TaskKey;
use super::state::{Fleet, TaskGroup};
use super::worker::WorkerIndex;

/// Maximum number of workers named in one call.
const MAX_WORKERS_PER_CALL: usize = 30;

/// Time without an answer after which a question is asked again.
const ANSWER_TIMEOUT_US: u64 = 3_000 * US_PER_MS;

/// Percentage of its validity for which a ticket is used; the rest is left for the order to arrive.
const USABLE_VALIDITY_PERCENT: u64 = 80;

/// A question to the advice service: which of these workers may run the step?
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceQuestion {
    /// Key of the first task of the step.
    pub step: TaskKey,
    /// Incarnations of the workers in question.
    pub workers: Vec<String>,
}

/// Advice received for one step.
#[derive(Debug, Default)]
pub(super) struct Advice {
    /// Tickets with the time until which they are used.
    tickets: HashMap<WorkerIndex, (String, u64)>,
    /// Workers asked about so far.
    asked: HashSet<WorkerIndex>,
    /// When the pending question was asked; 0 if none is pending.
    waiting_since_us: u64,
}

impl Fleet {
    /// Returns the ticket with which a worker may start tasks of a step, unless it has expired.
    pub(super) fn ticket(
        &self,
        group: TaskGroup,
        worker: WorkerIndex,
        now_us: u64,
    ) -> Option<&str> {
        let (ticket, until_us) = self.advice.get(&group)?.tickets.get(&worker)?;
        (now_us < *until_us).then_some(ticket.as_str())
    }

    /// Returns the workers with a ticket for a step, in index order. Tickets may have expired.
    pub(super) fn workers_with_tickets(&self, group: TaskGroup) -> Vec<WorkerIndex> {
        let advice = self.advice.get(&group);
        let mut workers: Vec<WorkerIndex> =
            advice.into_iter().flat_map(|advice| advice.tickets.keys().copied()).collect();
        workers.sort_unstable();
        workers
    }

    /// Queues a question about workers for a step, unless an answer is still pending.
    pub(super) fn request_advice(&mut self, group: TaskGroup, service: &str, now_us: u64) {
        let Some(job) = self.job(group.job) else { return };
        let allocation = job.spec.steps[group.step as usize].allocation();
        let step = job.key(job.first_of(group.occurrence, group.step));
        let advice = self.advice.entry(group).or_default();
        if advice.waiting_since_us > 0 && now_us - advice.waiting_since_us < ANSWER_TIMEOUT_US {
            return;
        }
        // A worker that was approved once is asked about again, because only its ticket has to be
        // renewed.
        let may_be_asked = |index: &WorkerIndex| {
            !advice.asked.contains(index) || advice.tickets.contains_key(index)
        };
        let mut candidates: Vec<WorkerIndex> = self
            .workers
            .iter()
            .enumerate()
            .filter(|(_, worker)| {
                worker.is_open(now_us)
                    && worker.entry.service == service
                    && worker.has_capacity_for(&allocation)
            })
            .map(|(index, _)| index as WorkerIndex)
            .filter(may_be_asked)
            .collect();
        candidates.sort_by_key(|index| {
            let free = self.workers[*index as usize].free().cpu_milli;
            (!advice.tickets.contains_key(index), std::cmp::Reverse(free))
        });
        candidates.truncate(MAX_WORKERS_PER_CALL);
        if candidates.is_empty() {
            advice.asked.clear();
            return;
        }
        advice.waiting_since_us = now_us;
        advice.asked.extend(&candidates);
        let workers =
            candidates.iter().map(|index| self.workers[*index as usize].entry.id.clone()).collect();
        self.questions.push(AdviceQuestion { step, workers });
    }

    /// Takes the queued questions for the advice service.
    pub fn take_questions(&mut self) -> Vec<AdviceQuestion> {
        std::mem::take(&mut self.questions)
    }

    /// Applies an answer of the advice service. `good` holds the workers that may run the step,
    /// each with its ticket, or `None` if there was no answer, in which case the question is asked
    /// again.
    pub fn advice_answered(
        &mut self,
        question: &AdviceQuestion,
        good: Option<&[(String, String)]>,
        valid_ms: u64,
        now_us: u64,
    ) {
        let Some(job) = self.by_id.get(&question.step.job).copied() else { return };
        let group =
            TaskGroup { job, occurrence: question.step.occurrence, step: question.step.step };
        let Some(advice) = self.advice.get_mut(&group) else { return };
        advice.waiting_since_us = 0;
        let asked = question.workers.iter().filter_map(|id| self.worker_by_id.get(id));
        asked.for_each(|index| drop(advice.tickets.remove(index)));
        let Some(good) = good else {
            advice.asked.clear();
            return;
        };
        let until_us = now_us + valid_ms * US_PER_MS * USABLE_VALIDITY_PERCENT / 100;
        for (id, ticket) in good {
            if let Some(index) = self.worker_by_id.get(id) {
                advice.tickets.insert(*index, (ticket.clone(), until_us));
            }
        }
        log::info!(event = "advised", job = question.step.job.as_str(), step = group.step,
            asked = question.workers.len(), good = good.len(), valid_ms = valid_ms; "");
    }
}
