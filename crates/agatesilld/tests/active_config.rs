//! What a daemon knows of the versions of others.

use agatesilld::fleet::active_config::ConfigState;

/// Guards against a report that is lost because it arrives while the answer to an earlier read is on
/// its way.
#[test]
fn a_read_does_not_discard_reports_of_later_versions() {
    let state = ConfigState::default();
    state.mark_seen(10);
    state.known_elsewhere(12, 1);
    state.read_at(11);
    assert!(state.is_outdated());
    state.read_at(12);
    assert!(!state.is_outdated());
}
