//! Transitions of the ledger, one function for each delta.

use super::cell::{assert_capacity, count_shape};
use super::{
    Attempt, AttemptOutcome, Cell, CellEffect, FailureKind, Job, JobOutcome, JobSpec, Resources,
    Settled, TaskState, TaskView, Worker, WorkerId, WorkerSpec, WorkerState, split_task,
};

impl Cell {
    pub(super) fn accept(
        &mut self,
        spec: &JobSpec,
        at_ms: u64,
        progress: Option<&[TaskView]>,
    ) -> Vec<CellEffect> {
        if self.jobs.contains_key(&spec.id) {
            return Vec::new();
        }
        let tasks = match progress {
            Some(tasks) => tasks.to_vec(),
            None => vec![TaskView::unplaced(); spec.tasks as usize],
        };
        let open_tasks = tasks.iter().filter(|task| !task.state.is_closed()).count() as u32;
        let mut job = Job {
            spec: spec.clone(),
            at_ms,
            outcome: None,
            parked: None,
            forwarded: None,
            blocked_on: Default::default(),
            tasks,
            open_tasks,
            live_tasks: 0,
        };
        let broken = self.record_dependencies(&mut job);
        self.jobs.insert(spec.id.clone(), job);
        match broken {
            Some(dependency) => {
                self.fail(&spec.id, &format!("job {dependency}, which must be done first, is not"))
            }
            None => Vec::new(),
        }
    }

    /// Records the unfinished jobs that `job` depends on. Returns a dependency that can no longer
    /// be done, if there is one.
    fn record_dependencies(&mut self, job: &mut Job) -> Option<String> {
        for dependency in &job.spec.after {
            match self.jobs.get(dependency).map(|job| &job.outcome) {
                Some(Some(JobOutcome::Done)) => {}
                Some(None) => {
                    job.blocked_on.insert(dependency.clone());
                    self.dependents
                        .entry(dependency.clone())
                        .or_default()
                        .insert(job.spec.id.clone());
                }
                Some(Some(_)) | None => return Some(dependency.clone()),
            }
        }
        None
    }

    pub(super) fn place(
        &mut self,
        task: &str,
        attempt: Attempt,
        worker: WorkerId,
        reserve: &Resources,
    ) -> Vec<CellEffect> {
        let Some((job, index)) = self.locate_mut(task) else { return Vec::new() };
        let view = &job.tasks[index];
        let TaskState::Waiting { checkpoint_ms } = view.state else { return Vec::new() };
        if !job.is_runnable() || attempt != view.attempt + 1 {
            return Vec::new();
        }
        let Some(target) = self.workers.get_mut(&worker) else { return Vec::new() };
        if !target.is_schedulable() || !target.has_capacity_for(reserve) {
            return Vec::new();
        }
        allocate(target, task, reserve);
        if let Some((job, index)) = self.locate_mut(task) {
            let view = &mut job.tasks[index];
            view.state = TaskState::Placed { worker };
            view.attempt = attempt;
            view.reserved = *reserve;
            job.live_tasks += 1;
        }
        let (task, reserve) = (task.to_owned(), *reserve);
        vec![CellEffect::Start { worker, task, attempt, checkpoint_ms, reserve }]
    }

    pub(super) fn evict(&mut self, task: &str, attempt: Attempt) -> Vec<CellEffect> {
        let Some((job, index)) = self.locate_mut(task) else { return Vec::new() };
        let view = &mut job.tasks[index];
        let TaskState::Placed { worker } = view.state else { return Vec::new() };
        if view.attempt != attempt {
            return Vec::new();
        }
        view.state = TaskState::Evicting { worker };
        view.evictions += 1;
        vec![CellEffect::Stop { worker, task: task.to_owned(), attempt, checkpoint: true }]
    }

    pub(super) fn end(
        &mut self,
        task: &str,
        attempt: Attempt,
        outcome: &AttemptOutcome,
    ) -> Vec<CellEffect> {
        let Some((job, index)) = self.locate(task) else { return Vec::new() };
        if attempt == 0 {
            return Vec::new();
        }
        let view = &job.tasks[index];
        if attempt < view.attempt && *outcome == AttemptOutcome::Done {
            return self.late_success(task);
        }
        let Some(worker) = view.state.worker() else {
            // The attempt was declared lost and has no successor, but it reports success now.
            return match *outcome {
                AttemptOutcome::Done if attempt == view.attempt => self.late_success(task),
                _ => Vec::new(),
            };
        };
        if view.attempt != attempt {
            return Vec::new();
        }
        let reserved = view.reserved;
        if let Some(worker) = self.workers.get_mut(&worker) {
            release(worker, task, &reserved);
        }
        self.finish_attempt(task, outcome)
    }

