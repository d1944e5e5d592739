//! The configuration duty: keeps the newest version in force by watch and by reading.

use std::time::Duration;

use agatesill_coord::config::CONFIG_KEY;
use agatesill_coord::prelude::*;
use agatesill_wire::platform::StoreCall;
use tokio_util::sync::CancellationToken;

use crate::shared::Shared;

/// How long one watch waits.
const WATCH_MS: u64 = 5_000;

/// Pause after a failed call, so that an outage is not met with a storm of retries.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Follows the store until `stop` is cancelled.
pub async fn follow(store: Store, shared: Shared, stop: CancellationToken) {
    let config = ConfigStore::new(store.clone());
    let mut revision = 0;
    while !stop.is_cancelled() {
        let newest = tokio::select! {
            () = stop.cancelled() => return,
            newest = config.read() => newest,
        };
        match newest {
            Ok(newest) => apply(&shared, newest),
            Err(error) => {
                log::warn!(event = "config_read_failed", reason = error.kind.row().name; "{error}");
                tokio::time::sleep(RETRY_PAUSE).await;
                continue;
            }
        }
        let watch = StoreCall::Watch {
            prefix: CONFIG_KEY.to_owned(),
            after_revision: revision,
            wait_ms: WATCH_MS,
        };
        let reply = tokio::select! {
            () = stop.cancelled() => return,
            reply = store.call(watch) => reply,
        };
        match reply {
            Ok(reply) => revision = reply.revision,
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Puts `newest` in force when it is newer, and says so.
pub fn apply(shared: &Shared, newest: agatesill_wire::api::VersionedConfig) {
    let version = newest.version;
    if shared.apply_config(newest) {
        log::info!(event = "config_in_force", config_version = version; "");
    }
}
