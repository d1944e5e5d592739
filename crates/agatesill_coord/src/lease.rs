//! Ownership of named ranges, each held by a key bound to this process's store lease.
//!
//! The key only says who should act; what makes a stale owner harmless is the epoch in the commit
//! log (see [`crate::commit_log`]). Two claimants are resolved by the service alone: the key is
//! created only if it is absent.
//!
//! Time is only ever a duration on this process's monotonic clock. A holder counts its lease from
//! when the renewal was *sent* and stops [`SAFETY_MARGIN_PERCENT`] before its end, so that it has
//! stopped when a successor starts, as long as clock rates differ by less than that. A process
//! paused past the end finds [`Ownership::is_valid`] false when it wakes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use agatesill_policy::value_type;
use agatesill_wire::platform::StoreCall;
use agatesill_wire::prelude::*;

use crate::store::Store;

/// Prefix of the keys that name owners.
pub const OWNER_PREFIX: &str = "own/";

/// Ranges under this prefix only say that the instance of that name holds a lease.
pub const MEMBER_RANGE_PREFIX: &str = "member/";

/// A holder stops this share of the lease before its end. Clock rates of instances differ by far
/// less than 1%; the rest is for the scheduling of threads between the check and the act.
pub const SAFETY_MARGIN_PERCENT: u32 = 20;

value_type! {
    /// Who owns a range, as it stands in the store.
    #[derive(Eq)]
    pub struct Owner {
        /// The instance.
        pub instance: String,
        /// Lease that the key is bound to; tells two incarnations of an instance apart.
        pub lease_id: u64,
        /// Where the owner takes calls of its peers; empty if it names no address.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        pub address: String,
        /// Thousandths of a processor that the owner has; 0 if it does not say.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub cpu_milli: u32,
    }
}

#[allow(clippy::trivially_copy_pass_by_ref)] // The signature that serde asks for.
fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// One process's store lease and the ranges that it owns under it.
#[derive(Debug)]
pub struct Ownership {
    store: Store,
    instance: String,
    address: String,
    cpu_milli: u32,
    ttl: Duration,
    lease_id: u64,
    valid_until: Option<Instant>,
    held: BTreeMap<String, u64>,
    is_announced: bool,
}

impl Ownership {
    /// Prepares to claim ranges for `instance`.
    pub fn new(store: Store, instance: &str, ttl: Duration) -> Self {
        Self {
            store,
            instance: instance.to_owned(),
            address: String::new(),
            cpu_milli: 0,
            ttl,
            lease_id: 0,
            valid_until: None,
            held: BTreeMap::new(),
            is_announced: false,
        }
    }

    /// The same, with the address at which this process takes calls of its peers.
    pub fn with_address(self, address: &str) -> Self {
        Self { address: address.to_owned(), ..self }
    }

    /// The same, saying how much of a processor this process has, in thousandths.
    pub fn with_cpu(self, cpu_milli: u32) -> Self {
        Self { cpu_milli, ..self }
    }

    /// What the key of a range says while this process owns it.
    pub fn owner(&self) -> Owner {
        Owner {
            instance: self.instance.clone(),
            lease_id: self.lease_id,
            address: self.address.clone(),
            cpu_milli: self.cpu_milli,
        }
    }

    /// Whether the lease certainly holds at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Whether `range` is held and the lease certainly holds at `now`.
    pub fn holds(&self, range: &str, now: Instant) -> bool {
        self.is_valid(now) && self.held.contains_key(range)
    }

    /// Version of the key that names this process as the owner of `range`: it is higher than that
    /// of every owner before, so it serves as the epoch.
    pub fn epoch(&self, range: &str) -> Option<u64> {
        self.held.get(range).copied()
    }

    /// Ranges claimed under the present lease.
    pub fn held(&self) -> impl Iterator<Item = &str> {
        self.held.keys().map(String::as_str)
    }

    /// The present store lease; 0 before the first.
    pub fn lease_id(&self) -> u64 {
        self.lease_id
    }

    /// Renews the lease, or grants a new one when the old is gone; then nothing is held any more.
    /// Also announces this instance under [`MEMBER_RANGE_PREFIX`], once for each lease.
    ///
    /// Guards against a slow answer: the time of validity counts from when the call was sent, since
    /// the service may have renewed at that moment.
    pub async fn renew(&mut self) -> Result<(), Error> {
        self.renew_unannounced().await?;
        if !self.is_announced {
            let range = format!("{MEMBER_RANGE_PREFIX}{}", self.instance);
            self.is_announced = self.claim(&range).await?;
            self.held.remove(&range);
        }
        Ok(())
    }

    /// The same without the announcement, for a process that only wants the lease.
    pub async fn renew_unannounced(&mut self) -> Result<(), Error> {
        if self.lease_id != 0 {
            let sent = clock_now();
            let reply = self.store.call(StoreCall::Renew { lease_id: self.lease_id }).await?;
            if reply.applied {
                self.extend(sent);
                return Ok(());
            }
            self.lapse();
        }
        let sent = clock_now();
        let ttl_ms = self.ttl.as_millis() as u64;
        let reply = self.store.call(StoreCall::Grant { ttl_ms }).await?;
        self.lease_id = reply.lease_id;
        self.extend(sent);
        Ok(())
    }

    /// Tries to own `range`; true when the key names this process under its present lease.
    ///
    /// A key left by an earlier incarnation of the same instance is taken over at once: an instance
    /// name has one process, and the commit log fences the earlier one.
    pub async fn claim(&mut self, range: &str) -> Result<bool, Error> {
        if !self.is_valid(clock_now()) {
            return Ok(false);
        }
        let key = owner_key(range);
        let value = serde_json::to_string(&self.owner())
            .map_err(|error| Error::new(ErrorKind::Protocol, error.to_string()))?;
        let mut expect_version = 0;
        for _ in 0..2 {
            let reply = self.store.cas(&key, expect_version, value.clone(), self.lease_id).await?;
            let Some(entry) = reply.entries.into_iter().find(|entry| entry.key == key) else {
                return Ok(false);
            };
            if reply.applied || entry.value == value {
                self.held.insert(range.to_owned(), entry.version);
                return Ok(true);
            }
            let found = serde_json::from_str::<Owner>(&entry.value);
            if !found.is_ok_and(|found| found.instance == self.instance) {
                return Ok(false);
            }
            expect_version = entry.version;
        }
        Ok(false)
    }

    /// Gives `range` up, so that its next owner need not wait for the lease to end. Stop acting on
    /// it first.
    pub async fn give_up(&mut self, range: &str) -> Result<(), Error> {
        let Some(version) = self.held.remove(range) else { return Ok(()) };
        self.store.delete(&owner_key(range), version).await?;
        Ok(())
    }

    /// Gives everything up. Stop acting first.
    pub async fn release(&mut self) -> Result<(), Error> {
        let lease_id = self.lease_id;
        self.lapse();
        if lease_id != 0 {
            self.store.call(StoreCall::Revoke { lease_id }).await?;
        }
        Ok(())
    }

    fn lapse(&mut self) {
        self.lease_id = 0;
        self.valid_until = None;
        self.held.clear();
        self.is_announced = false;
    }

    fn extend(&mut self, sent: Instant) {
        self.valid_until = Some(sent + self.ttl * (100 - SAFETY_MARGIN_PERCENT) / 100);
    }
}

/// The present by the runtime's clock, which tests may pause.
fn clock_now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Key that names the owner of `range`.
pub fn owner_key(range: &str) -> String {
    format!("{OWNER_PREFIX}{range}")
}
