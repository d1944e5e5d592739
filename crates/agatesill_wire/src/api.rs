//! JSON bodies of the admin API and the job API.

mod load;

use std::collections::BTreeMap;

use agatesill_policy::prelude::*;
use agatesill_policy::value_type;

use crate::error::{Error, ErrorKind, WasRun};

pub use self::load::{HeldLoad, LOAD_PATH, LoadStatus};

value_type! {
    /// Body of every error response.
    pub struct ErrorBody {
        /// Name of the error kind.
        pub kind: String,
        /// Whether the request ran.
        pub was_run: WasRun,
        /// Delay before a retry; 0 means that a retry is pointless.
        pub retry_after_ms: u32,
        /// Description of the cause.
        pub detail: String,
    }
}

impl From<&Error> for ErrorBody {
    fn from(error: &Error) -> Self {
        let row = error.kind.row();
        Self {
            kind: row.name.to_owned(),
            was_run: row.was_run,
            retry_after_ms: error.retry_after_ms,
            detail: error.detail.clone(),
        }
    }
}

impl From<ErrorBody> for Error {
    fn from(body: ErrorBody) -> Self {
        let kind = ErrorKind::from_name(&body.kind).unwrap_or(ErrorKind::Protocol);
        Self { kind, detail: body.detail, retry_after_ms: body.retry_after_ms }
    }
}

value_type! {
    /// Values that a change replaced, by name; null means that the name did not exist.
    #[derive(Default)]
    pub struct Undo {
        /// Previous profiles.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub profiles: BTreeMap<String, Option<Profile>>,
        /// Previous services.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub services: BTreeMap<String, Option<Service>>,
        /// Previous teams.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub teams: BTreeMap<String, Option<Team>>,
        /// Previous evacuations, by availability zone.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub evacuations: BTreeMap<String, Option<Evacuation>>,
    }
}

value_type! {
    /// One accepted change of the configuration.
    pub struct HistoryEntry {
        /// Version created by the change.
        pub version: u64,
        /// Idempotency key, which makes a retry safe after a lost response.
        pub operation_id: String,
        /// Operator who made the change.
        pub author: String,
        /// Reason given by the operator.
        pub reason: String,
        /// Time of acceptance since the Unix epoch, by the clock of the accepting daemon.
        pub at_ms: u64,
        /// Descriptions of the changes, one line each.
        pub changes: Vec<String>,
        /// Replaced values, from which any version in the history can be restored.
        #[serde(default)]
        pub undo: Undo,
    }
}

value_type! {
    /// A configuration with its version and recent changes.
    #[derive(Default)]
    pub struct VersionedConfig {
        /// Version, incremented by one with every accepted change.
        pub version: u64,
        /// The configuration document.
        pub doc: ConfigDoc,
        /// Recent changes, oldest first.
        pub history: Vec<HistoryEntry>,
    }
}

value_type! {
    /// A change of the configuration, by object name; null removes the object.
    pub struct ConfigChange {
        /// Idempotency key, which makes a retry safe after a lost response.
        pub operation_id: String,
        /// Version that the change is based on; 0 means the newest version.
        #[serde(default)]
        pub base_version: u64,
        /// Operator who made the change.
        pub author: String,
        /// Reason given by the operator.
        #[serde(default)]
        pub reason: String,
        /// Profiles to set or retire.
        #[serde(default)]
        pub profiles: BTreeMap<String, Option<Profile>>,
        /// Services to set or remove.
        #[serde(default)]
        pub services: BTreeMap<String, Option<Service>>,
        /// Teams to set or remove.
        #[serde(default)]
        pub teams: BTreeMap<String, Option<Team>>,
        /// Availability zones to evacuate or to restore.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub evacuations: BTreeMap<String, Option<Evacuation>>,
    }
}

value_type! {
    /// Status of a job.
    pub struct JobStatus {
        /// Specification of the job as submitted.
        pub spec: JobSpec,
        /// Cell that the job belongs to.
        pub cell: String,
        /// Tasks of the job, by index.
        pub tasks: Vec<JobTask>,
        /// Time of acceptance since the Unix epoch, by the clock of the accepting daemon.
        #[serde(default)]
        pub accepted_ms: u64,
        /// `done`, `failed`, `cancelled` or `parked`; empty while the job is waiting or running.
        #[serde(default)]
        pub outcome: String,
        /// Reason why the job failed or is parked.
        #[serde(default)]
        pub reason: String,
    }
}

value_type! {
    /// Explanation of a job's scheduling state.
    pub struct JobExplanation {
        /// Status of the job.
        pub job: JobStatus,
        /// Version of the configuration used for the scheduling decisions.
        pub config_version: u64,
        /// Epoch under which the cell is owned.
        pub epoch: u64,
        /// Reasons why tasks are waiting; empty if no task is.
        pub waits: Vec<String>,
        /// Placements of tasks and the reasons for moving them, oldest first.
        pub history: Vec<String>,
        /// Learned estimates for jobs of this class.
        pub learned: Vec<String>,
        /// Estimated time until the next waiting task starts; absent if there is no estimate.
        pub likely_start_ms: Option<u64>,
    }
}

value_type! {
    /// Status of one task of a job.
    pub struct JobTask {
        /// Name of the task's state.
        pub state: String,
        /// Number of the latest attempt.
        pub attempt: u32,
        /// Worker of the task while it is placed.
        pub worker: Option<WorkerId>,
        /// Number of evicted attempts.
        #[serde(default)]
        pub evictions: u32,
        /// Number of attempts that failed on their own.
        #[serde(default)]
        pub failures: u32,
        /// Progress saved in the latest committed checkpoint.
        #[serde(default)]
        pub checkpoint_ms: u64,
    }
}

impl JobStatus {
    /// Returns whether every task has reached a final state.
    pub fn is_finished(&self) -> bool {
        let final_states = ["done", "failed", "cancelled"];
        !self.tasks.is_empty() && self.tasks.iter().all(|task| final_states.contains(&&*task.state))
    }
}

value_type! {
    /// Status of the system as seen by one daemon.
    pub struct StatusReport {
        /// Name of the responding instance.
        pub instance: String,
        /// Availability zone of the instance.
        pub zone: String,
        /// Version of the instance's active configuration.
        pub config_version: u64,
        /// Peers whose heartbeats the instance receives.
        pub peers: Vec<String>,
        /// Services with their counters since the start of the instance.
        pub services: Vec<ServiceStatus>,
        /// Cells that the instance owns.
        pub cells: Vec<CellStatus>,
        /// Descriptions of degraded components; empty if there are none.
        pub degraded: Vec<String>,
    }
}

value_type! {
    /// Counters of one service at one daemon since its start.
    pub struct ServiceStatus {
        /// Name of the service.
        pub name: String,
        /// Profile of the service.
        pub profile: String,
        /// Latency target of the service.
        pub promise_ms: u32,
        /// Number of requests received.
        pub requests: u64,
        /// Number of complete responses.
        pub answered: u64,
        /// Number of rejected requests.
        pub refused: u64,
        /// Number of responses that missed the latency target.
        pub late: u64,
        /// Number of requests currently queued.
        pub waiting: u64,
    }
}

value_type! {
    /// Status of one cell at its owner.
    pub struct CellStatus {
        /// Name of the cell.
        pub name: String,
        /// Epoch of the owner.
        pub epoch: u64,
        /// Number of workers in the cell.
        pub workers: u64,
        /// Number of waiting tasks.
        pub waiting: u64,
        /// Number of tasks that hold a reservation.
        pub placed: u64,
        /// Number of completed tasks.
        pub done: u64,
    }
}
