//! Tests of the store client with a service that is unavailable, slow, lossy or stale.

#![allow(clippy::unwrap_used, clippy::expect_used)]

mod support;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use agatesill_coord::store::{CallTiming, Store};
use agatesill_wire::platform::{StoreCall, StoreReply};
use agatesill_wire::prelude::*;
use support::{Faults, MemStore};
use tokio::time::Instant;

/// The service is unavailable for a minute while 40 callers retry immediately after every failure.
/// When it recovers, all of them would call it at once. The client must let few calls through
/// during the outage and keep to its rate limit afterwards.
#[tokio::test(start_paused = true)]
async fn outage_ends_without_a_retry_storm() {
    let mem = MemStore::default();
    let client = mem.client(1);
    let store = client.store.clone().with_rate_limit(50);
    client.set_faults(Faults { outage: true, delay_ms: 5, ..Faults::default() });
    for _ in 0..40 {
        let store = store.clone();
        tokio::spawn(async move {
            loop {
                let _ = store.get("config/head").await;
            }
        });
    }
    tokio::time::sleep(Duration::from_secs(60)).await;
    let sent = store.counts().reads.load(Ordering::Relaxed);
    assert!(sent < 200, "{sent} calls in an outage of 60 s");
    client.set_faults(Faults { delay_ms: 5, ..Faults::default() });
    tokio::time::sleep(Duration::from_secs(10)).await;
    let after = store.counts().reads.load(Ordering::Relaxed) - sent;
    assert!(
        (100..=50 * 12).contains(&after),
        "{after} calls in 10 s at a rate limit of 50 per second"
    );
}

/// The service recovers after a minute, and another daemon detects this first. Its report shortens
/// the back-off of this daemon, which would otherwise retry up to a second later and count as
/// disconnected in the meantime.
#[tokio::test(start_paused = true)]
async fn reported_recovery_shortens_the_backoff() {
    let client = MemStore::default().client(1);
    let store = client.store.clone();
    client.set_faults(Faults { outage: true, ..Faults::default() });
    let outage_end = Instant::now() + Duration::from_secs(60);
    while Instant::now() < outage_end {
        assert!(store.get("config/head").await.is_err());
    }
    client.set_faults(Faults::default());
    store.retry_soon();
    let asked = Instant::now();
    assert!(store.get("config/head").await.is_ok());
    assert!(asked.elapsed() < Duration::from_millis(60), "{:?}", asked.elapsed());
    assert!(!store.is_unavailable());
}

