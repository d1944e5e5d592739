//! JSON bodies of the platform's interfaces: the key-value service and the workers.
//!
//! The platform's real form arrives later; these are the calls that the adapters need, over plain
//! HTTP. `docs/PLATFORM.md` states what is assumed of each.

use agatesill_policy::batch::{ServiceUsage, TaskUsage};
use agatesill_policy::prelude::*;
use agatesill_policy::value_type;

/// A call to the key-value service.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", tag = "call")]
pub enum StoreCall {
    /// Reads all keys under a prefix.
    Range {
        /// The prefix; a whole key reads that key.
        prefix: String,
    },
    /// Reads keys under a prefix, as many as one answer holds.
    Page {
        /// The prefix.
        prefix: String,
        /// Only keys after this one; empty begins at the first.
        after: String,
    },
    /// Writes a key if its version is as expected.
    Cas {
        /// The key.
        key: String,
        /// Version expected; 0 means that the key must be absent.
        expect_version: u64,
        /// New value; absent deletes the key.
        value: Option<String>,
        /// Lease that the key is bound to; 0 means none.
        #[serde(default)]
        lease_id: u64,
    },
    /// Writes and deletes keys together, if all versions are as expected; else changes nothing.
    Txn {
        /// Versions expected; 0 means that the key must be absent.
        expected: Vec<KeyVersion>,
        /// Keys to write.
        puts: Vec<Put>,
        /// Keys to delete.
        deletes: Vec<String>,
    },
    /// Waits for a change under a prefix later than a revision.
    Watch {
        /// The prefix.
        prefix: String,
        /// Only changes after this revision count.
        after_revision: u64,
        /// How long to wait.
        wait_ms: u64,
    },
    /// Grants a lease.
    Grant {
        /// Time to live.
        ttl_ms: u64,
    },
    /// Renews a lease to its full time.
    Renew {
        /// The lease.
        lease_id: u64,
    },
    /// Ends a lease and deletes its keys.
    Revoke {
        /// The lease.
        lease_id: u64,
    },
}

value_type! {
    /// The version that a key is expected to have.
    pub struct KeyVersion {
        /// The key.
        pub key: String,
        /// Its version; 0 means that the key must be absent.
        pub version: u64,
    }
}

value_type! {
    /// A key to write.
    pub struct Put {
        /// The key.
        pub key: String,
        /// Its new value.
        pub value: String,
        /// Lease that the key is bound to; 0 means none.
        #[serde(default)]
        pub lease_id: u64,
    }
}

value_type! {
    /// A key with its value and version.
    pub struct Entry {
        /// The key.
        pub key: String,
        /// The value.
        pub value: String,
        /// Revision of its last write, unique over all keys.
        pub version: u64,
    }
}

value_type! {
    /// The answer to a call.
    #[derive(Default)]
    pub struct StoreReply {
        /// Revision of the service when it answered.
        pub revision: u64,
        /// Whether a write, renewal or revocation took effect.
        pub applied: bool,
        /// Entries read, or the one that a write found in its way.
        pub entries: Vec<Entry>,
        /// The lease granted.
        pub lease_id: u64,
        /// Whether keys follow after the last entry of a page.
        #[serde(default)]
        pub has_more: bool,
        /// Keys that a watch saw deleted.
        #[serde(default)]
        pub deleted: Vec<String>,
        /// Whether the service no longer has the history that a watch asked for; read again.
        #[serde(default)]
        pub is_compacted: bool,
    }
}

/// A call to a worker; each is idempotent by task and attempt. A worker refuses a call with a lower
/// epoch than it has seen, with [`crate::error::ErrorKind::Conflict`].
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(rename_all = "snake_case", tag = "call")]
pub enum WorkerCall {
    /// Runs an attempt under a lease.
    Start {
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Epoch of the sender.
        epoch: u64,
        /// Reserved amounts; memory beyond them is stopped by the worker.
        need: Resources,
        /// Kind of work.
        class: String,
        /// Whole run time, known to the stand-in only through the submitter's job.
        run_ms: u64,
        /// Progress to resume from.
        checkpoint_ms: u64,
        /// Lease of the attempt from receipt.
        lease_ms: u64,
    },
    /// Renews the leases of all attempts listed and reports on all attempts known.
    Renew {
        /// Epoch of the sender.
        epoch: u64,
        /// Attempts to keep.
        attempts: Vec<(TaskId, Attempt)>,
        /// Ended attempts whose end is recorded; the worker reports them no more, but still
        /// refuses to start them.
        #[serde(default)]
        settled: Vec<(TaskId, Attempt)>,
        /// Their lease from receipt.
        lease_ms: u64,
    },
    /// Stops an attempt; one never seen is remembered as stopped.
    Stop {
        /// Epoch of the sender.
        epoch: u64,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Whether to save progress first.
        checkpoint: bool,
    },
    /// Slows an attempt down.
    Throttle {
        /// Epoch of the sender.
        epoch: u64,
        /// The task.
        task: TaskId,
        /// The attempt.
        attempt: Attempt,
        /// Share of processor time kept.
        percent: u32,
    },
}

value_type! {
    /// How an attempt stands at its worker.
    pub enum AttemptState {
        /// Runs now.
        Running,
        /// Finished its work.
        Done,
        /// Failed by itself.
        Failed,
        /// Was stopped, or its lease ended.
        Stopped,
    }
}

value_type! {
    /// A worker's word on one attempt.
    pub struct AttemptReport {
        /// The task.
        pub task: TaskId,
        /// The attempt.
        pub attempt: Attempt,
        /// How it stands.
        pub state: AttemptState,
        /// Progress that the newest checkpoint kept.
        pub checkpoint_ms: u64,
        /// Why it failed; empty otherwise.
        pub detail: String,
    }
}

value_type! {
    /// A worker's answer to any call.
    #[derive(Default)]
    pub struct WorkerReply {
        /// Attempts known to the worker.
        pub attempts: Vec<AttemptReport>,
        /// Latency-critical services on the worker, some time ago.
        #[serde(default)]
        pub services: Vec<ServiceUsage>,
        /// Attempts that ran beside them then.
        #[serde(default)]
        pub tasks: Vec<TaskUsage>,
        /// Age of the two lists above.
        #[serde(default)]
        pub usage_age_ms: u64,
    }
}
