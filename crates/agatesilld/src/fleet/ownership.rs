//! Which daemon plans: the one that holds the planner's range in the store.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use agatesill_coord::lease::{Owner, Ownership, owner_key};
use agatesill_wire::fleet::FleetQuestion;
use agatesill_wire::platform::StoreCall;
use agatesill_wire::prelude::*;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::daemon_state::Site;
use super::keys::PLANNER;
use super::peer_connection::Asked;
use super::planner;

/// Lease on the planner's range. A crash stops all starts until it has ended, and a renewal that
/// meets a slow store must still come in time; the store's shortest is one second.
const LEASE: Duration = Duration::from_millis(2_000);

/// Time between the end of one renewal and the next.
const RENEWAL: Duration = Duration::from_millis(400);

/// How long a renewal may take: two may be lost, and the third still comes before the lease ends.
const RENEWAL_LIMIT: Duration = Duration::from_millis(500);

/// How long a daemon that does not plan watches the range in one call.
const WATCH_MS: u64 = 1_500;

/// Longest head start that a daemon gives to bigger ones when the range falls free: claims arrive
/// within milliseconds of the news.
const HEAD_START_MS: f64 = 150.0;

/// Share of a processor from which a daemon claims at once.
const BIG_SHARE: f64 = 0.5;

/// How long a daemon that plans is left alone before a much bigger one asks for the range: at a
/// start of all daemons the bigger ones may simply come a moment later, and claims settle.
const SETTLING: Duration = Duration::from_millis(400);

/// Time between two questions for the range.
const ASKING: Duration = Duration::from_secs(2);

/// Time between two questions to the daemon that plans whether it can.
const CHECKING: Duration = Duration::from_millis(300);

/// Answers in a row by which a daemon that plans can't: one refused connection may be a restart that
/// is over in a moment.
const DOUBTS: u32 = 2;

/// Pause after a failed call.
const PAUSE: Duration = Duration::from_millis(150);

/// Claims the planner's range whenever it is free, and plans while it is held, until a planned stop
/// begins. When `alive` is cancelled everything ends where it is.
pub async fn run(site: Arc<Site>, stop: CancellationToken, alive: CancellationToken) {
    let work = claim_and_plan(site, stop, alive.clone());
    alive.run_until_cancelled(work).await;
}

async fn claim_and_plan(site: Arc<Site>, stop: CancellationToken, alive: CancellationToken) {
    while !stop.is_cancelled() {
        let address = site.settings.peer_addr.to_string();
        let mut ownership = Ownership::new(site.store.clone(), &site.settings.instance, LEASE)
            .with_address(&address)
            .with_cpu(site.cpu_milli());
        if wait_until_free(&site, &stop).await && claim(&site, &mut ownership).await {
            plan_while_owned(&site, &mut ownership, &stop, &alive).await;
        }
    }
}

/// Waits until nobody holds the range; false if waiting should begin anew.
async fn wait_until_free(site: &Site, stop: &CancellationToken) -> bool {
    let key = owner_key(PLANNER);
    let Ok(reply) = site.store.call(StoreCall::Range { prefix: key.clone() }).await else {
        tokio::time::sleep(PAUSE).await;
        return false;
    };
    let entry = reply.entries.iter().find(|entry| entry.key == key);
    let owner: Option<Owner> = entry.and_then(|entry| serde_json::from_str(&entry.value).ok());
    let epoch = entry.map_or(0, |entry| entry.version);
    site.set_owner(owner.clone());
    match owner {
        None => true,
        // An earlier incarnation of this instance: its key may be taken over at once.
        Some(owner) if owner.instance == site.settings.instance => true,
        Some(_) => {
            tokio::select! {
                () = stop.cancelled() => {}
                () = until_changed(site, key.clone(), reply.revision) => {}
                why = until_planner_fails(site) => depose(site, &key, epoch, why).await,
                () = ask_smaller_planner(site) => {}
            }
            false
        }
    }
}

/// Watches a key until it changes, the history is lost or the store fails.
async fn until_changed(site: &Site, key: String, mut after_revision: u64) {
    loop {
        let watch = StoreCall::Watch { prefix: key.clone(), after_revision, wait_ms: WATCH_MS };
        match site.store.call(watch).await {
            Ok(reply) if reply.applied || reply.is_compacted => return,
            Ok(reply) => after_revision = reply.revision,
            Err(error) => {
                log::debug!(event = "owner_unwatched"; "{error}");
                return tokio::time::sleep(PAUSE).await;
            }
        }
    }
}

/// Waits until the daemon that plans surely can't: its process is gone, or the store turns it away
/// while it answers this daemon.
///
/// Guards against a wait for the lease, two seconds in which nothing starts. A planner that is only
/// silent is left alone: it may be this daemon that is cut off.
async fn until_planner_fails(site: &Site) -> &'static str {
    let Some(addr) = site.planner_addr() else { return std::future::pending().await };
    let mut doubts = 0;
    loop {
        tokio::time::sleep(CHECKING).await;
        let sees_store = u32::from(!site.store.is_unavailable());
        let question = FleetQuestion::HowIsTheStore(sees_store);
        let why = match site.link.ask_telling(addr, question).await {
            Asked::Refused => "its process is gone",
            Asked::Answered(answer) if answer.is_store_lost => "the store turns it away",
            Asked::Answered(_) | Asked::Silent => {
                doubts = 0;
                continue;
            }
        };
        doubts += 1;
        if doubts >= DOUBTS && !site.store.is_unavailable() {
            return why;
        }
    }
}

