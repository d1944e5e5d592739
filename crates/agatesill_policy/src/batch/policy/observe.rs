//! Processing of the workers' usage reports.

use super::super::{Cell, WorkerId};
use super::estimates::class_of;
use super::interference::{ClassLoad, MAX_CLASSES};
use super::protection::AT_RISK_PRESSURE;
use super::workers::ServiceLoad;
use super::{BatchPolicy, PriorityTier, ServiceUsage, UsageReport};

/// Weight of a new measurement in the smoothed pressure, so that a single outlier of the tail
/// latency triggers no mitigation.
const PRESSURE_WEIGHT: f64 = 0.6;

/// Weight of a new measurement in a worker's residual, its deviation from the model.
const RESIDUAL_WEIGHT: f64 = 0.1;

/// Bound of the residual, so that a short disruption does not exclude a worker from placements for
/// long.
const MAX_RESIDUAL: f64 = 0.3;

/// Share of the peak load kept with each report. A peak fades in about a minute.
const PEAK_DECAY: f64 = 0.98;

impl BatchPolicy {
    /// Processes a worker's usage report. The measurement is attributed to the attempts listed in
    /// the report, which ran together at that time, and not to those that run now.
    pub fn observe(&mut self, _now_ms: u64, cell: &Cell, worker: WorkerId, report: &UsageReport) {
        let classes = self.observe_tasks(cell, report);
        let Some(load) = self.workers.load_mut(worker) else { return };
        if report.measured_ms < load.measured_ms {
            return;
        }
        load.measured_ms = report.measured_ms;
        let previous = std::mem::take(&mut load.services);
        let services: Vec<ServiceLoad> = report
            .services
            .iter()
            .map(|usage| {
                let previous = previous.iter().find(|load| load.service == usage.service);
                self.observe_service(usage, &classes, previous)
            })
            .collect();
        let Some(load) = self.workers.load_mut(worker) else { return };
        load.services = services;
        if load.worst_pressure() > AT_RISK_PRESSURE {
            self.at_risk.insert(worker);
        } else {
            self.at_risk.remove(&worker);
        }
    }

    /// CPU use by class on the worker at the time of the measurement, in cores.
    fn observe_tasks(&mut self, cell: &Cell, report: &UsageReport) -> ClassLoad {
        let mut classes = [0.0; MAX_CLASSES];
        for usage in &report.tasks {
            let Some((job, _)) = cell.locate(&usage.task) else { continue };
            if self.tier(job) == PriorityTier::Critical {
                continue;
            }
            let class = self.interference.class_index(class_of(&job.spec));
            classes[class] += usage.cpu_milli as f64 / 1_000.0;
            let running = self.running.get_mut(&usage.task);
            let mut percent = 100;
            if let Some(running) = running.filter(|running| running.attempt == usage.attempt) {
                running.progress_ms = running.progress_ms.max(usage.progress_ms);
                percent = running.percent;
            }
            // Short tasks have ended before their report arrives, but their sizes are still
            // learned.
            if percent == 100 && usage.cpu_milli > 0 {
                let (cpu_milli, memory_mb) = (usage.cpu_milli, usage.memory_mb);
                self.estimates.used(&job.spec, cpu_milli, memory_mb, usage.progress_ms);
            }
        }
        classes
    }

    fn observe_service(
        &mut self,
        usage: &ServiceUsage,
        classes: &ClassLoad,
        previous: Option<&ServiceLoad>,
    ) -> ServiceLoad {
        let load = usage.cpu_milli as f64 / 1_000.0;
        let ratio = f64::from(usage.pressure_percent.max(1)) / 100.0;
        let predicted = self.interference.predict(&usage.service, load, classes);
        self.interference.learn(&usage.service, load, classes, ratio);
        let excess = ratio.ln() - predicted;
        let (pressure, residual, peak) = match previous {
            Some(previous) => (
                previous.pressure + (ratio.ln() - previous.pressure) * PRESSURE_WEIGHT,
                previous.residual + (excess - previous.residual) * RESIDUAL_WEIGHT,
                (previous.load * PEAK_DECAY).max(load),
            ),
            None => (ratio.ln(), 0.0, load),
        };
        ServiceLoad {
            service: usage.service.clone(),
            load: peak,
            pressure,
            residual: residual.clamp(-MAX_RESIDUAL, MAX_RESIDUAL),
        }
    }
}
