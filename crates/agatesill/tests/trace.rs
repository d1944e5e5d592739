//! One job's story from the logs of three daemons, recorded while the one that planned was killed and
//! its successor was stopped.
#![allow(clippy::expect_used, reason = "a test ends on a broken assumption")]

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
    command.arg("trace").arg(id).args(files).output().expect("the tool starts")
}

/// A caller complains that a job took a second longer than it should. Its lines lie in the logs of three
/// daemons, two of which planned it; read apart, none of them tells why.
#[test]
fn acceptance_takeover_and_completion_are_one_story() {
    let output = trace(JOB, &logs());
    assert!(output.status.success());
    insta::assert_snapshot!(String::from_utf8_lossy(&output.stdout));
}

#[test]
fn logs_come_from_standard_input_as_well() {
    let mut tool = Command::new(env!("CARGO_BIN_EXE_agatesill"))
        .args(["trace", JOB])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("the tool starts");
    let mut input = tool.stdin.take().expect("it is piped");
    for file in logs() {
        input.write_all(&std::fs::read(file).expect("it is there")).expect("the tool reads");
    }
    drop(input);
    let output = tool.wait_with_output().expect("the tool ends");
    let told = String::from_utf8_lossy(&output.stdout).into_owned();
    assert!(told.contains("job_accepted") && told.contains("job_ended"), "{told}");
}

#[test]
fn a_job_that_no_log_mentions_is_an_error() {
    let output = trace("ffffffffffffffff", &logs());
    assert_ne!(output.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&output.stderr).contains("ffffffffffffffff"));
}
