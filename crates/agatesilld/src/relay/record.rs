//! Records of the outcomes of non-repeatable requests, so that a retried one never runs twice.
//!
//! A caller that timed out retries, and the load balancer may send the retry to another daemon.
//! Only the first attempt of an idempotency key may run at the daemon that receives it. It creates
//! a record there, and the record is the only permission to run the key. A later attempt runs only
//! if the record shows that the earlier one did not run, and takes over the permission
//! ([`Claim::Granted`]). Lost records, crashed daemons and lost replies can thus lose the
//! permission but never duplicate it. The module uses neither network nor clock; times are
//! milliseconds of the daemon's own clock.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;

/// Maximum number of records. At about 100 bytes each without the responses, they take a few
/// megabytes.
pub const MAX_RECORDS: usize = 50_000;

/// Maximum size of a recorded response body. A request with a larger one is recorded as run,
/// without its response.
pub const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// A response recorded for retries.
#[derive(Clone, Debug, PartialEq)]
pub struct RecordedResponse {
    /// HTTP status.
    pub status: u16,
    /// Response headers.
    pub headers: Vec<(String, Bytes)>,
    /// The complete body.
    pub body: Bytes,
}

/// Outcome of a recorded request.
#[derive(Clone, Debug, PartialEq)]
pub enum RunOutcome {
    /// The request ran and returned this response.
    Answered(RecordedResponse),
    /// The request ran; its response was too large to record.
    Ran,
    /// The request may have run.
    Unknown,
    /// The request did not run.
    NotRun,
}

/// Result of looking up the record of an idempotency key for an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum Claim {
    /// The daemon has no record of the key.
    NoRecord,
    /// An earlier attempt is queued or running.
    Running,
    /// The request ran; its response is absent if it was too large to record.
    Ran(Option<RecordedResponse>),
    /// The request may have run.
    Unknown,
    /// The permission to run was passed to another attempt, whose record may be at another daemon.
    HandedOver,
    /// The request did not run, and this attempt now has the permission to run it.
    Granted,
    /// The key was used for a different request.
    Mismatch,
}

#[derive(Debug)]
enum State {
    Running,
    Settled(RunOutcome),
    HandedOver,
}

#[derive(Debug)]
struct Record {
    fingerprint: u64,
    state: State,
    generation: u64,
}

impl Claim {
    /// Returns the more restrictive of the results of two daemons. A request that ran or is running
    /// takes precedence over everything else. [`Claim::HandedOver`] takes precedence only over
    /// [`Claim::NoRecord`], since the other daemon may still hold the permission.
    pub fn combine(self, other: Self) -> Self {
        let rank = |claim: &Self| match claim {
            Self::NoRecord => 0,
            Self::HandedOver => 1,
            Self::Granted => 2,
            Self::Unknown => 3,
            Self::Mismatch => 4,
            Self::Running => 5,
            Self::Ran(None) => 6,
            Self::Ran(Some(_)) => 7,
        };
        if rank(&other) > rank(&self) { other } else { self }
    }
}

/// The records of non-repeatable requests held by one daemon.
#[derive(Debug)]
pub struct Records {
    records: HashMap<String, Record>,
    settled: VecDeque<(u64, String, u64)>,
    kept_bytes: usize,
    keep_ms: u64,
    max_bytes: usize,
    generation: u64,
    evicted: u64,
}

