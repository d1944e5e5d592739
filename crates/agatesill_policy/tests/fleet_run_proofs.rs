//! Observations that do not prove that a run is over or never began.

#![allow(clippy::unwrap_used)] // Tests panic on a failed assumption.

mod fleet_support;

use agatesill_policy::fleet::{
    ClosedZone, EndCause, EndRow, JobPhase, Order, OrderKind, OrderOutcome, Poll, ProgressRecord,
    TaskKey, TaskRecord, WorkerIndex, WorkerStanding,
};
use fleet_support::{Harness, MS, entry, job, step};

/// Lease that each call requests.
const LEASE_MS: u64 = 5_000;

/// Number of ends in a full list.
const FULL_LIST: u64 = 500;

/// Order about the run, and its task's state in the ledger when the answer arrives.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Ordered,
    Running,
    Stopping,
}

const STAGES: [Stage; 3] = [Stage::Ordered, Stage::Running, Stage::Stopping];

/// Two workers and a job of one task.
fn two_workers() -> Harness {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    harness.fleet.accept(job("j", vec![step(1)]), harness.now_us);
    harness
}

fn starts(orders: &[Order]) -> Vec<&Order> {
    orders.iter().filter(|order| matches!(order.kind, OrderKind::Start { .. })).collect()
}

fn answer(harness: &mut Harness, order: &Order, outcome: OrderOutcome) {
    harness.fleet.order_answered(order, outcome, harness.now_us);
}

/// Handles an empty list of runs that was sent at `sent_us`.
fn poll_without_runs(harness: &mut Harness, worker: WorkerIndex, sent_us: u64, ended: Vec<EndRow>) {
    harness.advance_ms(1);
    let poll = Poll { sent_us, lease_ms: LEASE_MS, ended, ..Poll::default() };
    harness.fleet.polled(worker, &poll, harness.now_us);
}

/// Handles an empty list of runs that has just been sent.
fn poll_empty(harness: &mut Harness, worker: WorkerIndex) {
    poll_without_runs(harness, worker, harness.now_us, Vec::new());
}

/// Brings the only task to a stage and returns its start. No answer to it has arrived if it is
/// ordered; the stop has been answered if it is stopping.
fn task_at(stage: Stage) -> (Harness, Order) {
    let mut harness = two_workers();
    let start = harness.plan().remove(0);
    harness.advance_ms(10);
    harness.execute_unanswered(&start);
    if stage == Stage::Ordered {
        return (harness, start);
    }
    answer(&mut harness, &start, OrderOutcome::Done);
    if stage == Stage::Stopping {
        harness.advance_ms(10);
        harness.fleet.cancel("j", harness.now_us);
        let stop = harness.plan().remove(0);
        assert_eq!(stop.kind, OrderKind::Stop);
        answer(&mut harness, &stop, OrderOutcome::Done);
    }
    (harness, start)
}

fn used_cpu_milli(harness: &Harness, worker: WorkerIndex) -> u64 {
    harness.fleet.worker(worker).used.cpu_milli
}

/// Guards against a second run of a task whose start was answered after the poll had been sent, but
/// before the list was handled.
#[test]
fn list_that_is_older_than_the_answer_to_an_order_proves_no_absence() {
    for stage in STAGES {
        let (mut harness, start) = task_at(stage);
        let sent_us = harness.now_us - 5 * MS;
        poll_without_runs(&mut harness, start.worker, sent_us, Vec::new());
        assert!(harness.plan().is_empty(), "{stage:?}");
        assert!(used_cpu_milli(&harness, start.worker) > 0, "{stage:?}");
        harness.poll(start.worker);
        assert_eq!(harness.present("j").len(), 1, "{stage:?}");
    }
}

