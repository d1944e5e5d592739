//! Connections to workers before a planner that does not handle their answers.

#![allow(clippy::unwrap_used)] // A failed assumption of a test fails the test.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use agatesill_platform::{settings, store};
use agatesill_policy::batch::Resources;
use agatesill_policy::fleet::{
    Fleet, FleetBounds, Order, OrderKind, OrderOutcome, TaskKey, TaskRef, WorkerEntry, WorkerIndex,
};
use agatesilld::fleet::daemon_state::DaemonState;
use agatesilld::fleet::metrics::FleetMetrics;
use agatesilld::fleet::planner::{Answer, Event};
use agatesilld::fleet::worker_connections::WorkerConnections;
use support::proxy::{LinkFault, Proxy};
use support::settings::ListenAddrs;
use support::store::FakeStore;
use support::worker::FakeWorker;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

struct Connected {
    daemon: Arc<DaemonState>,
    answers: mpsc::Receiver<Answer>,
    stop: CancellationToken,
    worker: Arc<FakeWorker>,
    link: Proxy,
    index: WorkerIndex,
    connections: WorkerConnections,
}

/// Opens the connections to one worker that answers polls.
async fn connect() -> Connected {
    connect_through(false).await
}

/// Opens the connections to one worker over a link with faults.
async fn connect_over_link() -> Connected {
    connect_through(true).await
}

async fn connect_through(is_over_link: bool) -> Connected {
    let stop = CancellationToken::new();
    let (fake_store, store_addr) = FakeStore::start(&stop).await;
    let worker = FakeWorker::start("w1", &fake_store, &stop).await;
    let link = Proxy::start(worker.addr, &stop).await;
    let addr = if is_over_link { link.addr } else { worker.addr };
    let addrs = ListenAddrs::allocate().await;
    let text = support::settings::daemon("d1", &addrs, store_addr, 0.5);
    let settings = settings::decode(&text).unwrap();
    let metrics = FleetMetrics::new().unwrap();
    let daemon = Arc::new(DaemonState::new(settings, store::store(store_addr), metrics));
    // Only an owner whose ownership was confirmed renews leases.
    daemon.confirmed_us.store(daemon.clock.now_us(), Ordering::Release);
    daemon.lease_horizon_us.store(u64::MAX, Ordering::Release);
    daemon.registry_as_of_us.store(daemon.clock.now_us(), Ordering::Release);
    let bounds =
        FleetBounds { lease_max_ms: 10_000, harm_ms: 5_000, drain_ms: 4_000, stop_grace_ms: 400 };
    let mut fleet = Fleet::new(bounds);
    let index = fleet.worker_listed(entry(&worker.id, addr), daemon.clock.now_us());
    let (sender, answers) = mpsc::channel(1_024);
    let tasks = TaskTracker::new();
    let mut connections = WorkerConnections::new(daemon.clone(), 1, sender, stop.clone(), tasks);
    connections.open(index, fleet.worker(index), false);
    Connected { daemon, answers, stop, worker, link, index, connections }
}

impl Connected {
    /// Sends a start and returns its outcome.
    async fn start_task(&mut self) -> OrderOutcome {
        self.start_task_reporting_lease().await.0
    }

    /// Sends a start and returns its outcome, and when it requested a lease, if it did.
    async fn start_task_reporting_lease(&mut self) -> (OrderOutcome, Option<u64>) {
        self.start_run(1).await
    }

    /// Like [`Connected::start_task_reporting_lease`], for a run of the task.
    async fn start_run(&mut self, run: u32) -> (OrderOutcome, Option<u64>) {
        let task = TaskKey { job: "00000000000000e1".to_owned(), occurrence: 0, step: 0, index: 0 };
        let kind = OrderKind::Start {
            payload: "work".to_owned(),
            saved: String::new(),
            ticket: String::new(),
        };
        self.connections.send(Order {
            worker: self.index,
            task_ref: TaskRef { job: 0, task: 0 },
            task,
            run,
            kind,
            sent_us: 0,
            decided_us: u64::MAX,
        });
        loop {
            let answer = self.answers.recv().await.unwrap();
            if let Event::Answered(_, outcome, requested_us) = answer.event {
                return (outcome, requested_us);
            }
        }
    }

    /// Waits for a poll that is not answered. Returns when it requested a lease, if it did, and when it
    /// was given up.
    async fn unanswered_poll(&mut self) -> (Option<u64>, u64) {
        loop {
            let answer = self.answers.recv().await.unwrap();
            if let Event::Silent(_, requested_us) | Event::ConnectionRefused(_, requested_us) =
                answer.event
            {
                return (requested_us, answer.reported_us);
            }
        }
    }

