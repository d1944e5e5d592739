//! Tests of the evidence that makes a peer live, suspected, leaving or dead.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use agatesill_coord::membership::{Membership, Peer, PeerState};

const SUSPECT_AFTER: Duration = Duration::from_secs(2);

fn names(names: &[&str]) -> BTreeSet<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

fn heartbeat(membership: &mut Membership, sequence: u64, heard: Instant) {
    let peer = Peer { sequence, heard, config_version: 1, stopping: false };
    membership.heard("b", peer);
}

fn live_peer() -> (Membership, Instant) {
    let start = Instant::now();
    let mut membership = Membership::new(SUSPECT_AFTER);
    heartbeat(&mut membership, 1, start);
    assert_eq!(membership.state_of("b", start), PeerState::Joining);
    heartbeat(&mut membership, 2, start);
    assert_eq!(membership.state_of("b", start), PeerState::Live);
    (membership, start)
}

/// A peer is paused for some seconds while its lease is still valid. If missing heartbeats alone
/// made it dead, its cells would move to another daemon and back a moment later.
#[test]
fn paused_peer_with_a_lease_is_only_suspected() {
    let (mut membership, start) = live_peer();
    membership.update_leases(names(&["a", "b"]), start);
    let later = start + 2 * SUSPECT_AFTER;
    assert_eq!(membership.state_of("b", later), PeerState::Suspected);
    assert_eq!(membership.candidates(later), ["b"]);
    heartbeat(&mut membership, 3, later);
    assert_eq!(membership.state_of("b", later), PeerState::Joining);
    heartbeat(&mut membership, 4, later);
    assert_eq!(membership.state_of("b", later), PeerState::Live);
}

/// Only the connection from b to this daemon is broken; c still receives heartbeats of b. In
/// addition, b does not appear among the leases that were read.
#[test]
fn peer_that_others_can_reach_is_only_suspected() {
    let (mut membership, start) = live_peer();
    let later = start + 2 * SUSPECT_AFTER;
    membership.update_leases(names(&["a"]), later);
    membership.heard_by("c", names(&["b"]), later);
    assert_eq!(membership.state_of("b", later), PeerState::Suspected);
    let much_later = later + 2 * SUSPECT_AFTER;
    membership.update_leases(names(&["a"]), much_later);
    assert_eq!(membership.state_of("b", much_later), PeerState::Dead);
}

/// The store is unavailable, so that no lease can be read, and then a peer stops sending
/// heartbeats. An old list of leases without the peer must not count as a second source.
#[test]
fn outdated_lease_list_is_not_evidence() {
    let (mut membership, start) = live_peer();
    membership.update_leases(names(&["a"]), start);
    assert_eq!(membership.state_of("b", start + Duration::from_secs(60)), PeerState::Suspected);
}

/// The platform removes the instance. Its list lags, and the lease may still be valid.
#[test]
fn removal_by_the_platform_is_a_second_source() {
    let (mut membership, start) = live_peer();
    let list = |statuses: &[(&str, &str)]| -> BTreeMap<String, String> {
        statuses.iter().map(|(name, status)| ((*name).to_owned(), (*status).to_owned())).collect()
    };
    membership.update_platform_list(list(&[("a", "live"), ("b", "leaving")]), start);
    assert_eq!(membership.state_of("b", start), PeerState::Leaving);
    let later = start + 2 * SUSPECT_AFTER;
    membership.update_platform_list(list(&[("a", "live")]), later);
    assert_eq!(membership.state_of("b", later), PeerState::Dead);
}