/// Guards against a second run of a task whose run is missing from a list because its end did not fit.
#[test]
fn full_list_of_ends_proves_no_absence() {
    for stage in [Stage::Running, Stage::Stopping] {
        let (mut harness, start) = task_at(stage);
        let others = |count: u64| -> Vec<EndRow> {
            let other = |number| EndRow {
                number,
                task: TaskKey { job: "before".to_owned(), ..start.task.clone() },
                run: number as u32,
                cause: EndCause::Done,
                saved: String::new(),
            };
            (1..=count).map(other).collect()
        };
        harness.advance_ms(5);
        let now_us = harness.now_us;
        poll_without_runs(&mut harness, start.worker, now_us, others(FULL_LIST));
        assert!(harness.plan().is_empty(), "{stage:?}");
        assert!(used_cpu_milli(&harness, start.worker) > 0, "{stage:?}");
        let now_us = harness.now_us;
        poll_without_runs(&mut harness, start.worker, now_us, others(FULL_LIST - 1));
        assert_eq!(used_cpu_milli(&harness, start.worker), 0, "{stage:?}: a shorter list is whole");
    }
}

/// Guards against a second run of a task whose start is rejected although an earlier order for the same
/// run may still be carried out.
#[test]
fn no_rejection_proves_that_an_earlier_unanswered_start_never_begins() {
    let rejections = [
        OrderOutcome::Late,
        OrderOutcome::NoRoom,
        OrderOutcome::NoTicket,
        OrderOutcome::Refused,
        OrderOutcome::Withheld,
        OrderOutcome::Malformed,
        OrderOutcome::Undelivered,
        OrderOutcome::Old,
        OrderOutcome::Fenced,
    ];
    for outcome in rejections {
        let mut harness = two_workers();
        let first = harness.plan().remove(0);
        answer(&mut harness, &first, OrderOutcome::Unanswered);
        let second = harness.plan().remove(0);
        harness.advance_ms(5);
        answer(&mut harness, &second, outcome);
        let orders = harness.plan();
        assert!(starts(&orders).is_empty(), "{outcome:?}: {orders:?}");
    }
}

/// Guards against a second run of a task whose start was given up and stopped, and which an answer to the
/// repeated start then releases before the stop has barred the first one.
#[test]
fn rejection_that_arrives_after_the_stop_of_an_unanswered_start_releases_nothing() {
    for outcome in [OrderOutcome::NoRoom, OrderOutcome::Undelivered, OrderOutcome::Withheld] {
        let mut harness = two_workers();
        let first = harness.plan().remove(0);
        answer(&mut harness, &first, OrderOutcome::Unanswered);
        let second = harness.plan().remove(0);
        harness.advance_ms(2_600);
        poll_empty(&mut harness, first.worker);
        let stop = harness.plan().remove(0);
        assert_eq!(stop.kind, OrderKind::Stop, "the start is overdue");
        answer(&mut harness, &second, outcome);
        harness.advance_ms(5);
        poll_empty(&mut harness, first.worker);
        assert!(starts(&harness.plan()).is_empty(), "{outcome:?}");
        assert!(used_cpu_milli(&harness, first.worker) > 0, "{outcome:?}");
        answer(&mut harness, &stop, OrderOutcome::Done);
        harness.advance_ms(5);
        poll_empty(&mut harness, first.worker);
        assert_eq!(used_cpu_milli(&harness, first.worker), 0, "{outcome:?}");
    }
}

/// Guards against a second run of a task whose stop has no answer, or none that tells that it was obeyed.
#[test]
fn stop_without_an_obeying_answer_bars_no_run() {
    let outcomes = [
        OrderOutcome::Unanswered,
        OrderOutcome::Undelivered,
        OrderOutcome::Refused,
        OrderOutcome::Malformed,
        OrderOutcome::NoRoom,
        OrderOutcome::Fenced,
    ];
    for outcome in outcomes {
        let mut harness = two_workers();
        let start = harness.plan().remove(0);
        harness.advance_ms(2_600);
        poll_empty(&mut harness, start.worker);
        let stop = harness.plan().remove(0);
        assert_eq!(stop.kind, OrderKind::Stop, "the start is overdue");
        answer(&mut harness, &stop, outcome);
        for _ in 0..3 {
            harness.advance_ms(50);
            poll_empty(&mut harness, start.worker);
            assert!(starts(&harness.plan()).is_empty(), "{outcome:?}");
        }
    }
}

