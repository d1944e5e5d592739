//! Rules by which a worker may not take a task, and counts of the workers that each rule excludes.

use std::fmt;

/// Why a worker may not take a task: the first rule that it fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The worker is unresponsive, not registered, leaving or in a closed zone.
    Unavailable,
    /// The worker is closed for a while: it failed or rejected starts, or is slow.
    Closed,
    /// Stray runs occupy an unknown part of the worker.
    StrayRuns,
    /// The worker lacks free capacity.
    Capacity,
    /// A crash suspect that the task must not share a worker with runs there.
    Separation,
    /// The worker lacks the label, or runs as many tasks of the step as it may.
    Constraint,
    /// The advice service issued no ticket for the worker.
    Ticket,
    /// Best-effort tasks request as much CPU as the worker may give them.
    Crowded,
    /// The task would harm a serving task on the worker.
    HarmfulPair,
    /// Effects on a serving task on the worker are unknown, and enough trials run already.
    TrialLimit,
}

/// Fails with `refusal` if the condition holds.
pub(super) fn refuse_if(condition: bool, refusal: Refusal) -> Result<(), Refusal> {
    if condition { Err(refusal) } else { Ok(()) }
}

/// Names of the refusals in log lines, in the order of their declaration.
const NAMES: [&str; 10] = [
    "unavailable",
    "closed",
    "stray_runs",
    "capacity",
    "separation",
    "constraint",
    "ticket",
    "crowded",
    "harmful_pair",
    "trial_limit",
];

/// Number of workers that would take a task, and of those that would not, by the reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refusals {
    /// Workers that would take the task.
    pub accepting: u32,
    by_refusal: [u32; NAMES.len()],
}

impl Refusals {
    /// Counts one worker; `None` if it would take the task.
    pub(super) fn count(&mut self, refusal: Option<Refusal>) {
        match refusal {
            Some(refusal) => self.by_refusal[refusal as usize] += 1,
            None => self.accepting += 1,
        }
    }

    /// Number of workers that are excluded by a rule.
    pub fn of(&self, refusal: Refusal) -> u32 {
        self.by_refusal[refusal as usize]
    }
}

impl fmt::Display for Refusals {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "accepting {}", self.accepting)?;
        let refusals = NAMES.iter().zip(self.by_refusal).filter(|(_, workers)| *workers > 0);
        refusals.into_iter().try_for_each(|(name, workers)| write!(f, ", {name} {workers}"))
    }
}
