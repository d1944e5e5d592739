//! Versions in force only rise.

use agatesill_wire::api::VersionedConfig;
use agatesilld::settings::RecordSettings;
use agatesilld::shared::Shared;

fn version(version: u64) -> VersionedConfig {
    VersionedConfig { version, ..VersionedConfig::default() }
}

/// An operator's change is in force. Then a push that was on its way from a slower peer arrives, or
/// a stale read of the store. Callers would get the old promise back; it must change nothing.
#[test]
fn a_late_older_version_is_not_put_in_force() {
    let shared = Shared::new(&RecordSettings::default());
    assert!(shared.apply_config(version(3)));
    assert!(!shared.apply_config(version(2)));
    assert!(!shared.apply_config(version(3)));
    assert_eq!(shared.config().version, 3);
    assert!(shared.apply_config(version(4)));
}
