//! Calls about jobs, answered from the cells owned here or forwarded to the daemon that owns the
//! job's cell.

use agatesill_coord::prelude::*;
use agatesill_policy::prelude::*;
use agatesill_wire::api::{JobExplanation, JobStatus};
use agatesill_wire::jobs::{JobAnswer, JobCall};
use agatesill_wire::prelude::*;
use tokio::sync::oneshot;

use super::forward::rendezvous_order;
use super::owned::{Awaited, JobReply, OwnedCell};
use super::report::job_status;
use super::{CellCall, CellManager, now_ms, validate};

impl CellManager {
    pub(super) fn handle_call(&mut self, call: CellCall) {
        match call {
            CellCall::Submit(job, reply) => self.submit(job, reply),
            CellCall::Show(id, reply) => match self.show(&id) {
                Some(status) => respond(reply, Ok(status)),
                None => self.forward_job(JobCall::Show { id }, reply),
            },
            CellCall::Cancel(id, reply) => {
                if self.cell_to_cancel(&id).is_some() {
                    self.cancel(&id, Box::new(move |answer| respond(reply, answer)));
                } else {
                    self.forward_job(JobCall::Cancel { id }, reply);
                }
            }
            CellCall::List(reply) => {
                let own = self.list();
                let forwarder = self.forwarder.clone();
                tokio::spawn(async move {
                    let _ = reply.send(forwarder.list(own).await);
                });
            }
            CellCall::Explain(id, reply) => match self.explain(&id) {
                Some(explanation) => respond(reply, Ok(explanation)),
                None => self.forward_explain(id, reply),
            },
            CellCall::Peer(call, reply) => self.answer_peer(call, reply),
        }
    }

    /// Answers a peer from the cells owned here. A peer's call is never forwarded again.
    fn answer_peer(&mut self, call: JobCall, reply: oneshot::Sender<Result<JobAnswer, Error>>) {
        let not_here = |id: &str| Error::new(ErrorKind::NotFound, format!("job {id}"));
        match call {
            JobCall::Submit { cell, job } => {
                self.accept(
                    &cell,
                    job,
                    Box::new(move |result| respond(reply, result.map(JobAnswer::Job))),
                );
            }
            JobCall::Show { id } => {
                let status = self.show(&id).ok_or_else(|| not_here(&id));
                respond(reply, status.map(JobAnswer::Job));
            }
            JobCall::List => respond(reply, Ok(JobAnswer::Jobs(self.list()))),
            JobCall::Cancel { id } => {
                self.cancel(
                    &id,
                    Box::new(move |result| respond(reply, result.map(JobAnswer::Job))),
                );
            }
            JobCall::Explain { id } => {
                let explanation = self.explain(&id).ok_or_else(|| not_here(&id));
                respond(reply, explanation.map(JobAnswer::Explanation));
            }
        }
    }

    /// Validates a submission, selects its cell and accepts it there, either here or at the cell's
    /// owner.
    fn submit(&mut self, job: JobSpec, reply: oneshot::Sender<Result<JobStatus, Error>>) {
        let config = self.shared.config();
        if config.version == 0 {
            let error = Error::new(ErrorKind::StoreUnavailable, "no configuration received yet");
            return respond(reply, Err(error.retry_after(1_000)));
        }
        if let Err(error) = validate(&job, &config.doc) {
            return respond(reply, Err(error));
        }
        // A job that depends on other jobs belongs in their cell.
        let Some(first) = job.after.first().cloned() else {
            return match self.select_cell(&job) {
                Ok(cell) => self.accept_or_forward(&cell, job, reply),
                Err(error) => respond(reply, Err(error)),
            };
        };
        if let Some(cell) = self.cell_of(&first) {
            return self.accept_or_forward(&cell, job, reply);
        }
        let forwarder = self.forwarder.clone();
        tokio::spawn(async move {
            let answer = match forwarder.job(JobCall::Show { id: first.clone() }).await {
                Ok(on) => forwarder.submit(&on.cell, job).await,
                Err(error) if error.kind == ErrorKind::NotFound => Err(Error::new(
                    ErrorKind::BadRequest,
                    format!("after: there is no job {first}"),
                )),
                Err(error) => Err(error),
            };
            respond(reply, answer);
        });
    }

    fn accept_or_forward(
        &mut self,
        cell: &str,
        job: JobSpec,
        reply: oneshot::Sender<Result<JobStatus, Error>>,
    ) {
        if self.owned.contains_key(cell) {
            return self.accept(cell, job, Box::new(move |answer| respond(reply, answer)));
        }
        let (forwarder, cell) = (self.forwarder.clone(), cell.to_owned());
        tokio::spawn(async move {
            respond(reply, forwarder.submit(&cell, job).await);
        });
    }

    /// Selects the cell of a job: the first cell in the job's rendezvous order whose workers are
    /// large enough to ever hold one of its tasks.
    fn select_cell(&self, job: &JobSpec) -> Result<String, Error> {
        let cells: Vec<(String, Cell)> = self
            .settings
            .iter()
            .map(|(name, settings)| (name.clone(), Cell::new(&settings.workers)))
            .collect();
        let order = rendezvous_order(&job.id, &cells);
        let mut reason = "there are no cells".to_owned();
        for (name, cell) in order {
            match cell.impossible(job) {
                None => return Ok(name.clone()),
                Some(why) => reason = why,
            }
        }
        Err(Error::new(ErrorKind::Impossible, reason))
    }

