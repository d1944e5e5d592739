//! Ownership of the planner's range in the store: the daemon that holds it runs the planner.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use agatesill_coord::lease::{OWNER_PREFIX, Owner, Ownership, owner_key};
use agatesill_coord::store::WatchCursor;
use agatesill_wire::fleet::FleetQuestion;
use agatesill_wire::platform::{Entry, StoreCall, StoreReply};
use agatesill_wire::prelude::*;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::daemon_state::DaemonState;
use super::keys::{self, PLANNER};
use super::peer_connection::PeerReply;
use super::planner;
use super::supervision::spawn_supervised;

/// Lease on the planner's range. No task starts after a crash until it has expired, and a renewal
/// at a slow store must still be in time. The store's minimum is one second.
const LEASE: Duration = Duration::from_millis(2_000);

/// Interval from the end of one renewal to the next.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(400);

/// Timeout of a renewal. Two may fail, and the third still completes before the lease expires.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Wait time of one watch call on the range.
const WATCH_MS: u64 = 1_500;

/// Maximum delay of a claim in favour of larger daemons when the range becomes free. Claims arrive
/// within milliseconds of the update.
const MAX_CLAIM_DELAY_MS: f64 = 150.0;

/// Share of a processor from which a daemon claims without delay.
const UNDELAYED_CLAIM_SHARE: f64 = 0.5;

/// Delay before a much larger daemon requests the range from the planner. When all daemons start at
/// once the larger ones may claim only a moment later.
const HANDOVER_REQUEST_DELAY: Duration = Duration::from_millis(400);

/// Interval between requests for the range.
const HANDOVER_REQUEST_INTERVAL: Duration = Duration::from_secs(2);

/// Interval between checks whether the planner is able to plan.
const PLANNER_CHECK_INTERVAL: Duration = Duration::from_millis(300);

/// Consecutive failed checks after which the planner loses the range. A single refused connection
/// may be a short restart.
const MAX_FAILED_CHECKS: u32 = 2;

/// Delay before a daemon whose planner has failed claims the range again, so that another daemon
/// claims it first.
const FAILED_PLANNER_BACKOFF: Duration = Duration::from_secs(1);

/// Delay after a failed call.
const RETRY_BACKOFF: Duration = Duration::from_millis(150);

/// Claims the planner's range whenever it is free, and plans while it is held, until a planned stop
/// begins. Everything stops immediately when `abort` is cancelled.
pub async fn run(daemon: Arc<DaemonState>, stop: CancellationToken, abort: CancellationToken) {
    let work = claim_and_plan(daemon, stop, abort.clone());
    abort.run_until_cancelled(work).await;
}

async fn claim_and_plan(
    daemon: Arc<DaemonState>,
    stop: CancellationToken,
    abort: CancellationToken,
) {
    while !stop.is_cancelled() {
        let address = daemon.settings.peer_addr.to_string();
        let mut ownership = Ownership::new(daemon.store.clone(), &daemon.settings.instance, LEASE)
            .with_address(&address)
            .with_cpu(daemon.cpu_milli());
        if wait_until_free(&daemon, &stop).await && claim(&daemon, &mut ownership).await {
            plan_while_owned(&daemon, &mut ownership, &stop, &abort).await;
        }
    }
}

/// Waits until the range is free; false if the caller must call again.
async fn wait_until_free(daemon: &DaemonState, stop: &CancellationToken) -> bool {
    let key = owner_key(PLANNER);
    let Ok(reply) = daemon.store.call(StoreCall::Range { prefix: OWNER_PREFIX.to_owned() }).await
    else {
        tokio::time::sleep(RETRY_BACKOFF).await;
        return false;
    };
    note_leases(daemon, &reply.entries);
    let entry = reply.entries.iter().find(|entry| entry.key == key);
    let owner: Option<Owner> = entry.and_then(|entry| serde_json::from_str(&entry.value).ok());
    let epoch = entry.map_or(0, |entry| entry.version);
    daemon.set_owner(owner.clone(), epoch);
    match owner {
        None => true,
        // An earlier incarnation of this instance: its key may be taken over at once.
        Some(owner) if owner.instance == daemon.settings.instance => true,
        Some(_) => {
            tokio::select! {
                () = stop.cancelled() => {}
                () = wait_until_changed(daemon, &key, reply.revision) => {}
                why = wait_until_planner_fails(daemon) =>
                    delete_owner(daemon, &key, epoch, why).await,
                () = request_handover(daemon) => {}
            }
            false
        }
    }
}

/// Notes which version of the record of leases is in the store.
fn note_leases(daemon: &DaemonState, entries: &[Entry]) {
    if let Some(entry) = entries.iter().find(|entry| entry.key == keys::LEASES) {
        daemon.saw_leases(entry.version);
    }
}

