//! The wall clock, for records that people read and for the age of keys. It decides nothing else.

use std::time::{SystemTime, UNIX_EPOCH};

/// Milliseconds since 1970.
///
/// ```
/// assert!(alderbay::telemetry::wall_clock_ms() > 1_700_000_000_000);
/// ```
pub fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
