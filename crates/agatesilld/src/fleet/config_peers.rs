//! Exchanges the configuration between daemons.
//!
//! Guards against a daemon that knows no newer version although others do: the store turns its calls
//! away and serves the others and the operators, or its watch has skipped a version. A daemon that
//! activates a version announces it, and each daemon compares revisions with another one in turn, in
//! case an announcement is lost. The store remains the only origin: a version carries the revision
//! at which it was written, and only a newer one is taken over.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use agatesill_coord::store::CallTiming;
use agatesill_wire::fleet::{FleetAnswer, FleetQuestion};
use futures::StreamExt;
use futures::stream::FuturesUnordered;
use rand::Rng;
use tokio_util::sync::CancellationToken;

use super::active_config::{ConfigSource, QuestionOutcome};
use super::config_watch::{self, MAX_ACTIVATION_DELAY};
use super::daemon_state::DaemonState;

/// Interval between two comparisons while the store answers.
const INTERVAL: Duration = Duration::from_millis(1_000);

/// Interval between two comparisons while the store does not answer.
const INTERVAL_WITHOUT_STORE: Duration = Duration::from_millis(300);

/// Timeout of a comparison, whose answer is small.
const COMPARISON_TIMEOUT: Duration = Duration::from_millis(400);

/// Timeout of an answer with a configuration, which has up to 1 MB and takes a second at 10 Mbit/s.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Delay of an announcement, in which the watches of the other daemons deliver the version and
/// announcements of others arrive.
const ANNOUNCEMENT_DELAY_MS: Range<u64> = 20..120;

/// Number of daemons to which a version is announced at first. Where the watches have delivered it,
/// all of them have it, and nothing else follows.
const FANOUT: usize = 3;

/// Number of further daemons for each one that did not have the version or did not answer.
const FOLLOWING_FANOUT: usize = 2;

/// Maximum number of daemons to which one daemon announces one version.
const MAX_ANNOUNCEMENTS: usize = 32;

/// Time for which a store that answers may deliver a version by itself after another daemon has
/// reported it.
pub const STORE_GRACE: Duration = Duration::from_millis(250);

/// Delay until another daemon is asked for a version if the one asked before has not answered.
const HEDGE_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of daemons asked for a version at the same time.
const MAX_FETCHES: usize = 3;

/// Delay after all known daemons with a version were asked for it in vain.
const FETCH_BACKOFF: Duration = Duration::from_millis(200);

// Comparisons alone stay within the bound although the daemon asked first and the one from which the
// version is fetched first are silent.
const _: () = assert!(
    INTERVAL.as_millis()
        + COMPARISON_TIMEOUT.as_millis()
        + STORE_GRACE.as_millis()
        + HEDGE_DELAY.as_millis()
        < MAX_ACTIVATION_DELAY.as_millis()
);

/// Announces each version that becomes active to other daemons, until `stop` is cancelled.
pub async fn announce_versions(daemon: Arc<DaemonState>, stop: CancellationToken) {
    let work = async {
        let mut announced = 0;
        loop {
            daemon.config_state.activated_after(announced).await;
            let delay_ms = rand::rng().random_range(ANNOUNCEMENT_DELAY_MS);
            tokio::time::sleep(Duration::from_millis(delay_ms)).await;
            announced = daemon.config_state.active_revision();
            // Calls that are still unanswered must not hold back the next version.
            tokio::select! {
                () = announce(&daemon, announced) => {}
                () = daemon.config_state.activated_after(announced) => {}
            }
        }
    };
    stop.run_until_cancelled(work).await;
}

/// Announces the version written at `revision` to daemons that are not known to have it, until those
/// that answer have it already.
async fn announce(daemon: &DaemonState, revision: u64) {
    let own = daemon.settings.peer_addr;
    let mut told = HashSet::new();
    let mut calls = FuturesUnordered::new();
    let mut wanted = FANOUT;
    loop {
        let count = wanted.min(MAX_ANNOUNCEMENTS - told.len());
        for addr in daemon.peers.choose_behind(own, revision, &told, count) {
            told.insert(addr);
            calls.push(compare(daemon, addr));
        }
        let Some(peer_revision) = calls.next().await else { return };
        let is_up_to_date = peer_revision.is_some_and(|peer_revision| peer_revision >= revision);
        wanted = if is_up_to_date { 0 } else { FOLLOWING_FANOUT };
    }
}

/// Compares revisions with other daemons, one at a time, until `stop` is cancelled.
pub async fn compare_repeatedly(daemon: Arc<DaemonState>, stop: CancellationToken) {
    let work = async {
        loop {
            let spread = rand::rng().random_range(0.8..1.0);
            let pause = tokio::time::sleep(interval(&daemon).mul_f64(spread));
            tokio::join!(pause, compare_with_any(&daemon));
        }
    };
    stop.run_until_cancelled(work).await;
}

fn interval(daemon: &DaemonState) -> Duration {
    match daemon.config_state.is_store_answering(daemon.clock.now_us()) {
        true => INTERVAL,
        false => INTERVAL_WITHOUT_STORE,
    }
}

