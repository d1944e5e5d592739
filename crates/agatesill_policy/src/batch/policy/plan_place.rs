//! Placement of the waiting tasks in the order of tiers, shares and deadlines.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use super::super::{Cell, CellDelta, EvictReason, Job, Resources, TaskState, WorkerId};
use super::estimates::class_of;
use super::placement::{PlacementError, PlacementRequest, choose_worker};
use super::queue::{PriorityTier, QueuedJob};
use super::{BatchPolicy, Plan, WorkerHold};

/// Maximum rate of proposed starts per second and its burst. The rate covers the required peak of
/// 1,700 starts per second. The burst spreads the tasks of a lost rack over a second or two instead
/// of one commit.
const MAX_STARTS_PER_S: f64 = 2_000.0;
const START_BURST: f64 = 512.0;

/// A job whose deadline is this close goes before the teams' shares. The time covers several run
/// times of a billing run's tasks, so that capacity becomes free in time.
const DUE_SOON_MS: u64 = 600_000;

/// How far such jobs may take a team beyond its share, as time at its fair part of the total
/// capacity.
const SHARE_CREDIT_MS: f64 = 600_000.0;

/// Maximum number of jobs per round whose deadline is checked for feasibility.
const FEASIBILITY_CHECKS_PER_ROUND: usize = 64;

/// Maximum number of jobs of one team without a placement before the round skips the team.
const MAX_MISSES_PER_TEAM: u32 = 3;

/// Maximum number of jobs without a placement per round. Bounds the time of a round when the
/// workers are full.
const MAX_MISSES_PER_ROUND: usize = 96;

/// Number of these that the prioritized jobs leave to the others. Guards against batch work that waits
/// for as long as many urgent jobs fit nowhere.
const MISSES_LEFT_BY_PRIORITIZED: usize = 64;

/// Time after which a worker is held for a waiting task that fits nowhere.
const HOLD_AFTER_MS: u64 = 10_000;

/// Maximum time for which a worker is held for a task.
const MAX_HOLD_MS: u64 = 600_000;

/// Maximum share of the schedulable workers that may be held, in percent.
const MAX_HELD_PERCENT: usize = 10;

/// Maximum number of workers considered for a hold or a preemption.
const MAX_WORKERS_SCANNED: usize = 48;

/// Maximum number of urgent tasks per round for which others are preempted.
const PREEMPTIONS_PER_ROUND: usize = 8;

/// Time for which a worker accepts no second task with uncertain interference.
const EXPLORE_MS: u64 = 8_000;

/// Maximum share of the schedulable workers that may run a task with uncertain interference at a
/// time, in percent.
const MAX_EXPLORING_PERCENT: usize = 20;

/// Remaining budgets and intermediate state of one round of placement.
struct Round {
    now_ms: u64,
    placements: usize,
    misses: usize,
    preemptions: usize,
    unplaceable: Vec<Resources>,
    proposed: std::collections::BTreeSet<String>,
    has_unplaced_due_job: bool,
    scratch: Vec<WorkerId>,
}

impl BatchPolicy {
    pub(super) fn place(&mut self, now_ms: u64, cell: &Cell, plan: &mut Plan) {
        self.expire_holds(now_ms);
        self.exploring_until_ms.retain(|_, until_ms| *until_ms > now_ms);
        let tokens = self.starts.refill(now_ms, MAX_STARTS_PER_S, START_BURST);
        let placements = tokens.min(self.config.max_placements_per_plan);
        let mut round = Round {
            now_ms,
            placements,
            misses: MAX_MISSES_PER_ROUND,
            preemptions: PREEMPTIONS_PER_ROUND,
            unplaceable: Vec::new(),
            proposed: Default::default(),
            has_unplaced_due_job: false,
            scratch: Vec::new(),
        };
        self.place_prioritized(cell, &mut round, plan);
        self.queue.update_min_virtual_time();
        self.place_due_soon(cell, &mut round, plan);
        // Other jobs would take each small piece of free capacity before a larger one becomes
        // available.
        if !round.has_unplaced_due_job {
            self.place_shared(cell, &mut round, plan);
        }
        self.starts.spend(placements - round.placements);
    }

