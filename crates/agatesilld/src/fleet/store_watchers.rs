//! Follows what others write to the store: workers in the registry, callers' jobs and cancels.

use std::sync::Arc;
use std::time::Duration;

use agatesill_platform::{registry, zones};
use agatesill_policy::fleet::{ClosedZone, JobSpec, WorkerEntry};
use agatesill_wire::platform::{Entry, StoreCall, StoreReply};
use agatesill_wire::prelude::*;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use super::daemon_state::Site;
use super::keys::{self, InboxKey};
use super::planner::Event;

/// How long one watch waits. A watch that the store has silently forgotten hides news this long.
const WATCH_MS: u64 = 2_000;

/// The same for the registry: its news must be younger than a worker that leaves may still get starts.
const REGISTRY_WATCH_MS: u64 = 800;

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(150);

/// Pause of the inbox's follower after news. The accepting daemon tells the planner of a job by itself;
/// the watch only makes good what that lost, and a call for each job would be paid for nothing.
const INBOX_PAUSE: Duration = Duration::from_millis(200);

/// The same for the registry. Each worker renews its entry twice a second; a call after each change
/// would be a hundred calls a second, and news of a worker can wait a little.
const REGISTRY_PAUSE: Duration = Duration::from_millis(150);

/// Follows the registry of workers from `revision` on.
pub async fn registry(
    site: Arc<Site>,
    events: mpsc::Sender<Event>,
    revision: u64,
    stop: CancellationToken,
) {
    let pace = Pace { wait_ms: REGISTRY_WATCH_MS, pause: REGISTRY_PAUSE };
    let work = follow(&site, registry::PREFIX, revision, pace, |reply, is_whole, as_of_us| {
        let listed: Vec<WorkerEntry> = reply.entries.iter().filter_map(worker).collect();
        let known = as_of_us.map(Event::RegistryAsOf);
        if is_whole {
            return [Event::Registry(listed)].into_iter().chain(known).collect();
        }
        let gone = reply.deleted.iter().filter_map(|key| registry::worker_id(key));
        listed
            .into_iter()
            .map(|entry| Event::Listed(Box::new(entry)))
            .chain(gone.map(|id| Event::Unlisted(id.to_owned())))
            .chain(known)
            .collect()
    });
    deliver(work, &events, &stop).await;
}

/// Follows the zones that operators close and open, from `revision` on.
pub async fn closed_zones(
    site: Arc<Site>,
    events: mpsc::Sender<Event>,
    revision: u64,
    stop: CancellationToken,
) {
    let work = follow(&site, zones::PREFIX, revision, WITHOUT_PAUSE, |reply, is_whole, _| {
        let closed: Vec<ClosedZone> = reply.entries.iter().filter_map(zones::decode).collect();
        if is_whole {
            return vec![Event::ClosedZones(closed, reply.revision)];
        }
        let opened = reply.deleted.iter().filter_map(|key| zones::zone(key));
        closed
            .into_iter()
            .map(Event::ZoneClosed)
            .chain(opened.map(|zone| Event::ZoneOpened(zone.to_owned(), reply.revision)))
            .collect()
    });
    deliver(work, &events, &stop).await;
}

/// Follows jobs and cancels from `revision` on.
pub async fn inbox(
    site: Arc<Site>,
    events: mpsc::Sender<Event>,
    revision: u64,
    stop: CancellationToken,
) {
    let pace = Pace { pause: INBOX_PAUSE, ..WITHOUT_PAUSE };
    let work = follow(&site, keys::INBOX, revision, pace, |reply, _, _| {
        reply.entries.iter().filter_map(inbox_event).collect()
    });
    deliver(work, &events, &stop).await;
}

/// Decodes a worker's entry; another writer's is skipped and logged.
pub fn worker(entry: &Entry) -> Option<WorkerEntry> {
    let decoded = registry::decode(&entry.key, &entry.value, entry.version);
    if decoded.is_none() {
        log::debug!(event = "entry_skipped", key = entry.key.as_str(),
            revision = entry.version; "it names no worker to use");
    }
    decoded
}

