//! Tests `trace` with the logs of three daemons, recorded while the planner was killed and its
//! successor was stopped.
#![allow(clippy::expect_used, reason = "a failed expectation ends the test")]

use std::io::Write;
use std::path::PathBuf;
use std::process::{Command, Output, Stdio};

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

#[test]
fn unknown_job_is_an_error() {
    let output = trace("ffffffffffffffff", &logs());
    assert_ne!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stderr).contains("ffffffffffffffff"));
}
