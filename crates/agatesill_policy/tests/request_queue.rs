//! The fair queue and the histogram against naive versions.

use agatesill_policy::prelude::*;
use agatesill_policy::request::fair::{FairQueue, Waiting};
use agatesill_policy::request::histogram::Histogram;
use proptest::prelude::*;

fn waiting(ticket: Ticket, tag: u64) -> Waiting {
    let head =
        RequestHead { ticket, service: 0, caller: 0, key: 0, deadline_us: 0, repeatable: true };
    Waiting { head, arrived_us: 0, expires_us: 0, attempts: 0, avoid: None, worst: None, tag }
}

/// The same queue as a plain list in order of arrival.
#[derive(Debug, Default)]
struct Naive(Vec<(u64, Ticket)>);

impl Naive {
    fn pop(&mut self) -> Option<Ticket> {
        let first = self.0.iter().min_by_key(|(tag, _)| *tag).copied()?;
        self.0.retain(|one| *one != first);
        Some(first.1)
    }

    fn evict(&mut self) -> Option<Ticket> {
        let last = self.0.iter().max_by_key(|(tag, _)| *tag).copied()?;
        self.0.retain(|one| *one != last);
        Some(last.1)
    }
}

proptest! {
    #[test]
    fn the_queue_serves_and_evicts_like_a_plain_list(
        steps in prop::collection::vec((0..6u8, 0..20u64), 1..500),
    ) {
        let (mut queue, mut naive) = (FairQueue::default(), Naive::default());
        let mut places = Vec::new();
        for (ticket, (step, tag)) in steps.into_iter().enumerate() {
            let ticket = ticket as u64;
            match step {
                0 => prop_assert_eq!(queue.pop().map(|one| one.head.ticket), naive.pop()),
                1 => prop_assert_eq!(queue.evict(|_| 0).map(|one| one.head.ticket), naive.evict()),
                2 => {
                    if let Some((ticket, place)) = places.pop()
                        && naive.0.iter().any(|one| one.1 == ticket)
                    {
                        naive.0.retain(|one| one.1 != ticket);
                        prop_assert_eq!(queue.take(place).map(|one| one.head.ticket), Some(ticket));
                    }
                }
                _ => {
                    naive.0.push((tag, ticket));
                    places.push((ticket, queue.push(waiting(ticket, tag))));
                }
            }
            prop_assert_eq!(queue.len(), naive.0.len());
        }
    }

    #[test]
    fn quantiles_are_within_a_bucket_of_the_sorted_ones(
        values in prop::collection::vec(100..10_000_000u64, 1..2_000),
        share in 0.01..1.0f64,
    ) {
        let mut histogram = Histogram::default();
        values.iter().for_each(|value| histogram.record(*value));
        let mut sorted = values.clone();
        sorted.sort_unstable();
        let exact = sorted[(sorted.len() as f64 * share).ceil() as usize - 1] as f64;
        let found = histogram.quantile_us(share) as f64;
        prop_assert!(found >= exact * 0.99 && found <= exact * 1.03, "{} for {}", found, exact);
    }
}

#[test]
fn backlogged_callers_are_served_in_turn_whatever_they_ask_for() {
    // Caller 0 puts 40 requests in, then callers 1 to 4 one each: they are served within the
    // first round, not behind the 40.
    let mut queue = FairQueue::default();
    let mut put = |ticket: Ticket, caller: u64| {
        let mut one = waiting(ticket, 0);
        one.head.caller = caller;
        one.head.key = ticket;
        one.tag = queue.tag(&one.head);
        queue.charge(&one.head, 5);
        queue.push(one);
    };
    (0..40).for_each(|ticket| put(ticket, 0));
    (1..5).for_each(|caller| put(40 + caller, caller));
    let served: Vec<u64> = (0..5).filter_map(|_| queue.pop()).map(|one| one.head.caller).collect();
    assert_eq!(served, [0, 1, 2, 3, 4]);
}

#[test]
fn a_low_priority_gets_its_share_and_no_more() {
    // Two callers keep the queue full, one of priority 9 and one of priority 0: ten to one.
    let mut queue = FairQueue::default();
    let mut served = [0u32; 2];
    for ticket in 0..2_200u64 {
        for caller in 0..2u64 {
            let mut one = waiting(ticket * 2 + caller, 0);
            one.head.caller = caller;
            one.head.key = 1_000 + caller;
            one.tag = queue.tag(&one.head);
            queue.charge(&one.head, if caller == 0 { 9 } else { 0 });
            queue.push(one);
        }
        if let Some(one) = queue.pop() {
            queue.begin(one.tag);
            served[one.head.caller as usize] += 1;
        }
    }
    assert!((180..=220).contains(&served[1]), "{served:?}");
}
