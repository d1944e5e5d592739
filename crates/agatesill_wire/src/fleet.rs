//! Calls between the daemons of one fleet: queries that only the planner can answer, and writes on
//! behalf of a daemon that the store rejects.

use std::collections::HashMap;

use prost::Message;

/// Request to another daemon of the fleet.
#[derive(Clone, PartialEq, Message)]
pub struct FleetCall {
    /// Correlation ID, repeated in the [`FleetAnswer`].
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Payload of the request.
    #[prost(oneof = "FleetQuestion", tags = "2, 3, 4, 5, 6, 7, 8, 9, 11, 12")]
    pub question: Option<FleetQuestion>,
    /// Address at which the sender accepts calls.
    #[prost(string, tag = "10")]
    pub sender: String,
    /// Newest format of stored jobs that the sender reads; see [`JOB_FORMAT`].
    #[prost(uint32, tag = "13")]
    pub job_format: u32,
    /// CPU that callers of long-running jobs have asked the sender for since its start, by service.
    #[prost(map = "string, uint64", tag = "14")]
    pub offered_milli: HashMap<String, u64>,
}

/// Format of stored jobs that this version reads: 1 has records of refused jobs, 0 has not.
pub const JOB_FORMAT: u32 = 1;

/// Payload of a [`FleetCall`].
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum FleetQuestion {
    /// Reads the state of the job with this ID.
    #[prost(string, tag = "2")]
    StateOf(String),
    /// Counts the jobs of this queue that have not started.
    #[prost(string, tag = "3")]
    Pending(String),
    /// Reports a newly stored job, encoded as JSON.
    #[prost(string, tag = "4")]
    Accepted(String),
    /// Reports that the job with this ID was cancelled.
    #[prost(string, tag = "5")]
    Cancelled(String),
    /// Stores a job on behalf of the sender.
    #[prost(message, tag = "6")]
    StoreJob(JobToStore),
    /// Stores the cancellation of the job with this ID on behalf of the sender.
    #[prost(string, tag = "7")]
    StoreCancel(String),
    /// Asks the planner to hand planning over to the sender, which has this much CPU, in
    /// thousandths of a processor.
    #[prost(uint32, tag = "8")]
    PassOn(u32),
    /// Queries whether the receiver can reach the store; the value is 1 if the sender can, else 0.
    #[prost(uint32, tag = "9")]
    HowIsTheStore(u32),
    /// Requests the active configuration if it was written after this revision of the store, that of
    /// the sender's.
    #[prost(uint64, tag = "11")]
    ConfigAfter(u64),
    /// Tells the revision of the store at which the sender's active configuration was written, 0
    /// without one, and requests that of the receiver's.
    #[prost(uint64, tag = "12")]
    ConfigRevision(u64),
}

/// A job to store on behalf of the sender.
#[derive(Clone, PartialEq, Message)]
pub struct JobToStore {
    /// ID of the job.
    #[prost(string, tag = "1")]
    pub id: String,
    /// Specification of the job, encoded as JSON.
    #[prost(string, tag = "2")]
    pub json: String,
}

/// Response to a [`FleetCall`].
#[derive(Clone, PartialEq, Message)]
pub struct FleetAnswer {
    /// Correlation ID of the call.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the receiver could serve the request; only the planner has the state of jobs. For
    /// [`FleetQuestion::PassOn`], whether the receiver agrees to hand planning over.
    #[prost(bool, tag = "2")]
    pub is_known: bool,
    /// Phase of the job.
    #[prost(enumeration = "FleetPhase", tag = "3")]
    pub phase: i32,
    /// Whether any task of the job has been started.
    #[prost(bool, tag = "4")]
    pub is_started: bool,
    /// Number of jobs that have not started.
    #[prost(uint64, tag = "5")]
    pub pending: u64,
    /// Outcome of the requested write.
    #[prost(enumeration = "FleetWrite", tag = "6")]
    pub write: i32,
    /// Address of the planner; empty if the responding daemon does not know it.
    #[prost(string, tag = "7")]
    pub planner: String,
    /// Whether consecutive calls of the responding daemon to the store fail.
    #[prost(bool, tag = "8")]
    pub is_store_lost: bool,
    /// Whether the responding daemon makes no calls to workers: it is not planning, and any earlier
    /// planning has ended.
    #[prost(bool, tag = "9")]
    pub has_no_planner: bool,
    /// Revision of the store at which the receiver's active configuration was written; 0 without one.
    #[prost(uint64, tag = "10")]
    pub config_revision: u64,
    /// The active configuration as stored, if it is newer than the sender's.
    #[prost(string, tag = "11")]
    pub config: String,
    /// Addresses of some other daemons.
    #[prost(string, repeated, tag = "12")]
    pub peers: Vec<String>,
    /// Epoch of the planner whose address is stated; 0 if the responding daemon does not know it.
    #[prost(uint64, tag = "13")]
    pub planner_epoch: u64,
    /// Load of the services, if the receiver plans.
    #[prost(message, optional, tag = "14")]
    pub load: Option<LoadReport>,
    /// Why a job was refused, if the write is [`FleetWrite::Refused`].
    #[prost(message, optional, tag = "15")]
    pub refusal: Option<RefusalReport>,
    /// Whether the job that was stored or refused had been refused before.
    #[prost(bool, tag = "16")]
    pub is_return: bool,
}

