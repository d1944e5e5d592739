//! What the floor holds, against which promises are added up.

use std::collections::BTreeMap;

use agatesill_policy::prelude::*;

/// What the floor holds, as the accepting daemon's settings say.
#[derive(Clone, Debug, Default)]
pub struct DeclaredCapacity {
    /// Processors of all workers, in thousandths; 0 means not known.
    pub cpu_milli: u64,
    /// Slots of the upstreams by pool; empty means not known.
    pub pool_slots: BTreeMap<String, u64>,
    /// Whether a change that sells more than the floor holds is refused, not only warned of.
    pub reject_overcommit: bool,
}

impl DeclaredCapacity {
    /// What `doc` sells beyond the floor, one line each with the arithmetic.
    pub fn beyond(&self, doc: &ConfigDoc) -> Vec<String> {
        let mut lines = Vec::new();
        let quotas: Vec<(&str, u64)> = doc
            .teams
            .iter()
            .filter(|(_, team)| team.quota_cpu_milli > 0)
            .map(|(name, team)| (name.as_str(), team.quota_cpu_milli))
            .collect();
        let sold: u64 = quotas.iter().map(|(_, quota)| quota).sum();
        if self.cpu_milli > 0 && sold > self.cpu_milli {
            let terms: Vec<String> =
                quotas.iter().map(|(name, quota)| format!("{name} {quota}")).collect();
            lines.push(format!(
                "quotas in cpu_milli: {} = {sold}, the floor holds {}, {} too many",
                terms.join(" + "),
                self.cpu_milli,
                sold - self.cpu_milli
            ));
        }
        if !self.pool_slots.is_empty() {
            for (name, service) in &doc.services {
                if self.pool_slots.get(&service.pool).copied().unwrap_or(0) == 0 {
                    let pool = &service.pool;
                    lines.push(format!("service {name}: pool {pool} has 0 slots"));
                }
            }
        }
        lines
    }
}
