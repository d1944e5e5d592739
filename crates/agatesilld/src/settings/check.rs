//! Validates the ranges of settings and the constraints between them.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Display;
use std::net::SocketAddr;

use super::{Settings, SettingsError};

/// Maximum CPU capacity of one worker in millicores: 1,000 processors.
const MAX_CPU_MILLI: u64 = 1_000_000;

/// Maximum memory of one worker in megabytes: 64 TB.
const MAX_MEMORY_MB: u64 = 64_000_000;

/// Maximum number of accelerators of one worker.
const MAX_ACCELERATORS: u64 = 1_024;

/// A numeric setting with its allowed range.
#[derive(Debug)]
pub struct Limit {
    /// Path of the key.
    pub key: String,
    /// The configured value.
    pub value: u64,
    /// The smallest allowed value.
    pub min: u64,
    /// The largest allowed value.
    pub max: u64,
}

struct Checker<'a> {
    file: &'a str,
}

impl Checker<'_> {
    fn out_of_range(&self, key: &str, value: &dyn Display, range: &str) -> SettingsError {
        SettingsError::Range {
            file: self.file.to_owned(),
            key: key.to_owned(),
            value: value.to_string(),
            range: range.to_owned(),
        }
    }
}

/// Validates all settings and returns the first error.
pub fn check(file: &str, settings: &Settings) -> Result<(), SettingsError> {
    let checker = Checker { file };
    for limit in limits(settings) {
        if !(limit.min..=limit.max).contains(&limit.value) {
            let range = format!("{}..={}", limit.min, limit.max);
            return Err(checker.out_of_range(&limit.key, &limit.value, &range));
        }
    }
    check_names(&checker, settings)?;
    check_addresses(&checker, settings)?;
    check_ids(&checker, settings)?;
    check_level(&checker, &settings.log.level)
}

/// All numeric settings with their ranges. Some ranges depend on other settings.
pub fn limits(settings: &Settings) -> Vec<Limit> {
    let mut limits = Vec::new();
    let mut add = |key: &str, value: u64, min: u64, max: u64| {
        limits.push(Limit { key: key.to_owned(), value, min, max });
    };
    let entry = &settings.entry;
    add("entry.relay_threads", entry.relay_threads as u64, 1, 64);
    add("entry.drain_ms", entry.drain_ms, 0, 600_000);
    add("entry.balancer_lag_ms", entry.balancer_lag_ms, 0, 60_000);
    add("entry.max_connections", entry.max_connections as u64, 1, 100_000);
    add("entry.head_ms", entry.head_ms, 100, 600_000);
    add("entry.body_ms", entry.body_ms, 100, 600_000);
    add("entry.stall_ms", entry.stall_ms, 100, 600_000);
    add("entry.max_body_bytes", entry.max_body_bytes, 1_024, 1 << 30);
    add("entry.buffer_bytes", entry.buffer_bytes as u64, 0, 1 << 20);
    let (peers, store) = (&settings.peers, &settings.store);
    add("peers.heartbeat_ms", peers.heartbeat_ms, 10, 10_000);
    add("peers.suspect_ms", peers.suspect_ms, peers.heartbeat_ms.saturating_mul(3), 60_000);
    add("store.renew_ms", store.renew_ms, 10, 60_000);
    add("store.lease_ms", store.lease_ms, store.renew_ms.saturating_mul(2), 600_000);
    add("store.calls_per_s", u64::from(store.calls_per_s), 10, 10_000);
    add("store.commit_ms", store.commit_ms, 1, 1_000);
    let (upstreams, records) = (&settings.upstreams, &settings.records);
    let daemons = peers.members.len().max(1) as u64;
    add("upstreams.connections", upstreams.connections as u64, daemons, 10_000);
    add("upstreams.connect_ms", upstreams.connect_ms, 10, 60_000);
    add("records.keep_ms", records.keep_ms, 1_000, 86_400_000);
    add("records.max_bytes", records.max_bytes as u64, 64 << 10, 1 << 30);
    add("records.settle_ms", records.settle_ms, 0, 600_000);
    add_pools(settings, &mut add);
    add_cells(settings, &mut add);
    limits
}

