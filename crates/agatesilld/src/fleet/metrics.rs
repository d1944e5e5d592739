//! Counters and histograms of a daemon on the platform, in the Prometheus text format; on the same
//! address the load as the daemon knows it.
//!
//! `docs/METRICS.md` lists each metric with its unit and what to do when it moves.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use agatesill_policy::connections::CloseReason;
use agatesill_policy::fleet::{EndProof, LossWait, StartStage, US_PER_MS, Urgency};
use agatesill_wire::api::LOAD_PATH;
use agatesill_wire::http::respond;
use agatesill_wire::listener::Edge;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response};
use opentelemetry::KeyValue;
use opentelemetry::metrics::{Histogram, Meter};

use super::active_config::{ConfigSource, QuestionOutcome};
use super::daemon_state::DaemonState;
use super::load_state::RefusedBecause;
use super::load_status::load_status;
use super::planner_time::Duty;
use crate::instruments::Instruments;

/// Upper bounds of the histogram buckets in seconds. The store answers in 0.01, and the latency
/// objective of the desk queue is about one.
const BUCKETS_S: [f64; 12] =
    [0.002, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 10.0, 60.0];

/// Upper bounds of the histogram buckets of jobs stored by one call.
const GROUP_BUCKETS: [f64; 4] = [1.0, 2.0, 4.0, 8.0];

/// Instruments of one daemon.
#[derive(Clone, Debug)]
pub struct FleetMetrics {
    instruments: Instruments,
    requests: Histogram<f64>,
    commits: Histogram<f64>,
    orders: Histogram<f64>,
    acceptance_groups: Histogram<u64>,
    acceptance_waits: Histogram<f64>,
}

impl FleetMetrics {
    /// Creates the instruments that are recorded to.
    pub fn new() -> Result<Self, opentelemetry_sdk::error::OTelSdkError> {
        let instruments = Instruments::new()?;
        let histogram = |name, what| instruments.seconds_histogram(name, &BUCKETS_S, what);
        let requests = histogram(
            "http.server.request.duration",
            "Time to answer a caller, by call and status",
        );
        let commits = histogram("agatesill.commit.duration", "Time to store records, by outcome");
        let orders = histogram("agatesill.order.duration", "Time to give an order to a worker");
        let acceptance_waits = histogram(
            "agatesill.acceptance.wait",
            "Time from an accepted job to the call that stores it, under load control",
        );
        let acceptance_groups = instruments
            .meter()
            .u64_histogram("agatesill.acceptance.group")
            .with_unit("{job}")
            .with_boundaries(GROUP_BUCKETS.to_vec())
            .with_description("Jobs stored by one call under load control, by outcome")
            .build();
        Ok(Self { instruments, requests, commits, orders, acceptance_groups, acceptance_waits })
    }

    /// Records an answer to a caller.
    pub fn request(&self, call: &'static str, status: u16, duration: Duration) {
        let labels = [KeyValue::new("call", call), KeyValue::new("status", i64::from(status))];
        self.requests.record(duration.as_secs_f64(), &labels);
    }

    /// Records a transaction of job records.
    pub fn commit(&self, outcome: &'static str, duration: Duration) {
        self.commits.record(duration.as_secs_f64(), &[KeyValue::new("outcome", outcome)]);
    }

    /// Records an order to a worker. `answered` is `true`, `false`, or `undelivered` if no part of
    /// the order was sent.
    pub fn order(&self, order: &'static str, answered: &'static str, duration: Duration) {
        let labels = [KeyValue::new("order", order), KeyValue::new("answered", answered)];
        self.orders.record(duration.as_secs_f64(), &labels);
    }

    /// Records a call that stores accepted jobs.
    pub fn acceptance_group(&self, outcome: &'static str, jobs: usize) {
        self.acceptance_groups.record(jobs as u64, &[KeyValue::new("outcome", outcome)]);
    }

    /// Records how long an accepted job waited for the call that stores it.
    pub fn acceptance_wait(&self, wait: Duration) {
        self.acceptance_waits.record(wait.as_secs_f64(), &[]);
    }

    /// Creates the instruments that are read when the metrics are scraped.
    pub fn observe(&self, daemon: &Arc<DaemonState>) {
        let meter = self.instruments.meter();
        self.instruments.observe_lost_lines();
        observe_ledger(&meter, daemon);
        observe_awaited_losses(&meter, daemon);
        observe_effort(&meter, daemon);
        observe_start_waits(&meter, daemon);
        observe_planner_time(&meter, daemon);
        observe_daemon(&meter, daemon);
        observe_config(&meter, daemon);
        observe_admission(&meter, daemon);
        observe_outages(&meter, daemon);
        observe_edges(&meter, daemon);
    }

