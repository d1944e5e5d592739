//! `profile`, `service`, `team` and `config`: read and change the configuration.

use std::path::PathBuf;

use agatesill_policy::prelude::*;
use agatesill_wire::api::{ConfigChange, HistoryEntry, VersionedConfig};
use agatesill_wire::prelude::*;
use clap::ArgMatches;

use super::{read_yaml, string_arg};
use crate::client::Admin;
use crate::output::{Output, table};

/// Runs `profile`.
pub async fn profile(args: &ArgMatches, admin: &Admin, output: Output) -> Result<(), Error> {
    match args.subcommand() {
        Some(("define", args)) => {
            let name = string_arg(args, "name");
            let profile = merge_profile(admin.config().await?.doc.profiles.get(name), args)?;
            let mut change = admin.change(args);
            change.profiles.insert(name.to_owned(), Some(profile));
            submit_change(admin, &change, output).await
        }
        Some(("retire", args)) => {
            let mut change = admin.change(args);
            let name = string_arg(args, "name");
            ensure_exists(admin.config().await?.doc.profiles.contains_key(name), "profile", name)?;
            change.profiles.insert(name.to_owned(), None);
            submit_change(admin, &change, output).await
        }
        Some(("diff", args)) => diff(args, admin, output).await,
        Some(("show", args)) => show(string_arg(args, "name"), admin, output).await,
        _ => {
            let config = admin.config().await?;
            output.print(&config.doc.profiles, |_| profiles_table(&config.doc));
            Ok(())
        }
    }
}

/// Runs `service`.
pub async fn service(args: &ArgMatches, admin: &Admin, output: Output) -> Result<(), Error> {
    match args.subcommand() {
        Some(("assign", args)) => {
            let name = string_arg(args, "name");
            let current = admin.config().await?.doc.services.get(name).cloned();
            let mut change = admin.change(args);
            change.services.insert(name.to_owned(), Some(merge_service(current, args)?));
            submit_change(admin, &change, output).await
        }
        Some(("remove", args)) => {
            let name = string_arg(args, "name");
            ensure_exists(admin.config().await?.doc.services.contains_key(name), "service", name)?;
            let mut change = admin.change(args);
            change.services.insert(name.to_owned(), None);
            submit_change(admin, &change, output).await
        }
        _ => {
            let config = admin.config().await?;
            output.print(&config.doc.services, |services| {
                let mut table = table(&["service", "profile", "pool", "at most once"]);
                for (name, service) in services {
                    let once = service.non_repeatable.join(", ");
                    table.add_row([name, &service.profile, &service.pool, &once]);
                }
                table
            });
            Ok(())
        }
    }
}

/// Runs `team`.
pub async fn team(args: &ArgMatches, admin: &Admin, output: Output) -> Result<(), Error> {
    match args.subcommand() {
        Some(("set", args)) => {
            let weight = to_u32("weight", args.get_one::<u64>("weight").copied().unwrap_or(1))?;
            let quota_cpu_milli = args.get_one::<u64>("quota-cpu-milli").copied().unwrap_or(0);
            let mut change = admin.change(args);
            let team = Team { weight, quota_cpu_milli };
            change.teams.insert(string_arg(args, "name").to_owned(), Some(team));
            submit_change(admin, &change, output).await
        }
        Some(("remove", args)) => {
            let name = string_arg(args, "name");
            ensure_exists(admin.config().await?.doc.teams.contains_key(name), "team", name)?;
            let mut change = admin.change(args);
            change.teams.insert(name.to_owned(), None);
            submit_change(admin, &change, output).await
        }
        _ => {
            let config = admin.config().await?;
            output.print(&config.doc.teams, |teams| {
                let mut table = table(&["team", "weight", "quota (millicores)"]);
                for (name, team) in teams {
                    table.add_row([
                        name.clone(),
                        team.weight.to_string(),
                        team.quota_cpu_milli.to_string(),
                    ]);
                }
                table
            });
            Ok(())
        }
    }
}

