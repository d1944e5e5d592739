//! Orders that are lost, late or overtaken, and the runs that they are about.

mod fleet_support;

use agatesill_policy::fleet::{
    EndCause, JobPhase, Order, OrderKind, OrderOutcome, Step, WorkerStanding,
};
use fleet_support::{Harness, MS, entry, job, step};

fn starts(orders: &[Order]) -> Vec<&Order> {
    orders.iter().filter(|order| matches!(order.kind, OrderKind::Start { .. })).collect()
}

#[test]
fn a_job_runs_its_steps_in_order_to_the_end() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    let second = Step { after: vec![0], ..step(1) };
    rig.fleet.accept(job("j", vec![step(2), second]), rig.now_us);
    rig.settle();
    assert_eq!(rig.present("j").len(), 2, "only the first step's turn has come");
    for (worker, task, run) in rig.present("j") {
        rig.end(worker, &task, run, EndCause::Done);
    }
    rig.poll_all();
    rig.settle();
    let runs = rig.present("j");
    assert_eq!(runs.len(), 1);
    assert_eq!(runs[0].1.step, 1);
    rig.end(runs[0].0, &runs[0].1, runs[0].2, EndCause::Done);
    rig.poll_all();
    rig.settle();
    assert_eq!(rig.fleet.state_of("j"), Some((JobPhase::Completed, true)));
}

/// A broker's check is placed; the store does not take the record for a while. If the order went
/// out all the same, a successor would read a ledger without that run and start a second one.
#[test]
fn no_start_goes_out_before_its_record_is_stored() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(job("j", vec![step(1)]), rig.now_us);
    rig.fleet.plan(rig.now_us, rig.now_us / MS);
    let writes = rig.fleet.take_writes(15, rig.now_us);
    assert_eq!(writes.len(), 1);
    assert!(rig.fleet.take_orders().is_empty());
    rig.fleet.not_committed(&writes[0], rig.now_us);
    assert!(rig.fleet.take_orders().is_empty());
    assert_eq!(starts(&rig.plan()).len(), 1);
}

/// A portfolio review is cancelled in the second in which the store forgot its history. Both keys
/// are read anew, the cancel first, by the order of keys. A ledger that ignores a cancel of a job it
/// does not know starts the review after the caller was told that it is cancelled.
#[test]
fn a_cancel_that_is_heard_of_before_its_job_holds() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.cancel("j", rig.now_us);
    rig.fleet.accept(job("j", vec![step(2)]), rig.now_us);
    rig.settle();
    assert!(rig.orders.is_empty(), "{:?}", rig.orders);
    assert_eq!(rig.fleet.state_of("j"), Some((JobPhase::Cancelled, false)));
}

/// A start is not answered and was carried out. It is sent again with the same number, which the
/// worker takes for the same run; a new number elsewhere would price an entry twice.
#[test]
fn an_unanswered_start_is_repeated_at_the_same_worker_under_the_same_number() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    rig.fleet.accept(job("j", vec![step(1)]), rig.now_us);
    let orders = rig.plan();
    rig.carry_out(&orders[0]);
    rig.fleet.order_answered(&orders[0], OrderOutcome::Unanswered, rig.now_us);
    let again = rig.plan();
    assert_eq!(again.len(), 1);
    assert_eq!((again[0].worker, again[0].run), (orders[0].worker, orders[0].run));
    rig.execute(&again[0]);
    rig.poll_all();
    rig.settle();
    assert_eq!(rig.present("j").len(), 1);
}

/// A worker leaves a start unanswered twice and carries it out three seconds later. By then the task
/// runs elsewhere. The stop that was sent for the first run bars it; without it both would run.
#[test]
fn a_start_that_stays_unanswered_is_barred_before_the_task_goes_elsewhere() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    rig.fleet.accept(job("j", vec![step(1)]), rig.now_us);
    let first = rig.plan().remove(0);
    rig.fleet.order_answered(&first, OrderOutcome::Unanswered, rig.now_us);
    let second = rig.plan().remove(0);
    rig.fleet.order_answered(&second, OrderOutcome::Unanswered, rig.now_us);
    let bar = rig.plan();
    assert_eq!(bar.len(), 1, "nothing starts elsewhere before the bar holds: {bar:?}");
    assert_eq!((bar[0].worker, &bar[0].kind), (first.worker, &OrderKind::Stop));
    rig.execute(&bar[0]);
    rig.advance_ms(5);
    rig.poll_all();
    let elsewhere = rig.plan();
    assert_eq!(starts(&elsewhere).len(), 1);
    assert!(elsewhere[0].run > first.run);
}

