//! One versioned configuration document, changed by compare-and-swap.
//!
//! The document, its version and the last changes stand in one key, so that an accepted change and
//! its history entry are one write. Older entries stand in segments beside it.
//!
//! A change that was answered with [`ErrorKind::OutcomeUnknown`] may have been accepted; sent again
//! with the same operation id it is never made twice. [`ErrorKind::StoreUnavailable`] means that
//! this sending was not made and never will be; it says nothing of earlier sendings, so after an
//! unknown outcome the change has to be sent until another answer comes. Every other error means
//! that no sending was made.

pub mod archive;
pub mod capacity;
pub mod change;

use std::sync::Arc;
use std::time::Duration;

use agatesill_policy::value_type;
use agatesill_wire::api::{ConfigChange, HistoryEntry, VersionedConfig};
use agatesill_wire::prelude::*;
use tokio::sync::Mutex;

use self::archive::Archive;
pub use self::archive::HISTORY_KEPT;
pub use self::capacity::DeclaredCapacity;
pub use self::change::next_version;
use crate::store::Store;

/// Prefix of all keys of the configuration.
pub const CONFIG_PREFIX: &str = "config/";

/// The key that holds the configuration.
pub const CONFIG_KEY: &str = "config/head";

/// How often a change is tried again when others win the race.
const RACE_TRIES: u32 = 24;

/// Longest jittered pause between two tries, for each try so far.
const RACE_PAUSE_MS: u64 = 4;

/// Reads and changes the configuration.
#[derive(Clone, Debug)]
pub struct ConfigStore {
    store: Store,
    floor: Arc<DeclaredCapacity>,
    archive: Arc<Mutex<Archive>>,
}

value_type! {
    /// The head as read, with the version of its key.
    struct Head {
        config: VersionedConfig,
        key_version: u64,
    }
}

impl ConfigStore {
    /// Uses `store`, with a floor of which nothing is known.
    pub fn new(store: Store) -> Self {
        Self { store, floor: Arc::default(), archive: Arc::default() }
    }

    /// The same with promises added up against `floor`.
    pub fn with_declared_capacity(self, floor: DeclaredCapacity) -> Self {
        Self { floor: Arc::new(floor), ..self }
    }

    /// Reads the newest configuration; version 0 when there is none yet.
    pub async fn read(&self) -> Result<VersionedConfig, Error> {
        Ok(self.head().await?.config)
    }

    /// Makes a change; returns the newest configuration, in which it is.
    pub async fn change(
        &self,
        change: &ConfigChange,
        at_ms: u64,
    ) -> Result<VersionedConfig, Error> {
        self.commit(&change.operation_id, |current| {
            next_version(current, change, at_ms, &self.floor)
        })
        .await
    }

    /// Restores the document of version `to` as a new version; of `change` only the operation id,
    /// the base version, the author and the reason count.
    pub async fn rollback(
        &self,
        to: u64,
        change: &ConfigChange,
        at_ms: u64,
    ) -> Result<VersionedConfig, Error> {
        let older = self.history_before(&self.head().await?.config).await?;
        self.commit(&change.operation_id, |current| {
            change::rolled_back(current, &older, to, change, at_ms, &self.floor)
        })
        .await
    }

    /// All entries kept, oldest first, each once.
    pub async fn history(&self) -> Result<Vec<HistoryEntry>, Error> {
        let head = self.head().await?.config;
        let mut entries = self.history_before(&head).await?;
        entries.extend(head.history);
        Ok(entries)
    }

    async fn history_before(&self, head: &VersionedConfig) -> Result<Vec<HistoryEntry>, Error> {
        let mut archive = self.archive.lock().await;
        archive.complete(&self.store, head).await?;
        let first = head.history.first().map_or(1, |entry| entry.version);
        Ok(archive.entries().filter(|entry| entry.version < first).cloned().collect())
    }

    /// Guards against a lost answer: the retry would find its own write in the way and report a
    /// conflict for a change that took effect. The operation id in the history shows whose write
    /// it is, also long afterwards. While a write of unknown fate can still land, that is as long
    /// as the key has not moved on, no refusal is given.
    async fn commit(
        &self,
        operation_id: &str,
        next: impl Fn(&VersionedConfig) -> Result<VersionedConfig, Error>,
    ) -> Result<VersionedConfig, Error> {
        let mut unresolved = None;
        for tries in 0..RACE_TRIES {
            let head = self.head().await.map_err(|error| unless_sent(error, unresolved))?;
            if self
                .was_made(&head.config, operation_id)
                .await
                .map_err(|error| unless_sent(error, unresolved))?
            {
                return Ok(head.config);
            }
            unresolved = unresolved.filter(|version| *version == head.key_version);
            let mut made = next(&head.config).map_err(|error| unless_sent(error, unresolved))?;
            archive::trim(&self.store, &mut made)
                .await
                .map_err(|error| unless_sent(error, unresolved))?;
            let value = serde_json::to_string(&made)
                .map_err(|error| Error::new(ErrorKind::Protocol, error.to_string()))?;
            match self.store.cas(CONFIG_KEY, head.key_version, value, 0).await {
                Ok(reply) if reply.applied => return Ok(made),
                Ok(_) => {}
                Err(error) if error.kind == ErrorKind::TooLarge => return Err(error),
                Err(_) => unresolved = Some(head.key_version),
            }
            let pause = Duration::from_millis(RACE_PAUSE_MS * u64::from(tries + 1));
            tokio::time::sleep(pause.mul_f64(self.store.jitter())).await;
        }
        let lost = Error::new(ErrorKind::Conflict, "lost the race too often").retry_after(200);
        Err(unless_sent(lost, unresolved))
    }

    async fn was_made(&self, head: &VersionedConfig, operation_id: &str) -> Result<bool, Error> {
        if head.history.iter().any(|entry| entry.operation_id == operation_id) {
            return Ok(true);
        }
        let mut archive = self.archive.lock().await;
        archive.complete(&self.store, head).await?;
        Ok(archive.knows(operation_id))
    }

    async fn head(&self) -> Result<Head, Error> {
        let Some(entry) = self.store.get(CONFIG_KEY).await? else {
            return Ok(Head { config: VersionedConfig::default(), key_version: 0 });
        };
        let config = serde_json::from_str(&entry.value)
            .map_err(|error| Error::new(ErrorKind::Protocol, format!("{CONFIG_KEY}: {error}")))?;
        Ok(Head { config, key_version: entry.version })
    }
}

/// `error`, or that the outcome is not known when a write may still land.
fn unless_sent(error: Error, unresolved: Option<u64>) -> Error {
    match unresolved {
        Some(_) => {
            let what = format!("the change may have been accepted; {}", error.detail);
            Error::new(ErrorKind::OutcomeUnknown, what).retry_after(1_000)
        }
        None => error,
    }
}
