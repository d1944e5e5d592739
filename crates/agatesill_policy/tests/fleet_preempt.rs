//! Preemption of long-running tasks on fleets that they have fully reserved.

mod fleet_support;

use agatesill_policy::fleet::{EndCause, JobSpec, OrderKind};
use fleet_support::{Harness, MS, entry, job, step};

fn watch(id: &str, count: u32, may_miss: Option<u32>) -> JobSpec {
    let mut watch = step(count);
    watch.is_lasting = true;
    watch.need.cpu_milli = 3_000;
    watch.may_miss = may_miss;
    job(id, vec![watch])
}

fn urgent(id: &str, count: u32, now_us: u64) -> JobSpec {
    let mut urgent = step(count);
    urgent.need.cpu_milli = 2_000;
    urgent.estimate_ms = 600;
    let mut spec = job(id, vec![urgent]);
    spec.accepted_at_ms = now_us / MS;
    spec
}

/// Starts all long-running tasks and lets them run for six seconds.
fn run_for_six_seconds(harness: &mut Harness) {
    harness.settle();
    for _ in 0..12 {
        harness
            .workers
            .values_mut()
            .flat_map(|fake_worker| fake_worker.running.values_mut())
            .for_each(|row| {
                row.percent = 100;
            });
        harness.advance_ms(500);
        harness.poll_all();
    }
}

/// Advances the time in `times` steps of 50 ms and returns the number of stops ordered.
fn advance_counting_stops(harness: &mut Harness, times: u32) -> usize {
    let before = harness.orders.len();
    for _ in 0..times {
        harness.advance_ms(50);
        harness.settle();
        harness.poll_all();
        harness.settle();
    }
    let is_stop = |o: &&agatesill_policy::fleet::Order| o.kind == OrderKind::Stop;
    harness.orders[before..].iter().filter(is_stop).count()
}

/// Long-running tasks reserve fifteen of sixteen CPUs permanently, and an urgent step of two tasks
/// arrives. Without preemption it would never start; with one of five long-running tasks preempted,
/// it starts within a fifth of a second.
#[test]
fn one_long_running_task_is_preempted_for_an_urgent_step() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(watch("watch", 5, None), harness.now_us);
    run_for_six_seconds(&mut harness);
    harness.fleet.accept(urgent("desk", 2, harness.now_us), harness.now_us);
    assert_eq!(advance_counting_stops(&mut harness, 4), 1, "one long-running task is stopped");
    assert_eq!(harness.present("watch").len(), 4);
    assert_eq!(harness.present("desk").len(), 2);
}

/// A preempted task that competes for capacity at once would start in each gap between two urgent
/// steps, at the cost of a stop and a start each time. It must wait for two seconds and then start
/// again.
#[test]
fn preempted_task_waits_before_it_starts_again() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(watch("watch", 5, Some(1)), harness.now_us);
    run_for_six_seconds(&mut harness);
    harness.fleet.accept(urgent("desk", 2, harness.now_us), harness.now_us);
    advance_counting_stops(&mut harness, 4);
    for (worker, task, run) in harness.present("desk") {
        harness.end(worker, &task, run, EndCause::Done);
    }
    advance_counting_stops(&mut harness, 10);
    assert_eq!(harness.present("watch").len(), 4, "the preempted task waits");
    advance_counting_stops(&mut harness, 40);
    assert_eq!(harness.present("watch").len(), 5, "the preempted task starts again");
}

/// An urgent step needs more capacity than one preemption frees. No second task of the same step
/// may be preempted, because the step allows one task to be missing.
#[test]
fn preemptions_do_not_exceed_the_allowance_of_the_step() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(watch("watch", 5, Some(1)), harness.now_us);
    run_for_six_seconds(&mut harness);
    harness.fleet.accept(urgent("desk", 6, harness.now_us), harness.now_us);
    assert_eq!(advance_counting_stops(&mut harness, 20), 1);
    assert_eq!(harness.present("watch").len(), 4);
}

