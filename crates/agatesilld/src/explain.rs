//! Answers `explain` requests: the decisions on a request or worker, or the configuration of a
//! profile, with their inputs and configuration version.

use agatesill_policy::prelude::ProfileClass;
use agatesill_wire::prelude::*;

use crate::recent;
use crate::shared::Shared;

/// Explains the `request`, `worker` or `profile` with this id.
pub fn explain(shared: &Shared, kind: &str, id: &str) -> Result<Vec<String>, Error> {
    match kind {
        "request" => decisions("request", id),
        "worker" => decisions("worker", id),
        "profile" => profile(shared, id),
        _ => Err(Error::new(
            ErrorKind::NotFound,
            format!("unknown kind {kind:?}; expected request, worker, profile or job"),
        )),
    }
}

fn decisions(key: &str, id: &str) -> Result<Vec<String>, Error> {
    let lines = recent::find(key, id);
    if lines.is_empty() {
        let message = format!(
            "no decision on {key} {id} in the newest {} MB of log lines of this daemon; another \
             daemon may have made it, or log.level is above info",
            recent::MAX_BYTES >> 20
        );
        return Err(Error::new(ErrorKind::NotFound, message));
    }
    Ok(lines)
}

fn profile(shared: &Shared, name: &str) -> Result<Vec<String>, Error> {
    let config = shared.config();
    let Some(profile) = config.doc.profiles.get(name) else {
        return Err(Error::new(ErrorKind::NotFound, format!("no profile named {name}")));
    };
    let mut lines = vec![format!("active configuration version: {}", config.version)];
    let profile_prefix = format!("profile {name} ");
    let changes = config
        .history
        .iter()
        .filter(|entry| entry.changes.iter().any(|change| change.starts_with(&profile_prefix)));
    lines.extend(changes.map(|entry| {
        format!(
            "version {} by {}: {} ({})",
            entry.version,
            entry.author,
            entry.changes.join("; "),
            entry.reason
        )
    }));
    if profile.class == ProfileClass::Batch {
        lines.push(format!(
            "a task may be evicted {} times an hour and keeps {}% of its CPU when throttled",
            profile.evictions_per_hour, profile.throttle_percent
        ));
        return Ok(lines);
    }
    lines.push(format!("latency objective: 99% of answers within {} ms", profile.answer_ms));
    let services = shared.services();
    let users = services.values().filter(|service| service.profile == name);
    lines.extend(users.map(|service| {
        format!(
            "service {}: {} requests here since start, {} answered, {} of them late, {} refused, {} \
             waiting now",
            service.name,
            service.requests,
            service.answered,
            service.late,
            service.refused,
            service.waiting
        )
    }));
    Ok(lines)
}
