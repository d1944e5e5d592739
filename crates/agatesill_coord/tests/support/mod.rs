//! A store in memory with seeded faults, on the runtime's clock.

#![allow(dead_code, clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use agatesill_coord::store::Store;
use agatesill_wire::platform::{Entry, StoreCall, StoreReply};
use agatesill_wire::prelude::*;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;
use tokio::time::Instant;

/// What can go wrong between one client and the store.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Every call fails without effect.
    pub outage: bool,
    /// Longest delay before a call takes effect.
    pub delay_ms: u64,
    /// Calls that never arrive, in percent.
    pub lost_calls_percent: u32,
    /// Calls that take effect and whose answer is lost, in percent.
    pub lost_answers_percent: u32,
    /// Calls given up by the client that take effect some seconds later, in percent.
    pub late_calls_percent: u32,
    /// Reads answered from this many revisions ago at most.
    pub stale_reads: bool,
    /// Share of a lease after which it ends, in percent; 0 means all of it.
    pub lease_percent: u32,
}

/// Entries with their leases, by key.
type Entries = BTreeMap<String, (Entry, u64)>;

#[derive(Default)]
struct State {
    revision: u64,
    entries: Entries,
    leases: BTreeMap<u64, (Duration, Instant)>,
    writes: u64,
    reads: u64,
    old: Option<(u64, Entries)>,
}

/// The store; clones share one state.
#[derive(Clone, Default)]
pub struct MemStore {
    state: Arc<Mutex<State>>,
    changed: Arc<Notify>,
}

/// One client's view: its store and its faults.
pub struct Client {
    pub store: Store,
    pub faults: Arc<Mutex<Faults>>,
}

impl Client {
    pub fn set(&self, faults: Faults) {
        *self.faults.lock().unwrap() = faults;
    }
}

impl MemStore {
    /// A client with faults drawn from `seed`.
    pub fn client(&self, seed: u64) -> Client {
        let faults: Arc<Mutex<Faults>> = Arc::default();
        let rng = Arc::new(Mutex::new(Pcg64Mcg::seed_from_u64(seed)));
        let (mem, shared) = (self.clone(), faults.clone());
        let store = Store::over(Arc::new(move |call, limit| {
            let (mem, rng, faults) = (mem.clone(), rng.clone(), shared.lock().unwrap().clone());
            Box::pin(async move { mem.exchange(call, limit, &faults, &rng).await })
        }));
        Client { store, faults }
    }

    async fn exchange(
        &self,
        call: StoreCall,
        limit: Duration,
        faults: &Faults,
        rng: &Mutex<Pcg64Mcg>,
    ) -> Result<StoreReply, Error> {
        let (delay_ms, fate, late_ms) = {
            let mut rng = rng.lock().unwrap();
            (
                rng.random_range(0..=faults.delay_ms),
                rng.random_range(0..100),
                rng.random_range(1_000..10_000),
            )
        };
        let failed = |what: &str| Err(Error::new(ErrorKind::Unreachable, what));
        tokio::time::sleep(Duration::from_millis(delay_ms)).await;
        if faults.outage {
            return failed("outage");
        }
        if let StoreCall::Watch { prefix, after_revision, wait_ms } = &call {
            return self.watch(prefix, *after_revision, *wait_ms).await;
        }
        let lost = faults.lost_calls_percent;
        let unanswered = lost + faults.lost_answers_percent;
        if fate < lost {
            tokio::time::sleep(limit).await;
            return failed("call lost");
        }
        if fate < unanswered {
            let _ = self.answer(call, faults);
            tokio::time::sleep(limit).await;
            return failed("answer lost");
        }
        if fate < unanswered + faults.late_calls_percent {
            let (mem, faults) = (self.clone(), faults.clone());
            tokio::spawn(async move {
                tokio::time::sleep(Duration::from_millis(late_ms)).await;
                let _ = mem.answer(call, &faults);
            });
            tokio::time::sleep(limit).await;
            return failed("late");
        }
        self.answer(call, faults)
    }