    /// Waits until the worker has answered a poll that requested a lease and waits for an end.
    async fn wait_for_lease(&mut self) {
        self.wait_until_polled().await;
        self.wait_until_polled().await;
        tokio::time::sleep(Duration::from_millis(100)).await;
    }

    /// Waits until the worker has answered a poll.
    async fn wait_until_polled(&mut self) {
        while !matches!(self.answers.recv().await.unwrap().event, Event::Polled(..)) {}
    }
}

fn entry(id: &str, addr: SocketAddr) -> WorkerEntry {
    WorkerEntry {
        id: id.to_owned(),
        address: addr.to_string(),
        service: "pricing".to_owned(),
        zone: "a".to_owned(),
        rack: String::new(),
        labels: Vec::new(),
        capacity: Resources::default(),
        is_leaving: false,
        leaves_in_ms: 0,
        cold_ms: 0,
        revision: 1,
        started_ms: 0,
    }
}

/// Guards against answers to polls that pile up before a planner that lacks processor time, and
/// against leases that lapse meanwhile.
#[tokio::test]
async fn unhandled_answers_slow_down_polls_but_do_not_stop_them() {
    let Connected { mut answers, stop, connections: _connections, .. } = connect().await;
    let begin = Instant::now();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let elapsed_s = begin.elapsed().as_secs_f64();
    let count = answers.len();
    assert!(count as f64 <= 1.0 + elapsed_s, "{count} answers wait after {elapsed_s} s");
    assert!(count >= 3, "{count} answers wait after {elapsed_s} s");
    while answers.try_recv().is_ok() {}
    stop.cancel();
}

/// Guards against polls that wait although the planner has handled the answer before.
#[tokio::test]
async fn handled_answers_do_not_delay_polls() {
    let Connected { mut answers, stop, connections: _connections, .. } = connect().await;
    let begin = Instant::now();
    for _ in 0..5 {
        drop(answers.recv().await.unwrap());
    }
    // Five polls wait for an end for half a second each, at most.
    assert!(begin.elapsed() < Duration::from_millis(3_500), "{:?}", begin.elapsed());
    stop.cancel();
}

/// Guards against leases of a predecessor that lapse after a takeover: the first poll cannot request
/// a lease, and the second one waits until the planner has handled the first.
#[tokio::test]
async fn first_lease_is_requested_before_the_first_answer_is_handled() {
    let Connected { answers, stop, connections: _connections, .. } = connect().await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(answers.len() >= 2, "{} answers after half a second", answers.len());
    stop.cancel();
}

/// Guards against a start to a terminated worker that counts as one that may have been received.
#[tokio::test]
async fn start_to_a_worker_that_refuses_connections_is_undelivered() {
    let mut connected = connect().await;
    connected.wait_until_polled().await;
    connected.worker.crash();
    assert_eq!(connected.start_task().await, OrderOutcome::Undelivered);
    connected.stop.cancel();
}

/// Guards against a start that may have been received and counts as undelivered.
#[tokio::test]
async fn start_without_a_reply_may_have_been_received() {
    for fault in [LinkFault::Silent, LinkFault::BlocksReplies] {
        let mut connected = connect_over_link().await;
        connected.wait_until_polled().await;
        assert_eq!(connected.start_task().await, OrderOutcome::Done, "{fault:?}");
        connected.link.set(fault);
        assert_eq!(connected.start_task().await, OrderOutcome::Unanswered, "{fault:?}");
        connected.stop.cancel();
    }
}

/// Guards against a start that another incarnation under the worker's identifier carries out: over a new
/// connection, none is sent before the worker's start is known to be the same.
#[tokio::test]
async fn start_is_not_sent_to_a_worker_that_restarted_under_its_identifier() {
    let mut connected = connect().await;
    connected.wait_until_polled().await;
    connected.worker.crash();
    let (id, addr) = (&connected.worker.id, connected.worker.addr);
    let next = FakeWorker::start_at(id, addr, &connected.stop).await;
    assert_eq!(connected.start_task().await, OrderOutcome::OtherIncarnation);
    assert!(next.starts().is_empty());
    connected.stop.cancel();
}

/// Guards against a start that counts as one that may have been received although it was not sent, as its
/// connection could not be verified.
#[tokio::test]
async fn start_over_an_unverified_connection_is_undelivered() {
    for fault in [LinkFault::Silent, LinkFault::BlocksReplies] {
        let mut connected = connect_over_link().await;
        connected.wait_until_polled().await;
        connected.link.set(fault);
        assert_eq!(connected.start_task().await, OrderOutcome::Undelivered, "{fault:?}");
        assert!(connected.worker.starts().is_empty(), "{fault:?}");
        connected.stop.cancel();
    }
}

