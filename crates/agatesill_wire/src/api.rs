//! JSON bodies of the admin and job interfaces.

use std::collections::BTreeMap;

use agatesill_policy::prelude::*;
use agatesill_policy::value_type;

use crate::error::{Error, ErrorKind, WasRun};

value_type! {
    /// Body of every refusal and failure.
    pub struct ErrorBody {
        /// Name of the kind.
        pub kind: String,
        /// Whether the request ran.
        pub was_run: WasRun,
        /// When to come back; 0 means that coming back is pointless.
        pub retry_after_ms: u32,
        /// What happened.
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
    /// What stood there before a change, by name; absent means that nothing did.
    #[derive(Default)]
    pub struct Undo {
        /// Profiles.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub profiles: BTreeMap<String, Option<Profile>>,
        /// Services.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub services: BTreeMap<String, Option<Service>>,
        /// Teams.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub teams: BTreeMap<String, Option<Team>>,
        /// Evacuated availability zones.
        #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
        pub evacuations: BTreeMap<String, Option<Evacuation>>,
    }
}

value_type! {
    /// One accepted change of the configuration.
    pub struct HistoryEntry {
        /// Version that the change made.
        pub version: u64,
        /// Identifies the change over lost answers.
        pub operation_id: String,
        /// Operator.
        pub author: String,
        /// Why.
        pub reason: String,
        /// When, by the accepting daemon's clock, since the Unix epoch.
        pub at_ms: u64,
        /// What changed, one line each.
        pub changes: Vec<String>,
        /// What stood there before, so that any version of the history can be restored.
        #[serde(default)]
        pub undo: Undo,
    }
}

value_type! {
    /// A configuration with its version and the last changes.
    #[derive(Default)]
    pub struct VersionedConfig {
        /// Rises by one with every accepted change.
        pub version: u64,
        /// The document.
        pub doc: ConfigDoc,
        /// The last changes, newest last.
        pub history: Vec<HistoryEntry>,
    }
}

value_type! {
    /// One change of one named thing; absent means retire.
    pub struct ConfigChange {
        /// Identifies the change over lost answers.
        pub operation_id: String,
        /// Version that the operator saw; 0 means whatever is newest.
        #[serde(default)]
        pub base_version: u64,
        /// Operator.
        pub author: String,
        /// Why.
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
    /// A job as reported.
    pub struct JobStatus {
        /// The job as submitted.
        pub spec: JobSpec,
        /// Cell that holds it.
        pub cell: String,
        /// Its tasks, by index.
        pub tasks: Vec<JobTask>,
        /// When it was accepted, by the accepting daemon's clock, since the Unix epoch.
        #[serde(default)]
        pub accepted_ms: u64,
        /// `done`, `failed`, `cancelled` or `parked`; empty while it waits or runs.
        #[serde(default)]
        pub outcome: String,
        /// Why it failed or is parked.
        #[serde(default)]
        pub reason: String,
    }
}

value_type! {
    /// Why a job is where it is.
    pub struct JobExplanation {
        /// The job.
        pub job: JobStatus,
        /// Version of the configuration that the decisions follow.
        pub config_version: u64,
        /// Epoch of the cell's owner.
        pub epoch: u64,
        /// Why waiting tasks wait; empty when none does.
        pub waits: Vec<String>,
        /// Where tasks ran, and why they moved, oldest first.
        pub history: Vec<String>,
        /// What was learned about jobs of this class.
        pub learned: Vec<String>,
        /// Likely time until the next waiting task starts; absent when nothing is known.
        pub likely_start_ms: Option<u64>,
    }
}

value_type! {
    /// One task of a reported job.
    pub struct JobTask {
        /// Name of its state.
        pub state: String,
        /// Number of the newest attempt.
        pub attempt: u32,
        /// Worker, while placed.
        pub worker: Option<WorkerId>,
        /// Attempts that were evicted.
        #[serde(default)]
        pub evictions: u32,
        /// Attempts that failed by themselves.
        #[serde(default)]
        pub failures: u32,
        /// Progress kept by the newest committed checkpoint.
        #[serde(default)]
        pub checkpoint_ms: u64,
    }
}

impl JobStatus {
    /// Whether every task has reached its final state.
    pub fn is_finished(&self) -> bool {
        let closed = ["done", "failed", "cancelled"];
        !self.tasks.is_empty() && self.tasks.iter().all(|task| closed.contains(&&*task.state))
    }
}

value_type! {
    /// One daemon's view of the system.
    pub struct StatusReport {
        /// Instance that answers.
        pub instance: String,
        /// Its availability zone.
        pub zone: String,
        /// Version in force there.
        pub config_version: u64,
        /// Peers that it hears.
        pub peers: Vec<String>,
        /// Services with counts since start.
        pub services: Vec<ServiceStatus>,
        /// Cells that it owns.
        pub cells: Vec<CellStatus>,
        /// What is degraded, in words.
        pub degraded: Vec<String>,
    }
}

value_type! {
    /// One service at one daemon, since its start.
    pub struct ServiceStatus {
        /// The service.
        pub name: String,
        /// Its profile.
        pub profile: String,
        /// The promised answer time.
        pub promise_ms: u32,
        /// Requests taken in.
        pub requests: u64,
        /// Whole answers given.
        pub answered: u64,
        /// Refusals.
        pub refused: u64,
        /// Answers later than promised.
        pub late: u64,
        /// Requests that wait now.
        pub waiting: u64,
    }
}

value_type! {
    /// One cell at its owner.
    pub struct CellStatus {
        /// The cell.
        pub name: String,
        /// The owner's epoch.
        pub epoch: u64,
        /// Workers in it.
        pub workers: u64,
        /// Tasks that wait.
        pub waiting: u64,
        /// Tasks that hold a reservation.
        pub placed: u64,
        /// Tasks done.
        pub done: u64,
    }
}
