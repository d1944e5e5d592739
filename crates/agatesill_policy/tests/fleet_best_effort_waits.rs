//! Best-effort jobs that wait although workers would take them.

mod fleet_support;

use agatesill_policy::batch::Resources;
use agatesill_policy::fleet::{
    JobSpec, LearnedImage, LearnedInterference, Order, OrderKind, Step, WorkerEntry,
};
use fleet_support::{Harness, entry, job, step};

/// A job of one best-effort task. The less work it has, the higher it ranks.
fn best_effort(id: &str, cpu_milli: u64, memory_mb: u64, estimate_ms: u64) -> JobSpec {
    let task = Step {
        fills: true,
        image: "bill".to_owned(),
        need: Resources { cpu_milli, memory_mb, accelerators: 0 },
        estimate_ms,
        ..step(1)
    };
    JobSpec { accepted_at_ms: 10_000, ..job(id, vec![task]) }
}

/// Guards against a job that waits behind one of its image that needs more CPU and fits nowhere.
#[test]
fn best_effort_job_does_not_wait_behind_one_that_needs_more_cpu() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    let others = Step { count: 19, ..best_effort("others", 2_000, 100, 60_000).steps[0].clone() };
    harness.fleet.accept(job("others", vec![others]), harness.now_us);
    harness.settle();
    harness.poll_all();
    harness.fleet.accept(best_effort("large", 4_000, 1_000, 1_000), harness.now_us);
    harness.fleet.accept(best_effort("small", 1_000, 2_000, 60_000), harness.now_us);
    harness.settle();
    assert!(harness.present("large").is_empty(), "the case needs a job that fits nowhere");
    assert_eq!(harness.present("small").len(), 1);
}

/// Workers in one more than two searches, but fewer than three.
const WORKERS: usize = 350;

/// The only worker with free memory.
const FREE_WORKER: usize = 10;

/// Guards against searches that divide the workers among the jobs of an image, so that each job
/// sees the same part of them in every round.
#[test]
fn searches_of_an_image_reach_every_worker_for_each_job() {
    let entries = (0..WORKERS).map(|position| {
        let memory_mb = if position == FREE_WORKER { 20_000 } else { 500 };
        WorkerEntry {
            address: format!("10.0.{}.{}:80", position / 250, position % 250),
            capacity: Resources { cpu_milli: 16_000, memory_mb, accelerators: 0 },
            ..entry(&format!("w{position}"), "r1-1")
        }
    });
    let mut harness = Harness::new(entries.collect());
    harness.fleet.accept(best_effort("first", 1_000, 40_000, 1_000), harness.now_us);
    harness.fleet.accept(best_effort("second", 2_000, 30_000, 2_000), harness.now_us);
    harness.fleet.accept(best_effort("third", 3_000, 10_000, 60_000), harness.now_us);
    for _ in 0..20 {
        harness.settle();
    }
    assert_eq!(harness.present("third").len(), 1);
}

/// Longest time for which a job may be idle while workers have capacity for it.
const MAX_IDLE_MS: u64 = 3_000;

/// What a planner has learned of an image that triples the tails of the serving image with every
/// seventh of a worker that it uses.
fn learned_harm() -> LearnedInterference {
    const FEATURES: usize = 49;
    let mut weights = vec![0.0; FEATURES];
    weights[0] = -0.9;
    weights[1] = 0.25;
    LearnedInterference {
        filling: vec!["bill".to_owned()],
        serving: vec![LearnedImage {
            image: "watch".to_owned(),
            weights,
            variances: vec![0.0001; FEATURES],
            seen: vec![100.0; FEATURES - 1],
        }],
    }
}

/// Two workers that both serve `watch`, beside which the best-effort image is harmful.
fn serving_workers() -> Harness {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    harness.fleet.restore_learned(&learned_harm());
    let watch = Step {
        is_lasting: true,
        image: "watch".to_owned(),
        target_ms: 100,
        max_per_worker: 1,
        ..step(2)
    };
    harness.fleet.accept(job("watch", vec![watch]), harness.now_us);
    harness.settle();
    harness
}

