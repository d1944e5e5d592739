//! Which faults strike when, drawn from a seed. They come in series and overlap.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::support::proxy::LinkFault;
use crate::support::simulated_workers::WorkerFault;
use crate::support::store::StoreFault;

/// Faults strike within this time; then everything is mended.
pub const SPAN: Duration = Duration::from_secs(9);

/// From this seed on each run also closes a zone; those before keep the faults that they had.
const FIRST_WITH_ZONES: u64 = 1_000;

/// From this seed on each run also has tasks that crash their workers, crashes of two workers at once and
/// workers with temporarily reduced capacity.
const FIRST_WITH_CRASHES: u64 = 2_000;

/// Most faults of one run.
const MOST_FAULTS: u32 = 14;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A daemon dies and is started again.
    Kill(usize),
    /// The daemon that plans dies.
    KillPlanner,
    /// All daemons die at once.
    KillAll,
    /// A daemon stands still and goes on.
    Pause(usize),
    /// The daemon that plans stands still and goes on.
    PausePlanner,
    /// A planned stop and a new start.
    Terminate(usize),
    /// All daemons are stopped as planned and started, one shortly after the other.
    Roll,
    /// A signal that the settings have changed.
    Hangup(usize),
    /// A new configuration.
    Configure,
    /// The store harms calls.
    Store(StoreFault),
    /// The store drops its history.
    ForgetHistory,
    /// The store takes the planner's key away.
    RevokePlanner,
    /// The connections of a daemon to the store are harmed.
    StoreLink(usize, LinkFault),
    /// A worker dies; another incarnation starts in its place.
    CrashWorker(usize),
    /// The connections to a worker are harmed; what it runs goes on.
    WorkerLink(usize, LinkFault),
    /// A worker announces that it leaves, and leaves.
    LeaveWorker(usize),
    /// The zone of half of the workers takes no new work for a time.
    CloseZone,
    /// Two workers crash at once; other incarnations start in their places.
    CrashTwoWorkers(usize),
    /// A worker's capacity is temporarily reduced to a quarter.
    ReduceCapacity(usize),
    /// A worker does wrong.
    Worker(usize, WorkerFault),
}

/// One fault of a run.
#[derive(Clone, Copy, Debug)]
pub struct Strike {
    pub at: Duration,
    pub lasts: Duration,
    pub fault: Fault,
}

impl Fault {
    /// Whether operators cause it: callers must notice nothing.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Self::Terminate(_) | Self::Roll | Self::Hangup(_) | Self::Configure | Self::CloseZone
        )
    }
}

/// Whether the run of a seed has jobs with tasks that crash their workers.
pub fn has_crashing_tasks(seed: u64) -> bool {
    seed >= FIRST_WITH_CRASHES
}

/// The faults of a seed. Every fourth run has planned maintenance alone, as only there callers may expect
/// that every request is answered.
pub fn schedule(seed: u64, daemons: usize, workers: usize) -> Vec<Strike> {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let is_planned = seed % 4 == 0;
    let count = random.random_range(5..=MOST_FAULTS);
    let mut strikes: Vec<Strike> = (0..count)
        .map(|_| Strike {
            at: Duration::from_millis(random.random_range(500..SPAN.as_millis() as u64)),
            lasts: Duration::from_millis(random.random_range(200..3_500)),
            fault: draw(&mut random, is_planned, daemons, workers),
        })
        .collect();
    if seed >= FIRST_WITH_ZONES {
        strikes.push(Strike {
            at: Duration::from_millis(random.random_range(200..1_500)),
            lasts: Duration::from_millis(random.random_range(6_500..9_000)),
            fault: Fault::CloseZone,
        });
    }
    if has_crashing_tasks(seed) {
        strikes.extend((0..4).map(|nth| {
            let worker = random.random_range(0..workers);
            let fault = if nth < 2 {
                Fault::CrashTwoWorkers(worker)
            } else {
                Fault::ReduceCapacity(worker)
            };
            let at = Duration::from_millis(random.random_range(500..SPAN.as_millis() as u64));
            Strike { at, lasts: Duration::from_millis(random.random_range(1_000..7_000)), fault }
        }));
    }
    strikes.sort_by_key(|strike| strike.at);
    strikes
}

fn draw(random: &mut Pcg64Mcg, is_planned: bool, daemons: usize, workers: usize) -> Fault {
    let daemon = random.random_range(0..daemons);
    let worker = random.random_range(0..workers);
    let delay = Duration::from_millis(random.random_range(1_000..4_000));
    let link = match random.random_range(0..4) {
        0 => LinkFault::Silent,
        1 => LinkFault::BlocksReplies,
        2 => LinkFault::Reset,
        _ => LinkFault::Delay(delay / 10),
    };
    if is_planned {
        return match random.random_range(0..6) {
            0 => Fault::Roll,
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
        8 => Fault::Roll,
        9 => Fault::Hangup(daemon),
        10 => Fault::Configure,
        11 => Fault::Store(StoreFault::Refuses),
        12 => Fault::Store(StoreFault::Silent),
        13 => Fault::Store(StoreFault::Slow(delay / 10)),
        14 => Fault::Store(StoreFault::LosesAnswers),
        15 => Fault::Store(StoreFault::Late(delay)),
        16 => Fault::ForgetHistory,
        17 => Fault::RevokePlanner,
        18 | 19 => Fault::StoreLink(daemon, link),
        20 => Fault::CrashWorker(worker),
        21 => Fault::WorkerLink(worker, link),
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
