//! Runs of all policies over one load, and the figures that callers would measure.

use std::collections::BTreeMap;
use std::ops::Range;

use super::baseline::Way;
use super::engine::{Decides, Ended, Engine, Fault, Finished, SAMPLE_US, Watched};
use super::load::{DEPLOYMENTS, Deployment, Load, Phase, Shape};
use crate::result::{Check, PolicyResult, SeedResult, Series};

/// Runs at the same time: half of a small machine's cores.
const RUNS_AT_ONCE: usize = 4;

/// Width of a bucket of the goodput plot.
const GOODPUT_US: u64 = 250_000;

/// Quantiles of the latency plot, in percent.
const QUANTILES: [f64; 9] = [10.0, 25.0, 50.0, 75.0, 90.0, 95.0, 99.0, 99.5, 99.9];

/// Microseconds in a second, for times in scenarios.
pub const S: u64 = 1_000_000;

/// All policies by name, the product's own first.
pub const POLICIES: [(&str, Decides); 7] = [
    ("agatesill", Decides::Agatesill),
    ("central", Decides::Central),
    ("round_robin", Decides::Baseline(Way::RoundRobin)),
    ("least_local", Decides::Baseline(Way::LeastLocal)),
    ("two_choices", Decides::Baseline(Way::TwoChoices)),
    ("slots_lending", Decides::Baseline(Way::SlotsLending)),
    ("no_admission", Decides::Baseline(Way::NoAdmission)),
];

/// Names of the policies that count as baselines; `central` is not one, since nobody can run it.
pub const BASELINES: [&str; 5] =
    ["round_robin", "least_local", "two_choices", "slots_lending", "no_admission"];

/// The load and faults of one run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Load over time.
    pub phases: Vec<Phase>,
    /// What is special about the arrivals.
    pub shape: Shape,
    /// What happens to the system.
    pub faults: Vec<(u64, Fault)>,
    /// When the run ends.
    pub ends_us: u64,
}

impl Plan {
    /// A plan of even load that begins at 0.
    pub fn even(load: f64, ends_us: u64) -> Self {
        let phases = vec![Phase { from_us: 0, load }];
        Self { phases, shape: Shape::Even, faults: Vec::new(), ends_us }
    }
}

/// One policy's run.
#[derive(Clone, Debug, Default)]
pub struct Run {
    /// Every request at its end.
    pub finished: Vec<Finished>,
    /// What the engine saw.
    pub watched: Watched,
}

impl Run {
    /// Requests that were sent within the span and pass the filter.
    pub fn within(
        &self,
        span: Range<u64>,
        filter: impl Fn(&Finished) -> bool,
    ) -> impl Iterator<Item = &Finished> {
        self.finished.iter().filter(move |one| span.contains(&one.arrival.sent_us) && filter(one))
    }

    /// 99th percentile latency of what was answered.
    pub fn p99_us(&self, span: Range<u64>, filter: impl Fn(&Finished) -> bool) -> f64 {
        let answered = self
            .within(span, |one| one.ended == Ended::Answered && filter(one))
            .map(Finished::latency_us);
        quantile(&mut answered.collect::<Vec<_>>(), 0.99)
    }

    /// How many were answered within the promise.
    pub fn in_promise(&self, span: Range<u64>, promise_us: u64) -> f64 {
        let kept = |one: &Finished| one.ended == Ended::Answered && one.latency_us() <= promise_us;
        self.within(span, kept).count() as f64
    }

    /// Share that ended in some way.
    pub fn share(
        &self,
        span: Range<u64>,
        filter: impl Fn(&Finished) -> bool,
        ended: impl Fn(&Finished) -> bool,
    ) -> f64 {
        let (mut all, mut some) = (0u64, 0u64);
        for one in self.within(span, filter) {
            all += 1;
            some += u64::from(ended(one));
        }
        some as f64 / all.max(1) as f64
    }

    /// Upstreams that were out, as the mean over all sends.
    pub fn ejected_mean(&self) -> f64 {
        let sends: u32 = self.watched.attempts.iter().sum();
        self.watched.ejected as f64 / f64::from(sends.max(1))
    }

    /// First time from `from_us` on at which no more than `most` requests wait, since then.
    pub fn drained_after_us(&self, from_us: u64, most: u32) -> u64 {
        let start = (from_us / SAMPLE_US) as usize;
        let samples = self.watched.waiting.iter().skip(start);
        let busy = samples.take_while(|waiting| **waiting > most).count();
        busy as u64 * SAMPLE_US
    }
}

/// Whether every request passes.
pub fn any(_: &Finished) -> bool {
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

/// Runs one policy and keeps every request.
pub fn run(seed: u64, decides: Decides, deployment: &Deployment, plan: &Plan) -> Run {
    let mut finished = Vec::new();
    let watched = watch(seed, decides, deployment, plan, &mut |one| finished.push(*one));
    Run { finished, watched }
}

/// Runs one policy and shows every request to `see`.
pub fn watch(
    seed: u64,
    decides: Decides,
    deployment: &Deployment,
    plan: &Plan,
    see: &mut dyn FnMut(&Finished),
) -> Watched {
    let load = Load::new(seed, deployment, &plan.phases, plan.shape);
    Engine::new(seed, decides, deployment, load, &plan.faults, plan.ends_us, see).run()
}

/// Figures of one policy in one deployment, by name, with the plots that belong to them.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    /// Figures by name.
    pub values: BTreeMap<String, f64>,
    /// Lines of plots.
    pub series: Vec<Series>,
}

