//! A counter that survives its owner: claim a range, commit deltas, take over, fence the old owner.
//!
//! Run it with `cargo run -p agatesill_coord --example counter`. It needs no service: the transport
//! below keeps all keys in memory. Another key-value service only has to provide such a transport.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use agatesill_coord::prelude::*;
use agatesill_wire::platform::{Entry, StoreCall, StoreReply};
use agatesill_wire::prelude::*;

/// Time to live of an owner's lease.
const TTL: Duration = Duration::from_secs(5);

#[derive(Default)]
struct Memory {
    revision: u64,
    entries: BTreeMap<String, Entry>,
}

impl Memory {
    fn apply(&mut self, call: StoreCall) -> StoreReply {
        let mut reply = StoreReply { applied: true, ..StoreReply::default() };
        match call {
            StoreCall::Range { prefix } => {
                let matching = self.entries.values().filter(|entry| entry.key.starts_with(&prefix));
                reply.entries = matching.cloned().collect();
            }
            StoreCall::Cas { key, expect_version, value, .. } => {
                let found = self.entries.get(&key);
                if found.map_or(0, |entry| entry.version) == expect_version {
                    self.revision += 1;
                    self.entries.remove(&key);
                    let version = self.revision;
                    let entry = value.map(|value| Entry { key: key.clone(), value, version });
                    self.entries.extend(entry.clone().map(|entry| (key, entry)));
                    reply.entries.extend(entry);
                } else {
                    reply.applied = false;
                    reply.entries.extend(found.cloned());
                }
            }
            StoreCall::Grant { .. } => {
                self.revision += 1;
                reply.lease_id = self.revision;
            }
            // Leases never end here. The real service ends leases and deletes their keys.
            StoreCall::Renew { lease_id } | StoreCall::Revoke { lease_id } => {
                reply.lease_id = lease_id;
            }
            StoreCall::Watch { .. } | StoreCall::Txn { .. } | StoreCall::Page { .. } => {
                reply.applied = false;
            }
        }
        reply.revision = self.revision;
        reply
    }
}

fn store(memory: &Arc<Mutex<Memory>>) -> Store {
    let memory = memory.clone();
    Store::with_transport(Arc::new(move |call, _timeout| {
        let reply = memory.lock().unwrap_or_else(PoisonError::into_inner).apply(call);
        Box::pin(async move { Ok(reply) })
    }))
}

/// Takes over the counter and returns its log with the total so far.
async fn take_over(store: &Store, instance: &str) -> Result<(CommitLog, i64), Error> {
    let taken = CommitLog::take_over::<i64, i64>(store.clone(), "counter/a", instance).await?;
    let (log, replay) = taken;
    let total = replay.snapshot.unwrap_or(0) + replay.deltas.iter().sum::<i64>();
    println!("{instance} owns the counter in epoch {} at {total}", log.epoch());
    Ok((log, total))
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Error> {
    let memory = Arc::default();
    let (first, second) = (store(&memory), store(&memory));
    let mut first_ownership = Ownership::new(first.clone(), "first", TTL);
    first_ownership.renew().await?;
    println!("first claims the counter: {}", first_ownership.claim("counter/a").await?);
    let mut second_ownership = Ownership::new(second.clone(), "second", TTL);
    second_ownership.renew().await?;
    println!("second claims it as well: {}", second_ownership.claim("counter/a").await?);

    let (mut log, mut total) = take_over(&first, "first").await?;
    for delta in [5, 7, -2] {
        log.append(&[delta]).await?;
        total += delta;
    }
    log.snapshot(&total).await?;

    first_ownership.give_up("counter/a").await?;
    println!("second claims it again: {}", second_ownership.claim("counter/a").await?);
    take_over(&second, "second").await?;
    // The first owner does not know about the takeover; the store rejects its write.
    match log.append(&[100_i64]).await {
        Ok(()) => println!("first wrote after the takeover"),
        Err(error) => println!("the write of first was rejected: {error}"),
    }
    Ok(())
}
