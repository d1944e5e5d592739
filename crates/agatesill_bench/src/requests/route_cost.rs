//! `route-cost`: cost of one routing decision at 50, 500 and 2,000 upstreams.
//!
//! A single policy has 70% of its slots in use, so that it routes each arrival immediately. Times
//! are medians over batches of 64 arrivals; answers are processed between batches and not counted.
//! A test of the policy crate asserts that the decision allocates no memory.

use std::hint::black_box;
use std::time::Instant;

use agatesill_policy::prelude::*;

use crate::result::{Check, PolicyResult, SeedResult, Series};

const SIZES: [u32; 3] = [50, 500, 2_000];
const SLOTS: u32 = 8;
const ARRIVALS_PER_BATCH: u64 = 64;
const BATCH_COUNT: usize = 2_000;

/// Share of the slots that are in use.
const LOAD: f64 = 0.7;

fn policy(seed: u64, upstreams: u32) -> RequestPolicy {
    let mut policy = RequestPolicy::new(seed, "entry-0", "zone-0");
    let spec = |id: u32| UpstreamSpec { id, slots: SLOTS, zone: format!("zone-{}", id % 4) };
    policy.set_upstreams(0, &(0..upstreams).map(spec).collect::<Vec<_>>());
    let promise_us = 250_000;
    policy.set_service(0, ServiceLimits { promise_us, priority: 7, queue_requests: 0 });
    policy
}

fn decision_us(seed: u64, upstreams: u32) -> f64 {
    let mut policy = policy(seed, upstreams);
    let in_flight = (f64::from(upstreams * SLOTS) * LOAD) as u64;
    let mut actions = Vec::with_capacity(1_024);
    let (mut arrived, mut finished) = (0, 0);
    let mut times_us: Vec<f64> = Vec::with_capacity(BATCH_COUNT);
    while times_us.len() < BATCH_COUNT {
        let now_us = arrived * 100;
        let started = Instant::now();
        for ticket in arrived..arrived + ARRIVALS_PER_BATCH {
            let (caller, key) = (ticket % 200, ticket % 1_000);
            let deadline_us = now_us + 2_000_000;
            let head =
                RequestHead { ticket, service: 0, caller, key, deadline_us, repeatable: true };
            policy.arrive(now_us, black_box(head), &mut actions);
        }
        let took_us = started.elapsed().as_secs_f64() * 1e6 / ARRIVALS_PER_BATCH as f64;
        arrived += ARRIVALS_PER_BATCH;
        black_box(&actions);
        actions.clear();
        if arrived > in_flight {
            times_us.push(took_us);
            for ticket in finished..arrived - in_flight {
                policy.finish(now_us, ticket, Outcome::Answered, &mut actions);
            }
            finished = arrived - in_flight;
            actions.clear();
        }
    }
    times_us.sort_by(f64::total_cmp);
    times_us[times_us.len() / 2]
}

/// Runs a seed.
pub fn seed(seed: u64) -> SeedResult {
    let costs: Vec<(u32, f64)> =
        SIZES.iter().map(|upstreams| (*upstreams, decision_us(seed, *upstreams))).collect();
    let cost_us = |upstreams| {
        costs.iter().find(|(size, _)| *size == upstreams).map_or(f64::MAX, |(_, cost)| *cost)
    };
    let slope_ns = (cost_us(2_000) - cost_us(50)) * 1e3 / 1.95;
    let figures = costs
        .iter()
        .map(|(upstreams, cost)| (format!("decision_at_{upstreams}_us"), *cost))
        .chain([("slope_per_1000_upstreams_ns".to_owned(), slope_ns)])
        .collect();
    let points = costs.iter().map(|(upstreams, cost)| (f64::from(*upstreams), *cost)).collect();
    let series = vec![Series {
        plot: "cost of a routing decision".to_owned(),
        x_label: "upstreams".to_owned(),
        y_label: "median (us)".to_owned(),
        points,
    }];
    SeedResult {
        seed,
        policies: vec![PolicyResult { policy: "agatesill".to_owned(), figures, series }],
        checks: vec![
            Check::at_most("decision at 50 upstreams, us", cost_us(50), 2.0),
            Check::at_most("decision at 2000 upstreams, us", cost_us(2_000), 4.0),
        ],
    }
}
