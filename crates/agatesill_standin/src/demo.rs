//! The whole path in one process: stand-ins, three daemons, a trace of requests and batch jobs.
//!
//! Every count printed comes from the stand-ins' own books or from what the callers received.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant};

use agatesill_policy::prelude::*;
use agatesill_policy::value_type;
use agatesill_wire::api::{ConfigChange, VersionedConfig};
use agatesill_wire::http::JsonClient;
use agatesill_wire::prelude::*;
use agatesilld::prelude::*;
use agatesilld::settings;
use hdrhistogram::Histogram;
use hyper::Method;
use tokio_util::sync::CancellationToken;

use crate::addresses::fresh_address;
use crate::store::{StoreStandin, start_store};
use crate::trace::{Reply, TraceRow, read_trace, send};
use crate::upstreams::{UpstreamFaults, UpstreamStandin, start_upstream};
use crate::workers::{WorkerFaults, WorkersStandin, start_workers};

/// Daemons that the demo starts.
const DAEMONS: usize = 3;

/// Longest time for all parts of the demo together.
const DEMO_LIMIT: Duration = Duration::from_secs(50);

/// When the profile is changed, from the start of the trace.
const HALFWAY: Duration = Duration::from_secs(2);

/// Longest wait for one control call.
const CALL_LIMIT: Duration = Duration::from_secs(5);

value_type! {
    /// One service as its callers saw it.
    pub struct ServiceReport {
        /// The service.
        pub name: String,
        /// Its profile.
        pub profile: String,
        /// The promised answer time.
        pub promise_ms: u32,
        /// Requests sent.
        pub requests: u64,
        /// Whole answers received.
        pub answered: u64,
        /// Refusals that say the request was not run.
        pub refused_not_run: u64,
        /// Failures after which the request may have run.
        pub outcome_unknown: u64,
        /// Median answer time.
        pub p50_ms: f64,
        /// 99th percentile of the answer time.
        pub p99_ms: f64,
        /// Whether the promise was held.
        pub held: bool,
    }
}

value_type! {
    /// The batch work as the workers saw it.
    #[derive(Default)]
    pub struct BatchReport {
        /// Jobs submitted.
        pub jobs: u64,
        /// Jobs whose tasks all finished.
        pub finished: u64,
        /// Jobs that finished after their deadline.
        pub late: u64,
        /// Attempts stopped before their end.
        pub evictions: u64,
        /// Attempts that started from a checkpoint.
        pub resumed: u64,
    }
}

value_type! {
    /// Counts that must all be zero.
    #[derive(Default)]
    pub struct Invariants {
        /// Moments at which a worker ran more than it holds.
        pub overcommitted: u64,
        /// Tasks that ran in two places or finished twice.
        pub double_runs: u64,
        /// Tasks accepted that never finished.
        pub lost: u64,
        /// Answers that were not the caller's own, or short.
        pub wrong_answers: u64,
        /// Non-repeatable requests that ran more than once.
        pub non_repeatable_twice: u64,
        /// Refusals that said `not run` of a request that ran.
        pub false_not_run: u64,
    }
}

value_type! {
    /// Changes of the configuration.
    #[derive(Default)]
    pub struct ConfigReport {
        /// Changes accepted.
        pub changes: u64,
        /// Longest time from acceptance until in force in all daemons.
        pub slowest_in_force_ms: u64,
        /// Times at which a version went back.
        pub reverted: u64,
    }
}

value_type! {
    /// All that the demo prints.
    pub struct DemoReport {
        /// Services.
        pub services: Vec<ServiceReport>,
        /// Batch work.
        pub batch: BatchReport,
        /// Counts that must be zero.
        pub invariants: Invariants,
        /// Configuration.
        pub config: ConfigReport,
    }
}

impl DemoReport {
    /// Whether every promise and invariant held.
    pub fn is_good(&self) -> bool {
        self.invariants == Invariants::default()
            && self.config.reverted == 0
            && self.batch.finished == self.batch.jobs
            && self.services.iter().all(|service| service.held)
    }
}

/// What the demo is asked to do.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// Folder with one folder per deployment.
    pub examples: PathBuf,
    /// Runs one attempt twice, to show that the check can fail.
    pub break_double_run: bool,
}

