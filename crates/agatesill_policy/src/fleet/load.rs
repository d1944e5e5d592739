//! Load of the services, summed up for the admission of jobs.

use std::collections::HashSet;

use crate::admission::{LoadControl, ServiceLoad, calls_for_load_control};

use super::state::Fleet;

impl Fleet {
    /// Sets whether load control is active; by default the deployment's bounds decide.
    pub fn set_load_control(&mut self, control: LoadControl) {
        self.load_control = control;
        self.update_load_control();
    }

    /// Whether load control is active for a service.
    pub(super) fn controls_load(&self, service: &str) -> bool {
        self.controlled_services.contains(service)
    }

    /// Determines the services with load control from the queues and the bounds.
    pub(super) fn update_load_control(&mut self) {
        let services: HashSet<&str> =
            self.queues.values().map(|terms| terms.service.as_str()).collect();
        self.controlled_services = services
            .into_iter()
            .filter(|service| {
                calls_for_load_control(self.load_control, service, &self.queues, &self.bounds)
            })
            .map(str::to_owned)
            .collect();
    }

    /// Load of the services for which load control is active.
    pub fn service_loads(&mut self, _now_us: u64) -> Vec<ServiceLoad> {
        let services = self.queues.values().map(|terms| terms.service.clone());
        services
            .collect::<HashSet<String>>()
            .into_iter()
            .filter(|service| self.controls_load(service))
            .map(|service| ServiceLoad { service, ..ServiceLoad::default() })
            .collect()
    }
}
