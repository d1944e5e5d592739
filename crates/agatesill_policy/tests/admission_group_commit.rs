//! Acceptances of a burst at a daemon whose store is slow or serves few calls a second.

#![allow(clippy::unwrap_used)] // A failed assumption of a test fails the test.

use std::collections::HashMap;

use agatesill_policy::admission::group_commit::{
    Create, CreateOutcome, GroupAnswer, GroupCommit, MAX_GROUP_BYTES, MAX_GROUP_CREATES,
    MAX_GROUPS_IN_FLIGHT, resolve,
};

/// Calls of one daemon in flight if each job has its own.
const SINGLE_CALLS_IN_FLIGHT: usize = 32;

/// Time after which a create that was not sent is withdrawn.
const MAX_WAIT_MS: u64 = 700;

fn create(ticket: u64, bytes: usize, is_urgent: bool, arrived_ms: u64) -> Create {
    let (key, arrived_us) = (format!("in/job/{ticket:016x}"), arrived_ms * 1_000);
    Create { ticket, key, bytes, is_urgent, arrived_us }
}

/// A store that answers each call after a time and serves a number of calls a second.
#[derive(Clone, Copy)]
struct StoreLoad {
    answer_ms: u64,
    calls_per_s: f64,
}

#[derive(Default)]
struct Accepted {
    urgent: usize,
    others: usize,
    calls: usize,
    longest_wait_ms: u64,
}

/// Offers jobs at a rate for `duration_ms`, a third of them urgent, and counts what is stored meanwhile.
fn replay(store: StoreLoad, jobs_per_s: u64, duration_ms: u64) -> Accepted {
    let (mut queue, mut accepted) = (GroupCommit::default(), Accepted::default());
    let mut in_flight: Vec<(u64, Vec<Create>)> = Vec::new();
    let (mut tickets, mut tokens) = (0, 1.0);
    let mut waiting = HashMap::new();
    for now_ms in 0..duration_ms {
        tokens = f64::min(tokens + store.calls_per_s / 1_000.0, 1.0);
        while tickets < jobs_per_s * now_ms / 1_000 {
            tickets += 1;
            if queue.push(create(tickets, 1_200, tickets % 3 == 0, now_ms)) {
                waiting.insert(tickets, now_ms);
            }
        }
        waiting.retain(|ticket, arrived_ms| {
            now_ms - *arrived_ms < MAX_WAIT_MS || !queue.remove(*ticket)
        });
        let (answered, open) = in_flight.into_iter().partition(|(due_ms, _)| *due_ms <= now_ms);
        in_flight = open;
        for (_, group) in answered {
            queue.group_ended();
            let urgent = group.iter().filter(|create| create.is_urgent).count();
            accepted.urgent += urgent;
            accepted.others += group.len() - urgent;
        }
        while tokens >= 1.0 {
            let Some(group) = queue.next_group() else { break };
            (tokens, accepted.calls) = (tokens - 1.0, accepted.calls + 1);
            for create in &group {
                let arrived_ms = waiting.remove(&create.ticket).unwrap();
                accepted.longest_wait_ms = accepted.longest_wait_ms.max(now_ms - arrived_ms);
            }
            in_flight.push((now_ms + store.answer_ms, group));
        }
    }
    accepted
}

impl Accepted {
    fn jobs(&self) -> usize {
        self.urgent + self.others
    }
}

const UNLIMITED: f64 = 1_000_000.0;

/// Guards against callers who are turned away although the store could take their jobs.
#[test]
fn a_store_of_240_ms_takes_five_times_the_acceptances_of_single_calls() {
    let store = StoreLoad { answer_ms: 240, calls_per_s: UNLIMITED };
    let single_per_s = SINGLE_CALLS_IN_FLIGHT as f64 * 1_000.0 / 240.0;
    let accepted = replay(store, 1_500, 10_000);
    assert!(accepted.jobs() as f64 / 10.0 >= 5.0 * single_per_s, "{}", accepted.jobs());
    assert!(accepted.urgent * 3 >= accepted.jobs(), "{} urgent", accepted.urgent);
}

/// Guards against jobs that wait for others while the store is quick.
#[test]
fn with_a_store_of_4_ms_each_job_goes_alone_and_at_once() {
    let store = StoreLoad { answer_ms: 4, calls_per_s: UNLIMITED };
    let accepted = replay(store, 400, 5_000);
    assert_eq!(accepted.longest_wait_ms, 0);
    assert!(accepted.jobs() >= 1_990 && accepted.calls.abs_diff(accepted.jobs()) <= 2);
}

