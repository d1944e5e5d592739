//! State of the connection to one worker: its known attempts and how long their leases may be
//! valid.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use agatesill_policy::batch::Throttle;
use agatesill_policy::prelude::*;
use agatesill_wire::platform::{AttemptReport, AttemptState, CallValidity, WorkerReply};

use super::workers::WORKER_CALL_TIMEOUT;
use crate::settings::CellSettings;

/// Margin added to an attempt's lease before it counts as expired, in percent of the lease. It
/// covers clocks that run at different rates, which differ by far less than 1%, and scheduling
/// delays on the worker.
const LEASE_MARGIN_PERCENT: u32 = 20;

/// Reading of a worker's clock.
#[derive(Clone, Copy, Debug)]
pub(super) struct ClockReading {
    incarnation: u64,
    clock_ms: u64,
    /// When the reply that carries the reading had arrived.
    received: Instant,
}

impl ClockReading {
    /// The reading that a reply carries.
    pub(super) fn new(reply: &WorkerReply, received: Instant) -> Self {
        Self { incarnation: reply.incarnation, clock_ms: reply.clock_ms, received }
    }

    /// Validity of a call sent at `sent`: it takes effect within [`WORKER_CALL_TIMEOUT`] or never.
    ///
    /// Holds because the reading was taken before its reply arrived, so that the worker's clock shows
    /// `until_ms` at the end of that time or earlier.
    pub(super) fn validity(&self, sent: Instant) -> CallValidity {
        let elapsed = sent.saturating_duration_since(self.received) + WORKER_CALL_TIMEOUT;
        let until_ms = self.clock_ms.saturating_add(elapsed.as_millis() as u64);
        CallValidity { incarnation: self.incarnation, until_ms }
    }
}

/// An attempt as seen by its worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct TrackedAttempt {
    /// When a start or renewal was last sent, regardless of the result of the call.
    pub(super) sent: Instant,
    /// Whether the round of calls in progress may still send one.
    pub(super) sending: bool,
    /// Whether the worker's latest answer listed it as running.
    pub(super) seen: bool,
    /// When an answer first listed it as running.
    pub(super) seen_since: Option<Instant>,
    /// When an answer last listed it as running.
    pub(super) last_seen: Option<Instant>,
    /// Whether a start may have been sent. A start is sent at most once.
    pub(super) start_sent: bool,
}

impl TrackedAttempt {
    /// Tracks an attempt that has not been started.
    pub(super) fn new(now: Instant) -> Self {
        Self {
            sent: now,
            sending: false,
            seen: false,
            seen_since: None,
            last_seen: None,
            start_sent: false,
        }
    }

    /// Tracks an attempt that an earlier owner placed and may have started.
    pub(super) fn inherited(now: Instant) -> Self {
        Self { start_sent: true, ..Self::new(now) }
    }

    /// Records that an answer listed it as running.
    pub(super) fn mark_seen(&mut self, now: Instant) {
        self.seen = true;
        self.seen_since.get_or_insert(now);
        self.last_seen = Some(now);
    }
}

/// Connection to one worker.
#[derive(Debug, Default)]
pub(super) struct WorkerConnection {
    /// Whether a round of calls is in progress.
    pub(super) busy: bool,
    /// Whether calls are needed before the next regular poll.
    pub(super) due: bool,
    /// When the last round of calls started.
    pub(super) called: Option<Instant>,
    /// When the worker last answered.
    pub(super) answered: Option<Instant>,
    /// The newest reading of the worker's clock.
    pub(super) clock: Option<ClockReading>,
    /// When the worker first answered this owner. From then on it refuses earlier owners.
    pub(super) reached: Option<Instant>,
    pub(super) tracked_attempts: BTreeMap<(TaskId, Attempt), TrackedAttempt>,
    /// Attempts to stop, because the worker runs them although the ledger does not place them
    /// there, or because a late start of them has to be prevented.
    pub(super) to_stop: BTreeSet<(TaskId, Attempt)>,
    /// Ended attempts that the worker need not report any more.
    pub(super) settled: BTreeSet<(TaskId, Attempt)>,
    pub(super) throttles: Vec<Throttle>,
    /// Consecutive failed rounds.
    pub(super) failures: u32,
}

impl WorkerConnection {
    /// Queues a throttle; a newer one for the same attempt replaces it.
    pub(super) fn throttle(&mut self, throttle: Throttle) {
        self.throttles.retain(|one| one.task != throttle.task || one.attempt != throttle.attempt);
        self.throttles.push(throttle);
        self.due = true;
    }

