//! What is believed about a service changes once for each outage.

use std::time::Duration;

use agatesill_coord::dependency::{Belief, Dependency};
use tokio::time::Instant;

/// A store is away for ten seconds while forty calls fail. The engineer on call looks for the moment
/// at which the daemon lost it and the moment at which it came back; forty lines that each say that
/// a call failed would hide both, and none at all leaves the refusals without a cause.
#[tokio::test(start_paused = true)]
async fn an_outage_changes_the_belief_once_each_way() {
    let store = Dependency::new("store");
    assert_eq!(store.answered(Instant::now()), Belief::Unchanged);
    let changes: Vec<Belief> = {
        let mut changes = Vec::new();
        for _ in 0..40 {
            changes.push(store.failed("connection refused"));
            tokio::time::sleep(Duration::from_millis(250)).await;
        }
        changes
    };
    assert_eq!(changes.iter().filter(|change| **change == Belief::Lost).count(), 1);
    assert!(store.is_unavailable());
    assert_eq!(store.answered(Instant::now()), Belief::Back { away_ms: 10_000 });
    assert!(!store.is_unavailable());
    assert_eq!(store.answered(Instant::now()), Belief::Unchanged);
}

/// A connection that lay idle is closed by the other side, and the next call on it fails. That is no
/// outage: callers are not to be refused for it, and nobody is to be woken.
#[tokio::test(start_paused = true)]
async fn a_single_failure_is_no_loss() {
    let store = Dependency::new("store");
    for _ in 0..10 {
        assert_eq!(store.failed("connection reset"), Belief::Unchanged);
        assert!(!store.is_unavailable());
        assert_eq!(store.answered(Instant::now()), Belief::Unchanged);
    }
}

/// A watch waits at the store when the store begins to refuse calls, and returns empty a second later.
/// Taken for a return of the store, callers would be made to wait for calls that fail, and the log would
/// tell of two outages.
#[tokio::test(start_paused = true)]
async fn an_answer_to_a_call_from_before_the_loss_does_not_end_it() {
    let store = Dependency::new("store");
    let watch_sent = Instant::now();
    tokio::time::sleep(Duration::from_millis(300)).await;
    store.failed("refused");
    assert_eq!(store.failed("refused"), Belief::Lost);
    tokio::time::sleep(Duration::from_millis(700)).await;
    assert_eq!(store.answered(watch_sent), Belief::Unchanged);
    assert!(store.is_unavailable());
    assert_eq!(store.answered(Instant::now()), Belief::Back { away_ms: 700 });
}