/// Takes the range away from a daemon that can't plan. Its commits are guarded by the key that is
/// deleted here, and its orders by the epoch, so it does no harm if it should plan on.
async fn depose(site: &Site, key: &str, epoch: u64, why: &'static str) {
    let is_deposed = site.store.delete(key, epoch).await;
    log::info!(event = "planner_deposed", epoch = epoch, is_deposed:? = is_deposed; "{why}");
}

/// Asks a planner on a much smaller machine to pass the range on, again and again.
///
/// Guards against a site that is planned by a machine too small for it: which daemon claims first
/// after an outage is luck. It shows as starts, stops and counts that are late by seconds.
async fn ask_smaller_planner(site: &Site) {
    let Some(addr) = site.smaller_planner() else { return std::future::pending().await };
    tokio::time::sleep(SETTLING).await;
    loop {
        let answer = site.link.ask(addr, FleetQuestion::PassOn(site.cpu_milli())).await;
        log::info!(event = "planner_asked_for", planner = addr.to_string(),
            is_granted = answer.is_some_and(|answer| answer.is_known),
            cpu_milli = site.cpu_milli(); "");
        tokio::time::sleep(ASKING).await;
    }
}

/// How long to leave the range to bigger machines: planning needs processor time and a fast link to
/// read the ledger back.
fn head_start(site: &Site) -> Duration {
    let missing = (1.0 - site.settings.cpu_share / BIG_SHARE).clamp(0.0, 1.0);
    Duration::from_millis((missing * HEAD_START_MS) as u64)
}

async fn claim(site: &Site, ownership: &mut Ownership) -> bool {
    tokio::time::sleep(head_start(site)).await;
    let claimed = async {
        ownership.renew_unannounced().await?;
        ownership.claim(PLANNER).await
    };
    match claimed.await {
        Ok(is_claimed) => is_claimed,
        Err(error) => {
            log::debug!(event = "claim_failed", instance = site.settings.instance.as_str();
                "{error}");
            tokio::time::sleep(PAUSE).await;
            false
        }
    }
}

/// Plans until the range is lost or a planned stop begins.
async fn plan_while_owned(
    site: &Arc<Site>,
    ownership: &mut Ownership,
    stop: &CancellationToken,
    alive: &CancellationToken,
) {
    let Some(epoch) = ownership.epoch(PLANNER) else { return };
    log::info!(event = "planner_owned", epoch = epoch; "");
    site.confirmed_us.store(site.clock.now_us(), Ordering::Release);
    site.set_owner(Some(ownership.owner()));
    let lost = alive.child_token();
    let running = tokio::spawn(planner::run(site.clone(), epoch, lost.clone()));
    let passes_on = renew_while_held(site, ownership, &lost, stop).await;
    lost.cancel();
    if let Err(error) = running.await {
        log::error!(event = "planner_failed"; "{error}");
    }
    site.confirmed_us.store(0, Ordering::Release);
    log::info!(event = "planner_left", epoch = epoch, passes_on = passes_on; "");
    site.set_owner(None);
    if passes_on {
        if let Err(error) = ownership.give_up(PLANNER).await {
            log::warn!(event = "range_not_given_up"; "{error}");
        }
    }
}

/// Renews until the store says that the range is lost, the planner meets a higher epoch, a planned
/// stop begins or a bigger daemon asks; true if the range is still held then. A store that does not
/// answer is no reason to stop: what runs goes on, and commits fail by themselves once another daemon
/// owns the range.
async fn renew_while_held(
    site: &Site,
    ownership: &mut Ownership,
    lost: &CancellationToken,
    stop: &CancellationToken,
) -> bool {
    let lease_id = ownership.lease_id();
    loop {
        let next = Instant::now() + RENEWAL;
        tokio::select! {
            () = stop.cancelled() => return true,
            () = site.passing_on.notified() => return true,
            () = lost.cancelled() => return false,
            () = tokio::time::sleep_until(next) => {}
        }
        let sent_us = site.clock.now_us();
        let renewal = tokio::time::timeout(RENEWAL_LIMIT, ownership.renew_unannounced()).await;
        let renewed = renewal.unwrap_or_else(|_| {
            Err(Error::new(ErrorKind::StoreUnavailable, "the renewal was not answered in time"))
        });
        match renewed {
            Ok(()) if ownership.lease_id() == lease_id => {
                site.confirmed_us.store(sent_us, Ordering::Release);
            }
            Ok(()) => {
                log::warn!(event = "planner_lease_lost", lease = lease_id; "");
                return false;
            }
            Err(error) => log::warn!(event = "renewal_failed",
                confirmed_ms_ago =
                    (sent_us - site.confirmed_us.load(Ordering::Acquire)) / 1_000; "{error}"),
        }
    }
}
