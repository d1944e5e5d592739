//! Ownership of named ranges, each represented by a key bound to the store lease of this process.
//!
//! The key only names the process that should act. The epoch in the commit log makes a stale owner
//! harmless (see [`crate::commit_log`]). The service alone decides between two claimants: the key
//! is created only if it is absent.
//!
//! All times are durations on the monotonic clock of this process. A holder counts its lease from
//! the moment when the renewal was *sent* and stops [`SAFETY_MARGIN_PERCENT`] before its end. It
//! has therefore stopped when a successor starts, as long as clock rates differ by less than that
//! margin. For a process that was paused past the end, [`Ownership::is_valid`] returns false once
//! it resumes.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use agatesill_policy::value_type;
use agatesill_wire::platform::StoreCall;
use agatesill_wire::prelude::*;

use crate::store::Store;

/// Prefix of the keys that hold owners.
pub const OWNER_PREFIX: &str = "own/";

/// Prefix of ranges that only show that the instance in the rest of the name holds a lease.
pub const MEMBER_RANGE_PREFIX: &str = "member/";

/// Share of the lease before its end at which a holder stops acting. Clock rates of instances
/// differ by far less than 1%; the rest covers scheduling delays between the check of the lease and
/// the action.
pub const SAFETY_MARGIN_PERCENT: u32 = 20;

value_type! {
    /// Owner of a range, as stored under its key.
    #[derive(Eq)]
    pub struct Owner {
        /// Name of the instance.
        pub instance: String,
        /// Lease that the key is bound to; distinguishes two incarnations of an instance.
        pub lease_id: u64,
        /// Address at which the owner accepts calls from its peers; empty if unknown.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        pub address: String,
        /// Processors of the owner, in thousandths; 0 if unknown.
        #[serde(default, skip_serializing_if = "is_zero")]
        pub cpu_milli: u32,
    }
}

#[allow(clippy::trivially_copy_pass_by_ref)] // Signature required by serde.
fn is_zero(value: &u32) -> bool {
    *value == 0
}

/// The store lease of one process and the ranges that it owns under this lease.
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
    /// An ownership without a lease; see [`Ownership::renew`].
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

    /// Sets the address at which this process accepts calls from its peers.
    pub fn with_address(self, address: &str) -> Self {
        Self { address: address.to_owned(), ..self }
    }

    /// Sets the processors of this process, in thousandths.
    pub fn with_cpu(self, cpu_milli: u32) -> Self {
        Self { cpu_milli, ..self }
    }

    /// Value of the key of a range while this process owns it.
    pub fn owner(&self) -> Owner {
        Owner {
            instance: self.instance.clone(),
            lease_id: self.lease_id,
            address: self.address.clone(),
            cpu_milli: self.cpu_milli,
        }
    }

    /// Whether the lease is certain to be held at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Whether `range` is owned and the lease is certain to be held at `now`.
    pub fn holds(&self, range: &str, now: Instant) -> bool {
        self.is_valid(now) && self.held.contains_key(range)
    }

    /// Version of the key that names this process as the owner of `range`. It is higher than the
    /// version of every earlier owner and serves as the epoch.
    pub fn epoch(&self, range: &str) -> Option<u64> {
        self.held.get(range).copied()
    }

    /// Ranges claimed under the current lease.
    pub fn held(&self) -> impl Iterator<Item = &str> {
        self.held.keys().map(String::as_str)
    }

    /// The current store lease; 0 if there is none.
    pub fn lease_id(&self) -> u64 {
        self.lease_id
    }

    /// Renews the lease, or requests a new one when the old one has ended; all ranges are lost
    /// then. Also announces this instance under [`MEMBER_RANGE_PREFIX`], once per lease.
    ///
    /// The validity is counted from the moment when the call was sent, because the service may have
    /// renewed the lease at that moment although the answer is slow.
    pub async fn renew(&mut self) -> Result<(), Error> {
        self.renew_unannounced().await?;
        if !self.is_announced {
            let range = format!("{MEMBER_RANGE_PREFIX}{}", self.instance);
            self.is_announced = self.claim(&range).await?;
            self.held.remove(&range);
        }
        Ok(())
    }

    /// Like [`Ownership::renew`] but without the announcement, for a process that only needs the
    /// lease.
    pub async fn renew_unannounced(&mut self) -> Result<(), Error> {
        if self.lease_id != 0 {
            let sent = clock_now();
            let reply = self.store.call(StoreCall::Renew { lease_id: self.lease_id }).await?;
            if reply.applied {
                self.extend(sent);
                return Ok(());
            }
            self.clear_lease();
        }
        let sent = clock_now();
        let ttl_ms = self.ttl.as_millis() as u64;
        let reply = self.store.call(StoreCall::Grant { ttl_ms }).await?;
        self.lease_id = reply.lease_id;
        self.extend(sent);
        Ok(())
    }

    /// Tries to claim `range`; returns whether its key names this process under its current lease.
    ///
    /// A key left by an earlier incarnation of the same instance is taken over immediately: an
    /// instance name has one process, and the commit log fences the earlier one.
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

    /// Releases `range`, so that its next owner does not have to wait for the lease to end. The
    /// caller must have stopped acting on it.
    pub async fn give_up(&mut self, range: &str) -> Result<(), Error> {
        let Some(version) = self.held.remove(range) else { return Ok(()) };
        self.store.delete(&owner_key(range), version).await?;
        Ok(())
    }

    /// Revokes the lease and with it all ranges. The caller must have stopped acting on them.
    pub async fn release(&mut self) -> Result<(), Error> {
        let lease_id = self.lease_id;
        self.clear_lease();
        if lease_id != 0 {
            self.store.call(StoreCall::Revoke { lease_id }).await?;
        }
        Ok(())
    }

    fn clear_lease(&mut self) {
        self.lease_id = 0;
        self.valid_until = None;
        self.held.clear();
        self.is_announced = false;
    }

    fn extend(&mut self, sent: Instant) {
        self.valid_until = Some(sent + self.ttl * (100 - SAFETY_MARGIN_PERCENT) / 100);
    }
}

/// Current time of the runtime's clock, which tests may pause.
fn clock_now() -> Instant {
    tokio::time::Instant::now().into_std()
}

/// Key that holds the owner of `range`.
pub fn owner_key(range: &str) -> String {
    format!("{OWNER_PREFIX}{range}")
}
