//! Queues whose policy lets only some workers run a step, and an outside service that knows which.
//!
//! The service takes one call at a time from each machine and longer for each worker named, so a
//! step asks for a few workers with room, and for others only when those are not enough.

use std::collections::{HashMap, HashSet};

use super::US_PER_MS;
use super::job::TaskKey;
use super::state::{Fleet, TaskGroup};
use super::worker::WorkerIndex;

/// Workers named in one call.
const WORKERS_A_CALL: usize = 30;

/// A call without an answer for this long is made again.
const ANSWER_LIMIT_US: u64 = 3_000 * US_PER_MS;

/// Part of a ticket's validity after which it is not used any more: the order has to arrive in time.
const USABLE_PERCENT: u64 = 80;

/// A question to the service.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceQuestion {
    /// The step, by its first task.
    pub step: TaskKey,
    /// Incarnations of the workers in question.
    pub workers: Vec<String>,
}

/// What is known of one step.
#[derive(Debug, Default)]
pub(super) struct Advice {
    tickets: HashMap<WorkerIndex, (String, u64)>,
    asked: HashSet<WorkerIndex>,
    waiting_since_us: u64,
}

impl Fleet {
    /// The ticket with which a worker starts tasks of a step now.
    pub(super) fn ticket(
        &self,
        group: TaskGroup,
        worker: WorkerIndex,
        now_us: u64,
    ) -> Option<&str> {
        let (ticket, until_us) = self.advice.get(&group)?.tickets.get(&worker)?;
        (now_us < *until_us).then_some(ticket.as_str())
    }

    /// The workers that were given a ticket for a step, in the order of the ledger.
    pub(super) fn with_tickets(&self, group: TaskGroup) -> Vec<WorkerIndex> {
        let known = self.advice.get(&group);
        let mut workers: Vec<WorkerIndex> =
            known.into_iter().flat_map(|known| known.tickets.keys().copied()).collect();
        workers.sort_unstable();
        workers
    }

    /// Asks about workers for a step, unless an answer is still to come.
    pub(super) fn ask_advice(&mut self, group: TaskGroup, service: &str, now_us: u64) {
        let Some(job) = self.job(group.job) else { return };
        let charge = job.spec.steps[group.step as usize].allocation();
        let step = job.key(job.first_of(group.occurrence, group.step));
        let known = self.advice.entry(group).or_default();
        if known.waiting_since_us > 0 && now_us - known.waiting_since_us < ANSWER_LIMIT_US {
            return;
        }
        // A worker that was good stays good; only its ticket has to be renewed.
        let is_worth_asking =
            |index: &WorkerIndex| !known.asked.contains(index) || known.tickets.contains_key(index);
        let mut candidates: Vec<WorkerIndex> = self
            .workers
            .iter()
            .enumerate()
            .filter(|(_, worker)| {
                worker.is_open(now_us)
                    && worker.entry.service == service
                    && worker.has_capacity_for(&charge)
            })
            .map(|(index, _)| index as WorkerIndex)
            .filter(is_worth_asking)
            .collect();
        candidates.sort_by_key(|index| {
            let free = self.workers[*index as usize].free().cpu_milli;
            (!known.tickets.contains_key(index), std::cmp::Reverse(free))
        });
        candidates.truncate(WORKERS_A_CALL);
        if candidates.is_empty() {
            known.asked.clear();
            return;
        }
        known.waiting_since_us = now_us;
        known.asked.extend(&candidates);
        let workers =
            candidates.iter().map(|index| self.workers[*index as usize].entry.id.clone()).collect();
        self.questions.push(AdviceQuestion { step, workers });
    }

    /// Questions to put to the service.
    pub fn take_questions(&mut self) -> Vec<AdviceQuestion> {
        std::mem::take(&mut self.questions)
    }

    /// Takes in the service's answer: the workers that may run the step, each with its ticket.
    /// `None` if there was no answer; the question is asked again.
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
        let Some(known) = self.advice.get_mut(&group) else { return };
        known.waiting_since_us = 0;
        let asked = question.workers.iter().filter_map(|id| self.worker_by_id.get(id));
        asked.for_each(|index| drop(known.tickets.remove(index)));
        let Some(good) = good else {
            known.asked.clear();
            return;
        };
        let until_us = now_us + valid_ms * US_PER_MS * USABLE_PERCENT / 100;
        for (id, ticket) in good {
            if let Some(index) = self.worker_by_id.get(id) {
                known.tickets.insert(*index, (ticket.clone(), until_us));
            }
        }
        log::info!(event = "advised", job = question.step.job.as_str(), step = group.step,
            asked = question.workers.len(), good = good.len(), valid_ms = valid_ms; "");
    }
}
