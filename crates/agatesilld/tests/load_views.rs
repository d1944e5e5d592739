//! How views of the load reach daemons, and when a daemon may refuse jobs by them.

#![allow(clippy::unwrap_used)] // A failed assumption of a test fails the test.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use agatesill_platform::settings;
use agatesill_policy::admission::{LoadControl, OfferedTotals, ServiceLoad};
use agatesill_wire::api::{LOAD_PATH, LoadStatus};
use agatesill_wire::fleet::{FleetAnswer, FleetCall, FleetQuestion, JOB_FORMAT, LoadReport};
use agatesill_wire::peer::{Body, Frame, FrameCodec};
use agatesilld::fleet::load_state::LoadState;
use futures::{SinkExt, StreamExt};
use hyper::Method;
use support::caller::call;
use support::settings::ListenAddrs;
use support::store::{FakeStore, StoreFault};
use tokio::net::TcpStream;
use tokio_util::codec::Framed;
use tokio_util::sync::CancellationToken;

const S: u64 = 1_000_000;

/// Start of a test on the clock of a daemon.
const START_US: u64 = 3_600 * S;

/// Maximum age of a view at a daemon that reaches the planner's.
const MAX_VIEW_AGE_MS: u64 = 1_000;

fn services() -> Vec<ServiceLoad> {
    let load = ServiceLoad {
        service: "pricing".to_owned(),
        capacity_milli: 64_000,
        headroom_milli: 9_000,
        ..ServiceLoad::default()
    };
    vec![load]
}

/// The view that a planner's daemon publishes at `now_us`, as it arrives elsewhere.
fn published(planner: &LoadState, epoch: u64, planning_since_us: u64, now_us: u64) -> LoadReport {
    planner.publish(epoch, planning_since_us, services(), now_us);
    planner.report(now_us).unwrap()
}

/// Guards against a daemon that counts the time before it asked into the age of a view, or not.
#[test]
fn a_view_is_as_old_as_its_figures() {
    let (planner, daemon) = (LoadState::default(), LoadState::default());
    planner.publish(7, START_US, services(), START_US);
    let report = planner.report(START_US + S / 5).unwrap();
    assert_eq!(report.age_ms, 200);
    daemon.report_received(report, START_US + 10 * S);
    let held = daemon.held().unwrap();
    assert_eq!(held.age_ms(START_US + 10 * S + S / 10), 300);
    assert_eq!(held.view.services, services());
}

/// Guards against a former planner whose views replace those of its successor.
#[test]
fn views_of_an_older_epoch_do_not_replace_newer_ones() {
    let (former, successor, daemon) =
        (LoadState::default(), LoadState::default(), LoadState::default());
    for _ in 0..5 {
        former.publish(7, START_US, services(), START_US);
    }
    daemon.report_received(published(&successor, 8, START_US, START_US), START_US);
    daemon.report_received(published(&former, 7, START_US, START_US + S), START_US + S);
    let stamp = daemon.stamp(START_US + S).unwrap();
    assert_eq!((stamp.epoch, stamp.sequence, stamp.age_ms), (8, 1, 1_000));
}

/// Guards against refusals beside a daemon that takes the record of a refusal for an accepted job.
#[test]
fn no_job_is_refused_beside_a_daemon_that_reads_no_records() {
    let planner = LoadState::default();
    planner.called_by("127.0.0.1:1", JOB_FORMAT, START_US);
    planner.called_by("127.0.0.1:2", 0, START_US);
    let after = |seconds: u64| published(&planner, 7, START_US, START_US + seconds * S);
    assert!(!after(3).may_refuse);
    assert_eq!(after(3).daemons, 3);
    assert!(!after(14).may_refuse);
    let later = after(16);
    assert!(later.may_refuse, "the daemon has ended");
    assert_eq!(later.daemons, 1);
    planner.called_by("127.0.0.1:2", 0, START_US + 17 * S);
    assert!(!after(17).may_refuse, "it was started again");
}