/// Guards against a second run of a task whose start has no answer and is missing from a list.
#[test]
fn unanswered_start_that_is_missing_from_a_list_may_begin() {
    let mut harness = two_workers();
    let start = harness.plan().remove(0);
    for _ in 0..10 {
        harness.advance_ms(200);
        poll_empty(&mut harness, start.worker);
        assert!(harness.plan().is_empty());
    }
}

/// Guards against a second run of a task whose run goes on until the end of a lease on the slowest clock,
/// requested by a call that was in flight for as long as calls may be.
#[test]
fn lease_of_a_slow_clock_has_not_expired_before_its_end() {
    for is_listed in [true, false] {
        let (mut harness, start) = task_at(Stage::Running);
        let requested_us = harness.now_us;
        harness.fleet.lease_requested(start.worker, requested_us);
        harness.fleet.worker_silent(start.worker, harness.now_us);
        let id = harness.fleet.worker(start.worker).entry.id.clone();
        if !is_listed {
            harness.fleet.worker_unlisted(&id);
        }
        let end_us = requested_us + (LEASE_MS * 102 / 100 + 300) * MS;
        harness.fleet.expire_workers(end_us, end_us);
        assert!(used_cpu_milli(&harness, start.worker) > 0, "listed: {is_listed}");
        harness.fleet.expire_workers(end_us + 1, end_us + 1);
        assert_eq!(used_cpu_milli(&harness, start.worker), 0, "listed: {is_listed}");
    }
}

/// Guards against a listed worker whose lease counts as expired while an answer that renewed it waits.
#[test]
fn lease_of_a_listed_worker_does_not_expire_while_older_answers_wait() {
    let (mut harness, start) = task_at(Stage::Running);
    harness.fleet.worker_silent(start.worker, harness.now_us);
    let as_of_us = harness.now_us;
    harness.advance_ms(20_000);
    harness.fleet.expire_workers(as_of_us, harness.now_us);
    assert!(used_cpu_milli(&harness, start.worker) > 0);
    harness.fleet.expire_workers(harness.now_us, harness.now_us);
    assert_eq!(used_cpu_milli(&harness, start.worker), 0);
}

/// Guards against a lease that the handling of a later request shortens, as answers overtake each other.
#[test]
fn earlier_request_that_is_handled_later_shortens_no_lease() {
    let (mut harness, start) = task_at(Stage::Running);
    let newest_us = harness.now_us + 400 * MS;
    harness.fleet.lease_requested(start.worker, newest_us);
    let until_us = harness.fleet.worker(start.worker).lease_until_us;
    harness.fleet.lease_requested(start.worker, harness.now_us);
    harness.advance_ms(500);
    harness.poll_sent(start.worker, newest_us - 200 * MS);
    assert_eq!(harness.fleet.worker(start.worker).lease_until_us, until_us);
}

/// Guards against a second run of a task whose lease a predecessor has renewed between the time that the
/// successor's first poll was sent and its arrival.
#[test]
fn first_poll_of_a_successor_bounds_leases_from_its_answer_on() {
    let (mut harness, start) = task_at(Stage::Running);
    let id = harness.fleet.worker(start.worker).entry.id.clone();
    let rack = harness.fleet.worker(start.worker).entry.rack.clone();
    let spec = job("j", vec![step(1)]);
    harness.fleet = harness.successor(&[spec], vec![entry(&id, &rack)]);
    let (worker, _) =
        harness.fleet.live_workers().find(|(_, worker)| worker.entry.id == id).unwrap();
    let fake_worker = harness.workers.remove(&start.worker).unwrap();
    harness.workers.clear();
    harness.workers.insert(worker, fake_worker);
    let sent_us = harness.now_us;
    harness.advance_ms(600);
    harness.poll_sent(worker, sent_us);
    let answered_us = harness.now_us;
    harness.fleet.worker_silent(worker, harness.now_us);
    let end_us = answered_us + LEASE_MS * 102 / 100 * MS;
    harness.fleet.expire_workers(end_us, end_us);
    assert!(used_cpu_milli(&harness, worker) > 0);
}

