//! Ground truth of interference: how much one class of work slows another on the same worker.
//!
//! The scheduler never sees these values. It sees delayed pressure reports and the run times of
//! its jobs.

/// Largest slowdown caused by a single neighbour, in percent.
const MAX_PAIR_SLOWDOWN_PERCENT: u64 = 20;

/// Lower bound of an attempt's speed, as a fraction of full speed before throttling.
const MIN_RATE: f64 = 0.2;

/// Returns by how many percent a neighbour of class `neighbour` slows work of class `class`.
pub fn slowdown_percent(class: &str, neighbour: &str) -> u64 {
    let bytes = class.bytes().chain([b'/']).chain(neighbour.bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    if class == neighbour { 0 } else { (hash >> 17) % (MAX_PAIR_SLOWDOWN_PERCENT + 1) }
}

/// Returns the speed of attempt `index` among `classes`, each paired with its throttle percentage.
pub(super) fn rate(classes: &[(String, u32)], index: usize) -> f64 {
    let (class, percent) = &classes[index];
    let others = classes.iter().enumerate().filter(|(other_index, _)| *other_index != index);
    let speed = others.fold(1.0, |rate, (_, (neighbour, neighbour_percent))| {
        let slowdown =
            slowdown_percent(class, neighbour) as f64 * f64::from(*neighbour_percent) / 1e4;
        rate * (1.0 - slowdown)
    });
    f64::from(*percent) / 100.0 * speed.max(MIN_RATE)
}

/// Returns the response time of the worker's service next to `classes`, in percent of its latency
/// objective.
pub(super) fn pressure(base_percent: u32, classes: &[(String, u32)]) -> u32 {
    let added: f64 = classes
        .iter()
        .map(|(neighbour, percent)| {
            slowdown_percent("service", neighbour) as f64 * f64::from(*percent) / 100.0
        })
        .sum();
    (f64::from(base_percent) * (1.0 + added / 100.0)) as u32
}
