//! Logs, metrics and the wall clock.

mod logs;
mod metrics;
mod wall_clock;

pub use logs::{LogError, start_logs};
pub use metrics::{MetricSink, MetricsError};
pub use wall_clock::wall_clock_ms;
