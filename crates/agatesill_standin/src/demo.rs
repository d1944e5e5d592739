//! Demo of all components in one process: stand-ins, three daemons, request traces and batch jobs.
//!
//! Every count comes from the stand-ins' audit logs or from the responses that callers received.

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

/// Number of daemons.
const DAEMONS: usize = 3;

/// Timeout of all parts of the demo together.
const DEMO_TIMEOUT: Duration = Duration::from_secs(50);

/// Time of the profile change, relative to the start of the trace.
const CONFIG_CHANGE_AT: Duration = Duration::from_secs(2);

/// Timeout of one control call.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

value_type! {
    /// Results of one service as its callers observed them.
    pub struct ServiceReport {
        /// Name of the service.
        pub name: String,
        /// Profile of the service.
        pub profile: String,
        /// Latency objective.
        pub promise_ms: u32,
        /// Requests sent.
        pub requests: u64,
        /// Upstream responses received.
        pub answered: u64,
        /// Refusals that report the request as not run.
        pub refused_not_run: u64,
        /// Failures after which the request may have run.
        pub outcome_unknown: u64,
        /// Median response time.
        pub p50_ms: f64,
        /// 99th percentile of the response time.
        pub p99_ms: f64,
        /// Whether `p99_ms` met the objective and at least 99% of the requests were answered.
        pub held: bool,
    }
}

value_type! {
    /// Results of the batch jobs as the workers recorded them.
    #[derive(Default)]
    pub struct BatchReport {
        /// Jobs submitted.
        pub jobs: u64,
        /// Jobs of which all tasks finished.
        pub finished: u64,
        /// Jobs that finished after their deadline.
        pub late: u64,
        /// Attempts stopped before they finished.
        pub evictions: u64,
        /// Attempts that started from a checkpoint.
        pub resumed: u64,
    }
}

value_type! {
    /// Violation counts, which must all be zero.
    #[derive(Default)]
    pub struct Invariants {
        /// Starts after which the running attempts of a worker exceeded its capacity.
        pub overcommitted: u64,
        /// Tasks that ran on two workers concurrently or finished twice.
        pub double_runs: u64,
        /// Accepted tasks that never finished.
        pub lost: u64,
        /// Responses that belong to another request or are truncated.
        pub wrong_answers: u64,
        /// Non-repeatable requests that ran more than once.
        pub non_repeatable_twice: u64,
        /// Refusals that reported a request as not run although it ran.
        pub false_not_run: u64,
    }
}

value_type! {
    /// Results of the configuration changes.
    #[derive(Default)]
    pub struct ConfigReport {
        /// Accepted changes.
        pub changes: u64,
        /// Longest time from acceptance until active in all daemons.
        pub slowest_in_force_ms: u64,
        /// Number of times that a version decreased.
        pub reverted: u64,
    }
}

value_type! {
    /// Report of the demo.
    pub struct DemoReport {
        /// Results of each service.
        pub services: Vec<ServiceReport>,
        /// Results of the batch jobs.
        pub batch: BatchReport,
        /// Violation counts.
        pub invariants: Invariants,
        /// Results of the configuration changes.
        pub config: ConfigReport,
    }
}

impl DemoReport {
    /// Whether all objectives and invariants held, no version decreased and all jobs finished.
    pub fn is_success(&self) -> bool {
        self.invariants == Invariants::default()
            && self.config.reverted == 0
            && self.batch.finished == self.batch.jobs
            && self.services.iter().all(|service| service.held)
    }
}

/// Options of the demo.
#[derive(Clone, Debug)]
pub struct DemoOptions {
    /// Folder with one subfolder per deployment.
    pub examples: PathBuf,
    /// Runs one attempt twice on purpose, to show that the check can fail.
    pub break_double_run: bool,
}

struct Deployment {
    settings: Settings,
    config: ConfigDoc,
    trace: Vec<TraceRow>,
    jobs: Vec<JobSpec>,
}

struct Platform {
    store: StoreStandin,
    store_addr: SocketAddr,
    workers: WorkersStandin,
    upstreams: Vec<UpstreamStandin>,
}