    fn place_prioritized(&mut self, cell: &Cell, round: &mut Round, plan: &mut Plan) {
        let queued = self.queue.prioritized().take(round.placements + round.misses);
        let jobs: Vec<(String, Vec<u32>, PriorityTier)> = queued
            .map(|(id, queued)| {
                let ready = queued.ready.iter().take(round.placements).copied().collect();
                (id.to_owned(), ready, queued.tier)
            })
            .collect();
        for (id, ready, tier) in jobs {
            let Some(job) = cell.job(&id) else { continue };
            for index in ready {
                if round.placements == 0 || round.misses <= MISSES_LEFT_BY_PRIORITIZED {
                    return;
                }
                match self.place_task(cell, job, index as usize, tier, round, plan) {
                    Ok(_) => {}
                    Err(refused) => {
                        self.record_miss(&id, refused, round);
                        if !self.preempt_for(cell, job, index as usize, round, plan) {
                            break;
                        }
                    }
                }
            }
        }
    }

    /// Places jobs with a close deadline, regardless of their team's share, as long as the team has
    /// credit. Shares balance over minutes, but a missed deadline cannot be made up for. The credit
    /// prevents a team from occupying all workers by setting tight deadlines.
    fn place_due_soon(&mut self, cell: &Cell, round: &mut Round, plan: &mut Plan) {
        self.demote_infeasible(cell, round.now_ms);
        let total = self.workers.total().cpu_milli as f64;
        let fair_share = total / self.queue.busy_teams().max(1) as f64;
        let due_soon = self.queue.due_before(round.now_ms + DUE_SOON_MS);
        let jobs: Vec<(String, Vec<u32>)> = due_soon
            .filter(|(_, queued)| {
                let weight = self.config.weight(&queued.team);
                self.queue.has_credit(&queued.team, fair_share * SHARE_CREDIT_MS / weight)
            })
            .take(MAX_MISSES_PER_ROUND)
            .map(|(id, queued)| {
                let ready = queued.ready.iter().take(round.placements).copied().collect();
                (id.to_owned(), ready)
            })
            .collect();
        for (id, ready) in jobs {
            let Some(job) = cell.job(&id) else { continue };
            for index in ready {
                if round.placements == 0 || round.misses <= MAX_MISSES_PER_ROUND / 2 {
                    return;
                }
                if self.is_over_quota(&job.spec.team) {
                    break;
                }
                let placed =
                    self.place_task(cell, job, index as usize, PriorityTier::Shared, round, plan);
                if let Err(refused) = placed {
                    self.record_miss(&id, refused, round);
                    round.has_unplaced_due_job |= refused == PlacementError::InsufficientCapacity;
                    self.hold_worker_for(cell, job, index as usize, refused, round);
                    break;
                }
                round.proposed.insert(job.task_id(index as usize));
            }
        }
    }

    fn is_over_quota(&self, team: &str) -> bool {
        let used = self.queue.team(team).map_or(0, |team| team.used_cpu_milli);
        used >= self.config.quota_cpu_milli(team)
    }

    /// Moves jobs whose deadline can no longer be met behind the others.
    fn demote_infeasible(&mut self, cell: &Cell, now_ms: u64) {
        let late = self.queue.due_before(now_ms + DUE_SOON_MS).map(|(id, _)| id.to_owned());
        for id in late.take(FEASIBILITY_CHECKS_PER_ROUND).collect::<Vec<_>>() {
            if let Some(job) = cell.job(&id) {
                let run = self.estimates.learned_run_ms(&job.spec);
                self.queue.reorder(job, run, now_ms);
            }
        }
    }