/// A worker leaves a start unanswered, rejects the same start for want of room when it is sent again,
/// and carries the first one out three seconds later, when there is room. By then the task has run
/// elsewhere and its end is acknowledged; without a stop a watcher would be doubled or an entry priced
/// twice.
#[test]
fn a_start_rejected_after_it_was_unanswered_once_is_barred_as_well() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    rig.fleet.accept(job("j", vec![step(1)]), rig.now_us);
    let first = rig.plan().remove(0);
    rig.fleet.order_answered(&first, OrderOutcome::Unanswered, rig.now_us);
    let second = rig.plan().remove(0);
    rig.fleet.order_answered(&second, OrderOutcome::NoRoom, rig.now_us);
    let bar = rig.plan();
    assert!(starts(&bar).is_empty(), "the first may still be carried out: {bar:?}");
    assert_eq!((bar[0].worker, &bar[0].kind), (first.worker, &OrderKind::Stop));
    rig.execute(&bar[0]);
    rig.advance_ms(5);
    rig.poll_all();
    let elsewhere = rig.plan();
    assert_eq!(starts(&elsewhere).len(), 1);
    assert!(elsewhere[0].run > first.run);
}

/// A worker calls a run old: it has ended there, but the answer overtook the list of ends. Starting
/// at once under a higher number would run a finished task again.
#[test]
fn a_run_called_old_waits_for_the_worker_to_say_how_it_ended() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(job("j", vec![step(1)]), rig.now_us);
    let start = rig.plan().remove(0);
    rig.carry_out(&start);
    rig.end(start.worker, &start.task, start.run, EndCause::Done);
    rig.fleet.order_answered(&start, OrderOutcome::Old, rig.now_us);
    assert!(starts(&rig.plan()).is_empty());
    rig.advance_ms(5);
    rig.poll_all();
    rig.settle();
    assert_eq!(rig.fleet.state_of("j"), Some((JobPhase::Completed, true)));
}

/// A poll is on its way when the network to a worker is cut; its answer is lost, but the lease was
/// renewed. Counting the lease from the last answer would free the tasks 200 ms too early, and for
/// that long two runs of each would exist.
#[test]
fn a_lease_counts_from_the_last_call_that_asked_for_it_answered_or_not() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    rig.fleet.accept(job("j", vec![step(1)]), rig.now_us);
    rig.settle();
    let worker = rig.present("j")[0].0;
    rig.poll_all();
    rig.advance_ms(500);
    let asked_us = rig.now_us;
    rig.fleet.lease_requested(worker, asked_us);
    rig.fleet.worker_silent(worker, rig.now_us + 1_200 * MS);
    rig.now_us = asked_us + 5_050 * MS;
    rig.fleet.expire_workers(rig.now_us, rig.now_us);
    assert!(starts(&rig.plan()).is_empty(), "the lease of a slow clock has not ended yet");
    rig.now_us = asked_us + 5_500 * MS;
    rig.fleet.expire_workers(rig.now_us, rig.now_us);
    assert_eq!(starts(&rig.plan()).len(), 1);
}

/// A job is cancelled while its worker is not registered, as after an outage of the store; the stop
/// has nowhere to go. The worker comes back and the task runs on, hours after its cancel.
#[test]
fn a_stop_is_repeated_while_the_run_is_still_there() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(job("j", vec![step(1)]), rig.now_us);
    rig.settle();
    rig.poll_all();
    rig.fleet.cancel("j", rig.now_us);
    let lost = rig.plan();
    assert!(lost.iter().any(|order| order.kind == OrderKind::Stop));
    rig.advance_ms(2_000);
    rig.poll_all();
    let again = rig.plan();
    assert!(again.iter().any(|order| order.kind == OrderKind::Stop), "{again:?}");
    again.iter().for_each(|order| rig.execute(order));
    rig.poll_all();
    assert!(rig.present("j").is_empty());
}

/// The address of a dead worker answers again, as another incarnation. What ran on the old one is over at
/// once: waiting for its lease would leave a desk job five seconds without a run.
#[test]
fn another_life_at_the_address_ends_the_old_one_at_once() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(job("j", vec![step(1)]), rig.now_us);
    rig.settle();
    let old = rig.present("j")[0].0;
    let mut reborn = entry("w1", "r1-1");
    reborn.id = "w1-reborn".to_owned();
    let new = rig.list(reborn);
    assert_eq!(rig.fleet.worker(old).standing, WorkerStanding::Gone);
    rig.poll(new);
    let orders = rig.plan();
    assert_eq!(starts(&orders).len(), 1);
    assert_eq!((orders[0].worker, orders[0].run), (new, 2));
}

