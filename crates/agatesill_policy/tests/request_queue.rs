//! Differential tests of the fair queue and the histogram against simple implementations.

use agatesill_policy::prelude::*;
use agatesill_policy::request::fair_queue::{FairQueue, Waiting};
use agatesill_policy::request::histogram::Histogram;
use proptest::prelude::*;

fn waiting(ticket: Ticket, tag: u64) -> Waiting {
    let head =
        RequestHead { ticket, service: 0, caller: 0, key: 0, deadline_us: 0, repeatable: true };
    Waiting { head, arrived_us: 0, expires_us: 0, attempts: 0, avoid: None, worst: None, tag }
}

/// Reference implementation of the queue: a list of tags and tickets in order of arrival.
#[derive(Debug, Default)]
struct ReferenceQueue(Vec<(u64, Ticket)>);

impl ReferenceQueue {
    fn pop(&mut self) -> Option<Ticket> {
        let first = self.0.iter().min_by_key(|(tag, _)| *tag).copied()?;
        self.0.retain(|request| *request != first);
        Some(first.1)
    }

    fn evict(&mut self) -> Option<Ticket> {
        let last = self.0.iter().max_by_key(|(tag, _)| *tag).copied()?;
        self.0.retain(|request| *request != last);
        Some(last.1)
    }
}

proptest! {
    #[test]
    fn fair_queue_serves_and_evicts_like_a_plain_list(
        steps in prop::collection::vec((0..6u8, 0..20u64), 1..500),
    ) {
        let (mut queue, mut reference) = (FairQueue::default(), ReferenceQueue::default());
        let mut places = Vec::new();
        for (ticket, (step, tag)) in steps.into_iter().enumerate() {
            let ticket = ticket as u64;
            match step {
                0 => prop_assert_eq!(
                    queue.pop().map(|request| request.head.ticket),
                    reference.pop()
                ),
                1 => prop_assert_eq!(
                    queue.evict(|_| 0).map(|request| request.head.ticket),
                    reference.evict()
                ),
                2 => {
                    if let Some((ticket, place)) = places.pop()
                        && reference.0.iter().any(|request| request.1 == ticket)
                    {
                        reference.0.retain(|request| request.1 != ticket);
                        prop_assert_eq!(
                            queue.remove(place).map(|request| request.head.ticket),
                            Some(ticket)
                        );
                    }
                }
                _ => {
                    reference.0.push((tag, ticket));
                    places.push((ticket, queue.push(waiting(ticket, tag))));
                }
            }
            prop_assert_eq!(queue.len(), reference.0.len());
        }
    }

    #[test]
    fn histogram_quantiles_are_within_one_bucket_of_the_exact_ones(
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
fn backlogged_callers_are_served_round_robin_despite_unequal_demand() {
    // Caller 0 queues 40 requests, then callers 1 to 4 queue one each. Theirs must be served in the
    // first round, not after the 40.
    let mut queue = FairQueue::default();
    let mut enqueue = |ticket: Ticket, caller: u64| {
        let mut request = waiting(ticket, 0);
        request.head.caller = caller;
        request.head.key = ticket;
        request.tag = queue.tag(&request.head);
        queue.charge(&request.head, 5);
        queue.push(request);
    };
    (0..40).for_each(|ticket| enqueue(ticket, 0));
    (1..5).for_each(|caller| enqueue(40 + caller, caller));
    let served: Vec<u64> =
        (0..5).filter_map(|_| queue.pop()).map(|request| request.head.caller).collect();
    assert_eq!(served, [0, 1, 2, 3, 4]);
}

#[test]
fn low_priority_caller_gets_exactly_its_weighted_share() {
    // Two callers keep the queue backlogged, one of priority 9 and one of priority 0. Their weights
    // are ten to one.
    let mut queue = FairQueue::default();
    let mut served = [0u32; 2];
    for ticket in 0..2_200u64 {
        for caller in 0..2u64 {
            let mut request = waiting(ticket * 2 + caller, 0);
            request.head.caller = caller;
            request.head.key = 1_000 + caller;
            request.tag = queue.tag(&request.head);
            queue.charge(&request.head, if caller == 0 { 9 } else { 0 });
            queue.push(request);
        }
        if let Some(request) = queue.pop() {
            queue.advance_virtual_time(request.tag);
            served[request.head.caller as usize] += 1;
        }
    }
    assert!((180..=220).contains(&served[1]), "{served:?}");
}
