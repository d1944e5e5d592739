//! Records that could not be stored.
//!
//! A record that the store rejects each time fails with all others of its transaction. While other
//! calls succeed, the records of a failed transaction are therefore split into halves until the
//! rejected one is alone. While none succeeds, the store is unavailable, and no record is to blame:
//! all transactions shrink, and they grow again with the first that succeeds.

use super::US_PER_MS;
use super::job::{Job, TaskRef, TaskState};
use super::orders::JobWrite;
use super::state::Fleet;

/// Rejections of a record on its own from which its retries are delayed.
const MIN_DELAYED_REJECTIONS: u32 = 2;

/// Delay of the first delayed retry of a record that failed in a transaction of its own.
const INITIAL_RETRY_DELAY_US: u64 = 100 * US_PER_MS;

/// Maximum delay of a retry.
const MAX_RETRY_DELAY_US: u64 = 2_000 * US_PER_MS;

/// Rejections of a record on its own after which its job places no tasks until a record is stored.
const MAX_REJECTIONS: u32 = 3;

/// Growth of the transactions from one that was stored to the next.
const GROUP_GROWTH_FACTOR: usize = 4;

/// Consecutive conflicts of a record that do not count as failures. Each one reports the revisions
/// and closed zones that the next attempt takes into account.
const MAX_CONFLICTS: u32 = 2;

/// Failed attempts to store a job's record since it was last stored.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct WriteFailures {
    /// Number of attempts, in transactions of any size.
    attempts: u32,
    /// When the first attempt began.
    began_us: u64,
    /// When the last attempt failed.
    failed_us: u64,
    /// Maximum size of the next transaction; 0 if the job has no limit of its own.
    max_group: usize,
    /// Attempts in a transaction of its own.
    alone: u32,
    /// Number of these that failed although the store had answered another call since the attempt
    /// before.
    rejections: u32,
    /// Consecutive conflicts.
    conflicts: u32,
}

/// What the outcomes of transactions tell about the store.
#[derive(Clone, Copy, Debug)]
pub(super) struct StoreHealth {
    /// When the store last answered a call.
    answered_us: u64,
    /// Maximum number of records in a transaction.
    max_group: usize,
    /// Job whose rejected record is being written again.
    retrying: Option<u32>,
}

impl Default for StoreHealth {
    fn default() -> Self {
        Self { answered_us: 0, max_group: usize::MAX, retrying: None }
    }
}

impl WriteFailures {
    /// Whether the record fails on its own again and again although the store answers.
    fn is_rejected(&self) -> bool {
        self.rejections >= MIN_DELAYED_REJECTIONS
    }

    /// Whether the record failed on its own, and the store has answered no call since. A single
    /// failure while the store answers may be a lost answer.
    fn is_suspect(&self, answered_us: u64) -> bool {
        let is_lost_answer = self.alone == 1 && self.rejections == 1;
        self.alone > 0 && !is_lost_answer && answered_us <= self.failed_us
    }

    fn retry_delay_us(&self) -> u64 {
        let doublings = self.rejections.saturating_sub(MIN_DELAYED_REJECTIONS).min(8);
        (INITIAL_RETRY_DELAY_US << doublings).min(MAX_RETRY_DELAY_US)
    }
}

impl Job {
    /// Whether the job places no tasks because its record is rejected.
    pub(super) fn awaits_record(&self) -> bool {
        self.write_failures.rejections >= MAX_REJECTIONS
    }
}

impl Fleet {
    /// Records that the store answered a call that was sent at `sent_us`.
    pub fn store_answered(&mut self, sent_us: u64) {
        self.store_health.answered_us = self.store_health.answered_us.max(sent_us);
    }

    /// Records that a write could not be stored; it is retried later.
    pub fn not_committed(&mut self, write: &JobWrite, now_us: u64) {
        self.requeue(write, now_us);
        let health = &mut self.store_health;
        let Some(job) = self.jobs[write.slot as usize].as_mut() else { return };
        let failures = &mut job.write_failures;
        if failures.attempts == 0 {
            failures.began_us = write.taken_us;
            failures.failed_us = write.taken_us;
        }
        let is_answering = health.answered_us > failures.failed_us;
        let half = (write.group / 2).max(1);
        let is_alone = write.group <= 1;
        failures.attempts += 1;
        failures.failed_us = now_us;
        failures.alone += u32::from(is_alone);
        if !is_answering {
            if failures.rejections == 0 {
                health.max_group = health.max_group.min(half);
            }
            return;
        }
        failures.max_group = half;
        if is_alone {
            failures.rejections += 1;
            self.record_rejected(write.slot, now_us);
        }
    }

