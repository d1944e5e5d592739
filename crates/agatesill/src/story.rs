//! The story of one job, put together from the log lines of all daemons.

use std::collections::HashSet;

use serde_json::{Map, Value};

/// A pause between two lines from which it is marked, in milliseconds: half of a desk job's objective.
const GAP_MS: u64 = 500;

/// Events of a daemon that change who plans or what it can reach; told if they fall into the story.
const TURNS: [&str; 12] = [
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

/// Fields that every line has, or that the story shows elsewhere.
const SHOWN_ELSEWHERE: [&str; 6] = ["at_ms", "level", "module", "event", "job", "message"];

/// One line of a log.
#[derive(Clone, Debug)]
struct Line {
    source: String,
    at_ms: u64,
    event: String,
    fields: Map<String, Value>,
}

/// Tells the story of a job or request `id` from `lines`, each with the daemon that wrote it: its own
/// lines, those of the workers that it was on, and changes of who plans meanwhile, in order of time.
///
/// Lines that are no JSON are passed over. Clocks of machines may differ, and with them the order of
/// lines of different daemons.
pub fn story<'a>(lines: impl Iterator<Item = (&'a str, &'a str)>, id: &str) -> Vec<String> {
    let mut all: Vec<Line> = lines.filter_map(|(source, text)| decode(source, text)).collect();
    all.sort_by_key(|line| line.at_ms);
    let is_own = |line: &Line| is_field(line, "job", id) || is_field(line, "request", id);
    let own: Vec<&Line> = all.iter().filter(|line| is_own(line)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else { return Vec::new() };
    let workers: HashSet<&str> =
        own.iter().filter_map(|line| line.fields.get("worker")?.as_str()).collect();
    let is_beside = |line: &&Line| {
        let is_within = (first.at_ms..=last.at_ms).contains(&line.at_ms);
        let is_of_worker = line.event.starts_with("worker_")
            && line
                .fields
                .get("worker")
                .and_then(Value::as_str)
                .is_some_and(|w| workers.contains(w));
        is_within && (is_of_worker || TURNS.contains(&line.event.as_str()))
    };
    let told = all.iter().filter(|line| is_own(line) || is_beside(line));
    let mut story = Vec::new();
    let mut before_ms = first.at_ms;
    for line in told {
        let gap_ms = line.at_ms.saturating_sub(before_ms);
        if gap_ms >= GAP_MS {
            story.push(format!("          ... nothing for {gap_ms} ms"));
        }
        before_ms = line.at_ms;
        story.push(tell(line, first.at_ms));
    }
    story
}

fn decode(source: &str, text: &str) -> Option<Line> {
    let Value::Object(fields) = serde_json::from_str(text.trim()).ok()? else { return None };
    Some(Line {
        source: source.to_owned(),
        at_ms: fields.get("at_ms")?.as_u64()?,
        event: fields.get("event")?.as_str()?.to_owned(),
        fields,
    })
}

fn is_field(line: &Line, name: &str, value: &str) -> bool {
    line.fields.get(name).and_then(Value::as_str) == Some(value)
}

fn tell(line: &Line, first_ms: u64) -> String {
    let fields: Vec<String> = line
        .fields
        .iter()
        .filter(|(name, _)| !SHOWN_ELSEWHERE.contains(&name.as_str()))
        .map(|(name, value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        })
        .collect();
    let message = line.fields.get("message").and_then(Value::as_str).unwrap_or_default();
    let message = if message.is_empty() { String::new() } else { format!(" ({message})") };
    let at_ms = line.at_ms - first_ms;
    format!("{at_ms:>6} ms {:<10} {} {}{message}", line.source, line.event, fields.join(" "))
}
