//! Which part of an upstream's slots is this daemon's own.
//!
//! Load pattern: several daemons fill the same upstreams, each seeing the others' requests only
//! as old as a heartbeat, which is longer than most requests run. Without ownership the daemons
//! pick the same "idle" upstream at once and requests queue inside it, unseen.
//!
//! Every daemon computes the same table from the settings' list of daemons. All get the same
//! number of slots in all, most of them in their own availability zone, where a slot is not left
//! idle while an answer and the next request cross between zones. An entitlement at one upstream
//! is seldom whole: its whole part is fixed, and the slots that are left over are dealt out in
//! proportion, from an offset that the upstream's identifier gives. So each row depends on nothing
//! but its upstream and the totals, and the columns still add up to almost the same for all.
//!
//! The slots of a dead daemon go one by one to the live ones, each to the one that a hash ranks
//! first (rendezvous hashing). A daemon that has not yet learned of a death claims nothing of the
//! dead, and one that has claims only what no other live daemon can claim. So daemons whose lists
//! of the dead differ never claim the same slot, however old their views are.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::UpstreamId;

/// Part of a daemon's slots that lies in its own zone where the zones' sizes allow it. The rest is
/// spread over all zones, so that a daemon whose own zone's upstreams are all out still serves.
const OWN_ZONE_PART: f64 = 0.75;

/// Slack for sums of fractions that ought to be whole.
const ROUNDING: f64 = 1e-9;

/// Golden ratio: its multiples spread most evenly over the unit interval.
const GOLDEN: f64 = 0.618_033_988_749_894_9;

/// A daemon.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Hash of its name.
    pub hash: u64,
    /// Its availability zone; empty while unknown.
    pub zone: String,
    /// Whether it is taken for alive.
    pub live: bool,
}

/// An upstream as the table sees it.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamSlots<'a> {
    /// The upstream.
    pub upstream: UpstreamId,
    /// Its availability zone.
    pub zone: &'a str,
    /// Its slots.
    pub slots: u32,
}

/// Hash of a daemon's name.
pub fn member_hash(instance: &str) -> u64 {
    xxh3_64_with_seed(instance.as_bytes(), 0)
}

/// What every daemon is entitled to.
#[derive(Debug)]
pub struct OwnershipTable<'a> {
    members: &'a [Member],
    zones: BTreeMap<&'a str, Zone>,
    deficits: Vec<f64>,
    deficit: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Zone {
    slots: f64,
    members: f64,
    kept: f64,
}

impl<'a> OwnershipTable<'a> {
    /// Computes the table for these daemons, in the same order in all of them, and upstreams. A
    /// zone without a name is nobody's own.
    pub fn new(members: &'a [Member], upstreams: impl Iterator<Item = UpstreamSlots<'a>>) -> Self {
        let mut zones: BTreeMap<&str, Zone> = BTreeMap::new();
        let mut total = 0.0;
        for upstream in upstreams {
            zones.entry(upstream.zone).or_default().slots += f64::from(upstream.slots);
            total += f64::from(upstream.slots);
        }
        for member in members.iter().filter(|member| !member.zone.is_empty()) {
            zones.entry(&member.zone).or_default().members += 1.0;
        }
        let equal = total / members.len().max(1) as f64;
        for zone in zones.values_mut().filter(|zone| zone.slots > 0.0) {
            zone.kept = (zone.members * equal / zone.slots).min(1.0);
        }
        let lacks = |member: &Member| {
            let zone = zones.get(member.zone.as_str()).copied().unwrap_or_default();
            let own = if zone.members > 0.0 { zone.slots / zone.members } else { 0.0 };
            (equal - own).max(0.0)
        };
        let deficits: Vec<f64> = members.iter().map(lacks).collect();
        let deficit = deficits.iter().sum();
        Self { members, zones, deficits, deficit }
    }

    /// How many slots of the upstream belong to the live member at `index`.
    pub fn share(&self, index: usize, at: UpstreamSlots<'_>) -> u32 {
        let dead = (0..self.members.len()).filter(|one| !self.members[*one].live);
        let inherited: u32 = dead
            .map(|dead| {
                let slots = 0..self.dealt(dead, at);
                slots.filter(|slot| self.heir(dead, *slot, at.upstream) == Some(index)).count()
                    as u32
            })
            .sum();
        self.dealt(index, at) + inherited
    }

    fn dealt(&self, index: usize, at: UpstreamSlots<'_>) -> u32 {
        let whole = |one: f64| (one + ROUNDING).floor();
        let fraction = |one: usize| {
            let entitled = self.entitled(one, at);
            (entitled - whole(entitled)).max(0.0)
        };
        let offset = (f64::from(at.upstream) * GOLDEN).fract();
        let before: f64 = offset + (0..index).map(fraction).sum::<f64>();
        let extra = whole(before + fraction(index)) - whole(before);
        (whole(self.entitled(index, at)) + extra) as u32
    }

    fn heir(&self, dead: usize, slot: u32, upstream: UpstreamId) -> Option<usize> {
        let seed = self.members[dead].hash ^ (u64::from(upstream) << 32 | u64::from(slot));
        (0..self.members.len())
            .filter(|one| self.members[*one].live)
            .max_by_key(|one| xxh3_64_with_seed(&self.members[*one].hash.to_le_bytes(), seed))
    }

    fn entitled(&self, index: usize, at: UpstreamSlots<'_>) -> f64 {
        let slots = f64::from(at.slots);
        let even = slots / self.members.len() as f64;
        let zone = self.zones.get(at.zone).copied().unwrap_or_default();
        let mut near = 0.0;
        if !at.zone.is_empty() && self.members[index].zone == at.zone {
            near += slots * zone.kept / zone.members;
        }
        if self.deficit > ROUNDING {
            near += slots * (1.0 - zone.kept) * self.deficits[index] / self.deficit;
        } else {
            near += even * (1.0 - zone.kept);
        }
        near * OWN_ZONE_PART + even * (1.0 - OWN_ZONE_PART)
    }
}
