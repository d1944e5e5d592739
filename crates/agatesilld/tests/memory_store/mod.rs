//! A store in memory for daemons without a planner, which loses answers and executes calls late.

#![allow(dead_code, clippy::unwrap_used)] // Each test uses a part; a failed assumption fails it.

#[path = "../../../../platform/tests/support/mod.rs"]
mod support;

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex};

use agatesill_coord::store::Store;
use agatesill_platform::settings;
use agatesill_policy::fleet::{JobSpec, QueueTerms};
use agatesill_wire::platform::{Entry, StoreCall, StoreReply};
use agatesill_wire::prelude::*;
use agatesilld::fleet::daemon_state::DaemonState;
use agatesilld::fleet::metrics::FleetMetrics;
use agatesilld::job_keys::refusal_record::RefusalRecord;
use support::settings::ListenAddrs;
use tokio::sync::watch;

pub const ID: &str = "00000000000000aa";

pub const KEY: &str = "in/job/00000000000000aa";

pub const CANCEL_KEY: &str = "in/cancel/00000000000000aa";

pub fn wall_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.unwrap().as_millis() as u64
}

/// What the store does with a write of the job's key.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WriteFault {
    /// The write is executed, and its answer is lost.
    LosesAnswer,
    /// The write is executed by [`MemoryStore::execute_late`], and has no answer.
    IsLate,
    /// The write is not served.
    Rejects,
    /// The write is invalid.
    IsInvalid,
    /// The write waits in the store until [`MemoryStore::execute_slow`].
    IsSlow,
}

#[derive(Default)]
pub struct State {
    pub revision: u64,
    pub items: BTreeMap<String, (String, u64, u64)>,
    /// Faults of the next writes that depend on the job's key; without one a write is executed and
    /// answered.
    pub faults: VecDeque<Option<WriteFault>>,
    pub late: Vec<StoreCall>,
    pub leases: u64,
    /// Writes that have arrived.
    pub writes: usize,
    /// Calls that have arrived.
    pub calls: usize,
    /// What another daemon does to the job's key before each of the next such writes: the value that it
    /// writes, which is empty if it deletes the key.
    pub raced: VecDeque<Option<String>>,
}

/// A store in memory, shared by the daemons of a test.
#[derive(Clone, Default)]
pub struct MemoryStore {
    pub state: Arc<Mutex<State>>,
    /// Whether calls are held back before they are executed.
    pub is_held: Arc<watch::Sender<bool>>,
    /// Whether slow writes are executed.
    executes_slow: Arc<watch::Sender<bool>>,
}

impl MemoryStore {
    pub fn client(&self) -> Store {
        let store = self.clone();
        Store::with_transport(Arc::new(move |call, _| {
            let store = store.clone();
            Box::pin(async move {
                store.arrived(&call).await;
                match store.call(call) {
                    Some(reply) => reply,
                    None => std::future::pending().await,
                }
            })
        }))
    }

    /// Counts a call and waits until calls are executed.
    pub async fn arrived(&self, call: &StoreCall) {
        let is_write = matches!(call, StoreCall::Cas { .. } | StoreCall::Txn { .. });
        let is_slow = {
            let mut state = self.state.lock().unwrap();
            state.calls += 1;
            state.writes += usize::from(is_write);
            let is_slow = depends_on_job(call)
                && state.faults.front().is_some_and(|fault| *fault == Some(WriteFault::IsSlow));
            if is_slow {
                state.faults.pop_front();
            }
            is_slow
        };
        if is_slow {
            self.executes_slow.subscribe().wait_for(|executes| *executes).await.unwrap();
        }
        self.is_held.subscribe().wait_for(|is_held| !is_held).await.unwrap();
    }

    /// Executes a call; `None` if it has no answer.
    pub fn call(&self, call: StoreCall) -> Option<Result<StoreReply, Error>> {
        let mut state = self.state.lock().unwrap();
        let is_write = depends_on_job(&call);
        match if is_write { state.raced.pop_front().flatten() } else { None } {
            Some(value) if value.is_empty() => drop(state.items.remove(KEY)),
            Some(value) => state.put(KEY, &value, 0),
            None => {}
        }
        let fault = if is_write { state.faults.pop_front().flatten() } else { None };
        match fault {
            None => Some(Ok(state.execute(&call))),
            Some(WriteFault::Rejects) => {
                Some(Err(Error::new(ErrorKind::StoreUnavailable, "status 503")))
            }
            Some(WriteFault::IsInvalid) => {
                Some(Err(Error::new(ErrorKind::BadRequest, "status 400")))
            }
            Some(WriteFault::IsSlow) => panic!("it is taken when the call arrives"),
            Some(WriteFault::LosesAnswer) => {
                state.execute(&call);
                None
            }
            Some(WriteFault::IsLate) => {
                state.late.push(call);
                None
            }
        }
    }

    /// Executes the writes that are late.
    pub fn execute_late(&self) {
        let mut state = self.state.lock().unwrap();
        for call in std::mem::take(&mut state.late) {
            state.execute(&call);
        }
    }

