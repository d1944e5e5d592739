//! Measures how long no task starts when the planner is lost, by the kind of loss.

use std::time::{Duration, Instant};

use crate::faults::{Fault, ScheduledFault};
use crate::run::SoakRun;
use crate::support::proxy::LinkFault;

/// How the planner is lost.
#[derive(Clone, Copy, Debug)]
pub enum Loss {
    /// The planner is not lost. This shows the gaps of the traffic alone.
    Not,
    /// The planner is killed.
    Killed,
    /// The planner is paused for four seconds.
    Paused,
    /// The planner no longer reaches the store.
    Cut,
    /// The planner is stopped as planned.
    Stopped,
}

impl Loss {
    pub const ALL: [Loss; 5] = [Loss::Not, Loss::Killed, Loss::Paused, Loss::Cut, Loss::Stopped];
}

/// Time of the loss, after the first job.
const LOSS_AT: Duration = Duration::from_millis(2_500);

/// How long starts are observed after the loss.
const OBSERVATION_PERIOD: Duration = Duration::from_secs(6);

/// Gap from which the logs are kept. It is longer than a lease.
const LONG_GAP: Duration = Duration::from_millis(2_300);

/// Longest time without a start around one loss of the planner. Jobs are submitted every 125 ms.
pub async fn longest_start_gap(seed: u64, loss: Loss) -> Duration {
    let run = SoakRun::start(seed).await;
    let traffic = tokio::spawn({
        let run = run.clone();
        async move { run.traffic(LOSS_AT + OBSERVATION_PERIOD).await }
    });
    tokio::time::sleep(LOSS_AT).await;
    let lost = Instant::now();
    let planner = run.planner().unwrap();
    let index = run.daemons.iter().position(|daemon| daemon.name == planner.name).unwrap();
    let fault = match loss {
        Loss::Not => Fault::Configure,
        Loss::Killed => Fault::KillPlanner,
        Loss::Paused => Fault::PausePlanner,
        Loss::Cut => Fault::StoreConnection(index, LinkFault::Silent),
        Loss::Stopped => Fault::Terminate(index),
    };
    let scheduled = ScheduledFault { at: Duration::ZERO, duration: Duration::from_secs(4), fault };
    let injection = tokio::spawn(run.clone().inject(scheduled));
    traffic.await.unwrap();
    injection.await.unwrap();
    let starts: Vec<Instant> =
        run.simulated_workers.starts().into_iter().map(|(at, _)| at).collect();
    let is_around_loss = |pair: &&[Instant]| pair[1] > lost && pair[0] < lost + OBSERVATION_PERIOD;
    let longest = starts.windows(2).filter(is_around_loss).map(|pair| pair[1] - pair[0]).max();
    let longest = longest.unwrap_or(OBSERVATION_PERIOD);
    if longest > LONG_GAP {
        println!("{loss:?}, seed {seed}: {longest:?}, logs in {}", run.folder.display());
    } else {
        drop(std::fs::remove_dir_all(&run.folder));
    }
    longest
}
