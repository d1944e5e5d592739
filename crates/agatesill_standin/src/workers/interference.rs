//! Hidden interference: how much one class of work slows another on the same worker.
//!
//! The scheduler never sees these figures; it sees lagging pressure and its jobs' run times.

/// Most that one neighbour takes from an attempt's speed, in percent.
const WORST_PAIR_PERCENT: u64 = 20;

/// Least speed that an attempt keeps.
const LEAST_RATE: f64 = 0.2;

/// How much a neighbour of class `by` slows class `of`, in percent.
pub fn slowdown_percent(of: &str, by: &str) -> u64 {
    let mix = of.bytes().chain([b'/']).chain(by.bytes());
    let hash = mix.fold(0xcbf2_9ce4_8422_2325_u64, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    });
    if of == by { 0 } else { (hash >> 17) % (WORST_PAIR_PERCENT + 1) }
}

/// Speed of attempt `nth` among `classes`, each with the share of time that it may use.
pub(super) fn rate(classes: &[(String, u32)], nth: usize) -> f64 {
    let (of, percent) = &classes[nth];
    let others = classes.iter().enumerate().filter(|(other, _)| *other != nth);
    let slowed = others.fold(1.0, |rate, (_, (by, by_percent))| {
        let taken = slowdown_percent(of, by) as f64 * f64::from(*by_percent) / 1e4;
        rate * (1.0 - taken)
    });
    f64::from(*percent) / 100.0 * slowed.max(LEAST_RATE)
}

/// Answer time of the worker's service against its promise, in percent, beside `classes`.
pub(super) fn pressure(base_percent: u32, classes: &[(String, u32)]) -> u32 {
    let added: f64 = classes
        .iter()
        .map(|(by, percent)| slowdown_percent("service", by) as f64 * f64::from(*percent) / 100.0)
        .sum();
    (f64::from(base_percent) * (1.0 + added / 100.0)) as u32
}
