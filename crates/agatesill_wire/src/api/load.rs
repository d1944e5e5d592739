//! JSON body of the load as a daemon on the platform knows it.

use std::collections::BTreeMap;

use agatesill_policy::admission::LoadView;
use agatesill_policy::value_type;

/// Path of the load on the metrics address of a daemon.
pub const LOAD_PATH: &str = "/v1/load";

value_type! {
    /// Load as one daemon knows it, and the refusals of that daemon since its start.
    pub struct LoadStatus {
        /// Name of the responding instance.
        pub instance: String,
        /// The newest view; `None` without load control, or before the first one.
        pub held: Option<HeldLoad>,
        /// Number of jobs refused for lack of capacity, by cause.
        pub refused: BTreeMap<String, u64>,
        /// Number of jobs that were refused before and accepted at their return.
        pub returns_accepted: u64,
        /// Number of jobs that were refused again at their return.
        pub returns_refused: u64,
    }
}

value_type! {
    /// A view of the load with its age.
    pub struct HeldLoad {
        /// The view.
        pub view: LoadView,
        /// Age of the view at the time of the response.
        pub age_ms: u64,
        /// Whether the view is too old to refuse a job by.
        pub is_old: bool,
    }
}

impl HeldLoad {
    /// Whether the daemon may refuse jobs by this view.
    pub fn may_refuse(&self) -> bool {
        self.view.may_refuse && !self.is_old
    }
}
