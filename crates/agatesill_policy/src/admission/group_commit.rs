//! Which acceptances are stored together.
//!
//! Load pattern: a burst of submissions arrives while the store takes many times its usual time for a
//! call, or serves few calls a second. With a call for each job, the number of calls in flight bounds
//! the acceptances, and callers are turned away although the store could take their jobs.
//!
//! A few transactions are in flight at a time; what arrives meanwhile goes into the next one. With a
//! store that answers quickly, each job goes alone and at once.

use std::collections::{HashSet, VecDeque};

/// Jobs in one transaction. The store takes 32 entries, and each job needs two: the check that its key
/// is absent, and its value.
pub const MAX_GROUP_CREATES: usize = 16;

/// Values in one transaction. A slow link transfers them within the timeout of a write.
pub const MAX_GROUP_BYTES: usize = 40 * 1_024;

/// Transactions in flight.
pub const MAX_GROUPS_IN_FLIGHT: usize = 12;

/// Waiting creates of each urgency.
const MAX_WAITING_CREATES: usize = 192;

/// Values of the waiting creates of each urgency.
const MAX_WAITING_BYTES: usize = 1_024 * 1_024;

/// Part of each group that waiting creates of less urgent jobs get.
const OTHERS_DIVISOR: usize = 4;

/// The create of a job's key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Create {
    /// Identifies the create at this daemon.
    pub ticket: u64,
    /// Key that must be absent.
    pub key: String,
    /// Size of its value.
    pub bytes: usize,
    /// Whether the job is of a most urgent queue of its service.
    pub is_urgent: bool,
    /// When the create arrived.
    pub arrived_us: u64,
}

/// Creates of one urgency, in order of arrival.
#[derive(Debug, Default)]
struct Line {
    creates: VecDeque<Create>,
    bytes: usize,
}

/// Creates that go into one transaction.
#[derive(Debug, Default)]
struct Group {
    creates: Vec<Create>,
    keys: HashSet<String>,
    bytes: usize,
}

/// Acceptances of one daemon that wait for a transaction.
#[derive(Debug, Default)]
pub struct GroupCommit {
    urgent: Line,
    others: Line,
    in_flight: usize,
    formed: u64,
}

impl GroupCommit {
    /// Adds a create; false if too many of its urgency wait.
    pub fn push(&mut self, create: Create) -> bool {
        let line = if create.is_urgent { &mut self.urgent } else { &mut self.others };
        let fits = line.creates.len() < MAX_WAITING_CREATES
            && line.bytes + create.bytes <= MAX_WAITING_BYTES;
        if fits {
            line.bytes += create.bytes;
            line.creates.push_back(create);
        }
        fits
    }

    /// Removes a create that waits; false if it doesn't.
    pub fn remove(&mut self, ticket: u64) -> bool {
        self.urgent.remove(ticket) || self.others.remove(ticket)
    }

    /// Takes the creates of the next transaction, if one may be sent now. [`Self::group_ended`] ends
    /// it.
    ///
    /// Urgent jobs go first, but others get a part of each group, and every second one begins with them
    /// so that a large value finds room in it.
    pub fn next_group(&mut self) -> Option<Vec<Create>> {
        if self.in_flight >= MAX_GROUPS_IN_FLIGHT || self.waiting() == 0 {
            return None;
        }
        let mut group = Group::default();
        if self.formed % 2 == 0 {
            group.take(&mut self.urgent, 1, MAX_GROUP_BYTES);
        }
        let (others, others_bytes) =
            (MAX_GROUP_CREATES / OTHERS_DIVISOR, MAX_GROUP_BYTES / OTHERS_DIVISOR);
        group.take(&mut self.others, others, others_bytes);
        group.take(&mut self.urgent, MAX_GROUP_CREATES, MAX_GROUP_BYTES);
        group.take(&mut self.others, MAX_GROUP_CREATES, MAX_GROUP_BYTES);
        self.in_flight += 1;
        self.formed += 1;
        Some(group.creates)
    }

    /// Records that a transaction, with all that was sent again of it, has ended.
    pub fn group_ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Takes all creates that wait, such as when the store has become unavailable.
    pub fn take_waiting(&mut self) -> Vec<Create> {
        let (urgent, others) = (std::mem::take(&mut self.urgent), std::mem::take(&mut self.others));
        urgent.creates.into_iter().chain(others.creates).collect()
    }

