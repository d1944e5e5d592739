//! Invariants of the request policy under random events, and regression tests for single failures.

use std::collections::{BTreeMap, BTreeSet};

use agatesill_policy::prelude::*;
use proptest::prelude::*;

const SLOTS: u32 = 4;
const SERVICE: ServiceLimits =
    ServiceLimits { promise_us: 200_000, priority: 5, queue_requests: 0 };

fn specs(count: u32) -> Vec<UpstreamSpec> {
    (0..count)
        .map(|id| UpstreamSpec { id, slots: SLOTS, zone: format!("zone-{}", id % 3) })
        .collect()
}

fn policy(seed: u64, upstreams: u32, others: &[&str]) -> RequestPolicy {
    let mut policy = RequestPolicy::new(seed, "entry-0", "zone-0");
    let others: Vec<String> = others.iter().map(|name| (*name).to_owned()).collect();
    policy.set_members(0, &others);
    policy.set_upstreams(0, &specs(upstreams));
    policy.set_service(0, SERVICE);
    policy
}

fn head(ticket: Ticket, caller: u64, repeatable: bool, deadline_us: u64) -> RequestHead {
    RequestHead { ticket, service: 0, caller, key: ticket, deadline_us, repeatable }
}

/// State of each ticket as seen by the caller of the policy; checks every action against it.
#[derive(Debug, Default)]
struct TicketAudit {
    sent: BTreeMap<Ticket, UpstreamId>,
    waiting: BTreeSet<Ticket>,
    ended: BTreeSet<Ticket>,
    may_have_run: BTreeSet<Ticket>,
    non_repeatable: BTreeSet<Ticket>,
}

impl TicketAudit {
    fn arrive(&mut self, ticket: Ticket, repeatable: bool) {
        self.waiting.insert(ticket);
        if !repeatable {
            self.non_repeatable.insert(ticket);
        }
    }

    fn end(&mut self, ticket: Ticket) {
        assert!(self.ended.insert(ticket), "ticket {ticket} ended twice");
        self.waiting.remove(&ticket);
    }

    fn check_actions(&mut self, policy: &RequestPolicy, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            match action {
                Action::Send { ticket, upstream, decision } => {
                    assert!(
                        self.waiting.remove(&ticket),
                        "ticket {ticket} sent while it was not waiting"
                    );
                    let may_run_twice = self.may_have_run.contains(&ticket)
                        && self.non_repeatable.contains(&ticket);
                    assert!(!may_run_twice, "ticket {ticket} may run twice");
                    let max_in_flight = match decision.choice {
                        Choice::OwnSlot => decision.share,
                        Choice::Probe => decision.share.max(1),
                        // Only a daemon that owns no usable slot may borrow one.
                        Choice::Borrowed => SLOTS,
                    };
                    assert!(decision.in_flight <= max_in_flight, "{decision:?}");
                    self.sent.insert(ticket, upstream);
                }
                Action::Refuse { ticket, .. } => {
                    assert!(
                        !self.may_have_run.contains(&ticket),
                        "ticket {ticket} refused as not run, but it may have run"
                    );
                    self.end(ticket);
                }
                Action::GiveUp { ticket, outcome, .. } => {
                    let claims_not_run = outcome != Outcome::Broken;
                    let ran = self.may_have_run.contains(&ticket);
                    assert!(
                        !(claims_not_run && ran),
                        "ticket {ticket} given up as {outcome:?}, but it may have run"
                    );
                    self.end(ticket);
                }
            }
        }
        let shares: BTreeMap<UpstreamId, u32> = policy.local_share().collect();
        let mut held: BTreeMap<UpstreamId, u32> = BTreeMap::new();
        self.sent.values().for_each(|upstream| *held.entry(*upstream).or_default() += 1);
        for (upstream, in_flight) in policy.local_load() {
            assert_eq!(in_flight, held.get(&upstream).copied().unwrap_or(0), "at {upstream}");
            assert!(shares[&upstream] <= SLOTS);
        }
        assert_eq!(policy.waiting(), self.waiting.len());
    }

    fn finish(&mut self, ticket: Ticket, outcome: Outcome) {
        self.sent.remove(&ticket);
        match outcome {
            Outcome::Answered | Outcome::Abandoned => self.end(ticket),
            Outcome::Broken => {
                self.may_have_run.insert(ticket);
                self.waiting.insert(ticket);
            }
            Outcome::Refused | Outcome::NotSent => {
                self.waiting.insert(ticket);
            }
        }
    }
}

