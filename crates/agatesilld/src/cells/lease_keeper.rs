//! Renews the store lease, claims the cells that this instance should own and takes over their
//! logs.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use agatesill_coord::commit_log::Replay;
use agatesill_coord::lease::{OWNER_PREFIX, Owner};
use agatesill_coord::prelude::*;
use agatesill_coord::range_assignment::{Candidate, assign_ranges};
use agatesill_policy::prelude::*;
use agatesill_wire::prelude::*;
use tokio::sync::mpsc;
use tokio::task::{Id, JoinError, JoinSet};

use super::Event;
use crate::settings::Settings;
use crate::shared::Shared;

/// Share of the lease during which the loop may act, with the same safety margin as the lease
/// itself.
const USABLE_LEASE_PERCENT: u32 = 100 - agatesill_coord::lease::SAFETY_MARGIN_PERCENT;

/// Weight of one daemon among the candidates; all daemons are equal.
const DAEMON_CAPACITY: u32 = 1;

/// Time after which a cell in which an assertion failed is claimed again. Reading its log at every
/// renewal would use up the store's rate limit.
const FAILED_CELL_BACKOFF: Duration = Duration::from_secs(5);

/// A call from the loop.
#[derive(Debug)]
pub(super) enum LeaseKeeperCall {
    /// The loop no longer acts on the cell; release it.
    GiveUp {
        /// Name of the cell.
        name: String,
        /// Store lease under which the loop owned the cell.
        lease_id: u64,
        /// Whether an assertion failed in the cell.
        has_failed: bool,
    },
    /// The loop has stopped; release the lease.
    Release,
}

/// A cell that was claimed and taken over.
pub(super) struct Takeover {
    pub(super) name: String,
    pub(super) lease_id: u64,
    pub(super) log: CommitLog,
    pub(super) replay: Replay<Cell, CellDelta>,
}

/// The part of the settings that the lease keeper uses.
#[derive(Clone, Debug)]
pub(super) struct LeaseKeeperSettings {
    instance: String,
    cells: Vec<String>,
    ttl: Duration,
    renew_interval: Duration,
    claim_delay: Duration,
}

impl LeaseKeeperSettings {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            instance: settings.instance.clone(),
            cells: settings.cells.keys().cloned().collect(),
            ttl: Duration::from_millis(settings.store.lease_ms),
            renew_interval: Duration::from_millis(settings.store.renew_ms),
            claim_delay: Duration::from_millis(settings.peers.suspect_ms),
        }
    }
}

/// A claimed cell whose log is being taken over.
struct PendingTakeover {
    name: String,
    lease_id: u64,
}

type TakeoverResult = Result<(CommitLog, Replay<Cell, CellDelta>), Error>;

/// Renews the lease and claims cells.
///
/// Takeovers run in tasks of their own, because reading the logs at a slow store can take longer than
/// the lease.
pub(super) struct LeaseKeeper {
    settings: LeaseKeeperSettings,
    store: Store,
    shared: Shared,
    ownership: Ownership,
    /// Cells claimed under the lease `claimed_lease_id`.
    claimed: BTreeSet<String>,
    claimed_lease_id: u64,
    takeovers: JoinSet<TakeoverResult>,
    pending_takeovers: BTreeMap<Id, PendingTakeover>,
    unowned_since: BTreeMap<String, Instant>,
    /// Cells in which an assertion failed, with the time from which they may be claimed again.
    postponed: BTreeMap<String, Instant>,
}

impl LeaseKeeper {
    pub(super) fn new(settings: &LeaseKeeperSettings, store: Store, shared: Shared) -> Self {
        Self {
            ownership: Ownership::new(store.clone(), &settings.instance, settings.ttl),
            settings: settings.clone(),
            store,
            shared,
            claimed: BTreeSet::new(),
            claimed_lease_id: 0,
            takeovers: JoinSet::new(),
            pending_takeovers: BTreeMap::new(),
            unowned_since: BTreeMap::new(),
            postponed: BTreeMap::new(),
        }
    }

