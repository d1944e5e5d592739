//! Stand-in for the key-value store: compare-and-swap, leases, watches, a value size limit and call
//! counters.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agatesill_policy::value_type;
use agatesill_wire::http::{read_json, respond, serve};
use agatesill_wire::platform::{Entry, KeyVersion, Put, StoreCall, StoreReply};
use agatesill_wire::prelude::*;
use rand::Rng;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

/// Largest value of a key.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Largest number of entries in one page.
pub const PAGE_ENTRIES: usize = 500;

value_type! {
    /// Faults that can be switched at run time.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct StoreFaults {
        /// Every call is refused.
        pub outage: bool,
        /// Delay before each response.
        pub delay_ms: u64,
        /// Share of writes that take effect but whose response is lost, in percent.
        pub lose_answers_percent: u32,
        /// Watches report no changes.
        pub break_watches: bool,
        /// Reads and watches of keys under this prefix fail; empty means none.
        pub unreadable_prefix: String,
        /// Leases expire after this share of their time to live, in percent; 0 means 100%.
        pub lease_percent: u32,
    }
}

value_type! {
    /// Calls served since the start.
    #[derive(Default)]
    pub struct StoreAudit {
        /// Writes, grants, renewals and revocations.
        pub writes: u64,
        /// Reads and watches.
        pub reads: u64,
        /// Bytes of values written.
        pub written_bytes: u64,
    }
}

#[derive(Debug)]
struct Lease {
    ttl: Duration,
    expires_at: Instant,
}

#[derive(Debug, Default)]
struct State {
    revision: u64,
    entries: BTreeMap<String, (Entry, u64)>,
    leases: BTreeMap<u64, Lease>,
    deleted: BTreeMap<String, u64>,
    faults: StoreFaults,
    audit: StoreAudit,
}

/// The store. Clones share one state.
#[derive(Clone, Debug)]
pub struct StoreStandin {
    state: Arc<Mutex<State>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Default for StoreStandin {
    fn default() -> Self {
        Self { state: Arc::default(), changed: Arc::new(watch::Sender::new(0)) }
    }
}

impl StoreStandin {
    /// Serves on `listener` until `stop` is cancelled.
    pub async fn run(self, listener: TcpListener, stop: CancellationToken) {
        serve(listener, stop, move |request| {
            let store = self.clone();
            async move {
                match request.uri().path() {
                    "/admin/faults" => respond(
                        read_json(request.into_body()).await.map(|faults| store.set_faults(faults)),
                    ),
                    "/admin/books" => respond(Ok(store.audit())),
                    _ => match read_json(request.into_body()).await {
                        Ok(call) => respond(store.call(call).await),
                        Err(error) => respond::<()>(Err(error)),
                    },
                }
            }
        })
        .await;
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: StoreFaults) {
        self.lock().faults = faults;
    }

    /// Returns the calls counted so far.
    pub fn audit(&self) -> StoreAudit {
        self.lock().audit.clone()
    }

