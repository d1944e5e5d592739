//! Stores jobs that are accepted while calls to the store are under way in shared transactions.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agatesill_coord::prelude::*;
use agatesill_policy::admission::group_commit::{
    self, Create, CreateOutcome, GroupAnswer, GroupCommit, Resolution,
};
use agatesill_policy::fleet::US_PER_MS;
use agatesill_wire::platform::{Entry, KeyVersion, Put, StoreCall};
use agatesill_wire::prelude::*;
use tokio::sync::oneshot;
use tokio::time::Instant;

use super::clock::Clock;
use super::line_limit::LineLimit;
use super::metrics::FleetMetrics;
use crate::job_keys::guarded::{Guarded, WRITE_TIMEOUT};

/// Maximum wait for a transaction; after that the job is not stored.
const MAX_WAIT: Duration = WRITE_TIMEOUT;

/// Time from the first transaction of a group after which nothing of it is sent again.
const RESEND_TIMEOUT: Duration = WRITE_TIMEOUT;

/// Maximum number of lines a second about groups.
const MAX_GROUP_LINES_PER_S: u32 = 10;

/// A create whose caller waits.
#[derive(Debug)]
struct Pending {
    value: String,
    answer: oneshot::Sender<Guarded>,
}

#[derive(Debug, Default)]
struct State {
    queue: GroupCommit,
    pending: HashMap<u64, Pending>,
    last_ticket: u64,
}

#[derive(Debug)]
struct Shared {
    store: Store,
    metrics: FleetMetrics,
    clock: Clock,
    lines: LineLimit,
    state: Mutex<State>,
}

/// Creates keys of jobs in shared transactions.
#[derive(Debug)]
pub struct GroupCommitter {
    shared: Arc<Shared>,
}

/// Withdraws a create if its caller stops waiting before it was sent.
struct WaitGuard<'a> {
    shared: &'a Shared,
    ticket: u64,
}

/// A transaction as it was answered.
struct Sent {
    answer: Answer,
    entries: Vec<Entry>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Answer {
    Applied,
    Conflict,
    Rejected,
    NotServed,
    Unknown,
}

impl GroupCommitter {
    /// Creates keys in `store`.
    pub fn new(store: Store, metrics: FleetMetrics, clock: Clock) -> Self {
        let (lines, state) = (LineLimit::new(MAX_GROUP_LINES_PER_S), Mutex::default());
        Self { shared: Arc::new(Shared { store, metrics, clock, lines, state }) }
    }

    /// Creates a key, together with others if transactions are under way.
    ///
    /// Guards against a caller that goes away: its create is withdrawn if it was not sent, and what was
    /// sent is carried through for the others.
    pub async fn create(&self, key: &str, value: &str, is_urgent: bool) -> Guarded {
        let shared = &self.shared;
        if shared.store.is_unavailable() {
            return Guarded::NotWritten;
        }
        let Some((ticket, mut answer)) = shared.enqueue(key, value, is_urgent) else {
            log::debug!(event = "not_stored", key = key; "too many acceptances wait");
            return Guarded::NotWritten;
        };
        let _guard = WaitGuard { shared, ticket };
        send_groups(shared);
        let outcome = match tokio::time::timeout(MAX_WAIT, &mut answer).await {
            Ok(outcome) => outcome,
            Err(_) if shared.withdraw(ticket) => return Guarded::NotWritten,
            Err(_) => answer.await,
        };
        // Without an outcome the group's task has ended, perhaps after it sent the transaction.
        outcome.unwrap_or(Guarded::Unknown)
    }
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        self.shared.withdraw(self.ticket);
    }
}

impl Shared {
    fn enqueue(
        &self,
        key: &str,
        value: &str,
        is_urgent: bool,
    ) -> Option<(u64, oneshot::Receiver<Guarded>)> {
        let mut state = self.lock();
        state.last_ticket += 1;
        let ticket = state.last_ticket;
        let (bytes, arrived_us) = (value.len(), self.clock.now_us());
        let key = key.to_owned();
        if !state.queue.push(Create { ticket, key, bytes, is_urgent, arrived_us }) {
            return None;
        }
        let (answer, receiver) = oneshot::channel();
        state.pending.insert(ticket, Pending { value: value.to_owned(), answer });
        Some((ticket, receiver))
    }

    /// Removes a create that was not sent yet; false if it was.
    fn withdraw(&self, ticket: u64) -> bool {
        let mut state = self.lock();
        let is_waiting = state.queue.remove(ticket);
        if is_waiting {
            state.pending.remove(&ticket);
        }
        is_waiting
    }

    /// Answers the caller of a create, unless it has stopped waiting.
    fn answer(&self, ticket: u64, outcome: Guarded) {
        if let Some(pending) = self.lock().pending.remove(&ticket) {
            drop(pending.answer.send(outcome));
        }
    }

    /// The transaction that creates the keys of a group.
    fn txn(&self, group: &[Create]) -> StoreCall {
        let state = self.lock();
        let (mut expected, mut puts) = (Vec::new(), Vec::new());
        for create in group {
            let Some(pending) = state.pending.get(&create.ticket) else { continue };
            expected.push(KeyVersion { key: create.key.clone(), version: 0 });
            let (key, value) = (create.key.clone(), pending.value.clone());
            puts.push(Put { key, value, lease_id: 0 });
        }
        StoreCall::Txn { expected, puts, deletes: Vec::new() }
    }