/// Guards against a start that a worker carried out and that counts as undelivered because its
/// connection was reset.
#[tokio::test]
async fn start_over_a_reset_connection_is_undelivered_only_if_it_was_not_received() {
    let mut connected = connect_over_link().await;
    connected.wait_until_polled().await;
    connected.link.set(LinkFault::Reset);
    let outcome = connected.start_task().await;
    assert!(matches!(outcome, OrderOutcome::Undelivered | OrderOutcome::Unanswered), "{outcome:?}");
    assert!(outcome == OrderOutcome::Unanswered || connected.worker.starts().is_empty());
    connected.stop.cancel();
}

/// Guards against a terminated worker that counts as one that is partitioned.
#[tokio::test]
async fn poll_of_a_worker_that_refuses_connections_reports_it() {
    let mut connected = connect().await;
    connected.wait_until_polled().await;
    connected.worker.crash();
    let refused = async {
        while !matches!(connected.answers.recv().await.unwrap().event, Event::ConnectionRefused(..))
        {
        }
    };
    assert!(tokio::time::timeout(Duration::from_secs(3), refused).await.is_ok());
    connected.stop.cancel();
}

/// Guards against a list of runs that counts as newer than it is: a run that begins while a poll waits may
/// be missing from its answer.
#[tokio::test]
async fn answer_to_a_poll_is_as_old_as_its_sending() {
    let mut connected = connect().await;
    let mut longest_us = 0;
    for _ in 0..4 {
        let answer = connected.answers.recv().await.unwrap();
        if let Event::Polled(_, poll) = &answer.event {
            longest_us = longest_us.max(answer.reported_us - poll.sent_us);
        }
    }
    assert!(longest_us >= 450_000, "a poll waits for half a second: {longest_us} us");
    connected.stop.cancel();
}

/// Guards against a lease that counts as never requested because the poll which renewed it has no answer.
#[tokio::test]
async fn unanswered_poll_reports_the_lease_that_it_requested() {
    for fault in [LinkFault::Silent, LinkFault::BlocksReplies, LinkFault::Reset] {
        let mut connected = connect_over_link().await;
        connected.wait_for_lease().await;
        let before_us = connected.daemon.clock.now_us();
        connected.link.set(fault);
        let (requested_us, reported_us) = connected.unanswered_poll().await;
        let requested_us = requested_us.unwrap_or_else(|| panic!("{fault:?}: no lease reported"));
        let least_us = before_us.min(reported_us) - 700_000;
        assert!(requested_us >= least_us && requested_us <= reported_us, "{fault:?}");
        connected.stop.cancel();
    }
}

/// Guards against the same for a poll that a verification of the connection has cancelled.
#[tokio::test]
async fn cancelled_poll_reports_the_lease_that_it_requested() {
    let mut connected = connect_over_link().await;
    connected.wait_for_lease().await;
    connected.daemon.confirmed_us.store(0, Ordering::Release);
    connected.link.set(LinkFault::BlocksReplies);
    connected.connections.verify(connected.index);
    let (requested_us, _) = connected.unanswered_poll().await;
    assert!(requested_us.is_some());
    connected.stop.cancel();
}

/// Guards against the same for an order.
#[tokio::test]
async fn unanswered_start_reports_the_lease_that_it_requested() {
    let mut connected = connect_over_link().await;
    connected.wait_for_lease().await;
    assert_eq!(connected.start_task().await, OrderOutcome::Done);
    connected.link.set(LinkFault::BlocksReplies);
    let begin_us = connected.daemon.clock.now_us();
    let (outcome, requested_us) = connected.start_task_reporting_lease().await;
    assert_eq!(outcome, OrderOutcome::Unanswered);
    assert!(requested_us.is_some_and(|requested_us| requested_us >= begin_us), "{requested_us:?}");
    connected.stop.cancel();
}

/// Guards against leases that an owner without contact to the store renews for ever, and that its
/// successor does not know of.
#[tokio::test]
async fn owner_that_is_not_confirmed_requests_no_lease() {
    let mut connected = connect_over_link().await;
    connected.wait_for_lease().await;
    connected.daemon.confirmed_us.store(0, Ordering::Release);
    for _ in 0..2 {
        connected.wait_until_polled().await;
    }
    connected.link.set(LinkFault::BlocksReplies);
    let (requested_us, _) = connected.unanswered_poll().await;
    assert_eq!(requested_us, None);
    connected.stop.cancel();
}

