//! Real daemon processes between stand-ins, and calls to them.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use agatesill_policy::prelude::*;
use agatesill_standin::faults::{Simulation, SimulationOptions, batch};
use agatesill_wire::api::{JobStatus, VersionedConfig};
use agatesill_wire::http::JsonClient;
use agatesill_wire::prelude::*;
use agatesilld::prelude::Settings;
use hyper::Method;

/// Timeout of every wait, long enough not to depend on the speed of the machine.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

pub struct Cluster {
    pub harness: Simulation,
    client: JsonClient,
}

impl Cluster {
    pub async fn start(daemons: usize) -> Self {
        Self::start_with(daemons, batch::settings()).await
    }

    pub async fn start_with(daemons: usize, base: Settings) -> Self {
        let binary = PathBuf::from(env!("CARGO_BIN_EXE_agatesilld"));
        let options = SimulationOptions { binary, base, daemons };
        let cluster = Self {
            harness: Simulation::start(&options).await.unwrap(),
            client: JsonClient::default(),
        };
        let change = batch::config_change(1);
        let made: VersionedConfig = cluster.ask_until(Method::POST, 0, "/v1/config", &change).await;
        for nth in 0..daemons {
            loop {
                let seen: VersionedConfig =
                    cluster.ask_until(Method::GET, nth, "/v1/config", &()).await;
                if seen.version >= made.version {
                    break;
                }
            }
        }
        cluster
    }

    pub async fn ask<R: serde::de::DeserializeOwned>(
        &self,
        method: Method,
        nth: usize,
        path: &str,
        body: &impl serde::Serialize,
    ) -> Result<R, Error> {
        let addr = self.harness.daemons[nth].admin_addr;
        self.client.call(method, addr, path, body, Duration::from_secs(5)).await
    }

    pub async fn ask_until<R: serde::de::DeserializeOwned>(
        &self,
        method: Method,
        nth: usize,
        path: &str,
        body: &impl serde::Serialize,
    ) -> R {
        let started = Instant::now();
        loop {
            match self.ask(method.clone(), nth, path, body).await {
                Ok(answer) => return answer,
                Err(error) => assert!(started.elapsed() < WAIT_TIMEOUT, "{path}: {error}"),
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    pub async fn submit(&self, nth: usize, job: &JobSpec) -> JobStatus {
        self.ask_until(Method::POST, nth, "/v1/jobs", job).await
    }

    pub async fn show(&self, nth: usize, id: &str) -> JobStatus {
        self.ask_until(Method::GET, nth, &format!("/v1/jobs/{id}"), &()).await
    }

    pub async fn await_outcome(&self, nth: usize, id: &str) -> JobStatus {
        let started = Instant::now();
        loop {
            let status = self.show(nth, id).await;
            if status.is_finished() {
                return status;
            }
            assert!(started.elapsed() < WAIT_TIMEOUT, "{id} never ended: {status:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

pub fn job(id: &str, tasks: u32, run_ms: u64) -> JobSpec {
    let spec = serde_json::json!({
        "id": id, "team": "ledger", "profile": "night", "tasks": tasks, "run_ms": run_ms,
        "need": { "cpu_milli": 500, "memory_mb": 500, "accelerators": 0 },
    });
    serde_json::from_value(spec).unwrap()
}
