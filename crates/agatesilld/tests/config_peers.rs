//! What a daemon remembers of the other daemons of its fleet.

#![allow(clippy::unwrap_used)] // A failed assumption of a test fails the test.

use std::collections::HashSet;

use agatesilld::fleet::peer_directory::PeerDirectory;

/// Guards against answers that grow with the fleet, and against a daemon that asks itself.
#[test]
fn an_answer_names_a_few_other_daemons() {
    let directory = PeerDirectory::default();
    let own = "127.0.0.1:7000";
    directory.called_by(own);
    assert!(directory.sample(own.parse().unwrap()).is_empty());
    (7_001..8_000).for_each(|port| directory.add(&format!("127.0.0.1:{port}")));
    directory.add("not an address");
    let named = directory.sample(own.parse().unwrap());
    let distinct: HashSet<&String> = named.iter().collect();
    assert_eq!((named.len(), distinct.len()), (4, 4), "{named:?}");
    assert!(!named.contains(&own.to_owned()));
}
