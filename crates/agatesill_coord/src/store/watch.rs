//! A watch on a prefix that is re-established after every failure.

use std::time::Duration;

use agatesill_wire::platform::{Entry, StoreCall};
use tokio_util::sync::CancellationToken;

use super::Store;

/// Maximum duration of one watch call. Each watch counts as a call and is followed by a read, so
/// that one watched prefix costs half a read per second. A broken watch delays updates by at most
/// this duration.
pub const WATCH_TIMEOUT_MS: u64 = 4_000;

/// Minimum interval between two reads, so that frequent changes do not cause a busy loop.
const MIN_READ_INTERVAL: Duration = Duration::from_millis(50);

/// Back-off after a failed call. The call limiter of the store adds its own when failures repeat.
const FAILURE_BACKOFF: Duration = Duration::from_millis(200);

/// Calls `on_entries` with all entries under `prefix`, first immediately and then after every
/// change, until `stop` is cancelled. Changes in quick succession are reported together.
///
/// The watch starts at the revision of the preceding read, so that no change between the read and
/// the watch is missed.
pub async fn watch_prefix(
    store: Store,
    prefix: &str,
    stop: CancellationToken,
    mut on_entries: impl FnMut(Vec<Entry>),
) {
    let work = async {
        loop {
            let call = StoreCall::Range { prefix: prefix.to_owned() };
            let Ok(reply) = store.call(call).await else {
                tokio::time::sleep(FAILURE_BACKOFF).await;
                continue;
            };
            on_entries(reply.entries);
            wait_for_change(&store, prefix, reply.revision).await;
        }
    };
    tokio::select! {
        () = stop.cancelled() => {}
        () = work => {}
    }
}

async fn wait_for_change(store: &Store, prefix: &str, after_revision: u64) {
    tokio::time::sleep(MIN_READ_INTERVAL).await;
    let prefix = prefix.to_owned();
    let watch = StoreCall::Watch { prefix, after_revision, wait_ms: WATCH_TIMEOUT_MS };
    // A watch that ends without a change may be broken, so the caller reads again in any case.
    if store.call(watch).await.is_err() {
        tokio::time::sleep(FAILURE_BACKOFF).await;
    }
}
