//! Answers to `explain`: the decisions on a request, worker or profile, with inputs and version.

use agatesill_policy::prelude::ProfileClass;
use agatesill_wire::prelude::*;

use crate::recent;
use crate::shared::Shared;

/// Explains `id` of kind `request`, `worker` or `profile`.
pub fn explain(shared: &Shared, kind: &str, id: &str) -> Result<Vec<String>, Error> {
    match kind {
        "request" => decisions("request", id),
        "worker" => decisions("worker", id),
        "profile" => profile(shared, id),
        _ => Err(Error::new(ErrorKind::NotFound, format!("nothing to explain as {kind:?}"))),
    }
}

fn decisions(key: &str, id: &str) -> Result<Vec<String>, Error> {
    let lines = recent::find(key, id);
    if lines.is_empty() {
        let what = format!(
            "no decision on {key} {id} among the newest {} MB of decisions of this daemon; another \
             daemon may have taken it, or log.level is above info",
            recent::KEPT_BYTES >> 20
        );
        return Err(Error::new(ErrorKind::NotFound, what));
    }
    Ok(lines)
}

fn profile(shared: &Shared, name: &str) -> Result<Vec<String>, Error> {
    let config = shared.config();
    let Some(profile) = config.doc.profiles.get(name) else {
        return Err(Error::new(ErrorKind::NotFound, format!("no profile named {name}")));
    };
    let mut lines = vec![format!("in force as of configuration version {}", config.version)];
    let touched = format!("profile {name} ");
    let changes = config
        .history
        .iter()
        .filter(|entry| entry.changes.iter().any(|change| change.starts_with(&touched)));
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
            "a task may be evicted {} times an hour and keeps {}% of its processors when throttled",
            profile.evictions_per_hour, profile.throttle_percent
        ));
        return Ok(lines);
    }
    lines.push(format!("promise: 99% of answers within {} ms", profile.answer_ms));
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