/// Guards against a planner that allows refusals before it has heard of all daemons.
#[test]
fn a_new_planner_waits_for_calls_unless_its_predecessor_allowed_refusals() {
    let first = LoadState::default();
    assert!(!published(&first, 7, START_US, START_US + S).may_refuse);
    let allowed = published(&first, 7, START_US, START_US + 2 * S);
    assert!(allowed.may_refuse);
    let successor = LoadState::default();
    successor.report_received(allowed.clone(), START_US + 2 * S);
    assert!(published(&successor, 8, START_US + 3 * S, START_US + 3 * S).may_refuse);
    let cut_off = LoadState::default();
    cut_off.report_received(allowed, START_US + 2 * S);
    assert!(!published(&cut_off, 9, START_US + 20 * S, START_US + 20 * S).may_refuse);
}

/// Guards against daemons that each know only their own callers.
#[test]
fn views_have_what_callers_ask_for_at_all_daemons() {
    let (planner, daemon) = (LoadState::default(), LoadState::default());
    for addr in ["127.0.0.1:1", "127.0.0.1:2"] {
        planner.called_by(addr, JOB_FORMAT, START_US);
        for total in [500_000, 540_000] {
            let totals = OfferedTotals::from([("pricing".to_owned(), total)]);
            planner.offers_reported(addr, totals, START_US);
        }
    }
    daemon.report_received(published(&planner, 7, START_US, START_US), START_US);
    let held = daemon.held().unwrap();
    assert_eq!(held.view.service("pricing").unwrap().offered_milli_per_s, 20_000);
}

/// Guards against views for deployments without load control, and after the end of planning.
#[test]
fn without_services_or_planning_there_is_no_view() {
    let planner = LoadState::default();
    planner.publish(7, START_US, Vec::new(), START_US);
    assert!(planner.report(START_US).is_none() && planner.held().is_none());
    published(&planner, 7, START_US, START_US);
    planner.withdraw();
    assert!(planner.report(START_US).is_none());
}

struct Fleet {
    store: Arc<FakeStore>,
    store_addr: SocketAddr,
    stop: CancellationToken,
}

struct Daemon {
    addrs: ListenAddrs,
    metrics: SocketAddr,
    stop: CancellationToken,
}

impl Fleet {
    async fn new() -> Self {
        let stop = CancellationToken::new();
        let (store, store_addr) = FakeStore::start(&stop).await;
        let queue = support::settings::queue("desk", 0);
        store.put("op/config", &support::settings::config(1, &[queue]));
        Self { store, store_addr, stop }
    }