    pub(super) async fn run(
        mut self,
        events: mpsc::Sender<Event>,
        mut calls: mpsc::Receiver<LeaseKeeperCall>,
    ) {
        let mut renew = tokio::time::interval(self.settings.renew_interval);
        renew.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                call = calls.recv() => match call {
                    Some(LeaseKeeperCall::GiveUp { name, lease_id, has_failed }) => {
                        if has_failed {
                            let until = Instant::now() + FAILED_CELL_BACKOFF;
                            self.postponed.insert(name.clone(), until);
                        }
                        self.give_up(&name, lease_id).await;
                    }
                    Some(LeaseKeeperCall::Release) | None => break,
                },
                Some(finished) = self.takeovers.join_next_with_id() => {
                    self.takeover_finished(finished, &events).await;
                }
                _ = renew.tick() => {
                    if let Err(error) = self.renew(&events).await {
                        log::warn!(event = "lease_renewal_failed"; "{error}");
                    }
                }
            }
        }
        self.takeovers.shutdown().await;
        if let Err(error) = self.ownership.release().await {
            log::warn!(event = "release_failed"; "{error}");
        }
    }

    /// Releases a cell. A claim under an earlier lease has ended with that lease, and the cell may
    /// have been claimed again since.
    async fn give_up(&mut self, name: &str, lease_id: u64) {
        if lease_id != self.ownership.lease_id() {
            return;
        }
        self.claimed.remove(name);
        if let Err(error) = self.ownership.give_up(&range(name)).await {
            log::warn!(event = "give_up_failed", cell = name; "{error}");
        }
    }

    async fn renew(&mut self, events: &mpsc::Sender<Event>) -> Result<(), Error> {
        let sent = Instant::now();
        self.ownership.renew().await?;
        let lease_id = self.ownership.lease_id();
        if lease_id != self.claimed_lease_id {
            self.claimed.clear();
            self.takeovers.abort_all();
            self.claimed_lease_id = lease_id;
        }
        let until = sent + self.settings.ttl * USABLE_LEASE_PERCENT / 100;
        let _ = events.send(Event::Lease { lease_id, until }).await;
        for name in self.claimable().await? {
            if self.ownership.claim(&range(&name)).await? {
                self.start_takeover(name, lease_id);
            }
        }
        Ok(())
    }

    /// Cells without an owner that this instance should claim now: those assigned to it, and others
    /// that have had no owner for longer than `claim_delay`.
    async fn claimable(&mut self) -> Result<Vec<String>, Error> {
        if self.claimed.len() == self.settings.cells.len() {
            return Ok(Vec::new());
        }
        let owners = self.store.range(&format!("{OWNER_PREFIX}cell/")).await?;
        let mut owned = BTreeSet::new();
        for entry in &owners {
            let held = serde_json::from_str::<Owner>(&entry.value);
            if !held.is_ok_and(|owner| owner.instance == self.settings.instance) {
                owned.insert(entry.key.clone());
            }
        }
        let preferred = self.preferred();
        let now = Instant::now();
        self.postponed.retain(|_, until| *until > now);
        let mut claimable = Vec::new();
        for name in &self.settings.cells {
            if self.claimed.contains(name)
                || self.postponed.contains_key(name)
                || owned.contains(&format!("{OWNER_PREFIX}{}", range(name)))
            {
                self.unowned_since.remove(name);
                continue;
            }
            let since = *self.unowned_since.entry(name.clone()).or_insert(now);
            if preferred.contains(name) || now.duration_since(since) > self.settings.claim_delay {
                claimable.push(name.clone());
            }
        }
        Ok(claimable)
    }

    fn preferred(&self) -> BTreeSet<String> {
        let mut live: BTreeSet<String> = self.shared.peers().iter().cloned().collect();
        live.insert(self.settings.instance.clone());
        let candidates: Vec<Candidate> = live
            .into_iter()
            .map(|instance| Candidate { instance, capacity: DAEMON_CAPACITY })
            .collect();
        let ranges: Vec<&str> = self.settings.cells.iter().map(String::as_str).collect();
        assign_ranges(&ranges, &candidates)
            .into_iter()
            .filter(|(_, instance)| *instance == self.settings.instance)
            .map(|(name, _)| name)
            .collect()
    }

    fn start_takeover(&mut self, name: String, lease_id: u64) {
        let (store, instance) = (self.store.clone(), self.settings.instance.clone());
        let prefix = format!("cell/{name}");
        let task = self.takeovers.spawn(async move {
            CommitLog::take_over::<Cell, CellDelta>(store, &prefix, &instance).await
        });
        self.claimed.insert(name.clone());
        self.unowned_since.remove(&name);
        self.pending_takeovers.insert(task.id(), PendingTakeover { name, lease_id });
    }

    async fn takeover_finished(
        &mut self,
        finished: Result<(Id, TakeoverResult), JoinError>,
        events: &mpsc::Sender<Event>,
    ) {
        let (id, result) = match finished {
            Ok((id, result)) => (id, result),
            Err(error) => {
                (error.id(), Err(Error::new(ErrorKind::StoreUnavailable, error.to_string())))
            }
        };
        let Some(PendingTakeover { name, lease_id }) = self.pending_takeovers.remove(&id) else {
            return;
        };
        // The cell may have been claimed again under the present lease.
        if lease_id != self.claimed_lease_id {
            return;
        }
        match result {
            Ok((log, replay)) => {
                let takeover = Takeover { name, lease_id, log, replay };
                let _ = events.send(Event::Takeover(Box::new(takeover))).await;
            }
            Err(error) => {
                log::warn!(event = "takeover_failed", cell = name.as_str(); "{error}");
                self.claimed.remove(&name);
            }
        }
    }
}

fn range(cell: &str) -> String {
    format!("cell/{cell}")
}
