//! Watches the operators' configuration in the store.

use std::sync::Arc;
use std::time::Duration;

use agatesill_coord::store::{CallTiming, WatchCursor};
use agatesill_platform::config;
use agatesill_wire::platform::{Entry, StoreCall};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::active_config::{ActiveConfig, ConfigSource};
use super::daemon_state::DaemonState;

/// Wait time of one watch call. A watch that the store has silently dropped delays a configuration
/// by this much, which must stay below the two seconds allowed for a configuration to become
/// active.
const WATCH_MS: u64 = 1_200;

/// Delay after a failed call.
const RETRY_BACKOFF: Duration = Duration::from_millis(200);

/// Watches the configuration until `stop` is cancelled. After a failed call the newest one is read.
///
/// Guards against a configuration that never arrives: the answer to a watch holds all versions since
/// the last one, and may be too long to be accepted or to arrive in time at each attempt.
pub async fn watch_config(daemon: Arc<DaemonState>, stop: CancellationToken) {
    let mut cursor: Option<WatchCursor> = None;
    while !stop.is_cancelled() {
        let after_revision = cursor.as_ref().map(WatchCursor::after_revision);
        let call = match after_revision {
            None => StoreCall::Range { prefix: config::KEY.to_owned() },
            Some(after_revision) => StoreCall::Watch {
                prefix: config::KEY.to_owned(),
                after_revision,
                wait_ms: WATCH_MS,
            },
        };
        let source =
            if after_revision.is_some() { ConfigSource::Watch } else { ConfigSource::Read };
        let mut timing = CallTiming::default();
        let reply = tokio::select! {
            () = stop.cancelled() => return,
            reply = daemon.store.call_with_timing(call, &mut timing) => reply,
        };
        match reply {
            Ok(reply) if reply.is_compacted => {
                log::info!(event = "config_history_gone", after_revision = after_revision; "");
                cursor = None;
            }
            Ok(reply) => {
                reply.entries.iter().for_each(|entry| apply(&daemon, entry, source, timing));
                daemon.config_state.heard(daemon.clock.now_us());
                match cursor.as_mut() {
                    Some(cursor) => cursor.advance(&reply, Instant::now()),
                    None => cursor = Some(WatchCursor::after_read(reply.revision)),
                }
            }
            Err(error) => {
                daemon.config_state.call_failed();
                log::info!(event = "config_unread", source = source.name(),
                    after_revision = after_revision, queued_ms = timing.queued.as_millis() as u64,
                    call_ms = timing.sent.as_millis() as u64,
                    heard_ms_ago = daemon.config_state.heard_ms_ago(daemon.clock.now_us());
                    "{error}");
                cursor = None;
                tokio::time::sleep(RETRY_BACKOFF).await;
            }
        }
    }
}

fn apply(daemon: &DaemonState, entry: &Entry, source: ConfigSource, timing: CallTiming) {
    if entry.key != config::KEY {
        return;
    }
    match config::decode(&entry.value) {
        Ok(decoded) => {
            let (version, queues, terms) = (decoded.version, decoded.queues.len(), decoded.terms());
            let site = Arc::new(decoded);
            let candidate = ActiveConfig { site, revision: entry.version, source };
            if !daemon.config_state.activate(candidate) {
                return;
            }
            log::info!(event = "config_in_force", version = version, queues = queues,
                revision = entry.version, source = source.name(),
                store_revision = daemon.store.newest_revision(),
                queued_ms = timing.queued.as_millis() as u64,
                call_ms = timing.sent.as_millis() as u64,
                heard_ms_ago = daemon.config_state.heard_ms_ago(daemon.clock.now_us()); "");
            if let Some(planner) = daemon.planner() {
                planner.set_queues(terms);
            }
        }
        Err(error) => log::warn!(event = "config_malformed", revision = entry.version; "{error}"),
    }
}
