//! Availability zones closed to new work, and workers that run tasks slower after their start.

mod fleet_support;

use agatesill_policy::batch::Resources;
use agatesill_policy::fleet::{
    ClosedZone, EndCause, JobPhase, Order, OrderKind, OrderOutcome, Step, WorkerEntry, WorkerIndex,
};
use fleet_support::{Harness, MS, entry, job, step};

/// Workers 0 and 1 are in zone `a`, 2 and 3 in zone `b`.
fn two_zones() -> Vec<WorkerEntry> {
    let in_zone = |id: &str, zone: &str| WorkerEntry {
        zone: zone.to_owned(),
        address: format!("10.0.1.{}:80", id.as_bytes()[0]),
        ..entry(id, &format!("r-{zone}"))
    };
    vec![in_zone("1", "a"), in_zone("2", "a"), in_zone("3", "b"), in_zone("4", "b")]
}

fn closed(zone: &str, revision: u64) -> ClosedZone {
    ClosedZone { zone: zone.to_owned(), revision }
}

fn zone_of(harness: &Harness, worker: WorkerIndex) -> &str {
    &harness.fleet.worker(worker).entry.zone
}

fn started_in<'a>(harness: &'a Harness, orders: &[Order]) -> Vec<&'a str> {
    orders
        .iter()
        .filter(|order| matches!(order.kind, OrderKind::Start { .. }))
        .map(|order| zone_of(harness, order.worker))
        .collect()
}

/// A step of tasks that each take up a whole worker.
fn whole_worker(count: u32) -> Step {
    Step { need: Resources { cpu_milli: 16_000, memory_mb: 1_000, accelerators: 0 }, ..step(count) }
}

/// Guards against new work in a zone that is being evacuated.
#[test]
fn nothing_starts_in_a_closed_zone() {
    let mut harness = Harness::new(two_zones());
    harness.fleet.close_zone(&closed("a", 5), harness.now_us);
    harness.fleet.accept(job("j", vec![whole_worker(4)]), harness.now_us);
    let orders = harness.plan();
    assert_eq!(started_in(&harness, &orders), ["b", "b"]);
    harness.fleet.open_zone("a", 6);
    let orders = harness.plan();
    assert_eq!(started_in(&harness, &orders), ["a", "a"]);
}

/// Guards against a start whose record was in flight when the zone was closed.
#[test]
fn recorded_but_unsent_start_moves_to_an_open_zone() {
    let mut harness = Harness::new(two_zones());
    harness.fleet.close_zone(&closed("b", 5), harness.now_us);
    harness.fleet.accept(job("j", vec![whole_worker(2)]), harness.now_us);
    harness.fleet.plan(harness.now_us, harness.now_us / MS);
    let writes = harness.fleet.take_writes(32, harness.now_us);
    assert_eq!(writes[0].zones, ["a"]);
    harness.fleet.open_zone("b", 6);
    harness.fleet.close_zone(&closed("a", 7), harness.now_us);
    harness.fleet.committed(&writes[0], 8, harness.now_us);
    assert!(harness.fleet.take_orders().is_empty());
    let orders = harness.plan();
    assert_eq!(started_in(&harness, &orders), ["b", "b"]);
    assert!(orders.iter().all(|order| order.run == 2), "each run number names one worker");
}

/// Guards against a record that names a closed zone although no start in that zone follows it.
#[test]
fn record_names_only_zones_with_pending_starts() {
    let mut harness = Harness::new(two_zones());
    harness.fleet.accept(job("j", vec![whole_worker(4)]), harness.now_us);
    harness.settle();
    harness.fleet.close_zone(&closed("a", 5), harness.now_us);
    harness.poll_all();
    let (worker, task, run) = harness.present("j").into_iter().find(|(w, _, _)| *w == 2).unwrap();
    harness.end(worker, &task, run, EndCause::Lapsed);
    harness.poll_all();
    harness.fleet.plan(harness.now_us, harness.now_us / MS);
    let writes = harness.fleet.take_writes(32, harness.now_us + 10_000 * MS);
    assert_eq!(writes[0].zones, ["b"], "present runs do not depend on zone a being open");
}

/// Guards against an unanswered start that is sent again into a closed zone.
#[test]
fn unanswered_start_in_a_closed_zone_is_barred() {
    let mut harness = Harness::new(two_zones());
    harness.fleet.close_zone(&closed("b", 5), harness.now_us);
    harness.fleet.accept(job("j", vec![whole_worker(1)]), harness.now_us);
    let start = harness.plan().remove(0);
    harness.fleet.open_zone("b", 6);
    harness.fleet.close_zone(&closed("a", 7), harness.now_us);
    harness.fleet.order_answered(&start, OrderOutcome::Unanswered, harness.now_us);
    let orders = harness.plan();
    assert!(matches!(orders[0].kind, OrderKind::Stop) && orders[0].worker == start.worker);
    harness.execute(&orders[0]);
    harness.advance_ms(5);
    harness.poll_all();
    let orders = harness.plan();
    assert_eq!(started_in(&harness, &orders), ["b"]);
}

