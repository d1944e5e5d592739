//! State shared by the components of one daemon.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use agatesill_coord::lease::Owner;
use agatesill_coord::prelude::*;
use agatesill_platform::prelude::*;
use agatesill_policy::fleet::{Counts, Effort, LossWait, StartWaits, US_PER_MS};
use agatesill_wire::fleet::{FleetAnswer, FleetQuestion};
use tokio::sync::Notify;

use super::active_config::ConfigState;
use super::clock::Clock;
use super::edges::Edges;
use super::group_commit::GroupCommitter;
use super::line_limit::LineLimit;
use super::load_state::LoadState;
use super::metrics::FleetMetrics;
use super::peer_connection::{ANSWER_TIMEOUT, PeerCalls, PeerConnection, PeerReply};
use super::peer_directory::PeerDirectory;
use super::planner::PlannerHandle;
use super::planner_time::DutyTimes;
use super::store_outage::StoreOutage;
use crate::job_keys::cancels::CancelWriter;
use crate::job_keys::record_lease::RecordLease;

/// Factor by which a daemon's processor share must exceed the planner's for planning to move there.
const LARGER_FACTOR: u32 = 2;

/// Minimum interval between two handovers of the range by one daemon. Guards against the range
/// moving back and forth if the larger daemon fails to claim it.
const MIN_HANDOVER_INTERVAL_US: u64 = 20_000_000;

/// Age of an ownership confirmation up to which no other daemon can own the planner's range: the
/// lease of two seconds, less a tenth for clock drift.
const MAX_CONFIRMATION_AGE_US: u64 = 1_800_000;

/// Age of the last registry update, as a multiple of the drain bound, from which no task is
/// started.
const MAX_REGISTRY_AGE_IN_DRAIN_BOUNDS: u64 = 5;

/// Maximum number of lines a second about requests that no queue matches.
const MAX_UNKNOWN_ROUTE_LINES_PER_S: u32 = 10;

/// Counters of callers' requests, for the metrics.
#[derive(Debug, Default)]
pub struct RequestCounts {
    /// Jobs accepted by this daemon.
    pub accepted: AtomicU64,
    /// Requests refused with an answer that says that nothing was done.
    pub refused: AtomicU64,
    /// Requests whose outcome is unknown.
    pub unknown: AtomicU64,
}

/// Figures that the planner publishes for the metrics.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlannerStats {
    /// Events since the planner started.
    pub counts: Counts,
    /// Work done for decisions since the planner started.
    pub effort: Effort,
    /// Age of the oldest answer of a worker that has not been handled yet.
    pub behind_us: u64,
    /// What starts have waited for since the planner started.
    pub start_waits: StartWaits,
    /// Time that the planner has spent on each duty since it started.
    pub duty_times: DutyTimes,
    /// Steps with waiting tasks.
    pub waiting_steps: u64,
    /// Workers whose incarnation has not ended.
    pub workers: u64,
    /// Unresponsive workers among them.
    pub silent_workers: u64,
    /// Workers that do not answer and may have runs, by what their losses wait for.
    pub awaited_losses: [u64; LossWait::ALL.len()],
    /// Longest time for which one of them has not answered any planner.
    pub longest_silence_ms: u64,
}

/// What is known of the owner of the planner's range.
#[derive(Clone, Debug, Default)]
struct RangeOwner {
    /// Highest epoch of which this daemon has heard; 0 before the first one.
    epoch: u64,
    /// The owner in that epoch; `None` if it has given up the range.
    owner: Option<Owner>,
}

/// State shared by the components of one daemon.
#[derive(Debug)]
pub struct DaemonState {
    /// Settings that the platform gave to this process.
    pub settings: NodeSettings,
    /// Client of the store.
    pub store: Store,
    /// The monotonic clock.
    pub clock: Clock,
    /// Client for calls to the planner's daemon.
    pub peer_connection: PeerConnection,
    /// Client for questions about the configuration to any daemon.
    pub peer_calls: PeerCalls,
    /// Other daemons of the fleet.
    pub peers: PeerDirectory,
    /// The load of the services.
    pub load: LoadState,
    /// The edges of this daemon.
    pub edges: Edges,
    /// Lease of the records of refused jobs.
    pub record_lease: RecordLease,
    /// Stores cancels.
    pub cancels: CancelWriter,
    /// Stores accepted jobs in shared transactions.
    pub group_commit: GroupCommitter,
    /// Callers refused while the store is unavailable.
    pub store_outage: StoreOutage,
    /// Instruments of the metrics.
    pub metrics: FleetMetrics,
    /// Counters of callers' requests.
    pub counts: RequestCounts,
    /// The active configuration.
    pub config_state: ConfigState,
    /// Limits the lines about requests that no queue matches.
    pub unknown_route_lines: LineLimit,
    /// When ownership of the planner's range was last confirmed; 0 while it is not owned.
    pub confirmed_us: AtomicU64,
    /// Time before which all leases end that this daemon may request from workers; 0 while it may request
    /// none.
    pub lease_horizon_us: AtomicU64,
    /// Time up to which the planner of this daemon has received all changes of the registry; 0
    /// before the first read.
    pub registry_as_of_us: AtomicU64,
    /// Version of the newest record of leases that this daemon has seen, and when it saw it first.
    seen_leases: Mutex<(u64, u64)>,
    planner: Mutex<Option<PlannerHandle>>,
    owner: RwLock<RangeOwner>,
    planner_stats: Mutex<PlannerStats>,
    is_stopping: AtomicBool,
    /// Notified when planning must be handed over.
    pub handover: Notify,
    last_handover_us: AtomicU64,
}

