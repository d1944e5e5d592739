//! Fault schedules drawn from a seed. Faults come in series and overlap.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::crowds::CrowdKind;
use crate::history::Scope;
use crate::support::proxy::LinkFault;
use crate::support::simulated_workers::WorkerFault;
use crate::support::store::StoreFault;

/// Faults start within this time; afterwards everything is restored.
pub const FAULT_PERIOD: Duration = Duration::from_secs(9);

/// From this seed on each run also closes a zone. Runs of smaller seeds keep their schedules.
const FIRST_SEED_WITH_CLOSED_ZONE: u64 = 1_000;

/// From this seed on, and below [`FIRST_SEED_WITH_WATCH_FAULTS`], each run also has tasks that crash
/// their workers, crashes of two workers at once and workers with temporarily reduced capacity.
const FIRST_SEED_WITH_CRASHES: u64 = 2_000;

/// From this seed on each run also has faults of the watches on the store, a daemon that the store
/// turns away for several seconds, large versions and versions in quick succession.
const FIRST_SEED_WITH_WATCH_FAULTS: u64 = 3_000;

/// From this seed on each run also has periods in which the store serves one daemon only.
const FIRST_SEED_WITH_ONE_DAEMON_SERVED: u64 = 4_000;

/// Each run of these seeds has load control and more long-running jobs than the workers hold.
const SEEDS_WITH_LOAD_CONTROL: std::ops::Range<u64> = 5_000..9_000;

/// From this seed on each run also has workers that are back under their identifier or at their address,
/// entries of former incarnations that are written late, and numbers at their limits.
const FIRST_SEED_WITH_SUCCESSIONS: u64 = 10_000;

/// From this seed on runs have more workers, jobs in bursts, workers with clocks of their own, and
/// faults of workers that live on or restart, beside changes of the planner and outages of the store.
/// They have no other faults.
const FIRST_SEED_WITH_LIVE_WORKERS: u64 = 11_000;

/// From this seed on workers are lost for good beside changes of the planner in series. Runs have no other
/// faults.
const FIRST_SEED_WITH_LOST_WORKERS: u64 = 12_000;

/// From this seed on crowds of clients outside the limits come beside faults of all kinds.
const FIRST_SEED_WITH_CROWDS: u64 = 13_000;

/// From this seed on callers withdraw jobs beside a store that is slow or executes writes late, and faults
/// of all kinds.
const FIRST_SEED_WITH_WITHDRAWALS: u64 = 14_000;

/// Times at which the store of such a run is slow or late.
const SLOW_STORES: u32 = 5;

/// Crowds of one run.
const CROWDS: u32 = 5;

/// Longest time for which tasks of a lost worker may be without a run while planners are restarted as planned,
/// and if they are killed, suspended or cut off.
const MAX_AWAY_PLANNED: Duration = Duration::from_secs(7);
const MAX_AWAY_UNPLANNED: Duration = Duration::from_secs(10);

/// Time from the loss of workers to the end of a series of changes. After the last unplanned one a planner is
/// in place again before the tasks are due.
const PLANNED_SERIES: Duration = Duration::from_secs(12);
const UNPLANNED_SERIES: Duration = Duration::from_secs(6);

/// In one of so many runs with load control, one daemon has none.
const RUNS_PER_RUN_WITH_BOTH_MODES: u64 = 3;

/// Kinds of faults of workers that live on or restart; each run has one of each.
const LIVE_WORKER_FAULTS: usize = 9;

/// The kind of several workers that refuse connections for longer than a few polls.
const REFUSED_CONNECTIONS: usize = 0;
const MIN_REFUSAL: Duration = Duration::from_millis(1_200);

/// The kind whose entries are written late, of several workers at once. A takeover before that is
/// always beside it.
const LATE_ENTRY: usize = 2;

/// Number of workers with the same fault at once, for these two kinds.
const WORKERS_AT_ONCE: usize = 3;

/// Time from which jobs of runs with live workers have tasks that outlast a takeover. Idle workers are
/// rare from then on.
pub const LONG_TASKS_FROM: Duration = Duration::from_secs(4);

