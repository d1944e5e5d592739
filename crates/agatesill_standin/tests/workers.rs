//! The workers stand-in follows the protocol that the scheduler relies on, and its audit log is
//! accurate.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use agatesill_policy::prelude::*;
use agatesill_standin::workers::{WorkerFaults, WorkersStandin};
use agatesill_wire::platform::{AttemptState, CallValidity, WorkerCall};
use agatesill_wire::prelude::*;

/// Time within which the calls of these tests take effect.
const VALID_MS: u64 = 60_000;

fn workers() -> WorkersStandin {
    let capacity = Resources { cpu_milli: 4_000, memory_mb: 8_000, accelerators: 0 };
    let spec = |id| WorkerSpec { id, capacity, rack: "r".to_owned(), zone: "z".to_owned() };
    WorkersStandin::new(&[spec(1), spec(2)])
}

fn start(
    workers: &WorkersStandin,
    worker: WorkerId,
    attempt: Attempt,
    epoch: u64,
    run_ms: u64,
    lease_ms: u64,
) -> WorkerCall {
    WorkerCall::Start {
        task: "job/0".to_owned(),
        attempt,
        epoch,
        need: Resources { cpu_milli: 3_000, memory_mb: 1_000, accelerators: 0 },
        class: "c".to_owned(),
        run_ms,
        checkpoint_ms: 0,
        lease_ms,
        validity: workers.validity(worker, VALID_MS),
    }
}

fn stop(attempt: Attempt, epoch: u64) -> WorkerCall {
    WorkerCall::Stop { epoch, task: "job/0".to_owned(), attempt, checkpoint: true }
}

#[tokio::test]
async fn duplicate_start_is_idempotent() {
    let workers = workers();
    for _ in 0..3 {
        workers.call(1, start(&workers, 1, 1, 1, 60_000, 60_000)).await.unwrap();
    }
    assert_eq!(workers.audit().starts, 1);
    assert_eq!(workers.audit().double_runs, 0);
}

/// An owner abandons an attempt before its start arrives, so the stop arrives before the delayed
/// start. Without a tombstone the task would run here and on its next worker concurrently.
#[tokio::test]
async fn stop_before_start_prevents_the_start() {
    let workers = workers();
    workers.call(1, stop(1, 1)).await.unwrap();
    let reply = workers.call(1, start(&workers, 1, 1, 1, 60_000, 60_000)).await.unwrap();
    assert_eq!(reply.attempts[0].state, AttemptState::Stopped);
    assert_eq!((workers.audit().starts, workers.audit().refused_starts), (0, 1));
}

/// An owner is paused, a successor calls the worker, and the old owner resumes in the middle of
/// sending a start. The worker has observed the successor's epoch and refuses the start.
#[tokio::test]
async fn call_with_older_epoch_is_refused() {
    let workers = workers();
    workers.call(1, stop(9, 2)).await.unwrap();
    let refused = workers.call(1, start(&workers, 1, 1, 1, 60_000, 60_000)).await.unwrap_err();
    assert_eq!(refused.kind, ErrorKind::Conflict);
    assert_eq!((workers.audit().starts, workers.audit().fenced_calls), (0, 1));
    assert_eq!(workers.audit().epochs[&1], [2]);
}

/// The lease of an attempt expires before its work is done, and the worker receives no calls for a
/// long time. The audit log must not count the attempt as finished.
#[tokio::test]
async fn attempt_stops_at_lease_expiry_without_calls() {
    let workers = workers();
    workers.call(1, start(&workers, 1, 1, 1, 200, 20)).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let audit = workers.audit();
    assert!(audit.finished.is_empty());
    assert_eq!(audit.lapsed, 1);
}

