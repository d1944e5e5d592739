//! Whom a listener closes when its share is short, with the load patterns that it must withstand.

#![allow(clippy::unwrap_used)] // A failed assumption of a test fails the test.

use std::collections::VecDeque;

use agatesill_policy::connections::{
    CloseReason, ConnectionId, ConnectionLimits, ConnectionTable, ListenerShare, ProcessLimits,
    ProcessUse, Shares,
};

const US_PER_MS: u64 = 1_000;

const US_PER_S: u64 = 1_000_000;

const MIN_BEHIND_US: u64 = 250 * US_PER_MS;

const LIMITS: ConnectionLimits = ConnectionLimits {
    base_bytes: 32 << 10,
    min_behind_us: MIN_BEHIND_US,
    head_timeout_us: 3 * US_PER_S,
    idle_timeout_us: 15 * US_PER_S,
    stall_timeout_us: 10 * US_PER_S,
};

const BODY_BYTES: u64 = 256 << 10;

const DEADLINE_US: u64 = 30 * US_PER_S;

fn table(connections: usize, bytes: u64) -> ConnectionTable {
    ConnectionTable::new(LIMITS, ListenerShare { connections, bytes })
}

fn open(table: &mut ConnectionTable, now_us: u64) -> ConnectionId {
    table.open(now_us).0.unwrap()
}

/// Opens a connection with a body of which `held_bytes` are there.
fn with_body(table: &mut ConnectionTable, held_bytes: u64, now_us: u64) -> ConnectionId {
    let id = open(table, now_us);
    table.received(id, 200, now_us);
    table.body_begun(id, DEADLINE_US, now_us);
    table.received(id, held_bytes, now_us);
    assert!(table.hold(id, held_bytes, now_us).is_granted);
    id
}

/// A crowd that stays shuts ordinary callers out.
#[test]
fn idle_connection_makes_way_for_a_new_one() {
    let mut table = table(3, u64::MAX);
    let crowd: Vec<_> = (0..3).map(|nth| open(&mut table, nth)).collect();
    assert_eq!(table.open(MIN_BEHIND_US / 2), (None, Vec::new()), "nobody is behind yet");
    let (id, closed) = table.open(2 * MIN_BEHIND_US);
    assert!(id.is_some());
    assert_eq!(closed, [crowd[0]], "the one that has been idle for longest");
    assert_eq!(table.len(), 3);
}

/// An ordinary caller whose body arrives steadily loses its connection to one that stopped.
#[test]
fn stopped_body_is_closed_before_one_that_advances() {
    let mut table = table(100, 2 * BODY_BYTES);
    let stopped = with_body(&mut table, BODY_BYTES - 3, 0);
    let steady = with_body(&mut table, 1 << 10, US_PER_S);
    for nth in 1..=40 {
        table.received(steady, 4 << 10, US_PER_S + nth * 50 * US_PER_MS);
    }
    let now_us = 3 * US_PER_S;
    let idle = open(&mut table, 0);
    let admission = table.hold(steady, BODY_BYTES, now_us);
    assert!(admission.is_granted);
    assert_eq!(admission.closed, [stopped]);
    assert!(table.hold(idle, 1, now_us).is_granted, "the idle one is still there");
}

/// A client that sends a byte now and then keeps its room for ever.
#[test]
fn trickling_body_is_behind_although_it_advances() {
    let mut table = table(2, u64::MAX);
    let trickling = with_body(&mut table, 100, 0);
    for nth in 1..=30 {
        table.received(trickling, 1, nth * 100 * US_PER_MS);
    }
    let fresh = open(&mut table, 2_900 * US_PER_MS);
    let (id, closed) = table.open(3 * US_PER_S);
    assert!(id.is_some());
    assert_eq!(closed, [trickling]);
    assert!(table.hold(fresh, 1, 3 * US_PER_S).is_granted);
}

/// A request that this process has not answered yet is cut off, although its client owes nothing.
#[test]
fn request_that_is_served_is_never_closed() {
    let mut table = table(1, u64::MAX);
    let id = open(&mut table, 0);
    table.received(id, 200, 0);
    table.serving(id, 0);
    assert_eq!(table.open(100 * US_PER_S), (None, Vec::new()));
    assert_eq!(table.overdue(100 * US_PER_S), []);
    table.request_ended(id, 100 * US_PER_S);
    assert_eq!(table.open(102 * US_PER_S).1, [id]);
}

/// Room that a connection gave up counts as held, until nobody is admitted any more.
#[test]
fn memory_is_counted_once_and_released() {
    let mut table = table(10, 10 * LIMITS.base_bytes);
    let id = open(&mut table, 0);
    table.received(id, 5_000, 0);
    assert!(table.held_bytes() > LIMITS.base_bytes);
    table.serving(id, 0);
    let large_bytes = 6 * LIMITS.base_bytes + LIMITS.base_bytes / 2;
    assert!(table.hold(id, large_bytes, 0).is_granted, "three quarters of the share");
    assert!(!table.hold(id, large_bytes + 1, 0).is_granted, "more");
    assert_eq!(table.held_bytes(), LIMITS.base_bytes + large_bytes);
    let small: Vec<_> = (0..2).map(|_| open(&mut table, 0)).collect();
    assert_eq!(table.open(0), (None, Vec::new()), "the share is used up");
    small.into_iter().for_each(|id| table.close(id));
    table.request_ended(id, 0);
    assert_eq!(table.held_bytes(), LIMITS.base_bytes);
    table.close(id);
    table.close(id);
    assert_eq!((table.len(), table.held_bytes()), (0, 0));
    assert!(!table.hold(id, 1, 0).is_granted, "a closed connection holds nothing");
}

