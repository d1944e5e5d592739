//! Views of the load on the wire and in log lines.

use agatesill_policy::admission::{KindLoad, LoadView, ServiceLoad};
use agatesill_wire::fleet::{KindLoadReport, LoadReport, ServiceLoadReport};

/// Encodes a view of an age.
pub fn encode(view: &LoadView, age_ms: u32) -> LoadReport {
    LoadReport {
        epoch: view.epoch,
        sequence: view.sequence,
        may_refuse: view.may_refuse,
        daemons: view.daemons,
        age_ms,
        services: view.services.iter().map(encode_service).collect(),
    }
}

/// Decodes a view.
pub fn decode(report: LoadReport) -> LoadView {
    LoadView {
        epoch: report.epoch,
        sequence: report.sequence,
        may_refuse: report.may_refuse,
        daemons: report.daemons,
        services: report.services.into_iter().map(decode_service).collect(),
    }
}

fn encode_service(load: &ServiceLoad) -> ServiceLoadReport {
    ServiceLoadReport {
        service: load.service.clone(),
        capacity_milli: load.capacity_milli,
        largest_worker_milli: load.largest_worker_milli,
        headroom_milli: load.headroom_milli,
        offered_milli_per_s: load.offered_milli_per_s,
        plain: Some(encode_kind(&load.plain)),
        long_running: Some(encode_kind(&load.long_running)),
        best_effort: Some(encode_kind(&load.best_effort)),
    }
}

fn decode_service(report: ServiceLoadReport) -> ServiceLoad {
    ServiceLoad {
        service: report.service,
        capacity_milli: report.capacity_milli,
        largest_worker_milli: report.largest_worker_milli,
        headroom_milli: report.headroom_milli,
        offered_milli_per_s: report.offered_milli_per_s,
        plain: decode_kind(report.plain),
        long_running: decode_kind(report.long_running),
        best_effort: decode_kind(report.best_effort),
    }
}

fn encode_kind(load: &KindLoad) -> KindLoadReport {
    KindLoadReport {
        placed_milli: load.placed_milli,
        waiting_milli: load.waiting_milli,
        ahead_core_ms: load.ahead_core_ms,
        drain_milli: load.drain_milli,
    }
}

fn decode_kind(report: Option<KindLoadReport>) -> KindLoad {
    let report = report.unwrap_or_default();
    KindLoad {
        placed_milli: report.placed_milli,
        waiting_milli: report.waiting_milli,
        ahead_core_ms: report.ahead_core_ms,
        drain_milli: report.drain_milli,
    }
}

/// Logs the figures of each service.
pub fn log(view: &LoadView) {
    for load in &view.services {
        let (plain, long_running, best_effort) =
            (&load.plain, &load.long_running, &load.best_effort);
        log::info!(event = "load_view", epoch = view.epoch, sequence = view.sequence,
            may_refuse = view.may_refuse, daemons = view.daemons,
            service = load.service.as_str(), capacity_milli = load.capacity_milli,
            largest_worker_milli = load.largest_worker_milli,
            headroom_milli = load.headroom_milli,
            offered_milli_per_s = load.offered_milli_per_s, plain_milli = plain.placed_milli,
            plain_waiting_milli = plain.waiting_milli, plain_ahead_core_ms = plain.ahead_core_ms,
            plain_drain_milli = plain.drain_milli, long_running_milli = long_running.placed_milli,
            long_running_waiting_milli = long_running.waiting_milli,
            long_running_ahead_core_ms = long_running.ahead_core_ms,
            long_running_drain_milli = long_running.drain_milli,
            best_effort_milli = best_effort.placed_milli,
            best_effort_waiting_milli = best_effort.waiting_milli,
            best_effort_ahead_core_ms = best_effort.ahead_core_ms,
            best_effort_drain_milli = best_effort.drain_milli; "");
    }
}