/// Time without faults between two rounds of a long run.
const ROUND_PAUSE: Duration = Duration::from_secs(8);

/// Maximum number of faults drawn for one run.
const MAX_FAULTS: u32 = 14;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A daemon is killed and restarted.
    Kill(usize),
    /// The planner's daemon is killed and restarted.
    KillPlanner,
    /// All daemons are killed at once and restarted.
    KillAll,
    /// A daemon is paused and resumed.
    Pause(usize),
    /// The planner's daemon is paused and resumed.
    PausePlanner,
    /// A planned stop and a restart.
    Terminate(usize),
    /// A rolling restart: all daemons are stopped as planned and restarted, shortly after one
    /// another.
    RollingRestart,
    /// The signal to reload the settings.
    Hangup(usize),
    /// A new configuration.
    Configure,
    /// New configurations in quick succession.
    ConfigureRapidly,
    /// A new configuration with thousands of queues.
    ConfigureLarge,
    /// The store turns a daemon away in the given way and serves the others and the operator.
    TurnAway(usize, LinkFault),
    /// The open connections of all daemons to the store go silent for good; new ones work.
    SilenceOpenConnections,
    /// Watches of the configuration get no reply.
    StallConfigWatches,
    /// Calls to the store fail in the given way.
    Store(StoreFault),
    /// The store drops its history.
    CompactHistory,
    /// The store deletes the planner's ownership key.
    RevokePlanner,
    /// The connections of a daemon to the store fail in the given way.
    StoreConnection(usize, LinkFault),
    /// A worker crashes; another incarnation is started in its place.
    CrashWorker(usize),
    /// A worker crashes and is back under its identifier. Its former entry is written once more.
    RestartWorker(usize),
    /// A worker crashes, and another one is at its address. The former entry is written late.
    SucceedWorker(usize),
    /// Workers crash and are back within milliseconds under their identifiers.
    RestartWorkers(Restart),
    /// Like [`Fault::RestartWorkers`]; after the given time their connections fail in the given way.
    RestartAndCutWorkers(Restart, Duration, LinkFault),
    /// A worker's address refuses and accepts connections by turns.
    FlapWorker(usize),
    /// The planner's daemon is stopped as planned and restarted.
    TerminatePlanner,
    /// A job that fits no worker and an entry of another writer, with numbers at their limits.
    ExtremeNumbers,
    /// The connections to a worker fail in the given way; its tasks continue to run.
    WorkerConnection(usize, LinkFault),
    /// A worker announces that it is leaving, and leaves.
    LeaveWorker(usize),
    /// The zone of half of the workers takes no new work for a time.
    CloseZone,
    /// Two workers crash at once; other incarnations are started in their places.
    CrashTwoWorkers(usize),
    /// The workers with the most long-running tasks crash for good, and their addresses fail in the given
    /// way. The tasks must run again within the given time.
    LoseWorkers(usize, LinkFault, Duration),
    /// The planner's daemon is cut off from the store. It still reaches the workers.
    CutPlanner,
    /// A worker's capacity is temporarily reduced to a quarter.
    ReduceCapacity(usize),
    /// A worker misbehaves in the given way.
    Worker(usize, WorkerFault),
    /// Clients outside the limits come to a daemon, and again when it has closed their connections.
    Crowd(usize, CrowdKind),
}

/// Workers that restart under their identifiers at once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Restart {
    pub workers: usize,
    /// Whether the workers with the fewest or those with the most runs restart.
    pub is_idle: bool,
    pub downtime: Duration,
    /// Time from the restart to the first entry.
    pub entry_delay: Duration,
}

/// One scheduled fault of a run.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    pub at: Duration,
    pub duration: Duration,
    pub fault: Fault,
}

