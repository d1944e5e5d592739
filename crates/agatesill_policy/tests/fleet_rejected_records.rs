//! Records that the store rejects.

mod fleet_support;

use agatesill_policy::fleet::{JobPhase, JobSpec, JobWrite, Step};
use fleet_support::{Harness, MS, entry, job, step};

fn two_workers(step: Step) -> Harness {
    let mut harness = Harness::new(vec![entry("w1", "r1-1"), entry("w22", "r1-1")]);
    harness.fleet.accept(job("price", vec![step]), harness.now_us);
    harness
}

/// Guards against one record that the store rejects, and with it all records that are written in
/// the same transaction.
#[test]
fn one_record_that_is_never_stored_does_not_hold_back_others() {
    let mut harness = two_workers(step(1));
    harness.fleet.accept(job("bill", vec![step(1)]), harness.now_us);
    harness.fleet.plan(harness.now_us, harness.now_us / MS);
    for _ in 0..40 {
        harness.advance_ms(300);
        loop {
            let writes = harness.fleet.take_writes(31, harness.now_us);
            if writes.is_empty() {
                break;
            }
            if writes.iter().any(|write| write.job == "price") {
                let now_us = harness.now_us;
                writes.iter().for_each(|write| harness.fleet.not_committed(write, now_us));
                break;
            }
            let now_us = harness.now_us;
            writes.iter().for_each(|write| harness.fleet.committed(write, 7, now_us));
        }
        if harness.fleet.take_orders().iter().any(|order| order.task.job == "bill") {
            return;
        }
    }
    panic!("the start of another job was never ordered");
}

/// Maximum number of entries in a transaction.
const MAX_ENTRIES: usize = 31;

/// Maximum number of transactions in flight.
const MAX_TRANSACTIONS: usize = 4;

/// Time until a transaction is answered.
const ANSWER_MS: u64 = 50;

/// Plans, and writes as many transactions as may be in flight. Those with the record of a job that
/// `is_rejected` returns true for fail. Returns the jobs of each transaction.
fn write(harness: &mut Harness, is_rejected: impl Fn(&str) -> bool) -> Vec<Vec<String>> {
    harness.fleet.plan(harness.now_us, harness.now_us / MS);
    let mut transactions = Vec::new();
    while transactions.len() < MAX_TRANSACTIONS {
        let writes = harness.fleet.take_writes(MAX_ENTRIES, harness.now_us);
        if writes.is_empty() {
            break;
        }
        transactions.push(writes);
    }
    harness.advance_ms(ANSWER_MS);
    let now_us = harness.now_us;
    for writes in &transactions {
        let fails = writes.iter().any(|write| is_rejected(&write.job));
        for write in writes {
            match fails {
                true => harness.fleet.not_committed(write, now_us),
                false => harness.fleet.committed(write, 7, now_us),
            }
        }
    }
    let jobs = |writes: Vec<JobWrite>| writes.into_iter().map(|write| write.job).collect();
    transactions.into_iter().map(jobs).collect()
}

/// A job of one task that needs nearly no capacity.
fn small_job(id: &str) -> JobSpec {
    let mut small = step(1);
    small.need.cpu_milli = 1;
    small.need.memory_mb = 1;
    job(id, vec![small])
}

/// Jobs whose starts have been ordered since the last call.
fn started(harness: &mut Harness) -> Vec<String> {
    harness.fleet.take_orders().into_iter().map(|order| order.task.job).collect()
}

/// Guards against capacity that is held by choices whose record is never stored.
#[test]
fn job_whose_record_is_rejected_holds_no_capacity() {
    let mut harness = two_workers(step(32));
    for round in 0..100 {
        harness.fleet.accept(small_job(&format!("tick-{round}")), harness.now_us);
        if round == 10 {
            harness.fleet.accept(job("bill", vec![step(32)]), harness.now_us);
        }
        write(&mut harness, |job| job == "price");
        let started = started(&mut harness);
        assert!(started.iter().all(|job| job != "price"), "a start follows its record");
        if started.iter().any(|job| job == "bill") {
            return;
        }
    }
    panic!("the start of another job was never ordered");
}

