//! Partition of the upstream slots among the daemons.
//!
//! Several daemons send to the same upstreams. Each sees the requests of the others only as of the
//! last heartbeat, and a heartbeat interval is longer than most requests. Without ownership of
//! slots, several daemons would select the same idle upstream at once, and requests would queue
//! inside it, unseen by the daemons.
//!
//! Every daemon computes the same table from the list of daemons in the settings. All daemons own
//! the same total number of slots, most of them in their own availability zone: a slot there is not
//! idle while a response and the next request cross between zones. The entitlement of a daemon at
//! one upstream is rarely an integer. Its integer part is fixed. The remaining slots are assigned
//! in proportion to the fractions, starting at an offset derived from the upstream's identifier.
//! Each row of the table thus depends only on its upstream and the totals, and the column sums are
//! still almost equal for all daemons.
//!
//! Each slot of a dead daemon passes to a live one by rendezvous hashing. A daemon that has not yet
//! detected the death claims none of these slots, and a daemon that has claims only slots that no
//! other live daemon can claim. Daemons that disagree about the dead therefore never claim the same
//! slot, however stale their views are.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::UpstreamId;

/// Share of a daemon's slots in its own zone, if the sizes of the zones allow it. The remaining
/// slots are spread over all zones, so that a daemon can still serve requests if all upstreams of
/// its zone are ejected.
const OWN_ZONE_SHARE: f64 = 0.75;

/// Tolerance for sums of fractions that should be integers.
const ROUNDING_TOLERANCE: f64 = 1e-9;

/// Fractional part of the golden ratio. Its multiples, modulo 1, are spread most evenly.
const GOLDEN_RATIO: f64 = 0.618_033_988_749_894_9;

/// One daemon of the group that serves a pool.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Hash of the instance name.
    pub hash: u64,
    /// Availability zone; empty while unknown.
    pub zone: String,
    /// Whether the daemon is considered live.
    pub live: bool,
}

/// Capacity and zone of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSlots<'a> {
    /// Identifier of the upstream.
    pub upstream: UpstreamId,
    /// Availability zone; may be empty.
    pub zone: &'a str,
    /// Number of slots.
    pub slots: u32,
}

/// Hash of a daemon's instance name, for the order of members and for rendezvous hashing.
pub fn member_hash(instance: &str) -> u64 {
    xxh3_64_with_seed(instance.as_bytes(), 0)
}

/// Slots that each daemon is entitled to.
#[derive(Debug)]
pub struct OwnershipTable<'a> {
    members: &'a [Member],
    zones: BTreeMap<&'a str, ZoneTotals>,
    deficit_slots: Vec<f64>,
    total_deficit_slots: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct ZoneTotals {
    slots: f64,
    members: f64,
    kept_share: f64,
}

impl<'a> OwnershipTable<'a> {
    /// Computes the table. All daemons must pass the members in the same order. An empty zone name
    /// counts as no member's own zone.
    pub fn new(members: &'a [Member], upstreams: impl Iterator<Item = UpstreamSlots<'a>>) -> Self {
        let mut zones: BTreeMap<&str, ZoneTotals> = BTreeMap::new();
        let mut total_slots = 0.0;
        for upstream in upstreams {
            zones.entry(upstream.zone).or_default().slots += f64::from(upstream.slots);
            total_slots += f64::from(upstream.slots);
        }
        for member in members.iter().filter(|member| !member.zone.is_empty()) {
            zones.entry(&member.zone).or_default().members += 1.0;
        }
        let equal_slots = total_slots / members.len().max(1) as f64;
        for zone in zones.values_mut().filter(|zone| zone.slots > 0.0) {
            zone.kept_share = (zone.members * equal_slots / zone.slots).min(1.0);
        }
        let deficit_of = |member: &Member| {
            let zone = zones.get(member.zone.as_str()).copied().unwrap_or_default();
            let slots_per_member = if zone.members > 0.0 { zone.slots / zone.members } else { 0.0 };
            (equal_slots - slots_per_member).max(0.0)
        };
        let deficit_slots: Vec<f64> = members.iter().map(deficit_of).collect();
        let total_deficit_slots = deficit_slots.iter().sum();
        Self { members, zones, deficit_slots, total_deficit_slots }
    }

    /// Number of slots of the upstream that the live member at `index` owns.
    pub fn share(&self, index: usize, upstream: UpstreamSlots<'_>) -> u32 {
        let dead = (0..self.members.len()).filter(|member_index| !self.members[*member_index].live);
        let inherited: u32 = dead
            .map(|dead| {
                let slots = 0..self.base_share(dead, upstream);
                slots
                    .filter(|slot| self.successor(dead, *slot, upstream.upstream) == Some(index))
                    .count() as u32
            })
            .sum();
        self.base_share(index, upstream) + inherited
    }

    fn base_share(&self, index: usize, upstream: UpstreamSlots<'_>) -> u32 {
        let floor = |value: f64| (value + ROUNDING_TOLERANCE).floor();
        let fraction = |member_index: usize| {
            let entitlement = self.entitlement(member_index, upstream);
            (entitlement - floor(entitlement)).max(0.0)
        };
        let offset = (f64::from(upstream.upstream) * GOLDEN_RATIO).fract();
        let cumulative_before: f64 = offset + (0..index).map(fraction).sum::<f64>();
        let extra = floor(cumulative_before + fraction(index)) - floor(cumulative_before);
        (floor(self.entitlement(index, upstream)) + extra) as u32
    }

    fn successor(&self, dead: usize, slot: u32, upstream: UpstreamId) -> Option<usize> {
        let seed = self.members[dead].hash ^ (u64::from(upstream) << 32 | u64::from(slot));
        (0..self.members.len()).filter(|member_index| self.members[*member_index].live).max_by_key(
            |member_index| xxh3_64_with_seed(&self.members[*member_index].hash.to_le_bytes(), seed),
        )
    }

    fn entitlement(&self, index: usize, upstream: UpstreamSlots<'_>) -> f64 {
        let slots = f64::from(upstream.slots);
        let even_slots = slots / self.members.len() as f64;
        let zone = self.zones.get(upstream.zone).copied().unwrap_or_default();
        let mut zone_slots = 0.0;
        if !upstream.zone.is_empty() && self.members[index].zone == upstream.zone {
            zone_slots += slots * zone.kept_share / zone.members;
        }
        if self.total_deficit_slots > ROUNDING_TOLERANCE {
            zone_slots += slots * (1.0 - zone.kept_share) * self.deficit_slots[index]
                / self.total_deficit_slots;
        } else {
            zone_slots += even_slots * (1.0 - zone.kept_share);
        }
        zone_slots * OWN_ZONE_SHARE + even_slots * (1.0 - OWN_ZONE_SHARE)
    }
}