struct Deployment {
    settings: Settings,
    config: ConfigDoc,
    trace: Vec<TraceRow>,
    jobs: Vec<JobSpec>,
}

struct Floor {
    store: StoreStandin,
    store_addr: SocketAddr,
    workers: WorkersStandin,
    upstreams: Vec<UpstreamStandin>,
}

/// Runs the demo.
pub async fn run(options: &DemoOptions) -> Result<DemoReport, Error> {
    let deployments = load(&options.examples)?;
    let stop = CancellationToken::new();
    let (floor, base) = start_floor(&deployments, &stop).await?;
    if options.break_double_run {
        let faults = WorkerFaults { double_run: true, ..WorkerFaults::default() };
        floor.workers.set_faults(1, faults.clone());
        floor.workers.set_faults(2, faults);
    }
    let settings = daemon_settings(&base, &floor)?;
    let daemons =
        settings.iter().map(|one| start(one, &stop)).collect::<Result<Vec<Daemon>, Error>>()?;
    let report = tokio::time::timeout(DEMO_LIMIT, play(&deployments, &daemons, &floor)).await;
    stop.cancel();
    let joined = tokio::task::spawn_blocking(|| daemons.into_iter().for_each(Daemon::join));
    let _ = joined.await;
    report.map_err(|_| Error::new(ErrorKind::Unreachable, "the demo did not end in time"))?
}

fn load(examples: &Path) -> Result<Vec<Deployment>, Error> {
    ["billfold", "carpatia"]
        .iter()
        .map(|name| {
            let folder = examples.join(name);
            Ok(Deployment {
                settings: settings::read(&folder.join("daemon.yaml"))
                    .map_err(|error| Error::new(ErrorKind::Settings, error.to_string()))?,
                config: read_yaml(&folder.join("config.yaml"))?,
                trace: read_trace(&folder.join("requests.csv"))?,
                jobs: read_yaml(&folder.join("jobs.yaml"))?,
            })
        })
        .collect()
}

fn read_yaml<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, Error> {
    let wrong = |error: &dyn std::fmt::Display| {
        Error::new(ErrorKind::Settings, format!("{}: {error}", path.display()))
    };
    let text = std::fs::read_to_string(path).map_err(|error| wrong(&error))?;
    serde_yaml_ng::from_str(&text).map_err(|error| wrong(&error))
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Starts stand-ins for both floors; worker identities are made distinct over the deployments.
async fn start_floor(
    deployments: &[Deployment],
    stop: &CancellationToken,
) -> Result<(Floor, Settings), Error> {
    let store = StoreStandin::default();
    let store_addr = start_store(&store, loopback(), stop).await?;
    let mut base = deployments[0].settings.clone();
    let mut upstreams = Vec::new();
    base.pools.clear();
    base.cells.clear();
    for (nth, deployment) in deployments.iter().enumerate() {
        for (name, pool) in &deployment.settings.pools {
            let mut pool = pool.clone();
            for one in &mut pool {
                let standin = UpstreamStandin::new(one.slots as usize, UpstreamFaults::default());
                one.addr = start_upstream(&standin, loopback(), stop).await?;
                one.id += 1_000 * nth as u32;
                upstreams.push(standin);
            }
            base.pools.insert(name.clone(), pool);
        }
        for (name, cell) in &deployment.settings.cells {
            let mut cell = cell.clone();
            cell.poll_ms = 100;
            cell.workers.iter_mut().for_each(|worker| worker.id += 1_000 * nth as u32);
            base.cells.insert(name.clone(), cell);
        }
    }
    let specs: Vec<WorkerSpec> =
        base.cells.values().flat_map(|cell| cell.workers.iter().cloned()).collect();
    let workers = WorkersStandin::new(&specs);
    let workers_addr = start_workers(&workers, loopback(), stop).await?;
    base.cells.values_mut().for_each(|cell| cell.addr = workers_addr);
    Ok((Floor { store, store_addr, workers, upstreams }, base))
}

fn daemon_settings(base: &Settings, floor: &Floor) -> Result<Vec<Settings>, Error> {
    let members: BTreeMap<String, SocketAddr> = (1..=DAEMONS)
        .map(|nth| Ok((format!("entry-{nth}"), fresh_address())))
        .collect::<Result<_, Error>>()?;
    let one = |(name, addr): (&String, &SocketAddr)| {
        let mut settings = base.clone();
        settings.instance.clone_from(name);
        settings.entry.addr = loopback();
        settings.admin.addr = loopback();
        settings.peers.addr = *addr;
        settings.peers.members = members.clone();
        settings.peers.members.remove(name);
        settings.store.addr = floor.store_addr;
        settings.store.renew_ms = 300;
        settings
    };
    Ok(members.iter().map(one).collect())
}

async fn play(
    deployments: &[Deployment],
    daemons: &[Daemon],
    floor: &Floor,
) -> Result<DemoReport, Error> {
    let client = JsonClient::default();
    let mut config = ConfigReport::default();
    let mut doc = ConfigDoc::default();
    for deployment in deployments {
        let one = deployment.config.clone();
        change(&client, daemons, &mut config, &one).await?;
        doc.profiles.extend(one.profiles);
        doc.services.extend(one.services);
    }
    let jobs: Vec<JobSpec> = deployments.iter().flat_map(|one| one.jobs.clone()).collect();
    let started = Instant::now();
    let entries: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.entry_addr).collect();
    let senders = deployments.iter().enumerate().flat_map(|(nth, one)| {
        let entries = &entries;
        one.trace.iter().enumerate().map(move |(index, row)| {
            tokio::spawn(send(entries[index % entries.len()], nth, index, row.clone(), started))
        })
    });
    let senders: Vec<_> = senders.collect();
    for job in &jobs {
        submit(&client, daemons, job).await?;
    }
    let requests = async {
        tokio::time::sleep(HALFWAY).await;
        change(&client, daemons, &mut config, &halfway(&doc)).await?;
        let replies = futures::future::try_join_all(senders).await;
        replies.map_err(|error| Error::new(ErrorKind::Protocol, format!("sender: {error}")))
    };
    let (replies, batch) = tokio::join!(requests, await_jobs(&jobs, floor, started));
    let replies = replies?;
    Ok(report(&doc, &jobs, &replies, floor, batch, config))
}