    /// All instruments in the Prometheus text format.
    pub fn text(&self) -> String {
        self.instruments.text()
    }
}

fn observe_ledger(meter: &Meter, daemon: &Arc<DaemonState>) {
    let observed = daemon.clone();
    meter
        .u64_observable_counter("agatesill.runs")
        .with_unit("{run}")
        .with_description("Runs of tasks by what became of them, while this daemon planned")
        .with_callback(move |counter| {
            let counts = observed.planner_stats().counts;
            let what = |name: &'static str| [KeyValue::new("what", name)];
            counter.observe(counts.chosen, &what("ordered"));
            counter.observe(counts.done, &what("done"));
            counter.observe(counts.failed, &what("failed"));
            counter.observe(counts.lost, &what("lost"));
            counter.observe(counts.stopped, &what("stopped"));
            counter.observe(counts.no_room, &what("no_room"));
            counter.observe(counts.paced, &what("paced"));
            counter.observe(counts.preempted, &what("preempted"));
            counter.observe(counts.evacuated, &what("evacuated"));
        })
        .build();
    let ended = daemon.clone();
    meter
        .u64_observable_counter("agatesill.runs.ended")
        .with_unit("{run}")
        .with_description("Ended runs by what proved their ends, while this daemon planned")
        .with_callback(move |counter| {
            let ends = ended.planner_stats().counts.ends;
            for proof in EndProof::ALL {
                counter.observe(ends.of(proof), &[KeyValue::new("proof", proof.name())]);
            }
        })
        .build();
    let held = daemon.clone();
    meter
        .u64_observable_gauge("agatesill.ledger")
        .with_description("Sizes of the ledger, while this daemon plans")
        .with_callback(move |gauge| {
            let planner_stats = held.planner_stats();
            let what = |name: &'static str| [KeyValue::new("what", name)];
            gauge.observe(planner_stats.waiting_steps, &what("waiting_steps"));
            gauge.observe(planner_stats.behind_us / 1_000, &what("behind_ms"));
            gauge.observe(planner_stats.workers, &what("workers"));
            gauge.observe(planner_stats.silent_workers, &what("silent_workers"));
            gauge.observe(planner_stats.longest_silence_ms, &what("longest_silence_ms"));
            gauge.observe(planner_stats.counts.quarantines, &what("quarantines"));
            gauge.observe(planner_stats.counts.slow_workers, &what("slow_workers"));
            gauge.observe(planner_stats.counts.given_up, &what("given_up"));
        })
        .build();
}

fn observe_awaited_losses(meter: &Meter, daemon: &Arc<DaemonState>) {
    let observed = daemon.clone();
    meter
        .u64_observable_gauge("agatesill.losses.awaited")
        .with_unit("{worker}")
        .with_description(
            "Workers that do not answer and may have runs, by what their losses wait for",
        )
        .with_callback(move |gauge| {
            let awaited = observed.planner_stats().awaited_losses;
            for wait in LossWait::ALL {
                gauge.observe(awaited[wait as usize], &[KeyValue::new("wait", wait.name())]);
            }
        })
        .build();
}

fn observe_effort(meter: &Meter, daemon: &Arc<DaemonState>) {
    let observed = daemon.clone();
    meter
        .u64_observable_counter("agatesill.effort")
        .with_description("What decisions examined, while this daemon planned")
        .with_callback(move |counter| {
            let effort = observed.planner_stats().effort;
            let what = |name: &'static str| [KeyValue::new("what", name)];
            counter.observe(effort.workers_examined, &what("workers_examined"));
            counter.observe(effort.steps_ranked, &what("steps_ranked"));
            counter.observe(effort.tasks_weighed, &what("tasks_weighed"));
        })
        .build();
}

fn observe_start_waits(meter: &Meter, daemon: &Arc<DaemonState>) {
    let labels = |urgency: Urgency, stage: StartStage| {
        [KeyValue::new("urgency", urgency.name()), KeyValue::new("stage", stage.name())]
    };
    let observed = daemon.clone();
    meter
        .u64_observable_counter("agatesill.start.wait")
        .with_unit("ms")
        .with_description("Time that starts have waited, by stage, while this daemon planned")
        .with_callback(move |counter| {
            let waits = observed.planner_stats().start_waits;
            for (urgency, stage) in stages() {
                let sum_ms = waits.of(urgency, stage).sum_us() / US_PER_MS;
                counter.observe(sum_ms, &labels(urgency, stage));
            }
        })
        .build();
    let observed = daemon.clone();
    meter
        .u64_observable_counter("agatesill.start.waits")
        .with_unit("{start}")
        .with_description("Starts whose wait in a stage was counted, while this daemon planned")
        .with_callback(move |counter| {
            let waits = observed.planner_stats().start_waits;
            for (urgency, stage) in stages() {
                counter.observe(waits.of(urgency, stage).count(), &labels(urgency, stage));
            }
        })
        .build();
}

