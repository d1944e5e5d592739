//! Workers: attempts under leases, checkpoints, throttling and lagging reports.
//!
//! One process stands in for a whole floor; the path of a call names the worker.

mod books;
mod floor;
pub mod interference;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agatesill_policy::prelude::*;
use agatesill_policy::value_type;
use agatesill_wire::http::{read_json, respond, serve};
use agatesill_wire::platform::{WorkerCall, WorkerReply};
use agatesill_wire::prelude::*;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::gate::Gate;
pub use books::{AttemptBook, WorkerAudit};
use floor::Floor;

/// How long a worker that cannot be reached, or whose answer is lost, keeps a caller waiting.
const SILENCE: Duration = Duration::from_secs(5);

value_type! {
    /// Faults and conditions of one worker that can be switched while it runs.
    #[derive(Default)]
    #[serde(default, deny_unknown_fields)]
    pub struct WorkerFaults {
        /// The worker answers no call; what it runs goes on.
        pub unreachable: bool,
        /// Calls take effect; their answers are lost.
        pub lose_answers: bool,
        /// Calls take effect; their answers come this much later.
        pub slow_ms: u64,
        /// Every attempt fails at its start.
        pub fail_all: bool,
        /// Attempts of these classes fail at their start.
        pub fail_classes: Vec<String>,
        /// Attempts of these classes crash the worker at their start.
        pub crash_classes: Vec<String>,
        /// Attempts of these classes are stopped because they use more memory than reserved.
        pub overrun_classes: Vec<String>,
        /// The next start runs the attempt twice, against all rules.
        pub double_run: bool,
        /// Processor time per second that the worker's service uses, in thousandths.
        pub service_cpu_milli: u64,
        /// The service's answer time against its promise with no neighbours, in percent.
        pub pressure_percent: u32,
        /// Age of the usage that is reported.
        pub usage_lag_ms: u64,
    }
}

/// A floor of workers; clones share one state.
#[derive(Clone, Debug)]
pub struct WorkersStandin {
    floor: Arc<Mutex<Floor>>,
}

impl WorkersStandin {
    /// A floor with these workers.
    pub fn new(specs: &[WorkerSpec]) -> Self {
        Self { floor: Arc::new(Mutex::new(Floor::new(specs))) }
    }

    /// Serves `/workers/ID` on `listener` until `stop` is cancelled.
    pub async fn run(self, listener: TcpListener, stop: CancellationToken) {
        self.run_behind(listener, Gate::default(), stop).await;
    }

    /// The same with the calls of this listener passing through `gate`.
    pub async fn run_behind(self, listener: TcpListener, gate: Gate, stop: CancellationToken) {
        serve(listener, stop, move |request| {
            let standin = self.clone();
            let gate = gate.clone();
            async move { standin.handle(request, &gate).await }
        })
        .await;
    }

    async fn handle(&self, request: Request<Incoming>, gate: &Gate) -> Response<Full<Bytes>> {
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
        let silent = || Err(Error::new(ErrorKind::Unreachable, format!("worker {worker}")));
        respond(gate.pass(self.call(worker, call)).await.unwrap_or_else(silent))
    }

    /// Makes one call to a worker, with its faults.
    pub async fn call(&self, worker: WorkerId, call: WorkerCall) -> Result<WorkerReply, Error> {
        let faults = self.lock().faults(worker);
        let silent = || Error::new(ErrorKind::Unreachable, format!("worker {worker}"));
        if faults.unreachable {
            tokio::time::sleep(SILENCE).await;
            return Err(silent());
        }
        if self.lock().is_down(worker) {
            return Err(silent());
        }
        let answer = self.lock().answer(worker, call);
        if self.lock().is_down(worker) {
            return Err(silent());
        }
        if faults.lose_answers {
            tokio::time::sleep(SILENCE).await;
            return Err(silent());
        }
        tokio::time::sleep(Duration::from_millis(faults.slow_ms)).await;
        answer
    }

    /// Switches faults of one worker.
    pub fn set_faults(&self, worker: WorkerId, faults: WorkerFaults) {
        self.lock().set_faults(worker, faults);
    }

    /// The faults of one worker.
    pub fn faults(&self, worker: WorkerId) -> WorkerFaults {
        self.lock().faults(worker)
    }

    /// Time since the stand-in started, the clock of its books.
    pub fn age_ms(&self) -> u64 {
        self.lock().age_ms()
    }

    /// What really happened so far.
    pub fn audit(&self) -> WorkerAudit {
        let mut floor = self.lock();
        floor.advance();
        floor.books.clone()
    }

    fn lock(&self) -> MutexGuard<'_, Floor> {
        self.floor.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts the floor on a free loopback port.
pub async fn start_workers(
    workers: &WorkersStandin,
    addr: SocketAddr,
    stop: &CancellationToken,
) -> std::io::Result<SocketAddr> {
    start_workers_behind(workers, addr, &Gate::default(), stop).await
}

/// The same with the calls of this listener passing through `gate`.
pub async fn start_workers_behind(
    workers: &WorkersStandin,
    addr: SocketAddr,
    gate: &Gate,
    stop: &CancellationToken,
) -> std::io::Result<SocketAddr> {
    let listener = TcpListener::bind(addr).await?;
    let local = listener.local_addr()?;
    tokio::spawn(workers.clone().run_behind(listener, gate.clone(), stop.clone()));
    Ok(local)
}
