//! One watch over a prefix, kept up through failures.

use std::time::Duration;

use agatesill_wire::platform::{Entry, StoreCall};
use tokio_util::sync::CancellationToken;

use super::Store;

/// How long one watch waits. Each counts as a call and is followed by a reading, so one followed
/// prefix costs half a read a second. A broken watch delays news by no more than this.
pub const WATCH_MS: u64 = 4_000;

/// Shortest time between two readings, so that a busy prefix does not turn into a busy loop.
const READING_PAUSE: Duration = Duration::from_millis(50);

/// Pause after a failed call; the gate of the store adds its own when it fails again and again.
const FAILURE_PAUSE: Duration = Duration::from_millis(200);

/// Calls `on_entries` with all that stands under `prefix`, first at once and then after every
/// change, until `stop` is cancelled. Changes in quick succession are seen as one.
///
/// Guards against a change that falls between the reading and the watch: the watch counts from the
/// revision that the reading had.
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
                tokio::time::sleep(FAILURE_PAUSE).await;
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
    tokio::time::sleep(READING_PAUSE).await;
    let prefix = prefix.to_owned();
    let watch = StoreCall::Watch { prefix, after_revision, wait_ms: WATCH_MS };
    // A watch that ends without a change may also be a broken one; the caller reads again.
    if store.call(watch).await.is_err() {
        tokio::time::sleep(FAILURE_PAUSE).await;
    }
}
