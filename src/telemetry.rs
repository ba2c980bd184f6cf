//! Logs and metrics.

mod logs;
mod metrics;

pub use logs::{LogError, start_logs};
pub use metrics::{MetricSink, MetricsError};