impl Figures {
    /// Adds a figure.
    pub fn set(&mut self, name: &str, value: f64) {
        self.values.insert(name.to_owned(), value);
    }

    /// A figure; 0 when there is none of that name.
    pub fn get(&self, name: &str) -> f64 {
        self.values.get(name).copied().unwrap_or(0.0)
    }

    /// Adds the plots, and how many upstreams were out: latency quantiles and of goodput over time.
    pub fn plot(&mut self, run: &Run, span: Range<u64>, deployment: &Deployment) {
        self.set("upstreams_out_mean", run.ejected_mean());
        let mut latencies: Vec<u64> = run
            .within(span, |one| one.ended == Ended::Answered)
            .map(Finished::latency_us)
            .collect();
        let points = QUANTILES
            .iter()
            .map(|percent| (*percent, quantile(&mut latencies, percent / 100.0) / 1e3))
            .collect();
        self.series.push(Series {
            plot: format!("{} latency of answered requests", deployment.name),
            x_label: "quantile, percent".to_owned(),
            y_label: "latency, ms".to_owned(),
            points,
        });
        let mut counts: BTreeMap<u64, u32> = BTreeMap::new();
        for one in &run.finished {
            let kept = one.ended == Ended::Answered && one.latency_us() <= deployment.promise_us;
            *counts.entry(one.arrival.sent_us / GOODPUT_US).or_default() += u32::from(kept);
        }
        let width_s = GOODPUT_US as f64 / 1e6;
        self.series.push(Series {
            plot: format!("{} goodput by time of sending", deployment.name),
            x_label: "time, s".to_owned(),
            y_label: "answered in promise, 1/s".to_owned(),
            points: counts
                .iter()
                .map(|(bucket, count)| (*bucket as f64 * width_s, f64::from(*count) / width_s))
                .collect(),
        });
    }
}

/// All figures of a seed, by deployment and policy.
#[derive(Debug, Default)]
pub struct Compared {
    by_place: BTreeMap<(&'static str, &'static str), Figures>,
}

impl Compared {
    /// Figures of a policy, if it ran.
    pub fn of(&self, deployment: &Deployment, policy: &str) -> Option<&Figures> {
        let mut found = self.by_place.iter();
        found
            .find(|((name, one), _)| *name == deployment.name && *one == policy)
            .map(|(_, figures)| figures)
    }

    /// The best of the baselines in a figure where more is better; `None` if one did not run.
    pub fn best_baseline(&self, deployment: &Deployment, figure: &str) -> Option<f64> {
        BASELINES
            .iter()
            .map(|policy| self.of(deployment, policy).map(|figures| figures.get(figure)))
            .try_fold(0.0, |best: f64, one| one.map(|one| best.max(one)))
    }
}

/// Runs `figures` for every deployment and policy that is asked for, some at a time.
pub fn compare(
    only: Option<&str>,
    policies: &[&str],
    figures: impl Fn(&Deployment, &'static str, Decides) -> Figures + Sync,
) -> Compared {
    let jobs: Vec<(&Deployment, &'static str, Decides)> = DEPLOYMENTS
        .iter()
        .flat_map(|deployment| {
            POLICIES.iter().map(move |(name, decides)| (deployment, *name, *decides))
        })
        .filter(|(_, name, _)| policies.contains(name) && only.is_none_or(|only| only == *name))
        .collect();
    let mut compared = Compared::default();
    for chunk in jobs.chunks(RUNS_AT_ONCE) {
        let figures = &figures;
        let done: Vec<Option<Figures>> = std::thread::scope(|scope| {
            let running: Vec<_> = chunk
                .iter()
                .map(|(deployment, name, decides)| {
                    scope.spawn(move || figures(deployment, name, *decides))
                })
                .collect();
            running.into_iter().map(|one| one.join().ok()).collect()
        });
        for ((deployment, name, _), figures) in chunk.iter().zip(done) {
            let figures = figures.unwrap_or_else(|| panic!("{name} in {} broke", deployment.name));
            compared.by_place.insert((deployment.name, name), figures);
        }
    }
    compared
}

/// Names of all policies.
pub fn all_policies() -> Vec<&'static str> {
    POLICIES.iter().map(|(name, _)| *name).collect()
}

/// Puts figures and checks together in the form that the runner judges.
pub fn result(compared: Compared, checks: Vec<Check>) -> SeedResult {
    let mut policies: Vec<PolicyResult> = Vec::new();
    for (name, _) in POLICIES {
        let mut figures = BTreeMap::new();
        let mut series = Vec::new();
        for ((deployment, _), one) in compared.by_place.iter().filter(|((_, p), _)| *p == name) {
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

/// Checks of the product's own policy in both deployments; none where it did not run.
pub fn checks(
    compared: &Compared,
    each: impl Fn(&Deployment, &Figures, &mut Vec<Check>),
) -> Vec<Check> {
    let mut checks = Vec::new();
    for deployment in &DEPLOYMENTS {
        let Some(own) = compared.of(deployment, "agatesill") else { continue };
        let from = checks.len();
        each(deployment, own, &mut checks);
        for check in &mut checks[from..] {
            check.name = format!("{}: {}", deployment.name, check.name);
        }
    }
    checks
}
