//! Callers: they hand jobs in, repeat, cancel, ask for states, and judge what they are told.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Mutex as AsyncMutex;

use crate::daemon::Daemon;
use crate::faults;
use crate::run::History;
use crate::support::caller::{Connection, Outcome};
use crate::support::settings::{self, Step, TaskFault};
use crate::support::simulated_workers::SimulatedWorkers;

/// How long a caller waits for an answer.
const PATIENCE: Duration = Duration::from_secs(3);

/// Times that a caller hands a job in before it gives up.
const TRIES: usize = 4;

/// Connections that callers keep open to each daemon.
const LINES: usize = 4;

/// Time between two questions of the balancer, and how long it waits for an answer.
const BALANCING: Duration = Duration::from_millis(300);

/// Time between two questions for a job's state.
const ASKING: Duration = Duration::from_millis(350);

/// From this long after the acceptance every daemon must know a job.
const VISIBLE: Duration = Duration::from_secs(3);

/// Numbers of the jobs with tasks that crash their workers, in runs that have such jobs.
const CRASHING_JOBS: [u32; 2] = [5, 23];

/// What callers know about a job.
#[derive(Clone, Debug)]
pub struct Known {
    pub queue: &'static str,
    pub steps: Vec<Step>,
    pub task_fault: TaskFault,
    pub handing: Handing,
    pub is_cancelled: bool,
    pub shown: String,
}

/// How handing in ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Handing {
    /// Acknowledged.
    Accepted(Instant),
    /// Every try was answered with a refusal.
    Refused,
    /// Nobody can tell.
    Unknown,
}

/// All callers of a run.
pub struct Callers {
    pub known: Mutex<HashMap<String, Known>>,
    pub violations: Mutex<Vec<String>>,
    daemons: Vec<Arc<Daemon>>,
    /// Whether the balancer makes new connections to each daemon.
    is_offered: Vec<AtomicBool>,
    lines: Vec<Vec<AsyncMutex<Connection>>>,
    floor: Arc<SimulatedWorkers>,
    history: Arc<History>,
}

/// What the answer to one request means to a caller.
#[derive(Clone, Debug, PartialEq)]
pub enum Told {
    /// Status and body.
    Answer(u16, String),
    /// It was never read.
    NotSent,
    /// No answer.
    Nothing,
}

impl Callers {
    pub fn new(
        daemons: &[Arc<Daemon>],
        floor: Arc<SimulatedWorkers>,
        history: Arc<History>,
    ) -> Self {
        let lines = |daemon: &Arc<Daemon>| {
            (0..LINES).map(|_| AsyncMutex::new(Connection::new(daemon.places.entry))).collect()
        };
        Self {
            known: Mutex::default(),
            violations: Mutex::default(),
            lines: daemons.iter().map(lines).collect(),
            is_offered: daemons.iter().map(|_| AtomicBool::new(true)).collect(),
            daemons: daemons.to_vec(),
            floor,
            history,
        }
    }

    /// Asks the daemons whether they take callers, as the balancer does, until the run is over.
    pub async fn balance(self: Arc<Self>) {
        while !self.history.is_over() {
            for (daemon, is_offered) in self.daemons.iter().zip(&self.is_offered) {
                let asked = tokio::time::timeout(BALANCING, daemon.is_ready()).await;
                is_offered.store(asked.unwrap_or(false), Ordering::Relaxed);
            }
            tokio::time::sleep(BALANCING).await;
        }
    }

    fn complain(&self, what: String) {
        self.violations.lock().unwrap().push(what);
    }

    /// One request to a daemon, on a connection that stays open.
    pub async fn ask(
        &self,
        daemon: usize,
        method: Method,
        queue: &str,
        id: &str,
        body: &str,
    ) -> Told {
        let host = format!("{queue}.example");
        let path = format!("/{queue}/{id}");
        let what = format!("{method} {path} at {}", self.daemons[daemon].name);
        let line = &self.lines[daemon][id.bytes().map(usize::from).sum::<usize>() % LINES];
        let mut line = line.lock().await;
        if !line.is_open() && !self.is_offered[daemon].load(Ordering::Relaxed) {
            return Told::NotSent;
        }
        let sent = Instant::now();
        let outcome = tokio::time::timeout(PATIENCE, line.call(method, &host, &path, body)).await;
        drop(line);
        let told = match outcome {
            Ok(Outcome::Answered((status, _, body))) => Told::Answer(status, body),
            Ok(Outcome::NotSent) => Told::NotSent,
            Ok(Outcome::Cut) | Err(_) => Told::Nothing,
        };
        if told == Told::Nothing && self.history.was_calm(sent) {
            self.complain(format!("{what} was not answered though nothing was amiss"));
        }
        told
    }