#[tokio::test]
async fn audit_records_double_runs_and_overcommitment() {
    let workers = workers();
    workers.call(1, start(&workers, 1, 1, 1, 60_000, 60_000)).await.unwrap();
    workers.call(2, start(&workers, 2, 2, 1, 60_000, 60_000)).await.unwrap();
    assert_eq!(workers.audit().double_runs, 1);
    workers.call(1, start(&workers, 1, 3, 1, 60_000, 60_000)).await.unwrap();
    assert_eq!(workers.audit().overcommitted, 1);
}

/// A settled attempt is no longer reported, but cannot be started again. A later attempt after a
/// settled success is a violation that the audit log shows.
#[tokio::test]
async fn settled_attempt_is_unreported_and_not_restarted() {
    let workers = workers();
    workers.call(1, start(&workers, 1, 1, 1, 0, 60_000)).await.unwrap();
    let settled = vec![("job/0".to_owned(), 1)];
    let validity = CallValidity::default();
    let attempts = Vec::new();
    let renew = WorkerCall::Renew { epoch: 1, attempts, settled, lease_ms: 1_000, validity };
    let reply = workers.call(1, renew).await.unwrap();
    assert!(reply.attempts.is_empty());
    workers.call(1, start(&workers, 1, 1, 1, 0, 60_000)).await.unwrap();
    assert_eq!(workers.audit().starts, 1);
    workers.call(2, start(&workers, 2, 2, 1, 0, 60_000)).await.unwrap();
    assert_eq!(workers.audit().starts_after_success, 1);
}

#[tokio::test]
async fn memory_overrun_reports_its_cause_and_stop_keeps_checkpoint() {
    let workers = workers();
    let overrun_classes = vec!["c".to_owned()];
    workers.set_faults(1, WorkerFaults { overrun_classes, ..WorkerFaults::default() });
    let reply = workers.call(1, start(&workers, 1, 1, 1, 60_000, 60_000)).await.unwrap();
    assert_eq!(reply.attempts[0].detail, "memory");
    workers.call(2, start(&workers, 2, 2, 1, 60_000, 60_000)).await.unwrap();
    tokio::time::sleep(Duration::from_millis(30)).await;
    let reply = workers.call(2, stop(2, 1)).await.unwrap();
    assert!(reply.attempts[0].checkpoint_ms > 0);
    assert_eq!(workers.audit().resume_violations(|_| false).len(), 1, "not resumed yet");
}

/// A start and a renewal arrive after the end of their validity. Neither may take effect, or a task
/// would run beside its next attempt.
#[tokio::test]
async fn late_calls_have_no_effect() {
    let workers = workers();
    let validity = workers.validity(1, 100);
    workers.call(1, start(&workers, 1, 1, 1, 60_000, 300)).await.unwrap();
    tokio::time::sleep(Duration::from_millis(150)).await;
    let mut late = start(&workers, 1, 2, 1, 60_000, 60_000);
    if let WorkerCall::Start { validity: of_start, .. } = &mut late {
        *of_start = validity;
    }
    let reply = workers.call(1, late).await.unwrap();
    assert_eq!(reply.attempts.len(), 1);
    let attempts = vec![("job/0".to_owned(), 1)];
    let renew =
        WorkerCall::Renew { epoch: 1, attempts, settled: Vec::new(), lease_ms: 60_000, validity };
    workers.call(1, renew).await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!((workers.audit().late_calls, workers.audit().lapsed), (2, 1));
}

/// A start for an earlier incarnation arrives after the restart of the worker, which has forgotten the
/// stop of its attempt.
#[tokio::test]
async fn start_for_an_earlier_incarnation_has_no_effect() {
    let workers = workers();
    let late = start(&workers, 1, 1, 1, 60_000, 60_000);
    workers.call(1, stop(1, 1)).await.unwrap();
    workers.restart(1);
    tokio::time::sleep(Duration::from_millis(400)).await;
    let reply = workers.call(1, late).await.unwrap();
    assert!(reply.attempts.is_empty());
    assert_eq!((workers.audit().late_calls, workers.audit().starts), (1, 0));
}
