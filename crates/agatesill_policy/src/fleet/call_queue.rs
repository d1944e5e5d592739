//! Which calls to workers the planner's daemon makes in one turn of the planner.
//!
//! Load pattern: a thousand workers answer polls and wait for starts, on a host that gives the daemon a
//! third of the processor time that the calls take. All tasks of the daemon share one run queue, and a
//! start passes it several times. Without a bound on the calls in one turn, an urgent start waits at
//! each of these stages behind the calls for all other work, however it is ranked.

use std::collections::VecDeque;

use super::US_PER_MS;
use super::orders::OrderKind;
use super::start_waits::Urgency;

/// Time for which the calls of one turn should take the processor: long enough to keep the planner's
/// own part of a turn small, and short enough for an urgent start to pass several turns in its
/// objective.
const CALLS_PER_TURN_US: u64 = US_PER_MS;

/// Least and greatest number of calls in one turn.
const MIN_CALLS_PER_TURN: usize = 8;
const MAX_CALLS_PER_TURN: usize = 512;

/// Part of each turn, in calls, that the first two classes leave to the others: one of this many.
const RESERVED_SHARE: usize = 4;

/// Order of calls while not all can be made at once. Calls of one class are made in the order of their
/// requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum CallClass {
    /// Urgent starts, stops, changes of pace, and polls of workers without a lease.
    First,
    /// Starts of long-running tasks, and polls of workers with urgent tasks.
    Second,
    /// Polls that are overdue.
    Overdue,
    /// Other starts and polls.
    Last,
}

impl CallClass {
    /// All classes, in order.
    pub const ALL: [CallClass; 4] =
        [CallClass::First, CallClass::Second, CallClass::Overdue, CallClass::Last];

    /// Class of an order about a task of this urgency.
    pub fn of_order(kind: &OrderKind, urgency: Urgency) -> Self {
        match (kind, urgency) {
            (OrderKind::Stop | OrderKind::Pace { .. }, _) | (_, Urgency::Urgent) => {
                CallClass::First
            }
            (_, Urgency::LongRunning) => CallClass::Second,
            (_, Urgency::Deferrable) => CallClass::Last,
        }
    }
}

/// Calls that wait for their turn. `T` is what the daemon needs to make the call.
#[derive(Debug)]
pub struct CallQueue<T> {
    waiting: [VecDeque<T>; CallClass::ALL.len()],
    /// Calls that may be made in each turn.
    calls_per_turn: usize,
    /// Calls that may still be made in this turn.
    left: usize,
    /// Those among them that the first two classes leave to the others.
    reserved: usize,
    /// Whether calls have waited in this turn.
    is_limiting: bool,
}

impl<T> Default for CallQueue<T> {
    fn default() -> Self {
        Self {
            waiting: std::array::from_fn(|_| VecDeque::new()),
            calls_per_turn: MAX_CALLS_PER_TURN,
            left: MAX_CALLS_PER_TURN,
            reserved: MAX_CALLS_PER_TURN / RESERVED_SHARE,
            is_limiting: false,
        }
    }
}

impl<T> CallQueue<T> {
    /// Number of calls that wait.
    pub fn len(&self) -> usize {
        self.waiting.iter().map(VecDeque::len).sum()
    }

    /// Whether no call waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.iter().all(VecDeque::is_empty)
    }

    /// Number of calls that may be made in each turn.
    pub fn calls_per_turn(&self) -> usize {
        self.calls_per_turn
    }

    /// Takes the right to make a call at once. Fails if the turn is used up, or if calls of the class
    /// wait.
    pub fn try_take(&mut self, class: CallClass) -> bool {
        if !self.waiting[class as usize].is_empty() || !self.may_call(class) {
            return false;
        }
        self.count(class);
        true
    }

    /// Queues a call for a later turn.
    pub fn push(&mut self, class: CallClass, call: T) {
        self.waiting[class as usize].push_back(call);
    }

    /// Returns the next call to make in this turn.
    pub fn pop(&mut self) -> Option<T> {
        for class in CallClass::ALL {
            if self.may_call(class) {
                if let Some(call) = self.waiting[class as usize].pop_front() {
                    self.count(class);
                    return Some(call);
                }
            }
        }
        self.is_limiting |= !self.is_empty();
        None
    }

    /// Gives back the right to a call that was popped and is not made.
    pub fn put_back(&mut self) {
        self.left += 1;
    }

    /// Begins a turn. `calls_us` is how long the calls of the last one took the processor, to which
    /// their number is adapted: the cost of a call differs by hosts, and on a busy one from second to
    /// second.
    pub fn begin_turn(&mut self, calls_us: u64) {
        let calls = self.calls_per_turn;
        let has_limited = std::mem::take(&mut self.is_limiting);
        if calls_us > CALLS_PER_TURN_US {
            let made = calls.saturating_sub(self.left) as u64;
            let fitting = (made * CALLS_PER_TURN_US / calls_us) as usize;
            self.calls_per_turn = fitting.clamp(calls / 2, calls).max(MIN_CALLS_PER_TURN);
        } else if has_limited {
            self.calls_per_turn = (calls + calls / 8 + 1).min(MAX_CALLS_PER_TURN);
        }
        self.left = self.calls_per_turn;
        self.reserved = self.calls_per_turn / RESERVED_SHARE;
    }

    fn may_call(&self, class: CallClass) -> bool {
        let reserved = if class < CallClass::Overdue { self.reserved } else { 0 };
        self.left > reserved
    }

    fn count(&mut self, class: CallClass) {
        self.left -= 1;
        if class >= CallClass::Overdue {
            self.reserved = self.reserved.saturating_sub(1);
        }
    }
}