    /// Hands one job in and follows it to its end.
    pub async fn live(self: Arc<Self>, seed: u64, number: u32) {
        let mut random = Pcg64Mcg::seed_from_u64(seed << 16 | u64::from(number));
        let id = format!("{:08x}{number:08x}", seed as u32);
        let (queue, steps, mut task_fault) = draw(&mut random, number);
        if faults::has_crashing_tasks(seed) && CRASHING_JOBS.contains(&number) {
            task_fault = TaskFault::CrashesWorker;
        }
        self.floor.submit(&id, &steps);
        let body = settings::job(&steps, task_fault);
        let handing = self.hand_in(&mut random, queue, &id, &body).await;
        let known =
            Known { queue, steps, task_fault, handing, is_cancelled: false, shown: String::new() };
        self.known.lock().unwrap().insert(id.clone(), known);
        let Handing::Accepted(at) = handing else { return };
        if number % 7 == 0 && number > 0 {
            self.cancel(&mut random, queue, &id).await;
        }
        self.follow(&mut random, queue, &id, at).await;
    }

    async fn hand_in(&self, random: &mut Pcg64Mcg, queue: &str, id: &str, body: &str) -> Handing {
        let mut is_unknown = false;
        for _ in 0..TRIES {
            let daemon = random.random_range(0..self.daemons.len());
            match self.ask(daemon, Method::POST, queue, id, body).await {
                Told::Answer(200, _) => return Handing::Accepted(Instant::now()),
                Told::Answer(429 | 503, _) | Told::NotSent => {}
                Told::Answer(..) | Told::Nothing => is_unknown = true,
            }
            tokio::time::sleep(Duration::from_millis(random.random_range(200..800))).await;
        }
        if is_unknown { Handing::Unknown } else { Handing::Refused }
    }

    async fn cancel(&self, random: &mut Pcg64Mcg, queue: &str, id: &str) {
        tokio::time::sleep(Duration::from_millis(random.random_range(0..900))).await;
        if let Some(known) = self.known.lock().unwrap().get_mut(id) {
            known.is_cancelled = true;
        }
        let until = Instant::now() + Duration::from_secs(20);
        while Instant::now() < until {
            let daemon = random.random_range(0..self.daemons.len());
            match self.ask(daemon, Method::DELETE, queue, id, "").await {
                Told::Answer(200..300, _) => return self.floor.cancelled(id),
                Told::Answer(410, _) => {
                    self.complain(format!("{id} is accepted, its cancel got 410"))
                }
                _ => {}
            }
            tokio::time::sleep(ASKING).await;
        }
    }

    async fn follow(&self, random: &mut Pcg64Mcg, queue: &str, id: &str, accepted: Instant) {
        while !self.history.is_over() {
            tokio::time::sleep(ASKING).await;
            let daemon = random.random_range(0..self.daemons.len());
            let asked = Instant::now();
            match self.ask(daemon, Method::GET, queue, id, "").await {
                Told::Answer(200, body) if self.shown(id, &body) => return,
                Told::Answer(410, _) if asked - accepted > VISIBLE => {
                    let name = &self.daemons[daemon].name;
                    self.complain(format!("{id} is accepted, but {name} does not know it"));
                }
                _ => {}
            }
        }
    }

    /// Takes in the state that a caller is shown; true if it is final.
    pub fn shown(&self, id: &str, body: &str) -> bool {
        let mut known = self.known.lock().unwrap();
        let Some(job) = known.get_mut(id) else { return true };
        let state = ["completed", "failed", "cancelled", "running", "queued"]
            .into_iter()
            .find(|state| body.contains(state));
        let state = state.unwrap_or("none");
        job.shown = state.to_owned();
        let wrong = match state {
            "completed" if !self.floor.is_done(id) => "though tasks are not done",
            "completed" if job.task_fault == TaskFault::CrashesWorker => {
                "though one of its tasks crashes every worker"
            }
            "failed" if job.task_fault == TaskFault::None && !self.history.has_bad_workers() => {
                "without a failure"
            }
            "cancelled" if !job.is_cancelled => "though nobody cancelled it",
            "none" => "which is no state",
            _ => "",
        };
        if !wrong.is_empty() {
            self.complain(format!("{id} is shown as {body} {wrong}"));
        }
        matches!(state, "completed" | "failed" | "cancelled")
    }
}

/// A job by its number: the first three last; the others are the desk's or batch work, some of
/// which can't be done.
fn draw(random: &mut Pcg64Mcg, number: u32) -> (&'static str, Vec<Step>, TaskFault) {
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