/// Limits the slots of an upstream to the connections to it: more would be reserved but never
/// usable.
fn add_pools(settings: &Settings, add: &mut impl FnMut(&str, u64, u64, u64)) {
    let connections = settings.upstreams.connections as u64;
    for (name, pool) in &settings.pools {
        for (nth, upstream) in pool.iter().enumerate() {
            let key = format!("pools.{name}.{nth}.slots");
            add(&key, u64::from(upstream.slots), 1, connections);
        }
    }
}

fn add_cells(settings: &Settings, add: &mut impl FnMut(&str, u64, u64, u64)) {
    for (name, cell) in &settings.cells {
        let min_lease_ms = cell.poll_ms.saturating_mul(2);
        add(&format!("cells.{name}.poll_ms"), cell.poll_ms, 10, 60_000);
        add(
            &format!("cells.{name}.attempt_lease_ms"),
            cell.attempt_lease_ms,
            min_lease_ms,
            600_000,
        );
        add(&format!("cells.{name}.outage_renew_ms"), cell.outage_renew_ms, 0, 86_400_000);
        for (nth, worker) in cell.workers.iter().enumerate() {
            let key = |field: &str| format!("cells.{name}.workers.{nth}.capacity.{field}");
            add(&key("cpu_milli"), worker.capacity.cpu_milli, 1, MAX_CPU_MILLI);
            add(&key("memory_mb"), worker.capacity.memory_mb, 1, MAX_MEMORY_MB);
            add(&key("accelerators"), worker.capacity.accelerators, 0, MAX_ACCELERATORS);
        }
    }
}

fn check_names(checker: &Checker<'_>, settings: &Settings) -> Result<(), SettingsError> {
    for (key, value) in [("instance", &settings.instance), ("zone", &settings.zone)] {
        if value.is_empty() || value.len() > 64 {
            return Err(checker.out_of_range(key, &format!("{value:?}"), "1..=64 characters"));
        }
    }
    Ok(())
}

/// Requires that all listening addresses are distinct. Port 0, any free port, may repeat.
fn check_addresses(checker: &Checker<'_>, settings: &Settings) -> Result<(), SettingsError> {
    let mut used: BTreeMap<SocketAddr, String> = BTreeMap::new();
    let own_addresses = [
        ("entry.addr", settings.entry.addr),
        ("admin.addr", settings.admin.addr),
        ("peers.addr", settings.peers.addr),
        ("store.addr", settings.store.addr),
    ];
    let members = settings
        .peers
        .members
        .iter()
        .filter(|(name, _)| **name != settings.instance)
        .map(|(name, addr)| (format!("peers.members.{name}"), *addr));
    let upstreams = settings.pools.iter().flat_map(|(name, pool)| {
        pool.iter()
            .enumerate()
            .map(move |(nth, upstream)| (format!("pools.{name}.{nth}.addr"), upstream.addr))
    });
    let own_addresses = own_addresses.into_iter().map(|(key, addr)| (key.to_owned(), addr));
    for (key, addr) in
        own_addresses.chain(members).chain(upstreams).filter(|(_, addr)| addr.port() != 0)
    {
        if let Some(first) = used.insert(addr, key.clone()) {
            return Err(checker.out_of_range(
                &key,
                &addr,
                &format!("an address other than that of {first}"),
            ));
        }
    }
    Ok(())
}

fn check_ids(checker: &Checker<'_>, settings: &Settings) -> Result<(), SettingsError> {
    let mut ids = BTreeSet::new();
    for (name, pool) in &settings.pools {
        for (nth, upstream) in pool.iter().enumerate() {
            if !ids.insert(upstream.id) {
                let key = format!("pools.{name}.{nth}.id");
                return Err(checker.out_of_range(
                    &key,
                    &upstream.id,
                    "an id that is not used elsewhere",
                ));
            }
        }
    }
    for (name, cell) in &settings.cells {
        let mut ids = BTreeSet::new();
        for (nth, worker) in cell.workers.iter().enumerate() {
            if !ids.insert(worker.id) {
                let key = format!("cells.{name}.workers.{nth}.id");
                return Err(checker.out_of_range(
                    &key,
                    &worker.id,
                    "an id that is not used elsewhere",
                ));
            }
        }
    }
    Ok(())
}

fn check_level(checker: &Checker<'_>, level: &str) -> Result<(), SettingsError> {
    if ["off", "error", "warn", "info", "debug"].contains(&level) {
        return Ok(());
    }
    Err(checker.out_of_range("log.level", &format!("{level:?}"), "off, error, warn, info or debug"))
}