    /// Adds an attempt that has to be started.
    pub(super) fn add_attempt(&mut self, task: &str, attempt: Attempt) {
        let track = TrackedAttempt::new(Instant::now());
        self.tracked_attempts.insert((task.to_owned(), attempt), track);
        self.due = true;
    }

    /// Records when the finished round sent a start or a renewal of these attempts.
    pub(super) fn finish_sending(&mut self, sent: &[((TaskId, Attempt), Instant)]) {
        self.tracked_attempts.values_mut().for_each(|track| track.sending = false);
        for (key, sent) in sent {
            if let Some(track) = self.tracked_attempts.get_mut(key) {
                track.sent = *sent;
            }
        }
    }

    /// Records that the starts of these attempts were not sent after all, or had no effect.
    ///
    /// Guards against healthy jobs that fail for starts that never reached a worker: an attempt that
    /// may have been started and is not reported counts as one that crashed its worker.
    pub(super) fn mark_unsent(&mut self, attempts: &[(TaskId, Attempt)]) {
        for key in attempts {
            if let Some(track) = self.tracked_attempts.get_mut(key) {
                track.start_sent = false;
            }
        }
    }

    /// Whether an attempt may have been started.
    pub(super) fn may_have_started(&self, task: &str, attempt: Attempt) -> bool {
        let track = self.tracked_attempts.get(&(task.to_owned(), attempt));
        track.is_none_or(|track| track.start_sent)
    }

    /// Time from the first to the last answer that listed an attempt as running; `None` if no answer
    /// did.
    pub(super) fn seen_for_ms(&self, task: &str, attempt: Attempt) -> Option<u64> {
        let track = self.tracked_attempts.get(&(task.to_owned(), attempt))?;
        let seen = track.last_seen?.saturating_duration_since(track.seen_since?);
        Some(seen.as_millis() as u64)
    }

    /// Whether an attempt may have been started and is absent from a worker's reports. An attempt
    /// that is reported as stopped without progress counts as absent, because a start prevented by
    /// a stop is reported so.
    pub(super) fn is_missing(&self, key: &(TaskId, Attempt), reports: &[AttemptReport]) -> bool {
        let is_prevented_start = |report: &AttemptReport| {
            report.state == AttemptState::Stopped && report.checkpoint_ms == 0
        };
        self.tracked_attempts.get(key).is_some_and(|track| track.start_sent)
            && !reports.iter().any(|report| {
                report.task == key.0 && report.attempt == key.1 && !is_prevented_start(report)
            })
    }

    /// Removes an attempt that has ended.
    pub(super) fn forget(&mut self, task: &str, attempt: Attempt) {
        self.tracked_attempts.remove(&(task.to_owned(), attempt));
    }

    /// Whether the worker has not answered for a whole lease.
    ///
    /// Guards against attempts that stay allocated forever: each unanswered renewal may have
    /// arrived and extends the lease. An unresponsive worker is only polled and not renewed, so
    /// that the lease can expire; renewals resume after its next answer.
    pub(super) fn is_unresponsive(
        &self,
        taken_over_at: Instant,
        settings: &CellSettings,
        now: Instant,
    ) -> bool {
        let heard = self.answered.unwrap_or(taken_over_at);
        now.saturating_duration_since(heard) > Duration::from_millis(settings.attempt_lease_ms)
    }

    /// Whether the lease of an attempt has certainly expired.
    ///
    /// The lease counts from the last renewal *sent* by this owner: an unanswered renewal may have
    /// arrived, and its validity ends [`WORKER_CALL_TIMEOUT`] later. After a takeover it counts from the worker's
    /// first answer, because the previous owner may have renewed until then. For a worker that has
    /// never answered, it counts from the end of the time for which a previous owner may keep
    /// renewing without the store.
    pub(super) fn lease_expired(
        &self,
        task: &str,
        attempt: Attempt,
        taken_over_at: Instant,
        settings: &CellSettings,
        now: Instant,
    ) -> bool {
        let lease = Duration::from_millis(settings.attempt_lease_ms);
        let expiry = lease * (100 + LEASE_MARGIN_PERCENT) / 100 + WORKER_CALL_TIMEOUT;
        let track = self.tracked_attempts.get(&(task.to_owned(), attempt));
        if track.is_some_and(|track| track.sending) {
            return false;
        }
        let sent = track.map(|track| track.sent);
        let from = match self.reached {
            Some(reached) => reached,
            None => taken_over_at + Duration::from_millis(settings.outage_renew_ms),
        };
        now.saturating_duration_since(sent.map_or(from, |sent| sent.max(from))) > expiry
    }
}
