//! Callers that submit jobs, retry, cancel and poll states, and verify the answers.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Mutex as AsyncMutex;
use tokio_util::sync::CancellationToken;

use crate::daemon::Daemon;
use crate::faults;
use crate::history::FaultHistory;
use crate::load_callers;
use crate::refusals::{Answer, Answers};
use crate::run::JOBS_PER_S;
use crate::support::caller::{Connection, Outcome};
use crate::support::settings::{self, Step, TaskFault};
use crate::support::simulated_workers::SimulatedWorkers;

/// Timeout of a request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Attempts to submit a job before the caller gives up.
const MAX_SUBMIT_ATTEMPTS: usize = 4;

/// Connections that callers keep open to each daemon.
const CONNECTIONS_PER_DAEMON: usize = 4;

/// Interval between readiness checks of the load balancer, and their timeout.
const READINESS_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Interval between queries for a job's state.
const STATE_POLL_INTERVAL: Duration = Duration::from_millis(350);

/// Time after the acceptance from which every daemon must know a job.
const MAX_VISIBILITY_DELAY: Duration = Duration::from_secs(3);

/// Number from which jobs have long tasks, in runs that have such jobs, and the duration of these.
const FIRST_LONG_JOB: u32 = faults::LONG_TASKS_FROM.as_secs() as u32 * JOBS_PER_S;
const LONG_TASK_MS: std::ops::Range<u64> = 2_000..5_000;

/// Numbers of the jobs with tasks that crash their workers, in runs that have such jobs.
const CRASHING_JOBS: [u32; 2] = [5, 23];

/// A job as the callers know it.
#[derive(Clone, Debug)]
pub struct KnownJob {
    pub queue: &'static str,
    pub steps: Vec<Step>,
    pub task_fault: TaskFault,
    pub submission: Submission,
    pub is_cancelled: bool,
    pub last_state: String,
}

/// Outcome of submitting a job.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Submission {
    /// The job was acknowledged.
    Accepted(Instant),
    /// Every attempt was refused.
    Refused,
    /// At least one attempt had an unknown outcome and none was acknowledged.
    Unknown,
}

/// All callers of a run.
pub struct Callers {
    pub known_jobs: Mutex<HashMap<String, KnownJob>>,
    pub violations: Mutex<Vec<String>>,
    /// Answers to submissions.
    pub answers: Mutex<Answers>,
    /// Cancelled when no further jobs are submitted.
    pub load_over: CancellationToken,
    daemons: Vec<Arc<Daemon>>,
    /// Whether the load balancer opens new connections to each daemon.
    accepts_connections: Vec<AtomicBool>,
    connections: Vec<Vec<AsyncMutex<Connection>>>,
    pub simulated_workers: Arc<SimulatedWorkers>,
    history: Arc<FaultHistory>,
}

/// Outcome of one request.
#[derive(Clone, Debug, PartialEq)]
pub enum RequestOutcome {
    /// Status and body.
    Answer(u16, String),
    /// Status 429, with its Retry-After.
    Refused(Option<String>),
    /// The daemon never read the request.
    NotSent,
    /// No answer arrived.
    NoAnswer,
}

impl Callers {
    pub fn new(
        daemons: &[Arc<Daemon>],
        simulated_workers: Arc<SimulatedWorkers>,
        history: Arc<FaultHistory>,
    ) -> Self {
        let open_connections = |daemon: &Arc<Daemon>| {
            (0..CONNECTIONS_PER_DAEMON)
                .map(|_| AsyncMutex::new(Connection::new(daemon.listen_addrs.entry)))
                .collect()
        };
        Self {
            known_jobs: Mutex::default(),
            violations: Mutex::default(),
            answers: Mutex::default(),
            load_over: CancellationToken::new(),
            connections: daemons.iter().map(open_connections).collect(),
            accepts_connections: daemons.iter().map(|_| AtomicBool::new(true)).collect(),
            daemons: daemons.to_vec(),
            simulated_workers,
            history,
        }
    }

    /// Checks the readiness of the daemons, as the load balancer does, until the run is over.
    pub async fn check_readiness(self: Arc<Self>) {
        while !self.history.is_finished() {
            for (daemon, accepts_connections) in self.daemons.iter().zip(&self.accepts_connections)
            {
                let asked = tokio::time::timeout(READINESS_CHECK_INTERVAL, daemon.is_ready()).await;
                accepts_connections.store(asked.unwrap_or(false), Ordering::Relaxed);
            }
            tokio::time::sleep(READINESS_CHECK_INTERVAL).await;
        }
    }

    /// Address at which a daemon serves callers.
    pub fn entry_addr(&self, daemon: usize) -> SocketAddr {
        self.daemons[daemon].listen_addrs.entry
    }

