//! What an operator reads of a daemon: status, what is degraded, explanations.

use std::time::Duration;

use agatesill_standin::harness::{Harness, HarnessSizes, SERVICE, wait_until};
use agatesill_standin::store::StoreFaults;
use agatesill_wire::http::JsonClient;
use agatesill_wire::prelude::*;
use agatesilld::prelude::*;
use hyper::Method;
use tokio_util::sync::CancellationToken;

const SIZES: HarnessSizes = HarnessSizes { daemons: 2, upstreams: 3, slots: 4, service_us: 1_000 };

/// Generous: no verdict depends on how fast the machine is.
const CALL_LIMIT: Duration = Duration::from_secs(20);

type Outcome = Result<(), Box<dyn std::error::Error>>;

async fn status(settings: &Settings) -> Result<StatusReport, Error> {
    let client = JsonClient::default();
    client.call(Method::GET, settings.admin.addr, "/v1/status", &(), CALL_LIMIT).await
}

/// An operator asks for the status twice. The first answer once took a lock that it asked for again
/// while it held it, and the admin address, metrics and health with it, never answered any more.
/// Then the store goes down: the status has to say so in words, and clear it afterwards.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_answers_again_and_again_and_names_an_outage() -> Outcome {
    let rig = Harness::start(SIZES, |_| {}).await?;
    let stop = CancellationToken::new();
    for settings in &rig.settings {
        start(settings, &stop)?;
    }
    rig.configure().await?;
    let first = status(&rig.settings[0]).await?;
    assert_eq!(first.services[0].name, SERVICE);
    let says_outage = |report: Result<StatusReport, Error>| {
        report.is_ok_and(|one| one.degraded.iter().any(|line| line.contains("the store has not")))
    };
    rig.store.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
    wait_until(|| async { says_outage(status(&rig.settings[0]).await) }).await?;
    rig.store.set_faults(StoreFaults::default());
    wait_until(|| async { !says_outage(status(&rig.settings[0]).await) }).await?;
    stop.cancel();
    Ok(())
}

/// An operator asks about a request that never came here, and about a profile.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn explain_says_what_it_cannot_know() -> Outcome {
    let rig = Harness::start(SIZES, |_| {}).await?;
    let stop = CancellationToken::new();
    for settings in &rig.settings {
        start(settings, &stop)?;
    }
    rig.configure().await?;
    let client = JsonClient::default();
    let addr = rig.settings[0].admin.addr;
    let asked: Result<Vec<String>, Error> =
        client.call(Method::GET, addr, "/v1/explain/request/never", &(), CALL_LIMIT).await;
    assert_eq!(asked.map_err(|error| error.kind), Err(ErrorKind::NotFound));
    let config = agatesill_wire::api::VersionedConfig::clone(
        &client.call(Method::GET, addr, "/v1/config", &(), CALL_LIMIT).await?,
    );
    let profile = &config.doc.services[SERVICE].profile;
    let path = format!("/v1/explain/profile/{profile}");
    let lines: Vec<String> = client.call(Method::GET, addr, &path, &(), CALL_LIMIT).await?;
    assert!(lines.iter().any(|line| line.contains("promise: 99% of answers")), "{lines:?}");
    stop.cancel();
    Ok(())
}

/// A daemon is born in an outage of the store and has no peer. A caller must not hear that its
/// service does not exist, which would send it away for good, but when to come back.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_daemon_without_configuration_tells_callers_to_come_back() -> Outcome {
    let rig = Harness::start(HarnessSizes { daemons: 1, ..SIZES }, |_| {}).await?;
    rig.store.set_faults(StoreFaults { outage: true, ..StoreFaults::default() });
    let stop = CancellationToken::new();
    start(&rig.settings[0], &stop)?;
    let client = JsonClient::default();
    let addr = rig.settings[0].entry.addr;
    let asked: Result<String, Error> =
        client.call(Method::GET, addr, "/limits", &(), CALL_LIMIT).await;
    let error = asked.err().ok_or("an answer without a configuration")?;
    assert_eq!(error.kind, ErrorKind::NoUpstream);
    assert_eq!(error.kind.row().was_run, WasRun::No);
    assert!(error.retry_after_ms > 0);
    stop.cancel();
    Ok(())
}
