//! More work than the workers can carry.

mod fleet_support;

use agatesill_policy::fleet::{EndCause, JobPhase, JobSpec, OrderOutcome, WorkerEntry};
use fleet_support::{Harness, MS, entry, job, step};

fn review(index: u32, accepted_at_ms: u64) -> JobSpec {
    let mut spec = job(&format!("review{index:03}"), vec![step(8)]);
    spec.queue = "reviews".to_owned();
    spec.terms.priority = 2;
    spec.terms.target_ms = 2_000;
    spec.accepted_at_ms = accepted_at_ms;
    spec
}

/// A burst of twice what two workers can carry, for twenty seconds. First come, first served makes
/// every job late once the backlog is as long as an objective; by worth for the work that is left,
/// half of them are in time.
#[test]
fn in_a_long_overload_half_of_the_work_is_still_in_time() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    let begun_us = rig.now_us;
    let mut accepted = Vec::new();
    let mut in_time = 0;
    // Two workers of 16 cores carry four jobs of eight core-seconds a second.
    for tick in 0..200_u32 {
        if tick % 5 == 0 {
            for index in 0..4 {
                let spec = review(tick * 4 + index, rig.now_us / MS);
                accepted.push((spec.id.clone(), rig.now_us));
                rig.fleet.accept(spec, rig.now_us);
            }
        }
        rig.settle();
        end_after_a_second(&mut rig);
        rig.now_us = begun_us + u64::from(tick + 1) * 100 * MS;
        rig.poll_all();
        rig.settle();
        accepted.retain(|(id, since_us)| {
            let is_done = rig.fleet.state_of(id).is_some_and(|s| s.0 == JobPhase::Completed);
            if is_done && rig.now_us - since_us <= 4_000 * MS {
                in_time += 1;
            }
            !is_done
        });
    }
    assert!(in_time >= 64, "{in_time} of 160 in time; the workers can carry 80");
}

/// Ends the runs that have worked for a second; progress stands in their rows.
fn end_after_a_second(rig: &mut Harness) {
    let mut over = Vec::new();
    for (worker, far) in &mut rig.workers {
        for row in far.running.values_mut() {
            row.percent += 10;
            if row.percent >= 100 {
                over.push((*worker, row.task.clone(), row.run));
            }
        }
    }
    for (worker, task, run) in over {
        rig.end(worker, &task, run, EndCause::Done);
    }
}

/// Desk work goes before batch work, however long the latter has waited.
#[test]
fn urgent_work_is_placed_first() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    for index in 0..4 {
        rig.fleet.accept(review(index, 1_000), rig.now_us);
    }
    rig.fleet.accept(job("desk", vec![step(16)]), rig.now_us);
    rig.settle();
    assert_eq!(rig.present("desk").len(), 16);
}

/// No worker is ever given more than it has, whatever the mix of jobs.
#[test]
fn workers_are_never_over_their_capacity() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    for index in 0..30 {
        let mut spec = review(index, 1_000);
        spec.steps[0].need.cpu_milli = 700 + 450 * u64::from(index % 7);
        rig.fleet.accept(spec, rig.now_us);
        rig.settle();
        for (_, worker) in rig.fleet.live_workers() {
            assert!(worker.entry.capacity.holds(&worker.used), "{:?}", worker.used);
        }
    }
}

/// Guards against urgent starts that wait behind all batch starts of a planner that lags.
#[test]
fn batch_starts_are_bounded_while_earlier_ones_are_on_their_way() {
    let workers = (0..200).map(|at| WorkerEntry {
        address: format!("10.0.1.{at}:80"),
        ..entry(&format!("w{at}"), "r1-1")
    });
    let mut rig = Harness::new(workers.collect());
    for at in 0..40 {
        let mut spec = job(&format!("batch{at}"), vec![step(80)]);
        spec.queue = "month-end".to_owned();
        spec.terms.priority = 2;
        rig.fleet.accept(spec, rig.now_us);
    }
    let starts: usize = (0..10).map(|_| rig.plan().len()).sum();
    assert!((1_024..1_104).contains(&starts), "{starts} starts with none carried out");
    rig.fleet.accept(job("urgent", vec![step(4)]), rig.now_us);
    let orders = rig.plan();
    assert_eq!(orders.len(), 4, "an urgent step is not held up");
    let earlier: Vec<_> = rig.orders.clone();
    earlier.iter().for_each(|order| rig.execute(order));
    assert!(!rig.plan().is_empty(), "batch goes on once its starts are answered");
}

/// Guards against batch that waits after a takeover for tasks on workers that do not answer.
#[test]
fn tasks_that_were_read_back_or_given_up_are_not_starting() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    let spec = job("running", vec![step(8)]);
    rig.fleet.accept(spec.clone(), rig.now_us);
    let orders = rig.plan();
    assert_eq!(rig.fleet.starting(), 8);
    for order in orders.iter().cycle().take(16) {
        rig.fleet.order_answered(order, OrderOutcome::Unanswered, rig.now_us);
    }
    assert_eq!(rig.fleet.starting(), 0, "each start was given up after two tries");
    let successor = rig.successor(&[spec], Vec::new());
    assert_eq!(successor.starting(), 0);
}