/// Guards against a rate limit that bounds acceptances to a job for each call.
#[test]
fn a_store_of_50_calls_a_second_takes_a_burst_of_500_jobs_a_second() {
    let store = StoreLoad { answer_ms: 4, calls_per_s: 50.0 };
    let accepted = replay(store, 500, 10_000);
    assert!(accepted.jobs() >= 4_900, "{}", accepted.jobs());
    assert!(accepted.calls <= 501 && accepted.longest_wait_ms <= 100);
}

/// Guards against a queue that grows without bound or holds jobs for longer than their callers wait.
#[test]
fn with_a_store_of_2_s_the_wait_is_bounded_and_both_urgencies_are_served() {
    let store = StoreLoad { answer_ms: 2_000, calls_per_s: UNLIMITED };
    let accepted = replay(store, 1_000, 20_000);
    assert!(accepted.longest_wait_ms <= MAX_WAIT_MS);
    assert!(accepted.calls <= 10 * MAX_GROUPS_IN_FLIGHT);
    assert!(accepted.urgent > 0 && accepted.others > 0);
}

/// A queue whose transactions are all in flight, so that what is pushed waits.
fn busy_queue() -> GroupCommit {
    let mut queue = GroupCommit::default();
    for ticket in 0..MAX_GROUPS_IN_FLIGHT as u64 {
        assert!(queue.push(create(1_000_000 + ticket, 10, false, 0)));
        assert_eq!(queue.next_group().unwrap().len(), 1);
    }
    queue
}

fn next_group(queue: &mut GroupCommit) -> Vec<Create> {
    queue.group_ended();
    queue.next_group().unwrap()
}

/// Guards against best-effort jobs that are never accepted while urgent ones arrive, and the reverse.
#[test]
fn urgent_jobs_overtake_and_others_keep_a_quarter() {
    let mut queue = busy_queue();
    for ticket in 0..120 {
        assert!(queue.push(create(ticket, 100, ticket >= 60, 0)));
    }
    assert_eq!(queue.next_group(), None);
    for _ in 0..4 {
        let group = next_group(&mut queue);
        assert_eq!(group.len(), MAX_GROUP_CREATES);
        let urgent = group.iter().filter(|create| create.is_urgent).count();
        assert_eq!(urgent, MAX_GROUP_CREATES * 3 / 4);
    }
}

/// Guards against values that never fit beside others, and against transactions that a slow link does not
/// transfer in time.
#[test]
fn large_values_of_either_urgency_are_sent() {
    let mut queue = busy_queue();
    let is_large = |ticket: u64| ticket % 10 == 0;
    for ticket in 0..40 {
        let bytes = if is_large(ticket) { MAX_GROUP_BYTES + 1 } else { 500 };
        assert!(queue.push(create(ticket, bytes, ticket % 20 < 10, 0)));
    }
    let groups: Vec<_> = (0..12).map(|_| next_group(&mut queue)).take(8).collect();
    for group in &groups {
        let bytes: usize = group.iter().map(|create| create.bytes).sum();
        assert!(group.len() == 1 || bytes <= MAX_GROUP_BYTES);
    }
    let large = groups.iter().flatten().filter(|create| is_large(create.ticket)).count();
    assert_eq!(large, 4);
}

/// Guards against memory that a burst takes while the store does not answer.
#[test]
fn what_waits_is_bounded_in_number_and_bytes() {
    let mut queue = busy_queue();
    let taken = (0..1_000).filter(|ticket| queue.push(create(*ticket, 100, true, 0))).count();
    assert!((100..500).contains(&taken), "{taken}");
    assert!(queue.push(create(2_000, 100, false, 0)), "urgent jobs must not take all places");
    let mut queue = busy_queue();
    let taken = (0..100).filter(|ticket| queue.push(create(*ticket, 100_000, true, 0))).count();
    assert!(taken * 100_000 <= 1_024 * 1_024, "{taken}");
    assert_eq!(queue.take_waiting().len(), taken);
    assert!(queue.push(create(2_000, 100_000, true, 0)), "the bytes must be given back");
}

