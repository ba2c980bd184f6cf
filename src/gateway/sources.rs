//! Watches the platform's store, and polls other gateways while the store cannot be read.
//!
//! Positions in the store only grow, so the view of a stream with the higher position is the newer
//! one, whichever process it comes from.

use std::{collections::BTreeMap, sync::Arc, time::Duration};

use rand::Rng;
use volo_http::client::Client;

use super::{peers, shell::GatewayShell};
use crate::{
    platform::{
        KeyedRead, KeyedRecord, KeyedStream, OperatorKey, PlatformError, StoreClient,
        decode_catalog, decode_server,
    },
    routing::{
        CatalogSource, DirectoryTable, DirectoryUpdate, DirectoryView, OperatorChange,
        OperatorStep, OperatorTable, OperatorView, ReadKind, RoutingEvent, ServerRecord,
        next_operator_step,
    },
    units::{FailureDomain, LogOffset, Moment, ServerId, StorePosition},
};

/// Timeout of a long poll of the operator's stream, as a fraction of the time within which changes
/// must be in force. The store may miss waking a reader whose poll arrives together with a change,
/// which is then seen when the poll ends, and after that by the gateways that follow the reader.
const OPERATOR_POLL_FRACTION: f64 = 0.4;
/// Age, as a fraction of the same time, up to which a reader's mark is relied on: a poll, its
/// response, and some delay.
const MAX_MARK_AGE_FRACTION: f64 = 0.55;
/// Longest wait for the reader's next reply until its mark is judged again.
const MARK_CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Number of directory reads within the time in which a draining server must stop getting new work.
/// With four, one slow read does not harm the gateways that rely on this reader.
const READS_PER_LEAVE_TIME: u32 = 4;
/// Number of polls of the reader within the same time.
const READER_POLLS_PER_LEAVE_TIME: u32 = 5;
/// Delay after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(300);

/// Maximum number of characters of an invalid key in the log.
const MAX_KEY_CHARS: usize = 100;

/// Time after the first read of an era until another gateway is asked for a catalog that the store
/// may have lost. Until then, other gateways that have just started have read the store too.
const CATALOG_CHECK_DELAY: Duration = Duration::from_millis(1_000);

/// Latest data read from the platform's store.
#[derive(Clone, Debug, Default)]
pub(super) struct PlatformView {
    pub(super) operator: OperatorTable,
    /// Time of the latest read of the operator's stream from the store.
    pub(super) operator_read_at: Moment,
    pub(super) directory: DirectoryTable,
}

