//! Cancels of jobs whose submission is still under way, at daemons that share a store which loses
//! answers and executes calls late.

#![allow(clippy::unwrap_used)] // A failed assumption of a test fails the test.

mod memory_store;

use std::sync::Arc;

use agatesill_policy::admission::cancel_records::MAX_RECORDS_AT_ONCE;
use agatesill_policy::admission::{Refusal, RefusalCause, Verdict};
use agatesill_wire::fleet::FleetWrite;
use agatesilld::fleet::daemon_state::DaemonState;
use agatesilld::fleet::job_store::{state, store_cancel};
use agatesilld::fleet::submission::{self, JobCreate, Submission};
use memory_store::{CANCEL_KEY, ID, KEY, MemoryStore, WriteFault, daemon, job, wall_ms};

const GROUPED: JobCreate = JobCreate::Grouped { is_urgent: true };

/// Submits the job; without load control it is accepted.
async fn submit(daemon: &DaemonState, create: JobCreate) -> Submission {
    let spec = job(wall_ms());
    let json = serde_json::to_string(&spec).unwrap();
    submission::submit(daemon, &spec, &json, create, &mut |_| Verdict::Accept).await
}

async fn refuse(daemon: &DaemonState, arrived_ms: u64) -> Submission {
    let spec = job(arrived_ms);
    let json = serde_json::to_string(&spec).unwrap();
    let refusal = Refusal {
        cause: RefusalCause::NoRoom,
        retry_after_ms: 1_000,
        forecast_ms: 9_000,
        needed_milli: 90_000,
        left_milli: 20_000,
    };
    let verdict = Verdict::Refuse(refusal);
    submission::submit(daemon, &spec, &json, JobCreate::Alone, &mut |_| verdict).await
}

/// Whether the store holds a job that the planner would run.
fn holds_live_job(store: &MemoryStore) -> bool {
    store.holds_job() && store.value(CANCEL_KEY).is_none()
}

/// Guards against a job that runs although its cancel was answered, because the write that accepts it
/// takes effect after the cancel found nothing.
#[tokio::test]
async fn a_late_write_of_a_cancelled_job_has_no_effect() {
    for create in [JobCreate::Alone, GROUPED] {
        let store = MemoryStore::default();
        let (one, two) = (daemon(&store).await, daemon(&store).await);
        store.fail_writes(&[Some(WriteFault::IsLate)]);
        assert_eq!(submit(&one, create).await, Submission::Unknown);
        assert_eq!(store_cancel(&two, ID).await, FleetWrite::NoSuchJob);
        store.execute_late();
        assert!(!store.holds_job(), "{create:?}: a cancelled job must not be stored");
        assert_eq!(state(&two, ID).await.unwrap(), None);
    }
}

/// Guards against the same without a lost answer: the store is slow, and the caller leaves and cancels
/// while its submission waits there.
#[tokio::test]
async fn a_submission_in_flight_does_not_outlive_its_cancel() {
    for create in [JobCreate::Alone, GROUPED] {
        let store = MemoryStore::default();
        let (one, two) = (Arc::new(daemon(&store).await), daemon(&store).await);
        store.fail_writes(&[Some(WriteFault::IsSlow)]);
        let daemon = one.clone();
        let submission = tokio::spawn(async move { submit(&daemon, create).await });
        store.until_arrived(1).await;
        assert_eq!(store_cancel(&two, ID).await, FleetWrite::NoSuchJob);
        store.execute_slow();
        assert_eq!(submission.await.unwrap(), Submission::Existed, "{create:?}");
        assert!(!holds_live_job(&store), "{create:?}: a cancelled job must not run");
    }
}

/// Guards against a copy of a submission that reaches a daemon after the cancel was answered, and runs.
#[tokio::test]
async fn a_submission_after_its_cancel_is_stored_as_cancelled() {
    for create in [JobCreate::Alone, GROUPED] {
        let store = MemoryStore::default();
        let (one, two) = (daemon(&store).await, daemon(&store).await);
        assert_eq!(store_cancel(&two, ID).await, FleetWrite::NoSuchJob);
        assert_eq!(submit(&one, create).await, Submission::Existed);
        assert!(store.holds_job(), "an accepted job must be stored");
        store.end_leases();
        assert!(!holds_live_job(&store), "{create:?}: a cancelled job must not run");
        assert_eq!(store_cancel(&one, ID).await, FleetWrite::Existed);
    }
}

/// Guards against a submission that has seen the record of a cancel and runs because the record vanishes
/// before the job is written.
#[tokio::test]
async fn a_cancel_that_was_seen_holds_after_its_record_has_vanished() {
    let store = MemoryStore::default();
    let one = daemon(&store).await;
    assert_eq!(store_cancel(&one, ID).await, FleetWrite::NoSuchJob);
    // The create finds the record, which is gone when the job is written with its cancel.
    store.race_writes(&[None, Some("")]);
    assert_eq!(submit(&one, JobCreate::Alone).await, Submission::Existed);
    assert!(store.holds_job() && !holds_live_job(&store));
}