/// A worker without room rejects a start. Tried again at once, the next one is rejected as well,
/// and each rejection is paid for.
#[test]
fn a_worker_that_rejects_for_room_gets_nothing_for_a_moment() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(job("j", vec![step(1)]), rig.now_us);
    let start = rig.plan().remove(0);
    rig.fleet.order_answered(&start, OrderOutcome::NoRoom, rig.now_us);
    assert!(starts(&rig.plan()).is_empty());
    rig.advance_ms(500);
    assert_eq!(starts(&rig.plan())[0].run, 2);
}

/// A worker's end is acknowledged only when its effect is stored. Acknowledged before, it would be
/// lost with this process, and the task would run again.
#[test]
fn an_end_is_acknowledged_after_its_record_is_stored() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(job("j", vec![step(1)]), rig.now_us);
    rig.settle();
    let (worker, task, run) = rig.present("j").remove(0);
    rig.end(worker, &task, run, EndCause::Done);
    rig.poll(worker);
    assert_eq!(rig.fleet.acked_end(worker), 0);
    rig.commit();
    assert_eq!(rig.fleet.acked_end(worker), 1);
}

/// A job whose tasks fail by their own fault ends as failed after the queue's attempts, and a
/// sound worker is not closed for it, since only one job failed there.
#[test]
fn a_hopeless_job_fails_without_closing_its_worker() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(job("j", vec![step(1)]), rig.now_us);
    for _ in 0..3 {
        rig.settle();
        let (worker, task, run) = rig.present("j").remove(0);
        rig.end(worker, &task, run, EndCause::Failed);
        rig.poll_all();
    }
    rig.settle();
    assert_eq!(rig.fleet.state_of("j"), Some((JobPhase::Failed, true)));
    rig.fleet.accept(job("k", vec![step(1)]), rig.now_us);
    assert_eq!(starts(&rig.plan()).len(), 1);
}

/// A worker fails everything it starts, of several jobs. Used on, it would eat up the attempts of
/// every job in the queue.
#[test]
fn a_worker_that_fails_several_jobs_gets_no_more() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    for id in ["j", "k", "l"] {
        rig.fleet.accept(job(id, vec![step(1)]), rig.now_us);
    }
    rig.settle();
    for id in ["j", "k", "l"] {
        let (worker, task, run) = rig.present(id).remove(0);
        rig.end(worker, &task, run, EndCause::Failed);
    }
    rig.poll_all();
    assert!(starts(&rig.plan()).is_empty());
    rig.advance_ms(4_500);
    rig.poll_all();
    assert_eq!(starts(&rig.plan()).len(), 3, "it is tried again some time");
}

/// A worker announces that it leaves. No start goes there after that, and lasting tasks move while
/// they can; left until the end they would be missing for the time of a lease.
#[test]
fn a_leaving_worker_is_emptied_of_lasting_tasks() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    let watch = Step { is_lasting: true, ..step(1) };
    rig.fleet.accept(job("j", vec![watch]), rig.now_us);
    rig.settle();
    rig.poll_all();
    let (worker, ..) = rig.present("j").remove(0);
    let mut leaving = rig.fleet.worker(worker).entry.clone();
    leaving.is_leaving = true;
    leaving.leaves_in_ms = 2_000;
    rig.list(leaving);
    rig.settle();
    rig.poll_all();
    rig.settle();
    let runs = rig.present("j");
    assert_eq!(runs.len(), 1);
    assert_ne!(runs[0].0, worker);
    assert_eq!(runs[0].2, 2);
}

/// A gang of four meets workers with room for three. Started in part, its members would wait for
/// the others, end alone, and have wasted what they held.
#[test]
fn a_gang_starts_as_a_whole_or_not_at_all() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    let mut gang = Step { is_gang: true, ..step(4) };
    gang.need.cpu_milli = 5_000;
    rig.fleet.accept(job("j", vec![gang]), rig.now_us);
    assert!(starts(&rig.plan()).is_empty());
    rig.list(entry("w22", "r1-1"));
    rig.poll_all();
    let orders = rig.plan();
    let runs: Vec<u32> = starts(&orders).iter().map(|order| order.run).collect();
    assert_eq!(runs, [1, 1, 1, 1]);
}

