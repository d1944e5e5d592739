//! Scenarios with real daemon processes: configuration changes, cell ownership and control cost.

mod cost;
mod daemons;
mod outage;
mod ownership;
mod race;
mod spread;

use std::collections::BTreeMap;
use std::future::Future;

use agatesill_wire::prelude::*;

use crate::result::{Check, PolicyResult, SeedResult};
use crate::scenario::{Kind, Scenario};

/// The scenarios of this module.
pub const SCENARIOS: &[Scenario] = &[
    Scenario {
        name: "config-spread",
        pattern: "changes at eight daemons: no faults, watches broken, store down after acceptance",
        bounds: "active in all daemons: p99 <= 1 s; <= 5 s with watches broken; <= 5 s in an outage",
        kind: Kind::Real(|_| run("config-spread", spread::measure())),
    },
    Scenario {
        name: "store-outage",
        pattern: "requests and changes during an outage of the store, in which a daemon is replaced",
        bounds: "no request failed; newest version served; changes refused as unavailable; no retry \
                 storm",
        kind: Kind::Real(|_| run("store-outage", outage::measure())),
    },
    Scenario {
        name: "operator-race",
        pattern: "16 operators, 2,000 changes through eight daemons, 5% of store answers lost",
        bounds: "each change accepted once, versions only increase, no refused change takes effect",
        kind: Kind::Real(|seed| run("operator-race", race::measure(seed))),
    },
    Scenario {
        name: "ownership",
        pattern: "cell owners are killed, paused for three leases, drained",
        bounds: "takeover <= 2 leases; planned hand-over < 1 s",
        kind: Kind::Real(|_| run("ownership", ownership::measure())),
    },
    Scenario {
        name: "control-cost",
        pattern: "3, 8 and 16 idle daemons with 50, 500 and 2,000 workers",
        bounds: "per daemon <= 1% of a core and 128 MB; together < 100 writes/s and 200 reads/s",
        kind: Kind::Real(|_| run("control-cost", cost::measure())),
    },
];

/// Figures and checks of one scenario.
#[derive(Debug, Default)]
struct Measurement {
    figures: BTreeMap<String, f64>,
    checks: Vec<Check>,
}

impl Measurement {
    fn figure(&mut self, name: impl Into<String>, value: f64) {
        self.figures.insert(name.into(), value);
    }

    fn at_most(&mut self, name: &str, value: f64, bound: f64) {
        self.checks.push(Check::at_most(name, value, bound));
    }
}

fn run(name: &str, work: impl Future<Output = Result<Measurement, Error>>) -> SeedResult {
    let runtime =
        tokio::runtime::Builder::new_multi_thread().worker_threads(4).enable_all().build();
    match runtime.map_err(Error::from).and_then(|runtime| runtime.block_on(work)) {
        Ok(measurement) => SeedResult {
            policies: vec![PolicyResult {
                policy: "agatesill".to_owned(),
                figures: measurement.figures,
                series: Vec::new(),
            }],
            checks: measurement.checks,
            ..SeedResult::default()
        },
        Err(error) => {
            eprintln!("agatesill-bench: {name}: {error}");
            SeedResult { checks: vec![Check::at_most("could_not_run", 1.0, 0.0)], ..<_>::default() }
        }
    }
}
