//! Availability zones that take no new work, and workers that are still cold.

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

fn zone_of(rig: &Harness, worker: WorkerIndex) -> &str {
    &rig.fleet.worker(worker).entry.zone
}

fn started_in<'a>(rig: &'a Harness, orders: &[Order]) -> Vec<&'a str> {
    orders
        .iter()
        .filter(|order| matches!(order.kind, OrderKind::Start { .. }))
        .map(|order| zone_of(rig, order.worker))
        .collect()
}

/// A task that may lie anywhere but is big enough that each worker holds one.
fn whole_worker(count: u32) -> Step {
    Step { need: Resources { cpu_milli: 16_000, memory_mb: 1_000, accelerators: 0 }, ..step(count) }
}

/// Guards against new work in a zone that operators evacuate.
#[test]
fn nothing_starts_in_a_closed_zone() {
    let mut rig = Harness::new(two_zones());
    rig.fleet.close_zone(&closed("a", 5), rig.now_us);
    rig.fleet.accept(job("j", vec![whole_worker(4)]), rig.now_us);
    let orders = rig.plan();
    assert_eq!(started_in(&rig, &orders), ["b", "b"]);
    rig.fleet.open_zone("a", 6);
    let orders = rig.plan();
    assert_eq!(started_in(&rig, &orders), ["a", "a"]);
}

/// Guards against a start whose record was on its way as the zone was closed.
#[test]
fn a_start_that_is_recorded_but_not_sent_goes_elsewhere() {
    let mut rig = Harness::new(two_zones());
    rig.fleet.close_zone(&closed("b", 5), rig.now_us);
    rig.fleet.accept(job("j", vec![whole_worker(2)]), rig.now_us);
    rig.fleet.plan(rig.now_us, rig.now_us / MS);
    let writes = rig.fleet.take_writes(32, rig.now_us);
    assert_eq!(writes[0].zones, ["a"]);
    rig.fleet.open_zone("b", 6);
    rig.fleet.close_zone(&closed("a", 7), rig.now_us);
    rig.fleet.committed(&writes[0], 8, rig.now_us);
    assert!(rig.fleet.take_orders().is_empty());
    let orders = rig.plan();
    assert_eq!(started_in(&rig, &orders), ["b", "b"]);
    assert!(orders.iter().all(|order| order.run == 2), "each run number names one worker");
}

/// Guards against a record that names a start in a closed zone after its choice was withdrawn.
#[test]
fn a_record_names_only_zones_in_which_starts_follow() {
    let mut rig = Harness::new(two_zones());
    rig.fleet.accept(job("j", vec![whole_worker(4)]), rig.now_us);
    rig.settle();
    rig.fleet.close_zone(&closed("a", 5), rig.now_us);
    rig.poll_all();
    let (worker, task, run) = rig.present("j").into_iter().find(|(w, _, _)| *w == 2).unwrap();
    rig.end(worker, &task, run, EndCause::Lapsed);
    rig.poll_all();
    rig.fleet.plan(rig.now_us, rig.now_us / MS);
    let writes = rig.fleet.take_writes(32, rig.now_us + 10_000 * MS);
    assert_eq!(writes[0].zones, ["b"], "what runs in zone a needs no leave");
}

/// Guards against a start that is sent again into a closed zone because its answer was lost.
#[test]
fn an_unanswered_start_is_barred_instead_of_repeated() {
    let mut rig = Harness::new(two_zones());
    rig.fleet.close_zone(&closed("b", 5), rig.now_us);
    rig.fleet.accept(job("j", vec![whole_worker(1)]), rig.now_us);
    let start = rig.plan().remove(0);
    rig.fleet.open_zone("b", 6);
    rig.fleet.close_zone(&closed("a", 7), rig.now_us);
    rig.fleet.order_answered(&start, OrderOutcome::Unanswered, rig.now_us);
    let orders = rig.plan();
    assert!(matches!(orders[0].kind, OrderKind::Stop) && orders[0].worker == start.worker);
    rig.execute(&orders[0]);
    rig.advance_ms(5);
    rig.poll_all();
    let orders = rig.plan();
    assert_eq!(started_in(&rig, &orders), ["b"]);
}

