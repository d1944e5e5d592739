//! Cell manager of real daemon processes, checked by the answers to submitters and the workers'
//! audit log.

#![allow(clippy::unwrap_used)]

mod cluster;
mod ends;
mod quotas;

use std::sync::Arc;
use std::time::{Duration, Instant};

use agatesill_coord::prelude::*;
use agatesill_policy::prelude::*;
use agatesill_standin::faults::{Fault, FaultKind, batch};
use agatesill_standin::store::StoreFaults;
use agatesill_wire::api::{JobExplanation, JobStatus};
use agatesill_wire::prelude::*;
use hyper::Method;

use cluster::{Cluster, WAIT_TIMEOUT, job};

/// Every daemon is killed right after its jobs are accepted. Guards against jobs that are lost
/// because the answer was sent before the record was stored.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_accepted_job_survives_a_crash_of_every_daemon() {
    let cluster = Cluster::start(2).await;
    for nth in 0..4 {
        cluster.submit(nth % 2, &job(&format!("night-{nth}"), 2, 100)).await;
    }
    cluster.harness.daemons.iter().for_each(|daemon| daemon.kill());
    for daemon in &cluster.harness.daemons {
        daemon.start().unwrap();
    }
    for nth in 0..4 {
        let ended = cluster.await_outcome(0, &format!("night-{nth}")).await;
        assert_eq!(ended.outcome, "done");
    }
    let audit = cluster.harness.workers.audit();
    assert_eq!((audit.double_runs, audit.starts_after_success), (0, 0));
}