    /// Number of creates that wait.
    pub fn waiting(&self) -> usize {
        self.urgent.creates.len() + self.others.creates.len()
    }

    /// Number of transactions in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }
}

impl Line {
    fn remove(&mut self, ticket: u64) -> bool {
        let position = self.creates.iter().position(|create| create.ticket == ticket);
        let removed = position.and_then(|position| self.creates.remove(position));
        self.bytes -= removed.as_ref().map_or(0, |create| create.bytes);
        removed.is_some()
    }
}

impl Group {
    /// Takes creates in order of arrival while the group stays within `max_creates` and `max_bytes` for
    /// those of this call, and within its own bounds. Two creates of one key never share a group: the
    /// store could take both or neither.
    fn take(&mut self, line: &mut Line, max_creates: usize, max_bytes: usize) {
        let (mut taken, mut taken_bytes, mut position) = (0, 0, 0);
        while let Some(create) = line.creates.get(position) {
            if self.keys.contains(&create.key) {
                position += 1;
                continue;
            }
            let fits = self.creates.len() < MAX_GROUP_CREATES
                && self.bytes + create.bytes <= MAX_GROUP_BYTES
                && taken_bytes + create.bytes <= max_bytes;
            if taken == max_creates || !(fits || self.creates.is_empty()) {
                return;
            }
            let Some(create) = line.creates.remove(position) else { return };
            line.bytes -= create.bytes;
            (taken, taken_bytes) = (taken + 1, taken_bytes + create.bytes);
            self.bytes += create.bytes;
            self.keys.insert(create.key.clone());
            self.creates.push(create);
        }
    }
}

/// Answer to a transaction that creates keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GroupAnswer<'a> {
    /// All keys were created.
    Applied,
    /// None was created; the store named the keys that exist.
    Conflict(&'a [&'a str]),
    /// None was created: the store does not accept the transaction as it is.
    Rejected,
    /// None was created, nor can be: the transaction was not served.
    NotServed,
    /// They may have been created, or may still be.
    Unknown,
}

/// Outcome for one create.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CreateOutcome {
    /// The key was created.
    Created,
    /// The key exists, or no reason was given.
    Conflict,
    /// The key was not created by this create, nor can it be.
    NotCreated,
    /// The key may have been created, or may still be.
    Unknown,
}

/// What a transaction's answer means for its creates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Resolution {
    /// Creates that are answered.
    pub answered: Vec<(Create, CreateOutcome)>,
    /// Creates to be sent again, each group in a transaction of its own. Fewer in each than in the
    /// transaction that was answered.
    pub resent: Vec<Vec<Create>>,
}

/// Resolves the creates of a transaction by its answer.
///
/// Keys that exist are answered alone and the rest is sent again. If the store rejects the
/// transaction, or names no key of it, it is split until the create at fault is alone.
pub fn resolve(creates: Vec<Create>, answer: &GroupAnswer<'_>) -> Resolution {
    match answer {
        GroupAnswer::Applied => Resolution::of_all(creates, CreateOutcome::Created),
        GroupAnswer::NotServed => Resolution::of_all(creates, CreateOutcome::NotCreated),
        GroupAnswer::Unknown => Resolution::of_all(creates, CreateOutcome::Unknown),
        GroupAnswer::Rejected => split(creates, CreateOutcome::NotCreated),
        GroupAnswer::Conflict(existing) => {
            let exists = |create: &Create| existing.contains(&create.key.as_str());
            let (found, absent): (Vec<_>, Vec<_>) = creates.into_iter().partition(exists);
            if found.is_empty() {
                return split(absent, CreateOutcome::Conflict);
            }
            let answered = found.into_iter().map(|create| (create, CreateOutcome::Conflict));
            let resent = if absent.is_empty() { Vec::new() } else { vec![absent] };
            Resolution { answered: answered.collect(), resent }
        }
    }
}

/// Splits creates in two halves; a single one has `outcome`.
fn split(mut creates: Vec<Create>, outcome: CreateOutcome) -> Resolution {
    if creates.len() <= 1 {
        return Resolution::of_all(creates, outcome);
    }
    let second = creates.split_off(creates.len() / 2);
    Resolution { answered: Vec::new(), resent: vec![creates, second] }
}

impl Resolution {
    fn of_all(creates: Vec<Create>, outcome: CreateOutcome) -> Self {
        let answered = creates.into_iter().map(|create| (create, outcome)).collect();
        Self { answered, resent: Vec::new() }
    }
}
