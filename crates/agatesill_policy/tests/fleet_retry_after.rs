//! Retry-After of callers that are refused during a store outage.

#![allow(clippy::unwrap_used)] // A failed assumption of a test fails the test.

use agatesill_policy::fleet::{OutageReturns, retry_after_ms};

/// Times of the calls of a caller that follows Retry-After, in milliseconds since the start of an
/// outage.
fn call_times_ms(first_ms: u64, retries: usize, after_ms: impl Fn(u64) -> u64) -> Vec<u64> {
    let next_call = |last: &u64| Some(last + after_ms(*last).div_ceil(1_000) * 1_000);
    std::iter::successors(Some(first_ms), next_call).take(retries + 1).collect()
}

/// Guards against callers that have all given up by the time the store is available again.
#[test]
fn four_retries_outlast_an_outage_of_seconds() {
    for outage_ms in [500, 2_000, 4_300, 6_500] {
        let arrivals = (0..outage_ms).step_by(100);
        let lost = |after_ms: fn(u64) -> u64| {
            arrivals
                .clone()
                .filter(|at| {
                    call_times_ms(*at, 4, after_ms).iter().all(|call_ms| *call_ms < outage_ms)
                })
                .count()
        };
        assert_eq!(lost(|away_ms| u64::from(retry_after_ms(away_ms))), 0, "{outage_ms}");
        if outage_ms > 4_000 {
            assert!(lost(|_| 1_000) > 0, "a constant Retry-After of a second is not enough");
        }
    }
}

/// Guards against callers that wait for long after the store is available again.
#[test]
fn retry_after_does_not_exceed_the_time_of_the_outage() {
    for away_ms in [0, 300, 1_000, 3_000, 60_000] {
        assert!(u64::from(retry_after_ms(away_ms)) <= away_ms.clamp(1_000, 8_000));
    }
}

/// Rate at which the daemon of the replays can store jobs.
const JOBS_PER_S: f64 = 100.0;

/// An outage in which callers return as `retry_after` says, up to four times.
struct OutageReplay {
    /// Callers that arrive in each second after the outage, urgent ones and others.
    arrivals: [Vec<usize>; 2],
    /// Callers that gave up in the outage.
    given_up: usize,
}

fn replay_outage(
    outage_ms: u64,
    callers_per_s: u64,
    mut retry_after: impl FnMut(&str, bool, u64) -> u32,
) -> OutageReplay {
    let mut replay = OutageReplay { arrivals: [vec![0; 40], vec![0; 40]], given_up: 0 };
    let mut due: Vec<(u64, u64, usize)> = (0..(outage_ms + 20_000) * callers_per_s / 1_000)
        .map(|id| (id * 1_000 / callers_per_s, id, 0))
        .collect();
    while let Some(first) = (0..due.len()).min_by_key(|index| due[*index]) {
        let (at_ms, id, returns) = due.swap_remove(first);
        let is_urgent = id % 3 == 0;
        if at_ms >= outage_ms {
            let arrivals = &mut replay.arrivals[usize::from(!is_urgent)];
            let second = ((at_ms - outage_ms) / 1_000) as usize;
            if let Some(count) = arrivals.get_mut(second) {
                *count += 1;
            }
        } else if returns == 4 {
            replay.given_up += 1;
        } else {
            let after_ms = retry_after(&format!("{id:016x}"), is_urgent, at_ms);
            assert!(after_ms % 1_000 == 0 && (1_000..=8_000).contains(&after_ms), "{after_ms}");
            due.push((at_ms + u64::from(after_ms), id, returns + 1));
        }
    }
    replay
}

impl OutageReplay {
    fn peak(&self) -> usize {
        let [urgent, others] = &self.arrivals;
        urgent.iter().zip(others).map(|(urgent, others)| urgent + others).max().unwrap()
    }
}

/// Guards against callers that return in the same seconds, more of them than the store can serve.
#[test]
fn returns_after_an_outage_stay_below_what_the_store_serves() {
    for outage_ms in [2_500, 4_300, 5_000, 6_500] {
        let mut returns = OutageReturns::default();
        let spread = replay_outage(outage_ms, 40, |id, is_urgent, away_ms| {
            returns.refuse(id, is_urgent, away_ms, JOBS_PER_S)
        });
        assert!(spread.peak() as f64 <= JOBS_PER_S, "{outage_ms} ms: {}", spread.peak());
        assert_eq!(spread.given_up, 0, "{outage_ms} ms");
    }
    let by_length = |_: &str, _, away_ms| retry_after_ms(away_ms).div_ceil(1_000) * 1_000;
    let bunched = replay_outage(5_000, 40, by_length);
    assert!(bunched.peak() as f64 > JOBS_PER_S, "the replay must have a peak: {}", bunched.peak());
}

/// Guards against urgent callers that return behind the others.
#[test]
fn urgent_callers_return_first() {
    let mut returns = OutageReturns::default();
    let mut sums = [(0, 0); 2];
    for id in 0..400_u64 {
        let (is_urgent, away_ms) = (id % 2 == 0, 2_000 + id);
        let after_ms = returns.refuse(&format!("{id:016x}"), is_urgent, away_ms, JOBS_PER_S);
        let sum = &mut sums[usize::from(!is_urgent)];
        *sum = (sum.0 + after_ms, sum.1 + 1);
    }
    let [urgent, others] = sums.map(|(sum_ms, callers)| sum_ms / callers);
    assert!(urgent + 500 <= others, "{urgent} {others}");
}

/// Guards against a Retry-After that a daemon counts into the next outage, and that differs between
/// daemons for no reason.
#[test]
fn a_new_outage_starts_anew_and_the_same_refusals_give_the_same_times() {
    let refuse_all = |returns: &mut OutageReturns| -> Vec<u32> {
        (0..300_u64)
            .map(|id| returns.refuse(&format!("{id:016x}"), false, 3_000 + id, JOBS_PER_S))
            .collect()
    };
    let mut returns = OutageReturns::default();
    let first = refuse_all(&mut returns);
    assert_eq!(refuse_all(&mut returns), first);
    assert!(first[299] >= first[0]);
}

/// Guards against an outage so long, or so many callers, that all return in the last second.
#[test]
fn a_bounded_retry_after_still_spreads_callers() {
    let mut returns = OutageReturns::default();
    let mut by_second = [0; 9];
    for id in 0..4_000_u64 {
        let after_ms = returns.refuse(&format!("{id:016x}"), id % 3 == 0, 9_000, JOBS_PER_S);
        by_second[(after_ms / 1_000) as usize] += 1;
    }
    assert!(by_second.iter().all(|callers| *callers <= 1_200), "{by_second:?}");
}
