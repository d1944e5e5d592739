//! What the time of the planner's thread goes on.

use std::time::Duration;

use agatesill_policy::fleet::US_PER_MS;
use tokio::runtime::{Handle, RuntimeMetrics};

/// What the planner's thread does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Duty {
    /// Handles jobs, cancels, changes of the registry and answers of the store.
    Events,
    /// Handles answers to polls.
    Polls,
    /// Handles the outcomes of orders.
    Outcomes,
    /// Checks leases and due times, and opens connections.
    Checks,
    /// Chooses workers.
    Planning,
    /// Forms transactions of records.
    Records,
    /// Passes orders and acknowledgements to the connections.
    Orders,
    /// Reports what it does.
    Status,
    /// Runs all other tasks of the daemon: calls to workers and to the store, and requests of callers.
    Calls,
}

impl Duty {
    /// All duties.
    pub const ALL: [Duty; 9] = [
        Duty::Events,
        Duty::Polls,
        Duty::Outcomes,
        Duty::Checks,
        Duty::Planning,
        Duty::Records,
        Duty::Orders,
        Duty::Status,
        Duty::Calls,
    ];

    /// Name used in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Duty::Events => "events",
            Duty::Polls => "polls",
            Duty::Outcomes => "outcomes",
            Duty::Checks => "checks",
            Duty::Planning => "planning",
            Duty::Records => "records",
            Duty::Orders => "orders",
            Duty::Status => "status",
            Duty::Calls => "calls",
        }
    }
}

/// Time spent on each duty.
#[derive(Clone, Copy, Debug, Default)]
pub struct DutyTimes([u64; Duty::ALL.len()]);

impl DutyTimes {
    /// Time spent on a duty.
    pub fn of_us(&self, duty: Duty) -> u64 {
        self.0[duty as usize]
    }

    fn add(&mut self, duty: Duty, time_us: u64) {
        self.0[duty as usize] += time_us;
    }
}

/// Clock that divides the time of the planner's thread among its duties.
pub struct DutyClock {
    runtime: RuntimeMetrics,
    duty: Duty,
    since_us: u64,
    started_us: u64,
    /// Time for which the thread had been busy at the start.
    busy_before: Duration,
    /// Times of the duties; those of calls include the time for which the thread slept.
    times: DutyTimes,
    turn_started_us: u64,
    turns: u64,
    longest_turn_us: u64,
    /// Times up to the newest line of the log.
    logged: DutyTimes,
    logged_us: u64,
}

impl DutyClock {
    /// Starts the clock. Must be called on the planner's runtime.
    pub fn start(now_us: u64) -> Self {
        let runtime = Handle::current().metrics();
        Self {
            busy_before: runtime.worker_total_busy_duration(0),
            runtime,
            duty: Duty::Calls,
            since_us: now_us,
            started_us: now_us,
            times: DutyTimes::default(),
            turn_started_us: now_us,
            turns: 0,
            longest_turn_us: 0,
            logged: DutyTimes::default(),
            logged_us: now_us,
        }
    }

    /// Counts the time from now on for a duty.
    pub fn begin(&mut self, duty: Duty, now_us: u64) {
        self.times.add(self.duty, now_us.saturating_sub(self.since_us));
        self.duty = duty;
        self.since_us = now_us;
    }

    /// Begins a turn of the planner with the handling of events.
    pub fn begin_turn(&mut self, now_us: u64) {
        self.begin(Duty::Events, now_us);
        self.turn_started_us = now_us;
        self.turns += 1;
    }

    /// Ends a turn, once the daemon's other tasks have run.
    pub fn end_turn(&mut self, now_us: u64) {
        let turn_us = now_us.saturating_sub(self.turn_started_us);
        self.longest_turn_us = self.longest_turn_us.max(turn_us);
    }

    /// Times since the start, without the time for which the thread slept.
    pub fn total(&self) -> DutyTimes {
        let mut total = self.times;
        let busy = self.runtime.worker_total_busy_duration(0).saturating_sub(self.busy_before);
        let elapsed_us = self.since_us.saturating_sub(self.started_us);
        let idle_us = elapsed_us.saturating_sub(busy.as_micros() as u64);
        let calls_us = &mut total.0[Duty::Calls as usize];
        *calls_us = calls_us.saturating_sub(idle_us);
        total
    }

    /// Logs the times since the last line.
    pub fn log_and_reset(&mut self, epoch: u64, now_us: u64) {
        let total = self.total();
        let ms = |duty| total.of_us(duty).saturating_sub(self.logged.of_us(duty)) / US_PER_MS;
        log::info!(event = "planner_time", epoch = epoch,
            elapsed_ms = now_us.saturating_sub(self.logged_us) / US_PER_MS,
            events_ms = ms(Duty::Events), polls_ms = ms(Duty::Polls),
            outcomes_ms = ms(Duty::Outcomes), checks_ms = ms(Duty::Checks),
            planning_ms = ms(Duty::Planning), records_ms = ms(Duty::Records),
            orders_ms = ms(Duty::Orders), status_ms = ms(Duty::Status),
            calls_ms = ms(Duty::Calls), turns = self.turns,
            longest_turn_ms = self.longest_turn_us / US_PER_MS; "");
        (self.logged, self.logged_us) = (total, now_us);
        (self.turns, self.longest_turn_us) = (0, 0);
    }
}
