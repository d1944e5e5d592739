//! The whole path in one process, judged by the stand-ins' books.
#![allow(clippy::expect_used, reason = "a test ends on a broken assumption")]

use std::path::PathBuf;

use agatesill_standin::demo::{DemoOptions, DemoReport, Invariants, run};

async fn demo(break_double_run: bool) -> DemoReport {
    let examples = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    run(&DemoOptions { examples, break_double_run }).await.expect("the demo ends")
}

/// Invariants hold on a healthy floor. Answer times are not judged here: a busy machine may make
/// them late, and a test's verdict must not depend on that.
#[tokio::test(flavor = "multi_thread")]
async fn the_whole_path_keeps_every_invariant() {
    let report = demo(false).await;
    assert_eq!(report.invariants, Invariants::default());
    assert_eq!(report.batch.finished, report.batch.jobs);
    assert_eq!(report.config.reverted, 0);
    assert!(report.services.iter().all(|service| service.requests == 600), "{report:?}");
}

/// A worker runs one attempt twice, against all rules. The daemons cannot see it; the books of the
/// floor do, and the demo has to fail. Without this, a check that can never fail would pass.
#[tokio::test(flavor = "multi_thread")]
async fn a_worker_that_runs_an_attempt_twice_is_seen() {
    let report = demo(true).await;
    assert!(report.invariants.double_runs > 0);
    assert!(!report.is_good());
}
