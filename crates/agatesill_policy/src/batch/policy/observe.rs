//! Taking in the workers' late measurements.

use super::super::{Cell, WorkerId};
use super::interference::{ClassLoad, MAX_CLASSES};
use super::learning::class_of;
use super::protection::AT_RISK;
use super::workers::ServiceLoad;
use super::{BatchPolicy, Lane, ServiceUsage, UsageReport};

/// Weight of a new measurement in the smoothed pressure: one wild tail alone moves nothing.
const PRESSURE_WEIGHT: f64 = 0.6;

/// Weight of a new measurement in what a worker has beyond the model.
const RESIDUAL_WEIGHT: f64 = 0.1;

/// Bound of that residual, so that a short disruption does not close a worker for long.
const MOST_RESIDUAL: f64 = 0.3;

/// Share of the highest load kept with each report; forgets a peak in about a minute.
const PEAK_KEPT: f64 = 0.98;

impl BatchPolicy {
    /// Takes in a worker's report on its load. What was measured is ascribed to the attempts that
    /// the report lists, which ran together then, not to those that run now.
    pub fn observe(&mut self, _now_ms: u64, cell: &Cell, worker: WorkerId, report: &UsageReport) {
        let classes = self.observe_tasks(cell, report);
        let Some(load) = self.workers.load_mut(worker) else { return };
        if report.measured_ms < load.measured_ms {
            return;
        }
        load.measured_ms = report.measured_ms;
        let before = std::mem::take(&mut load.services);
        let services: Vec<ServiceLoad> = report
            .services
            .iter()
            .map(|usage| {
                let known = before.iter().find(|known| known.service == usage.service);
                self.observe_service(usage, &classes, known)
            })
            .collect();
        let Some(load) = self.workers.load_mut(worker) else { return };
        load.services = services;
        if load.worst_pressure() > AT_RISK {
            self.at_risk.insert(worker);
        } else {
            self.at_risk.remove(&worker);
        }
    }

    /// Processors by class that ran on the worker when it was measured.
    fn observe_tasks(&mut self, cell: &Cell, report: &UsageReport) -> ClassLoad {
        let mut classes = [0.0; MAX_CLASSES];
        for usage in &report.tasks {
            let Some((job, _)) = cell.locate(&usage.task) else { continue };
            if self.lane(job) == Lane::Critical {
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
            // Short tasks have ended when they are reported on; they teach their size still.
            if percent == 100 && usage.cpu_milli > 0 {
                let (cpu_milli, memory_mb) = (usage.cpu_milli, usage.memory_mb);
                self.learning.used(&job.spec, cpu_milli, memory_mb, usage.progress_ms);
            }
        }
        classes
    }

    fn observe_service(
        &mut self,
        usage: &ServiceUsage,
        classes: &ClassLoad,
        known: Option<&ServiceLoad>,
    ) -> ServiceLoad {
        let load = usage.cpu_milli as f64 / 1_000.0;
        let ratio = f64::from(usage.pressure_percent.max(1)) / 100.0;
        let predicted = self.interference.predict(&usage.service, load, classes);
        self.interference.learn(&usage.service, load, classes, ratio);
        let beyond = ratio.ln() - predicted;
        let (pressure, residual, peak) = match known {
            Some(known) => (
                known.pressure + (ratio.ln() - known.pressure) * PRESSURE_WEIGHT,
                known.residual + (beyond - known.residual) * RESIDUAL_WEIGHT,
                (known.load * PEAK_KEPT).max(load),
            ),
            None => (ratio.ln(), 0.0, load),
        };
        ServiceLoad {
            service: usage.service.clone(),
            load: peak,
            pressure,
            residual: residual.clamp(-MOST_RESIDUAL, MOST_RESIDUAL),
        }
    }
}
