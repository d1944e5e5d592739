//! The faults of a run so far, for checks that hold only without one.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use tokio_util::sync::CancellationToken;

/// How long after an unplanned fault its effects may be visible to callers.
const FAULT_EFFECT_DURATION: Duration = Duration::from_secs(3);

/// What a fault separates from what, for the bounds that hold only for daemons in contact.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// A daemon, or its path to the store.
    Daemon(usize),
    /// The store turns a daemon away and serves the others and the operator.
    TurnedAway(usize),
    /// All daemons, or the store for all of them.
    All,
    /// Neither a daemon nor the store.
    Elsewhere,
}

/// A fault of a run.
struct PastFault {
    scope: Scope,
    is_planned: bool,
    ended: Option<Instant>,
}

impl PastFault {
    /// Whether the fault was active from shortly before `since` until now.
    fn overlaps(&self, since: Instant) -> bool {
        self.ended.is_none_or(|ended| ended + FAULT_EFFECT_DURATION > since)
    }
}

/// The faults of a run.
#[derive(Default)]
pub struct FaultHistory {
    faults: Mutex<Vec<PastFault>>,
    failing_workers: AtomicBool,
    finished: CancellationToken,
}

impl FaultHistory {
    /// Whether no unplanned fault was active from shortly before `since` until now.
    pub fn was_fault_free(&self, since: Instant) -> bool {
        !self.any(since, |fault| !fault.is_planned)
    }

    /// Whether a daemon ran and reached a store without a fault from shortly before `since` until
    /// now.
    pub fn is_in_contact(&self, daemon: usize, since: Instant) -> bool {
        !self.any(since, |fault| {
            [Scope::All, Scope::Daemon(daemon), Scope::TurnedAway(daemon)].contains(&fault.scope)
        })
    }

    /// Whether the only fault that concerns a daemon from shortly before `since` until now is that the
    /// store turned it away.
    pub fn is_only_turned_away(&self, daemon: usize, since: Instant) -> bool {
        let is_turned_away = self.any(since, |fault| fault.scope == Scope::TurnedAway(daemon));
        is_turned_away
            && !self.any(since, |fault| {
                fault.scope == Scope::All || fault.scope == Scope::Daemon(daemon)
            })
    }

    /// Whether another daemon than this one was in contact from shortly before `since` until now.
    pub fn is_another_in_contact(&self, daemon: usize, daemons: usize, since: Instant) -> bool {
        (0..daemons).any(|other| other != daemon && self.is_in_contact(other, since))
    }

    fn any(&self, since: Instant, concerns: impl Fn(&PastFault) -> bool) -> bool {
        let faults = self.faults.lock().unwrap();
        faults.iter().any(|fault| concerns(fault) && fault.overlaps(since))
    }

    /// Whether there were workers that fail all tasks.
    pub fn has_failing_workers(&self) -> bool {
        self.failing_workers.load(Ordering::Relaxed)
    }

    pub fn is_finished(&self) -> bool {
        self.finished.is_cancelled()
    }

    /// Records that a worker fails all its tasks.
    pub fn add_failing_worker(&self) {
        self.failing_workers.store(true, Ordering::Relaxed);
    }

    /// Ends the run.
    pub fn finish(&self) {
        self.finished.cancel();
    }

    pub fn begin(&self, scope: Scope, is_planned: bool) -> usize {
        let mut faults = self.faults.lock().unwrap();
        faults.push(PastFault { scope, is_planned, ended: None });
        faults.len() - 1
    }

    pub fn end(&self, fault: usize) {
        self.faults.lock().unwrap()[fault].ended = Some(Instant::now());
    }
}
