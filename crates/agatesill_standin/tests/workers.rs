//! The workers stand-in keeps the rules that the scheduler relies on, and its books tell the truth.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use agatesill_policy::prelude::*;
use agatesill_standin::workers::{WorkerFaults, WorkersStandin};
use agatesill_wire::platform::{AttemptState, WorkerCall};
use agatesill_wire::prelude::*;

fn floor() -> WorkersStandin {
    let capacity = Resources { cpu_milli: 4_000, memory_mb: 8_000, accelerators: 0 };
    let spec = |id| WorkerSpec { id, capacity, rack: "r".to_owned(), zone: "z".to_owned() };
    WorkersStandin::new(&[spec(1), spec(2)])
}

fn start(attempt: Attempt, epoch: u64, run_ms: u64, lease_ms: u64) -> WorkerCall {
    WorkerCall::Start {
        task: "job/0".to_owned(),
        attempt,
        epoch,
        need: Resources { cpu_milli: 3_000, memory_mb: 1_000, accelerators: 0 },
        class: "c".to_owned(),
        run_ms,
        checkpoint_ms: 0,
        lease_ms,
    }
}

fn stop(attempt: Attempt, epoch: u64) -> WorkerCall {
    WorkerCall::Stop { epoch, task: "job/0".to_owned(), attempt, checkpoint: true }
}

#[tokio::test]
async fn a_start_sent_twice_runs_once() {
    let floor = floor();
    for _ in 0..3 {
        floor.call(1, start(1, 1, 60_000, 60_000)).await.unwrap();
    }
    assert_eq!(floor.audit().starts, 1);
    assert_eq!(floor.audit().double_runs, 0);
}

/// An owner gives an attempt up before its start arrives: the stop comes first, the delayed start
/// after it. Without a tombstone the task would run here and at its next place at once.
#[tokio::test]
async fn a_stop_that_overtakes_its_start_wins() {
    let floor = floor();
    floor.call(1, stop(1, 1)).await.unwrap();
    let reply = floor.call(1, start(1, 1, 60_000, 60_000)).await.unwrap();
    assert_eq!(reply.attempts[0].state, AttemptState::Stopped);
    assert_eq!((floor.audit().starts, floor.audit().refused_starts), (0, 1));
}

/// An owner is paused, a successor calls the worker, and the old owner wakes with a start half
/// sent. The worker knows the successor's epoch and refuses.
#[tokio::test]
async fn an_older_owner_is_refused_after_a_later_one_called() {
    let floor = floor();
    floor.call(1, stop(9, 2)).await.unwrap();
    let refused = floor.call(1, start(1, 1, 60_000, 60_000)).await.unwrap_err();
    assert_eq!(refused.kind, ErrorKind::Conflict);
    assert_eq!((floor.audit().starts, floor.audit().fenced_calls), (0, 1));
    assert_eq!(floor.audit().epochs[&1], [2]);
}

/// Nobody calls a worker for long. Its attempt's lease ended before the work could be done, so it
/// must not be booked as finished when somebody looks again.
#[tokio::test]
async fn work_stops_at_the_end_of_its_lease_even_if_nobody_looks() {
    let floor = floor();
    floor.call(1, start(1, 1, 200, 20)).await.unwrap();
    tokio::time::sleep(Duration::from_millis(300)).await;
    let books = floor.audit();
    assert!(books.finished.is_empty());
    assert_eq!(books.lapsed, 1);
}

#[tokio::test]
async fn doubled_runs_and_overcommitment_show_in_the_books() {
    let floor = floor();
    floor.call(1, start(1, 1, 60_000, 60_000)).await.unwrap();
    floor.call(2, start(2, 1, 60_000, 60_000)).await.unwrap();
    assert_eq!(floor.audit().double_runs, 1);
    floor.call(1, start(3, 1, 60_000, 60_000)).await.unwrap();
    assert_eq!(floor.audit().overcommitted, 1);
}

/// A settled end is reported no more, yet the attempt still cannot be started again; a later
/// attempt after a settled success is a fault that the books show.
#[tokio::test]
async fn settled_attempts_are_silent_but_remembered() {
    let floor = floor();
    floor.call(1, start(1, 1, 0, 60_000)).await.unwrap();
    let settled = vec![("job/0".to_owned(), 1)];
    let renew = WorkerCall::Renew { epoch: 1, attempts: Vec::new(), settled, lease_ms: 1_000 };
    let reply = floor.call(1, renew).await.unwrap();
    assert!(reply.attempts.is_empty());
    floor.call(1, start(1, 1, 0, 60_000)).await.unwrap();
    assert_eq!(floor.audit().starts, 1);
    floor.call(2, start(2, 1, 0, 60_000)).await.unwrap();
    assert_eq!(floor.audit().starts_after_success, 1);
}

#[tokio::test]
async fn memory_overrun_fails_with_its_cause_and_a_checkpoint_survives_a_stop() {
    let floor = floor();
    let overrun_classes = vec!["c".to_owned()];
    floor.set_faults(1, WorkerFaults { overrun_classes, ..WorkerFaults::default() });
    let reply = floor.call(1, start(1, 1, 60_000, 60_000)).await.unwrap();
    assert_eq!(reply.attempts[0].detail, "memory");
    floor.call(2, start(2, 1, 60_000, 60_000)).await.unwrap();
    tokio::time::sleep(Duration::from_millis(30)).await;
    let reply = floor.call(2, stop(2, 1)).await.unwrap();
    assert!(reply.attempts[0].checkpoint_ms > 0);
    assert_eq!(floor.audit().wrong_resumes(|_| false).len(), 1, "not resumed yet");
}
