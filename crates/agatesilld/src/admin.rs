//! Admin HTTP interface: health, metrics, configuration, jobs and status.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use agatesill_coord::prelude::*;
use agatesill_policy::connections::ListenerShare;
use agatesill_policy::prelude::*;
use agatesill_wire::api::{ConfigChange, JobExplanation, StatusReport, VersionedConfig};
use agatesill_wire::http::{read_counted_json, respond};
use agatesill_wire::listener::{ConnectionHandle, Edge, EdgeLimits, Shutdown, no_response, serve};
use agatesill_wire::prelude::*;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Method, Request, Response};
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

use crate::authorization;
use crate::cells::{CellCall, now_ms};
use crate::degraded::degraded;
use crate::explain::explain;
use crate::metrics::Metrics;
use crate::settings::Settings;
use crate::shared::Shared;

/// Path prefix of explanations, followed by kind and id.
const EXPLAIN_PATH: &str = "/v1/explain/";

/// Path prefix of rollbacks, followed by the version.
const ROLLBACK_PATH: &str = "/v1/config/rollback/";

/// Share of the process for connections of operators and monitoring systems.
const SHARE: ListenerShare = ListenerShare { connections: 256, bytes: 64 << 20 };

/// The admin interface; clones share one state.
#[derive(Clone, Debug)]
pub struct Admin {
    instance: String,
    zone: String,
    config: ConfigStore,
    shared: Shared,
    metrics: Metrics,
    cells: mpsc::Sender<CellCall>,
    drain: CancellationToken,
    tokens: Arc<BTreeMap<String, String>>,
    store: Store,
    members: Arc<BTreeMap<String, SocketAddr>>,
}

impl Admin {
    /// Creates the interface. Its drain call cancels `drain`, which starts a graceful shutdown.
    pub fn new(
        settings: &Settings,
        store: Store,
        shared: Shared,
        metrics: Metrics,
        cells: mpsc::Sender<CellCall>,
        drain: CancellationToken,
    ) -> Self {
        Self {
            instance: settings.instance.clone(),
            zone: settings.zone.clone(),
            config: ConfigStore::new(store.clone())
                .with_declared_capacity(crate::config::declared_capacity(settings)),
            store,
            members: Arc::new(settings.peers.members.clone()),
            shared,
            metrics,
            cells,
            drain,
            tokens: Arc::new(settings.admin.tokens.clone()),
        }
    }

    /// Serves requests until `stop` is cancelled.
    pub async fn run(self, listener: TcpListener, stop: CancellationToken) {
        let edge = Edge::new("admin", EdgeLimits::default(), SHARE);
        let stop = Shutdown { drain: stop, ..Shutdown::default() };
        let handler = move |request, connection| {
            let admin = self.clone();
            async move { admin.handle(request, &connection).await }
        };
        serve(listener, edge, stop, no_response, handler).await;
    }

