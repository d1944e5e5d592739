//! Shares of the queues in what is left under shortage.
//!
//! Load pattern: one queue sends ten times as much as the others of its service. If all were
//! accepted with the same probability, the others would be refused for load that is not theirs.
//! Each queue has a token bucket that fills with its weighted share of the drain. While it holds
//! enough for a job, the job is accepted like in calm times.

use std::collections::HashMap;

use crate::batch::TokenBucket;

/// Time after its last job for which a queue has a share.
const ACTIVE_MS: u64 = 10_000;

/// Part of the drain that is shared out. The rest goes to whoever sends, and takes up the error of
/// the measured drain.
const SHARED_PART: f64 = 0.8;

/// Time for which a queue may save its share.
const BURST_S: f64 = 4.0;

#[derive(Clone, Debug, Default)]
struct Sender {
    bucket: TokenBucket,
    weight: f64,
    seen_ms: u64,
    tokens: usize,
}

/// The queues that send one kind of work to one service.
#[derive(Clone, Debug, Default)]
pub(super) struct SenderShares {
    senders: HashMap<String, Sender>,
}

impl SenderShares {
    /// Records a job of a queue. `drain_per_s` is the daemon's part of the drain in core-milliseconds
    /// per second.
    pub fn offered(
        &mut self,
        queue: &str,
        priority: u32,
        core_ms: f64,
        drain_per_s: f64,
        now_ms: u64,
    ) {
        self.senders.retain(|_, sender| now_ms.saturating_sub(sender.seen_ms) < ACTIVE_MS);
        let others: f64 = self
            .senders
            .iter()
            .filter(|(name, _)| name.as_str() != queue)
            .map(|(_, sender)| sender.weight)
            .sum();
        if !self.senders.contains_key(queue) {
            self.senders.insert(queue.to_owned(), Sender::default());
        }
        let Some(sender) = self.senders.get_mut(queue) else { return };
        sender.seen_ms = now_ms;
        sender.weight = 1.0 / (f64::from(priority) + 1.0);
        let per_s = drain_per_s * SHARED_PART * sender.weight / (sender.weight + others);
        sender.tokens = sender.bucket.refill(now_ms, per_s, (per_s * BURST_S).max(core_ms));
    }

    /// Whether a job is within the share of its queue. A queue that is alone has no share to keep.
    pub fn is_within(&self, queue: &str, core_ms: f64) -> bool {
        self.is_contended()
            && self.senders.get(queue).is_some_and(|sender| sender.tokens as f64 >= core_ms)
    }

    /// Whether several queues compete.
    pub fn is_contended(&self) -> bool {
        self.senders.len() > 1
    }

    /// Charges an accepted job to its queue.
    pub fn accepted(&mut self, queue: &str, core_ms: f64) {
        if let Some(sender) = self.senders.get_mut(queue) {
            sender.bucket.spend(core_ms as usize);
        }
    }
}