    /// Records that a write met a newer revision or a closed zone; it is retried at once.
    pub fn conflicted(&mut self, write: &JobWrite, now_us: u64) {
        self.store_answered(now_us);
        let job = self.jobs[write.slot as usize].as_mut();
        let is_tolerated = job.is_none_or(|job| {
            job.write_failures.conflicts += 1;
            job.write_failures.conflicts <= MAX_CONFLICTS
        });
        if is_tolerated {
            self.requeue(write, now_us);
        } else {
            self.not_committed(write, now_us);
        }
    }

    fn requeue(&mut self, write: &JobWrite, now_us: u64) {
        self.store_health.retrying.take_if(|slot| *slot == write.slot);
        if let Some(job) = self.jobs[write.slot as usize].as_mut() {
            job.is_committing = false;
            job.revision = write.revision;
            self.dirty.entry(write.slot).or_insert(now_us);
            self.urgent.insert(write.slot);
        }
    }

    /// Records that the store took a write.
    pub(super) fn write_succeeded(&mut self, write: &JobWrite, now_us: u64) {
        self.store_answered(now_us);
        let health = &mut self.store_health;
        health.max_group = health.max_group.max(write.group * GROUP_GROWTH_FACTOR);
        health.retrying.take_if(|slot| *slot == write.slot);
        if let Some(job) = self.jobs[write.slot as usize].as_mut() {
            job.write_failures = WriteFailures::default();
        }
    }

    /// Logs the rejection of a record. After several, frees the capacity that the job's choices
    /// hold.
    fn record_rejected(&mut self, slot: u32, now_us: u64) {
        let Some(job) = self.job(slot) else { return };
        let failures = job.write_failures;
        let chosen: Vec<u32> = (0..job.tasks.len() as u32)
            .filter(|task| matches!(job.tasks[*task as usize].state, TaskState::Chosen(_)))
            .collect();
        let withdrawn = if job.awaits_record() { chosen } else { Vec::new() };
        log::warn!(event = "record_rejected", job = job.spec.id.as_str(),
            attempts = failures.attempts, rejections = failures.rejections,
            rejected_ms = now_us.saturating_sub(failures.began_us) / US_PER_MS,
            retry_ms = failures.retry_delay_us() / US_PER_MS, withdrawn = withdrawn.len();
            "the store answers but does not take the record");
        if withdrawn.is_empty() {
            return;
        }
        for task in withdrawn {
            self.withdraw_choice(TaskRef { job: slot, task }, TaskState::Waiting, now_us);
        }
        self.mark_urgent(slot, now_us);
    }

    /// Whether a job's record must not be written now. At most one rejected record is written at a
    /// time, so that transactions remain for the others.
    pub(super) fn is_write_delayed(&self, slot: u32, now_us: u64) -> bool {
        let Some(job) = self.job(slot) else { return true };
        let (failures, health) = (&job.write_failures, &self.store_health);
        let is_delayed = failures.is_rejected() || failures.is_suspect(health.answered_us);
        is_delayed
            && (now_us < failures.failed_us + failures.retry_delay_us()
                || failures.is_rejected() && health.retrying.is_some())
    }

    /// Position of a job's record behind those of its kind that have not failed on their own: when
    /// it last failed, or 0.
    pub(super) fn write_failed_us(&self, job: &Job) -> u64 {
        let failures = &job.write_failures;
        let is_last = failures.is_rejected() || failures.is_suspect(self.store_health.answered_us);
        if is_last { failures.failed_us } else { 0 }
    }

    /// Maximum number of records in a transaction with the record of this job, and whether the
    /// transaction is limited to records that have failed.
    pub(super) fn write_group(&self, slot: u32) -> (usize, bool) {
        let own = self.job(slot).map_or(0, |job| job.write_failures.max_group);
        match own {
            0 => (self.store_health.max_group, false),
            own => (self.store_health.max_group.min(own), true),
        }
    }

    /// Records that a job's record is being written.
    pub(super) fn write_taken(&mut self, slot: u32) {
        if self.job(slot).is_some_and(|job| job.write_failures.is_rejected()) {
            self.store_health.retrying = Some(slot);
        }
    }
}
