//! What a change makes of a configuration, free of any store.

use std::collections::BTreeMap;

use agatesill_policy::profile::ConfigError;
use agatesill_wire::api::{ConfigChange, HistoryEntry, Undo, VersionedConfig};
use agatesill_wire::prelude::*;
use serde::Serialize;

use super::capacity::DeclaredCapacity;

/// Applies `change` to `current`, checks the outcome and adds it to the history.
pub fn next_version(
    current: &VersionedConfig,
    change: &ConfigChange,
    at_ms: u64,
    floor: &DeclaredCapacity,
) -> Result<VersionedConfig, Error> {
    if change.base_version != 0 && change.base_version != current.version {
        return Err(lost_race(current, change.base_version));
    }
    let mut next = current.clone();
    for (name, profile) in &change.profiles {
        if profile.is_none() {
            refuse_in_use(current, change, name)?;
        }
        set(&mut next.doc.profiles, name, profile.as_ref());
    }
    for (name, service) in &change.services {
        set(&mut next.doc.services, name, service.as_ref());
    }
    for (name, team) in &change.teams {
        set(&mut next.doc.teams, name, team.as_ref());
    }
    for (zone, evacuation) in &change.evacuations {
        set(&mut next.doc.evacuations, zone, evacuation.as_ref());
    }
    seal(current, next, change, at_ms, floor)
}

/// Restores the document of version `to`, as a new version. `older` holds the entries that stand
/// no longer in the head, in order.
pub fn rolled_back(
    current: &VersionedConfig,
    older: &[HistoryEntry],
    to: u64,
    change: &ConfigChange,
    at_ms: u64,
    floor: &DeclaredCapacity,
) -> Result<VersionedConfig, Error> {
    if change.base_version != 0 && change.base_version != current.version {
        return Err(lost_race(current, change.base_version));
    }
    let mut next = current.clone();
    let mut at = current.version;
    let first_kept = current.history.first().map_or(at + 1, |entry| entry.version);
    let kept = current.history.iter().rev();
    let older = older.iter().rev().filter(|entry| entry.version < first_kept);
    for entry in kept.chain(older).take_while(|entry| entry.version > to) {
        entry.undo.profiles.iter().for_each(|(name, old)| {
            set(&mut next.doc.profiles, name, old.as_ref());
        });
        entry.undo.services.iter().for_each(|(name, old)| {
            set(&mut next.doc.services, name, old.as_ref());
        });
        entry.undo.teams.iter().for_each(|(name, old)| {
            set(&mut next.doc.teams, name, old.as_ref());
        });
        entry.undo.evacuations.iter().for_each(|(zone, old)| {
            set(&mut next.doc.evacuations, zone, old.as_ref());
        });
        at = entry.version - 1;
    }
    if at != to || to > current.version {
        let what = format!("version {to}: the history reaches from {at} to {}", current.version);
        return Err(Error::new(ErrorKind::NotFound, what));
    }
    seal(current, next, change, at_ms, floor)
}

/// Checks `next`, gives it its version and writes its history entry.
fn seal(
    current: &VersionedConfig,
    mut next: VersionedConfig,
    change: &ConfigChange,
    at_ms: u64,
    floor: &DeclaredCapacity,
) -> Result<VersionedConfig, Error> {
    next.doc.validate().map_err(|error| Error::new(ErrorKind::BadRequest, error.to_string()))?;
    let mut changes = Vec::new();
    let undo = Undo {
        profiles: differences("profile", &current.doc.profiles, &next.doc.profiles, &mut changes),
        services: differences("service", &current.doc.services, &next.doc.services, &mut changes),
        teams: differences("team", &current.doc.teams, &next.doc.teams, &mut changes),
        evacuations: differences(
            "evacuation",
            &current.doc.evacuations,
            &next.doc.evacuations,
            &mut changes,
        ),
    };
    let beyond = floor.beyond(&next.doc);
    if floor.reject_overcommit && !beyond.is_empty() {
        return Err(Error::new(ErrorKind::Impossible, beyond.join("; ")));
    }
    changes.extend(beyond.into_iter().map(|line| format!("warning: {line}")));
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

fn set<T: Clone>(map: &mut BTreeMap<String, T>, name: &str, value: Option<&T>) {
    match value {
        Some(value) => map.insert(name.to_owned(), value.clone()),
        None => map.remove(name),
    };
}

/// Says what differs, one line a name, and returns what stood there before.
fn differences<T: Clone + PartialEq + Serialize>(
    what: &str,
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
                format!("{what} {name} changed: {}", changed_fields(before, after))
            }
            (None, _) => format!("{what} {name} defined"),
            (_, None) => format!("{what} {name} retired"),
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

fn refuse_in_use(
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

fn lost_race(current: &VersionedConfig, base_version: u64) -> Error {
    if base_version > current.version {
        let what = format!("read version {}, asked for {base_version}", current.version);
        return Error::new(ErrorKind::StoreUnavailable, what).retry_after(500);
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
        format!("made against version {base_version}, newest is {newest}; {}", since.join(" | ")),
    )
}
