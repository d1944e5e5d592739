//! Stand-ins for workers: attempts under leases, checkpoints, throttling and delayed usage reports.
//!
//! One process stands in for all workers; the path of a call names the worker.

mod audit;
pub mod interference;
mod pool;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agatesill_policy::prelude::*;
use agatesill_policy::value_type;
use agatesill_wire::http::{read_json, respond, serve};
use agatesill_wire::platform::{CallValidity, WorkerCall, WorkerReply};
use agatesill_wire::prelude::*;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::fault_injector::FaultInjector;
pub use audit::{AttemptRecord, WorkerAudit};
use pool::WorkerPool;

/// Time after which a call to an unreachable worker, or one whose response is lost, fails.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_secs(5);

value_type! {
    /// Faults and conditions of one worker that can be switched at run time.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct WorkerFaults {
        /// The worker answers no calls; its attempts keep running.
        pub unreachable: bool,
        /// Calls take effect; their responses are lost.
        pub lose_answers: bool,
        /// Delay of responses; calls take effect immediately.
        pub slow_ms: u64,
        /// Delay of calls before they take effect, also if the caller has given up by then.
        pub delay_calls_ms: u64,
        /// The same for starts alone.
        pub delay_starts_ms: u64,
        /// Every attempt fails when it starts.
        pub fail_all: bool,
        /// Classes whose attempts fail when they start.
        pub fail_classes: Vec<String>,
        /// Classes whose attempts crash the worker when they start.
        pub crash_classes: Vec<String>,
        /// Classes whose attempts fail because they use more memory than reserved.
        pub overrun_classes: Vec<String>,
        /// The next start runs the attempt twice, which violates the protocol.
        pub double_run: bool,
        /// CPU usage of the worker's service, in thousandths of a core.
        pub service_cpu_milli: u64,
        /// Response time of the service without neighbours, in percent of its latency objective.
        pub pressure_percent: u32,
        /// Minimum age of the usage samples in reports.
        pub usage_lag_ms: u64,
    }
}

/// All simulated workers. Clones share one state.
#[derive(Clone, Debug)]
pub struct WorkersStandin {
    pool: Arc<Mutex<WorkerPool>>,
}

impl WorkersStandin {
    /// Creates workers with these specifications.
    pub fn new(specs: &[WorkerSpec]) -> Self {
        Self { pool: Arc::new(Mutex::new(WorkerPool::new(specs))) }
    }

    /// Serves `/workers/ID` on `listener` until `stop` is cancelled.
    pub async fn run(self, listener: TcpListener, stop: CancellationToken) {
        self.run_with_injector(listener, FaultInjector::default(), stop).await;
    }

    /// Like [`Self::run`], with all calls of this listener passing through `injector`.
    pub async fn run_with_injector(
        self,
        listener: TcpListener,
        injector: FaultInjector,
        stop: CancellationToken,
    ) {
        serve(listener, stop, move |request| {
            let standin = self.clone();
            let injector = injector.clone();
            async move { standin.handle(request, &injector).await }
        })
        .await;
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        injector: &FaultInjector,
    ) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        let worker = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        if path.starts_with("/admin/faults/") {
            let faults = read_json(request.into_body()).await;
            return respond(faults.map(|faults| self.set_faults(worker, faults)));
        }
        if path == "/admin/books" {
            return respond(Ok(self.audit()));
        }
        let call = match read_json(request.into_body()).await {
            Ok(call) => call,
            Err(error) => return respond::<()>(Err(error)),
        };
        let standin = self.clone();
        let served = async move { standin.call(worker, call).await };
        let lost = || Err(unreachable_error(worker));
        respond(injector.apply(served).await.unwrap_or_else(lost))
    }

    /// Calls a worker with its active faults.
    pub async fn call(&self, worker: WorkerId, call: WorkerCall) -> Result<WorkerReply, Error> {
        let faults = self.lock().faults(worker);
        if faults.unreachable {
            tokio::time::sleep(UNREACHABLE_TIMEOUT).await;
            return Err(unreachable_error(worker));
        }
        let delay_ms = match call {
            WorkerCall::Start { .. } => faults.delay_calls_ms.max(faults.delay_starts_ms),
            _ => faults.delay_calls_ms,
        };
        if delay_ms == 0 {
            return self.deliver(worker, call).await;
        }
        let standin = self.clone();
        // A task of its own: the server drops a handler whose caller has disconnected.
        let delivered = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            standin.deliver(worker, call).await
        });
        delivered.await.unwrap_or_else(|_| Err(unreachable_error(worker)))
    }

    async fn deliver(&self, worker: WorkerId, call: WorkerCall) -> Result<WorkerReply, Error> {
        let faults = self.lock().faults(worker);
        if self.lock().is_down(worker) {
            return Err(unreachable_error(worker));
        }
        let reply = self.lock().handle_call(worker, call);
        if self.lock().is_down(worker) {
            return Err(unreachable_error(worker));
        }
        if faults.lose_answers {
            tokio::time::sleep(UNREACHABLE_TIMEOUT).await;
            return Err(unreachable_error(worker));
        }
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        reply
    }

    /// Crashes one worker: it loses all attempts and restarts shortly afterwards under its number.
    pub fn restart(&self, worker: WorkerId) {
        self.lock().crash(worker);
    }

    /// Returns the validity of a call that takes effect at one worker within `for_ms`.
    pub fn validity(&self, worker: WorkerId, for_ms: u64) -> CallValidity {
        self.lock().validity(worker, for_ms)
    }

    /// Replaces the active faults of one worker.
    pub fn set_faults(&self, worker: WorkerId, faults: WorkerFaults) {
        self.lock().set_faults(worker, faults);
    }

    /// Returns the active faults of one worker.
    pub fn faults(&self, worker: WorkerId) -> WorkerFaults {
        self.lock().faults(worker)
    }

    /// Returns the time since the stand-in started, which is the clock of the audit log.
    pub fn uptime_ms(&self) -> u64 {
        self.lock().uptime_ms()
    }

    /// Returns the audit log, brought up to the current time.
    pub fn audit(&self) -> WorkerAudit {
        let mut pool = self.lock();
        pool.advance();
        pool.audit.clone()
    }

    fn lock(&self) -> MutexGuard<'_, WorkerPool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn unreachable_error(worker: WorkerId) -> Error {
    Error::new(ErrorKind::Unreachable, format!("worker {worker}"))
}

/// Starts the workers on `addr` and returns the bound address. Port 0 selects a free port.
pub async fn start_workers(
    workers: &WorkersStandin,
    addr: SocketAddr,
    stop: &CancellationToken,
) -> std::io::Result<SocketAddr> {
    start_workers_with_injector(workers, addr, &FaultInjector::default(), stop).await
}

/// Like [`start_workers`], with all calls of this listener passing through `injector`.
pub async fn start_workers_with_injector(
    workers: &WorkersStandin,
    addr: SocketAddr,
    injector: &FaultInjector,
    stop: &CancellationToken,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr).await?;
    let bound_addr = listener.local_addr()?;
    tokio::spawn(workers.clone().run_with_injector(listener, injector.clone(), stop.clone()));
    Ok(bound_addr)
}