/// Connections that wait for their clients stay for ever in calm.
#[test]
fn each_stage_has_its_timeout() {
    let mut table = table(10, u64::MAX);
    let idle = open(&mut table, 0);
    let head = open(&mut table, 0);
    table.received(head, 1, 0);
    let body = open(&mut table, 0);
    table.body_begun(body, 2 * US_PER_S, 0);
    let unread = open(&mut table, 0);
    table.serving(unread, 0);
    table.set_stalled(unread, true, 0);
    table.set_stalled(unread, true, 5 * US_PER_S);
    assert_eq!(table.overdue(2 * US_PER_S), []);
    assert_eq!(
        table.overdue(20 * US_PER_S),
        [
            (idle, CloseReason::IdleTimeout),
            (head, CloseReason::HeadTimeout),
            (body, CloseReason::BodyTimeout),
            (unread, CloseReason::StallTimeout),
        ]
    );
    table.set_stalled(unread, false, 20 * US_PER_S);
    assert_eq!(table.overdue(20 * US_PER_S).len(), 3);
}

/// One client of the crowd: an unfinished body, an unfinished head or an idle connection.
fn join_crowd(table: &mut ConnectionTable, nth: u64, now_us: u64) {
    let Some(id) = table.open(now_us).0 else { return };
    match nth % 3 {
        0 => {
            table.body_begun(id, now_us + DEADLINE_US, now_us);
            table.received(id, BODY_BYTES - 3, now_us);
            if !table.hold(id, BODY_BYTES, now_us).is_granted {
                table.close(id);
            }
        }
        1 => drop(table.received(id, 1, now_us)),
        _ => {}
    }
}

/// One try of an ordinary caller; whether it is served.
fn try_once(table: &mut ConnectionTable, now_us: u64) -> bool {
    let Some(id) = table.open(now_us).0 else { return false };
    let is_served = table.received(id, 2_000, now_us).is_granted;
    table.close(id);
    is_served
}

/// Crowds of unfinished bodies, unfinished heads and idle connections come faster than they time out, and
/// ordinary callers are shut out for good. They may need the four retries that they have.
#[test]
fn ordinary_callers_are_served_beside_crowds_that_return() {
    const CALLER_TRIES: u32 = 5;
    const RETRY_STEPS: u64 = 20;
    let share = ListenerShare { connections: 400, bytes: 32 << 20 };
    for clients_per_step in [1, 4, 16, 64] {
        let mut table = ConnectionTable::new(LIMITS, share);
        let (mut waiting, mut failed_tries) = (VecDeque::new(), 0);
        for step in 0..2_000_u64 {
            let now_us = step * 10 * US_PER_MS;
            let arrivals = step * clients_per_step..(step + 1) * clients_per_step;
            let (before, after) = (arrivals.start, arrivals.start + clients_per_step / 2);
            (before..after).for_each(|nth| join_crowd(&mut table, nth, now_us));
            if step % 5 == 0 {
                waiting.push_back((step, 1));
            }
            while let Some((_, tries)) = waiting.front().copied().filter(|(due, _)| *due <= step) {
                waiting.pop_front();
                if !try_once(&mut table, now_us) {
                    failed_tries += 1;
                    assert!(tries < CALLER_TRIES, "caller shut out at step {step}");
                    waiting.push_back((step + RETRY_STEPS, tries + 1));
                }
            }
            (after..arrivals.end).for_each(|nth| join_crowd(&mut table, nth, now_us));
            assert!(table.held_bytes() <= share.bytes && table.len() <= share.connections);
        }
        println!("{clients_per_step} clients each 10 ms: {failed_tries} failed tries");
    }
}

/// Callers take descriptors and memory that the store, peers, workers and operators need.
#[test]
fn shares_of_listeners_leave_what_others_need() {
    let limits = ProcessLimits { memory_bytes: 260 << 20, descriptors: 4_100 };
    for workers in [0, 48, 1_100, 3_000] {
        for own_bytes in [12 << 20, 150 << 20, 250 << 20] {
            let shares = Shares::new(limits, ProcessUse { own_bytes, workers });
            let listeners = [shares.callers, shares.peers, shares.ready, shares.metrics];
            let connections: usize = listeners.iter().map(|share| share.connections).sum();
            assert!(connections + workers.min(1_100) + 200 <= limits.descriptors, "{shares:?}");
            let bytes: u64 = listeners.iter().map(|share| share.bytes).sum();
            assert!(bytes + own_bytes.min(150 << 20) <= limits.memory_bytes, "{shares:?}");
            assert!(shares.callers.connections >= 200 && shares.callers.bytes >= 16 << 20);
        }
    }
}
