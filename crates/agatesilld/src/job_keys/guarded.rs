//! Writes that take effect only if the keys have the expected versions.

use std::time::Duration;

use agatesill_coord::store::Store;
use agatesill_wire::platform::{Entry, KeyVersion, Put, StoreCall};
use agatesill_wire::prelude::*;

/// Timeout of a write for a caller, after which its outcome is reported as unknown. A slow store
/// takes 300 ms.
pub const WRITE_TIMEOUT: Duration = Duration::from_millis(700);

/// Outcome of a write that is guarded by the version of its key.
#[derive(Clone, Debug, PartialEq)]
pub enum Guarded {
    /// The write took effect.
    Applied,
    /// The key has another version, that of the entry, or has been deleted; or the lease has ended.
    Conflict(Option<Entry>),
    /// The write did not take effect and can't do so later.
    NotWritten,
    /// The write may have taken effect, or may still do so.
    Unknown,
}

/// Outcome of a transaction that is guarded by the versions of several keys.
#[derive(Clone, Debug, PartialEq)]
pub enum GuardedTxn {
    /// All writes took effect.
    Applied,
    /// A key has another version than expected. The entries are those of the expected keys that exist.
    Conflict(Vec<Entry>),
    /// No write took effect, and none can do so later.
    NotWritten,
    /// The writes may have taken effect, or may still do so.
    Unknown,
}

/// Writes a key if it has the expected version; 0 means that it must be absent. The key is bound to a
/// lease unless that is 0.
pub async fn write_guarded(
    store: &Store,
    key: &str,
    expect_version: u64,
    value: &str,
    lease_id: u64,
) -> Guarded {
    let value = Some(value.to_owned());
    let write = StoreCall::Cas { key: key.to_owned(), expect_version, value, lease_id };
    match send(store, key, write).await {
        GuardedTxn::Applied => Guarded::Applied,
        GuardedTxn::Conflict(entries) => {
            Guarded::Conflict(entries.into_iter().find(|entry| entry.key == key))
        }
        GuardedTxn::NotWritten => Guarded::NotWritten,
        GuardedTxn::Unknown => Guarded::Unknown,
    }
}

/// Writes keys without a lease if other keys have the expected versions; 0 means absent.
pub async fn write_all_guarded(
    store: &Store,
    expected: &[(&str, u64)],
    puts: &[(&str, &str)],
) -> GuardedTxn {
    let expected = expected
        .iter()
        .map(|(key, version)| KeyVersion { key: (*key).to_owned(), version: *version });
    let first_key = puts.first().map_or("", |(key, _)| key);
    let puts = puts.iter().map(|(key, value)| Put {
        key: (*key).to_owned(),
        value: (*value).to_owned(),
        lease_id: 0,
    });
    let (expected, puts) = (expected.collect(), puts.collect());
    send(store, first_key, StoreCall::Txn { expected, puts, deletes: Vec::new() }).await
}

async fn send(store: &Store, key: &str, write: StoreCall) -> GuardedTxn {
    if store.is_unavailable() {
        return GuardedTxn::NotWritten;
    }
    match tokio::time::timeout(WRITE_TIMEOUT, store.call_reporting_outcome(write)).await {
        Ok(Ok(reply)) if reply.applied => GuardedTxn::Applied,
        Ok(Ok(reply)) => {
            let existing = reply.entries.into_iter().filter(|entry| entry.version > 0);
            GuardedTxn::Conflict(existing.collect())
        }
        Ok(Err(error)) if error.kind != ErrorKind::OutcomeUnknown => {
            log::debug!(event = "not_stored", key = key; "{error}");
            GuardedTxn::NotWritten
        }
        Ok(Err(_)) | Err(_) => GuardedTxn::Unknown,
    }
}

/// Reads a key after a write of unknown outcome; `None` if it does not exist or there is no answer.
pub async fn read_in_time(store: &Store, key: &str) -> Option<Entry> {
    match tokio::time::timeout(WRITE_TIMEOUT, store.get(key)).await {
        Ok(Ok(entry)) => entry,
        Ok(Err(_)) | Err(_) => None,
    }
}
