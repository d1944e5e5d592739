//! Tests of the verdicts over several seeds and of the report.
#![allow(clippy::expect_used, reason = "a test ends on a broken assumption")]

use std::collections::BTreeMap;

use agatesill_bench::report;
use agatesill_bench::result::{Check, PolicyResult, SeedResult, Series};
use agatesill_bench::scenario::{Kind, Scenario};
use agatesill_bench::verdict::verify;

fn seed(seed: u64, value: f64) -> SeedResult {
    let points = vec![(0.0, value), (1.0, value * 2.0)];
    let series = Series {
        plot: "answer time".to_owned(),
        x_label: "time (s)".to_owned(),
        y_label: "answer time (ms)".to_owned(),
        points,
    };
    let policy = |name: &str| PolicyResult {
        policy: name.to_owned(),
        figures: BTreeMap::from([("p99_ms".to_owned(), value)]),
        series: vec![series.clone()],
    };
    SeedResult {
        seed,
        policies: vec![policy("agatesill"), policy("round <robin>")],
        checks: vec![Check::at_most("p99_ms", value, 10.0)],
    }
}

#[test]
fn verdict_requires_median_in_bound_and_every_seed_within_slack() {
    let passed = |values: &[f64]| {
        let results: Vec<SeedResult> =
            values.iter().enumerate().map(|(nth, value)| seed(nth as u64, *value)).collect();
        verify(&results)[0].passed
    };
    assert!(passed(&[9.0, 10.0, 14.9]));
    assert!(!passed(&[9.0, 10.0, 15.1]), "one seed exceeds the bound by more than half");
    assert!(!passed(&[9.0, 10.1, 10.2]), "the median exceeds the bound");
}

#[test]
fn lower_bound_slack_allows_half_more_distance_to_one() {
    assert!(Check::at_least("goodput", 0.93, 0.95).holds_with_slack());
    assert!(!Check::at_least("goodput", 0.92, 0.95).holds_with_slack());
}

#[test]
fn report_page_is_self_contained_and_shows_every_policy() {
    let folder = std::env::temp_dir().join(format!("agatesill-report-{}", std::process::id()));
    let scenario = Scenario {
        name: "sample",
        pattern: "a sample",
        bounds: "p99 <= 10 ms",
        kind: Kind::Virtual(|nth, _| seed(nth, 1.0)),
    };
    let results = [seed(1, 8.0), seed(2, 9.0)];
    report::write(&folder, &scenario, &results, &verify(&results)).expect("the report is written");
    let page = std::fs::read_to_string(folder.join("sample.html")).expect("the page can be read");
    assert!(page.contains("<svg") && page.contains("round &lt;robin&gt;"));
    let outside = page.replace("http://www.w3.org", "");
    assert!(!outside.contains("http://") && !outside.contains("https://"));
    let csv = std::fs::read_to_string(folder.join("sample.csv")).expect("the CSV file can be read");
    assert_eq!(csv.lines().count(), 5);
    std::fs::remove_dir_all(&folder).expect("the folder is removed");
}