    pub fn daemon_count(&self) -> usize {
        self.daemons.len()
    }

    pub fn is_finished(&self) -> bool {
        self.history.is_finished()
    }

    pub fn add_violation(&self, what: String) {
        self.violations.lock().unwrap().push(what);
    }

    /// Sends one request to a daemon, on a connection that stays open, and records the answer to a
    /// submission.
    pub async fn send_request(
        &self,
        daemon: usize,
        method: Method,
        queue: &str,
        id: &str,
        body: &str,
    ) -> RequestOutcome {
        let is_submission = method == Method::POST;
        let outcome = self.exchange(daemon, method, queue, id, body).await;
        if is_submission {
            let answer = Answer { daemon, received: Instant::now(), told: (&outcome).into() };
            self.answers.lock().unwrap().entry(id.to_owned()).or_default().push(answer);
        }
        outcome
    }

    async fn exchange(
        &self,
        daemon: usize,
        method: Method,
        queue: &str,
        id: &str,
        body: &str,
    ) -> RequestOutcome {
        let host = format!("{queue}.example");
        let path = format!("/{queue}/{id}");
        let request = format!("{method} {path} at {}", self.daemons[daemon].name);
        let connection = &self.connections[daemon]
            [id.bytes().map(usize::from).sum::<usize>() % CONNECTIONS_PER_DAEMON];
        let mut connection = connection.lock().await;
        if !connection.is_open() && !self.accepts_connections[daemon].load(Ordering::Relaxed) {
            return RequestOutcome::NotSent;
        }
        let sent = Instant::now();
        let outcome =
            tokio::time::timeout(REQUEST_TIMEOUT, connection.call(method, &host, &path, body))
                .await;
        drop(connection);
        let outcome = match outcome {
            Ok(Outcome::Answered((429, retry_after, _))) => RequestOutcome::Refused(retry_after),
            Ok(Outcome::Answered((status, _, body))) => RequestOutcome::Answer(status, body),
            Ok(Outcome::NotSent) => RequestOutcome::NotSent,
            Ok(Outcome::Cut) | Err(_) => RequestOutcome::NoAnswer,
        };
        if outcome == RequestOutcome::NoAnswer && self.history.was_fault_free(sent) {
            self.add_violation(format!("{request} was not answered although no fault was active"));
        }
        outcome
    }

    /// Submits one job and polls its state until the state is final.
    pub async fn live(self: Arc<Self>, seed: u64, number: u32) {
        let mut random = Pcg64Mcg::seed_from_u64(seed << 16 | u64::from(number));
        let id = format!("{:08x}{number:08x}", seed as u32);
        let is_held = faults::has_load_control(seed) && load_callers::is_held(number);
        let (queue, mut steps, mut task_fault) = match is_held {
            true => load_callers::draw_held_job(&mut random),
            false => draw_job(&mut random, number),
        };
        if faults::has_live_workers(seed) && number >= FIRST_LONG_JOB {
            lengthen_batch_tasks(&mut random, queue, &mut steps);
        }
        if faults::has_crashing_tasks(seed) && CRASHING_JOBS.contains(&number) {
            task_fault = TaskFault::CrashesWorker;
        }
        self.simulated_workers.submit(&id, &steps);
        let body = settings::job(&steps, task_fault);
        let submission = match is_held {
            true => self.submit_and_return(&mut random, queue, &id, &body).await,
            false => self.submit_job(&mut random, queue, &id, &body).await,
        };
        let job = KnownJob {
            queue,
            steps,
            task_fault,
            submission,
            is_cancelled: false,
            last_state: String::new(),
        };
        self.known_jobs.lock().unwrap().insert(id.clone(), job);
        let Submission::Accepted(at) = submission else { return };
        if is_held {
            self.hold(&mut random, queue, &id, &body).await;
        }
        if is_held || number % 7 == 0 && number > 0 {
            self.cancel(&mut random, queue, &id).await;
        }
        self.poll_state(&mut random, queue, &id, at).await;
    }

    async fn submit_job(
        &self,
        random: &mut Pcg64Mcg,
        queue: &str,
        id: &str,
        body: &str,
    ) -> Submission {
        let mut is_unknown = false;
        for _ in 0..MAX_SUBMIT_ATTEMPTS {
            let daemon = random.random_range(0..self.daemons.len());
            match self.send_request(daemon, Method::POST, queue, id, body).await {
                RequestOutcome::Answer(200, _) => return Submission::Accepted(Instant::now()),
                RequestOutcome::Answer(503, _)
                | RequestOutcome::Refused(_)
                | RequestOutcome::NotSent => {}
                RequestOutcome::Answer(..) | RequestOutcome::NoAnswer => is_unknown = true,
            }
            tokio::time::sleep(Duration::from_millis(random.random_range(200..800))).await;
        }
        if is_unknown { Submission::Unknown } else { Submission::Refused }
    }

