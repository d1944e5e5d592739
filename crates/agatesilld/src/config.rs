//! Follows the configuration in the store and activates its newest version.
//!
//! [`crate::peers`] provides two other paths: a push from the daemon that accepted a change, and
//! the versions in heartbeats. Each path is sufficient alone. The active version only increases,
//! regardless of the order of arrival.

use agatesill_coord::config::CONFIG_KEY;
use agatesill_coord::prelude::*;
use agatesill_coord::store;
use agatesill_wire::api::VersionedConfig;
use agatesill_wire::platform::Entry;
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::settings::Settings;
use crate::shared::Shared;

/// Watches the store until `stop` is cancelled.
pub async fn follow(store: Store, shared: Shared, stop: CancellationToken) {
    store::watch_prefix(store, CONFIG_KEY, stop, |entries| {
        if let Some(entry) = entries.iter().find(|entry| entry.key == CONFIG_KEY) {
            read(&shared, entry);
        }
    })
    .await;
}

fn read(shared: &Shared, entry: &Entry) {
    match serde_json::from_str(&entry.value) {
        Ok(newest) => apply(shared, newest),
        Err(error) => log::error!(event = "config_malformed", key = CONFIG_KEY; "{error}"),
    }
}

/// Activates and logs `newest` if it is newer than the active version.
pub fn apply(shared: &Shared, newest: VersionedConfig) {
    let version = newest.version;
    let before = shared.config().version;
    if shared.apply_config(newest) {
        log::info!(event = "config_in_force", config_version = version; "");
    }
    let after = shared.config().version;
    assert!(after >= before, "active configuration version decreased from {before} to {after}");
}

/// Digest of the document, identical on every daemon.
pub fn digest(config: &VersionedConfig) -> u64 {
    serde_json::to_vec(&config.doc).map_or(0, |bytes| xxh3_64(&bytes))
}

/// Capacity of the workers and upstreams in this daemon's settings.
pub fn declared_capacity(settings: &Settings) -> DeclaredCapacity {
    let workers = settings.cells.values().flat_map(|cell| &cell.workers);
    let pool_slots = settings.pools.iter().map(|(pool, upstreams)| {
        (pool.clone(), upstreams.iter().map(|upstream| u64::from(upstream.slots)).sum())
    });
    DeclaredCapacity {
        cpu_milli: workers.map(|worker| worker.capacity.cpu_milli).sum(),
        pool_slots: pool_slots.collect(),
        reject_overcommit: settings.admin.refuse_beyond_floor,
    }
}
