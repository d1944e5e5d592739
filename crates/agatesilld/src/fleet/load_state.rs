//! What this daemon knows of the load of the services: the view that its own planner publishes, the
//! newest view that it received, and the daemons that call it.
//!
//! Load pattern: more jobs arrive than the workers can carry, at all daemons alike. Each daemon decides
//! alone, by a view that comes with the answers to calls that are made anyway, so that a decision
//! costs no call and a planner that is behind gets none in addition.

use std::collections::{HashMap, HashSet};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use agatesill_platform::prelude::*;
use agatesill_policy::admission::{
    Door, HeldView, LoadView, OfferRates, OfferedTotals, RefusalCause, Return, ServiceLoad,
    Verdict, calls_for_load_control,
};
use agatesill_policy::fleet::{JobSpec, US_PER_MS};
use agatesill_wire::fleet::{JOB_FORMAT, LoadReport};

use super::active_config::ActiveConfig;
use super::clock::US_PER_S;
use super::load_report;

/// Time for which a daemon that has called counts as running. All daemons call the planner's several
/// times a second; one that does not for this long has ended or is cut off.
const CALLER_MEMORY_US: u64 = 15 * US_PER_S;

/// Time for which a planner receives calls before it knows the daemons by itself. Each daemon calls
/// a new planner within half a second, or a second if the store is slow.
const CALLERS_KNOWN_AFTER_US: u64 = 2 * US_PER_S;

/// Name of this daemon among those whose offers are known. The others have addresses.
const OWN_OFFERS: &str = "own";

/// Maximum number of daemons that are remembered.
const MAX_CALLERS: usize = 4_096;

/// Counters of decisions at this daemon.
#[derive(Debug, Default)]
pub struct AdmissionCounts {
    refused: [AtomicU64; RefusedBecause::ALL.len()],
    /// Jobs that were refused before and are accepted now.
    pub returns_accepted: AtomicU64,
    /// Jobs that were refused before and are refused again.
    pub returns_refused: AtomicU64,
}

impl AdmissionCounts {
    /// Counts a refusal.
    pub fn add_refusal(&self, because: RefusedBecause) {
        self.refused[because as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Number of refusals for a reason.
    pub fn refusals(&self, because: RefusedBecause) -> u64 {
        self.refused[because as usize].load(Ordering::Relaxed)
    }
}

/// Why a job was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusedBecause {
    /// [`RefusalCause::NoRoom`].
    NoRoom,
    /// Its caller was told to return later, or the request is a copy of the refused one.
    Early,
}

impl RefusedBecause {
    /// All reasons.
    pub const ALL: [Self; 2] = [Self::NoRoom, Self::Early];

    /// Name in log lines and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::NoRoom => RefusalCause::NoRoom.name(),
            Self::Early => "early",
        }
    }
}

impl From<RefusalCause> for RefusedBecause {
    fn from(cause: RefusalCause) -> Self {
        match cause {
            RefusalCause::NoRoom => Self::NoRoom,
        }
    }
}

/// Epoch, sequence and age of a view, for log lines.
#[derive(Clone, Copy, Debug, Default)]
pub struct ViewStamp {
    /// Epoch of the planner that computed the view; 0 without a view.
    pub epoch: u64,
    /// Sequence of the view.
    pub sequence: u64,
    /// Age of the view.
    pub age_ms: u64,
}

/// A view that the planner of this daemon published.
#[derive(Debug)]
struct PublishedView {
    view: LoadView,
    published_us: u64,
}

/// Daemons that have called this one.
#[derive(Debug, Default)]
struct Callers {
    /// When each daemon last called, by its address.
    heard_us: HashMap<String, u64>,
    /// When a daemon last called that does not read records of refused jobs; 0 if none did.
    old_format_us: u64,
}

/// Services with load control in one version of the configuration, with the priority of their most
/// urgent queues.
#[derive(Debug, Default)]
struct ControlledServices {
    revision: u64,
    services: HashMap<String, u32>,
}

/// The load as this daemon knows it.
#[derive(Debug, Default)]
pub struct LoadState {
    /// Counters of decisions.
    pub counts: AdmissionCounts,
    door: Mutex<Door>,
    offer_rates: Mutex<OfferRates>,
    published: Mutex<Option<PublishedView>>,
    sequence: AtomicU64,
    callers: Mutex<Callers>,
    controlled: Mutex<ControlledServices>,
}

impl LoadState {
    /// Records a call of another daemon, with the format of stored jobs that it reads.
    pub fn called_by(&self, sender: &str, job_format: u32, now_us: u64) {
        let mut callers = lock(&self.callers);
        if job_format < JOB_FORMAT {
            callers.old_format_us = now_us;
        }
        let is_full = callers.heard_us.len() >= MAX_CALLERS;
        match callers.heard_us.get_mut(sender) {
            Some(heard_us) => *heard_us = now_us,
            None if is_full => {}
            None => {
                callers.heard_us.insert(sender.to_owned(), now_us);
            }
        }
    }

    /// Records what the callers of another daemon have asked it for.
    pub fn offers_reported(&self, sender: &str, totals: OfferedTotals, now_us: u64) {
        if totals.is_empty() || !lock(&self.callers).heard_us.contains_key(sender) {
            return;
        }
        lock(&self.offer_rates).reported(sender, totals, now_us);
    }

    /// What the callers of this daemon have asked it for.
    pub fn offered(&self) -> OfferedTotals {
        lock(&self.door).offered().clone()
    }

