//! Retry-After of callers that are refused during a store outage.

use agatesill_policy::fleet::retry_after_ms;

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
