//! Watches the keys that other processes write to the store: the registry of workers, closed zones,
//! jobs and cancels.

use std::sync::Arc;
use std::time::Duration;

use agatesill_coord::store::WatchCursor;
use agatesill_platform::{registry, zones};
use agatesill_policy::fleet::{ClosedZone, JobSpec, WorkerEntry};
use agatesill_wire::platform::{Entry, StoreCall, StoreReply};
use agatesill_wire::prelude::*;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::daemon_state::DaemonState;
use super::keys::{self, InboxKey};
use super::planner::Event;
use crate::job_keys::refusal_record::RefusalRecord;

/// Wait time of one watch call. A watch that the store has silently dropped hides updates for this
/// long.
const WATCH_MS: u64 = 2_000;

/// Wait time of one watch call on the registry. It must be shorter than the time for which a
/// leaving worker may still get starts.
const REGISTRY_WATCH_MS: u64 = 800;

/// Delay after a failed call.
const RETRY_BACKOFF: Duration = Duration::from_millis(150);

/// Delay after an update of the inbox. The daemon that accepts a job notifies the planner directly;
/// the watch only covers lost notifications, so a store call for each job would be wasted.
const INBOX_DELAY: Duration = Duration::from_millis(200);

/// Delay after an update of the registry. Each worker renews its entry twice a second. A call after
/// each change would be a hundred calls a second, and an update of a worker is not that urgent.
const REGISTRY_DELAY: Duration = Duration::from_millis(150);

/// Watches the registry of workers from `revision` on.
pub async fn registry(
    daemon: Arc<DaemonState>,
    events: mpsc::Sender<Event>,
    revision: u64,
    stop: CancellationToken,
) {
    let timing = WatchTiming { wait_ms: REGISTRY_WATCH_MS, delay: REGISTRY_DELAY };
    let work = watch_prefix(
        &daemon,
        registry::PREFIX,
        revision,
        timing,
        |reply, is_full_read, as_of_us| {
            let listed: Vec<WorkerEntry> = reply.entries.iter().filter_map(worker).collect();
            let as_of = as_of_us.map(Event::RegistryAsOf);
            if is_full_read {
                return [Event::RegistryRead(listed)].into_iter().chain(as_of).collect();
            }
            // An entry that another writer has overwritten names no worker to use.
            let unusable = reply.entries.iter().filter(|entry| worker(entry).is_none());
            let deleted = reply.deleted.iter().map(String::as_str);
            let unlisted = unusable
                .map(|entry| entry.key.as_str())
                .chain(deleted)
                .filter_map(registry::worker_id);
            listed
                .into_iter()
                .map(|entry| Event::WorkerListed(Box::new(entry)))
                .chain(unlisted.map(|id| Event::WorkerUnlisted(id.to_owned())))
                .chain(as_of)
                .collect()
        },
    );
    forward_events(work, &events, &stop).await;
}

/// Watches the zones that operators close and open, from `revision` on.
pub async fn closed_zones(
    daemon: Arc<DaemonState>,
    events: mpsc::Sender<Event>,
    revision: u64,
    stop: CancellationToken,
) {
    let work =
        watch_prefix(&daemon, zones::PREFIX, revision, NO_DELAY, |reply, is_full_read, _| {
            let closed: Vec<ClosedZone> = reply.entries.iter().filter_map(zones::decode).collect();
            if is_full_read {
                return vec![Event::ClosedZonesRead(closed, reply.revision)];
            }
            let opened = reply.deleted.iter().filter_map(|key| zones::zone(key));
            closed
                .into_iter()
                .map(Event::ZoneClosed)
                .chain(opened.map(|zone| Event::ZoneOpened(zone.to_owned(), reply.revision)))
                .collect()
        });
    forward_events(work, &events, &stop).await;
}

/// Watches jobs and cancels from `revision` on.
pub async fn inbox(
    daemon: Arc<DaemonState>,
    events: mpsc::Sender<Event>,
    revision: u64,
    stop: CancellationToken,
) {
    let timing = WatchTiming { delay: INBOX_DELAY, ..NO_DELAY };
    let work = watch_prefix(&daemon, keys::INBOX, revision, timing, |reply, _, _| {
        reply.entries.iter().filter_map(inbox_event).collect()
    });
    forward_events(work, &events, &stop).await;
}

/// Decodes a worker's entry. Entries of other writers are logged and skipped.
pub fn worker(entry: &Entry) -> Option<WorkerEntry> {
    let decoded = registry::decode(&entry.key, &entry.value, entry.version);
    if decoded.is_none() {
        log::debug!(event = "entry_skipped", key = entry.key.as_str(),
            revision = entry.version; "the entry does not describe a usable worker");
    }
    decoded
}

/// Decodes an accepted job.
///
/// Guards against a stored job that a daemon with other limits accepted: the planner could not
/// handle it, and no other job would run.
pub fn job(entry: &Entry) -> Option<JobSpec> {
    accepted_job(&entry.value)
        .map_err(|error| {
            log::error!(event = "job_unreadable", key = entry.key.as_str(); "{error}");
        })
        .ok()
}

/// Decodes a job that was accepted, possibly by a daemon with other limits. Its numbers are reduced to
/// the limits of this one.
pub fn accepted_job(json: &str) -> Result<JobSpec, String> {
    let mut spec: JobSpec = serde_json::from_str(json).map_err(|error| error.to_string())?;
    if spec.reduce_numbers() {
        log::warn!(event = "job_reduced", job = spec.id.as_str();
            "numbers out of range were reduced to their limits");
    }
    match spec.fault() {
        Some(fault) => Err(fault.to_owned()),
        None => Ok(spec),
    }
}