/// Guards against a start that is withheld at the last moment and then lost.
#[test]
fn a_withheld_start_is_placed_elsewhere_and_closes_no_worker() {
    let mut rig = Harness::new(two_zones());
    rig.fleet.close_zone(&closed("b", 5), rig.now_us);
    rig.fleet.accept(job("j", vec![whole_worker(1)]), rig.now_us);
    let start = rig.plan().remove(0);
    rig.fleet.open_zone("b", 6);
    rig.fleet.close_zone(&closed("a", 7), rig.now_us);
    rig.fleet.order_answered(&start, OrderOutcome::Withheld, rig.now_us);
    assert!(rig.fleet.worker(start.worker).closed_until_us <= rig.now_us);
    let orders = rig.plan();
    assert_eq!(started_in(&rig, &orders), ["b"]);
}

/// Guards against a gang of which some members start and the others wait.
#[test]
fn a_gang_is_withdrawn_as_a_whole() {
    let mut rig = Harness::new(two_zones());
    let gang = Step { is_gang: true, ..whole_worker(2) };
    let three = Step { is_gang: true, ..whole_worker(3) };
    rig.fleet.accept(job("j", vec![three]), rig.now_us);
    rig.fleet.plan(rig.now_us, rig.now_us / MS);
    let writes = rig.fleet.take_writes(32, rig.now_us);
    rig.fleet.close_zone(&closed("a", 7), rig.now_us);
    rig.fleet.committed(&writes[0], 8, rig.now_us);
    assert!(rig.fleet.take_orders().is_empty());
    assert!(rig.plan().is_empty(), "three members have no room in one zone");
    rig.fleet.accept(job("k", vec![gang]), rig.now_us);
    let orders = rig.plan();
    assert_eq!(started_in(&rig, &orders), ["b", "b"]);
}

/// Guards against lasting tasks that are stopped with their zone, or come back into it.
#[test]
fn lasting_tasks_stay_and_come_back_elsewhere() {
    let mut rig = Harness::new(two_zones());
    rig.fleet.close_zone(&closed("b", 5), rig.now_us);
    rig.fleet.accept(job("j", vec![Step { is_lasting: true, ..whole_worker(2) }]), rig.now_us);
    rig.settle();
    rig.fleet.open_zone("b", 6);
    rig.fleet.close_zone(&closed("a", 7), rig.now_us);
    rig.poll_all();
    assert!(rig.plan().is_empty(), "what runs there stays");
    let (worker, task, run) = rig.present("j").remove(0);
    assert_eq!(zone_of(&rig, worker), "a");
    rig.end(worker, &task, run, EndCause::Failed);
    rig.poll_all();
    rig.advance_ms(3_000);
    let orders = rig.plan();
    assert_eq!(started_in(&rig, &orders), ["b"]);
}

/// Guards against a lasting task that takes a worker of a closed zone because it has waited for long.
#[test]
fn long_waits_open_no_closed_zone() {
    let mut rig = Harness::new(two_zones());
    rig.fleet.close_zone(&closed("a", 5), rig.now_us);
    rig.fleet.close_zone(&closed("b", 6), rig.now_us);
    rig.fleet.accept(job("j", vec![Step { is_lasting: true, ..step(2) }]), rig.now_us);
    for _ in 0..20 {
        rig.advance_ms(1_000);
        rig.poll_all();
        assert!(rig.plan().is_empty());
    }
}

/// Guards against a job that may run in one zone only and is lost or failed while it is closed.
#[test]
fn a_job_that_may_run_nowhere_else_waits_for_its_zone() {
    let mut rig = Harness::new(two_zones());
    rig.fleet.close_zone(&closed("a", 5), rig.now_us);
    let only_there = Step { label: "r-a".to_owned(), ..step(2) };
    rig.fleet.accept(job("j", vec![only_there]), rig.now_us);
    rig.advance_ms(30_000);
    rig.poll_all();
    assert!(rig.plan().is_empty());
    assert_eq!(rig.fleet.state_of("j"), Some((JobPhase::Active, false)));
    assert_eq!(rig.fleet.pending("desk"), 1);
    rig.fleet.open_zone("a", 6);
    let orders = rig.plan();
    assert_eq!(started_in(&rig, &orders), ["a", "a"]);
}

/// Guards against work that waits for the rack of its data while that rack's zone is closed.
#[test]
fn work_near_data_in_a_closed_zone_runs_elsewhere() {
    let mut rig = Harness::new(two_zones());
    rig.fleet.close_zone(&closed("a", 5), rig.now_us);
    let near = Step { data_rack: "r-a".to_owned(), ..step(2) };
    rig.fleet.accept(job("j", vec![near]), rig.now_us);
    let orders = rig.plan();
    assert_eq!(started_in(&rig, &orders), ["b", "b"]);
}

