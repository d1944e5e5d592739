//! The position of a watch whose replies run ahead of the changes that they report.

use std::time::Duration;

use agatesill_coord::store::{MAX_WATCH_LAG, WatchCursor};
use agatesill_wire::platform::StoreReply;
use tokio::time::Instant;

/// Interval between two replies of a watch.
const REPLY_INTERVAL: Duration = Duration::from_secs(1);

fn reply(revision: u64, event_revision: u64) -> StoreReply {
    StoreReply { revision, event_revision, ..StoreReply::default() }
}

/// Guards against a change that is never reported because an earlier reply stated its revision.
#[tokio::test(start_paused = true)]
async fn a_change_that_a_reply_ran_ahead_of_is_still_asked_for() {
    let mut cursor = WatchCursor::after_read(10);
    // The store is at 12 and its watches have not seen the change at 11.
    cursor.advance(&reply(12, 0), Instant::now());
    assert_eq!(cursor.after_revision(), 10);
    tokio::time::advance(MAX_WATCH_LAG / 2).await;
    cursor.advance(&reply(15, 0), Instant::now());
    assert_eq!(cursor.after_revision(), 10);
    cursor.advance(&reply(15, 11), Instant::now());
    assert_eq!(cursor.after_revision(), 11);
}

/// Guards against a change that is reported twice.
#[tokio::test(start_paused = true)]
async fn a_reported_change_is_not_asked_for_again() {
    let mut cursor = WatchCursor::after_read(10);
    cursor.advance(&reply(12, 11), Instant::now());
    cursor.advance(&reply(14, 14), Instant::now());
    assert_eq!(cursor.after_revision(), 14);
}

/// Guards against a watch on a quiet prefix that falls out of the store's history.
#[tokio::test(start_paused = true)]
async fn a_quiet_prefix_follows_the_store() {
    let mut cursor = WatchCursor::after_read(0);
    let max_replies_behind = MAX_WATCH_LAG.as_secs() / REPLY_INTERVAL.as_secs();
    for number in 1..100 {
        cursor.advance(&reply(number, 0), Instant::now());
        let behind = number - cursor.after_revision();
        assert!(behind <= max_replies_behind, "{behind} replies behind after {number}");
        tokio::time::advance(REPLY_INTERVAL).await;
    }
}
