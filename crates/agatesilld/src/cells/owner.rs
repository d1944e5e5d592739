//! Keeps the store lease, claims the cells that this instance should own and takes their logs over.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use agatesill_coord::commit_log::Replay;
use agatesill_coord::lease::{OWNER_PREFIX, Owner};
use agatesill_coord::prelude::*;
use agatesill_coord::range_assignment::{Candidate, assign_ranges};
use agatesill_policy::prelude::*;
use agatesill_wire::prelude::*;
use tokio::sync::mpsc;

use super::Event;
use crate::settings::Settings;
use crate::shared::Shared;

/// Share of the lease that the loop may act on; the same margin as the lease itself keeps.
const VALID_PERCENT: u32 = 100 - agatesill_coord::lease::SAFETY_MARGIN_PERCENT;

/// Weight of one daemon among the candidates; all are alike today.
const CAPACITY: u32 = 1;

/// A call from the loop.
#[derive(Debug)]
pub(super) enum KeeperCall {
    /// The loop no longer acts on the cell.
    GiveUp(String),
    /// The loop acts on nothing any more.
    Release,
}

/// A cell that was claimed and taken over.
pub(super) struct Taken {
    pub(super) name: String,
    pub(super) lease_id: u64,
    pub(super) log: CommitLog,
    pub(super) replay: Replay<Cell, CellDelta>,
}

/// What the keeper needs of the settings.
#[derive(Clone, Debug)]
pub(super) struct KeeperSettings {
    instance: String,
    cells: Vec<String>,
    ttl: Duration,
    renew_every: Duration,
    patience: Duration,
}

impl KeeperSettings {
    pub(super) fn new(settings: &Settings) -> Self {
        Self {
            instance: settings.instance.clone(),
            cells: settings.cells.keys().cloned().collect(),
            ttl: Duration::from_millis(settings.store.lease_ms),
            renew_every: Duration::from_millis(settings.store.renew_ms),
            patience: Duration::from_millis(settings.peers.suspect_ms),
        }
    }
}

/// Keeps the lease and claims cells.
pub(super) struct Keeper {
    settings: KeeperSettings,
    store: Store,
    shared: Shared,
    ownership: Ownership,
    taken: BTreeSet<String>,
    unowned_since: BTreeMap<String, Instant>,
}

impl Keeper {
    pub(super) fn new(settings: &KeeperSettings, store: Store, shared: Shared) -> Self {
        Self {
            ownership: Ownership::new(store.clone(), &settings.instance, settings.ttl),
            settings: settings.clone(),
            store,
            shared,
            taken: BTreeSet::new(),
            unowned_since: BTreeMap::new(),
        }
    }

    pub(super) async fn run(
        mut self,
        events: mpsc::Sender<Event>,
        mut calls: mpsc::Receiver<KeeperCall>,
    ) {
        let mut renew = tokio::time::interval(self.settings.renew_every);
        renew.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                call = calls.recv() => match call {
                    Some(KeeperCall::GiveUp(name)) => self.give_up(&name).await,
                    Some(KeeperCall::Release) | None => break,
                },
                _ = renew.tick() => {
                    if let Err(error) = self.renew(&events).await {
                        log::warn!(event = "lease_renewal_failed"; "{error}");
                    }
                }
            }
        }
        if let Err(error) = self.ownership.release().await {
            log::warn!(event = "release_failed"; "{error}");
        }
    }

    async fn give_up(&mut self, name: &str) {
        self.taken.remove(name);
        if let Err(error) = self.ownership.give_up(&range(name)).await {
            log::warn!(event = "give_up_failed", cell = name; "{error}");
        }
    }

    async fn renew(&mut self, events: &mpsc::Sender<Event>) -> Result<(), Error> {
        let before = self.ownership.lease_id();
        let sent = Instant::now();
        self.ownership.renew().await?;
        let lease_id = self.ownership.lease_id();
        if lease_id != before {
            self.taken.clear();
        }
        let until = sent + self.settings.ttl * VALID_PERCENT / 100;
        let _ = events.send(Event::Lease { lease_id, until }).await;
        for name in self.claimable().await? {
            if self.ownership.claim(&range(&name)).await? {
                self.take_over(name, lease_id, events).await;
            }
        }
        Ok(())
    }

    /// Cells without an owner that this instance should claim now: those that fall to it, and
    /// others that stayed without an owner for long.
    async fn claimable(&mut self) -> Result<Vec<String>, Error> {
        if self.taken.len() == self.settings.cells.len() {
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
        let mut claimable = Vec::new();
        for name in &self.settings.cells {
            if self.taken.contains(name)
                || owned.contains(&format!("{OWNER_PREFIX}{}", range(name)))
            {
                self.unowned_since.remove(name);
                continue;
            }
            let since = *self.unowned_since.entry(name.clone()).or_insert(now);
            if preferred.contains(name) || now.duration_since(since) > self.settings.patience {
                claimable.push(name.clone());
            }
        }
        Ok(claimable)
    }

    fn preferred(&self) -> BTreeSet<String> {
        let mut live: BTreeSet<String> = self.shared.peers().iter().cloned().collect();
        live.insert(self.settings.instance.clone());
        let candidates: Vec<Candidate> =
            live.into_iter().map(|instance| Candidate { instance, capacity: CAPACITY }).collect();
        let ranges: Vec<&str> = self.settings.cells.iter().map(String::as_str).collect();
        assign_ranges(&ranges, &candidates)
            .into_iter()
            .filter(|(_, instance)| *instance == self.settings.instance)
            .map(|(name, _)| name)
            .collect()
    }

    async fn take_over(&mut self, name: String, lease_id: u64, events: &mpsc::Sender<Event>) {
        let prefix = format!("cell/{name}");
        let instance = &self.settings.instance;
        match CommitLog::take_over::<Cell, CellDelta>(self.store.clone(), &prefix, instance).await {
            Ok((log, replay)) => {
                self.taken.insert(name.clone());
                self.unowned_since.remove(&name);
                let taken = Taken { name, lease_id, log, replay };
                let _ = events.send(Event::Taken(Box::new(taken))).await;
            }
            Err(error) => log::warn!(event = "takeover_failed", cell = name.as_str(); "{error}"),
        }
    }
}

fn range(cell: &str) -> String {
    format!("cell/{cell}")
}
