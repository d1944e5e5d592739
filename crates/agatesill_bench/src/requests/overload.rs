//! `overload`: 2x capacity for 60 s, and 10x in a run of its own.
//!
//! Utilisation 70% for 2 s, then 200% or 1000% for 60 s, then 70% for 4 s. Lognormal service times
//! (sigma 0.8), the brief's network, heartbeats every 200 ms. Baselines run at 2x only: their
//! unbounded queues at 10x hold millions of requests and say nothing more. Capacity is all slots
//! over the mean service time, without the network.

use hdrhistogram::Histogram;

use super::engine::{Decides, Ended, Finished};
use super::load::{Deployment, Phase};
use super::measure::{Figures, Plan, S, all_policies, checks, compare, result, watch};
use crate::result::{Check, SeedResult, Series};

const FROM: u64 = 2 * S;
const TO: u64 = 62 * S;
const ENDS: u64 = 67 * S;

/// From when on all has to be as before, and until when that is measured.
const NORMAL_FROM: u64 = TO + 2 * S;
const NORMAL_TO: u64 = ENDS - S;

/// Span before the overload that it is compared with.
const BEFORE: std::ops::Range<u64> = S / 2..FROM;

#[derive(Debug)]
struct Tally {
    good: u64,
    answered: Histogram<u64>,
    refused: Histogram<u64>,
    before: Histogram<u64>,
    after: Histogram<u64>,
    refused_after: u64,
    untrue: u64,
    good_by_second: Vec<u64>,
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_max(100 * S, 3)
        .unwrap_or_else(|_| unreachable!("3 digits are within range"))
}

impl Tally {
    fn new() -> Self {
        Self {
            good: 0,
            answered: histogram(),
            refused: histogram(),
            before: histogram(),
            after: histogram(),
            refused_after: 0,
            untrue: 0,
            good_by_second: vec![0; (ENDS / S) as usize + 1],
        }
    }

    fn see(&mut self, one: &Finished, promise_us: u64) {
        let (sent_us, latency_us) = (one.arrival.sent_us, one.latency_us());
        self.untrue += u64::from(one.untrue);
        let answered = one.ended == Ended::Answered;
        let normal = (NORMAL_FROM..NORMAL_TO).contains(&sent_us);
        self.refused_after += u64::from(normal && !answered);
        if answered && BEFORE.contains(&sent_us) {
            self.before.saturating_record(latency_us);
        }
        if answered && normal {
            self.after.saturating_record(latency_us);
        }
        if answered && latency_us <= promise_us {
            self.good_by_second[(sent_us / S) as usize] += 1;
        }
        if !(FROM..TO).contains(&sent_us) {
            return;
        }
        match one.ended {
            Ended::Answered => {
                self.good += u64::from(latency_us <= promise_us);
                self.answered.saturating_record(latency_us);
            }
            Ended::Refused => self.refused.saturating_record(latency_us),
            Ended::Failed | Ended::Lost => {}
        }
    }
}

fn figures(seed: u64, deployment: &Deployment, name: &str, decides: Decides) -> Figures {
    let mut figures = Figures::default();
    for times in [2u32, 10] {
        if times == 10 && name != "agatesill" {
            continue;
        }
        let mut plan = Plan::even(0.7, ENDS);
        plan.phases.push(Phase { from_us: FROM, load: f64::from(times) });
        plan.phases.push(Phase { from_us: TO, load: 0.7 });
        let mut tally = Tally::new();
        watch(seed, decides, deployment, &plan, &mut |one| {
            tally.see(one, deployment.promise_us);
        });
        let capacity = deployment.capacity() * (TO - FROM) as f64 / 1e6;
        let mut set = |what: &str, value: f64| figures.set(&format!("{times}x_{what}"), value);
        let p99 = |histogram: &Histogram<u64>| histogram.value_at_quantile(0.99) as f64;
        let normal = tally.after.len() + tally.refused_after;
        set("goodput_over_capacity", tally.good as f64 / capacity);
        set("answered_p99_ms", p99(&tally.answered) / 1e3);
        set("refusal_p99_ms", p99(&tally.refused) / 1e3);
        set("untrue_refusals", tally.untrue as f64);
        set("p99_after_over_before", p99(&tally.after) / p99(&tally.before));
        set("refused_after", tally.refused_after as f64 / normal.max(1) as f64);
        figures.series.push(Series {
            plot: format!("{} goodput at {times}x capacity", deployment.name),
            x_label: "time, s".to_owned(),
            y_label: "answered in promise, 1/s".to_owned(),
            points: (0..ENDS / S)
                .map(|second| (second as f64, tally.good_by_second[second as usize] as f64))
                .collect(),
        });
    }
    figures
}

/// Runs a seed.
pub fn seed(seed: u64, only: Option<&str>) -> SeedResult {
    let compared =
        compare(only, &all_policies(), |to, name, decides| figures(seed, to, name, decides));
    let checks = checks(&compared, |to, own, checks| {
        let promise_ms = to.promise_us as f64 / 1e3;
        for times in [2, 10] {
            let value = |what: &str| own.get(&format!("{times}x_{what}"));
            let name = |what: &str| format!("{times}x: {what}");
            let at_most =
                |what: &str, value: f64, bound: f64| Check::at_most(&name(what), value, bound);
            checks.push(Check::at_least(
                &name("goodput over capacity"),
                value("goodput_over_capacity"),
                0.95,
            ));
            let answered = value("answered_p99_ms") / promise_ms;
            checks.push(at_most("answered p99 over promise", answered, 1.0));
            let refusal = value("refusal_p99_ms") / promise_ms;
            checks.push(at_most("refusal p99 over promise", refusal, 0.1));
            checks.push(at_most("untrue refusals", value("untrue_refusals"), 0.0));
            let after = value("p99_after_over_before");
            checks.push(at_most("p99 from 2 s after over before", after, 1.25));
            checks.push(at_most("refused share from 2 s after", value("refused_after"), 0.005));
        }
    });
    result(compared, checks)
}
