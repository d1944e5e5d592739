//! Restores the ledger from the store after this daemon has become the owner of the planner's
//! range.

use std::collections::HashMap;
use std::time::Duration;

use agatesill_coord::lease::Owner;
use agatesill_platform::{registry, zones};
use agatesill_policy::fleet::{
    ClosedZone, Fleet, LeaseRecord, ProgressRecord, SeenLeaseRecord, US_PER_MS, WorkerEntry,
};
use agatesill_wire::platform::{Entry, StoreReply};
use tokio_util::sync::CancellationToken;

use super::clock::wall_ms;
use super::daemon_state::DaemonState;
use super::keys::{self, InboxKey};
use super::lease_records::{self, LeaseWrite};
use super::predecessors::{self, Predecessors};
use super::store_watchers;
use crate::job_keys::refusal_record::RefusalRecord;

/// Delay between attempts.
const RETRY_BACKOFF: Duration = Duration::from_millis(100);

/// State that a planner starts with.
pub struct Start {
    /// The ledger.
    pub fleet: Fleet,
    /// Registered workers.
    pub workers: Vec<WorkerEntry>,
    /// Revision at which the registry was read.
    pub registry_revision: u64,
    /// When the read of the registry was sent.
    pub registry_read_us: u64,
    /// Revision at which jobs and cancels were read.
    pub inbox_revision: u64,
    /// Revision at which closed zones were read.
    pub zones_revision: u64,
    /// Version of the record of leases that this planner has announced.
    pub leases_version: u64,
    /// Planners before this one.
    pub predecessors: Predecessors,
}

/// Restores the ledger for the planner of `epoch`; `None` if ownership is lost in the meantime.
///
/// Progress is read after the inbox. With the opposite order a job could be in the progress read
/// but not in the inbox read, and the planner would not know it. A job that is only in the inbox
/// has simply not started.
pub async fn recover(daemon: &DaemonState, epoch: u64, lost: &CancellationToken) -> Option<Start> {
    let jobs = async {
        let inbox = read_with_retries(daemon, keys::INBOX).await;
        let progress = read_with_retries(daemon, keys::PROGRESS).await;
        (inbox, progress)
    };
    let registry_read_us = daemon.clock.now_us();
    let read = async {
        tokio::join!(
            jobs,
            read_with_retries(daemon, registry::PREFIX),
            read_with_retries(daemon, keys::LEARNED),
            read_with_retries(daemon, keys::WORKERS),
            read_with_retries(daemon, zones::PREFIX),
            register_as_planner(daemon, epoch)
        )
    };
    let ((inbox, progress), workers, learned, addresses, zones, announcement) = tokio::select! {
        () = lost.cancelled() => return None,
        read = read => read,
    };
    let mut fleet = Fleet::new(daemon.settings.bounds.clone());
    fleet.set_load_control(daemon.settings.load_control);
    fleet.set_wall_clock(daemon.clock.now_us(), wall_ms());
    if let Some(config) = daemon.config() {
        fleet.set_queues(config.terms());
    }
    if let Some(entry) = learned.entries.first() {
        match serde_json::from_str(&entry.value) {
            Ok(learned) => fleet.restore_learned(&learned),
            Err(error) => log::warn!(event = "learned_unreadable"; "{error}"),
        }
    }
    if let Some(entry) = addresses.entries.iter().find(|entry| entry.key == keys::WORKERS) {
        match serde_json::from_str(&entry.value) {
            Ok(addresses) => fleet.restore_worker_addresses(addresses),
            Err(error) => log::warn!(event = "addresses_unreadable"; "{error}"),
        }
    }
    let closed: Vec<ClosedZone> = zones.entries.iter().filter_map(zones::decode).collect();
    fleet.set_closed_zones(&closed, zones.revision, daemon.clock.now_us());
    let Some(Announcement { predecessors, leases, version: leases_version }) = announcement else {
        lost.cancel();
        return None;
    };
    fleet.take_over_leases(leases);
    let orphan_ms = predecessors.orphan_ms();
    restore(&mut fleet, &inbox.entries, &progress.entries, orphan_ms, daemon.clock.now_us());
    log::info!(event = "ledger_read", jobs = inbox.entries.len(),
        records = progress.entries.len(), workers = workers.entries.len(),
        set_aside = fleet.jobs_set_aside(), closed_zones = closed.len(), orphan_ms = orphan_ms,
        revision = inbox.revision; "");
    Some(Start {
        fleet,
        workers: workers.entries.iter().filter_map(store_watchers::worker).collect(),
        registry_revision: workers.revision,
        registry_read_us,
        inbox_revision: inbox.revision,
        zones_revision: zones.revision,
        leases_version,
        predecessors,
    })
}

/// What a planner has announced before it renews any lease.
struct Announcement {
    predecessors: Predecessors,
    /// The record of leases, as restated by this planner.
    leases: SeenLeaseRecord,
    /// Version of the restated record.
    version: u64,
}