    async fn daemon(&self, name: &str, load_control: LoadControl) -> Daemon {
        let addrs = ListenAddrs::allocate().await;
        let metrics = support::free_addr().await;
        let text = support::settings::daemon(name, &addrs, self.store_addr, 0.5);
        let mut settings = settings::decode(&text).unwrap();
        settings.load_control = load_control;
        let stop = self.stop.child_token();
        let stopping = stop.clone();
        tokio::spawn(async move {
            agatesilld::fleet::serve_until(settings, metrics.port(), stopping).await.unwrap();
        });
        Daemon { addrs, metrics, stop }
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

impl Daemon {
    /// Calls the daemon as another one would, which reads stored jobs of a format.
    async fn ask(&self, job_format: u32) -> Option<FleetAnswer> {
        let stream = TcpStream::connect(self.addrs.peer).await.ok()?;
        let mut frames = Framed::new(stream, FrameCodec::default());
        let question = Some(FleetQuestion::HowIsTheStore(1));
        let sender = "127.0.0.1:9".to_owned();
        let call = FleetCall { number: 1, question, sender, job_format, ..FleetCall::default() };
        frames.send(Frame { body: Some(Body::FleetCall(call)) }).await.ok()?;
        match frames.next().await?.ok()?.body {
            Some(Body::FleetAnswer(answer)) => Some(answer),
            _ => None,
        }
    }

    async fn load(&self, job_format: u32) -> Option<LoadReport> {
        self.ask(job_format).await?.load
    }

    /// The load as operators see it.
    async fn load_status(&self) -> Option<LoadStatus> {
        let (status, _, text) = call(self.metrics, Method::GET, LOAD_PATH, "").await?;
        assert_eq!(status, 200);
        Some(serde_json::from_str(&text).unwrap())
    }

    /// Age of the view by which the daemon decides.
    async fn view_age_ms(&self) -> Option<u64> {
        let (_, _, text) = call(self.metrics, Method::GET, "/metrics", "").await?;
        let line = text.lines().find(|line| line.starts_with("agatesill_admission_view_age"))?;
        line.rsplit(' ').next()?.parse().ok()
    }
}

async fn wait_until<F: Future<Output = bool>>(description: &str, mut condition: impl FnMut() -> F) {
    let started = Instant::now();
    while !condition().await {
        assert!(started.elapsed() < Duration::from_secs(20), "not in time: {description}");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Guards against daemons whose view is old although they reach the planner's daemon, and against one
/// that keeps deciding by the views of a planner that has ended.
#[tokio::test]
async fn every_daemon_has_a_current_view_also_after_a_takeover() {
    let fleet = Fleet::new().await;
    let first = fleet.daemon("first", LoadControl::On).await;
    wait_until("the first daemon plans", || async { first.load(JOB_FORMAT).await.is_some() }).await;
    let others = [
        fleet.daemon("second", LoadControl::On).await,
        fleet.daemon("third", LoadControl::On).await,
    ];
    let has_view = async |daemon: &Daemon| daemon.view_age_ms().await.is_some();
    for daemon in &others {
        wait_until("another daemon has a view", || has_view(daemon)).await;
    }
    for _ in 0..20 {
        for daemon in &others {
            let age_ms = daemon.view_age_ms().await.unwrap();
            assert!(age_ms < MAX_VIEW_AGE_MS, "{age_ms} ms");
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    wait_until("refusals are allowed", || async {
        first.load(JOB_FORMAT).await.is_some_and(|load| load.may_refuse)
    })
    .await;
    let allowed = Instant::now();
    for daemon in &others {
        wait_until("another daemon's view allows refusals", || async {
            let allowed_ms = allowed.elapsed().as_millis() as u64;
            daemon.view_age_ms().await.is_some_and(|age_ms| age_ms < allowed_ms)
        })
        .await;
    }
    let before = first.load(JOB_FORMAT).await.unwrap();
    assert_eq!(before.daemons, 4, "three daemons and the test");
    first.stop.cancel();
    let reports = async || {
        let (second, third) = (others[0].load(JOB_FORMAT).await, others[1].load(JOB_FORMAT).await);
        second.or(third)
    };
    wait_until("another daemon plans", || async { reports().await.is_some() }).await;
    let after = reports().await.unwrap();
    assert!(after.epoch > before.epoch);
    assert!(after.may_refuse, "the successor knows that all daemons read records");
    for daemon in &others {
        wait_until("the view is current", || async {
            daemon.view_age_ms().await.is_some_and(|age_ms| age_ms < MAX_VIEW_AGE_MS)
        })
        .await;
    }
}

/// Guards against an operator who is shown the load of a daemon that decides by another view, or a
/// view of a planner that ended as if it were current.
#[tokio::test]
async fn operators_see_the_view_by_which_a_daemon_decides() {
    let fleet = Fleet::new().await;
    let planner = fleet.daemon("first", LoadControl::On).await;
    let current = async || {
        let held = planner.load_status().await?.held?;
        Some(held).filter(|held| held.may_refuse())
    };
    wait_until("refusals are allowed", || async { current().await.is_some() }).await;
    let (held, report) = (current().await.unwrap(), planner.load(JOB_FORMAT).await.unwrap());
    assert_eq!(held.view.epoch, report.epoch);
    assert!(held.view.sequence <= report.sequence && held.age_ms < MAX_VIEW_AGE_MS, "{held:?}");
    let status = planner.load_status().await.unwrap();
    assert_eq!(status.instance, "first");
    assert_eq!(status.refused, [("early".to_owned(), 0), ("no_room".to_owned(), 0)].into());
    assert_eq!((status.returns_accepted, status.returns_refused), (0, 0));
    let metrics = call(planner.metrics, Method::GET, "/metrics", "").await.unwrap();
    assert!(metrics.2.contains("agatesill_admission_refused"), "the other path has the metrics");
}

/// Guards against a view that a daemon no longer refuses by and that is shown as current.
#[tokio::test]
async fn operators_see_that_a_view_is_old() {
    let fleet = Fleet::new().await;
    let planner = fleet.daemon("first", LoadControl::On).await;
    wait_until("the first daemon plans", || async { planner.load(JOB_FORMAT).await.is_some() })
        .await;
    let daemon = fleet.daemon("second", LoadControl::On).await;
    let held = async || daemon.load_status().await?.held;
    let is_current = async || held().await.is_some_and(|held| !held.is_old);
    wait_until("the daemon has a current view", is_current).await;
    // No daemon can take over from the planner that ends.
    fleet.store.set_fault(StoreFault::Refuses);
    planner.stop.cancel();
    wait_until("the view is old", || async { held().await.is_some_and(|held| held.is_old) }).await;
    assert!(!held().await.unwrap().may_refuse());
}

/// Guards against refusals while a daemon of an earlier version runs.
#[tokio::test]
async fn a_call_of_an_earlier_version_ends_refusals() {
    let fleet = Fleet::new().await;
    let daemon = fleet.daemon("first", LoadControl::On).await;
    let may_refuse =
        async |job_format| daemon.load(job_format).await.is_some_and(|load| load.may_refuse);
    wait_until("refusals are allowed", || may_refuse(JOB_FORMAT)).await;
    daemon.ask(0).await.unwrap();
    wait_until("refusals end", || async { !may_refuse(JOB_FORMAT).await }).await;
}

/// Guards against a deployment without load control that is served in another way than before.
#[tokio::test]
async fn without_load_control_no_view_is_sent() {
    let fleet = Fleet::new().await;
    let daemon = fleet.daemon("first", LoadControl::Auto).await;
    wait_until("the daemon plans", || async {
        call(daemon.addrs.entry, Method::GET, "/desk/", "").await.is_some()
            && daemon.ask(JOB_FORMAT).await.is_some_and(|answer| answer.planner_epoch > 0)
    })
    .await;
    tokio::time::sleep(Duration::from_millis(600)).await;
    assert_eq!(daemon.load(JOB_FORMAT).await, None);
    assert_eq!(daemon.view_age_ms().await, None);
    assert!(daemon.load_status().await.unwrap().held.is_none());
}

/// Guards against a deployment without load control whose jobs are stored in another way than before, and
/// against one with it whose jobs are not stored.
#[tokio::test]
async fn jobs_are_stored_in_groups_only_under_load_control() {
    for (load_control, is_grouped) in [(LoadControl::On, true), (LoadControl::Auto, false)] {
        let fleet = Fleet::new().await;
        let daemon = fleet.daemon("first", load_control).await;
        let step = support::settings::Step {
            count: 1,
            work_ms: 100,
            cpu_milli: 1_000,
            is_best_effort: false,
            after: Vec::new(),
        };
        let body = support::settings::job(&[step], support::settings::TaskFault::None);
        let submit = async |id: u64| {
            call(daemon.addrs.entry, Method::POST, &format!("/desk/{id:016x}"), &body).await
        };
        let is_accepted = async |id| submit(id).await.is_some_and(|(status, _, _)| status == 200);
        wait_until("jobs are accepted", || is_accepted(1)).await;
        let accepted = futures::future::join_all((1..60).map(is_accepted)).await;
        assert!(accepted.iter().all(|is_accepted| *is_accepted));
        for id in 1..60_u64 {
            assert!(fleet.store.text(&format!("in/job/{id:016x}")).is_some(), "{id}");
        }
        let (_, _, text) = call(daemon.metrics, Method::GET, "/metrics", "").await.unwrap();
        assert_eq!(text.contains("agatesill_acceptance_group"), is_grouped);
    }
}
