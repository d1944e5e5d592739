//! Questions to the advice service about workers that would take a task of a step.

use crate::advice::{Candidate, Standing, shortlist};

use super::job::TaskKey;
use super::orders::Order;
use super::place::PlacementRequest;
use super::state::{Fleet, TaskGroup};
use super::worker::WorkerIndex;

/// A question to the advice service: which of these workers may run the step?
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceQuestion {
    /// Key of the first task of the step.
    pub step: TaskKey,
    /// Incarnations of the workers in question.
    pub workers: Vec<String>,
}

impl Fleet {
    /// Returns the ticket with which a worker may start tasks of a step, unless it has expired.
    pub(super) fn ticket(
        &self,
        group: TaskGroup,
        worker: WorkerIndex,
        now_us: u64,
    ) -> Option<&str> {
        self.advice.get(&group)?.ticket(worker, now_us)
    }

    /// Whether the advice service has approved a worker for a step. Its ticket may have expired.
    pub(super) fn is_approved(&self, group: TaskGroup, worker: WorkerIndex, now_us: u64) -> bool {
        let standing = self.advice.get(&group).map(|advice| advice.standing(worker, now_us));
        matches!(standing, Some(Standing::Usable | Standing::Expired))
    }

    /// Returns the workers with a ticket for a step, in index order. Tickets may have expired.
    pub(super) fn workers_with_tickets(&self, group: TaskGroup) -> Vec<WorkerIndex> {
        self.advice.get(&group).map(|advice| advice.approved()).unwrap_or_default()
    }

    /// Queues a question about workers that would take a task, unless an answer is still pending.
    /// `missing` tasks of the step could not be placed, the first of them with this request.
    pub(super) fn request_advice(
        &mut self,
        group: TaskGroup,
        request: &PlacementRequest<'_>,
        missing: usize,
        now_us: u64,
    ) {
        let Some(job) = self.job(group.job) else { return };
        let step = job.key(job.first_of(group.occurrence, group.step));
        if !self.advice.get(&group).is_none_or(|advice| advice.may_ask(now_us)) {
            return;
        }
        let candidates = self.advice_candidates(group, request, now_us);
        let count = candidates.len();
        let workers = shortlist(candidates, missing);
        if workers.is_empty() {
            return;
        }
        self.advice.entry(group).or_default().asked(workers.len(), now_us);
        log::info!(event = "advice_requested", job = step.job.as_str(), step = group.step,
            missing = missing, candidates = count, asked = workers.len(); "");
        let ids = workers.iter().map(|index| self.workers[*index as usize].entry.id.clone());
        let workers = ids.collect();
        self.questions.push(AdviceQuestion { step, workers });
    }

    /// Returns the workers without a usable ticket that would take a task if they had one.
    fn advice_candidates(
        &self,
        group: TaskGroup,
        request: &PlacementRequest<'_>,
        now_us: u64,
    ) -> Vec<Candidate> {
        let advice = self.advice.get(&group);
        let request = PlacementRequest { ticket_group: None, ..*request };
        self.live_workers()
            .filter_map(|(worker, _)| {
                let standing =
                    advice.map_or(Standing::Unknown, |advice| advice.standing(worker, now_us));
                if matches!(standing, Standing::Usable | Standing::Declined) {
                    return None;
                }
                let score = self.placement_score_of(&request, worker, now_us)?;
                Some(Candidate { worker, score, standing })
            })
            .collect()
    }

    /// Has a new ticket asked for after a worker rejected the one of a start.
    pub(super) fn ticket_rejected(&mut self, order: &Order) {
        let (occurrence, step) = (order.task.occurrence, order.task.step);
        let group = TaskGroup { job: order.task_ref.job, occurrence, step };
        if let Some(advice) = self.advice.get_mut(&group) {
            advice.ticket_rejected(order.worker);
        }
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
        let Some(good) = good else {
            advice.unanswered();
            return;
        };
        let index_of = |id: &String| self.worker_by_id.get(id).copied();
        let asked = question.workers.iter().filter_map(index_of);
        let approved = good.iter().filter_map(|(id, ticket)| Some((index_of(id)?, ticket.clone())));
        advice.answered(asked, approved, valid_ms, now_us);
        log::info!(event = "advised", job = question.step.job.as_str(), step = group.step,
            asked = question.workers.len(), good = good.len(), valid_ms = valid_ms; "");
    }
}
