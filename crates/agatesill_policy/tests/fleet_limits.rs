//! Numbers at and beyond their limits, from callers, workers and stored records.

#![allow(clippy::unwrap_used)] // Tests panic on a failed assumption.

mod fleet_support;

use agatesill_policy::admission::LoadControl;
use agatesill_policy::batch::Resources;
use agatesill_policy::fleet::{
    EndCause, JobPhase, JobSpec, MAX_AMOUNT, MAX_DURATION_MS, MAX_WALL_MS, Poll, ProgressRecord,
    RunRow, Step, TaskRecord, WorkerEntry,
};
use fleet_support::{Harness, MS, entry, job, step};

type Change = fn(&mut JobSpec, u64);

/// The numbers that a caller chooses, with the limit of each.
const JOB_NUMBERS: [(&str, u64, Change); 7] = [
    ("cpu", MAX_AMOUNT, |spec, value| spec.steps[0].need.cpu_milli = value),
    ("memory", MAX_AMOUNT, |spec, value| spec.steps[0].need.memory_mb = value),
    ("accelerators", MAX_AMOUNT, |spec, value| spec.steps[0].need.accelerators = value),
    ("estimate", MAX_DURATION_MS, |spec, value| spec.steps[0].estimate_ms = value),
    ("target", MAX_DURATION_MS, |spec, value| spec.steps[0].target_ms = value),
    ("interval", MAX_DURATION_MS, |spec, value| spec.interval_ms = value),
    ("first due time", MAX_WALL_MS, |spec, value| spec.first_due_ms = value),
];

/// Steps of each kind whose numbers are all at one value.
fn extreme_steps(value: u64) -> Vec<Step> {
    let need = Resources { cpu_milli: value, memory_mb: value, accelerators: value };
    let plain = Step { need, estimate_ms: value, target_ms: value, ..step(1_000) };
    let mut steps = vec![
        plain.clone(),
        Step { fills: true, image: "a".to_owned(), ..plain.clone() },
        Step { is_lasting: true, may_miss: Some(u32::MAX), ..plain.clone() },
        Step { is_gang: true, count: 3, ..plain.clone() },
    ];
    // Needs that fit, so that the tasks run, with the other numbers as they are.
    let small = step(1).need;
    steps.push(Step { need: small, count: 4, ..plain.clone() });
    steps.push(Step { need: small, count: 4, fills: true, after: vec![0], ..plain });
    steps
}

fn extreme_job(id: &str, value: u64) -> JobSpec {
    let mut spec = job(id, extreme_steps(value));
    spec.reduce_numbers();
    spec
}

fn assert_sound_job_completes(harness: &mut Harness, case: &str) {
    harness.fleet.accept(job("sound", vec![step(2)]), harness.now_us);
    harness.settle();
    let runs = harness.present("sound");
    assert_eq!(runs.len(), 2, "{case}");
    for (worker, task, run) in runs {
        harness.end(worker, &task, run, EndCause::Done);
    }
    harness.poll_all();
    harness.commit();
    let state = harness.fleet.state_of("sound");
    assert_eq!(state, Some((JobPhase::Completed, true)), "{case}");
}

fn use_all_views(harness: &mut Harness) {
    let now_us = harness.now_us;
    let _ = harness.fleet.usage(now_us);
    drop(harness.fleet.service_loads(now_us));
    drop(harness.fleet.longest_waits(now_us));
    drop(harness.fleet.longest_transitions(now_us));
    drop(harness.fleet.missing_tasks(16, now_us));
    drop(harness.fleet.idle_jobs(16, now_us));
    harness.fleet.open_due(now_us / MS, now_us);
    harness.fleet.expire_workers(now_us, now_us);
}

/// Guards against a job with impossible numbers that is accepted.
#[test]
fn job_numbers_beyond_their_limits_are_refused() {
    for (name, limit, change) in JOB_NUMBERS {
        let mut spec = job("j", vec![step(1)]);
        change(&mut spec, limit);
        assert_eq!(spec.fault(), None, "{name}");
        change(&mut spec, limit + 1);
        assert!(spec.fault().is_some(), "{name}");
        assert!(spec.reduce_numbers(), "{name}");
        assert_eq!(spec.fault(), None, "{name}");
    }
}

