//! Tests how `trace` tells the refusals of a job, with lines as daemons write them.

use agatesill::timeline::timeline;
use serde_json::{Value, json};

const JOB: &str = "00000000000000aa";

/// Lines of a log; each has a daemon and the fields of an event of the job.
struct Log(Vec<(&'static str, String)>);

impl Log {
    fn new() -> Self {
        Self(Vec::new())
    }

    fn event(mut self, at_ms: u64, daemon: &'static str, event: &str, fields: Value) -> Self {
        let mut line = json!({"at_ms": at_ms, "level": "info", "module": "agatesilld::fleet",
            "event": event, "job": JOB});
        if let (Some(line), Value::Object(fields)) = (line.as_object_mut(), fields) {
            line.extend(fields);
        }
        self.0.push((daemon, line.to_string()));
        self
    }

    /// A refusal by the view `sequence`; `left_milli` is `None` if the caller returned too early.
    fn refused(
        self,
        at_ms: u64,
        daemon: &'static str,
        sequence: u64,
        left_milli: Option<u64>,
        is_return: bool,
    ) -> Self {
        let cause = if left_milli.is_some() { "no_room" } else { "early" };
        let needed_milli = left_milli.map(|_| 16_000);
        let fields = json!({"queue": "desk.example/desk/", "cause": cause, "retry_after_ms": 2_000,
            "needed_milli": format!("{needed_milli:?}"), "left_milli": format!("{left_milli:?}"),
            "epoch": 7, "sequence": sequence, "view_age_ms": 140, "is_return": is_return});
        self.event(at_ms, daemon, "job_refused", fields)
    }

    fn accepted(self, at_ms: u64, daemon: &'static str, is_new: bool, is_return: bool) -> Self {
        let fields = json!({"is_new": is_new, "is_return": is_return, "view_age_ms": "Some(90)"});
        self.event(at_ms, daemon, "job_accepted", fields)
    }

    fn placed(self, at_ms: u64, task: u32) -> Self {
        let fields = json!({"step": 0, "task": task, "run": 1, "worker": "w1"});
        self.event(at_ms, "entry-0", "task_placed", fields)
    }

    fn timeline(&self) -> Vec<String> {
        timeline(self.0.iter().map(|(daemon, line)| (*daemon, line.as_str())), JOB)
    }

    /// The first line of the timeline.
    fn outcome(&self) -> String {
        self.timeline().into_iter().next().unwrap_or_default()
    }
}

/// Guards against a timeline from which it cannot be told who refused a job, by which view, and
/// whether it runs. The job was refused by two daemons and accepted by a third one.
#[test]
fn a_refused_job_that_was_accepted_at_its_return_is_told_in_full() {
    let log = Log::new()
        .refused(1_000, "entry-1", 120, Some(9_000), false)
        .refused(3_000, "entry-2", 128, Some(12_500), true)
        .accepted(5_100, "entry-0", true, true)
        .placed(5_150, 0)
        .placed(5_150, 1);
    insta::assert_snapshot!(log.timeline().join("\n"));
}

/// Guards against a job that counts as served although its caller never came back.
#[test]
fn a_refused_job_that_was_not_submitted_again_is_told_as_not_accepted() {
    let log = Log::new().refused(1_000, "entry-1", 120, Some(9_000), false);
    assert_eq!(
        log.outcome(),
        "refused once for lack of capacity, not accepted since; no task is running"
    );
    let log = log.refused(1_200, "entry-2", 120, None, true);
    assert_eq!(
        log.timeline()[2],
        "  again by entry-2: asked again before its time; view 120 of epoch 7, 140 ms old; \
         asked to return after 2.0 s"
    );
}

/// Guards against a refused job that runs without a line that says so.
#[test]
fn tasks_of_a_job_that_no_daemon_accepted_are_told() {
    let log = Log::new().refused(1_000, "entry-1", 120, Some(9_000), false).placed(1_500, 0);
    assert_eq!(
        log.outcome(),
        "refused once for lack of capacity, not accepted since; one task is running"
    );
}

/// Guards against clocks of machines that differ, by which a job is refused after it was accepted.
#[test]
fn an_acceptance_before_the_refusal_is_told() {
    let log = Log::new().accepted(800, "entry-0", true, true).refused(
        1_000,
        "entry-1",
        120,
        Some(9_000),
        false,
    );
    assert!(log.outcome().contains("accepted 0.2 s before by the clocks"), "{}", log.outcome());
}

/// Guards against a job that was accepted after the record of its refusal had expired, or whose caller
/// was told of an acceptance before, and that is told as a return.
#[test]
fn only_returns_are_told_as_returns() {
    let accepted = |is_new, is_return| {
        Log::new()
            .refused(1_000, "entry-1", 120, Some(9_000), false)
            .accepted(41_000, "entry-0", is_new, is_return)
            .outcome()
    };
    assert!(accepted(true, true).contains("accepted at its return after 40.0 s"));
    assert!(accepted(true, false).contains("accepted as a new job after 40.0 s"));
    assert!(accepted(false, false).contains("accepted as stored before after 40.0 s"));
}

/// Guards against a job shown as running although it has ended.
#[test]
fn the_end_of_a_job_is_told() {
    let log = Log::new()
        .refused(1_000, "entry-1", 120, Some(9_000), false)
        .accepted(3_000, "entry-0", true, true)
        .placed(3_100, 0);
    let ended = json!({"step": 0, "index": 0, "run": 1, "worker": "w1", "cause": "Done"});
    let log = log.event(3_500, "entry-0", "run_ended", ended);
    assert!(log.outcome().ends_with("no task is running"), "{}", log.outcome());
    let log = log.event(3_501, "entry-0", "job_ended", json!({"phase": "Completed"}));
    assert!(log.outcome().ends_with("ended as Completed"), "{}", log.outcome());
}

/// Guards against a summary of refusals for a job that was accepted at once.
#[test]
fn a_job_that_was_not_refused_has_no_summary() {
    let log = Log::new().accepted(800, "entry-0", true, false);
    assert!(log.outcome().contains("job_accepted"), "{}", log.outcome());
}