/// Guards against a job that is given up because the store rejected its record for a while.
#[test]
fn job_whose_record_is_accepted_after_all_starts() {
    let mut harness = two_workers(step(32));
    let accepted_us = harness.now_us + 10_000 * MS;
    for round in 0..300 {
        harness.fleet.accept(small_job(&format!("tick-{round}")), harness.now_us);
        let is_rejecting = harness.now_us < accepted_us;
        write(&mut harness, |job| is_rejecting && job == "price");
        assert_eq!(harness.fleet.state_of("price"), Some((JobPhase::Active, false)));
        if started(&mut harness).iter().any(|job| job == "price") {
            let delay_ms = (harness.now_us - accepted_us) / MS;
            assert!(delay_ms < 2_500, "started {delay_ms} ms after its record was accepted");
            return;
        }
    }
    panic!("the start was never ordered");
}

/// Guards against transactions that are spent on rejected records while others wait.
#[test]
fn rejected_records_take_few_of_the_transactions() {
    let is_rejected = |job: &str| job.starts_with("bad");
    let mut harness = two_workers(step(1));
    (0..20).for_each(|number| {
        harness.fleet.accept(small_job(&format!("bad-{number}")), harness.now_us);
    });
    let mut attempts = 0;
    for round in 0..400 {
        let id = format!("good-{round}");
        harness.fleet.accept(small_job(&id), harness.now_us);
        let accepted_us = harness.now_us;
        let transactions = write(&mut harness, is_rejected);
        let with_rejected = |jobs: &&Vec<String>| jobs.iter().any(|job| is_rejected(job));
        let rejected: Vec<&Vec<String>> = transactions.iter().filter(with_rejected).collect();
        if round >= 100 {
            attempts += rejected.len();
            assert!(rejected.len() <= 1, "{transactions:?}");
            assert!(rejected.iter().all(|jobs| jobs.len() == 1), "{transactions:?}");
            while !started(&mut harness).contains(&id) {
                write(&mut harness, is_rejected);
                assert!(harness.now_us - accepted_us < 500 * MS, "{id} waits");
            }
        }
    }
    assert!((20..=300).contains(&attempts), "{attempts} attempts");
}

/// Guards against records that are written one by one after the store was unavailable.
#[test]
fn records_are_batched_again_after_an_outage() {
    let mut harness = two_workers(step(1));
    (0..500).for_each(|number| {
        harness.fleet.accept(small_job(&format!("job-{number}")), harness.now_us);
    });
    let returns_us = harness.now_us + 3_000 * MS;
    while harness.now_us < returns_us {
        write(&mut harness, |_| true);
    }
    let mut transactions = Vec::new();
    for _ in 0..20 {
        transactions.extend(write(&mut harness, |_| false));
    }
    let records: usize = transactions.iter().map(Vec::len).sum();
    assert_eq!(records, 501);
    assert!(transactions.len() <= 44, "{} transactions, 34 are needed", transactions.len());
}

/// Guards against records that are split because an attempt found that an earlier one had taken
/// effect.
#[test]
fn records_stay_together_after_a_conflict() {
    let mut harness = two_workers(step(1));
    (0..10).for_each(|number| {
        harness.fleet.accept(small_job(&format!("job-{number}")), harness.now_us);
    });
    harness.fleet.plan(harness.now_us, harness.now_us / MS);
    let mut writes = harness.fleet.take_writes(MAX_ENTRIES, harness.now_us);
    assert_eq!(writes.len(), 11);
    writes[3].revision = 5;
    harness.advance_ms(ANSWER_MS);
    let now_us = harness.now_us;
    writes.iter().for_each(|write| harness.fleet.conflicted(write, now_us));
    let again = harness.fleet.take_writes(MAX_ENTRIES, now_us);
    assert_eq!(again.len(), 11);
    assert_eq!(again.iter().filter(|write| write.revision == 5).count(), 1);
}

/// Guards against starts that wait because of single answers of the store that were lost.
#[test]
fn records_that_failed_once_are_retried_at_once() {
    let mut harness = two_workers(step(1));
    write(&mut harness, |_| false);
    let mut taken = Vec::new();
    for id in ["lost-1", "lost-2", "stored"] {
        harness.fleet.accept(small_job(id), harness.now_us);
        harness.fleet.plan(harness.now_us, harness.now_us / MS);
        taken.extend(harness.fleet.take_writes(MAX_ENTRIES, harness.now_us));
    }
    assert_eq!(taken.len(), 3);
    harness.advance_ms(ANSWER_MS);
    harness.fleet.committed(&taken[2], 7, harness.now_us);
    harness.advance_ms(ANSWER_MS);
    taken[..2].iter().for_each(|write| harness.fleet.not_committed(write, harness.now_us));
    let again = write(&mut harness, |_| false).concat();
    assert_eq!(again, ["lost-1", "lost-2"]);
}