/// A start is not answered and waits to be sent again when its job is cancelled. Sent after the
/// stop, it may overtake it, and a cancelled task would run until the stop came.
#[test]
fn a_start_that_waits_to_be_repeated_is_dropped_by_a_cancel() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(job("j", vec![step(1)]), rig.now_us);
    let start = rig.plan().remove(0);
    rig.fleet.order_answered(&start, OrderOutcome::Unanswered, rig.now_us);
    rig.fleet.cancel("j", rig.now_us);
    let orders = rig.plan();
    assert!(starts(&orders).is_empty(), "{orders:?}");
    assert!(orders.iter().any(|order| order.kind == OrderKind::Stop));
}

/// A watcher fails on a worker that fails what it starts, and no other worker has room. Kept away until
/// the worker is tried again, for up to half a minute, nobody would watch the ledger; a lasting task has
/// no attempts to lose, so it goes back.
#[test]
fn a_lasting_task_goes_to_a_closed_worker_rather_than_nowhere() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    let watch = Step { is_lasting: true, ..step(1) };
    rig.fleet.accept(job("watch", vec![watch]), rig.now_us);
    for id in ["j", "k", "l"] {
        rig.fleet.accept(job(id, vec![step(1)]), rig.now_us);
    }
    rig.settle();
    for id in ["watch", "j", "k", "l"] {
        let (worker, task, run) = rig.present(id).remove(0);
        rig.end(worker, &task, run, EndCause::Failed);
    }
    rig.poll_all();
    assert!(starts(&rig.plan()).is_empty(), "another worker may come to have room");
    rig.advance_ms(1_600);
    rig.poll_all();
    let orders = rig.plan();
    let names: Vec<&str> = starts(&orders).iter().map(|o| o.task.job.as_str()).collect();
    assert_eq!(names, ["watch"]);
}

/// Callers were told that four jobs wait while twenty-seven did: the planner had chosen workers for the
/// others, but its orders to start them lagged behind by seconds, and a job counted as begun from the
/// choice on. A job waits until one of its runs is known to have begun.
#[test]
fn a_job_whose_start_is_on_its_way_still_counts_as_waiting() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(job("j1", vec![step(2)]), rig.now_us);
    let orders = rig.plan();
    assert_eq!(orders.len(), 2);
    assert_eq!(rig.fleet.pending("desk"), 1, "nothing has been started yet");
    rig.execute(&orders[0]);
    assert_eq!(rig.fleet.pending("desk"), 0);
}

/// A successor reads a record that names a start which was ordered, or was about to be. Until a worker
/// shows the run, the job counts as waiting.
#[test]
fn after_a_takeover_an_ordered_start_is_no_proof_that_a_job_has_begun() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    let spec = job("j1", vec![step(1)]);
    rig.fleet.accept(spec.clone(), rig.now_us);
    let orders = rig.plan();
    let mut next = rig.successor(&[spec], vec![entry("w1", "r1-1")]);
    assert_eq!(next.pending("desk"), 1);
    rig.carry_out(&orders[0]);
    let running = rig.workers[&0].running.values().cloned().collect();
    let poll = agatesill_policy::fleet::Poll {
        sent_us: rig.now_us,
        lease_ms: 5_000,
        clock_ms: rig.now_us / MS,
        running,
        ended: Vec::new(),
    };
    next.polled(0, &poll, rig.now_us + MS);
    assert_eq!(next.pending("desk"), 0);
}

/// A job has ended and only its phase is kept. Its caller asks for it, hands it in again because the
/// first answer was lost, and cancels it late: it is still told as completed, and never runs again.
#[test]
fn a_retired_job_is_remembered_and_never_runs_again() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    let spec = job("j1", vec![step(1)]);
    rig.fleet.accept(spec.clone(), rig.now_us);
    rig.settle();
    let (worker, task, run) = rig.present("j1")[0].clone();
    rig.end(worker, &task, run, EndCause::Done);
    rig.poll_all();
    rig.fleet.retire_ended();
    assert_eq!(rig.fleet.state_of("j1"), Some((JobPhase::Active, true)), "not stored yet");
    rig.commit();
    rig.fleet.retire_ended();
    rig.fleet.accept(spec, rig.now_us);
    rig.fleet.cancel("j1", rig.now_us);
    assert!(rig.plan().is_empty());
    assert_eq!(rig.fleet.state_of("j1"), Some((JobPhase::Completed, true)));
    assert_eq!(rig.fleet.forget_ended(rig.now_us + MS), vec!["j1".to_owned()]);
    assert_eq!(rig.fleet.state_of("j1"), None);
}
