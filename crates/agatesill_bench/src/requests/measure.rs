//! Runs all policies under one load and computes the figures that callers would measure.

use std::collections::BTreeMap;
use std::ops::Range;

use super::baseline::BaselineKind;
use super::engine::{
    CallerOutcome, Engine, EngineStats, Fault, FinishedRequest, PolicyKind, SAMPLE_INTERVAL_US,
};
use super::load::{DEPLOYMENTS, Deployment, Load, Phase, Shape};
use crate::result::{Check, PolicyResult, SeedResult, Series};

/// Concurrent runs, half of the cores of a small machine.
const CONCURRENT_RUNS: usize = 4;

/// Width of a bucket of the goodput plot.
const GOODPUT_BUCKET_US: u64 = 250_000;

/// Quantiles of the latency plot, in percent.
const QUANTILES: [f64; 9] = [10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9];

/// Microseconds in a second, for times in scenarios.
pub const SECOND_US: u64 = 1_000_000;

/// All policies by name, `agatesill` first.
pub const POLICIES: [(&str, PolicyKind); 7] = [
    ("agatesill", PolicyKind::Agatesill),
    ("central", PolicyKind::Central),
    ("round_robin", PolicyKind::Baseline(BaselineKind::RoundRobin)),
    ("least_local", PolicyKind::Baseline(BaselineKind::LeastLocal)),
    ("two_choices", PolicyKind::Baseline(BaselineKind::TwoChoices)),
    ("slots_lending", PolicyKind::Baseline(BaselineKind::SlotsLending)),
    ("no_admission", PolicyKind::Baseline(BaselineKind::NoAdmission)),
];

/// Names of the baseline policies; `central` is excluded, since no real deployment can run it.
pub const BASELINES: [&str; 5] =
    ["round_robin", "least_local", "two_choices", "slots_lending", "no_admission"];

/// Load and faults of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Offered load over time.
    pub phases: Vec<Phase>,
    /// Distribution of the arrivals.
    pub shape: Shape,
    /// Faults with their times.
    pub faults: Vec<(u64, Fault)>,
    /// End of the run.
    pub end_us: u64,
}

impl Plan {
    /// A plan of constant load with even arrivals and no faults.
    pub fn even(load: f64, end_us: u64) -> Self {
        let phases = vec![Phase { from_us: 0, load }];
        Self { phases, shape: Shape::Even, faults: Vec::new(), end_us }
    }
}

/// One policy's run.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// Every finished request.
    pub finished: Vec<FinishedRequest>,
    /// Measurements of the engine.
    pub stats: EngineStats,
}

impl Run {
    /// Finished requests that were sent within the span and pass the filter.
    pub fn within(
        &self,
        span: Range<u64>,
        filter: impl Fn(&FinishedRequest) -> bool,
    ) -> impl Iterator<Item = &FinishedRequest> {
        self.finished
            .iter()
            .filter(move |request| span.contains(&request.arrival.sent_us) && filter(request))
    }

    /// 99th percentile latency of the answered requests.
    pub fn p99_us(&self, span: Range<u64>, filter: impl Fn(&FinishedRequest) -> bool) -> f64 {
        let answered = self
            .within(span, |request| request.ended == CallerOutcome::Answered && filter(request))
            .map(FinishedRequest::latency_us);
        quantile(&mut answered.collect::<Vec<_>>(), 0.99)
    }

    /// Number of requests answered within the latency objective.
    pub fn answered_within_objective(&self, span: Range<u64>, promise_us: u64) -> f64 {
        let within_objective = |request: &FinishedRequest| {
            request.ended == CallerOutcome::Answered && request.latency_us() <= promise_us
        };
        self.within(span, within_objective).count() as f64
    }

    /// Share of the filtered requests that match `ended`.
    pub fn share(
        &self,
        span: Range<u64>,
        filter: impl Fn(&FinishedRequest) -> bool,
        ended: impl Fn(&FinishedRequest) -> bool,
    ) -> f64 {
        let (mut all, mut some) = (0u64, 0u64);
        for request in self.within(span, filter) {
            all += 1;
            some += u64::from(ended(request));
        }
        some as f64 / all.max(1) as f64
    }

