//! Order and number of the calls that a planner without enough processor time makes in each turn.

#![allow(clippy::unwrap_used)] // Tests panic on a failed assumption.

use agatesill_policy::fleet::{CallClass, CallQueue, OrderKind, Urgency};

/// Time that one call takes the processor.
const CALL_US: u64 = 60;

/// Time that the calls of a turn should take.
const TURN_US: u64 = 1_000;

/// Calls that are made in each turn, however long they take.
const LEAST_CALLS: u64 = 8;

/// Calls that are made in a turn, in order.
fn turn(queue: &mut CallQueue<(CallClass, u32)>) -> Vec<(CallClass, u32)> {
    let calls: Vec<_> = std::iter::from_fn(|| queue.pop()).collect();
    queue.begin_turn(calls.len() as u64 * CALL_US);
    calls
}

/// A queue that has adapted to the cost of a call, while more calls wait than a turn takes.
fn busy_queue() -> CallQueue<(CallClass, u32)> {
    let mut queue = CallQueue::default();
    for _ in 0..20 {
        (0..600).for_each(|number| queue.push(CallClass::Last, (CallClass::Last, number)));
        turn(&mut queue);
    }
    queue
}

/// Guards against an urgent start that waits behind the calls for all other work.
#[test]
fn urgent_calls_are_made_in_the_next_turn() {
    let mut queue = busy_queue();
    assert!(queue.len() > 5_000);
    queue.push(CallClass::Second, (CallClass::Second, 1));
    queue.push(CallClass::First, (CallClass::First, 2));
    assert_eq!(turn(&mut queue)[..2], [(CallClass::First, 2), (CallClass::Second, 1)]);
}

/// Guards against turns that grow with the calls that wait.
#[test]
fn turn_stays_short_however_much_a_call_costs() {
    for call_us in [10, 60, 200] {
        let mut queue = CallQueue::default();
        let mut turn_us = 0;
        for _ in 0..50 {
            (0..600).for_each(|number| queue.push(CallClass::Last, number));
            let calls = std::iter::from_fn(|| queue.pop()).count() as u64;
            turn_us = calls * call_us;
            queue.begin_turn(turn_us);
        }
        let longest_us = (TURN_US * 5 / 4).max(LEAST_CALLS * call_us);
        assert!(turn_us <= longest_us, "{turn_us} us with calls of {call_us}");
        assert!(turn_us >= TURN_US / 2, "{turn_us} us with calls of {call_us}");
    }
}

/// Guards against workers whose leases are not renewed while urgent work keeps the planner busy.
#[test]
fn urgent_calls_leave_a_part_of_each_turn_to_others() {
    let mut queue = busy_queue();
    (0..10_000).for_each(|number| queue.push(CallClass::First, (CallClass::First, number)));
    for _ in 0..10 {
        let calls = turn(&mut queue);
        let last = calls.iter().filter(|(class, _)| *class == CallClass::Last).count();
        assert!(last * 5 >= calls.len(), "{last} of {} calls", calls.len());
        assert!(last * 2 <= calls.len(), "{last} of {} calls", calls.len());
    }
}

/// Guards against urgent starts that wait behind polls once each poll is overdue.
#[test]
fn overdue_polls_go_after_urgent_calls_and_before_the_rest() {
    let mut queue = busy_queue();
    (0..100).for_each(|number| queue.push(CallClass::Overdue, (CallClass::Overdue, number)));
    queue.push(CallClass::First, (CallClass::First, 0));
    let classes: Vec<CallClass> = turn(&mut queue).iter().map(|(class, _)| *class).collect();
    assert_eq!(classes[0], CallClass::First);
    assert!(classes.len() > 1);
    assert!(classes[1..].iter().all(|class| *class == CallClass::Overdue), "{classes:?}");
}

/// Guards against calls that overtake those of their class.
#[test]
fn calls_that_wait_go_before_new_ones_of_their_class() {
    let mut queue = busy_queue();
    assert!(!queue.try_take(CallClass::Last));
    assert!(queue.try_take(CallClass::First));
}

/// Guards against stops and changes of pace of batch tasks that wait with their starts.
#[test]
fn class_of_an_order_follows_its_effect_and_urgency() {
    let start =
        OrderKind::Start { payload: String::new(), saved: String::new(), ticket: String::new() };
    let of_start = |urgency| CallClass::of_order(&start, urgency);
    assert_eq!(of_start(Urgency::Urgent), CallClass::First);
    assert_eq!(of_start(Urgency::LongRunning), CallClass::Second);
    assert_eq!(of_start(Urgency::Deferrable), CallClass::Last);
    assert_eq!(CallClass::of_order(&OrderKind::Stop, Urgency::Deferrable), CallClass::First);
    let pace = OrderKind::Pace { percent: 0 };
    assert_eq!(CallClass::of_order(&pace, Urgency::Deferrable), CallClass::First);
}
