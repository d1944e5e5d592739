//! How long no task starts when the daemon that plans is lost, by the way in which it is lost.

use std::time::{Duration, Instant};

use crate::faults::{Fault, Strike};
use crate::run::Run;
use crate::support::proxy::LinkFault;

/// How the planner is lost.
#[derive(Clone, Copy, Debug)]
pub enum Loss {
    /// It is not lost: what the traffic alone shows.
    Not,
    /// It is killed.
    Killed,
    /// It stands still for four seconds.
    Paused,
    /// It no longer reaches the store.
    Cut,
    /// It is stopped as planned.
    Stopped,
}

impl Loss {
    pub const ALL: [Loss; 5] = [Loss::Not, Loss::Killed, Loss::Paused, Loss::Cut, Loss::Stopped];
}

/// When the planner is lost, after the first job.
const LOST_AT: Duration = Duration::from_millis(2_500);

/// How long starts are watched after that.
const WATCHED: Duration = Duration::from_secs(6);

/// A gap whose logs are kept: longer than a lease.
const SLOW: Duration = Duration::from_millis(2_300);

/// Longest time without a start around one loss of the planner. Jobs come every 125 ms.
pub async fn gap(seed: u64, loss: Loss) -> Duration {
    let run = Run::start(seed).await;
    let stream = tokio::spawn({
        let run = run.clone();
        async move { run.traffic(LOST_AT + WATCHED).await }
    });
    tokio::time::sleep(LOST_AT).await;
    let lost = Instant::now();
    let planner = run.planner().unwrap();
    let at = run.daemons.iter().position(|daemon| daemon.name == planner.name).unwrap();
    let fault = match loss {
        Loss::Not => Fault::Configure,
        Loss::Killed => Fault::KillPlanner,
        Loss::Paused => Fault::PausePlanner,
        Loss::Cut => Fault::StoreLink(at, LinkFault::Silent),
        Loss::Stopped => Fault::Terminate(at),
    };
    let strike = Strike { at: Duration::ZERO, lasts: Duration::from_secs(4), fault };
    let struck = tokio::spawn(run.clone().strike(strike));
    stream.await.unwrap();
    struck.await.unwrap();
    let starts: Vec<Instant> = run.floor.starts().into_iter().map(|(at, _)| at).collect();
    let near = |pair: &&[Instant]| pair[1] > lost && pair[0] < lost + WATCHED;
    let longest = starts.windows(2).filter(near).map(|pair| pair[1] - pair[0]).max();
    let longest = longest.unwrap_or(WATCHED);
    if longest > SLOW {
        println!("{loss:?}, seed {seed}: {longest:?}, logs in {}", run.folder.display());
    } else {
        drop(std::fs::remove_dir_all(&run.folder));
    }
    longest
}