/// Guards against the loss of a start that is withheld at the last moment.
#[test]
fn withheld_start_is_placed_elsewhere_without_closing_its_worker() {
    let mut harness = Harness::new(two_zones());
    harness.fleet.close_zone(&closed("b", 5), harness.now_us);
    harness.fleet.accept(job("j", vec![whole_worker(1)]), harness.now_us);
    let start = harness.plan().remove(0);
    harness.fleet.open_zone("b", 6);
    harness.fleet.close_zone(&closed("a", 7), harness.now_us);
    harness.fleet.order_answered(&start, OrderOutcome::Withheld, harness.now_us);
    assert!(harness.fleet.worker(start.worker).closed_until_us <= harness.now_us);
    let orders = harness.plan();
    assert_eq!(started_in(&harness, &orders), ["b"]);
}

/// Guards against a gang of which some members start and others wait.
#[test]
fn gang_is_withdrawn_completely() {
    let mut harness = Harness::new(two_zones());
    let gang = Step { is_gang: true, ..whole_worker(2) };
    let three = Step { is_gang: true, ..whole_worker(3) };
    harness.fleet.accept(job("j", vec![three]), harness.now_us);
    harness.fleet.plan(harness.now_us, harness.now_us / MS);
    let writes = harness.fleet.take_writes(32, harness.now_us);
    harness.fleet.close_zone(&closed("a", 7), harness.now_us);
    harness.fleet.committed(&writes[0], 8, harness.now_us);
    assert!(harness.fleet.take_orders().is_empty());
    assert!(harness.plan().is_empty(), "three members do not fit in one zone");
    harness.fleet.accept(job("k", vec![gang]), harness.now_us);
    let orders = harness.plan();
    assert_eq!(started_in(&harness, &orders), ["b", "b"]);
}

/// Guards against long-running tasks that are stopped with their zone, or restarted in it.
#[test]
fn long_running_tasks_stay_and_restart_in_an_open_zone() {
    let mut harness = Harness::new(two_zones());
    harness.fleet.close_zone(&closed("b", 5), harness.now_us);
    harness
        .fleet
        .accept(job("j", vec![Step { is_lasting: true, ..whole_worker(2) }]), harness.now_us);
    harness.settle();
    harness.fleet.open_zone("b", 6);
    harness.fleet.close_zone(&closed("a", 7), harness.now_us);
    harness.poll_all();
    assert!(harness.plan().is_empty(), "present runs stay in the closed zone");
    let (worker, task, run) = harness.present("j").remove(0);
    assert_eq!(zone_of(&harness, worker), "a");
    harness.end(worker, &task, run, EndCause::Failed);
    harness.poll_all();
    harness.advance_ms(3_000);
    let orders = harness.plan();
    assert_eq!(started_in(&harness, &orders), ["b"]);
}

/// Guards against a long-running task that takes a worker in a closed zone after a long wait.
#[test]
fn long_wait_does_not_place_tasks_in_a_closed_zone() {
    let mut harness = Harness::new(two_zones());
    harness.fleet.close_zone(&closed("a", 5), harness.now_us);
    harness.fleet.close_zone(&closed("b", 6), harness.now_us);
    harness.fleet.accept(job("j", vec![Step { is_lasting: true, ..step(2) }]), harness.now_us);
    for _ in 0..20 {
        harness.advance_ms(1_000);
        harness.poll_all();
        assert!(harness.plan().is_empty());
    }
}

/// Guards against a job that is lost or fails while the only zone in which it may run is closed.
#[test]
fn job_bound_to_a_closed_zone_waits() {
    let mut harness = Harness::new(two_zones());
    harness.fleet.close_zone(&closed("a", 5), harness.now_us);
    let only_there = Step { label: "r-a".to_owned(), ..step(2) };
    harness.fleet.accept(job("j", vec![only_there]), harness.now_us);
    harness.advance_ms(30_000);
    harness.poll_all();
    assert!(harness.plan().is_empty());
    assert_eq!(harness.fleet.state_of("j"), Some((JobPhase::Active, false)));
    assert_eq!(harness.fleet.pending("desk"), 1);
    harness.fleet.open_zone("a", 6);
    let orders = harness.plan();
    assert_eq!(started_in(&harness, &orders), ["a", "a"]);
}

