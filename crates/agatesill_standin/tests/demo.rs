//! Runs the demo in one process and verifies it by the stand-ins' audit logs.
#![allow(clippy::expect_used, reason = "a test fails on a violated assumption")]

use std::path::PathBuf;

use agatesill_standin::demo::{DemoOptions, DemoReport, Invariants, run};

async fn demo(break_double_run: bool) -> DemoReport {
    let examples = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    run(&DemoOptions { examples, break_double_run }).await.expect("the demo ends")
}

/// All invariants hold with healthy workers. Response times are not checked, because they depend on
/// the load of the test machine.
#[tokio::test(flavor = "multi_thread")]
async fn healthy_demo_violates_no_invariant() {
    let report = demo(false).await;
    assert_eq!(report.invariants, Invariants::default());
    assert_eq!(report.batch.finished, report.batch.jobs);
    assert_eq!(report.config.reverted, 0);
    assert!(report.services.iter().all(|service| service.requests == 600), "{report:?}");
}

/// A worker runs one attempt twice, which violates the protocol and is invisible to the daemons.
/// The audit log of the workers must show it and the demo must fail. This guards against a check
/// that never fails.
#[tokio::test(flavor = "multi_thread")]
async fn double_run_is_reported_as_violation() {
    let report = demo(true).await;
    assert!(report.invariants.double_runs > 0);
    assert!(!report.is_success());
}