    async fn handle(
        &self,
        request: Request<Incoming>,
        connection: &ConnectionHandle,
    ) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        let mut operator = String::new();
        if request.method() != Method::GET {
            let action = format!("{} {path}", request.method());
            match authorization::operator(&self.tokens, request.headers(), &action) {
                Ok(name) => operator = name,
                Err(error) => return respond::<()>(Err(error)),
            }
        }
        let job = path.strip_prefix("/v1/jobs/").map(str::to_owned);
        match (request.method(), path.as_str(), job) {
            (&Method::GET, "/healthz", _) => respond(Ok("ok")),
            (&Method::GET, "/readyz", _) => respond(self.ready()),
            (&Method::GET, "/metrics", _) => Response::new(self.metrics.text().into()),
            (&Method::GET, "/v1/status", _) => respond(Ok(self.status())),
            (&Method::GET, "/v1/config", _) => respond(Ok((*self.shared.config()).clone())),
            (&Method::GET, "/v1/config/history", _) => respond(self.config.history().await),
            (&Method::POST, "/v1/config", _) => {
                respond(self.change(request, connection, operator).await)
            }
            (&Method::POST, _, None) if path.starts_with(ROLLBACK_PATH) => {
                let version = &path[ROLLBACK_PATH.len()..];
                respond(self.rollback(request, connection, operator, version).await)
            }
            (&Method::GET, explain, _) if explain.starts_with("/v1/explain/job/") => {
                let id = explain.trim_start_matches("/v1/explain/job/").to_owned();
                respond(self.explain_job(id).await)
            }
            (&Method::GET, _, None) if path.starts_with(EXPLAIN_PATH) => {
                let (kind, id) = path[EXPLAIN_PATH.len()..].split_once('/').unwrap_or_default();
                respond(explain(&self.shared, kind, id))
            }
            (&Method::GET, "/v1/jobs", _) => respond(self.list().await),
            (&Method::POST, "/v1/jobs", _) => respond(self.submit(request, connection).await),
            (&Method::GET, _, Some(id)) => {
                respond(self.ask(|reply| CellCall::Show(id, reply)).await)
            }
            (&Method::DELETE, _, Some(id)) => {
                respond(self.ask(|reply| CellCall::Cancel(id, reply)).await)
            }
            (&Method::POST, "/v1/drain", _) => {
                self.drain.cancel();
                respond(Ok("draining"))
            }
            (method, path, _) => {
                respond::<()>(Err(Error::new(ErrorKind::NotFound, format!("{method} {path}"))))
            }
        }
    }

    fn ready(&self) -> Result<&'static str, Error> {
        if self.shared.is_stopping() {
            return Err(Error::new(ErrorKind::Stopping, "draining"));
        }
        // Guards against a ready daemon that answers `not_found` for a known service, between the
        // arrival of a configuration and its use by the decision thread.
        if self.shared.served_version() == 0 {
            let message = "no configuration is active yet";
            return Err(Error::new(ErrorKind::NoUpstream, message).retry_after(500));
        }
        Ok("ready")
    }

    fn status(&self) -> StatusReport {
        // Guards against a deadlock after which the admin address stops answering: a lock guard
        // taken inside the struct literal lives until its end, and `degraded` takes the same lock.
        let peers = self.shared.peers().clone();
        let services = self.shared.services().values().cloned().collect();
        let cells = self.shared.cells().values().cloned().collect();
        StatusReport {
            instance: self.instance.clone(),
            zone: self.zone.clone(),
            config_version: self.shared.config().version,
            peers,
            services,
            cells,
            degraded: degraded(&self.shared, &self.store, &self.members),
        }
    }

    async fn change(
        &self,
        request: Request<Incoming>,
        connection: &ConnectionHandle,
        operator: String,
    ) -> Result<VersionedConfig, Error> {
        let mut change: ConfigChange = read_counted_json(connection, request.into_body()).await?;
        set_author(&mut change, operator);
        self.finish_change("change", &change, self.config.change(&change, now_ms()).await)
    }

    async fn rollback(
        &self,
        request: Request<Incoming>,
        connection: &ConnectionHandle,
        operator: String,
        to: &str,
    ) -> Result<VersionedConfig, Error> {
        let to =
            to.parse().map_err(|_| Error::new(ErrorKind::BadRequest, format!("version {to:?}")))?;
        let mut change: ConfigChange = read_counted_json(connection, request.into_body()).await?;
        set_author(&mut change, operator);
        self.finish_change("rollback", &change, self.config.rollback(to, &change, now_ms()).await)
    }

    /// Logs the outcome of a change and activates an accepted configuration.
    fn finish_change(
        &self,
        action: &str,
        change: &ConfigChange,
        outcome: Result<VersionedConfig, Error>,
    ) -> Result<VersionedConfig, Error> {
        let (operator, operation_id) = (change.author.as_str(), change.operation_id.as_str());
        match &outcome {
            Ok(accepted) => {
                log::info!(event = "config_accepted", action = action, operator = operator,
                    operation_id = operation_id, config_version = accepted.version; "");
                self.shared.set_accepted_version(accepted.version);
                crate::config::apply(&self.shared, accepted.clone());
            }
            Err(error) => log::warn!(event = "config_not_accepted", action = action,
                operator = operator, operation_id = operation_id,
                reason = error.kind.row().name; "{error}"),
        }
        outcome
    }

    async fn submit(
        &self,
        request: Request<Incoming>,
        connection: &ConnectionHandle,
    ) -> Result<JobStatus, Error> {
        let job: JobSpec = read_counted_json(connection, request.into_body()).await?;
        self.ask(|reply| CellCall::Submit(job, reply)).await
    }

    async fn explain_job(&self, id: String) -> Result<JobExplanation, Error> {
        let (reply, answer) = oneshot::channel();
        self.offer(CellCall::Explain(id, reply))?;
        answer.await.map_err(|_| stopped())?
    }

    async fn list(&self) -> Result<Vec<JobStatus>, Error> {
        let (reply, answer) = oneshot::channel();
        self.offer(CellCall::List(reply))?;
        answer.await.map_err(|_| stopped())
    }

    async fn ask(
        &self,
        call: impl FnOnce(oneshot::Sender<Result<JobStatus, Error>>) -> CellCall,
    ) -> Result<JobStatus, Error> {
        let (reply, answer) = oneshot::channel();
        self.offer(call(reply))?;
        answer.await.map_err(|_| stopped())?
    }

    fn offer(&self, call: CellCall) -> Result<(), Error> {
        self.cells.try_send(call).map_err(|_| {
            self.shared.counters().cell_ring_full.add();
            Error::new(ErrorKind::RingFull, "the ring to the cell manager is full").retry_after(200)
        })
    }
}

/// Sets the author of a change for the history to the operator name of the call, which overrides
/// the author given in the body. A call without an operator name keeps the given author.
fn set_author(change: &mut ConfigChange, operator: String) {
    if operator != authorization::UNNAMED || change.author.is_empty() {
        change.author = operator;
    }
}

fn stopped() -> Error {
    Error::new(ErrorKind::Stopping, "the cell manager has stopped")
}
