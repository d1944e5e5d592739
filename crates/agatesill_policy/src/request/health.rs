//! Outlier ejection of slow and failing upstreams, and their gradual return.
//!
//! One or more upstreams turn slow or fail. Without ejection a failing upstream responds fastest,
//! appears idle and attracts the requests of all daemons. A slow one keeps all of its slots busy,
//! and each request there is late.
//!
//! A request is *slow* if it takes longer than the pool's 95th percentile. One in twenty requests
//! at a healthy upstream is therefore slow, whatever the distribution, and a load that slows the
//! whole pool ejects no upstream. A score rises by one for each slow request and falls by one for
//! any other, down to zero. An ejected upstream receives single repeatable requests as probes.

/// Score at which a slow upstream is ejected. A healthy upstream reaches it about once in 50
/// million requests ((1/19)^5 / 20), one that is ten times slower within its first eight. At 4, a
/// busy daemon ejects up to 2 of 50 healthy upstreams.
const SLOW_EJECTION_SCORE: u8 = 6;

/// Increase of the failure score for a failure; a success decreases it by one. Three consecutive
/// failures reach [`FAILURE_EJECTION_SCORE`], and so does a sustained failure rate above one third.
const FAILURE_SCORE_STEP: u8 = 2;

/// Score at which a failing upstream is ejected.
const FAILURE_EJECTION_SCORE: u8 = 6;

/// Interval between probes of a failing upstream. A failed probe costs the request an attempt.
const FAILING_PROBE_INTERVAL_US: u64 = 1_000_000;

/// Interval between probes of a slow upstream. Each probe makes one request slow. With 8 daemons
/// and 5 of 50 upstreams slow, that is 13 of some thousand requests/s, below the 1% that the 99th
/// percentile tolerates.
const SLOW_PROBE_INTERVAL_US: u64 = 3_000_000;

/// Consecutive good probes after which a slow upstream is readmitted. An upstream that is still ten
/// times slower passes a single probe about one time in nine.
const MIN_GOOD_PROBES: u8 = 2;

/// Time in which a readmitted upstream ramps up to its full rate.
const RAMP_UP_US: u64 = 3_000_000;

/// Share of the full rate at the start of the ramp-up.
const MIN_RAMP_UP_SHARE: f64 = 0.1;

/// Reason for an ejection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EjectionCause {
    /// Exchanges with the upstream fail.
    Failing,
    /// The upstream responds much later than the others.
    Slow,
}

/// Condition of an upstream, which decides the requests that it may receive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum HealthState {
    /// Receives requests up to its share.
    Healthy,
    /// Receives probes only.
    Ejected {
        /// Reason for the ejection.
        cause: EjectionCause,
        /// Earliest time of the next probe.
        next_probe_us: u64,
        /// Consecutive good probes so far.
        good: u8,
    },
    /// Receives requests at a rate that grows from a tenth of the full rate to all of it.
    RampingUp {
        /// Start of the ramp-up.
        started_us: u64,
        /// Earliest time of the next request.
        next_send_us: u64,
    },
}

/// Health tracking of one upstream.
#[derive(Clone, Debug)]
pub struct Health {
    standing: HealthState,
    slow_score: u8,
    failure_score: u8,
}

impl Default for Health {
    fn default() -> Self {
        Self { standing: HealthState::Healthy, slow_score: 0, failure_score: 0 }
    }
}

impl Health {
    /// Current condition of the upstream.
    pub fn standing(&self) -> HealthState {
        self.standing
    }

    /// Whether the upstream may receive probes only.
    pub fn is_ejected(&self) -> bool {
        matches!(self.standing, HealthState::Ejected { .. })
    }

    /// Whether the upstream may receive a request now that is not a probe.
    pub fn admits(&self, now_us: u64) -> bool {
        match self.standing {
            HealthState::Healthy => true,
            HealthState::Ejected { .. } => false,
            HealthState::RampingUp { next_send_us, .. } => now_us >= next_send_us,
        }
    }