    /// Ejected upstreams, the mean over all attempts.
    pub fn ejected_mean(&self) -> f64 {
        let sends: u32 = self.stats.attempts.iter().sum();
        self.stats.ejected as f64 / f64::from(sends.max(1))
    }

    /// Time from `from_us` until at most `max_queued` requests are queued.
    pub fn drained_after_us(&self, from_us: u64, max_queued: u32) -> u64 {
        let start = (from_us / SAMPLE_INTERVAL_US) as usize;
        let samples = self.stats.waiting.iter().skip(start);
        let busy = samples.take_while(|waiting| **waiting > max_queued).count();
        busy as u64 * SAMPLE_INTERVAL_US
    }
}

/// Filter that accepts every request.
pub fn any(_: &FinishedRequest) -> bool {
    true
}

/// A quantile of unsorted values; 0 without values.
pub fn quantile(values: &mut [u64], share: f64) -> f64 {
    if values.is_empty() {
        return 0.0;
    }
    let at = ((values.len() as f64 * share).ceil() as usize).clamp(1, values.len()) - 1;
    *values.select_nth_unstable(at).1 as f64
}

/// Runs one policy and records every finished request.
pub fn run(seed: u64, policy_kind: PolicyKind, deployment: &Deployment, plan: &Plan) -> Run {
    let mut finished = Vec::new();
    let stats = watch(seed, policy_kind, deployment, plan, &mut |request| finished.push(*request));
    Run { finished, stats }
}

/// Runs one policy and passes every finished request to `on_finished`.
pub fn watch(
    seed: u64,
    policy_kind: PolicyKind,
    deployment: &Deployment,
    plan: &Plan,
    on_finished: &mut dyn FnMut(&FinishedRequest),
) -> EngineStats {
    let load = Load::new(seed, deployment, &plan.phases, plan.shape);
    Engine::new(seed, policy_kind, deployment, load, &plan.faults, plan.end_us, on_finished).run()
}

/// Figures and plots of one policy in one deployment.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Figures by name.
    pub values: BTreeMap<String, f64>,
    /// Series of the plots.
    pub series: Vec<Series>,
}

impl Figures {
    /// Adds a figure.
    pub fn set(&mut self, name: &str, value: f64) {
        self.values.insert(name.to_owned(), value);
    }

    /// A figure; 0 if there is none of that name.
    pub fn get(&self, name: &str) -> f64 {
        self.values.get(name).copied().unwrap_or(0.0)
    }

    /// Adds the mean number of ejected upstreams, and plots of latency quantiles and goodput over
    /// time.
    pub fn plot(&mut self, run: &Run, span: Range<u64>, deployment: &Deployment) {
        self.set("upstreams_out_mean", run.ejected_mean());
        let mut latencies: Vec<u64> = run
            .within(span, |request| request.ended == CallerOutcome::Answered)
            .map(FinishedRequest::latency_us)
            .collect();
        let points = QUANTILES
            .iter()
            .map(|percent| (*percent, quantile(&mut latencies, percent / 100.0) / 1e3))
            .collect();
        self.series.push(Series {
            plot: format!("{} latency of answered requests", deployment.name),
            x_label: "quantile (%)".to_owned(),
            y_label: "latency (ms)".to_owned(),
            points,
        });
        let mut counts: BTreeMap<u64, u32> = BTreeMap::new();
        for request in &run.finished {
            let within_objective = request.ended == CallerOutcome::Answered
                && request.latency_us() <= deployment.promise_us;
            *counts.entry(request.arrival.sent_us / GOODPUT_BUCKET_US).or_default() +=
                u32::from(within_objective);
        }
        let width_s = GOODPUT_BUCKET_US as f64 / 1e6;
        self.series.push(Series {
            plot: format!("{} goodput by send time", deployment.name),
            x_label: "time (s)".to_owned(),
            y_label: "answered within the objective (1/s)".to_owned(),
            points: counts
                .iter()
                .map(|(bucket, count)| (*bucket as f64 * width_s, f64::from(*count) / width_s))
                .collect(),
        });
    }
}

