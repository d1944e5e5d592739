//! Admission decisions of one daemon by the newest view that it has.

use std::collections::{HashMap, VecDeque};

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::fleet::JobSpec;

use super::demand::Demand;
use super::extrapolation::fleet_total;
use super::offers::OfferedTotals;
use super::promises::{MAX_RETRY_AFTER_MS, Promises};
use super::room::{Room, time_until_free_ms};
use super::{HeldView, LoadView, Refusal, RefusalCause, Return, ServiceLoad, Verdict};

/// Age from which a view is too old to refuse a job by. The load may have changed by then.
pub const MAX_VIEW_AGE_MS: u64 = 2_000;

/// Time before a view was sent for within which accepted jobs may be missing in it: the planner sums
/// up the load a few times per second, of the jobs that the store has passed on to it.
const VIEW_LAG_US: u64 = 300_000;

/// Number of accepted jobs remembered until a view includes them.
const MAX_ACCEPTED: usize = 4_096;

/// A long-running job that was accepted lately.
#[derive(Clone, Copy, Debug)]
struct Accepted {
    at_us: u64,
    reserved_milli: u64,
}

/// What a daemon knows of the long-running jobs of one service, apart from the view.
#[derive(Clone, Debug, Default)]
struct ServiceState {
    promises: Promises,
    accepted: VecDeque<Accepted>,
}

/// What one daemon knows of the load, and what it has accepted since.
#[derive(Debug, Default)]
pub struct Door {
    held: Option<HeldView>,
    states: HashMap<String, ServiceState>,
    offered: OfferedTotals,
}

impl Door {
    /// Takes a view that answered a call sent at `as_of_us`. An older view changes nothing.
    pub fn view_received(&mut self, view: LoadView, as_of_us: u64) {
        let is_newer = self.held.as_ref().is_none_or(|held| view.is_newer_than(&held.view));
        if !is_newer {
            return;
        }
        self.states.retain(|service, _| view.service(service).is_some());
        for load in &view.services {
            self.states.entry(load.service.clone()).or_default();
        }
        self.states.values_mut().for_each(|state| state.forget_accepted(as_of_us));
        self.held = Some(HeldView { view, as_of_us });
    }

    /// The newest view.
    pub fn held(&self) -> Option<&HeldView> {
        self.held.as_ref()
    }

    /// Decides on a job; `returning` describes a job that was refused before.
    ///
    /// Without a view, or with an old one, every job is accepted. So are jobs with a schedule, since the
    /// load at their time is not known, and jobs without long-running tasks: the planner, which knows
    /// all jobs, decides better than a daemon which of them are worth the CPU that is there.
    pub fn decide(&mut self, job: &JobSpec, returning: Option<Return>, now_us: u64) -> Verdict {
        let demand = Demand::of(job);
        if demand.reserved_milli > 0 && job.occurrences == 0 {
            *self.offered.entry(job.terms.service.clone()).or_default() += demand.reserved_milli;
        }
        let Some(held) = &self.held else { return Verdict::Accept };
        let view_age_ms = held.age_ms(now_us);
        let is_usable = held.view.may_refuse && view_age_ms <= MAX_VIEW_AGE_MS;
        let load = held.view.service(&job.terms.service);
        let is_judged = is_usable && job.occurrences == 0 && demand.reserved_milli > 0;
        let Some(load) = load.filter(|_| is_judged) else { return Verdict::Accept };
        let state = self.states.entry(load.service.clone()).or_default();
        let arrival = Arrival {
            demand,
            load,
            daemons: f64::from(held.view.daemons.max(1)),
            view_age_ms,
            draw: draw(&job.id, held.view.sequence),
            returning: returning.filter(|returning| returning.is_due),
            now_us,
        };
        state.decide_by_room(&arrival)
    }

    /// CPU that callers of long-running jobs have asked this daemon for.
    pub fn offered(&self) -> &OfferedTotals {
        &self.offered
    }

    /// Records that a job was stored, so that it counts before the next view includes it.
    pub fn accepted(&mut self, job: &JobSpec, now_us: u64) {
        let reserved_milli = Demand::of(job).reserved_milli;
        if reserved_milli == 0 || job.occurrences > 0 {
            return;
        }
        if let Some(state) = self.states.get_mut(&job.terms.service) {
            if state.accepted.len() == MAX_ACCEPTED {
                state.accepted.pop_front();
            }
            state.accepted.push_back(Accepted { at_us: now_us, reserved_milli });
        }
    }
}

/// A job at the door, with what the view says of its service.
struct Arrival<'a> {
    demand: Demand,
    load: &'a ServiceLoad,
    daemons: f64,
    view_age_ms: u64,
    /// Value from 0 to 1 that the same job has at every daemon with the same view.
    draw: f64,
    /// Set if the job returns as it was asked to.
    returning: Option<Return>,
    now_us: u64,
}

impl Arrival<'_> {
    /// Time for which the view may lack accepted jobs.
    fn unseen_ms(&self) -> f64 {
        self.view_age_ms as f64 + VIEW_LAG_US as f64 / 1_000.0
    }
}

impl ServiceState {
    fn forget_accepted(&mut self, as_of_us: u64) {
        self.accepted.retain(|accepted| accepted.at_us + VIEW_LAG_US > as_of_us);
    }

    /// Decides on a job with long-running tasks.
    fn decide_by_room(&mut self, arrival: &Arrival<'_>) -> Verdict {
        let Arrival { demand, load, now_us, .. } = *arrival;
        let needed_milli = demand.reserved_milli as f64;
        let mut since_milli: f64 =
            self.accepted.iter().map(|accepted| accepted.reserved_milli as f64).sum();
        if arrival.returning.is_none() {
            let horizon_us = now_us + MAX_VIEW_AGE_MS * 1_000;
            since_milli += self.promises.due_until(now_us, horizon_us);
        }
        let room = Room::for_job(load, &demand, since_milli);
        let others_milli = load.offered_milli_per_s as f64 * arrival.unseen_ms() / 1_000.0;
        let expected_milli = needed_milli + others_milli;
        if arrival.draw < room.accept_share(&demand, expected_milli) {
            return Verdict::Accept;
        }
        let missing_milli = needed_milli - room.left_milli;
        let retry_after_ms = self.promises.ask_to_return(
            needed_milli,
            |before_milli, before_jobs| {
                let ahead_milli = fleet_total(before_milli, before_jobs, arrival.daemons);
                time_until_free_ms(load, missing_milli + ahead_milli)
            },
            arrival.draw,
            now_us,
        );
        Verdict::Refuse(Refusal {
            cause: RefusalCause::NoRoom,
            retry_after_ms,
            needed_milli: demand.reserved_milli,
            left_milli: room.left_milli.max(0.0) as u64,
            forecast_ms: time_until_free_ms(load, missing_milli).min(MAX_RETRY_AFTER_MS) as u64,
        })
    }
}

fn draw(id: &str, sequence: u64) -> f64 {
    xxh3_64_with_seed(id.as_bytes(), sequence) as f64 / u64::MAX as f64
}