    /// Whether a probe is due.
    pub fn probe_due(&self, now_us: u64) -> bool {
        matches!(
            self.standing,
            HealthState::Ejected { next_probe_us, .. } if now_us >= next_probe_us
        )
    }

    /// Records that a request is sent; `full_rate_interval_us` is the interval between two requests
    /// at the full rate.
    pub fn sent(&mut self, now_us: u64, full_rate_interval_us: f64) {
        match &mut self.standing {
            HealthState::Healthy => {}
            HealthState::Ejected { cause, next_probe_us, .. } => {
                *next_probe_us = now_us + probe_interval_us(*cause)
            }
            HealthState::RampingUp { started_us, next_send_us } => {
                let progress = now_us.saturating_sub(*started_us) as f64 / RAMP_UP_US as f64;
                let share = progress.max(MIN_RAMP_UP_SHARE);
                *next_send_us = now_us + (full_rate_interval_us / share) as u64;
                if progress >= 1.0 {
                    self.standing = HealthState::Healthy;
                }
            }
        }
    }

    /// Records whether a request was slow; returns a cause if the upstream should be ejected.
    pub fn record_timing(&mut self, now_us: u64, slow: bool) -> Option<EjectionCause> {
        if let HealthState::Ejected { cause, next_probe_us, good } = &mut self.standing {
            *good = if slow { 0 } else { *good + 1 };
            *next_probe_us = now_us + probe_interval_us(*cause);
            let required = if *cause == EjectionCause::Slow { MIN_GOOD_PROBES } else { 1 };
            if *good >= required {
                self.start_ramp_up(now_us);
            }
            return None;
        }
        let score = self.slow_score;
        self.slow_score = if slow { score.saturating_add(1) } else { score.saturating_sub(1) };
        (self.slow_score >= SLOW_EJECTION_SCORE).then_some(EjectionCause::Slow)
    }

    /// Records an exchange that did not fail.
    pub fn succeeded(&mut self) {
        self.failure_score = self.failure_score.saturating_sub(1);
    }

    /// Records a failed exchange; returns a cause if the upstream should be ejected.
    pub fn failed(&mut self, now_us: u64) -> Option<EjectionCause> {
        if let HealthState::Ejected { cause, next_probe_us, good } = &mut self.standing {
            *cause = EjectionCause::Failing;
            *good = 0;
            *next_probe_us = now_us + probe_interval_us(*cause);
            return None;
        }
        self.failure_score = self.failure_score.saturating_add(FAILURE_SCORE_STEP);
        (self.failure_score >= FAILURE_EJECTION_SCORE).then_some(EjectionCause::Failing)
    }

    /// Ejects the upstream and schedules its first probe.
    pub fn eject(&mut self, now_us: u64, cause: EjectionCause) {
        self.standing = HealthState::Ejected {
            cause,
            next_probe_us: now_us + probe_interval_us(cause),
            good: 0,
        };
    }

    /// Resets both scores, so that an upstream that is not ejected, or is readmitted, is evaluated
    /// anew.
    pub fn reset_scores(&mut self) {
        self.slow_score = 0;
        self.failure_score = 0;
    }

    fn start_ramp_up(&mut self, now_us: u64) {
        self.reset_scores();
        self.standing = HealthState::RampingUp { started_us: now_us, next_send_us: now_us };
    }
}

/// Maximum number of ejected upstreams, of any cause, up to which `cause` may eject another one.
///
/// Prevents a pool from ejecting itself if the cause lies elsewhere (a network, a shared
/// dependency): requests would be refused while upstreams are idle. The limit is half of the
/// upstreams for failures, and a quarter for slowness, as only few can be slower than the rest.
pub fn max_ejected(cause: EjectionCause, upstreams: usize) -> usize {
    match cause {
        EjectionCause::Failing => upstreams / 2,
        EjectionCause::Slow => (upstreams / 4).max(usize::from(upstreams > 2)),
    }
}

fn probe_interval_us(cause: EjectionCause) -> u64 {
    match cause {
        EjectionCause::Failing => FAILING_PROBE_INTERVAL_US,
        EjectionCause::Slow => SLOW_PROBE_INTERVAL_US,
    }
}
