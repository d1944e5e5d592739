//! Tests the tables of `status --load`.

use agatesill::load_table::{DaemonLoad, render};
use agatesill_policy::admission::{KindLoad, LoadView, ServiceLoad};
use agatesill_wire::api::{HeldLoad, LoadStatus};
use agatesill_wire::prelude::*;

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
