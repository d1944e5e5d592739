//! Describes the current faults of this daemon for operators.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use agatesill_coord::prelude::*;

use crate::logging;
use crate::shared::Shared;

/// One line for each fault, the most severe first; empty if there are none.
pub fn degraded(
    shared: &Shared,
    store: &Store,
    members: &BTreeMap<String, SocketAddr>,
) -> Vec<String> {
    let counters = shared.counters();
    let mut lines = Vec::new();
    if shared.served_version() == 0 {
        lines.push("no configuration is active yet: all requests are refused".to_owned());
    }
    let failed_calls = store.consecutive_failures();
    if failed_calls > 0 {
        lines.push(format!(
            "the store has not answered the last {failed_calls} calls: no placements or changes \
             are made; requests and running tasks continue"
        ));
    }
    let heard = shared.peers().clone();
    lines.extend(members.keys().filter(|name| !heard.contains(name)).map(|name| {
        format!("no heartbeat from {name}: other daemons use its slots and take over its cells")
    }));
    let mut add_count = |count: u64, message: &str| {
        if count > 0 {
            lines.push(format!("{count} {message} since start"));
        }
    };
    add_count(counters.decide_ring_full.get(), "requests refused because the decide ring was full");
    add_count(counters.cell_ring_full.get(), "job calls refused because the cells ring was full");
    add_count(
        counters.connections_refused.get(),
        "connections refused because of entry.max_connections",
    );
    add_count(logging::lost_lines(), "log lines lost because the log ring was full");
    lines
}
