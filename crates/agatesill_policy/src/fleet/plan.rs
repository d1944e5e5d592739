//! Which waiting tasks go first, and the choice of a worker for each.

use std::collections::HashMap;

use crate::batch::Resources;

use super::US_PER_MS;
use super::images::ImageId;
use super::job::{JobPhase, Step, TaskRef, TaskState};
use super::place::{Request, Search};
use super::state::{Fleet, TaskGroup};
use super::usage::TaskKind;
use super::worker::WorkerIndex;

/// How long a lasting task waits for a sound worker before it takes any. It may be missing for six
/// seconds in all, starts included.
const LASTING_WAIT_US: u64 = 1_500 * US_PER_MS;

/// Tasks that may be starting at once for further ones of less urgent queues to be placed.
///
/// Guards against a planner that lacks processor time and goes on choosing: records and orders then wait
/// for seconds, those of urgent and lasting tasks behind thousands of batch tasks, and starts are given up
/// before they are sent.
const MOST_STARTING: u32 = 1_024;

/// A need that found no worker in this round; no equal or larger one is tried after it.
#[derive(Debug)]
struct Misfit {
    service: String,
    charge: Resources,
    /// The image of a task that fills: another one may be welcome where this one does harm.
    fills: Option<ImageId>,
}

/// What the tasks of one group have in common.
#[derive(Clone, Copy, Debug)]
struct Setting<'a> {
    step: &'a Step,
    image: ImageId,
    service: &'a str,
    advised: Option<TaskGroup>,
    takes_closed: bool,
}

impl Fleet {
    /// Chooses workers for as many waiting tasks as fit; `now_ms` is the wall clock. What was chosen
    /// is ordered once its record is committed.
    pub fn plan(&mut self, now_us: u64, now_ms: u64) {
        self.set_wall_clock(now_us, now_ms);
        if self.waiting.is_empty() {
            return;
        }
        let mut misfits = Vec::new();
        let mut left = Vec::new();
        for ranked in self.ranked(now_us, now_ms) {
            self.place_group(ranked.group, &mut misfits, now_us);
            if self.waiting.contains(&ranked.group) {
                left.push((ranked.group, ranked.density));
            }
        }
        self.preempt_for_urgent(&left, now_us);
    }

    fn place_group(&mut self, group: TaskGroup, misfits: &mut Vec<Misfit>, now_us: u64) {
        let Some(job) = self.job(group.job) else {
            self.waiting.remove(&group);
            return;
        };
        let step = job.spec.steps[group.step as usize].clone();
        let service = self.terms(job).service.clone();
        let advised = self.terms(job).needs_advice.then_some(group);
        let waiting: Vec<u32> = job
            .tasks_of(group.occurrence, group.step)
            .filter(|task| job.tasks[*task as usize].state == TaskState::Waiting)
            .collect();
        let is_ready = |task: &u32| !job.tasks[*task as usize].is_backing_off(now_us);
        let tasks: Vec<u32> = waiting.iter().copied().filter(is_ready).collect();
        if tasks.is_empty() && !waiting.is_empty() && job.phase == JobPhase::Active {
            return;
        }
        if tasks.is_empty() || job.phase != JobPhase::Active {
            self.waiting.remove(&group);
            return;
        }
        if self.terms(job).priority > 0 && self.starting >= MOST_STARTING {
            return;
        }
        if step.is_gang && tasks.len() < step.count as usize {
            // The others still end; a gang starts only as a whole.
            return;
        }
        if step.is_lasting && self.is_held_back(group, now_us) {
            return;
        }
        // A lasting task has no attempts to lose; where only a failing worker has room, it goes back
        // there after a moment rather than being missing until that worker is tried again.
        let waits_us =
            tasks.iter().map(|t| job.tasks[*t as usize].idle_us(now_us)).max().unwrap_or(0);
        let takes_closed = step.is_lasting && waits_us > LASTING_WAIT_US;
        let charge = step.allocation();
        let image = job.images[group.step as usize];
        let fills = step.fills.then_some(image);
        let is_hopeless = |misfit: &Misfit| {
            misfit.service == service
                && misfit.fills == fills
                && charge.holds(&misfit.charge)
                && step.label.is_empty()
        };
        if !takes_closed && misfits.iter().any(is_hopeless) {
            return;
        }
        let setting = Setting { step: &step, image, service: &service, advised, takes_closed };
        // A task that waits for a worker without other suspects may fail to be placed although there is room,
        // so its group is no evidence that other groups do not fit.
        let awaits_separation = tasks
            .iter()
            .any(|task| self.awaits_separation(TaskRef { job: group.job, task: *task }, now_us));
        let placed = self.place_tasks(group, &setting, &tasks, now_us);
        if placed == waiting.len() {
            self.waiting.remove(&group);
        } else if placed == tasks.len() {
            // The remaining tasks are backing off; the group stays waiting.
        } else if advised.is_some() {
            self.ask_advice(group, &service, now_us);
        } else if !awaits_separation
            && step.label.is_empty()
            && step.max_per_worker == 0
            && !step.is_gang
        {
            misfits.push(Misfit { service, charge, fills });
        }
    }