    async fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> Result<StoreReply, Error> {
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let changed = self.changed.notified();
            {
                let mut state = self.state.lock().unwrap();
                state.end_leases();
                let entries: Vec<Entry> = state
                    .entries
                    .values()
                    .map(|(entry, _)| entry.clone())
                    .filter(|entry| entry.key.starts_with(prefix) && entry.version > after)
                    .collect();
                if !entries.is_empty() || Instant::now() >= until {
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
            let _ = tokio::time::timeout_at(until, changed).await;
        }
    }

    /// Every key with its value, for looking without a client.
    pub fn dump(&self) -> BTreeMap<String, String> {
        let state = self.state.lock().unwrap();
        state.entries.iter().map(|(key, (entry, _))| (key.clone(), entry.value.clone())).collect()
    }

    /// Puts a value there behind everybody's back.
    pub fn plant(&self, key: &str, value: Option<&str>) {
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

    /// Keeps what stands there now for stale reads.
    pub fn remember_as_stale(&self) {
        let mut state = self.state.lock().unwrap();
        state.old = Some((state.revision, state.entries.clone()));
    }

    /// Writes and reads answered so far.
    pub fn calls(&self) -> (u64, u64) {
        let state = self.state.lock().unwrap();
        (state.writes, state.reads)
    }

    fn answer(&self, call: StoreCall, faults: &Faults) -> Result<StoreReply, Error> {
        let mut state = self.state.lock().unwrap();
        let reply = state.answer(call, faults)?;
        if reply.applied {
            self.changed.notify_waiters();
        }
        Ok(reply)
    }
}

impl State {
    fn answer(&mut self, call: StoreCall, faults: &Faults) -> Result<StoreReply, Error> {
        self.end_leases();
        let mut reply = StoreReply { revision: self.revision, ..StoreReply::default() };
        if matches!(call, StoreCall::Range { .. } | StoreCall::Page { .. }) {
            self.reads += 1;
        } else {
            self.writes += 1;
        }
        let ttl_of = |ttl: Duration| match faults.lease_percent {
            0 => ttl,
            percent => ttl * percent / 100,
        };
        match call {
            StoreCall::Range { prefix } => {
                let entries = match &self.old {
                    Some((revision, old)) if faults.stale_reads => {
                        reply.revision = *revision;
                        old
                    }
                    _ => &self.entries,
                };
                reply.entries = entries
                    .range(prefix.clone()..)
                    .take_while(|(key, _)| key.starts_with(&prefix))
                    .map(|(_, (entry, _))| entry.clone())
                    .collect();
            }
            StoreCall::Cas { key, expect_version, value, lease_id } => {
                let found = self.entries.get(&key).map(|(entry, _)| entry.clone());
                let version = found.as_ref().map_or(0, |entry| entry.version);
                let lease_gone = lease_id != 0 && !self.leases.contains_key(&lease_id);
                if version != expect_version || lease_gone {
                    reply.entries.extend(found);
                    return Ok(reply);
                }
                self.revision += 1;
                reply.revision = self.revision;
                reply.applied = true;
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
            }
            StoreCall::Grant { ttl_ms } => {
                self.revision += 1;
                let ttl = Duration::from_millis(ttl_ms);
                self.leases.insert(self.revision, (ttl, Instant::now() + ttl_of(ttl)));
                reply.applied = true;
                reply.lease_id = self.revision;
            }
            StoreCall::Renew { lease_id } => {
                if let Some((ttl, ends)) = self.leases.get_mut(&lease_id) {
                    *ends = Instant::now() + ttl_of(*ttl);
                    reply.applied = true;
                    reply.lease_id = lease_id;
                }
            }
            StoreCall::Revoke { lease_id } => {
                self.end_lease(lease_id);
                reply.applied = true;
            }
            StoreCall::Txn { expected, puts, deletes } => {
                let version = |key: &str| self.entries.get(key).map_or(0, |(e, _)| e.version);
                if expected.iter().any(|row| version(&row.key) != row.version) {
                    return Ok(reply);
                }
                self.revision += 1;
                reply.revision = self.revision;
                reply.applied = true;
                for put in puts {
                    let version = self.revision;
                    let entry = Entry { key: put.key.clone(), value: put.value, version };
                    self.entries.insert(put.key, (entry, put.lease_id));
                }
                deletes.iter().for_each(|key| drop(self.entries.remove(key)));
            }
            StoreCall::Page { prefix, after } => {
                let rest = self.entries.range(prefix.clone()..);
                let mut rest = rest
                    .take_while(|(key, _)| key.starts_with(&prefix))
                    .filter(|(key, _)| **key > after)
                    .map(|(_, (entry, _))| entry.clone());
                reply.entries = rest.by_ref().take(2).collect();
                reply.has_more = rest.next().is_some();
            }
            StoreCall::Watch { .. } => unreachable!("answered before"),
        }
        Ok(reply)
    }

    fn end_leases(&mut self) {
        let now = Instant::now();
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, lease)| lease.1 <= now).map(|(id, _)| *id).collect();
        over.into_iter().for_each(|id| self.end_lease(id));
    }

    fn end_lease(&mut self, lease_id: u64) {
        self.leases.remove(&lease_id);
        self.entries.retain(|_, (_, lease)| *lease != lease_id);
    }
}