/// Guards against a planner that panics over one job whose numbers are as large as they may be, so that
/// no other job runs.
#[test]
fn jobs_with_numbers_at_their_limits_do_not_end_planning() {
    for value in [MAX_AMOUNT, MAX_DURATION_MS, u64::MAX] {
        for control in [LoadControl::Off, LoadControl::On] {
            let case = format!("{value}, {control:?}");
            let workers = ["w1", "w22", "w333"].map(|id| entry(id, "r1-1"));
            let mut harness = Harness::new(workers.to_vec());
            harness.fleet.set_load_control(control);
            for number in 0..8 {
                let spec = extreme_job(&format!("x{number}"), value);
                harness.fleet.accept(spec, harness.now_us);
            }
            let mut timed = extreme_job("timed", value);
            timed.occurrences = 2;
            timed.first_due_ms = MAX_WALL_MS;
            timed.interval_ms = MAX_DURATION_MS;
            harness.fleet.accept(timed, harness.now_us);
            harness.settle();
            use_all_views(&mut harness);
            for _ in 0..4 {
                harness.advance_ms(900);
                harness.poll_all();
                harness.settle();
                use_all_views(&mut harness);
            }
            assert_sound_job_completes(&mut harness, &case);
        }
    }
}

/// Guards against a stored job or record, of a daemon without these limits, by which every successor
/// panics.
#[test]
fn stored_numbers_beyond_their_limits_do_not_end_planning() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    let spec = JobSpec { accepted_at_ms: u64::MAX, ..job("x", extreme_steps(u64::MAX)) };
    let row = TaskRecord {
        task: 0,
        run: u32::MAX,
        failures: u32::MAX,
        crashes: u32::MAX,
        unexplained_crashes: u32::MAX,
        worker: "unknown".to_owned(),
        waits_since_ms: u64::MAX,
        ..TaskRecord::default()
    };
    let done = TaskRecord { is_done: true, task: 1, ..row.clone() };
    let tasks = vec![row.clone(), row, done.clone(), done];
    let mut record =
        ProgressRecord { phase: JobPhase::Active, is_started: true, turn_ms: u64::MAX, tasks };
    let mut restored = spec.clone();
    assert!(restored.reduce_numbers());
    record.reduce_numbers();
    harness.fleet.restore(restored, Some((record, 5)), harness.now_us);
    harness.fleet.finish_restore(8_000, harness.now_us);
    harness.settle();
    use_all_views(&mut harness);
    harness.advance_ms(20_000);
    harness.poll_all();
    use_all_views(&mut harness);
    harness.settle();
    assert_sound_job_completes(&mut harness, "restored");
}

/// Guards against an entry or an answer with impossible numbers by which the planner panics.
#[test]
fn numbers_of_workers_beyond_their_limits_do_not_end_planning() {
    let capacity = Resources { cpu_milli: u64::MAX, memory_mb: u64::MAX, accelerators: u64::MAX };
    let extreme = WorkerEntry {
        capacity,
        leaves_in_ms: u64::MAX,
        cold_ms: u64::MAX,
        revision: u64::MAX,
        ..entry("w22", "r1-1")
    };
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.accept(extreme_job("x", MAX_AMOUNT), harness.now_us);
    let worker = harness.list(extreme.clone().with_reduced_numbers());
    harness.settle();
    let orders = harness.orders.clone();
    let rows = orders.iter().map(|order| RunRow {
        task: order.task.clone(),
        run: order.run,
        saved: String::new(),
        percent: u32::MAX,
        figure: u64::MAX,
    });
    for clock_ms in [u64::MAX, 0, MAX_WALL_MS] {
        harness.advance_ms(600);
        let poll = Poll {
            sent_us: harness.now_us,
            clock_ms,
            started_ms: u64::MAX,
            running: rows.clone().collect(),
            ..Poll::default()
        };
        harness.fleet.polled(worker, &poll.with_reduced_numbers(), harness.now_us);
        drop(harness.plan());
        use_all_views(&mut harness);
    }
    let leaving = WorkerEntry { is_leaving: true, ..extreme };
    harness.fleet.worker_listed(leaving.with_reduced_numbers(), harness.now_us);
    harness.settle();
    use_all_views(&mut harness);
    assert_sound_job_completes(&mut harness, "workers");
}

/// Guards against an accepted job that can't be read and that its caller is not told of.
#[test]
fn job_that_is_set_aside_is_shown_and_not_planned() {
    let mut harness = Harness::new(vec![entry("w1", "r1-1")]);
    harness.fleet.set_aside("x", true);
    harness.fleet.accept(job("x", vec![step(2)]), harness.now_us);
    assert!(harness.plan().is_empty());
    assert_eq!(harness.fleet.state_of("x"), Some((JobPhase::Active, true)));
    harness.fleet.cancel("x", harness.now_us);
    assert_eq!(harness.fleet.state_of("x"), Some((JobPhase::Cancelled, true)));
    assert_sound_job_completes(&mut harness, "beside a job that is set aside");
}
