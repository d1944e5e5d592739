//! Exchanges the configuration between daemons.
//!
//! Guards against a daemon that knows no newer version although others do: the store turns its calls
//! away and serves the others and the operators, or its watch has skipped a version. Each daemon
//! asks another one in turn. The store remains the only origin: a version carries the revision at
//! which it was written, and only a newer one is taken over.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agatesill_coord::store::CallTiming;
use agatesill_wire::fleet::{FleetAnswer, FleetQuestion};
use rand::Rng;
use rand::seq::IteratorRandom;
use tokio_util::sync::CancellationToken;

use super::active_config::{ConfigSource, QuestionOutcome};
use super::config_watch;
use super::daemon_state::DaemonState;

/// Interval between two questions while the store answers. Together with the answer it must stay
/// below the time allowed for a configuration to become active.
const INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval while the store does not answer.
const INTERVAL_WITHOUT_STORE: Duration = Duration::from_millis(300);

/// Time after the store's last answer from which the shorter interval applies. A watch is answered
/// within its wait.
const MAX_ANSWER_AGE_MS: u64 = 1_500;

/// Number of other daemons that are remembered.
const MAX_PEERS: usize = 64;

/// Number of other daemons named in an answer.
const MAX_NAMED_PEERS: usize = 4;

/// Other daemons of the fleet, as known from calls and answers, with the number of consecutive
/// questions that each did not answer.
#[derive(Debug, Default)]
pub struct PeerDirectory {
    peers: Mutex<HashMap<SocketAddr, u32>>,
}

impl PeerDirectory {
    /// Records a daemon that has made a call.
    pub fn called_by(&self, addr: &str) {
        self.add(addr);
        if let Ok(addr) = addr.parse() {
            self.answered(addr, true);
        }
    }

    /// Records a daemon that another one has named. In a full directory it takes the place of an
    /// unresponsive one, or of any.
    pub fn add(&self, addr: &str) {
        let Ok(addr) = addr.parse() else { return };
        let mut peers = self.lock();
        if peers.contains_key(&addr) {
            return;
        }
        if peers.len() >= MAX_PEERS {
            let mut random = rand::rng();
            let unresponsive = peers.iter().find(|(_, failures)| **failures > 0);
            let replaced = unresponsive.or_else(|| peers.iter().choose(&mut random));
            if let Some(replaced) = replaced.map(|(addr, _)| *addr) {
                peers.remove(&replaced);
            }
        }
        peers.insert(addr, 0);
    }

    /// Some daemons other than `own`, for an answer.
    pub fn sample(&self, own: SocketAddr) -> Vec<String> {
        let peers = self.lock();
        let responsive = peers.iter().filter(|(addr, failures)| **addr != own && **failures == 0);
        let chosen = responsive.choose_multiple(&mut rand::rng(), MAX_NAMED_PEERS);
        chosen.into_iter().map(|(addr, _)| addr.to_string()).collect()
    }

    /// A daemon to ask: one of those that failed least often.
    fn choose(&self, own: SocketAddr) -> Option<SocketAddr> {
        let peers = self.lock();
        let others = || peers.iter().filter(|(addr, _)| **addr != own);
        let fewest = others().map(|(_, failures)| *failures).min()?;
        others()
            .filter(|(_, failures)| **failures == fewest)
            .choose(&mut rand::rng())
            .map(|(addr, _)| *addr)
    }

    fn answered(&self, addr: SocketAddr, is_answered: bool) {
        if let Some(failures) = self.lock().get_mut(&addr) {
            *failures = if is_answered { 0 } else { *failures + 1 };
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, u32>> {
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Asks other daemons for newer versions until `stop` is cancelled.
pub async fn follow_peers(daemon: Arc<DaemonState>, stop: CancellationToken) {
    let work = async {
        loop {
            let spread = rand::rng().random_range(0.8..1.0);
            tokio::time::sleep(interval(&daemon).mul_f64(spread)).await;
            ask_peer(&daemon).await;
        }
    };
    stop.run_until_cancelled(work).await;
}

fn interval(daemon: &DaemonState) -> Duration {
    let heard_ms_ago = daemon.config_state.heard_ms_ago(daemon.clock.now_us());
    match heard_ms_ago.is_some_and(|age_ms| age_ms < MAX_ANSWER_AGE_MS) {
        true => INTERVAL,
        false => INTERVAL_WITHOUT_STORE,
    }
}

async fn ask_peer(daemon: &DaemonState) {
    if let Some(planner) = daemon.planner_addr() {
        daemon.peers.add(&planner.to_string());
    }
    let Some(addr) = daemon.peers.choose(daemon.settings.peer_addr) else { return };
    let question = FleetQuestion::ConfigAfter(daemon.config_state.seen_revision());
    let asked_us = daemon.clock.now_us();
    let answer = daemon.config_connection.ask(addr, question).await;
    daemon.peers.answered(addr, answer.is_some());
    daemon.config_state.asked(match &answer {
        None => QuestionOutcome::Unanswered,
        Some(answer) if answer.config.is_empty() => QuestionOutcome::NotNewer,
        Some(_) => QuestionOutcome::Newer,
    });
    let Some(answer) = answer else { return };
    answer.peers.iter().for_each(|peer| daemon.peers.add(peer));
    if answer.config.is_empty() {
        return;
    }
    let sent = Duration::from_micros(daemon.clock.now_us() - asked_us);
    let timing = CallTiming { sent, ..CallTiming::default() };
    let source = ConfigSource::Peer;
    config_watch::activate(daemon, &answer.config, answer.config_revision, source, timing);
}

/// Answers a question of a daemon whose configuration was written at `sender_revision`.
pub fn answer_config(daemon: &DaemonState, sender_revision: u64, answer: &mut FleetAnswer) {
    daemon.config_state.known_elsewhere(sender_revision, daemon.clock.now_us());
    answer.is_known = true;
    answer.peers = daemon.peers.sample(daemon.settings.peer_addr);
    let Some(active) = daemon.config_state.active() else { return };
    answer.config_revision = active.revision;
    if active.revision > sender_revision {
        answer.config = active.value.to_string();
    }
}
