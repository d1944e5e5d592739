//! Inputs of a simulation: workers, services, batch classes, jobs and scheduled events.
//!
//! The types named `*Truth` hold the actual behaviour, which no scheduler but the oracle sees.

use agatesill_policy::prelude::*;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// Size of a deployment's cluster.
#[derive(Clone, Copy, Debug)]
pub struct ClusterSize {
    /// Number of workers.
    pub workers: u32,
    /// Processors of each worker.
    pub cpus: u64,
    /// Memory of each worker.
    pub memory_mb: u64,
    /// Workers in a rack.
    pub rack_size: u32,
    /// Number of availability zones.
    pub zones: u32,
    /// Number of services on each worker.
    pub services_each: usize,
    /// Processors reserved for each service.
    pub service_cpus: u64,
}

/// Cluster of the Billfold deployment.
pub const BILLFOLD: ClusterSize = ClusterSize {
    workers: 50,
    cpus: 16,
    memory_mb: 60_000,
    rack_size: 8,
    zones: 3,
    services_each: 2,
    service_cpus: 3,
};

/// Cluster of the Carpatia deployment.
pub const CARPATIA: ClusterSize = ClusterSize {
    workers: 50,
    cpus: 32,
    memory_mb: 125_000,
    rack_size: 6,
    zones: 4,
    services_each: 3,
    service_cpus: 4,
};

/// Cluster for a seed: odd seeds use Billfold's, even ones Carpatia's.
pub fn cluster_for_seed(seed: u64) -> ClusterSize {
    if seed % 2 == 1 { BILLFOLD } else { CARPATIA }
}

impl ClusterSize {
    /// Specifications of all workers.
    pub fn specs(&self) -> Vec<WorkerSpec> {
        (0..self.workers)
            .map(|id| {
                let rack = id / self.rack_size;
                WorkerSpec {
                    id,
                    capacity: Resources {
                        cpu_milli: self.cpus * 1_000,
                        memory_mb: self.memory_mb,
                        accelerators: 0,
                    },
                    rack: format!("rack-{rack}"),
                    zone: format!("zone-{}", rack % self.zones),
                }
            })
            .collect()
    }

    /// Processors of all workers together that no service reserves.
    pub fn batch_cpus(&self) -> u64 {
        let services = self.services_each as u64 * self.service_cpus;
        u64::from(self.workers) * (self.cpus - services)
    }
}

/// Actual behaviour of a service.
#[derive(Clone, Debug)]
pub struct ServiceTruth {
    /// Name.
    pub name: String,
    /// Logarithm of the ratio of tail latency to objective at no load, without batch tasks on the
    /// worker.
    pub base_ln: f64,
    /// Increase of that logarithm from no load to full load.
    pub rise_ln: f64,
    /// Increase of that logarithm for each processor that a class uses at full load, by class.
    pub slowdown: Vec<f64>,
    /// Period of its load, a sine wave.
    pub period_ms: f64,
    /// Start of the load within the period, from 0 to 1.
    pub phase: f64,
}

/// Actual behaviour of a class of batch work.
#[derive(Clone, Debug)]
pub struct ClassTruth {
    /// Name.
    pub name: String,
    /// Ratio of actual to declared run time.
    pub time_ratio: f64,
    /// Ratio of actual to declared processor use.
    pub cpu_ratio: f64,
    /// Ratio of actual to declared memory use.
    pub memory_ratio: f64,
}

/// A job with its actual behaviour.
#[derive(Clone, Debug)]
pub struct JobTruth {
    /// Specification as submitted.
    pub spec: JobSpec,
    /// When it is submitted.
    pub arrive_ms: u64,
    /// Index of its class.
    pub class: usize,
    /// Actual run time of each task.
    pub work_ms: Vec<u64>,
    /// Kind of failure, if every attempt fails.
    pub failure: Option<FailureKind>,
}

/// An event that happens at a fixed time of the run.
#[derive(Clone, Debug)]
pub enum ScheduledEvent {
    /// A submitter cancels a job.
    Cancel(usize),
    /// Workers stop at once; the scheduler detects it after a delay.
    Lose(Vec<WorkerId>),
    /// Workers return without tasks.
    Return(Vec<WorkerId>),
}

/// All inputs of one simulation.
#[derive(Clone, Debug)]
pub struct ClusterModel {
    /// Size of the cluster.
    pub cluster: ClusterSize,
    /// Services; each worker runs `cluster.services_each` of them.
    pub services: Vec<ServiceTruth>,
    /// Classes of batch work.
    pub classes: Vec<ClassTruth>,
    /// Jobs in the order of arrival.
    pub jobs: Vec<JobTruth>,
    /// Faulty workers, on which every attempt fails.
    pub faulty_workers: Vec<WorkerId>,
    /// Events with their times.
    pub scheduled_events: Vec<(u64, ScheduledEvent)>,
    /// Configuration: profiles and teams.
    pub doc: ConfigDoc,
    /// Time at which the run ends at the latest.
    pub horizon_ms: u64,
    /// Age of a usage report at its arrival.
    pub report_delay_ms: u64,
    /// Seed of the noise in usage reports.
    pub seed: u64,
    /// Workers with twice the capacity.
    pub large: Vec<WorkerId>,
    /// Whether the run ends as soon as all jobs have ended.
    pub until_idle: bool,
}

