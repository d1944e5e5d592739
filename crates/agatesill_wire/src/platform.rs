//! JSON bodies of the platform's interfaces: the key-value store and the workers.
//!
//! The real platform is integrated later. Until then, these are the calls that the adapters need,
//! over plain HTTP. `docs/PLATFORM.md` states the assumptions about each of them.

use agatesill_policy::batch::{ServiceUsage, TaskUsage};
use agatesill_policy::prelude::*;
use agatesill_policy::value_type;

/// Request to the key-value store.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", tag = "call")]
pub enum StoreCall {
    /// Reads all keys under a prefix.
    Range {
        /// Prefix of the keys; a complete key reads that key.
        prefix: String,
    },
    /// Reads one page of the keys under a prefix, up to the size limit of a response.
    Page {
        /// Prefix of the keys.
        prefix: String,
        /// Key after which the page starts; empty starts at the first key.
        after: String,
    },
    /// Writes or deletes a key if it has the expected version.
    Cas {
        /// Key to write or delete.
        key: String,
        /// Expected version; 0 means that the key must be absent.
        expect_version: u64,
        /// New value; absent deletes the key.
        value: Option<String>,
        /// Lease that the key is bound to; 0 means none.
        #[serde(default)]
        lease_id: u64,
    },
    /// Atomically writes and deletes keys if all versions are as expected; otherwise has no effect.
    Txn {
        /// Expected versions; 0 means that the key must be absent.
        expected: Vec<KeyVersion>,
        /// Keys to write.
        puts: Vec<Put>,
        /// Keys to delete.
        deletes: Vec<String>,
    },
    /// Waits for a change under a prefix after a revision.
    Watch {
        /// Prefix of the keys.
        prefix: String,
        /// Revision after which a change is reported.
        after_revision: u64,
        /// Maximum time to wait.
        wait_ms: u64,
    },
    /// Grants a lease.
    Grant {
        /// Time to live of the lease.
        ttl_ms: u64,
    },
    /// Renews a lease for its full time to live.
    Renew {
        /// ID of the lease.
        lease_id: u64,
    },
    /// Revokes a lease and deletes the keys bound to it.
    Revoke {
        /// ID of the lease.
        lease_id: u64,
    },
}

value_type! {
    /// A key and its expected version.
    pub struct KeyVersion {
        /// Key whose version is checked.
        pub key: String,
        /// Expected version; 0 means that the key must be absent.
        pub version: u64,
    }
}

value_type! {
    /// A key to write.
    pub struct Put {
        /// Key to write.
        pub key: String,
        /// New value.
        pub value: String,
        /// Lease that the key is bound to; 0 means none.
        #[serde(default)]
        pub lease_id: u64,
    }
}

value_type! {
    /// A stored key with its value and version.
    pub struct Entry {
        /// Name of the key.
        pub key: String,
        /// Value stored under the key.
        pub value: String,
        /// Revision of the last write to the key, unique across all keys.
        pub version: u64,
    }
}

value_type! {
    /// Response to a [`StoreCall`].
    #[derive(Default)]
    pub struct StoreReply {
        /// Revision of the store when it responded.
        pub revision: u64,
        /// Whether a write, renewal or revocation took effect.
        pub applied: bool,
        /// Entries that were read, or the entry that a write conflicted with.
        pub entries: Vec<Entry>,
        /// ID of the granted lease.
        pub lease_id: u64,
        /// Whether more keys follow the last entry of the page.
        #[serde(default)]
        pub has_more: bool,
        /// Keys deleted since the revision of the watch.
        #[serde(default)]
        pub deleted: Vec<String>,
        /// Revision of the newest change in the reply to a watch; 0 without a change.
        #[serde(default)]
        pub event_revision: u64,
        /// Whether the store no longer has the history that the watch asked for, so that the client
        /// must read the prefix again.
        #[serde(default)]
        pub is_compacted: bool,
    }
}