/// A burst of reads exhausts the rate limit when a lease has to be renewed. If the renewal queued
/// behind the reads, the daemon would lose its cells because of its own reads.
#[tokio::test(start_paused = true)]
async fn renewal_has_priority_over_a_burst_of_reads() {
    let client = MemStore::default().client(1);
    let store = client.store.clone().with_rate_limit(10);
    let lease_id = store.call(StoreCall::Grant { ttl_ms: 5_000 }).await.unwrap().lease_id;
    for _ in 0..100 {
        let store = store.clone();
        tokio::spawn(async move { store.get("config/head").await.map(|_| ()) });
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let started = Instant::now();
    assert!(store.call(StoreCall::Renew { lease_id }).await.unwrap().applied);
    assert!(started.elapsed() < Duration::from_millis(50), "{:?}", started.elapsed());
}

/// A lagging replica answers a read with the value from before this process's own write. An
/// operator would see an accepted change disappear; the client must not return such an answer.
#[tokio::test(start_paused = true)]
async fn stale_reads_are_not_returned() {
    let mem = MemStore::default();
    let client = mem.client(1);
    client.store.cas("config/head", 0, "old".to_owned(), 0).await.unwrap();
    mem.capture_stale_state();
    let found = client.store.get("config/head").await.unwrap().unwrap();
    client.store.cas("config/head", found.version, "new".to_owned(), 0).await.unwrap();
    client.set_faults(Faults { stale_reads: true, ..Faults::default() });
    let error = client.store.get("config/head").await.unwrap_err();
    assert_eq!(error.kind, ErrorKind::StoreUnavailable);
    client.set_faults(Faults::default());
    assert_eq!(client.store.get("config/head").await.unwrap().unwrap().value, "new");
}

/// The service does not answer in time. Calls must fail within their timeout, and calls beyond the
/// queue immediately, so that callers do not accumulate behind a slow service.
#[tokio::test(start_paused = true)]
async fn slow_service_does_not_exceed_timeouts_or_the_queue() {
    let client = MemStore::default().client(1);
    client.set_faults(Faults { lost_calls_percent: 100, ..Faults::default() });
    let started = Instant::now();
    let calls = (0..1_000).map(|_| client.store.get("config/head"));
    let outcomes = futures::future::join_all(calls).await;
    assert!(outcomes.iter().all(Result::is_err));
    assert!(started.elapsed() < Duration::from_secs(4), "{:?}", started.elapsed());
    let counts = client.store.counts();
    assert!(counts.reads.load(Ordering::Relaxed) <= 300);
    assert!(counts.unsent.load(Ordering::Relaxed) >= 700);
}

/// The replies of a watch may contain only the first of many changes. They must not be rejected as
/// stale because other calls have returned a higher revision.
#[tokio::test(start_paused = true)]
async fn watch_that_lags_behind_other_calls_is_not_stale() {
    let store = Store::with_transport(Arc::new(|call, _| {
        Box::pin(async move {
            let revision = match call {
                StoreCall::Watch { after_revision, .. } => after_revision + 10,
                _ => 1_000,
            };
            Ok(StoreReply { revision, applied: true, ..StoreReply::default() })
        })
    }));
    store.cas("own/planner", 0, String::new(), 0).await.unwrap();
    let watch = |after_revision| StoreCall::Watch {
        prefix: "workers/".to_owned(),
        after_revision,
        wait_ms: 100,
    };
    assert_eq!(store.call(watch(50)).await.unwrap().revision, 60);
    assert_eq!(store.newest_revision(), 1_000);
}

/// A burst of reads exhausts the rate limit. Guards against a read with a deadline that waits behind
/// calls without one.
#[tokio::test(start_paused = true)]
async fn a_prompt_call_waits_behind_no_other_call() {
    let client = MemStore::default().client(1);
    let store = client.store.clone().with_rate_limit(10);
    for _ in 0..100 {
        let store = store.clone();
        tokio::spawn(async move { store.get("config/head").await.map(|_| ()) });
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut timing = CallTiming::default();
    let call = StoreCall::Range { prefix: String::from("config/head") };
    let reply = store.call_promptly(call, Duration::from_millis(600), &mut timing).await;
    assert!(reply.is_ok(), "{reply:?}");
    assert!(timing.queued < Duration::from_millis(50), "{timing:?}");
}

/// Guards against a read with a deadline that waits for the back-off of other calls after the service
/// has recovered.
#[tokio::test(start_paused = true)]
async fn a_prompt_call_does_not_wait_for_the_backoff() {
    let client = MemStore::default().client(1);
    let store = client.store.clone();
    client.set_faults(Faults { outage: true, ..Faults::default() });
    let outage_end = Instant::now() + Duration::from_secs(10);
    while Instant::now() < outage_end {
        assert!(store.get("config/head").await.is_err());
    }
    client.set_faults(Faults::default());
    let mut timing = CallTiming::default();
    let call = StoreCall::Range { prefix: "config/head".to_owned() };
    assert!(store.call_promptly(call, Duration::from_millis(600), &mut timing).await.is_ok());
    assert_eq!(timing.queued, Duration::ZERO);
}

/// Guards against frequent prompt calls that fail and thus extend the back-off of all other calls.
#[tokio::test(start_paused = true)]
async fn failing_prompt_calls_do_not_hold_back_others() {
    let client = MemStore::default().client(1);
    let store = client.store.clone();
    client.set_faults(Faults { outage: true, ..Faults::default() });
    let frequent = store.clone();
    tokio::spawn(async move {
        loop {
            let call = StoreCall::Range { prefix: "config/head".to_owned() };
            let mut timing = CallTiming::default();
            let _ = frequent.call_promptly(call, Duration::from_millis(600), &mut timing).await;
            tokio::time::sleep(Duration::from_millis(300)).await;
        }
    });
    let mut sent = 0;
    let outage_end = Instant::now() + Duration::from_secs(20);
    while Instant::now() < outage_end {
        let failure = store.get("config/tail").await.unwrap_err();
        sent += u32::from(!failure.detail.contains("not sent"));
    }
    assert!(sent >= 10, "{sent} calls were sent in 20 s");
}