/// A submitter whose answer was lost submits the job again, to any daemon. It must be the same job,
/// run once. A different job under the same id must be refused.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_submission_is_idempotent_at_every_daemon() {
    let cluster = Cluster::start(3).await;
    let spec = job("bills", 3, 100);
    let first = cluster.submit(0, &spec).await;
    for nth in 0..3 {
        let again = cluster.submit(nth, &spec).await;
        assert_eq!((again.cell.as_str(), again.accepted_ms), (&*first.cell, first.accepted_ms));
    }
    let other: Result<JobStatus, Error> =
        cluster.ask(Method::POST, 1, "/v1/jobs", &job("bills", 4, 100)).await;
    assert_eq!(other.unwrap_err().kind, ErrorKind::Conflict);
    cluster.await_outcome(2, "bills").await;
    assert_eq!(cluster.harness.workers.audit().starts, 3);
    let all: Vec<JobStatus> = cluster.ask_until(Method::GET, 2, "/v1/jobs", &()).await;
    assert_eq!(all.len(), 1);
    let why: JobExplanation = cluster.ask_until(Method::GET, 1, "/v1/explain/job/bills", &()).await;
    assert_eq!(why.job.outcome, "done");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bad_and_impossible_jobs_are_refused_with_field_and_limit() {
    let cluster = Cluster::start(1).await;
    cluster.submit(0, &job("fine", 1, 10)).await;
    let refused = async |spec: JobSpec| {
        // A daemon that has just started may not own every cell yet and says so; retry then.
        for _ in 0..1_000 {
            let answer: Result<JobStatus, Error> =
                cluster.ask(Method::POST, 0, "/v1/jobs", &spec).await;
            match answer.unwrap_err() {
                error if error.kind == ErrorKind::NoUpstream => {}
                error => return error,
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        panic!("the cells still have no owner");
    };
    let error = refused(job("none", 0, 10)).await;
    assert_eq!(error.kind, ErrorKind::BadRequest);
    assert!(error.detail.contains("tasks: 0 is outside 1..=10000"), "{error}");
    let error = refused(JobSpec { team: "nobody".to_owned(), ..job("a", 1, 10) }).await;
    assert!(error.detail.contains("team: \"nobody\""), "{error}");
    let error = refused(JobSpec { profile: "day".to_owned(), ..job("a", 1, 10) }).await;
    assert!(error.detail.contains("profile of class batch; there are night"), "{error}");
    let error = refused(JobSpec { after: vec!["ghost".to_owned()], ..job("a", 1, 10) }).await;
    assert!(error.detail.contains("after: there is no job ghost"), "{error}");
    let need = Resources { cpu_milli: 5_000, memory_mb: 1, accelerators: 0 };
    let error = refused(JobSpec { need, ..job("a", 1, 10) }).await;
    assert_eq!(error.kind, ErrorKind::Impossible);
    assert!(error.detail.contains("need.cpu_milli 5000 is beyond the nearest worker's 4000"));
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_dependent_job_joins_the_cell_of_its_dependency_and_starts_after_it() {
    let cluster = Cluster::start(2).await;
    let first = cluster.submit(0, &job("first", 1, 300)).await;
    let then = JobSpec { after: vec!["first".to_owned()], ..job("then", 1, 50) };
    let second = cluster.submit(1, &then).await;
    assert_eq!(first.cell, second.cell);
    assert_eq!(cluster.await_outcome(1, "then").await.outcome, "done");
    assert_eq!(cluster.show(0, "first").await.outcome, "done");
}

/// The store is unavailable for longer than every lease. Running tasks must continue under renewed
/// leases, submissions must be refused as not accepted, and normal operation must resume with the
/// store.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn running_tasks_continue_during_a_store_outage() {
    let mut base = batch::settings();
    base.cells.values_mut().for_each(|cell| cell.outage_renew_ms = 600_000);
    let cluster = Cluster::start_with(1, base).await;
    cluster.submit(0, &job("long", 2, 6_000)).await;
    while cluster.harness.workers.audit().starts < 2 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let outage = Fault { kind: FaultKind::StoreOutage, target: 0 };
    cluster.harness.begin(outage).await;
    let started = Instant::now();
    let mut nth = 0;
    let refused = loop {
        nth += 1;
        let spec = job(&format!("late-{nth}"), 1, 10);
        let answer: Result<JobStatus, Error> =
            cluster.ask(Method::POST, 0, "/v1/jobs", &spec).await;
        match answer.unwrap_err() {
            error if error.kind == ErrorKind::StoreUnavailable => break error,
            // The first submission may be in the record whose outcome the outage hides.
            error => assert_eq!((error.kind, nth), (ErrorKind::OutcomeUnknown, 1)),
        }
        assert!(started.elapsed() < WAIT_TIMEOUT);
    };
    assert!(refused.retry_after_ms > 0);
    tokio::time::sleep(Duration::from_millis(1_200)).await;
    assert_eq!(cluster.harness.workers.audit().lapsed, 0, "a running task lost its lease");
    cluster.harness.end(outage).await;
    assert_eq!(cluster.await_outcome(0, "long").await.outcome, "done");
    let audit = cluster.harness.workers.audit();
    assert_eq!(audit.lapsed, 0);
    assert!((0..2).all(|nth| audit.attempts[&format!("long/{nth}")].len() == 1));
}

/// A service is under pressure and then leaves its worker. Guards against its last report staying
/// in effect, which kept the workers closed to batch work and let jobs wait forever.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn pressure_that_ended_does_not_keep_workers_closed() {
    let cluster = Cluster::start(1).await;
    let ids = [1, 2, 3, 101, 102, 103];
    for id in ids {
        let mut faults = cluster.harness.workers.faults(id);
        faults.service_cpu_milli = 2_000;
        faults.pressure_percent = 300;
        cluster.harness.workers.set_faults(id, faults);
    }
    cluster.submit(0, &job("patient", 4, 50)).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    for id in ids {
        cluster.harness.workers.set_faults(id, Default::default());
    }
    assert_eq!(cluster.await_outcome(0, "patient").await.outcome, "done");
}

/// A worker is unreachable for longer than the lease and returns after its attempt was declared
/// lost and started elsewhere. The task must never run in two places and must finish once in the
/// ledger.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn work_of_an_unreachable_worker_ends_before_it_restarts_elsewhere() {
    let cluster = Cluster::start(1).await;
    cluster.submit(0, &job("moved", 1, 4_000)).await;
    let started = Instant::now();
    let worker = loop {
        if let Some(worker) = cluster.show(0, "moved").await.tasks[0].worker {
            break worker;
        }
        assert!(started.elapsed() < WAIT_TIMEOUT);
    };
    while cluster.harness.workers.audit().starts == 0 {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let mut faults = cluster.harness.workers.faults(worker);
    faults.unreachable = true;
    cluster.harness.workers.set_faults(worker, faults);
    while cluster.show(0, "moved").await.tasks[0].attempt < 2 {
        assert!(started.elapsed() < WAIT_TIMEOUT);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    cluster.harness.workers.set_faults(worker, Default::default());
    assert_eq!(cluster.await_outcome(0, "moved").await.outcome, "done");
    let audit = cluster.harness.workers.audit();
    assert_eq!((audit.double_runs, audit.lapsed, audit.finished["moved/0"]), (0, 1, 1));
}

/// A job that occupies every worker is cancelled and another one submitted immediately. Guards
/// against freeing capacity before the workers have confirmed their stops: the second job would run
/// beside the first, beyond the workers' capacity.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cancelled_job_stops_and_starts_nothing_more() {
    let cluster = Cluster::start(2).await;
    cluster.submit(0, &job("wave", 60, 60_000)).await;
    let cancelled: JobStatus = cluster.ask_until(Method::DELETE, 1, "/v1/jobs/wave", &()).await;
    assert_eq!(cancelled.outcome, "cancelled");
    cluster.submit(0, &job("next", 48, 200)).await;
    cluster.await_outcome(1, "wave").await;
    let wave_starts = |audit: &agatesill_standin::workers::WorkerAudit| {
        audit.attempts.keys().filter(|task| task.starts_with("wave/")).count()
    };
    let starts = wave_starts(&cluster.harness.workers.audit());
    cluster.await_outcome(0, "next").await;
    let audit = cluster.harness.workers.audit();
    assert_eq!(wave_starts(&audit), starts);
    assert_eq!((audit.overcommitted, audit.double_runs), (0, 0));
}

/// Guards against unlimited retries of a task that crashes its workers, and against giving up other
/// tasks that are lost in these crashes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_task_that_crashes_its_workers_fails_its_job_and_no_other() {
    let cluster = Cluster::start(1).await;
    let settings = batch::settings();
    for spec in settings.cells.values().flat_map(|cell| &cell.workers) {
        let mut faults = cluster.harness.workers.faults(spec.id);
        faults.crash_classes = vec!["harmful".to_owned()];
        cluster.harness.workers.set_faults(spec.id, faults);
    }
    cluster.submit(0, &job("good", 12, 3_000)).await;
    cluster.submit(0, &JobSpec { class: "harmful".to_owned(), ..job("bad", 1, 500) }).await;
    assert_eq!(cluster.await_outcome(0, "bad").await.outcome, "failed");
    assert_eq!(cluster.await_outcome(0, "good").await.outcome, "done");
    let audit = cluster.harness.workers.audit();
    let starts = audit.attempts["bad/0"].len();
    assert!((3..=5).contains(&starts), "{starts} starts");
    assert_eq!((audit.double_runs, audit.overcommitted), (0, 0));
}