/// Guards against a second run of a task on a silent worker: that no predecessor renews leases any more
/// leaves those that it has renewed.
#[test]
fn leases_outlive_the_planner_that_requested_them() {
    let (mut harness, start) = task_at(Stage::Running);
    let id = harness.fleet.worker(start.worker).entry.id.clone();
    let spec = job("j", vec![step(1)]);
    harness.fleet = harness.successor(&[spec], vec![entry(&id, "r1-1")]);
    let (worker, _) =
        harness.fleet.live_workers().find(|(_, worker)| worker.entry.id == id).unwrap();
    harness.advance_ms(1_000);
    let stopped_us = harness.now_us;
    harness.fleet.predecessors_stopped(stopped_us);
    let end_us = stopped_us + LEASE_MS * 102 / 100 * MS;
    harness.fleet.expire_workers(end_us, end_us);
    assert!(used_cpu_milli(&harness, worker) > 0);
    let past_us = end_us + 301 * MS;
    harness.fleet.expire_workers(past_us, past_us);
    assert_eq!(used_cpu_milli(&harness, worker), 0);
}

/// Guards against a successor that starts a recorded task elsewhere before its worker has answered, at
/// each stage of the task.
#[test]
fn successor_releases_no_task_before_the_first_answer_of_its_worker() {
    for stage in STAGES {
        let (mut harness, start) = task_at(stage);
        harness.commit();
        let ids: Vec<String> =
            harness.fleet.live_workers().map(|(_, worker)| worker.entry.id.clone()).collect();
        let entries = ids.iter().map(|id| entry(id, "r1-1")).collect();
        let spec = job("j", vec![step(1)]);
        let used_id = harness.fleet.worker(start.worker).entry.id.clone();
        harness.fleet = harness.successor(&[spec], entries);
        let index_of = |harness: &Harness, is_used: bool| {
            let mut live = harness.fleet.live_workers();
            live.find(|(_, worker)| (worker.entry.id == used_id) == is_used).unwrap().0
        };
        let (used, other) = (index_of(&harness, true), index_of(&harness, false));
        let fake_worker = harness.workers.remove(&start.worker).unwrap();
        harness.workers.clear();
        harness.workers.insert(used, fake_worker);
        for _ in 0..3 {
            poll_empty(&mut harness, other);
            assert!(starts(&harness.plan()).is_empty(), "{stage:?}");
        }
        assert!(used_cpu_milli(&harness, used) > 0, "{stage:?}");
        harness.poll(used);
        assert!(starts(&harness.plan()).is_empty(), "{stage:?}");
        assert_eq!(harness.present("j").len(), 1, "{stage:?}");
    }
}

/// Guards against an answer to an order about a former run that counts for the present one on the same
/// worker.
#[test]
fn answers_about_a_former_run_decide_nothing_about_the_present_one() {
    let outcomes =
        [OrderOutcome::Done, OrderOutcome::NoRoom, OrderOutcome::Old, OrderOutcome::Unanswered];
    for outcome in outcomes {
        let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
        harness.fleet.accept(job("j", vec![step(1)]), harness.now_us);
        let former = harness.plan().remove(0);
        harness.execute(&former);
        harness.end(former.worker, &former.task, former.run, EndCause::Lapsed);
        harness.poll(former.worker);
        let present = harness.plan().remove(0);
        assert_eq!((present.worker, present.run), (former.worker, former.run + 1));
        for _ in 0..2 {
            answer(&mut harness, &former, outcome);
        }
        for _ in 0..3 {
            harness.advance_ms(500);
            poll_empty(&mut harness, present.worker);
            assert!(harness.plan().is_empty(), "{outcome:?}");
        }
    }
}

