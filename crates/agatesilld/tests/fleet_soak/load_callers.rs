//! Callers that submit more long-running jobs than the workers hold, and return as they are told.

use std::time::{Duration, Instant};

use futures::future::join_all;
use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::callers::{Callers, RequestOutcome, Submission};
use crate::refusals::{self, Answer, Told};
use crate::support::settings::{self, Step, TaskFault};

/// One job of so many is long-running and held for a time.
const JOBS_PER_HELD_JOB: u32 = 3;

/// Queue of the held jobs.
const QUEUE: &str = "month";

/// Returns after a refusal before a caller gives up.
const MAX_RETURNS: usize = 4;

/// Attempts without an answer that says whether the job may run, before a caller gives up. One whose
/// job may have been stored goes on.
const MAX_ATTEMPTS: usize = 6;

/// Time for which a job is held, in milliseconds.
const HOLD_MS: std::ops::Range<u64> = 1_500..5_000;

/// Pause before an attempt that no daemon asked for, in milliseconds.
const PAUSE_MS: std::ops::Range<u64> = 200..800;

/// Interval between the jobs that tell whether a daemon's refusals have ended, the number of the first
/// of them, and their number for each daemon.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
const FIRST_PROBE: u32 = 1 << 20;
const MAX_PROBES: u32 = 100;

/// Whether the job with this number is long-running and held for a time.
pub fn is_held(number: u32) -> bool {
    number > JOBS_PER_HELD_JOB && number % JOBS_PER_HELD_JOB == 0
}

/// Draws a long-running job.
pub fn draw_held_job(random: &mut Pcg64Mcg) -> (&'static str, Vec<Step>, TaskFault) {
    (QUEUE, vec![long_running(random.random_range(2..=5), 4_000)], TaskFault::None)
}

fn long_running(count: u32, cpu_milli: u64) -> Step {
    Step { count, work_ms: 0, cpu_milli, is_best_effort: false, after: Vec::new() }
}

impl Callers {
    /// Submits a job until it is accepted, or refused once too often or after the load has ended. As
    /// long as the job may have been stored, its caller asks again.
    pub async fn submit_and_return(
        &self,
        random: &mut Pcg64Mcg,
        queue: &str,
        id: &str,
        body: &str,
    ) -> Submission {
        let (mut returns, mut attempts, mut is_unknown) = (0, 0, false);
        while !self.is_finished() {
            let daemon = random.random_range(0..self.daemon_count());
            let pause = Duration::from_millis(random.random_range(PAUSE_MS));
            match self.send_request(daemon, Method::POST, queue, id, body).await {
                RequestOutcome::Answer(200, _) => return Submission::Accepted(Instant::now()),
                RequestOutcome::Refused(retry_after) => {
                    is_unknown = false;
                    let gives_up = returns == MAX_RETURNS || random.random_bool(0.1);
                    if gives_up || self.load_over.is_cancelled() {
                        return Submission::Refused;
                    }
                    let is_impatient = random.random_bool(0.25);
                    let told_s = retry_after.and_then(|value| value.parse().ok()).unwrap_or(1);
                    let told = Duration::from_secs(told_s);
                    self.wait_under_load(if is_impatient { pause } else { told }).await;
                    returns += usize::from(!is_impatient);
                    continue;
                }
                RequestOutcome::Answer(503, _) | RequestOutcome::NotSent => {}
                RequestOutcome::Answer(..) | RequestOutcome::NoAnswer => is_unknown = true,
            }
            attempts += 1;
            if !is_unknown && (attempts >= MAX_ATTEMPTS || self.load_over.is_cancelled()) {
                return Submission::Refused;
            }
            tokio::time::sleep(pause).await;
        }
        Submission::Unknown
    }

    /// Holds an accepted job for some time, in which it is sometimes submitted again at any daemon.
    pub async fn hold(&self, random: &mut Pcg64Mcg, queue: &str, id: &str, body: &str) {
        let until = Instant::now() + Duration::from_millis(random.random_range(HOLD_MS));
        while Instant::now() < until && !self.load_over.is_cancelled() {
            self.wait_under_load(Duration::from_millis(random.random_range(PAUSE_MS))).await;
            if random.random_bool(0.3) {
                let daemon = random.random_range(0..self.daemon_count());
                self.send_request(daemon, Method::POST, queue, id, body).await;
            }
        }
    }

    /// Waits, but not beyond the end of the load.
    async fn wait_under_load(&self, delay: Duration) {
        let _ = tokio::time::timeout(delay, self.load_over.cancelled()).await;
    }

    /// Submits small long-running jobs at each daemon, now that the load has ended, until one is accepted
    /// or its refusals should have ended.
    pub async fn check_refusals_end(&self, seed: u64) {
        let ended = Instant::now();
        let daemons = 0..self.daemon_count() as u32;
        let probes = join_all(daemons.map(|daemon| self.probe(seed, daemon, ended))).await.concat();
        let late = refusals::daemons_that_do_not_accept(&probes, self.daemon_count(), ended);
        late.into_iter().for_each(|violation| self.add_violation(violation));
    }

    async fn probe(&self, seed: u64, daemon: u32, ended: Instant) -> Vec<Answer> {
        let mut random = Pcg64Mcg::seed_from_u64(seed << 8 | u64::from(daemon));
        let steps = [long_running(1, 1_000)];
        let body = settings::job(&steps, TaskFault::None);
        let mut answers = Vec::new();
        for number in FIRST_PROBE + daemon * MAX_PROBES..FIRST_PROBE + (daemon + 1) * MAX_PROBES {
            if ended.elapsed() > refusals::MAX_REFUSAL_TAIL {
                break;
            }
            let id = format!("{:08x}{number:08x}", seed as u32);
            self.simulated_workers.submit(&id, &steps);
            let outcome = self.send_request(daemon as usize, Method::POST, QUEUE, &id, &body).await;
            let told = Told::from(&outcome);
            answers.push(Answer { daemon: daemon as usize, received: Instant::now(), told });
            if told == Told::Accepted {
                self.cancel(&mut random, QUEUE, &id).await;
                break;
            }
            tokio::time::sleep(PROBE_INTERVAL).await;
        }
        answers
    }
}
