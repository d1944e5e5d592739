//! Tests `trace` with the logs of three daemons, recorded while the planner was killed and its
//! successor was stopped.
#![allow(clippy::expect_used, reason = "a failed expectation ends the test")]

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

use agatesill::timeline::timeline;
use serde_json::json;

const JOB: &str = "0000002100000040";

fn logs() -> Vec<PathBuf> {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/data/killed-planner");
    (0..3).map(|number| folder.join(format!("entry-{number}.log"))).collect()
}

fn trace(id: &str, files: &[PathBuf]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_agatesill"));
    command.arg("trace").arg(id).args(files).output().expect("failed to start the tool")
}

/// Guards against a job whose delay cannot be explained. The job took a second too long, and its
/// lines are spread over the logs of three daemons, two of which planned it; no single log shows
/// the cause.
#[test]
fn acceptance_takeover_and_completion_are_one_story() {
    let output = trace(JOB, &logs());
    assert!(output.status.success());
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stdout));
}

#[test]
fn logs_are_read_from_standard_input() {
    let mut tool = Command::new(env!("CARGO_BIN_EXE_agatesill"))
        .args(["trace", JOB])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("failed to start the tool");
    let mut input = tool.stdin.take().expect("standard input is not piped");
    for file in logs() {
        input
            .write_all(&std::fs::read(file).expect("failed to read the log"))
            .expect("failed to write to the tool");
    }
    drop(input);
    let output = tool.wait_with_output().expect("failed to wait for the tool");
    let timeline = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(timeline.contains("job_accepted") && timeline.contains("job_ended"), "{timeline}");
}

/// Guards against a second run of a task whose log does not tell what proved the end of the first.
#[test]
fn name_of_a_task_leads_to_the_proof_for_its_second_run() {
    let task = "8d1d4e714b8f45e5.0.1.17";
    let log = [
        json!({"at_ms": 1_000, "event": "job_accepted"}),
        json!({"at_ms": 1_020, "event": "task_placed", "task": task, "run": 1, "worker": "w1"}),
        json!({"at_ms": 1_021, "event": "task_placed", "task": "8d1d4e714b8f45e5.0.1.18", "run": 1,
            "worker": "w2"}),
        json!({"at_ms": 1_400, "event": "worker_gone", "worker": "w1",
            "why": "another incarnation answers", "evidence_ms": 3}),
        json!({"at_ms": 1_400, "event": "worker_gone", "worker": "w2",
            "why": "another incarnation answers", "evidence_ms": 3}),
        json!({"at_ms": 1_400, "event": "run_lost", "task": task, "run": 1, "worker": "w1",
            "worker_started_ms": 77, "proof": "superseded", "evidence_ms": 3}),
        json!({"at_ms": 1_410, "event": "run_follows", "task": task, "run": 2, "after_run": 1,
            "worker": "w1", "worker_started_ms": 77, "proof": "superseded", "evidence_ms": 3}),
        json!({"at_ms": 1_500, "event": "job_idle", "task_index": 18}),
    ];
    let lines: Vec<String> = log
        .into_iter()
        .map(|mut line| {
            if !line["event"].as_str().is_some_and(|event| event.starts_with("worker_")) {
                line["job"] = json!("8d1d4e714b8f45e5");
            }
            line.to_string()
        })
        .collect();
    let timeline = timeline(lines.iter().map(|line| ("entry-0", line.as_str())), task);
    insta::assert_snapshot!(timeline.join("\n"));
}

#[test]
fn unknown_job_is_an_error() {
    let output = trace("ffffffffffffffff", &logs());
    assert_ne!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stderr).contains("ffffffffffffffff"));
}
