//! Supervision of tasks whose end must not go unnoticed.

use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Spawns `work` and cancels `ended` when it ends, also if it panics.
///
/// Guards against an owner that renews its lease for a component that does not run any more: no
/// other process would replace it.
pub fn spawn_supervised<F>(work: F, ended: &CancellationToken) -> JoinHandle<F::Output>
where
    F: Future + Send + 'static,
    F::Output: Send + 'static,
{
    tokio::spawn(cancel_at_end(work, ended))
}

/// Runs `work` and cancels `ended` when it ends, also if it panics or is dropped.
pub fn cancel_at_end<F: Future>(
    work: F,
    ended: &CancellationToken,
) -> impl Future<Output = F::Output> + use<F> {
    let guard = ended.clone().drop_guard();
    async move {
        let _guard = guard;
        work.await
    }
}
