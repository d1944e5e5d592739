//! Fault schedules, generated from a seed.

use std::fmt;

use agatesill_policy::value_type;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Share of the time to live that shortened leases keep, in percent.
pub const SHORT_LEASE_PERCENT: u32 = 40;

/// Response delay of a slow network or store.
pub const SLOW_MS: u64 = 300;

/// Delay of calls in a congested network, longer than the timeout of a call to a worker and than the
/// leases of a run.
pub const LATE_MS: u64 = 2_200;

value_type! {
    /// Kinds of faults.
    pub enum FaultKind {
        /// A daemon is killed without a graceful shutdown and restarted later.
        KillDaemon,
        /// A daemon process is suspended at an arbitrary point and resumed later.
        PauseDaemon,
        /// A daemon cannot reach the store.
        CutStore,
        /// A daemon cannot reach the workers.
        CutWorkers,
        /// The store's responses to a daemon are lost after the write took effect.
        LoseStoreAnswers,
        /// The workers' responses to a daemon are lost after the call took effect.
        LoseWorkerAnswers,
        /// The workers' responses to a daemon are delayed.
        SlowWorkers,
        /// The store refuses every call.
        StoreOutage,
        /// The store's responses are delayed.
        SlowStore,
        /// Leases in the store expire early.
        ShortLeases,
        /// A worker answers no calls; its attempts keep running.
        WorkerUnreachable,
        /// A worker fails every attempt that it starts.
        WorkerFailsAll,
        /// A daemon's calls to the workers arrive late, most of them after it has given up.
        LateWorkerCalls,
        /// A worker crashes at the beginning of the fault and restarts under its number.
        WorkerRestarts,
        /// An upstream runs requests and cuts off half of its responses.
        UpstreamDies,
        /// An upstream runs requests and closes half of the connections without a response.
        UpstreamLosesAnswers,
        /// An upstream refuses all requests because it is shutting down.
        UpstreamLeaves,
        /// An upstream has a much longer service time.
        UpstreamSlow,
    }
}

impl FaultKind {
    /// Kinds that affect requests.
    pub const REQUESTS: [FaultKind; 9] = [
        FaultKind::KillDaemon,
        FaultKind::PauseDaemon,
        FaultKind::CutStore,
        FaultKind::LoseStoreAnswers,
        FaultKind::StoreOutage,
        FaultKind::UpstreamDies,
        FaultKind::UpstreamLosesAnswers,
        FaultKind::UpstreamLeaves,
        FaultKind::UpstreamSlow,
    ];

    /// Kinds that affect batch work.
    pub const BATCH: [FaultKind; 12] = [
        FaultKind::KillDaemon,
        FaultKind::PauseDaemon,
        FaultKind::CutStore,
        FaultKind::CutWorkers,
        FaultKind::LoseStoreAnswers,
        FaultKind::LoseWorkerAnswers,
        FaultKind::SlowWorkers,
        FaultKind::StoreOutage,
        FaultKind::SlowStore,
        FaultKind::ShortLeases,
        FaultKind::WorkerUnreachable,
        FaultKind::WorkerFailsAll,
    ];

    /// Kinds that make calls to workers late or restart workers, with those that change the owner.
    pub const LATE_CALLS: [FaultKind; 8] = [
        FaultKind::LateWorkerCalls,
        FaultKind::LateWorkerCalls,
        FaultKind::WorkerRestarts,
        FaultKind::WorkerRestarts,
        FaultKind::LoseWorkerAnswers,
        FaultKind::WorkerUnreachable,
        FaultKind::KillDaemon,
        FaultKind::PauseDaemon,
    ];
}

value_type! {
    /// A fault and its target.
    #[derive(Copy, Eq)]
    pub struct Fault {
        /// Kind of the fault.
        pub kind: FaultKind,
        /// Index of the daemon, worker or upstream, taken modulo their number.
        pub target: usize,
    }
}

value_type! {
    /// A fault with its start time and duration.
    #[derive(Copy, Eq)]
    pub struct PlannedFault {
        /// Start time, relative to the start of the run.
        pub at_ms: u64,
        /// Duration.
        pub for_ms: u64,
        /// The fault.
        pub fault: Fault,
    }
}

value_type! {
    /// All faults of one run.
    pub struct Schedule {
        /// Seed of the faults and the load.
        pub seed: u64,
        /// Faults in order of their start times.
        pub faults: Vec<PlannedFault>,
    }
}

/// Limits of generated schedules.
#[derive(Clone, Debug)]
pub struct ScheduleLimits {
    /// Kinds of faults to choose from.
    pub kinds: Vec<FaultKind>,
    /// Number of rounds. Each has one fault, two overlapping faults or one fault twice.
    pub rounds: u64,
    /// Interval between rounds.
    pub round_ms: u64,
    /// Longest duration of one fault.
    pub longest_ms: u64,
}

impl Schedule {
    /// Generates the schedule of `seed`. Each round has one fault, two overlapping faults or one
    /// fault twice.
    pub fn generate(seed: u64, limits: &ScheduleLimits) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut faults = Vec::new();
        for round in 0..limits.rounds {
            let round_start_ms = round * limits.round_ms + rng.random_range(0..limits.round_ms / 4);
            let first = draw_fault(&mut rng, limits, round_start_ms);
            faults.push(first);
            match rng.random_range(0..3) {
                0 => {}
                1 => {
                    let gap_ms = rng.random_range(0..=first.for_ms);
                    faults.push(draw_fault(&mut rng, limits, round_start_ms + gap_ms));
                }
                _ => {
                    let at_ms = first.at_ms + first.for_ms + rng.random_range(0..200);
                    faults.push(PlannedFault { at_ms, ..first });
                }
            }
        }
        faults.sort_by_key(|planned| planned.at_ms);
        Self { seed, faults }
    }
}

fn draw_fault(rng: &mut Pcg64Mcg, limits: &ScheduleLimits, at_ms: u64) -> PlannedFault {
    let kind = limits.kinds[rng.random_range(0..limits.kinds.len())];
    let for_ms = rng.random_range(limits.longest_ms / 8..=limits.longest_ms);
    PlannedFault { at_ms, for_ms, fault: Fault { kind, target: rng.random_range(0..64) } }
}

impl fmt::Display for Schedule {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "seed {}", self.seed)?;
        for planned in &self.faults {
            let Fault { kind, target } = planned.fault;
            write!(f, "; {kind:?}({target}) at {} for {} ms", planned.at_ms, planned.for_ms)?;
        }
        Ok(())
    }
}
