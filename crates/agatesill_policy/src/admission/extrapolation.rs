//! What all daemons saw, by what one of them saw.
//!
//! Load pattern: callers choose among dozens of daemons at random, so each sees few of the jobs that
//! arrive within a few seconds. One job at one daemon says next to nothing about the others; many jobs
//! say that the others saw about as many.

/// Sum over all daemons of an amount, of which this daemon saw `own` in `own_count` jobs. The others
/// count as far as the number of jobs exceeds its standard deviation.
pub(super) fn fleet_total(own: f64, own_count: f64, daemons: f64) -> f64 {
    let certain_share = (1.0 - 1.0 / own_count.max(1.0).sqrt()).max(0.0);
    own + own * (daemons - 1.0).max(0.0) * certain_share
}