impl Fault {
    /// Whether operators cause the fault. Such faults must not be visible to callers.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Terminate(_)
                | Self::TerminatePlanner
                | Self::RollingRestart
                | Self::Hangup(_)
                | Self::Configure
                | Self::ConfigureRapidly
                | Self::ConfigureLarge
                | Self::CloseZone
        )
    }

    /// What the fault separates from what.
    pub fn scope(self) -> Scope {
        match self {
            Self::Kill(daemon)
            | Self::Pause(daemon)
            | Self::Terminate(daemon)
            | Self::Crowd(daemon, _)
            | Self::StoreConnection(daemon, _) => Scope::Daemon(daemon),
            Self::TurnAway(daemon, _) => Scope::TurnedAway(daemon),
            Self::KillAll
            | Self::KillPlanner
            | Self::PausePlanner
            | Self::TerminatePlanner
            | Self::RollingRestart
            | Self::Store(_)
            | Self::StallConfigWatches
            | Self::SilenceOpenConnections
            | Self::CompactHistory
            | Self::RevokePlanner
            | Self::CutPlanner => Scope::All,
            Self::Hangup(_)
            | Self::Configure
            | Self::ConfigureRapidly
            | Self::ConfigureLarge
            | Self::CrashWorker(_)
            | Self::RestartWorker(_)
            | Self::RestartWorkers(_)
            | Self::RestartAndCutWorkers(..)
            | Self::FlapWorker(_)
            | Self::SucceedWorker(_)
            | Self::ExtremeNumbers
            | Self::WorkerConnection(..)
            | Self::LeaveWorker(_)
            | Self::CloseZone
            | Self::CrashTwoWorkers(_)
            | Self::LoseWorkers(..)
            | Self::ReduceCapacity(_)
            | Self::Worker(..) => Scope::Elsewhere,
        }
    }
}

/// Whether the run of a seed has jobs with tasks that crash their workers.
pub fn has_crashing_tasks(seed: u64) -> bool {
    (FIRST_SEED_WITH_CRASHES..FIRST_SEED_WITH_WATCH_FAULTS).contains(&seed)
}

/// Whether the run of a seed has load control and more long-running jobs than the workers hold.
pub fn has_load_control(seed: u64) -> bool {
    SEEDS_WITH_LOAD_CONTROL.contains(&seed)
}

/// Whether one daemon of the run of a seed has no load control, beside others that have it.
pub fn has_both_modes(seed: u64) -> bool {
    has_load_control(seed) && seed % RUNS_PER_RUN_WITH_BOTH_MODES == 0
}

/// Mode of load control of a daemon; `None` for the default.
pub fn load_control(seed: u64, daemon: usize, daemons: usize) -> Option<&'static str> {
    let without = (seed / RUNS_PER_RUN_WITH_BOTH_MODES) as usize % daemons;
    let is_without = has_both_modes(seed) && daemon == without;
    has_load_control(seed).then_some(if is_without { "off" } else { "on" })
}

