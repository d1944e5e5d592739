//! Operator views of a daemon: status, degradations and explanations.

use std::time::Duration;

use agatesill_standin::harness::{Harness, HarnessSizes, SERVICE, wait_until};
use agatesill_standin::store::StoreFaults;
use agatesill_wire::http::JsonClient;
use agatesill_wire::prelude::*;
use agatesilld::prelude::*;
use hyper::Method;
use tokio_util::sync::CancellationToken;

const SIZES: HarnessSizes = HarnessSizes { daemons: 2, upstreams: 3, slots: 4, service_us: 1_000 };

/// Call timeout, long enough not to depend on the speed of the machine.
const CALL_TIMEOUT: Duration = Duration::from_secs(20);

type Outcome = Result<(), Box<dyn std::error::Error>>;

async fn status(settings: &Settings) -> Result<StatusReport, Error> {
    let client = JsonClient::default();
    client.call(Method::GET, settings.admin.addr, "/v1/status", &(), CALL_TIMEOUT).await
}

/// The status is requested repeatedly. Guards against a deadlock in which the first answer took a
/// lock twice and the admin address, with metrics and health, stopped answering. The status must
/// report a store outage and clear the line afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_answers_repeatedly_and_reports_a_store_outage() -> Outcome {
    let harness = Harness::start(SIZES, |_| {}).await?;
    let stop = CancellationToken::new();
    for settings in &harness.settings {
        start(settings, &stop)?;
    }
    harness.configure().await?;
    let first = status(&harness.settings[0]).await?;
    assert_eq!(first.services[0].name, SERVICE);
    let says_outage = |report: Result<StatusReport, Error>| {
        report.is_ok_and(|one| one.degraded.iter().any(|line| line.contains("the store has not")))
    };
    harness.store.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
    wait_until(|| async { says_outage(status(&harness.settings[0]).await) }).await?;
    harness.store.set_faults(StoreFaults::default());
    wait_until(|| async { !says_outage(status(&harness.settings[0]).await) }).await?;
    stop.cancel();
    Ok(())
}

/// Explanations of a request that this daemon never received, and of a profile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn explain_reports_unknown_requests_and_known_profiles() -> Outcome {
    let harness = Harness::start(SIZES, |_| {}).await?;
    let stop = CancellationToken::new();
    for settings in &harness.settings {
        start(settings, &stop)?;
    }
    harness.configure().await?;
    let client = JsonClient::default();
    let addr = harness.settings[0].admin.addr;
    let asked: Result<Vec<String>, Error> =
        client.call(Method::GET, addr, "/v1/explain/request/never", &(), CALL_TIMEOUT).await;
    assert_eq!(asked.map_err(|error| error.kind), Err(ErrorKind::NotFound));
    let config = agatesill_wire::api::VersionedConfig::clone(
        &client.call(Method::GET, addr, "/v1/config", &(), CALL_TIMEOUT).await?,
    );
    let profile = &config.doc.services[SERVICE].profile;
    let path = format!("/v1/explain/profile/{profile}");
    let lines: Vec<String> = client.call(Method::GET, addr, &path, &(), CALL_TIMEOUT).await?;
    assert!(
        lines.iter().any(|line| line.contains("latency objective: 99% of answers within ")),
        "{lines:?}"
    );
    stop.cancel();
    Ok(())
}

/// A daemon starts during a store outage and has no peer. Callers must get a retryable error: an
/// unknown service is a permanent error that would turn them away.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_without_configuration_returns_a_retryable_error() -> Outcome {
    let harness = Harness::start(HarnessSizes { daemons: 1, ..SIZES }, |_| {}).await?;
    harness.store.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
    let stop = CancellationToken::new();
    start(&harness.settings[0], &stop)?;
    let client = JsonClient::default();
    let addr = harness.settings[0].entry.addr;
    let asked: Result<String, Error> =
        client.call(Method::GET, addr, "/limits", &(), CALL_TIMEOUT).await;
    let error = asked.err().ok_or("an answer without a configuration")?;
    assert_eq!(error.kind, ErrorKind::NoUpstream);
    assert_eq!(error.kind.row().was_run, WasRun::No);
    assert!(error.retry_after_ms > 0);
    stop.cancel();
    Ok(())
}