fn stages() -> impl Iterator<Item = (Urgency, StartStage)> {
    Urgency::ALL.into_iter().flat_map(|urgency| StartStage::ALL.map(|stage| (urgency, stage)))
}

fn observe_planner_time(meter: &Meter, daemon: &Arc<DaemonState>) {
    let observed = daemon.clone();
    meter
        .u64_observable_counter("agatesill.planner.time")
        .with_unit("ms")
        .with_description("Time of the planner's thread by duty, while this daemon planned")
        .with_callback(move |counter| {
            let times = observed.planner_stats().duty_times;
            for duty in Duty::ALL {
                let labels = [KeyValue::new("duty", duty.name())];
                counter.observe(times.of_us(duty) / US_PER_MS, &labels);
            }
        })
        .build();
}

fn observe_daemon(meter: &Meter, daemon: &Arc<DaemonState>) {
    let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
    let observed = daemon.clone();
    meter
        .u64_observable_counter("agatesill.jobs")
        .with_unit("{job}")
        .with_description("Requests of callers by outcome")
        .with_callback(move |counter| {
            let what = |name: &'static str| [KeyValue::new("what", name)];
            counter.observe(load(&observed.counts.accepted), &what("accepted"));
            counter.observe(load(&observed.counts.refused), &what("refused"));
            counter.observe(load(&observed.counts.unknown), &what("unknown"));
        })
        .build();
    let observed = daemon.clone();
    meter
        .u64_observable_counter("agatesill.store.calls")
        .with_unit("{call}")
        .with_description("Calls to the platform's store, by kind; failures count twice")
        .with_callback(move |counter| {
            let kind = |name: &'static str| [KeyValue::new("kind", name)];
            let counts = observed.store.counts();
            counter.observe(load(&counts.writes), &kind("write"));
            counter.observe(load(&counts.reads), &kind("read"));
            counter.observe(load(&counts.failures), &kind("failure"));
            counter.observe(load(&counts.unsent), &kind("unsent"));
        })
        .build();
}

fn observe_admission(meter: &Meter, daemon: &Arc<DaemonState>) {
    let observed = daemon.clone();
    meter
        .u64_observable_counter("agatesill.admission.refused")
        .with_unit("{job}")
        .with_description("Jobs refused for lack of capacity, by cause")
        .with_callback(move |counter| {
            for because in RefusedBecause::ALL {
                let labels = [KeyValue::new("cause", because.name())];
                counter.observe(observed.load.counts.refusals(because), &labels);
            }
        })
        .build();
    let observed = daemon.clone();
    meter
        .u64_observable_counter("agatesill.admission.returns")
        .with_unit("{job}")
        .with_description("Jobs submitted again after a refusal, by outcome")
        .with_callback(move |counter| {
            let counts = &observed.load.counts;
            let outcome = |name: &'static str| [KeyValue::new("outcome", name)];
            let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
            counter.observe(load(&counts.returns_accepted), &outcome("accepted"));
            counter.observe(load(&counts.returns_refused), &outcome("refused"));
        })
        .build();
    let observed = daemon.clone();
    meter
        .u64_observable_gauge("agatesill.admission.view_age")
        .with_unit("ms")
        .with_description("Age of the view of the load by which this daemon decides")
        .with_callback(move |gauge| {
            if let Some(stamp) = observed.load.stamp(observed.clock.now_us()) {
                gauge.observe(stamp.age_ms, &[]);
            }
        })
        .build();
}

fn observe_outages(meter: &Meter, daemon: &Arc<DaemonState>) {
    let observed = daemon.clone();
    meter
        .u64_observable_counter("agatesill.store.refused")
        .with_unit("{job}")
        .with_description("Jobs refused while the store was unavailable, under load control")
        .with_callback(move |counter| {
            let outage = &observed.store_outage;
            let urgency = |name: &'static str| [KeyValue::new("urgency", name)];
            let load = |count: &AtomicU64| count.load(Ordering::Relaxed);
            counter.observe(load(&outage.refused_urgent), &urgency("urgent"));
            counter.observe(load(&outage.refused_others), &urgency("other"));
        })
        .build();
}

