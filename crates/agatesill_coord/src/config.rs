//! One versioned configuration document, changed by compare-and-swap.
//!
//! The document, its version and the last changes stand in one key, so that an accepted change and
//! its history entry are one write.

use agatesill_policy::profile::ConfigError;
use agatesill_policy::value_type;
use agatesill_wire::api::{ConfigChange, HistoryEntry, VersionedConfig};
use agatesill_wire::prelude::*;

use crate::store::Store;

/// Prefix of all keys of the configuration.
pub const CONFIG_PREFIX: &str = "config/";

/// The key that holds the configuration.
pub const CONFIG_KEY: &str = "config/head";

/// How many changes the head keeps.
pub const HISTORY_KEPT: usize = 64;

/// How often a change is tried again when others win the race.
const RACE_TRIES: usize = 16;

/// Reads and changes the configuration.
#[derive(Clone, Debug)]
pub struct ConfigStore {
    store: Store,
}

value_type! {
    /// The head as read, with the version of its key.
    struct Head {
        config: VersionedConfig,
        key_version: u64,
    }
}

impl ConfigStore {
    /// Uses `store`.
    pub fn new(store: Store) -> Self {
        Self { store }
    }

    /// Reads the newest configuration; version 0 when there is none yet.
    pub async fn read(&self) -> Result<VersionedConfig, Error> {
        Ok(self.head().await?.config)
    }

    /// Makes a change; returns the configuration that it made.
    ///
    /// Guards against a lost answer: the retry would find its own write in the way and report a
    /// conflict for a change that took effect. The operation id in the history shows whose write
    /// it is.
    pub async fn change(
        &self,
        change: &ConfigChange,
        at_ms: u64,
    ) -> Result<VersionedConfig, Error> {
        for _ in 0..RACE_TRIES {
            let head = self.head().await?;
            if head.config.history.iter().any(|entry| entry.operation_id == change.operation_id) {
                return Ok(head.config);
            }
            let next = next_version(&head.config, change, at_ms)?;
            let value = serde_json::to_string(&next)
                .map_err(|error| Error::new(ErrorKind::Protocol, error.to_string()))?;
            match self.store.cas(CONFIG_KEY, head.key_version, value, 0).await {
                Ok(reply) if reply.applied => return Ok(next),
                Ok(_) => {}
                Err(_) => {
                    let seen = self.head().await?;
                    let ours = |entry: &HistoryEntry| entry.operation_id == change.operation_id;
                    if seen.config.history.iter().any(ours) {
                        return Ok(seen.config);
                    }
                }
            }
        }
        Err(Error::new(ErrorKind::Conflict, "lost the race too often").retry_after(200))
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

/// Applies `change` to `current`, checks the outcome and adds it to the history.
pub fn next_version(
    current: &VersionedConfig,
    change: &ConfigChange,
    at_ms: u64,
) -> Result<VersionedConfig, Error> {
    if change.base_version != 0 && change.base_version != current.version {
        return Err(lost_race(current, change.base_version));
    }
    let mut next = current.clone();
    let mut changes = Vec::new();
    for (name, profile) in &change.profiles {
        if profile.is_none() {
            refuse_in_use(current, change, name)?;
        }
        set(&mut next.doc.profiles, "profile", name, profile, &mut changes);
    }
    for (name, service) in &change.services {
        set(&mut next.doc.services, "service", name, service, &mut changes);
    }
    for (name, team) in &change.teams {
        set(&mut next.doc.teams, "team", name, team, &mut changes);
    }
    next.doc.validate().map_err(|error| Error::new(ErrorKind::BadRequest, error.to_string()))?;
    next.version += 1;
    next.history.push(HistoryEntry {
        version: next.version,
        operation_id: change.operation_id.clone(),
        author: change.author.clone(),
        reason: change.reason.clone(),
        at_ms,
        changes,
    });
    let excess = next.history.len().saturating_sub(HISTORY_KEPT);
    next.history.drain(..excess);
    Ok(next)
}

fn set<T: Clone + PartialEq>(
    map: &mut std::collections::BTreeMap<String, T>,
    what: &str,
    name: &str,
    value: &Option<T>,
    changes: &mut Vec<String>,
) {
    match value {
        Some(value) => {
            let old = map.insert(name.to_owned(), value.clone());
            let verb = if old.is_some() { "changed" } else { "defined" };
            changes.push(format!("{what} {name} {verb}"));
        }
        None => {
            if map.remove(name).is_some() {
                changes.push(format!("{what} {name} retired"));
            }
        }
    }
}

fn refuse_in_use(
    current: &VersionedConfig,
    change: &ConfigChange,
    profile: &str,
) -> Result<(), Error> {
    let services: Vec<String> = current
        .doc
        .users_of(profile)
        .into_iter()
        .filter(|service| match change.services.get(*service) {
            Some(Some(moved)) => moved.profile == profile,
            Some(None) => false,
            None => true,
        })
        .map(str::to_owned)
        .collect();
    if services.is_empty() {
        return Ok(());
    }
    let in_use = ConfigError::InUse { profile: profile.to_owned(), services };
    Err(Error::new(ErrorKind::InUse, in_use.to_string()))
}

fn lost_race(current: &VersionedConfig, base_version: u64) -> Error {
    let since: Vec<String> = current
        .history
        .iter()
        .filter(|entry| entry.version > base_version)
        .map(|entry| {
            format!("version {} by {}: {}", entry.version, entry.author, entry.changes.join("; "))
        })
        .collect();
    Error::new(
        ErrorKind::Conflict,
        format!(
            "made against version {base_version}, newest is {}; {}",
            current.version,
            since.join(" | ")
        ),
    )
}
