//! Workers: attempts under leases, checkpoints, throttling and lagging reports.
//!
//! One process stands in for a whole floor; the path of a call names the worker.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use agatesill_policy::prelude::*;
use agatesill_policy::value_type;
use agatesill_wire::http::{read_json, respond, serve};
use agatesill_wire::platform::{AttemptReport, AttemptState, WorkerCall, WorkerReply};
use agatesill_wire::prelude::*;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

value_type! {
    /// Faults of one worker that can be switched while it runs.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct WorkerFaults {
        /// The worker answers no call; what it runs goes on.
        pub unreachable: bool,
        /// Every attempt fails at its start.
        pub fail_all: bool,
        /// Attempts of these classes fail at their start, on any worker.
        pub fail_classes: Vec<String>,
        /// The next start runs the attempt twice, against all rules.
        pub double_run: bool,
    }
}

value_type! {
    /// What really happened on the workers.
    #[derive(Default)]
    pub struct WorkerBooks {
        /// Starts of attempts.
        pub starts: u64,
        /// Tasks that finished their work, with how often they did.
        pub finished: BTreeMap<TaskId, u32>,
        /// Moments at which a task ran in two places.
        pub double_runs: u64,
        /// Moments at which a worker ran more than it holds.
        pub overcommitted: u64,
        /// Attempts that started from a checkpoint.
        pub resumed: u64,
        /// Attempts stopped by a call.
        pub stopped: u64,
    }
}

#[derive(Debug)]
struct Running {
    worker: WorkerId,
    need: Resources,
    run_ms: u64,
    checkpoint_ms: u64,
    resumed_ms: u64,
    started: Instant,
    lease_ends: Instant,
    state: AttemptState,
    percent: u32,
}

impl Running {
    fn progress_ms(&self, now: Instant) -> u64 {
        let ran_ms = now.duration_since(self.started).as_millis() as u64;
        (self.resumed_ms + ran_ms * u64::from(self.percent) / 100).min(self.run_ms)
    }
}

#[derive(Debug, Default)]
struct Floor {
    specs: BTreeMap<WorkerId, WorkerSpec>,
    attempts: BTreeMap<(WorkerId, TaskId, Attempt), Running>,
    faults: BTreeMap<WorkerId, WorkerFaults>,
    books: WorkerBooks,
}

/// A floor of workers; clones share one state.
#[derive(Clone, Debug, Default)]
pub struct WorkersStandin {
    floor: Arc<Mutex<Floor>>,
}

impl WorkersStandin {
    /// A floor with these workers.
    pub fn new(specs: &[WorkerSpec]) -> Self {
        let standin = Self::default();
        standin.lock().specs = specs.iter().map(|spec| (spec.id, spec.clone())).collect();
        standin
    }

    /// Serves `/workers/ID` on `listener` until `stop` is cancelled.
    pub async fn run(self, listener: TcpListener, stop: CancellationToken) {
        serve(listener, stop, move |request| {
            let standin = self.clone();
            async move {
                let path = request.uri().path().to_owned();
                let worker = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
                if path.starts_with("/admin/faults/") {
                    let faults = read_json(request.into_body()).await;
                    return respond(faults.map(|faults| standin.set_faults(worker, faults)));
                }
                if path == "/admin/books" {
                    return respond(Ok(standin.books()));
                }
                if standin.lock().faults.get(&worker).is_some_and(|faults| faults.unreachable) {
                    tokio::time::sleep(Duration::from_secs(5)).await;
                    return respond::<()>(Err(Error::new(ErrorKind::Unreachable, "worker")));
                }
                match read_json(request.into_body()).await {
                    Ok(call) => respond(Ok(standin.lock().answer(worker, call))),
                    Err(error) => respond::<()>(Err(error)),
                }
            }
        })
        .await;
    }

    /// Switches faults of one worker.
    pub fn set_faults(&self, worker: WorkerId, faults: WorkerFaults) {
        self.lock().faults.insert(worker, faults);
    }