/// Guards against a job that fits into no record: it would hold up all other writes of its cell, and
/// its submitter would be told to try again.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_fits_into_no_record_is_refused_at_once() {
    let cluster = Cluster::start(1).await;
    for nth in 0..4 {
        cluster.submit(0, &job(&format!("small-{nth}"), 1, 10)).await;
    }
    let class = "c".repeat(200_000);
    let refused: Result<JobStatus, Error> =
        cluster.ask(Method::POST, 0, "/v1/jobs", &JobSpec { class, ..job("wide", 1, 10) }).await;
    let error = refused.unwrap_err();
    assert_eq!((error.kind, error.retry_after_ms), (ErrorKind::TooLarge, 0), "{error}");
    assert_eq!(cluster.await_outcome(0, "small-0").await.outcome, "done");
}

/// The store is unavailable until the lease of the only daemon has expired. Guards against a cell that
/// is claimed anew, given up for the lost lease and taken over once more, which drops the submissions
/// that wait for a commit.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cell_is_taken_over_once_after_a_lost_lease() {
    let mut base = batch::settings();
    base.store.lease_ms = 4_000;
    base.store.renew_ms = 400;
    base.cells.values_mut().for_each(|cell| cell.outage_renew_ms = 600_000);
    let (lease, renew_interval) = (Duration::from_millis(4_000), Duration::from_millis(400));
    let cluster = Cluster::start_with(1, base).await;
    cluster.submit(0, &job("long", 1, 60_000)).await;
    let epochs = || cluster.harness.workers.audit().epochs;
    let started = Instant::now();
    while epochs().len() < 6 {
        assert!(started.elapsed() < WAIT_TIMEOUT);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let before = epochs();
    let outage = Fault { kind: FaultKind::StoreOutage, target: 0 };
    cluster.harness.begin(outage).await;
    tokio::time::sleep(lease + renew_interval).await;
    cluster.harness.end(outage).await;
    let has_new_epoch = |(id, epochs): (&WorkerId, &Vec<u64>)| epochs.len() > before[id].len();
    while !epochs().iter().all(has_new_epoch) {
        assert!(started.elapsed() < WAIT_TIMEOUT);
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    tokio::time::sleep(renew_interval * 4).await;
    let added = epochs().iter().map(|(id, epochs)| epochs.len() - before[id].len()).max();
    assert_eq!(added, Some(1), "before {before:?}, after {:?}", epochs());
}

/// A daemon restarts while each call to the store takes 300 ms. Guards against a lease that expires
/// while the cells' logs are read: the cells would be claimed again and again and never be owned.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn cells_are_taken_over_while_the_store_is_slow() {
    let mut base = batch::settings();
    base.store.lease_ms = 3_000;
    base.store.renew_ms = 300;
    let cluster = Cluster::start_with(1, base).await;
    for nth in 0..4 {
        cluster.submit(0, &job(&format!("night-{nth}"), 1, 60_000)).await;
    }
    let slow = StoreFaults { delay_ms: 300, ..StoreFaults::default() };
    cluster.harness.store.set_faults(slow);
    cluster.harness.daemons[0].kill();
    cluster.harness.daemons[0].start().unwrap();
    for nth in 0..4 {
        let cancelled: JobStatus =
            cluster.ask_until(Method::DELETE, 0, &format!("/v1/jobs/night-{nth}"), &()).await;
        assert_eq!(cancelled.outcome, "cancelled");
    }
}