/// Guards against two requests for one job in one transaction, which would fail or store it twice.
#[test]
fn creates_of_one_key_go_into_different_groups() {
    let mut queue = busy_queue();
    let repeat = Create { ticket: 2, ..create(1, 100, true, 0) };
    let tickets = |group: Vec<Create>| group.iter().map(|c| c.ticket).collect::<Vec<_>>();
    for create in [create(1, 100, true, 0), repeat, create(3, 100, true, 0)] {
        assert!(queue.push(create));
    }
    assert_eq!(tickets(next_group(&mut queue)), [1, 3]);
    assert_eq!(tickets(next_group(&mut queue)), [2]);
}

/// Guards against a caller that goes away and takes the jobs of others with it.
#[test]
fn a_withdrawn_create_is_not_sent_and_the_others_are() {
    let mut queue = busy_queue();
    (0..5).for_each(|ticket| assert!(queue.push(create(ticket, 100, ticket % 2 == 0, 0))));
    assert!(queue.remove(2) && !queue.remove(2));
    let mut tickets: Vec<u64> = next_group(&mut queue).iter().map(|c| c.ticket).collect();
    tickets.sort_unstable();
    assert_eq!(tickets, [0, 1, 3, 4]);
    assert!(!queue.remove(0), "it was sent");
}

fn group(count: u64) -> Vec<Create> {
    (0..count).map(|ticket| create(ticket, 100, false, 0)).collect()
}

/// Outcomes by ticket if the store answers transactions by `answer`, and the number of transactions.
fn outcomes(
    count: u64,
    answer: impl Fn(&[Create]) -> GroupAnswer<'static>,
) -> (Vec<CreateOutcome>, usize) {
    let (mut unsent, mut calls) = (vec![group(count)], 0);
    let mut outcomes = HashMap::new();
    while let Some(group) = unsent.pop() {
        calls += 1;
        let answer = answer(&group);
        let resolution = resolve(group, &answer);
        for (create, outcome) in resolution.answered {
            assert_eq!(outcomes.insert(create.ticket, outcome), None, "answered twice");
        }
        unsent.extend(resolution.resent);
    }
    ((0..count).map(|ticket| outcomes[&ticket]).collect(), calls)
}

/// Guards against one job that the store does not take and that fails all others with it.
#[test]
fn one_bad_entry_fails_alone() {
    let (found, calls) = outcomes(16, |group| {
        let is_bad = group.iter().any(|create| create.ticket == 11);
        if is_bad { GroupAnswer::Rejected } else { GroupAnswer::Applied }
    });
    for (ticket, outcome) in found.iter().enumerate() {
        let is_bad = ticket == 11;
        let expected = if is_bad { CreateOutcome::NotCreated } else { CreateOutcome::Created };
        assert_eq!(*outcome, expected, "{ticket}");
    }
    assert!(calls <= 9, "{calls} calls");
}

/// Guards against a repeated job that keeps the others of its transaction from being stored.
#[test]
fn existing_keys_are_answered_alone_and_the_rest_is_sent_again() {
    let existing: &[&str] = &["in/job/0000000000000002", "in/job/0000000000000005"];
    let (found, calls) = outcomes(8, |group| {
        let is_met = group.iter().all(|create| !existing.contains(&create.key.as_str()));
        if is_met { GroupAnswer::Applied } else { GroupAnswer::Conflict(existing) }
    });
    let conflicts = |ticket: usize| [2, 5].contains(&ticket);
    let expected = (0..8).map(|ticket| match conflicts(ticket) {
        true => CreateOutcome::Conflict,
        false => CreateOutcome::Created,
    });
    assert_eq!((found, calls), (expected.collect(), 2));
}

/// Guards against transactions that are sent for ever while the store names none of their keys.
#[test]
fn conflicts_without_a_reason_end() {
    let (found, calls) = outcomes(16, |_| GroupAnswer::Conflict(&["another/key"]));
    assert!(found.iter().all(|outcome| *outcome == CreateOutcome::Conflict));
    assert!(calls <= 31, "{calls} calls");
}

/// Guards against a job that counts as not stored, or is sent again, although the transaction may take
/// effect later.
#[test]
fn an_unknown_outcome_is_unknown_for_each_and_nothing_is_sent_again() {
    let (found, calls) = outcomes(16, |_| GroupAnswer::Unknown);
    assert_eq!((found, calls), (vec![CreateOutcome::Unknown; 16], 1));
    let (found, calls) = outcomes(16, |_| GroupAnswer::NotServed);
    assert_eq!((found, calls), (vec![CreateOutcome::NotCreated; 16], 1));
}
