//! The decision allocates nothing once its tables have grown.
#![allow(unsafe_code, reason = "a counting allocator can't be written without it")]

use std::alloc::{GlobalAlloc, Layout, System};
use std::cell::Cell;

use agatesill_policy::prelude::*;

thread_local! {
    static ALLOCATIONS: Cell<u64> = const { Cell::new(0) };
}

struct Counting;

// SAFETY: every call is handed to the system's allocator unchanged; counting touches only a
// constant-initialised thread-local cell, which itself allocates nothing.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let _ = ALLOCATIONS.try_with(|count| count.set(count.get() + 1));
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, block: *mut u8, layout: Layout) {
        unsafe { System.dealloc(block, layout) }
    }
}

#[global_allocator]
static COUNTING: Counting = Counting;

const UPSTREAMS: u32 = 50;
const SLOTS: u32 = 8;

/// Arrivals and answers in turn, with `ahead` more requests than answers throughout.
fn rounds(policy: &mut RequestPolicy, actions: &mut Vec<Action>, from: u64, ahead: u64) {
    for ticket in from..from + 20_000 {
        let now_us = ticket * 100;
        let (caller, key) = (ticket % 20, ticket % 7);
        let deadline_us = now_us + 9_000_000;
        let head = RequestHead { ticket, service: 0, caller, key, deadline_us, repeatable: true };
        policy.arrive(now_us, head, actions);
        if ticket >= ahead {
            policy.finish(now_us, ticket - ahead, Outcome::Answered, actions);
        }
        actions.clear();
    }
}

#[test]
fn deciding_allocates_nothing_with_and_without_a_queue() {
    for ahead in [200, u64::from(UPSTREAMS * SLOTS) + 20] {
        let mut policy = RequestPolicy::new(1, "entry-0", "zone-0");
        let spec = |id| UpstreamSpec { id, slots: SLOTS, zone: "zone-0".to_owned() };
        policy.set_upstreams(0, &(0..UPSTREAMS).map(spec).collect::<Vec<_>>());
        let mut actions = Vec::with_capacity(1_024);
        rounds(&mut policy, &mut actions, 0, ahead);
        let before = ALLOCATIONS.with(Cell::get);
        rounds(&mut policy, &mut actions, 20_000, ahead);
        assert_eq!(ALLOCATIONS.with(Cell::get) - before, 0, "{ahead} ahead");
    }
}