/// Watches the key of an owner until it changes, the history is lost or the store fails.
async fn wait_until_changed(daemon: &DaemonState, key: &str, read_revision: u64) {
    let mut cursor = WatchCursor::after_read(read_revision);
    loop {
        let after_revision = cursor.after_revision();
        let prefix = OWNER_PREFIX.to_owned();
        let watch = StoreCall::Watch { prefix, after_revision, wait_ms: WATCH_MS };
        match daemon.store.call(watch).await {
            Ok(reply) if reply.is_compacted || has_changed(&reply, key) => return,
            Ok(reply) => {
                note_leases(daemon, &reply.entries);
                cursor.advance(&reply, Instant::now());
            }
            Err(error) => {
                log::debug!(event = "owner_unwatched"; "{error}");
                return tokio::time::sleep(RETRY_BACKOFF).await;
            }
        }
    }
}

/// Whether the reply to a watch may tell of a change of `key`.
fn has_changed(reply: &StoreReply, key: &str) -> bool {
    let is_told = reply.entries.iter().any(|entry| entry.key == key)
        || reply.deleted.iter().any(|deleted| deleted == key);
    let tells_of_others = !reply.entries.is_empty() || !reply.deleted.is_empty();
    reply.applied && (is_told || !tells_of_others)
}

/// Waits until the planner most likely can't plan: its address refuses connections, or the store
/// refuses its calls while it serves this daemon. Returns the reason.
///
/// Guards against waiting for the lease to expire, two seconds in which no task starts. An
/// unresponsive planner keeps the range, because this daemon may be the one that is cut off. A planner
/// that plans behind a partition which refuses connections loses the range as well. That is safe: its
/// records are guarded by the key that is deleted, its orders by their epoch, and its successor waits
/// for the leases that it may still renew.
async fn wait_until_planner_fails(daemon: &DaemonState) -> &'static str {
    let Some(addr) = daemon.planner_addr() else { return std::future::pending().await };
    let mut failed_checks = 0;
    loop {
        tokio::time::sleep(PLANNER_CHECK_INTERVAL).await;
        let sees_store = u32::from(!daemon.store.is_unavailable());
        let question = FleetQuestion::HowIsTheStore(sees_store);
        let why = match daemon.ask_planner_reporting_outcome(addr, question).await {
            PeerReply::Refused => "the address of the planner refuses connections",
            PeerReply::Answered(answer) if answer.is_store_lost => {
                "the store refuses the calls of the planner"
            }
            PeerReply::Answered(_) | PeerReply::Silent => {
                failed_checks = 0;
                continue;
            }
        };
        failed_checks += 1;
        if failed_checks >= MAX_FAILED_CHECKS && !daemon.store.is_unavailable() {
            return why;
        }
    }
}

/// Deletes the ownership key of a daemon that cannot plan. The commits of that daemon are guarded
/// by the deleted key, and its orders by the epoch, so it does no harm if it continues to plan.
async fn delete_owner(daemon: &DaemonState, key: &str, epoch: u64, why: &'static str) {
    let is_deposed = daemon.store.delete(key, epoch).await;
    log::info!(event = "planner_deposed", epoch = epoch, is_deposed:? = is_deposed; "{why}");
}

/// Requests the range from a planner on a much smaller machine, repeatedly.
///
/// Guards against a planner on a machine too small for the fleet: after an outage any daemon may
/// claim the range first. The symptoms are starts, stops and counts that are seconds late.
async fn request_handover(daemon: &DaemonState) {
    let Some(addr) = daemon.much_smaller_planner() else { return std::future::pending().await };
    tokio::time::sleep(HANDOVER_REQUEST_DELAY).await;
    loop {
        let answer = daemon.ask_planner(addr, FleetQuestion::PassOn(daemon.cpu_milli())).await;
        log::info!(event = "planner_asked_for", planner = addr.to_string(),
            is_granted = answer.is_some_and(|answer| answer.is_known),
            cpu_milli = daemon.cpu_milli(); "");
        tokio::time::sleep(HANDOVER_REQUEST_INTERVAL).await;
    }
}

/// How long a small machine delays its claim. Planning needs processor time, and reading the ledger
/// back needs bandwidth.
fn claim_delay(daemon: &DaemonState) -> Duration {
    let shortfall = (1.0 - daemon.settings.cpu_share / UNDELAYED_CLAIM_SHARE).clamp(0.0, 1.0);
    Duration::from_millis((shortfall * MAX_CLAIM_DELAY_MS) as u64)
}

async fn claim(daemon: &DaemonState, ownership: &mut Ownership) -> bool {
    tokio::time::sleep(claim_delay(daemon)).await;
    let claimed = async {
        ownership.renew_unannounced().await?;
        ownership.claim(PLANNER).await
    };
    match claimed.await {
        Ok(is_claimed) => is_claimed,
        Err(error) => {
            log::debug!(event = "claim_failed", instance = daemon.settings.instance.as_str();
                "{error}");
            tokio::time::sleep(RETRY_BACKOFF).await;
            false
        }
    }
}

