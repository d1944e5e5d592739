//! Scenarios of requests under a virtual clock: generators, daemons with partial views, baselines.
//!
//! Every scenario runs both deployments and all policies over the same arrivals, and judges the
//! product's own policy by what callers receive.

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
        pattern: "70% load, five times as much for 2 s",
        bounds: "answers in promise >= 99% of what fits and above every baseline; p99 of answers \
                 in promise; queue gone within 1 s",
        kind: Kind::Virtual(burst::seed),
    },
    Scenario {
        name: "hot-caller",
        pattern: "70% load, one of 20 callers at 10x its share",
        bounds: "others' p99 <= 1.25x theirs without it, others' refusals <= 0.5%",
        kind: Kind::Virtual(hot::caller),
    },
    Scenario {
        name: "hot-key",
        pattern: "70% load, one of 20 keys at 10x its share, asked for by all callers",
        bounds: "others' p99 <= 1.25x theirs without it, others' refusals <= 0.5%",
        kind: Kind::Virtual(hot::key),
    },
    Scenario {
        name: "slow-upstream",
        pattern: "70% load, one of 50 upstreams 10x slower for 10 s; then five",
        bounds: "from 2 s on <= 2% of requests meet it, p99 <= 1.3x healthy; back to 80% of its \
                 share 20 s after it heals",
        kind: Kind::Virtual(slow::seed),
    },
    Scenario {
        name: "long-among-short",
        pattern: "80% load, one request in 20 takes 50 times as long",
        bounds: "short requests' p99 <= 2x theirs alone; long ones not refused, and wait no \
                 longer than the promise",
        kind: Kind::Virtual(long::seed),
    },
    Scenario {
        name: "overload",
        pattern: "2x and 10x capacity for 60 s",
        bounds: "goodput >= 95% of capacity, refusals true and within a tenth of the promise, p99 \
                 of answers in promise, normal 2 s after",
        kind: Kind::Virtual(overload::seed),
    },
    Scenario {
        name: "retry-storm",
        pattern: "70% load, half of the upstreams fail for 10 s",
        bounds: "attempts <= 1.1x requests beyond the failing start, normal afterwards, no \
                 non-repeatable request twice",
        kind: Kind::Virtual(storm::seed),
    },
    Scenario {
        name: "views-differ",
        pattern: "70% load, a daemon dies while another's views are 5 s old",
        bounds: "<= 10% beyond the slots at any upstream, tail back within 3 s",
        kind: Kind::Virtual(views::seed),
    },
    Scenario {
        name: "route-cost",
        pattern: "one decision after another at 70% load, at 50, 500 and 2,000 upstreams",
        bounds: "<= 2 us at 50 and <= 4 us at 2,000 upstreams",
        kind: Kind::Real(route_cost::seed),
    },
];
