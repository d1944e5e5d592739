//! What the duties of one daemon share.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use agatesill_coord::lease::Owner;
use agatesill_coord::prelude::*;
use agatesill_platform::prelude::*;
use agatesill_policy::fleet::{Counts, Effort, US_PER_MS};
use tokio::sync::Notify;

use super::clock::Clock;
use super::metrics::FleetMetrics;
use super::peer_connection::Link;
use super::planner::PlannerHandle;

/// A daemon with so many times the processor of the one that plans is better at it.
const BIGGER: u32 = 2;

/// Shortest time between two times that planning is passed on by one daemon: if the bigger one
/// fails to take it, the range must not go to and fro.
const PASSED_ON_US: u64 = 20_000_000;

/// Age of a confirmation of ownership up to which no other daemon can own the planner's range: the
/// lease of two seconds less a tenth for the rates of clocks.
const CERTAIN_US: u64 = 1_800_000;

/// Age of the registry's news, in times of the drain bound, from which nothing starts.
const NEWS_TOO_OLD: u64 = 5;

/// Counters of one daemon, for its metrics.
#[derive(Debug, Default)]
pub struct SiteCounts {
    /// Jobs accepted here.
    pub accepted: AtomicU64,
    /// Requests answered with a refusal that says that nothing was done.
    pub refused: AtomicU64,
    /// Requests whose outcome could not be told.
    pub unknown: AtomicU64,
}

/// What the planner tells about itself, for metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct Planned {
    /// What happened since it began.
    pub counts: Counts,
    /// What its decisions examined since it began.
    pub effort: Effort,
    /// How long answers of workers have waited to be taken in.
    pub behind_us: u64,
    /// Steps with tasks that wait.
    pub waiting_steps: u64,
    /// Workers whose incarnation is not over.
    pub workers: u64,
    /// Those among them that do not answer.
    pub silent_workers: u64,
}

/// What the duties of one daemon share.
#[derive(Debug)]
pub struct Site {
    /// What the platform told this process.
    pub settings: NodeSettings,
    /// The store.
    pub store: Store,
    /// The monotonic clock.
    pub clock: Clock,
    /// The way to other daemons.
    pub link: Link,
    /// Instruments.
    pub metrics: FleetMetrics,
    /// Counters.
    pub counts: SiteCounts,
    /// When ownership of the planner's range was last confirmed; 0 while it is not owned.
    pub confirmed_us: AtomicU64,
    /// Up to when this daemon's planner knows what the registry lists; 0 before the first reading.
    pub registry_as_of_us: AtomicU64,
    config: RwLock<Option<Arc<SiteConfig>>>,
    planner: Mutex<Option<PlannerHandle>>,
    owner: RwLock<Option<Owner>>,
    planned: Mutex<Planned>,
    is_stopping: AtomicBool,
    /// Woken when planning is to be passed on.
    pub passing_on: Notify,
    passed_on_us: AtomicU64,
}

impl Site {
    /// The shared state of a daemon that starts.
    pub fn new(settings: NodeSettings, store: Store, metrics: FleetMetrics) -> Self {
        Self {
            settings,
            store,
            clock: Clock::start(),
            link: Link::default(),
            metrics,
            counts: SiteCounts::default(),
            planned: Mutex::default(),
            confirmed_us: AtomicU64::new(0),
            registry_as_of_us: AtomicU64::new(0),
            config: RwLock::default(),
            planner: Mutex::default(),
            owner: RwLock::default(),
            is_stopping: AtomicBool::new(false),
            passing_on: Notify::new(),
            passed_on_us: AtomicU64::new(0),
        }
    }