    /// Completes the loads of the services with what callers ask for at all daemons.
    fn add_offers(&self, services: &mut [ServiceLoad], now_us: u64) {
        let own = self.offered();
        let callers = lock(&self.callers);
        let mut rates = lock(&self.offer_rates);
        rates.reported(OWN_OFFERS, own, now_us);
        rates.retain(|daemon| daemon == OWN_OFFERS || callers.heard_us.contains_key(daemon));
        for load in services {
            load.offered_milli_per_s = rates.milli_per_s(&load.service, now_us);
        }
    }

    /// Publishes the load under the planner's `epoch`; without services there is no view.
    ///
    /// Guards against a refusal that a daemon of an earlier version takes for an accepted job: it is
    /// only allowed if no such daemon has called, and once all daemons have had the time to call. A
    /// new planner takes that over from the view of its predecessor.
    pub fn publish(
        &self,
        epoch: u64,
        planning_since_us: u64,
        mut services: Vec<ServiceLoad>,
        now_us: u64,
    ) {
        if services.is_empty() {
            return self.withdraw();
        }
        let (daemons, has_old_format) = self.running_daemons(now_us);
        self.add_offers(&mut services, now_us);
        let held = self.held().filter(|held| held.age_ms(now_us) < CALLER_MEMORY_US / US_PER_MS);
        let knows_callers = now_us.saturating_sub(planning_since_us) >= CALLERS_KNOWN_AFTER_US;
        let known_before = held.as_ref().map_or(0, |held| held.view.daemons);
        let was_allowed = held.is_some_and(|held| held.view.may_refuse);
        let view = LoadView {
            epoch,
            sequence: self.sequence.fetch_add(1, Ordering::Relaxed) + 1,
            may_refuse: !has_old_format && (knows_callers || was_allowed),
            daemons: if knows_callers { daemons } else { daemons.max(known_before) },
            services,
        };
        self.view_received(view.clone(), now_us);
        *lock(&self.published) = Some(PublishedView { view, published_us: now_us });
    }

    /// Ends the publication of views, since this daemon no longer plans.
    pub fn withdraw(&self) {
        *lock(&self.published) = None;
    }

    /// Number of daemons that have called recently, and this one; and whether any of them does not
    /// read records of refused jobs.
    fn running_daemons(&self, now_us: u64) -> (u32, bool) {
        let mut callers = lock(&self.callers);
        let oldest_us = now_us.saturating_sub(CALLER_MEMORY_US);
        callers.heard_us.retain(|_, heard_us| *heard_us >= oldest_us);
        let has_old_format = callers.old_format_us > 0 && callers.old_format_us >= oldest_us;
        (callers.heard_us.len() as u32 + 1, has_old_format)
    }

    /// The view that the planner of this daemon published, for the answer to a call.
    pub fn report(&self, now_us: u64) -> Option<LoadReport> {
        let published = lock(&self.published);
        let published = published.as_ref()?;
        let age_ms = now_us.saturating_sub(published.published_us) / US_PER_MS;
        Some(load_report::encode(&published.view, age_ms as u32))
    }

    /// Logs the view that the planner of this daemon published.
    pub fn log_published(&self) {
        if let Some(published) = lock(&self.published).as_ref() {
            load_report::log(&published.view);
        }
    }

    /// Takes a report that answered a call sent at `sent_us`.
    pub fn report_received(&self, report: LoadReport, sent_us: u64) {
        let as_of_us = sent_us.saturating_sub(u64::from(report.age_ms) * US_PER_MS);
        self.view_received(load_report::decode(report), as_of_us);
    }

    fn view_received(&self, view: LoadView, as_of_us: u64) {
        lock(&self.door).view_received(view, as_of_us);
    }

    /// The newest view.
    pub fn held(&self) -> Option<HeldView> {
        lock(&self.door).held().cloned()
    }

    /// Epoch, sequence and age of the newest view.
    pub fn stamp(&self, now_us: u64) -> Option<ViewStamp> {
        let door = lock(&self.door);
        let held = door.held()?;
        let (epoch, sequence) = (held.view.epoch, held.view.sequence);
        Some(ViewStamp { epoch, sequence, age_ms: held.age_ms(now_us) })
    }

    /// Decides on a job; `returning` describes a job that was refused before.
    pub fn decide(&self, job: &JobSpec, returning: Option<Return>, now_us: u64) -> Verdict {
        lock(&self.door).decide(job, returning, now_us)
    }

    /// Records that a job was stored.
    pub fn accepted(&self, job: &JobSpec, now_us: u64) {
        lock(&self.door).accepted(job, now_us);
    }

    /// Priority of the most urgent queues of a service if load control is active for it in the active
    /// configuration. The services are determined once for each version.
    pub fn controlled_priority(
        &self,
        settings: &NodeSettings,
        active: &ActiveConfig,
        service: &str,
    ) -> Option<u32> {
        let mut controlled = lock(&self.controlled);
        if controlled.revision != active.revision {
            let queues = active.site.terms();
            let services: HashSet<&str> =
                queues.values().map(|terms| terms.service.as_str()).collect();
            controlled.revision = active.revision;
            controlled.services = services
                .into_iter()
                .filter(|service| {
                    let (control, bounds) = (settings.load_control, &settings.bounds);
                    calls_for_load_control(control, service, &queues, bounds)
                })
                .filter_map(|service| {
                    let of_service = queues.values().filter(|terms| terms.service == service);
                    Some((service.to_owned(), of_service.map(|terms| terms.priority).min()?))
                })
                .collect();
        }
        controlled.services.get(service).copied()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
