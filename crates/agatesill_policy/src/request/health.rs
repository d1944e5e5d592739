//! Slow and failing upstreams leave the choice and come back slowly.
//!
//! Load pattern: one upstream of many turns slow or fails, for itself or with others. Without this
//! a failing upstream answers fastest, looks idle and draws the requests of all; a slow one keeps
//! every slot it has for as long as it takes, and each request there is late.
//!
//! Slowness is judged against the pool: a request is *slow* when it takes longer than the pool's
//! 95th percentile, so one in twenty is slow at a healthy upstream whatever the distribution, and
//! a load that slows the whole pool accuses nobody. A walk goes up by one for a slow request and
//! down by one for any other. An upstream that is out gets single repeatable requests as probes.

/// Height of the walk at which an upstream is out. A healthy one gets there about once in 50
/// million requests ((1/19)^5 / 20); one that is ten times slower within its first eight. At 4, a
/// busy daemon had up to 2 of 50 healthy upstreams out.
const SLOW_WALK: u8 = 6;

/// Step up of the walk of failures for a failure; a success steps down by one. Three failures in
/// a row reach [`FAILING_WALK`], and so does a failure rate above one third, in the end.
const FAILURE_STEP: u8 = 2;

/// Height at which a failing upstream is out.
const FAILING_WALK: u8 = 6;

/// Pause between probes of a failing upstream; a failed probe costs an attempt.
const FAILING_PROBE_US: u64 = 1_000_000;

/// Pause between probes of a slow upstream; each makes one request slow. With 8 daemons and 5 of
/// 50 upstreams slow that is 13 requests/s of some thousand, below the hundredth that the 99th
/// percentile can bear.
const SLOW_PROBE_US: u64 = 3_000_000;

/// Good probes in a row after which a slow upstream enters again. One that is still ten times
/// slower passes a single probe about one time in nine.
const GOOD_PROBES: u8 = 2;

/// How long an entering upstream takes to its full share.
const ENTRY_US: u64 = 3_000_000;

/// Share of its full rate that an upstream enters with.
const ENTRY_SHARE: f64 = 0.1;

/// Why an upstream is out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// Its exchanges fail.
    Failing,
    /// It answers much later than the others.
    Slow,
}

/// Whether an upstream may receive requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Standing {
    /// As its share allows.
    In,
    /// Only probes.
    Out {
        /// Why.
        cause: Cause,
        /// When the next probe may go out.
        next_probe_us: u64,
        /// Good probes in a row.
        good: u8,
    },
    /// At a rate that grows from a tenth to the whole.
    Entering {
        /// Since when.
        since_us: u64,
        /// When the next request may go there.
        next_us: u64,
    },
}

/// What is known of one upstream's health.
#[derive(Clone, Debug)]
pub struct Health {
    standing: Standing,
    slow_walk: u8,
    failing_walk: u8,
}

impl Default for Health {
    fn default() -> Self {
        Self { standing: Standing::In, slow_walk: 0, failing_walk: 0 }
    }
}

impl Health {
    /// Whether the upstream may receive requests.
    pub fn standing(&self) -> Standing {
        self.standing
    }

    /// Whether only probes may go there.
    pub fn is_out(&self) -> bool {
        matches!(self.standing, Standing::Out { .. })
    }

    /// Whether a request may go there now that is no probe.
    pub fn admits(&self, now_us: u64) -> bool {
        match self.standing {
            Standing::In => true,
            Standing::Out { .. } => false,
            Standing::Entering { next_us, .. } => now_us >= next_us,
        }
    }

    /// Whether a probe is due.
    pub fn probe_due(&self, now_us: u64) -> bool {
        matches!(self.standing, Standing::Out { next_probe_us, .. } if now_us >= next_probe_us)
    }

    /// Notes that a request goes there; `full_gap_us` is the gap between two at the full rate.
    pub fn sent(&mut self, now_us: u64, full_gap_us: f64) {
        match &mut self.standing {
            Standing::In => {}
            Standing::Out { cause, next_probe_us, .. } => *next_probe_us = now_us + pause(*cause),
            Standing::Entering { since_us, next_us } => {
                let progress = now_us.saturating_sub(*since_us) as f64 / ENTRY_US as f64;
                let share = progress.max(ENTRY_SHARE);
                *next_us = now_us + (full_gap_us / share) as u64;
                if progress >= 1.0 {
                    self.standing = Standing::In;
                }
            }
        }
    }

    /// Takes in whether a request was slow; returns whether the upstream ought to be out.
    pub fn timed(&mut self, now_us: u64, slow: bool) -> Option<Cause> {
        if let Standing::Out { cause, next_probe_us, good } = &mut self.standing {
            *good = if slow { 0 } else { *good + 1 };
            *next_probe_us = now_us + pause(*cause);
            let enough = if *cause == Cause::Slow { GOOD_PROBES } else { 1 };
            if *good >= enough {
                self.enter(now_us);
            }
            return None;
        }
        let walk = self.slow_walk;
        self.slow_walk = if slow { walk.saturating_add(1) } else { walk.saturating_sub(1) };
        (self.slow_walk >= SLOW_WALK).then_some(Cause::Slow)
    }

    /// Takes in an exchange that did not fail.
    pub fn succeeded(&mut self) {
        self.failing_walk = self.failing_walk.saturating_sub(1);
    }

    /// Takes in a failed exchange; returns whether the upstream ought to be out.
    pub fn failed(&mut self, now_us: u64) -> Option<Cause> {
        if let Standing::Out { cause, next_probe_us, good } = &mut self.standing {
            *cause = Cause::Failing;
            *good = 0;
            *next_probe_us = now_us + pause(*cause);
            return None;
        }
        self.failing_walk = self.failing_walk.saturating_add(FAILURE_STEP);
        (self.failing_walk >= FAILING_WALK).then_some(Cause::Failing)
    }

    /// Takes the upstream out.
    pub fn eject(&mut self, now_us: u64, cause: Cause) {
        self.standing = Standing::Out { cause, next_probe_us: now_us + pause(cause), good: 0 };
    }

    /// Keeps the upstream in although it ought to be out, and judges it afresh.
    pub fn pardon(&mut self) {
        self.slow_walk = 0;
        self.failing_walk = 0;
    }

    fn enter(&mut self, now_us: u64) {
        self.pardon();
        self.standing = Standing::Entering { since_us: now_us, next_us: now_us };
    }
}

/// How many of `upstreams` may be out for this cause, counting all that are out.
///
/// Guards against a pool that ejects itself when the cause lies elsewhere (a network, a shared
/// dependency): it would show as refusals while upstreams stand idle. Half may fail; a quarter
/// may be slow, since by its definition few can be slower than the rest.
pub fn most_out(cause: Cause, upstreams: usize) -> usize {
    match cause {
        Cause::Failing => upstreams / 2,
        Cause::Slow => (upstreams / 4).max(usize::from(upstreams > 2)),
    }
}

fn pause(cause: Cause) -> u64 {
    match cause {
        Cause::Failing => FAILING_PROBE_US,
        Cause::Slow => SLOW_PROBE_US,
    }
}
