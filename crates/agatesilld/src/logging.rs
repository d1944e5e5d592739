//! JSON-lines logs through `log` and `fern`, written by a thread of their own.
//!
//! Lines go over a bounded ring; when it is full they are counted and the count is written as soon
//! as there is room, so that logging never stalls a request.

use std::fs::OpenOptions;
use std::io::{BufWriter, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use log::kv::{Key, Value, VisitSource};
use log::{LevelFilter, Record};

use crate::settings::LogSettings;

/// Lines that may wait for the writer: two seconds at 15,000 requests a second.
pub const LOG_RING_LINES: usize = 32_768;

static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines that the ring had no room for, since the start.
pub fn lost_lines() -> u64 {
    LOST_LINES.load(Ordering::Relaxed)
}

/// Installs the logger of this process; a second call changes nothing.
pub fn init(settings: &LogSettings) -> std::io::Result<()> {
    let level: LevelFilter = settings.level.parse().unwrap_or(LevelFilter::Info);
    let output: Box<dyn Write + Send> = if settings.path.is_empty() {
        Box::new(std::io::stderr())
    } else {
        Box::new(OpenOptions::new().create(true).append(true).open(&settings.path)?)
    };
    let (ring, lines) = bounded(LOG_RING_LINES);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines, BufWriter::with_capacity(1 << 16, output)))?;
    let dispatch = fern::Dispatch::new()
        .level(level)
        .level_for("hyper", LevelFilter::Warn)
        .level_for("tarpc", LevelFilter::Warn)
        .chain(fern::Output::call(move |record| offer(&ring, record)));
    let _ = dispatch.apply();
    Ok(())
}

fn offer(ring: &Sender<Vec<u8>>, record: &Record<'_>) {
    if let Err(TrySendError::Full(_)) = ring.try_send(encode(record)) {
        LOST_LINES.fetch_add(1, Ordering::Relaxed);
    }
}

/// Encodes one record as a line: time, level, module, the key-value pairs and the message.
fn encode(record: &Record<'_>) -> Vec<u8> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut fields = Fields(serde_json::Map::new());
    fields.0.insert("at_ms".to_owned(), (now.as_millis() as u64).into());
    fields.0.insert("level".to_owned(), record.level().as_str().to_lowercase().into());
    fields.0.insert("module".to_owned(), record.target().into());
    let _ = record.key_values().visit(&mut fields);
    let message = record.args().to_string();
    if !message.is_empty() {
        fields.0.insert("message".to_owned(), message.into());
    }
    let mut line = serde_json::to_vec(&fields.0).unwrap_or_default();
    line.push(b'\n');
    line
}

struct Fields(serde_json::Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = match (value.to_u64(), value.to_f64(), value.to_bool()) {
            (Some(number), _, _) => number.into(),
            (_, Some(number), _) => number.into(),
            (_, _, Some(truth)) => truth.into(),
            _ => value.to_string().into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>, mut output: impl Write) {
    let mut told = 0;
    while let Ok(line) = lines.recv() {
        let _ = output.write_all(&line);
        while let Ok(line) = lines.try_recv() {
            let _ = output.write_all(&line);
        }
        let lost = lost_lines();
        if lost > told {
            let _ =
                writeln!(output, "{{\"level\":\"warn\",\"event\":\"log_lost\",\"lines\":{lost}}}");
            told = lost;
        }
        let _ = output.flush();
    }
}
