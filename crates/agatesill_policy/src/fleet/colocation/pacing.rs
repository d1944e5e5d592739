//! What a report of tails changes: what is learned, and the pace of tasks that fill.

use crate::fleet::US_PER_MS;
use crate::fleet::images::ImageId;
use crate::fleet::job::{TaskRef, TaskState};
use crate::fleet::orders::OrderKind;
use crate::fleet::state::Fleet;
use crate::fleet::worker::{RunRow, WorkerIndex};

use super::capacity::cores_for_filling;
use super::interference::{HARMFUL, MAX_IMAGES, Pair, Usage, part_of};

/// Figures cover half a second; polls that come sooner show the same ones again.
const SAMPLE_US: u64 = 450 * US_PER_MS;

/// Tail over target from which what presses most is slowed.
const PRESSED: f64 = 1.0;

/// Tail over target below which what was slowed is let go again.
const RELAXED: f64 = 0.85;

/// Tail over target that slowing aims at.
const AIM: f64 = 0.75;

/// Mean tail over target from which a worker can be about to be full.
const LOADED: f64 = 0.5;

/// By how much the room for tasks that fill may be passed before they are slowed: what was placed by
/// one poll need not be slowed by the next.
const CROWDED: f64 = 1.25;

/// What presses less than this share of the most pressing task is left alone for now: two images
/// that were seen together share the blame until one of them has gone.
const BLAME_SHARE: f64 = 0.5;

/// A step back towards full pace.
const PACE_STEP_PERCENT: u32 = 50;

/// Pace of everything while the cause of a pressed task is not known.
const SLOW_PERCENT: u32 = 25;

/// Part of the allowed time over target after which everything that fills on the worker stands
/// still. Half of it is left for the order, for the pace to take effect and for a lost answer.
const STAND_STILL_PERCENT: u64 = 40;

/// Part after which it is slowed to a quarter, whatever is known of its images.
const SLOW_ALL_PERCENT: u64 = 20;

/// How long a task is slowed before it is moved: three polls, after which tails have come down if
/// it was the cause. A move costs a stop and a resumption, about a second.
const SLOWED_LIMIT_US: u64 = 1_600 * US_PER_MS;

/// A filling task on a worker.
struct Filler {
    at: TaskRef,
    image: ImageId,
    /// Processors in use.
    cores: f64,
    /// The same as a part of the worker, in the unit of the fit.
    part: f64,
    pace_percent: u32,
    saves_progress: bool,
    percent: u32,
    slowed_us: u64,
}

/// A serving task on a worker.
struct Server {
    image: ImageId,
    ratio: f64,
}

impl Fleet {
    /// Reacts to the tails that a worker reported.
    pub(in crate::fleet) fn update_pacing(
        &mut self,
        index: WorkerIndex,
        rows: &[RunRow],
        now_us: u64,
    ) {
        let (servers, fillers) = self.sort_rows(index, rows);
        self.trace(index, &servers, &fillers);
        let worst = servers.iter().map(|server| server.ratio).fold(0.0, f64::max);
        let worker = &mut self.workers[index as usize];
        worker.worst_tail = worst;
        let sum: f64 = servers.iter().map(|server| server.ratio).sum();
        worker.mean_tail = sum / servers.len().max(1) as f64;
        if servers.is_empty() {
            worker.over_since_us = 0;
            return;
        }
        if now_us.saturating_sub(worker.sampled_us) < SAMPLE_US {
            return;
        }
        worker.sampled_us = now_us;
        self.learn(&servers, &fillers);
        if worst > PRESSED {
            if !self.relieve(index, &servers, &fillers) {
                self.thin_out(index, &fillers);
            }
        } else if self.is_crowded(index, &fillers) {
            self.thin_out(index, &fillers);
        } else if worst < RELAXED {
            self.let_go(index, &servers, &fillers, worst);
        }
        self.guard(index, &fillers, worst, now_us);
        self.move_slowed(index, &fillers, now_us);
    }

    /// Moves what has been slowed for long and can resume elsewhere: beside a serving task at the
    /// height of its own load it would stand still for seconds.
    fn move_slowed(&mut self, index: WorkerIndex, fillers: &[Filler], now_us: u64) {
        let is_stuck = |filler: &&Filler| {
            filler.slowed_us > 0
                && filler.saves_progress
                && now_us - filler.slowed_us > SLOWED_LIMIT_US
        };
        fillers.iter().filter(is_stuck).for_each(|filler| self.move_away(index, filler));
    }