/// The fault schedule of a seed. Every fourth run has planned maintenance only, as only there
/// callers may expect that every request is answered.
pub fn schedule(seed: u64, daemons: usize, workers: usize) -> Vec<ScheduledFault> {
    if has_withdrawals(seed) {
        return schedule_with_withdrawals(seed, daemons, workers);
    }
    if seed >= FIRST_SEED_WITH_CROWDS {
        return schedule_with_crowds(seed, daemons, workers);
    }
    if seed >= FIRST_SEED_WITH_LOST_WORKERS {
        return schedule_with_lost_workers(seed);
    }
    if has_live_workers(seed) {
        return schedule_with_live_workers(seed, workers);
    }
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let is_planned = seed % 4 == 0;
    let has_watch_faults = seed >= FIRST_SEED_WITH_WATCH_FAULTS;
    // Every other run with faults of the watches has no other unplanned ones, during which the
    // bounds on the configuration would not hold.
    let has_only_watch_faults = has_watch_faults && seed % 4 == 2;
    let count = match has_only_watch_faults {
        true => 0,
        false => random.random_range(5..=MAX_FAULTS),
    };
    let mut scheduled_faults: Vec<ScheduledFault> = (0..count)
        .map(|_| ScheduledFault {
            at: Duration::from_millis(random.random_range(500..FAULT_PERIOD.as_millis() as u64)),
            duration: Duration::from_millis(random.random_range(200..3_500)),
            fault: draw_fault(&mut random, is_planned, daemons, workers),
        })
        .collect();
    if seed >= FIRST_SEED_WITH_CLOSED_ZONE {
        scheduled_faults.push(ScheduledFault {
            at: Duration::from_millis(random.random_range(200..1_500)),
            duration: Duration::from_millis(random.random_range(6_500..9_000)),
            fault: Fault::CloseZone,
        });
    }
    if has_crashing_tasks(seed) && !has_only_watch_faults {
        scheduled_faults.extend((0..4).map(|nth| {
            let worker = random.random_range(0..workers);
            let fault = if nth < 2 {
                Fault::CrashTwoWorkers(worker)
            } else {
                Fault::ReduceCapacity(worker)
            };
            let at =
                Duration::from_millis(random.random_range(500..FAULT_PERIOD.as_millis() as u64));
            ScheduledFault {
                at,
                duration: Duration::from_millis(random.random_range(1_000..7_000)),
                fault,
            }
        }));
    }
    if has_watch_faults {
        let watch_faults = (0..4).map(|_| draw_watch_fault(&mut random, daemons));
        scheduled_faults.extend(watch_faults.collect::<Vec<_>>());
    }
    if seed >= FIRST_SEED_WITH_ONE_DAEMON_SERVED {
        (0..2).for_each(|_| scheduled_faults.extend(draw_one_daemon_served(&mut random, daemons)));
    }
    if seed >= FIRST_SEED_WITH_SUCCESSIONS && !is_planned {
        (0..3).for_each(|_| scheduled_faults.extend(draw_succession(&mut random, workers)));
    }
    scheduled_faults.sort_by_key(|scheduled| scheduled.at);
    scheduled_faults
}

/// Whether callers withdraw jobs in the run of a seed.
pub fn has_withdrawals(seed: u64) -> bool {
    seed >= FIRST_SEED_WITH_WITHDRAWALS
}

/// A store that is slow or late in series, beside the faults of daemons, the store and workers.
fn schedule_with_withdrawals(seed: u64, daemons: usize, workers: usize) -> Vec<ScheduledFault> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let faults = random.random_range(1..=5);
    let mut scheduled_faults: Vec<ScheduledFault> = (0..SLOW_STORES + faults)
        .map(|nth| ScheduledFault {
            at: Duration::from_millis(random.random_range(500..FAULT_PERIOD.as_millis() as u64)),
            duration: Duration::from_millis(random.random_range(1_000..4_000)),
            fault: match (nth < SLOW_STORES, random.random_bool(0.5)) {
                (true, true) => Fault::Store(StoreFault::Late(Duration::from_millis(
                    random.random_range(1_000..6_000),
                ))),
                (true, false) => Fault::Store(StoreFault::Slow(Duration::from_millis(
                    random.random_range(200..900),
                ))),
                (false, _) => draw_fault(&mut random, false, daemons, workers),
            },
        })
        .collect();
    scheduled_faults.sort_by_key(|scheduled| scheduled.at);
    scheduled_faults
}

/// Crowds that overlap, beside the faults of daemons, the store and workers.
fn schedule_with_crowds(seed: u64, daemons: usize, workers: usize) -> Vec<ScheduledFault> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let is_planned = seed % 4 == 0;
    let faults = random.random_range(2..=6);
    let mut scheduled_faults: Vec<ScheduledFault> = (0..CROWDS + faults)
        .map(|nth| ScheduledFault {
            at: Duration::from_millis(random.random_range(500..FAULT_PERIOD.as_millis() as u64)),
            duration: Duration::from_millis(random.random_range(500..4_000)),
            fault: match nth < CROWDS {
                true => Fault::Crowd(random.random_range(0..daemons), CrowdKind::draw(&mut random)),
                false => draw_fault(&mut random, is_planned, daemons, workers),
            },
        })
        .collect();
    scheduled_faults.sort_by_key(|scheduled| scheduled.at);
    scheduled_faults
}

