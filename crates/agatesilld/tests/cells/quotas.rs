//! Quotas while the configuration is not known.

use std::time::Duration;

use agatesill_standin::store::StoreFaults;
use agatesill_wire::api::{ConfigChange, VersionedConfig};
use hyper::Method;

use super::cluster::{Cluster, job};

/// Guards against a daemon that takes a cell over before it has read a configuration, and places tasks
/// beyond the quotas.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn quotas_hold_before_the_configuration_is_read() {
    let cluster = Cluster::start(1).await;
    let change = serde_json::json!({
        "operation_id": "quota", "author": "test",
        "teams": { "ledger": { "weight": 1, "quota_cpu_milli": 500 } },
    });
    let change: ConfigChange = serde_json::from_value(change).unwrap();
    let _: VersionedConfig = cluster.ask_until(Method::POST, 0, "/v1/config", &change).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.submit(0, &job("long", 8, 60_000)).await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(cluster.harness.workers.audit().starts, 1);
    let unreadable_prefix = "config/".to_owned();
    cluster.harness.store.set_faults(StoreFaults { unreadable_prefix, ..StoreFaults::default() });
    cluster.harness.daemons[0].kill();
    cluster.harness.daemons[0].start().unwrap();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let audit = cluster.harness.workers.audit();
    assert!(audit.epochs.values().any(|epochs| epochs.len() > 1), "no cell was taken over");
    assert_eq!(audit.attempts.len(), 1);
}