    /// Executes the writes that are slow.
    pub fn execute_slow(&self) {
        self.executes_slow.send_replace(true);
    }

    pub fn race_writes(&self, values: &[Option<&str>]) {
        let values = values.iter().map(|value| value.map(str::to_owned));
        self.state.lock().unwrap().raced = values.collect();
    }

    /// Number of calls that have arrived.
    pub fn calls(&self) -> usize {
        self.state.lock().unwrap().calls
    }

    /// Waits until this many calls have arrived.
    pub async fn until_arrived(&self, calls: usize) {
        while self.calls() < calls {
            tokio::task::yield_now().await;
        }
    }

    pub fn version(&self, key: &str) -> u64 {
        self.state.lock().unwrap().entry(key).map_or(0, |entry| entry.version)
    }

    pub fn fail_writes(&self, faults: &[Option<WriteFault>]) {
        self.state.lock().unwrap().faults = faults.iter().copied().collect();
    }

    /// Sets the times of the record of a refused job.
    pub fn set_record_times(&self, refused_ms: u64, retry_after_ms: u32) {
        let mut record = self.record().unwrap();
        record.refused.first_ms = refused_ms;
        record.refused.last_ms = refused_ms;
        record.refused.return_ms = refused_ms + u64::from(retry_after_ms);
        let mut state = self.state.lock().unwrap();
        let lease = state.leases;
        state.put(KEY, &serde_json::to_string(&record).unwrap(), lease);
    }

    /// Ends all leases, and with them their keys.
    pub fn end_leases(&self) {
        self.state.lock().unwrap().items.retain(|_, (_, _, lease)| *lease == 0);
    }

    pub fn value(&self, key: &str) -> Option<String> {
        Some(self.state.lock().unwrap().items.get(key)?.0.clone())
    }

    pub fn holds_job(&self) -> bool {
        self.value(KEY).is_some_and(|value| serde_json::from_str::<JobSpec>(&value).is_ok())
    }

    pub fn record(&self) -> Option<RefusalRecord> {
        RefusalRecord::decode(&self.value(KEY)?)
    }
}

/// Whether a call writes the job's key, or writes if that has the expected version.
fn depends_on_job(call: &StoreCall) -> bool {
    match call {
        StoreCall::Cas { key, .. } => key == KEY,
        StoreCall::Txn { expected, .. } => expected.iter().any(|row| row.key == KEY),
        _ => false,
    }
}

impl State {
    pub fn put(&mut self, key: &str, value: &str, lease: u64) {
        self.revision += 1;
        self.items.insert(key.to_owned(), (value.to_owned(), self.revision, lease));
    }

    pub fn entry(&self, key: &str) -> Option<Entry> {
        let (value, version, _) = self.items.get(key)?;
        Some(Entry { key: key.to_owned(), value: value.clone(), version: *version })
    }

    pub fn execute(&mut self, call: &StoreCall) -> StoreReply {
        let mut reply = StoreReply::default();
        match call {
            StoreCall::Cas { key, expect_version, value: Some(value), lease_id } => {
                let found = self.entry(key);
                let version = found.as_ref().map_or(0, |entry| entry.version);
                reply.applied = version == *expect_version;
                if reply.applied {
                    self.put(key, value, *lease_id);
                }
                reply.entries = self.entry(key).into_iter().collect();
            }
            StoreCall::Txn { expected, puts, deletes } => {
                assert!(expected.len() + puts.len() + deletes.len() <= 32, "too many entries");
                let found = expected.iter().filter_map(|row| self.entry(&row.key)).collect();
                reply.applied = expected
                    .iter()
                    .all(|row| self.items.get(&row.key).map_or(0, |item| item.1) == row.version);
                match reply.applied {
                    true => {
                        puts.iter().for_each(|put| self.put(&put.key, &put.value, put.lease_id))
                    }
                    false => reply.entries = found,
                }
            }
            StoreCall::Range { prefix } => reply.entries = self.entry(prefix).into_iter().collect(),
            StoreCall::Grant { .. } => {
                self.leases += 1;
                (reply.applied, reply.lease_id) = (true, self.leases);
            }
            other => panic!("{other:?}"),
        }
        reply.revision = self.revision;
        reply
    }
}

/// A daemon before the store; its planner is unknown.
pub async fn daemon(store: &MemoryStore) -> DaemonState {
    let addrs = ListenAddrs::allocate().await;
    let text = support::settings::daemon("d1", &addrs, addrs.peer, 0.5);
    let settings = settings::decode(&text).unwrap();
    DaemonState::new(settings, store.client(), FleetMetrics::new().unwrap())
}

pub fn job(arrived_ms: u64) -> JobSpec {
    JobSpec {
        id: ID.to_owned(),
        queue: "desk.example/q/".to_owned(),
        terms: QueueTerms {
            service: "pricing".to_owned(),
            priority: 0,
            max_attempts: 3,
            stretch: 1.5,
            target_ms: 250,
            needs_advice: false,
        },
        payload: String::new(),
        steps: Vec::new(),
        first_due_ms: 0,
        interval_ms: 0,
        occurrences: 0,
        accepted_at_ms: arrived_ms,
    }
}
