//! Follows the configuration stream of the log and publishes snapshots to it before the log deletes
//! the records that they replace.

use std::{ops::Range, sync::Arc, time::Duration};

use rand::Rng;
use tokio::time::Instant;

use super::ProcessShell;
use crate::{
    config::ConfigRecord,
    core::Event,
    platform::{LogPage, PlatformError, streams},
    units::{ConfigVersion, LogOffset},
};

/// Long-poll timeout for new records.
const POLL_TIMEOUT: Duration = Duration::from_secs(20);
/// Range of the random delay after a failed read.
const RETRY_DELAY: Range<Duration> = Duration::from_millis(100)..Duration::from_secs(1);
/// Number of versions since the last snapshot after which another is published.
const SNAPSHOT_INTERVAL_VERSIONS: u64 = 200;
/// Time since the last snapshot after which another is published. It is well below the log's
/// retention period.
const SNAPSHOT_MAX_AGE: Duration = Duration::from_secs(6 * 60 * 60);
/// Range of the random delay before a snapshot, in which another process usually publishes it.
/// Publishing it twice is harmless.
const SNAPSHOT_JITTER: Range<Duration> = Duration::ZERO..Duration::from_secs(20);

/// Reads the stream and dispatches its pages, forever.
pub(super) async fn follow(shell: Arc<ProcessShell>) {
    tokio::spawn(run_snapshots(shell.clone()));
    loop {
        let next = shell.read(|it| it.ledger().next_read());
        match shell.log.read(streams::CONFIG, next, POLL_TIMEOUT).await {
            Ok(page) => dispatch_page(&shell, next, page),
            Err(error) => log_and_back_off(&shell, &error).await,
        }
    }
}

fn dispatch_page(shell: &ProcessShell, requested: LogOffset, page: LogPage) {
    if page.next < requested {
        log::error!(
            next:% = page.next, ours:% = requested;
            "configuration stream ends before the requested offset"
        );
    }
    shell.dispatch(Event::ConfigRead(page));
}

async fn log_and_back_off(shell: &ProcessShell, error: &PlatformError) {
    shell.metrics.count("config.read_failed");
    log::warn!(error:% = error; "reading the configuration stream failed");
    let delay = rand::rng().random_range(RETRY_DELAY);
    tokio::time::sleep(delay).await;
}

/// Publishes a snapshot whenever the last one in the stream is too many versions or too much time
/// ago.
async fn run_snapshots(shell: Arc<ProcessShell>) {
    let mut config = shell.watch_config();
    let mut observed_at = Instant::now();
    let mut last_snapshot = ConfigVersion(0);
    loop {
        tokio::select! {
            changed = config.changed() => if changed.is_err() { return },
            () = tokio::time::sleep_until(observed_at + SNAPSHOT_MAX_AGE) => {}
        }
        let (version, snapshot_version) =
            shell.read(|it| (it.ledger().version(), it.ledger().snapshot_at()));
        if snapshot_version != last_snapshot {
            (last_snapshot, observed_at) = (snapshot_version, Instant::now());
        }
        let has_many_edits = version.0 - snapshot_version.0 >= SNAPSHOT_INTERVAL_VERSIONS;
        let is_stale = version.0 > 0 && observed_at.elapsed() >= SNAPSHOT_MAX_AGE;
        if !has_many_edits && !is_stale {
            continue;
        }
        let jitter = rand::rng().random_range(SNAPSHOT_JITTER);
        tokio::time::sleep(jitter).await;
        if shell.read(|it| it.ledger().snapshot_at()) == snapshot_version {
            publish_snapshot(&shell).await;
        }
        observed_at = Instant::now();
    }
}

async fn publish_snapshot(shell: &ProcessShell) {
    let snapshot = shell.read(|it| it.ledger().snapshot());
    let text = match serde_json::to_string(&ConfigRecord::Snapshot(snapshot)) {
        Ok(text) => text,
        Err(error) => return log::error!(error:% = error; "encoding the configuration failed"),
    };
    match shell.log.append(streams::CONFIG, text).await {
        Ok(offset) => log::info!(offset:% = offset; "configuration snapshot published"),
        Err(error) => {
            log::warn!(error:% = error; "publishing a configuration snapshot failed")
        }
    }
}