/// Workers that are lost for good, and changes of the planner before and after that, at equal intervals. Every
/// other run has planned changes only.
fn schedule_with_lost_workers(seed: u64) -> Vec<ScheduledFault> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let is_planned = seed % 2 == 0;
    let (max_away, series) = match is_planned {
        true => (MAX_AWAY_PLANNED, PLANNED_SERIES),
        false => (MAX_AWAY_UNPLANNED, UNPLANNED_SERIES),
    };
    let lost_at = LONG_TASKS_FROM + Duration::from_millis(random.random_range(1_000..2_000));
    let link_fault = match random.random_bool(0.5) {
        true => LinkFault::Refuses,
        false => LinkFault::Silent,
    };
    let lost = ScheduledFault {
        at: lost_at,
        duration: max_away,
        fault: Fault::LoseWorkers(random.random_range(2..=4), link_fault, max_away),
    };
    let mut scheduled_faults = vec![lost];
    let interval = Duration::from_millis(random.random_range(1_000..6_000));
    let mut at = lost_at - interval.mul_f64(random.random_range(0.0..0.5));
    while at < lost_at + series {
        let fault = match random.random_range(0..6) {
            _ if is_planned => Fault::TerminatePlanner,
            0 => Fault::TerminatePlanner,
            1 => Fault::PausePlanner,
            2 => Fault::CutPlanner,
            _ => Fault::KillPlanner,
        };
        let duration = Duration::from_millis(random.random_range(400..6_000));
        scheduled_faults.push(ScheduledFault { at, duration, fault });
        at += interval;
    }
    scheduled_faults.sort_by_key(|scheduled| scheduled.at);
    scheduled_faults
}

/// Whether workers of the run of a seed live on or restart while their connections fail.
pub fn has_live_workers(seed: u64) -> bool {
    seed >= FIRST_SEED_WITH_LIVE_WORKERS
}

/// Faults of workers, each with one of the daemons or of the store beside it. Every fourth run has
/// planned handovers only.
fn schedule_with_live_workers(seed: u64, workers: usize) -> Vec<ScheduledFault> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let mut scheduled_faults = Vec::new();
    for kind in 0..LIVE_WORKER_FAULTS {
        let first = draw_live_worker_fault(&mut random, kind, workers);
        scheduled_faults.push(first);
        scheduled_faults.extend((1..WORKERS_AT_ONCE).filter_map(|nth| {
            let fault = match first.fault {
                Fault::SucceedWorker(worker) => Fault::SucceedWorker((worker + nth) % workers),
                Fault::WorkerConnection(worker, fault) if kind == REFUSED_CONNECTIONS => {
                    Fault::WorkerConnection((worker + nth) % workers, fault)
                }
                _ => return None,
            };
            Some(ScheduledFault { fault, ..first })
        }));
        let earliest = if kind == LATE_ENTRY { 0.5 } else { 0.0 };
        let delay = first.duration.mul_f64(random.random_range(earliest..1.1));
        let beside = ScheduledFault {
            at: first.at + delay,
            duration: Duration::from_millis(random.random_range(300..3_000)),
            fault: draw_fault_beside(&mut random, seed % 4 == 0, kind == LATE_ENTRY),
        };
        if kind == LATE_ENTRY || random.random_bool(0.6) {
            scheduled_faults.push(beside);
        }
    }
    scheduled_faults.sort_by_key(|scheduled| scheduled.at);
    scheduled_faults
}

