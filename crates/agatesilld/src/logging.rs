//! JSON-lines logging through `log` and `fern`, written by a dedicated thread.
//!
//! Lines are passed through a bounded queue. Lines that do not fit are counted, and the count is
//! logged as soon as there is capacity, so logging never blocks a request.

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

/// Capacity of the queue to the writer: two seconds of lines at 15,000 requests a second.
pub const LOG_RING_LINES: usize = 32_768;

/// Maximum number of lines written between two flushes.
const MAX_BATCH_LINES: usize = 1_024;

/// Time for which the writer collects lines before it writes them. Writing each line separately
/// would cost a wake-up and a system call per line, as much as the rest of the work of a small
/// daemon. A process that is killed loses the lines of this interval.
const WRITE_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum size of one write. Readers that read a pipe in chunks lose the end of larger writes:
/// only the first lines of a burst would be seen.
const MAX_WRITE_BYTES: usize = 8 << 10;

/// Path that selects standard output.
pub const STANDARD_OUTPUT: &str = "-";

/// Initial capacity of a line, enough for a routing decision without reallocation.
const LINE_CAPACITY_BYTES: usize = 512;

static RING: OnceLock<Sender<Vec<u8>>> = OnceLock::new();

static LOST_LINES: AtomicU64 = AtomicU64::new(0);

/// Lines queued and lines written, since the start.
static QUEUED_LINES: AtomicU64 = AtomicU64::new(0);
static WRITTEN_LINES: AtomicU64 = AtomicU64::new(0);

/// Timeout of the final flush at process exit, and the interval of its checks. A blocked output
/// must not delay a graceful shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Lines that were lost because the queue was full, since the start.
pub fn lost_lines() -> u64 {
    LOST_LINES.load(Ordering::Relaxed)
}

/// Lines that are waiting for the writer.
pub fn waiting_lines() -> u64 {
    RING.get().map_or(0, |ring| ring.len() as u64)
}

/// Waits, for a limited time, until all lines are written. Called before the process exits.
///
/// Guards against a graceful shutdown that looks like a crash because the process ends before its
/// last line is written.
pub fn flush() {
    let until = Instant::now() + FLUSH_TIMEOUT;
    let is_written =
        || WRITTEN_LINES.load(Ordering::Acquire) >= QUEUED_LINES.load(Ordering::Acquire);
    while !is_written() && Instant::now() < until {
        std::thread::sleep(FLUSH_POLL_INTERVAL);
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
        .spawn(move || write_lines(&lines, BufWriter::with_capacity(MAX_WRITE_BYTES, output)))?;
    let _ = RING.set(ring.clone());
    let dispatch = fern::Dispatch::new()
        .level(level)
        .level_for("hyper", LevelFilter::Warn)
        .level_for("tarpc", LevelFilter::Warn)
        .chain(fern::Output::call(move |record| enqueue(&ring, record)));
    let _ = dispatch.apply();
    Ok(())
}

fn enqueue(ring: &Sender<Vec<u8>>, record: &Record<'_>) {
    match ring.try_send(encode(record)) {
        Ok(()) => QUEUED_LINES.fetch_add(1, Ordering::Release),
        Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
            LOST_LINES.fetch_add(1, Ordering::Relaxed)
        }
    };
}

/// Encodes one record as a line: time, level, module, key-value pairs and message.
///
/// The encoder writes directly into the line's buffer, because it runs for every request at the
/// rated load. An intermediate map of values would need an allocation for each field.
pub fn encode(record: &Record<'_>) -> Vec<u8> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let mut line = Line(Vec::with_capacity(LINE_CAPACITY_BYTES));
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
        // Writing to memory and serialising these types cannot fail.
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
        } else if let Some(boolean) = value.to_bool() {
            self.value(&boolean);
        } else if let Some(number) = value.to_f64().filter(|number| number.is_finite()) {
            self.value(&number);
        } else {
            self.value(&value.to_string());
        }
        Ok(())
    }
}

fn write_lines(lines: &Receiver<Vec<u8>>, mut output: impl Write) {
    let mut reported = 0;
    let mut batch = Vec::new();
    while let Ok(line) = lines.recv() {
        batch.push(line);
        std::thread::sleep(WRITE_INTERVAL);
        batch.extend(lines.try_iter().take(MAX_BATCH_LINES));
        for line in &batch {
            let _ = output.write_all(line);
        }
        let written = batch.len() as u64;
        recent::append(batch.drain(..));
        let lost = lost_lines();
        if lost > reported {
            let _ =
                writeln!(output, "{{\"level\":\"warn\",\"event\":\"log_lost\",\"lines\":{lost}}}");
            reported = lost;
        }
        let _ = output.flush();
        WRITTEN_LINES.fetch_add(written, Ordering::Release);
    }
}
