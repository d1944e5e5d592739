//! Computes the next version of a configuration from a change, without access to the store.

use std::collections::BTreeMap;

use agatesill_policy::profile::ConfigError;
use agatesill_wire::api::{ConfigChange, HistoryEntry, Undo, VersionedConfig};
use agatesill_wire::prelude::*;
use serde::Serialize;

use super::capacity::DeclaredCapacity;

/// Applies `change` to `current`, validates the result and appends a history entry.
pub fn next_version(
    current: &VersionedConfig,
    change: &ConfigChange,
    at_ms: u64,
    capacity: &DeclaredCapacity,
) -> Result<VersionedConfig, Error> {
    if change.base_version != 0 && change.base_version != current.version {
        return Err(version_conflict(current, change.base_version));
    }
    let mut next = current.clone();
    for (name, profile) in &change.profiles {
        if profile.is_none() {
            check_not_in_use(current, change, name)?;
        }
        set_or_remove(&mut next.doc.profiles, name, profile.as_ref());
    }
    for (name, service) in &change.services {
        set_or_remove(&mut next.doc.services, name, service.as_ref());
    }
    for (name, team) in &change.teams {
        set_or_remove(&mut next.doc.teams, name, team.as_ref());
    }
    for (zone, evacuation) in &change.evacuations {
        set_or_remove(&mut next.doc.evacuations, zone, evacuation.as_ref());
    }
    finalize(current, next, change, at_ms, capacity)
}

/// Restores the document of version `to` as a new version. `archived` holds the history entries
/// that were trimmed from the head, oldest first.
pub fn rollback_version(
    current: &VersionedConfig,
    archived: &[HistoryEntry],
    to: u64,
    change: &ConfigChange,
    at_ms: u64,
    capacity: &DeclaredCapacity,
) -> Result<VersionedConfig, Error> {
    if change.base_version != 0 && change.base_version != current.version {
        return Err(version_conflict(current, change.base_version));
    }
    let mut next = current.clone();
    let mut reached = current.version;
    let head_start = current.history.first().map_or(reached + 1, |entry| entry.version);
    let in_head = current.history.iter().rev();
    let archived = archived.iter().rev().filter(|entry| entry.version < head_start);
    for entry in in_head.chain(archived).take_while(|entry| entry.version > to) {
        entry.undo.profiles.iter().for_each(|(name, old)| {
            set_or_remove(&mut next.doc.profiles, name, old.as_ref());
        });
        entry.undo.services.iter().for_each(|(name, old)| {
            set_or_remove(&mut next.doc.services, name, old.as_ref());
        });
        entry.undo.teams.iter().for_each(|(name, old)| {
            set_or_remove(&mut next.doc.teams, name, old.as_ref());
        });
        entry.undo.evacuations.iter().for_each(|(zone, old)| {
            set_or_remove(&mut next.doc.evacuations, zone, old.as_ref());
        });
        reached = entry.version - 1;
    }
    if reached != to || to > current.version {
        let detail = format!("version {to}: the history covers {reached} to {}", current.version);
        return Err(Error::new(ErrorKind::NotFound, detail));
    }
    finalize(current, next, change, at_ms, capacity)
}

/// Validates `next`, assigns its version and appends its history entry.
fn finalize(
    current: &VersionedConfig,
    mut next: VersionedConfig,
    change: &ConfigChange,
    at_ms: u64,
    capacity: &DeclaredCapacity,
) -> Result<VersionedConfig, Error> {
    next.doc.validate().map_err(|error| Error::new(ErrorKind::BadRequest, error.to_string()))?;
    let mut changes = Vec::new();
    let undo = Undo {
        profiles: diff_entries("profile", &current.doc.profiles, &next.doc.profiles, &mut changes),
        services: diff_entries("service", &current.doc.services, &next.doc.services, &mut changes),
        teams: diff_entries("team", &current.doc.teams, &next.doc.teams, &mut changes),
        evacuations: diff_entries(
            "evacuation",
            &current.doc.evacuations,
            &next.doc.evacuations,
            &mut changes,
        ),
    };
    let overcommitments = capacity.overcommitments(&next.doc);
    if capacity.reject_overcommit && !overcommitments.is_empty() {
        return Err(Error::new(ErrorKind::Impossible, overcommitments.join("; ")));
    }
    changes.extend(overcommitments.into_iter().map(|line| format!("warning: {line}")));
    next.version += 1;
    next.history.push(HistoryEntry {
        version: next.version,
        operation_id: change.operation_id.clone(),
        author: change.author.clone(),
        reason: change.reason.clone(),
        at_ms,
        changes,
        undo,
    });
    Ok(next)
}

fn set_or_remove<T: Clone>(map: &mut BTreeMap<String, T>, name: &str, value: Option<&T>) {
    match value {
        Some(value) => map.insert(name.to_owned(), value.clone()),
        None => map.remove(name),
    };
}

/// Appends one line per name that differs to `lines`, and returns the previous value of each.
fn diff_entries<T: Clone + PartialEq + Serialize>(
    kind: &str,
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
    lines: &mut Vec<String>,
) -> BTreeMap<String, Option<T>> {
    let mut undo = BTreeMap::new();
    let names = old.keys().chain(new.keys().filter(|name| !old.contains_key(*name)));
    for name in names {
        let (before, after) = (old.get(name), new.get(name));
        let line = match (before, after) {
            (Some(before), Some(after)) if before == after => continue,
            (Some(before), Some(after)) => {
                format!("{kind} {name} changed: {}", changed_fields(before, after))
            }
            (None, _) => format!("{kind} {name} defined"),
            (_, None) => format!("{kind} {name} retired"),
        };
        lines.push(line);
        undo.insert(name.clone(), before.cloned());
    }
    undo
}

fn changed_fields<T: Serialize>(before: &T, after: &T) -> String {
    let (Ok(before), Ok(after)) = (serde_json::to_value(before), serde_json::to_value(after))
    else {
        return String::new();
    };
    let fields = after.as_object().into_iter().flatten();
    let changed: Vec<String> = fields
        .filter(|(field, value)| before.get(field) != Some(value))
        .map(|(field, value)| {
            format!("{field} {} -> {value}", before.get(field).unwrap_or(&serde_json::Value::Null))
        })
        .collect();
    changed.join(", ")
}

fn check_not_in_use(
    current: &VersionedConfig,
    change: &ConfigChange,
    profile: &str,
) -> Result<(), Error> {
    let services: Vec<String> = current
        .doc
        .services_using(profile)
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

fn version_conflict(current: &VersionedConfig, base_version: u64) -> Error {
    if base_version > current.version {
        let detail =
            format!("read version {}, older than base version {base_version}", current.version);
        return Error::new(ErrorKind::StoreUnavailable, detail).retry_after(500);
    }
    let since: Vec<String> = current
        .history
        .iter()
        .filter(|entry| entry.version > base_version)
        .map(|entry| {
            format!("version {} by {}: {}", entry.version, entry.author, entry.changes.join("; "))
        })
        .collect();
    let newest = current.version;
    Error::new(
        ErrorKind::Conflict,
        format!(
            "based on version {base_version}, but the newest is {newest}; {}",
            since.join(" | ")
        ),
    )
}
