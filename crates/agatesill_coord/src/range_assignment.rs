//! Assigns ranges to members in proportion to capacity, with few moves when membership changes.
//!
//! Every daemon computes the assignment from its own list of members. Lists may differ: the result
//! is only a hint as to which member should claim a range; the store decides (see
//! [`crate::lease`]).
//!
//! Weighted rendezvous hashing ranks the members for each range; a member that already has its
//! share by capacity is skipped. Without this bound, 16 ranges on 8 members leave some members with
//! five and some with none. Without the ranking, the departure of one member moves most ranges.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

/// A member that can own ranges.
#[derive(Clone, Debug, PartialEq)]
pub struct Candidate {
    /// Name of the instance.
    pub instance: String,
    /// Relative capacity; a member with 0 is assigned no range.
    pub capacity: u32,
}

/// The preferred owner of each range; empty when no candidate has capacity.
pub fn assign_ranges(ranges: &[&str], candidates: &[Candidate]) -> BTreeMap<String, String> {
    let candidates: Vec<&Candidate> =
        candidates.iter().filter(|candidate| candidate.capacity > 0).collect();
    let capacity: u64 = candidates.iter().map(|candidate| u64::from(candidate.capacity)).sum();
    let mut remaining_shares: BTreeMap<&str, u64> = candidates
        .iter()
        .map(|candidate| {
            let share = (ranges.len() as u64 * u64::from(candidate.capacity)).div_ceil(capacity);
            (candidate.instance.as_str(), share)
        })
        .collect();
    let mut pairs: Vec<(f64, &str, &str)> = ranges
        .iter()
        .flat_map(|range| {
            candidates.iter().map(move |candidate| {
                (score(range, candidate), *range, candidate.instance.as_str())
            })
        })
        .collect();
    // Highest score first: a new member then takes only ranges for which it has the highest score.
    pairs.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| (a.1, a.2).cmp(&(b.1, b.2))));
    let mut owners = BTreeMap::new();
    for (_, range, instance) in pairs {
        let Some(remaining) = remaining_shares.get_mut(instance) else { continue };
        if *remaining > 0 && !owners.contains_key(range) {
            *remaining -= 1;
            owners.insert(range.to_owned(), instance.to_owned());
        }
    }
    owners
}

/// Weighted rendezvous score: a hash mapped to (0, 1) and weighted by the capacity.
fn score(range: &str, candidate: &Candidate) -> f64 {
    let hash = xxh3_64(format!("{range}\0{}", candidate.instance).as_bytes());
    let unit = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -f64::from(candidate.capacity) / unit.ln()
}
