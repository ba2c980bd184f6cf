//! Logs as JSON lines on standard error, one object an event.

use std::io::{self, Write};

use log::{
    Level, LevelFilter, Log, Metadata, Record, SetLoggerError,
    kv::{Key, Value, VisitSource},
};
use serde_json::Map;
use simplelog::{CombinedLogger, Config, SharedLogger};
use thiserror::Error;

use super::wall_clock_ms;
use crate::{options::LogLevel, units::VmId};

/// Why logging could not be started.
#[derive(Debug)]
#[derive(Error)]
#[error("starting the log: {0}")]
pub struct LogError(#[from] SetLoggerError);

/// Starts logging at `level`; every line names the VM.
///
/// # Errors
///
/// Logging was started before.
pub fn start_logs(level: LogLevel, vm: VmId) -> Result<(), LogError> {
    let level = level_filter(level);
    CombinedLogger::init(vec![Box::new(JsonLogger { level, vm })])?;
    Ok(())
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

/// Writes each record as one JSON object: `at_ms`, `level`, `vm`, `module`, `message`, and the
/// record's own fields.
struct JsonLogger {
    level: LevelFilter,
    vm: VmId,
}

impl JsonLogger {
    /// Libraries speak only of what goes wrong, unless everything is asked for.
    fn passes(&self, metadata: &Metadata<'_>) -> bool {
        let own = metadata.target().starts_with("alderbay");
        metadata.level() <= self.level
            && (own || metadata.level() <= Level::Warn || self.level == LevelFilter::Trace)
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
        // There is nowhere to report that the log itself cannot be written.
        let _ = io::stderr().write_all(text.as_bytes());
    }

    fn flush(&self) {
        let _ = io::stderr().flush();
    }
}

impl SharedLogger for JsonLogger {
    fn level(&self) -> LevelFilter {
        self.level
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
