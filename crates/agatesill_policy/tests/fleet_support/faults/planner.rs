//! Simulated planner: the ledger under test, its connections to workers and its transactions.

use std::collections::HashMap;

use agatesill_policy::fleet::{Fleet, WorkerIndex};

use super::{MS, S};

/// Lease that each call requests.
pub const LEASE_US: u64 = 5 * S;

/// Longest wait of a poll for an end.
pub const POLL_WAIT_US: u64 = 500 * MS;

/// Longest wait of a poll at an idle worker, and the pause after it.
pub const IDLE_WAIT_US: u64 = 2 * S;

/// Time after which a poll counts as unanswered, on top of its wait.
pub const POLL_TIMEOUT_US: u64 = 700 * MS;

/// Pause after a failed poll.
pub const POLL_BACKOFF_US: u64 = 250 * MS;

/// Time after which an order counts as unanswered.
pub const ORDER_TIMEOUT_US: u64 = 400 * MS;

/// Time after which a transaction counts as unanswered.
pub const TXN_TIMEOUT_US: u64 = 600 * MS;

/// Age from which a start is not sent.
pub const MAX_START_AGE_US: u64 = 3 * S;

/// Maximum number of transactions in flight.
pub const MAX_COMMITS: usize = 4;

/// Maximum number of entries in a transaction.
pub const MAX_ENTRIES: usize = 31;

/// A poll that waits at its worker.
#[derive(Clone, Copy, Debug)]
pub struct WaitingPoll {
    /// When the poll was sent.
    pub sent_us: u64,
    /// Whether it requested a lease.
    pub has_lease: bool,
    /// When it is answered without an end.
    pub until_us: u64,
}

/// Connection to one worker incarnation.
#[derive(Debug)]
pub struct Connection {
    /// Identifier of the incarnation.
    pub id: String,
    /// Address of the incarnation.
    pub address: String,
    /// Poll that waits at the worker.
    pub waiting: Option<WaitingPoll>,
    /// Whether an answer to a poll is on the way.
    pub is_answer_under_way: bool,
    /// When the next poll is sent.
    pub next_poll_us: u64,
    /// Whether the last poll was answered.
    pub is_answering: bool,
    /// End of the newest lease that was requested.
    pub requested_until_us: u64,
    /// Whether nothing runs on the worker.
    pub is_idle: bool,
}

impl Connection {
    /// Opens a connection that polls at once.
    pub fn new(id: String, address: String, now_us: u64) -> Self {
        Self {
            id,
            address,
            waiting: None,
            is_answer_under_way: false,
            next_poll_us: now_us,
            is_answering: false,
            requested_until_us: 0,
            is_idle: false,
        }
    }

    /// Lease end to request; `None` if the last poll was not answered.
    pub fn lease_to_request(&mut self, now_us: u64) -> Option<u64> {
        if !self.is_answering {
            return None;
        }
        self.requested_until_us = self.requested_until_us.max(now_us + LEASE_US);
        Some(now_us + LEASE_US)
    }

    /// Wait of the next poll.
    pub fn poll_wait_us(&self) -> u64 {
        match (self.requested_until_us, self.is_answering, self.is_idle) {
            (0, ..) | (_, false, _) => 0,
            (_, true, true) => IDLE_WAIT_US,
            (_, true, false) => POLL_WAIT_US,
        }
    }
}

/// The planner of one epoch.
pub struct Planner {
    /// The ledger.
    pub fleet: Fleet,
    /// Epoch.
    pub epoch: u64,
    /// Connections by worker.
    pub connections: HashMap<WorkerIndex, Connection>,
    /// Transactions in flight.
    pub commits_under_way: usize,
}