/// Draws a fault of a kind from 0 to [`LIVE_WORKER_FAULTS`].
fn draw_live_worker_fault(random: &mut Pcg64Mcg, kind: usize, workers: usize) -> ScheduledFault {
    let worker = random.random_range(0..workers);
    let mut at = Duration::from_millis(random.random_range(500..FAULT_PERIOD.as_millis() as u64));
    let mut duration = Duration::from_millis(random.random_range(400..3_500));
    let delay = Duration::from_millis(random.random_range(300..2_500));
    let restart = Restart {
        workers: random.random_range(1..=4),
        is_idle: random.random_bool(0.7),
        downtime: Duration::from_millis(random.random_range(5..60)),
        entry_delay: Duration::from_millis(match random.random_bool(0.5) {
            true => 0,
            false => random.random_range(300..3_000),
        }),
    };
    let link_fault = match random.random_range(0..4) {
        0 => LinkFault::Refuses,
        1 => LinkFault::Silent,
        2 => LinkFault::BlocksReplies,
        _ => LinkFault::BlocksCalls,
    };
    let fault = match kind {
        REFUSED_CONNECTIONS => {
            duration = duration.max(MIN_REFUSAL);
            Fault::WorkerConnection(worker, LinkFault::Refuses)
        }
        1 => {
            at = at.min(LONG_TASKS_FROM);
            Fault::RestartWorkers(Restart { is_idle: true, ..restart })
        }
        LATE_ENTRY => {
            at = LONG_TASKS_FROM + at / 4;
            duration = Duration::from_millis(random.random_range(1_500..4_000));
            Fault::SucceedWorker(worker)
        }
        3 => Fault::FlapWorker(worker),
        4 => Fault::WorkerConnection(worker, link_fault),
        5 => Fault::RestartWorkers(restart),
        6 => {
            at /= 2;
            duration = Duration::from_millis(random.random_range(5_000..9_000));
            Fault::RestartAndCutWorkers(restart, delay / 2, link_fault)
        }
        7 => Fault::Worker(worker, WorkerFault::SlowPolls(delay)),
        _ => Fault::Worker(worker, WorkerFault::SlowOrders(delay)),
    };
    ScheduledFault { at, duration, fault }
}

/// A change of the planner or, unless it has to be one, an outage of the store.
fn draw_fault_beside(random: &mut Pcg64Mcg, is_planned: bool, is_change: bool) -> Fault {
    let delay = Duration::from_millis(random.random_range(500..2_500));
    if is_planned {
        return Fault::TerminatePlanner;
    }
    match random.random_range(0..if is_change { 6 } else { 9 }) {
        0 | 1 => Fault::KillPlanner,
        2 => Fault::PausePlanner,
        3 | 4 => Fault::TerminatePlanner,
        5 => Fault::RevokePlanner,
        6 => Fault::Store(StoreFault::Refuses),
        7 => Fault::Store(StoreFault::LosesAnswers),
        _ => Fault::Store(StoreFault::Late(delay)),
    }
}

/// Incarnations of workers that follow one another, with a takeover before the late entry.
fn draw_succession(random: &mut Pcg64Mcg, workers: usize) -> [ScheduledFault; 3] {
    let at = Duration::from_millis(random.random_range(500..FAULT_PERIOD.as_millis() as u64));
    let duration = Duration::from_millis(random.random_range(600..4_000));
    let worker = random.random_range(0..workers);
    let fault = match random.random_bool(0.5) {
        true => Fault::RestartWorker(worker),
        false => Fault::SucceedWorker(worker),
    };
    let takeover_at = at + duration.mul_f64(random.random_range(0.2..1.1));
    [
        ScheduledFault { at, duration, fault },
        ScheduledFault { at: takeover_at, duration, fault: Fault::KillPlanner },
        ScheduledFault { at, duration: Duration::ZERO, fault: Fault::ExtremeNumbers },
    ]
}

/// The store turns all daemons but one away, each in a way of its own, while the configuration
/// changes.
fn draw_one_daemon_served(random: &mut Pcg64Mcg, daemons: usize) -> Vec<ScheduledFault> {
    let served = random.random_range(0..daemons);
    let at = Duration::from_millis(random.random_range(500..FAULT_PERIOD.as_millis() as u64));
    let duration = Duration::from_millis(random.random_range(3_000..7_000));
    let mut scheduled_faults: Vec<ScheduledFault> = (0..daemons)
        .filter(|daemon| *daemon != served)
        .map(|daemon| ScheduledFault {
            at,
            duration,
            fault: Fault::TurnAway(daemon, draw_rejection(random)),
        })
        .collect();
    scheduled_faults.extend((0..2).map(|_| ScheduledFault {
        at: at + Duration::from_millis(random.random_range(50..1_500)),
        duration: Duration::ZERO,
        fault: Fault::Configure,
    }));
    scheduled_faults
}

