//! Whether the CPU that a long-running job reserves is there.
//!
//! Load pattern: long-running jobs arrive faster than others end, until they reserve nearly all CPU
//! and each urgent job waits. What they reserve can't be taken back from them, so room for urgent
//! work is kept at the door.

use std::time::Duration;

use super::ServiceLoad;
use super::demand::Demand;

/// Time over which the highest demand of urgent tasks is remembered. Urgent work comes in bursts
/// that are a few seconds apart.
pub(crate) const HEADROOM_DECAY: Duration = Duration::from_secs(10);

/// Largest share of the capacity that counts as lost to fragmentation.
const MAX_FRAGMENTED_SHARE: f64 = 0.15;

/// Room at a service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Room {
    /// CPU that long-running jobs may still reserve.
    pub left_milli: f64,
}

impl Room {
    /// Room for a job, by a view of the load and by what this daemon accepted since.
    ///
    /// On average, each worker is left with half a task's CPU that no further task of the size fits.
    pub fn for_job(load: &ServiceLoad, demand: &Demand, accepted_since_milli: f64) -> Self {
        let largest_milli = load.largest_worker_milli.max(1) as f64;
        let fragmented_share =
            (demand.task_milli as f64 / (2.0 * largest_milli)).min(MAX_FRAGMENTED_SHARE);
        let usable_milli = load.capacity_milli as f64 * (1.0 - fragmented_share);
        let long_running = &load.long_running;
        let taken_milli = (long_running.placed_milli + long_running.waiting_milli) as f64;
        let headroom_milli = load.headroom_milli as f64;
        Self { left_milli: usable_milli - headroom_milli - taken_milli - accepted_since_milli }
    }

    /// Probability with which a job that fits is accepted, if all daemons together are expected to
    /// offer `expected_milli` before the next view.
    pub fn accept_share(&self, demand: &Demand, expected_milli: f64) -> f64 {
        let needed_milli = demand.reserved_milli as f64;
        if needed_milli > self.left_milli {
            return 0.0;
        }
        (self.left_milli / expected_milli.max(needed_milli)).min(1.0)
    }
}

/// Time until this much more CPU is free for long-running tasks: because others end, or because the
/// headroom shrinks to what urgent tasks need now.
pub(super) fn time_until_free_ms(load: &ServiceLoad, missing_milli: f64) -> f64 {
    if missing_milli <= 0.0 {
        return 0.0;
    }
    let freed_per_ms = load.long_running.drain_milli as f64 / 1_000.0;
    let drained_ms = if freed_per_ms > 0.0 { missing_milli / freed_per_ms } else { f64::INFINITY };
    let headroom_milli = load.headroom_milli as f64;
    let urgent_milli = (load.plain.placed_milli + load.plain.waiting_milli) as f64;
    let decayed_ms = if headroom_milli - urgent_milli > missing_milli {
        let kept_share = 1.0 - missing_milli / headroom_milli;
        -kept_share.ln() * HEADROOM_DECAY.as_millis() as f64
    } else {
        f64::INFINITY
    };
    drained_ms.min(decayed_ms)
}
