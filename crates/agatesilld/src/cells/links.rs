//! What is known of one worker: which attempts it has, and until when their leases may hold.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use agatesill_policy::batch::Throttle;
use agatesill_policy::prelude::*;
use agatesill_wire::platform::{AttemptReport, AttemptState};

use super::workers::WORKER_CALL_LIMIT;
use crate::settings::CellSettings;

/// Share of an attempt's lease that is waited beyond its end, for clocks of different rates; they
/// differ by far less than 1%, the rest covers scheduling on the worker.
const DRIFT_PERCENT: u32 = 20;

/// One attempt at its worker.
#[derive(Clone, Copy, Debug)]
pub(super) struct Track {
    /// When a start or renewal of it was last sent, whatever became of the call.
    pub(super) sent: Instant,
    /// Whether the worker's newest answer listed it.
    pub(super) seen: bool,
    /// When an answer first listed it as running.
    pub(super) seen_since: Option<Instant>,
    /// When an answer last listed it as running.
    pub(super) last_seen: Option<Instant>,
    /// Whether a start may have been sent. A start is sent at most once.
    pub(super) start_sent: bool,
}

impl Track {
    /// Tracks an attempt that has not been started.
    pub(super) fn new(now: Instant) -> Self {
        Self { sent: now, seen: false, seen_since: None, last_seen: None, start_sent: false }
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

/// One worker.
#[derive(Debug, Default)]
pub(super) struct Link {
    /// Whether calls are under way.
    pub(super) busy: bool,
    /// Whether there is something to say before the next regular call.
    pub(super) due: bool,
    /// When the last calls began.
    pub(super) called: Option<Instant>,
    /// When it last answered.
    pub(super) answered: Option<Instant>,
    /// When the worker first answered this owner; from then on it refuses earlier ones.
    pub(super) reached: Option<Instant>,
    pub(super) tracks: BTreeMap<(TaskId, Attempt), Track>,
    /// Attempts to be stopped: they run there against the ledger, or a late start of them is to be barred.
    pub(super) strays: BTreeSet<(TaskId, Attempt)>,
    /// Ended attempts that the worker need not report again.
    pub(super) settled: BTreeSet<(TaskId, Attempt)>,
    pub(super) throttles: Vec<Throttle>,
    /// Answers in a row that did not come.
    pub(super) failures: u32,
}

impl Link {
    /// Queues a throttle; a newer one for the same attempt replaces it.
    pub(super) fn throttle(&mut self, throttle: Throttle) {
        self.throttles.retain(|one| one.task != throttle.task || one.attempt != throttle.attempt);
        self.throttles.push(throttle);
        self.due = true;
    }

    /// Notes an attempt that has to be started.
    pub(super) fn expect(&mut self, task: &str, attempt: Attempt) {
        let track = Track::new(Instant::now());
        self.tracks.insert((task.to_owned(), attempt), track);
        self.due = true;
    }

    /// Time from the first to the last answer that listed an attempt as running; `None` if no answer
    /// did.
    pub(super) fn seen_for_ms(&self, task: &str, attempt: Attempt) -> Option<u64> {
        let track = self.tracks.get(&(task.to_owned(), attempt))?;
        let seen = track.last_seen?.saturating_duration_since(track.seen_since?);
        Some(seen.as_millis() as u64)
    }

    /// Whether an attempt may have been started and is absent from a worker's reports, or is
    /// reported only as stopped without progress, as a barred attempt is.
    pub(super) fn is_missing(&self, key: &(TaskId, Attempt), reports: &[AttemptReport]) -> bool {
        let is_barred = |report: &AttemptReport| {
            report.state == AttemptState::Stopped && report.checkpoint_ms == 0
        };
        self.tracks.get(key).is_some_and(|track| track.start_sent)
            && !reports
                .iter()
                .any(|report| report.task == key.0 && report.attempt == key.1 && !is_barred(report))
    }

    /// Drops what is known of an attempt that has ended.
    pub(super) fn forget(&mut self, task: &str, attempt: Attempt) {
        self.tracks.remove(&(task.to_owned(), attempt));
    }

    /// Whether the worker has not answered for a whole lease.
    ///
    /// Guards against attempts that stay charged for ever: each renewal sent into the void may have
    /// arrived and moves the end of the lease. From here on the worker is only asked, not renewed,
    /// so that the lease can end; an answer changes that back.
    pub(super) fn is_silent(&self, taken: Instant, settings: &CellSettings, now: Instant) -> bool {
        let heard = self.answered.unwrap_or(taken);
        now.saturating_duration_since(heard) > Duration::from_millis(settings.attempt_lease_ms)
    }

    /// Whether the lease of an attempt is certainly over.
    ///
    /// Counted from the last renewal *sent* by this owner: an unanswered one may have arrived, at
    /// most [`WORKER_CALL_LIMIT`] later. After a takeover the lease counts from the worker's first
    /// answer, because the earlier owner may have renewed until then; a worker that never answered
    /// is given the time for which an earlier owner may go on renewing without the store.
    pub(super) fn lease_over(
        &self,
        task: &str,
        attempt: Attempt,
        taken: Instant,
        settings: &CellSettings,
        now: Instant,
    ) -> bool {
        let lease = Duration::from_millis(settings.attempt_lease_ms);
        let certain = lease * (100 + DRIFT_PERCENT) / 100 + WORKER_CALL_LIMIT;
        let sent = self.tracks.get(&(task.to_owned(), attempt)).map(|track| track.sent);
        let from = match self.reached {
            Some(reached) => reached,
            None => taken + Duration::from_millis(settings.outage_renew_ms),
        };
        now.saturating_duration_since(sent.map_or(from, |sent| sent.max(from))) > certain
    }
}
