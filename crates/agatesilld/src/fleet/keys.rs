//! Keys of the store under which jobs live, and the range that the planner owns.

/// What callers did: accepted jobs and cancels. Followed by the planner.
pub const INBOX: &str = "in/";

/// Accepted jobs.
const JOB: &str = "in/job/";

/// Cancels.
const CANCEL: &str = "in/cancel/";

/// Progress of jobs, written by the planner alone.
pub const PROGRESS: &str = "progress/";

/// What the planner has learned about images, for its successor.
pub const LEARNED: &str = "learned/images";

/// Range whose owner plans.
pub const PLANNER: &str = "planner";

/// The daemons that may renew leases at workers: the planner, and those before it that are unaccounted for.
pub const PLANNERS: &str = "planners";

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

/// What stands in place of a job that has ended: its key must stay, or the job could be handed in
/// anew, but nobody needs its steps, and a successor need not read them.
pub const ENDED_JOB: &str = "{}";

/// What a key of the inbox says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum InboxKey<'a> {
    /// A job was accepted.
    Job(&'a str),
    /// A job was cancelled.
    Cancel(&'a str),
}

/// Decodes a key of the inbox.
pub fn inbox(key: &str) -> Option<InboxKey<'_>> {
    key.strip_prefix(JOB)
        .map(InboxKey::Job)
        .or_else(|| key.strip_prefix(CANCEL).map(InboxKey::Cancel))
}
