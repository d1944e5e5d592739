//! Reads the settings file and validates its structure, its keys and then the ranges of values.

use std::path::Path;

use snafu::Snafu;

use super::Settings;
use super::check::check;
use super::keys::{nearest, range};

/// Why a settings file was rejected.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    /// The file cannot be read.
    #[snafu(display("{file}: cannot be read: {source}"))]
    Read {
        /// The file.
        file: String,
        /// The cause.
        source: std::io::Error,
    },
    /// The file is not YAML, a value has the wrong type, or a key is missing.
    #[snafu(display("{file}: {key}: {message}{hint}"))]
    Shape {
        /// The file.
        file: String,
        /// Path of the key.
        key: String,
        /// The parser's message.
        message: String,
        /// The expected value, if known.
        hint: String,
    },
    /// The file contains an unknown key.
    #[snafu(display("{file}: {key}: unknown key; did you mean {nearest}?"))]
    UnknownKey {
        /// The file.
        file: String,
        /// Path of the key.
        key: String,
        /// The closest known key.
        nearest: String,
    },
    /// A value is not allowed.
    #[snafu(display("{file}: {key}: {value} is not allowed; expected {range}"))]
    Range {
        /// The file.
        file: String,
        /// Path of the key.
        key: String,
        /// The rejected value.
        value: String,
        /// The allowed values.
        range: String,
    },
}

/// Reads and validates a settings file.
pub fn read(path: &Path) -> Result<Settings, SettingsError> {
    let file = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|source| SettingsError::Read { file: file.clone(), source })?;
    parse(&file, &text)
}

/// Parses and validates settings. `file` is only used in error messages.
pub fn parse(file: &str, text: &str) -> Result<Settings, SettingsError> {
    let mut unknown = Vec::new();
    let mut track = serde_path_to_error::Track::new();
    let deserializer = serde_yaml_ng::Deserializer::from_str(text);
    let parsed: Result<Settings, _> = serde_ignored::deserialize(
        serde_path_to_error::Deserializer::new(deserializer, &mut track),
        |path| unknown.push(path.to_string()),
    );
    // Unknown keys are reported first, because a missing key is often the same key misspelt.
    if let Some(key) = unknown.into_iter().next() {
        return Err(unknown_key(file, key));
    }
    let settings = parsed.map_err(|error| {
        let key = track.path().to_string();
        let message = error.to_string();
        let message = message.strip_prefix(&format!("{key}: ")).unwrap_or(&message).to_owned();
        SettingsError::Shape { file: file.to_owned(), hint: hint(&key, &message), key, message }
    })?;
    check(file, &settings)?;
    Ok(settings)
}

fn unknown_key(file: &str, key: String) -> SettingsError {
    let nearest = nearest(&key);
    SettingsError::UnknownKey { file: file.to_owned(), key, nearest }
}

/// Describes the expected value of a key. The most likely mistake is a number with a unit.
fn hint(key: &str, message: &str) -> String {
    if message.starts_with("missing field") {
        return String::new();
    }
    if key.ends_with("addr") || message.contains("socket address") {
        return "; use an IP address and a port, such as 127.0.0.1:7100".to_owned();
    }
    let unit = match key.rsplit('_').next() {
        Some("ms") => " of milliseconds",
        Some("bytes") => " of bytes",
        Some("milli") => " of thousandths",
        Some("mb") => " of megabytes",
        _ => "",
    };
    match range(key) {
        Some(range) => format!("; use a plain number{unit} in {range}"),
        None => String::new(),
    }
}
