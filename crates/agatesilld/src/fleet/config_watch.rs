//! Follows the operators' configuration in the store.
//!
//! Guards against a watch that is trusted as long as its calls succeed: its cursor passes no change that
//! was not reported, its timeouts are bounded together, and [`super::config_peers`] is a second source.

use std::ops::RangeInclusive;
use std::sync::Arc;
use std::time::Duration;

use agatesill_coord::store::{CallTiming, WatchCursor};
use agatesill_platform::config;
use agatesill_wire::platform::{StoreCall, StoreReply};
use agatesill_wire::prelude::*;
use rand::Rng;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::active_config::{ActiveConfig, ConfigSource};
use super::config_peers::STORE_GRACE;
use super::daemon_state::DaemonState;

/// Time within which a configuration has to be active after it was written.
pub const MAX_ACTIVATION_DELAY: Duration = Duration::from_secs(2);

/// Wait time of one watch call.
const WATCH_MS: u64 = 800;

/// Timeout until an answer begins, in addition to the wait of a watch. A slow store takes 400 ms.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(600);

// A watch whose reply is lost and the read that replaces it stay within the bound.
const _: () = assert!(
    WATCH_MS + 2 * ANSWER_TIMEOUT.as_millis() as u64 <= MAX_ACTIVATION_DELAY.as_millis() as u64
);

/// Delay after consecutive failed calls, before jitter. The first failure is followed by a read at
/// once. A store that is unavailable gets little more calls than one that answers.
const RETRY_BACKOFF: Duration = Duration::from_millis(600);

/// Limits of the jitter of the delay.
const JITTER: RangeInclusive<f64> = 0.75..=1.25;

// So does the first read after the store answers again, which follows an unanswered one and a delay.
const _: () = assert!(
    2 * ANSWER_TIMEOUT.as_millis() as u64 + RETRY_BACKOFF.as_millis() as u64 * 5 / 4
        <= MAX_ACTIVATION_DELAY.as_millis() as u64
);

/// Follows the configuration until `stop` is cancelled. It is read at the start, after a failed
/// watch, after a gap in the history, and when another daemon has a newer one.
pub async fn watch_config(daemon: Arc<DaemonState>, stop: CancellationToken) {
    let mut cursor: Option<WatchCursor> = None;
    let mut failures = 0;
    loop {
        let source = if cursor.is_some() { ConfigSource::Watch } else { ConfigSource::Read };
        let mut timing = CallTiming::default();
        let call = call_store(&daemon, cursor.as_ref(), &mut timing);
        let reply = tokio::select! {
            () = stop.cancelled() => return,
            () = outdated_despite_watch(&daemon), if cursor.is_some() => {
                log::info!(event = "config_outdated",
                    known_revision = daemon.config_state.known_revision(),
                    heard_ms_ago = daemon.config_state.heard_ms_ago(daemon.clock.now_us());
                    "another daemon has a newer version");
                cursor = None;
                continue;
            }
            reply = call => reply,
        };
        match reply {
            Ok(reply) if reply.is_compacted => {
                let after_revision = cursor.take().map(|cursor| cursor.after_revision());
                log::info!(event = "config_history_gone", after_revision = after_revision; "");
            }
            Ok(reply) => {
                failures = 0;
                apply_reply(&daemon, &reply, source, timing);
                match cursor.as_mut() {
                    Some(cursor) => cursor.advance(&reply, Instant::now()),
                    None => cursor = Some(WatchCursor::after_read(reply.revision)),
                }
            }
            Err(error) => {
                daemon.config_state.call_failed();
                log::info!(event = "config_unread", source = source.name(), failures = failures,
                    after_revision = cursor.map(|cursor| cursor.after_revision()),
                    queued_ms = timing.queued.as_millis() as u64,
                    call_ms = timing.sent.as_millis() as u64,
                    heard_ms_ago = daemon.config_state.heard_ms_ago(daemon.clock.now_us());
                    "{error}");
                cursor = None;
                if failures > 0 {
                    let jitter = rand::rng().random_range(JITTER);
                    tokio::time::sleep(RETRY_BACKOFF.mul_f64(jitter)).await;
                }
                failures += 1;
            }
        }
    }
}

/// Waits until a version that another daemon has reported is overdue.
async fn outdated_despite_watch(daemon: &DaemonState) {
    loop {
        daemon.config_state.outdated().await;
        tokio::time::sleep(STORE_GRACE).await;
        if daemon.config_state.is_outdated() {
            return;
        }
    }
}

async fn call_store(
    daemon: &DaemonState,
    cursor: Option<&WatchCursor>,
    timing: &mut CallTiming,
) -> Result<StoreReply, Error> {
    let prefix = config::KEY.to_owned();
    let call = match cursor {
        Some(cursor) => {
            StoreCall::Watch { prefix, after_revision: cursor.after_revision(), wait_ms: WATCH_MS }
        }
        None => StoreCall::Range { prefix },
    };
    daemon.store.call_promptly(call, ANSWER_TIMEOUT, timing).await
}

fn apply_reply(daemon: &DaemonState, reply: &StoreReply, source: ConfigSource, timing: CallTiming) {
    // Of several versions in one reply only the newest is decoded: it replaces the others.
    let versions = reply.entries.iter().filter(|entry| entry.key == config::KEY);
    if let Some(newest) = versions.max_by_key(|entry| entry.version) {
        activate(daemon, &newest.value, newest.version, source, timing);
    }
    if source == ConfigSource::Read {
        daemon.config_state.read_at(reply.revision);
    }
    daemon.config_state.store_answered(daemon.clock.now_us());
}

/// Decodes a stored configuration and activates it if it is newer than the active one.
pub fn activate(
    daemon: &DaemonState,
    value: &str,
    revision: u64,
    source: ConfigSource,
    timing: CallTiming,
) {
    if !daemon.config_state.mark_seen(revision) {
        return;
    }
    let site = match config::decode(value) {
        Ok(site) => Arc::new(site),
        Err(error) => {
            log::warn!(event = "config_malformed", revision = revision, source = source.name();
                "{error}");
            return;
        }
    };
    let value = Arc::from(value);
    if !daemon.config_state.activate(ActiveConfig { site: site.clone(), revision, source, value }) {
        return;
    }
    let now_us = daemon.clock.now_us();
    log::info!(event = "config_in_force", version = site.version, queues = site.queues.len(),
        revision = revision, source = source.name(),
        store_revision = daemon.store.newest_revision(),
        queued_ms = timing.queued.as_millis() as u64, call_ms = timing.sent.as_millis() as u64,
        heard_ms_ago = daemon.config_state.heard_ms_ago(now_us),
        reported_ms_ago = daemon.config_state.take_reported_ms_ago(now_us),
        questions = daemon.config_state.questions_without_store(); "");
    if let Some(planner) = daemon.planner() {
        planner.set_queues(site.terms());
    }
}
