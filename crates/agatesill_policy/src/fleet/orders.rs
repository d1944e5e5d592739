//! Actions that the ledger requests, and their outcomes.

use super::job::{JobId, TaskKey, TaskRef};
use super::record::ProgressRecord;
use super::worker::WorkerIndex;

/// Action on one run.
#[derive(Clone, Debug, PartialEq)]
pub enum OrderKind {
    /// Start the run.
    Start {
        /// Instructions passed to the task.
        payload: String,
        /// Checkpoint from which to resume; empty if there is none.
        saved: String,
        /// Ticket from the advice service; empty if the queue needs none.
        ticket: String,
    },
    /// Stop the run and bar it from starting.
    Stop,
    /// Limit the run's share of CPU time.
    Pace {
        /// Share in percent.
        percent: u32,
    },
}

impl OrderKind {
    /// Name used in logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            OrderKind::Start { .. } => "start",
            OrderKind::Stop => "stop",
            OrderKind::Pace { .. } => "pace",
        }
    }
}

/// Location of the task of an order about a run that the ledger does not expect on the worker.
pub(super) const NO_TASK: TaskRef = TaskRef { job: u32::MAX, task: 0 };

/// An order to a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Order {
    /// Worker that receives the order.
    pub worker: WorkerIndex,
    /// Location of the task in the ledger.
    pub task_ref: TaskRef,
    /// Key of the task.
    pub task: TaskKey,
    /// Run number.
    pub run: u32,
    /// Requested action.
    pub kind: OrderKind,
    /// When the order was decided.
    pub decided_us: u64,
    /// When the order was sent; 0 before.
    pub sent_us: u64,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// Carried out, by this call or an earlier one.
    Done,
    /// The worker has seen a higher epoch.
    Fenced,
    /// The run, or a later one, has ended on the worker.
    Old,
    /// The lease had expired when the order arrived.
    Late,
    /// The worker has too little free capacity.
    NoRoom,
    /// The advice ticket is not valid.
    NoTicket,
    /// The worker is unhealthy and did not act.
    Refused,
    /// The order was not sent: the worker is leaving, or its zone is closed.
    Withheld,
    /// The worker rejected the order as malformed.
    Malformed,
    /// The worker rejected the order for a reason that is unknown to this program. An earlier order
    /// may have begun the run.
    Unexplained,
    /// Another incarnation of the worker answered at the address.
    OtherIncarnation,
    /// No part of the order was sent to the worker: it refused the connection, for example. The
    /// order was not carried out and never will be.
    Undelivered,
    /// No answer. The order may have been carried out, or may be carried out later.
    Unanswered,
}

/// A record to write to the store.
#[derive(Clone, Debug, PartialEq)]
pub struct JobWrite {
    /// Identifier of the job.
    pub job: JobId,
    /// Slot of the job in the ledger.
    pub slot: u32,
    /// Version of the job from which the record was built.
    pub version: u64,
    /// Revision that the key must have; 0 if there must be no record yet.
    pub revision: u64,
    /// Contents of the record.
    pub record: ProgressRecord,
    /// Availability zones in which starts follow the record. It may be stored only while all of
    /// them are open.
    pub zones: Vec<String>,
    /// When the record was taken.
    pub taken_us: u64,
    /// Number of records in its transaction.
    pub group: usize,
}