    /// Repeatedly serves the team with the lowest usage relative to its weight. The heap holds each
    /// waiting team once. Each start raises its team's usage, which moves it behind the others.
    fn place_shared(&mut self, cell: &Cell, round: &mut Round, plan: &mut Plan) {
        let teams = self.queue.waiting_teams();
        let mut heap: BinaryHeap<Reverse<(i64, String)>> =
            teams.map(|(name, team)| Reverse((team.virtual_ms as i64, name.to_owned()))).collect();
        let mut cursors = std::collections::BTreeMap::new();
        while round.placements > 0 && round.misses > 0 {
            let Some(Reverse((virtual_time, team))) = heap.pop() else { break };
            let cursor: &mut Cursor = cursors.entry(team.clone()).or_default();
            let Some((id, index)) = self.next_task(&team, cursor) else {
                self.resume_after.remove(&team);
                continue;
            };
            let Some(job) = cell.job(&id) else { continue };
            if round.proposed.contains(&job.task_id(index as usize)) {
                cursor.after = Some(index);
                heap.push(Reverse((virtual_time, team)));
                continue;
            }
            match self.place_task(cell, job, index as usize, PriorityTier::Shared, round, plan) {
                Ok(cost) => {
                    cursor.after = Some(index);
                    cursor.cpu_milli += cost.cpu_milli;
                    heap.push(Reverse((virtual_time + cost.virtual_time, team)));
                }
                Err(refused) => {
                    self.record_miss(&id, refused, round);
                    self.hold_worker_for(cell, job, index as usize, refused, round);
                    if self.skip_job(&team, cursor) {
                        heap.push(Reverse((virtual_time, team)));
                    }
                }
            }
        }
    }

    /// Skips a job that was not placed; false if the round has to skip its team.
    ///
    /// Guards against jobs that wait for ever behind a few that fit nowhere: the last miss of a round
    /// goes to the jobs behind those that earlier rounds have skipped.
    fn skip_job(&mut self, team: &str, cursor: &mut Cursor) -> bool {
        cursor.misses += 1;
        cursor.skip_job = true;
        let Some(job) = &cursor.job else { return false };
        if cursor.misses >= MAX_MISSES_PER_TEAM {
            self.resume_after.insert(team.to_owned(), job.clone());
            return false;
        }
        if cursor.misses + 1 == MAX_MISSES_PER_TEAM
            && let Some(resume_after) = self.resume_after.get(team).filter(|after| *after > job)
        {
            cursor.job = Some(resume_after.clone());
        }
        true
    }

    /// The team's next task in the order of its queue, if its quota permits one.
    fn next_task(&self, team: &str, cursor: &mut Cursor) -> Option<(String, u32)> {
        let queue = self.queue.team(team)?;
        let used = queue.used_cpu_milli + cursor.cpu_milli;
        if used >= self.config.quota_cpu_milli(team) {
            return None;
        }
        if let Some(current) = &cursor.job
            && !cursor.skip_job
            && let Some(queued) = self.queue.job(&current.2)
            && let Some(index) = next_ready(queued, cursor.after)
        {
            return Some((current.2.clone(), index));
        }
        let next = match &cursor.job {
            None => queue.order.first(),
            Some(current) => {
                let rest = (std::ops::Bound::Excluded(current), std::ops::Bound::Unbounded);
                queue.order.range(rest).next()
            }
        }?;
        cursor.job = Some(next.clone());
        cursor.skip_job = false;
        cursor.after = None;
        let index = next_ready(self.queue.job(&next.2)?, None)?;
        Some((next.2.clone(), index))
    }

