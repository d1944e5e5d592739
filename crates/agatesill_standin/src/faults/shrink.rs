//! Shrinks a failing schedule: fewer faults first, then shorter ones.

use std::future::Future;
use std::time::{Duration, Instant};

use super::{RunReport, Schedule};

/// Runs that shrinking may take.
const MAX_RUNS: usize = 24;

/// Time that shrinking may take; a run that fails by waiting takes about a minute.
const MAX_TIME: Duration = Duration::from_secs(180);

/// Runs tried of one smaller schedule before it counts as passing; a real run is not repeatable
/// to the microsecond, so one good run proves little.
const TRIES: usize = 2;

/// The smallest schedule found that still fails, with its report.
pub async fn shrink<F, R>(
    failing: Schedule,
    report: RunReport,
    scenario: F,
) -> (Schedule, RunReport)
where
    F: Fn(Schedule) -> R,
    R: Future<Output = RunReport>,
{
    let (mut least, mut shown) = (failing, report);
    let mut runs = 0;
    let started = Instant::now();
    'smaller: loop {
        for candidate in candidates(&least) {
            for _ in 0..TRIES {
                if runs == MAX_RUNS || started.elapsed() > MAX_TIME {
                    return (least, shown);
                }
                runs += 1;
                let report = scenario(candidate.clone()).await;
                if !report.violations.is_empty() {
                    (least, shown) = (candidate, report);
                    continue 'smaller;
                }
            }
        }
        return (least, shown);
    }
}

/// Schedules one step smaller: without one fault, then with one of them half as long.
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