async fn compare_with_any(daemon: &DaemonState) {
    if let Some(planner) = daemon.planner_addr() {
        daemon.peers.add(&planner.to_string());
    }
    if let Some(addr) = daemon.peers.choose(daemon.settings.peer_addr) {
        compare(daemon, addr).await;
    }
}

/// Tells a daemon the revision of the active configuration, and returns the one of that daemon's;
/// `None` without an answer. A call that is not answered may have been received.
async fn compare(daemon: &DaemonState, addr: SocketAddr) -> Option<u64> {
    let question = FleetQuestion::ConfigRevision(daemon.config_state.active_revision());
    let answer = daemon.peer_calls.ask(addr, question, COMPARISON_TIMEOUT).await;
    let answer = record_answer(daemon, addr, answer)?;
    if !answer.is_known {
        // An earlier version of this program, which does not know the question.
        fetch_from(daemon, addr).await;
    }
    daemon.config_state.known_elsewhere(answer.config_revision, daemon.clock.now_us());
    Some(answer.config_revision)
}

/// Records the outcome of a call to the daemon at `addr` and what the answer says of it and others.
fn record_answer(
    daemon: &DaemonState,
    addr: SocketAddr,
    answer: Option<FleetAnswer>,
) -> Option<FleetAnswer> {
    daemon.peers.answered(addr, answer.is_some());
    daemon.config_state.asked(match &answer {
        None => QuestionOutcome::Unanswered,
        Some(answer) if answer.config_revision > daemon.config_state.seen_revision() => {
            QuestionOutcome::Newer
        }
        Some(_) => QuestionOutcome::NotNewer,
    });
    let answer = answer?;
    daemon.peers.applies(addr, answer.config_revision);
    answer.peers.iter().for_each(|peer| daemon.peers.add(peer));
    daemon.learn_planner(&answer.planner, answer.planner_epoch);
    Some(answer)
}

/// Fetches versions that other daemons have reported and the store does not deliver, until `stop` is
/// cancelled.
pub async fn fetch_versions(daemon: Arc<DaemonState>, stop: CancellationToken) {
    let work = async {
        loop {
            daemon.config_state.outdated().await;
            if daemon.config_state.is_store_answering(daemon.clock.now_us()) {
                tokio::time::sleep(STORE_GRACE).await;
            }
            fetch(&daemon).await;
            if daemon.config_state.is_outdated() {
                tokio::time::sleep(FETCH_BACKOFF).await;
            }
        }
    };
    stop.run_until_cancelled(work).await;
}

/// Asks the daemons that have a newer version for it, the next one if the last one is slow to answer.
async fn fetch(daemon: &DaemonState) {
    let own = daemon.settings.peer_addr;
    let mut asked = HashSet::new();
    let mut fetches = FuturesUnordered::new();
    while daemon.config_state.is_outdated() {
        let seen_revision = daemon.config_state.seen_revision();
        let next = daemon.peers.choose_ahead(own, seen_revision, &asked);
        if let Some(addr) = next.filter(|_| fetches.len() < MAX_FETCHES) {
            asked.insert(addr);
            fetches.push(fetch_from(daemon, addr));
        }
        if fetches.is_empty() {
            return;
        }
        tokio::select! {
            _ = fetches.next() => {}
            () = tokio::time::sleep(HEDGE_DELAY) => {}
        }
    }
}

/// Asks the daemon at `addr` for a newer version than the newest that was seen here, and activates it.
async fn fetch_from(daemon: &DaemonState, addr: SocketAddr) {
    let question = FleetQuestion::ConfigAfter(daemon.config_state.seen_revision());
    let asked_us = daemon.clock.now_us();
    let answer = daemon.peer_calls.ask(addr, question, CONFIG_TIMEOUT).await;
    let Some(answer) = record_answer(daemon, addr, answer) else { return };
    if answer.config.is_empty() {
        return;
    }
    let sent = Duration::from_micros(daemon.clock.now_us() - asked_us);
    let timing = CallTiming { sent, ..CallTiming::default() };
    let source = ConfigSource::Peer;
    config_watch::activate(daemon, &answer.config, answer.config_revision, source, timing);
}

/// Answers a daemon at `sender` whose configuration was written at `sender_revision`, with the active
/// configuration if `is_fetch` is set and it is newer.
pub fn answer_config(
    daemon: &DaemonState,
    sender: &str,
    sender_revision: u64,
    is_fetch: bool,
    answer: &mut FleetAnswer,
) {
    if let Ok(sender) = sender.parse() {
        daemon.peers.applies(sender, sender_revision);
    }
    daemon.config_state.known_elsewhere(sender_revision, daemon.clock.now_us());
    answer.is_known = true;
    answer.peers = daemon.peers.sample(daemon.settings.peer_addr);
    let Some(active) = daemon.config_state.active() else { return };
    answer.config_revision = active.revision;
    if is_fetch && active.revision > sender_revision {
        answer.config = active.value.to_string();
    }
}
