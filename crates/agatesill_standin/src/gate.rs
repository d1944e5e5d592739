//! A gate in front of a stand-in: what a partition, a lost answer or a slow network does to calls.

use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::watch;

/// A call that is held back is given up after this time, so that no connection stays for ever.
const HELD_LIMIT: Duration = Duration::from_secs(5);

/// What happens to calls at a gate.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub enum GateMode {
    /// Calls pass.
    #[default]
    Open,
    /// Calls are held back and never take effect.
    Cut,
    /// Calls take effect; their answers are held back and lost.
    LoseAnswers,
    /// Calls take effect at once; their answers come this much later.
    SlowAnswers {
        /// The delay.
        delay_ms: u64,
    },
}

/// A gate; clones share one mode.
#[derive(Clone, Debug)]
pub struct Gate {
    mode: Arc<watch::Sender<GateMode>>,
}

impl Default for Gate {
    fn default() -> Self {
        Self { mode: Arc::new(watch::Sender::new(GateMode::Open)) }
    }
}

impl Gate {
    /// Switches the mode.
    pub fn set(&self, mode: GateMode) {
        self.mode.send_replace(mode);
    }

    /// Lets `call` through as the mode has it; `None` means that the caller gets no answer.
    pub async fn pass<T>(&self, call: impl Future<Output = T>) -> Option<T> {
        let mode = *self.mode.borrow();
        match mode {
            GateMode::Open => Some(call.await),
            GateMode::Cut => {
                self.hold(mode).await;
                None
            }
            GateMode::LoseAnswers => {
                call.await;
                self.hold(mode).await;
                None
            }
            GateMode::SlowAnswers { delay_ms } => {
                let answer = call.await;
                tokio::time::sleep(Duration::from_millis(delay_ms)).await;
                Some(answer)
            }
        }
    }

    async fn hold(&self, mode: GateMode) {
        let mut changes = self.mode.subscribe();
        let changed = changes.wait_for(|now| *now != mode);
        let _ = tokio::time::timeout(HELD_LIMIT, changed).await;
    }
}
