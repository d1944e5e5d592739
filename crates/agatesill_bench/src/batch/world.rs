//! What a scenario is made of: a floor, services, classes of batch work and jobs, with the truth
//! that no scheduler is told.

use agatesill_policy::prelude::*;
use rand::Rng;
use rand_pcg::Pcg64Mcg;

/// A deployment's floor as the brief gives it.
#[derive(Clone, Copy, Debug)]
pub struct Floor {
    /// Workers.
    pub workers: u32,
    /// Processors of each.
    pub cpus: u64,
    /// Memory of each.
    pub memory_mb: u64,
    /// Workers in a rack.
    pub rack_size: u32,
    /// Availability zones.
    pub zones: u32,
    /// Services on each worker.
    pub services_each: usize,
    /// Processors reserved for each service.
    pub service_cpus: u64,
}

/// Billfold's floor.
pub const BILLFOLD: Floor = Floor {
    workers: 50,
    cpus: 16,
    memory_mb: 60_000,
    rack_size: 8,
    zones: 3,
    services_each: 2,
    service_cpus: 3,
};

/// Carpatia's floor.
pub const CARPATIA: Floor = Floor {
    workers: 50,
    cpus: 32,
    memory_mb: 125_000,
    rack_size: 6,
    zones: 4,
    services_each: 3,
    service_cpus: 4,
};

/// The floors of today, one of which each seed uses: odd seeds Billfold's, even ones Carpatia's.
pub fn floor_of(seed: u64) -> Floor {
    if seed % 2 == 1 { BILLFOLD } else { CARPATIA }
}

impl Floor {
    /// Its workers.
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

    /// Processors left for batch work.
    pub fn batch_cpus(&self) -> u64 {
        let services = self.services_each as u64 * self.service_cpus;
        u64::from(self.workers) * (self.cpus - services)
    }
}

/// A service's true behaviour.
#[derive(Clone, Debug)]
pub struct ServiceTruth {
    /// Name.
    pub name: String,
    /// Tail over the promise without neighbours at no load and its rise to full load, both as
    /// logarithms.
    pub base_ln: f64,
    /// See `base_ln`.
    pub rise_ln: f64,
    /// Rise of the logarithm for each processor of each class at full load.
    pub slowdown: Vec<f64>,
    /// Length and start of the swing of its load.
    pub period_ms: f64,
    /// See `period_ms`.
    pub phase: f64,
}

/// A class's true behaviour.
#[derive(Clone, Debug)]
pub struct ClassTruth {
    /// Name.
    pub name: String,
    /// True run time over the declared one.
    pub time_ratio: f64,
    /// True processor use over the declared one.
    pub cpu_ratio: f64,
    /// True memory use over the declared one.
    pub memory_ratio: f64,
}

/// A job with its truth.
#[derive(Clone, Debug)]
pub struct JobTruth {
    /// As submitted.
    pub spec: JobSpec,
    /// When.
    pub arrive_ms: u64,
    /// Index of its class.
    pub class: usize,
    /// True run time of each task.
    pub work_ms: Vec<u64>,
    /// How each attempt fails, if it does.
    pub fails: Option<FailureKind>,
}

/// Something that happens to the floor.
#[derive(Clone, Debug)]
pub enum Happening {
    /// A submitter cancels a job.
    Cancel(usize),
    /// Workers stop at once and are noticed after a while.
    Lose(Vec<WorkerId>),
    /// Workers return, empty.
    Return(Vec<WorkerId>),
}

/// A whole scenario.
#[derive(Clone, Debug)]
pub struct World {
    /// The floor.
    pub floor: Floor,
    /// Services; each worker runs `floor.services_each` of them.
    pub services: Vec<ServiceTruth>,
    /// Classes.
    pub classes: Vec<ClassTruth>,
    /// Jobs by arrival.
    pub jobs: Vec<JobTruth>,
    /// Workers that fail everything.
    pub poison: Vec<WorkerId>,
    /// What happens, by time.
    pub happenings: Vec<(u64, Happening)>,
    /// Profiles and teams.
    pub doc: ConfigDoc,
    /// End of the run.
    pub horizon_ms: u64,
    /// Age of usage reports when they arrive.
    pub lag_ms: u64,
    /// Seed of the noise.
    pub seed: u64,
    /// Workers of twice the size.
    pub large: Vec<WorkerId>,
    /// Whether the run ends when all jobs have ended.
    pub until_idle: bool,
}

