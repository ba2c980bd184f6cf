//! Follows the configuration stream, and re-publishes the state before its records expire.

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

/// Time for which one read waits for new records.
const POLL_WAIT: Duration = Duration::from_secs(20);
/// Pause after a failed read, drawn at random.
const RETRY_PAUSE: Range<Duration> = Duration::from_millis(100)..Duration::from_secs(1);
/// Records after which the state is published again.
const SNAPSHOT_RECORDS: u64 = 200;
/// Time after which the state is published again, well below the time for which the log keeps
/// records.
const SNAPSHOT_AGE: Duration = Duration::from_secs(6 * 60 * 60);
/// Random wait before a snapshot, in which another process usually publishes it. Publishing twice
/// is harmless.
const SNAPSHOT_SPREAD: Range<Duration> = Duration::ZERO..Duration::from_secs(20);

/// Reads the stream for ever.
pub(super) async fn follow(shell: Arc<ProcessShell>) {
    tokio::spawn(republish(shell.clone()));
    loop {
        let next = shell.read(|it| it.ledger().next_read());
        match shell.log.read(streams::CONFIG, next, POLL_WAIT).await {
            Ok(page) => take_page(&shell, next, page),
            Err(error) => pause(&shell, &error).await,
        }
    }
}

fn take_page(shell: &ProcessShell, asked: LogOffset, page: LogPage) {
    if page.next < asked {
        log::error!(
            next:% = page.next, ours:% = asked;
            "the configuration stream is shorter than what was read of it"
        );
    }
    shell.dispatch(Event::ConfigRead(page));
}

async fn pause(shell: &ProcessShell, error: &PlatformError) {
    shell.metrics.count("config.read_failed");
    log::warn!(error:% = error; "the configuration stream cannot be read");
    let pause = rand::rng().random_range(RETRY_PAUSE);
    tokio::time::sleep(pause).await;
}

/// Publishes a snapshot whenever the last one in the stream is many records or a long time old.
async fn republish(shell: Arc<ProcessShell>) {
    let mut config = shell.watch_config();
    let mut seen_at = Instant::now();
    let mut seen = ConfigVersion(0);
    loop {
        tokio::select! {
            changed = config.changed() => if changed.is_err() { return },
            () = tokio::time::sleep_until(seen_at + SNAPSHOT_AGE) => {}
        }
        let (version, snapshot_at) =
            shell.read(|it| (it.ledger().version(), it.ledger().snapshot_at()));
        if snapshot_at != seen {
            (seen, seen_at) = (snapshot_at, Instant::now());
        }
        let is_long = version.0 - snapshot_at.0 >= SNAPSHOT_RECORDS;
        let is_old = version.0 > 0 && seen_at.elapsed() >= SNAPSHOT_AGE;
        if !is_long && !is_old {
            continue;
        }
        let spread = rand::rng().random_range(SNAPSHOT_SPREAD);
        tokio::time::sleep(spread).await;
        if shell.read(|it| it.ledger().snapshot_at()) == snapshot_at {
            publish_snapshot(&shell).await;
        }
        seen_at = Instant::now();
    }
}

async fn publish_snapshot(shell: &ProcessShell) {
    let snapshot = shell.read(|it| it.ledger().snapshot());
    let text = match serde_json::to_string(&ConfigRecord::Snapshot(snapshot)) {
        Ok(text) => text,
        Err(error) => return log::error!(error:% = error; "the configuration cannot be encoded"),
    };
    match shell.log.append(streams::CONFIG, text).await {
        Ok(offset) => log::info!(offset:% = offset; "snapshot of the configuration published"),
        Err(error) => {
            log::warn!(error:% = error; "a snapshot of the configuration could not be published")
        }
    }
}
