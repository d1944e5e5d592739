//! Which deployments call for load control.

use std::collections::HashMap;

use agatesill_policy::admission::{LoadControl, LoadView, calls_for_load_control};
use agatesill_policy::fleet::{FleetBounds, QueueTerms};

fn terms(service: &str, priority: u32, target_ms: u64) -> QueueTerms {
    QueueTerms {
        service: service.to_owned(),
        priority,
        max_attempts: 2,
        stretch: 1.5,
        target_ms,
        needs_advice: false,
    }
}

fn bounds(stop_grace_ms: u64) -> FleetBounds {
    FleetBounds { lease_max_ms: 10_000, harm_ms: 4_000, drain_ms: 3_000, stop_grace_ms }
}

fn queues() -> HashMap<String, QueueTerms> {
    HashMap::from([
        ("urgent".to_owned(), terms("core", 0, 300)),
        ("serving".to_owned(), terms("core", 0, 2_500)),
        ("batch".to_owned(), terms("core", 2, 100)),
    ])
}

/// Guards against load control where CPU can't be freed within the target of the most urgent queue.
#[test]
fn auto_needs_a_stop_within_the_shortest_urgent_target() {
    let calls =
        |grace_ms| calls_for_load_control(LoadControl::Auto, "core", &queues(), &bounds(grace_ms));
    assert!(calls(200));
    assert!(calls(300));
    assert!(!calls(400));
    assert!(!calls(0));
    assert!(!calls_for_load_control(LoadControl::Auto, "other", &queues(), &bounds(200)));
}

/// Guards against an operator's setting that does not win over the bounds.
#[test]
fn setting_overrides_the_bounds() {
    assert!(calls_for_load_control(LoadControl::On, "core", &queues(), &bounds(900)));
    assert!(!calls_for_load_control(LoadControl::Off, "core", &queues(), &bounds(200)));
}

/// Guards against a view of a former planner that replaces a newer one.
#[test]
fn older_epochs_and_sequences_do_not_replace_a_view() {
    let view = |epoch, sequence| LoadView { epoch, sequence, ..LoadView::default() };
    assert!(view(8, 1).is_newer_than(&view(7, 900)));
    assert!(view(8, 2).is_newer_than(&view(8, 1)));
    assert!(!view(7, 900).is_newer_than(&view(8, 1)));
    assert!(!view(8, 2).is_newer_than(&view(8, 2)));
}
