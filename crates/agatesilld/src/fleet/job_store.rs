//! Jobs and cancels as stored facts: written and read through the store, or through the planner's
//! daemon where the store turns this one away.

use std::sync::Arc;
use std::time::Duration;

use agatesill_policy::fleet::{JobPhase, JobSpec, ProgressRecord};
use agatesill_wire::fleet::{FleetAnswer, FleetPhase, FleetQuestion, FleetWrite, JobToStore};
use agatesill_wire::platform::StoreCall;
use agatesill_wire::prelude::*;

use super::daemon_state::Site;
use super::keys;

/// Daemons that are asked in turn for one question: one may know of a newer planner.
const MOST_HOPS: usize = 2;

/// How long a write for a caller may take before its outcome is told as unknown. A slow store takes
/// 300 ms.
const WRITE_LIMIT: Duration = Duration::from_millis(700);

/// A job's phase and whether any of its tasks has started.
pub type State = (JobPhase, bool);

/// Stores a job: here, or if the store turns this daemon away, through the planner's daemon.
pub async fn store_job(site: &Site, id: &str, json: String) -> FleetWrite {
    let write = store_job_here(site, id, json.clone()).await;
    if write != FleetWrite::NotStored {
        return write;
    }
    let question = FleetQuestion::StoreJob(JobToStore { id: id.to_owned(), json });
    through_planner(site, id, question).await.unwrap_or(write)
}

/// Stores a cancel, by the same ways.
pub async fn store_cancel(site: &Site, id: &str) -> FleetWrite {
    let write = store_cancel_here(site, id).await;
    if write != FleetWrite::NotStored {
        return write;
    }
    let question = FleetQuestion::StoreCancel(id.to_owned());
    through_planner(site, id, question).await.unwrap_or(write)
}

/// Has the planner's daemon write; `None` if there is none to ask. Without an answer the write may
/// have been made.
async fn through_planner(site: &Site, id: &str, question: FleetQuestion) -> Option<FleetWrite> {
    site.planner_addr()?;
    log::info!(event = "write_forwarded", job = id,
        store_failures = site.store.consecutive_failures(); "the store turns this daemon away");
    match ask_planner(site, question).await {
        Some(answer) => Some(answer.write()),
        None => Some(FleetWrite::Unknown),
    }
}

/// Creates a job's key; a key that is there is the same job, handed in again.
///
/// Guards against a creation whose answer was lost: it may have taken effect, or may still, so the
/// caller is never told that the job was not accepted; the key is read back first.
pub async fn store_job_here(site: &Site, id: &str, json: String) -> FleetWrite {
    create(site, keys::job(id), json).await
}

/// Stores a cancel of a job that is stored.
pub async fn store_cancel_here(site: &Site, id: &str) -> FleetWrite {
    if site.store.is_unavailable() {
        return FleetWrite::NotStored;
    }
    match site.store.get(&keys::job(id)).await {
        Ok(Some(_)) => create(site, keys::cancel(id), String::from("{}")).await,
        Ok(None) => FleetWrite::NoSuchJob,
        Err(error) => {
            log::debug!(event = "cancel_unread", job = id; "{error}");
            FleetWrite::NotStored
        }
    }
}

async fn create(site: &Site, key: String, value: String) -> FleetWrite {
    if site.store.is_unavailable() {
        return FleetWrite::NotStored;
    }
    let create =
        StoreCall::Cas { key: key.clone(), expect_version: 0, value: Some(value), lease_id: 0 };
    let answer = tokio::time::timeout(WRITE_LIMIT, site.store.call_reporting_outcome(create)).await;
    let answer = answer.unwrap_or_else(|_| {
        Err(Error::new(ErrorKind::OutcomeUnknown, "the store did not answer in time"))
    });
    match answer {
        Ok(reply) if reply.applied => FleetWrite::Stored,
        Ok(_) => FleetWrite::Existed,
        Err(error) if error.kind == ErrorKind::OutcomeUnknown => {
            match tokio::time::timeout(WRITE_LIMIT, site.store.get(&key)).await {
                Ok(Ok(Some(_))) => FleetWrite::Stored,
                _ => FleetWrite::Unknown,
            }
        }
        Err(error) => {
            log::debug!(event = "not_stored", key = key.as_str(); "{error}");
            FleetWrite::NotStored
        }
    }
}

