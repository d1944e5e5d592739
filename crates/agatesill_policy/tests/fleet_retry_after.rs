//! When refused callers come back.

use agatesill_policy::fleet::retry_after_ms;

/// When a caller who is told each time when to come back tries, counted from the start of an outage.
fn tries_ms(first_ms: u64, retries: usize, after_ms: impl Fn(u64) -> u64) -> Vec<u64> {
    let next = |last: &u64| Some(last + after_ms(*last).div_ceil(1_000) * 1_000);
    std::iter::successors(Some(first_ms), next).take(retries + 1).collect()
}

/// Guards against callers who have all given up when the store comes back.
#[test]
fn callers_with_four_retries_outlast_an_outage_of_seconds() {
    for outage_ms in [500, 2_000, 4_300, 6_500] {
        let arrivals = (0..outage_ms).step_by(100);
        let lost = |after_ms: fn(u64) -> u64| {
            arrivals
                .clone()
                .filter(|at| tries_ms(*at, 4, after_ms).iter().all(|t| *t < outage_ms))
                .count()
        };
        assert_eq!(lost(|away_ms| u64::from(retry_after_ms(away_ms))), 0, "{outage_ms}");
        if outage_ms > 4_000 {
            assert!(lost(|_| 1_000) > 0, "a second each time is not enough");
        }
    }
}

/// Guards against callers who stay away for long after the store is back.
#[test]
fn nobody_waits_longer_than_the_outage_has_lasted() {
    for away_ms in [0, 300, 1_000, 3_000, 60_000] {
        assert!(u64::from(retry_after_ms(away_ms)) <= away_ms.clamp(1_000, 8_000));
    }
}