/// Guards against a worker whose lease is renewed for ever although no answer of it arrives, so that its
/// tasks never start elsewhere.
#[tokio::test]
async fn worker_that_does_not_answer_gets_no_lease() {
    let mut connected = connect_over_link().await;
    connected.wait_for_lease().await;
    connected.link.set(LinkFault::BlocksReplies);
    assert!(connected.unanswered_poll().await.0.is_some());
    for _ in 0..2 {
        assert_eq!(connected.unanswered_poll().await.0, None);
    }
    connected.stop.cancel();
}

/// Guards against a start of a run that was given up with the lease and begins under the next one: the
/// planner bars it before the worker gets that.
#[tokio::test]
async fn worker_that_returns_after_its_lease_gets_none_before_the_planner_agrees() {
    let mut connected = connect_over_link().await;
    connected.wait_for_lease().await;
    connected.link.set(LinkFault::Silent);
    tokio::time::sleep(Duration::from_millis(6_500)).await;
    connected.link.set(LinkFault::None);
    while connected.answers.try_recv().is_ok() {}
    connected.wait_until_polled().await;
    let (outcome, requested_us) = connected.start_task_reporting_lease().await;
    assert_eq!((outcome, requested_us), (OrderOutcome::Late, None));
    connected.connections.set_may_renew(connected.index, true);
    let (outcome, requested_us) = connected.start_task_reporting_lease().await;
    assert_eq!(outcome, OrderOutcome::Done);
    assert!(requested_us.is_some());
    connected.stop.cancel();
}

/// Guards against stored ends that a reinstated worker lists for as long as it has no newer one.
#[tokio::test]
async fn reopened_connections_acknowledge_the_ends_that_are_stored() {
    let mut connected = connect().await;
    connected.wait_until_polled().await;
    assert_eq!(connected.start_task().await, OrderOutcome::Done);
    let poll = loop {
        let answer = connected.answers.recv().await.unwrap();
        match answer.event {
            Event::Polled(_, poll) if !poll.ended.is_empty() => break poll,
            _ => {}
        }
    };
    let bounds =
        FleetBounds { lease_max_ms: 10_000, harm_ms: 5_000, drain_ms: 4_000, stop_grace_ms: 400 };
    let mut fleet = Fleet::new(bounds);
    let listed = entry(&connected.worker.id, connected.worker.addr);
    let index = fleet.worker_listed(listed, 1);
    fleet.polled(index, &poll, 2);
    let newest = poll.ended.iter().map(|end| end.number).max().unwrap();
    assert_eq!(fleet.acked_end(index), newest, "no state depends on the end of an unknown task");
    connected.connections.close(connected.index);
    while connected.answers.try_recv().is_ok() {}
    connected.connections.open(index, fleet.worker(index), false);
    let acknowledged = async {
        loop {
            match connected.answers.recv().await.unwrap().event {
                Event::Polled(_, poll) if poll.ended.is_empty() => return,
                _ => {}
            }
        }
    };
    let acknowledged = tokio::time::timeout(Duration::from_secs(3), acknowledged).await;
    assert!(acknowledged.is_ok(), "end {newest} is listed for three seconds");
    connected.stop.cancel();
}

/// Guards against a lease at a worker that a successor counts as one without new leases.
#[tokio::test]
async fn withheld_worker_gets_no_lease_until_it_is_resumed() {
    let mut connected = connect().await;
    connected.wait_until_polled().await;
    let (_, requested_us) = connected.start_task_reporting_lease().await;
    let last_us = connected.connections.withhold(connected.index);
    assert!(requested_us.is_some() && last_us >= requested_us, "{requested_us:?}, {last_us:?}");
    for _ in 0..5 {
        let (_, requested_us) = connected.start_task_reporting_lease().await;
        assert_eq!(requested_us, None);
        tokio::time::sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(connected.connections.withhold(connected.index), last_us);
    connected.connections.resume(connected.index);
    assert!(connected.start_task_reporting_lease().await.1.is_some());
    connected.stop.cancel();
}

/// Guards against leases that outlast the time for which a successor waits, while the store does not confirm
/// the planner's records.
#[tokio::test]
async fn leases_end_at_the_horizon_of_the_last_confirmed_record() {
    const HORIZON: Duration = Duration::from_millis(1_500);
    let mut connected = connect().await;
    let horizon_us = connected.daemon.clock.now_us() + HORIZON.as_micros() as u64;
    connected.daemon.lease_horizon_us.store(horizon_us, Ordering::Release);
    connected.wait_until_polled().await;
    assert_eq!(connected.start_run(1).await.0, OrderOutcome::Done);
    tokio::time::sleep(HORIZON + Duration::from_millis(100)).await;
    assert_eq!(connected.start_run(2).await, (OrderOutcome::Late, None));
    connected.stop.cancel();
}