    pub async fn cancel(&self, random: &mut Pcg64Mcg, queue: &str, id: &str) {
        tokio::time::sleep(Duration::from_millis(random.random_range(0..900))).await;
        if let Some(job) = self.known_jobs.lock().unwrap().get_mut(id) {
            job.is_cancelled = true;
        }
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let daemon = random.random_range(0..self.daemons.len());
            match self.send_request(daemon, Method::DELETE, queue, id, "").await {
                RequestOutcome::Answer(200..300, _) => return self.simulated_workers.cancelled(id),
                RequestOutcome::Answer(410, _) => self.add_violation(format!(
                    "{id} was accepted, but its cancel was answered with 410"
                )),
                _ => {}
            }
            tokio::time::sleep(STATE_POLL_INTERVAL).await;
        }
    }

    async fn poll_state(&self, random: &mut Pcg64Mcg, queue: &str, id: &str, accepted: Instant) {
        while !self.history.is_finished() {
            tokio::time::sleep(STATE_POLL_INTERVAL).await;
            let daemon = random.random_range(0..self.daemons.len());
            let asked = Instant::now();
            match self.send_request(daemon, Method::GET, queue, id, "").await {
                RequestOutcome::Answer(200, body) if self.record_state(id, &body) => return,
                RequestOutcome::Answer(410, _) if asked - accepted > MAX_VISIBILITY_DELAY => {
                    let name = &self.daemons[daemon].name;
                    self.add_violation(format!("{id} was accepted, but {name} does not know it"));
                }
                _ => {}
            }
        }
    }

    /// Records the state that was reported to a caller and verifies it; true if it is final.
    pub fn record_state(&self, id: &str, body: &str) -> bool {
        let mut known_jobs = self.known_jobs.lock().unwrap();
        let Some(job) = known_jobs.get_mut(id) else { return true };
        let state = ["completed", "failed", "cancelled", "running", "queued"]
            .into_iter()
            .find(|state| body.contains(state));
        let state = state.unwrap_or("none");
        job.last_state = state.to_owned();
        let violation = match state {
            "completed" if !self.simulated_workers.is_done(id) => "although tasks are not done",
            "completed" if job.task_fault == TaskFault::CrashesWorker => {
                "although one of its tasks crashes every worker"
            }
            "failed"
                if job.task_fault == TaskFault::None && !self.history.has_failing_workers() =>
            {
                "although no task failed"
            }
            "cancelled" if !job.is_cancelled => "although no caller cancelled it",
            "none" => "which is not a known state",
            _ => "",
        };
        if !violation.is_empty() {
            self.add_violation(format!("{id} is reported as {body} {violation}"));
        }
        matches!(state, "completed" | "failed" | "cancelled")
    }
}

/// Lets every third job of the batch queue have tasks that outlast a takeover.
fn lengthen_batch_tasks(random: &mut Pcg64Mcg, queue: &str, steps: &mut [Step]) {
    if queue == "month" && random.random_range(0..3) == 0 {
        steps.iter_mut().for_each(|step| step.work_ms = random.random_range(LONG_TASK_MS));
    }
}

/// Draws a job by its number. The first three are long-running; the others belong to the desk queue
/// or are batch work, and some of them cannot succeed.
pub fn draw_job(random: &mut Pcg64Mcg, number: u32) -> (&'static str, Vec<Step>, TaskFault) {
    let step = |count, work_ms, cpu_milli, is_best_effort, after| Step {
        count,
        work_ms,
        cpu_milli,
        is_best_effort,
        after,
    };
    if number < 3 {
        return ("month", vec![step(3, 0, 2_000, false, Vec::new())], TaskFault::None);
    }
    let task_fault =
        if random.random_range(0..25) == 0 { TaskFault::Fails } else { TaskFault::None };
    if random.random_bool(0.6) {
        let first = step(3, random.random_range(100..400), 1_000, false, Vec::new());
        let second = step(2, random.random_range(100..300), 500, false, vec![0]);
        let steps = if random.random_bool(0.5) { vec![first, second] } else { vec![first] };
        return ("desk", steps, task_fault);
    }
    let wide = step(6, random.random_range(300..900), 1_500, random.random_bool(0.5), Vec::new());
    let last = step(4, random.random_range(200..600), 1_000, false, vec![0]);
    ("month", vec![wide, last], task_fault)
}
