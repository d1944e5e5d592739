//! Gangs: their members work only while all are present.

use std::collections::HashMap;

use agatesill_policy::fleet::{EndCause, TaskKey};

use super::lives::{NEVER_US, Run, run_us};
use super::{FaultSimulation, MS};

/// Time for which a member waits for the others.
const GANG_TIMEOUT_US: u64 = 2_000 * MS;

/// Members of one run of a gang that are present.
#[derive(Debug, Default)]
struct Gang {
    members: u32,
    /// Whether any member has worked, so that all had been present.
    has_worked: bool,
}

impl FaultSimulation {
    /// Lets complete gangs work, and ends the members of those that are not complete.
    pub(super) fn update_gangs(&mut self) {
        let now_us = self.now_us;
        let mut gangs: HashMap<(String, u32, u32), Gang> = HashMap::new();
        for run in self.runs_mut().filter(|run| run.step.is_gang) {
            let gang = gangs.entry(key(run)).or_default();
            gang.members += 1;
            gang.has_worked |= run.gang_cause == Some(EndCause::Done);
        }
        for run in self.runs_mut().filter(|run| run.step.is_gang) {
            let gang = &gangs[&key(run)];
            let is_complete = gang.members == run.step.count;
            if is_complete && run.ends_us == NEVER_US {
                let first = TaskKey { index: 0, ..run.task.clone() };
                run.gang_cause = Some(EndCause::Done);
                run.ends_us = now_us + run_us(&run.step, &first);
            } else if !is_complete && gang.has_worked && run.gang_cause != Some(EndCause::Broken) {
                run.gang_cause = Some(EndCause::Broken);
                run.ends_us = run.ends_us.min(now_us);
            } else if !is_complete && now_us >= run.began_us + GANG_TIMEOUT_US {
                run.gang_cause = run.gang_cause.or(Some(EndCause::Alone));
                run.ends_us = run.ends_us.min(now_us);
            }
        }
    }

    fn runs_mut(&mut self) -> impl Iterator<Item = &mut Run> {
        let lives = self.machines.iter_mut().filter_map(|machine| machine.life.as_mut());
        lives.flat_map(|life| life.runs.iter_mut())
    }
}

fn key(run: &Run) -> (String, u32, u32) {
    (run.task.job.clone(), run.task.step, run.run)
}
