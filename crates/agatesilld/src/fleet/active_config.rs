//! The configuration that a daemon applies, and how and when it learned of it.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, PoisonError, RwLock};

use agatesill_platform::prelude::*;
use tokio::sync::Notify;

/// Time after the store's last answer from which a further one counts as overdue. A watch is
/// answered within its wait.
const MAX_ANSWER_AGE_MS: u64 = 1_500;

/// How a daemon learned of a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConfigSource {
    /// An event of the watch.
    Watch,
    /// A read of the key.
    Read,
    /// Another daemon.
    Peer,
}

impl ConfigSource {
    /// All sources.
    pub const ALL: [Self; 3] = [Self::Watch, Self::Read, Self::Peer];

    /// Name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Watch => "watch",
            Self::Read => "read",
            Self::Peer => "peer",
        }
    }
}

/// Outcome of a question to another daemon about the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuestionOutcome {
    /// The other daemon has a newer version.
    Newer,
    /// The other daemon has no newer version.
    NotNewer,
    /// No answer arrived in time.
    Unanswered,
}

impl QuestionOutcome {
    /// All outcomes.
    pub const ALL: [Self; 3] = [Self::Newer, Self::NotNewer, Self::Unanswered];

    /// Name in metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Newer => "newer",
            Self::NotNewer => "not_newer",
            Self::Unanswered => "unanswered",
        }
    }
}

/// A version of the configuration with its origin.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// The configuration.
    pub site: Arc<SiteConfig>,
    /// Revision of the store at which it was written.
    pub revision: u64,
    /// How this daemon learned of it.
    pub source: ConfigSource,
    /// The value as stored, for other daemons.
    pub value: Arc<str>,
}

/// The active configuration of one daemon.
#[derive(Debug, Default)]
pub struct ConfigState {
    active: RwLock<Option<ActiveConfig>>,
    /// Highest revision of a value that this daemon has seen, also of one that it can't apply.
    seen_revision: AtomicU64,
    /// Notified when a version becomes active.
    activation: Notify,
    /// Highest revision of a version that another daemon has seen; 0 if none is known.
    known_revision: AtomicU64,
    /// Notified when `known_revision` rises.
    known: Notify,
    /// When the store last answered a call about the key; 0 before the first answer.
    heard_us: AtomicU64,
    /// Versions activated, by source.
    activated: [AtomicU64; ConfigSource::ALL.len()],
    /// Whether the last call about the key failed.
    has_failed: AtomicBool,
    /// Calls about the key that failed.
    failed_calls: AtomicU64,
    /// Questions to other daemons, by outcome.
    questions: [AtomicU64; QuestionOutcome::ALL.len()],
    /// Questions to other daemons when the store last answered a call about the key.
    questions_at_answer: AtomicU64,
    /// When another daemon first reported a version newer than the active one; 0 if none did.
    reported_us: AtomicU64,
    /// Requests refused because no queue matches.
    unknown_routes: AtomicU64,
}

