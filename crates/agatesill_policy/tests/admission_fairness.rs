//! Which callers are refused, when they return, and what an old view is worth.

mod admission_support;

use admission_support::{Replay, check, core_ms};
use agatesill_policy::admission::Verdict;

/// Guards against small senders that are refused for the load of a large one.
#[test]
fn queues_that_send_little_are_served_beside_one_that_sends_ten_times_as_much() {
    let mut replay = Replay::new(3, 2_000_000);
    let full_per_s = 2_000_000.0 / core_ms(&check(0, "large"));
    let mut id = 0;
    replay.run(30_000, |replay| {
        id += 100;
        let mut jobs = Vec::new();
        for at in 0..replay.arrivals(full_per_s * 2.0) {
            jobs.push(check(id + at, "large"));
        }
        for queue in ["small-1", "small-2"] {
            let count = replay.arrivals(full_per_s * 0.2);
            jobs.extend((0..count).map(|at| check(id + at, queue)));
        }
        jobs
    });
    for queue in ["small-1", "small-2"] {
        let small = &replay.outcomes[queue];
        assert!(small.accepted * 100 >= small.offered * 85, "{queue}: {}", small.accepted);
    }
    let large = &replay.outcomes["large"];
    assert!(f64::from(large.accepted) >= full_per_s * 30.0 * 0.4, "{}", large.accepted);
}

/// Guards against refusals by a view that no longer holds.
#[test]
fn everything_is_accepted_by_a_view_that_is_ten_seconds_old() {
    let mut replay = Replay::new(3, 2_000_000);
    let overload = |replay: &mut Replay| {
        let base = replay.now_ms * 100;
        let count = replay.arrivals(2.5 * 2_000_000.0 / core_ms(&check(0, "checks")));
        (0..count).map(|at| check(base + at, "checks")).collect()
    };
    replay.run(5_000, overload);
    assert!(!replay.outcomes["checks"].refusals.is_empty());
    let late_us = (replay.now_ms + 10_000) * 1_000;
    for (id, door) in replay.doors.iter_mut().enumerate() {
        assert_eq!(door.decide(&check(id as u64, "late"), None, late_us), Verdict::Accept);
    }
}

/// Guards against callers that return at once or too late, and against returning in vain.
#[test]
fn refused_callers_return_in_order_and_most_are_served() {
    let mut replay = Replay::new(29, 2_000_000);
    let full_per_s = 2_000_000.0 / core_ms(&check(0, "checks"));
    let mut id = 0;
    replay.run(4_000, |replay| {
        let count = replay.arrivals(full_per_s * 3.0);
        id += count;
        (0..count).map(|at| check(id - at, "checks")).collect()
    });
    replay.run(26_000, |_| Vec::new());
    let checks = &replay.outcomes["checks"];
    let all_allowed = 1_000..=8_000;
    assert!(checks.refusals.iter().all(|refusal| all_allowed.contains(&refusal.retry_after_ms)));
    assert!(checks.given_up * 20 <= checks.offered, "{} gave up", checks.given_up);
    assert!(checks.started_within_percent(300) >= 90, "{}", checks.started_within_percent(300));
}
