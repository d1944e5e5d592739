//! Workers that are lost for good while the planner changes, under virtual time.

mod fleet_support;

use agatesill_policy::fleet::{
    JobSpec, LEASE_HORIZON_MS, LeaseRecord, ORPHAN_MS, OrderKind, Poll, SeenLeaseRecord,
    SilentWorker, Step, Tenure, WorkerEntry, WorkerIndex, WorkerStanding,
};
use fleet_support::{Harness, MS, entry, job, step};

/// Time without a run after the death of a worker, while planners are restarted as planned.
const MAX_AWAY_PLANNED_MS: u64 = 7_000;

/// The same while planners are killed or never come back.
const MAX_AWAY_UNPLANNED_MS: u64 = 10_000;

/// Time after which a call to the lost worker counts as unanswered.
const POLL_TIMEOUT_MS: u64 = 1_200;

/// Time after which a new planner records the workers that have not answered.
const FIRST_ANSWERS_MS: u64 = 100;

/// Time between two writes of the record that a successor reads.
const RECORD_INTERVAL_MS: u64 = 1_000;

const TICK_MS: u64 = 50;

/// Time from the request of a lease until it has ended at a worker with a slow clock.
const LEASE_END_MS: u64 = 5_400;

/// Time for which a call may be in flight.
const LEASE_SLACK_MS: u64 = 300;

/// How the planner changes.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    /// It hands over as planned.
    Planned,
    /// It is killed and back at once.
    Killed,
    /// It is gone for good, and can't be asked whether it has stopped.
    Gone,
}

impl Change {
    /// Time until the successor has taken over.
    fn takeover_ms(self) -> u64 {
        match self {
            Change::Planned => 200,
            Change::Killed => 700,
            Change::Gone => 2_200,
        }
    }
}

/// A worker that is lost, one that answers, and the planners that follow one another.
struct Series {
    harness: Harness,
    spec: JobSpec,
    lost: WorkerEntry,
    healthy: WorkerEntry,
    /// The record as it is stored, and when it was stored.
    stored: (LeaseRecord, u64),
    epoch: u64,
}

impl Series {
    fn start() -> Self {
        let entries = [entry("w1", "r1-1"), entry("w22", "r1-1")];
        let mut harness = Harness::new(entries.to_vec());
        let spec = job("j", vec![Step { is_lasting: true, ..step(1) }]);
        harness.fleet.accept(spec.clone(), harness.now_us);
        harness.settle();
        let (index, ..) = harness.present("j").remove(0);
        let lost = harness.fleet.worker(index).entry.clone();
        let [first, second] = entries;
        let healthy = if lost.id == first.id { second } else { first };
        for _ in 0..6 {
            harness.advance_ms(500);
            harness.poll_all();
        }
        let stored =
            (harness.fleet.lease_record(1, Tenure::Renewing, harness.now_us), harness.now_us);
        harness.fleet.worker_unlisted(&lost.id);
        Self { harness, spec, lost, healthy, stored, epoch: 1 }
    }

    fn index_of(&self, id: &str) -> Option<WorkerIndex> {
        let mut workers = self.harness.fleet.live_workers();
        workers.find(|(_, worker)| worker.entry.id == id).map(|(index, _)| index)
    }

    /// Stores the record, which names workers that have not answered.
    fn store_record(&mut self, tenure: Tenure) {
        let now_us = self.harness.now_us;
        for index in self.harness.fleet.workers_to_withhold(true) {
            self.harness.fleet.withhold(index, None);
        }
        self.stored = (self.harness.fleet.lease_record(self.epoch, tenure, now_us), now_us);
        self.harness.fleet.lease_record_stored(&self.stored.0);
    }

    /// Ends this planner. Its successor takes over some time later.
    fn change(&mut self, change: Change) {
        if change == Change::Planned {
            self.store_record(Tenure::Stopped);
        }
        self.harness.commit();
        self.harness.advance_ms(change.takeover_ms());
        let (record, seen_us) = self.stored.clone();
        let orphan_ms = if change == Change::Gone { ORPHAN_MS } else { 0 };
        let seen = SeenLeaseRecord { record, seen_us };
        let healthy = vec![self.healthy.clone()];
        self.harness.fleet = self.harness.successor_after(
            std::slice::from_ref(&self.spec),
            healthy,
            seen,
            orphan_ms,
        );
        self.epoch += 1;
    }

