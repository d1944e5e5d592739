//! Ownership of slots: differential against plain sums, and daemons that disagree about the dead.

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
    fn daemons_that_agree_own_every_slot_exactly_once(
        daemons in 1..12usize,
        zones in 1..5usize,
        count in 1..60u32,
        each in 1..12u32,
        dead in prop::collection::vec(any::<bool>(), 0..11),
    ) {
        let mut dead = dead;
        dead.truncate(daemons - 1);
        let members = members(daemons, zones, &dead);
        let upstreams = upstreams(count, each, zones);
        let table = OwnershipTable::new(&members, upstreams.iter().map(slots));
        for upstream in &upstreams {
            let live = (0..members.len()).filter(|index| members[*index].live);
            let sum: u32 = live.map(|index| table.share(index, slots(upstream))).sum();
            prop_assert_eq!(sum, each, "at {}", upstream.0);
        }
    }

    /// Entry instances die, and each survivor learns of each death at another time. Two that both
    /// claim the slot of a dead one would queue their requests inside the upstream.
    #[test]
    fn daemons_that_disagree_about_the_dead_never_own_more_than_all_slots(
        daemons in 2..10usize,
        zones in 1..5usize,
        dead in prop::collection::vec(any::<bool>(), 10),
        known in prop::collection::vec(prop::collection::vec(any::<bool>(), 10), 10),
    ) {
        let truth = members(daemons, zones, &dead);
        let upstreams = upstreams(20, 8, zones);
        for upstream in &upstreams {
            let mut sum = 0;
            for (index, member) in truth.iter().enumerate().filter(|(_, member)| member.live) {
                let mut seen = truth.clone();
                for (other, known) in seen.iter_mut().zip(&known[index]) {
                    other.live |= !known;
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
fn totals_are_nearly_equal_and_mostly_in_the_own_zone() {
    for (daemons, zones) in [(6, 3), (8, 4), (7, 3)] {
        let members = members(daemons, zones, &[]);
        let upstreams = upstreams(50, 8, zones);
        let table = OwnershipTable::new(&members, upstreams.iter().map(slots));
        for (index, member) in members.iter().enumerate() {
            let own = |upstream: &&(u32, String, u32)| upstream.1 == member.zone;
            let share = |upstream: &(u32, String, u32)| table.share(index, slots(upstream));
            let all: u32 = upstreams.iter().map(share).sum();
            let near: u32 = upstreams.iter().filter(own).map(share).sum();
            let equal = 400.0 / daemons as f64;
            assert!((f64::from(all) - equal).abs() <= equal * 0.08, "{all} of {equal}");
            assert!(f64::from(near) >= f64::from(all) * 0.6, "{near} of {all} in the own zone");
        }
    }
}
