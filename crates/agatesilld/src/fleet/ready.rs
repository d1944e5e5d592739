//! Readiness endpoint for the load balancer and the operators' tools.

use std::sync::Arc;

use agatesill_platform::front::READY_PATH;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use super::daemon_state::DaemonState;

/// Answers one request.
pub async fn answer(daemon: Arc<DaemonState>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let status = if request.uri().path() != READY_PATH {
        StatusCode::NOT_FOUND
    } else if daemon.is_stopping() || daemon.config().is_none() {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    };
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}
