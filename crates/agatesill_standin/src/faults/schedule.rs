//! Which faults come when, drawn from a seed.

use std::fmt;

use agatesill_policy::value_type;
use rand::Rng;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

/// Share of a lease's time that is left when leases are cut short, in percent.
pub const SHORT_LEASE_PERCENT: u32 = 40;

/// Delay of a slow network or store.
pub const SLOW_MS: u64 = 300;

value_type! {
    /// What can go wrong.
    pub enum FaultKind {
        /// A daemon dies without a word and is started again.
        KillDaemon,
        /// A daemon stops in the middle of whatever it does and goes on later.
        PauseDaemon,
        /// A daemon cannot reach the store.
        CutStore,
        /// A daemon cannot reach the workers.
        CutWorkers,
        /// The store's answers to a daemon are lost after the write took effect.
        LoseStoreAnswers,
        /// The workers' answers to a daemon are lost after the call took effect.
        LoseWorkerAnswers,
        /// The workers' answers to a daemon come late.
        SlowWorkers,
        /// The store refuses every call.
        StoreOutage,
        /// The store answers late.
        SlowStore,
        /// Leases in the store end before their time.
        ShortLeases,
        /// A worker answers nobody; what it runs goes on.
        WorkerUnreachable,
        /// A worker fails everything that it starts.
        WorkerFailsAll,
        /// An upstream runs requests and dies in the middle of half of its answers.
        UpstreamDies,
        /// An upstream runs requests and closes half of the connections without an answer.
        UpstreamLosesAnswers,
        /// An upstream refuses everything because it is leaving.
        UpstreamLeaves,
        /// An upstream is slow.
        UpstreamSlow,
    }
}

impl FaultKind {
    /// What can strike requests.
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

    /// What can strike batch work.
    pub const ALL: [FaultKind; 12] = [
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
}

value_type! {
    /// A fault and whom it strikes; the index is taken modulo the number of daemons or workers.
    #[derive(Copy, Eq)]
    pub struct Fault {
        /// What.
        pub kind: FaultKind,
        /// Which daemon or worker.
        pub target: usize,
    }
}

value_type! {
    /// A fault with its time.
    #[derive(Copy, Eq)]
    pub struct PlannedFault {
        /// When it begins, from the start of the run.
        pub at_ms: u64,
        /// How long it lasts.
        pub for_ms: u64,
        /// What.
        pub fault: Fault,
    }
}

value_type! {
    /// All faults of one run.
    pub struct Schedule {
        /// Seed of the load and the faults.
        pub seed: u64,
        /// Faults in order of their beginnings.
        pub faults: Vec<PlannedFault>,
    }
}

/// Bounds within which schedules are drawn.
#[derive(Clone, Debug)]
pub struct ScheduleLimits {
    /// Kinds to draw from.
    pub kinds: Vec<FaultKind>,
    /// Rounds; each brings one fault, two at once or one twice.
    pub rounds: u64,
    /// Time from one round to the next.
    pub round_ms: u64,
    /// Longest time of one fault.
    pub longest_ms: u64,
}

impl Schedule {
    /// Draws the schedule of `seed`. Rounds bring a fault alone, two together, or one twice.
    pub fn generate(seed: u64, limits: &ScheduleLimits) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut faults = Vec::new();
        for round in 0..limits.rounds {
            let from_ms = round * limits.round_ms + rng.random_range(0..limits.round_ms / 4);
            let first = draw(&mut rng, limits, from_ms);
            faults.push(first);
            match rng.random_range(0..3) {
                0 => {}
                1 => {
                    let gap_ms = rng.random_range(0..=first.for_ms);
                    faults.push(draw(&mut rng, limits, from_ms + gap_ms));
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

fn draw(rng: &mut Pcg64Mcg, limits: &ScheduleLimits, at_ms: u64) -> PlannedFault {
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
