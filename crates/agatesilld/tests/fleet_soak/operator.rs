//! The operator of a run: writes versions of the configuration that add and remove idle queues, and
//! remembers what each version allows.

use std::collections::BTreeSet;
use std::sync::{Arc, Mutex};
use std::time::Instant;

use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::support::settings;
use crate::support::store::FakeStore;

/// Queues that versions add and remove; no job uses them.
pub const IDLE_QUEUES: usize = 8;

/// Additional queues of a large version, which has several hundred kilobytes.
const LARGE_VERSION_QUEUES: usize = 3_000;

/// Number of a queue that no version has.
pub const ABSENT_QUEUE: usize = IDLE_QUEUES;

/// A version that was written and acknowledged.
#[derive(Clone, Debug)]
pub struct WrittenVersion {
    pub number: u64,
    pub acknowledged: Instant,
    /// Idle queues that this version has.
    pub idle_queues: BTreeSet<usize>,
}

pub struct Operator {
    store: Arc<FakeStore>,
    state: Mutex<State>,
}

struct State {
    random: Pcg64Mcg,
    versions: Vec<WrittenVersion>,
}

/// Name of an idle queue.
pub fn idle_queue(index: usize) -> String {
    format!("idle{index}")
}

impl Operator {
    /// Writes the first version.
    pub fn start(seed: u64, store: Arc<FakeStore>) -> Self {
        let random = Pcg64Mcg::seed_from_u64(seed ^ 0x0c0f_f1e5);
        let operator = Self { store, state: Mutex::new(State { random, versions: Vec::new() }) };
        operator.write(0);
        operator
    }

    /// Writes the next version, which adds or removes one or two idle queues.
    pub fn write_next(&self) {
        self.write(0);
    }

    /// Writes the next version with many more queues.
    pub fn write_large(&self) {
        self.write(LARGE_VERSION_QUEUES);
    }

    fn write(&self, more_queues: usize) {
        let mut state = self.state.lock().unwrap();
        let State { random, versions } = &mut *state;
        let (number, mut idle_queues) =
            versions.last().map_or((0, BTreeSet::new()), |newest: &WrittenVersion| {
                (newest.number, newest.idle_queues.clone())
            });
        let number = number + random.random_range(1..=7);
        let count = random.random_range(1..=2);
        for toggled in rand::seq::index::sample(random, IDLE_QUEUES, count) {
            if !idle_queues.remove(&toggled) {
                idle_queues.insert(toggled);
            }
        }
        let mut queues = vec![settings::queue("desk", 0), settings::queue("month", 2)];
        queues.extend(idle_queues.iter().map(|index| settings::queue(&idle_queue(*index), 1)));
        queues.extend((0..more_queues).map(|index| settings::queue(&format!("more{index}"), 1)));
        self.store.put("op/config", &settings::config(number, &queues));
        versions.push(WrittenVersion { number, acknowledged: Instant::now(), idle_queues });
    }

    /// The versions that may be active at a daemon for a request sent at `sent` and answered by now,
    /// if one acknowledged before `acknowledged_by` must be active; oldest first.
    pub fn allowed_versions(&self, acknowledged_by: Option<Instant>) -> Vec<WrittenVersion> {
        let state = self.state.lock().unwrap();
        let oldest = acknowledged_by.map_or(0, |by| {
            let newer = state.versions.iter().rev();
            let outdated = newer.skip_while(|version| version.acknowledged > by).count();
            outdated.saturating_sub(1)
        });
        state.versions[oldest..].to_vec()
    }

    /// Idle queues added or removed by the newest versions, newest first.
    pub fn recently_changed(&self, versions: usize) -> Vec<usize> {
        let state = self.state.lock().unwrap();
        let pairs = state.versions.windows(2).rev().take(versions);
        pairs
            .flat_map(|pair| {
                pair[1].idle_queues.symmetric_difference(&pair[0].idle_queues).copied()
            })
            .collect()
    }
}