/// Refusal of a job for lack of capacity.
#[derive(Clone, PartialEq, Message)]
pub struct RefusalReport {
    /// Why it was refused.
    #[prost(enumeration = "FleetRefusalCause", tag = "1")]
    pub cause: i32,
    /// Time after which its caller should return, in whole seconds.
    #[prost(uint32, tag = "2")]
    pub retry_after_ms: u32,
    /// Time in which the missing CPU becomes free; 0 without a decision.
    #[prost(uint64, tag = "3")]
    pub forecast_ms: u64,
    /// CPU that its long-running tasks reserve; 0 without a decision.
    #[prost(uint64, tag = "4")]
    pub needed_milli: u64,
    /// CPU that long-running jobs may still reserve; 0 without a decision.
    #[prost(uint64, tag = "5")]
    pub left_milli: u64,
}

/// Why a job is refused for lack of capacity.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum FleetRefusalCause {
    /// Its caller returned long before the time that it was told.
    Early = 0,
    /// The CPU that its long-running tasks request is not free.
    NoRoom = 1,
}

/// Load of all services. Its size depends on the number of services alone.
#[derive(Clone, PartialEq, Message)]
pub struct LoadReport {
    /// Epoch of the planner that computed the report.
    #[prost(uint64, tag = "1")]
    pub epoch: u64,
    /// Increases with each report of one planner.
    #[prost(uint64, tag = "2")]
    pub sequence: u64,
    /// Whether jobs may be refused for lack of capacity.
    #[prost(bool, tag = "3")]
    pub may_refuse: bool,
    /// Daemons that called the planner recently.
    #[prost(uint32, tag = "4")]
    pub daemons: u32,
    /// Age of the report when the answer was sent.
    #[prost(uint32, tag = "5")]
    pub age_ms: u32,
    /// Load by service.
    #[prost(message, repeated, tag = "6")]
    pub services: Vec<ServiceLoadReport>,
}

/// Load of the workers of one service.
#[derive(Clone, PartialEq, Message)]
pub struct ServiceLoadReport {
    /// Name of the service.
    #[prost(string, tag = "1")]
    pub service: String,
    /// CPU of the workers that take new tasks.
    #[prost(uint64, tag = "2")]
    pub capacity_milli: u64,
    /// CPU of the largest such worker.
    #[prost(uint64, tag = "3")]
    pub largest_worker_milli: u64,
    /// CPU to keep free of long-running tasks.
    #[prost(uint64, tag = "4")]
    pub headroom_milli: u64,
    /// Tasks that run to completion on reserved CPU.
    #[prost(message, optional, tag = "5")]
    pub plain: Option<KindLoadReport>,
    /// Long-running tasks.
    #[prost(message, optional, tag = "6")]
    pub long_running: Option<KindLoadReport>,
    /// Best-effort tasks.
    #[prost(message, optional, tag = "7")]
    pub best_effort: Option<KindLoadReport>,
    /// CPU that callers of long-running jobs ask for at all daemons, per second.
    #[prost(uint64, tag = "8")]
    pub offered_milli_per_s: u64,
}

/// Load of one kind of task.
#[derive(Clone, PartialEq, Message)]
pub struct KindLoadReport {
    /// CPU of the tasks that hold a worker.
    #[prost(uint64, tag = "1")]
    pub placed_milli: u64,
    /// CPU requested by the tasks that wait.
    #[prost(uint64, tag = "2")]
    pub waiting_milli: u64,
    /// Work ahead of a newcomer, in core-milliseconds.
    #[prost(uint64, tag = "3")]
    pub ahead_core_ms: u64,
    /// Rate at which work ends.
    #[prost(uint64, tag = "4")]
    pub drain_milli: u64,
}

/// Phase of a job.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum FleetPhase {
    /// Tasks are waiting or running.
    Active = 0,
    /// All tasks are done.
    Completed = 1,
    /// A task reached its limit of failed attempts.
    Failed = 2,
    /// The caller cancelled the job.
    Cancelled = 3,
}

/// Outcome of a write on behalf of another daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum FleetWrite {
    /// No write was requested.
    None = 0,
    /// The record was stored.
    Stored = 1,
    /// The record already existed.
    Existed = 2,
    /// The record was not stored, and the write cannot take effect later.
    NotStored = 3,
    /// The record may have been stored, or may still be.
    Unknown = 4,
    /// The job does not exist.
    NoSuchJob = 5,
    /// The job was refused for lack of capacity and can't run unless it is submitted again.
    Refused = 6,
    /// Nothing was stored, because too many writes of this kind were requested.
    Throttled = 7,
}
