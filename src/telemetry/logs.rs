//! Logs as JSON lines on standard output, one object an event.
//!
//! Lines pass through a bounded queue to a thread of their own: a reader that takes nothing costs
//! lines, which are counted, and never holds a request up.

use std::{
    io::{self, Write},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
        mpsc::{Receiver, SyncSender, sync_channel},
    },
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

/// Lines that may wait for the reader of the log.
const MAX_QUEUED_LINES: usize = 4_096;

/// Why logging could not be started.
#[derive(Debug)]
#[derive(Error)]
pub enum LogError {
    /// Logging was started before.
    #[error("starting the log: {0}")]
    Started(#[from] SetLoggerError),
    /// The writing thread could not be started.
    #[error("starting the thread of the log: {0}")]
    Thread(#[from] io::Error),
}

/// Starts logging at `level`; every line names the VM.
///
/// # Errors
///
/// Logging was started before, or no thread can be started.
pub fn init_logging(level: LogLevel, vm: VmId) -> Result<(), LogError> {
    let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counter = dropped.clone();
    std::thread::Builder::new().name("log".into()).spawn(move || write_lines(&queue, &counter))?;
    CombinedLogger::init(vec![Box::new(JsonLogger { vm, lines, dropped })])?;
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

/// What the writing thread is told.
enum LogCommand {
    /// Write this.
    Text(String),
    /// Say when all before is written.
    Flush(SyncSender<()>),
}

fn write_lines(queue: &Receiver<LogCommand>, dropped: &AtomicU64) {
    let mut output = io::stdout();
    while let Ok(line) = queue.recv() {
        // There is nowhere to report that the log itself cannot be written.
        match line {
            LogCommand::Text(text) => {
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

/// Writes each record as one JSON object: `at_ms`, `level`, `vm`, `module`, `message`, and the
/// record's own fields.
struct JsonLogger {
    vm: VmId,
    lines: SyncSender<LogCommand>,
    dropped: Arc<AtomicU64>,
}

impl JsonLogger {
    /// Libraries speak only of their errors, unless everything is asked for: what goes wrong with a
    /// connection is in our own lines, once.
    fn passes(&self, metadata: &Metadata<'_>) -> bool {
        let level = log::max_level();
        let own = metadata.target().starts_with("alderbay");
        metadata.level() <= level
            && (own || metadata.level() <= Level::Error || level == LevelFilter::Trace)
    }
}

impl Log for JsonLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        self.passes(metadata)
    }

    fn log(&self, record: &Record<'_>) {
        if !self.passes(record.metadata()) {
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
        if self.lines.try_send(LogCommand::Text(text)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {
        let (done, written) = sync_channel(1);
        if self.lines.send(LogCommand::Flush(done)).is_ok() {
            let _ = written.recv();
        }
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

struct FieldVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let value = serde_json::to_value(&value).unwrap_or_else(|_| value.to_string().into());
        self.0.insert(key.to_string(), value);
        Ok(())
    }
}
