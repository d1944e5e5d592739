//! Configuration: size of the document and cost of a change.

use std::time::Instant;

use agatesill_coord::prelude::*;
use agatesill_policy::prelude::*;
use agatesill_standin::store::StoreStandin;
use agatesill_wire::api::{ConfigChange, VersionedConfig};
use agatesill_wire::prelude::*;

use super::ledger::store_client;
use super::result_for_role;
use super::slope::Line;
use crate::result::PolicyResult;

/// Entries of the document: half are services, a quarter profiles, a quarter teams.
const ENTRIES: [u32; 5] = [50, 100, 200, 400, 800];

/// Changes per measurement; more than the head record keeps in its history.
const CHANGES: u32 = 100;

/// Measures changes at each size of the document.
pub async fn changes() -> PolicyResult {
    let mut result = result_for_role("configuration");
    let mut bytes = Line::new("document_bytes", "entries");
    let mut time = Line::new("change_us", "entries");
    let mut calls = Line::new("store_calls_per_change", "entries");
    for entries in ENTRIES {
        let standin = StoreStandin::default();
        let config = ConfigStore::new(store_client(&standin));
        match measure(&config, entries).await {
            Ok((changed, change_us)) => {
                let length = serde_json::to_string(&changed).unwrap_or_default().len();
                bytes.add(f64::from(entries), length as f64);
                time.add(f64::from(entries), change_us);
                let audit = standin.audit();
                let all = (audit.reads + audit.writes) as f64;
                calls.add(f64::from(entries), all / f64::from(CHANGES + 1));
            }
            Err(error) => eprintln!("agatesill-bench: scale: {error}"),
        }
    }
    bytes.report(&mut result);
    time.report(&mut result);
    calls.report(&mut result);
    result
}

async fn measure(config: &ConfigStore, entries: u32) -> Result<(VersionedConfig, f64), Error> {
    let mut changed = config.change(&full_document(entries), 0).await?;
    let started = Instant::now();
    for nth in 1..=CHANGES {
        changed = config.change(&single_change(nth), u64::from(nth)).await?;
    }
    Ok((changed, started.elapsed().as_secs_f64() * 1e6 / f64::from(CHANGES)))
}

fn profile(priority: u8) -> Profile {
    Profile {
        class: ProfileClass::LatencyCritical,
        answer_ms: 200,
        priority,
        queue_requests: 0,
        evictions_per_hour: 4,
        throttle_percent: 25,
    }
}

fn empty_change(nth: u32) -> ConfigChange {
    ConfigChange {
        operation_id: format!("operator-{nth}-1780000000000"),
        base_version: 0,
        author: "operator-name".to_owned(),
        reason: "a reason of usual length, such as a ticket".to_owned(),
        profiles: Default::default(),
        services: Default::default(),
        teams: Default::default(),
        evacuations: Default::default(),
    }
}

fn full_document(entries: u32) -> ConfigChange {
    let mut change = empty_change(0);
    for nth in 0..entries / 4 {
        change.profiles.insert(format!("profile-{nth:04}"), Some(profile(5)));
        let team = Team { weight: nth + 1, quota_cpu_milli: 400_000 };
        change.teams.insert(format!("team-{nth:04}"), Some(team));
    }
    for nth in 0..entries / 2 {
        let service = Service {
            profile: format!("profile-{:04}", nth % (entries / 4)),
            pool: format!("pool-{nth:04}"),
            non_repeatable: vec!["POST /decisions".to_owned()],
        };
        change.services.insert(format!("service-{nth:04}"), Some(service));
    }
    change
}

fn single_change(nth: u32) -> ConfigChange {
    let mut change = empty_change(nth);
    change.profiles.insert("profile-0001".to_owned(), Some(profile((nth % 10) as u8)));
    change
}
