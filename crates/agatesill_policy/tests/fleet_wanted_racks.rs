//! Many urgent tasks that want the same rack, which is full, beside tasks that want none.

mod fleet_support;

use std::collections::{BTreeMap, HashMap};

use agatesill_policy::admission::LoadControl;
use agatesill_policy::fleet::{EndCause, JobSpec, OrderKind};
use fleet_support::{Harness, MS, entry, job, step};

/// Time between two polls.
const TICK_MS: u64 = 100;

const WORKERS: usize = 40;

/// Workers of a rack.
const RACK_WORKERS: usize = 8;

/// Rack that most tasks want.
const HOT_RACK: &str = "r1-0";

/// Run time of a task on the rack of its data.
const RUN_MS: u64 = 800;

/// Time of the queue beyond the stretched run time.
const TARGET_MS: u64 = 300;

/// Latest start by which a task can end within its objective.
const LATEST_START_MS: u64 = RUN_MS / 2 + TARGET_MS;

/// Where a task may run.
#[derive(Clone, Copy, PartialEq)]
enum Wish {
    Anywhere,
    /// Preferably on [`HOT_RACK`], where its data is.
    Near,
    /// Only on [`HOT_RACK`].
    Only,
}

fn urgent(number: usize, wish: Wish, now_us: u64) -> JobSpec {
    let mut price = step(10);
    price.need.cpu_milli = 3_700;
    price.estimate_ms = RUN_MS;
    let prefix = match wish {
        Wish::Anywhere => "other",
        Wish::Near => "near",
        Wish::Only => "only",
    };
    if wish == Wish::Near {
        price.data_rack = HOT_RACK.to_owned();
    } else if wish == Wish::Only {
        price.label = HOT_RACK.to_owned();
    }
    let mut spec = job(&format!("{prefix}{number}"), vec![price]);
    spec.terms.stretch = 1.5;
    spec.terms.target_ms = TARGET_MS;
    spec.accepted_at_ms = now_us / MS;
    spec
}

/// Waits for the first starts of all tasks, by the prefix of their jobs, and the runs that ended.
struct Replay {
    harness: Harness,
    accepted_us: HashMap<String, u64>,
    began_us: HashMap<(String, u32), u64>,
    ended: usize,
}

impl Replay {
    fn new() -> Self {
        let entries = (0..WORKERS).map(|index| {
            let rack = format!("r1-{}", index / RACK_WORKERS);
            let mut worker = entry(&format!("w{index}"), &rack);
            worker.address = format!("10.0.0.{index}:80");
            worker
        });
        let mut harness = Harness::new(entries.collect());
        let spec = urgent(0, Wish::Anywhere, 0);
        harness.fleet.set_queues(HashMap::from([(spec.queue, spec.terms)]));
        harness.fleet.set_load_control(LoadControl::On);
        Self { harness, accepted_us: HashMap::new(), began_us: HashMap::new(), ended: 0 }
    }

    /// Submits a job for each wish, and runs a tick.
    fn tick(&mut self, wishes: &[Wish]) {
        for wish in wishes {
            let spec = urgent(self.accepted_us.len(), *wish, self.harness.now_us);
            self.accepted_us.insert(spec.id.clone(), self.harness.now_us);
            self.harness.fleet.accept(spec, self.harness.now_us);
        }
        let next_us = self.harness.now_us + TICK_MS * MS;
        self.harness.settle();
        self.harness.now_us = next_us;
        self.end_due_runs();
        self.harness.poll_all();
        self.harness.settle();
        self.harness.now_us = next_us;
    }

    fn end_due_runs(&mut self) {
        let now_us = self.harness.now_us;
        let mut ends = Vec::new();
        for (worker, fake_worker) in &mut self.harness.workers {
            let is_hot = (*worker as usize) < RACK_WORKERS;
            for (key, row) in &mut fake_worker.running {
                let is_remote = row.task.job.starts_with("near") && !is_hot;
                let run_ms = if is_remote { 2 * RUN_MS } else { RUN_MS };
                let began_us = *self.began_us.entry(key.clone()).or_insert(now_us - TICK_MS * MS);
                row.percent = ((now_us - began_us) / MS * 100 / run_ms).min(99) as u32;
                if now_us - began_us >= run_ms * MS {
                    ends.push((*worker, row.task.clone(), row.run));
                }
            }
        }
        self.ended += ends.len();
        for (worker, task, run) in ends {
            self.harness.end(worker, &task, run, EndCause::Done);
        }
    }

    /// Waits for first starts by the prefix of the job; tasks that have not started wait until now.
    fn waits_ms(&self, prefix: &str) -> Vec<u64> {
        let starts = self
            .harness
            .orders
            .iter()
            .filter(|order| matches!(order.kind, OrderKind::Start { .. }) && order.run == 1);
        let mut started: BTreeMap<(&str, u32), u64> = BTreeMap::new();
        for order in starts {
            started.insert((order.task.job.as_str(), order.task.index), order.decided_us);
        }
        let jobs = self.accepted_us.iter().filter(|(id, _)| id.starts_with(prefix));
        jobs.flat_map(|(id, accepted_us)| {
            let started = &started;
            (0..10).map(move |index| {
                let start_us = started.get(&(id.as_str(), index)).copied();
                (start_us.unwrap_or(self.harness.now_us).max(*accepted_us) - accepted_us) / MS
            })
        })
        .collect()
    }

    fn longest_wait_ms(&self, prefix: &str) -> u64 {
        self.waits_ms(prefix).into_iter().max().unwrap_or(0)
    }
}

/// Guards against tasks that wait for the rack of their data although they could run elsewhere, and
/// against a rack whose queue holds back tasks that want another one.
#[test]
fn tasks_that_prefer_a_full_rack_start_elsewhere_in_time() {
    let mut replay = Replay::new();
    for tick in 0..80 {
        let wishes = if tick % 2 == 0 { vec![Wish::Near] } else { vec![Wish::Anywhere] };
        replay.tick(&wishes);
    }
    let near_ms = replay.longest_wait_ms("near");
    assert!(near_ms <= LATEST_START_MS, "{near_ms} ms for the rack of the data");
    let other_ms = replay.longest_wait_ms("other");
    assert!(other_ms <= TARGET_MS, "{other_ms} ms without a wish");
}

/// Guards against tasks that may run on one full rack only and hold back all others, and against a
/// round whose cost grows with their number.
#[test]
fn tasks_that_require_a_full_rack_do_not_hold_back_others() {
    let mut replay = Replay::new();
    let mut efforts = Vec::new();
    for _ in 0..4 {
        let (before, chosen) =
            (replay.harness.fleet.effort(), replay.harness.fleet.counts().chosen);
        for tick in 0..20 {
            let wishes =
                if tick % 2 == 0 { vec![Wish::Only, Wish::Only] } else { vec![Wish::Anywhere] };
            replay.tick(&wishes);
        }
        let started = (replay.harness.fleet.counts().chosen - chosen) as f64;
        let examined = replay.harness.fleet.effort().workers_examined - before.workers_examined;
        efforts.push(examined as f64 / started);
    }
    let other_ms = replay.longest_wait_ms("other");
    assert!(other_ms <= TARGET_MS, "{other_ms} ms without a wish");
    assert!(efforts[3] <= efforts[0] * 1.5, "workers examined for a start: {efforts:?}");
}