    fn sort_rows(&self, index: WorkerIndex, rows: &[RunRow]) -> (Vec<Server>, Vec<Filler>) {
        let worker = &self.workers[index as usize];
        let (mut servers, mut fillers) = (Vec::new(), Vec::new());
        for row in rows {
            let Some(slot) = self.by_id.get(&row.task.job).copied() else { continue };
            let Some(job) = self.job(slot) else { continue };
            let Some(place) = job.find(row.task.occurrence, row.task.step, row.task.index) else {
                continue;
            };
            let (step, task) = (job.step(place), &job.tasks[place as usize]);
            if task.state != TaskState::Running(index) {
                continue;
            }
            if step.target_ms > 0 && row.percent >= 100 {
                let ratio = row.figure as f64 / step.target_ms as f64;
                servers.push(Server { image: job.image(place), ratio });
            } else if step.fills {
                fillers.push(Filler {
                    at: TaskRef { job: slot, task: place },
                    image: job.image(place),
                    cores: row.figure as f64 / 1_000.0,
                    part: part_of(worker, row.figure as f64),
                    pace_percent: task.pace_percent,
                    saves_progress: step.saves_progress,
                    percent: row.percent,
                    slowed_us: task.slowed_us,
                });
            }
        }
        (servers, fillers)
    }

    fn trace(&self, index: WorkerIndex, servers: &[Server], fillers: &[Filler]) {
        if servers.is_empty() || !log::log_enabled!(log::Level::Debug) {
            return;
        }
        let tails: Vec<String> =
            servers.iter().map(|s| format!("{}:{:.2}", s.image, s.ratio)).collect();
        let beside: Vec<String> = fillers
            .iter()
            .map(|f| format!("{}:{}:{:.1}", f.image, f.pace_percent, f.cores))
            .collect();
        let worker = &self.workers[index as usize];
        log::debug!(event = "beside", worker = worker.entry.id.as_str(),
            capacity_milli = worker.entry.capacity.cpu_milli,
            used_milli = worker.used.cpu_milli, lasting_milli = worker.long_running_cpu_milli,
            filling_milli = worker.best_effort_cpu_milli,
            tails = tails.join(" ").as_str(), filling = beside.join(" ").as_str(); "");
    }

    fn learn(&mut self, servers: &[Server], fillers: &[Filler]) {
        let mut usage: Usage = [0.0; MAX_IMAGES];
        for filler in fillers {
            usage[self.interference.place(filler.image)] += filler.part;
        }
        for server in servers {
            self.interference.learn(server.image, &usage, server.ratio);
        }
    }

    /// Slows what presses the tasks over [`PRESSED`], the most pressing first, until the tails
    /// should come down to [`AIM`]. What is known to be harmful here is moved instead. False if nothing
    /// that is known to press is at work: then it is the worker that is full at the present load.
    fn relieve(&mut self, index: WorkerIndex, servers: &[Server], fillers: &[Filler]) -> bool {
        let pressed: Vec<&Server> =
            servers.iter().filter(|server| server.ratio > PRESSED).collect();
        let mut excess = pressed.iter().map(|server| (server.ratio / AIM).ln()).fold(0.0, f64::max);
        let mut pressing: Vec<(f64, &Filler)> = fillers
            .iter()
            .map(|filler| {
                let weight = |server: &&Server| {
                    self.interference.weight(server.image, filler.image).unwrap_or(0.0)
                };
                (pressed.iter().map(weight).fold(0.0, f64::max), filler)
            })
            .filter(|(weight, filler)| *weight >= HARMFUL / 2.0 && filler.pace_percent > 0)
            .collect();
        pressing.sort_by(|a, b| (b.0 * b.1.part).total_cmp(&(a.0 * a.1.part)));
        let is_blamed = !pressing.is_empty();
        let most = pressing.first().map_or(0.0, |(weight, filler)| weight * filler.part);
        for (weight, filler) in pressing {
            if excess <= 0.0 || weight * filler.part < most * BLAME_SHARE {
                break;
            }
            excess -= weight * filler.part;
            let is_harmful = |server: &&Server| {
                self.interference.pair(server.image, filler.image) == Pair::Harmful
            };
            if pressed.iter().any(is_harmful) {
                self.move_away(index, filler);
            } else {
                self.set_pace(index, filler.at, 0);
            }
        }
        is_blamed
    }

