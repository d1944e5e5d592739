//! Admission when more is offered than the workers can carry.

mod admission_support;

use admission_support::{Replay, check, core_ms, monitor};
use agatesill_policy::admission::RefusalCause;

const DAEMONS: usize = 29;

/// Jobs per second that a number of cores serves.
fn per_s(cores: f64) -> f64 {
    cores * 1_000.0 / core_ms(&check(0, "checks"))
}

/// Guards against urgent jobs that wait for CPU which long-running jobs reserved under overload.
#[test]
fn urgent_jobs_start_in_time_beside_long_running_jobs_that_would_reserve_everything() {
    let mut replay = Replay::new(DAEMONS, 11_200_000);
    replay.headroom_milli = 2_000_000;
    replay.reserved = (0..75).map(|at| (10_000 + at * 930, 90_000)).collect();
    let mut id = 0;
    replay.run(30_000, |replay| {
        let checks = replay.arrivals(per_s(1_600.0));
        let monitors = replay.arrivals(4.0);
        id += checks + monitors;
        let mut jobs: Vec<_> = (0..checks).map(|at| check(id + at, "checks")).collect();
        jobs.extend((0..monitors).map(|at| monitor(id + checks + at)));
        jobs
    });
    let checks = &replay.outcomes["checks"];
    let in_time = checks.waits_ms.iter().filter(|wait_ms| **wait_ms <= 300).count() as u32;
    assert!(in_time * 100 >= checks.offered * 85, "{in_time} of {} in time", checks.offered);
    let percent = checks.started_within_percent(300);
    assert!(percent >= 95, "{percent} of 100");
    let monitors = &replay.outcomes["monitors"];
    assert!(monitors.refusals.iter().all(|refusal| refusal.cause == RefusalCause::NoRoom));
    assert!(!monitors.refusals.is_empty() && monitors.accepted > 20, "{}", monitors.accepted);
}

/// Guards against refusals without a shortage.
#[test]
fn nothing_is_refused_on_a_calm_day() {
    let mut replay = Replay::new(DAEMONS, 11_200_000);
    replay.headroom_milli = 2_000_000;
    replay.reserved = (0..50).map(|at| (10_000 + at * 1_400, 90_000)).collect();
    let mut id = 0;
    replay.run(60_000, |replay| {
        let checks = replay.arrivals(per_s(1_200.0));
        let monitors = replay.arrivals(0.65);
        id += checks + monitors;
        let mut jobs: Vec<_> = (0..checks).map(|at| check(id + at, "checks")).collect();
        jobs.extend((0..monitors).map(|at| monitor(id + checks + at)));
        jobs
    });
    for (queue, outcomes) in &replay.outcomes {
        assert!(outcomes.refusals.is_empty(), "{queue}: {:?}", outcomes.refusals[0]);
    }
}

/// Guards against daemons with one view that together accept more than there is room for, and against
/// all of them refusing while there is room.
#[test]
fn daemons_with_one_view_share_the_room_for_long_running_jobs() {
    for daemons in [1, DAEMONS, 300] {
        let mut replay = Replay::new(daemons, 11_200_000);
        replay.headroom_milli = 2_000_000;
        replay.reserved = (0..85).map(|at| (10_000 + at * 800, 90_000)).collect();
        let mut id = 0;
        replay.run(30_000, |replay| {
            let count = replay.arrivals(8.0);
            id += count;
            (0..count).map(|at| monitor(id - at)).collect()
        });
        let reserved: u64 = replay.reserved.iter().map(|(_, milli)| milli).sum();
        assert!(reserved <= 9_200_000, "{reserved} reserved with {daemons} daemons");
        assert!(reserved >= 7_500_000, "{reserved} reserved with {daemons} daemons");
    }
}

/// Guards against refusals of jobs for which there is room, by daemons that extrapolate the few jobs
/// that they have seen.
#[test]
fn no_job_that_fits_is_refused_while_few_arrive() {
    let mut replay = Replay::new(33, 26_100_000);
    replay.headroom_milli = 1_500_000;
    replay.reserved = vec![(400_000, 21_350_000)];
    replay.stay_ms = 500;
    let mut id = 0;
    replay.run(300_000, |replay| {
        let count = replay.arrivals(2.0);
        id += count;
        (0..count).map(|at| monitor(id - at)).collect()
    });
    let monitors = &replay.outcomes["monitors"];
    assert!(monitors.refusals.is_empty(), "{:?}", monitors.refusals[0]);
    assert!(monitors.accepted > 500, "{}", monitors.accepted);
}