/// Finds out which earlier planners may still renew leases, and stores that this daemon plans now;
/// `None` if another daemon owns the range. This daemon renews no lease before that is stored,
/// because the next successor must know which daemons to query.
async fn register_as_planner(daemon: &DaemonState, epoch: u64) -> Option<Announcement> {
    let (predecessors, planners_version) = loop {
        match predecessors::find(daemon).await {
            Ok(found) => break found,
            Err(error) => {
                log::warn!(event = "ledger_unread", prefix = keys::PLANNERS; "{error}");
                tokio::time::sleep(RETRY_BACKOFF).await;
            }
        }
    };
    let queried_us = daemon.clock.now_us();
    let lease_us = Fleet::new(daemon.settings.bounds.clone()).lease_us();
    let planners: Vec<Owner> =
        daemon.owner().into_iter().chain(predecessors.renewing.iter().cloned()).collect();
    loop {
        let reply = read_with_retries(daemon, keys::LEASES).await;
        let entry = reply.entries.iter().find(|entry| entry.key == keys::LEASES);
        let version = entry.map_or(0, |entry| entry.version);
        // Each planner that keeps a record writes both keys together.
        let seen = entry
            .filter(|_| version >= planners_version)
            .map(|entry| lease_records::decode(entry, daemon.saw_leases(version)))
            .unwrap_or_default();
        let has_stopped = predecessors.orphan_ms() == 0;
        log::info!(event = "leases_taken_over", epoch = epoch, from_epoch = seen.record.epoch,
            version = version, is_reliable = seen.is_reliable(), has_stopped = has_stopped,
            seen_ms_ago = queried_us.saturating_sub(seen.seen_us) / US_PER_MS,
            own_left_ms = seen.record.own_left_ms, earlier_left_ms = seen.record.earlier_left_ms,
            silent_workers = seen.record.silent.len(); "");
        let now_us = daemon.clock.now_us();
        let record = match seen.is_reliable() {
            true => seen.restated(epoch, has_stopped, lease_us, now_us),
            false => LeaseRecord {
                epoch,
                earlier_left_ms: lease_us.div_ceil(US_PER_MS) + predecessors.orphan_ms(),
                ..LeaseRecord::default()
            },
        };
        match lease_records::store(daemon, epoch, version, record, &planners).await {
            LeaseWrite::Stored(stored) => {
                let leases = SeenLeaseRecord { record: stored.record, seen_us: now_us };
                return Some(Announcement { predecessors, leases, version: stored.version });
            }
            LeaseWrite::Superseded => return None,
            LeaseWrite::Failed => {
                log::warn!(event = "planner_unannounced", epoch = epoch; "");
                tokio::time::sleep(RETRY_BACKOFF).await;
            }
        }
    }
}

/// Restores the stored jobs with their progress. A job that can't be read is set aside; one whose
/// progress can't be read starts anew.
fn restore(fleet: &mut Fleet, inbox: &[Entry], progress: &[Entry], orphan_ms: u64, now_us: u64) {
    let mut records: HashMap<&str, (ProgressRecord, u64)> =
        progress.iter().filter_map(decode_record).collect();
    let mut cancels = Vec::new();
    for entry in inbox {
        match keys::inbox(&entry.key) {
            Some(InboxKey::Job(id)) if entry.value == keys::ENDED_JOB => {
                if let Some((record, _)) = records.remove(id) {
                    fleet.restore_ended(id, record.phase, now_us);
                }
            }
            Some(InboxKey::Job(_)) if RefusalRecord::decode(&entry.value).is_some() => {}
            Some(InboxKey::Job(id)) => {
                let record = records.remove(id);
                match store_watchers::accepted_job(&entry.value) {
                    Ok(spec) => fleet.restore(spec, record, now_us),
                    Err(error) => {
                        let is_started = record.is_some();
                        log::error!(event = "job_set_aside", job = id, is_started = is_started;
                            "{error}");
                        fleet.set_aside(id, is_started);
                    }
                }
            }
            Some(InboxKey::Cancel(id)) => cancels.push(id),
            None => {}
        }
    }
    cancels.into_iter().for_each(|id| fleet.cancel(id, now_us));
    fleet.finish_restore(orphan_ms, now_us);
}

fn decode_record(entry: &Entry) -> Option<(&str, (ProgressRecord, u64))> {
    let id = entry.key.strip_prefix(keys::PROGRESS)?;
    let mut record: ProgressRecord = serde_json::from_str(&entry.value)
        .map_err(|error| log::error!(event = "record_unreadable", job = id; "{error}"))
        .ok()?;
    record.reduce_numbers();
    Some((id, (record, entry.version)))
}

async fn read_with_retries(daemon: &DaemonState, prefix: &str) -> StoreReply {
    loop {
        match daemon.store.read_all(prefix).await {
            Ok(reply) => return reply,
            Err(error) => {
                log::warn!(event = "ledger_unread", prefix = prefix; "{error}");
                tokio::time::sleep(RETRY_BACKOFF).await;
            }
        }
    }
}