    /// Whether the worker is about to be full: tails are still in bounds, but at the present load of
    /// its lasting tasks they double at the next rise.
    fn is_crowded(&self, index: WorkerIndex, fillers: &[Filler]) -> bool {
        let cores: f64 = fillers.iter().map(|filler| filler.cores).sum();
        let worker = &self.workers[index as usize];
        worker.mean_tail > LOADED && cores > cores_for_filling(worker) * CROWDED
    }

    /// Slows what fills to what the worker has left for it, all alike.
    fn thin_out(&mut self, index: WorkerIndex, fillers: &[Filler]) {
        let cores: f64 = fillers.iter().map(|filler| filler.cores).sum();
        let room = cores_for_filling(&self.workers[index as usize]).max(0.0);
        let steps = (room / cores.max(0.1) * f64::from(100 / SLOW_PERCENT)) as u32;
        let percent = (steps * SLOW_PERCENT).max(SLOW_PERCENT);
        for filler in fillers {
            self.set_pace(index, filler.at, filler.pace_percent.min(percent));
        }
    }

    /// Takes a harmful task off the worker if that loses little; else it stands still.
    fn move_away(&mut self, index: WorkerIndex, filler: &Filler) {
        if filler.saves_progress || filler.percent < 30 {
            log::info!(event = "task_moved", job = self.job_id(filler.at.job),
                task = filler.at.task, image = filler.image,
                worker = self.workers[index as usize].entry.id.as_str(); "it harms what serves");
            self.set_pace(index, filler.at, 0);
            let now_us = self.workers[index as usize].sampled_us;
            self.stop(filler.at, now_us);
        } else {
            self.set_pace(index, filler.at, 0);
        }
    }

    /// Lets slowed tasks go faster again, one step for each poll, if that keeps the tails in bounds.
    fn let_go(&mut self, index: WorkerIndex, servers: &[Server], fillers: &[Filler], worst: f64) {
        let mut room = (AIM / worst.max(0.05)).ln();
        let in_use: f64 = fillers.iter().map(|filler| filler.cores).sum();
        let mut cores_left = cores_for_filling(&self.workers[index as usize]) - in_use;
        for filler in fillers.iter().filter(|filler| filler.pace_percent < 100) {
            let weight = servers
                .iter()
                .map(|server| self.interference.weight(server.image, filler.image).unwrap_or(0.0))
                .fold(0.0, f64::max);
            let cores = f64::from(PACE_STEP_PERCENT) / 100.0 * self.cores_wanted(filler.at);
            let part = part_of(&self.workers[index as usize], cores * 1_000.0);
            if weight * part > room || cores > cores_left {
                continue;
            }
            room -= weight * part;
            cores_left -= cores;
            let percent = (filler.pace_percent + PACE_STEP_PERCENT).min(100);
            self.set_pace(index, filler.at, percent);
        }
    }

    fn cores_wanted(&self, at: TaskRef) -> f64 {
        self.job(at.job).map_or(0.0, |job| job.step(at.task).need.cpu_milli as f64 / 1_000.0)
    }

    /// The last resort, whatever is known: nothing that fills works on beside a task that has been
    /// over its target for long.
    fn guard(&mut self, index: WorkerIndex, fillers: &[Filler], worst: f64, now_us: u64) {
        let limit_us = self.bounds.harm_ms * US_PER_MS;
        let worker = &mut self.workers[index as usize];
        if worst <= 1.0 {
            worker.over_since_us = 0;
            return;
        }
        if worker.over_since_us == 0 {
            worker.over_since_us = now_us;
        }
        let over_us = now_us - worker.over_since_us;
        let most = if over_us * 100 > limit_us * STAND_STILL_PERCENT {
            0
        } else if over_us * 100 > limit_us * SLOW_ALL_PERCENT {
            SLOW_PERCENT
        } else {
            return;
        };
        for filler in fillers {
            self.set_pace(index, filler.at, filler.pace_percent.min(most));
        }
    }

    fn set_pace(&mut self, index: WorkerIndex, at: TaskRef, percent: u32) {
        let Some(job) = self.jobs[at.job as usize].as_mut() else { return };
        let task = &mut job.tasks[at.task as usize];
        if percent == task.pace_percent || task.state != TaskState::Running(index) {
            return;
        }
        task.pace_percent = percent;
        let now_us = self.workers[index as usize].sampled_us;
        task.slowed_us = match (percent, task.slowed_us) {
            (100, _) => 0,
            (_, 0) => now_us,
            (_, since_us) => since_us,
        };
        self.counts.paced += 1;
        self.push_order(at, index, OrderKind::Pace { percent }, now_us);
    }
}