    async fn send(&self, group: &[Create]) -> Sent {
        let call = self.store.call_reporting_outcome(self.txn(group));
        let reply = tokio::time::timeout(WRITE_TIMEOUT, call).await;
        let answer = match &reply {
            Ok(Ok(reply)) if reply.applied => Answer::Applied,
            Ok(Ok(_)) => Answer::Conflict,
            Ok(Err(error)) => match error.kind {
                ErrorKind::OutcomeUnknown => Answer::Unknown,
                ErrorKind::BadRequest | ErrorKind::TooLarge => Answer::Rejected,
                _ => Answer::NotServed,
            },
            Err(_) => Answer::Unknown,
        };
        let entries = match reply {
            Ok(Ok(reply)) => reply.entries,
            _ => Vec::new(),
        };
        Sent { answer, entries }
    }

    /// Records a transaction. Those of single jobs that took effect have no line.
    fn report(&self, group: &[Create], sent: &Sent, sent_us: u64) {
        let now_us = self.clock.now_us();
        let outcome = sent.answer.name();
        let waited_us = |create: &Create| sent_us.saturating_sub(create.arrived_us);
        self.metrics.acceptance_group(outcome, group.len());
        let waits = group.iter().map(|create| Duration::from_micros(waited_us(create)));
        waits.for_each(|wait| self.metrics.acceptance_wait(wait));
        if group.len() == 1 && sent.answer == Answer::Applied {
            return;
        }
        let Some(suppressed) = self.lines.admit(now_us) else { return };
        let (waiting, in_flight) = {
            let state = self.lock();
            (state.queue.waiting(), state.queue.in_flight())
        };
        log::info!(event = "acceptances_sent", outcome = outcome, jobs = group.len(),
            urgent = group.iter().filter(|create| create.is_urgent).count(),
            bytes = group.iter().map(|create| create.bytes).sum::<usize>(),
            longest_wait_ms = group.iter().map(waited_us).max().unwrap_or_default() / US_PER_MS,
            answered_ms = now_us.saturating_sub(sent_us) / US_PER_MS, waiting = waiting,
            in_flight = in_flight, suppressed = suppressed; "");
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Sends the groups that may be sent now. While the store is unavailable, what waits is not stored.
fn send_groups(shared: &Arc<Shared>) {
    if shared.store.is_unavailable() {
        let waiting = shared.lock().queue.take_waiting();
        waiting.iter().for_each(|create| shared.answer(create.ticket, Guarded::NotWritten));
        return;
    }
    loop {
        let group = shared.lock().queue.next_group();
        let Some(group) = group else { return };
        tokio::spawn(send_group(shared.clone(), group));
    }
}

/// Sends a group, and again what of it is neither stored nor answered.
async fn send_group(shared: Arc<Shared>, group: Vec<Create>) {
    let deadline = Instant::now() + RESEND_TIMEOUT;
    let mut unsent = vec![group];
    while let Some(group) = unsent.pop() {
        let sent_us = shared.clock.now_us();
        let sent = match shared.store.is_unavailable() || Instant::now() >= deadline {
            true => Sent { answer: Answer::NotServed, entries: Vec::new() },
            false => shared.send(&group).await,
        };
        shared.report(&group, &sent, sent_us);
        let Resolution { answered, resent } = sent.resolve(group);
        for (create, outcome) in answered {
            shared.answer(create.ticket, sent.guarded(&create.key, outcome));
        }
        unsent.extend(resent);
    }
    shared.lock().queue.group_ended();
    send_groups(&shared);
}

impl Answer {
    /// Name in log lines and metrics.
    fn name(self) -> &'static str {
        match self {
            Self::Applied => "stored",
            Self::Conflict => "conflict",
            Self::Rejected => "rejected",
            Self::NotServed => "not_served",
            Self::Unknown => "unknown",
        }
    }
}

impl Sent {
    fn resolve(&self, group: Vec<Create>) -> Resolution {
        let existing = self.entries.iter().filter(|entry| entry.version > 0);
        let existing: Vec<&str> = existing.map(|entry| entry.key.as_str()).collect();
        let answer = match self.answer {
            Answer::Applied => GroupAnswer::Applied,
            Answer::Conflict => GroupAnswer::Conflict(&existing),
            Answer::Rejected => GroupAnswer::Rejected,
            Answer::NotServed => GroupAnswer::NotServed,
            Answer::Unknown => GroupAnswer::Unknown,
        };
        group_commit::resolve(group, &answer)
    }

    fn guarded(&self, key: &str, outcome: CreateOutcome) -> Guarded {
        let is_found = |entry: &&Entry| entry.key == key && entry.version > 0;
        match outcome {
            CreateOutcome::Created => Guarded::Applied,
            CreateOutcome::Conflict => {
                Guarded::Conflict(self.entries.iter().find(is_found).cloned())
            }
            CreateOutcome::NotCreated => Guarded::NotWritten,
            CreateOutcome::Unknown => Guarded::Unknown,
        }
    }
}