/// Runs the demo and returns its report.
pub async fn run(options: &DemoOptions) -> Result<DemoReport, Error> {
    let deployments = load(&options.examples)?;
    let stop = CancellationToken::new();
    let (platform, base) = start_platform(&deployments, &stop).await?;
    if options.break_double_run {
        let faults = WorkerFaults { double_run: true, ..WorkerFaults::default() };
        platform.workers.set_faults(1, faults.clone());
        platform.workers.set_faults(2, faults);
    }
    let settings = daemon_settings(&base, &platform)?;
    let daemons = settings
        .iter()
        .map(|settings| start(settings, &stop))
        .collect::<Result<Vec<Daemon>, Error>>()?;
    let report =
        tokio::time::timeout(DEMO_TIMEOUT, run_load(&deployments, &daemons, &platform)).await;
    stop.cancel();
    let joined = tokio::task::spawn_blocking(|| daemons.into_iter().for_each(Daemon::join));
    let _ = joined.await;
    report.map_err(|_| Error::new(ErrorKind::Unreachable, "demo timed out"))?
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
    let settings_error = |error: &dyn std::fmt::Display| {
        Error::new(ErrorKind::Settings, format!("{}: {error}", path.display()))
    };
    let text = std::fs::read_to_string(path).map_err(|error| settings_error(&error))?;
    serde_yaml_ng::from_str(&text).map_err(|error| settings_error(&error))
}

fn loopback() -> SocketAddr {
    (Ipv4Addr::LOCALHOST, 0).into()
}

