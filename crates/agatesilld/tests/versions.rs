//! The active configuration version only increases.

use agatesill_wire::api::VersionedConfig;
use agatesilld::settings::RecordSettings;
use agatesilld::shared::Shared;

fn version(version: u64) -> VersionedConfig {
    VersionedConfig { version, ..VersionedConfig::default() }
}

/// A change is active when a late push from a slower peer or a stale read of the store delivers an
/// older version. It must have no effect; otherwise callers would get the previous latency
/// objective again.
#[test]
fn a_late_older_version_is_not_activated() {
    let shared = Shared::new(&RecordSettings::default());
    assert!(shared.apply_config(version(3)));
    assert!(!shared.apply_config(version(2)));
    assert!(!shared.apply_config(version(3)));
    assert_eq!(shared.config().version, 3);
    assert!(shared.apply_config(version(4)));
}