/// Guards against the rejection of a start by a worker that has lost the task since, which would release
/// the run on another worker.
#[test]
fn answer_of_a_former_worker_decides_nothing_about_the_present_one() {
    for outcome in [OrderOutcome::NoRoom, OrderOutcome::Undelivered, OrderOutcome::Old] {
        let mut harness = two_workers();
        let former = harness.plan().remove(0);
        harness.fleet.worker_superseded(former.worker, "crashed", harness.now_us, harness.now_us);
        let present = harness.plan().remove(0);
        assert_ne!(present.worker, former.worker);
        harness.execute(&present);
        answer(&mut harness, &Order { run: present.run, ..former.clone() }, outcome);
        answer(&mut harness, &former, outcome);
        assert!(harness.plan().is_empty(), "{outcome:?}");
        assert_eq!(harness.present("j").len(), 1, "{outcome:?}");
    }
}

/// Guards against the end of a former run that ends the present one, at each stage of the present one.
#[test]
fn end_of_a_former_run_does_not_end_the_present_one() {
    for cause in [EndCause::Done, EndCause::Lapsed, EndCause::Stopped, EndCause::Failed] {
        for stage in STAGES {
            let (mut harness, start) = task_at(stage);
            let former = EndRow {
                number: 1,
                task: start.task.clone(),
                run: start.run - 1,
                cause,
                saved: String::new(),
            };
            for worker in [start.worker, 1 - start.worker] {
                let now_us = harness.now_us - 5 * MS;
                poll_without_runs(&mut harness, worker, now_us, vec![former.clone()]);
            }
            assert!(starts(&harness.plan()).is_empty(), "{cause:?} {stage:?}");
            assert!(used_cpu_milli(&harness, start.worker) > 0, "{cause:?} {stage:?}");
        }
    }
}

/// Guards against the end of the present run, as listed by a worker on which it is not allocated, that
/// ends the run: a rejected start with the same number never ran there.
#[test]
fn end_listed_by_another_worker_does_not_end_a_run() {
    for cause in [EndCause::Done, EndCause::Lapsed, EndCause::Stopped, EndCause::Failed] {
        for stage in STAGES {
            let (mut harness, start) = task_at(stage);
            let end = EndRow {
                number: 1,
                task: start.task.clone(),
                run: start.run,
                cause,
                saved: String::new(),
            };
            let now_us = harness.now_us;
            poll_without_runs(&mut harness, 1 - start.worker, now_us, vec![end]);
            assert!(used_cpu_milli(&harness, start.worker) > 0, "{cause:?} {stage:?}");
            assert!(starts(&harness.plan()).is_empty(), "{cause:?} {stage:?}");
        }
    }
}

/// Guards against an end that is listed again until it is acknowledged and would end the next run of its
/// task, or count twice.
#[test]
fn end_that_is_listed_again_is_applied_once() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(job("j", vec![step(1)]), harness.now_us);
    let start = harness.plan().remove(0);
    harness.execute(&start);
    harness.end(start.worker, &start.task, start.run, EndCause::Failed);
    harness.advance_ms(5);
    harness.poll(start.worker);
    harness.poll(start.worker);
    assert_eq!(harness.fleet.counts().failed, 1);
    harness.settle();
    harness.poll(start.worker);
    harness.poll(start.worker);
    assert_eq!(harness.fleet.counts().failed, 1);
    assert_eq!(harness.present("j").len(), 1);
    assert_eq!(harness.fleet.state_of("j"), Some((JobPhase::Active, true)));
}

/// Guards against a task that runs twice because a list of a worker that was given up, sent before that
/// and handled after its reinstatement, counts as the list of what runs there now.
#[test]
fn list_from_before_a_reinstatement_proves_no_absence() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.worker_unlisted("w1");
    let sent_us = harness.now_us;
    harness.fleet.worker_silent(0, harness.now_us);
    harness.advance_ms(20_000);
    harness.fleet.expire_workers(harness.now_us, harness.now_us);
    assert_eq!(harness.fleet.worker(0).standing, WorkerStanding::Gone);
    harness.list(entry("w1", "r1-1"));
    harness.poll(0);
    harness.fleet.accept(job("j", vec![step(1)]), harness.now_us);
    harness.settle();
    assert_eq!(harness.present("j").len(), 1);
    poll_without_runs(&mut harness, 0, sent_us, Vec::new());
    assert!(harness.plan().is_empty());
    harness.poll(0);
    assert_eq!(harness.present("j").len(), 1);
}