    /// Accepts a job into a cell that must be owned here. The answer is sent after the commit.
    fn accept(&mut self, cell: &str, job: JobSpec, reply: JobReply) {
        let valid = self.lease.is_valid();
        let Some(owned) = self.owned.get_mut(cell) else {
            let message = format!("cell {cell} is not owned by {}", self.instance);
            return reply(Err(Error::new(ErrorKind::NoUpstream, message).retry_after(500)));
        };
        if let Some(known) = known_spec(owned, &job.id) {
            if *known != job {
                let message = format!("job {} was already submitted with a different spec", job.id);
                return reply(Err(Error::new(ErrorKind::Conflict, message)));
            }
            return match owned.cell.job(&job.id) {
                Some(known) => reply(Ok(job_status(cell, known))),
                None => owned.wait(&job.id, Awaited::Accept, reply),
            };
        }
        if !valid {
            let error = Error::new(ErrorKind::StoreUnavailable, "the store is unavailable");
            return reply(Err(error.retry_after(1_000)));
        }
        if let Some(on) = job.after.iter().find(|on| owned.cell.job(on).is_none()) {
            let message = format!("after: there is no job {on} in cell {cell}");
            return reply(Err(Error::new(ErrorKind::BadRequest, message)));
        }
        let id = job.id.clone();
        let delta = CellDelta::Accept { job, at_ms: now_ms() };
        // A record takes the pending deltas in order, so one that fits into none holds up the rest.
        match CommitLog::count_fitting(std::slice::from_ref(&delta)) {
            Ok(0) => {
                let message = format!("job {id}: the specification does not fit into one record");
                return reply(Err(Error::new(ErrorKind::TooLarge, message)));
            }
            Ok(_) => {}
            Err(error) => return reply(Err(error)),
        }
        owned.wait(&id, Awaited::Accept, reply);
        owned.pending.push(delta);
    }

    fn cancel(&mut self, id: &str, reply: JobReply) {
        let valid = self.lease.is_valid();
        let Some(cell) = self.cell_to_cancel(id) else {
            return reply(Err(Error::new(ErrorKind::NotFound, format!("job {id}"))));
        };
        let Some(owned) = self.owned.get_mut(&cell) else { return };
        if let Some(job) = owned.cell.job(id).filter(|job| job.outcome.is_some()) {
            return reply(Ok(job_status(&cell, job)));
        }
        if !valid {
            let error = Error::new(ErrorKind::StoreUnavailable, "the store is unavailable");
            return reply(Err(error.retry_after(1_000)));
        }
        owned.wait(id, Awaited::Cancel, reply);
        owned.pending.push(CellDelta::Cancel { job: id.to_owned() });
    }

    fn cell_of(&self, id: &str) -> Option<String> {
        let holds = |(_, owned): &(&String, &OwnedCell)| {
            owned.cell.job(id).is_some_and(|job| job.forwarded.is_none())
        };
        self.owned.iter().find(holds).map(|(name, _)| name.clone())
    }

    /// The cell that holds a job or is storing it.
    ///
    /// Guards against a job that runs although a cancel was told that it does not exist: records take
    /// deltas in order, so a cancel that is queued now follows the acceptance.
    fn cell_to_cancel(&self, id: &str) -> Option<String> {
        let is_accepting = |(_, owned): &(&String, &OwnedCell)| {
            owned.cell.job(id).is_none() && known_spec(owned, id).is_some()
        };
        let accepting = || self.owned.iter().find(is_accepting).map(|(name, _)| name.clone());
        self.cell_of(id).or_else(accepting)
    }

    fn show(&self, id: &str) -> Option<JobStatus> {
        let cell = self.cell_of(id)?;
        self.owned.get(&cell)?.cell.job(id).map(|job| job_status(&cell, job))
    }

    fn list(&self) -> Vec<JobStatus> {
        let jobs = |(name, owned): (&String, &OwnedCell)| {
            let here = owned.cell.jobs().filter(|job| job.forwarded.is_none());
            here.map(|job| job_status(name, job)).collect::<Vec<_>>()
        };
        self.owned.iter().flat_map(jobs).collect()
    }

    fn explain(&self, id: &str) -> Option<JobExplanation> {
        let cell = self.cell_of(id)?;
        let owned = self.owned.get(&cell)?;
        let why = owned.policy.explain(now_ms(), &owned.cell, id)?;
        let job = job_status(&cell, owned.cell.job(id)?);
        Some(JobExplanation {
            job,
            config_version: self.shared.config().version,
            epoch: owned.epoch,
            waits: why.waits,
            history: why.history,
            learned: why.learned,
            likely_start_ms: why.likely_start_ms,
        })
    }

    fn forward_job(&self, call: JobCall, reply: oneshot::Sender<Result<JobStatus, Error>>) {
        let forwarder = self.forwarder.clone();
        tokio::spawn(async move {
            respond(reply, forwarder.job(call).await);
        });
    }

    fn forward_explain(&self, id: String, reply: oneshot::Sender<Result<JobExplanation, Error>>) {
        let forwarder = self.forwarder.clone();
        tokio::spawn(async move {
            respond(reply, forwarder.explain(id).await);
        });
    }
}

/// The spec that was submitted earlier under this id, committed or still pending.
fn known_spec<'a>(owned: &'a OwnedCell, id: &str) -> Option<&'a JobSpec> {
    let accepted = |delta: &'a CellDelta| match delta {
        CellDelta::Accept { job, .. } if job.id == id => Some(job),
        _ => None,
    };
    let committed = owned.cell.job(id).map(|job| &job.spec);
    committed.or_else(|| owned.in_flight.iter().chain(&owned.pending).find_map(accepted))
}

fn respond<T>(reply: oneshot::Sender<T>, answer: T) {
    // A caller that has disconnected needs no answer.
    let _ = reply.send(answer);
}
