//! Reading everything back after the planner's range has passed to this daemon.

use std::collections::HashMap;
use std::time::Duration;

use agatesill_platform::{registry, zones};
use agatesill_policy::fleet::{ClosedZone, Fleet, ProgressRecord, WorkerEntry};
use agatesill_wire::platform::{Entry, StoreReply};
use tokio_util::sync::CancellationToken;

use super::clock::wall_ms;
use super::daemon_state::Site;
use super::keys::{self, InboxKey};
use super::predecessors::{self, Predecessors};
use super::store_watchers;

/// Pause between two tries.
const PAUSE: Duration = Duration::from_millis(100);

/// What a planner starts with.
pub struct Start {
    /// The ledger.
    pub fleet: Fleet,
    /// Registered workers.
    pub workers: Vec<WorkerEntry>,
    /// Revision of the reading of the registry.
    pub registry_revision: u64,
    /// When the reading of the registry was asked for.
    pub registry_read_us: u64,
    /// Revision of the reading of jobs and cancels.
    pub inbox_revision: u64,
    /// Revision of the reading of closed zones.
    pub zones_revision: u64,
    /// Planners before this one.
    pub predecessors: Predecessors,
}

/// Reads the ledger back for the planner of `epoch`; `None` if ownership is lost meanwhile.
///
/// Progress is read after the inbox: a job that is in the second but not the first would be known
/// to nobody, while one that is only in the first has simply not begun.
pub async fn recover(site: &Site, epoch: u64, lost: &CancellationToken) -> Option<Start> {
    let jobs = async {
        let inbox = read(site, keys::INBOX).await;
        let progress = read(site, keys::PROGRESS).await;
        (inbox, progress)
    };
    let registry_read_us = site.clock.now_us();
    let read = async {
        tokio::join!(
            jobs,
            read(site, registry::PREFIX),
            read(site, keys::LEARNED),
            read(site, zones::PREFIX),
            follow_predecessors(site, epoch)
        )
    };
    let ((inbox, progress), workers, learned, zones, predecessors) = tokio::select! {
        () = lost.cancelled() => return None,
        read = read => read,
    };
    let mut fleet = Fleet::new(site.settings.bounds.clone());
    fleet.set_wall_clock(site.clock.now_us(), wall_ms());
    if let Some(config) = site.config() {
        fleet.set_queues(config.terms());
    }
    if let Some(entry) = learned.entries.first() {
        match serde_json::from_str(&entry.value) {
            Ok(learned) => fleet.restore_learned(&learned),
            Err(error) => log::warn!(event = "learned_unreadable"; "{error}"),
        }
    }
    let closed: Vec<ClosedZone> = zones.entries.iter().filter_map(zones::decode).collect();
    fleet.set_closed_zones(&closed, zones.revision, site.clock.now_us());
    let Some(predecessors) = predecessors else {
        lost.cancel();
        return None;
    };
    let orphan_ms = predecessors.orphan_ms();
    restore(&mut fleet, &inbox.entries, &progress.entries, orphan_ms, site.clock.now_us());
    log::info!(event = "ledger_read", jobs = inbox.entries.len(),
        records = progress.entries.len(), workers = workers.entries.len(),
        closed_zones = closed.len(), orphan_ms = orphan_ms,
        revision = inbox.revision; "");
    Some(Start {
        fleet,
        workers: workers.entries.iter().filter_map(store_watchers::worker).collect(),
        registry_revision: workers.revision,
        registry_read_us,
        inbox_revision: inbox.revision,
        zones_revision: zones.revision,
        predecessors,
    })
}

/// Finds out which daemons that planned before may still renew leases, and stores that this one plans now;
/// `None` if another daemon owns the range. Nothing is renewed here before it is stored: the next successor
/// must know whom to ask.
async fn follow_predecessors(site: &Site, epoch: u64) -> Option<Predecessors> {
    let predecessors = loop {
        match predecessors::find(site).await {
            Ok(predecessors) => break predecessors,
            Err(error) => {
                log::warn!(event = "ledger_unread", prefix = keys::PLANNERS; "{error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    };
    loop {
        match predecessors::announce(site, epoch, &predecessors.renewing).await {
            Ok(true) => return Some(predecessors),
            Ok(false) => return None,
            Err(error) => {
                log::warn!(event = "planner_unannounced", epoch = epoch; "{error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

fn restore(fleet: &mut Fleet, inbox: &[Entry], progress: &[Entry], orphan_ms: u64, now_us: u64) {
    let mut records: HashMap<&str, (ProgressRecord, u64)> = progress
        .iter()
        .filter_map(|entry| {
            let id = entry.key.strip_prefix(keys::PROGRESS)?;
            let record = serde_json::from_str(&entry.value)
                .map_err(|error| log::error!(event = "record_unreadable", job = id; "{error}"))
                .ok()?;
            Some((id, (record, entry.version)))
        })
        .collect();
    let mut cancels = Vec::new();
    for entry in inbox {
        match keys::inbox(&entry.key) {
            Some(InboxKey::Job(id)) if entry.value == keys::ENDED_JOB => {
                if let Some((record, _)) = records.remove(id) {
                    fleet.restore_ended(id, record.phase, now_us);
                }
            }
            Some(InboxKey::Job(id)) => {
                if let Some(spec) = store_watchers::job(entry) {
                    fleet.restore(spec, records.remove(id), now_us);
                }
            }
            Some(InboxKey::Cancel(id)) => cancels.push(id),
            None => {}
        }
    }
    cancels.into_iter().for_each(|id| fleet.cancel(id, now_us));
    fleet.finish_restore(orphan_ms, now_us);
}

async fn read(site: &Site, prefix: &str) -> StoreReply {
    loop {
        match site.store.read_all(prefix).await {
            Ok(reply) => return reply,
            Err(error) => {
                log::warn!(event = "ledger_unread", prefix = prefix; "{error}");
                tokio::time::sleep(PAUSE).await;
            }
        }
    }
}
