//! The declared capacity of workers and upstreams, used to detect overcommitted configurations.

use std::collections::BTreeMap;

use agatesill_policy::prelude::*;

/// Capacity according to the settings of the daemon that accepts a change.
#[derive(Clone, Debug, Default)]
pub struct DeclaredCapacity {
    /// Processors of all workers, in thousandths; 0 if unknown.
    pub cpu_milli: u64,
    /// Upstream slots by pool; empty if unknown.
    pub pool_slots: BTreeMap<String, u64>,
    /// Whether a change that overcommits the capacity is rejected instead of accepted with a
    /// warning.
    pub reject_overcommit: bool,
}

impl DeclaredCapacity {
    /// Describes each overcommitment in `doc` in one line, with its arithmetic.
    pub fn overcommitments(&self, doc: &ConfigDoc) -> Vec<String> {
        let mut lines = Vec::new();
        let quotas: Vec<(&str, u64)> = doc
            .teams
            .iter()
            .filter(|(_, team)| team.quota_cpu_milli > 0)
            .map(|(name, team)| (name.as_str(), team.quota_cpu_milli))
            .collect();
        let total: u64 = quotas.iter().map(|(_, quota)| quota).sum();
        if self.cpu_milli > 0 && total > self.cpu_milli {
            let terms: Vec<String> =
                quotas.iter().map(|(name, quota)| format!("{name} {quota}")).collect();
            lines.push(format!(
                "quotas in cpu_milli: {} = {total}, the floor holds {}, {} too many",
                terms.join(" + "),
                self.cpu_milli,
                total - self.cpu_milli
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