value_type! {
    /// When and at which process a call to a worker may take effect.
    ///
    /// Without it, a call that arrives late, also one that was delayed in the network, would start an
    /// attempt that has been declared lost, or extend a lease that its owner takes for expired.
    #[derive(Copy, Eq, Default)]
    pub struct CallValidity {
        /// Incarnation of the worker that the call is for.
        pub incarnation: u64,
        /// Reading of that incarnation's clock after which the call has no effect.
        pub until_ms: u64,
    }
}

/// Request to a worker, idempotent by task and attempt.
///
/// A worker rejects a call whose epoch is lower than the highest it has seen, with
/// [`crate::error::ErrorKind::Conflict`].
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", tag = "call")]
pub enum WorkerCall {
    /// Starts an attempt under a lease.
    Start {
        /// Task of the attempt.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Epoch of the sender.
        epoch: u64,
        /// Reserved resources. The worker stops the attempt if it exceeds the reserved memory.
        need: Resources,
        /// Class of the work.
        class: String,
        /// Total run time. The stand-in for the platform knows it only from the submitted job.
        run_ms: u64,
        /// Progress of the checkpoint to resume from.
        checkpoint_ms: u64,
        /// Lease duration, counted from receipt of the call.
        lease_ms: u64,
        /// The worker starts nothing if the call is not valid, and replies with its reports.
        validity: CallValidity,
    },
    /// Renews the leases of the listed attempts and returns reports on all attempts known to the
    /// worker.
    Renew {
        /// Epoch of the sender.
        epoch: u64,
        /// Attempts whose leases are renewed.
        attempts: Vec<(TaskId, Attempt)>,
        /// Ended attempts whose outcome is recorded. The worker no longer reports them, but still
        /// refuses to start them.
        #[serde(default)]
        settled: Vec<(TaskId, Attempt)>,
        /// New lease duration, counted from receipt of the call.
        lease_ms: u64,
        /// The worker renews no lease if the call is not valid.
        validity: CallValidity,
    },
    /// Stops an attempt. An attempt unknown to the worker is recorded as stopped, so that a late
    /// start call is refused.
    Stop {
        /// Epoch of the sender.
        epoch: u64,
        /// Task of the attempt.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Whether to write a checkpoint before stopping.
        checkpoint: bool,
    },
    /// Limits the CPU time of an attempt.
    Throttle {
        /// Epoch of the sender.
        epoch: u64,
        /// Task of the attempt.
        task: TaskId,
        /// Number of the attempt.
        attempt: Attempt,
        /// Percentage of its CPU time that the attempt keeps.
        percent: u32,
    },
}

value_type! {
    /// State of an attempt at its worker.
    pub enum AttemptState {
        /// The attempt is running.
        Running,
        /// The attempt completed its work.
        Done,
        /// The attempt failed on its own.
        Failed,
        /// The attempt was stopped, or its lease expired.
        Stopped,
    }
}

value_type! {
    /// A worker's report on one attempt.
    pub struct AttemptReport {
        /// Task of the attempt.
        pub task: TaskId,
        /// Number of the attempt.
        pub attempt: Attempt,
        /// State of the attempt.
        pub state: AttemptState,
        /// Progress saved in the latest checkpoint.
        pub checkpoint_ms: u64,
        /// Reason for a failure; empty otherwise.
        pub detail: String,
    }
}

value_type! {
    /// Response of a worker to any [`WorkerCall`].
    #[derive(Default)]
    pub struct WorkerReply {
        /// Attempts known to the worker.
        pub attempts: Vec<AttemptReport>,
        /// Identifies the worker's process; a restarted worker has another one.
        pub incarnation: u64,
        /// Reading of the process's monotonic clock when it replied.
        pub clock_ms: u64,
        /// Usage of the latency-critical services on the worker at the time of the sample.
        #[serde(default)]
        pub services: Vec<ServiceUsage>,
        /// Usage of the attempts that were running at the time of the sample.
        #[serde(default)]
        pub tasks: Vec<TaskUsage>,
        /// Age of the sample in `services` and `tasks`.
        #[serde(default)]
        pub usage_age_ms: u64,
    }
}
