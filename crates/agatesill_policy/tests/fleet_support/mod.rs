//! Test harness: a fleet with simulated workers, without network or clock.

#![allow(dead_code)] // Each test file uses a part of the harness.
#![allow(clippy::unwrap_used)] // Tests panic on a failed assumption.

pub mod faults;
pub mod full_fleet;
pub mod simulation;

use std::collections::BTreeMap;

use agatesill_policy::batch::Resources;
use agatesill_policy::fleet::{
    EndCause, EndRow, Fleet, FleetBounds, JobSpec, JobWrite, ORPHAN_MS, Order, OrderKind,
    OrderOutcome, Poll, QueueTerms, RunRow, SeenLeaseRecord, Step, TaskKey, WorkerEntry,
    WorkerIndex,
};

/// Microseconds in a millisecond.
pub const MS: u64 = 1_000;

/// Bounds of the smaller of the two deployments.
pub fn bounds() -> FleetBounds {
    FleetBounds { lease_max_ms: 6_000, harm_ms: 4_000, drain_ms: 2_000, stop_grace_ms: 400 }
}

/// A worker with 16 cores and 64 GB of memory.
pub fn entry(id: &str, rack: &str) -> WorkerEntry {
    WorkerEntry {
        id: id.to_owned(),
        address: format!("10.0.0.{}:80", id.len() * 7 + id.bytes().map(usize::from).sum::<usize>()),
        service: "pricing".to_owned(),
        zone: "a".to_owned(),
        rack: rack.to_owned(),
        labels: vec!["fast".to_owned(), rack.to_owned()],
        capacity: Resources { cpu_milli: 16_000, memory_mb: 64_000, accelerators: 0 },
        is_leaving: false,
        leaves_in_ms: 0,
        cold_ms: 0,
        revision: 0,
        started_ms: 0,
    }
}

/// A step of `count` tasks that each use one core for a second.
pub fn step(count: u32) -> Step {
    Step {
        count,
        need: Resources { cpu_milli: 1_000, memory_mb: 1_000, accelerators: 0 },
        estimate_ms: 1_000,
        ..Step::default()
    }
}

/// A job of an urgent queue, accepted at second 1 of the wall clock.
pub fn job(id: &str, steps: Vec<Step>) -> JobSpec {
    JobSpec {
        id: id.to_owned(),
        queue: "desk".to_owned(),
        terms: QueueTerms {
            service: "pricing".to_owned(),
            priority: 0,
            max_attempts: 3,
            stretch: 2.0,
            target_ms: 1_000,
            needs_advice: false,
        },
        payload: "price it".to_owned(),
        steps,
        first_due_ms: 0,
        interval_ms: 0,
        occurrences: 0,
        accepted_at_ms: 1_000,
    }
}

/// State of one simulated worker.
#[derive(Default)]
pub struct FakeWorker {
    /// Runs present, with the checkpoint from which each resumed.
    pub running: BTreeMap<(String, u32), RunRow>,
    /// Ends that are not acknowledged yet.
    pub ended: Vec<EndRow>,
    /// Sequence number of the newest end.
    pub number: u64,
}

/// A fleet with simulated workers and a store that answers immediately.
pub struct Harness {
    /// The fleet under test.
    pub fleet: Fleet,
    /// Simulated workers by index.
    pub workers: BTreeMap<WorkerIndex, FakeWorker>,
    /// Current time.
    pub now_us: u64,
    /// Stored records by job, with their revisions.
    pub stored: BTreeMap<String, (String, u64)>,
    /// All orders issued so far.
    pub orders: Vec<Order>,
    revision: u64,
}

impl Harness {
    /// Creates a fleet with these workers, each polled once.
    pub fn new(entries: Vec<WorkerEntry>) -> Self {
        let mut harness = Self {
            fleet: Fleet::new(bounds()),
            workers: BTreeMap::new(),
            now_us: 10_000 * MS,
            stored: BTreeMap::new(),
            orders: Vec::new(),
            revision: 1,
        };
        for entry in entries {
            harness.list(entry);
        }
        harness.poll_all();
        harness
    }

    /// Registers a worker.
    pub fn list(&mut self, entry: WorkerEntry) -> WorkerIndex {
        let index = self.fleet.worker_listed(entry, self.now_us);
        self.workers.entry(index).or_default();
        index
    }

    /// Advances the time.
    pub fn advance_ms(&mut self, ms: u64) {
        self.now_us += ms * MS;
    }

    /// Plans and writes the changed records. Returns the orders that may be sent, not yet executed.
    pub fn plan(&mut self) -> Vec<Order> {
        self.fleet.plan(self.now_us, self.now_us / MS);
        self.commit();
        let orders = self.fleet.take_orders();
        self.orders.extend(orders.iter().cloned());
        orders
    }

    /// Writes all waiting records.
    pub fn commit(&mut self) {
        let later = self.now_us + 10_000 * MS;
        loop {
            let writes = self.fleet.take_writes(15, later);
            if writes.is_empty() {
                return;
            }
            self.revision += 1;
            writes.iter().for_each(|write| self.store(write));
        }
    }