/// Guards against a worker that registers anew in a closed zone and gets work.
#[test]
fn a_worker_that_comes_into_a_closed_zone_takes_nothing() {
    let mut rig = Harness::new(two_zones());
    rig.fleet.close_zone(&closed("a", 5), rig.now_us);
    let late = WorkerEntry {
        address: "10.0.1.99:80".to_owned(),
        id: "9".to_owned(),
        ..two_zones()[0].clone()
    };
    let index = rig.list(late);
    rig.poll_all();
    rig.fleet.accept(job("j", vec![whole_worker(4)]), rig.now_us);
    let orders = rig.plan();
    assert!(orders.iter().all(|order| order.worker != index));
    assert_eq!(started_in(&rig, &orders), ["b", "b"]);
}

/// Guards against a successor that starts work before it knows the closed zones.
#[test]
fn a_successor_keeps_zones_closed_from_its_first_start() {
    let mut rig = Harness::new(two_zones());
    let spec = job("j", vec![whole_worker(4)]);
    rig.fleet = rig.successor(std::slice::from_ref(&spec), Vec::new());
    rig.fleet.set_closed_zones(&[closed("a", 5)], 9, rig.now_us);
    for entry in two_zones() {
        rig.list(entry);
    }
    rig.poll_all();
    let orders = rig.plan();
    assert_eq!(started_in(&rig, &orders), ["b", "b"]);
}

/// Guards against late news of an earlier opening that opens a zone closed again since.
#[test]
fn older_news_opens_no_zone() {
    let mut rig = Harness::new(two_zones());
    rig.fleet.close_zone(&closed("a", 20), rig.now_us);
    rig.fleet.open_zone("a", 15);
    assert!(rig.fleet.is_zone_closed("a"));
    rig.fleet.set_closed_zones(&[], 19, rig.now_us);
    assert!(rig.fleet.is_zone_closed("a"));
    rig.fleet.set_closed_zones(&[], 21, rig.now_us);
    assert!(!rig.fleet.is_zone_closed("a"));
}

/// Guards against a write or a removal that a watch missed: a whole reading puts both right.
#[test]
fn a_whole_reading_closes_and_opens() {
    let mut rig = Harness::new(two_zones());
    rig.fleet.close_zone(&closed("a", 5), rig.now_us);
    rig.fleet.set_closed_zones(&[closed("b", 8)], 9, rig.now_us);
    assert!(!rig.fleet.is_zone_closed("a"));
    assert!(rig.fleet.is_zone_closed("b"));
}

/// Guards against a rush of urgent work onto workers that are cold after their zone was closed.
#[test]
fn urgent_work_takes_cold_workers_last() {
    let mut rig = Harness::new(two_zones());
    for mut cold in two_zones().into_iter().take(2) {
        cold.cold_ms = 4_000;
        rig.list(cold);
    }
    rig.fleet.accept(job("j", vec![step(32)]), rig.now_us);
    let orders = rig.plan();
    assert!(started_in(&rig, &orders).iter().all(|zone| *zone == "b"));
    rig.fleet.accept(job("k", vec![step(2)]), rig.now_us);
    let orders = rig.plan();
    assert_eq!(started_in(&rig, &orders), ["a", "a"], "a cold worker is better than none");
}

/// Guards against a cold worker that is closed for being slow.
#[test]
fn a_cold_worker_is_not_judged_slow() {
    let mut rig = Harness::new(two_zones());
    for mut cold in two_zones().into_iter().take(2) {
        cold.cold_ms = 60_000;
        rig.list(cold);
    }
    let urgent = Step { estimate_ms: 3_000, ..step(64) };
    rig.fleet.accept(job("j", vec![urgent]), rig.now_us);
    rig.settle();
    for round in 1..20 {
        rig.advance_ms(200);
        for (worker, far) in &mut rig.workers {
            let gain = if *worker < 2 { 1 } else { 5 };
            far.running.values_mut().for_each(|row| row.percent = (round * gain).min(99));
        }
        rig.poll_all();
    }
    assert_eq!(rig.fleet.counts().slow_workers, 0);
}