/// Runs `config`.
pub async fn document(args: &ArgMatches, admin: &Admin, output: Output) -> Result<(), Error> {
    match args.subcommand() {
        Some(("apply", args)) => {
            let file = args.get_one::<PathBuf>("file").cloned().unwrap_or_default();
            let doc: ConfigDoc = read_yaml(&file)?;
            let mut change = admin.change(args);
            change.profiles =
                doc.profiles.into_iter().map(|(name, profile)| (name, Some(profile))).collect();
            change.services =
                doc.services.into_iter().map(|(name, service)| (name, Some(service))).collect();
            change.teams = doc.teams.into_iter().map(|(name, team)| (name, Some(team))).collect();
            change.evacuations = doc
                .evacuations
                .into_iter()
                .map(|(name, evacuation)| (name, Some(evacuation)))
                .collect();
            submit_change(admin, &change, output).await
        }
        Some(("rollback", args)) => {
            let to = args.get_one::<u64>("to").copied().unwrap_or(0);
            let change = admin.change(args);
            let accepted: VersionedConfig =
                admin.post(&format!("/v1/config/rollback/{to}"), &change).await?;
            print_accepted(&accepted, output);
            Ok(())
        }
        _ => {
            let history: Vec<HistoryEntry> = admin.get("/v1/config/history").await?;
            output.print(&history, |history| {
                let mut table = table(&["version", "operator", "reason", "changes"]);
                for entry in history {
                    table.add_row([
                        entry.version.to_string(),
                        entry.author.clone(),
                        entry.reason.clone(),
                        entry.changes.join("\n"),
                    ]);
                }
                table
            });
            Ok(())
        }
    }
}

/// Submits a configuration change and prints the changes that were accepted.
pub(super) async fn submit_change(
    admin: &Admin,
    change: &ConfigChange,
    output: Output,
) -> Result<(), Error> {
    let accepted: VersionedConfig = admin.post("/v1/config", change).await?;
    print_accepted(&accepted, output);
    Ok(())
}

fn print_accepted(accepted: &VersionedConfig, output: Output) {
    let entry = accepted.history.last();
    output.print(&entry, |entry| {
        let mut table = table(&["version", "accepted changes"]);
        let changes = entry.map_or_else(String::new, |entry| entry.changes.join("\n"));
        table.add_row([accepted.version.to_string(), changes]);
        table
    });
}

pub(super) fn ensure_exists(exists: bool, kind: &str, name: &str) -> Result<(), Error> {
    if exists {
        return Ok(());
    }
    Err(Error::new(ErrorKind::NotFound, format!("no {kind} named {name}")))
}

/// Returns the current profile, or a new one, with the fields from `args` applied.
fn merge_profile(current: Option<&Profile>, args: &ArgMatches) -> Result<Profile, Error> {
    let class = match args.get_one::<String>("class").map(String::as_str) {
        Some("batch") => Some(ProfileClass::Batch),
        Some(_) => Some(ProfileClass::LatencyCritical),
        None => None,
    };
    let Some(class) = class.or(current.map(|profile| profile.class)) else {
        return Err(Error::new(ErrorKind::BadRequest, "a new profile requires --class"));
    };
    let default_profile = || {
        let yaml = match class {
            ProfileClass::Batch => "class: batch",
            ProfileClass::LatencyCritical => "class: latency_critical",
        };
        serde_yaml_ng::from_str(yaml)
            .map_err(|error| Error::new(ErrorKind::Protocol, error.to_string()))
    };
    let mut profile: Profile = match current {
        Some(profile) => profile.clone(),
        None => default_profile()?,
    };
    profile.class = class;
    let number = |name: &'static str, field: &mut u32| -> Result<(), Error> {
        if let Some(value) = args.get_one::<u64>(name) {
            *field = to_u32(name, *value)?;
        }
        Ok(())
    };
    number("answer-ms", &mut profile.answer_ms)?;
    number("queue-requests", &mut profile.queue_requests)?;
    number("evictions-per-hour", &mut profile.evictions_per_hour)?;
    number("throttle-percent", &mut profile.throttle_percent)?;
    let mut priority = u32::from(profile.priority);
    number("priority", &mut priority)?;
    profile.priority = u8::try_from(priority).map_err(|_| {
        Error::new(ErrorKind::BadRequest, format!("--priority {priority}: must be at most 9"))
    })?;
    Ok(profile)
}