    /// Moves a task whose reservation was just released to its next state.
    fn finish_attempt(&mut self, task: &str, outcome: &AttemptOutcome) -> Vec<CellEffect> {
        let Some((job, index)) = self.locate_mut(task) else { return Vec::new() };
        job.live_tasks -= 1;
        let view = &mut job.tasks[index];
        view.reserved = Resources::default();
        let has_progressed = match outcome {
            AttemptOutcome::Stopped { checkpoint_ms } => *checkpoint_ms > view.checkpoint_ms,
            AttemptOutcome::WorkerCrashed => false,
            _ => true,
        };
        if has_progressed {
            view.crashes = 0;
        }
        match outcome {
            AttemptOutcome::Stopped { checkpoint_ms } => {
                view.checkpoint_ms = view.checkpoint_ms.max(*checkpoint_ms);
            }
            AttemptOutcome::Failed { kind: FailureKind::MemoryOverrun } => view.overruns += 1,
            AttemptOutcome::Failed { .. } => view.failures += 1,
            AttemptOutcome::WorkerCrashed => view.crashes += 1,
            AttemptOutcome::Done | AttemptOutcome::LeaseEnded => {}
        }
        view.state = match (outcome, view.settled) {
            (AttemptOutcome::Done, _) | (_, Some(Settled::Done)) => TaskState::Done,
            (_, Some(Settled::Failed)) => TaskState::Failed,
            (_, Some(Settled::Cancelled)) => TaskState::Cancelled,
            (_, None) => TaskState::Waiting { checkpoint_ms: view.checkpoint_ms },
        };
        if view.state.is_closed() {
            job.open_tasks -= 1;
        }
        let id = job.spec.id.clone();
        self.close_if_done(&id)
    }

