//! Tasks whose end must not go unnoticed.

use std::time::Duration;

use agatesilld::fleet::supervision::{cancel_at_end, spawn_supervised};
use tokio_util::sync::CancellationToken;

const WAIT: Duration = Duration::from_secs(5);

/// Guards against a planner that has panicked while its daemon keeps the range.
#[tokio::test]
async fn a_panic_of_the_supervised_task_cancels_its_token() {
    let ended = CancellationToken::new();
    let task = spawn_supervised(async { panic!("an assumption does not hold") }, &ended);
    let is_cancelled = tokio::time::timeout(WAIT, ended.cancelled()).await.is_ok();
    assert!(is_cancelled, "the end was not noticed");
    assert!(task.await.is_err_and(|error: tokio::task::JoinError| error.is_panic()));
}

/// Guards against a planner that has returned while its daemon keeps the range.
#[tokio::test]
async fn the_end_of_the_supervised_task_cancels_its_token() {
    let ended = CancellationToken::new();
    assert_eq!(spawn_supervised(async { 7 }, &ended).await.ok(), Some(7));
    assert!(ended.is_cancelled());
}

/// Guards against a planner that goes on without one of its watchers.
#[tokio::test]
async fn the_end_of_a_watcher_cancels_the_token() {
    let ended = CancellationToken::new();
    cancel_at_end(async {}, &ended).await;
    assert!(ended.is_cancelled());
}