/// Keeps the catalog and the evacuations up to date, from other gateways while the store cannot be
/// read.
pub(super) async fn watch_operator(shell: Arc<GatewayShell>, store: StoreClient) {
    let mut is_unavailable = false;
    loop {
        expire_evacuations(&shell);
        let from = shell.view().operator.position();
        let max_age = shell.apply_time.mul_f64(MAX_MARK_AGE_FRACTION);
        let step = next_operator_step(shell.reader_mark(), from, max_age, shell.clock.now());
        let wait = match step {
            // After a failure the store is read without waiting, and other gateways are polled in
            // between: a long poll that gets no response would hide changes until it times out.
            _ if is_unavailable => Duration::ZERO,
            OperatorStep::AwaitReader => {
                // Whether a reply came or not, the mark is judged again.
                let _ = tokio::time::timeout(MARK_CHECK_INTERVAL, shell.reader_replied()).await;
                continue;
            }
            OperatorStep::ReadChanges => Duration::ZERO,
            OperatorStep::PollStore => shell.apply_time.mul_f64(OPERATOR_POLL_FRACTION),
        };
        match read_changes(&store, KeyedStream::Operator, from, wait).await {
            Ok(read) => {
                is_unavailable = false;
                let is_new_era = from.is_none_or(|it| it.era < read.position.era);
                apply_operator_read(&shell, read);
                if is_new_era {
                    tokio::spawn(check_catalog(shell.clone()));
                }
                // Guards against a busy loop if the reader claims what the store does not have.
                if step == OperatorStep::ReadChanges && shell.view().operator.position() == from {
                    tokio::time::sleep(RETRY_DELAY).await;
                }
            }
            Err(error) => {
                if !std::mem::replace(&mut is_unavailable, true) {
                    log::warn!(stream = "operator", error:% = error; "cannot read store");
                }
                peers::poll_random_peer(&shell).await;
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Asks another gateway for a newer catalog: a store that came back from a copy may have lost the
/// newest one, which a process that starts then does not know.
async fn check_catalog(shell: Arc<GatewayShell>) {
    let jitter = rand::rng().random_range(0.0..1.0);
    tokio::time::sleep(CATALOG_CHECK_DELAY.mul_f64(1.0 + jitter)).await;
    peers::poll_random_catalog(&shell).await;
}

/// Keeps the directory up to date, from the reader of this failure domain or from the store.
pub(super) async fn watch_directory(shell: Arc<GatewayShell>, store: StoreClient, client: Client) {
    let mut is_unavailable = false;
    loop {
        if !is_unavailable && peers::poll_reader(&shell, &client).await {
            tokio::time::sleep(shell.leave_time / READER_POLLS_PER_LEAVE_TIME).await;
            continue;
        }
        let from = shell.view().directory.view().map(|it| it.position);
        match read_changes(&store, KeyedStream::Servers, from, Duration::ZERO).await {
            Ok(read) => {
                if std::mem::replace(&mut is_unavailable, false) {
                    shell.dispatch(RoutingEvent::StoreRecovered);
                }
                let view = build_directory_view(&shell, read);
                apply_directory_view(&shell, view);
                tokio::time::sleep(shell.leave_time / READS_PER_LEAVE_TIME).await;
            }
            Err(error) => {
                if !std::mem::replace(&mut is_unavailable, true) {
                    log::warn!(stream = "directory", error:% = error; "cannot read store");
                    let read_at = shell.view().directory.view().and_then(|it| it.read_at);
                    shell.dispatch(RoutingEvent::StoreUnavailable { read_at });
                }
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Records read from the store.
struct StoreRead {
    kind: ReadKind,
    records: Vec<KeyedRecord>,
    /// Position from which to read later changes.
    position: StorePosition,
}

/// Reads the records since `from`, or the newest of each key if there is no usable position.
async fn read_changes(
    store: &StoreClient,
    stream: KeyedStream,
    from: Option<StorePosition>,
    wait: Duration,
) -> Result<StoreRead, PlatformError> {
    if let Some(from) = from {
        match store.read(stream, from, wait).await? {
            KeyedRead::Records(records, position) => {
                return Ok(StoreRead { kind: ReadKind::Changes, records, position });
            }
            KeyedRead::Expired => {
                log::info!(from:% = from; "store lacks the offset, reading all keys");
            }
            KeyedRead::Rewound(era) => {
                log::warn!(
                    from:% = from, era:% = era;
                    "store came back from a copy, reading all keys"
                );
            }
        }
    }
    let (records, position) = store.read_newest(stream).await?;
    Ok(StoreRead { kind: ReadKind::Snapshot, records, position })
}

fn decode_operator_change(
    shell: &GatewayShell,
    record: KeyedRecord,
) -> Option<(LogOffset, OperatorChange)> {
    let KeyedRecord { key, value, offset } = record;
    let change = match OperatorKey::parse(&key) {
        OperatorKey::Catalog => match decode_catalog(&value?) {
            Ok(catalog) => {
                let problems = catalog.problems();
                shell.metrics.gauge("catalog.refused", 0);
                shell.metrics.gauge("catalog.unreadable_entries", problems.count);
                if problems.count > 0 {
                    log::error!(
                        version:% = catalog.version(), count = problems.count,
                        first = problems.first.join("; ");
                        "catalog has unreadable entries, left out"
                    );
                }
                OperatorChange::Catalog(Box::new(catalog))
            }
            Err(error) => {
                shell.metrics.gauge("catalog.refused", 1);
                log::error!(error:% = error; "invalid catalog, keeping the current one");
                return None;
            }
        },
        OperatorKey::Evacuation(domain) => match domain.parse::<FailureDomain>() {
            Ok(domain) if value.is_some() => OperatorChange::Evacuated(domain),
            Ok(domain) => OperatorChange::Restored(domain),
            Err(error) => {
                log::error!(domain:% = domain, error:% = error; "invalid failure domain in evacuation key");
                return None;
            }
        },
        OperatorKey::Other => return None,
    };
    Some((offset, change))
}

/// Applies records of the operator's stream that were read from the store.
fn apply_operator_read(shell: &GatewayShell, read: StoreRead) {
    let StoreRead { kind, records, position } = read;
    let decode = |it| decode_operator_change(shell, it);
    let changes = records.into_iter().filter_map(decode).collect();
    let now = shell.clock.now();
    {
        let mut view = shell.view();
        view.operator.apply_read(kind, position, changes, now);
        view.operator_read_at = now;
    }
    dispatch_operator_table(shell, CatalogSource::Store);
}

/// Applies another gateway's view of the operator's stream.
pub(super) fn apply_operator_view(shell: &GatewayShell, view: OperatorView) {
    let now = shell.clock.now();
    shell.view().operator.apply_view(view, now);
    dispatch_operator_table(shell, CatalogSource::Peer);
}

fn expire_evacuations(shell: &GatewayShell) {
    let now = shell.clock.now();
    if shell.view().operator.expire(now) {
        dispatch_operator_table(shell, CatalogSource::Store);
    }
}

/// Passes a newer catalog and changed evacuations on to the reducer.
fn dispatch_operator_table(shell: &GatewayShell, source: CatalogSource) {
    let in_force = shell.catalog_version();
    let (catalog, evacuated) = {
        let view = shell.view();
        let newer = view.operator.catalog().filter(|it| it.version() > in_force);
        (newer.cloned(), view.operator.evacuated())
    };
    if let Some(catalog) = catalog {
        shell.dispatch(RoutingEvent::CatalogRead { source, catalog: Box::new(catalog) });
    }
    if shell.read(|it| *it.servers().evacuated() != evacuated) {
        shell.dispatch(RoutingEvent::EvacuationsRead(evacuated));
    }
}

fn build_directory_view(shell: &GatewayShell, read: StoreRead) -> DirectoryView {
    let previous = match read.kind {
        ReadKind::Snapshot => None,
        ReadKind::Changes => shell.view().directory.view().cloned(),
    };
    let mut servers = previous.map_or_else(BTreeMap::new, |it| it.servers);
    for KeyedRecord { key, value, .. } in read.records {
        let record = value.and_then(|text| decode_server(&key, &text));
        let record = record.filter(|it| is_own_entry(shell, it));
        match (key.parse::<ServerId>(), record) {
            (Ok(id), Some(record)) => {
                servers.insert(id, record);
            }
            (Ok(id), None) => {
                servers.remove(&id);
            }
            (Err(error), _) => {
                let key: String = key.chars().take(MAX_KEY_CHARS).collect();
                log::warn!(key = key, error:% = error; "invalid server id in directory key");
            }
        }
    }
    DirectoryView { position: read.position, servers, read_at: Some(shell.clock.now()) }
}

/// Whether an entry is the server's own. A server always states when it started or never does, so that an
/// entry without it under the id of one that has stated it is another writer's.
fn is_own_entry(shell: &GatewayShell, record: &ServerRecord) -> bool {
    let states_start = shell.read(|it| it.servers().states_start(&record.id));
    let is_own = record.started_ms.is_some() || !states_start;
    if !is_own {
        log::warn!(server:% = record.id; "directory entry lacks the server's start, ignored");
    }
    is_own
}

/// Applies a view of the directory, unless the current one is newer.
pub(super) fn apply_directory_view(shell: &GatewayShell, view: DirectoryView) {
    let list = view.servers.values().cloned().collect();
    // Bound first, so that the lock is released before the reducer's is taken.
    let update = shell.view().directory.apply(view);
    match update {
        DirectoryUpdate::Outdated => return,
        DirectoryUpdate::Applied => {}
        DirectoryUpdate::Rewound => {
            shell.dispatch(RoutingEvent::StoreRewound);
        }
    }
    shell.dispatch(RoutingEvent::DirectoryRead(list));
}
