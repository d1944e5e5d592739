//! How much long-running work callers ask for at all daemons together.
//!
//! Load pattern: callers choose among dozens of daemons at random, so each sees few of the jobs that
//! arrive within a few seconds, and none can tell from its own whether many daemons are about to
//! accept for the same room. Each daemon counts what it is asked for and sends its totals with the
//! calls that it makes anyway; the planner's daemon turns them into a rate that comes with its view.

use std::collections::HashMap;

/// Time over which offers are averaged.
const WINDOW_S: f64 = 4.0;

/// CPU that one daemon was asked to reserve since its start, by service.
pub type OfferedTotals = HashMap<String, u64>;

/// CPU that callers ask for at all daemons, decaying.
#[derive(Clone, Debug, Default)]
pub struct OfferRates {
    totals: HashMap<String, OfferedTotals>,
    services: HashMap<String, Decaying>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Decaying {
    sum_milli: f64,
    updated_us: u64,
}

impl OfferRates {
    /// Takes the totals of a daemon. The first ones say nothing about when the offers were made.
    pub fn reported(&mut self, daemon: &str, totals: OfferedTotals, now_us: u64) {
        let Some(before) = self.totals.get(daemon) else {
            self.totals.insert(daemon.to_owned(), totals);
            return;
        };
        for (service, total) in &totals {
            // A daemon that has restarted begins again at zero.
            let added = total.saturating_sub(before.get(service).copied().unwrap_or(0));
            if added > 0 {
                self.services.entry(service.clone()).or_default().add(added, now_us);
            }
        }
        self.totals.insert(daemon.to_owned(), totals);
    }

    /// Forgets daemons for which `is_running` is false.
    pub fn retain(&mut self, is_running: impl Fn(&str) -> bool) {
        self.totals.retain(|daemon, _| is_running(daemon));
    }

    /// CPU asked for per second at a service.
    pub fn milli_per_s(&self, service: &str, now_us: u64) -> u64 {
        let sum_milli = self.services.get(service).map_or(0.0, |sum| sum.at(now_us));
        (sum_milli / WINDOW_S) as u64
    }
}

impl Decaying {
    fn at(&self, now_us: u64) -> f64 {
        let elapsed_s = now_us.saturating_sub(self.updated_us) as f64 / 1_000_000.0;
        self.sum_milli * (-elapsed_s / WINDOW_S).exp()
    }

    fn add(&mut self, milli: u64, now_us: u64) {
        *self = Self { sum_milli: self.at(now_us) + milli as f64, updated_us: now_us };
    }
}
