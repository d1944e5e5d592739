//! Ownership of slots: sums over all daemons, also while they disagree about which are dead.

use agatesill_policy::request::shares::{Member, OwnershipTable, UpstreamSlots, member_hash};
use proptest::prelude::*;

fn members(count: usize, zones: usize, dead: &[bool]) -> Vec<Member> {
    let mut members: Vec<Member> = (0..count)
        .map(|index| Member {
            hash: member_hash(&format!("entry-{index}")),
            zone: format!("zone-{}", index % zones),
            live: !dead.get(index).copied().unwrap_or(false),
        })
        .collect();
    members.sort_by_key(|member| member.hash);
    members
}

fn upstreams(count: u32, slots: u32, zones: usize) -> Vec<(u32, String, u32)> {
    (0..count).map(|id| (id, format!("zone-{}", id as usize % zones), slots)).collect()
}

fn slots((upstream, zone, slots): &(u32, String, u32)) -> UpstreamSlots<'_> {
    UpstreamSlots { upstream: *upstream, zone, slots: *slots }
}

proptest! {
    #[test]
    fn every_slot_has_exactly_one_owner_if_daemons_agree_on_liveness(
        daemons in 1..12usize,
        zones in 1..5usize,
        count in 1..60u32,
        slots_each in 1..12u32,
        dead in prop::collection::vec(any::<bool>(), 0..11),
    ) {
        let mut dead = dead;
        dead.truncate(daemons - 1);
        let members = members(daemons, zones, &dead);
        let upstreams = upstreams(count, slots_each, zones);
        let table = OwnershipTable::new(&members, upstreams.iter().map(slots));
        for upstream in &upstreams {
            let live = (0..members.len()).filter(|index| members[*index].live);
            let sum: u32 = live.map(|index| table.share(index, slots(upstream))).sum();
            prop_assert_eq!(sum, slots_each, "at {}", upstream.0);
        }
    }

    /// Daemons crash, and the live ones detect each crash at different times. If two of them
    /// claimed the same slot of a dead daemon, their requests would queue inside the upstream.
    #[test]
    fn claimed_slots_never_exceed_capacity_if_daemons_disagree_on_liveness(
        daemons in 2..10usize,
        zones in 1..5usize,
        dead in prop::collection::vec(any::<bool>(), 10),
        detected in prop::collection::vec(prop::collection::vec(any::<bool>(), 10), 10),
    ) {
        let actual = members(daemons, zones, &dead);
        let upstreams = upstreams(20, 8, zones);
        for upstream in &upstreams {
            let mut sum = 0;
            for (index, member) in actual.iter().enumerate().filter(|(_, member)| member.live) {
                let mut seen = actual.clone();
                for (other, detected) in seen.iter_mut().zip(&detected[index]) {
                    other.live |= !detected;
                }
                prop_assert!(seen[index].hash == member.hash);
                let table = OwnershipTable::new(&seen, upstreams.iter().map(slots));
                sum += table.share(index, slots(upstream));
            }
            prop_assert!(sum <= 8, "{} at {}", sum, upstream.0);
        }
    }
}

#[test]
fn owned_slots_are_nearly_equal_and_mostly_in_the_own_zone() {
    for (daemons, zones) in [(6, 3), (8, 4), (7, 3)] {
        let members = members(daemons, zones, &[]);
        let upstreams = upstreams(50, 8, zones);
        let table = OwnershipTable::new(&members, upstreams.iter().map(slots));
        for (index, member) in members.iter().enumerate() {
            let is_own_zone = |upstream: &&(u32, String, u32)| upstream.1 == member.zone;
            let share = |upstream: &(u32, String, u32)| table.share(index, slots(upstream));
            let total_slots: u32 = upstreams.iter().map(share).sum();
            let own_zone_slots: u32 = upstreams.iter().filter(is_own_zone).map(share).sum();
            let equal_slots = 400.0 / daemons as f64;
            assert!(
                (f64::from(total_slots) - equal_slots).abs() <= equal_slots * 0.08,
                "{total_slots} of {equal_slots} slots"
            );
            assert!(
                f64::from(own_zone_slots) >= f64::from(total_slots) * 0.6,
                "{own_zone_slots} of {total_slots} slots in the own zone"
            );
        }
    }
}
