//! The command line as its users meet it.
#![allow(clippy::expect_used, reason = "a test ends on a broken assumption")]

use std::net::TcpListener;
use std::process::{Command, Output};

use agatesill::cli;

fn run(args: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_agatesill"));
    command.args(args).output().expect("the tool starts")
}

fn stderr(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

#[test]
fn the_definition_is_sound() {
    cli::command().debug_assert();
}

#[test]
fn help_shows_examples_and_version_the_release() {
    let help = run(&["--help"]);
    assert!(help.status.success());
    assert!(String::from_utf8_lossy(&help.stdout).contains("Examples:"));
    let version = run(&["--version"]);
    assert!(String::from_utf8_lossy(&version.stdout).contains(env!("CARGO_PKG_VERSION")));
}

/// A daemon was stopped, or the operator mistyped its address. The tool must say which address it
/// tried, and a script must see the failure.
#[test]
fn a_stopped_daemon_is_named_by_address() {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let addr = listener.local_addr().expect("it is bound").to_string();
    drop(listener);
    let output = run(&["--addr", &addr, "status"]);
    assert_eq!(output.status.code(), Some(1));
    assert!(stderr(&output).contains(&addr), "{}", stderr(&output));
}

#[test]
fn wrong_usage_exits_2() {
    for args in [&["profle", "list"][..], &["--addr", "nowhere", "status"], &["job", "submit"]] {
        assert_eq!(run(args).status.code(), Some(2), "{args:?}");
    }
}

#[test]
fn a_missing_or_malformed_file_is_named() {
    let output = run(&["job", "submit", "no-such-file.yaml"]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("no-such-file.yaml"));
    let folder = std::env::temp_dir().join(format!("agatesill-cli-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("the folder is made");
    let file = folder.join("jobs.yaml");
    std::fs::write(&file, "- id: a\n  teem: b\n").expect("the file is written");
    let output = run(&["job", "submit", &file.display().to_string()]);
    assert_eq!(output.status.code(), Some(2));
    assert!(stderr(&output).contains("jobs.yaml") && stderr(&output).contains("teem"));
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}

#[test]
fn completions_and_man_pages_come_from_the_same_definition() {
    let completions = run(&["completions", "bash"]);
    assert!(String::from_utf8_lossy(&completions.stdout).contains("explain"));
    let folder = std::env::temp_dir().join(format!("agatesill-man-{}", std::process::id()));
    assert!(run(&["man", &folder.display().to_string()]).status.success());
    assert!(folder.join("agatesill-profile-define.1").exists());
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
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
