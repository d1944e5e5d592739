//! What callers ask for at all daemons, from the totals that each daemon sends.

use agatesill_policy::admission::{OfferRates, OfferedTotals};

const S: u64 = 1_000_000;

fn totals(milli: u64) -> OfferedTotals {
    OfferedTotals::from([("grid".to_owned(), milli)])
}

/// Guards against a new planner that takes all offers since a daemon's start for recent ones.
#[test]
fn the_first_totals_of_a_daemon_are_no_offers() {
    let mut rates = OfferRates::default();
    rates.reported("a", totals(9_000_000), S);
    assert_eq!(rates.milli_per_s("grid", S), 0);
    rates.reported("a", totals(9_040_000), 2 * S);
    assert_eq!(rates.milli_per_s("grid", 2 * S), 10_000);
}

/// Guards against offers that count twice or not at all when a call or its answer is lost, and against
/// a daemon that begins again at zero.
#[test]
fn repeated_totals_and_restarts_add_nothing() {
    let mut rates = OfferRates::default();
    rates.reported("a", totals(0), S);
    for _ in 0..3 {
        rates.reported("a", totals(40_000), S);
    }
    assert_eq!(rates.milli_per_s("grid", S), 10_000);
    rates.reported("a", totals(8_000), S);
    assert_eq!(rates.milli_per_s("grid", S), 10_000);
    rates.reported("a", totals(48_000), S);
    assert_eq!(rates.milli_per_s("grid", S), 20_000);
}

/// Guards against a rate that outlasts the load.
#[test]
fn offers_are_forgotten_within_seconds() {
    let mut rates = OfferRates::default();
    for daemon in ["a", "b"] {
        rates.reported(daemon, totals(0), S);
        rates.reported(daemon, totals(400_000), S);
    }
    assert_eq!(rates.milli_per_s("grid", S), 200_000);
    assert!(rates.milli_per_s("grid", 13 * S) <= 10_000);
    assert_eq!(rates.milli_per_s("other", S), 0);
}