/// A step that allows no task to be missing must not be preempted, whichever steps wait.
#[test]
fn step_without_allowance_is_not_preempted() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(watch("watch", 5, Some(0)), harness.now_us);
    run_for_six_seconds(&mut harness);
    harness.fleet.accept(urgent("desk", 2, harness.now_us), harness.now_us);
    assert_eq!(advance_counting_stops(&mut harness, 20), 0);
    assert_eq!(harness.present("watch").len(), 5);
}

/// Preemption for an urgent step that can no longer meet its objective would be a cost without
/// benefit.
#[test]
fn late_step_causes_no_preemption() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(watch("watch", 5, None), harness.now_us);
    run_for_six_seconds(&mut harness);
    harness.fleet.accept(urgent("desk", 2, harness.now_us - 9_000 * MS), harness.now_us);
    assert_eq!(advance_counting_stops(&mut harness, 20), 0);
}

/// A long-running task that fails by its own fault must start again at once if there is capacity.
/// If it waited like a preempted task, each failure would cost its callers two more seconds.
#[test]
fn failed_task_starts_again_at_once() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(watch("watch", 5, Some(1)), harness.now_us);
    run_for_six_seconds(&mut harness);
    let (worker, task, run) = harness.present("watch")[0].clone();
    harness.end(worker, &task, run, EndCause::Failed);
    advance_counting_stops(&mut harness, 2);
    assert_eq!(harness.present("watch").len(), 5);
}

/// A long-running job arrives on nearly full workers together with urgent steps that can still meet
/// their objective. Long-running tasks never free their capacity, so all later urgent steps would
/// be late. The new tasks must leave free capacity to urgent steps for two seconds, and go before
/// all others after that.
#[test]
fn new_long_running_tasks_leave_free_capacity_to_urgent_steps() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(urgent("first", 8, harness.now_us), harness.now_us);
    harness.settle();
    harness.fleet.accept(watch("watch", 5, Some(0)), harness.now_us);
    let mut urgent_rounds = 0;
    for round in 0..5 {
        harness.advance_ms(500);
        let spec = urgent(&format!("urgent{round}"), 8, harness.now_us);
        harness.fleet.accept(spec, harness.now_us);
        let before = if round == 0 { "first".to_owned() } else { format!("urgent{}", round - 1) };
        for (worker, task, run) in harness.present(&before) {
            harness.end(worker, &task, run, EndCause::Done);
        }
        harness.poll_all();
        harness.settle();
        urgent_rounds += usize::from(harness.present("watch").is_empty());
    }
    assert!(
        urgent_rounds >= 3,
        "urgent steps had the capacity for {urgent_rounds} rounds of half a second"
    );
    assert!(!harness.present("watch").is_empty(), "the long-running tasks start after two seconds");
}

/// Urgent steps that can meet their objective keep arriving after a preemption and use all capacity
/// that becomes free. If they always ranked before the preempted task, it would be missing for
/// eighteen seconds. It must go first once it has waited for three and a half seconds.
#[test]
fn preempted_task_starts_again_while_urgent_steps_keep_arriving() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(watch("watch", 5, Some(1)), harness.now_us);
    run_for_six_seconds(&mut harness);
    let mut missing_ms = 0;
    for round in 0..30 {
        // Twice as many urgent steps as the capacity holds, each of which ends within half a
        // second.
        for part in 0..2 {
            let spec = urgent(&format!("urgent{round}-{part}"), 2, harness.now_us);
            harness.fleet.accept(spec, harness.now_us);
        }
        advance_counting_stops(&mut harness, 10);
        let ended_runs: Vec<_> = harness
            .workers
            .iter()
            .flat_map(|(worker, fake_worker)| {
                fake_worker.running.values().map(move |row| (*worker, row))
            })
            .filter(|(_, row)| row.task.job.starts_with("urgent"))
            .map(|(worker, row)| (worker, row.task.clone(), row.run))
            .collect();
        for (worker, task, run) in ended_runs {
            harness.end(worker, &task, run, EndCause::Done);
        }
        let is_missing = harness.present("watch").len() < 5;
        missing_ms = if is_missing { missing_ms + 500 } else { 0 };
        assert!(
            missing_ms <= 5_000,
            "round {round}: a long-running task is missing for {missing_ms} ms"
        );
    }
}