/// Guards against a start whose record is not stored because the choice was made after the record was
/// taken: a successor would not know of the run.
#[test]
fn record_that_was_taken_before_a_choice_orders_no_start() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(job("j", vec![step(1), step(1)]), harness.now_us);
    harness.fleet.plan(harness.now_us, harness.now_us / MS);
    let later = harness.now_us + 10_000 * MS;
    let writes = harness.fleet.take_writes(15, later);
    let zone = ClosedZone { zone: "a".to_owned(), revision: 2 };
    harness.fleet.close_zone(&zone, harness.now_us);
    harness.fleet.open_zone("a", 3);
    harness.fleet.plan(harness.now_us, harness.now_us / MS);
    writes.iter().for_each(|write| harness.fleet.committed(write, 2, harness.now_us));
    assert!(starts(&harness.fleet.take_orders()).is_empty(), "the choices are not recorded");
    let writes = harness.fleet.take_writes(15, later);
    writes.iter().for_each(|write| harness.fleet.committed(write, 3, harness.now_us));
    assert_eq!(starts(&harness.fleet.take_orders()).len(), 2);
}

/// Guards against a task that runs again although it is done: the answer that its run is over overtakes a
/// list from before the run, and the one that names its end.
#[test]
fn list_that_is_older_than_the_answer_that_a_run_is_over_proves_no_absence() {
    let (mut harness, start) = task_at(Stage::Ordered);
    harness.end(start.worker, &start.task, start.run, EndCause::Done);
    answer(&mut harness, &start, OrderOutcome::Old);
    let sent_us = harness.now_us - 5 * MS;
    poll_without_runs(&mut harness, start.worker, sent_us, Vec::new());
    assert!(harness.plan().is_empty());
    harness.poll(start.worker);
    harness.settle();
    assert_eq!(harness.fleet.state_of("j"), Some((JobPhase::Completed, true)));
}

/// Guards against a task that runs again although its run had finished before its lease expired.
#[test]
fn end_that_is_listed_after_the_lease_counts_while_the_task_waits() {
    let (mut harness, start) = task_at(Stage::Running);
    harness.end(start.worker, &start.task, start.run, EndCause::Done);
    harness.fleet.worker_silent(start.worker, harness.now_us);
    harness.advance_ms(20_000);
    harness.fleet.expire_workers(harness.now_us, harness.now_us);
    assert_eq!(used_cpu_milli(&harness, start.worker), 0);
    harness.poll(start.worker);
    harness.settle();
    assert_eq!(harness.fleet.state_of("j"), Some((JobPhase::Completed, true)));
    assert!(harness.present("j").is_empty());
}

/// Guards against a record that names a task twice: the second worker would take the place of the first, on
/// which the run may be present.
#[test]
fn record_that_names_a_task_twice_counts_one_run() {
    let (mut harness, start) = task_at(Stage::Running);
    let id = |harness: &Harness, index| harness.fleet.worker(index).entry.id.clone();
    let (used, other) = (id(&harness, start.worker), id(&harness, 1 - start.worker));
    let (text, _) = harness.stored.get_mut("j").unwrap();
    let mut record: ProgressRecord = serde_json::from_str(text).unwrap();
    let second = TaskRecord { worker: other.clone(), ..record.tasks[0].clone() };
    record.tasks.push(second);
    *text = serde_json::to_string(&record).unwrap();
    let entries = [&used, &other].map(|id| entry(id, "r1-1")).to_vec();
    harness.fleet = harness.successor(&[job("j", vec![step(1)])], entries);
    for (_, worker) in harness.fleet.live_workers() {
        let expected = if worker.entry.id == used { 1_000 } else { 0 };
        assert_eq!(worker.used.cpu_milli, expected, "{}", worker.entry.id);
    }
}

