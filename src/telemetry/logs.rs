//! Logs as JSON lines on standard output, one object per event.
//!
//! A bounded queue passes the lines to a dedicated thread. If standard output blocks, lines are
//! dropped and counted, so that logging never delays a request.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, TrySendError, sync_channel},
    },
    time::{Duration, Instant},
};

use log::{
    Level, LevelFilter, Log, Metadata, Record, SetLoggerError,
    kv::{Key, Value, VisitSource},
};
use serde_json::Map;
use simplelog::{CombinedLogger, Config, SharedLogger};
use thiserror::Error;

use super::wall_clock_ms;
use crate::{options::LogLevel, units::VmId};

/// Capacity of the queue to the writer thread, in lines.
const MAX_QUEUED_LINES: usize = 4_096;
/// Longest time for which a process that ends waits until its lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(150);
/// Interval at which a flush tries to enter a full queue.
const FLUSH_RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Why logging cannot be initialized.
#[derive(Debug)]
#[derive(Error)]
pub enum LogError {
    /// A logger has already been set in this process.
    #[error("cannot initialize the logger: {0}")]
    Started(#[from] SetLoggerError),
    /// The writer thread cannot be spawned.
    #[error("cannot spawn the log writer thread: {0}")]
    Thread(#[from] io::Error),
}

/// Initializes logging at `level`. Every line contains the VM.
///
/// # Errors
///
/// A logger has already been set, or the writer thread cannot be spawned.
pub fn init_logging(level: LogLevel, vm: VmId) -> Result<(), LogError> {
    let (commands, queue) = sync_channel(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = dropped.clone();
    std::thread::Builder::new().name("log".into()).spawn(move || write_lines(&queue, &counter))?;
    CombinedLogger::init(vec![Box::new(JsonLogger { vm, commands, dropped })])?;
    set_log_level(level);
    Ok(())
}

/// Changes the least severe level that is logged.
pub fn set_log_level(level: LogLevel) {
    log::set_max_level(level_filter(level));
}

fn level_filter(level: LogLevel) -> LevelFilter {
    match level {
        LogLevel::Error => LevelFilter::Error,
        LogLevel::Warn => LevelFilter::Warn,
        LogLevel::Info => LevelFilter::Info,
        LogLevel::Debug => LevelFilter::Debug,
        LogLevel::Trace => LevelFilter::Trace,
    }
}

/// Command to the writer thread.
enum LogCommand {
    /// Write this line.
    Write(String),
    /// Send a reply once all earlier lines are written.
    Flush(SyncSender<()>),
}

fn write_lines(queue: &Receiver<LogCommand>, dropped: &AtomicU64) {
    let mut output = io::stdout();
    while let Ok(command) = queue.recv() {
        // Write errors are ignored: there is no other place to report them.
        match command {
            LogCommand::Write(text) => {
                let _ = output.write_all(text.as_bytes());
            }
            LogCommand::Flush(done) => {
                let _ = output.flush();
                let _ = done.send(());
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            let text = format!(
                "{{\"level\":\"warn\",\"message\":\"log lines dropped\",\"count\":{lost}}}\n"
            );
            let _ = output.write_all(text.as_bytes());
        }
    }
}

/// Encodes each record as one JSON object: `at_ms`, `level`, `vm`, `module`, `message`, and the
/// record's own fields.
struct JsonLogger {
    vm: VmId,
    commands: SyncSender<LogCommand>,
    /// Lines dropped since the writer thread last reported them.
    dropped: Arc<AtomicU64>,
}

impl JsonLogger {
    /// Whether a record is logged. Records of libraries below the level of an error are logged only
    /// at the trace level, since they would repeat what this crate logs about a connection.
    fn is_logged(&self, metadata: &Metadata<'_>) -> bool {
        let level = log::max_level();
        let is_own = metadata.target().starts_with("alderbay");
        metadata.level() <= level
            && (is_own || metadata.level() <= Level::Error || level == LevelFilter::Trace)
    }
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.is_logged(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.is_logged(record.metadata()) {
            return;
        }
        let mut line = Map::new();
        line.insert("at_ms".into(), wall_clock_ms().into());
        line.insert("level".into(), record.level().as_str().to_ascii_lowercase().into());
        line.insert("vm".into(), self.vm.as_str().into());
        line.insert("module".into(), record.target().into());
        line.insert("message".into(), record.args().to_string().into());
        let _ = record.key_values().visit(&mut FieldVisitor(&mut line));
        let mut text = serde_json::Value::Object(line).to_string();
        text.push('\n');
        if self.commands.try_send(LogCommand::Write(text)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        let (done, flushed) = sync_channel(1);
        let deadline = Instant::now() + FLUSH_TIMEOUT;
        let mut command = LogCommand::Flush(done);
        while let Err(TrySendError::Full(rejected)) = self.commands.try_send(command) {
            if Instant::now() >= deadline {
                return;
            }
            command = rejected;
            std::thread::sleep(FLUSH_RETRY_INTERVAL);
        }
        let _ = flushed.recv_timeout(deadline.saturating_duration_since(Instant::now()));
    }
}

impl SharedLogger for JsonLogger {
    fn level(&self) -> LevelFilter {
        LevelFilter::Trace
    }

    fn config(&self) -> Option<&Config> {
        None
    }

    fn as_log(self: Box<Self>) -> Box<dyn Log> {
        self
    }
}

/// Adds the key-value pairs of a record to its JSON object.
struct FieldVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