    /// Lets time pass. Returns whether the task has been started again.
    fn tick(&mut self, since_takeover_ms: u64) -> bool {
        self.harness.advance_ms(TICK_MS);
        let now_us = self.harness.now_us;
        if let Some(healthy) = self.index_of(&self.healthy.id) {
            let poll = Poll { sent_us: now_us, clock_ms: now_us / MS, ..Poll::default() };
            self.harness.fleet.polled(healthy, &poll, now_us);
        }
        if since_takeover_ms >= POLL_TIMEOUT_MS {
            if let Some(lost) = self.index_of(&self.lost.id) {
                self.harness.fleet.worker_silent(lost, now_us);
            }
        }
        self.harness.fleet.expire_workers(now_us, now_us);
        let orders = self.harness.plan();
        let is_changed = since_takeover_ms >= FIRST_ANSWERS_MS
            && !self.harness.fleet.workers_to_withhold(true).is_empty();
        if is_changed || now_us - self.stored.1 >= RECORD_INTERVAL_MS * MS {
            self.store_record(Tenure::Renewing);
        }
        orders.iter().any(|order| matches!(order.kind, OrderKind::Start { .. }))
    }

    /// Time from the death of the worker until its task is started elsewhere. The planner changes for the
    /// first time `first_ms` after the death, and then every `interval_ms`.
    fn time_away_ms(mut self, change: Change, first_ms: u64, interval_ms: u64) -> u64 {
        let died_us = self.harness.now_us;
        let mut taken_us = died_us;
        let mut next_us = died_us + first_ms * MS;
        while self.harness.now_us < died_us + 60_000 * MS {
            if self.harness.now_us >= next_us {
                self.change(change);
                taken_us = self.harness.now_us;
                next_us = if interval_ms == 0 { u64::MAX } else { next_us + interval_ms * MS };
            }
            if self.tick((self.harness.now_us - taken_us) / MS) {
                break;
            }
        }
        (self.harness.now_us - died_us) / MS
    }
}

/// Guards against tasks of lost workers that wait anew for a lease at each planned change of the planner.
#[test]
fn planned_changes_of_the_planner_begin_the_wait_for_a_lease_anew() {
    for interval_ms in [1_000, 1_500, 2_500, 3_500, 4_500, 6_000] {
        for first_ms in [100, 900, 2_000, 4_000] {
            let away_ms = Series::start().time_away_ms(Change::Planned, first_ms, interval_ms);
            assert!(
                away_ms <= MAX_AWAY_PLANNED_MS,
                "{interval_ms} ms apart, first after {first_ms} ms: away for {away_ms} ms"
            );
        }
    }
}

/// Guards against tasks of lost workers that wait anew for a lease whenever the planner is killed.
#[test]
fn killed_planners_begin_the_wait_for_a_lease_anew() {
    for interval_ms in [1_500, 2_500, 3_500, 4_500, 6_000] {
        for first_ms in [100, 900, 2_000, 4_000] {
            let away_ms = Series::start().time_away_ms(Change::Killed, first_ms, interval_ms);
            assert!(
                away_ms <= MAX_AWAY_UNPLANNED_MS,
                "{interval_ms} ms apart, first after {first_ms} ms: away for {away_ms} ms"
            );
        }
    }
}

/// Guards against a successor that waits from its takeover on, in place of from the last renewal, for the
/// leases of a planner that is gone for good.
#[test]
fn planner_that_is_gone_is_waited_for_from_the_takeover_on() {
    for (first_ms, interval_ms) in [(100, 0), (1_000, 0), (4_000, 0), (100, 4_500), (900, 3_000)] {
        let away_ms = Series::start().time_away_ms(Change::Gone, first_ms, interval_ms);
        assert!(
            away_ms <= MAX_AWAY_UNPLANNED_MS,
            "{interval_ms} ms apart, first after {first_ms} ms: away for {away_ms} ms"
        );
    }
}

