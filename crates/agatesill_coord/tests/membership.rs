//! Who counts as live, suspected, leaving or dead, and on what evidence.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use agatesill_coord::membership::{Membership, Peer, PeerState};

const SUSPECT: Duration = Duration::from_secs(2);

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn beat(membership: &mut Membership, sequence: u64, heard: Instant) {
    let peer = Peer { sequence, heard, config_version: 1, stopping: false };
    membership.heard("b", peer);
}

fn steady() -> (Membership, Instant) {
    let start = Instant::now();
    let mut membership = Membership::new(SUSPECT);
    beat(&mut membership, 1, start);
    assert_eq!(membership.judge("b", start), PeerState::Joining);
    beat(&mut membership, 2, start);
    assert_eq!(membership.judge("b", start), PeerState::Live);
    (membership, start)
}

/// A peer is paused for some seconds while its lease still runs. Were silence enough, its cells
/// would be taken from it and given back a moment later.
#[test]
fn a_pause_is_not_a_death() {
    let (mut membership, start) = steady();
    membership.update_leases(names(&["a", "b"]), start);
    let later = start + 2 * SUSPECT;
    assert_eq!(membership.judge("b", later), PeerState::Suspected);
    assert_eq!(membership.candidates(later), ["b"]);
    beat(&mut membership, 3, later);
    assert_eq!(membership.judge("b", later), PeerState::Joining);
    beat(&mut membership, 4, later);
    assert_eq!(membership.judge("b", later), PeerState::Live);
}

/// Only the link from b to here is cut; c still hears b. The lease reading is stale on top.
#[test]
fn a_one_way_link_is_not_a_death() {
    let (mut membership, start) = steady();
    let later = start + 2 * SUSPECT;
    membership.update_leases(names(&["a"]), later);
    membership.heard_by("c", names(&["b"]), later);
    assert_eq!(membership.judge("b", later), PeerState::Suspected);
    let much_later = later + 2 * SUSPECT;
    membership.update_leases(names(&["a"]), much_later);
    assert_eq!(membership.judge("b", much_later), PeerState::Dead);
}

/// The store is down, so nobody's lease can be read; then a peer falls silent. An old reading
/// without it must not count as a second source.
#[test]
fn an_outage_of_the_store_is_not_evidence() {
    let (mut membership, start) = steady();
    membership.update_leases(names(&["a"]), start);
    assert_eq!(membership.judge("b", start + Duration::from_secs(60)), PeerState::Suspected);
}

/// The platform took the instance away; its list lags, and its lease may still run.
#[test]
fn removal_by_the_platform_is_a_second_source() {
    let (mut membership, start) = steady();
    let list = |words: &[(&str, &str)]| -> BTreeMap<String, String> {
        words.iter().map(|(name, word)| ((*name).to_owned(), (*word).to_owned())).collect()
    };
    membership.update_platform_list(list(&[("a", "live"), ("b", "leaving")]), start);
    assert_eq!(membership.judge("b", start), PeerState::Leaving);
    let later = start + 2 * SUSPECT;
    membership.update_platform_list(list(&[("a", "live")]), later);
    assert_eq!(membership.judge("b", later), PeerState::Dead);
}
