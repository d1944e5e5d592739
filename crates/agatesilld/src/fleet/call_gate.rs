//! Bounds the calls to workers that the daemon makes in one turn of the planner, those for urgent work
//! first.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agatesill_policy::fleet::{CallClass, CallQueue, Order};
use tokio::sync::{Notify, oneshot};

/// Longest time for which a poll waits behind those of other workers. A lease of its worker must be
/// renewed meanwhile.
const MAX_POLL_DELAY: Duration = Duration::from_millis(500);

/// A call that waits for a turn.
#[derive(Debug)]
enum WaitingCall {
    Order(Box<Order>),
    Poll(oneshot::Sender<()>),
}

/// Gate that all calls to workers pass.
#[derive(Debug, Default)]
pub struct CallGate {
    queue: Mutex<CallQueue<WaitingCall>>,
    /// Notified when a call begins to wait.
    is_waiting: Notify,
}

impl CallGate {
    /// Waits until a poll may be sent.
    pub async fn enter_poll(&self, class: CallClass) {
        let Some(turn) = self.take_or_wait(class) else { return };
        // The turn is dropped with the planner, whose connections end then.
        if tokio::time::timeout(MAX_POLL_DELAY, turn).await.is_err() {
            if let Some(turn) = self.take_or_wait(CallClass::Overdue) {
                drop(turn.await);
            }
        }
    }

    fn take_or_wait(&self, class: CallClass) -> Option<oneshot::Receiver<()>> {
        let mut queue = self.queue();
        if queue.try_take(class) {
            return None;
        }
        let (turn, receiver) = oneshot::channel();
        queue.push(class, WaitingCall::Poll(turn));
        drop(queue);
        self.is_waiting.notify_one();
        Some(receiver)
    }

    /// Queues an order, to be returned by [`CallGate::release`] in this turn or a later one.
    pub fn push_order(&self, class: CallClass, order: Order) {
        self.queue().push(class, WaitingCall::Order(Box::new(order)));
    }

    /// Begins a turn; `calls_us` is how long the calls of the last one took the processor.
    pub fn begin_turn(&self, calls_us: u64) {
        self.queue().begin_turn(calls_us);
    }

    /// Lets as many calls pass as this turn has left, and returns the orders among them that `may_send`
    /// accepts.
    pub fn release(&self, mut may_send: impl FnMut(&Order) -> bool) -> Vec<Order> {
        let mut queue = self.queue();
        let mut orders = Vec::new();
        while let Some(call) = queue.pop() {
            let is_made = match call {
                WaitingCall::Order(order) => {
                    let is_due = may_send(&order);
                    orders.extend(is_due.then_some(*order));
                    is_due
                }
                // It fails if the poll now waits in another class, or its connection has been closed.
                WaitingCall::Poll(turn) => turn.send(()).is_ok(),
            };
            if !is_made {
                queue.put_back();
            }
        }
        orders
    }

    /// Returns when calls wait for a turn.
    pub async fn wait_for_calls(&self) {
        loop {
            let waiting = self.is_waiting.notified();
            if !self.queue().is_empty() {
                return;
            }
            waiting.await;
        }
    }

    /// Number of calls that wait, and of those that may be made in each turn.
    pub fn load(&self) -> (usize, usize) {
        let queue = self.queue();
        (queue.len(), queue.calls_per_turn())
    }

    fn queue(&self) -> MutexGuard<'_, CallQueue<WaitingCall>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