/// All figures of a seed, by deployment and policy.
#[derive(Debug, Default)]
pub struct Comparison {
    by_deployment: BTreeMap<(&'static str, &'static str), Figures>,
}

impl Comparison {
    /// Figures of a policy in a deployment; `None` if it did not run.
    pub fn of(&self, deployment: &Deployment, policy: &str) -> Option<&Figures> {
        let mut found = self.by_deployment.iter();
        found
            .find(|((name, ran), _)| *name == deployment.name && *ran == policy)
            .map(|(_, figures)| figures)
    }

    /// Highest value of a figure among the baselines; `None` if one of them did not run.
    pub fn best_baseline(&self, deployment: &Deployment, figure: &str) -> Option<f64> {
        BASELINES
            .iter()
            .map(|policy| self.of(deployment, policy).map(|figures| figures.get(figure)))
            .try_fold(0.0, |best: f64, value| value.map(|value| best.max(value)))
    }
}

/// Runs `figures` for every deployment and each of `policies`, `CONCURRENT_RUNS` at a time; `only`
/// restricts the policies further.
pub fn compare(
    only: Option<&str>,
    policies: &[&str],
    figures: impl Fn(&Deployment, &'static str, PolicyKind) -> Figures + Sync,
) -> Comparison {
    let jobs: Vec<(&Deployment, &'static str, PolicyKind)> = DEPLOYMENTS
        .iter()
        .flat_map(|deployment| {
            POLICIES.iter().map(move |(name, policy_kind)| (deployment, *name, *policy_kind))
        })
        .filter(|(_, name, _)| policies.contains(name) && only.is_none_or(|only| only == *name))
        .collect();
    let mut comparison = Comparison::default();
    for chunk in jobs.chunks(CONCURRENT_RUNS) {
        let figures = &figures;
        let done: Vec<Option<Figures>> = std::thread::scope(|scope| {
            let running: Vec<_> = chunk
                .iter()
                .map(|(deployment, name, policy_kind)| {
                    scope.spawn(move || figures(deployment, name, *policy_kind))
                })
                .collect();
            running.into_iter().map(|thread| thread.join().ok()).collect()
        });
        for ((deployment, name, _), figures) in chunk.iter().zip(done) {
            let figures = figures.unwrap_or_else(|| {
                panic!("run of policy {name} in deployment {} panicked", deployment.name)
            });
            comparison.by_deployment.insert((deployment.name, name), figures);
        }
    }
    comparison
}

/// Names of all policies.
pub fn all_policies() -> Vec<&'static str> {
    POLICIES.iter().map(|(name, _)| *name).collect()
}

/// Combines figures and checks into the result of a seed.
pub fn result(comparison: Comparison, checks: Vec<Check>) -> SeedResult {
    let mut policies: Vec<PolicyResult> = Vec::new();
    for (name, _) in POLICIES {
        let mut figures = BTreeMap::new();
        let mut series = Vec::new();
        for ((deployment, _), one) in
            comparison.by_deployment.iter().filter(|((_, p), _)| *p == name)
        {
            let named =
                one.values.iter().map(|(key, value)| (format!("{deployment}_{key}"), *value));
            figures.extend(named);
            series.extend(one.series.iter().cloned());
        }
        if !figures.is_empty() {
            policies.push(PolicyResult { policy: name.to_owned(), figures, series });
        }
    }
    SeedResult { seed: 0, policies, checks }
}

/// Checks of the `agatesill` policy in both deployments; none if it did not run.
pub fn checks(
    comparison: &Comparison,
    each: impl Fn(&Deployment, &Figures, &mut Vec<Check>),
) -> Vec<Check> {
    let mut checks = Vec::new();
    for deployment in &DEPLOYMENTS {
        let Some(agatesill) = comparison.of(deployment, "agatesill") else { continue };
        let from = checks.len();
        each(deployment, agatesill, &mut checks);
        for check in &mut checks[from..] {
            check.name = format!("{}: {}", deployment.name, check.name);
        }
    }
    checks
}