impl DaemonState {
    /// Creates the state of a starting daemon.
    pub fn new(settings: NodeSettings, store: Store, metrics: FleetMetrics) -> Self {
        let (addr, clock) = (settings.peer_addr, Clock::start());
        Self {
            edges: Edges::new(&settings),
            settings,
            group_commit: GroupCommitter::new(store.clone(), metrics.clone(), clock),
            cancels: CancelWriter::new(store.clone()),
            store,
            clock,
            peer_connection: PeerConnection::new("planner", addr, ANSWER_TIMEOUT),
            peer_calls: PeerCalls::new(addr),
            peers: PeerDirectory::default(),
            load: LoadState::default(),
            record_lease: RecordLease::default(),
            store_outage: StoreOutage::default(),
            metrics,
            counts: RequestCounts::default(),
            planner_stats: Mutex::default(),
            config_state: ConfigState::default(),
            unknown_route_lines: LineLimit::new(MAX_UNKNOWN_ROUTE_LINES_PER_S),
            confirmed_us: AtomicU64::new(0),
            lease_horizon_us: AtomicU64::new(0),
            registry_as_of_us: AtomicU64::new(0),
            seen_leases: Mutex::default(),
            planner: Mutex::default(),
            owner: RwLock::default(),
            is_stopping: AtomicBool::new(false),
            handover: Notify::new(),
            last_handover_us: AtomicU64::new(0),
        }
    }

    /// The active configuration; `None` before the first one was read.
    pub fn config(&self) -> Option<Arc<SiteConfig>> {
        self.config_state.active().map(|active| active.site)
    }

    /// Whether load control is active for a service in the active configuration.
    pub fn controls_load(&self, service: &str) -> bool {
        self.controlled_priority(service).is_some()
    }

    /// Priority of the most urgent queues of a service if load control is active for it.
    pub fn controlled_priority(&self, service: &str) -> Option<u32> {
        let active = self.config_state.active()?;
        self.load.controlled_priority(&self.settings, &active, service)
    }

