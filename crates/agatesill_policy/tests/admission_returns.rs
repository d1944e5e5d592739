//! When refused callers return, and what an old view is worth.

mod admission_support;

use admission_support::{Replay, monitor};
use agatesill_policy::admission::Verdict;

/// A fleet whose long-running jobs leave room for urgent work alone, and more of them that arrive.
fn full_fleet() -> Replay {
    let mut replay = Replay::new(3, 11_200_000);
    replay.headroom_milli = 2_000_000;
    replay.reserved = (0..100).map(|at| (10_000 + at * 700, 90_000)).collect();
    replay
}

fn offer_monitors(replay: &mut Replay, length_ms: u64, per_s: f64) {
    let mut id = replay.now_ms * 1_000;
    replay.run(length_ms, |replay| {
        let count = replay.arrivals(per_s);
        id += count;
        (0..count).map(|at| monitor(id - at)).collect()
    });
}

/// Guards against refusals by a view that no longer holds.
#[test]
fn everything_is_accepted_by_a_view_that_is_ten_seconds_old() {
    let mut replay = full_fleet();
    offer_monitors(&mut replay, 5_000, 4.0);
    assert!(!replay.outcomes["monitors"].refusals.is_empty());
    let late_us = (replay.now_ms + 10_000) * 1_000;
    for (id, door) in replay.doors.iter_mut().enumerate() {
        assert_eq!(door.decide(&monitor(id as u64), None, late_us), Verdict::Accept);
    }
}

/// Guards against callers that return at once or too late, and against most of them returning in vain
/// although room appears.
#[test]
fn refused_callers_return_in_order_and_most_are_served() {
    let mut replay = full_fleet();
    offer_monitors(&mut replay, 4_000, 4.0);
    offer_monitors(&mut replay, 30_000, 0.0);
    let monitors = &replay.outcomes["monitors"];
    let all_allowed = 1_000..=8_000;
    assert!(!monitors.refusals.is_empty());
    assert!(monitors.refusals.iter().all(|refusal| all_allowed.contains(&refusal.retry_after_ms)));
    assert!(monitors.given_up * 4 <= monitors.offered, "{} gave up", monitors.given_up);
}

/// A fleet whose headroom grew with a short burst of urgent work that has ended.
fn fleet_after_a_burst() -> Replay {
    let mut replay = Replay::new(33, 11_200_000);
    replay.headroom_milli = 3_000_000;
    replay.reserved = vec![(100_000, 7_400_000)];
    replay.stay_ms = 1_000_000;
    replay
}

/// Guards against a caller that is asked to return long after the headroom has room for its job again.
#[test]
fn a_caller_refused_after_a_burst_returns_when_the_headroom_has_shrunk() {
    let mut replay = fleet_after_a_burst();
    offer_monitors(&mut replay, 1_000, 4.0);
    let refusals = &replay.outcomes["monitors"].refusals;
    assert!(!refusals.is_empty());
    for refusal in refusals {
        assert!(refusal.retry_after_ms <= 2_500, "{refusal:?}");
    }
}
