//! JSON-lines logs through `log` and `fern`, written by a thread of their own.
//!
//! Lines go over a bounded ring; when it is full they are counted and the count is written as soon
//! as there is room, so that logging never stalls a request.

use std::fs::OpenOptions;
use std::io::{BufWriter, Write};
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use crossbeam_channel::{Receiver, Sender, TrySendError, bounded};
use log::kv::{Key, Value, VisitSource};
use log::{Level, LevelFilter, Record};

use crate::recent;
use crate::settings::LogSettings;

/// Lines that may wait for the writer: two seconds at 15,000 requests a second.
pub const LOG_RING_LINES: usize = 32_768;

/// Lines written between two flushes at most.
const BATCH_LINES: usize = 1_024;

/// How long the writer lets lines gather. Woken for each, it would cost the process a wake-up and a
/// system call a line, as much as a small daemon's other work; a process that is killed loses the lines
/// of this time.
const GATHER: Duration = Duration::from_millis(20);

/// Bytes of one write. A reader that takes a pipe in pieces loses the end of a larger one: of a burst of
/// lines only the first would be seen.
const WRITE_BYTES: usize = 8 << 10;

/// Path that stands for standard output.
pub const STANDARD_OUTPUT: &str = "-";

/// Room for a routing line without growing.
const LINE_BYTES: usize = 512;

static RING: OnceLock<Sender<Vec<u8>>> = OnceLock::new();

static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines given to the ring, and lines written, since the start.
static GIVEN_LINES: AtomicU64 = AtomicU64::new(0);
static WRITTEN_LINES: AtomicU64 = AtomicU64::new(0);

/// Longest wait for the last lines at the end of the process, and the time between two checks: a
/// blocked output must not hold a planned stop up.
const LAST_LINES: Duration = Duration::from_millis(200);
const LAST_LINES_CHECK: Duration = Duration::from_millis(2);

/// Lines that the ring had no room for, since the start.
pub fn lost_lines() -> u64 {
    LOST_LINES.load(Ordering::Relaxed)
}

/// Lines that wait for the writer.
pub fn waiting_lines() -> u64 {
    RING.get().map_or(0, |ring| ring.len() as u64)
}

/// Waits a moment until all lines are written, for the end of the process.
///
/// Guards against a planned stop that looks like a crash: the process would end before its last line
/// is written.
pub fn finish() {
    let until = Instant::now() + LAST_LINES;
    let is_written =
        || WRITTEN_LINES.load(Ordering::Acquire) >= GIVEN_LINES.load(Ordering::Acquire);
    while !is_written() && Instant::now() < until {
        std::thread::sleep(LAST_LINES_CHECK);
    }
}

/// Installs the logger of this process; a second call changes nothing.
pub fn init(settings: &LogSettings) -> std::io::Result<()> {
    let level: LevelFilter = settings.level.parse().unwrap_or(LevelFilter::Info);
    let output: Box<dyn Write + Send> = if settings.path.is_empty() {
        Box::new(std::io::stderr())
    } else if settings.path == STANDARD_OUTPUT {
        Box::new(std::io::stdout())
    } else {
        Box::new(OpenOptions::new().create(true).append(true).open(&settings.path)?)
    };
    let (ring, lines) = bounded(LOG_RING_LINES);
    std::thread::Builder::new()
        .name("log".to_owned())
        .spawn(move || write_lines(&lines, BufWriter::with_capacity(WRITE_BYTES, output)))?;
    let _ = RING.set(ring.clone());
    let dispatch = fern::Dispatch::new()
        .level(level)
        .level_for("hyper", LevelFilter::Warn)
        .level_for("tarpc", LevelFilter::Warn)
        .chain(fern::Output::call(move |record| offer(&ring, record)));
    let _ = dispatch.apply();
    Ok(())
}

fn offer(ring: &Sender<Vec<u8>>, record: &Record<'_>) {
    match ring.try_send(encode(record)) {
        Ok(()) => GIVEN_LINES.fetch_add(1, Ordering::Release),
        Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
            LOST_LINES.fetch_add(1, Ordering::Relaxed)
        }
    };
}

/// Encodes one record as a line: time, level, module, the key-value pairs and the message.
///
/// Straight into the line's own bytes, since at the rated load this runs for every request; a map
/// of values first would cost an allocation for each field.
pub fn encode(record: &Record<'_>) -> Vec<u8> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut line = Line(Vec::with_capacity(LINE_BYTES));
    line.0.extend_from_slice(b"{\"at_ms\":");
    line.value(&(now.as_millis() as u64));
    line.field("level", level_name(record.level()));
    line.field("module", record.target());
    let _ = record.key_values().visit(&mut line);
    match record.args().as_str() {
        Some("") => {}
        Some(message) => line.field("message", message),
        None => line.field("message", &record.args().to_string()),
    }
    line.0.extend_from_slice(b"}\n");
    line.0
}

fn level_name(level: Level) -> &'static str {
    match level {
        Level::Error => "error",
        Level::Warn => "warn",
        Level::Info => "info",
        Level::Debug => "debug",
        Level::Trace => "trace",
    }
}

struct Line(Vec<u8>);

impl Line {
    fn field(&mut self, key: &str, value: &str) {
        self.key(key);
        self.value(value);
    }

    fn key(&mut self, key: &str) {
        self.0.push(b',');
        self.value(key);
        self.0.push(b':');
    }

    fn value<T: serde::Serialize + ?Sized>(&mut self, value: &T) {
        // Writing to memory cannot fail, and neither can these types.
        let _ = serde_json::to_writer(&mut self.0, value);
    }
}

impl<'kvs> VisitSource<'kvs> for Line {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        self.key(key.as_str());
        if let Some(text) = value.to_borrowed_str() {
            self.value(text);
        } else if let Some(number) = value.to_u64() {
            self.value(&number);
        } else if let Some(number) = value.to_i64() {
            self.value(&number);
        } else if let Some(truth) = value.to_bool() {
            self.value(&truth);
        } else if let Some(number) = value.to_f64().filter(|number| number.is_finite()) {
            self.value(&number);
        } else {
            self.value(&value.to_string());
        }
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>, mut output: impl Write) {
    let mut told = 0;
    let mut batch = Vec::new();
    while let Ok(line) = lines.recv() {
        batch.push(line);
        std::thread::sleep(GATHER);
        batch.extend(lines.try_iter().take(BATCH_LINES));
        for line in &batch {
            let _ = output.write_all(line);
        }
        let written = batch.len() as u64;
        recent::keep(batch.drain(..));
        let lost = lost_lines();
        if lost > told {
            let _ =
                writeln!(output, "{{\"level\":\"warn\",\"event\":\"log_lost\",\"lines\":{lost}}}");
            told = lost;
        }
        let _ = output.flush();
        WRITTEN_LINES.fetch_add(written, Ordering::Release);
    }
}