/// Polls all workers, with this tail of the serving tasks, and carries out the orders.
fn poll_with_tail(harness: &mut Harness, tail_ms: u64) -> Vec<Order> {
    for fake_worker in harness.workers.values_mut() {
        for row in fake_worker.running.values_mut() {
            let serves = row.task.job == "watch";
            (row.percent, row.figure) = if serves { (100, tail_ms) } else { (50, 500) };
        }
    }
    harness.advance_ms(500);
    harness.poll_all();
    let orders = harness.plan();
    orders.iter().for_each(|order| harness.execute(order));
    let more = harness.plan();
    more.iter().for_each(|order| harness.execute(order));
    orders.into_iter().chain(more).collect()
}

/// Guards against a best-effort job that never runs because its image harms an image that every
/// worker serves, while the workers have capacity.
#[test]
fn best_effort_job_runs_slowed_where_its_image_harms_all_serving_images() {
    let mut harness = serving_workers();
    poll_with_tail(&mut harness, 30);
    harness.fleet.accept(best_effort("bill-run", 2_000, 1_000, 1_000), harness.now_us);
    let mut orders = Vec::new();
    for _ in 0..MAX_IDLE_MS / 500 {
        orders.extend(poll_with_tail(&mut harness, 30));
    }
    assert_eq!(harness.present("bill-run").len(), 1);
    let started_at = orders.iter().position(|order| order.task.job == "bill-run");
    let is_slowed =
        |order: &Order| matches!(order.kind, OrderKind::Pace { percent } if percent <= 25);
    assert!(orders[started_at.unwrap()..].iter().any(is_slowed), "the run was not slowed");
}

/// Guards against harmful tasks that start while the tails leave no room for them.
#[test]
fn best_effort_job_waits_while_tails_are_high() {
    let mut harness = serving_workers();
    poll_with_tail(&mut harness, 70);
    harness.fleet.accept(best_effort("bill-run", 2_000, 1_000, 1_000), harness.now_us);
    for _ in 0..2 * MAX_IDLE_MS / 500 {
        poll_with_tail(&mut harness, 70);
    }
    assert!(harness.present("bill-run").is_empty());
}

/// A worker far behind those that one search examines.
const DISTANT_WORKER: usize = 300;

/// Guards against a search with candidates of its own, such as the workers on the rack of the data,
/// that sends the searches of all jobs of its image back to the first workers in every round.
#[test]
fn searches_near_data_do_not_hold_the_position_of_other_searches() {
    let entries = (0..WORKERS).map(|position| {
        let memory_mb = if position == DISTANT_WORKER { 20_000 } else { 500 };
        let rack = if position < 4 { "r9-1" } else { "r1-1" };
        WorkerEntry {
            address: format!("10.0.{}.{}:80", position / 250, position % 250),
            capacity: Resources { cpu_milli: 16_000, memory_mb, accelerators: 0 },
            ..entry(&format!("w{position}"), rack)
        }
    });
    let mut harness = Harness::new(entries.collect());
    let mut near_data = best_effort("near-data", 1_000, 40_000, 1_000);
    near_data.steps[0].data_rack = "r9-1".to_owned();
    harness.fleet.accept(near_data, harness.now_us);
    harness.fleet.accept(best_effort("anywhere", 3_000, 10_000, 60_000), harness.now_us);
    for _ in 0..20 {
        harness.settle();
    }
    assert_eq!(harness.present("anywhere").len(), 1);
}

/// Guards against a job whose step requires a label and that sends all other searches of its image
/// back to the first workers in every round.
#[test]
fn searches_for_a_label_do_not_hold_the_position_of_other_searches() {
    let entries = (0..WORKERS).map(|position| {
        let memory_mb = if position == DISTANT_WORKER { 20_000 } else { 500 };
        let rack = if position < 4 { "r9-1" } else { "r1-1" };
        WorkerEntry {
            address: format!("10.0.{}.{}:80", position / 250, position % 250),
            capacity: Resources { cpu_milli: 16_000, memory_mb, accelerators: 0 },
            ..entry(&format!("w{position}"), rack)
        }
    });
    let mut harness = Harness::new(entries.collect());
    let mut labelled = best_effort("labelled", 1_000, 40_000, 1_000);
    labelled.steps[0].label = "r9-1".to_owned();
    harness.fleet.accept(labelled, harness.now_us);
    harness.fleet.accept(best_effort("anywhere", 3_000, 10_000, 60_000), harness.now_us);
    for _ in 0..20 {
        harness.settle();
    }
    assert_eq!(harness.present("anywhere").len(), 1);
}

