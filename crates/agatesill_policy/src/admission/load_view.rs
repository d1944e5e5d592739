//! Load of the services as the planner sums it up for all daemons.

use crate::value_type;

value_type! {
    /// Load of one kind of task at one service.
    #[derive(Default)]
    pub struct KindLoad {
        /// CPU reserved by the tasks that hold a worker or, for best-effort tasks, requested by them.
        pub placed_milli: u64,
        /// CPU requested by the tasks that wait for a worker.
        pub waiting_milli: u64,
        /// Work ahead of a newcomer: remaining run time by its callers' estimates times CPU, of the
        /// tasks that rank before it.
        pub ahead_core_ms: u64,
        /// Measured rate at which work of this kind ends, in CPU thousandths; for long-running tasks
        /// the rate at which reserved CPU becomes free, per second.
        pub drain_milli: u64,
    }
}

value_type! {
    /// Load of the workers of one service.
    #[derive(Default)]
    pub struct ServiceLoad {
        /// Name of the service.
        pub service: String,
        /// CPU of the workers that take new tasks.
        pub capacity_milli: u64,
        /// CPU of the largest such worker.
        pub largest_worker_milli: u64,
        /// CPU to keep free of long-running tasks for urgent work that is about to arrive.
        pub headroom_milli: u64,
        /// CPU that callers of long-running jobs ask for at all daemons, per second; 0 if unknown.
        pub offered_milli_per_s: u64,
        /// Tasks that run to completion on reserved CPU.
        pub plain: KindLoad,
        /// Long-running tasks.
        pub long_running: KindLoad,
        /// Best-effort tasks.
        pub best_effort: KindLoad,
    }
}

value_type! {
    /// Load of all services. Its size depends on the number of services alone.
    #[derive(Default)]
    pub struct LoadView {
        /// Epoch of the planner that computed the view.
        pub epoch: u64,
        /// Increases with each view of one planner.
        pub sequence: u64,
        /// Whether all daemons that called the planner recently understand records of refused jobs.
        /// Without that, no daemon refuses for lack of capacity.
        pub may_refuse: bool,
        /// Daemons that called the planner recently; they share the capacity that is left.
        pub daemons: u32,
        /// Services with open workers.
        pub services: Vec<ServiceLoad>,
    }
}

impl LoadView {
    /// Whether this view replaces `other`: a later epoch, or a later view of the same epoch.
    pub fn is_newer_than(&self, other: &LoadView) -> bool {
        (self.epoch, self.sequence) > (other.epoch, other.sequence)
    }

    /// Load of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceLoad> {
        self.services.iter().find(|load| load.service == name)
    }
}

/// The newest view that a daemon has, and when it arrived.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HeldView {
    /// The view.
    pub view: LoadView,
    /// When the call was sent whose answer had the view.
    pub as_of_us: u64,
}

impl HeldView {
    /// Age of the view, in milliseconds.
    pub fn age_ms(&self, now_us: u64) -> u64 {
        now_us.saturating_sub(self.as_of_us) / 1_000
    }
}