    /// The planner, if this daemon runs it.
    pub fn planner(&self) -> Option<PlannerHandle> {
        self.planner.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// The planner of this daemon, if it is certain to be the only one: ownership was confirmed
    /// within the time of a lease.
    ///
    /// Guards against answers from a planner that is cut off from the store: it does not know the
    /// jobs that other daemons have accepted since, and would count too few.
    pub fn confirmed_planner(&self) -> Option<PlannerHandle> {
        let confirmed_us = self.confirmed_us.load(Ordering::Acquire);
        let age_us = self.clock.now_us().saturating_sub(confirmed_us);
        self.planner().filter(|_| age_us < MAX_CONFIRMATION_AGE_US)
    }

    /// Whether the planner of this daemon runs, or tasks that it spawned have not ended yet.
    pub fn is_planning(&self) -> bool {
        self.confirmed_us.load(Ordering::Acquire) > 0
    }

    /// Whether updates of the registry still arrive, so that starts may be sent.
    ///
    /// Guards against a registry that has sent no updates for a long time: workers that have left
    /// since would get starts. A planner that merely lags continues, because without starts it
    /// would be of no use.
    pub fn is_registry_current(&self) -> bool {
        let as_of_us = self.registry_as_of_us.load(Ordering::Acquire);
        let age_us = self.clock.now_us().saturating_sub(as_of_us);
        age_us < self.settings.bounds.drain_ms * MAX_REGISTRY_AGE_IN_DRAIN_BOUNDS * US_PER_MS
    }

    /// Notes that a version of the record of leases is in the store. Returns when this daemon saw it first.
    pub fn saw_leases(&self, version: u64) -> u64 {
        let mut seen = self.seen_leases.lock().unwrap_or_else(PoisonError::into_inner);
        if version > seen.0 {
            *seen = (version, self.clock.now_us());
        }
        if version == seen.0 { seen.1 } else { self.clock.now_us() }
    }

    /// Sets the handle of the planner; `None` when this daemon no longer runs it.
    pub fn set_planner(&self, planner: Option<PlannerHandle>) {
        *self.planner.lock().unwrap_or_else(PoisonError::into_inner) = planner;
    }

    /// The last known owner of the planner's range.
    pub fn owner(&self) -> Option<Owner> {
        self.owner.read().unwrap_or_else(PoisonError::into_inner).owner.clone()
    }

    /// Highest epoch of the planner's range of which this daemon has heard; 0 before the first one.
    pub fn planner_epoch(&self) -> u64 {
        self.owner.read().unwrap_or_else(PoisonError::into_inner).epoch
    }

    /// Sets the owner of the planner's range in `epoch`, unless a later epoch is known. The epoch of a
    /// range that is free is 0.
    pub fn set_owner(&self, owner: Option<Owner>, epoch: u64) {
        let mut known = self.owner.write().unwrap_or_else(PoisonError::into_inner);
        if epoch == 0 || epoch >= known.epoch {
            *known = RangeOwner { epoch: known.epoch.max(epoch), owner };
        }
    }

    /// Takes over the address of the planner from another daemon if its epoch is later than all that
    /// this daemon has heard of.
    ///
    /// Guards against a daemon that the store turns away during a takeover: it would send its
    /// callers' requests to the daemon that planned before.
    pub fn learn_planner(&self, address: &str, epoch: u64) {
        let own_address = self.settings.peer_addr.to_string();
        if address.is_empty() || address == own_address {
            return;
        }
        let mut known = self.owner.write().unwrap_or_else(PoisonError::into_inner);
        if epoch <= known.epoch {
            return;
        }
        log::info!(event = "planner_learned", planner = address, epoch = epoch,
            after_epoch = known.epoch; "another daemon knows a later planner");
        let (instance, address) = (String::new(), address.to_owned());
        let owner = Owner { instance, lease_id: 0, address, cpu_milli: 0 };
        *known = RangeOwner { epoch, owner: Some(owner) };
    }

    /// Processor share of this daemon, in thousandths.
    pub fn cpu_milli(&self) -> u32 {
        (self.settings.cpu_share * 1_000.0) as u32
    }

    /// Address of the planner's daemon, if it is so much smaller than this one that planning should
    /// move here.
    pub fn much_smaller_planner(&self) -> Option<SocketAddr> {
        let owner = self.owner().filter(|owner| owner.cpu_milli > 0)?;
        (self.cpu_milli() >= owner.cpu_milli.saturating_mul(LARGER_FACTOR))
            .then(|| self.planner_addr())?
    }

    /// Hands planning over if this daemon plans and the requesting one is much larger. Returns
    /// whether it does.
    pub fn grant_handover(&self, cpu_milli: u32) -> bool {
        let is_owner = self.owner().is_some_and(|owner| owner.instance == self.settings.instance);
        let now_us = self.clock.now_us();
        let last_handover_us = self.last_handover_us.load(Ordering::Relaxed);
        let is_recent =
            last_handover_us > 0 && now_us - last_handover_us < MIN_HANDOVER_INTERVAL_US;
        if !is_owner || is_recent || cpu_milli < self.cpu_milli().saturating_mul(LARGER_FACTOR) {
            return false;
        }
        self.last_handover_us.store(now_us, Ordering::Relaxed);
        log::info!(event = "planner_passed_on", cpu_milli = self.cpu_milli(),
            to_cpu_milli = cpu_milli; "a much larger daemon requested the range");
        self.handover.notify_one();
        true
    }

    /// Peer address of the planner's daemon, if it is known and another daemon.
    pub fn planner_addr(&self) -> Option<SocketAddr> {
        let owner = self.owner()?;
        if owner.instance == self.settings.instance {
            return None;
        }
        owner.address.parse().ok()
    }

    /// Calls the planner's daemon at `addr` and keeps the view of the load in its answer; `None` without
    /// an answer.
    pub async fn ask_planner(
        &self,
        addr: SocketAddr,
        question: FleetQuestion,
    ) -> Option<FleetAnswer> {
        match self.ask_planner_reporting_outcome(addr, question).await {
            PeerReply::Answered(answer) => Some(*answer),
            PeerReply::Silent | PeerReply::Refused => None,
        }
    }

    /// Like [`DaemonState::ask_planner`], but reports why there is no answer.
    pub async fn ask_planner_reporting_outcome(
        &self,
        addr: SocketAddr,
        question: FleetQuestion,
    ) -> PeerReply {
        let sent_us = self.clock.now_us();
        let offered_milli = self.load.offered();
        let mut reply =
            self.peer_connection.ask_reporting_outcome(addr, question, offered_milli).await;
        if let PeerReply::Answered(answer) = &mut reply {
            if let Some(load) = answer.load.take() {
                self.load.report_received(load, sent_us);
            }
        }
        reply
    }

    /// The figures that the planner published last.
    pub fn planner_stats(&self) -> PlannerStats {
        *self.planner_stats.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Publishes the planner's figures.
    pub fn set_planner_stats(&self, planner_stats: PlannerStats) {
        *self.planner_stats.lock().unwrap_or_else(PoisonError::into_inner) = planner_stats;
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
