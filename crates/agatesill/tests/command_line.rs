//! Runs the command-line tool as a user does.
#![allow(clippy::expect_used, reason = "a failed expectation ends the test")]

use std::net::TcpListener;
use std::process::{Command, Output};

use agatesill::cli;

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_agatesill"));
    command.args(args).output().expect("failed to start the tool")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn command_definition_is_valid() {
    cli::command().debug_assert();
}

#[test]
fn help_shows_examples_and_version_shows_release() {
    let help = run(&["--help"]);
    assert!(help.status.success());
    assert!(String::from_utf8_lossy(&help.stdout).contains("Examples:"));
    let version = run(&["--version"]);
    assert!(String::from_utf8_lossy(&version.stdout).contains(env!("CARGO_PKG_VERSION")));
}

/// Guards against an error without the address when the daemon is stopped or the address mistyped,
/// and against a failure that a script cannot detect.
#[test]
fn error_for_unreachable_daemon_contains_its_address() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("failed to bind a free port");
    let addr = listener.local_addr().expect("failed to read the bound address").to_string();
    drop(listener);
    let output = run(&["--addr", &addr, "status"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains(&addr), "{}", stderr(&output));
}

#[test]
fn invalid_usage_exits_with_2() {
    for args in [&["profle", "list"][..], &["--addr", "nowhere", "status"], &["job", "submit"]] {
        assert_eq!(run(args).status.code(), Some(2), "{args:?}");
    }
}

#[test]
fn error_for_missing_or_malformed_file_contains_its_name() {
    let output = run(&["job", "submit", "no-such-file.yaml"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("no-such-file.yaml"));
    let folder = std::env::temp_dir().join(format!("agatesill-cli-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("failed to create the directory");
    let file = folder.join("jobs.yaml");
    std::fs::write(&file, "- id: a\n  teem: b\n").expect("failed to write the file");
    let output = run(&["job", "submit", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("jobs.yaml") && stderr(&output).contains("teem"));
    std::fs::remove_dir_all(&folder).expect("failed to remove the directory");
}

#[test]
fn completions_and_man_pages_are_generated_from_the_definition() {
    let completions = run(&["completions", "bash"]);
    assert!(String::from_utf8_lossy(&completions.stdout).contains("explain"));
    let folder = std::env::temp_dir().join(format!("agatesill-man-{}", std::process::id()));
    assert!(run(&["man", &folder.display().to_string()]).status.success());
    assert!(folder.join("agatesill-profile-define.1").exists());
    std::fs::remove_dir_all(&folder).expect("failed to remove the directory");
}

#[test]
fn the_help_of_every_subcommand_is_as_recorded() {
    let mut command = cli::command().term_width(100);
    let mut pages = String::new();
    for sub in command.get_subcommands_mut() {
        pages.push_str(&format!("{}\n", sub.render_help()));
    }
    insta::assert_snapshot!(pages);
}

/// Guards against a command that calls one of several given daemons and leaves out the others.
#[test]
fn commands_for_one_daemon_reject_several_addresses() {
    let several = ["--addr", "127.0.0.1:1", "--addr", "127.0.0.1:2"];
    for command in [&["status"][..], &["config", "history"]] {
        let output = run(&[&several, command].concat());
        assert_eq!(output.status.code(), Some(2), "{command:?}");
        assert!(stderr(&output).contains("--addr"), "{}", stderr(&output));
    }
    let output = run(&[&several[..], &["status", "--load"]].concat());
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains("127.0.0.1:2"), "{}", stderr(&output));
}
