//! Timeline of one job, task or request, merged from the logs of several daemons.

use std::collections::HashSet;

use crate::log_line::LogLine;
use crate::refusals;

/// Minimum gap between two lines that is marked: half of a desk job's latency objective.
const MIN_GAP_MS: u64 = 500;

/// Events that change the planner or the reachable dependencies of a daemon. The timeline includes
/// those between its first and last line.
const DAEMON_EVENTS: [&str; 12] = [
    "start",
    "stop",
    "stopped",
    "planner_owned",
    "planner_started",
    "planner_left",
    "planner_deposed",
    "planner_passed_on",
    "fenced",
    "superseded",
    "dependency_lost",
    "dependency_back",
];

/// Fields that every line has or that the timeline shows in another column.
const OMITTED_FIELDS: [&str; 6] = ["at_ms", "level", "module", "event", "job", "message"];

/// Returns the timeline of the job, task or request `id` from `lines`, each paired with the daemon
/// that wrote it.
///
/// The timeline holds the lines of the job itself, without those of other tasks if `id` names a task, and, between the first and the last of these, the
/// lines of the workers it was placed on and the `DAEMON_EVENTS`, ordered by time. Lines that are
/// not JSON are skipped. A summary comes first if the job was refused for lack of capacity. The clocks of machines may differ, and with them the order of lines from
/// different daemons.
pub fn timeline<'a>(lines: impl Iterator<Item = (&'a str, &'a str)>, id: &str) -> Vec<String> {
    let mut all: Vec<LogLine> =
        lines.filter_map(|(source, text)| LogLine::decode(source, text)).collect();
    all.sort_by_key(|line| line.at_ms);
    let is_own = |line: &LogLine| is_about(line, id);
    let own: Vec<&LogLine> = all.iter().filter(|line| is_own(line)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    let workers: HashSet<&str> = own.iter().filter_map(|line| line.text("worker")).collect();
    let is_context = |line: &&LogLine| {
        let is_within = (first.at_ms..=last.at_ms).contains(&line.at_ms);
        let is_worker_event = line.event.starts_with("worker_")
            && line.text("worker").is_some_and(|worker| workers.contains(worker));
        is_within && (is_worker_event || DAEMON_EVENTS.contains(&line.event.as_str()))
    };
    let selected = all.iter().filter(|line| is_own(line) || is_context(line));
    let mut timeline = refusals::summary(&own);
    let mut previous_ms = first.at_ms;
    for line in selected {
        let gap_ms = line.at_ms.saturating_sub(previous_ms);
        if gap_ms >= MIN_GAP_MS {
            timeline.push(format!("          ... no log lines for {gap_ms} ms"));
        }
        previous_ms = line.at_ms;
        timeline.push(format_line(line, first.at_ms));
    }
    timeline
}

/// Whether a line is about a job, a request, or a task named as `job.occurrence.step.index`. The lines
/// of its job that name no task are also about the task.
fn is_about(line: &LogLine, id: &str) -> bool {
    if line.text("job") == Some(id) || line.text("request") == Some(id) {
        return true;
    }
    let Some((job, _)) = id.split_once('.') else { return false };
    let names_no_task = ["task", "task_index"].iter().all(|name| !line.fields.contains_key(*name));
    line.text("task") == Some(id) || line.text("job") == Some(job) && names_no_task
}

fn format_line(line: &LogLine, first_ms: u64) -> String {
    let fields: Vec<String> = line
        .fields
        .iter()
        .filter(|(name, _)| !OMITTED_FIELDS.contains(&name.as_str()))
        .map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        })
        .collect();
    let message = line.text("message").unwrap_or_default();
    let message = if message.is_empty() { String::new() } else { format!(" ({message})") };
    let at_ms = line.at_ms - first_ms;
    format!("{at_ms:>6} ms {:<10} {} {}{message}", line.source, line.event, fields.join(" "))
}