/// Guards against a lease that is counted as ended too early: the wait for a worker that an earlier planner has
/// called last ends no sooner than the lease itself, however many planners follow.
#[test]
fn task_of_a_silent_worker_is_started_before_its_last_lease_has_ended() {
    for change in [Change::Planned, Change::Killed, Change::Gone] {
        for interval_ms in [1_000, 1_900, 2_500, 4_500] {
            let away_ms = Series::start().time_away_ms(change, 1_500, interval_ms);
            assert!(away_ms >= LEASE_END_MS, "{change:?}, {interval_ms} ms apart: {away_ms} ms");
            let gap_ms = change.takeover_ms() + 2 * TICK_MS;
            assert!(away_ms <= LEASE_END_MS + gap_ms, "{change:?}, {interval_ms}: {away_ms} ms");
        }
    }
}

/// Guards against two runs of a task: a planner that is only cut off renews leases up to its horizon at a
/// worker with a slow clock.
#[test]
fn task_is_started_while_a_planner_that_is_cut_off_may_still_hold_its_lease() {
    let horizon_end_ms = LEASE_HORIZON_MS * 102 / 100 + LEASE_SLACK_MS;
    let mut series = Series::start();
    series.store_record(Tenure::Renewing);
    let away_ms = series.time_away_ms(Change::Gone, 0, 0);
    assert!(away_ms >= horizon_end_ms, "{away_ms} ms, its lease may run for {horizon_end_ms} ms");
    assert!(away_ms <= horizon_end_ms + 2 * TICK_MS, "{away_ms} ms");
}

/// Guards against leases of a planner two before that are forgotten, as its successor is gone before it has
/// requested any.
#[test]
fn leases_of_a_planner_before_the_last_are_forgotten() {
    let mut series = Series::start();
    series.store_record(Tenure::Renewing);
    let died_us = series.harness.now_us;
    for _ in 0..3 {
        series.change(Change::Gone);
        let now_us = series.harness.now_us;
        let seen = SeenLeaseRecord { record: series.stored.0.clone(), seen_us: series.stored.1 };
        let lease_us = series.harness.fleet.lease_us();
        series.stored = (seen.restated(series.epoch, false, lease_us, now_us), now_us);
    }
    let horizon_end_us = died_us + (LEASE_HORIZON_MS * 102 / 100 + LEASE_SLACK_MS) * MS;
    while series.harness.now_us < horizon_end_us - TICK_MS * MS {
        assert!(!series.tick(0), "at {} ms", (series.harness.now_us - died_us) / MS);
    }
    let is_started = (0..4).any(|_| series.tick(0));
    assert!(is_started);
}

/// Guards against lines that show only what the present planner has waited.
#[test]
fn silence_of_a_worker_includes_what_earlier_planners_have_waited() {
    let mut series = Series::start();
    for _ in 0..30 {
        series.tick(POLL_TIMEOUT_MS);
    }
    series.change(Change::Planned);
    let now_us = series.harness.now_us;
    let (described, counts) = series.harness.fleet.describe_unanswering(8, now_us);
    assert_eq!(described.len(), 1, "{described:?}");
    let lost = &described[0];
    assert_eq!((lost.planners_before, lost.since_ms, counts), (1, 0, [0, 1]), "{lost:?}");
    assert!((1_400..=1_800).contains(&lost.before_ms), "{lost:?}");
    let index = series.index_of(&lost.id).unwrap();
    assert_eq!(series.harness.fleet.worker(index).standing, WorkerStanding::New);
}

/// Guards against a planner that ends by an overflow, on a record with numbers at their limits.
#[test]
fn record_with_numbers_at_their_limits_ends_no_planner() {
    let mut series = Series::start();
    let id = series.lost.id.clone();
    let silent = SilentWorker { left_ms: u64::MAX, silent_ms: u64::MAX, planners: u32::MAX };
    let mut record = LeaseRecord {
        epoch: u64::MAX,
        own_left_ms: u64::MAX,
        earlier_left_ms: u64::MAX,
        silent: [(id, silent)].into(),
    };
    record.reduce_numbers();
    series.stored = (record, series.harness.now_us);
    series.change(Change::Killed);
    series.tick(POLL_TIMEOUT_MS);
    let now_us = series.harness.now_us;
    let seen = SeenLeaseRecord { record: series.stored.0.clone(), seen_us: now_us };
    let restated = seen.restated(2, true, series.harness.fleet.lease_us(), now_us);
    assert!(restated.earlier_left_ms >= restated.own_left_ms);
    assert_eq!(series.harness.fleet.describe_unanswering(8, now_us).0.len(), 1);
}
