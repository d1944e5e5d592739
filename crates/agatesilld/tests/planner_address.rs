//! How a daemon that the store turns away knows the planner's address.

#![allow(clippy::unwrap_used)] // A failed assumption of a test fails the test.

#[path = "../../../platform/tests/support/mod.rs"]
mod support;

use agatesill_coord::lease::Owner;
use agatesill_platform::{settings, store};
use agatesilld::fleet::daemon_state::DaemonState;
use agatesilld::fleet::metrics::FleetMetrics;
use support::settings::ListenAddrs;

async fn daemon() -> DaemonState {
    let addrs = ListenAddrs::allocate().await;
    let store_addr = support::free_addr().await;
    let text = support::settings::daemon("d1", &addrs, store_addr, 0.5);
    let settings = settings::decode(&text).unwrap();
    DaemonState::new(settings, store::store(store_addr), FleetMetrics::new().unwrap())
}

fn owner(address: &str) -> Option<Owner> {
    let (instance, address) = ("d2".to_owned(), address.to_owned());
    Some(Owner { instance, lease_id: 1, address, cpu_milli: 500 })
}

/// Guards against a planner that another daemon has not noticed to be replaced.
#[tokio::test]
async fn reports_of_an_earlier_planner_change_nothing() {
    let daemon = daemon().await;
    let current = "127.0.0.1:7002";
    daemon.set_owner(owner(current), 20);
    daemon.learn_planner("127.0.0.1:7003", 19);
    daemon.learn_planner("127.0.0.1:7003", 20);
    assert_eq!(daemon.planner_addr(), current.parse().ok());
    daemon.set_owner(None, 0);
    daemon.learn_planner("127.0.0.1:7003", 20);
    assert_eq!(daemon.planner_addr(), None, "the range is free");
    daemon.learn_planner("127.0.0.1:7004", 21);
    assert_eq!(daemon.planner_addr(), "127.0.0.1:7004".parse().ok());
    daemon.set_owner(None, 20);
    assert_eq!(daemon.planner_addr(), "127.0.0.1:7004".parse().ok(), "the end of an earlier epoch");
}

/// Guards against a daemon that sends its callers' requests to itself.
#[tokio::test]
async fn a_daemon_does_not_learn_its_own_address_from_others() {
    let daemon = daemon().await;
    daemon.learn_planner(&daemon.settings.peer_addr.to_string(), 5);
    assert_eq!(daemon.planner_addr(), None);
}