/// Guards against a second run of a task whose start is under way while its worker shrinks or its zone is
/// closed: only what has not been ordered can be withdrawn.
#[test]
fn start_that_has_been_ordered_is_not_withdrawn() {
    for cause in ["smaller worker", "closed zone"] {
        let (mut harness, start) = task_at(Stage::Ordered);
        let now_us = harness.now_us;
        match cause {
            "smaller worker" => {
                let mut smaller = harness.fleet.worker(start.worker).entry.clone();
                smaller.capacity.cpu_milli = 500;
                harness.list(smaller);
            }
            _ => {
                let zone = ClosedZone { zone: "a".to_owned(), revision: 2 };
                harness.fleet.close_zone(&zone, now_us);
            }
        }
        assert!(used_cpu_milli(&harness, start.worker) > 0, "{cause}");
        assert!(starts(&harness.fleet.take_orders()).is_empty(), "{cause}");
    }
}

/// Guards against the same while the record of its job is rejected.
#[test]
fn start_that_has_been_ordered_is_not_withdrawn_with_a_rejected_record() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(job("j", vec![step(2)]), harness.now_us);
    let orders = harness.plan();
    assert_eq!(starts(&orders).len(), 2);
    let ended = EndRow {
        number: 1,
        task: orders[1].task.clone(),
        run: orders[1].run,
        cause: EndCause::Failed,
        saved: String::new(),
    };
    let sent_us = harness.now_us;
    poll_without_runs(&mut harness, 0, sent_us, vec![ended]);
    let mut rejections = 0;
    for _ in 0..20 {
        harness.fleet.plan(harness.now_us, harness.now_us / MS);
        harness.advance_ms(3_000);
        harness.fleet.store_answered(harness.now_us);
        for write in harness.fleet.take_writes(15, harness.now_us) {
            harness.advance_ms(1);
            harness.fleet.not_committed(&write, harness.now_us);
            rejections += 1;
        }
    }
    assert!(rejections > 4, "{rejections}");
    assert_eq!(used_cpu_milli(&harness, 0), 1_000, "the first start is under way");
}

/// Guards against an answer of a terminated worker that waits, and would make it count as alive.
#[test]
fn answer_that_waited_revives_no_terminated_worker() {
    let (mut harness, start) = task_at(Stage::Running);
    let sent_us = harness.now_us;
    harness.fleet.worker_superseded(
        start.worker,
        "another incarnation",
        harness.now_us,
        harness.now_us,
    );
    poll_without_runs(&mut harness, start.worker, sent_us, Vec::new());
    assert_eq!(harness.fleet.worker(start.worker).standing, WorkerStanding::Gone);
    let orders = harness.plan();
    assert!(starts(&orders).iter().all(|order| order.worker != start.worker), "{orders:?}");
}

/// Guards against two runs of a task whose start a worker carries out after it was given up with the
/// lease: the worker has a lease again since it answers.
#[test]
fn start_that_was_lost_with_a_lease_is_barred_when_the_worker_answers_again() {
    let mut harness = two_workers();
    let late = harness.plan().remove(0);
    answer(&mut harness, &late, OrderOutcome::Unanswered);
    harness.fleet.worker_silent(late.worker, harness.now_us);
    harness.plan();
    let other = 1 - late.worker;
    harness.advance_ms(5_500);
    harness.poll(other);
    harness.fleet.expire_workers(harness.now_us, harness.now_us);
    harness.settle();
    assert_eq!(harness.present("j").len(), 1, "the task runs elsewhere after the lease");
    poll_empty(&mut harness, late.worker);
    let bars_late_start = |order: &Order| {
        order.kind == OrderKind::Stop && (order.worker, order.run) == (late.worker, late.run)
    };
    let orders = harness.plan();
    assert!(orders.iter().any(bars_late_start), "{orders:?}");
}