/// Tells the planner of a job that was stored just now, so that it need not wait for its watch.
pub fn tell_accepted(site: &Arc<Site>, spec: JobSpec, json: String) {
    match site.planner() {
        Some(planner) => planner.accept(spec),
        None => tell(site, FleetQuestion::Accepted(json)),
    }
}

/// The same for a cancel.
pub fn tell_cancelled(site: &Arc<Site>, id: &str) {
    match site.planner() {
        Some(planner) => planner.cancel(id),
        None => tell(site, FleetQuestion::Cancelled(id.to_owned())),
    }
}

fn tell(site: &Arc<Site>, question: FleetQuestion) {
    let site = site.clone();
    // The planner's watch on the store brings the same news if this is lost.
    tokio::spawn(async move { ask_planner(&site, question).await });
}

/// Asks the planner's daemon, and the one that it names if it plans no longer.
async fn ask_planner(site: &Site, question: FleetQuestion) -> Option<FleetAnswer> {
    let mut addr = site.planner_addr()?;
    let mut last = None;
    for _ in 0..MOST_HOPS {
        let answer = site.link.ask(addr, question.clone()).await?;
        let elsewhere = answer.planner.parse().ok().filter(|other| *other != addr);
        let is_answered = answer.is_known || answer.write() != FleetWrite::None;
        last = Some(answer);
        match elsewhere {
            Some(other) if !is_answered => addr = other,
            _ => break,
        }
    }
    last
}

/// A job's state as the planner of this daemon has stored it.
pub async fn planned_state(site: &Site, id: &str) -> Option<State> {
    site.certain_planner()?.state_of(id).await
}

/// A job's state, from the planner or else from the store; `None` if there is no such job.
pub async fn state(site: &Site, id: &str) -> Result<Option<(State, &'static str)>, Error> {
    if site.planner().is_some() {
        if let Some(state) = planned_state(site, id).await {
            return Ok(Some((state, "planner")));
        }
    } else if let Some(answer) = ask_planner(site, FleetQuestion::StateOf(id.to_owned())).await {
        if answer.is_known {
            return Ok(Some(((phase_of(answer.phase()), answer.is_started), "peer")));
        }
    }
    Ok(read_state(site, id).await?.map(|state| (state, "store")))
}

async fn read_state(site: &Site, id: &str) -> Result<Option<State>, Error> {
    if site.store.is_unavailable() {
        return Err(Error::new(ErrorKind::StoreUnavailable, "it fails").retry_after(1_000));
    }
    if let Some(entry) = site.store.get(&keys::progress(id)).await? {
        let record: ProgressRecord = serde_json::from_str(&entry.value)
            .map_err(|error| Error::new(ErrorKind::Protocol, format!("progress: {error}")))?;
        return Ok(Some((record.phase, record.is_started)));
    }
    let job = site.store.get(&keys::job(id)).await?;
    Ok(job.map(|_| (JobPhase::Active, false)))
}

/// Jobs of a queue that have not begun; `None` while no planner can be asked.
pub async fn pending(site: &Site, queue: &str) -> Option<u64> {
    match site.certain_planner() {
        Some(planner) => planner.pending(queue).await,
        None => {
            let answer = ask_planner(site, FleetQuestion::Pending(queue.to_owned())).await?;
            answer.is_known.then_some(answer.pending)
        }
    }
}

/// A phase for the wire.
pub fn phase_code(phase: JobPhase) -> i32 {
    let code = match phase {
        JobPhase::Active => FleetPhase::Active,
        JobPhase::Completed => FleetPhase::Completed,
        JobPhase::Failed => FleetPhase::Failed,
        JobPhase::Cancelled => FleetPhase::Cancelled,
    };
    code as i32
}

fn phase_of(code: FleetPhase) -> JobPhase {
    match code {
        FleetPhase::Active => JobPhase::Active,
        FleetPhase::Completed => JobPhase::Completed,
        FleetPhase::Failed => JobPhase::Failed,
        FleetPhase::Cancelled => JobPhase::Cancelled,
    }
}
