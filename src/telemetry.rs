//! Logs, metrics and the wall clock.

mod logs;
mod metrics;
mod wall_clock;

pub use logs::{LogError, init_logging, set_log_level};
pub use metrics::{MetricSink, MetricsError, serve_metrics};
pub use wall_clock::wall_clock_ms;
