//! Schedules depend only on their seed, and shrinking finds the faults that cause a failure.

use std::cell::Cell;

use agatesill_standin::faults::{FaultKind, RunReport, Schedule, batch, run_seed};

#[test]
fn same_seed_generates_same_schedule() {
    let limits = batch::limits();
    for seed in 1..=50 {
        let schedule = Schedule::generate(seed, &limits);
        assert_eq!(schedule, Schedule::generate(seed, &limits));
        assert!(schedule.faults.len() >= limits.rounds as usize);
    }
    assert_ne!(Schedule::generate(1, &limits).faults, Schedule::generate(2, &limits).faults);
}

#[test]
fn all_fault_kinds_and_patterns_are_generated() {
    let limits = batch::limits();
    let all: Vec<Schedule> = (1..=100).map(|seed| Schedule::generate(seed, &limits)).collect();
    for kind in FaultKind::BATCH {
        let contains_kind =
            |schedule: &Schedule| schedule.faults.iter().any(|planned| planned.fault.kind == kind);
        assert!(all.iter().any(contains_kind), "{kind:?}");
    }
    let repeats_a_fault = |schedule: &Schedule| {
        schedule.faults.iter().enumerate().any(|(nth, planned)| {
            schedule.faults[..nth].iter().any(|earlier| earlier.fault == planned.fault)
        })
    };
    assert!(all.iter().any(repeats_a_fault));
    assert!(all.iter().any(|schedule| schedule.faults.len() == limits.rounds as usize));
}

/// The simulated run fails if the store has an outage or a daemon is paused, regardless of other
/// faults. The report must contain only one such fault, found within the limit of runs.
#[tokio::test]
async fn shrinking_keeps_only_relevant_faults() {
    let limits = batch::limits();
    let contains_fault = |schedule: &Schedule, kind: FaultKind| {
        schedule.faults.iter().any(|planned| planned.fault.kind == kind)
    };
    let fails = |schedule: &Schedule| {
        contains_fault(schedule, FaultKind::PauseDaemon)
            || contains_fault(schedule, FaultKind::StoreOutage)
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