/// Decodes an accepted job.
pub fn job(entry: &Entry) -> Option<JobSpec> {
    serde_json::from_str(&entry.value)
        .map_err(|error| {
            log::error!(event = "job_unreadable", key = entry.key.as_str(); "{error}");
        })
        .ok()
}

fn inbox_event(entry: &Entry) -> Option<Event> {
    match keys::inbox(&entry.key)? {
        InboxKey::Job(_) if entry.value == keys::ENDED_JOB => None,
        InboxKey::Job(_) => job(entry).map(|spec| Event::Accepted(Box::new(spec))),
        InboxKey::Cancel(id) => Some(Event::Cancelled(id.to_owned())),
    }
}

type Batches = mpsc::Receiver<Vec<Event>>;

/// How often a prefix is asked about.
#[derive(Clone, Copy)]
struct Pace {
    /// How long one watch waits for news.
    wait_ms: u64,
    /// Pause after news.
    pause: Duration,
}

const WITHOUT_PAUSE: Pace = Pace { wait_ms: WATCH_MS, pause: Duration::ZERO };

/// Answers in a row that did not tell all changes, after which everything is read anew: that is less
/// than all changes of many seconds, where each worker renews its entry all the time.
const MOST_PARTIAL: u32 = 4;

/// Reads changes under `prefix`; after a gap in the history everything is read anew. `decode` gets the
/// answer, whether it is a whole reading, and up to when all changes are told with it, if they are.
///
/// Guards against news that has piled up, as during a takeover, until it is more than one answer may
/// hold: each further try would bring more, and none would be read before the history is dropped.
fn follow(
    site: &Arc<Site>,
    prefix: &'static str,
    revision: u64,
    pace: Pace,
    decode: impl Fn(&StoreReply, bool, Option<u64>) -> Vec<Event> + Send + 'static,
) -> (Batches, impl Future<Output = ()> + Send + 'static) {
    let (sender, receiver) = mpsc::channel(1);
    let site = site.clone();
    let work = async move {
        let mut after = Some(revision);
        let mut partial = 0;
        loop {
            let (sent_us, newest) = (site.clock.now_us(), site.store.newest_revision());
            let reply = match after {
                Some(after_revision) => {
                    let prefix = prefix.to_owned();
                    let watch = StoreCall::Watch { prefix, after_revision, wait_ms: pace.wait_ms };
                    site.store.call(watch).await
                }
                None => site.store.read_all(prefix).await,
            };
            match reply {
                Ok(reply) if reply.is_compacted => {
                    log::info!(event = "history_gone", prefix = prefix; "read anew");
                    after = None;
                }
                Ok(reply) => {
                    let is_whole = after.is_none();
                    let has_news = !reply.entries.is_empty() || !reply.deleted.is_empty();
                    let is_all = is_whole || reply.revision >= newest;
                    let told_us = if has_news { sent_us } else { site.clock.now_us() };
                    let as_of_us = is_all.then_some(told_us);
                    partial = if is_all { 0 } else { partial + 1 };
                    after = (partial < MOST_PARTIAL).then_some(reply.revision);
                    if sender.send(decode(&reply, is_whole, as_of_us)).await.is_err() {
                        return;
                    }
                    // Without a pause while more changes are to be told.
                    if has_news && as_of_us.is_some() && !pace.pause.is_zero() {
                        tokio::time::sleep(pace.pause).await;
                    }
                }
                Err(error) if error.kind == ErrorKind::TooLarge => {
                    log::warn!(event = "news_too_large", prefix = prefix; "read anew: {error}");
                    after = None;
                }
                Err(error) => {
                    log::info!(event = "watch_failed", prefix = prefix,
                        after_revision = after.unwrap_or_default(); "{error}");
                    tokio::time::sleep(PAUSE).await;
                }
            }
        }
    };
    (receiver, work)
}

async fn deliver(
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
