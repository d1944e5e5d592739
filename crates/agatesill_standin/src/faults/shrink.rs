//! Shrinks a failing schedule by removing faults first and shortening them afterwards.

use std::future::Future;
use std::time::{Duration, Instant};

use super::{RunReport, Schedule};

/// Largest number of runs.
const MAX_RUNS: usize = 24;

/// Longest time for shrinking. A run that fails by timeout takes about a minute.
const MAX_TIME: Duration = Duration::from_secs(180);

/// Runs of a smaller schedule before it counts as passing. Timing differs between runs of real
/// processes, so one successful run is weak evidence.
const RUNS_PER_CANDIDATE: usize = 2;

/// Returns the smallest failing schedule that was found, with its report.
pub async fn shrink<F, R>(
    failing: Schedule,
    report: RunReport,
    scenario: F,
) -> (Schedule, RunReport)
where
    F: Fn(Schedule) -> R,
    R: Future<Output = RunReport>,
{
    let (mut smallest, mut smallest_report) = (failing, report);
    let mut runs = 0;
    let started = Instant::now();
    'smaller: loop {
        for candidate in candidates(&smallest) {
            for _ in 0..RUNS_PER_CANDIDATE {
                if runs == MAX_RUNS || started.elapsed() > MAX_TIME {
                    return (smallest, smallest_report);
                }
                runs += 1;
                let report = scenario(candidate.clone()).await;
                if !report.violations.is_empty() {
                    (smallest, smallest_report) = (candidate, report);
                    continue 'smaller;
                }
            }
        }
        return (smallest, smallest_report);
    }
}

/// Returns all schedules that are one step smaller: first those without one fault, then those with
/// one fault of half the duration.
pub(super) fn candidates(schedule: &Schedule) -> Vec<Schedule> {
    let without = (0..schedule.faults.len()).map(|index| {
        let mut smaller = schedule.clone();
        smaller.faults.remove(index);
        smaller
    });
    let shorter = (0..schedule.faults.len())
        .filter(|index| schedule.faults[*index].for_ms >= 200)
        .map(|index| {
            let mut smaller = schedule.clone();
            smaller.faults[index].for_ms /= 2;
            smaller
        });
    without.chain(shorter).collect()
}