fn inbox_event(entry: &Entry) -> Option<Event> {
    match keys::inbox(&entry.key)? {
        InboxKey::Job(_) if entry.value == keys::ENDED_JOB => None,
        InboxKey::Job(_) if RefusalRecord::decode(&entry.value).is_some() => None,
        InboxKey::Job(_) => job(entry).map(|spec| Event::Accepted(Box::new(spec))),
        InboxKey::Cancel(id) => Some(Event::Cancelled(id.to_owned())),
    }
}

type Batches = mpsc::Receiver<Vec<Event>>;

/// Timing of the watch on one prefix.
#[derive(Clone, Copy)]
struct WatchTiming {
    /// Wait time of one watch call for updates.
    wait_ms: u64,
    /// Delay after an update.
    delay: Duration,
}

const NO_DELAY: WatchTiming = WatchTiming { wait_ms: WATCH_MS, delay: Duration::ZERO };

/// Consecutive replies that did not contain all changes, after which the whole prefix is read
/// again. Reading the prefix is less data than all changes of many seconds, as each worker renews
/// its entry all the time.
const MAX_PARTIAL_REPLIES: u32 = 4;

/// Consecutive failures of a watch at a store that answers other calls, after which the whole prefix is
/// read again.
const MAX_FAILED_WATCHES: u32 = 2;

/// Watches `prefix` for changes. After a gap in the history the whole prefix is read again.
/// `decode` gets the reply, whether it is a full read, and the time up to which it contains all
/// changes, if it does.
///
/// Guards against a backlog of changes, as after a takeover, that exceeds the size limit of one
/// reply, or that does not arrive within its timeout: each retry would have to return more, and none
/// would succeed before the store drops the history.
fn watch_prefix(
    daemon: &Arc<DaemonState>,
    prefix: &'static str,
    revision: u64,
    timing: WatchTiming,
    decode: impl Fn(&StoreReply, bool, Option<u64>) -> Vec<Event> + Send + 'static,
) -> (Batches, impl Future<Output = ()> + Send + 'static) {
    let (sender, receiver) = mpsc::channel(1);
    let daemon = daemon.clone();
    let work = async move {
        let mut cursor = Some(WatchCursor::after_read(revision));
        let mut partial_replies = 0;
        let mut failed_watches = 0;
        loop {
            let (sent_us, newest) = (daemon.clock.now_us(), daemon.store.newest_revision());
            let reply = match &cursor {
                Some(cursor) => {
                    let after_revision = cursor.after_revision();
                    let prefix = prefix.to_owned();
                    let watch =
                        StoreCall::Watch { prefix, after_revision, wait_ms: timing.wait_ms };
                    daemon.store.call(watch).await
                }
                None => daemon.store.read_all(prefix).await,
            };
            match reply {
                Ok(reply) if reply.is_compacted => {
                    failed_watches = 0;
                    log::info!(event = "history_gone", prefix = prefix; "reading the prefix again");
                    cursor = None;
                }
                Ok(reply) => {
                    failed_watches = 0;
                    let is_full_read = cursor.is_none();
                    let has_updates = !reply.entries.is_empty() || !reply.deleted.is_empty();
                    let is_complete = is_full_read || reply.revision >= newest;
                    let observed_us = if has_updates { sent_us } else { daemon.clock.now_us() };
                    let as_of_us = is_complete.then_some(observed_us);
                    partial_replies = if is_complete { 0 } else { partial_replies + 1 };
                    cursor = match cursor.take() {
                        _ if partial_replies >= MAX_PARTIAL_REPLIES => None,
                        None => Some(WatchCursor::after_read(reply.revision)),
                        Some(mut cursor) => {
                            cursor.advance(&reply, Instant::now());
                            Some(cursor)
                        }
                    };
                    if sender.send(decode(&reply, is_full_read, as_of_us)).await.is_err() {
                        return;
                    }
                    // No delay while more changes are outstanding.
                    if has_updates && as_of_us.is_some() && !timing.delay.is_zero() {
                        tokio::time::sleep(timing.delay).await;
                    }
                }
                Err(error) if error.kind == ErrorKind::TooLarge && cursor.is_some() => {
                    log::warn!(event = "news_too_large", prefix = prefix;
                        "reading the prefix again: {error}");
                    cursor = None;
                }
                Err(error) => {
                    log::info!(event = "watch_failed", prefix = prefix,
                        after_revision = cursor.as_ref().map_or(0, WatchCursor::after_revision);
                        "{error}");
                    failed_watches += 1;
                    if failed_watches >= MAX_FAILED_WATCHES && !daemon.store.is_unavailable() {
                        failed_watches = 0;
                        cursor = None;
                    }
                    tokio::time::sleep(RETRY_BACKOFF).await;
                }
            }
        }
    };
    (receiver, work)
}

async fn forward_events(
    (mut batches, work): (Batches, impl Future<Output = ()>),
    events: &mpsc::Sender<Event>,
    stop: &CancellationToken,
) {
    tokio::pin!(work);
    loop {
        let batch = tokio::select! {
            () = stop.cancelled() => return,
            () = work.as_mut() => return,
            batch = batches.recv() => batch,
        };
        for event in batch.unwrap_or_default() {
            if events.send(event).await.is_err() {
                return;
            }
        }
    }
}
