//! Summary of the refusals of one job: by which daemon and view, and what became of the job.

use crate::log_line::LogLine;

/// Events that end one run of a task.
const END_EVENTS: [&str; 3] = ["run_ended", "run_lost", "run_absent"];

/// Returns the summary of a job that was refused for lack of capacity, from its log lines in the
/// order of their times: a line with the outcome, and one for each refusal. Empty if it was not
/// refused.
pub fn summary(lines: &[&LogLine]) -> Vec<String> {
    let refusals: Vec<&LogLine> =
        lines.iter().copied().filter(|line| line.event == "job_refused").collect();
    let Some(first) = refusals.first() else { return Vec::new() };
    let times = match refusals.len() {
        1 => "once".to_owned(),
        count => format!("{count} times"),
    };
    let (acceptance, state) = (acceptance(lines, first), state(lines));
    let mut summary = vec![format!("refused {times} for lack of capacity, {acceptance}; {state}")];
    summary.extend(refusals.iter().map(|refusal| describe(refusal)));
    summary
}

/// Tells whether and when the job was accepted.
fn acceptance(lines: &[&LogLine], first: &LogLine) -> String {
    let Some(accepted) = lines.iter().find(|line| line.event == "job_accepted") else {
        return "not accepted since".to_owned();
    };
    if accepted.at_ms < first.at_ms {
        let before = seconds(first.at_ms - accepted.at_ms);
        return format!("accepted {before} before by the clocks of the daemons");
    }
    let how = match (accepted.is_set("is_return"), accepted.is_set("is_new")) {
        (true, _) => "at its return",
        (false, true) => "as a new job",
        (false, false) => "as stored before",
    };
    format!("accepted {how} after {}", seconds(accepted.at_ms - first.at_ms))
}

/// Tells how the job ended or, if it has not, how many of its tasks run, as counted from the starts
/// and ends of runs.
fn state(lines: &[&LogLine]) -> String {
    if let Some(ended) = lines.iter().rev().find(|line| line.event == "job_ended") {
        return format!("ended as {}", ended.text("phase").unwrap_or("unknown"));
    }
    if lines.iter().any(|line| line.event == "job_cancelled") {
        return "cancelled".to_owned();
    }
    let placed = lines.iter().filter(|line| line.event == "task_placed").count();
    let ended = lines.iter().filter(|line| END_EVENTS.contains(&line.event.as_str())).count();
    match placed.saturating_sub(ended) {
        0 => "no task is running".to_owned(),
        1 => "one task is running".to_owned(),
        running => format!("{running} tasks are running"),
    }
}

/// Describes one refusal.
fn describe(refusal: &LogLine) -> String {
    let cause = match refusal.text("cause").unwrap_or("unknown cause") {
        "no_room" => "no room",
        "early" => "asked again before its time",
        other => other,
    };
    let amount = match (refusal.number("needed_milli"), refusal.number("left_milli")) {
        (Some(needed_milli), Some(left_milli)) => {
            format!(" ({} CPUs needed, {} left)", cpus(needed_milli), cpus(left_milli))
        }
        _ => String::new(),
    };
    let again = if refusal.is_set("is_return") { "again " } else { "" };
    let number = |name| refusal.number(name).unwrap_or_default();
    format!(
        "  {again}by {}: {cause}{amount}; view {} of epoch {}, {} ms old; asked to return after {}",
        refusal.source,
        number("sequence"),
        number("epoch"),
        number("view_age_ms"),
        seconds(number("retry_after_ms")),
    )
}

fn seconds(duration_ms: u64) -> String {
    format!("{:.1} s", duration_ms as f64 / 1_000.0)
}

fn cpus(cpu_milli: u64) -> String {
    format!("{:.1}", cpu_milli as f64 / 1_000.0)
}