    /// Serves one call with the active faults, as over the network.
    pub async fn call(&self, call: StoreCall) -> Result<StoreReply, Error> {
        let faults = self.lock().faults.clone();
        if faults.delay_ms > 0 {
            tokio::time::sleep(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.outage {
            return Err(Error::new(ErrorKind::StoreUnavailable, "outage"));
        }
        if is_unreadable(&call, &faults.unreadable_prefix) {
            return Err(Error::new(ErrorKind::StoreUnavailable, "unreadable prefix"));
        }
        if let StoreCall::Watch { prefix, after_revision, wait_ms } = call {
            let wait = Duration::from_millis(wait_ms);
            return self.watch(&prefix, after_revision, wait, faults.break_watches).await;
        }
        let reply = self.lock().apply(call)?;
        if reply.applied {
            self.changed.send_replace(reply.revision);
            if rand::rng().random_range(0..100) < faults.lose_answers_percent {
                return Err(Error::new(ErrorKind::StoreUnavailable, "response lost"));
            }
        }
        Ok(reply)
    }

    async fn watch(
        &self,
        prefix: &str,
        after_revision: u64,
        wait: Duration,
        broken: bool,
    ) -> Result<StoreReply, Error> {
        self.lock().audit.reads += 1;
        let mut changed = self.changed.subscribe();
        let deadline = tokio::time::Instant::now() + wait;
        loop {
            let reply = self.lock().changes(prefix, after_revision);
            if !broken && reply.applied {
                return Ok(reply);
            }
            if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
                return Ok(StoreReply { applied: false, ..reply });
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn is_unreadable(call: &StoreCall, unreadable_prefix: &str) -> bool {
    match call {
        StoreCall::Range { prefix }
        | StoreCall::Page { prefix, .. }
        | StoreCall::Watch { prefix, .. } => {
            !unreadable_prefix.is_empty() && prefix.starts_with(unreadable_prefix)
        }
        _ => false,
    }
}

impl State {
    fn apply(&mut self, call: StoreCall) -> Result<StoreReply, Error> {
        self.expire_leases();
        match call {
            StoreCall::Range { prefix } => {
                self.audit.reads += 1;
                let entries = with_prefix(&self.entries, &prefix).map(|(entry, _)| entry.clone());
                let entries = entries.collect();
                Ok(StoreReply { revision: self.revision, entries, ..StoreReply::default() })
            }
            StoreCall::Page { prefix, after } => {
                self.audit.reads += 1;
                let mut entries: Vec<Entry> = with_prefix(&self.entries, &prefix)
                    .map(|(entry, _)| entry.clone())
                    .filter(|entry| entry.key > after)
                    .take(PAGE_ENTRIES + 1)
                    .collect();
                let has_more = entries.len() > PAGE_ENTRIES;
                entries.truncate(PAGE_ENTRIES);
                Ok(StoreReply {
                    revision: self.revision,
                    entries,
                    has_more,
                    ..StoreReply::default()
                })
            }
            StoreCall::Cas { key, expect_version, value, lease_id } => {
                self.cas(key, expect_version, value, lease_id)
            }
            StoreCall::Txn { expected, puts, deletes } => Ok(self.txn(&expected, puts, &deletes)),
            StoreCall::Grant { ttl_ms } => {
                self.audit.writes += 1;
                self.revision += 1;
                let ttl = Duration::from_millis(ttl_ms);
                let lease = Lease { ttl, expires_at: Instant::now() + self.effective_ttl(ttl) };
                self.leases.insert(self.revision, lease);
                Ok(self.applied(self.revision))
            }
            StoreCall::Renew { lease_id } => {
                self.audit.writes += 1;
                let Some(ttl) = self.leases.get(&lease_id).map(|lease| lease.ttl) else {
                    return Ok(StoreReply { revision: self.revision, ..StoreReply::default() });
                };
                let expires_at = Instant::now() + self.effective_ttl(ttl);
                self.leases.insert(lease_id, Lease { ttl, expires_at });
                Ok(self.applied(lease_id))
            }
            StoreCall::Revoke { lease_id } => {
                self.audit.writes += 1;
                self.remove_lease(lease_id);
                Ok(self.applied(lease_id))
            }
            StoreCall::Watch { .. } => Err(Error::new(ErrorKind::BadRequest, "watch")),
        }
    }

    fn cas(
        &mut self,
        key: String,
        expect_version: u64,
        value: Option<String>,
        lease_id: u64,
    ) -> Result<StoreReply, Error> {
        self.audit.writes += 1;
        let size_bytes = value.as_ref().map_or(0, String::len);
        if size_bytes > MAX_VALUE_BYTES {
            let message = format!("{key}: {size_bytes} bytes, limit {MAX_VALUE_BYTES}");
            return Err(Error::new(ErrorKind::TooLarge, message));
        }
        let existing = self.entries.get(&key);
        let lease_missing = lease_id != 0 && !self.leases.contains_key(&lease_id);
        if lease_missing || existing.map_or(0, |(entry, _)| entry.version) != expect_version {
            let entries = existing.map(|(entry, _)| entry.clone()).into_iter().collect();
            return Ok(StoreReply { revision: self.revision, entries, ..StoreReply::default() });
        }
        self.revision += 1;
        self.audit.written_bytes += size_bytes as u64;
        let mut reply = self.applied(0);
        match value {
            Some(value) => {
                let entry = Entry { key: key.clone(), value, version: self.revision };
                reply.entries.push(entry.clone());
                self.entries.insert(key, (entry, lease_id));
            }
            None => {
                self.entries.remove(&key);
                self.deleted.insert(key, self.revision);
            }
        }
        Ok(reply)
    }

    fn txn(&mut self, expected: &[KeyVersion], puts: Vec<Put>, deletes: &[String]) -> StoreReply {
        self.audit.writes += 1;
        let version = |key: &str| self.entries.get(key).map_or(0, |(entry, _)| entry.version);
        let versions_match =
            expected.iter().all(|key_version| version(&key_version.key) == key_version.version);
        let leases_exist =
            puts.iter().all(|put| put.lease_id == 0 || self.leases.contains_key(&put.lease_id));
        if !versions_match || !leases_exist {
            let existing =
                expected.iter().filter_map(|key_version| self.entries.get(&key_version.key));
            let entries = existing.map(|(entry, _)| entry.clone()).collect();
            return StoreReply { revision: self.revision, entries, ..StoreReply::default() };
        }
        self.revision += 1;
        for put in puts {
            self.audit.written_bytes += put.value.len() as u64;
            let entry = Entry { key: put.key.clone(), value: put.value, version: self.revision };
            self.entries.insert(put.key, (entry, put.lease_id));
        }
        for key in deletes {
            self.entries.remove(key);
            self.deleted.insert(key.clone(), self.revision);
        }
        self.applied(0)
    }

    fn applied(&self, lease_id: u64) -> StoreReply {
        StoreReply { revision: self.revision, applied: true, lease_id, ..StoreReply::default() }
    }

    fn changes(&mut self, prefix: &str, after_revision: u64) -> StoreReply {
        self.expire_leases();
        let is_newer = |entry: &&(Entry, u64)| entry.0.version > after_revision;
        let entries: Vec<Entry> = with_prefix(&self.entries, prefix)
            .filter(is_newer)
            .map(|(entry, _)| entry.clone())
            .collect();
        let deleted: Vec<String> = self
            .deleted
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(_, revision)| **revision > after_revision)
            .map(|(key, _)| key.clone())
            .collect();
        let applied = !deleted.is_empty() || !entries.is_empty();
        StoreReply { revision: self.revision, applied, entries, deleted, ..StoreReply::default() }
    }

    fn effective_ttl(&self, ttl: Duration) -> Duration {
        match self.faults.lease_percent {
            0 => ttl,
            percent => ttl * percent / 100,
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        let expired: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.expires_at <= now)
            .map(|(id, _)| *id)
            .collect();
        for id in expired {
            self.remove_lease(id);
        }
    }

    fn remove_lease(&mut self, lease_id: u64) {
        self.leases.remove(&lease_id);
        let removed: Vec<String> = self
            .entries
            .iter()
            .filter(|(_, (_, lease))| *lease == lease_id)
            .map(|(key, _)| key.clone())
            .collect();
        for key in removed {
            self.revision += 1;
            self.entries.remove(&key);
            self.deleted.insert(key, self.revision);
        }
    }
}

fn with_prefix<'a>(
    entries: &'a BTreeMap<String, (Entry, u64)>,
    prefix: &'a str,
) -> impl Iterator<Item = &'a (Entry, u64)> {
    entries
        .range(prefix.to_owned()..)
        .take_while(move |(key, _)| key.starts_with(prefix))
        .map(|(_, value)| value)
}

/// Starts the store on `addr` and returns the bound address. Port 0 selects a free port.
pub async fn start_store(
    store: &StoreStandin,
    addr: SocketAddr,
    stop: &CancellationToken,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr).await?;
    let bound_addr = listener.local_addr()?;
    tokio::spawn(store.clone().run(listener, stop.clone()));
    Ok(bound_addr)
}
