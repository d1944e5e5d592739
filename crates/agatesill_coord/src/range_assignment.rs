//! Which member should own which range: by capacity, moved little when members come and go.
//!
//! Every daemon computes this alone from its own list of members. Lists may differ; the outcome is
//! only a hint for who should claim, and the store decides (see [`crate::lease`]).
//!
//! Rendezvous hashing ranks the members for each range; a member that already has its share, by
//! capacity, is passed over. Without the bound, 16 ranges on 8 members leave some with five and
//! some with none; without the ranking, one member's leaving would move most ranges.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

/// A member that can own ranges.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// The instance.
    pub instance: String,
    /// Relative capacity; 0 owns nothing.
    pub capacity: u32,
}

/// The owner that each of `ranges` should have; empty when no candidate has capacity.
pub fn assign_ranges(ranges: &[&str], candidates: &[Candidate]) -> BTreeMap<String, String> {
    let candidates: Vec<&Candidate> = candidates.iter().filter(|one| one.capacity > 0).collect();
    let capacity: u64 = candidates.iter().map(|one| u64::from(one.capacity)).sum();
    let mut room: BTreeMap<&str, u64> = candidates
        .iter()
        .map(|one| {
            let share = (ranges.len() as u64 * u64::from(one.capacity)).div_ceil(capacity);
            (one.instance.as_str(), share)
        })
        .collect();
    let mut pairs: Vec<(f64, &str, &str)> = ranges
        .iter()
        .flat_map(|range| {
            candidates.iter().map(move |one| (score(range, one), *range, one.instance.as_str()))
        })
        .collect();
    // The strongest pair first: a new member then takes only ranges that rank it highest.
    pairs.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| (a.1, a.2).cmp(&(b.1, b.2))));
    let mut owners = BTreeMap::new();
    for (_, range, instance) in pairs {
        let Some(left) = room.get_mut(instance) else { continue };
        if *left > 0 && !owners.contains_key(range) {
            *left -= 1;
            owners.insert(range.to_owned(), instance.to_owned());
        }
    }
    owners
}

/// Weighted rendezvous score: a hash mapped to (0, 1), bent by the capacity.
fn score(range: &str, candidate: &Candidate) -> f64 {
    let hash = xxh3_64(format!("{range}\0{}", candidate.instance).as_bytes());
    let unit = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -f64::from(candidate.capacity) / unit.ln()
}
