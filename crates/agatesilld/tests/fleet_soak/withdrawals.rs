//! Callers that leave while their submission may still be under way, and cancel it at any daemon. Nothing of
//! such a job may start once its cancel was answered.

use std::sync::Arc;
use std::time::{Duration, Instant};

use hyper::Method;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::callers::{Callers, KnownJob, RequestOutcome, Submission, draw_job};
use crate::faults;
use crate::support::caller::Connection;
use crate::support::settings;

/// Of so many jobs, one is withdrawn.
const JOBS_PER_WITHDRAWAL: u32 = 3;

/// Longest time for which a caller waits for the answer to its submission.
const MAX_PATIENCE_MS: u64 = 900;

/// Time for which a caller tries to cancel.
const CANCEL_TIMEOUT: Duration = Duration::from_secs(20);

/// Interval between attempts to cancel.
const CANCEL_INTERVAL: Duration = Duration::from_millis(350);

/// Whether the caller of a job withdraws it.
pub fn is_withdrawn(seed: u64, number: u32) -> bool {
    faults::has_withdrawals(seed) && number % JOBS_PER_WITHDRAWAL == 1
}

impl Callers {
    /// Submits one job, leaves without waiting for long, and cancels it. A copy of the submission may arrive
    /// at another daemon after that.
    pub async fn withdraw(self: Arc<Self>, seed: u64, number: u32) {
        let mut random = Pcg64Mcg::seed_from_u64(seed << 16 | u64::from(number));
        let id = format!("{:08x}{number:08x}", seed as u32);
        let (queue, steps, task_fault) = draw_job(&mut random, number);
        self.simulated_workers.submit(&id, &steps);
        let body = settings::job(&steps, task_fault);
        let submission = Submission::Unknown;
        let last_state = String::new();
        let job = KnownJob { queue, steps, task_fault, submission, is_cancelled: true, last_state };
        self.known_jobs.lock().unwrap().insert(id.clone(), job);
        self.submit_impatiently(&mut random, queue, &id, &body).await;
        self.cancel_withdrawn(&mut random, queue, &id).await;
        if random.random_bool(0.5) {
            tokio::time::sleep(Duration::from_millis(random.random_range(0..2_000))).await;
            self.submit_impatiently(&mut random, queue, &id, &body).await;
        }
    }

    /// Submits a job on a connection of its own, which is closed when the caller leaves.
    async fn submit_impatiently(&self, random: &mut Pcg64Mcg, queue: &str, id: &str, body: &str) {
        let daemon = random.random_range(0..self.daemon_count());
        let patience = Duration::from_millis(random.random_range(0..MAX_PATIENCE_MS));
        let mut connection = Connection::new(self.entry_addr(daemon));
        let (host, path) = (format!("{queue}.example"), format!("/{queue}/{id}"));
        let submission = connection.call(Method::POST, &host, &path, body);
        // The caller does not care for an outcome.
        drop(tokio::time::timeout(patience, submission).await);
    }

    async fn cancel_withdrawn(&self, random: &mut Pcg64Mcg, queue: &str, id: &str) {
        let until = Instant::now() + CANCEL_TIMEOUT;
        while Instant::now() < until {
            let daemon = random.random_range(0..self.daemon_count());
            match self.send_request(daemon, Method::DELETE, queue, id, "").await {
                RequestOutcome::Answer(200..300 | 410, _) => {
                    return self.simulated_workers.cancelled(id);
                }
                _ => tokio::time::sleep(CANCEL_INTERVAL).await,
            }
        }
    }
}