/// A way in which the store turns a daemon away.
fn draw_rejection(random: &mut Pcg64Mcg) -> LinkFault {
    match random.random_range(0..5) {
        0 => LinkFault::Reset,
        1 => LinkFault::Silent,
        2 => LinkFault::BlocksReplies,
        3 => LinkFault::Answers(503),
        _ => LinkFault::Answers(429),
    }
}

/// The schedules of consecutive seeds one after the other, with pauses, for runs over minutes.
/// Returns them with their whole duration.
pub fn long_schedule(
    first_seed: u64,
    rounds: u64,
    daemons: usize,
    workers: usize,
) -> (Vec<ScheduledFault>, Duration) {
    let round_period = FAULT_PERIOD + ROUND_PAUSE;
    let scheduled_faults = (0..rounds).flat_map(|round| {
        let start = round_period * round as u32;
        schedule(first_seed + round, daemons, workers)
            .into_iter()
            .map(move |scheduled| ScheduledFault { at: scheduled.at + start, ..scheduled })
    });
    (scheduled_faults.collect(), round_period * rounds as u32)
}

fn draw_watch_fault(random: &mut Pcg64Mcg, daemons: usize) -> ScheduledFault {
    let duration = Duration::from_millis(random.random_range(800..3_500));
    let (fault, duration) = match random.random_range(0..8) {
        0 | 1 => (Fault::Store(StoreFault::DeafWatches), duration),
        2 => (Fault::StallConfigWatches, duration),
        3 => (Fault::SilenceOpenConnections, Duration::ZERO),
        4 => {
            let duration = Duration::from_millis(random.random_range(8_000..13_000));
            (Fault::TurnAway(random.random_range(0..daemons), LinkFault::Reset), duration)
        }
        5 => (Fault::ConfigureLarge, Duration::ZERO),
        _ => (Fault::ConfigureRapidly, duration),
    };
    let at = Duration::from_millis(random.random_range(500..FAULT_PERIOD.as_millis() as u64));
    ScheduledFault { at, duration, fault }
}

fn draw_fault(random: &mut Pcg64Mcg, is_planned: bool, daemons: usize, workers: usize) -> Fault {
    let daemon = random.random_range(0..daemons);
    let worker = random.random_range(0..workers);
    let delay = Duration::from_millis(random.random_range(1_000..4_000));
    let link_fault = match random.random_range(0..4) {
        0 => LinkFault::Silent,
        1 => LinkFault::BlocksReplies,
        2 => LinkFault::Reset,
        _ => LinkFault::Delay(delay / 10),
    };
    if is_planned {
        return match random.random_range(0..6) {
            0 => Fault::RollingRestart,
            1 => Fault::Hangup(daemon),
            2 | 3 => Fault::Configure,
            _ => Fault::Terminate(daemon),
        };
    }
    match random.random_range(0..24) {
        0 => Fault::Kill(daemon),
        1 | 2 => Fault::KillPlanner,
        3 => Fault::KillAll,
        4 => Fault::Pause(daemon),
        5 | 6 => Fault::PausePlanner,
        7 => Fault::Terminate(daemon),
        8 => Fault::RollingRestart,
        9 => Fault::Hangup(daemon),
        10 => Fault::Configure,
        11 => Fault::Store(StoreFault::Refuses),
        12 => Fault::Store(StoreFault::Silent),
        13 => Fault::Store(StoreFault::Slow(delay / 10)),
        14 => Fault::Store(StoreFault::LosesAnswers),
        15 => Fault::Store(StoreFault::Late(delay)),
        16 => Fault::CompactHistory,
        17 => Fault::RevokePlanner,
        18 | 19 => Fault::StoreConnection(daemon, link_fault),
        20 => Fault::CrashWorker(worker),
        21 => Fault::WorkerConnection(worker, link_fault),
        22 => Fault::LeaveWorker(worker),
        _ => Fault::Worker(
            worker,
            match random.random_range(0..3) {
                0 => WorkerFault::FailsAll,
                1 => WorkerFault::Hangs,
                _ => WorkerFault::Late(delay),
            },
        ),
    }
}
