//! Ownership of a named range, held by a key bound to a store lease.
//!
//! The key only says who should act; what makes a stale owner harmless is the epoch in the commit
//! log (see [`crate::commit_log`]).

use std::time::{Duration, Instant};

use agatesill_wire::platform::StoreCall;
use agatesill_wire::prelude::*;

use crate::store::Store;

/// A holder stops this share of the lease before its end, for clock-rate drift and scheduling.
pub const SAFETY_MARGIN_PERCENT: u32 = 20;

/// One process's store lease and the ranges that it owns under it.
#[derive(Debug)]
pub struct Ownership {
    store: Store,
    instance: String,
    ttl: Duration,
    lease_id: u64,
    valid_until: Option<Instant>,
}

impl Ownership {
    /// Prepares to claim ranges for `instance`.
    pub fn new(store: Store, instance: &str, ttl: Duration) -> Self {
        Self { store, instance: instance.to_owned(), ttl, lease_id: 0, valid_until: None }
    }

    /// Whether the lease certainly holds at `now`.
    pub fn is_valid(&self, now: Instant) -> bool {
        self.valid_until.is_some_and(|until| now < until)
    }

    /// Renews the lease, or grants a new one when the old is gone.
    ///
    /// Guards against a slow answer: the time of validity counts from when the call was sent, since
    /// the service may have renewed at that moment.
    pub async fn renew(&mut self) -> Result<(), Error> {
        let sent = Instant::now();
        if self.lease_id != 0 {
            let reply = self.store.call(StoreCall::Renew { lease_id: self.lease_id }).await?;
            if reply.applied {
                self.extend(sent);
                return Ok(());
            }
        }
        let ttl_ms = self.ttl.as_millis() as u64;
        let reply = self.store.call(StoreCall::Grant { ttl_ms }).await?;
        self.lease_id = reply.lease_id;
        self.extend(sent);
        Ok(())
    }

    /// Tries to own `range`; true when the key names this instance under its present lease.
    pub async fn claim(&self, range: &str) -> Result<bool, Error> {
        let key = format!("own/{range}");
        let reply = self.store.cas(&key, 0, self.instance.clone(), self.lease_id).await?;
        if reply.applied {
            return Ok(true);
        }
        Ok(reply.entries.iter().any(|entry| entry.value == self.instance))
    }

    /// Gives everything up, so that others need not wait for the lease to end.
    pub async fn release(&mut self) -> Result<(), Error> {
        self.valid_until = None;
        if self.lease_id != 0 {
            self.store.call(StoreCall::Revoke { lease_id: self.lease_id }).await?;
            self.lease_id = 0;
        }
        Ok(())
    }

    fn extend(&mut self, sent: Instant) {
        self.valid_until = Some(sent + self.ttl * (100 - SAFETY_MARGIN_PERCENT) / 100);
    }
}
