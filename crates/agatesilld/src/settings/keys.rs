//! The known settings keys, including those that a file leaves at their defaults.

use super::Settings;
use super::check::limits;

/// Settings with one entry in every section; `*` stands for names that operators choose.
const SAMPLE: &str = "
instance: i
zone: z
entry: { addr: 127.0.0.1:1 }
admin: { addr: 127.0.0.1:2 }
peers: { addr: 127.0.0.1:3 }
store: { addr: 127.0.0.1:4 }
pools:
  '*': [{ id: 1, addr: 127.0.0.1:5, slots: 1, zone: z }]
cells:
  '*':
    addr: 127.0.0.1:6
    workers:
      - { id: 1, capacity: { cpu_milli: 1, memory_mb: 1, accelerators: 0 }, rack: r, zone: z }
";

/// The known key that `key` was most likely meant to be: the name with the smallest edit distance,
/// with a penalty for names in another section.
pub fn nearest(key: &str) -> String {
    let key = &key.replace('[', ".").replace(']', "");
    let (section, name) = split(key);
    let known = known_keys();
    let distance = |candidate: &String| {
        let (other_section, other_name) = split(candidate);
        let names = strsim::damerau_levenshtein(name, other_name) * 2;
        names + usize::from(!same_section(section, other_section)) * 3
    };
    known.into_iter().min_by_key(distance).unwrap_or_default()
}

/// The range of a numeric key. Bounds that depend on other settings are computed from the defaults
/// of those.
pub fn range(key: &str) -> Option<String> {
    let key = key.replace('[', ".").replace(']', "");
    let limits = limits(&sample_settings()?);
    let limit = limits.into_iter().find(|limit| same_section(&key, &limit.key))?;
    Some(format!("{}..={}", limit.min, limit.max))
}

fn sample_settings() -> Option<Settings> {
    serde_yaml_ng::from_str(SAMPLE).ok()
}

fn split(key: &str) -> (&str, &str) {
    key.rsplit_once('.').unwrap_or(("", key))
}

fn same_section(section: &str, known: &str) -> bool {
    let (mut parts, mut known) = (section.split('.'), known.split('.'));
    loop {
        match (parts.next(), known.next()) {
            (None, None) => return true,
            (Some(part), Some(name)) if part == name || name == "*" => {}
            (Some(part), Some("0")) if part.parse::<usize>().is_ok() => {}
            _ => return false,
        }
    }
}

/// Paths of all keys.
pub fn known_keys() -> Vec<String> {
    // Tokens are not serialised, so that no secret is shown.
    let mut known = vec!["admin.tokens".to_owned()];
    if let Some(settings) = sample_settings() {
        collect(&serde_json::to_value(settings).unwrap_or_default(), "", &mut known);
    }
    known
}

fn collect(value: &serde_json::Value, path: &str, known: &mut Vec<String>) {
    let join = |key: &str| if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") };
    match value {
        serde_json::Value::Object(map) => {
            for (key, value) in map {
                if key != "*" {
                    known.push(join(key));
                }
                collect(value, &join(key), known);
            }
        }
        serde_json::Value::Array(values) => {
            values.iter().for_each(|value| collect(value, &join("*"), known));
        }
        _ => {}
    }
}
