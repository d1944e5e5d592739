//! Tests that the availability of a service changes once per outage.

use std::time::Duration;

use agatesill_coord::dependency::{AvailabilityChange, Dependency};
use tokio::time::Instant;

/// A store is unavailable for ten seconds while forty calls fail. The log must show the beginning
/// and the end of the outage: forty lines about failed calls would hide both, and without a line
/// the rejected requests would have no visible cause.
#[tokio::test(start_paused = true)]
async fn outage_changes_the_availability_once_each_way() {
    let store = Dependency::new("store");
    assert_eq!(store.answered(Instant::now()), AvailabilityChange::Unchanged);
    let changes: Vec<AvailabilityChange> = {
        let mut changes = Vec::new();
        for _ in 0..40 {
            changes.push(store.failed("connection refused"));
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        changes
    };
    assert_eq!(changes.iter().filter(|change| **change == AvailabilityChange::Lost).count(), 1);
    assert!(store.is_unavailable());
    assert_eq!(store.answered(Instant::now()), AvailabilityChange::Recovered { away_ms: 10_000 });
    assert!(!store.is_unavailable());
    assert_eq!(store.answered(Instant::now()), AvailabilityChange::Unchanged);
}

/// The service closes an idle connection, and the next call on it fails. This is not an outage: no
/// caller may be rejected because of it, and no warning may be logged.
#[tokio::test(start_paused = true)]
async fn single_failure_is_not_an_outage() {
    let store = Dependency::new("store");
    for _ in 0..10 {
        assert_eq!(store.failed("connection reset"), AvailabilityChange::Unchanged);
        assert!(!store.is_unavailable());
        assert_eq!(store.answered(Instant::now()), AvailabilityChange::Unchanged);
    }
}

/// A watch is waiting when the store begins to reject calls, and returns empty a second later. If
/// its answer counted as a recovery, callers would wait for calls that fail, and the log would show
/// two outages.
#[tokio::test(start_paused = true)]
async fn answer_to_a_call_from_before_the_outage_does_not_end_it() {
    let store = Dependency::new("store");
    let watch_sent = Instant::now();
    tokio::time::sleep(Duration::from_millis(300)).await;
    store.failed("refused");
    assert_eq!(store.failed("refused"), AvailabilityChange::Lost);
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(store.answered(watch_sent), AvailabilityChange::Unchanged);
    assert!(store.is_unavailable());
    assert_eq!(store.answered(Instant::now()), AvailabilityChange::Recovered { away_ms: 700 });
}
