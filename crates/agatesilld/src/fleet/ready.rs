//! What the balancer and the operators' tools ask.

use std::sync::Arc;

use agatesill_platform::front::READY_PATH;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::{Request, Response, StatusCode};

use super::daemon_state::Site;

/// Answers one request.
pub async fn answer(site: Arc<Site>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let status = if request.uri().path() != READY_PATH {
        StatusCode::NOT_FOUND
    } else if site.is_stopping() || site.config().is_none() {
        StatusCode::SERVICE_UNAVAILABLE
    } else {
        StatusCode::OK
    };
    let mut answer = Response::new(Full::new(Bytes::new()));
    *answer.status_mut() = status;
    answer
}
