//! Addresses at which several incarnations are listed.

#![allow(clippy::unwrap_used)] // Tests panic on a failed assumption.

mod fleet_support;

use agatesill_policy::fleet::{WorkerEntry, WorkerIndex, WorkerStanding};
use fleet_support::{Harness, entry};

const FORMER_ADDRESS: &str = "10.0.0.1:80";

const PRESENT_ADDRESS: &str = "10.0.0.2:80";

fn listed(id: &str, address: &str, revision: u64) -> WorkerEntry {
    WorkerEntry { address: address.to_owned(), revision, ..entry(id, "r1-1") }
}

fn standing(harness: &Harness, worker: WorkerIndex) -> WorkerStanding {
    harness.fleet.worker(worker).standing
}

/// Guards against a live incarnation that counts as terminated by an answer of the former one, to a call
/// that was sent before the live one was listed.
#[test]
fn answer_to_a_call_from_before_an_entry_ends_no_incarnation() {
    let mut harness = Harness::new(vec![listed("w1", FORMER_ADDRESS, 10)]);
    let sent_us = harness.now_us;
    harness.advance_ms(5);
    let next = harness.list(listed("w1-next", FORMER_ADDRESS, 20));
    harness.poll_sent(0, sent_us);
    assert_eq!(standing(&harness, next), WorkerStanding::New);
    harness.advance_ms(5);
    let sent_us = harness.now_us;
    harness.poll_sent(0, sent_us);
    assert_eq!(standing(&harness, next), WorkerStanding::Gone, "a later answer decides");
}

/// Guards against a live incarnation that counts as terminated by an answer from an address at which it is
/// not listed any more.
#[test]
fn answer_ends_no_incarnation_that_is_listed_elsewhere_since() {
    let mut harness = Harness::new(vec![listed("w1", FORMER_ADDRESS, 10)]);
    let moved = harness.list(listed("w2", FORMER_ADDRESS, 20));
    harness.list(listed("w2", PRESENT_ADDRESS, 30));
    harness.advance_ms(5);
    let sent_us = harness.now_us;
    harness.poll_sent(0, sent_us);
    assert_eq!(standing(&harness, moved), WorkerStanding::New);
}
