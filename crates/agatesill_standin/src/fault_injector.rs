//! Injects network faults in front of a stand-in: partitions, late calls, lost responses and slow
//! responses.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

/// Longest time for which a call is held back, so that no connection stays open forever.
const HOLD_TIMEOUT: Duration = Duration::from_secs(5);

/// Fault applied to the calls that pass through an injector.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum FaultMode {
    /// Calls pass unchanged.
    #[default]
    PassThrough,
    /// Calls are blocked and never take effect.
    Cut,
    /// Calls take effect; their responses are held back and dropped.
    DropResponses,
    /// Calls take effect at once; their responses are delayed.
    DelayResponses {
        /// Delay of each response.
        delay_ms: u64,
    },
    /// Calls take effect after a delay, also if the caller has given up by then.
    DelayCalls {
        /// Delay of each call.
        delay_ms: u64,
    },
}

/// Fault injector for one network path. Clones share one mode.
#[derive(Clone, Debug)]
pub struct FaultInjector {
    mode: Arc<watch::Sender<FaultMode>>,
}

impl Default for FaultInjector {
    fn default() -> Self {
        Self { mode: Arc::new(watch::Sender::new(FaultMode::PassThrough)) }
    }
}

impl FaultInjector {
    /// Switches the mode for new calls and ends the hold of calls held back in another mode.
    pub fn set(&self, mode: FaultMode) {
        self.mode.send_replace(mode);
    }

    /// Runs `call` under the current mode. `None` means that the caller gets no response.
    pub async fn apply<T: Send + 'static>(
        &self,
        call: impl Future<Output = T> + Send + 'static,
    ) -> Option<T> {
        let mode = *self.mode.borrow();
        match mode {
            FaultMode::PassThrough => Some(call.await),
            FaultMode::Cut => {
                self.wait_for_mode_change(mode).await;
                None
            }
            FaultMode::DropResponses => {
                call.await;
                self.wait_for_mode_change(mode).await;
                None
            }
            FaultMode::DelayResponses { delay_ms } => {
                let response = call.await;
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                Some(response)
            }
            FaultMode::DelayCalls { delay_ms } => {
                // A task of its own: the server drops a handler whose caller has disconnected.
                let delivered = tokio::spawn(async move {
                    tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                    call.await
                });
                delivered.await.ok()
            }
        }
    }

    async fn wait_for_mode_change(&self, mode: FaultMode) {
        let mut changes = self.mode.subscribe();
        let changed = changes.wait_for(|current| *current != mode);
        let _ = tokio::time::timeout(HOLD_TIMEOUT, changed).await;
    }
}