    fn place_task(
        &mut self,
        cell: &Cell,
        job: &Job,
        index: usize,
        tier: PriorityTier,
        round: &mut Round,
        plan: &mut Plan,
    ) -> Result<Cost, PlacementError> {
        let view = &job.tasks[index];
        let reserve = self.reserve(cell, &job.spec, view.overruns);
        let task = job.task_id(index);
        let held = self.holds.contains_key(&task);
        if !held && round.unplaceable.iter().any(|needed| reserve.holds(needed)) {
            return Err(PlacementError::InsufficientCapacity);
        }
        let class = (tier != PriorityTier::Critical)
            .then(|| self.interference.class_index(class_of(&job.spec)));
        let spread = self.spread.get(&job.spec.id);
        let failed_on = self.failures.job(&job.spec.id).map(|health| &health.failed_on);
        let avoid = |id: WorkerId| {
            failed_on.is_some_and(|failed_on| {
                failed_on.contains(&id) && failed_on.len() * 2 < self.workers.schedulable_count()
            }) || self.workers.load(id).is_some_and(|load| load.is_at_start_limit(round.now_ms))
                || (self.failures.is_probing(id) && has_probe_task(cell, id, &plan.deltas))
        };
        let request = PlacementRequest {
            reserve,
            class: class.filter(|_| !held),
            avoid: &avoid,
            racks: spread.map_or(&[], |spread| &spread.racks),
            zones: spread.map_or(&[], |spread| &spread.zones),
            ignores_holds: tier == PriorityTier::Critical,
            task: &task,
        };
        let max_exploring = (self.workers.schedulable_count() * MAX_EXPLORING_PERCENT / 100).max(1);
        let may_explore = self.exploring_until_ms.len() < max_exploring;
        let is_exploring = |id| self.exploring_until_ms.contains_key(&id);
        let chosen = choose_worker(
            &request,
            &self.workers,
            &self.interference,
            &|id| may_explore && !is_exploring(id),
            &mut round.scratch,
        );
        let choice = match chosen {
            Ok(choice) => choice,
            Err(refused) => {
                if refused == PlacementError::InsufficientCapacity && round.unplaceable.len() < 8 {
                    round.unplaceable.push(reserve);
                }
                return Err(refused);
            }
        };
        if choice.explores {
            self.exploring_until_ms.insert(choice.worker, round.now_ms + EXPLORE_MS);
        }
        let cpus = self.estimates.cpus(&job.spec);
        self.workers.reserve_tentatively(choice.worker, &reserve, class, cpus);
        round.placements -= 1;
        let run_ms = self.estimates.run_ms(&job.spec).saturating_sub(view.checkpoint_ms);
        let cost = reserve.cpu_milli as f64 * run_ms.max(super::MIN_EXPECTED_MS) as f64;
        plan.deltas.push(CellDelta::Place {
            task,
            attempt: view.attempt + 1,
            worker: choice.worker,
            reserve,
        });
        let virtual_time = (cost / self.config.weight(&job.spec.team)) as i64;
        Ok(Cost { virtual_time, cpu_milli: reserve.cpu_milli })
    }

    fn record_miss(&mut self, job: &str, refused: PlacementError, round: &mut Round) {
        round.misses -= 1;
        if self.waits.get(job) != Some(&refused) {
            self.waits.insert(job.to_owned(), refused);
        }
    }

    /// Holds a worker for a task that has waited long. Otherwise small tasks would take each piece
    /// of free capacity as it appears, and a large task would wait for as long as small ones
    /// arrive.
    fn hold_worker_for(
        &mut self,
        cell: &Cell,
        job: &Job,
        index: usize,
        why: PlacementError,
        round: &Round,
    ) {
        let task = job.task_id(index);
        if self.holds.contains_key(&task) {
            return;
        }
        let max_held = (self.workers.schedulable_count() * MAX_HELD_PERCENT / 100).max(1);
        let waited = round.now_ms >= job.at_ms + HOLD_AFTER_MS;
        if why != PlacementError::InsufficientCapacity || !waited || self.holds.len() >= max_held {
            return;
        }
        let reserve = self.reserve(cell, &job.spec, job.tasks[index].overruns);
        let found = self.workers.most_free(MAX_WORKERS_SCANNED).find(|id| {
            let holds = |worker: &super::super::Worker| worker.spec.capacity.holds(&reserve);
            let is_unheld = self.workers.load(*id).is_some_and(|load| load.held_for.is_none());
            is_unheld && cell.worker(*id).is_some_and(holds)
        });
        if let Some(worker) = found {
            self.hold(task, worker, round.now_ms);
        }
    }

    fn hold(&mut self, task: String, worker: WorkerId, now_ms: u64) {
        if let Some(load) = self.workers.load_mut(worker) {
            load.held_for = Some(task.clone());
        }
        self.holds.insert(task, WorkerHold { worker, since_ms: now_ms });
    }

