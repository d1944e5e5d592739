//! Requests cause no allocations once the tables of the policy have grown.
#![allow(unsafe_code, reason = "a counting allocator can't be written without it")]

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

use agatesill_policy::prelude::*;

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

struct CountingAllocator;

// SAFETY: every call is forwarded unchanged to the system allocator. The counter is a
// constant-initialised thread-local cell, so counting does not allocate.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let _ = ALLOCATIONS.try_with(|count| count.set(count.get() + 1));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        unsafe { System.dealloc(block, layout) }
    }
}

#[global_allocator]
static GLOBAL_ALLOCATOR: CountingAllocator = CountingAllocator;

const UPSTREAMS: u32 = 50;
const SLOTS: u32 = 8;

/// Alternates arrivals and responses, with `in_flight` requests outstanding throughout.
fn rounds(
    policy: &mut RequestPolicy,
    actions: &mut Vec<Action>,
    first_ticket: u64,
    in_flight: u64,
) {
    for ticket in first_ticket..first_ticket + 20_000 {
        let now_us = ticket * 100;
        let (caller, key) = (ticket % 20, ticket % 7);
        let deadline_us = now_us + 9_000_000;
        let head = RequestHead { ticket, service: 0, caller, key, deadline_us, repeatable: true };
        policy.arrive(now_us, head, actions);
        if ticket >= in_flight {
            policy.finish(now_us, ticket - in_flight, Outcome::Answered, actions);
        }
        actions.clear();
    }
}

#[test]
fn steady_state_does_not_allocate_with_or_without_a_queue() {
    for in_flight in [200, u64::from(UPSTREAMS * SLOTS) + 20] {
        let mut policy = RequestPolicy::new(1, "entry-0", "zone-0");
        let spec = |id| UpstreamSpec { id, slots: SLOTS, zone: "zone-0".to_owned() };
        policy.set_upstreams(0, &(0..UPSTREAMS).map(spec).collect::<Vec<_>>());
        let mut actions = Vec::with_capacity(1_024);
        rounds(&mut policy, &mut actions, 0, in_flight);
        let before = ALLOCATIONS.with(Cell::get);
        rounds(&mut policy, &mut actions, 20_000, in_flight);
        assert_eq!(ALLOCATIONS.with(Cell::get) - before, 0, "{in_flight} requests in flight");
    }
}