/// The change made half-way: the first latency-critical profile gets another priority.
fn halfway(doc: &ConfigDoc) -> ConfigDoc {
    let profiles = doc
        .profiles
        .iter()
        .filter(|(_, profile)| profile.class == ProfileClass::LatencyCritical)
        .take(1)
        .map(|(name, profile)| (name.clone(), Profile { priority: 8, ..profile.clone() }))
        .collect();
    ConfigDoc { profiles, ..ConfigDoc::default() }
}

async fn change(
    client: &JsonClient,
    daemons: &[Daemon],
    report: &mut ConfigReport,
    doc: &ConfigDoc,
) -> Result<(), Error> {
    let change = ConfigChange {
        operation_id: format!("demo-{}", report.changes),
        base_version: 0,
        author: "demo".to_owned(),
        reason: "demo".to_owned(),
        profiles: doc
            .profiles
            .iter()
            .map(|(name, one)| (name.clone(), Some(one.clone())))
            .collect(),
        services: doc
            .services
            .iter()
            .map(|(name, one)| (name.clone(), Some(one.clone())))
            .collect(),
        teams: doc.teams.iter().map(|(name, one)| (name.clone(), Some(one.clone()))).collect(),
        evacuations: Default::default(),
    };
    let addr = daemons[report.changes as usize % daemons.len()].admin_addr;
    let made: VersionedConfig =
        client.call(Method::POST, addr, "/v1/config", &change, CALL_LIMIT).await?;
    let accepted = Instant::now();
    for daemon in daemons {
        loop {
            let seen: VersionedConfig =
                client.call(Method::GET, daemon.admin_addr, "/v1/config", &(), CALL_LIMIT).await?;
            if seen.version >= made.version {
                break;
            }
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    }
    report.changes += 1;
    report.slowest_in_force_ms =
        report.slowest_in_force_ms.max(accepted.elapsed().as_millis() as u64);
    Ok(())
}

async fn submit(client: &JsonClient, daemons: &[Daemon], job: &JobSpec) -> Result<(), Error> {
    let mut last = Error::new(ErrorKind::NoUpstream, "no daemon");
    for nth in 0..200 {
        let addr = daemons[nth % daemons.len()].admin_addr;
        let sent: Result<JobStatus, Error> =
            client.call(Method::POST, addr, "/v1/jobs", job, CALL_LIMIT).await;
        match sent {
            Ok(_) => return Ok(()),
            Err(error) => last = error,
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Err(last)
}

async fn await_jobs(jobs: &[JobSpec], floor: &Floor, started: Instant) -> BatchReport {
    let mut report = BatchReport { jobs: jobs.len() as u64, ..BatchReport::default() };
    let mut over = vec![false; jobs.len()];
    while over.contains(&false) && started.elapsed() < DEMO_LIMIT / 2 {
        let books = floor.workers.audit();
        for (job, over) in jobs.iter().zip(&mut over) {
            let done = |index: &u32| books.finished.contains_key(&format!("{}/{index}", job.id));
            if !*over && (0..job.tasks).filter(done).count() == job.tasks as usize {
                *over = true;
                report.finished += 1;
                let took_ms = started.elapsed().as_millis() as u64;
                report.late += u64::from(job.deadline_ms > 0 && took_ms > job.deadline_ms);
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let books = floor.workers.audit();
    report.evictions = books.stopped;
    report.resumed = books.resumed;
    report
}

fn report(
    doc: &ConfigDoc,
    jobs: &[JobSpec],
    replies: &[Reply],
    floor: &Floor,
    batch: BatchReport,
    config: ConfigReport,
) -> DemoReport {
    let services = doc
        .services
        .iter()
        .map(|(name, service)| service_report(name, service, doc, replies))
        .collect();
    let mut ran: BTreeMap<String, u32> = BTreeMap::new();
    for books in floor.upstreams.iter().map(UpstreamStandin::audit) {
        for (id, times) in books.ran {
            *ran.entry(id).or_default() += times;
        }
    }
    let books = floor.workers.audit();
    let tasks =
        jobs.iter().flat_map(|job| (0..job.tasks).map(|index| format!("{}/{index}", job.id)));
    let finished = |task: String| books.finished.get(&task).copied().unwrap_or(0);
    let mut invariants = Invariants {
        overcommitted: books.overcommitted,
        double_runs: books.double_runs,
        ..Invariants::default()
    };
    for times in tasks.map(finished) {
        invariants.lost += u64::from(times == 0);
        invariants.double_runs += u64::from(times > 1);
    }
    for reply in replies {
        let times = ran.get(&reply.id).copied().unwrap_or(0);
        invariants.wrong_answers += u64::from(reply.is_wrong);
        invariants.non_repeatable_twice += u64::from(times > 1 && reply.method == "POST");
        invariants.false_not_run += u64::from(reply.says_not_run && times > 0);
    }
    let _ = floor.store.audit();
    DemoReport { services, batch, invariants, config }
}

fn service_report(
    name: &str,
    service: &Service,
    doc: &ConfigDoc,
    replies: &[Reply],
) -> ServiceReport {
    let promise_ms = doc.profiles.get(&service.profile).map_or(0, |profile| profile.answer_ms);
    let mut times = Histogram::<u64>::new_with_bounds(1, 60_000_000, 3)
        .unwrap_or_else(|_| unreachable!("the bounds are constants in order"));
    let of_service = replies.iter().filter(|reply| reply.service == name);
    let (mut requests, mut answered, mut refused_not_run, mut outcome_unknown) = (0, 0, 0, 0);
    for reply in of_service {
        requests += 1;
        if reply.is_answer {
            answered += 1;
            times.saturating_record(reply.took_us);
        } else if reply.says_not_run {
            refused_not_run += 1;
        } else {
            outcome_unknown += 1;
        }
    }
    let p99_ms = times.value_at_quantile(0.99) as f64 / 1e3;
    ServiceReport {
        name: name.to_owned(),
        profile: service.profile.clone(),
        promise_ms,
        requests,
        answered,
        refused_not_run,
        outcome_unknown,
        p50_ms: times.value_at_quantile(0.5) as f64 / 1e3,
        p99_ms,
        held: p99_ms <= f64::from(promise_ms) && answered * 100 >= requests * 99,
    }
}