/// Guards against work that waits for the rack of its data while that rack's zone is closed.
#[test]
fn task_with_data_in_a_closed_zone_runs_elsewhere() {
    let mut harness = Harness::new(two_zones());
    harness.fleet.close_zone(&closed("a", 5), harness.now_us);
    let near = Step { data_rack: "r-a".to_owned(), ..step(2) };
    harness.fleet.accept(job("j", vec![near]), harness.now_us);
    let orders = harness.plan();
    assert_eq!(started_in(&harness, &orders), ["b", "b"]);
}

/// Guards against work on a worker that registers in a closed zone.
#[test]
fn worker_registered_in_a_closed_zone_gets_no_tasks() {
    let mut harness = Harness::new(two_zones());
    harness.fleet.close_zone(&closed("a", 5), harness.now_us);
    let late = WorkerEntry {
        address: "10.0.1.99:80".to_owned(),
        id: "9".to_owned(),
        ..two_zones()[0].clone()
    };
    let index = harness.list(late);
    harness.poll_all();
    harness.fleet.accept(job("j", vec![whole_worker(4)]), harness.now_us);
    let orders = harness.plan();
    assert!(orders.iter().all(|order| order.worker != index));
    assert_eq!(started_in(&harness, &orders), ["b", "b"]);
}

/// Guards against a successor that starts work before it knows the closed zones.
#[test]
fn successor_keeps_zones_closed_from_its_first_start() {
    let mut harness = Harness::new(two_zones());
    let spec = job("j", vec![whole_worker(4)]);
    harness.fleet = harness.successor(std::slice::from_ref(&spec), Vec::new());
    harness.fleet.set_closed_zones(&[closed("a", 5)], 9, harness.now_us);
    for entry in two_zones() {
        harness.list(entry);
    }
    harness.poll_all();
    let orders = harness.plan();
    assert_eq!(started_in(&harness, &orders), ["b", "b"]);
}

/// Guards against a delayed update that opens a zone which has been closed again since.
#[test]
fn outdated_update_does_not_open_a_zone() {
    let mut harness = Harness::new(two_zones());
    harness.fleet.close_zone(&closed("a", 20), harness.now_us);
    harness.fleet.open_zone("a", 15);
    assert!(harness.fleet.is_zone_closed("a"));
    harness.fleet.set_closed_zones(&[], 19, harness.now_us);
    assert!(harness.fleet.is_zone_closed("a"));
    harness.fleet.set_closed_zones(&[], 21, harness.now_us);
    assert!(!harness.fleet.is_zone_closed("a"));
}

/// Guards against a write or a deletion that a watch missed. A complete read corrects both.
#[test]
fn complete_read_closes_and_opens_zones() {
    let mut harness = Harness::new(two_zones());
    harness.fleet.close_zone(&closed("a", 5), harness.now_us);
    harness.fleet.set_closed_zones(&[closed("b", 8)], 9, harness.now_us);
    assert!(!harness.fleet.is_zone_closed("a"));
    assert!(harness.fleet.is_zone_closed("b"));
}

/// Guards against urgent work on cold workers while others have capacity.
#[test]
fn urgent_tasks_use_cold_workers_last() {
    let mut harness = Harness::new(two_zones());
    for mut cold in two_zones().into_iter().take(2) {
        cold.cold_ms = 4_000;
        harness.list(cold);
    }
    harness.fleet.accept(job("j", vec![step(32)]), harness.now_us);
    let orders = harness.plan();
    assert!(started_in(&harness, &orders).iter().all(|zone| *zone == "b"));
    harness.fleet.accept(job("k", vec![step(2)]), harness.now_us);
    let orders = harness.plan();
    assert_eq!(started_in(&harness, &orders), ["a", "a"], "a cold worker is better than none");
}

/// Guards against a cold worker that is closed for being slow.
#[test]
fn cold_worker_is_not_closed_as_slow() {
    let mut harness = Harness::new(two_zones());
    for mut cold in two_zones().into_iter().take(2) {
        cold.cold_ms = 60_000;
        harness.list(cold);
    }
    let urgent = Step { estimate_ms: 3_000, ..step(64) };
    harness.fleet.accept(job("j", vec![urgent]), harness.now_us);
    harness.settle();
    for round in 1..20 {
        harness.advance_ms(200);
        for (worker, fake_worker) in &mut harness.workers {
            let gain = if *worker < 2 { 1 } else { 5 };
            fake_worker.running.values_mut().for_each(|row| row.percent = (round * gain).min(99));
        }
        harness.poll_all();
    }
    assert_eq!(harness.fleet.counts().slow_workers, 0);
}