    /// Places the tasks of one step; returns how many found a worker. Of a gang, all or none.
    fn place_tasks(
        &mut self,
        group: TaskGroup,
        setting: &Setting<'_>,
        tasks: &[u32],
        now_us: u64,
    ) -> usize {
        let mut beside = self.members_by_worker(group);
        let mut racks: Vec<String> = Vec::new();
        let mut chosen: Vec<TaskRef> = Vec::with_capacity(tasks.len());
        let mut search: Option<Search> = None;
        let Setting { step, image, service, advised, takes_closed } = *setting;
        for task in tasks {
            let at = TaskRef { job: group.job, task: *task };
            let is_isolated = self.is_isolated(at);
            let awaits_separation = self.awaits_separation(at, now_us);
            let request = Request {
                step,
                service,
                image,
                beside: &beside,
                advised,
                takes_closed,
                is_isolated,
                awaits_separation,
                chosen_racks: &racks,
            };
            // An isolated task is scored differently, so its search is not shared with other tasks.
            let mut examined = match search.take().filter(|_| !is_isolated) {
                Some(examined) => examined,
                None => self.search(&request, now_us),
            };
            let worker = match self.choose_worker(&request, &mut examined, now_us) {
                Some(worker) => worker,
                None if awaits_separation => continue,
                None => break,
            };
            *beside.entry(worker).or_default() += 1;
            if step.wants_one_rack {
                // The racks chosen so far change the score of every worker: the next task searches anew.
                racks.push(self.workers[worker as usize].entry.rack.clone());
            } else if !is_isolated {
                search = Some(examined);
            }
            self.allocate(at, worker, TaskState::Chosen(worker));
            chosen.push(at);
        }
        if chosen.len() < tasks.len() && setting.step.is_gang {
            chosen.iter().for_each(|at| self.release(*at, TaskState::Waiting, now_us));
            return 0;
        }
        if !chosen.is_empty() {
            self.number_runs(group, &chosen, setting.step.is_gang, now_us);
        }
        chosen.len()
    }

    /// Gives each chosen task its next run number; the members of a gang share one.
    fn number_runs(&mut self, group: TaskGroup, chosen: &[TaskRef], is_gang: bool, now_us: u64) {
        self.mark_urgent(group.job, now_us);
        let Some(job) = self.jobs[group.job as usize].as_mut() else { return };
        let version = job.version;
        let highest = chosen.iter().map(|at| job.tasks[at.task as usize].run).max().unwrap_or(0);
        let waited_ms = chosen.iter().map(|at| job.tasks[at.task as usize].since_us).min();
        let waited_ms = now_us.saturating_sub(waited_ms.unwrap_or(now_us)) / US_PER_MS;
        for at in chosen {
            let task = &mut job.tasks[at.task as usize];
            task.run = if is_gang { highest } else { task.run } + 1;
            task.chosen_version = version;
            task.preempted = false;
            task.since_us = now_us;
            task.progress_us = now_us;
        }
        self.log_choices(group, chosen, waited_ms);
    }

    fn log_choices(&self, group: TaskGroup, chosen: &[TaskRef], waited_ms: u64) {
        let Some(job) = self.job(group.job) else { return };
        let step = &job.spec.steps[group.step as usize];
        for at in chosen {
            let task = &job.tasks[at.task as usize];
            let Some(worker) = task.state.worker() else { continue };
            let worker = &self.workers[worker as usize];
            log::info!(event = "task_placed", job = job.spec.id.as_str(), step = group.step,
                task = at.task, run = task.run, worker = worker.entry.id.as_str(),
                kind = TaskKind::of(step).name(), cpu_milli = step.need.cpu_milli,
                waited_ms = waited_ms,
                without_run_ms = task.idle_us(task.since_us) / US_PER_MS,
                failed_starts = task.failed_starts,
                used_cpu_milli = worker.used.cpu_milli,
                filling_milli = worker.best_effort_cpu_milli,
                used_memory_mb = worker.used.memory_mb, lasting = worker.lasting,
                answer_age_ms = task.since_us.saturating_sub(worker.answered_us) / 1_000; "");
        }
    }

    fn members_by_worker(&self, group: TaskGroup) -> HashMap<WorkerIndex, u32> {
        let mut members = HashMap::new();
        if let Some(job) = self.job(group.job) {
            job.tasks_of(group.occurrence, group.step)
                .filter_map(|task| job.tasks[task as usize].state.worker())
                .for_each(|worker| *members.entry(worker).or_default() += 1);
        }
        members
    }
}