fn to_u32(name: &str, value: u64) -> Result<u32, Error> {
    u32::try_from(value).map_err(|_| {
        Error::new(ErrorKind::BadRequest, format!("--{name} {value}: must be at most {}", u32::MAX))
    })
}

/// Returns the current service, or a new one, with the fields from `args` applied.
fn merge_service(current: Option<Service>, args: &ArgMatches) -> Result<Service, Error> {
    let profile = string_arg(args, "profile").to_owned();
    let pool = args.get_one::<String>("pool").cloned();
    let Some(pool) = pool.or_else(|| current.as_ref().map(|service| service.pool.clone())) else {
        return Err(Error::new(ErrorKind::BadRequest, "a new service requires --pool"));
    };
    let non_repeatable = match args.get_many::<String>("non-repeatable") {
        Some(rules) => rules.cloned().collect(),
        None => current.map(|service| service.non_repeatable).unwrap_or_default(),
    };
    Ok(Service { profile, pool, non_repeatable })
}

async fn show(name: &str, admin: &Admin, output: Output) -> Result<(), Error> {
    let config = admin.config().await?;
    let profile = config.doc.profiles.get(name);
    ensure_exists(profile.is_some(), "profile", name)?;
    output.print(&profile, |_| {
        let mut table = table(&["field", "value"]);
        for (field, value) in fields(profile) {
            table.add_row([field, value]);
        }
        let services: Vec<&str> = config.doc.services_using(name).into_iter().collect();
        table.add_row(["used by".to_owned(), services.join(", ")]);
        table.add_row(["configuration version".to_owned(), config.version.to_string()]);
        table
    });
    Ok(())
}

async fn diff(args: &ArgMatches, admin: &Admin, output: Output) -> Result<(), Error> {
    let config = admin.config().await?;
    let current = config.doc.profiles.get(string_arg(args, "name"));
    let next = merge_profile(current, args)?;
    let (old, new) = (fields(current), fields(Some(&next)));
    let changed: Vec<(String, String, String)> = new
        .into_iter()
        .filter_map(|(field, value)| {
            let previous =
                old.iter().find(|(name, _)| *name == field).map(|(_, value)| value.clone());
            let previous = previous.unwrap_or_else(|| "(none)".to_owned());
            (previous != value).then_some((field, previous, value))
        })
        .collect();
    output.print(&changed, |changed| {
        let mut table = table(&["field", "active", "after define"]);
        for (field, previous, after) in changed {
            table.add_row([field, previous, after]);
        }
        table
    });
    Ok(())
}

/// Returns the fields of a profile, named as in the configuration document.
fn fields(profile: Option<&Profile>) -> Vec<(String, String)> {
    let Some(profile) = profile else { return Vec::new() };
    match serde_json::to_value(profile) {
        Ok(serde_json::Value::Object(map)) => map
            .into_iter()
            .map(|(name, value)| (name, value.to_string().trim_matches('"').to_owned()))
            .collect(),
        _ => Vec::new(),
    }
}

fn profiles_table(doc: &ConfigDoc) -> comfy_table::Table {
    let mut table = table(&["profile", "class", "promise", "priority", "evictions/h", "used by"]);
    for (name, profile) in &doc.profiles {
        let (class, promise) = match profile.class {
            ProfileClass::LatencyCritical => {
                ("latency-critical", format!("{} ms", profile.answer_ms))
            }
            ProfileClass::Batch => ("batch", "-".to_owned()),
        };
        let services: Vec<&str> = doc.services_using(name).into_iter().collect();
        table.add_row([
            name.clone(),
            class.to_owned(),
            promise,
            profile.priority.to_string(),
            profile.evictions_per_hour.to_string(),
            services.join(", "),
        ]);
    }
    table
}