/// Plans until the range is lost or a planned stop begins.
async fn plan_while_owned(
    daemon: &Arc<DaemonState>,
    ownership: &mut Ownership,
    stop: &CancellationToken,
    abort: &CancellationToken,
) {
    let Some(epoch) = ownership.epoch(PLANNER) else { return };
    log::info!(event = "planner_owned", epoch = epoch; "");
    daemon.confirmed_us.store(daemon.clock.now_us(), Ordering::Release);
    daemon.lease_horizon_us.store(0, Ordering::Release);
    daemon.set_owner(Some(ownership.owner()), epoch);
    let lost = abort.child_token();
    let running = spawn_supervised(planner::run(daemon.clone(), epoch, lost.clone()), &lost);
    let passes_on = tokio::select! {
        passes_on = renew_while_held(daemon, ownership, &lost, stop) => passes_on,
        () = wait_until_key_lost(daemon, epoch) => {
            log::warn!(event = "planner_key_lost", epoch = epoch; "another daemon may own the range");
            false
        }
    };
    lost.cancel();
    let (last_leases, failure) = match running.await.and_then(|outcome| outcome) {
        Ok(last_leases) => (last_leases, None),
        Err(error) => (None, Some(error)),
    };
    daemon.confirmed_us.store(0, Ordering::Release);
    log::info!(event = "planner_left", epoch = epoch, passes_on = passes_on; "");
    daemon.set_owner(None, epoch);
    if let Some(last_leases) = last_leases.filter(|_| passes_on) {
        last_leases.store(daemon, epoch).await;
    }
    if passes_on || failure.is_some() {
        if let Err(error) = ownership.give_up(PLANNER).await {
            log::warn!(event = "range_not_given_up"; "{error}");
        }
    }
    if let Some(error) = failure {
        log::error!(event = "planner_failed", epoch = epoch; "{error}");
        tokio::time::sleep(FAILED_PLANNER_BACKOFF).await;
    }
}

/// Waits until the store shows that the range's key is no longer that of `epoch`.
///
/// The store's lease proves nothing about the key, which another daemon or the store may have deleted.
/// Guards against a task that runs twice: a planner without the key would renew the leases of workers
/// that its successor cannot reach, for longer than the successor waits.
async fn wait_until_key_lost(daemon: &DaemonState, epoch: u64) {
    let key = owner_key(PLANNER);
    loop {
        let read = daemon.store.call(StoreCall::Range { prefix: key.clone() }).await;
        let next = match read {
            Ok(reply) => {
                if !reply.entries.iter().any(|entry| entry.key == key && entry.version == epoch) {
                    return;
                }
                let after_revision = reply.revision;
                let watch =
                    StoreCall::Watch { prefix: key.clone(), after_revision, wait_ms: WATCH_MS };
                daemon.store.call(watch).await
            }
            failed => failed,
        };
        if let Err(error) = next {
            log::debug!(event = "planner_key_unread"; "{error}");
            tokio::time::sleep(RETRY_BACKOFF).await;
        }
    }
}

/// Renews the lease until the store reports it lost, the planner meets a higher epoch, a planned
/// stop begins or a larger daemon requests the range; true if the range is still held then. An
/// unresponsive store is no reason to stop: running tasks continue, and commits fail once another
/// daemon owns the range.
async fn renew_while_held(
    daemon: &DaemonState,
    ownership: &mut Ownership,
    lost: &CancellationToken,
    stop: &CancellationToken,
) -> bool {
    let lease_id = ownership.lease_id();
    loop {
        let next = Instant::now() + RENEWAL_INTERVAL;
        tokio::select! {
            () = stop.cancelled() => return true,
            () = daemon.handover.notified() => return true,
            () = lost.cancelled() => return false,
            () = tokio::time::sleep_until(next) => {}
        }
        let sent_us = daemon.clock.now_us();
        let renewal = tokio::time::timeout(RENEWAL_TIMEOUT, ownership.renew_unannounced()).await;
        let renewed = renewal.unwrap_or_else(|_| {
            Err(Error::new(ErrorKind::StoreUnavailable, "the renewal was not answered in time"))
        });
        match renewed {
            Ok(()) if ownership.lease_id() == lease_id => {
                daemon.confirmed_us.store(sent_us, Ordering::Release);
            }
            Ok(()) => {
                log::warn!(event = "planner_lease_lost", lease = lease_id; "");
                return false;
            }
            Err(error) => log::warn!(event = "renewal_failed",
                confirmed_ms_ago =
                    (sent_us - daemon.confirmed_us.load(Ordering::Acquire)) / 1_000; "{error}"),
        }
    }
}