    /// Handles a success reported by an attempt that was declared lost. The work is done, so the
    /// task closes. A newer attempt is stopped and keeps its reservation until it has ended.
    fn late_success(&mut self, task: &str) -> Vec<CellEffect> {
        let Some((job, index)) = self.locate_mut(task) else { return Vec::new() };
        let view = &mut job.tasks[index];
        let attempt = view.attempt;
        match view.state {
            TaskState::Waiting { .. } => {
                view.state = TaskState::Done;
                job.open_tasks -= 1;
                let id = job.spec.id.clone();
                self.close_if_done(&id)
            }
            TaskState::Placed { worker } => {
                view.state = TaskState::Evicting { worker };
                view.settled = Some(Settled::Done);
                let task = task.to_owned();
                vec![CellEffect::Stop { worker, task, attempt, checkpoint: false }]
            }
            TaskState::Evicting { .. } => {
                view.settled = Some(Settled::Done);
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn close_if_done(&mut self, id: &str) -> Vec<CellEffect> {
        match self.jobs.get(id) {
            Some(job) if job.open_tasks == 0 && job.outcome.is_none() => {
                self.close(id, JobOutcome::Done)
            }
            _ => Vec::new(),
        }
    }

    /// Records the final outcome of a job and unblocks the jobs that depend on it.
    fn close(&mut self, id: &str, outcome: JobOutcome) -> Vec<CellEffect> {
        let Some(job) = self.jobs.get_mut(id) else { return Vec::new() };
        assert!(job.outcome.is_none(), "job {id} closed twice");
        job.outcome = Some(outcome.clone());
        if outcome == JobOutcome::Done {
            for next in self.dependents.remove(id).unwrap_or_default() {
                if let Some(job) = self.jobs.get_mut(&next) {
                    job.blocked_on.remove(id);
                }
            }
        }
        vec![CellEffect::JobClosed { job: id.to_owned(), outcome }]
    }

    pub(super) fn cancel(&mut self, id: &str) -> Vec<CellEffect> {
        self.abandon(id, JobOutcome::Cancelled, Settled::Cancelled)
    }

    pub(super) fn fail(&mut self, id: &str, reason: &str) -> Vec<CellEffect> {
        let outcome = JobOutcome::Failed { reason: reason.to_owned() };
        self.abandon(id, outcome, Settled::Failed)
    }

    /// Closes a job without success and then, transitively, all jobs that depend on it.
    fn abandon(&mut self, id: &str, outcome: JobOutcome, settled: Settled) -> Vec<CellEffect> {
        let mut effects = self.abandon_one(id, outcome, settled);
        let mut given_up = vec![id.to_owned()];
        while let Some(dependency) = given_up.pop() {
            let reason = format!("job {dependency}, which must be done first, is not");
            let closed = self.jobs.get(&dependency).is_some_and(|job| {
                job.outcome.as_ref().is_some_and(|outcome| *outcome != JobOutcome::Done)
            });
            if !closed {
                continue;
            }
            for next in self.dependents.remove(&dependency).unwrap_or_default() {
                let outcome = JobOutcome::Failed { reason: reason.clone() };
                effects.extend(self.abandon_one(&next, outcome, Settled::Failed));
                given_up.push(next);
            }
        }
        effects
    }

    fn abandon_one(&mut self, id: &str, outcome: JobOutcome, settled: Settled) -> Vec<CellEffect> {
        let Some(job) = self.jobs.get_mut(id) else { return Vec::new() };
        if job.outcome.is_some() || job.forwarded.is_some() {
            return Vec::new();
        }
        let stops = (0..job.tasks.len()).filter_map(|index| abandon_task(job, index, settled));
        let mut effects: Vec<CellEffect> = stops.collect();
        effects.extend(self.close(id, outcome));
        effects
    }

    pub(super) fn set_parked(&mut self, id: &str, reason: Option<String>) -> Vec<CellEffect> {
        if let Some(job) = self.jobs.get_mut(id) {
            job.parked = reason;
        }
        Vec::new()
    }

    pub(super) fn set_quarantined(&mut self, id: WorkerId, quarantined: bool) -> Vec<CellEffect> {
        if let Some(worker) = self.workers.get_mut(&id) {
            worker.quarantined = quarantined;
        }
        Vec::new()
    }

    pub(super) fn add_worker(&mut self, spec: &WorkerSpec) -> Vec<CellEffect> {
        let spec = spec.clone();
        let mut worker = match self.workers.remove(&spec.id) {
            Some(mut known) => {
                self.count_worker(&known, -1);
                known.spec = spec;
                known.state = WorkerState::Active;
                known
            }
            None => Worker {
                granted: spec.capacity,
                spec,
                state: WorkerState::Active,
                quarantined: false,
                used: Resources::default(),
                live: Default::default(),
            },
        };
        worker.update_granted();
        assert_capacity(&worker);
        self.count_worker(&worker, 1);
        self.workers.insert(worker.spec.id, worker);
        Vec::new()
    }

    pub(super) fn set_worker_state(&mut self, id: WorkerId, state: WorkerState) -> Vec<CellEffect> {
        if let Some(mut worker) = self.workers.remove(&id) {
            self.count_worker(&worker, -1);
            worker.state = state;
            self.count_worker(&worker, 1);
            self.workers.insert(id, worker);
        }
        Vec::new()
    }

    fn count_worker(&mut self, worker: &Worker, by: i32) {
        match worker.state {
            WorkerState::Active => count_shape(&mut self.shapes, worker, by),
            WorkerState::Lost => count_shape(&mut self.lost_shapes, worker, by),
            WorkerState::Leaving => {}
        }
    }

    pub(super) fn forward(&mut self, id: &str, cell: &str) -> Vec<CellEffect> {
        if let Some(job) = self.jobs.get_mut(id)
            && job.live_tasks == 0
            && job.outcome.is_none()
            && job.forwarded.is_none()
        {
            job.forwarded = Some(cell.to_owned());
        }
        Vec::new()
    }

    pub(super) fn forget(&mut self, id: &str) -> Vec<CellEffect> {
        let Some(job) = self.jobs.get(id) else { return Vec::new() };
        if job.live_tasks == 0 && (job.outcome.is_some() || job.forwarded.is_some()) {
            self.jobs.remove(id);
        }
        Vec::new()
    }

    fn locate_mut(&mut self, task: &str) -> Option<(&mut Job, usize)> {
        let (id, index) = split_task(task)?;
        let job = self.jobs.get_mut(id)?;
        (index < job.tasks.len()).then_some((job, index))
    }
}

/// Closes a waiting task. For a live one, sets its pending final state and returns the request to
/// stop.
fn abandon_task(job: &mut Job, index: usize, settled: Settled) -> Option<CellEffect> {
    let task = job.task_id(index);
    let view = &mut job.tasks[index];
    let attempt = view.attempt;
    match view.state {
        TaskState::Waiting { .. } => {
            view.state = match settled {
                Settled::Failed => TaskState::Failed,
                _ => TaskState::Cancelled,
            };
            job.open_tasks -= 1;
            None
        }
        TaskState::Placed { worker } => {
            view.state = TaskState::Evicting { worker };
            view.settled = Some(settled);
            Some(CellEffect::Stop { worker, task, attempt, checkpoint: false })
        }
        TaskState::Evicting { .. } => {
            view.settled.get_or_insert(settled);
            None
        }
        _ => None,
    }
}

fn allocate(worker: &mut Worker, task: &str, reserve: &Resources) {
    worker.used = worker.used.plus(reserve);
    assert!(!worker.is_over_capacity(), "worker {} allocated beyond its capacity", worker.spec.id);
    assert_capacity(worker);
    // Two live attempts of one task would do the same work twice.
    assert!(worker.live.insert(task.to_owned()), "task {task} already has a live attempt");
}

fn release(worker: &mut Worker, task: &str, reserved: &Resources) {
    assert!(worker.live.remove(task), "task {task} released twice");
    assert!(
        worker.used.holds(reserved),
        "worker {} released beyond its allocation",
        worker.spec.id
    );
    worker.used = worker.used.minus(reserved);
    worker.update_granted();
}