impl ConfigState {
    /// The active version; `None` before the first one was read.
    pub fn active(&self) -> Option<ActiveConfig> {
        self.active.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Activates a version if it is newer than the current one. Returns whether it does.
    ///
    /// Guards against a stale read: an active version is never replaced by an older one.
    pub fn activate(&self, candidate: ActiveConfig) -> bool {
        let mut active = self.active.write().unwrap_or_else(PoisonError::into_inner);
        let is_newer =
            active.as_ref().is_none_or(|current| current.site.version < candidate.site.version);
        if is_newer {
            self.activated[candidate.source as usize].fetch_add(1, Ordering::Relaxed);
            *active = Some(candidate);
            drop(active);
            self.activation.notify_waiters();
        }
        is_newer
    }

    /// Revision of the store at which the active version was written; 0 without one.
    pub fn active_revision(&self) -> u64 {
        let active = self.active.read().unwrap_or_else(PoisonError::into_inner);
        active.as_ref().map_or(0, |active| active.revision)
    }

    /// Waits until a version is active that was written after `revision`.
    pub async fn activated_after(&self, revision: u64) {
        loop {
            let activation = self.activation.notified();
            if self.active_revision() > revision {
                return;
            }
            activation.await;
        }
    }

    /// Highest revision of a value that this daemon has seen; 0 without one.
    pub fn seen_revision(&self) -> u64 {
        self.seen_revision.load(Ordering::Relaxed)
    }

    /// Records that a value written at `revision` was seen. Returns whether it is new.
    pub fn mark_seen(&self, revision: u64) -> bool {
        self.seen_revision.fetch_max(revision, Ordering::Relaxed) < revision
    }

    /// Records that another daemon has seen a version written at `revision`.
    pub fn known_elsewhere(&self, revision: u64, now_us: u64) {
        if revision > self.seen_revision() {
            // Only the first report counts.
            let _ =
                self.reported_us.compare_exchange(0, now_us, Ordering::Relaxed, Ordering::Relaxed);
        }
        if self.known_revision.fetch_max(revision, Ordering::Relaxed) < revision {
            self.known.notify_waiters();
        }
    }

    /// Time since another daemon first reported a version that was newer than the active one, in
    /// milliseconds; `None` without such a report. Forgets the report.
    pub fn take_reported_ms_ago(&self, now_us: u64) -> Option<u64> {
        let reported_us = self.reported_us.swap(0, Ordering::Relaxed);
        (reported_us > 0).then(|| now_us.saturating_sub(reported_us) / 1_000)
    }

    /// Highest revision of a version that another daemon is known to have seen.
    pub fn known_revision(&self) -> u64 {
        self.known_revision.load(Ordering::Relaxed)
    }

    /// Whether another daemon is known to have seen a newer version than this one.
    pub fn is_outdated(&self) -> bool {
        self.known_revision() > self.seen_revision()
    }

    /// Waits until another daemon is known to have seen a newer version than this one.
    pub async fn outdated(&self) {
        loop {
            let known = self.known.notified();
            if self.is_outdated() {
                return;
            }
            known.await;
        }
    }

    /// Forgets reports of other daemons about versions up to `revision` of the store, at which the
    /// key was read. A later one may have arrived while the answer was on its way.
    pub fn read_at(&self, revision: u64) {
        let forget = |known_revision| (known_revision <= revision).then_some(0);
        let order = Ordering::Relaxed;
        // A newer report stays.
        let _ = self.known_revision.fetch_update(order, order, forget);
    }

    /// Records that the store answered a call about the key.
    pub fn store_answered(&self, now_us: u64) {
        self.heard_us.store(now_us, Ordering::Relaxed);
        self.has_failed.store(false, Ordering::Relaxed);
        self.questions_at_answer.store(self.all_questions(), Ordering::Relaxed);
    }

    /// Counts a question to another daemon.
    pub fn asked(&self, outcome: QuestionOutcome) {
        self.questions[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Number of questions to other daemons with one outcome.
    pub fn questions(&self, outcome: QuestionOutcome) -> u64 {
        self.questions[outcome as usize].load(Ordering::Relaxed)
    }

    /// Number of questions to other daemons since the store last answered a call about the key.
    pub fn questions_without_store(&self) -> u64 {
        self.all_questions() - self.questions_at_answer.load(Ordering::Relaxed)
    }

    fn all_questions(&self) -> u64 {
        self.questions.iter().map(|count| count.load(Ordering::Relaxed)).sum()
    }

    /// Time since the store last answered a call about the key, in milliseconds; `None` before the
    /// first answer.
    pub fn heard_ms_ago(&self, now_us: u64) -> Option<u64> {
        let heard_us = self.heard_us.load(Ordering::Relaxed);
        (heard_us > 0).then(|| now_us.saturating_sub(heard_us) / 1_000)
    }

    /// Whether the store answers calls about the key: the last one did not fail, and its answer has
    /// not been overdue for long.
    pub fn is_store_answering(&self, now_us: u64) -> bool {
        let is_recent = self.heard_ms_ago(now_us).is_some_and(|age_ms| age_ms < MAX_ANSWER_AGE_MS);
        is_recent && !self.has_failed.load(Ordering::Relaxed)
    }

    /// Records that a call about the key failed.
    pub fn call_failed(&self) {
        self.has_failed.store(true, Ordering::Relaxed);
        self.failed_calls.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of calls about the key that failed.
    pub fn failed_calls(&self) -> u64 {
        self.failed_calls.load(Ordering::Relaxed)
    }

    /// Counts a request that no queue matches.
    pub fn route_unknown(&self) {
        self.unknown_routes.fetch_add(1, Ordering::Relaxed);
    }

    /// Number of requests that no queue matches.
    pub fn unknown_routes(&self) -> u64 {
        self.unknown_routes.load(Ordering::Relaxed)
    }

    /// Number of versions activated from one source.
    pub fn activated(&self, source: ConfigSource) -> u64 {
        self.activated[source as usize].load(Ordering::Relaxed)
    }
}
