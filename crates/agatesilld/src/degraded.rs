//! What does not work as it should at this daemon, in words.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use agatesill_coord::prelude::*;

use crate::logging;
use crate::shared::Shared;

/// Lines for the operator, the gravest first; empty when all is well.
pub fn degraded(
    shared: &Shared,
    store: &Store,
    members: &BTreeMap<String, SocketAddr>,
) -> Vec<String> {
    let counters = shared.counters();
    let mut lines = Vec::new();
    if shared.served_version() == 0 {
        lines.push("no configuration is in force yet: every request is refused".to_owned());
    }
    let failed_calls = store.consecutive_failures();
    if failed_calls > 0 {
        lines.push(format!(
            "the store has not answered the last {failed_calls} calls: nothing new is placed or \
             changed; requests and running tasks go on"
        ));
    }
    let heard = shared.peers().clone();
    lines.extend(members.keys().filter(|name| !heard.contains(name)).map(|name| {
        format!(
            "no heartbeat from {name}: its slots are used by the others, its cells are taken over"
        )
    }));
    let mut counted = |count: u64, what: &str| {
        if count > 0 {
            lines.push(format!("{count} {what} since start"));
        }
    };
    counted(counters.decide_ring_full.get(), "requests refused, the deciding ring was full");
    counted(counters.cell_ring_full.get(), "job calls refused, the batch ring was full");
    counted(counters.connections_refused.get(), "connections refused at entry.max_connections");
    counted(logging::lost_lines(), "log lines lost, the log ring was full");
    lines
}
