//! Daemons that planned before this one and may still renew leases at workers.
//!
//! An owner that is cut off from the store renews for a while without knowing that another daemon
//! owns the range. A successor must wait for that time before it treats a task on an unreachable
//! worker as ended, unless it knows that none of these daemons plans any more.

use std::time::Duration;

use agatesill_coord::lease::Owner;
use agatesill_policy::admission::OfferedTotals;
use agatesill_policy::fleet::ORPHAN_MS;
use agatesill_wire::fleet::FleetQuestion;
use agatesill_wire::platform::Entry;
use agatesill_wire::prelude::*;
use tokio::time::Instant;

use super::daemon_state::DaemonState;
use super::keys;
use super::peer_connection::PeerReply;

/// Maximum number of earlier planners that are queried. If more of them are not known to have
/// stopped, planners change so often that waiting makes no difference.
const MAX_QUERIED: usize = 4;

/// Interval between queries whether they still renew leases.
const QUERY_INTERVAL: Duration = Duration::from_millis(250);

/// State of the earlier planners.
#[derive(Clone, Debug, Default)]
pub struct Predecessors {
    /// Those that may still renew leases: they plan, or do not answer.
    pub renewing: Vec<Owner>,
    /// Whether there may be others, because no planner has registered yet or the list of them can't
    /// be read.
    pub is_incomplete: bool,
}

impl Predecessors {
    /// How long one of them may still renew leases.
    pub fn orphan_ms(&self) -> u64 {
        if self.is_incomplete || !self.renewing.is_empty() { ORPHAN_MS } else { 0 }
    }
}

/// Reads which daemons planned before, and queries whether they still do. Also returns the version of the
/// list.
pub async fn find(daemon: &DaemonState) -> Result<(Predecessors, u64), Error> {
    let reply = daemon.store.read_all(keys::PLANNERS).await?;
    let entry = reply.entries.iter().find(|entry| entry.key == keys::PLANNERS);
    let version = entry.map_or(0, |entry| entry.version);
    Ok((query(daemon, entry).await, version))
}

async fn query(daemon: &DaemonState, entry: Option<&Entry>) -> Predecessors {
    let Some(entry) = entry else {
        return Predecessors { renewing: Vec::new(), is_incomplete: true };
    };
    let planners: Vec<Owner> = match serde_json::from_str(&entry.value) {
        Ok(planners) => planners,
        Err(error) => {
            log::error!(event = "planners_unreadable"; "{error}");
            return Predecessors { renewing: Vec::new(), is_incomplete: true };
        }
    };
    let mut renewing = Vec::new();
    for (place, planner) in planners.into_iter().enumerate() {
        if place >= MAX_QUERIED || !has_stopped(daemon, &planner).await {
            renewing.push(planner);
        }
    }
    Predecessors { renewing, is_incomplete: false }
}

/// Waits until none of these daemons calls workers any more, or for at most [`ORPHAN_MS`].
///
/// Guards against a successor that waits for all leases that a predecessor may still renew although its
/// process has been restarted since.
pub async fn wait_until_stopped(daemon: &DaemonState, mut renewing: Vec<Owner>) {
    let give_up = Instant::now() + Duration::from_millis(ORPHAN_MS);
    while !renewing.is_empty() && Instant::now() < give_up {
        tokio::time::sleep(QUERY_INTERVAL).await;
        let mut remaining = Vec::new();
        for (place, planner) in renewing.into_iter().enumerate() {
            if place >= MAX_QUERIED || !has_stopped(daemon, &planner).await {
                remaining.push(planner);
            }
        }
        renewing = remaining;
    }
}

/// Whether a daemon is certain to make no more calls to workers.
async fn has_stopped(daemon: &DaemonState, planner: &Owner) -> bool {
    if planner.address == daemon.settings.peer_addr.to_string() {
        // An earlier incarnation of this daemon, which now holds the address.
        return true;
    }
    let Ok(addr) = planner.address.parse() else { return false };
    match daemon
        .peer_connection
        .ask_reporting_outcome(addr, FleetQuestion::HowIsTheStore(0), OfferedTotals::default())
        .await
    {
        PeerReply::Answered(answer) => answer.has_no_planner,
        // A partition may refuse connections while the daemon behind it renews leases.
        PeerReply::Refused | PeerReply::Silent => false,
    }
}
