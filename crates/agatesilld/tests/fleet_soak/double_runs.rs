//! Checks that the audit log of the workers finds double runs, and only those.

use std::time::{Duration, Instant};

use crate::support::run_record::{DoubleRun, RunRecord, double_runs};

fn run(started_s: u64, end: Option<(u64, &'static str)>, noted_s: Option<u64>) -> RunRecord {
    let origin = origin();
    let at = |second| origin + Duration::from_secs(second);
    RunRecord {
        task: "job.0.0.0".to_owned(),
        run: started_s,
        worker: "w0-1".to_owned(),
        fencing_token: 7,
        is_late: false,
        started: at(started_s),
        stopped: None,
        end: end.map(|(second, cause)| (at(second), cause)),
        noted: noted_s.map(at),
        lapsed: None,
        lost: None,
    }
}

fn origin() -> Instant {
    static ORIGIN: std::sync::OnceLock<Instant> = std::sync::OnceLock::new();
    *ORIGIN.get_or_init(Instant::now)
}

/// Guards against a second run that passes because the first ended before its end was known.
#[test]
fn runs_at_once_are_found_with_the_fields_of_the_record() {
    let (first, second) = (run(1, Some((4, "done")), Some(6)), run(3, None, None));
    let found = double_runs(&[&first, &second]);
    assert!(matches!(found[..], [DoubleRun::AtOnce(..)]));
    assert_eq!(
        found[0].line(origin(), |token| format!("daemon of {token}")),
        "two runs at once: [job.0.0.0 run 1 on w0-1 from daemon of 7, order 7 late false, start \
         1.000 stop - end 4.000 done noted 6.000] while [job.0.0.0 run 3 on w0-1 from daemon of 7, \
         order 7 late false, start 3.000 stop - end - - noted -]"
    );
}

/// Guards against a start that passes because the end before it was acknowledged only later.
#[test]
fn start_after_an_end_that_is_noted_later_is_found() {
    let (first, second) = (run(1, Some((2, "done")), Some(6)), run(3, Some((5, "done")), None));
    assert!(matches!(double_runs(&[&first, &second])[..], [DoubleRun::AfterDone(..)]));
}

/// Guards against a start that passes because another end of its task was acknowledged.
#[test]
fn start_after_an_end_of_which_another_one_is_noted_is_found() {
    let (first, second) = (run(1, Some((2, "done")), None), run(3, Some((5, "done")), Some(6)));
    assert!(matches!(double_runs(&[&first, &second])[..], [DoubleRun::AfterDone(..)]));
}

/// Guards against violations for runs that may start again: their ends were lost or are not done.
#[test]
fn starts_after_other_ends_are_allowed() {
    let mut lost = run(1, Some((2, "done")), None);
    lost.lost = Some(origin() + Duration::from_millis(2_500));
    let allowed = [lost, run(1, Some((2, "stopped")), Some(6)), run(1, Some((3, "crashed")), None)];
    for first in allowed {
        let second = run(3, Some((5, "done")), Some(6));
        assert!(double_runs(&[&first, &second]).is_empty(), "{first:?}");
    }
}

/// Guards against violations for tasks that start again after the lease of a worker that was cut off, and
/// against a start before that lease has lapsed that passes.
#[test]
fn start_after_an_end_whose_lease_has_lapsed_is_allowed_from_then_on() {
    let mut first = run(1, Some((2, "done")), Some(8));
    let second = run(5, Some((6, "done")), Some(7));
    first.lapsed = Some(origin() + Duration::from_secs(4));
    assert!(double_runs(&[&first, &second]).is_empty());
    first.lapsed = Some(origin() + Duration::from_millis(5_100));
    assert!(matches!(double_runs(&[&first, &second])[..], [DoubleRun::AfterDone(..)]));
}
