//! Whether a deployment calls for load control: admission, headroom and placement by worker speed.

use std::collections::HashMap;

use crate::fleet::{FleetBounds, QueueTerms};
use crate::value_type;

value_type! {
    /// Setting of load control.
    #[derive(Default)]
    pub enum LoadControl {
        /// By the deployment's own bounds and objectives.
        #[default]
        Auto,
        /// For all services.
        On,
        /// For none.
        Off,
    }
}

/// Whether the deployment calls for load control of a service.
///
/// A job that is accepted under load control begins within the target of its queue. That can be
/// kept only where CPU for the most urgent queue is free again within its target, that is if a
/// worker takes no longer to stop a task.
pub fn calls_for_load_control(
    control: LoadControl,
    service: &str,
    queues: &HashMap<String, QueueTerms>,
    bounds: &FleetBounds,
) -> bool {
    let of_service = || queues.values().filter(|terms| terms.service == service);
    let most_urgent = of_service().map(|terms| terms.priority).min();
    let shortest_target_ms = of_service()
        .filter(|terms| Some(terms.priority) == most_urgent && terms.target_ms > 0)
        .map(|terms| terms.target_ms)
        .min();
    match control {
        LoadControl::On => true,
        LoadControl::Off => false,
        LoadControl::Auto => {
            bounds.stop_grace_ms > 0
                && shortest_target_ms.is_some_and(|target_ms| bounds.stop_grace_ms <= target_ms)
        }
    }
}