impl World {
    /// A floor without services, jobs or troubles.
    pub fn empty(floor: Floor, seed: u64, horizon_ms: u64) -> Self {
        Self {
            floor: Floor { services_each: 0, ..floor },
            services: Vec::new(),
            classes: Vec::new(),
            jobs: Vec::new(),
            poison: Vec::new(),
            happenings: Vec::new(),
            doc: ConfigDoc::default(),
            horizon_ms,
            lag_ms: 5_000,
            seed,
            large: Vec::new(),
            until_idle: true,
        }
    }

    /// The workers.
    pub fn specs(&self) -> Vec<WorkerSpec> {
        let mut specs = self.floor.specs();
        for id in &self.large {
            let capacity = &mut specs[*id as usize].capacity;
            *capacity = capacity.plus(&capacity.clone());
        }
        specs
    }

    /// Adds a class and returns its index.
    pub fn class(&mut self, name: &str, time: f64, cpu: f64, memory: f64) -> usize {
        self.classes.push(ClassTruth {
            name: name.to_owned(),
            time_ratio: time,
            cpu_ratio: cpu,
            memory_ratio: memory,
        });
        self.classes.len() - 1
    }

    /// Adds a job of `tasks` tasks; the true run times follow from its class and a spread.
    pub fn job(&mut self, rng: &mut Pcg64Mcg, class: usize, arrive_ms: u64, spec: JobSpec) {
        let ratio = self.classes[class].time_ratio;
        let work = |rng: &mut Pcg64Mcg| {
            let spread = rng.random_range(0.85..1.15);
            ((spec.run_ms as f64 * ratio * spread) as u64).max(100)
        };
        let work_ms = (0..spec.tasks).map(|_| work(rng)).collect();
        self.jobs.push(JobTruth { spec, arrive_ms, class, work_ms, fails: None });
    }

    /// A service's load from 0 to 1 on a worker.
    pub fn load(&self, service: usize, worker: WorkerId, now_ms: u64) -> f64 {
        let truth = &self.services[service];
        let angle = now_ms as f64 / truth.period_ms + truth.phase + f64::from(worker % 7) * 0.05;
        let swing = 0.5 + 0.5 * (angle * std::f64::consts::TAU).sin();
        // A burst on a few workers at a time, other ones each minute.
        let minute = now_ms / 60_000;
        let mixed = (minute * 31 + u64::from(worker) * 17 + service as u64 * 7) % 23;
        let burst = if mixed == 0 { 0.25 } else { 0.0 };
        (0.25 + 0.65 * swing + burst).min(1.0)
    }

    /// The services on a worker.
    pub fn services_on(&self, worker: WorkerId) -> impl Iterator<Item = usize> + '_ {
        let count = self.services.len().max(1);
        (0..self.floor.services_each).map(move |nth| (worker as usize * 2 + nth) % count)
    }

    /// Logarithm of a service's tail over its promise beside `cpus` processors of each class.
    pub fn pressure_ln(&self, service: usize, load: f64, cpus: &[f64]) -> f64 {
        let truth = &self.services[service];
        let beside: f64 =
            cpus.iter().zip(&truth.slowdown).map(|(cpus, slowdown)| cpus * slowdown).sum();
        // Several neighbours hurt more than their sum, which no scheduler's model knows.
        let together = beside + 0.2 * beside * beside;
        truth.base_ln + truth.rise_ln * load * load + together * (0.3 + 0.7 * load)
    }
}

/// A declared batch job with the usual values.
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

/// Processors and memory.
pub fn need(cpu_milli: u64, memory_mb: u64) -> Resources {
    Resources { cpu_milli, memory_mb, accelerators: 0 }
}

/// A profile document with one latency-critical and one batch profile.
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
