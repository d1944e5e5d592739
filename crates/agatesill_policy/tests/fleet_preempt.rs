//! Urgent steps on a fleet that lasting tasks have reserved in full.

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

/// Has all watchers at work, and lets them work for six seconds.
fn at_work(rig: &mut Harness) {
    rig.settle();
    for _ in 0..12 {
        rig.workers.values_mut().flat_map(|far| far.running.values_mut()).for_each(|row| {
            row.percent = 100;
        });
        rig.advance_ms(500);
        rig.poll_all();
    }
}

/// Lets 50 ms pass, `times` over, and returns how many lasting tasks were told to stop.
fn pass(rig: &mut Harness, times: u32) -> usize {
    let before = rig.orders.len();
    for _ in 0..times {
        rig.advance_ms(50);
        rig.settle();
        rig.poll_all();
        rig.settle();
    }
    let stops = |o: &&agatesill_policy::fleet::Order| o.kind == OrderKind::Stop;
    rig.orders[before..].iter().filter(stops).count()
}

/// Watchers hold fifteen of sixteen processors for the whole day. An urgent step of two tasks comes,
/// and one core is free. It would wait for ever; one watcher of five gives way, and the urgent step
/// starts within a fifth of a second in place of never.
#[test]
fn one_lasting_task_gives_way_to_an_urgent_step() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(watch("watch", 5, None), rig.now_us);
    at_work(&mut rig);
    rig.fleet.accept(urgent("desk", 2, rig.now_us), rig.now_us);
    assert_eq!(pass(&mut rig, 4), 1, "one watcher is stopped");
    assert_eq!(rig.present("watch").len(), 4);
    assert_eq!(rig.present("desk").len(), 2);
}

/// While urgent steps keep coming, the watcher that gave way would take back its room in each gap
/// between two of them, at the price of a stop and a start each time. It holds back for two seconds,
/// and returns when they are over.
#[test]
fn a_task_that_gave_way_holds_back_and_then_returns() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(watch("watch", 5, Some(1)), rig.now_us);
    at_work(&mut rig);
    rig.fleet.accept(urgent("desk", 2, rig.now_us), rig.now_us);
    pass(&mut rig, 4);
    for (worker, task, run) in rig.present("desk") {
        rig.end(worker, &task, run, EndCause::Done);
    }
    pass(&mut rig, 10);
    assert_eq!(rig.present("watch").len(), 4, "it holds back");
    pass(&mut rig, 40);
    assert_eq!(rig.present("watch").len(), 5, "and returns");
}

/// A second urgent step comes while a watcher is away already. A second one of the same job may not
/// go: its owner said that one may be missing.
#[test]
fn no_more_lasting_tasks_give_way_than_their_step_allows() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(watch("watch", 5, Some(1)), rig.now_us);
    at_work(&mut rig);
    rig.fleet.accept(urgent("desk", 6, rig.now_us), rig.now_us);
    assert_eq!(pass(&mut rig, 20), 1);
    assert_eq!(rig.present("watch").len(), 4);
}

/// A job says that none of its tasks may be missing. Its owner is taken at their word, whoever waits.
#[test]
fn a_step_without_allowance_never_gives_way() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(watch("watch", 5, Some(0)), rig.now_us);
    at_work(&mut rig);
    rig.fleet.accept(urgent("desk", 2, rig.now_us), rig.now_us);
    assert_eq!(pass(&mut rig, 20), 0);
    assert_eq!(rig.present("watch").len(), 5);
}

/// An urgent step is late beyond saving. Stopping a watcher for it would cost without serving
/// anybody in time.
#[test]
fn nothing_gives_way_to_a_step_that_is_late_already() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(watch("watch", 5, None), rig.now_us);
    at_work(&mut rig);
    rig.fleet.accept(urgent("desk", 2, rig.now_us - 9_000 * MS), rig.now_us);
    assert_eq!(pass(&mut rig, 20), 0);
}

/// A watcher fails by its own fault while there is room. It did not give way to anybody, so it starts
/// again at once; held back like one that did, each failure would cost its callers two more seconds.
#[test]
fn a_task_that_failed_starts_again_at_once() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(watch("watch", 5, Some(1)), rig.now_us);
    at_work(&mut rig);
    let (worker, task, run) = rig.present("watch")[0].clone();
    rig.end(worker, &task, run, EndCause::Failed);
    pass(&mut rig, 2);
    assert_eq!(rig.present("watch").len(), 5);
}

/// A job of watchers comes onto workers that are reserved nearly full, just as urgent steps come that can
/// still be in time. Watchers never give their room back, so that every step after them would be late.
/// They leave what is free to urgent steps for two seconds, and are served before all others then.
#[test]
fn new_lasting_tasks_leave_free_room_to_urgent_steps_for_a_moment() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(urgent("first", 8, rig.now_us), rig.now_us);
    rig.settle();
    rig.fleet.accept(watch("watch", 5, Some(0)), rig.now_us);
    let mut urgents = 0;
    for round in 0..5 {
        rig.advance_ms(500);
        let spec = urgent(&format!("urgent{round}"), 8, rig.now_us);
        rig.fleet.accept(spec, rig.now_us);
        let before = if round == 0 { "first".to_owned() } else { format!("urgent{}", round - 1) };
        for (worker, task, run) in rig.present(&before) {
            rig.end(worker, &task, run, EndCause::Done);
        }
        rig.poll_all();
        rig.settle();
        urgents += usize::from(rig.present("watch").is_empty());
    }
    assert!(urgents >= 3, "urgent steps had the room for {urgents} rounds of half a second");
    assert!(!rig.present("watch").is_empty(), "after two seconds the watchers start");
}

/// A watcher was preempted for an urgent step, and then urgent steps that can be in time came without end,
/// on workers where they found no more room than they took. The watcher ranked after them all and was
/// missing for eighteen seconds. It goes first once it has waited for three and a half.
#[test]
fn a_preempted_task_returns_though_urgent_steps_keep_coming() {
    let mut rig = Harness::new(vec![entry("w1", "r1-1")]);
    rig.fleet.accept(watch("watch", 5, Some(1)), rig.now_us);
    at_work(&mut rig);
    let mut missing_ms = 0;
    for round in 0..30 {
        // Two urgent steps for each that the room holds, each over within half a second.
        for part in 0..2 {
            let spec = urgent(&format!("urgent{round}-{part}"), 2, rig.now_us);
            rig.fleet.accept(spec, rig.now_us);
        }
        pass(&mut rig, 10);
        let over: Vec<_> = rig
            .workers
            .iter()
            .flat_map(|(worker, far)| far.running.values().map(move |row| (*worker, row)))
            .filter(|(_, row)| row.task.job.starts_with("urgent"))
            .map(|(worker, row)| (worker, row.task.clone(), row.run))
            .collect();
        for (worker, task, run) in over {
            rig.end(worker, &task, run, EndCause::Done);
        }
        let is_missing = rig.present("watch").len() < 5;
        missing_ms = if is_missing { missing_ms + 500 } else { 0 };
        assert!(missing_ms <= 5_000, "round {round}: a watcher is missing for {missing_ms} ms");
    }
}