/// Guards against a job that runs although its cancel was told that it does not exist, while the store took
/// its time to accept it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_job_that_is_being_accepted_can_be_cancelled() {
    let cluster = Cluster::start(1).await;
    cluster.submit(0, &job("first", 1, 10)).await;
    let slow = StoreFaults { delay_ms: 300, ..StoreFaults::default() };
    cluster.harness.store.set_faults(slow);
    let wave = job("wave", 1, 60_000);
    let submitted = cluster.ask::<JobStatus>(Method::POST, 0, "/v1/jobs", &wave);
    let cancelled = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        cluster.ask::<JobStatus>(Method::DELETE, 0, "/v1/jobs/wave", &()).await
    };
    let (submitted, cancelled) = tokio::join!(submitted, cancelled);
    assert!(submitted.is_ok(), "{submitted:?}");
    assert_eq!(cancelled.unwrap().outcome, "cancelled");
    assert_eq!(cluster.await_outcome(0, "wave").await.outcome, "cancelled");
}

/// A log of the first cell that releases the same reservation twice, which the ledger asserts against.
async fn write_invalid_log(cluster: &Cluster) {
    let standin = cluster.harness.store.clone();
    let store = Store::with_transport(Arc::new(move |call, _| {
        let standin = standin.clone();
        Box::pin(async move { standin.call(call).await })
    }));
    let (mut log, replay) =
        CommitLog::take_over::<Cell, CellDelta>(store, "cell/north", "test").await.unwrap();
    let mut cell = replay.snapshot.unwrap_or_default();
    replay.deltas.iter().for_each(|delta| drop(cell.apply(delta)));
    let worker = cell.workers().next().unwrap().spec.id;
    let spec = job("imported", 1, 10);
    let running = TaskView {
        state: TaskState::Placed { worker },
        attempt: 1,
        reserved: spec.need,
        ..TaskView::unplaced()
    };
    let end =
        CellDelta::End { task: "imported/0".to_owned(), attempt: 1, outcome: AttemptOutcome::Done };
    let import = CellDelta::Import { job: spec, at_ms: 0, tasks: vec![running] };
    log.append(&[import, end]).await.unwrap();
}

/// The replay of one cell's log fails an assertion. Guards against a cell that ends the cell manager
/// of each daemon that takes it over, so that no job of any cell is accepted or run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_cell_with_an_invalid_ledger_does_not_stop_the_others() {
    let cluster = Cluster::start(2).await;
    for nth in 0..2 {
        cluster.submit(nth, &job(&format!("before-{nth}"), 1, 10)).await;
        cluster.await_outcome(nth, &format!("before-{nth}")).await;
    }
    write_invalid_log(&cluster).await;
    let mut done = 0;
    let started = Instant::now();
    // The former owner notices the other writer at its next write, and both daemons have to take the
    // cell over once.
    for round in 0.. {
        for nth in 0..2 {
            let id = format!("after-{round}-{nth}");
            let submitted: Result<JobStatus, Error> =
                cluster.ask(Method::POST, nth, "/v1/jobs", &job(&id, 1, 10)).await;
            if submitted.is_ok_and(|status| status.cell == "south") {
                cluster.await_outcome(nth, &id).await;
                done += u32::from(started.elapsed() > Duration::from_secs(8));
            }
        }
        assert!(started.elapsed() < WAIT_TIMEOUT, "{done} jobs of the other cell were run");
        if done >= 4 {
            break;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

/// Tasks that crash their workers start in the same rounds of calls as healthy ones. Guards against
/// starts that were never sent and count as crashes, which fails healthy jobs.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unsent_starts_do_not_fail_healthy_jobs() {
    let cluster = Cluster::start(1).await;
    let settings = batch::settings();
    for spec in settings.cells.values().flat_map(|cell| &cell.workers) {
        let mut faults = cluster.harness.workers.faults(spec.id);
        faults.crash_classes = vec!["harmful".to_owned()];
        cluster.harness.workers.set_faults(spec.id, faults);
    }
    let harmful = |nth: usize| JobSpec {
        class: "harmful".to_owned(),
        ..job(&format!("a-harmful-{nth}"), 6, 10)
    };
    for nth in 0..12 {
        cluster.submit(0, &harmful(nth)).await;
        cluster.submit(0, &job(&format!("z-healthy-{nth}"), 6, 10)).await;
    }
    for nth in 0..12 {
        let status = cluster.await_outcome(0, &format!("z-healthy-{nth}")).await;
        assert_eq!(status.outcome, "done", "{}", status.reason);
    }
}
