//! Tests `status --load`: its tables, and how it asks several daemons.
#![allow(clippy::expect_used, reason = "a failed expectation ends the test")]

use std::net::SocketAddr;
use std::process::{Command, Output};

use agatesill::load_table::{DaemonLoad, render};
use agatesill_policy::admission::{KindLoad, LoadView, ServiceLoad};
use agatesill_wire::api::{HeldLoad, LOAD_PATH, LoadStatus};
use agatesill_wire::http::{respond, serve};
use agatesill_wire::prelude::*;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

fn view(sequence: u64, headroom_milli: u64) -> LoadView {
    let kind = |placed_milli, waiting_milli, ahead_core_ms, drain_milli| KindLoad {
        placed_milli,
        waiting_milli,
        ahead_core_ms,
        drain_milli,
    };
    let service = ServiceLoad {
        service: "pricing".to_owned(),
        capacity_milli: 640_000,
        largest_worker_milli: 32_000,
        headroom_milli,
        offered_milli_per_s: 1_500,
        plain: kind(410_000, 128_500, 3_500_000, 390_000),
        long_running: kind(200_000, 48_000, 48_000, 2_250),
        best_effort: kind(12_000, 0, 0, 0),
    };
    LoadView { epoch: 7, sequence, may_refuse: true, daemons: 4, services: vec![service] }
}

fn answer(name: &str, held: Option<HeldLoad>) -> DaemonLoad {
    let refused = [("early".to_owned(), 3), ("no_room".to_owned(), 41)].into_iter().collect();
    let load = LoadStatus {
        instance: name.to_owned(),
        held,
        refused,
        returns_accepted: 17,
        returns_refused: 5,
    };
    DaemonLoad { addr: "127.0.0.1:9464".to_owned(), load: Some(load), error: None }
}

fn held(sequence: u64, age_ms: u64, is_old: bool) -> Option<HeldLoad> {
    Some(HeldLoad { view: view(sequence, sequence * 500), age_ms, is_old })
}

/// Guards against a daemon without a usable view that looks like the others, and against figures
/// of an old view where a newer one is known.
#[test]
fn daemons_with_old_and_missing_views_are_told_from_current_ones() {
    let error = Error::new(ErrorKind::Unreachable, "127.0.0.4:9464/v1/load: connection refused");
    let unreachable = DaemonLoad {
        addr: "127.0.0.4:9464".to_owned(),
        load: None,
        error: Some(ErrorBody::from(&error)),
    };
    let answers = [
        answer("entry-0", held(100, 12_400, true)),
        answer("entry-1", held(128, 140, false)),
        answer("entry-2", None),
        unreachable,
    ];
    insta::assert_snapshot!(render(&answers));
}

/// Guards against a table of services that are not known.
#[test]
fn without_any_view_no_services_are_shown() {
    let text = render(&[answer("entry-2", None)]);
    assert!(text.ends_with("no daemon has a view of the load\n"), "{text}");
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("failed to bind a free port");
    let addr = listener.local_addr().expect("failed to read the bound address");
    (listener, addr)
}

/// Serves the load of a daemon until `stop` is cancelled.
async fn serve_load(load: LoadStatus, stop: &CancellationToken) -> SocketAddr {
    let (listener, addr) = listen().await;
    let handler = move |request: hyper::Request<hyper::body::Incoming>| {
        let is_known = request.uri().path() == LOAD_PATH;
        let outcome = match is_known {
            true => Ok(load.clone()),
            false => Err(Error::new(ErrorKind::NotFound, "another path")),
        };
        async move { respond(outcome) }
    };
    tokio::spawn(serve(listener, stop.clone(), handler));
    addr
}

async fn status(addrs: &[SocketAddr], output: &str) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_agatesill"));
    command.args(["status", "--load", "--output", output]);
    for addr in addrs {
        command.args(["--addr", &addr.to_string()]);
    }
    let run = tokio::task::spawn_blocking(move || command.output());
    run.await.expect("the tool was not waited for").expect("failed to start the tool")
}

/// Guards against one stopped daemon that hides what the others know.
#[tokio::test]
async fn all_given_daemons_are_asked_also_beside_one_that_does_not_answer() {
    let stop = CancellationToken::new();
    let _guard = stop.clone().drop_guard();
    let mut addrs = Vec::new();
    for (name, held) in [("entry-0", held(100, 12_400, true)), ("entry-1", held(128, 140, false))] {
        let load = answer(name, held).load.expect("the answer has a load");
        addrs.push(serve_load(load, &stop).await);
    }
    let (closed, closed_addr) = listen().await;
    drop(closed);
    addrs.insert(1, closed_addr);

    let json = status(&addrs, "json").await;
    assert!(json.status.success());
    let answers: Vec<Value> = serde_json::from_slice(&json.stdout).expect("the output is no JSON");
    let addr_of = |answer: &Value| answer["addr"].as_str().map(str::to_owned);
    let asked: Vec<Option<String>> = answers.iter().map(addr_of).collect();
    let given: Vec<Option<String>> = addrs.iter().map(|addr| Some(addr.to_string())).collect();
    assert_eq!(asked, given);
    assert_eq!(answers[0]["load"]["held"]["is_old"], true);
    assert_eq!(answers[1]["error"]["kind"], "unreachable");
    assert_eq!(answers[2]["load"]["held"]["view"]["sequence"], 128);

    let text = status(&addrs, "table").await;
    let text = String::from_utf8_lossy(&text.stdout).into_owned();
    assert!(text.contains("12400 ms (old)") && text.contains("no answer: "), "{text}");
    assert!(text.contains("by view 128 of epoch 7"), "{text}");
    assert_eq!(status(&[closed_addr], "table").await.status.code(), Some(1));
}
