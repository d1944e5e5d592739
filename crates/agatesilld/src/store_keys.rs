//! Store keys of jobs, and the range that the planner owns.

/// Prefix of accepted jobs and cancels. The planner watches it.
pub const INBOX: &str = "in/";

/// Prefix of accepted jobs.
const JOB: &str = "in/job/";

/// Prefix of cancels.
const CANCEL: &str = "in/cancel/";

/// Prefix of the progress of jobs. Only the planner writes it.
pub const PROGRESS: &str = "progress/";

/// Interference between images that the planner has learned, kept for its successor.
pub const LEARNED: &str = "learned/images";

/// Addresses of the workers that may run tasks, kept for the planner's successor.
pub const WORKERS: &str = "workers";

/// The range whose owner runs the planner.
pub const PLANNER: &str = "planner";

/// Daemons that may renew leases at workers: the planner, and earlier planners that are not known
/// to have stopped.
pub const PLANNERS: &str = "planners";

/// The leases of workers that do not answer, kept for the planner's successors. The key is under the prefix
/// of owners, so that one watch shows changes of both.
pub const LEASES: &str = "own/leases";

/// Key of an accepted job.
pub fn job(id: &str) -> String {
    format!("{JOB}{id}")
}

/// Key of a cancel.
pub fn cancel(id: &str) -> String {
    format!("{CANCEL}{id}")
}

/// Key of a job's progress.
pub fn progress(id: &str) -> String {
    format!("{PROGRESS}{id}")
}

/// Value of the key of a cancel.
pub const CANCEL_VALUE: &str = "{}";

/// Value that replaces the specification of an ended job. The key must stay, because the job could
/// be submitted again otherwise, but the steps are no longer needed and a successor need not read
/// them.
pub const ENDED_JOB: &str = "{}";

/// Decoded key of the inbox.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InboxKey<'a> {
    /// An accepted job.
    Job(&'a str),
    /// A cancel of a job.
    Cancel(&'a str),
}

/// Decodes a key of the inbox; `None` for other keys.
pub fn inbox(key: &str) -> Option<InboxKey<'_>> {
    key.strip_prefix(JOB)
        .map(InboxKey::Job)
        .or_else(|| key.strip_prefix(CANCEL).map(InboxKey::Cancel))
}
