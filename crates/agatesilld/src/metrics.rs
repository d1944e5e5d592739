//! OpenTelemetry metrics, exposed in the Prometheus text format.
//!
//! `docs/METRICS.md` lists each metric with its unit and the action to take when it changes.

use agatesill_coord::prelude::*;
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Counter, Gauge, Histogram, Meter};

use crate::decide::Decider;
use crate::instruments::Instruments;
use crate::logging;
use crate::shared::Shared;

/// Upper bucket bounds of answer times in seconds, dense around the latency objectives of 150 and
/// 250 ms.
const DURATION_BUCKETS: [f64; 14] =
    [0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.25, 0.5, 1.0, 2.5, 10.0];

/// Instruments of one daemon.
#[derive(Clone, Debug)]
pub struct Metrics {
    instruments: Instruments,
    requests: Counter<u64>,
    duration: Histogram<f64>,
    connections: Gauge<u64>,
}

impl Metrics {
    /// Creates the instruments that are updated directly.
    pub fn new() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let instruments = Instruments::new()?;
        let meter = instruments.meter();
        let requests = meter
            .u64_counter("agatesill.requests")
            .with_unit("{request}")
            .with_description("Requests by service and outcome")
            .build();
        let duration = instruments.seconds_histogram(
            "http.server.request.duration",
            &DURATION_BUCKETS,
            "Time from a request's head to its answer's head",
        );
        let connections = meter
            .u64_gauge("http.client.open_connections")
            .with_unit("{connection}")
            .with_description("Open connections to upstreams")
            .build();
        Ok(Self { instruments, requests, duration, connections })
    }

    /// Creates the observable instruments, which are read at collection.
    pub fn observe(&self, shared: &Shared, decider: &Decider, store: &Store) {
        let meter = self.instruments.meter();
        self.instruments.observe_lost_lines();
        observe_rings(&meter, shared, decider);
        observe_entry(&meter, shared);
        observe_coordination(&meter, shared, store);
    }

    /// Counts one request.
    pub fn request(&self, service: &str, outcome: &'static str, seconds: f64) {
        let labels =
            [KeyValue::new("service", service.to_owned()), KeyValue::new("outcome", outcome)];
        self.requests.add(1, &labels);
        self.duration.record(seconds, &labels);
    }

    /// Sets the number of open connections to upstreams.
    pub fn set_connections(&self, open: u64) {
        self.connections.record(open, &[]);
    }

    /// All instruments in the Prometheus text format.
    pub fn text(&self) -> String {
        self.instruments.text()
    }
}

fn observe_rings(meter: &Meter, shared: &Shared, decider: &Decider) {
    let ring = |name: &'static str| [KeyValue::new("ring", name)];
    let decider = decider.clone();
    meter
        .u64_observable_gauge("agatesill.ring.depth")
        .with_unit("{item}")
        .with_description("Items waiting in a ring between two threads")
        .with_callback(move |gauge| {
            gauge.observe(decider.waiting_events() as u64, &ring("decide"));
            gauge.observe(logging::waiting_lines(), &ring("log"));
        })
        .build();
    let counted = shared.clone();
    meter
        .u64_observable_counter("agatesill.ring.full")
        .with_unit("{item}")
        .with_description("Items that a full ring turned away")
        .with_callback(move |counter| {
            counter.observe(counted.counters().decide_ring_full.get(), &ring("decide"));
            counter.observe(counted.counters().cell_ring_full.get(), &ring("cells"));
            counter.observe(logging::lost_lines(), &ring("log"));
        })
        .build();
}

fn observe_entry(meter: &Meter, shared: &Shared) {
    let counted = shared.clone();
    meter
        .u64_observable_counter("agatesill.entry.refused")
        .with_unit("{connection}")
        .with_description("Connections of callers refused or closed, by reason")
        .with_callback(move |counter| {
            let reason = |name: &'static str| [KeyValue::new("reason", name)];
            let counters = counted.counters();
            counter.observe(counters.connections_refused.get(), &reason("max_connections"));
            counter.observe(counters.heads_timed_out.get(), &reason("head_ms"));
        })
        .build();
    let held = shared.clone();
    meter
        .u64_observable_gauge("agatesill.records.held")
        .with_unit("{record}")
        .with_description("Records of non-repeatable requests held for repeats")
        .with_callback(move |gauge| gauge.observe(held.records().len() as u64, &[]))
        .build();
    let evicted = shared.clone();
    meter
        .u64_observable_counter("agatesill.records.evicted")
        .with_unit("{record}")
        .with_description("Records dropped before their time, for lack of room")
        .with_callback(move |counter| counter.observe(evicted.records().evicted(), &[]))
        .build();
    let leaving = shared.clone();
    meter
        .u64_observable_gauge("agatesill.upstreams.leaving")
        .with_unit("{upstream}")
        .with_description("Upstreams that gave this daemon itself a sign of leaving")
        .with_callback(move |gauge| gauge.observe(leaving.leaving().len() as u64, &[]))
        .build();
}

fn observe_coordination(meter: &Meter, shared: &Shared, store: &Store) {
    let config = shared.clone();
    meter
        .u64_observable_gauge("agatesill.config.version")
        .with_description("Version of the configuration in force")
        .with_callback(move |gauge| gauge.observe(config.config().version, &[]))
        .build();
    let peers = shared.clone();
    meter
        .u64_observable_gauge("agatesill.peers.live")
        .with_unit("{instance}")
        .with_description("Other daemons heard lately")
        .with_callback(move |gauge| gauge.observe(peers.peers().len() as u64, &[]))
        .build();
    let cells = shared.clone();
    meter
        .u64_observable_gauge("agatesill.cells.owned")
        .with_unit("{cell}")
        .with_description("Cells that this daemon owns")
        .with_callback(move |gauge| gauge.observe(cells.cells().len() as u64, &[]))
        .build();
    let store = store.clone();
    meter
        .u64_observable_counter("agatesill.store.calls")
        .with_unit("{call}")
        .with_description("Calls to the platform's store, by kind; failures count twice")
        .with_callback(move |counter| {
            let kind = |name: &'static str| [KeyValue::new("kind", name)];
            let load = |count: &std::sync::atomic::AtomicU64| {
                count.load(std::sync::atomic::Ordering::Relaxed)
            };
            let counts = store.counts();
            counter.observe(load(&counts.writes), &kind("write"));
            counter.observe(load(&counts.reads), &kind("read"));
            counter.observe(load(&counts.failures), &kind("failure"));
        })
        .build();
}
