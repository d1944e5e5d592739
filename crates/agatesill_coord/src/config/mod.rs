//! One versioned configuration document, changed by compare-and-swap.
//!
//! The document, its version and the newest history entries share one key, the head, so that an
//! accepted change and its history entry are a single write. Older entries are archived in segments
//! under other keys.
//!
//! A change that fails with [`ErrorKind::OutcomeUnknown`] may have been accepted; sending it again
//! with the same operation id never applies it twice. [`ErrorKind::StoreUnavailable`] means that
//! this attempt was not applied and never will be. It says nothing about earlier attempts, so after
//! an unknown outcome the change has to be sent again until another result is returned. Every other
//! error means that no attempt was applied.

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
pub use self::archive::SEGMENT_ENTRIES;
pub use self::capacity::DeclaredCapacity;
pub use self::change::next_version;
use crate::store::Store;

/// Prefix of all configuration keys.
pub const CONFIG_PREFIX: &str = "config/";

/// Key of the head: the document, its version and the newest history entries.
pub const CONFIG_KEY: &str = "config/head";

/// Maximum number of attempts to commit a change when concurrent changes win the compare-and-swap.
const MAX_COMMIT_ATTEMPTS: u32 = 24;

/// Maximum jittered back-off between two attempts, multiplied by the number of attempts so far.
const COMMIT_BACKOFF_MS: u64 = 4;

/// Reads and changes the configuration. Clones share one cache of archived history.
#[derive(Clone, Debug)]
pub struct ConfigStore {
    store: Store,
    capacity: Arc<DeclaredCapacity>,
    archive: Arc<Mutex<Archive>>,
}

value_type! {
    /// The head, with the version of its key.
    struct Head {
        config: VersionedConfig,
        key_version: u64,
    }
}

impl ConfigStore {
    /// A configuration in `store`, without any declared capacity.
    pub fn new(store: Store) -> Self {
        Self { store, capacity: Arc::default(), archive: Arc::default() }
    }

    /// Compares quotas and pools of each change with `capacity`.
    pub fn with_declared_capacity(self, capacity: DeclaredCapacity) -> Self {
        Self { capacity: Arc::new(capacity), ..self }
    }

    /// Reads the newest configuration; its version is 0 when none was written yet.
    pub async fn read(&self) -> Result<VersionedConfig, Error> {
        Ok(self.head().await?.config)
    }

    /// Commits a change; returns the newest configuration, which includes it.
    pub async fn change(
        &self,
        change: &ConfigChange,
        at_ms: u64,
    ) -> Result<VersionedConfig, Error> {
        self.commit(&change.operation_id, |current| {
            next_version(current, change, at_ms, &self.capacity)
        })
        .await
    }

    /// Restores the document of version `to` as a new version. Only the operation id, the base
    /// version, the author and the reason of `change` are used.
    pub async fn rollback(
        &self,
        to: u64,
        change: &ConfigChange,
        at_ms: u64,
    ) -> Result<VersionedConfig, Error> {
        let archived = self.archived_history(&self.head().await?.config).await?;
        self.commit(&change.operation_id, |current| {
            change::rollback_version(current, &archived, to, change, at_ms, &self.capacity)
        })
        .await
    }

    /// All retained entries, oldest first, without duplicates.
    pub async fn history(&self) -> Result<Vec<HistoryEntry>, Error> {
        let head = self.head().await?.config;
        let mut entries = self.archived_history(&head).await?;
        entries.extend(head.history);
        Ok(entries)
    }

    async fn archived_history(&self, head: &VersionedConfig) -> Result<Vec<HistoryEntry>, Error> {
        let mut archive = self.archive.lock().await;
        archive.load_missing_segments(&self.store, head).await?;
        let head_start = head.history.first().map_or(1, |entry| entry.version);
        Ok(archive.entries().filter(|entry| entry.version < head_start).cloned().collect())
    }

    /// Commits the configuration that `next` computes from the newest one.
    ///
    /// When the answer to a write is lost, the retry finds its own write in the key and would
    /// report a conflict for a change that took effect. The operation id in the history identifies
    /// the write, also long afterwards. A write of unknown outcome can still take effect as long as
    /// the version of the key is unchanged; meanwhile errors are reported as an unknown outcome.
    async fn commit(
        &self,
        operation_id: &str,
        next: impl Fn(&VersionedConfig) -> Result<VersionedConfig, Error>,
    ) -> Result<VersionedConfig, Error> {
        let mut unresolved = None;
        for attempt in 0..MAX_COMMIT_ATTEMPTS {
            let head = self.head().await.map_err(|error| or_outcome_unknown(error, unresolved))?;
            if self
                .is_committed(&head.config, operation_id)
                .await
                .map_err(|error| or_outcome_unknown(error, unresolved))?
            {
                return Ok(head.config);
            }
            unresolved = unresolved.filter(|version| *version == head.key_version);
            let mut updated =
                next(&head.config).map_err(|error| or_outcome_unknown(error, unresolved))?;
            archive::trim_history(&self.store, &mut updated)
                .await
                .map_err(|error| or_outcome_unknown(error, unresolved))?;
            let value = serde_json::to_string(&updated)
                .map_err(|error| Error::new(ErrorKind::Protocol, error.to_string()))?;
            match self.store.cas(CONFIG_KEY, head.key_version, value, 0).await {
                Ok(reply) if reply.applied => return Ok(updated),
                Ok(_) => {}
                Err(error) if error.kind == ErrorKind::TooLarge => return Err(error),
                Err(_) => unresolved = Some(head.key_version),
            }
            let backoff = Duration::from_millis(COMMIT_BACKOFF_MS * u64::from(attempt + 1));
            tokio::time::sleep(backoff.mul_f64(self.store.jitter())).await;
        }
        let lost = Error::new(ErrorKind::Conflict, "gave up after too many concurrent changes")
            .retry_after(200);
        Err(or_outcome_unknown(lost, unresolved))
    }

    async fn is_committed(
        &self,
        head: &VersionedConfig,
        operation_id: &str,
    ) -> Result<bool, Error> {
        if head.history.iter().any(|entry| entry.operation_id == operation_id) {
            return Ok(true);
        }
        let mut archive = self.archive.lock().await;
        archive.load_missing_segments(&self.store, head).await?;
        Ok(archive.contains_operation(operation_id))
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

/// Turns `error` into [`ErrorKind::OutcomeUnknown`] while an unresolved write may still take
/// effect.
fn or_outcome_unknown(error: Error, unresolved: Option<u64>) -> Error {
    match unresolved {
        Some(_) => {
            let detail = format!("the change may have been accepted; {}", error.detail);
            Error::new(ErrorKind::OutcomeUnknown, detail).retry_after(1_000)
        }
        None => error,
    }
}
