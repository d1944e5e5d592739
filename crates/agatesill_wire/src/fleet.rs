//! Calls between the daemons of one fleet: what only the planner knows, and writes for a daemon
//! that the store turns away.

use prost::Message;

/// A call to another daemon.
#[derive(Clone, PartialEq, Message)]
pub struct FleetCall {
    /// Pairs the answer with the call.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// What is asked.
    #[prost(oneof = "FleetQuestion", tags = "2, 3, 4, 5, 6, 7, 8, 9")]
    pub question: Option<FleetQuestion>,
}

/// What a daemon asks another.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum FleetQuestion {
    /// The state of a job, by its identity.
    #[prost(string, tag = "2")]
    StateOf(String),
    /// The number of a queue's jobs that have not begun.
    #[prost(string, tag = "3")]
    Pending(String),
    /// A job, as JSON, that was stored just now.
    #[prost(string, tag = "4")]
    Accepted(String),
    /// A job that was cancelled just now.
    #[prost(string, tag = "5")]
    Cancelled(String),
    /// Store a job for the caller.
    #[prost(message, tag = "6")]
    StoreJob(JobToStore),
    /// Store a cancel for the caller.
    #[prost(string, tag = "7")]
    StoreCancel(String),
    /// Pass planning on to a daemon with so many thousandths of a processor.
    #[prost(uint32, tag = "8")]
    PassOn(u32),
    /// Whether the store answers the daemon; the number is 1 if it answers the one that asks.
    #[prost(uint32, tag = "9")]
    HowIsTheStore(u32),
}

/// A job to store.
#[derive(Clone, PartialEq, Message)]
pub struct JobToStore {
    /// Its identity.
    #[prost(string, tag = "1")]
    pub id: String,
    /// The job as JSON.
    #[prost(string, tag = "2")]
    pub json: String,
}

/// The answer to a call.
#[derive(Clone, PartialEq, Message)]
pub struct FleetAnswer {
    /// The call.
    #[prost(uint64, tag = "1")]
    pub number: u64,
    /// Whether the daemon could answer; only the planner knows of jobs.
    #[prost(bool, tag = "2")]
    pub is_known: bool,
    /// A job's phase.
    #[prost(enumeration = "FleetPhase", tag = "3")]
    pub phase: i32,
    /// Whether any task of the job has been started.
    #[prost(bool, tag = "4")]
    pub is_started: bool,
    /// Jobs that have not begun.
    #[prost(uint64, tag = "5")]
    pub pending: u64,
    /// How a write fared.
    #[prost(enumeration = "FleetWrite", tag = "6")]
    pub write: i32,
    /// Where the planner is, as far as the answering daemon knows; empty if it doesn't.
    #[prost(string, tag = "7")]
    pub planner: String,
    /// Whether call after call of the answering daemon to the store fails.
    #[prost(bool, tag = "8")]
    pub is_store_lost: bool,
    /// Whether the answering daemon calls no worker: it does not plan, and what it did has ended.
    #[prost(bool, tag = "9")]
    pub has_no_planner: bool,
}

/// Where a job stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum FleetPhase {
    /// Tasks wait or run.
    Active = 0,
    /// All tasks are done.
    Completed = 1,
    /// A task failed too often.
    Failed = 2,
    /// The caller cancelled it.
    Cancelled = 3,
}

/// How a write for another daemon fared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum FleetWrite {
    /// No write was asked for.
    None = 0,
    /// It is stored now.
    Stored = 1,
    /// It had been stored before.
    Existed = 2,
    /// It is not stored and will not be.
    NotStored = 3,
    /// It may be stored, now or later.
    Unknown = 4,
    /// There is no such job.
    NoSuchJob = 5,
}