    /// What really happened so far.
    pub fn books(&self) -> WorkerBooks {
        let mut floor = self.lock();
        floor.advance();
        floor.books.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Floor> {
        self.floor.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Floor {
    fn answer(&mut self, worker: WorkerId, call: WorkerCall) -> WorkerReply {
        self.advance();
        match call {
            WorkerCall::Start {
                task,
                attempt,
                need,
                class,
                run_ms,
                checkpoint_ms,
                lease_ms,
                ..
            } => {
                let start = Start { task, attempt, need, class, run_ms, checkpoint_ms, lease_ms };
                self.start(worker, start);
            }
            WorkerCall::Renew { attempts, lease_ms, .. } => {
                let ends = Instant::now() + Duration::from_millis(lease_ms);
                for (task, attempt) in attempts {
                    if let Some(running) = self.attempts.get_mut(&(worker, task, attempt)) {
                        running.lease_ends = ends;
                    }
                }
            }
            WorkerCall::Stop { task, attempt, checkpoint, .. } => {
                self.stop(worker, task, attempt, checkpoint);
            }
            WorkerCall::Throttle { task, attempt, percent, .. } => {
                if let Some(running) = self.attempts.get_mut(&(worker, task, attempt)) {
                    let now = Instant::now();
                    running.resumed_ms = running.progress_ms(now);
                    running.started = now;
                    running.percent = percent;
                }
            }
        }
        self.check();
        self.report(worker)
    }

    fn start(&mut self, worker: WorkerId, start: Start) {
        let key = (worker, start.task.clone(), start.attempt);
        if self.attempts.contains_key(&key) {
            return;
        }
        let faults = self.faults.get(&worker).cloned().unwrap_or_default();
        let fails = faults.fail_all || faults.fail_classes.contains(&start.class);
        let now = Instant::now();
        let running = Running {
            worker,
            need: start.need,
            run_ms: start.run_ms,
            checkpoint_ms: start.checkpoint_ms,
            resumed_ms: start.checkpoint_ms,
            started: now,
            lease_ends: now + Duration::from_millis(start.lease_ms),
            state: if fails { AttemptState::Failed } else { AttemptState::Running },
            percent: 100,
        };
        self.books.starts += 1;
        self.books.resumed += u64::from(start.checkpoint_ms > 0);
        if faults.double_run {
            self.faults.entry(worker).or_default().double_run = false;
            let twin = (worker, start.task, start.attempt + 1_000_000);
            self.attempts.insert(twin, Running { started: now, ..copy_of(&running) });
        }
        self.attempts.insert(key, running);
    }

    fn stop(&mut self, worker: WorkerId, task: TaskId, attempt: Attempt, checkpoint: bool) {
        let now = Instant::now();
        let tombstone = Running {
            worker,
            need: Resources::default(),
            run_ms: 0,
            checkpoint_ms: 0,
            resumed_ms: 0,
            started: now,
            lease_ends: now,
            state: AttemptState::Stopped,
            percent: 100,
        };
        let running = self.attempts.entry((worker, task, attempt)).or_insert(tombstone);
        if running.state == AttemptState::Running {
            if checkpoint {
                running.checkpoint_ms = running.progress_ms(now);
            }
            running.state = AttemptState::Stopped;
            self.books.stopped += 1;
        }
    }

    fn advance(&mut self) {
        let now = Instant::now();
        for ((_, task, _), running) in &mut self.attempts {
            if running.state != AttemptState::Running {
                continue;
            }
            if running.progress_ms(now) >= running.run_ms {
                running.state = AttemptState::Done;
                *self.books.finished.entry(task.clone()).or_default() += 1;
            } else if running.lease_ends <= now {
                running.state = AttemptState::Stopped;
            }
        }
    }

    fn check(&mut self) {
        let mut used: BTreeMap<WorkerId, Resources> = BTreeMap::new();
        let mut live: BTreeMap<&str, u32> = BTreeMap::new();
        for ((worker, task, _), running) in &self.attempts {
            if running.state == AttemptState::Running {
                let used = used.entry(*worker).or_default();
                *used = used.plus(&running.need);
                *live.entry(task).or_default() += 1;
            }
        }
        self.books.double_runs += live.values().filter(|count| **count > 1).count() as u64;
        self.books.overcommitted += used
            .iter()
            .filter(|(id, used)| self.specs.get(id).is_some_and(|spec| !spec.capacity.holds(used)))
            .count() as u64;
    }

    fn report(&self, worker: WorkerId) -> WorkerReply {
        let attempts = self
            .attempts
            .iter()
            .filter(|((_, _, attempt), running)| running.worker == worker && *attempt < 1_000_000)
            .map(|((_, task, attempt), running)| AttemptReport {
                task: task.clone(),
                attempt: *attempt,
                state: running.state,
                checkpoint_ms: running.checkpoint_ms,
                detail: String::new(),
            })
            .collect();
        WorkerReply { attempts, ..WorkerReply::default() }
    }
}

struct Start {
    task: TaskId,
    attempt: Attempt,
    need: Resources,
    class: String,
    run_ms: u64,
    checkpoint_ms: u64,
    lease_ms: u64,
}

fn copy_of(running: &Running) -> Running {
    Running { ..*running }
}

/// Starts the floor on a free loopback port.
pub async fn start_workers(
    workers: &WorkersStandin,
    addr: SocketAddr,
    stop: &CancellationToken,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr).await?;
    let local = listener.local_addr()?;
    tokio::spawn(workers.clone().run(listener, stop.clone()));
    Ok(local)
}