    fn store(&mut self, write: &JobWrite) {
        let text = serde_json::to_string(&write.record).unwrap();
        self.stored.insert(write.job.clone(), (text, self.revision));
        self.fleet.committed(write, self.revision, self.now_us);
    }

    /// Executes an order at its worker and reports the answer to the fleet.
    pub fn execute(&mut self, order: &Order) {
        self.execute_unanswered(order);
        self.fleet.order_answered(order, OrderOutcome::Done, self.now_us);
    }

    /// Executes an order at its worker without reporting an answer.
    pub fn execute_unanswered(&mut self, order: &Order) {
        let fake_worker = self.workers.entry(order.worker).or_default();
        let key = (name(&order.task), order.run);
        match &order.kind {
            OrderKind::Start { saved, .. } => {
                let row = RunRow {
                    task: order.task.clone(),
                    run: order.run,
                    saved: saved.clone(),
                    percent: 1,
                    figure: 0,
                };
                fake_worker.running.entry(key).or_insert(row);
            }
            OrderKind::Stop => {
                if fake_worker.running.contains_key(&key) {
                    self.end(order.worker, &order.task, order.run, EndCause::Stopped);
                }
            }
            OrderKind::Pace { .. } => {}
        }
    }

    /// Plans and executes orders until no more are issued.
    pub fn settle(&mut self) {
        loop {
            let orders = self.plan();
            if orders.is_empty() {
                return;
            }
            orders.iter().for_each(|order| self.execute(order));
        }
    }

    /// Ends a run at its worker.
    pub fn end(&mut self, worker: WorkerIndex, task: &TaskKey, run: u32, cause: EndCause) {
        let fake_worker = self.workers.entry(worker).or_default();
        let row = fake_worker.running.remove(&(name(task), run));
        fake_worker.number += 1;
        let saved = row.map(|row| row.saved).unwrap_or_default();
        fake_worker.ended.push(EndRow {
            number: fake_worker.number,
            task: task.clone(),
            run,
            cause,
            saved,
        });
    }

    /// Polls one worker.
    pub fn poll(&mut self, worker: WorkerIndex) {
        self.poll_sent(worker, self.now_us);
    }

    /// Polls one worker with a call that was sent at `sent_us`.
    pub fn poll_sent(&mut self, worker: WorkerIndex, sent_us: u64) {
        self.advance_ms(1);
        let acked = self.fleet.acked_end(worker);
        let fake_worker = self.workers.entry(worker).or_default();
        fake_worker.ended.retain(|end| end.number > acked);
        let poll = Poll {
            sent_us,
            lease_ms: 5_000,
            clock_ms: self.now_us / MS,
            started_ms: 0,
            is_incomplete: false,
            running: fake_worker.running.values().cloned().collect(),
            ended: fake_worker.ended.clone(),
        };
        self.fleet.polled(worker, &poll, self.now_us);
    }

    /// Polls all workers.
    pub fn poll_all(&mut self) {
        let workers: Vec<WorkerIndex> = self.workers.keys().copied().collect();
        workers.into_iter().for_each(|worker| self.poll(worker));
    }

    /// Returns the runs of a job that are present, with their workers.
    pub fn present(&self, job: &str) -> Vec<(WorkerIndex, TaskKey, u32)> {
        self.workers
            .iter()
            .flat_map(|(worker, fake_worker)| {
                fake_worker
                    .running
                    .values()
                    .filter(|row| row.task.job == job)
                    .map(|row| (*worker, row.task.clone(), row.run))
            })
            .collect()
    }

    /// Builds the ledger of a successor from the stored records, with these workers registered.
    pub fn successor(&self, jobs: &[JobSpec], entries: Vec<WorkerEntry>) -> Fleet {
        self.successor_after(jobs, entries, SeenLeaseRecord::default(), ORPHAN_MS)
    }

    /// Like [`Harness::successor`], with what earlier planners recorded about the leases of workers.
    pub fn successor_after(
        &self,
        jobs: &[JobSpec],
        entries: Vec<WorkerEntry>,
        seen: SeenLeaseRecord,
        orphan_ms: u64,
    ) -> Fleet {
        let mut fleet = Fleet::new(bounds());
        fleet.take_over_leases(seen);
        for spec in jobs {
            let record = self
                .stored
                .get(&spec.id)
                .map(|(text, revision)| (serde_json::from_str(text).unwrap(), *revision));
            fleet.restore(spec.clone(), record, self.now_us);
        }
        fleet.finish_restore(orphan_ms, self.now_us);
        for entry in entries {
            fleet.worker_listed(entry, self.now_us);
        }
        fleet
    }
}

/// Formats the key of a task.
pub fn name(task: &TaskKey) -> String {
    format!("{}.{}.{}.{}", task.job, task.occurrence, task.step, task.index)
}