#[derive(Clone, Debug)]
enum Step {
    Arrive { caller: u64, repeatable: bool, timeout_ms: u64 },
    Finish { nth: usize, outcome: Outcome },
    Wait { ms: u64 },
    Leaving { upstream: UpstreamId },
    RelistUpstreams,
    PeerTerminated,
    PeerRecovered { load: u32 },
}

fn outcome() -> impl Strategy<Value = Outcome> {
    prop_oneof![
        6 => Just(Outcome::Answered),
        1 => Just(Outcome::Refused),
        1 => Just(Outcome::NotSent),
        2 => Just(Outcome::Broken),
        1 => Just(Outcome::Abandoned),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0..4u64, any::<bool>(), 1..500u64).prop_map(|(caller, repeatable, timeout_ms)| {
            Step::Arrive { caller, repeatable, timeout_ms }
        }),
        10 => (0..64usize, outcome()).prop_map(|(nth, outcome)| Step::Finish { nth, outcome }),
        4 => (0..60u64).prop_map(|ms| Step::Wait { ms }),
        1 => (0..5u32).prop_map(|upstream| Step::Leaving { upstream }),
        1 => Just(Step::RelistUpstreams),
        1 => Just(Step::PeerTerminated),
        1 => (0..4u32).prop_map(|load| Step::PeerRecovered { load }),
    ]
}

fn run(steps: &[Step], seed: u64) -> Vec<String> {
    let mut policy = policy(seed, 5, &["entry-1", "entry-2"]);
    let mut audit = TicketAudit::default();
    let (mut now_us, mut ticket, mut actions) = (0, 0, Vec::new());
    let mut seen = Vec::new();
    for step in steps {
        match step {
            Step::Arrive { caller, repeatable, timeout_ms } => {
                ticket += 1;
                audit.arrive(ticket, *repeatable);
                let head = head(ticket, *caller, *repeatable, now_us + timeout_ms * 1_000);
                policy.arrive(now_us, head, &mut actions);
            }
            Step::Finish { nth, outcome } => {
                let count = audit.sent.len().max(1);
                if let Some(ticket) = audit.sent.keys().nth(nth % count).copied() {
                    audit.finish(ticket, *outcome);
                    policy.finish(now_us, ticket, *outcome, &mut actions);
                }
            }
            Step::Wait { ms } => {
                now_us += ms * 1_000;
                policy.tick(now_us, &mut actions);
            }
            Step::Leaving { upstream } => policy.upstream_leaving(now_us, *upstream),
            Step::RelistUpstreams => policy.set_upstreams(now_us, &specs(5)),
            Step::PeerTerminated => policy.peer_terminated(now_us, "entry-1"),
            Step::PeerRecovered { load } => {
                policy.update_peer_loads(now_us, "entry-1", 0, &[(0, *load)])
            }
        }
        seen.extend(actions.iter().map(|action| format!("{action:?}")));
        audit.check_actions(&policy, &mut actions);
    }
    // Each waiting request must end by the passage of time alone.
    policy.tick(now_us + 10_000_000, &mut actions);
    audit.check_actions(&policy, &mut actions);
    assert!(audit.waiting.is_empty(), "still waiting: {:?}", audit.waiting);
    seen
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn each_ticket_ends_once_and_non_repeatable_requests_run_at_most_once(
        steps in prop::collection::vec(step(), 1..400),
        seed in 0..1_000u64,
    ) {
        run(&steps, seed);
    }

    #[test]
    fn same_seed_and_events_produce_same_actions(
        steps in prop::collection::vec(step(), 1..200),
        seed in 0..1_000u64,
    ) {
        prop_assert_eq!(run(&steps, seed), run(&steps, seed));
    }
}

#[test]
fn non_repeatable_request_is_not_retried_after_a_broken_exchange() {
    // The connection breaks after the first bytes of a non-repeatable request were sent. A retry at
    // another upstream could run the request twice. The caller must get the outcome `Broken`, which
    // reports the result as unknown.
    for seed in 0..50 {
        let mut policy = policy(seed, 5, &[]);
        let mut actions = Vec::new();
        policy.arrive(0, head(1, 7, false, 1_000_000), &mut actions);
        assert!(matches!(actions.pop(), Some(Action::Send { ticket: 1, .. })));
        policy.finish(1_000, 1, Outcome::Broken, &mut actions);
        assert!(
            matches!(
                actions.as_slice(),
                [Action::GiveUp { ticket: 1, outcome: Outcome::Broken, .. }]
            ),
            "{actions:?}"
        );
    }
}

