//! Property tests: random bytes in stored logs and configurations are reported without a panic.
//!
//! `PROPTEST_CASES=1000000 cargo test --release -p agatesill_coord --test decoders` runs a million
//! cases of each test.

#![allow(clippy::unwrap_used)]

mod support;

use agatesill_coord::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngSeed, TestRunner};
use support::MemStore;

fn runner() -> TestRunner {
    let cases = std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok());
    TestRunner::new(Config {
        cases: cases.unwrap_or(256),
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..Config::default()
    })
}

/// A valid log of three records, with `inserted` added to the value of `key` at a random position.
async fn damaged_store(key: &str, at: prop::sample::Index, inserted: &str) -> MemStore {
    let mem = MemStore::default();
    let store = mem.client(1).store;
    let taken = CommitLog::take_over::<u64, u64>(store, "cell/a", "a").await;
    let (mut log, _) = taken.unwrap();
    log.append(&[1_u64, 2]).await.unwrap();
    log.snapshot(&3_u64).await.unwrap();
    log.append(&[4_u64]).await.unwrap();
    let mut value = mem.dump().get(key).cloned().unwrap_or_default();
    let mut at = if value.is_empty() { 0 } else { at.index(value.len()) };
    while !value.is_char_boundary(at) {
        at -= 1;
    }
    value.insert_str(at, inserted);
    mem.overwrite(key, Some(&value));
    mem
}

#[test]
fn damaged_logs_never_panic_or_return_wrong_data() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let runtime = runtime.unwrap();
    let keys = prop::sample::select(vec![
        "cell/a/log/0001",
        "cell/a/log/0002",
        "cell/a/log/0003",
        "cell/a/log/0009",
        "cell/a/snapshot",
    ]);
    let cases = (keys, any::<prop::sample::Index>(), "[ -~]{1,4}");
    runner()
        .run(&cases, |(key, at, inserted)| {
            let outcome = runtime.block_on(async {
                let store = damaged_store(key, at, &inserted).await.client(2).store;
                CommitLog::take_over::<u64, u64>(store, "cell/a", "b").await
            });
            if let Ok((_, replay)) = outcome {
                // The damage is harmless, such as spaces between JSON tokens.
                prop_assert_eq!((replay.snapshot, replay.deltas), (Some(3), vec![4]));
            }
            Ok(())
        })
        .unwrap();
}

#[test]
fn damaged_configurations_never_panic() {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    let runtime = runtime.unwrap();
    runner()
        .run(&"[ -~]{0,64}", |text| {
            runtime.block_on(async {
                let mem = MemStore::default();
                mem.overwrite("config/head", Some(&text));
                let _ = ConfigStore::new(mem.client(1).store).read().await;
            });
            Ok(())
        })
        .unwrap();
}