impl ClusterModel {
    /// A cluster without services, jobs and events.
    pub fn empty(cluster: ClusterSize, seed: u64, horizon_ms: u64) -> Self {
        Self {
            cluster: ClusterSize { services_each: 0, ..cluster },
            services: Vec::new(),
            classes: Vec::new(),
            jobs: Vec::new(),
            faulty_workers: Vec::new(),
            scheduled_events: Vec::new(),
            doc: ConfigDoc::default(),
            horizon_ms,
            report_delay_ms: 5_000,
            seed,
            large: Vec::new(),
            until_idle: true,
        }
    }

    /// Specifications of all workers.
    pub fn specs(&self) -> Vec<WorkerSpec> {
        let mut specs = self.cluster.specs();
        for id in &self.large {
            let capacity = &mut specs[*id as usize].capacity;
            *capacity = capacity.plus(&capacity.clone());
        }
        specs
    }

    /// Adds a class, given its ratios of actual to declared use, and returns its index.
    pub fn class(&mut self, name: &str, time: f64, cpu: f64, memory: f64) -> usize {
        self.classes.push(ClassTruth {
            name: name.to_owned(),
            time_ratio: time,
            cpu_ratio: cpu,
            memory_ratio: memory,
        });
        self.classes.len() - 1
    }

    /// Adds a job; the actual run times of its tasks are those of its class with 15% of noise.
    pub fn job(&mut self, rng: &mut Pcg64Mcg, class: usize, arrive_ms: u64, spec: JobSpec) {
        let ratio = self.classes[class].time_ratio;
        let work = |rng: &mut Pcg64Mcg| {
            let spread = rng.random_range(0.85..1.15);
            ((spec.run_ms as f64 * ratio * spread) as u64).max(100)
        };
        let work_ms = (0..spec.tasks).map(|_| work(rng)).collect();
        self.jobs.push(JobTruth { spec, arrive_ms, class, work_ms, failure: None });
    }

    /// Load of a service on a worker, from 0 to 1.
    pub fn load(&self, service: usize, worker: WorkerId, now_ms: u64) -> f64 {
        let truth = &self.services[service];
        let angle = now_ms as f64 / truth.period_ms + truth.phase + f64::from(worker % 7) * 0.05;
        let sine = 0.5 + 0.5 * (angle * std::f64::consts::TAU).sin();
        // Load bursts hit a few workers at a time, different ones each minute.
        let minute = now_ms / 60_000;
        let hash = (minute * 31 + u64::from(worker) * 17 + service as u64 * 7) % 23;
        let burst = if hash == 0 { 0.25 } else { 0.0 };
        (0.25 + 0.65 * sine + burst).min(1.0)
    }

    /// Indices of the services on a worker.
    pub fn services_on(&self, worker: WorkerId) -> impl Iterator<Item = usize> + '_ {
        let count = self.services.len().max(1);
        (0..self.cluster.services_each).map(move |nth| (worker as usize * 2 + nth) % count)
    }

    /// Logarithm of the ratio of a service's tail latency to its objective, next to batch tasks
    /// that use `cpus` processors of each class.
    pub fn tail_ratio_ln(&self, service: usize, load: f64, cpus: &[f64]) -> f64 {
        let truth = &self.services[service];
        let interference_sum: f64 =
            cpus.iter().zip(&truth.slowdown).map(|(cpus, slowdown)| cpus * slowdown).sum();
        // Several neighbours interfere more than their sum, which no scheduler models.
        let interference = interference_sum + 0.2 * interference_sum * interference_sum;
        truth.base_ln + truth.rise_ln * load * load + interference * (0.3 + 0.7 * load)
    }
}

/// A batch job with default values for all other fields.
pub fn batch_job(id: String, team: &str, class: &str, tasks: u32, need: Resources) -> JobSpec {
    JobSpec {
        id,
        team: team.to_owned(),
        profile: "bulk".to_owned(),
        class: class.to_owned(),
        tasks,
        need,
        run_ms: 60_000,
        deadline_ms: 0,
        urgent: false,
        after: Vec::new(),
    }
}

/// A resource amount without accelerators.
pub fn need(cpu_milli: u64, memory_mb: u64) -> Resources {
    Resources { cpu_milli, memory_mb, accelerators: 0 }
}

/// A configuration with one latency-critical and one batch profile.
pub fn profiles(evictions_per_hour: u32) -> ConfigDoc {
    let mut doc = ConfigDoc::default();
    let profile = |class| Profile {
        class,
        answer_ms: 250,
        priority: 5,
        queue_requests: 0,
        evictions_per_hour,
        throttle_percent: 25,
    };
    doc.profiles.insert("desk".to_owned(), profile(ProfileClass::LatencyCritical));
    doc.profiles.insert("bulk".to_owned(), profile(ProfileClass::Batch));
    doc
}