    /// The configuration in force; `None` before the first was read.
    pub fn config(&self) -> Option<Arc<SiteConfig>> {
        self.config.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Puts a configuration into force if it is newer than the present one.
    ///
    /// Guards against a stale reading: a version, once in force, is never left for an older one.
    pub fn offer_config(&self, offered: SiteConfig) -> bool {
        let mut config = self.config.write().unwrap_or_else(PoisonError::into_inner);
        let is_newer = config.as_ref().is_none_or(|present| present.version < offered.version);
        if is_newer {
            *config = Some(Arc::new(offered));
        }
        is_newer
    }

    /// The planner, if this daemon runs it.
    pub fn planner(&self) -> Option<PlannerHandle> {
        self.planner.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The planner of this daemon, if it is certain to be the only one: ownership was confirmed
    /// within a lease.
    ///
    /// Guards against answers from a planner that was cut off from the store: it does not know the
    /// jobs that others accepted since, and would count too few.
    pub fn certain_planner(&self) -> Option<PlannerHandle> {
        let confirmed_us = self.confirmed_us.load(Ordering::Acquire);
        let age_us = self.clock.now_us().saturating_sub(confirmed_us);
        self.planner().filter(|_| age_us < CERTAIN_US)
    }

    /// Whether this daemon's planner runs, or what it started has not ended yet.
    pub fn is_planning(&self) -> bool {
        self.confirmed_us.load(Ordering::Acquire) > 0
    }

    /// Whether the news of the registry still comes, so that starts may be sent.
    ///
    /// Guards against a registry that is not heard of for long: workers that left since would get starts.
    /// A planner that merely lags goes on, as without starts it would serve nothing.
    pub fn knows_who_leaves(&self) -> bool {
        let as_of_us = self.registry_as_of_us.load(Ordering::Acquire);
        let age_us = self.clock.now_us().saturating_sub(as_of_us);
        age_us < self.settings.bounds.drain_ms * NEWS_TOO_OLD * US_PER_MS
    }

    /// Says that this daemon runs the planner, or no longer does.
    pub fn set_planner(&self, planner: Option<PlannerHandle>) {
        *self.planner.lock().unwrap_or_else(PoisonError::into_inner) = planner;
    }

    /// Who runs the planner, as far as this daemon knows.
    pub fn owner(&self) -> Option<Owner> {
        self.owner.read().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// Takes in who runs the planner.
    pub fn set_owner(&self, owner: Option<Owner>) {
        *self.owner.write().unwrap_or_else(PoisonError::into_inner) = owner;
    }

    /// Thousandths of a processor that this daemon has.
    pub fn cpu_milli(&self) -> u32 {
        (self.settings.cpu_share * 1_000.0) as u32
    }

    /// The daemon that plans, if it is so much smaller than this one that planning should move here.
    pub fn smaller_planner(&self) -> Option<SocketAddr> {
        let owner = self.owner().filter(|owner| owner.cpu_milli > 0)?;
        (self.cpu_milli() >= owner.cpu_milli.saturating_mul(BIGGER)).then(|| self.planner_addr())?
    }

    /// Passes planning on if this daemon plans and the one that asks is much bigger; false if not.
    pub fn ask_to_pass_on(&self, cpu_milli: u32) -> bool {
        let is_owner = self.owner().is_some_and(|owner| owner.instance == self.settings.instance);
        let now_us = self.clock.now_us();
        let passed_on_us = self.passed_on_us.load(Ordering::Relaxed);
        let is_lately = passed_on_us > 0 && now_us - passed_on_us < PASSED_ON_US;
        if !is_owner || is_lately || cpu_milli < self.cpu_milli().saturating_mul(BIGGER) {
            return false;
        }
        self.passed_on_us.store(now_us, Ordering::Relaxed);
        log::info!(event = "planner_passed_on", cpu_milli = self.cpu_milli(),
            to_cpu_milli = cpu_milli; "a bigger daemon asks");
        self.passing_on.notify_one();
        true
    }

    /// Where the planner's daemon takes calls, if it is known and not this one.
    pub fn planner_addr(&self) -> Option<SocketAddr> {
        let owner = self.owner()?;
        if owner.instance == self.settings.instance {
            return None;
        }
        owner.address.parse().ok()
    }

    /// What the planner told last.
    pub fn planned(&self) -> Planned {
        *self.planned.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in what the planner tells.
    pub fn set_planned(&self, planned: Planned) {
        *self.planned.lock().unwrap_or_else(PoisonError::into_inner) = planned;
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Relaxed)
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.is_stopping.store(true, Ordering::Relaxed);
    }
}
