//! Request routing scenarios on a virtual clock, compared with baseline policies.
//!
//! Every scenario runs both deployments and all policies on the same arrivals. Its checks cover the
//! latencies and answers that callers of the `agatesill` policy see.

pub mod baseline;
pub mod burst;
pub mod engine;
pub mod hot;
pub mod load;
pub mod long;
pub mod measure;
pub mod overload;
pub mod route_cost;
pub mod slow;
pub mod storm;
pub mod views;

use crate::scenario::{Kind, Scenario};

/// The scenarios of this module.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "burst",
        pattern: "70% load, five times that for 2 s",
        bounds: "answers within the objective >= 99% of the central policy's and above every \
                 baseline; p99 of answers within the objective; queue empty within 1 s",
        kind: Kind::Virtual(burst::seed),
    },
    Scenario {
        name: "hot-caller",
        pattern: "70% load, one of 20 callers at 10x its share",
        bounds: "others' p99 <= 1.25x theirs without the hot one, others' refusals <= 0.5%",
        kind: Kind::Virtual(hot::caller),
    },
    Scenario {
        name: "hot-key",
        pattern: "70% load, one of 20 keys at 10x its share, requested by all callers",
        bounds: "others' p99 <= 1.25x theirs without the hot one, others' refusals <= 0.5%",
        kind: Kind::Virtual(hot::key),
    },
    Scenario {
        name: "slow-upstream",
        pattern: "70% load, one of 50 upstreams 10x slower for 10 s; then five",
        bounds: "after 2 s <= 2% of requests reach it, p99 <= 1.3x healthy; 80% of its share \
                 20 s after it recovers",
        kind: Kind::Virtual(slow::seed),
    },
    Scenario {
        name: "long-among-short",
        pattern: "80% load, one request in 20 takes 50 times as long",
        bounds: "short requests' p99 <= 2x theirs alone; long ones not refused, and wait no \
                 longer than the latency objective",
        kind: Kind::Virtual(long::seed),
    },
    Scenario {
        name: "overload",
        pattern: "2x and 10x capacity for 60 s",
        bounds: "goodput >= 95% of capacity, refusals correct and within a tenth of the latency \
                 objective, p99 of answers within the objective, normal 2 s after",
        kind: Kind::Virtual(overload::seed),
    },
    Scenario {
        name: "retry-storm",
        pattern: "70% load, half of the upstreams fail for 10 s",
        bounds: "attempts <= 1.1x requests from 1 s after the first failure, normal afterwards, \
                 no non-repeatable request twice",
        kind: Kind::Virtual(storm::seed),
    },
    Scenario {
        name: "views-differ",
        pattern: "70% load, a daemon is killed while another's peer views are 5 s old",
        bounds: "<= 10% over the slots at any upstream, p99 normal within 3 s",
        kind: Kind::Virtual(views::seed),
    },
    Scenario {
        name: "route-cost",
        pattern: "consecutive routing decisions at 70% load, with 50, 500 and 2,000 upstreams",
        bounds: "<= 2 us at 50 and <= 4 us at 2,000 upstreams",
        kind: Kind::Real(route_cost::seed),
    },
];