/// Guards against a run that is paused for good: its job was placed because a quarter of its pace is
/// harmless, and it must return to that pace when the tails have come down.
#[test]
fn paused_run_returns_to_the_pace_at_which_it_started() {
    let mut harness = serving_workers();
    poll_with_tail(&mut harness, 30);
    harness.fleet.accept(best_effort("bill-run", 6_000, 1_000, 1_000), harness.now_us);
    for _ in 0..6 {
        poll_with_tail(&mut harness, 30);
    }
    assert_eq!(harness.present("bill-run").len(), 1, "the case needs a run");
    let mut paces = Vec::new();
    for tail in [[110; 8], [30; 8]].concat() {
        for order in poll_with_tail(&mut harness, tail) {
            if let OrderKind::Pace { percent } = order.kind {
                paces.push(percent);
            }
        }
    }
    assert!(paces.contains(&0), "the case needs a paused run: {paces:?}");
    assert_eq!(harness.present("bill-run").len(), 1);
    assert!(paces.last().is_some_and(|percent| *percent > 0), "{paces:?}");
}

/// Guards against a run that was paused for seconds and is stopped as stalled as soon as it
/// continues, because the time without progress includes the pause.
#[test]
fn run_that_continues_after_a_pause_is_not_stalled() {
    let mut harness = serving_workers();
    poll_with_tail(&mut harness, 30);
    harness.fleet.accept(best_effort("bill-run", 2_000, 1_000, 60_000), harness.now_us);
    for tail in [[30; 6].as_slice(), &[110; 12]].concat() {
        poll_with_tail(&mut harness, tail);
    }
    let mut orders = Vec::new();
    for _ in 0..4 {
        orders.extend(poll_with_tail(&mut harness, 30));
    }
    let is_resumed = |order: &Order| matches!(order.kind, OrderKind::Pace { percent: 1.. });
    assert!(orders.iter().any(is_resumed), "the case needs a run that continues: {orders:?}");
    assert!(!orders.iter().any(|order| order.kind == OrderKind::Stop), "{orders:?}");
}

/// Guards against a run that stays paused after the serving tasks that it harmed have left its
/// worker: no tail is reported there any more.
#[test]
fn paused_run_is_sped_up_when_the_serving_tasks_have_left() {
    let mut harness = serving_workers();
    poll_with_tail(&mut harness, 30);
    harness.fleet.accept(best_effort("bill-run", 2_000, 1_000, 1_000), harness.now_us);
    for tail in [[30; 6], [110; 6]].concat() {
        poll_with_tail(&mut harness, tail);
    }
    let is_pause = |order: &Order| order.kind == OrderKind::Pace { percent: 0 };
    assert!(harness.orders.iter().any(is_pause), "the case needs a paused run");
    harness.fleet.cancel("watch", harness.now_us);
    let mut paces = Vec::new();
    for _ in 0..4 {
        for order in poll_with_tail(&mut harness, 110) {
            if let OrderKind::Pace { percent } = order.kind {
                paces.push(percent);
            }
        }
    }
    assert!(harness.present("watch").is_empty());
    assert_eq!(harness.present("bill-run").len(), 1);
    assert_eq!(paces.last(), Some(&100), "{paces:?}");
}

/// Most starts of a job in forty seconds in which it harms what it runs beside every four seconds.
const MAX_STARTS: usize = 5;

/// Guards against a run that is stopped and placed again on each change of the tails: each time it
/// costs a start, a record and the work since its last checkpoint.
#[test]
fn job_that_was_moved_for_its_harm_is_not_placed_again_at_once() {
    let mut harness = serving_workers();
    poll_with_tail(&mut harness, 30);
    let mut spec = best_effort("bill-run", 2_000, 1_000, 60_000);
    spec.steps[0].saves_progress = true;
    harness.fleet.accept(spec, harness.now_us);
    for tail in [[45; 4], [110; 4]].concat().into_iter().cycle().take(80) {
        poll_with_tail(&mut harness, tail);
    }
    let is_start = |order: &&Order| {
        order.task.job == "bill-run" && matches!(order.kind, OrderKind::Start { .. })
    };
    let starts = harness.orders.iter().filter(is_start).count();
    assert!((1..=MAX_STARTS).contains(&starts), "{starts} starts");
}
