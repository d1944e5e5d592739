//! One line of a daemon's log.

use serde_json::{Map, Value};

/// A decoded log line.
#[derive(Clone, Debug)]
pub struct LogLine {
    /// Daemon that wrote the line.
    pub source: String,
    /// When it was written, by the wall clock of its daemon.
    pub at_ms: u64,
    /// What happened.
    pub event: String,
    /// All fields, including those above.
    pub fields: Map<String, Value>,
}

impl LogLine {
    /// Decodes a line that the daemon `source` wrote; `None` if it is not a log line.
    pub fn decode(source: &str, text: &str) -> Option<Self> {
        let Value::Object(fields) = serde_json::from_str(text.trim()).ok()? else { return None };
        Some(Self {
            source: source.to_owned(),
            at_ms: fields.get("at_ms")?.as_u64()?,
            event: fields.get("event")?.as_str()?.to_owned(),
            fields,
        })
    }

    /// The text in a field.
    pub fn text(&self, name: &str) -> Option<&str> {
        self.fields.get(name)?.as_str()
    }

    /// The number in a field. Daemons write optional numbers as text: `Some(9000)` or `None`.
    pub fn number(&self, name: &str) -> Option<u64> {
        match self.fields.get(name)? {
            Value::String(text) => text.strip_prefix("Some(")?.strip_suffix(')')?.parse().ok(),
            value => value.as_u64(),
        }
    }

    /// Whether a field is set.
    pub fn is_set(&self, name: &str) -> bool {
        self.fields.get(name).and_then(Value::as_bool) == Some(true)
    }
}
