//! In-memory store with seeded faults, driven by the runtime's clock.

#![allow(dead_code, clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use agatesill_coord::store::Store;
use agatesill_wire::platform::{Entry, KeyVersion, Put, StoreCall, StoreReply};
use agatesill_wire::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Faults injected between one client and the store.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Every call fails without effect.
    pub outage: bool,
    /// Maximum delay before a call takes effect.
    pub delay_ms: u64,
    /// Share of calls that never arrive, in percent.
    pub lost_calls_percent: u32,
    /// Share of calls that take effect but whose answer is lost, in percent.
    pub lost_answers_percent: u32,
    /// Share of calls that take effect seconds after the client timed out, in percent.
    pub late_calls_percent: u32,
    /// Whether reads are answered from the state captured by [`MemStore::capture_stale_state`].
    pub stale_reads: bool,
    /// Share of its time to live after which a lease ends, in percent; 0 means 100.
    pub lease_percent: u32,
}

/// Entries with the ids of their leases, by key.
type Entries = BTreeMap<String, (Entry, u64)>;

#[derive(Default)]
struct State {
    revision: u64,
    entries: Entries,
    /// Time to live and end of each lease, by id.
    leases: BTreeMap<u64, (Duration, Instant)>,
    writes: u64,
    reads: u64,
    stale: Option<(u64, Entries)>,
}

/// An in-memory store; clones share one state.
#[derive(Clone, Default)]
pub struct MemStore {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

/// A client of the store, with the faults of its connection.
pub struct Client {
    pub store: Store,
    pub faults: Arc<Mutex<Faults>>,
}

impl Client {
    pub fn set_faults(&self, faults: Faults) {
        *self.faults.lock().unwrap() = faults;
    }
}

impl MemStore {
    /// A client whose faults are drawn from `seed`.
    pub fn client(&self, seed: u64) -> Client {
        let faults: Arc<Mutex<Faults>> = Arc::default();
        let rng = Arc::new(Mutex::new(Pcg64Mcg::seed_from_u64(seed)));
        let (mem, shared) = (self.clone(), faults.clone());
        let store = Store::with_transport(Arc::new(move |call, timeout| {
            let (mem, rng, faults) = (mem.clone(), rng.clone(), shared.lock().unwrap().clone());
            Box::pin(async move { mem.handle_call(call, timeout, &faults, &rng).await })
        }));
        Client { store, faults }
    }

    async fn handle_call(
        &self,
        call: StoreCall,
        timeout: Duration,
        faults: &Faults,
        rng: &Mutex<Pcg64Mcg>,
    ) -> Result<StoreReply, Error> {
        let (delay_ms, fault_roll, late_ms) = {
            let mut rng = rng.lock().unwrap();
            (
                rng.random_range(0..=faults.delay_ms),
                rng.random_range(0..100),
                rng.random_range(1_000..10_000),
            )
        };
        let failed = |detail: &str| Err(Error::new(ErrorKind::Unreachable, detail));
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        if faults.outage {
            return failed("outage");
        }
        if let StoreCall::Watch { prefix, after_revision, wait_ms } = &call {
            return self.watch(prefix, *after_revision, *wait_ms).await;
        }
        let lost = faults.lost_calls_percent;
        let unanswered_percent = lost + faults.lost_answers_percent;
        if fault_roll < lost {
            tokio::time::sleep(timeout).await;
            return failed("call lost");
        }
        if fault_roll < unanswered_percent {
            let _ = self.apply(call, faults);
            tokio::time::sleep(timeout).await;
            return failed("answer lost");
        }
        if fault_roll < unanswered_percent + faults.late_calls_percent {
            let (mem, faults) = (self.clone(), faults.clone());
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(late_ms)).await;
                let _ = mem.apply(call, &faults);
            });
            tokio::time::sleep(timeout).await;
            return failed("late");
        }
        self.apply(call, faults)
    }

    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<StoreReply, Error> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.changed.notified();
            {
                let mut state = self.state.lock().unwrap();
                state.expire_leases();
                let entries: Vec<Entry> = state
                    .entries
                    .values()
                    .map(|(entry, _)| entry.clone())
                    .filter(|entry| entry.key.starts_with(prefix) && entry.version > after)
                    .collect();
                if !entries.is_empty() || Instant::now() >= deadline {
                    let applied = !entries.is_empty();
                    return Ok(StoreReply {
                        revision: state.revision,
                        applied,
                        entries,
                        lease_id: 0,
                        ..StoreReply::default()
                    });
                }
            }
            let _ = tokio::time::timeout_at(deadline, changed).await;
        }
    }

    /// All keys with their values, read without a client.
    pub fn dump(&self) -> BTreeMap<String, String> {
        let state = self.state.lock().unwrap();
        state.entries.iter().map(|(key, (entry, _))| (key.clone(), entry.value.clone())).collect()
    }

    /// Sets or deletes a key without a client.
    pub fn overwrite(&self, key: &str, value: Option<&str>) {
        let mut state = self.state.lock().unwrap();
        state.revision += 1;
        let version = state.revision;
        match value {
            Some(value) => {
                let entry = Entry { key: key.to_owned(), value: value.to_owned(), version };
                state.entries.insert(key.to_owned(), (entry, 0));
            }
            None => {
                state.entries.remove(key);
            }
        }
    }

    /// Captures the current state for [`Faults::stale_reads`].
    pub fn capture_stale_state(&self) {
        let mut state = self.state.lock().unwrap();
        state.stale = Some((state.revision, state.entries.clone()));
    }

    /// Number of writes and reads answered so far.
    pub fn calls(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.writes, state.reads)
    }

    fn apply(&self, call: StoreCall, faults: &Faults) -> Result<StoreReply, Error> {
        let mut state = self.state.lock().unwrap();
        let reply = state.apply(call, faults)?;
        if reply.applied {
            self.changed.notify_waiters();
        }
        Ok(reply)
    }
}

