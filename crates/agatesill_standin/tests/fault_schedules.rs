//! Schedules are drawn from their seed alone, and shrinking finds the faults that matter.

use std::cell::Cell;

use agatesill_standin::faults::{FaultKind, RunReport, Schedule, batch, run_seed};

#[test]
fn the_same_seed_gives_the_same_schedule() {
    let limits = batch::limits();
    for seed in 1..=50 {
        let schedule = Schedule::generate(seed, &limits);
        assert_eq!(schedule, Schedule::generate(seed, &limits));
        assert!(schedule.faults.len() >= limits.rounds as usize);
    }
    assert_ne!(Schedule::generate(1, &limits).faults, Schedule::generate(2, &limits).faults);
}

#[test]
fn every_kind_of_fault_and_every_pattern_is_drawn() {
    let limits = batch::limits();
    let all: Vec<Schedule> = (1..=100).map(|seed| Schedule::generate(seed, &limits)).collect();
    for kind in FaultKind::ALL {
        let drawn = |one: &Schedule| one.faults.iter().any(|planned| planned.fault.kind == kind);
        assert!(all.iter().any(drawn), "{kind:?}");
    }
    let twice = |one: &Schedule| {
        one.faults.iter().enumerate().any(|(nth, planned)| {
            one.faults[..nth].iter().any(|earlier| earlier.fault == planned.fault)
        })
    };
    assert!(all.iter().any(twice));
    assert!(all.iter().any(|one| one.faults.len() == limits.rounds as usize));
}

/// A run fails whenever the store is out or a daemon is paused, whatever else happens. The reader
/// of the failure should see one such fault only, and the bound on runs must hold.
#[tokio::test]
async fn shrinking_leaves_the_faults_that_matter() {
    let limits = batch::limits();
    let matters = |schedule: &Schedule, kind: FaultKind| {
        schedule.faults.iter().any(|planned| planned.fault.kind == kind)
    };
    let fails = |schedule: &Schedule| {
        matters(schedule, FaultKind::PauseDaemon) || matters(schedule, FaultKind::StoreOutage)
    };
    let seed = (1..).find(|seed| fails(&Schedule::generate(*seed, &limits))).unwrap_or(1);
    let runs = Cell::new(0);
    let report = run_seed(seed, &limits, |schedule| {
        runs.set(runs.get() + 1);
        let violations = if fails(&schedule) { vec!["broken".to_owned()] } else { Vec::new() };
        let trace = vec![schedule.faults.len().to_string()];
        async move { RunReport { violations, trace, ..RunReport::default() } }
    })
    .await;
    assert_eq!(report.trace.last().map(String::as_str), Some("1"), "{:?}", report.trace);
    assert!(runs.get() <= 26, "{} runs", runs.get());
}
