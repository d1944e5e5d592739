//! What became of non-repeatable requests, so that a re-sent one never runs twice.
//!
//! Load pattern: a caller that timed out re-sends, and the balancer hands the repeat to another
//! daemon. Only the first attempt of an idempotency key may run where it lands; that makes a
//! record, and the record is the only permission to run the key. A later attempt runs only when
//! the record says that the earlier one did not run, and takes the permission away with it
//! ([`Claim::Granted`]). Lost records, dead daemons and unheard answers therefore lose permission
//! and never double it. The module knows no network or clock; times are milliseconds on the
//! daemon's own clock.

use std::collections::{HashMap, VecDeque};

use bytes::Bytes;

/// Records held at once. At 100 bytes or so each beside the answers they cost a few megabytes.
pub const MAX_RECORDS: usize = 50_000;

/// Answers larger than this are recorded as run, without the answer.
pub const MAX_ANSWER_BYTES: usize = 64 << 10;

/// An answer kept for repeats.
#[derive(Clone, Debug, PartialEq)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: Vec<(String, Bytes)>,
    /// The whole body.
    pub body: Bytes,
}

/// How a recorded request ended.
#[derive(Clone, Debug, PartialEq)]
pub enum RunOutcome {
    /// It ran, and this is its answer.
    Answered(KeptAnswer),
    /// It ran; its answer was too large to keep.
    Ran,
    /// It may have run.
    Unknown,
    /// No byte of it left.
    NotRun,
}

/// What a later attempt is told.
#[derive(Clone, Debug, PartialEq)]
pub enum Claim {
    /// No record here.
    NoRecord,
    /// It waits or runs.
    Running,
    /// It ran; the answer is kept or was too large.
    Ran(Option<KeptAnswer>),
    /// It may have run.
    Unknown,
    /// The permission went to another attempt, which another daemon knows of.
    HandedOver,
    /// It did not run, and the permission to run it is now the asker's.
    Granted,
    /// The key was used for another request.
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
    /// Of the words of two daemons the one that allows less; what ran or runs outranks all, and a
    /// permission that went elsewhere outranks none that is still held.
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

/// The records of one daemon.
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
    /// Settled records are kept for `keep_ms`, their answers within `max_bytes`.
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

    /// Records held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Records dropped before their time.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    /// Takes a first attempt in: [`Claim::Granted`] makes a record, anything else is what an
    /// attempt that used the key before has left.
    pub fn begin(&mut self, key: &str, fingerprint: u64, now_ms: u64) -> Claim {
        match self.claim(key, fingerprint, now_ms) {
            Claim::NoRecord | Claim::Granted => self.open(key, fingerprint),
            earlier => return earlier,
        }
        Claim::Granted
    }

    /// Opens a record for an attempt that was granted the permission here or by a peer; false when
    /// another attempt has a record here.
    pub fn adopt(&mut self, key: &str, fingerprint: u64) -> bool {
        let state = self.records.get(key).map(|record| &record.state);
        if !matches!(state, None | Some(State::HandedOver)) {
            return false;
        }
        self.open(key, fingerprint);
        true
    }

    fn open(&mut self, key: &str, fingerprint: u64) {
        self.generation += 1;
        let record = Record { fingerprint, state: State::Running, generation: self.generation };
        self.records.insert(key.to_owned(), record);
    }

    /// Answers a later attempt, here or at a peer.
    ///
    /// Guards against two later attempts that both run: the permission is handed over once, in one
    /// step; if the word of it is lost, nobody has it.
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
            State::Settled(RunOutcome::Answered(answer)) => Claim::Ran(Some(answer.clone())),
            State::Settled(RunOutcome::NotRun) => {
                record.state = State::HandedOver;
                Claim::Granted
            }
        }
    }

    /// Records how a running request ended.
    pub fn settle(&mut self, key: &str, how: RunOutcome, now_ms: u64) {
        let Some(record) = self.records.get_mut(key) else { return };
        if !matches!(record.state, State::Running) {
            return;
        }
        let how = match how {
            RunOutcome::Answered(answer) if answer.body.len() > MAX_ANSWER_BYTES => RunOutcome::Ran,
            how => how,
        };
        self.kept_bytes += kept_bytes(&how);
        record.state = State::Settled(how);
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
            if let State::Settled(how) = &record.state {
                self.kept_bytes -= kept_bytes(how);
            }
        }
        true
    }
}

fn kept_bytes(how: &RunOutcome) -> usize {
    match how {
        RunOutcome::Answered(answer) => {
            let headers = answer.headers.iter().map(|(name, value)| name.len() + value.len());
            answer.body.len() + headers.sum::<usize>()
        }
        _ => 0,
    }
}