/// Guards against a returning job that replaces the record of its refusal after its cancel was answered.
#[tokio::test]
async fn a_late_replacement_of_a_refusal_has_no_effect_after_a_cancel() {
    let store = MemoryStore::default();
    let (one, two) = (daemon(&store).await, daemon(&store).await);
    assert!(matches!(refuse(&two, wall_ms() - 60_000).await, Submission::Refused(_)));
    store.set_record_times(wall_ms() - 60_000, 1_000);
    // The create finds the record, and both replacements are late.
    store.fail_writes(&[None, Some(WriteFault::IsLate), Some(WriteFault::IsLate)]);
    assert_eq!(submit(&one, JobCreate::Alone).await, Submission::Unknown);
    assert_eq!(store_cancel(&two, ID).await, FleetWrite::NoSuchJob);
    store.execute_late();
    assert!(!store.holds_job(), "a cancelled job must not be stored");
}

/// Guards against a second cancel that is answered on the strength of a record which ends before a
/// write under way takes effect.
#[tokio::test]
async fn a_repeated_cancel_renews_the_record() {
    let store = MemoryStore::default();
    let one = daemon(&store).await;
    assert_eq!(store_cancel(&one, ID).await, FleetWrite::NoSuchJob);
    let before = store.version(KEY);
    assert_eq!(store_cancel(&one, ID).await, FleetWrite::NoSuchJob);
    assert!(store.version(KEY) > before);
}

/// Guards against a cancel that is answered although nothing holds back the job: the write of its record
/// may have no effect.
#[tokio::test]
async fn a_record_of_unknown_outcome_acknowledges_no_cancel() {
    let store = MemoryStore::default();
    let (one, two) = (daemon(&store).await, daemon(&store).await);
    store.fail_writes(&[Some(WriteFault::IsLate)]);
    assert_eq!(store_cancel(&one, ID).await, FleetWrite::Unknown);
    store.fail_writes(&[Some(WriteFault::Rejects)]);
    assert_eq!(store_cancel(&one, ID).await, FleetWrite::NotStored);
    assert_eq!(submit(&two, JobCreate::Alone).await, Submission::Stored { is_return: false });
    store.execute_late();
    assert!(holds_live_job(&store), "the late record must not replace an accepted job");
    store.fail_writes(&[Some(WriteFault::LosesAnswer)]);
    assert_eq!(store_cancel(&one, ID).await, FleetWrite::Stored, "the cancel is read back");
}

/// Guards against a cancel that is answered as one of an unknown job although the job was stored between
/// the read and the write.
#[tokio::test]
async fn a_job_stored_during_its_cancel_is_cancelled() {
    let store = MemoryStore::default();
    let one = daemon(&store).await;
    let json = serde_json::to_string(&job(wall_ms())).unwrap();
    store.race_writes(&[Some(&json)]);
    assert_eq!(store_cancel(&one, ID).await, FleetWrite::Stored);
    assert!(store.holds_job() && !holds_live_job(&store));
}

/// Guards against a cancel that outlives its job: it would cancel a later job of the same ID.
#[tokio::test]
async fn a_job_deleted_during_its_cancel_leaves_no_cancel() {
    let store = MemoryStore::default();
    let one = daemon(&store).await;
    assert_eq!(submit(&one, JobCreate::Alone).await, Submission::Stored { is_return: false });
    store.race_writes(&[Some("")]);
    assert_eq!(store_cancel(&one, ID).await, FleetWrite::NoSuchJob);
    assert_eq!(store.value(CANCEL_KEY), None);
}

/// Guards against a caller that fills the store, and takes all its writes, by cancels of IDs that nobody
/// submitted. Cancels of stored jobs are served all the while.
#[tokio::test]
async fn cancels_of_invented_jobs_write_a_bounded_number_of_records() {
    let store = MemoryStore::default();
    let one = daemon(&store).await;
    assert_eq!(submit(&one, JobCreate::Alone).await, Submission::Stored { is_return: false });
    let mut throttled = 0;
    for id in 0..500 {
        let write = store_cancel(&one, &format!("{id:016x}f")).await;
        throttled += usize::from(write == FleetWrite::Throttled);
    }
    let records = store.state.lock().unwrap().items.len() - 1;
    assert_eq!(records + throttled, 500);
    assert!(records <= 2 * MAX_RECORDS_AT_ONCE as usize, "{records} records");
    assert_eq!(store_cancel(&one, ID).await, FleetWrite::Stored);
}

/// Guards against a cancel of a stored job that waits for more calls to the store than before.
#[tokio::test]
async fn a_cancel_of_a_stored_job_takes_a_read_and_a_write() {
    let store = MemoryStore::default();
    let one = daemon(&store).await;
    assert_eq!(submit(&one, JobCreate::Alone).await, Submission::Stored { is_return: false });
    let calls = store.calls();
    assert_eq!(store_cancel(&one, ID).await, FleetWrite::Stored);
    assert_eq!(store.calls() - calls, 2);
}