    fn expire_holds(&mut self, now_ms: u64) {
        let is_expired = |hold: &WorkerHold| {
            hold.since_ms + MAX_HOLD_MS <= now_ms || self.workers.free(hold.worker).is_none()
        };
        let expired: Vec<String> = self
            .holds
            .iter()
            .filter(|(_, hold)| is_expired(hold))
            .map(|(task, _)| task.clone())
            .collect();
        expired.iter().for_each(|task| self.release_hold(task));
    }

    /// Evicts the batch tasks with the least work to lose, on the worker where the loss is
    /// smallest, and holds that worker for the urgent task. Returns whether capacity is being
    /// freed.
    fn preempt_for(
        &mut self,
        cell: &Cell,
        job: &Job,
        index: usize,
        round: &mut Round,
        plan: &mut Plan,
    ) -> bool {
        let task = job.task_id(index);
        if self.holds.contains_key(&task) {
            return true;
        }
        if round.preemptions == 0 {
            return false;
        }
        let reserve = self.reserve(cell, &job.spec, job.tasks[index].overruns);
        let options = self.workers.most_free(MAX_WORKERS_SCANNED).filter_map(|id| {
            let victims = self.victims(cell, id, &reserve, round.now_ms)?;
            Some((victims.1, id, victims.0))
        });
        let best = options.min_by_key(|(lost_ms, id, _)| (*lost_ms, *id));
        let Some((_, worker, victims)) = best else { return false };
        round.preemptions -= 1;
        for victim in victims {
            if let Some(running) = self.running.get(&victim) {
                let attempt = running.attempt;
                let reason = EvictReason::Urgent;
                plan.deltas.push(CellDelta::Evict { task: victim, attempt, reason });
            }
        }
        self.hold(task, worker, round.now_ms);
        true
    }

    /// The tasks of a worker whose eviction frees enough capacity for `need`, and the lost work in
    /// milliseconds.
    fn victims(
        &self,
        cell: &Cell,
        id: WorkerId,
        need: &Resources,
        now_ms: u64,
    ) -> Option<(Vec<String>, u64)> {
        let worker = cell.worker(id)?;
        if !worker.spec.capacity.holds(need) || self.workers.load(id)?.held_for.is_some() {
            return None;
        }
        let mut evictable: Vec<(u64, String, Resources)> = worker
            .live
            .iter()
            .filter_map(|task| {
                let (job, index) = cell.locate(task)?;
                let view = &job.tasks[index];
                let placed = matches!(view.state, TaskState::Placed { .. });
                let shared = self.tier(job) == PriorityTier::Shared;
                (placed && shared && self.may_evict(job, task, now_ms))
                    .then(|| (self.lost_ms(task), task.clone(), view.reserved))
            })
            .collect();
        evictable.sort_by(|a, b| (a.0, &a.1).cmp(&(b.0, &b.1)));
        let mut free = worker.free();
        let mut victims = Vec::new();
        let mut lost_ms = 0;
        for (lost, task, reserved) in evictable {
            if free.holds(need) {
                break;
            }
            free = free.plus(&reserved);
            lost_ms += lost;
            victims.push(task);
        }
        free.holds(need).then_some((victims, lost_ms))
    }
}

/// Cost of a start for its team.
struct Cost {
    virtual_time: i64,
    cpu_milli: u64,
}

/// Position in a team's queue in this round.
#[derive(Default)]
struct Cursor {
    job: Option<(bool, u64, String)>,
    after: Option<u32>,
    skip_job: bool,
    misses: u32,
    cpu_milli: u64,
}

fn next_ready(queued: &QueuedJob, after: Option<u32>) -> Option<u32> {
    match after {
        None => queued.ready.first().copied(),
        Some(index) => queued.ready.range(index + 1..).next().copied(),
    }
}

/// Whether a probed worker already has its one task, live or proposed.
fn has_probe_task(cell: &Cell, id: WorkerId, deltas: &[CellDelta]) -> bool {
    let live = cell.worker(id).is_some_and(|worker| !worker.live.is_empty());
    let here =
        |delta: &CellDelta| matches!(delta, CellDelta::Place { worker, .. } if *worker == id);
    live || deltas.iter().any(here)
}