#[test]
fn broken_attempt_is_reported_although_a_later_attempt_was_not_sent() {
    // The connection of the first attempt breaks, and the retry finds a closed port. If only the
    // last attempt counted, the request would be reported as not run, and the caller would repeat a
    // request that may have run.
    let mut policy = policy(1, 5, &[]);
    let mut actions = Vec::new();
    policy.arrive(0, head(1, 7, true, 1_000_000), &mut actions);
    policy.finish(1_000, 1, Outcome::Broken, &mut actions);
    let mut last = None;
    for now_us in [2_000, 3_000] {
        policy.finish(now_us, 1, Outcome::NotSent, &mut actions);
        last = actions.last().cloned();
    }
    assert!(matches!(last, Some(Action::GiveUp { outcome: Outcome::Broken, .. })), "{last:?}");
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_immediately() {
    let mut policy = policy(1, 1, &[]);
    let mut actions = Vec::new();
    policy.arrive(0, head(1, 7, true, 1_000), &mut actions);
    assert!(
        matches!(actions.as_slice(), [Action::Refuse { refusal: Refusal::TooLate, .. }]),
        "{actions:?}"
    );
}

#[test]
fn leaving_upstream_receives_no_requests_until_it_is_listed_again() {
    // An upstream drains for a restart and closes its connections, but the platform lists it for
    // some seconds more. Requests sent to it in that time would be lost when it stops.
    let mut policy = policy(1, 2, &[]);
    let mut actions = Vec::new();
    policy.upstream_leaving(0, 0);
    for ticket in 1..=4 {
        policy.arrive(0, head(ticket, ticket, true, 1_000_000), &mut actions);
    }
    let sent_upstreams = |actions: &[Action]| {
        actions
            .iter()
            .filter_map(|action| match action {
                Action::Send { upstream, .. } => Some(*upstream),
                _ => None,
            })
            .collect::<Vec<_>>()
    };
    assert_eq!(sent_upstreams(&actions), vec![1; 4]);
    actions.clear();
    policy.set_upstreams(1, &specs(2));
    policy.arrive(1, head(5, 5, true, 1_000_000), &mut actions);
    assert_eq!(sent_upstreams(&actions), vec![0]);
}

#[test]
fn waiting_requests_are_refused_immediately_if_no_upstream_remains() {
    // All upstreams of a pool terminate while requests wait. If the requests waited until their
    // deadlines, their callers would get the certain refusal only after seconds.
    let mut policy = policy(1, 1, &[]);
    let mut actions = Vec::new();
    for ticket in 1..=6 {
        policy.arrive(0, head(ticket, ticket, true, 9_000_000), &mut actions);
    }
    assert_eq!(policy.waiting(), 2);
    actions.clear();
    policy.upstream_leaving(1_000, 0);
    policy.tick(1_000, &mut actions);
    assert_eq!(policy.waiting(), 0);
    let refused = |action: &Action| {
        matches!(action, Action::Refuse { refusal: Refusal::NoUpstream, retry_after_ms, .. }
            if *retry_after_ms > 0)
    };
    assert!(actions.len() == 2 && actions.iter().all(refused), "{actions:?}");
}

#[test]
fn full_queue_evicts_requests_of_the_hot_caller_first() {
    // One caller floods the queue. Another caller's single request must neither be refused nor wait
    // behind all requests of the first caller.
    let mut policy = policy(1, 1, &[]);
    let mut actions = Vec::new();
    for ticket in 1..=60 {
        policy.arrive(0, head(ticket, 1, true, 9_000_000), &mut actions);
    }
    actions.clear();
    policy.arrive(0, head(100, 2, true, 9_000_000), &mut actions);
    assert!(matches!(actions.as_slice(), [Action::Refuse { ticket: 5..=60, .. }]), "{actions:?}");
    actions.clear();
    let first_ticket = 1;
    policy.finish(1_000, first_ticket, Outcome::Answered, &mut actions);
    let next = actions.iter().position(|action| matches!(action, Action::Send { ticket: 100, .. }));
    assert_eq!(next, Some(0), "{actions:?}");
}

#[test]
#[should_panic(expected = "may run twice")]
fn audit_detects_a_second_send_of_a_non_repeatable_request() {
    // Verifies that the audit detects a faulty policy: the test injects the second attempt that a
    // wrong retry rule would make.
    let mut policy = policy(1, 5, &[]);
    let mut audit = TicketAudit::default();
    let mut actions = Vec::new();
    audit.arrive(1, false);
    policy.arrive(0, head(1, 7, false, 1_000_000), &mut actions);
    let again = actions[0].clone();
    audit.check_actions(&policy, &mut actions);
    audit.finish(1, Outcome::Broken);
    policy.finish(1_000, 1, Outcome::Broken, &mut actions);
    audit.check_actions(&policy, &mut vec![again]);
}