fn observe_config(meter: &Meter, daemon: &Arc<DaemonState>) {
    let observed = daemon.clone();
    meter
        .u64_observable_gauge("agatesill.config.version")
        .with_description("Version of the active configuration")
        .with_callback(move |gauge| {
            gauge.observe(observed.config().map_or(0, |config| config.version), &[]);
        })
        .build();
    let observed = daemon.clone();
    meter
        .u64_observable_gauge("agatesill.config.revision")
        .with_description("Revision of the store at which the active configuration was written")
        .with_callback(move |gauge| {
            let active = observed.config_state.active();
            gauge.observe(active.map_or(0, |active| active.revision), &[]);
        })
        .build();
    let observed = daemon.clone();
    meter
        .u64_observable_gauge("agatesill.config.age")
        .with_unit("ms")
        .with_description("Time since the store last answered a call about the configuration")
        .with_callback(move |gauge| {
            let age_ms = observed.config_state.heard_ms_ago(observed.clock.now_us());
            gauge.observe(age_ms.unwrap_or_default(), &[]);
        })
        .build();
    let observed = daemon.clone();
    meter
        .u64_observable_counter("agatesill.config.updates")
        .with_unit("{version}")
        .with_description("Versions activated, by source, and calls about the key that failed")
        .with_callback(move |counter| {
            let source = |name: &'static str| [KeyValue::new("source", name)];
            for kind in ConfigSource::ALL {
                counter.observe(observed.config_state.activated(kind), &source(kind.name()));
            }
            counter.observe(observed.config_state.failed_calls(), &source("failed"));
        })
        .build();
    let observed = daemon.clone();
    meter
        .u64_observable_counter("agatesill.config.questions")
        .with_unit("{question}")
        .with_description("Questions to other daemons about the configuration, by outcome")
        .with_callback(move |counter| {
            for outcome in QuestionOutcome::ALL {
                let labels = [KeyValue::new("outcome", outcome.name())];
                counter.observe(observed.config_state.questions(outcome), &labels);
            }
        })
        .build();
    let observed = daemon.clone();
    meter
        .u64_observable_counter("agatesill.routes.unknown")
        .with_unit("{request}")
        .with_description("Requests that no queue of the active configuration matches")
        .with_callback(move |counter| {
            counter.observe(observed.config_state.unknown_routes(), &[]);
        })
        .build();
}

fn observe_edges(meter: &Meter, daemon: &Arc<DaemonState>) {
    let name = |edge: &Edge| KeyValue::new("edge", edge.name());
    let observed = daemon.clone();
    meter
        .u64_observable_counter("agatesill.connections.closed")
        .with_unit("{connection}")
        .with_description("Connections refused or closed by this daemon, by reason")
        .with_callback(move |counter| {
            for edge in observed.edges.all() {
                for reason in CloseReason::ALL {
                    let labels = [name(edge), KeyValue::new("reason", reason.name())];
                    counter.observe(edge.closed(reason), &labels);
                }
            }
        })
        .build();
    let observed = daemon.clone();
    meter
        .u64_observable_gauge("agatesill.connections.open")
        .with_unit("{connection}")
        .with_description("Open connections, and how many there may be")
        .with_callback(move |gauge| {
            for edge in observed.edges.all() {
                let what = |what: &'static str| [name(edge), KeyValue::new("what", what)];
                gauge.observe(edge.held().0 as u64, &what("open"));
                gauge.observe(edge.share().connections as u64, &what("share"));
            }
        })
        .build();
    let observed = daemon.clone();
    meter
        .u64_observable_gauge("agatesill.connections.memory")
        .with_unit("By")
        .with_description("Memory that connections are counted for, and how much they may hold")
        .with_callback(move |gauge| {
            for edge in observed.edges.all() {
                let what = |what: &'static str| [name(edge), KeyValue::new("what", what)];
                gauge.observe(edge.held().1, &what("held"));
                gauge.observe(edge.share().bytes, &what("share"));
            }
        })
        .build();
}

/// Answers one request for the load or, on any other path, for the metrics.
pub async fn answer(daemon: Arc<DaemonState>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    if request.uri().path() == LOAD_PATH {
        return respond(Ok(load_status(&daemon)));
    }
    let mut answer = Response::new(Full::new(Bytes::from(daemon.metrics.text())));
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; version=0.0.4"));
    answer
}
