//! Wall clock, which may jump. It is used only for timestamps that people read and for the age of
//! idempotency keys; everything else uses the monotonic clock.

use std::time::{SystemTime, UNIX_EPOCH};

/// Returns the current Unix time in milliseconds; zero if the system clock is set before 1970.
///
/// ```
/// assert!(alderbay::telemetry::wall_clock_ms() > 1_700_000_000_000);
/// ```
pub fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