impl State {
    fn apply(&mut self, call: StoreCall, faults: &Faults) -> Result<StoreReply, Error> {
        self.expire_leases();
        if matches!(call, StoreCall::Range { .. } | StoreCall::Page { .. }) {
            self.reads += 1;
        } else {
            self.writes += 1;
        }
        Ok(match call {
            StoreCall::Range { prefix } => self.range(&prefix, faults),
            StoreCall::Page { prefix, after } => self.page(&prefix, &after),
            StoreCall::Cas { key, expect_version, value, lease_id } => {
                self.cas(key, expect_version, value, lease_id)
            }
            StoreCall::Txn { expected, puts, deletes } => self.txn(&expected, puts, &deletes),
            StoreCall::Grant { ttl_ms } => self.grant(Duration::from_millis(ttl_ms), faults),
            StoreCall::Renew { lease_id } => self.renew(lease_id, faults),
            StoreCall::Revoke { lease_id } => {
                self.remove_lease(lease_id);
                StoreReply { applied: true, ..self.reply() }
            }
            StoreCall::Watch { .. } => unreachable!("watches are handled in handle_call"),
        })
    }

    fn reply(&self) -> StoreReply {
        StoreReply { revision: self.revision, ..StoreReply::default() }
    }

    fn version(&self, key: &str) -> u64 {
        self.entries.get(key).map_or(0, |(entry, _)| entry.version)
    }

    fn range(&self, prefix: &str, faults: &Faults) -> StoreReply {
        let (revision, entries) = match &self.stale {
            Some((revision, stale)) if faults.stale_reads => (*revision, stale),
            _ => (self.revision, &self.entries),
        };
        let entries = entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, (entry, _))| entry.clone())
            .collect();
        StoreReply { revision, entries, ..StoreReply::default() }
    }

    /// Pages have two entries, so that every test that reads pages reads several.
    fn page(&self, prefix: &str, after: &str) -> StoreReply {
        let mut rest = self
            .entries
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .map(|(_, (entry, _))| entry.clone());
        let entries = rest.by_ref().take(2).collect();
        StoreReply { entries, has_more: rest.next().is_some(), ..self.reply() }
    }

    fn cas(
        &mut self,
        key: String,
        expect_version: u64,
        value: Option<String>,
        lease_id: u64,
    ) -> StoreReply {
        let lease_expired = lease_id != 0 && !self.leases.contains_key(&lease_id);
        if self.version(&key) != expect_version || lease_expired {
            let found = self.entries.get(&key).map(|(entry, _)| entry.clone());
            return StoreReply { entries: found.into_iter().collect(), ..self.reply() };
        }
        self.revision += 1;
        let mut reply = StoreReply { applied: true, ..self.reply() };
        match value {
            Some(value) => {
                assert!(value.len() <= 1 << 20, "{key}: value of {} bytes", value.len());
                let entry = Entry { key: key.clone(), value, version: self.revision };
                reply.entries.push(entry.clone());
                self.entries.insert(key, (entry, lease_id));
            }
            None => {
                self.entries.remove(&key);
            }
        }
        reply
    }

    fn txn(&mut self, expected: &[KeyVersion], puts: Vec<Put>, deletes: &[String]) -> StoreReply {
        if expected.iter().any(|row| self.version(&row.key) != row.version) {
            return self.reply();
        }
        self.revision += 1;
        for put in puts {
            let entry = Entry { key: put.key.clone(), value: put.value, version: self.revision };
            self.entries.insert(put.key, (entry, put.lease_id));
        }
        deletes.iter().for_each(|key| drop(self.entries.remove(key)));
        StoreReply { applied: true, ..self.reply() }
    }

    fn grant(&mut self, ttl: Duration, faults: &Faults) -> StoreReply {
        self.revision += 1;
        self.leases.insert(self.revision, (ttl, Instant::now() + granted(ttl, faults)));
        // A lease changes no key, so the reply has the previous revision.
        let revision = self.revision - 1;
        StoreReply { revision, applied: true, lease_id: self.revision, ..StoreReply::default() }
    }

    fn renew(&mut self, lease_id: u64, faults: &Faults) -> StoreReply {
        let reply = self.reply();
        let Some((ttl, end)) = self.leases.get_mut(&lease_id) else { return reply };
        *end = Instant::now() + granted(*ttl, faults);
        StoreReply { applied: true, lease_id, ..reply }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.1 <= now).map(|(id, _)| *id).collect();
        expired.into_iter().for_each(|id| self.remove_lease(id));
    }

    fn remove_lease(&mut self, lease_id: u64) {
        self.leases.remove(&lease_id);
        self.entries.retain(|_, (_, lease)| *lease != lease_id);
    }
}

/// Actual time to live of a lease; shorter when [`Faults::lease_percent`] is set.
fn granted(ttl: Duration, faults: &Faults) -> Duration {
    match faults.lease_percent {
        0 => ttl,
        percent => ttl * percent / 100,
    }
}
