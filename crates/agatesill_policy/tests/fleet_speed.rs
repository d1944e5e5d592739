//! Estimates of workers' speeds.

use agatesill_policy::fleet::{SpeedEstimate, US_PER_MS};

const SAMPLE_INTERVAL_US: u64 = 450 * US_PER_MS;

fn after(samples: &[(f64, f64)]) -> (SpeedEstimate, u64) {
    let mut estimate = SpeedEstimate::default();
    let mut now_us = 10_000 * US_PER_MS;
    for (speed, weight) in samples {
        now_us += SAMPLE_INTERVAL_US;
        estimate.add(*speed, *weight, now_us);
    }
    (estimate, now_us)
}

/// Guards against a worker that counts as slow before anything is known of it.
#[test]
fn unknown_worker_has_the_usual_speed() {
    let estimate = SpeedEstimate::default();
    assert!((estimate.speed(5) - 1.0).abs() < f64::EPSILON);
    assert!(estimate.confidence(5).abs() < f64::EPSILON);
}

/// Guards against a worker that counts as slow after a single slow task.
#[test]
fn one_sample_is_no_proof() {
    let (estimate, now_us) = after(&[(1.0 / 6.0, 1.0)]);
    assert!(!estimate.is_certain(now_us), "{}", estimate.confidence(now_us));
}

/// Guards against a slow worker that is recognised only when its slow spell is nearly over.
#[test]
fn slow_worker_is_recognised_within_two_seconds() {
    let usual = [(1.0, 1.0); 10];
    let slow = [(1.0 / 6.0, 1.0); 4];
    let (estimate, now_us) = after(&[&usual[..], &slow[..]].concat());
    assert!(estimate.speed(now_us) < 0.45, "{}", estimate.speed(now_us));
    assert!(estimate.is_certain(now_us));
}

/// Guards against samples that are believed long after the worker has changed.
#[test]
fn confidence_fades_without_samples() {
    let (estimate, now_us) = after(&[(0.1, 1.0); 10]);
    let later_us = now_us + 4_000 * US_PER_MS;
    assert!(estimate.confidence(later_us) < 0.1, "{}", estimate.confidence(later_us));
    assert!(estimate.speed(later_us) > 0.8, "{}", estimate.speed(later_us));
}

/// Guards against a worker that counts as slow because ambiguous samples are many.
#[test]
fn ambiguous_samples_give_little_confidence() {
    let (estimate, now_us) = after(&[(0.1, 0.3); 20]);
    assert!(!estimate.is_certain(now_us), "{}", estimate.confidence(now_us));
}
