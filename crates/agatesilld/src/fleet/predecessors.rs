//! The daemons that planned before and may still renew leases at workers.
//!
//! An owner that is cut off from the store renews for a while without being able to know that it was followed.
//! A successor must wait for that before it takes a task on a worker that it can't reach for ended, unless
//! it knows that none of these daemons plans any more.

use agatesill_coord::lease::{Owner, owner_key};
use agatesill_policy::fleet::ORPHAN_MS;
use agatesill_wire::fleet::FleetQuestion;
use agatesill_wire::platform::{KeyVersion, Put};
use agatesill_wire::prelude::*;

use super::daemon_state::Site;
use super::keys::{self, PLANNER};
use super::peer_connection::Asked;

/// Most daemons that are asked; with more that are unaccounted for, planners follow one another so fast
/// that waiting costs nothing more.
const MOST_ASKED: usize = 4;

/// What is known of the planners before.
#[derive(Clone, Debug, Default)]
pub struct Predecessors {
    /// Those that may still renew leases: they plan, or do not answer.
    pub renewing: Vec<Owner>,
    /// Whether there may be others, as no planner has announced itself yet.
    pub is_incomplete: bool,
}

impl Predecessors {
    /// How long one of them may still renew leases.
    pub fn orphan_ms(&self) -> u64 {
        if self.is_incomplete || !self.renewing.is_empty() { ORPHAN_MS } else { 0 }
    }
}

/// Reads which daemons planned before, and asks them whether they still do.
pub async fn find(site: &Site) -> Result<Predecessors, Error> {
    let reply = site.store.read_all(keys::PLANNERS).await?;
    let Some(entry) = reply.entries.iter().find(|entry| entry.key == keys::PLANNERS) else {
        return Ok(Predecessors { renewing: Vec::new(), is_incomplete: true });
    };
    let planners: Vec<Owner> = serde_json::from_str(&entry.value)
        .map_err(|error| Error::new(ErrorKind::Protocol, error.to_string()))?;
    let mut renewing = Vec::new();
    for (place, planner) in planners.into_iter().enumerate() {
        if place >= MOST_ASKED || !has_stopped(site, &planner).await {
            renewing.push(planner);
        }
    }
    Ok(Predecessors { renewing, is_incomplete: false })
}

/// Whether a daemon surely calls no worker any more.
async fn has_stopped(site: &Site, planner: &Owner) -> bool {
    if planner.address == site.settings.peer_addr.to_string() {
        // An earlier incarnation: this one holds its address.
        return true;
    }
    let Ok(addr) = planner.address.parse() else { return false };
    match site.link.ask_telling(addr, FleetQuestion::HowIsTheStore(0)).await {
        Asked::Answered(answer) => answer.has_no_planner,
        Asked::Refused => true,
        Asked::Silent => false,
    }
}

/// Stores that this daemon plans under `epoch`, and which others may still renew leases. False if another
/// daemon owns the range.
pub async fn announce(site: &Site, epoch: u64, renewing: &[Owner]) -> Result<bool, Error> {
    let planners: Vec<Owner> = site.owner().into_iter().chain(renewing.iter().cloned()).collect();
    let value = serde_json::to_string(&planners)
        .map_err(|error| Error::new(ErrorKind::Protocol, error.to_string()))?;
    let expected = vec![KeyVersion { key: owner_key(PLANNER), version: epoch }];
    let put = Put { key: keys::PLANNERS.to_owned(), value, lease_id: 0 };
    Ok(site.store.txn(expected, vec![put], Vec::new()).await?.applied)
}