/// Starts stand-ins for all deployments and returns them with the merged settings. Ids of workers
/// and upstreams are offset so that they are distinct across deployments.
async fn start_platform(
    deployments: &[Deployment],
    stop: &CancellationToken,
) -> Result<(Platform, Settings), Error> {
    let store = StoreStandin::default();
    let store_addr = start_store(&store, loopback(), stop).await?;
    let mut base = deployments[0].settings.clone();
    let mut upstreams = Vec::new();
    base.pools.clear();
    base.cells.clear();
    for (nth, deployment) in deployments.iter().enumerate() {
        for (name, pool) in &deployment.settings.pools {
            let mut pool = pool.clone();
            for upstream in &mut pool {
                let standin =
                    UpstreamStandin::new(upstream.slots as usize, UpstreamFaults::default());
                upstream.addr = start_upstream(&standin, loopback(), stop).await?;
                upstream.id += 1_000 * nth as u32;
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
    Ok((Platform { store, store_addr, workers, upstreams }, base))
}

fn daemon_settings(base: &Settings, platform: &Platform) -> Result<Vec<Settings>, Error> {
    let members: BTreeMap<String, SocketAddr> = (1..=DAEMONS)
        .map(|nth| Ok((format!("entry-{nth}"), fresh_address())))
        .collect::<Result<_, Error>>()?;
    let instance_settings = |(name, addr): (&String, &SocketAddr)| {
        let mut settings = base.clone();
        settings.instance.clone_from(name);
        settings.entry.addr = loopback();
        settings.admin.addr = loopback();
        settings.peers.addr = *addr;
        settings.peers.members = members.clone();
        settings.peers.members.remove(name);
        settings.store.addr = platform.store_addr;
        settings.store.renew_ms = 300;
        settings
    };
    Ok(members.iter().map(instance_settings).collect())
}

async fn run_load(
    deployments: &[Deployment],
    daemons: &[Daemon],
    platform: &Platform,
) -> Result<DemoReport, Error> {
    let client = JsonClient::default();
    let mut config = ConfigReport::default();
    let mut doc = ConfigDoc::default();
    for deployment in deployments {
        let deployment_config = deployment.config.clone();
        apply_config(&client, daemons, &mut config, &deployment_config).await?;
        doc.profiles.extend(deployment_config.profiles);
        doc.services.extend(deployment_config.services);
    }
    let jobs: Vec<JobSpec> =
        deployments.iter().flat_map(|deployment| deployment.jobs.clone()).collect();
    let started = Instant::now();
    let entries: Vec<SocketAddr> = daemons.iter().map(|daemon| daemon.entry_addr).collect();
    let senders = deployments.iter().enumerate().flat_map(|(nth, deployment)| {
        let entries = &entries;
        deployment.trace.iter().enumerate().map(move |(index, row)| {
            tokio::spawn(send(entries[index % entries.len()], nth, index, row.clone(), started))
        })
    });
    let senders: Vec<_> = senders.collect();
    for job in &jobs {
        submit(&client, daemons, job).await?;
    }
    let requests = async {
        tokio::time::sleep(CONFIG_CHANGE_AT).await;
        apply_config(&client, daemons, &mut config, &priority_change(&doc)).await?;
        let replies = futures::future::try_join_all(senders).await;
        replies.map_err(|error| Error::new(ErrorKind::Protocol, format!("sender task: {error}")))
    };
    let (replies, batch) = tokio::join!(requests, await_jobs(&jobs, platform, started));
    let replies = replies?;
    Ok(report(&doc, &jobs, &replies, platform, batch, config))
}

/// Returns the change made during the trace: a new priority of the first latency-critical profile.
fn priority_change(doc: &ConfigDoc) -> ConfigDoc {
    let profiles = doc
        .profiles
        .iter()
        .filter(|(_, profile)| profile.class == ProfileClass::LatencyCritical)
        .take(1)
        .map(|(name, profile)| (name.clone(), Profile { priority: 8, ..profile.clone() }))
        .collect();
    ConfigDoc { profiles, ..ConfigDoc::default() }
}

async fn apply_config(
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
            .map(|(name, value)| (name.clone(), Some(value.clone())))
            .collect(),
        services: doc
            .services
            .iter()
            .map(|(name, value)| (name.clone(), Some(value.clone())))
            .collect(),
        teams: doc.teams.iter().map(|(name, value)| (name.clone(), Some(value.clone()))).collect(),
        evacuations: Default::default(),
    };
    let addr = daemons[report.changes as usize % daemons.len()].admin_addr;
    let committed: VersionedConfig =
        client.call(Method::POST, addr, "/v1/config", &change, CALL_TIMEOUT).await?;
    let accepted = Instant::now();
    for daemon in daemons {
        loop {
            let seen: VersionedConfig = client
                .call(Method::GET, daemon.admin_addr, "/v1/config", &(), CALL_TIMEOUT)
                .await?;
            if seen.version >= committed.version {
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
    let mut last_error = Error::new(ErrorKind::NoUpstream, "no daemon called");
    for nth in 0..200 {
        let addr = daemons[nth % daemons.len()].admin_addr;
        let sent: Result<JobStatus, Error> =
            client.call(Method::POST, addr, "/v1/jobs", job, CALL_TIMEOUT).await;
        match sent {
            Ok(_) => return Ok(()),
            Err(error) => last_error = error,
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    Err(last_error)
}

async fn await_jobs(jobs: &[JobSpec], platform: &Platform, started: Instant) -> BatchReport {
    let mut report = BatchReport { jobs: jobs.len() as u64, ..BatchReport::default() };
    let mut finished_jobs = vec![false; jobs.len()];
    while finished_jobs.contains(&false) && started.elapsed() < DEMO_TIMEOUT / 2 {
        let audit = platform.workers.audit();
        for (job, is_finished) in jobs.iter().zip(&mut finished_jobs) {
            let done = |index: &u32| audit.finished.contains_key(&format!("{}/{index}", job.id));
            if !*is_finished && (0..job.tasks).filter(done).count() == job.tasks as usize {
                *is_finished = true;
                report.finished += 1;
                let elapsed_ms = started.elapsed().as_millis() as u64;
                report.late += u64::from(job.deadline_ms > 0 && elapsed_ms > job.deadline_ms);
            }
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let audit = platform.workers.audit();
    report.evictions = audit.stopped;
    report.resumed = audit.resumed;
    report
}

fn report(
    doc: &ConfigDoc,
    jobs: &[JobSpec],
    replies: &[Reply],
    platform: &Platform,
    batch: BatchReport,
    config: ConfigReport,
) -> DemoReport {
    let services = doc
        .services
        .iter()
        .map(|(name, service)| service_report(name, service, doc, replies))
        .collect();
    let mut ran: BTreeMap<String, u32> = BTreeMap::new();
    for audit in platform.upstreams.iter().map(UpstreamStandin::audit) {
        for (id, times) in audit.ran {
            *ran.entry(id).or_default() += times;
        }
    }
    let audit = platform.workers.audit();
    let tasks =
        jobs.iter().flat_map(|job| (0..job.tasks).map(|index| format!("{}/{index}", job.id)));
    let finished = |task: String| audit.finished.get(&task).copied().unwrap_or(0);
    let mut invariants = Invariants {
        overcommitted: audit.overcommitted,
        double_runs: audit.double_runs,
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
    let _ = platform.store.audit();
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
            times.saturating_record(reply.elapsed_us);
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