impl Records {
    /// Creates an empty set of records. Settled records are kept for `keep_ms`, and the responses
    /// of all of them together take at most `max_bytes`.
    pub fn new(keep_ms: u64, max_bytes: usize) -> Self {
        Self {
            records: HashMap::new(),
            settled: VecDeque::new(),
            kept_bytes: 0,
            keep_ms,
            max_bytes,
            generation: 0,
            evicted: 0,
        }
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of records evicted before `keep_ms` had passed.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Begins a first attempt. Creates a record and returns [`Claim::Granted`] unless an earlier
    /// attempt left a record of the key that forbids the run, which is then returned.
    pub fn begin(&mut self, key: &str, fingerprint: u64, now_ms: u64) -> Claim {
        match self.claim(key, fingerprint, now_ms) {
            Claim::NoRecord | Claim::Granted => self.insert_running(key, fingerprint),
            earlier => return earlier,
        }
        Claim::Granted
    }

    /// Creates a record for a later attempt that was granted the permission here or by a peer.
    /// Returns false if another attempt has a record here.
    pub fn adopt(&mut self, key: &str, fingerprint: u64) -> bool {
        let state = self.records.get(key).map(|record| &record.state);
        if !matches!(state, None | Some(State::HandedOver)) {
            return false;
        }
        self.insert_running(key, fingerprint);
        true
    }

    fn insert_running(&mut self, key: &str, fingerprint: u64) {
        self.generation += 1;
        let record = Record { fingerprint, state: State::Running, generation: self.generation };
        self.records.insert(key.to_owned(), record);
    }

    /// Looks up the record for a later attempt at this daemon or at a peer.
    ///
    /// The permission to run is handed over atomically and only once, so that no two later attempts
    /// can both run. If the reply with the permission is lost, no attempt has it.
    pub fn claim(&mut self, key: &str, fingerprint: u64, now_ms: u64) -> Claim {
        self.expire(now_ms);
        let Some(record) = self.records.get_mut(key) else { return Claim::NoRecord };
        if record.fingerprint != fingerprint {
            return Claim::Mismatch;
        }
        match &record.state {
            State::Running => Claim::Running,
            State::HandedOver => Claim::HandedOver,
            State::Settled(RunOutcome::Unknown) => Claim::Unknown,
            State::Settled(RunOutcome::Ran) => Claim::Ran(None),
            State::Settled(RunOutcome::Answered(response)) => Claim::Ran(Some(response.clone())),
            State::Settled(RunOutcome::NotRun) => {
                record.state = State::HandedOver;
                Claim::Granted
            }
        }
    }

    /// Records the outcome of a running request. Evicts the oldest settled records while the limits
    /// on their number or size are exceeded.
    pub fn settle(&mut self, key: &str, outcome: RunOutcome, now_ms: u64) {
        let Some(record) = self.records.get_mut(key) else { return };
        if !matches!(record.state, State::Running) {
            return;
        }
        let outcome = match outcome {
            RunOutcome::Answered(response) if response.body.len() > MAX_RESPONSE_BYTES => {
                RunOutcome::Ran
            }
            outcome => outcome,
        };
        self.kept_bytes += kept_bytes(&outcome);
        record.state = State::Settled(outcome);
        self.settled.push_back((now_ms, key.to_owned(), record.generation));
        self.expire(now_ms);
        while self.kept_bytes > self.max_bytes || self.records.len() > MAX_RECORDS {
            if !self.drop_oldest() {
                return;
            }
            self.evicted += 1;
        }
    }

    fn expire(&mut self, now_ms: u64) {
        while let Some((settled_ms, _, _)) = self.settled.front() {
            if now_ms.saturating_sub(*settled_ms) < self.keep_ms {
                return;
            }
            self.drop_oldest();
        }
    }

    fn drop_oldest(&mut self) -> bool {
        let Some((_, key, generation)) = self.settled.pop_front() else { return false };
        let is_same = self.records.get(&key).is_some_and(|record| record.generation == generation);
        if is_same && let Some(record) = self.records.remove(&key) {
            if let State::Settled(outcome) = &record.state {
                self.kept_bytes -= kept_bytes(outcome);
            }
        }
        true
    }
}

fn kept_bytes(outcome: &RunOutcome) -> usize {
    match outcome {
        RunOutcome::Answered(response) => {
            let headers = response.headers.iter().map(|(name, value)| name.len() + value.len());
            response.body.len() + headers.sum::<usize>()
        }
        _ => 0,
    }
}
